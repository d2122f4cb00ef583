//! Fold of a data centre's task stream.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::record::{Batch, Outcome, Phase, Record, Restated, TaskResult, TaskSpec};
use crate::base::{Attempt, Millis, Name, Offset, Size, TaskId};

/// Times that the fold compares with the log's own clock.
#[derive(Debug, Clone, Copy)]
pub struct LedgerTiming {
    /// How long a finished task stays known, so that a repeated submission is recognised.
    pub dedupe: Millis,
    /// How long the log keeps a record.
    pub retention: Millis,
}

impl Default for LedgerTiming {
    fn default() -> Self {
        LedgerTiming {
            dedupe: Millis(3_600_000),
            retention: Millis(86_400_000),
        }
    }
}

/// A task as of the records read so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    pub spec: Arc<TaskSpec>,
    pub phase: Phase,
    /// Failed attempts so far.
    pub failures: u32,
    pub checkpoint: Option<Name>,
    pub cancelled: bool,
    /// Log time of the acceptance or the newest restatement, in ms since the Unix epoch.
    pub stated: u64,
    /// Log time of the last change, in ms since the Unix epoch.
    pub changed: u64,
}

impl Task {
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done { .. })
    }

    /// Whether the log proves that `attempt` has ended.
    pub fn has_ended(&self, attempt: Attempt) -> bool {
        match &self.phase {
            Phase::Pending { next } => attempt < *next,
            Phase::Claimed {
                attempt: current, ..
            } => attempt < *current,
            Phase::Done { attempt: last, .. } => attempt <= *last,
        }
    }
}

/// A host's unanswered suspicion of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    pub host: Name,
    pub offset: Offset,
    /// Core time at which this process read the record.
    pub read: Millis,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Accepted {
        task: TaskId,
    },
    Claimed {
        task: TaskId,
        attempt: Attempt,
        worker: Name,
    },
    Pending {
        task: TaskId,
        reason: Requeue,
    },
    Done {
        task: TaskId,
        result: TaskResult,
    },
    CancelRequested {
        task: TaskId,
    },
}

/// Why a claimed task waits again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requeue {
    Released,
    Checkpointed,
    Failed,
    Lost,
    /// A watcher ended although it should not.
    WatcherEnded,
}

/// Tasks of one data centre. Two ledgers that read the same stream agree, whatever the time.
#[derive(Debug, Default)]
pub struct Ledger {
    timing: LedgerTiming,
    next: Offset,
    /// Log time of the newest batch.
    time: u64,
    tasks: BTreeMap<TaskId, Task>,
    /// Pending tasks in the order in which they should start.
    queue: BTreeSet<(u8, u64, TaskId)>,
    claims: HashMap<Name, BTreeSet<TaskId>>,
    /// Sum of the declared sizes of claimed tasks by customer.
    claimed: HashMap<Name, Size>,
    /// Finished tasks by the log time at which they are forgotten.
    expiry: BTreeSet<(u64, TaskId)>,
    /// Records of tasks whose acceptance has expired, kept until a restatement arrives.
    orphans: HashMap<TaskId, Vec<(Offset, u64, Record)>>,
    suspicions: BTreeMap<Name, Suspicion>,
    /// Offset of the first batch that this process read.
    first: Option<Offset>,
    /// Newest `Held` record of each worker.
    answers: HashMap<Name, Offset>,
    /// Workers declared lost, by offset, for tasks that are restated later.
    losses: BTreeMap<Offset, Name>,
}

/// Number of lost workers that are remembered for later restatements.
const MAX_LOSSES: usize = 1024;

impl Ledger {
    pub fn new(timing: LedgerTiming) -> Self {
        Ledger {
            timing,
            ..Ledger::default()
        }
    }

    /// Applies the batch at `offset`, which the log stamped with `time` (ms since the Unix epoch).
    ///
    /// A batch below `next` was applied before and changes nothing.
    pub fn apply(&mut self, offset: Offset, time: u64, now: Millis, batch: &Batch) -> Vec<Change> {
        if offset < self.next {
            return Vec::new();
        }
        self.first.get_or_insert(offset);
        self.time = self.time.max(time);
        self.forget_expired();
        let mut changes = Vec::new();
        for record in &batch.records {
            self.apply_record(offset, now, &batch.host, record, &mut changes);
        }
        self.next = offset.next();
        changes
    }

