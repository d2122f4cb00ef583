//! What the dispatcher knows about a worker whose lease this host holds.

use std::collections::{BTreeMap, HashSet};

use super::dispatch::{DispatchAction, HeldWorker, unknown_demand};
use super::placement::{Demand, WorkerView};
use crate::base::{Attempt, Millis, Name, Size, TaskId};
use crate::connection::wire::{Ack, TaskCommand, TaskEntry};
use crate::connection::{Command, Grant, Lease};
use crate::version::{Phase, Task};

/// Time in ms before a start that the worker refused for lack of capacity is repeated.
const NO_CAPACITY_RETRY: Millis = Millis(1_000);

/// State of an attempt on its worker, as last known to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Its claim has not been read back from the log yet; its size is reserved.
    Proposed,
    /// It is claimed or proposed, but the worker lacks capacity, so nothing is reserved.
    Waiting {
        since: Millis,
    },
    /// A start was sent and not answered yet.
    Starting,
    /// No start is known to have succeeded; the next one is sent at `retry`.
    Unconfirmed {
        retry: Millis,
    },
    Running,
}

/// An attempt that is proposed, claimed or running on a held worker.
#[derive(Debug, Clone)]
pub struct TrackedAttempt {
    pub attempt: Attempt,
    pub demand: Demand,
    pub state: AttemptState,
    /// When this host first saw a report that the attempt runs.
    pub(super) running_since: Option<Millis>,
    /// Last command and when it was sent.
    last_command: Option<(Command, Millis)>,
    /// Earliest time of the next start.
    not_before: Millis,
    /// An earlier start has an unknown outcome and may still reach the worker, so the claim can't
    /// be released under the same token.
    pub(super) may_still_start: bool,
}

impl TrackedAttempt {
    pub(super) fn proposed(attempt: Attempt, demand: Demand) -> Self {
        TrackedAttempt::new(attempt, demand, AttemptState::Proposed)
    }

    pub(super) fn waiting(attempt: Attempt, demand: Demand, since: Millis) -> Self {
        TrackedAttempt::new(attempt, demand, AttemptState::Waiting { since })
    }

    fn new(attempt: Attempt, demand: Demand, state: AttemptState) -> Self {
        TrackedAttempt {
            attempt,
            demand,
            state,
            running_since: None,
            last_command: None,
            not_before: Millis(0),
            may_still_start: false,
        }
    }

    fn is_reserved(&self) -> bool {
        !matches!(self.state, AttemptState::Waiting { .. })
    }
}

/// A held worker: its lease, its reserved capacity and its attempts.
#[derive(Debug)]
pub struct TrackedWorker {
    pub view: WorkerView,
    pub address: Name,
    pub lease: Lease,
    pub attempts: BTreeMap<TaskId, TrackedAttempt>,
    pub(super) acks: Vec<Ack>,
    /// `Ledger::claims_version` when the claims were last checked.
    pub(super) claims_version: u64,
    /// Whether an attempt changed since the claims were last checked.
    pub(super) is_changed: bool,
    /// When the next start of an attempt has to be repeated.
    pub(super) next_retry: Option<Millis>,
    /// Attempts that the last report shows as ended before this host has read their claim.
    pub(super) reported_ends: HashSet<(TaskId, Attempt)>,
    /// The lease was renewed when tracking began: starts that were sent under it before are unknown
    /// and may still reach the worker.
    has_unknown_starts: bool,
}

impl TrackedWorker {
    pub(super) fn new(held: &HeldWorker<'_>) -> Self {
        TrackedWorker {
            view: WorkerView::new(held.name.clone(), held.rack.clone(), held.report.capacity),
            address: held.address.clone(),
            lease: held.lease,
            attempts: BTreeMap::new(),
            acks: Vec::new(),
            claims_version: 0,
            is_changed: true,
            next_retry: None,
            reported_ends: HashSet::new(),
            has_unknown_starts: held.grant == Grant::Renewed,
        }
    }

