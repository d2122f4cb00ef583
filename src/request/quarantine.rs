//! Quarantine of workers on which every task fails, with exponential back-off.

use std::collections::HashMap;

use crate::base::{Millis, Name, TaskId};

/// Number of different jobs that have to fail in a row before a worker is quarantined.
const MAX_FAILED_JOBS: usize = 3;
/// Number of workers on which a job has to fail to count as poison: its failures no longer count
/// against workers.
const POISON_WORKERS: usize = 3;
/// Time for which a worker is quarantined at first, in milliseconds; doubles with each failed
/// probe.
const MIN_BACKOFF: Millis = Millis(30_000);
/// Longest time for which a worker is quarantined, in milliseconds.
const MAX_BACKOFF: Millis = Millis(1_800_000);
/// Time after which a probe without a result is given up and another one is allowed, in
/// milliseconds.
const PROBE_TIMEOUT: Millis = Millis(60_000);
/// Most failing jobs that are tracked; bounds the memory.
const MAX_JOBS: usize = 4096;

/// Quarantines workers on which tasks fail, with exponential back-off.
///
/// A failure is a start that the worker refused with `start_failed`, or a task that failed within
/// seconds of its start. After the back-off a single task is started as a probe.
#[derive(Debug, Default)]
pub struct Quarantine {
    workers: HashMap<Name, FailingWorker>,
    jobs: HashMap<JobKey, FailingJob>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct JobKey {
    customer: Name,
    job: Name,
}

impl From<&TaskId> for JobKey {
    fn from(task: &TaskId) -> Self {
        JobKey {
            customer: task.customer.clone(),
            job: task.job.clone(),
        }
    }
}

/// A worker with failures since the last success on it.
#[derive(Debug, Default)]
struct FailingWorker {
    /// The different jobs that failed while the worker was usable.
    jobs: Vec<JobKey>,
    stage: Stage,
    /// Number of failed probes.
    failed_probes: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Usable,
    /// No start is allowed before `until`.
    Quarantined { until: Millis },
    /// One task was started at `since`; no other start is allowed until its result.
    Probing { since: Millis },
}

impl Stage {
    fn allows(self, now: Millis) -> bool {
        match self {
            Stage::Usable => true,
            Stage::Quarantined { until } => now >= until,
            Stage::Probing { since } => now.since(since) >= PROBE_TIMEOUT,
        }
    }
}

/// The usable workers on which a job has failed since its last success.
#[derive(Debug, Default)]
struct FailingJob {
    workers: Vec<Name>,
    last_failure: Millis,
}

impl FailingJob {
    fn is_poison(&self) -> bool {
        self.workers.len() >= POISON_WORKERS
    }
}

impl Quarantine {
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a task may be started on the worker. After a back-off this is true until `started`
    /// records the probe.
    pub fn allows(&self, now: Millis, worker: &str) -> bool {
        self.workers.get(worker).is_none_or(|w| w.stage.allows(now))
    }

    /// Records that a start was sent. After a back-off it is a probe, and no other start is allowed
    /// until its result.
    pub fn started(&mut self, now: Millis, worker: &str) {
        let Some(failing) = self.workers.get_mut(worker) else {
            return;
        };
        if failing.stage != Stage::Usable && failing.stage.allows(now) {
            failing.stage = Stage::Probing { since: now };
        }
    }

    /// Records a failure; see `Quarantine`.
    pub fn failed(&mut self, now: Millis, worker: &Name, task: &TaskId) {
        let job = JobKey::from(task);
        if !self.workers.contains_key(worker) {
            self.workers
                .insert(worker.clone(), FailingWorker::default());
        }
        let stage = self.workers[worker].stage;
        // A failure on a worker in quarantine says nothing about the job.
        if stage == Stage::Usable {
            self.count_job_failure(now, &job, worker);
        }
        let poison = self.jobs.get(&job).is_some_and(FailingJob::is_poison);
        let Some(failing) = self.workers.get_mut(worker) else {
            return;
        };
        if poison {
            return failing.ignore_poison_failure(now);
        }
        failing.count_failure(now, job);
    }

    /// Records that a task succeeded on the worker, or has run for longer than a failing start
    /// takes.
    pub fn succeeded(&mut self, worker: &str, task: &TaskId) {
        self.workers.remove(worker);
        if !self.jobs.is_empty() {
            self.jobs.remove(&JobKey::from(task));
        }
    }

    /// Whether the job has failed on so many workers that the job itself is considered the cause.
    pub fn is_poison(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&JobKey::from(task));
        job.is_some_and(FailingJob::is_poison)
    }

    /// Forgets a worker that left or restarted.
    pub fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    fn count_job_failure(&mut self, now: Millis, job: &JobKey, worker: &Name) {
        if !self.jobs.contains_key(job) && self.jobs.len() >= MAX_JOBS {
            self.remove_oldest_job();
        }
        let failing = self.jobs.entry(job.clone()).or_default();
        failing.last_failure = now;
        if failing.is_poison() || failing.workers.contains(worker) {
            return;
        }
        failing.workers.push(worker.clone());
        if !failing.is_poison() {
            return;
        }
        for failing in self.workers.values_mut() {
            failing.jobs.retain(|other| other != job);
        }
    }

    fn remove_oldest_job(&mut self) {
        let oldest = self.jobs.iter().min_by_key(|(_, job)| job.last_failure);
        if let Some(job) = oldest.map(|(job, _)| job.clone()) {
            self.jobs.remove(&job);
        }
    }
}

impl FailingWorker {
    fn count_failure(&mut self, now: Millis, job: JobKey) {
        match self.stage {
            Stage::Usable => {
                if !self.jobs.contains(&job) {
                    self.jobs.push(job);
                }
                if self.jobs.len() >= MAX_FAILED_JOBS {
                    self.quarantine(now);
                }
            }
            Stage::Probing { .. } => {
                self.failed_probes += 1;
                self.quarantine(now);
            }
            // The start had been sent before the worker was quarantined.
            Stage::Quarantined { .. } => {}
        }
    }

    /// Handles the failure of a poison job: the worker's failures do not change, and if it was a
    /// probe, another one is allowed immediately.
    fn ignore_poison_failure(&mut self, now: Millis) {
        if matches!(self.stage, Stage::Probing { .. }) {
            self.stage = Stage::Quarantined { until: now };
        }
    }

    fn quarantine(&mut self, now: Millis) {
        let backoff = MIN_BACKOFF.0 << self.failed_probes.min(16);
        let until = now + Millis(backoff.min(MAX_BACKOFF.0));
        self.stage = Stage::Quarantined { until };
    }
}
