//! Tail latency that the serving tasks of a job would show without filling tasks beside them.

use std::collections::HashMap;

use super::spec::JobId;
use crate::base::Millis;

/// Time in which a sample loses most of its weight, in milliseconds: the load of a service moves
/// over several seconds, and its tasks report every 300 ms to 1 s.
const MEMORY_TIME: f64 = 400.0;
/// Disturbance (a logarithm) at which a sample has half the weight of an undisturbed one: what is
/// subtracted is only as good as the learned slopes.
const HALF_WEIGHT: f64 = 0.1;
/// Weight from which on an estimate is used: two undisturbed reports of the last moments.
const KNOWN_WEIGHT: f64 = 2.0;
/// Jobs without a sample for longer are forgotten, in milliseconds.
const KEEP_TIME: Millis = Millis(10_000);
/// Most jobs that are kept; further ones count as unknown.
const MAX_JOBS: usize = 8_192;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Logarithm of the tail as a share of its bound.
    value: f64,
    weight: f64,
    at: Millis,
}

impl Estimate {
    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.at).0 as f64) / MEMORY_TIME).exp()
    }
}

/// Answers the pattern of a load that swings: the tasks of one job share its load, so those that
/// nothing disturbs tell what the others would show.
#[derive(Debug, Default)]
pub struct Undisturbed {
    jobs: HashMap<JobId, Estimate>,
}

impl Undisturbed {
    /// Takes the tail of one task less the disturbance that is known of; both are logarithms.
    pub fn observe(&mut self, now: Millis, job: JobId, value: f64, disturbance: f64) {
        if !self.jobs.contains_key(&job) && self.jobs.len() >= MAX_JOBS {
            return;
        }
        let ratio = disturbance / HALF_WEIGHT;
        let weight = 1.0 / (1.0 + ratio * ratio);
        let estimate = self.jobs.entry(job).or_insert(Estimate {
            value,
            weight: 0.0,
            at: now,
        });
        let kept = estimate.weight_at(now);
        estimate.value += (value - estimate.value) * weight / (kept + weight);
        estimate.weight = kept + weight;
        estimate.at = now;
    }

    /// Logarithm of the undisturbed tail as a share of its bound, if enough is known.
    pub fn expected(&self, now: Millis, job: JobId) -> Option<f64> {
        let estimate = self.jobs.get(&job)?;
        (estimate.weight_at(now) >= KNOWN_WEIGHT).then_some(estimate.value)
    }

    /// Drops the jobs that no longer report.
    pub fn forget_old(&mut self, now: Millis) {
        self.jobs
            .retain(|_, estimate| now.since(estimate.at) < KEEP_TIME);
    }
}
