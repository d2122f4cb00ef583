//! HTTP interface of one instance.

use std::sync::Arc;

use http::{Method, StatusCode};
use jayfork::base::Token;
use jayfork::connection::wire::{LeaseRefusal, LeaseRequest, ReleaseRequest};
use serde_json::Value;

use super::instance::Refusal;
use super::instance_fleet::InstanceFleet;
use super::reorder::ReorderBuffer;
use crate::fleet::LockedFleet;
use crate::net::{Reply, Request, Response, Service};

#[derive(Debug)]
pub struct InstanceService {
    pub instance: usize,
    pub fleet: Arc<LockedFleet<InstanceFleet>>,
    pub reorder_buffer: Arc<ReorderBuffer>,
}

impl InstanceService {
    fn lease(&self, request: &Request) -> Result<Reply, Response> {
        let request: LeaseRequest = request.json()?;
        let reply = self
            .fleet
            .update(|now, fleet| fleet.lease(now, self.instance, &request));
        Ok(match reply {
            Ok(reply) => Response::ok(&reply).into(),
            Err(refusal) => Response::json(StatusCode::CONFLICT, &refusal).into(),
        })
    }

    fn release(&self, request: &Request) -> Result<Reply, Response> {
        let request: ReleaseRequest = request.json()?;
        let released = self
            .fleet
            .update(|now, fleet| fleet.release(now, self.instance, request.token));
        Ok(if released {
            Response::ok(&Value::Null).into()
        } else {
            Response::json(StatusCode::CONFLICT, &LeaseRefusal::StaleToken).into()
        })
    }

    fn run(&self, id: &str, request: &Request) -> Result<Reply, Response> {
        let token = number_header(request, "lease-token")?;
        number_header(request, "deadline-ms")?;
        let started = self
            .fleet
            .update(|now, fleet| fleet.start(now, self.instance, id, Token(token)));
        let running = match started {
            Ok(running) => running,
            Err(refusal) => return Ok(refusal.into()),
        };
        std::thread::sleep(running.time);
        let answer_faults = self
            .fleet
            .update(|now, fleet| fleet.finish(now, self.instance, id, running.incarnation));
        let Some(answer_faults) = answer_faults else {
            return Ok(Reply::Close);
        };
        std::thread::sleep(answer_faults.delay);
        self.reorder_buffer.wait(answer_faults.reorder);
        let response = Response::bytes(answer_body(id, &request.body));
        Ok(if answer_faults.truncated {
            Reply::Truncated(response)
        } else {
            Reply::Answer(response)
        })
    }
}

impl Service for InstanceService {
    fn accepts_connection(&self, open: usize) -> bool {
        self.fleet
            .update(|now, fleet| fleet.check_connections(now, self.instance, open))
    }

    fn handle(&self, request: &Request) -> Reply {
        let reply = match (&request.method, request.segments().as_slice()) {
            (&Method::POST, ["lease"]) => self.lease(request),
            (&Method::POST, ["release"]) => self.release(request),
            (&Method::POST, ["requests", id]) => self.run(id, request),
            _ => Err(Response::not_found()),
        };
        reply.unwrap_or_else(Reply::from)
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::StaleToken => {
                Response::json(StatusCode::CONFLICT, &LeaseRefusal::StaleToken).into()
            }
            Refusal::Busy | Refusal::Leaving => {
                Response::error(StatusCode::SERVICE_UNAVAILABLE, refusal.kind()).into()
            }
            Refusal::Crashed => Reply::Close,
        }
    }
}

/// Returns the line `<id> <length of the body>` followed by the body.
fn answer_body(id: &str, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("{id} {}\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer
}

fn number_header(request: &Request, name: &str) -> Result<u64, Response> {
    request
        .header(name)
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| Response::error(StatusCode::BAD_REQUEST, name))
}
