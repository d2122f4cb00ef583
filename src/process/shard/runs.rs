//! The life cycle of runs: adoption from an earlier owner, end, loss and stop.

use super::diagnostics::log_unknown_end;
use super::shard::{Now, Shard, ShardAction};
use super::worker::{Run, RunState, Worker};
use crate::base::{Millis, Name, Size};
use crate::connection::{EndReport, RunReport};
use crate::process::telemetry;
use crate::request::job::{Ending, JobId, Outcome, TaskKey, TaskState};

/// A worker is suspect once runs of this many jobs have failed on it since a run last succeeded.
const SUSPECT_JOBS: usize = 2;
/// How long a suspect worker gets no tasks, in milliseconds for each of these jobs.
const SUSPECT_TIME: Millis = Millis(1_500);
/// Maximum number of these jobs that count.
const MAX_FAILED_JOBS: usize = 6;

impl Shard {
    /// Takes over a run that this owner has no record of: an earlier owner started it, or this
    /// owner has counted it as lost. Stops it if it is not the current run of its task.
    pub(super) fn adopt(&mut self, now: Now, worker_id: &Name, listed: &RunReport) {
        let task_key = listed.task;
        if let Some(worker) = self.workers.get_mut(worker_id) {
            // Only one run of a task is kept for each worker. This stops the known one; the other
            // one is listed again and stopped after it.
            if let Some(known) = worker.runs.get(&task_key).map(|known| known.run) {
                tracing::warn!(task = %task_key, run = listed.run, known, worker = %worker_id, "worker reports a second run of a task; stopping the known one");
                worker.stop_run(task_key);
                return;
            }
        }
        let is_open = self.accepted.contains(&task_key.step.job)
            && !self.ending.contains_key(&task_key.step.job);
        let job = self.jobs.get_mut(&task_key.step.job);
        let mut is_current = false;
        let mut run = Run {
            run: listed.run,
            state: RunState::Active { since: now.steady },
            reserved: Size::ZERO,
            demand: 0,
            fills: false,
            lasts: false,
            image: None,
            tail_bound: 0,
            started: now.steady,
            percent: listed.percent,
            last_progress: now.steady,
            metric: listed.measurement,
            checkpoint: listed.checkpoint.clone(),
            saves: false,
            speed_limit: 100,
            halted_since: None,
            is_orphaned: false,
            is_adopted: true,
            is_confirmed: true,
        };
        if let Some(job) = job {
            if let Some(spec) = job.spec.steps.get(usize::from(task_key.step.step)) {
                run.reserved = spec.reserved();
                run.demand = spec.size.processors;
                run.fills = spec.fills;
                run.lasts = spec.lasts;
                run.saves = spec.saves;
                run.image.clone_from(&spec.image);
                run.tail_bound = spec.tail_bound;
            }
            let is_waiting = job
                .task(task_key)
                .is_some_and(|task| task.state == TaskState::Waiting);
            if is_open && is_waiting && !self.orphaned_tasks.contains(&task_key) {
                is_current = true;
                job.has_started = true;
                job.has_run = true;
                job.set_state(task_key, TaskState::Placed);
                if let Some(task) = job.task_mut(task_key) {
                    task.is_found = true;
                    task.has_run = true;
                }
            }
        }
        if !is_current {
            tracing::info!(task = %task_key, run = listed.run, worker = %worker_id, "stopping an orphaned run");
            run.state = RunState::Stopping {
                sent: None,
                confirmed: None,
            };
            run.is_orphaned = true;
            self.orphaned_tasks.insert(task_key);
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            if run.reserved == Size::ZERO {
                // The size of the run is unknown, since its job has ended. The whole worker is set
                // aside until the run ends.
                run.reserved = worker.capacity;
            }
            worker.add_run(task_key, run);
        }
    }

