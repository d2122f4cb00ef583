//! Control calls of a workers or instances process.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::{Method, StatusCode};
use jayfork::base::{Millis, Name};
use jayfork::connection::wire::HostEntry;

use super::{Backend, Fleet};
use crate::error::{Error, Result};
use crate::net::{Gate, Reply, Request, Response, Service};
use crate::switches::{Patch, parse};

/// `POST /control` sets switches of the hosts named in `hosts`, or of all. `GET /control/records`
/// and `GET /control/hosts` return arrays, `GET /control/waiting` the calls that each host holds.
#[derive(Debug)]
pub struct Control<B> {
    pub fleet: Arc<Fleet<B>>,
    pub gates: Vec<Arc<Gate>>,
    pub entries: Vec<HostEntry>,
}

impl<B: Backend> Control<B> {
    fn records(&self, request: &Request) -> Response {
        let from = request.query("from").unwrap_or(0) as usize;
        self.fleet
            .with(|_, backend| Response::ok(&backend.recorder().since(from)))
    }

    fn waiting(&self) -> Response {
        let names = self.entries.iter().map(|entry| &entry.name);
        let waiting = self.gates.iter().map(|gate| gate.waiting());
        let waiting: BTreeMap<&Name, usize> = names.zip(waiting).collect();
        Response::ok(&waiting)
    }

    fn set(&self, request: &Request) -> Response {
        let patch: Patch = match request.json() {
            Ok(patch) => patch,
            Err(response) => return response,
        };
        let applied = self
            .fleet
            .with(|now, backend| self.apply(now, backend, &patch));
        match applied {
            Ok(()) => Response::ok(&patch),
            Err(error) => Response::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn apply(&self, now: Millis, backend: &mut B, patch: &Patch) -> Result<()> {
        let hosts = self.select(patch)?;
        for (name, value) in patch.iter().filter(|(name, _)| *name != "hosts") {
            let mut known = false;
            for host in &hosts {
                known |= backend.set_host(now, *host, name, value)?;
                known |= self.gates[*host].set(name, value)?;
                if name == "restart" && parse(name, value)? {
                    self.gates[*host].restart();
                }
            }
            if !known && !backend.set(now, name, value)? {
                return Err(Error::UnknownSwitch(name.clone()));
            }
        }
        tracing::info!(?patch, "switches set");
        Ok(())
    }

    /// Indexes of the hosts that a patch names.
    fn select(&self, patch: &Patch) -> Result<Vec<usize>> {
        let Some(names) = patch.get("hosts") else {
            return Ok((0..self.entries.len()).collect());
        };
        let names: Vec<Name> = parse("hosts", names)?;
        names.iter().map(|name| self.index(name)).collect()
    }

    fn index(&self, name: &Name) -> Result<usize> {
        self.entries
            .iter()
            .position(|entry| entry.name == *name)
            .ok_or_else(|| Error::UnknownHost(name.to_string()))
    }
}

impl<B: Backend> Service for Control<B> {
    fn handle(&self, request: &Request) -> Reply {
        let response = match (&request.method, request.segments().as_slice()) {
            (&Method::POST, ["control"]) => self.set(request),
            (&Method::GET, ["control", "records"]) => self.records(request),
            (&Method::GET, ["control", "waiting"]) => self.waiting(),
            (&Method::GET, ["control", "hosts"]) => Response::ok(&self.entries),
            _ => Response::not_found(),
        };
        response.into()
    }
}
