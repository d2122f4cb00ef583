//! Control requests to a `workers` or `instances` process.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::{Method, StatusCode};
use jayfork::base::{Millis, Name};
use jayfork::connection::wire::HostEntry;

use super::{FleetState, LockedFleet};
use crate::error::{Error, Result};
use crate::net::{NetworkFaults, Reply, Request, Response, Service};
use crate::switches::{Patch, parse};

/// Serves the control requests.
///
/// `POST /control` sets switches of the hosts named in `hosts`, or of all hosts without it.
/// `GET /control/records` and `GET /control/hosts` return arrays. `GET /control/waiting` returns
/// how many requests each host is holding back.
#[derive(Debug)]
pub struct Control<B> {
    pub fleet: Arc<LockedFleet<B>>,
    pub host_faults: Vec<Arc<NetworkFaults>>,
    pub entries: Vec<HostEntry>,
}

impl<B: FleetState> Control<B> {
    fn records(&self, request: &Request) -> Response {
        let from = request.query("from").unwrap_or(0) as usize;
        self.fleet
            .update(|_, state| Response::ok(&state.recorder().since(from)))
    }

    fn waiting(&self) -> Response {
        let names = self.entries.iter().map(|entry| &entry.name);
        let waiting = self.host_faults.iter().map(|faults| faults.waiting());
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
            .update(|now, state| self.apply(now, state, &patch));
        match applied {
            Ok(()) => Response::ok(&patch),
            Err(error) => Response::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn apply(&self, now: Millis, state: &mut B, patch: &Patch) -> Result<()> {
        let hosts = self.selected_hosts(patch)?;
        for (name, value) in patch.iter().filter(|(name, _)| *name != "hosts") {
            let mut is_known = false;
            for host in &hosts {
                is_known |= state.set_host(now, *host, name, value)?;
                is_known |= self.host_faults[*host].set(name, value)?;
                if name == "restart" && parse(name, value)? {
                    self.host_faults[*host].restart();
                }
            }
            if !is_known && !state.set(now, name, value)? {
                return Err(Error::UnknownSwitch(name.clone()));
            }
        }
        tracing::info!(?patch, "switches set");
        Ok(())
    }

    /// Returns the indexes of the hosts that the patch names, or of all hosts if it names none.
    fn selected_hosts(&self, patch: &Patch) -> Result<Vec<usize>> {
        let Some(names) = patch.get("hosts") else {
            return Ok((0..self.entries.len()).collect());
        };
        let names: Vec<Name> = parse("hosts", names)?;
        names.iter().map(|name| self.host_index(name)).collect()
    }

    fn host_index(&self, name: &Name) -> Result<usize> {
        self.entries
            .iter()
            .position(|entry| entry.name == *name)
            .ok_or_else(|| Error::UnknownHost(name.to_string()))
    }
}

impl<B: FleetState> Service for Control<B> {
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
