//! State of a data centre's tasks, rebuilt from the records of its task stream.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use super::quota_check::ClaimSum;
use super::record::{Batch, Phase, Record, TaskResult, TaskSpec};
use super::restate::{UnmatchedRecord, WorkerLoss};
use super::suspicion::{Suspicion, UnansweredSuspicion};
use super::transition::apply_to_task;
use crate::base::{Attempt, Millis, Name, Offset, Size, TaskId};

/// Durations that the ledger compares with the timestamps of the log.
#[derive(Debug, Clone, Copy)]
pub struct LedgerTiming {
    /// How long a finished task is kept, so that a repeated submission is recognised.
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

/// State of a task according to the records read so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    pub spec: Arc<TaskSpec>,
    pub phase: Phase,
    /// Failed attempts so far.
    pub failures: u32,
    pub checkpoint: Option<Name>,
    pub cancelled: bool,
    /// Log time of the newest record with the whole task, its acceptance or a restatement, in ms
    /// since the Unix epoch.
    pub snapshot_time: u64,
    /// Log time of the last change of the task's state, in ms since the Unix epoch.
    pub change_time: u64,
}

impl Task {
    /// Position in the queue while the task is pending.
    pub fn pending_position(&self) -> PendingPosition {
        let spec = &self.spec;
        (spec.priority, spec.accepted, spec.task.clone())
    }

    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done { .. })
    }

    /// Whether the records show that `attempt` has ended.
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

/// State change of a task that a record caused.
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

/// Why a claimed task is pending again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequeueReason {
    Released,
    Checkpointed,
    Failed,
    Lost,
    /// A watcher, which should run without an end, ended.
    WatcherEnded,
}

/// Position of a pending task among the pending tasks: priority, time of acceptance and id.
pub type PendingPosition = (u8, u64, TaskId);

