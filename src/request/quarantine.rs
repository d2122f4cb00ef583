//! Quarantine of workers that fail everything they start.

use std::collections::HashMap;

use crate::base::{Millis, Name, TaskId};

/// Consecutive failures of different jobs after which a worker is closed.
const MAX_FAILURES: usize = 3;
/// Workers on which a job has to fail before its failures stop counting against workers.
const POISON_WORKERS: usize = 3;
const MIN_BACKOFF: Millis = Millis(30_000);
const MAX_BACKOFF: Millis = Millis(1_800_000);
/// A probe without a result for this long is given up and another one is allowed.
const PROBE_TIMEOUT: Millis = Millis(60_000);
/// Bounds the memory of failing jobs.
const MAX_JOBS: usize = 4096;

/// Closes workers whose starts fail, with exponential back-off.
///
/// A failure is a start that the worker refused with `start_failed` or a task that failed within
/// seconds of its start.
#[derive(Debug, Default)]
pub struct Quarantine {
    workers: HashMap<Name, Failing>,
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

/// A worker with failures since its last success.
#[derive(Debug, Default)]
struct Failing {
    /// Different jobs that failed.
    jobs: Vec<JobKey>,
    stage: Stage,
    /// Failed probes.
    probes: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Open,
    Closed {
        until: Millis,
    },
    Probing {
        since: Millis,
    },
}

impl Stage {
    fn allows(self, now: Millis) -> bool {
        match self {
            Stage::Open => true,
            Stage::Closed { until } => now >= until,
            Stage::Probing { since } => now.since(since) >= PROBE_TIMEOUT,
        }
    }
}

/// Workers in the open stage on which a job has failed since its last success.
#[derive(Debug, Default)]
struct FailingJob {
    workers: Vec<Name>,
    last: Millis,
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

    /// Whether a task may be started on the worker. After a back-off this stays true until
    /// `started` marks the probe.
    pub fn allows(&self, now: Millis, worker: &str) -> bool {
        self.workers.get(worker).is_none_or(|w| w.stage.allows(now))
    }

    /// Counts a start that was sent; after a back-off it is the only one until its result.
    pub fn started(&mut self, now: Millis, worker: &str) {
        let Some(failing) = self.workers.get_mut(worker) else {
            return;
        };
        if failing.stage != Stage::Open && failing.stage.allows(now) {
            failing.stage = Stage::Probing { since: now };
        }
    }

    /// Counts a failed start.
    pub fn failed(&mut self, now: Millis, worker: &Name, task: &TaskId) {
        let job = JobKey::from(task);
        if !self.workers.contains_key(worker) {
            self.workers.insert(worker.clone(), Failing::default());
        }
        let stage = self.workers[worker].stage;
        // A worker in quarantine says nothing about the job.
        if stage == Stage::Open {
            self.blame_job(now, &job, worker);
        }
        let poison = self.jobs.get(&job).is_some_and(FailingJob::is_poison);
        let Some(failing) = self.workers.get_mut(worker) else {
            return;
        };
        if poison {
            return failing.excuse(now);
        }
        failing.blame(now, job);
    }

    /// Counts a task that ended well on the worker, or that has run for longer than a failing
    /// start takes.
    pub fn succeeded(&mut self, worker: &str, task: &TaskId) {
        self.workers.remove(worker);
        if !self.jobs.is_empty() {
            self.jobs.remove(&JobKey::from(task));
        }
    }

    /// Whether the job has failed on so many workers that the cause is taken to be the job.
    pub fn is_poison(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&JobKey::from(task));
        job.is_some_and(FailingJob::is_poison)
    }

    /// Forgets a worker that left or restarted.
    pub fn forget(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    fn blame_job(&mut self, now: Millis, job: &JobKey, worker: &Name) {
        if !self.jobs.contains_key(job) && self.jobs.len() >= MAX_JOBS {
            self.remove_oldest_job();
        }
        let failing = self.jobs.entry(job.clone()).or_default();
        failing.last = now;
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
        let oldest = self.jobs.iter().min_by_key(|(_, job)| job.last);
        if let Some(job) = oldest.map(|(job, _)| job.clone()) {
            self.jobs.remove(&job);
        }
    }
}

impl Failing {
    fn blame(&mut self, now: Millis, job: JobKey) {
        match self.stage {
            Stage::Open => {
                if !self.jobs.contains(&job) {
                    self.jobs.push(job);
                }
                if self.jobs.len() >= MAX_FAILURES {
                    self.close(now);
                }
            }
            Stage::Probing { .. } => {
                self.probes += 1;
                self.close(now);
            }
            // The start was sent before the worker was closed.
            Stage::Closed { .. } => {}
        }
    }

    /// A poison job failed: the count stays as it is, and a probe is repeated with another job.
    fn excuse(&mut self, now: Millis) {
        if matches!(self.stage, Stage::Probing { .. }) {
            self.stage = Stage::Closed { until: now };
        }
    }

    fn close(&mut self, now: Millis) {
        let backoff = MIN_BACKOFF.0 << self.probes.min(16);
        let until = now + Millis(backoff.min(MAX_BACKOFF.0));
        self.stage = Stage::Closed { until };
    }
}
