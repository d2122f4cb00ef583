//! Accounting of one held worker.

use std::collections::{BTreeMap, HashSet};

use super::dispatch::{DispatchAction, HeldWorker, unknown_demand};
use super::placement::{Demand, WorkerView};
use crate::base::{Attempt, Millis, Name, Size, TaskId};
use crate::connection::wire::{Ack, TaskCommand, TaskEntry};
use crate::connection::{Command, Grant, Lease};
use crate::version::{Phase, Task};

/// Pause before a start that the worker refused for lack of room is tried again.
const ROOM_RETRY: Millis = Millis(1_000);

/// State of an attempt on the worker, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Its claim is not read back yet; its size is reserved.
    Proposed,
    /// Claimed, or about to be, without room; nothing is reserved.
    Waiting {
        since: Millis,
    },
    /// A start is under way.
    Starting,
    /// A start has an unknown outcome and is repeated at `retry`.
    Unconfirmed {
        retry: Millis,
    },
    Running,
}

/// An attempt that this host accounts for.
#[derive(Debug, Clone)]
pub struct TrackedAttempt {
    pub attempt: Attempt,
    pub demand: Demand,
    pub state: AttemptState,
    /// When this host first knew the attempt to run.
    pub(super) since: Option<Millis>,
    /// Last command and its time.
    command: Option<(Command, Millis)>,
    /// Time before which a start is not tried again.
    not_before: Millis,
    /// A start had an unknown outcome and may still arrive, so the attempt can't be released
    /// under the same token.
    pub(super) is_unsure: bool,
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
            since: None,
            command: None,
            not_before: Millis(0),
            is_unsure: false,
        }
    }

    fn is_reserved(&self) -> bool {
        !matches!(self.state, AttemptState::Waiting { .. })
    }
}

/// A held worker: its lease, what is reserved on it, and its attempts.
#[derive(Debug)]
pub struct TrackedWorker {
    pub view: WorkerView,
    pub address: Name,
    pub lease: Lease,
    pub attempts: BTreeMap<TaskId, TrackedAttempt>,
    pub(super) acks: Vec<Ack>,
    /// `Ledger::claims_version` when the claims were last looked at.
    pub(super) version: u64,
    /// Whether an attempt changed since then.
    pub(super) is_changed: bool,
    /// When a start is due for another try, if that is the only thing the claims wait for.
    pub(super) retry: Option<Millis>,
    /// Attempts that the last report shows as ended and whose claim this host had not read then.
    pub(super) ended: HashSet<(TaskId, Attempt)>,
    /// Starts that were sent earlier under the same lease are not known and may still arrive.
    is_partial: bool,
}

impl TrackedWorker {
    pub(super) fn new(held: &HeldWorker<'_>) -> Self {
        TrackedWorker {
            view: WorkerView::new(held.name.clone(), held.rack.clone(), held.report.capacity),
            address: held.address.clone(),
            lease: held.lease,
            attempts: BTreeMap::new(),
            acks: Vec::new(),
            version: 0,
            is_changed: true,
            retry: None,
            ended: HashSet::new(),
            is_partial: held.grant == Grant::Renewed,
        }
    }

    /// State of this attempt; `None` if another or no attempt of the task is known.
    pub(super) fn state(&self, id: &TaskId, attempt: Attempt) -> Option<AttemptState> {
        self.attempts
            .get(id)
            .filter(|tracked_attempt| tracked_attempt.attempt == attempt)
            .map(|tracked_attempt| tracked_attempt.state)
    }

    /// Whether the attempt may be released: no start of it can still arrive.
    pub(super) fn may_release(&self, id: &TaskId) -> bool {
        self.attempts
            .get(id)
            .map_or(!self.is_partial, |tracked_attempt| {
                !tracked_attempt.is_unsure
            })
    }

    pub(super) fn set_unsure(&mut self, id: &TaskId, retry: Millis) {
        self.is_changed = true;
        if let Some(tracked_attempt) = self.attempts.get_mut(id) {
            tracked_attempt.state = AttemptState::Unconfirmed { retry };
            tracked_attempt.is_unsure = true;
        }
    }

    pub(super) fn set_state(&mut self, id: &TaskId, state: AttemptState) {
        self.is_changed = true;
        if let Some(tracked_attempt) = self.attempts.get_mut(id) {
            tracked_attempt.state = state;
        }
    }

    /// Reserves room for a claimed attempt; returns false if it has to wait.
    pub(super) fn reserve(
        &mut self,
        now: Millis,
        id: &TaskId,
        attempt: Attempt,
        demand: Demand,
    ) -> bool {
        match self.attempts.get(id) {
            Some(tracked_attempt)
                if tracked_attempt.attempt != attempt
                    && tracked_attempt.state == AttemptState::Running =>
            {
                return false;
            }
            Some(tracked_attempt)
                if tracked_attempt.attempt == attempt && tracked_attempt.not_before > now =>
            {
                return false;
            }
            Some(tracked_attempt)
                if tracked_attempt.attempt == attempt && tracked_attempt.is_reserved() =>
            {
                return true;
            }
            Some(tracked_attempt) if tracked_attempt.attempt == attempt => {
                let demand = tracked_attempt.demand.clone();
                if !self.view.commit(&demand) {
                    return false;
                }
                self.view.queued = self.view.queued.saturating_sub(1);
                self.set_state(id, AttemptState::Proposed);
                return true;
            }
            _ => self.remove(id),
        }
        let has_room = self.view.commit(&demand);
        let mut tracked_attempt = if has_room {
            TrackedAttempt::proposed(attempt, demand)
        } else {
            self.view.queued += 1;
            TrackedAttempt::waiting(attempt, demand, now)
        };
        tracked_attempt.is_unsure = self.is_partial;
        self.attempts.insert(id.clone(), tracked_attempt);
        has_room
    }

