//! The state machine of a shard: it takes events, updates its state and returns actions. It does no
//! I/O and reads no clock.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::backlog::Backlog;
use super::candidates::UnmetRequirements;
use super::clearing::WaitingDemand;
use super::evacuation::Evacuations;
use super::handover::Handover;
use super::journal::Journal;
use super::lost_runs::LostRuns;
use super::queues::Queues;
use super::recovery::LoadRange;
use super::requests::Ended;
use super::resignation::Resignation;
use super::start_window::StartWindow;
use super::turns::StarvedTurns;
use super::workers::Workers;
use crate::base::{Millis, Name};
use crate::connection::{
    CallError, Partition, StoreAnswer, StoreCall, StoreRequest, WorkerAnswer, WorkerCall,
};
use crate::platform::RegistryEntry;
use crate::request::job::{
    Contention, Job, JobId, JobSpec, OrderKey, Outages, Outcome, StepId, TaskKey,
};
use crate::version::{OwnerRecord, QueueIndex, QueueRef, QueueTable, ShardRecord};

use super::journal::{Commit, store_call};

/// Shortest time between two placement passes, in milliseconds; each pass checks all workers.
const PLACEMENT_INTERVAL: Millis = Millis(15);

/// Longest lease that an owner grants, in milliseconds, even if workers accept longer ones. The tasks of
/// a worker that is lost without a trace wait until its lease has expired, and a new owner waits as
/// long for a worker that it cannot reach. A shorter lease could expire before the next owner renews it.
const MAX_LEASE: Millis = Millis(6_000);

/// The time of an event on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock.
    pub steady: Millis,
    /// Wall clock in Unix milliseconds.
    pub wall: u64,
}

#[derive(Debug, Clone)]
pub struct ShardSettings {
    /// Longest lease that a worker accepts.
    pub lease: Millis,
    /// Longest time from the confirmation of a stop order to the end of the run.
    pub stop_time: Millis,
    /// How long the outcome of an ended job can be queried.
    pub status_keep: Millis,
    /// Longest time from the operator's request to evacuate a data centre to the last start there. With it, an owner
    /// starts nothing before it knows these requests.
    pub evacuation_bound: Option<Millis>,
    /// Whether a client that is refused in an outage of the store is told to come back by how long it may last.
    pub adapts_retry: bool,
    /// Most memory for the jobs that an owner holds, in bytes.
    pub job_memory: u64,
}

impl ShardSettings {
    /// Length of the leases that owners grant.
    pub(super) fn granted_lease(&self) -> Millis {
        self.lease.min(MAX_LEASE)
    }
}

/// A client's request to the shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    Submit {
        job: JobId,
        queue: QueueRef,
        spec: Arc<JobSpec>,
    },
    State {
        job: JobId,
        queue: QueueRef,
    },
    Cancel {
        job: JobId,
        queue: QueueRef,
    },
    Backlog {
        queue: QueueRef,
    },
}

/// Answer to a request; it does not depend on the host that the client called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    Accepted,
    /// The job was not accepted and never runs unless it is submitted again.
    Refused {
        /// Seconds after which the client may try again.
        retry_after: u32,
    },
    State {
        /// `None` while the job is open.
        outcome: Option<Outcome>,
        /// Whether a task of the job has been started.
        has_started: bool,
    },
    Cancelled,
    /// No such job: it was never accepted, or its outcome has been dropped.
    Gone,
    /// Number of accepted jobs in the queue without a started task.
    Backlog(u64),
    /// The request was not carried out: the store cannot be reached or the shard is still loading.
    Unavailable,
}

/// Identifies a call to a worker; returned with the answer.
#[derive(Debug, Clone)]
pub enum WorkerTag {
    Start {
        worker: Name,
        sent: Millis,
        /// Size of the order.
        bytes: usize,
        task: TaskKey,
        run: u64,
        /// End of the lease that the order carries.
        lease_end: u64,
    },
    Stop {
        worker: Name,
        task: TaskKey,
        run: u64,
    },
    /// Request for a report.
    Poll {
        worker: Name,
        sent: Millis,
        /// Whether the worker answers at once, without waiting for a run to end.
        is_immediate: bool,
    },
    Throttle {
        worker: Name,
        task: TaskKey,
        percent: u8,
    },
}

/// Identifies a call to the store; returned with the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTag {
    Append,
    /// Reads a page of one range of the records.
    Load {
        range: usize,
    },
}

