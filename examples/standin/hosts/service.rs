//! HTTP interface of the host list.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{Method, StatusCode};
use jayfork::connection::wire::HostList;
use serde_json::Value;

use super::list::DelayedList;
use crate::error::{Error, Result};
use crate::net::{NetworkFaults, Reply, Request, Response, Service};
use crate::switches::{Patch, parse};

#[derive(Debug)]
pub struct HostsService {
    state: Mutex<State>,
    faults: Arc<NetworkFaults>,
}

#[derive(Debug)]
struct State {
    list: DelayedList,
    down: bool,
}

impl HostsService {
    pub fn new(list: DelayedList, faults: Arc<NetworkFaults>) -> Self {
        let state = Mutex::new(State { list, down: false });
        HostsService { state, faults }
    }

    fn list(&self) -> Response {
        let mut state = self.lock();
        if state.down {
            return Response::error(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        Response::ok(&state.list.visible())
    }

    fn put(&self, request: &Request) -> Response {
        let list: HostList = match request.json() {
            Ok(list) => list,
            Err(response) => return response,
        };
        tracing::info!(hosts = list.hosts.len(), "host list replaced");
        self.lock().list.replace(list);
        Response::ok(&Value::Null)
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
            match name.as_str() {
                "down" => self.lock().down = parse(name, value)?,
                "lag_ms" => {
                    let delay = Duration::from_millis(parse(name, value)?);
                    self.lock().list.set_delay(delay);
                }
                _ if self.faults.set(name, value)? => {}
                _ => return Err(Error::UnknownSwitch(name.clone())),
            }
        }
        tracing::info!(?patch, "switches set");
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }
}

impl Service for HostsService {
    fn handle(&self, request: &Request) -> Reply {
        let response = match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["hosts"]) => self.list(),
            (&Method::PUT, ["control", "hosts"]) => self.put(request),
            (&Method::POST, ["control"]) => self.control(request),
            _ => Response::not_found(),
        };
        response.into()
    }
}