    /// State of the attempt; `None` if no attempt or a different one is tracked for the task.
    pub(super) fn attempt_state(&self, id: &TaskId, attempt: Attempt) -> Option<AttemptState> {
        self.attempts
            .get(id)
            .filter(|known| known.attempt == attempt)
            .map(|known| known.state)
    }

    /// Whether the claim may be released, because no start of it can still reach the worker.
    pub(super) fn may_release(&self, id: &TaskId) -> bool {
        self.attempts
            .get(id)
            .map_or(!self.has_unknown_starts, |known| !known.may_still_start)
    }

    pub(super) fn set_unconfirmed(&mut self, id: &TaskId, retry: Millis) {
        self.is_changed = true;
        if let Some(known) = self.attempts.get_mut(id) {
            known.state = AttemptState::Unconfirmed { retry };
            known.may_still_start = true;
        }
    }

    pub(super) fn set_state(&mut self, id: &TaskId, state: AttemptState) {
        self.is_changed = true;
        if let Some(known) = self.attempts.get_mut(id) {
            known.state = state;
        }
    }

    /// Reserves capacity for a claimed attempt; returns false if it can't start yet.
    pub(super) fn reserve(
        &mut self,
        now: Millis,
        id: &TaskId,
        attempt: Attempt,
        demand: Demand,
    ) -> bool {
        match self.attempts.get(id) {
            Some(known) if known.attempt != attempt && known.state == AttemptState::Running => {
                return false;
            }
            Some(known) if known.attempt == attempt && known.not_before > now => return false,
            Some(known) if known.attempt == attempt && known.is_reserved() => return true,
            Some(known) if known.attempt == attempt => {
                let demand = known.demand.clone();
                if !self.view.commit(&demand) {
                    return false;
                }
                self.view.queued = self.view.queued.saturating_sub(1);
                self.set_state(id, AttemptState::Proposed);
                return true;
            }
            _ => self.remove(id),
        }
        let is_reserved = self.view.commit(&demand);
        let mut new_attempt = if is_reserved {
            TrackedAttempt::proposed(attempt, demand)
        } else {
            self.view.queued += 1;
            TrackedAttempt::waiting(attempt, demand, now)
        };
        new_attempt.may_still_start = self.has_unknown_starts;
        self.attempts.insert(id.clone(), new_attempt);
        is_reserved
    }

    /// Releases the reservation of an attempt that the worker had no capacity to start.
    pub(super) fn return_to_waiting(&mut self, id: &TaskId, now: Millis) {
        let Some(known) = self.attempts.get_mut(id) else {
            return;
        };
        known.state = AttemptState::Waiting { since: now };
        known.not_before = now + NO_CAPACITY_RETRY;
        let demand = known.demand.clone();
        self.is_changed = true;
        self.view.release(&demand);
        self.view.queued += 1;
    }

    pub(super) fn remove(&mut self, id: &TaskId) {
        let Some(known) = self.attempts.remove(id) else {
            return;
        };
        self.is_changed = true;
        if known.is_reserved() {
            self.view.release(&known.demand);
        } else {
            self.view.queued = self.view.queued.saturating_sub(1);
        }
    }

    pub(super) fn remove_attempt(&mut self, id: &TaskId, attempt: Attempt) {
        if self.attempt_state(id, attempt).is_some() {
            self.remove(id);
        }
    }

    /// Drops a proposed claim unless the log shows the task as claimed on this worker.
    pub(super) fn drop_void_proposal(&mut self, id: &TaskId, task: Option<&Task>) {
        let is_claimed = task.is_some_and(|task| {
            matches!(&task.phase, Phase::Claimed { worker, .. } if *worker == self.view.name)
        });
        let is_proposal = self.attempts.get(id).is_some_and(|known| {
            matches!(
                known.state,
                AttemptState::Proposed | AttemptState::Waiting { .. }
            )
        });
        if is_proposal && !is_claimed {
            self.remove(id);
        }
    }

    /// Sets whether the worker takes new claims; a leaving worker never does.
    pub(super) fn set_accepts_tasks(&mut self, allowed: bool) {
        self.view.accepts_tasks = allowed && !self.lease.leaving;
    }