/// What decides the way of orders to a worker.
#[derive(Debug, Clone, Copy)]
pub struct Route<'a> {
    pub data_centre: &'a Name,
    /// Number of ways to the worker that have failed lately.
    pub detour: u32,
}

#[derive(Debug, Clone)]
pub enum RegistryChange {
    Set(Name, RegistryEntry),
    Removed(Name),
}

#[derive(Debug)]
pub enum ShardEvent {
    /// A request with the ticket that identifies its reply.
    Request(u64, Request),
    Registry(Vec<RegistryChange>),
    /// The queues at the start and after each new version.
    Queues(Arc<QueueTable>),
    /// The data centres that the operator wants evacuated, at the start and after each change.
    Evacuations(Arc<BTreeSet<Name>>),
    Store(StoreTag, Result<StoreAnswer, CallError>),
    Worker(WorkerTag, Result<WorkerAnswer, CallError>),
}

#[derive(Debug)]
pub enum ShardAction {
    Reply(u64, Reply),
    Store(StoreTag, StoreCall),
    Worker(WorkerTag, WorkerCall),
    /// Another owner has claimed the shard, so this one must stop acting on it.
    StepDown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The claim is not stored yet.
    Claiming,
    /// The records of earlier owners are being loaded.
    Loading,
    /// All records are loaded, but some runs that an earlier owner started may not be known yet.
    Recovering,
    /// All runs that may exist are known.
    Active,
}

/// The owner's state of one shard.
pub struct Shard {
    pub(super) settings: ShardSettings,
    pub(super) partition: Partition,
    pub(super) owner: OwnerRecord,
    pub(super) phase: Phase,
    /// When the claim was known to be stored; until then, earlier owners may renew leases.
    pub(super) claimed_at: Millis,
    pub(super) queues: Queues,
    pub(super) journal: Journal,
    pub(super) jobs: HashMap<JobId, Job>,
    /// Outcomes of ended jobs, kept for `status_keep`.
    pub(super) ended: HashMap<JobId, Ended>,
    /// Jobs recovered from an earlier owner whose runs may not be known yet.
    pub(super) recovered: BTreeSet<JobId>,
    /// Open jobs whose acceptance is stored in the journal.
    pub(super) accepted: BTreeSet<JobId>,
    /// Number of records with details of each job that has some.
    pub(super) detail_parts: HashMap<JobId, u32>,
    /// Jobs whose end is not stored yet.
    pub(super) ending: HashMap<JobId, Outcome>,
    /// Steps with waiting tasks, in the order of placement.
    pub(super) ready: BTreeSet<OrderKey>,
    /// Long-running tasks whose run has ended, with the time since when they wait.
    pub(super) restarts: BTreeSet<(Millis, TaskKey)>,
    /// The first of them that the last placement pass did not try.
    pub(super) restart_cursor: Option<(Millis, TaskKey)>,
    /// Due times, in Unix milliseconds, of the jobs' next turns. A turn is one occurrence of a
    /// repeating job.
    pub(super) upcoming_turns: BTreeSet<(u64, JobId)>,
    pub(super) workers: Workers,
    /// Tasks with an orphaned run, which has to end before another one may start.
    pub(super) orphaned_tasks: HashSet<TaskKey>,
    /// Tasks that may run on a leaving worker that this owner has not heard from.
    pub(super) unheard_tasks: HashSet<TaskKey>,
    /// Runs that were lost with silent workers and may have succeeded.
    pub(super) lost_runs: LostRuns,
    /// Tickets of requests that are answered once a record of the job is stored.
    pub(super) tickets: HashMap<JobId, Vec<u64>>,
    /// Records loaded so far.
    pub(super) loaded_records: Vec<ShardRecord>,
    /// Ranges of records that are being read.
    pub(super) loads: Vec<LoadRange>,
    /// Requests received before all records were loaded.
    pub(super) held: Vec<(u64, Request)>,
    /// Memory of the jobs among them, in bytes.
    pub(super) held_memory: u64,
    pub(super) contention: Contention,
    /// When the learned interference was last recorded.
    pub(super) last_learned: Millis,
    /// Whether something has changed since the last placement pass that may let more tasks start.
    pub(super) needs_placement: bool,
    /// Wall clock of the newest event, in Unix milliseconds.
    pub(super) wall: u64,
    last_placement: Millis,
    /// Number of placement passes, in workers that were passed over.
    pub(super) placement_passes: usize,
    /// Requirements that no worker had room for in earlier placement passes.
    pub(super) unmet: Vec<UnmetRequirements>,
    /// What the open jobs still have to do.
    pub(super) backlog: Backlog,
    /// When a placement pass last checked all workers.
    pub(super) last_full_pass: Millis,
    /// Best-effort tasks that wait for a worker.
    pub(super) waiting_demand: WaitingDemand,
    /// When `waiting_demand` was last summed up.
    pub(super) last_rating: Millis,
    /// When serving tasks were last moved for best-effort tasks.
    pub(super) last_clearing: Millis,
    pub(super) outages: Outages,
    pub(super) evacuations: Evacuations,
    /// Start orders without an answer.
    pub(super) pending_starts: usize,
    pub(super) start_window: StartWindow,
    pub(super) last_poll: Millis,
    pub(super) last_sweep: Millis,
    /// Long-running steps that waited when this was last logged, in the order of placement.
    pub(super) waiting_steps: Vec<StepId>,
    pub(super) last_waiting_log: Millis,
    pub(super) starved_turns: StarvedTurns,
    /// While it is set, this owner grants no leases.
    pub(super) resignation: Option<Resignation>,
    /// Whether this owner has set it before.
    pub(super) has_begun_to_resign: bool,
    /// What the owner before has told this one, until the records are read.
    pub(super) handover: Option<Handover>,
    /// When this owner last told another host that it grants no more leases.
    pub(super) suspended_at: Option<Millis>,
    /// Whether a newer owner is known.
    pub(super) is_superseded: bool,
}

