//! Refuses jobs that could not be served in time, because others that need the same lack room.

use super::candidates::UnmetRequirements;
use super::jobs::lacks_room;
use super::shard::{Now, Shard};
use crate::base::Name;
use crate::request::job::{JobSpec, objective};

/// Bounds of the time after which the client of a refused job may try again, in seconds.
const MIN_RETRY: u32 = 1;
const MAX_RETRY: u32 = 30;
/// Shorter waits are no sign of a backlog, in milliseconds: a change of the owner or the loss of a worker may cause
/// them, and is over soon.
const MIN_WAIT: u64 = 5_000;

impl Shard {
    /// Seconds after which a client may submit a job again that would not meet its objective, or `None` if it can
    /// be accepted. A job shows it that needs no more, waits for room, and has been open for longer than its own
    /// objective and that of the new job. A backlog shrinks about as slowly as it has grown, so the client comes
    /// back after half of that time.
    pub(super) fn retry_after_backlog(
        &self,
        now: Now,
        queue: &Name,
        spec: &JobSpec,
    ) -> Option<u32> {
        let queue = self.queues.queue(queue)?;
        if spec.turns > 0 {
            return None;
        }
        let limit = objective(queue, spec).max(MIN_WAIT);
        let waits = self.ready.iter().filter_map(|key| {
            let (job, other) = self.step_spec(key.step)?;
            let waited = now.wall.saturating_sub(job.turn_start(key.step.turn));
            // A job on trial waits for a worker of its own.
            if waited <= limit || !job.trials.is_empty() {
                return None;
            }
            let other_queue = self.queues.queue(&job.queue)?;
            if waited <= objective(other_queue, &job.spec) {
                return None;
            }
            let service = &other_queue.service;
            let unmet = UnmetRequirements::of(service, other, key.step);
            let mut steps = spec.steps.iter();
            let is_covered = steps.any(|step| unmet.cover_new(&queue.service, step));
            let is_unmet = lacks_room(&self.queues, &self.unmet, job, key.step);
            (is_covered && is_unmet).then_some(waited)
        });
        let longest = waits.max()?;
        Some(((longest / 2_000) as u32).clamp(MIN_RETRY, MAX_RETRY))
    }
}
