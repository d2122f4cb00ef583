//! Refuses jobs that could not be served in time, because others that need the same lack room.

use super::candidates::UnmetRequirements;
use super::jobs::lacks_room;
use super::shard::{Now, Shard};
use crate::base::{Millis, Name};
use crate::request::job::{JobSpec, ObjectiveStatus, OrderKey, StepSpec, objective};
use crate::version::Queue;

/// Bounds of the time after which the client of a refused job may try again, in seconds.
const MIN_RETRY: u32 = 1;
const MAX_RETRY: u32 = 30;
/// Shorter waits are no sign of a backlog, in milliseconds: a change of the owner or the loss of a worker may cause
/// them, and is over soon.
const MIN_WAIT: u64 = 5_000;
/// Interval at which the late steps are collected, in milliseconds.
const COLLECTION_INTERVAL: Millis = Millis(250);

/// Steps that lack room and whose jobs have missed their objectives.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    steps: Vec<LateStep>,
    last_collection: Millis,
}

/// A step that a new job with the same requirements would have to wait for.
#[derive(Debug)]
struct LateStep {
    requirements: UnmetRequirements,
    label: Option<Name>,
    priority: u8,
    /// How long its job has been open, in milliseconds.
    waited: u64,
}

impl LateStep {
    /// Whether a task of a new job would have to wait for room as long.
    fn is_ahead_of(&self, queue: &Queue, spec: &StepSpec) -> bool {
        let has_label = self.label.is_none() || self.label == spec.label;
        self.priority <= queue.priority
            && has_label
            && self.requirements.cover_size(&queue.service, spec)
    }
}

impl Shard {
    /// Collects the late steps that lack room.
    pub(super) fn collect_backlog(&mut self, now: Now) {
        if now.steady.since(self.backlog.last_collection) < COLLECTION_INTERVAL {
            return;
        }
        let steps = self.ready.iter();
        self.backlog = Backlog {
            steps: steps.filter_map(|key| self.late_step(now, key)).collect(),
            last_collection: now.steady,
        };
    }

    fn late_step(&self, now: Now, key: &OrderKey) -> Option<LateStep> {
        let (job, spec) = self.step_spec(key.step)?;
        let start = job.turn_start(key.step.turn).max(job.accepted);
        let waited = now.wall.saturating_sub(start);
        // Overdue jobs come after new ones until they are starved.
        let gives_way =
            key.status() == ObjectiveStatus::Overdue && job.idle_since(key.step).is_none();
        // Gangs, steps with a limit of tasks a worker and jobs on trial wait for other reasons as well.
        let is_special = spec.gang || spec.spread > 0 || !job.trials.is_empty();
        if waited < MIN_WAIT || gives_way || is_special {
            return None;
        }
        let queue = self.queues.queue(&job.queue)?;
        let is_late = waited > objective(queue, &job.spec);
        if !is_late || !lacks_room(&self.queues, &self.unmet, job, key.step) {
            return None;
        }
        Some(LateStep {
            requirements: UnmetRequirements::of(&queue.service, spec, key.step),
            label: spec.label.clone(),
            priority: queue.priority,
            waited,
        })
    }

    /// Seconds after which a client may submit a job again that would not meet its objective, or `None` if it can
    /// be accepted. It would not if a late step that lacks room comes first, needs no more, and has been open for
    /// longer than the objective of the new job. A backlog shrinks about as slowly as it has grown, so the client
    /// comes back after half of that time.
    pub(super) fn retry_after_backlog(&self, queue: &Name, spec: &JobSpec) -> Option<u32> {
        let queue = self.queues.queue(queue)?;
        // The turns of a repeating job may be due much later.
        if spec.turns > 0 {
            return None;
        }
        let limit = objective(queue, spec);
        let first_steps = spec
            .steps
            .iter()
            .filter(|step| step.after.is_empty() && !step.lasts);
        let waits = first_steps.flat_map(|step| {
            let late = self.backlog.steps.iter();
            late.filter(|late| late.waited > limit && late.is_ahead_of(queue, step))
                .map(|late| late.waited)
        });
        let longest = waits.max()?;
        Some(((longest / 2_000) as u32).clamp(MIN_RETRY, MAX_RETRY))
    }
}
