//! Baseline tail latency of a job's serving tasks: that without best-effort tasks beside them.

use std::collections::HashMap;

use super::spec::JobId;
use crate::base::Millis;

/// Time constant with which the weight of a sample decays, in milliseconds. The load of a service
/// changes over several seconds, and its tasks report every 300 ms to 1 s.
const DECAY_TIME: f64 = 400.0;
/// Interference (a logarithm) at which a sample has half the weight of one without interference.
/// The interference is subtracted from the sample, and its estimate is only as good as the learned
/// slopes.
const HALF_WEIGHT_INTERFERENCE: f64 = 0.1;
/// Weight from which a baseline is used: that of two recent reports without interference.
const KNOWN_WEIGHT: f64 = 2.0;
/// Time without a sample after which a job is forgotten, in milliseconds.
const KEEP_TIME: Millis = Millis(10_000);
/// Most jobs that are tracked; further ones count as unknown.
const MAX_JOBS: usize = 8_192;

#[derive(Debug, Clone, Copy)]
struct Baseline {
    /// Logarithm of the tail latency as a share of its bound.
    value: f64,
    weight: f64,
    at: Millis,
}

impl Baseline {
    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.at).0 as f64) / DECAY_TIME).exp()
    }
}

/// Baseline tail latencies by job.
///
/// They make it possible to tell a change of the load from interference: the tasks of one job share
/// its load, so tasks without best-effort tasks beside them show the baseline of the others.
#[derive(Debug, Default)]
pub struct BaselineTails {
    jobs: HashMap<JobId, Baseline>,
}

impl BaselineTails {
    /// Takes one sample: the logarithm of a task's tail latency, less the estimated `interference`.
    pub fn observe(&mut self, now: Millis, job: JobId, value: f64, interference: f64) {
        if !self.jobs.contains_key(&job) && self.jobs.len() >= MAX_JOBS {
            return;
        }
        let ratio = interference / HALF_WEIGHT_INTERFERENCE;
        let weight = 1.0 / (1.0 + ratio * ratio);
        let estimate = self.jobs.entry(job).or_insert(Baseline {
            value,
            weight: 0.0,
            at: now,
        });
        let kept = estimate.weight_at(now);
        estimate.value += (value - estimate.value) * weight / (kept + weight);
        estimate.weight = kept + weight;
        estimate.at = now;
    }

    /// Logarithm of the baseline as a share of the bound, if there are enough recent samples.
    pub fn expected(&self, now: Millis, job: JobId) -> Option<f64> {
        let estimate = self.jobs.get(&job)?;
        (estimate.weight_at(now) >= KNOWN_WEIGHT).then_some(estimate.value)
    }

    /// Forgets the jobs that no longer report.
    pub fn forget_old(&mut self, now: Millis) {
        self.jobs
            .retain(|_, estimate| now.since(estimate.at) < KEEP_TIME);
    }
}
