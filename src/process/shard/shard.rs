//! The core of a shard: takes events, keeps its state and says what to do. It has no I/O and no
//! clock.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::backlog::Ended;
use super::journal::Journal;
use super::workers::Workers;
use crate::base::{Millis, Name};
use crate::connection::{
    CallError, Partition, StoreAnswer, StoreCall, StoreRequest, WorkerAnswer, WorkerCall,
};
use crate::platform::RegistryEntry;
use crate::request::job::{Contention, Job, JobId, JobSpec, OrderKey, Outcome, TaskKey};
use crate::version::{OwnerRecord, QueueTable, ShardRecord};

use super::journal::Commit;

/// Longest time for a call to the store in milliseconds; it answers in a few, and in some hundred
/// when it is slow.
const STORE_TIME: Millis = Millis(1_500);

/// Shortest time between two passes of the placement, in milliseconds; one pass looks at all workers.
const PLACE_TIME: Millis = Millis(15);

/// The time of an event.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    pub steady: Millis,
    /// Unix milliseconds.
    pub wall: u64,
}

#[derive(Debug, Clone)]
pub struct ShardSettings {
    /// Longest lease that a worker grants.
    pub lease: Millis,
    /// Longest time from a confirmed stop to the end of the run.
    pub stop_time: Millis,
    /// How long the outcome of an ended job is kept.
    pub status_keep: Millis,
}

/// What a client asks of the shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    Submit {
        job: JobId,
        queue: Name,
        spec: Arc<JobSpec>,
    },
    State {
        job: JobId,
        queue: Name,
    },
    Cancel {
        job: JobId,
        queue: Name,
    },
    Backlog {
        queue: Name,
    },
}

/// Answer to a request; clients of every host get the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    Accepted,
    /// Not accepted, and it never runs unless it is submitted again.
    Refused {
        retry_after: u32,
    },
    State {
        outcome: Option<Outcome>,
        has_started: bool,
    },
    Cancelled,
    /// No such job.
    Gone,
    Backlog(u64),
    /// The call was not carried out, since the store cannot be reached.
    Unavailable,
}

/// Names a call to a worker.
#[derive(Debug, Clone)]
pub enum WorkerTag {
    Start {
        worker: Name,
        task: TaskKey,
        run: u64,
    },
    Stop {
        worker: Name,
        task: TaskKey,
        run: u64,
    },
    Poll {
        worker: Name,
        sent: Millis,
        is_quick: bool,
    },
    Pace {
        worker: Name,
        task: TaskKey,
        percent: u8,
    },
}

/// Names a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTag {
    Append,
    Load,
}

#[derive(Debug, Clone)]
pub enum RegistryChange {
    Set(Name, RegistryEntry),
    Removed(Name),
}

#[derive(Debug)]
pub enum ShardEvent {
    Request(u64, Request),
    Registry(Vec<RegistryChange>),
    /// Also sent for each new version.
    Queues(Arc<QueueTable>),
    Store(StoreTag, Result<StoreAnswer, CallError>),
    Worker(WorkerTag, Result<WorkerAnswer, CallError>),
}

#[derive(Debug)]
pub enum ShardAction {
    Reply(u64, Reply),
    Store(StoreTag, StoreCall),
    Worker(WorkerTag, WorkerCall),
    /// Another owner has taken the shard.
    StepDown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    Claiming,
    Loading,
    /// All records are read; runs of an earlier owner may not be known yet.
    Settling,
    Active,
}

/// The owner's state of one shard.
pub struct Shard {
    pub(super) settings: ShardSettings,
    pub(super) partition: Partition,
    pub(super) owner: OwnerRecord,
    pub(super) phase: Phase,
    pub(super) claimed: Millis,
    pub(super) queues: Arc<QueueTable>,
    pub(super) journal: Journal,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) ended: HashMap<JobId, Ended>,
    /// Jobs that an earlier owner accepted and whose runs may not be known yet.
    pub(super) inherited: BTreeSet<JobId>,
    /// Jobs whose acceptance is stored.
    pub(super) accepted: BTreeSet<JobId>,
    /// Jobs whose end waits for the store.
    pub(super) ending: HashMap<JobId, Outcome>,
    /// Steps with tasks to place.
    pub(super) ready: BTreeSet<OrderKey>,
    /// Jobs with turns that come due later, by Unix milliseconds.
    pub(super) timed: BTreeSet<(u64, JobId)>,
    pub(super) workers: Workers,
    /// Tasks with a run that only has to end before another may start.
    pub(super) strays: HashSet<TaskKey>,
    /// Calls that wait for the outcome of a job's append.
    pub(super) tickets: HashMap<JobId, Vec<u64>>,
    /// Records read so far while loading, and when to ask for the next page.
    pub(super) loaded: Vec<ShardRecord>,
    pub(super) load_key: Option<String>,
    pub(super) load_at: Option<Millis>,
    /// Requests that came before the records were read.
    pub(super) held: Vec<(u64, Request)>,
    pub(super) contention: Contention,
    pub(super) is_changed: bool,
    /// Unix milliseconds of the newest event.
    pub(super) wall: u64,
    last_place: Millis,
    pub(super) last_watch: Millis,
    pub(super) last_sweep: Millis,
    pub(super) is_superseded: bool,
}