/// Tasks of one data centre.
///
/// The state depends only on the records and their log times, so all hosts that read the same
/// stream agree on it.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) timing: LedgerTiming,
    pub(super) next: Offset,
    /// Log time of the newest batch, in ms since the Unix epoch.
    pub(super) time: u64,
    /// Log time of the first batch read after a gap, in ms since the Unix epoch. A gap is a part of
    /// the stream that expired before it was read.
    pub(super) gap_end: Option<u64>,
    /// Log time of each acceptance that was ignored because it may repeat one in the gap.
    pub(super) ignored_accepts: HashMap<TaskId, u64>,
    /// Whether a gap follows the last batch that was applied.
    has_gap: bool,
    /// Number of records read. It orders records within a batch, which share an offset.
    pub(super) position: u64,
    pub(super) tasks: BTreeMap<TaskId, Task>,
    /// Pending tasks in the order in which they start.
    queue: BTreeSet<PendingPosition>,
    /// Claimed tasks by worker.
    pub(super) worker_claims: HashMap<Name, BTreeSet<TaskId>>,
    /// Number of changes to claims on any worker.
    claim_changes: u64,
    /// Value of `claim_changes` after the last change on each worker.
    claim_versions: HashMap<Name, u64>,
    /// Sum of the declared sizes of claimed tasks, by customer.
    claimed_sizes: HashMap<Name, Size>,
    /// Recent claims by customer, one sum per batch, oldest first.
    pub(super) recent_claims: HashMap<Name, VecDeque<ClaimSum>>,
    /// Finished tasks by the log time at which they are removed, in ms since the Unix epoch.
    expiry: BTreeSet<(u64, TaskId)>,
    /// Records of tasks whose acceptance has expired, kept until a restatement arrives.
    pub(super) unmatched_records: HashMap<TaskId, Vec<UnmatchedRecord>>,
    /// Oldest unanswered suspicion of each worker.
    pub(super) suspicions: BTreeMap<Name, Suspicion>,
    /// All unanswered suspicions of each worker, oldest first.
    pub(super) unanswered: HashMap<Name, Vec<UnansweredSuspicion>>,
    /// Workers declared lost, to be applied to tasks that are restated later.
    pub(super) losses: VecDeque<WorkerLoss>,
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
    /// A batch at an offset below `next` was applied before and changes nothing.
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
        if std::mem::take(&mut self.has_gap) {
            self.gap_end = Some(self.time);
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

    /// Moves the read position past batches that can't be read.
    ///
    /// A single such batch is assumed to be malformed; all readers skip it. Several have expired,
    /// and the ledger is reset.
    pub fn skip_to(&mut self, next: Offset) {
        if next > self.next.next() {
            return self.reset_to(next);
        }
        self.next = self.next.max(next);
    }

    /// Drops all tasks and moves the read position to the first retained batch.
    ///
    /// The missed records may have changed any task. Each task becomes known again by its next
    /// restatement.
    pub fn reset_to(&mut self, first: Offset) {
        if first <= self.next {
            return;
        }
        *self = Ledger {
            timing: self.timing,
            next: first,
            time: self.time,
            has_gap: true,
            position: self.position,
            claim_changes: self.claim_changes,
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

    /// Pending tasks in the order in which they start.
    pub fn pending(&self) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.queue
            .iter()
            .filter_map(|(_, _, id)| self.tasks.get_key_value(id))
    }

    /// Pending tasks behind `position` in the queue, in the order in which they start.
    pub fn pending_after(
        &self,
        position: &PendingPosition,
    ) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.queue
            .range((Bound::Excluded(position.clone()), Bound::Unbounded))
            .filter_map(|(_, _, id)| self.tasks.get_key_value(id))
    }

    pub fn pending_count(&self) -> usize {
        self.queue.len()
    }

    /// Tasks whose current attempt is claimed on `worker`.
    pub fn claimed_on(&self, worker: &str) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.worker_claims
            .get(worker)
            .into_iter()
            .flatten()
            .filter_map(|id| self.tasks.get_key_value(id))
    }

    /// A number that changes whenever a claim on `worker` or the state of its task changes.
    pub fn claims_version(&self, worker: &str) -> u64 {
        self.claim_versions.get(worker).copied().unwrap_or(0)
    }

    fn bump_version(&mut self, worker: &Name) {
        self.claim_changes += 1;
        match self.claim_versions.get_mut(worker) {
            Some(version) => *version = self.claim_changes,
            None => {
                self.claim_versions
                    .insert(worker.clone(), self.claim_changes);
            }
        }
    }

    /// Sum of the declared sizes of a customer's claimed tasks.
    pub fn claimed_size(&self, customer: &str) -> Size {
        self.claimed_sizes
            .get(customer)
            .copied()
            .unwrap_or(Size::ZERO)
    }

    /// Workers on which tasks are claimed.
    pub fn claimed_workers(&self) -> impl Iterator<Item = &Name> {
        self.worker_claims.keys()
    }

    /// Tasks of a job in order of index.
    pub fn job(&self, customer: &Name, job: &Name) -> impl Iterator<Item = (&TaskId, &Task)> {
        let first = TaskId::new(customer.clone(), job.clone(), 0);
        let last = TaskId::new(customer.clone(), job.clone(), u32::MAX);
        self.tasks.range(first..=last)
    }

    /// Oldest unanswered suspicion of each worker.
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
            Record::Accepted(spec) => self.apply_accepted(spec, changes),
            Record::Restated(restated) => self.apply_restated(restated, changes),
            // The node evaluates it; no task depends on it.
            Record::Started => {}
            Record::Suspected { worker, .. } => self.apply_suspected(offset, now, host, worker),
            Record::Held { worker, .. } => self.close_suspicions(worker),
            Record::WorkerLost { worker, suspected } => {
                self.apply_worker_lost(offset, host, (worker, *suspected), changes);
            }
            Record::Claimed { task, quota, .. }
                if !self.reserve_quota(offset, &task.customer, quota) => {}
            Record::Claimed { task, .. }
            | Record::Adopted { task, .. }
            | Record::Released { task, .. }
            | Record::Checkpointed { task, .. }
            | Record::Ended { task, .. }
            | Record::CancelRequested { task } => {
                if self.tasks.contains_key(task) {
                    self.transition(task, record, self.time, changes);
                } else {
                    let unmatched = UnmatchedRecord {
                        position: self.position,
                        offset,
                        time: self.time,
                        record: record.clone(),
                    };
                    self.unmatched_records
                        .entry(task.clone())
                        .or_default()
                        .push(unmatched);
                }
            }
        }
    }

    /// Adds a task that is not known yet.
    pub(super) fn insert(&mut self, task: Task) {
        self.index(&task);
        self.tasks.insert(task.spec.task.clone(), task);
    }

    /// Applies a record with log time `time` to a known task.
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
        let Some(change) = apply_to_task(&mut task, record) else {
            return;
        };
        task.change_time = time;
        changes.push(change);
        self.unindex(&before);
        self.index(&task);
        if let Some(known) = self.tasks.get_mut(id) {
            *known = task;
        }
    }

    /// Enters the task in the queue, the claims or the expiry list, depending on its phase.
    fn index(&mut self, task: &Task) {
        let id = task.spec.task.clone();
        match &task.phase {
            Phase::Pending { .. } => {
                self.queue.insert(task.pending_position());
            }
            Phase::Claimed { worker, .. } => {
                self.bump_version(worker);
                self.worker_claims
                    .entry(worker.clone())
                    .or_default()
                    .insert(id.clone());
                let claimed = self.claimed_sizes.entry(id.customer).or_default();
                *claimed = claimed.saturating_add(&task.spec.size);
            }
            Phase::Done { .. } => {
                self.expiry
                    .insert((task.change_time + self.timing.dedupe.0, id));
            }
        }
    }

    /// Reverts `index`.
    fn unindex(&mut self, task: &Task) {
        let id = &task.spec.task;
        match &task.phase {
            Phase::Pending { .. } => {
                self.queue.remove(&task.pending_position());
            }
            Phase::Claimed { worker, .. } => {
                self.bump_version(worker);
                if let Some(claimed) = self.worker_claims.get_mut(worker) {
                    claimed.remove(id);
                    if claimed.is_empty() {
                        self.worker_claims.remove(worker);
                    }
                }
                if let Some(claimed) = self.claimed_sizes.get_mut(&id.customer) {
                    *claimed = claimed.saturating_sub(&task.spec.size);
                }
            }
            Phase::Done { .. } => {
                self.expiry
                    .remove(&(task.change_time + self.timing.dedupe.0, id.clone()));
            }
        }
    }

    /// Removes finished tasks and unmatched records that are older than their limits.
    fn forget_expired(&mut self) {
        while let Some((at, _)) = self.expiry.first() {
            if *at > self.time {
                break;
            }
            if let Some((_, id)) = self.expiry.pop_first() {
                self.tasks.remove(&id);
            }
        }
        let is_settled = |gap_end| self.time > gap_end + 2 * self.timing.dedupe.0;
        if self.gap_end.is_some_and(is_settled) {
            self.ignored_accepts.clear();
        }
        if self.unmatched_records.is_empty() {
            return;
        }
        let oldest = self.time.saturating_sub(self.timing.retention.0);
        self.unmatched_records
            .retain(|_, records| records.last().is_some_and(|last| last.time >= oldest));
    }
}
