//! Explains in the log why tasks wait.

use std::collections::HashSet;

use super::candidates::MAX_WORKER_STARTS;
use super::reports::STOP_ALLOWANCE;
use super::shard::{Now, Phase, Shard};
use crate::base::Millis;
use crate::request::job::{Job, JobId, Outcome, StartPermit, StepId, StepSpec, TaskKey};

/// Interval of the lines about waiting tasks, in milliseconds. A task that starts within it is usually
/// not worth a line.
const WAITING_LOG_INTERVAL: Millis = Millis(1_000);

/// A job that waits and was accepted this long ago gets a line, in milliseconds.
const LONG_WAIT: u64 = 10_000;

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

/// What is in use and what waits. Millicores, unless they count workers or tasks.
#[derive(Debug, Default)]
struct Load {
    workers: u32,
    unusable: u32,
    suspect: u32,
    /// Workers with a serving task over its bound beside best-effort tasks.
    over_bound: u32,
    capacity: u64,
    reserved: u64,
    long_reserved: u64,
    idle: u64,
    best_effort: u64,
    /// What speed limits take from best-effort tasks, in hundredths of a millicore.
    paced: u64,
    waiting: usize,
    waiting_best_effort: usize,
    waiting_long: usize,
}

impl Shard {
    /// Logs the long-running step that has waited since the last call and comes first in the order of
    /// placement, with what each worker lacks for it.
    pub(super) fn log_waiting(&mut self, now: Now) {
        if now.steady.since(self.last_waiting_log) < WAITING_LOG_INTERVAL {
            return;
        }
        self.last_waiting_log = now.steady;
        self.log_load(now);
        self.log_long_waits();
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
        let orphaned = tasks
            .iter()
            .filter(|task| self.orphaned_tasks.contains(task));
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

    /// Logs what a job has waited for, at its end or while it is open.
    pub(super) fn log_job(&self, id: JobId, outcome: Option<Outcome>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let steps = &job.spec.steps;
        let work = steps.iter().map(|step| {
            u64::from(step.count) * u64::from(step.runtime) * u64::from(step.size.processors)
        });
        tracing::info!(
            job = %id,
            ?outcome,
            queue = %job.queue,
            took = self.wall.saturating_sub(job.accepted),
            chain = job.spec.critical_path(),
            work = work.sum::<u64>() / 1_000,
            steps = steps.len(),
            tasks = steps.iter().map(|step| u32::from(step.count)).sum::<u32>(),
            fills = steps.iter().any(|step| step.fills),
            waits = %job.waits,
            failed = job.waits.failed,
            stopped = job.waits.stopped,
            lost = job.waits.lost,
            oldest_lost = job.waits.oldest_lost,
            longest_run = job.waits.longest_run,
            longest_paced = job.waits.longest_paced,
            "{}",
            match outcome {
                Some(_) => "job ends",
                None => "job waits for long",
            }
        );
    }

    /// Logs each job that waits for long, once.
    fn log_long_waits(&mut self) {
        let mut ids: Vec<JobId> = self.ready.iter().map(|key| key.step.job).collect();
        ids.sort_unstable();
        ids.dedup();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.waits.is_logged || self.wall < job.accepted + LONG_WAIT {
                continue;
            }
            job.waits.is_logged = true;
            self.log_job(id, None);
        }
    }

    /// Logs how much of the workers is in use and what waits, in processors and tasks.
    fn log_load(&self, now: Now) {
        let mut load = Load::default();
        for worker in self.workers.iter().filter(|worker| worker.is_listed) {
            load.workers += 1;
            if !worker.is_usable(now.steady) {
                load.unusable += 1;
                continue;
            }
            load.suspect += u32::from(worker.suspect_until > now.steady);
            load.capacity += u64::from(worker.capacity.processors);
            load.reserved += u64::from(worker.committed.processors);
            load.long_reserved += u64::from(worker.long_reserved.processors);
            load.idle += worker.idle_millicores().max(0) as u64;
            load.over_bound += u32::from(worker.over_since.is_some());
            for run in worker.runs.values().filter(|run| run.fills) {
                load.best_effort += u64::from(run.demand);
                load.paced += u64::from(run.demand) * (100 - u64::from(run.speed_limit.min(100)));
            }
        }
        for key in &self.ready {
            let Some((job, spec)) = self.step_spec(key.step) else {
                continue;
            };
            let waiting = job.step(key.step).map_or(0, |step| step.waiting());
            match (spec.lasts, spec.fills) {
                (true, _) => load.waiting_long += waiting,
                (false, true) => load.waiting_best_effort += waiting,
                (false, false) => load.waiting += waiting,
            }
        }
        tracing::info!(
            jobs = self.jobs.len(),
            steps = self.ready.len(),
            pending_starts = self.pending_starts,
            appending = ?self.journal.failing_for(now.steady),
            ?load,
            "load"
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

    fn step_spec(&self, id: StepId) -> Option<(&Job, &StepSpec)> {
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
