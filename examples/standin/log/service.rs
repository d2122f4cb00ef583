//! HTTP interface of the log.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use jayfork::connection::wire::AppendReply;

use super::store::{LogStore, Refusal};
use crate::error::{Error, Result};
use crate::net::{NetworkFaults, Reply, Request, Response, Service};
use crate::switches::Patch;

/// Maximum number of records in the answer to a read that sets no limit.
const DEFAULT_MAX_RECORDS: u64 = 1000;

#[derive(Debug)]
pub struct LogService {
    store: LogStore,
    faults: Arc<NetworkFaults>,
}

impl LogService {
    pub fn new(store: LogStore, faults: Arc<NetworkFaults>) -> Self {
        LogService { store, faults }
    }

    fn append(&self, stream: &str, request: &Request) -> Response {
        match self.store.append(stream, &request.body) {
            Ok(offset) => Response::ok(&AppendReply { offset }),
            Err(refusal) => refusal.into(),
        }
    }

    fn read(&self, stream: &str, request: &Request) -> Response {
        let (from, max) = range(request);
        let wait = Duration::from_millis(request.query("wait").unwrap_or(0));
        match self.store.read(stream, from, max, wait) {
            Ok(reply) => Response::ok(&reply),
            Err(refusal) => refusal.into(),
        }
    }

    fn inspect(&self, stream: &str, request: &Request) -> Response {
        let (from, max) = range(request);
        Response::ok(&self.store.inspect(stream, from, max))
    }

    fn stats(&self) -> Response {
        let mut stats = self.store.stats();
        stats["waiting"] = self.faults.waiting().into();
        Response::ok(&stats)
    }

    fn control(&self, request: &Request) -> Response {
        let patch: Patch = match request.json() {
            Ok(patch) => patch,
            Err(response) => return response,
        };
        match self.apply(&patch) {
            Ok(()) => Response::ok(&patch),
            Err(error) => Response::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn apply(&self, patch: &Patch) -> Result<()> {
        for (name, value) in patch {
            if !self.faults.set(name, value)? && !self.store.set(name, value)? {
                return Err(Error::UnknownSwitch(name.clone()));
            }
        }
        tracing::info!(?patch, "switches set");
        Ok(())
    }
}

impl Service for LogService {
    fn handle(&self, request: &Request) -> Reply {
        let response = match (&request.method, request.segments().as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, request),
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, request),
            (&Method::POST, ["control"]) => self.control(request),
            (&Method::GET, ["control", "stats"]) => self.stats(),
            (&Method::GET, ["control", "streams", stream, "records"]) => {
                self.inspect(stream, request)
            }
            _ => Response::not_found(),
        };
        response.into()
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Down => Response::error(StatusCode::SERVICE_UNAVAILABLE, "down"),
            Refusal::ReadOnly => Response::error(StatusCode::SERVICE_UNAVAILABLE, "read_only"),
            Refusal::OverRate => Response::error(StatusCode::TOO_MANY_REQUESTS, "over_rate"),
        }
    }
}

/// Returns the first offset and the maximum number of records that a request asks for.
fn range(request: &Request) -> (u64, usize) {
    let from = request.query("from").unwrap_or(0);
    let max = request.query("max").unwrap_or(DEFAULT_MAX_RECORDS);
    (from, max as usize)
}
