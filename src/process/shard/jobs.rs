//! Jobs' turns and steps: what becomes ready, what is recorded.

use super::shard::{Now, Shard};
use crate::request::job::{Job, JobId, OrderKey, StepId, order_key};
use crate::version::{JobStateRecord, ShardRecord};

impl Shard {
    /// Opens the turns of a job that are due, and puts its ready steps into the order.
    pub(super) fn open_turns(&mut self, now: Now, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let opened = job.open_due(now.wall);
        if !opened.is_empty() && job.spec.turns > 0 {
            self.journal.mark(id);
        }
        if let Some(due) = job.next_due() {
            self.timed.insert((due, id));
        }
        self.enqueue(id);
    }

    /// Puts all steps of a job that have tasks to place into the order.
    pub(super) fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.accepted.contains(&id)) else {
            return;
        };
        if self.ending.contains_key(&id) {
            return;
        }
        let queue = self.queues.queue(&job.queue);
        for step in waiting_steps(job) {
            let start = match job.spec.turns {
                0 => job.accepted,
                _ => job.due(step.turn),
            };
            let key = order_key(queue, &job.spec, start, self.wall, step);
            self.ready.insert(key);
        }
        self.is_changed = true;
    }

    /// Rebuilds the order, since the queues' priorities or objectives have changed.
    pub(super) fn reorder(&mut self) {
        self.ready.clear();
        let ids: Vec<JobId> = self.accepted.iter().copied().collect();
        for id in ids {
            self.enqueue(id);
        }
    }

    /// Gives the steps whose jobs stand otherwise by now their new place.
    pub(super) fn reorder_expired(&mut self) {
        let is_expired = |key: &OrderKey| key.expires < self.wall;
        let expired: Vec<OrderKey> = self.ready.iter().copied().filter(is_expired).collect();
        for key in expired {
            self.ready.remove(&key);
            self.enqueue(key.step.job);
        }
    }

    /// The record of an open job's progress.
    pub(super) fn progress_record(&self, id: JobId) -> Option<ShardRecord> {
        if self.ending.contains_key(&id) {
            return None;
        }
        let job = self.jobs.get(&id)?;
        let state = JobStateRecord::Open(job.progress());
        Some(ShardRecord::State(id, Some(state)))
    }
}

fn waiting_steps(job: &Job) -> Vec<StepId> {
    let mut steps = Vec::new();
    for (turn, open) in &job.turns {
        for (index, step) in open.steps.iter().enumerate() {
            let index = index as u16;
            if step.waiting() > 0 && job.is_ready(*turn, index) {
                steps.push(StepId {
                    job: job.id,
                    turn: *turn,
                    step: index,
                });
            }
        }
    }
    steps
}