    /// Whether the claims must be checked, because a claim or an attempt changed or a start is due.
    pub(super) fn needs_claim_check(&self, now: Millis, version: u64) -> bool {
        self.is_changed
            || self.claims_version != version
            || self.next_retry.is_some_and(|at| at <= now)
    }

    /// Records that the claims of this ledger version are being checked.
    pub(super) fn claims_checked(&mut self, version: u64) {
        self.claims_version = version;
        self.is_changed = false;
        self.next_retry = None;
    }

    /// Sets `next_retry` to the earliest time at which an attempt may be started again.
    pub(super) fn schedule_retry(&mut self, now: Millis) {
        let retry_time = |known: &TrackedAttempt| match known.state {
            AttemptState::Unconfirmed { retry } => Some(retry),
            AttemptState::Waiting { .. } if known.not_before > now => Some(known.not_before),
            _ => None,
        };
        self.next_retry = self.attempts.values().filter_map(retry_time).min();
    }

    /// Time since this host first saw the task running; zero if it doesn't run.
    pub(super) fn run_time(&self, now: Millis, id: &TaskId) -> Millis {
        self.attempts
            .get(id)
            .and_then(|known| known.running_since)
            .map_or(Millis(0), |since| now.since(since))
    }

    /// Whether the task has run for at least `time`.
    pub(super) fn has_run_for(&self, now: Millis, id: &TaskId, time: Millis) -> bool {
        self.run_time(now, id) >= time
    }

    /// Handles an attempt in the worker's report: tracks it while it runs; if it has ended, records
    /// only the end.
    pub(super) fn track_reported(
        &mut self,
        now: Millis,
        id: &TaskId,
        entry: &TaskEntry,
        task: Option<&Task>,
    ) {
        if entry.state.has_ended() {
            self.reported_ends.insert((id.clone(), entry.attempt));
            return;
        }
        match self.attempts.get_mut(id) {
            Some(known) if known.attempt == entry.attempt && known.is_reserved() => {
                known.state = AttemptState::Running;
                known.running_since.get_or_insert(now);
            }
            _ => {
                self.remove(id);
                let demand = match task {
                    Some(task) => Demand::new(
                        id.customer.clone(),
                        task.spec.class.clone(),
                        entry.size,
                        task.spec.priority == 0,
                    ),
                    None => unknown_demand(id, entry.size),
                };
                self.view.adopt(&demand);
                let mut new_attempt =
                    TrackedAttempt::new(entry.attempt, demand, AttemptState::Running);
                new_attempt.running_since = Some(now);
                self.attempts.insert(id.clone(), new_attempt);
            }
        }
    }

    /// Sends a command for an attempt unless the same one was sent within `min_interval`.
    pub(super) fn send_command(
        &mut self,
        now: Millis,
        id: &TaskId,
        command: Command,
        min_interval: Millis,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(known) = self.attempts.get_mut(id) else {
            return;
        };
        let is_recent = known
            .last_command
            .is_some_and(|(sent, at)| sent == command && now.since(at) < min_interval);
        if is_recent {
            return;
        }
        known.last_command = Some((command, now));
        out.push(DispatchAction::Command {
            worker: self.view.name.clone(),
            address: self.address.clone(),
            command,
            request: TaskCommand {
                token: self.lease.token,
                task: id.to_string(),
                attempt: known.attempt,
            },
        });
    }

    /// Sums up how far the reported usage of running tasks exceeds their reservations.
    pub(super) fn set_excess(&mut self, entries: &[TaskEntry]) {
        let above_reservation = |entry: &TaskEntry| {
            entry
                .usage
                .filter(|_| !entry.state.has_ended())
                .map_or(Size::ZERO, |usage| usage.saturating_sub(&entry.size))
        };
        self.view.excess = entries
            .iter()
            .map(above_reservation)
            .fold(Size::ZERO, |sum, size| sum.saturating_add(&size));
    }
}