    /// Gives the room of an attempt back and lets it wait.
    pub(super) fn withdraw(&mut self, id: &TaskId, now: Millis) {
        let Some(tracked_attempt) = self.attempts.get_mut(id) else {
            return;
        };
        tracked_attempt.state = AttemptState::Waiting { since: now };
        tracked_attempt.not_before = now + ROOM_RETRY;
        let demand = tracked_attempt.demand.clone();
        self.is_changed = true;
        self.view.release(&demand);
        self.view.queued += 1;
    }

    pub(super) fn remove(&mut self, id: &TaskId) {
        let Some(tracked_attempt) = self.attempts.remove(id) else {
            return;
        };
        self.is_changed = true;
        if tracked_attempt.is_reserved() {
            self.view.release(&tracked_attempt.demand);
        } else {
            self.view.queued = self.view.queued.saturating_sub(1);
        }
    }

    pub(super) fn remove_attempt(&mut self, id: &TaskId, attempt: Attempt) {
        if self.state(id, attempt).is_some() {
            self.remove(id);
        }
    }

    /// Drops a proposed claim that did not take effect on this worker.
    pub(super) fn forget_proposal(&mut self, id: &TaskId, task: Option<&Task>) {
        let is_claimed = task.is_some_and(|task| {
            matches!(&task.phase, Phase::Claimed { worker, .. } if *worker == self.view.name)
        });
        let is_proposal = self.attempts.get(id).is_some_and(|tracked_attempt| {
            matches!(
                tracked_attempt.state,
                AttemptState::Proposed | AttemptState::Waiting { .. }
            )
        });
        if is_proposal && !is_claimed {
            self.remove(id);
        }
    }

    /// Allows or stops new claims on the worker.
    pub(super) fn set_open(&mut self, allowed: bool) {
        self.view.open = allowed && !self.lease.leaving;
    }

    /// Whether the claims on the worker have to be looked at.
    pub(super) fn is_due(&self, now: Millis, version: u64) -> bool {
        self.is_changed || self.version != version || self.retry.is_some_and(|at| at <= now)
    }

    /// Notes that the claims are about to be looked at.
    pub(super) fn looked(&mut self, version: u64) {
        self.version = version;
        self.is_changed = false;
        self.retry = None;
    }

    /// Notes when the next start of an attempt may be tried.
    pub(super) fn plan_retry(&mut self, now: Millis) {
        let due = |tracked_attempt: &TrackedAttempt| match tracked_attempt.state {
            AttemptState::Unconfirmed { retry } => Some(retry),
            AttemptState::Waiting { .. } if tracked_attempt.not_before > now => {
                Some(tracked_attempt.not_before)
            }
            _ => None,
        };
        self.retry = self.attempts.values().filter_map(due).min();
    }

    /// How long this host has known the task to run.
    pub(super) fn run_time(&self, now: Millis, id: &TaskId) -> Millis {
        self.attempts
            .get(id)
            .and_then(|tracked_attempt| tracked_attempt.since)
            .map_or(Millis(0), |since| now.since(since))
    }

    /// Whether the task has run for at least `time`.
    pub(super) fn has_run(&self, now: Millis, id: &TaskId, time: Millis) -> bool {
        self.run_time(now, id) >= time
    }

    /// Accounts for an attempt that the worker reports as running.
    pub(super) fn hold(
        &mut self,
        now: Millis,
        id: &TaskId,
        entry: &TaskEntry,
        task: Option<&Task>,
    ) {
        if entry.state.has_ended() {
            self.ended.insert((id.clone(), entry.attempt));
            return;
        }
        match self.attempts.get_mut(id) {
            Some(tracked_attempt)
                if tracked_attempt.attempt == entry.attempt && tracked_attempt.is_reserved() =>
            {
                tracked_attempt.state = AttemptState::Running;
                tracked_attempt.since.get_or_insert(now);
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
                let mut tracked_attempt =
                    TrackedAttempt::new(entry.attempt, demand, AttemptState::Running);
                tracked_attempt.since = Some(now);
                self.attempts.insert(id.clone(), tracked_attempt);
            }
        }
    }

    /// Sends a command for a running attempt unless the same was sent within `pause`.
    pub(super) fn command(
        &mut self,
        now: Millis,
        id: &TaskId,
        command: Command,
        pause: Millis,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(tracked_attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let is_recent = tracked_attempt
            .command
            .is_some_and(|(sent, at)| sent == command && now.since(at) < pause);
        if is_recent {
            return;
        }
        tracked_attempt.command = Some((command, now));
        out.push(DispatchAction::Command {
            worker: self.view.name.clone(),
            address: self.address.clone(),
            command,
            request: TaskCommand {
                token: self.lease.token,
                task: id.to_string(),
                attempt: tracked_attempt.attempt,
            },
        });
    }

    /// Sets the reported use above the reserved sizes.
    pub(super) fn excess(&mut self, entries: &[TaskEntry]) {
        let above = |entry: &TaskEntry| {
            entry
                .usage
                .filter(|_| !entry.state.has_ended())
                .map_or(Size::ZERO, |usage| usage.saturating_sub(&entry.size))
        };
        self.view.excess = entries
            .iter()
            .map(above)
            .fold(Size::ZERO, |sum, size| sum.saturating_add(&size));
    }
}
