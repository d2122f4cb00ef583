//! Turns pending tasks into claims and claims into running attempts.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::book::{AttemptState, TrackedWorker};
use super::estimate::{SizeEstimator, SizeKey};
use super::interference::InterferencePolicy;
use super::placement::{Demand, Placer, WorkerView};
use super::quarantine::Quarantine;
use crate::base::{Attempt, Millis, Name, Size, TaskId, Token};
use crate::connection::wire::{Ack, StartRequest, StartState, TaskCommand, WorkerReport};
use crate::connection::{Command, Error, Grant, Lease, StartError};
use crate::version::{Ledger, Phase, QueuePlace, Record, Task};

/// Priority of urgent tasks.
pub(super) const URGENT_PRIORITY: u8 = 0;
/// Time after which an unread proposal is made again.
const PROPOSAL_TTL: Millis = Millis(5_000);
/// Pause before a start without an answer is repeated.
const START_RETRY: Millis = Millis(500);

/// Time between two looks for state of tasks that have ended.
const FORGET_INTERVAL: Millis = Millis(1_000);

/// What the dispatcher wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    Append(Record),
    Start {
        worker: Name,
        address: Name,
        task: TaskId,
        request: StartRequest,
    },
    Command {
        worker: Name,
        address: Name,
        command: Command,
        request: TaskCommand,
    },
}

/// What the dispatcher may assume at one poll.
#[derive(Debug, Clone, Copy)]
pub struct DispatchView<'a> {
    pub ledger: &'a Ledger,
    /// Live entry hosts of the data centre, this one included.
    pub hosts: &'a [Name],
    /// Services with an instance on each worker's host.
    pub services: &'a HashMap<Name, Vec<Name>>,
    /// Services that are slow on each worker's host.
    pub slow_services: &'a HashMap<Name, Vec<Name>>,
    /// Quota in this data centre of each customer.
    pub quotas: &'a HashMap<Name, Size>,
    /// Whether new claims may be proposed: the task stream was read to its end lately and
    /// appends succeed.
    pub can_claim: bool,
}

/// Accounts for the workers whose lease this host holds.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) host: Name,
    pub(super) workers: BTreeMap<Name, TrackedWorker>,
    /// Views of the workers that are not held, so that a job that fits nowhere is recognised.
    pub(super) unheld_workers: Vec<WorkerView>,
    /// Proposed claims by task.
    pub(super) proposed: HashMap<TaskId, (Name, Millis)>,
    /// When this host first saw a pending task.
    pub(super) seen: HashMap<TaskId, Millis>,
    /// Attempts whose end this process has put into the journal, by the lease it held then. Under
    /// a later lease the end is judged anew, because the first record may be void.
    pub(super) reported: HashSet<(TaskId, Attempt, Token)>,
    /// Claims of former holders that this process has put into the journal as adopted.
    pub(super) adopted: HashMap<TaskId, (Attempt, Token)>,
    /// Number of starts without an answer by attempt.
    pub(super) unanswered: HashMap<(TaskId, Attempt), u32>,
    /// Why pending tasks can't run.
    pub(super) blocked: HashMap<TaskId, Name>,
    /// Last claims of tasks whose job failed on several workers.
    pub(super) retried: HashMap<TaskId, Millis>,
    /// Place of the last pending task that was looked at behind the beginning of the queue.
    pub(super) scanned: Option<QueuePlace>,
    /// When pending tasks are looked at next.
    pub(super) next_claims: Millis,
    /// When state of ended tasks is dropped next.
    pub(super) next_forget: Millis,
    /// When waiting claims are looked at next, and the worker to begin with.
    pub(super) next_release: Millis,
    pub(super) release_from: Option<Name>,
    pub(super) placer: Placer,
    pub(super) estimator: SizeEstimator,
    pub(super) quarantine: Quarantine,
    pub(super) interference: InterferencePolicy,
}

impl Dispatcher {
    pub fn new(host: Name) -> Self {
        Dispatcher {
            host,
            workers: BTreeMap::new(),
            unheld_workers: Vec::new(),
            proposed: HashMap::new(),
            seen: HashMap::new(),
            reported: HashSet::new(),
            adopted: HashMap::new(),
            unanswered: HashMap::new(),
            blocked: HashMap::new(),
            retried: HashMap::new(),
            scanned: None,
            next_claims: Millis(0),
            next_forget: Millis(0),
            next_release: Millis(0),
            release_from: None,
            placer: Placer::new(),
            estimator: SizeEstimator::new(),
            quarantine: Quarantine::new(),
            interference: InterferencePolicy::new(),
        }
    }

    /// Sets what is known of workers that other hosts hold.
    pub fn set_unheld_workers(&mut self, unheld_workers: Vec<WorkerView>) {
        self.unheld_workers = unheld_workers;
    }

    pub fn worker(&self, worker: &str) -> Option<&TrackedWorker> {
        self.workers.get(worker)
    }