impl Shard {
    /// Claims the shard after an owner that has told its state, if there is one.
    pub fn claim_after(
        handover: Option<Handover>,
        settings: ShardSettings,
        partition: Partition,
        owner: OwnerRecord,
        queues: Arc<QueueTable>,
        now: Now,
        out: &mut Vec<ShardAction>,
    ) -> Shard {
        let journal = Journal::new(partition.clone(), owner.epoch, now.steady);
        let evacuations = Evacuations::new(settings.evacuation_bound);
        let mut shard = Shard {
            settings,
            partition,
            owner,
            phase: Phase::Claiming,
            claimed_at: now.steady,
            queues: QueueIndex::from(queues).into(),
            journal,
            jobs: HashMap::new(),
            ended: HashMap::new(),
            recovered: BTreeSet::new(),
            accepted: BTreeSet::new(),
            detail_parts: HashMap::new(),
            ending: HashMap::new(),
            ready: BTreeSet::new(),
            restarts: BTreeSet::new(),
            restart_cursor: None,
            upcoming_turns: BTreeSet::new(),
            workers: Workers::default(),
            orphaned_tasks: HashSet::new(),
            unheard_tasks: HashSet::new(),
            lost_runs: LostRuns::default(),
            tickets: HashMap::new(),
            loaded_records: Vec::new(),
            loads: Vec::new(),
            held: Vec::new(),
            held_memory: 0,
            contention: Contention::default(),
            last_learned: now.steady,
            needs_placement: false,
            wall: now.wall,
            last_placement: Millis(0),
            placement_passes: 0,
            unmet: Vec::new(),
            backlog: Backlog::default(),
            last_full_pass: Millis(0),
            waiting_demand: WaitingDemand::default(),
            last_rating: Millis(0),
            last_clearing: Millis(0),
            outages: Outages::default(),
            evacuations,
            pending_starts: 0,
            start_window: StartWindow::default(),
            last_poll: Millis(0),
            last_sweep: now.steady,
            waiting_steps: Vec::new(),
            last_waiting_log: now.steady,
            starved_turns: StarvedTurns::default(),
            resignation: None,
            has_begun_to_resign: false,
            handover,
            suspended_at: None,
            is_superseded: false,
        };
        let record = shard.claim_record();
        shard.journal.push(&record, Some(Commit::Owner));
        shard.flush_journal(now, out);
        shard
    }

