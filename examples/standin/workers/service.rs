//! HTTP interface of one worker.

use std::sync::Arc;

use http::{Method, StatusCode};
use jayfork::connection::wire::{
    LeaseRefusal, LeaseRequest, ReleaseRequest, StartReply, StartRequest, TaskCommand,
};
use serde_json::Value;

use super::worker::{Command, Refusal};
use super::worker_fleet::WorkerFleet;
use crate::fleet::LockedFleet;
use crate::net::{Reply, Request, Response, Service};

#[derive(Debug)]
pub struct WorkerService {
    pub worker: usize,
    pub fleet: Arc<LockedFleet<WorkerFleet>>,
}

impl WorkerService {
    fn lease(&self, request: &Request) -> Result<Reply, Response> {
        let request: LeaseRequest = request.json()?;
        let reply = self
            .fleet
            .update(|now, fleet| fleet.lease(now, self.worker, &request));
        Ok(match reply {
            Ok(reply) => Response::ok(&reply).into(),
            Err(refusal) => Response::json(StatusCode::CONFLICT, &refusal).into(),
        })
    }

    fn release(&self, request: &Request) -> Result<Reply, Response> {
        let request: ReleaseRequest = request.json()?;
        let released = self
            .fleet
            .update(|now, fleet| fleet.release(now, self.worker, request.token));
        Ok(if released {
            Response::ok(&Value::Null).into()
        } else {
            Response::json(StatusCode::CONFLICT, &LeaseRefusal::StaleToken).into()
        })
    }

    fn start(&self, request: &Request) -> Result<Reply, Response> {
        let request: StartRequest = request.json()?;
        let state = self
            .fleet
            .update(|now, fleet| fleet.start(now, self.worker, &request));
        Ok(match state {
            Ok(state) => Response::ok(&StartReply { state }).into(),
            Err(refusal) => refusal.into(),
        })
    }

    fn command(&self, command: Command, request: &Request) -> Result<Reply, Response> {
        let request: TaskCommand = request.json()?;
        let reply = self
            .fleet
            .update(|now, fleet| fleet.command(now, self.worker, command, &request));
        Ok(match reply {
            Ok(reply) => Response::ok(&reply).into(),
            Err(refusal) => refusal.into(),
        })
    }
}

impl Service for WorkerService {
    fn handle(&self, request: &Request) -> Reply {
        let reply = match (&request.method, request.segments().as_slice()) {
            (&Method::POST, ["lease"]) => self.lease(request),
            (&Method::POST, ["release"]) => self.release(request),
            (&Method::POST, ["tasks"]) => self.start(request),
            (&Method::POST, ["tasks", "checkpoint"]) => self.command(Command::Checkpoint, request),
            (&Method::POST, ["tasks", "throttle"]) => self.command(Command::Throttle, request),
            (&Method::POST, ["tasks", "stop"]) => self.command(Command::Stop, request),
            _ => Err(Response::not_found()),
        };
        reply.unwrap_or_else(Reply::from)
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let status = match refusal {
            Refusal::StaleToken | Refusal::Ended => StatusCode::CONFLICT,
            Refusal::NoCapacity => StatusCode::INSUFFICIENT_STORAGE,
            Refusal::StartFailed => StatusCode::INTERNAL_SERVER_ERROR,
            Refusal::UnknownTask => StatusCode::NOT_FOUND,
            Refusal::Crashed => return Reply::Close,
        };
        Response::error(status, refusal.kind()).into()
    }
}
