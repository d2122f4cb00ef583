//! Explains in the log why long-running tasks wait.

use std::collections::HashSet;

use super::candidates::MAX_WORKER_STARTS;
use super::reports::STOP_ALLOWANCE;
use super::shard::{Now, Phase, Shard};
use crate::base::Millis;
use crate::request::job::{Job, StartPermit, StepId, StepSpec, TaskKey};

/// Interval of the lines about waiting tasks, in milliseconds. A task that starts within it is usually
/// not worth a line.
const WAITING_LOG_INTERVAL: Millis = Millis(1_000);

/// Number of workers by the first reason for which they get no task of a step.
#[derive(Debug, Default)]
struct Rejections {
    /// Not ready, not recorded, silent, or with unknown runs of an earlier owner.
    unusable: usize,
    /// Too little unreserved capacity.
    full: usize,
    /// Without the required label, or with as many tasks of the step as it allows on one worker.
    restricted: usize,
    /// With as many unanswered start orders as are allowed.
    starting: usize,
    suspect: usize,
    /// None of these: best-effort tasks may still interfere too much.
    eligible: usize,
}

impl Shard {
    /// Logs the long-running step that has waited since the last call and comes first in the order of
    /// placement, with what each worker lacks for it.
    pub(super) fn log_waiting(&mut self, now: Now) {
        if now.steady.since(self.last_waiting_log) < WAITING_LOG_INTERVAL {
            return;
        }
        self.last_waiting_log = now.steady;
        let waiting: Vec<StepId> = self.waiting_long_running().collect();
        let previous: HashSet<StepId> = std::mem::replace(&mut self.waiting_steps, waiting)
            .into_iter()
            .collect();
        let mut still_waiting = self.waiting_steps.iter().filter(|id| previous.contains(id));
        let Some(id) = still_waiting.next() else {
            return;
        };
        let Some((job, spec)) = self.step_spec(*id) else {
            return;
        };
        let tasks: Vec<TaskKey> = job.waiting_tasks(*id).collect();
        let Some(task) = tasks.first() else {
            return;
        };
        let orphaned = tasks.iter().filter(|task| self.may_run_elsewhere(task));
        let may_have_run = self.phase != Phase::Active && self.recovered.contains(&id.job);
        tracing::info!(
            %task,
            tasks = tasks.len(),
            steps = still_waiting.count() + 1,
            orphaned = orphaned.count(),
            may_have_run,
            is_permitted = job.start_permit == StartPermit::Granted,
            pending_starts = self.pending_starts,
            fills = spec.fills,
            processors = spec.size.processors,
            memory = spec.size.memory,
            workers = ?self.rejections(now, *id, job, spec),
            "long-running tasks wait"
        );
    }

    /// Long-running steps with waiting tasks, in the order of placement.
    fn waiting_long_running(&self) -> impl Iterator<Item = StepId> {
        let steps = self.ready.iter().map(|key| key.step);
        steps.filter(|id| {
            self.step_spec(*id).is_some_and(|(job, spec)| {
                spec.lasts && job.step(*id).is_some_and(|step| step.waiting() > 0)
            })
        })
    }

    pub(super) fn step_spec(&self, id: StepId) -> Option<(&Job, &StepSpec)> {
        let job = self.jobs.get(&id.job)?;
        Some((job, job.spec.steps.get(usize::from(id.step))?))
    }

    fn rejections(&self, now: Now, id: StepId, job: &Job, spec: &StepSpec) -> Rejections {
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let mut rejections = Rejections::default();
        let Some(queue) = self.queues.queue(&job.queue) else {
            return rejections;
        };
        for worker in self.workers.iter() {
            if worker.service != queue.service {
                continue;
            }
            let count =
                if !worker.is_usable(now.steady) || !worker.is_settled(now.steady, stop_time) {
                    &mut rejections.unusable
                } else if !spec.reserved().fits(&worker.free()) {
                    &mut rejections.full
                } else if !worker.allows(id, spec) {
                    &mut rejections.restricted
                } else if worker.pending_starts >= MAX_WORKER_STARTS {
                    &mut rejections.starting
                } else if worker.suspect_until > now.steady {
                    &mut rejections.suspect
                } else {
                    &mut rejections.eligible
                };
            *count += 1;
        }
        rejections
    }
}
