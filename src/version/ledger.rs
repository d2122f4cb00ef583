//! Fold of a data centre's task stream.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use super::quota_check::ClaimSum;
use super::record::{Batch, Phase, Record, TaskResult, TaskSpec};
use super::restate::{Loss, Orphan};
use super::suspicion::{Opened, Suspicion};
use super::transition::step;
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
    /// Place in the queue while the task is pending.
    pub fn place(&self) -> QueuePlace {
        let spec = &self.spec;
        (spec.priority, spec.accepted, spec.task.clone())
    }

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

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskChange {
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
        reason: RequeueReason,
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
pub enum RequeueReason {
    Released,
    Checkpointed,
    Failed,
    Lost,
    /// A watcher ended although it should not.
    WatcherEnded,
}

/// Place of a pending task: priority, time of acceptance and id.
pub type QueuePlace = (u8, u64, TaskId);

/// Tasks of one data centre. Two ledgers that read the same stream agree, whatever the time.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) timing: LedgerTiming,
    pub(super) next: Offset,
    /// Log time of the newest batch.
    pub(super) time: u64,
    /// Log time of the first batch that was read after a part of the stream was missed.
    pub(super) head: Option<u64>,
    /// Log time of acceptances that were ignored because they may not have been the first ones.
    pub(super) ignored: HashMap<TaskId, u64>,
    /// Whether records were missed since the last batch.
    missed: bool,
    /// Number of records read.
    pub(super) position: u64,
    pub(super) tasks: BTreeMap<TaskId, Task>,
    /// Pending tasks in the order in which they should start.
    queue: BTreeSet<QueuePlace>,
    pub(super) claims: HashMap<Name, BTreeSet<TaskId>>,
    /// Number of changes to claims, and its value at the last change on each worker.
    changes: u64,
    versions: HashMap<Name, u64>,
    /// Sum of the declared sizes of claimed tasks by customer.
    claimed: HashMap<Name, Size>,
    /// Recent claims by customer.
    pub(super) recent: HashMap<Name, VecDeque<ClaimSum>>,
    /// Finished tasks by the log time at which they are forgotten.
    expiry: BTreeSet<(u64, TaskId)>,
    /// Records of tasks whose acceptance has expired, kept until a restatement arrives.
    pub(super) orphans: HashMap<TaskId, Vec<Orphan>>,
    /// Oldest open suspicion of each worker.
    pub(super) suspicions: BTreeMap<Name, Suspicion>,
    /// All open suspicions of each worker.
    pub(super) opened: HashMap<Name, Vec<Opened>>,
    /// Workers declared lost, for tasks that are restated later.
    pub(super) losses: VecDeque<Loss>,
}

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
    pub fn apply(
        &mut self,
        offset: Offset,
        time: u64,
        now: Millis,
        batch: &Batch,
    ) -> Vec<TaskChange> {
        if offset < self.next {
            return Vec::new();
        }
        self.reset_to(offset);
        self.time = self.time.max(time);
        if std::mem::take(&mut self.missed) {
            self.head = Some(self.time);
        }
        self.forget_expired();
        self.expire_suspicions();
        let mut changes = Vec::new();
        for record in &batch.records {
            self.apply_record(offset, now, &batch.host, record, &mut changes);
        }
        self.next = offset.next();
        changes
    }

    /// Moves the read position past records that can't be read.
    ///
    /// A single batch is taken to be malformed, which all readers skip alike. More than one has
    /// expired, as with `reset_to`.
    pub fn skip_to(&mut self, next: Offset) {
        if next > self.next.next() {
            return self.reset_to(next);
        }
        self.next = self.next.max(next);
    }

    /// Moves the read position to the first retained batch.
    ///
    /// Tasks that were known may have changed in the records that were missed, so all are dropped
    /// until they are stated again.
    pub fn reset_to(&mut self, first: Offset) {
        if first <= self.next {
            return;
        }
        *self = Ledger {
            timing: self.timing,
            next: first,
            time: self.time,
            missed: true,
            position: self.position,
            changes: self.changes,
            ..Ledger::default()
        };
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

    /// Pending tasks that start after the one with this place, the first to start first.
    pub fn pending_after(&self, place: &QueuePlace) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.queue
            .range((Bound::Excluded(place.clone()), Bound::Unbounded))
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

    /// Changes whenever a claim on `worker` or the state of its task changes.
    pub fn claims_version(&self, worker: &str) -> u64 {
        self.versions.get(worker).copied().unwrap_or(0)
    }

    fn touch(&mut self, worker: &Name) {
        self.changes += 1;
        match self.versions.get_mut(worker) {
            Some(version) => *version = self.changes,
            None => {
                self.versions.insert(worker.clone(), self.changes);
            }
        }
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

    fn apply_record(
        &mut self,
        offset: Offset,
        now: Millis,
        host: &Name,
        record: &Record,
        changes: &mut Vec<TaskChange>,
    ) {
        self.position += 1;
        match record {
            Record::Accepted(spec) => self.accept(spec, changes),
            Record::Restated(restated) => self.restated(restated, changes),
            // Read by the node; it says nothing about tasks.
            Record::Started => {}
            Record::Suspected { worker, .. } => self.suspect(offset, now, host, worker),
            Record::Held { worker, .. } => self.answer(worker),
            Record::WorkerLost { worker, suspected } => {
                self.lose_worker(offset, host, (worker, *suspected), changes);
            }
            Record::Claimed { task, quota, .. }
                if !self.take_quota(offset, &task.customer, quota) => {}
            Record::Claimed { task, .. }
            | Record::Adopted { task, .. }
            | Record::Released { task, .. }
            | Record::Checkpointed { task, .. }
            | Record::Ended { task, .. }
            | Record::CancelRequested { task } => {
                if self.tasks.contains_key(task) {
                    self.transition(task, record, self.time, changes);
                } else {
                    let orphan = Orphan {
                        position: self.position,
                        offset,
                        time: self.time,
                        record: record.clone(),
                    };
                    self.orphans.entry(task.clone()).or_default().push(orphan);
                }
            }
        }
    }

    pub(super) fn insert(&mut self, task: Task) {
        self.index(&task);
        self.tasks.insert(task.spec.task.clone(), task);
    }

    /// Applies a record that the log stamped with `time` to a known task.
    pub(super) fn transition(
        &mut self,
        id: &TaskId,
        record: &Record,
        time: u64,
        changes: &mut Vec<TaskChange>,
    ) {
        let Some(before) = self.tasks.get(id).cloned() else {
            return;
        };
        let mut task = before.clone();
        let Some(change) = step(&mut task, record) else {
            return;
        };
        task.changed = time;
        changes.push(change);
        self.unindex(&before);
        self.index(&task);
        if let Some(known) = self.tasks.get_mut(id) {
            *known = task;
        }
    }

    fn index(&mut self, task: &Task) {
        let id = task.spec.task.clone();
        match &task.phase {
            Phase::Pending { .. } => {
                self.queue.insert(task.place());
            }
            Phase::Claimed { worker, .. } => {
                self.touch(worker);
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
                self.queue.remove(&task.place());
            }
            Phase::Claimed { worker, .. } => {
                self.touch(worker);
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
        let is_settled = |head| self.time > head + 2 * self.timing.dedupe.0;
        if self.head.is_some_and(is_settled) {
            self.ignored.clear();
        }
        if self.orphans.is_empty() {
            return;
        }
        let oldest = self.time.saturating_sub(self.timing.retention.0);
        self.orphans
            .retain(|_, records| records.last().is_some_and(|last| last.time >= oldest));
    }
}
