//! Binds and serves all hosts of a process.

use std::sync::Arc;

use clap::ArgMatches;
use jayfork::base::Name;
use jayfork::connection::wire::{HostEntry, HostKind, HostState};
use serde_json::json;

use super::control::Control;
use super::{FleetState, LockedFleet};
use crate::error::Result;
use crate::net::{Listener, NetworkFaults, Service};
use crate::process::{get_port, serve_until_signal};

/// Properties of one process's hosts that their host list entries contain.
#[derive(Debug)]
pub struct HostGroup {
    pub kind: HostKind,
    pub data_centre: Name,
    pub service: Option<Name>,
    pub names: Vec<Name>,
    /// Prefix of the names of the workers on which the instances run.
    pub worker_prefix: Option<Name>,
    /// Hosts per rack; 0 leaves the rack out of the host list.
    pub rack_size: usize,
    /// Prefix of the request paths whose answers `lose_answers` drops unless `lose_path` is set.
    pub lose_path: &'static str,
}

/// Serves control requests on the first port and each host on a port after it, until SIGTERM.
pub fn launch<B: FleetState, S: Service>(
    matches: &ArgMatches,
    group: &HostGroup,
    fleet: &Arc<LockedFleet<B>>,
    service: impl Fn(usize, Arc<LockedFleet<B>>) -> S,
) -> Result<()> {
    let port = get_port(matches);
    let control = Listener::bind(port)?;
    let mut host_faults = Vec::new();
    let mut entries = Vec::new();
    for host in 0..group.names.len() {
        let listener = Listener::bind(host_port(port, host))?;
        let faults = Arc::new(NetworkFaults::new(group.lose_path));
        entries.push(group.entry(host, listener.address().to_string()));
        host_faults.push(faults.clone());
        listener.spawn(faults, Arc::new(service(host, fleet.clone())));
    }
    let kind = group.kind;
    let ready = json!({
        "kind": if kind == HostKind::Worker { "workers" } else { "instances" },
        "control": control.address().to_string(),
        "hosts": entries,
    });
    let calls = Control {
        fleet: fleet.clone(),
        host_faults,
        entries,
    };
    control.spawn(Arc::new(NetworkFaults::new("")), Arc::new(calls));
    serve_until_signal(matches, &ready)
}

fn host_port(first: u16, host: usize) -> u16 {
    match first {
        0 => 0,
        first => first + 1 + host as u16,
    }
}

impl HostGroup {
    fn entry(&self, host: usize, address: String) -> HostEntry {
        let rack = host.checked_div(self.rack_size);
        HostEntry {
            name: self.names[host].clone(),
            address: address.into(),
            data_centre: self.data_centre.clone(),
            rack: rack.map(|rack| format!("{}-r{rack}", self.data_centre).into()),
            kind: self.kind,
            service: self.service.clone(),
            worker: self
                .worker_prefix
                .as_ref()
                .map(|prefix| format!("{prefix}{host}").into()),
            state: HostState::Live,
        }
    }
}