impl Shard {
    /// Claims the shard with an epoch that must be higher than every earlier one.
    pub fn claim(
        settings: ShardSettings,
        partition: Partition,
        owner: OwnerRecord,
        queues: Arc<QueueTable>,
        now: Now,
        out: &mut Vec<ShardAction>,
    ) -> Shard {
        let mut journal = Journal::new(partition.clone(), owner.epoch, now.steady);
        journal.push(&ShardRecord::Owner(owner.clone()), Some(Commit::Owner));
        let mut shard = Shard {
            settings,
            partition,
            owner,
            phase: Phase::Claiming,
            claimed: now.steady,
            queues,
            journal,
            jobs: HashMap::new(),
            ended: HashMap::new(),
            inherited: BTreeSet::new(),
            accepted: BTreeSet::new(),
            ending: HashMap::new(),
            ready: BTreeSet::new(),
            timed: BTreeSet::new(),
            workers: Workers::default(),
            strays: HashSet::new(),
            tickets: HashMap::new(),
            loaded: Vec::new(),
            load_key: None,
            load_at: None,
            held: Vec::new(),
            contention: Contention::default(),
            is_changed: false,
            wall: now.wall,
            last_place: Millis(0),
            last_watch: Millis(0),
            last_sweep: now.steady,
            is_superseded: false,
        };
        shard.write(now, out);
        shard
    }

    pub fn handle(&mut self, now: Now, event: ShardEvent, out: &mut Vec<ShardAction>) {
        self.wall = now.wall;
        match event {
            ShardEvent::Request(ticket, request) => self.request(now, ticket, request, out),
            ShardEvent::Registry(changes) => {
                for change in changes {
                    self.registry(now, change);
                }
                self.is_changed = true;
            }
            ShardEvent::Queues(queues) => {
                self.queues = queues;
                self.reorder();
            }
            ShardEvent::Store(StoreTag::Append, answer) => self.appended(now, answer, out),
            ShardEvent::Store(StoreTag::Load, answer) => self.loaded(now, answer, out),
            ShardEvent::Worker(tag, answer) => self.answered(now, tag, answer, out),
        }
    }

    /// Does what is due. Call it after each round of events and at least every 50 ms.
    pub fn poll(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if self.is_superseded {
            return;
        }
        self.wall = now.wall;
        self.sweep(now, out);
        if self.phase >= Phase::Settling {
            self.poll_workers(now, out);
            if self.is_changed && now.steady.since(self.last_place) >= PLACE_TIME {
                self.is_changed = false;
                self.last_place = now.steady;
                self.place(now, out);
            }
        }
        self.write(now, out);
    }

    /// How long the store has refused or lost appends.
    pub fn failing_for(&self, now: Millis) -> Option<Millis> {
        self.journal.failing_for(now)
    }

    /// Whether the store has accepted the claim.
    pub fn is_claimed(&self) -> bool {
        self.phase > Phase::Claiming && !self.is_superseded
    }

    /// Workers that the registry lists.
    pub fn listed_workers(&self) -> impl Iterator<Item = &Name> {
        self.workers
            .iter()
            .filter(|worker| worker.is_listed)
            .map(|worker| &worker.id)
    }

    pub fn epoch(&self) -> u64 {
        self.owner.epoch
    }

    /// Sends the next append, or repeats the one under way.
    pub(super) fn write(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        let request = match self.journal.retry(now.steady) {
            Some(request) => Some(request),
            None if self.journal.is_idle(now.steady) => self.next_batch(now),
            None => None,
        };
        if let Some(request) = request {
            out.push(ShardAction::Store(StoreTag::Append, store_call(request)));
        }
    }

    fn next_batch(&mut self, now: Now) -> Option<StoreRequest> {
        for id in self.journal.take_dirty() {
            if let Some(record) = self.progress_record(id) {
                self.journal.push(&record, None);
            }
        }
        let mut noted = Vec::new();
        for worker in self.workers.iter() {
            let Some(born) = worker.born.filter(|_| worker.processed > worker.noted) else {
                continue;
            };
            noted.push(Commit::Noted {
                worker: worker.id.clone(),
                born,
                number: worker.processed,
            });
        }
        if !noted.is_empty() && !self.journal.has_pending() {
            // These ends changed nothing, so there is nothing to wait for.
            for commit in noted {
                self.commit_noted(commit);
            }
            return None;
        }
        self.journal.build(now.steady, noted)
    }

    pub(super) fn commit_noted(&mut self, commit: Commit) {
        let Commit::Noted {
            worker,
            born,
            number,
        } = commit
        else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&worker) {
            if worker.born == Some(born) && number > worker.noted {
                worker.noted = number;
            }
        }
    }
}

pub(super) fn store_call(request: StoreRequest) -> StoreCall {
    StoreCall {
        request,
        timeout: STORE_TIME,
    }
}
