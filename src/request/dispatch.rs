//! The dispatcher claims pending tasks for workers and starts the claimed attempts.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::estimate::{SizeEstimator, SizeKey};
use super::interference::InterferencePolicy;
use super::placement::{Demand, Placer, WorkerView};
use super::quarantine::Quarantine;
use super::tracked_worker::{AttemptState, TrackedWorker};
use crate::base::{Attempt, Millis, Name, Size, TaskId, Token};
use crate::connection::wire::{Ack, StartRequest, StartState, TaskCommand, WorkerReport};
use crate::connection::{Command, Error, Grant, Lease, StartError};
use crate::version::{Ledger, PendingPosition, Phase, Record, Task};

/// Priority value of urgent tasks.
pub(super) const URGENT_PRIORITY: u8 = 0;
/// Time in ms after which a proposed claim that was not read back may be proposed again.
const PROPOSAL_TTL: Millis = Millis(5_000);
/// Time in ms before a start with an unknown outcome is repeated.
const START_RETRY: Millis = Millis(500);
/// Time in ms between two removals of state that belongs to ended tasks.
const CLEANUP_INTERVAL: Millis = Millis(1_000);

/// An action that the caller carries out for the dispatcher.
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

/// State of the host that the dispatcher reads in one call.
#[derive(Debug, Clone, Copy)]
pub struct DispatchView<'a> {
    pub ledger: &'a Ledger,
    /// Live entry hosts of the data centre, including this one.
    pub hosts: &'a [Name],
    /// Services with an instance on each worker's host.
    pub services: &'a HashMap<Name, Vec<Name>>,
    /// Services that are slow on each worker's host.
    pub slow_services: &'a HashMap<Name, Vec<Name>>,
    /// Each customer's quota in this data centre.
    pub quotas: &'a HashMap<Name, Size>,
    /// Whether new claims may be proposed: the task stream was recently read to its end and
    /// appends succeed.
    pub can_claim: bool,
}

