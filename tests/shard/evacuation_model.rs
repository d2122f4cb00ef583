//! Model of the operator who evacuates data centres, and of the hosts that read the requests for their owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jayfork::base::Name;
use jayfork::process::shard::ShardEvent;

use super::world::World;

/// Interval at which the host of an owner reads the requests, in milliseconds.
const READ_INTERVAL: u64 = 900;
/// A start after an outage of the store is judged only this much later, in milliseconds.
const CONTACT_TIME: u64 = 4_000;
/// Longest time from a request to the last start, in milliseconds, where one is in force.
pub const BOUND: u64 = 5_000;

/// The operator's requests, and what the owners know of them.
#[derive(Default)]
pub struct Operator {
    /// Longest time from a request to the last start; `None` if the owners need not know the requests before they
    /// start tasks.
    pub bound: Option<u64>,
    /// Data centres of the workers in turn; all are in one if there are none.
    pub data_centres: Vec<&'static str>,
    /// When the store acknowledged each request that is in force.
    requests: BTreeMap<&'static str, u64>,
    /// Time from a claim until its host has read the requests, in milliseconds.
    pub first_read: u64,
    /// When each owner reads the requests next.
    reads: Vec<u64>,
    /// What each owner was told last.
    told: Vec<Option<Arc<BTreeSet<Name>>>>,
    /// When the last outage of the store ended.
    outage_end: u64,
}

impl Operator {
    /// An operator of workers in three data centres, whose requests bind all owners.
    pub fn of_three() -> Self {
        Operator {
            bound: Some(BOUND),
            data_centres: vec!["east", "west", "south"],
            first_read: 20,
            ..Operator::default()
        }
    }

    pub fn data_centre(&self, worker: usize) -> &'static str {
        match self.data_centres.len() {
            0 => "east",
            count => self.data_centres[worker % count],
        }
    }
}

impl World {
    /// Requests the evacuation of a data centre. While the store is down, nothing is requested.
    pub fn evacuate(&mut self, data_centre: &'static str) {
        if !self.store.is_down {
            let now = self.now;
            self.operator.requests.entry(data_centre).or_insert(now);
        }
    }

    /// Gives a data centre back.
    pub fn give_back(&mut self, data_centre: &str) {
        if !self.store.is_down {
            self.operator.requests.remove(data_centre);
        }
    }

    /// Runs of a job in a data centre.
    pub fn running_in(&self, id: u64, data_centre: &str) -> usize {
        let workers = self.fleet.workers.iter().enumerate();
        workers
            .filter(|(index, _)| self.operator.data_centre(*index) == data_centre)
            .flat_map(|(_, worker)| worker.runs.keys())
            .filter(|task| task.step.job.0 == id)
            .count()
    }

    /// Passes the requests to the owners whose hosts read them now.
    pub fn tell_evacuations(&mut self) {
        if self.store.is_down {
            self.operator.outage_end = self.now;
            return;
        }
        let first_read = self.now + self.operator.first_read;
        self.operator.reads.resize(self.owners.len(), first_read);
        self.operator.told.resize(self.owners.len(), None);
        let names = self.operator.requests.keys();
        let data_centres: BTreeSet<Name> = names.map(|name| (*name).into()).collect();
        let data_centres = Arc::new(data_centres);
        for owner in 0..self.owners.len() {
            let is_cut = self.cuts.store.contains(&owner) || self.cuts.paused.contains(&owner);
            if is_cut || self.operator.reads[owner] > self.now {
                continue;
            }
            self.operator.reads[owner] = self.now + READ_INTERVAL;
            let told = self.operator.told[owner].replace(data_centres.clone());
            if told.as_ref() == Some(&data_centres) {
                continue;
            }
            let event = ShardEvent::Evacuations(data_centres.clone());
            self.event(owner, event);
        }
    }

    /// Reports a violation if an owner orders a start on a worker whose data centre has been evacuated for longer
    /// than the bound.
    pub fn check_evacuation(&mut self, worker: usize) {
        let Some(bound) = self.operator.bound else {
            return;
        };
        let data_centre = self.operator.data_centre(worker);
        let requested = self.operator.requests.get(data_centre);
        let is_judged = self.now >= self.operator.outage_end + CONTACT_TIME;
        if requested.is_some_and(|at| self.now > at + bound) && is_judged {
            let text = format!("start on worker {worker} in {data_centre} at {}", self.now);
            self.fleet.violations.push(text);
        }
    }
}