    /// Handles one end of a run that a worker reports.
    pub(super) fn handle_end(&mut self, now: Now, worker_id: &Name, end: &EndReport) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.processed = end.number;
        match end.ending {
            Ending::Done => {
                worker.failed_jobs.clear();
            }
            Ending::Failed => {
                let job = end.task.step.job;
                let is_new = !worker.failed_jobs.contains(&job);
                if is_new && worker.failed_jobs.len() < MAX_FAILED_JOBS {
                    worker.failed_jobs.push(job);
                }
                let failed = worker.failed_jobs.len();
                if is_new && failed >= SUSPECT_JOBS {
                    let pause = SUSPECT_TIME.0 * failed as u64;
                    worker.suspect_until = now.steady + Millis(pause);
                    tracing::warn!(worker = %worker_id, failed, pause, "runs fail on a worker; it gets no tasks for now");
                }
            }
            Ending::Stopped | Ending::Lapsed | Ending::GangBroken | Ending::GangIncomplete => {}
        }
        let is_known = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.run == end.run);
        let removed = is_known.then(|| worker.remove_run(end.task)).flatten();
        if removed.is_none() {
            log_unknown_end(self.owner.epoch, worker_id, end);
        }
        let was_orphaned = removed.as_ref().is_some_and(|run| run.is_orphaned);
        if was_orphaned {
            self.orphaned_tasks.remove(&end.task);
        }
        let is_current = removed.is_some() && !was_orphaned;
        self.lost_runs.end_run(end);
        match self.lost_runs.is_superseded(worker_id, end) {
            // It may have been found running, as the task waited for its next run.
            true if is_current => self.requeue(now, end.task),
            true => {}
            false => self.apply_end(now, worker_id, end, is_current),
        }
        if was_orphaned {
            self.enqueue_steps(end.task.step.job, &[end.task.step]);
        }
    }

    /// Applies the end of a run to its job; `is_current` tells whether it was the task's current
    /// run.
    fn apply_end(&mut self, now: Now, worker_id: &Name, end: &EndReport, is_current: bool) {
        let id = end.task.step.job;
        if self.ending.contains_key(&id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.has_run = true;
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(end.task.step.step)) else {
            return;
        };
        let Some(task) = job.task_mut(end.task) else {
            return;
        };
        if task.state == TaskState::Done {
            return;
        }
        let was_waiting = task.state == TaskState::Waiting;
        if let Some(checkpoint) = &end.checkpoint {
            job.save(end.task, end.run, checkpoint, true);
            self.journal.mark_dirty(id);
        }
        if end.ending == Ending::Done && !step.lasts {
            let tasks: Vec<TaskKey> = match step.gang {
                true => (0..step.count)
                    .map(|index| TaskKey { index, ..end.task })
                    .collect(),
                false => vec![end.task],
            };
            let count = tasks.len();
            for task in tasks {
                job.set_state(task, TaskState::Done);
                self.lost_runs.end_task(task);
            }
            let queue = self.queues.get(&job.queue);
            self.backlog.count_done(queue, step, count);
            self.journal.mark_dirty(id);
            let is_step_done = job.step(end.task.step).is_some_and(|step| step.is_done());
            let is_repeating = job.spec.turns > 0;
            let is_job_done = is_step_done && job.close_turn(end.task.step.turn);
            if !is_current && !was_waiting {
                self.stop_task(end.task);
            }
            if is_job_done {
                self.end_job(now, id, Outcome::Completed);
            } else if is_step_done && is_repeating {
                self.open_turns(now, id);
            } else if is_step_done {
                self.enqueue_dependents(end.task.step);
            }
            return;
        }
        if end.ending == Ending::Failed {
            let failures = job.count_failure(end.task, end.run);
            self.journal.mark_dirty(id);
            let attempts = usize::from(self.queues.get(&job.queue).attempts);
            tracing::info!(task = %end.task, run = end.run, worker = %worker_id, failures, attempts, "run failed");
            if !step.lasts && failures >= attempts {
                self.end_job(now, id, Outcome::Failed);
                return;
            }
        }
        if let Some(task) = job.task_mut(end.task) {
            task.has_run = true;
        }
        if is_current || was_waiting {
            self.requeue(now, end.task);
        }
    }

    /// Handles the loss of a run: it has ended, but its worker reported no end.
    pub(super) fn lose_run(&mut self, now: Now, worker_id: &Name, task: TaskKey, ending: Ending) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(run) = worker.remove_run(task) else {
            return;
        };
        if run.is_orphaned {
            self.orphaned_tasks.remove(&task);
            self.enqueue_steps(task.step.job, &[task.step]);
            return;
        }
        self.suspect_run(now, worker_id, task, &run);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            if let Some(checkpoint) = &run.checkpoint {
                job.save(task, run.run, checkpoint, false);
                self.journal.mark_dirty(task.step.job);
            }
            if let Some(entry) = job.task_mut(task) {
                entry.has_run |= run.state != RunState::Starting;
            }
        }
        let age = now.steady.since(run.started).0;
        tracing::info!(%task, run = run.run, worker = %worker_id, ?ending, age, "run lost");
        self.requeue(now, task);
    }

    /// Loses the runs of the workers that had the address of a new worker before.
    pub(super) fn lose_runs_at_address(&mut self, now: Now, new_id: &Name) {
        let new = self.workers.get_mut(new_id);
        let Some(address) = new.and_then(|worker| worker.reported_address) else {
            return;
        };
        let is_replaced = |worker: &&Worker| {
            let is_empty = worker.runs.is_empty() && worker.suspects.is_empty();
            worker.is_at(address) && worker.id != *new_id && !is_empty
        };
        let replaced = self.workers.iter().filter(is_replaced);
        let ids: Vec<Name> = replaced.map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.worker_gone(now, &id);
        }
    }

    /// Loses all runs of a worker whose process has ended, while another worker has its address.
    pub(super) fn worker_gone(&mut self, now: Now, worker_id: &Name) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs.keys().copied().collect();
        for task in tasks {
            telemetry::count_lost_run("process_ended");
            self.lose_run(now, worker_id, task, Ending::Lapsed);
        }
        self.prove_crashes(now, worker_id);
    }

    /// Makes a task whose run has ended wait for its next run.
    pub(super) fn requeue(&mut self, now: Now, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let is_placed = job
            .task(task)
            .is_some_and(|task| task.state == TaskState::Placed);
        if is_placed {
            job.set_state(task, TaskState::Waiting);
        }
        self.add_restart(now.steady, task);
        self.enqueue_steps(task.step.job, &[task.step]);
    }

    /// Stops all runs of a task.
    fn stop_task(&mut self, task: TaskKey) {
        for worker in self.workers.iter_mut() {
            worker.stop_run(task);
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, now: Now, id: JobId, out: &mut Vec<ShardAction>) {
        for worker in self.workers.iter_mut() {
            let of_job = worker.runs.keys().filter(|task| task.step.job == id);
            let tasks: Vec<TaskKey> = of_job.copied().collect();
            for task in tasks {
                worker.stop_run(task);
            }
        }
        self.send_stops(now, out);
    }
}