    /// Applies an event and appends the actions that follow from it to `out`.
    pub fn handle(&mut self, now: Now, event: ShardEvent, out: &mut Vec<ShardAction>) {
        self.wall = now.wall;
        match event {
            ShardEvent::Request(ticket, request) => self.handle_request(now, ticket, request, out),
            ShardEvent::Registry(changes) => {
                for change in changes {
                    self.apply_registry_change(now, change);
                }
                self.needs_placement = true;
            }
            ShardEvent::Queues(queues) => {
                let used = self.used_queues();
                for record in self.queues.apply(queues.into(), &used) {
                    self.journal.push(&record, None);
                }
                self.rebuild_order();
            }
            ShardEvent::Evacuations(data_centres) => self.apply_evacuations(now, &data_centres),
            ShardEvent::Store(StoreTag::Append, answer) => {
                self.handle_append_answer(now, answer, out)
            }
            ShardEvent::Store(StoreTag::Load { range }, answer) => {
                self.handle_page(now, range, answer, out)
            }
            ShardEvent::Worker(tag, answer) => self.handle_worker_answer(now, tag, answer, out),
        }
    }

    /// Runs everything that is due. Must be called after each batch of events and at least every
    /// 50 ms.
    pub fn poll(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if self.is_superseded {
            return;
        }
        self.wall = now.wall;
        self.sweep(now, out);
        if self.phase >= Phase::Recovering {
            self.poll_workers(now, out);
            if self.needs_placement && now.steady.since(self.last_placement) >= PLACEMENT_INTERVAL {
                self.needs_placement = false;
                self.last_placement = now.steady;
                self.place(now, out);
            }
        }
        self.flush_journal(now, out);
    }

    /// How long appends to the store have been failing.
    pub fn failing_for(&self, now: Millis) -> Option<Millis> {
        self.journal.failing_for(now)
    }

    /// Whether the claim is stored and no newer owner is known.
    pub fn is_claimed(&self) -> bool {
        self.phase > Phase::Claiming && !self.is_superseded
    }

    /// Workers that are listed in the registry.
    pub fn listed_workers(&self) -> impl Iterator<Item = &Name> {
        self.workers
            .iter()
            .filter(|worker| worker.is_listed)
            .map(|worker| &worker.id)
    }

    /// What decides the way of orders to a worker, if its entry in the registry is known.
    pub fn route(&self, now: Millis, worker: &Name) -> Option<Route<'_>> {
        let worker = self.workers.get(worker)?;
        Some(Route {
            data_centre: worker.data_centre.as_ref()?,
            detour: worker.detour(now),
        })
    }

    pub fn epoch(&self) -> u64 {
        self.owner.epoch
    }

    /// Sends the next append, or repeats the pending one if its pause is over.
    pub(super) fn flush_journal(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        let request = match self.journal.resend(now.steady) {
            Some(request) => Some(request),
            None if self.journal.may_append(now.steady) => self.next_batch(now),
            None => None,
        };
        if let Some(request) = request {
            out.push(ShardAction::Store(StoreTag::Append, store_call(request)));
        }
    }

    /// Collects what is to be recorded and returns its append, or `None` if there is nothing.
    fn next_batch(&mut self, now: Now) -> Option<StoreRequest> {
        for id in self.journal.take_dirty() {
            self.record_progress(now, id);
        }
        let (records, changes) = self.lost_runs.take_records();
        let last = records.len();
        for (number, record) in records.iter().enumerate() {
            let commit = (number + 1 == last).then_some(Commit::LostRuns(changes));
            self.journal.push(record, commit);
        }
        let mut acknowledgements = Vec::new();
        for worker in self.workers.iter() {
            let Some(incarnation) = worker
                .incarnation
                .filter(|_| worker.acknowledgeable() > worker.acknowledged)
            else {
                continue;
            };
            acknowledgements.push(Commit::Acknowledged {
                worker: worker.id.clone(),
                incarnation,
                number: worker.acknowledgeable(),
            });
        }
        if !acknowledgements.is_empty() && !self.journal.has_pending() {
            // These ends changed no job, so they need no record and are acknowledged at once.
            for commit in acknowledgements {
                self.commit_acknowledged(commit);
            }
            return None;
        }
        self.journal.start_batch(now.steady, acknowledgements)
    }

    /// Remembers that the ends of a worker's runs up to a number are recorded.
    pub(super) fn commit_acknowledged(&mut self, commit: Commit) {
        let Commit::Acknowledged {
            worker,
            incarnation,
            number,
        } = commit
        else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&worker) {
            if worker.incarnation == Some(incarnation) && number > worker.acknowledged {
                tracing::debug!(worker = %worker.id, number, "acknowledging ends");
                worker.acknowledged = number;
            }
        }
        self.ends_recorded(&worker);
    }
}