    /// Moves the read position past records that can't be read.
    pub fn skip_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Offset of the next batch to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Log time of the newest batch read, in ms since the Unix epoch.
    pub fn time(&self) -> u64 {
        self.time
    }

    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.tasks.get(id)
    }

    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.tasks.iter()
    }

    /// Pending tasks, the first to start first.
    pub fn pending(&self) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.queue
            .iter()
            .filter_map(|(_, _, id)| self.tasks.get_key_value(id))
    }

    pub fn pending_count(&self) -> usize {
        self.queue.len()
    }

    /// Tasks whose current attempt is claimed on `worker`.
    pub fn claimed_on(&self, worker: &str) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.claims
            .get(worker)
            .into_iter()
            .flatten()
            .filter_map(|id| self.tasks.get_key_value(id))
    }

    /// Sum of the declared sizes of a customer's claimed tasks.
    pub fn claimed_size(&self, customer: &str) -> Size {
        self.claimed.get(customer).copied().unwrap_or(Size::ZERO)
    }

    /// Workers with claimed attempts.
    pub fn claimed_workers(&self) -> impl Iterator<Item = &Name> {
        self.claims.keys()
    }

    /// Tasks of a job in order of their index.
    pub fn job(&self, customer: &Name, job: &Name) -> impl Iterator<Item = (&TaskId, &Task)> {
        let first = TaskId::new(customer.clone(), job.clone(), 0);
        let last = TaskId::new(customer.clone(), job.clone(), u32::MAX);
        self.tasks.range(first..=last)
    }

    /// Suspicions that no holder has answered, by worker.
    pub fn suspicions(&self) -> &BTreeMap<Name, Suspicion> {
        &self.suspicions
    }

    /// The record that states a task again, if it is known and not done.
    pub fn restate(&self, id: &TaskId) -> Option<Restated> {
        let task = self.tasks.get(id).filter(|task| !task.is_done())?;
        Some(Restated {
            spec: (*task.spec).clone(),
            phase: task.phase.clone(),
            failures: task.failures,
            checkpoint: task.checkpoint.clone(),
            cancelled: task.cancelled,
            as_of: self.next,
            as_of_time: self.time,
        })
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        now: Millis,
        host: &Name,
        record: &Record,
        changes: &mut Vec<Change>,
    ) {
        match record {
            Record::Accepted(spec) => self.accept(spec, changes),
            Record::Restated(restated) => self.restated(offset, restated, changes),
            Record::Suspected { worker, .. } => self.suspect(offset, now, host, worker),
            Record::Held { worker, .. } => {
                self.suspicions.remove(worker);
                self.answers.insert(worker.clone(), offset);
            }
            Record::WorkerLost { worker, suspected } => {
                self.lose_worker(offset, worker, *suspected, changes);
            }
            Record::Claimed { task, .. }
            | Record::Released { task, .. }
            | Record::Checkpointed { task, .. }
            | Record::Ended { task, .. }
            | Record::CancelRequested { task } => {
                if self.tasks.contains_key(task) {
                    self.transition(task, record, changes);
                } else {
                    let entry = (offset, self.time, record.clone());
                    self.orphans.entry(task.clone()).or_default().push(entry);
                }
            }
        }
    }

    fn accept(&mut self, spec: &TaskSpec, changes: &mut Vec<Change>) {
        // A batch that its writer held back for long may name a task that ran and was forgotten.
        let is_stale = self.time.saturating_sub(spec.accepted) > self.timing.dedupe.0 / 2;
        if is_stale || self.tasks.contains_key(&spec.task) {
            return;
        }
        self.orphans.remove(&spec.task);
        let id = spec.task.clone();
        let task = Task {
            spec: Arc::new(spec.clone()),
            phase: Phase::Pending { next: Attempt(0) },
            failures: 0,
            checkpoint: None,
            cancelled: false,
            stated: self.time,
            changed: self.time,
        };
        self.queue.insert(queue_key(&task));
        self.tasks.insert(id.clone(), task);
        changes.push(Change::Accepted { task: id });
    }

    fn restated(&mut self, offset: Offset, restated: &Restated, changes: &mut Vec<Change>) {
        // A task that finished after `as_of` is still known as finished within this time.
        let is_stale = self.time.saturating_sub(restated.as_of_time) > self.timing.dedupe.0 / 2;
        if is_stale {
            return;
        }
        let id = restated.spec.task.clone();
        if let Some(task) = self.tasks.get_mut(&id) {
            task.stated = self.time;
            return;
        }
        let task = Task {
            spec: Arc::new(restated.spec.clone()),
            phase: restated.phase.clone(),
            failures: restated.failures,
            checkpoint: restated.checkpoint.clone(),
            cancelled: restated.cancelled,
            stated: self.time,
            changed: self.time,
        };
        self.index(&task);
        self.tasks.insert(id.clone(), task);
        changes.push(Change::Accepted { task: id.clone() });
        self.replay(&id, restated.as_of, offset, changes);
    }

    /// Applies what happened to a restated task between `from` and `until`.
    fn replay(&mut self, id: &TaskId, from: Offset, until: Offset, changes: &mut Vec<Change>) {
        let orphans = self.orphans.remove(id).unwrap_or_default();
        let mut losses: Vec<(Offset, Name)> = self
            .losses
            .range(from..until)
            .map(|(at, worker)| (*at, worker.clone()))
            .collect();
        losses.reverse();
        for (at, _, record) in orphans {
            while losses.last().is_some_and(|(lost, _)| *lost <= at) {
                let worker = losses.pop().map(|(_, worker)| worker);
                self.lose_claim(id, worker.as_ref(), changes);
            }
            if at >= from && at < until {
                self.transition(id, &record, changes);
            }
        }
        while let Some((_, worker)) = losses.pop() {
            self.lose_claim(id, Some(&worker), changes);
        }
    }

    /// Ends the task's attempt as lost if it is claimed on `worker`.
    fn lose_claim(&mut self, id: &TaskId, worker: Option<&Name>, changes: &mut Vec<Change>) {
        let attempt = match self.tasks.get(id).map(|task| &task.phase) {
            Some(Phase::Claimed {
                attempt,
                worker: claimed,
                ..
            }) if Some(claimed) == worker => *attempt,
            _ => return,
        };
        let record = Record::Ended {
            task: id.clone(),
            attempt,
            outcome: Outcome::Lost,
        };
        self.transition(id, &record, changes);
    }

    fn suspect(&mut self, offset: Offset, now: Millis, host: &Name, worker: &Name) {
        let suspicion = Suspicion {
            host: host.clone(),
            offset,
            read: now,
        };
        self.suspicions.entry(worker.clone()).or_insert(suspicion);
    }

    fn lose_worker(
        &mut self,
        offset: Offset,
        worker: &Name,
        suspected: Offset,
        changes: &mut Vec<Change>,
    ) {
        if !self.is_open(worker, suspected) {
            return;
        }
        self.suspicions.remove(worker);
        self.losses.insert(offset, worker.clone());
        if self.losses.len() > MAX_LOSSES {
            self.losses.pop_first();
        }
        let lost: Vec<TaskId> = self
            .claims
            .get(worker)
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        for id in lost {
            self.lose_claim(&id, Some(worker), changes);
        }
    }

    /// Whether the suspicion at `suspected` has no answer.
    ///
    /// A suspicion that had expired before this process began to read is open unless it read an
    /// answer.
    fn is_open(&self, worker: &Name, suspected: Offset) -> bool {
        if self.first.is_some_and(|first| suspected < first) {
            return !self.answers.contains_key(worker);
        }
        self.suspicions
            .get(worker)
            .is_some_and(|open| open.offset == suspected)
    }

    /// Whether a claim keeps its customer within the quota that the record names.
    fn is_within_quota(&self, id: &TaskId, record: &Record) -> bool {
        let Record::Claimed { quota, .. } = record else {
            return true;
        };
        let Some(task) = self.tasks.get(id) else {
            return false;
        };
        self.claimed_size(&id.customer)
            .saturating_add(&task.spec.size)
            .fits(quota)
    }

    fn transition(&mut self, id: &TaskId, record: &Record, changes: &mut Vec<Change>) {
        if !self.is_within_quota(id, record) {
            return;
        }
        let Some(mut task) = self.tasks.remove(id) else {
            return;
        };
        self.unindex(&task);
        let before = task.phase.clone();
        if let Some(change) = step(&mut task, record) {
            changes.push(change);
        }
        if task.phase != before {
            task.changed = self.time;
        }
        self.index(&task);
        self.tasks.insert(id.clone(), task);
    }

    fn index(&mut self, task: &Task) {
        let id = task.spec.task.clone();
        match &task.phase {
            Phase::Pending { .. } => {
                self.queue.insert(queue_key(task));
            }
            Phase::Claimed { worker, .. } => {
                self.claims
                    .entry(worker.clone())
                    .or_default()
                    .insert(id.clone());
                let claimed = self.claimed.entry(id.customer).or_default();
                *claimed = claimed.saturating_add(&task.spec.size);
            }
            Phase::Done { .. } => {
                self.expiry
                    .insert((task.changed + self.timing.dedupe.0, id));
            }
        }
    }

    fn unindex(&mut self, task: &Task) {
        let id = &task.spec.task;
        match &task.phase {
            Phase::Pending { .. } => {
                self.queue.remove(&queue_key(task));
            }
            Phase::Claimed { worker, .. } => {
                if let Some(claimed) = self.claims.get_mut(worker) {
                    claimed.remove(id);
                    if claimed.is_empty() {
                        self.claims.remove(worker);
                    }
                }
                if let Some(claimed) = self.claimed.get_mut(&id.customer) {
                    *claimed = claimed.saturating_sub(&task.spec.size);
                }
            }
            Phase::Done { .. } => {
                self.expiry
                    .remove(&(task.changed + self.timing.dedupe.0, id.clone()));
            }
        }
    }

    fn forget_expired(&mut self) {
        while let Some((at, _)) = self.expiry.first() {
            if *at > self.time {
                break;
            }
            if let Some((_, id)) = self.expiry.pop_first() {
                self.tasks.remove(&id);
            }
        }
        if self.orphans.is_empty() {
            return;
        }
        let oldest = self.time.saturating_sub(self.timing.retention.0);
        self.orphans
            .retain(|_, records| records.last().is_some_and(|(_, at, _)| *at >= oldest));
    }
}

