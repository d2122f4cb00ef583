//! Binds and serves all hosts of a process.

use std::sync::Arc;

use clap::ArgMatches;
use jayfork::base::Name;
use jayfork::connection::wire::{HostEntry, HostKind, HostState};
use serde_json::json;

use super::control::Control;
use super::{Backend, Fleet};
use crate::error::Result;
use crate::net::{Gate, Listener, Service};
use crate::process::{get_port, serve_until_signal};

/// What the host list tells of the hosts of one process.
#[derive(Debug)]
pub struct HostGroup {
    pub kind: HostKind,
    pub data_centre: Name,
    pub service: Option<Name>,
    pub names: Vec<Name>,
    /// Start of the names of the workers on which the instances run.
    pub workers: Option<Name>,
    /// Hosts to a rack; 0 tells no racks.
    pub rack_size: usize,
    /// Paths whose answers `lose_answers` loses unless `lose_path` is set.
    pub lose_path: &'static str,
}

/// Serves control calls on the first port and each host on one of the next, until SIGTERM.
pub fn launch<B: Backend, S: Service>(
    matches: &ArgMatches,
    group: &HostGroup,
    fleet: &Arc<Fleet<B>>,
    service: impl Fn(usize, Arc<Fleet<B>>) -> S,
) -> Result<()> {
    let port = get_port(matches);
    let control = Listener::bind(port)?;
    let mut gates = Vec::new();
    let mut entries = Vec::new();
    for host in 0..group.names.len() {
        let listener = Listener::bind(host_port(port, host))?;
        let gate = Arc::new(Gate::new(group.lose_path));
        entries.push(group.entry(host, listener.address().to_string()));
        gates.push(gate.clone());
        listener.spawn(gate, Arc::new(service(host, fleet.clone())));
    }
    let kind = group.kind;
    let ready = json!({
        "kind": if kind == HostKind::Worker { "workers" } else { "instances" },
        "control": control.address().to_string(),
        "hosts": entries,
    });
    let calls = Control {
        fleet: fleet.clone(),
        gates,
        entries,
    };
    control.spawn(Arc::new(Gate::new("")), Arc::new(calls));
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
                .workers
                .as_ref()
                .map(|prefix| format!("{prefix}{host}").into()),
            state: HostState::Live,
        }
    }
}
