use jayfork::connection::wire::{HostEntry, HostState};
use serde_json::json;

use super::{Records, Standin, TestDir};

/// Log, host list, workers and instances of one test.
#[derive(Debug)]
pub struct Platform {
    pub log: Standin,
    pub list: Standin,
    /// One process per call of `add_workers` and `add_instances`.
    pub backends: Vec<Standin>,
    leaving: Vec<String>,
}

impl Platform {
    pub fn start(dir: &TestDir, log_args: &[&str], list_args: &[&str]) -> Self {
        Platform {
            log: Standin::start(dir, "log", log_args),
            list: Standin::start(dir, "hosts", list_args),
            backends: Vec::new(),
            leaving: Vec::new(),
        }
    }

    /// Starts workers; returns the index in `backends`.
    pub fn add_workers(&mut self, dir: &TestDir, args: &[&str]) -> usize {
        self.add(Standin::start(dir, "workers", args))
    }

    /// Starts instances; returns the index in `backends`.
    pub fn add_instances(&mut self, dir: &TestDir, args: &[&str]) -> usize {
        self.add(Standin::start(dir, "instances", args))
    }

    /// Entries of all backend servers as the host list should show them.
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

    pub fn publish(&self) {
        self.list.put_hosts(&self.entries());
    }

    /// Marks a backend server as leaving in the host list, not in its own lease answers.
    pub fn list_leaving(&mut self, name: &str) {
        self.leaving.push(name.to_owned());
        self.publish();
    }

    /// Cuts clients, named by their `client` header, off from the whole platform.
    pub fn cut(&self, clients: &[&str]) {
        let patch = json!({ "cuts": clients });
        self.log.set(patch.clone());
        self.list.set(patch.clone());
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
        self.publish();
        self.backends.len() - 1
    }
}