fn queue_key(task: &Task) -> (u8, u64, TaskId) {
    (
        task.spec.priority,
        task.spec.accepted,
        task.spec.task.clone(),
    )
}

/// Applies one record to a known task; `None` if the record is not valid in its phase.
fn step(task: &mut Task, record: &Record) -> Option<Change> {
    let id = task.spec.task.clone();
    match record {
        Record::Claimed {
            attempt,
            worker,
            incarnation,
            ..
        } => {
            if task.phase != (Phase::Pending { next: *attempt }) {
                return None;
            }
            let (attempt, worker) = (*attempt, worker.clone());
            task.phase = Phase::Claimed {
                attempt,
                worker: worker.clone(),
                incarnation: *incarnation,
            };
            Some(Change::Claimed {
                task: id,
                attempt,
                worker,
            })
        }
        Record::Released { attempt, .. } => {
            let attempt = current(task, *attempt)?;
            if task.cancelled {
                return Some(finish(task, attempt, TaskResult::Cancelled));
            }
            Some(requeue(task, attempt, Requeue::Released))
        }
        Record::Checkpointed {
            attempt,
            checkpoint,
            ..
        } => {
            let attempt = current(task, *attempt)?;
            if task.cancelled {
                return Some(finish(task, attempt, TaskResult::Cancelled));
            }
            task.checkpoint = Some(checkpoint.clone());
            Some(requeue(task, attempt, Requeue::Checkpointed))
        }
        Record::Ended {
            attempt, outcome, ..
        } => {
            let attempt = current(task, *attempt)?;
            Some(end(task, attempt, *outcome))
        }
        Record::CancelRequested { .. } => cancel(task),
        _ => None,
    }
}