    pub fn workers(&self) -> impl Iterator<Item = &TrackedWorker> {
        self.workers.values()
    }

    /// At most `limit` pending tasks that can't run, with the reason.
    pub fn blocked_tasks(&self, limit: usize) -> Vec<(TaskId, Name)> {
        let misfits = self.blocked.iter().take(limit);
        misfits
            .map(|(id, reason)| (id.clone(), reason.clone()))
            .collect()
    }

    /// Why a pending task can never run, in words for an operator.
    pub fn blocked_reason(&self, task: &TaskId) -> Option<&Name> {
        self.blocked.get(task)
    }

    /// Ended attempts that the worker may forget.
    pub fn take_acks(&mut self, worker: &str) -> Vec<Ack> {
        self.workers
            .get_mut(worker)
            .map(|tracked| std::mem::take(&mut tracked.acks))
            .unwrap_or_default()
    }

    /// Starts that wait for an answer.
    pub fn open_starts(&self) -> usize {
        let starting = |tracked: &TrackedWorker| {
            tracked
                .attempts
                .values()
                .filter(|tracked_attempt| tracked_attempt.state == AttemptState::Starting)
                .count()
        };
        self.workers.values().map(starting).sum()
    }

    /// Drops the accounting of a worker whose lease is no longer held.
    pub fn remove_worker(&mut self, worker: &str) {
        if let Some(tracked) = self.workers.remove(worker) {
            self.interference.forget(&tracked.view.name);
            self.proposed.retain(|_, (on, _)| &**on != worker);
        }
    }

