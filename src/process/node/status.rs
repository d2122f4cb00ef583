//! The answers of `/ready` and `/v1/status`.

use super::api::text_response;
use super::node::Node;
use crate::base::{Millis, Name, TaskId};
use crate::connection::ApiResponse;
use crate::connection::wire::{
    ContractsStatus, EntryState, EntryStatus, HostEntry, HostKind, HostState, InstanceStatus,
    Status, TaskCounts, WorkerStatus,
};
use crate::version::{Phase, TaskResult};

/// Time without a majority after which a host that holds no instances reports itself as isolated.
/// After a start or a freeze it takes a few heartbeats until a majority has answered.
const ISOLATION_DELAY: Millis = Millis(2_000);
/// Age of the last read of the log above which this host reports that it is cut off from the log.
const CUT_OFF_AGE: Millis = Millis(5_000);

impl Node {
    /// Answers `/ready`; a load balancer sends no callers while the status is 503.
    pub(super) fn ready(&self, now: Millis) -> ApiResponse {
        if self.draining {
            return text_response(503, "draining\n");
        }
        if self.contracts_confirmed.is_none() {
            return text_response(503, "starting\n");
        }
        if self.is_isolated(now) {
            return text_response(503, "isolated\n");
        }
        if !self.has_read_log(now, CUT_OFF_AGE) {
            return text_response(200, "cut off\n");
        }
        if !self.task_log.caught_up {
            return text_response(200, "starting\n");
        }
        text_response(200, "serving\n")
    }

    /// Whether this host is cut off from the majority of its peers and holds no instance, so that
    /// it cannot serve urgent requests.
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        let mut instances = self.backends_of(HostKind::Instance).peekable();
        self.minority_since
            .is_some_and(|since| now.since(since) >= ISOLATION_DELAY)
            && instances.peek().is_some()
            && instances.all(|entry| self.leases.usable(now, &entry.name).is_none())
    }

    /// Why a pending task cannot run, as found by this host or a live peer.
    pub(super) fn blocked_reason(&self, now: Millis, id: &TaskId) -> Option<Name> {
        let own = self.dispatcher.blocked_reason(id).cloned();
        own.or_else(|| {
            let hellos = self
                .live_hosts
                .iter()
                .filter_map(|host| self.live_hello(now, host));
            let mut blocked_tasks = hellos.flat_map(|hello| &hello.misfits);
            blocked_tasks
                .find(|(task, _)| task == id)
                .map(|(_, reason)| reason.clone())
        })
    }

    pub(super) fn status(&self, now: Millis) -> Status {
        let mut entries: Vec<EntryStatus> = self
            .peers
            .keys()
            .map(|name| self.entry_status(now, name))
            .collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        let mut workers: Vec<WorkerStatus> = self
            .backends_of(HostKind::Worker)
            .map(|entry| self.worker_status(now, entry))
            .collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        let mut instances: Vec<InstanceStatus> = self
            .backends_of(HostKind::Instance)
            .map(|entry| self.instance_status(now, entry))
            .collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        Status {
            host: self.identity.host.clone(),
            data_centre: self.identity.data_centre.clone(),
            region: self.identity.region.clone(),
            incarnation: self.identity.incarnation,
            version: env!("CARGO_PKG_VERSION").into(),
            entries,
            workers,
            instances,
            tasks: self.task_counts(),
            contracts: ContractsStatus {
                offset: self.contracts.offset(),
                age: self.contracts_confirmed.map(|read| now.since(read).0),
                customers: self.contracts.iter().count() as u32,
            },
        }
    }

    fn entry_status(&self, now: Millis, name: &Name) -> EntryStatus {
        let data_centre = self.peers[name].data_centre.clone();
        if *name == self.identity.host {
            let state = if self.draining {
                EntryState::Draining
            } else {
                EntryState::Live
            };
            let log_lag = self.task_log.last_read.map(|read| now.since(read).0);
            return EntryStatus {
                name: name.clone(),
                data_centre,
                state,
                log_lag,
            };
        }
        let hello = self.live_hello(now, name);
        let state = match &hello {
            None => EntryState::Dead,
            Some(hello) if hello.draining => EntryState::Draining,
            Some(_) => EntryState::Live,
        };
        let log_lag = hello
            .map(|hello| hello.log_age)
            .filter(|age| *age != u64::MAX);
        EntryStatus {
            name: name.clone(),
            data_centre,
            state,
            log_lag,
        }
    }

    fn worker_status(&self, now: Millis, entry: &HostEntry) -> WorkerStatus {
        let tracked = self.dispatcher.worker(&entry.name);
        WorkerStatus {
            name: entry.name.clone(),
            rack: entry.rack.clone(),
            state: self.backend_state(entry),
            holder: self.holder(now, &entry.name),
            capacity: tracked.map(|tracked| tracked.view.capacity),
            committed: tracked.map(|tracked| tracked.view.committed),
            tasks: self.ledger.claimed_on(&entry.name).count() as u32,
        }
    }

    fn instance_status(&self, now: Millis, entry: &HostEntry) -> InstanceStatus {
        let is_held = self.leases.usable(now, &entry.name).is_some();
        let report = self
            .instances
            .get(&entry.name)
            .filter(|_| is_held)
            .map(|view| &view.report);
        InstanceStatus {
            name: entry.name.clone(),
            service: entry.service.clone(),
            state: self.backend_state(entry),
            holder: self.holder(now, &entry.name),
            slots: report.map(|report| report.slots),
            used: report.map(|report| report.running.len() as u32),
        }
    }

    fn backend_state(&self, entry: &HostEntry) -> HostState {
        if self.leases.is_leaving(&entry.name) {
            HostState::Leaving
        } else {
            entry.state
        }
    }

    /// The entry host that holds the resource's lease, as far as this host knows.
    fn holder(&self, now: Millis, resource: &Name) -> Option<Name> {
        if self.leases.usable(now, resource).is_some() {
            return Some(self.identity.host.clone());
        }
        self.membership.holder(now, resource)
    }

    fn task_counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for (_, task) in self.ledger.iter() {
            let count = match &task.phase {
                Phase::Pending { .. } => &mut counts.pending,
                Phase::Claimed { .. } => &mut counts.claimed,
                Phase::Done {
                    result: TaskResult::Succeeded,
                    ..
                } => &mut counts.succeeded,
                Phase::Done {
                    result: TaskResult::Failed,
                    ..
                } => &mut counts.failed,
                Phase::Done {
                    result: TaskResult::Cancelled,
                    ..
                } => &mut counts.cancelled,
                Phase::Done {
                    result: TaskResult::Unknown,
                    ..
                } => &mut counts.unknown,
            };
            *count += 1;
        }
        counts
    }
}
