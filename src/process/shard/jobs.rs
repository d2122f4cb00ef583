//! The turns and steps of jobs (a turn is one occurrence of a repeating job): which steps can be
//! placed, and the record of a job's progress.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::candidates::UnmetRequirements;
use super::journal::Commit;
use super::queues::Queues;
use super::shard::{Now, Phase, Shard};
use crate::base::Millis;
use crate::request::job::{Job, JobId, JobOrder, OrderKey, StartPermit, StepId, TurnState};
use crate::version::{DetailsRecord, JobStateRecord, ShardRecord};

/// Jobs in the order of placement that may start without waiting for the store, of those that found no
/// room in the last pass and of the others. The jobs behind them are recorded as not started.
const START_PERMITS: usize = 64;

/// Of the memory for jobs, this part is for their turns that are open at the same time as another one.
const TURN_MEMORY_DIVISOR: u64 = 2;
/// Most bytes of the details of a job's tasks in one record. The store takes records of 256 KiB, and the rest of a job's state
/// needs some bytes for each step and a bit for each task.
const MAX_DETAIL_BYTES: usize = 160 << 10;
/// Time after which a turn that has found no memory is tried again, in milliseconds.
const TURN_RETRY: Millis = Millis(1_000);

impl Shard {
    /// Opens the turns of a job that are due and queues its steps for placement.
    pub(super) fn open_turns(&mut self, now: Now, id: JobId) {
        let spare = self.spare_turn_memory(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let opened_turns = job.open_due(now.wall, spare);
        if !opened_turns.is_empty() && job.spec.turns > 0 {
            self.journal.mark_dirty(id);
        }
        if let Some(due) = job.next_due() {
            // A turn that is due and not open has found no memory.
            let next = match due <= now.wall {
                true => now.wall + TURN_RETRY.0,
                false => due,
            };
            self.upcoming_turns.insert((next, id));
        }
        self.enqueue(id);
    }

    /// Memory in bytes that further turns of a job may take.
    fn spare_turn_memory(&self, id: JobId) -> u64 {
        let is_repeating = self.jobs.get(&id).is_some_and(|job| job.spec.turns > 1);
        if !is_repeating {
            return u64::MAX;
        }
        let limit = self.settings.job_memory / TURN_MEMORY_DIVISOR;
        limit.saturating_sub(self.further_turn_memory())
    }

    /// Memory in bytes of the open turns of all jobs besides the first turn of each.
    pub(super) fn further_turn_memory(&self) -> u64 {
        self.jobs.values().map(Job::further_memory).sum()
    }

    /// Adds all steps of a job that have tasks to place to `ready`.
    pub(super) fn enqueue(&mut self, id: JobId) {
        let steps = self.jobs.get(&id).map(waiting_steps).unwrap_or_default();
        self.enqueue_steps(id, &steps);
    }

    /// The same for these steps of a job only.
    pub(super) fn enqueue_steps(&mut self, id: JobId, steps: &[StepId]) {
        self.insert_steps(id, steps);
        self.needs_placement = true;
    }

    /// Adds the steps that depend on one that is done.
    pub(super) fn enqueue_dependents(&mut self, done: StepId) {
        let Some(job) = self.jobs.get(&done.job) else {
            return;
        };
        let specs = job.spec.steps.iter().enumerate();
        let dependents = specs.filter(|(_, spec)| spec.after.contains(&done.step));
        let steps: Vec<StepId> = dependents
            .map(|(index, _)| StepId {
                step: index as u16,
                ..done
            })
            .collect();
        self.enqueue_steps(done.job, &steps);
    }

    fn insert_steps(&mut self, id: JobId, steps: &[StepId]) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.accepted.contains(&id)) else {
            return;
        };
        if self.ending.contains_key(&id) || steps.is_empty() {
            return;
        }
        let queue = self.queues.get(&job.queue);
        let order = JobOrder::new(queue, &job.spec);
        let wave_time = self.backlog.wave_time(queue, &job.spec);
        for step in steps.iter().filter(|step| is_waiting(job, **step)) {
            let turn = TurnState {
                start: job.turn_start(step.turn),
                has_begun: job.has_begun(step.turn),
                idle_since: job.idle_since(*step),
                wave_time,
            };
            let key = order.key(turn, self.wall, *step);
            self.starved_turns.note_queued(&key);
            self.ready.insert(key);
        }
    }

    /// Replaces the order keys of a turn that has begun, or of a starved step that has got its turn, since `key`
    /// was made.
    pub(super) fn replace_new_key(&mut self, key: OrderKey) {
        let StepId { job: id, turn, .. } = key.step;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if key.is_starved() && !self.ready.contains(&key) {
            return;
        }
        let has_run = job.idle_since(key.step).is_none();
        let is_outdated = match key.is_starved() {
            true => has_run,
            false => key.gives_way() && job.has_begun(turn),
        };
        if has_run {
            self.starved_turns.note_run(&key);
        }
        if !is_outdated {
            return;
        }
        self.ready.retain(|other| other.step.job != id);
        let steps = waiting_steps(job);
        self.insert_steps(id, &steps);
    }

    /// Whether a new job has to wait for others to start.
    pub(super) fn has_backlog(&self) -> bool {
        !self.ready.is_empty() || self.tickets.len() > START_PERMITS
    }

    /// Records that a new job has not started, because others wait before it. If this owner fails, the
    /// next one can place its tasks without waiting for workers that do not answer.
    pub(super) fn defer(&mut self, job: &mut Job) {
        job.start_permit = StartPermit::Deferred;
        let record = ShardRecord::Deferred(job.id, true);
        self.journal.push(&record, Some(Commit::Deferred(job.id)));
    }

    /// Deletes this record of the jobs that come first in the order of placement, ahead of their
    /// starts. Jobs that wait for room do not keep back those behind them.
    pub(super) fn permit_next_jobs(&mut self) {
        let mut permits = 0;
        let mut blocked = 0;
        let mut last = None;
        for key in &self.ready {
            let id = key.step.job;
            if self.phase != Phase::Active && self.recovered.contains(&id) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.has_started) else {
                continue;
            };
            if last.replace(id) == Some(id) {
                continue;
            }
            let count = match lacks_room(&self.queues, &self.unmet, job, key.step) {
                true => &mut blocked,
                false => &mut permits,
            };
            *count += 1;
            let is_next = *count <= START_PERMITS;
            if permits > START_PERMITS {
                return;
            }
            if is_next && job.start_permit == StartPermit::Deferred {
                job.start_permit = StartPermit::Requested;
                let record = ShardRecord::Deferred(id, false);
                self.journal.push(&record, Some(Commit::MayStart(id)));
            }
        }
    }

    /// Permits the start of a job whose record is deleted.
    pub(super) fn commit_may_start(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.start_permit = StartPermit::Granted;
            self.needs_placement = true;
        }
    }

    /// Rebuilds `ready` after a change of the queues' priorities or objectives.
    pub(super) fn rebuild_order(&mut self) {
        self.ready.clear();
        let ids: Vec<JobId> = self.accepted.iter().copied().collect();
        for id in ids {
            self.enqueue(id);
        }
    }

    /// Replaces the order keys of steps whose status against the job's objective has changed.
    pub(super) fn replace_expired_keys(&mut self) {
        let is_expired = |key: &OrderKey| key.expires < self.wall;
        let expired: Vec<OrderKey> = self.ready.iter().copied().filter(is_expired).collect();
        let mut steps: BTreeMap<JobId, Vec<StepId>> = BTreeMap::new();
        for key in expired {
            self.ready.remove(&key);
            steps.entry(key.step.job).or_default().push(key.step);
        }
        for (id, steps) in steps {
            self.enqueue_steps(id, &steps);
        }
    }

    /// Records the progress of a job, unless it is ending.
    pub(super) fn record_progress(&mut self, now: Now, id: JobId) {
        let Some(job) = self
            .jobs
            .get(&id)
            .filter(|_| !self.ending.contains_key(&id))
        else {
            return;
        };
        let split = job.progress().split(MAX_DETAIL_BYTES);
        if split.omitted > 0 {
            let omitted = split.omitted;
            tracing::warn!(job = %id, omitted, "checkpoints are too large to be recorded; another owner resumes from earlier ones");
        }
        let state = JobStateRecord::Open(split.progress);
        self.journal
            .push(&ShardRecord::State(id, Some(state)), None);
        let count = split.parts.len() as u32;
        for (part, details) in (0..).zip(split.parts) {
            let written = now.wall;
            let record = DetailsRecord { written, details };
            let record = ShardRecord::Details(id, part, Some(record));
            self.journal.push(&record, None);
        }
        self.delete_details(id, count);
    }

    /// Deletes the parts of a job's details from this number on.
    pub(super) fn delete_details(&mut self, id: JobId, first: u32) {
        let count = self.detail_parts.remove(&id).unwrap_or(0);
        for part in first..count {
            self.journal
                .push(&ShardRecord::Details(id, part, None), None);
        }
        if first > 0 {
            self.detail_parts.insert(id, first);
        }
    }

    /// Restores the details of tasks, and notes which parts there are. The newest record of a task counts.
    pub(super) fn restore_details(&mut self, mut records: Vec<(JobId, u32, DetailsRecord)>) {
        records.sort_by_key(|(_, _, record)| Reverse(record.written));
        for (id, part, record) in records {
            let count = self.detail_parts.entry(id).or_default();
            *count = part.saturating_add(1).max(*count);
            if let Some(job) = self.jobs.get_mut(&id) {
                record
                    .details
                    .iter()
                    .for_each(|detail| job.restore_detail(detail));
            }
        }
        let ended = self
            .detail_parts
            .keys()
            .filter(|id| !self.jobs.contains_key(id));
        let ended: Vec<JobId> = ended.copied().collect();
        for id in ended {
            self.delete_details(id, 0);
        }
    }
}

/// Whether no worker had room for a task of a step in the last pass.
pub(super) fn lacks_room(
    queues: &Queues,
    unmet: &[UnmetRequirements],
    job: &Job,
    step: StepId,
) -> bool {
    let spec = job.spec.steps.get(usize::from(step.step));
    let service = &queues.get(&job.queue).service;
    spec.is_some_and(|spec| {
        let mut unmet = unmet.iter();
        unmet.any(|known| known.cover(service, spec, step))
    })
}

/// Whether the step has waiting tasks and its dependencies are done.
fn is_waiting(job: &Job, id: StepId) -> bool {
    job.step(id).is_some_and(|step| step.waiting() > 0) && job.is_ready(id.turn, id.step)
}

/// Steps with waiting tasks whose dependencies are done.
pub(super) fn waiting_steps(job: &Job) -> Vec<StepId> {
    job.steps().filter(|step| is_waiting(job, *step)).collect()
}