    /// Sets whether the lease on a worker may be used now; claims go to usable workers only.
    pub fn set_usable(&mut self, now: Millis, worker: &str, usable: bool) {
        let allowed = usable && self.quarantine.allows(now, worker);
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.set_open(allowed);
        }
    }

    /// Takes a worker's report that came with a lease answer.
    pub fn handle_report(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        held: HeldWorker<'_>,
        out: &mut Vec<DispatchAction>,
    ) {
        if held.grant == Grant::Ignored {
            return;
        }
        let is_known = held.grant == Grant::Renewed && self.workers.contains_key(held.name);
        if !is_known {
            self.remove_worker(held.name);
            self.workers
                .insert(held.name.clone(), TrackedWorker::new(&held));
        }
        let Some(mut tracked) = self.workers.remove(held.name) else {
            return;
        };
        tracked.lease = held.lease;
        tracked.view.capacity = held.report.capacity;
        tracked.view.services = view.services.get(held.name).cloned().unwrap_or_default();
        tracked.excess(&held.report.tasks);
        tracked.ended.clear();
        for entry in &held.report.tasks {
            self.reconcile(now, view.ledger, &mut tracked, entry, out);
        }
        self.relieve(now, view, &mut tracked, held.report, out);
        tracked.set_open(self.quarantine.allows(now, held.name));
        self.workers.insert(held.name.clone(), tracked);
        self.start_claims(now, view, held.name, out);
    }

    /// Takes the outcome of a start.
    pub fn start_answered(
        &mut self,
        now: Millis,
        worker: &str,
        task: &TaskId,
        attempt: Attempt,
        result: Result<StartState, StartError>,
        out: &mut Vec<DispatchAction>,
    ) {
        let result = self.match_answer(task, attempt, result);
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let is_current = tracked.attempts.get(task).is_some_and(|tracked_attempt| {
            tracked_attempt.attempt == attempt && tracked_attempt.state == AttemptState::Starting
        });
        if !is_current {
            return;
        }
        match result {
            // After `Ended` the next report tells how the attempt ended.
            Ok(_) | Err(StartError::Ended) => tracked.set_state(task, AttemptState::Running),
            Err(StartError::StaleToken) => self.remove_worker(worker),
            Err(StartError::NotSent(_)) => {
                tracked.set_state(
                    task,
                    AttemptState::Unconfirmed {
                        retry: now + START_RETRY,
                    },
                );
            }
            Err(StartError::Unknown(_)) => tracked.set_unsure(task, now + START_RETRY),
            Err(StartError::NoCapacity) => tracked.withdraw(task, now),
            Err(StartError::StartFailed) if !tracked.may_release(task) => {
                tracked.set_state(
                    task,
                    AttemptState::Unconfirmed {
                        retry: now + START_RETRY,
                    },
                );
            }
            Err(StartError::StartFailed) => {
                tracked.remove(task);
                let token = tracked.lease.token;
                let worker = tracked.view.name.clone();
                tracing::warn!(%worker, %task, "the worker failed to start the task");
                self.quarantine.failed(now, &worker, task);
                let record = Record::Released {
                    task: task.clone(),
                    attempt,
                    token,
                };
                self.finish(task, (attempt, token), record, out);
            }
        }
    }

    /// The result of a start, or `Unknown` if it may belong to an earlier start of the attempt.
    ///
    /// An answer that arrives late, after the lease was lost and taken again, says nothing of the
    /// start that was sent since.
    fn match_answer(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        result: Result<StartState, StartError>,
    ) -> Result<StartState, StartError> {
        let key = (task.clone(), attempt);
        let open = self.unanswered.remove(&key).unwrap_or_default();
        if open <= 1 {
            return result;
        }
        self.unanswered.insert(key, open - 1);
        match result {
            Ok(state) => Ok(state),
            Err(error) => Err(StartError::Unknown(Error::Broken {
                address: task.to_string(),
                reason: format!("an earlier or a later start was answered: {error}"),
            })),
        }
    }

    /// Collects starts, commands and claims that are due.
    pub fn poll(&mut self, now: Millis, view: &DispatchView<'_>, out: &mut Vec<DispatchAction>) {
        self.forget(now, view.ledger);
        let is_due = |(name, tracked): &(&Name, &TrackedWorker)| {
            tracked.is_due(now, view.ledger.claims_version(name))
        };
        let due = self.workers.iter().filter(is_due);
        let workers: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        for worker in &workers {
            self.start_claims(now, view, worker, out);
        }
        if view.can_claim {
            self.release_waiting(now, view.ledger, out);
            self.claim_pending(now, view, out);
        }
    }

    /// A command took effect on the worker.
    pub fn command_answered(&mut self, now: Millis, worker: &Name) {
        self.interference.command_answered(now, worker);
    }

    pub(super) fn demand(&self, task: &Task) -> Demand {
        let spec = &task.spec;
        let size = self.estimator.estimate(&size_key(task), spec.size);
        let urgent = spec.priority == URGENT_PRIORITY;
        Demand::new(spec.task.customer.clone(), spec.class.clone(), size, urgent)
    }

    pub(super) fn views(&self) -> Vec<WorkerView> {
        let held = self.workers.values().map(|tracked| tracked.view.clone());
        let others = self
            .unheld_workers
            .iter()
            .filter(|view| !self.workers.contains_key(&view.name));
        held.chain(others.cloned()).collect()
    }

    /// Puts the end of an attempt into the journal, once.
    pub(super) fn finish(
        &mut self,
        id: &TaskId,
        (attempt, token): (Attempt, Token),
        record: Record,
        out: &mut Vec<DispatchAction>,
    ) {
        if self.reported.insert((id.clone(), attempt, token)) {
            out.push(DispatchAction::Append(record));
        }
    }

    /// Drops what later records have made void.
    fn forget(&mut self, now: Millis, ledger: &Ledger) {
        self.forget_proposals(now, ledger);
        if now < self.next_forget {
            return;
        }
        self.next_forget = now + FORGET_INTERVAL;
        self.reported.retain(|(id, attempt, _)| {
            ledger
                .task(id)
                .is_some_and(|task| !task.has_ended(*attempt))
        });
        self.adopted.retain(|id, (attempt, _)| {
            ledger
                .task(id)
                .is_some_and(|task| !task.has_ended(*attempt))
        });
        let is_pending = |id: &TaskId| {
            ledger
                .task(id)
                .is_some_and(|task| matches!(task.phase, Phase::Pending { .. }))
        };
        self.seen.retain(|id, _| is_pending(id));
        self.blocked.retain(|id, _| is_pending(id));
        self.retried
            .retain(|id, _| ledger.task(id).is_some_and(|task| !task.is_done()));
    }

    fn forget_proposals(&mut self, now: Millis, ledger: &Ledger) {
        let is_pending = |id: &TaskId| {
            ledger
                .task(id)
                .is_some_and(|task| matches!(task.phase, Phase::Pending { .. }))
        };
        let expired: Vec<(TaskId, Name)> = self
            .proposed
            .iter()
            .filter(|(id, (_, at))| !is_pending(id) || now.since(*at) >= PROPOSAL_TTL)
            .map(|(id, (worker, _))| (id.clone(), worker.clone()))
            .collect();
        for (id, worker) in expired {
            self.proposed.remove(&id);
            if let Some(tracked) = self.workers.get_mut(&worker) {
                tracked.forget_proposal(&id, ledger.task(&id));
            }
        }
    }
}

/// A held worker and the report that came with its lease.
#[derive(Debug)]
pub struct HeldWorker<'a> {
    pub name: &'a Name,
    pub address: &'a Name,
    pub rack: &'a Name,
    pub lease: Lease,
    pub grant: Grant,
    pub report: &'a WorkerReport,
}

pub(super) fn size_key(task: &Task) -> SizeKey {
    SizeKey::new(
        task.spec.task.customer.clone(),
        task.spec.class.clone(),
        task.spec.size,
    )
}

/// Reserved size of an entry whose task this host does not know.
pub(super) fn unknown_demand(id: &TaskId, size: Size) -> Demand {
    Demand::new(id.customer.clone(), "", size, false)
}