fn current(task: &Task, attempt: Attempt) -> Option<Attempt> {
    match task.phase {
        Phase::Claimed {
            attempt: claimed, ..
        } if claimed == attempt => Some(attempt),
        _ => None,
    }
}

fn end(task: &mut Task, attempt: Attempt, outcome: Outcome) -> Change {
    let spec = task.spec.clone();
    match outcome {
        Outcome::Cancelled => finish(task, attempt, TaskResult::Cancelled),
        Outcome::Succeeded if spec.watcher && !task.cancelled => {
            requeue(task, attempt, Requeue::WatcherEnded)
        }
        Outcome::Succeeded => finish(task, attempt, TaskResult::Succeeded),
        Outcome::Failed => {
            task.failures += 1;
            let is_final = spec.at_most_once || task.failures >= spec.max_attempts;
            if task.cancelled || (is_final && !spec.watcher) {
                return finish(task, attempt, TaskResult::Failed);
            }
            requeue(task, attempt, Requeue::Failed)
        }
        Outcome::Lost if spec.at_most_once => finish(task, attempt, TaskResult::Unknown),
        Outcome::Lost if task.cancelled => finish(task, attempt, TaskResult::Cancelled),
        Outcome::Lost => requeue(task, attempt, Requeue::Lost),
    }
}

fn cancel(task: &mut Task) -> Option<Change> {
    let id = task.spec.task.clone();
    match task.phase {
        Phase::Done { .. } => None,
        Phase::Pending { next } => Some(finish(task, next, TaskResult::Cancelled)),
        Phase::Claimed { .. } if task.cancelled => None,
        Phase::Claimed { .. } => {
            task.cancelled = true;
            Some(Change::CancelRequested { task: id })
        }
    }
}

fn requeue(task: &mut Task, attempt: Attempt, reason: Requeue) -> Change {
    task.phase = Phase::Pending {
        next: attempt.next(),
    };
    Change::Pending {
        task: task.spec.task.clone(),
        reason,
    }
}

fn finish(task: &mut Task, attempt: Attempt, result: TaskResult) -> Change {
    task.phase = Phase::Done { attempt, result };
    Change::Done {
        task: task.spec.task.clone(),
        result,
    }
}
