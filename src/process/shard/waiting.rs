//! Explains in the log why long-running tasks wait, and why jobs have waited for long with nothing running.

use std::collections::HashSet;

use super::candidates::MAX_WORKER_STARTS;
use super::reports::STOP_ALLOWANCE;
use super::shard::{Now, Phase, Shard};
use super::worker::Worker;
use crate::base::Millis;
use crate::request::job::{
    ImageInterference, Job, StartPermit, StepId, StepSpec, TaskKey, is_overcommitted,
};

/// Interval of the lines about waiting tasks, in milliseconds. A task that starts within it is usually
/// not worth a line.
const WAITING_LOG_INTERVAL: Millis = Millis(1_000);

/// A job with nothing running is worth a line once it has waited for this long, in milliseconds.
const STARVED_TIME: u64 = 5_000;

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
    /// With too few idle processors for a best-effort task.
    busy: usize,
    /// With a serving task that such a best-effort task would push over its target, also without others there.
    excluded: usize,
    /// With a serving task that it would push over its target beside the best-effort tasks there.
    interfering: usize,
    /// With a serving image beside which a best-effort task of unknown interference was tried a moment ago.
    untested: usize,
    /// None of these.
    eligible: usize,
}

/// What the usable workers of a service run.
#[derive(Debug, Default)]
struct Usage {
    /// Millicores of all workers.
    capacity: u64,
    /// Millicores that tasks which are not best-effort reserve.
    reserved: u64,
    /// Millicores that the best-effort tasks would use at full speed.
    wanted: u64,
    /// Millicores that the best-effort tasks use by the last reports.
    used: u64,
    best_effort_runs: usize,
    /// Those of them with a speed limit.
    limited_runs: usize,
}

impl Shard {
    /// Logs the long-running step that has waited since the last call and comes first in the order of
    /// placement, with what each worker lacks for it.
    pub(super) fn log_waiting(&mut self, now: Now) {
        if now.steady.since(self.last_waiting_log) < WAITING_LOG_INTERVAL {
            return;
        }
        self.last_waiting_log = now.steady;
        self.log_starved(now);
        self.log_turns();
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
            workers = ?self.rejections(now, *id, job, spec).0,
            "long-running tasks wait"
        );
    }

    /// Logs the job that has waited longest with nothing running, and what each worker lacks for it.
    fn log_starved(&self, now: Now) {
        let waited = |job: &Job, step: StepId| now.wall.saturating_sub(job.turn_start(step.turn));
        let starved = self.ready.iter().filter_map(|key| {
            let (job, spec) = self.step_spec(key.step)?;
            let is_starved = job.is_idle() && waited(job, key.step) >= STARVED_TIME;
            (is_starved && !spec.lasts).then_some((key, job, spec))
        });
        let starved: Vec<_> = starved.collect();
        let first = starved
            .iter()
            .max_by_key(|(key, job, _)| waited(job, key.step));
        let Some((key, job, spec)) = first else {
            return;
        };
        let (rejections, excluded) = self.rejections(now, key.step, job, spec);
        let best_effort = starved.iter().filter(|(_, _, spec)| spec.fills);
        tracing::info!(
            job = %job.id,
            step = key.step.step,
            waited = waited(job, key.step),
            status = ?key.status(),
            steps = starved.len(),
            best_effort = best_effort.count(),
            is_permitted = job.start_permit == StartPermit::Granted,
            pending_starts = self.pending_starts,
            fills = spec.fills,
            image = spec.image.as_deref().unwrap_or_default(),
            processors = spec.size.processors,
            memory = spec.size.memory,
            workers = ?rejections,
            usage = ?self.usage(now),
            "job waits with nothing running"
        );
        self.log_exclusion(now, job.id, spec, &excluded);
    }

    fn usage(&self, now: Now) -> Usage {
        let mut usage = Usage::default();
        for worker in self
            .workers
            .iter()
            .filter(|worker| worker.is_usable(now.steady))
        {
            usage.capacity += u64::from(worker.capacity.processors);
            usage.reserved += u64::from(worker.committed.processors);
            for run in worker.runs.values().filter(|run| run.fills) {
                usage.wanted += u64::from(run.demand);
                usage.used += run.metric.unwrap_or(0);
                usage.best_effort_runs += 1;
                usage.limited_runs += usize::from(run.speed_limit < 100);
            }
        }
        usage
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

    /// Counts the workers by the reason for which they get no task of the step, and returns the excluded ones.
    fn rejections(
        &self,
        now: Now,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
    ) -> (Rejections, Vec<&Worker>) {
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let mut rejections = Rejections::default();
        let mut excluded = Vec::new();
        let service = &self.queues.get(&job.queue).service;
        let interference = self
            .contention
            .interference(now.steady, spec.image.as_ref());
        for worker in self.workers.iter() {
            if worker.service != *service {
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
                } else if spec.fills {
                    rejections.best_effort(worker, spec, &interference)
                } else {
                    &mut rejections.eligible
                };
            *count += 1;
            if rejections.excluded > excluded.len() {
                excluded.push(worker);
            }
        }
        (rejections, excluded)
    }
}

impl Rejections {
    /// The count of workers with the reason for which this one gets no best-effort task of the step.
    fn best_effort(
        &mut self,
        worker: &Worker,
        spec: &StepSpec,
        interference: &ImageInterference,
    ) -> &mut usize {
        let demand = spec.size.processors;
        let share = worker.share(demand);
        let headroom = interference.headroom_with(&worker.headroom, share);
        let idle = worker.idle_millicores() - i64::from(demand);
        if headroom == f64::NEG_INFINITY {
            &mut self.untested
        } else if interference.headroom_alone(&worker.headroom, share) < 0.0 {
            &mut self.excluded
        } else if is_overcommitted(idle, worker.capacity.processors) {
            &mut self.busy
        } else if headroom < 0.0 {
            &mut self.interfering
        } else {
            &mut self.eligible
        }
    }
}