/// Claims and starts tasks on the workers whose lease this host holds.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) host: Name,
    pub(super) workers: BTreeMap<Name, TrackedWorker>,
    /// Workers of the data centre, used for those that this host does not hold; needed to recognise
    /// a task that fits no worker.
    pub(super) all_workers: Vec<WorkerView>,
    /// Claims that were proposed and not read back yet: worker and time of the proposal.
    pub(super) proposed: HashMap<TaskId, (Name, Millis)>,
    /// When this host first saw each pending task.
    pub(super) first_seen: HashMap<TaskId, Millis>,
    /// Attempts whose end this process has appended to the log, with the lease token at that time.
    /// Under a later lease the end is appended again, because the first record may be void.
    pub(super) appended_ends: HashSet<(TaskId, Attempt, Token)>,
    /// Claims of earlier leases whose adoption this process has appended to the log.
    pub(super) adopted: HashMap<TaskId, (Attempt, Token)>,
    /// Number of unanswered starts of each attempt.
    pub(super) unanswered_starts: HashMap<(TaskId, Attempt), u32>,
    /// Reasons why pending tasks can't run.
    pub(super) blocked: HashMap<TaskId, Name>,
    /// For each task whose job failed on several workers, when it was last allowed to be claimed.
    pub(super) last_retry: HashMap<TaskId, Millis>,
    /// Where the scan of the queue beyond its first tasks stopped.
    pub(super) scan_position: Option<PendingPosition>,
    /// Time of the next round of claims.
    pub(super) next_claim_round: Millis,
    /// When state of ended tasks is removed next.
    pub(super) next_cleanup: Millis,
    /// When waiting claims are checked next, and the worker to begin with.
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
            all_workers: Vec::new(),
            proposed: HashMap::new(),
            first_seen: HashMap::new(),
            appended_ends: HashSet::new(),
            adopted: HashMap::new(),
            unanswered_starts: HashMap::new(),
            blocked: HashMap::new(),
            last_retry: HashMap::new(),
            scan_position: None,
            next_claim_round: Millis(0),
            next_cleanup: Millis(0),
            next_release: Millis(0),
            release_from: None,
            placer: Placer::new(),
            estimator: SizeEstimator::new(),
            quarantine: Quarantine::new(),
            interference: InterferencePolicy::new(),
        }
    }

    /// Replaces the views of the workers of the data centre; those of workers held here are
    /// ignored.
    pub fn set_all_workers(&mut self, all_workers: Vec<WorkerView>) {
        self.all_workers = all_workers;
    }

    pub fn worker(&self, worker: &str) -> Option<&TrackedWorker> {
        self.workers.get(worker)
    }

    pub fn workers(&self) -> impl Iterator<Item = &TrackedWorker> {
        self.workers.values()
    }

    /// At most `limit` pending tasks that can't run, each with the reason.
    pub fn blocked_tasks(&self, limit: usize) -> Vec<(TaskId, Name)> {
        let blocked = self.blocked.iter().take(limit);
        blocked
            .map(|(id, reason)| (id.clone(), reason.clone()))
            .collect()
    }

    /// Why a pending task can't run, as shown to operators.
    pub fn blocked_reason(&self, task: &TaskId) -> Option<&Name> {
        self.blocked.get(task)
    }

    /// Takes the ended attempts that the worker may forget, because their end is on the log.
    pub fn take_acks(&mut self, worker: &str) -> Vec<Ack> {
        self.workers
            .get_mut(worker)
            .map(|tracked| std::mem::take(&mut tracked.acks))
            .unwrap_or_default()
    }

    /// Number of attempts whose start was sent and not answered yet.
    pub fn open_starts(&self) -> usize {
        let count_starting = |tracked: &TrackedWorker| {
            tracked
                .attempts
                .values()
                .filter(|known| known.state == AttemptState::Starting)
                .count()
        };
        self.workers.values().map(count_starting).sum()
    }

    /// Drops all state of a worker whose lease is no longer held.
    pub fn remove_worker(&mut self, worker: &str) {
        if let Some(tracked) = self.workers.remove(worker) {
            self.interference.forget(&tracked.view.name);
            self.proposed
                .retain(|_, (claimed_on, _)| &**claimed_on != worker);
        }
    }

    /// Sets whether the lease on a worker is usable now; other workers get no new claims.
    pub fn set_usable(&mut self, now: Millis, worker: &str, usable: bool) {
        let allowed = usable && self.quarantine.allows(now, worker);
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.set_accepts_tasks(allowed);
        }
    }

    /// Handles a worker's report, which arrives with the answer to a lease call.
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
        tracked.set_excess(&held.report.tasks);
        tracked.reported_ends.clear();
        for entry in &held.report.tasks {
            self.reconcile(now, view.ledger, &mut tracked, entry, out);
        }
        self.reduce_interference(now, view, &mut tracked, held.report, out);
        tracked.set_accepts_tasks(self.quarantine.allows(now, held.name));
        self.workers.insert(held.name.clone(), tracked);
        self.advance_claims(now, view, held.name, out);
    }

    /// Handles the outcome of a start.
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
        let is_current = tracked
            .attempts
            .get(task)
            .is_some_and(|known| known.attempt == attempt && known.state == AttemptState::Starting);
        if !is_current {
            return;
        }
        match result {
            // After `Ended`, the next report says how the attempt ended.
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
            Err(StartError::Unknown(_)) => tracked.set_unconfirmed(task, now + START_RETRY),
            Err(StartError::NoCapacity) => tracked.return_to_waiting(task, now),
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
                self.append_end(task, (attempt, token), record, out);
            }
        }
    }

    /// Returns the result of a start, or `Unknown` for a failure that may belong to another one.
    ///
    /// When the lease was lost and acquired again, an attempt can have several unanswered starts,
    /// and the late failure of one says nothing about the others.
    fn match_answer(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        result: Result<StartState, StartError>,
    ) -> Result<StartState, StartError> {
        let key = (task.clone(), attempt);
        let unanswered = self.unanswered_starts.remove(&key).unwrap_or_default();
        if unanswered <= 1 {
            return result;
        }
        self.unanswered_starts.insert(key, unanswered - 1);
        match result {
            Ok(state) => Ok(state),
            Err(error) => Err(StartError::Unknown(Error::Broken {
                address: task.to_string(),
                reason: format!("the failure may belong to another start of the attempt: {error}"),
            })),
        }
    }

    /// Collects the starts, releases and claims that are due.
    pub fn poll(&mut self, now: Millis, view: &DispatchView<'_>, out: &mut Vec<DispatchAction>) {
        self.clean_up(now, view.ledger);
        let is_due = |(name, tracked): &(&Name, &TrackedWorker)| {
            tracked.needs_claim_check(now, view.ledger.claims_version(name))
        };
        let due = self.workers.iter().filter(is_due);
        let workers: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        for worker in &workers {
            self.advance_claims(now, view, worker, out);
        }
        if view.can_claim {
            self.release_waiting(now, view.ledger, out);
            self.claim_pending(now, view, out);
        }
    }

    /// Records that a command took effect on the worker.
    pub fn command_answered(&mut self, now: Millis, worker: &Name) {
        self.interference.command_answered(now, worker);
    }

    pub(super) fn demand(&self, task: &Task) -> Demand {
        let spec = &task.spec;
        let size = self.estimator.estimate(&size_key(task), spec.size);
        let urgent = spec.priority == URGENT_PRIORITY;
        Demand::new(spec.task.customer.clone(), spec.class.clone(), size, urgent)
    }

    pub(super) fn worker_views(&self) -> Vec<WorkerView> {
        let held = self.workers.values().map(|tracked| tracked.view.clone());
        let not_held_here = self
            .all_workers
            .iter()
            .filter(|view| !self.workers.contains_key(&view.name));
        held.chain(not_held_here.cloned()).collect()
    }

    /// Appends the end or release of an attempt, at most once under each lease.
    pub(super) fn append_end(
        &mut self,
        id: &TaskId,
        (attempt, token): (Attempt, Token),
        record: Record,
        out: &mut Vec<DispatchAction>,
    ) {
        if self.appended_ends.insert((id.clone(), attempt, token)) {
            out.push(DispatchAction::Append(record));
        }
    }

    /// Removes state that later records have made obsolete.
    fn clean_up(&mut self, now: Millis, ledger: &Ledger) {
        self.expire_proposals(now, ledger);
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.appended_ends.retain(|(id, attempt, _)| {
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
        self.first_seen.retain(|id, _| is_pending(id));
        self.blocked.retain(|id, _| is_pending(id));
        self.last_retry
            .retain(|id, _| ledger.task(id).is_some_and(|task| !task.is_done()));
    }

    fn expire_proposals(&mut self, now: Millis, ledger: &Ledger) {
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
                tracked.drop_void_proposal(&id, ledger.task(&id));
            }
        }
    }
}

/// A held worker and the report that arrived with the answer to its lease call.
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

/// Demand of a reported task that this host's ledger doesn't contain.
pub(super) fn unknown_demand(id: &TaskId, size: Size) -> Demand {
    Demand::new(id.customer.clone(), "", size, false)
}
