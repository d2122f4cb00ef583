use jayfork::connection::wire::{HostEntry, HostState};
use serde_json::json;

use super::{Records, Standin, TestDir};

/// Stand-ins of one test: log, host list, workers and instances.
#[derive(Debug)]
pub struct Platform {
    pub log: Standin,
    pub host_list: Standin,
    /// One process for each call of `add_workers` or `add_instances`.
    pub backends: Vec<Standin>,
    leaving: Vec<String>,
}

impl Platform {
    pub fn start(dir: &TestDir, log_args: &[&str], host_list_args: &[&str]) -> Self {
        Platform {
            log: Standin::start(dir, "log", log_args),
            host_list: Standin::start(dir, "hosts", host_list_args),
            backends: Vec::new(),
            leaving: Vec::new(),
        }
    }

    /// Starts a process with workers; returns its index in `backends`.
    pub fn add_workers(&mut self, dir: &TestDir, args: &[&str]) -> usize {
        self.add(Standin::start(dir, "workers", args))
    }

    /// Starts a process with instances; returns its index in `backends`.
    pub fn add_instances(&mut self, dir: &TestDir, args: &[&str]) -> usize {
        self.add(Standin::start(dir, "instances", args))
    }

    /// Returns the entries of all backend servers for the host list.
    pub fn entries(&self) -> Vec<HostEntry> {
        let mut entries: Vec<HostEntry> = self
            .backends
            .iter()
            .flat_map(|backend| backend.hosts.iter().cloned())
            .collect();
        for entry in &mut entries {
            if self.leaving.iter().any(|name| **name == *entry.name) {
                entry.state = HostState::Leaving;
            }
        }
        entries
    }

    pub fn publish_host_list(&self) {
        self.host_list.put_hosts(&self.entries());
    }

    /// Marks a backend server as leaving in the host list, but not in its own lease answers.
    pub fn mark_leaving_in_list(&mut self, name: &str) {
        self.leaving.push(name.to_owned());
        self.publish_host_list();
    }

    /// Disconnects clients, given by their `client` header, from all stand-ins.
    pub fn cut_off(&self, clients: &[&str]) {
        let patch = json!({ "cuts": clients });
        self.log.set(patch.clone());
        self.host_list.set(patch.clone());
        for backend in &self.backends {
            backend.set(patch.clone());
        }
    }

    pub fn records(&self) -> Records {
        let records = self.backends.iter().map(Standin::records);
        Records::new(records.collect())
    }

    fn add(&mut self, backend: Standin) -> usize {
        self.backends.push(backend);
        self.publish_host_list();
        self.backends.len() - 1
    }
}
