//! Average service time of each instance, to find those that tasks on the same worker slow down.

use std::collections::HashMap;

use crate::base::{Millis, Name};

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Smallest number of samples for an average to be used.
const MIN_SAMPLES: u32 = 10;
/// An average that has no sample for this long, in ms, is outdated, since the load changes.
const MAX_AGE: Millis = Millis(10_000);
/// An instance is slow if its average is more than this multiple of the median over its service.
const SLOW_FACTOR: f64 = 2.0;
/// Smallest difference from the median, in ms, for an instance to be slow; smaller differences are
/// within the noise of the network.
const MIN_EXCESS: f64 = 5.0;

/// Moving averages of the service time of each instance.
#[derive(Debug, Default)]
pub struct InstanceLatencies {
    instances: HashMap<Name, InstanceAverage>,
}

#[derive(Debug)]
struct InstanceAverage {
    service: Name,
    /// Moving average of the service time, in ms.
    mean: f64,
    samples: u32,
    last_sample: Millis,
}

impl InstanceLatencies {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time that a request spent on an instance.
    pub fn observe(&mut self, now: Millis, service: &Name, instance: &Name, service_time: Millis) {
        let service_time = service_time.0 as f64;
        let average = self
            .instances
            .entry(instance.clone())
            .or_insert_with(|| InstanceAverage {
                service: service.clone(),
                mean: service_time,
                samples: 0,
                last_sample: now,
            });
        if now.since(average.last_sample) > MAX_AGE {
            average.samples = 0;
            average.mean = service_time;
        }
        average.mean += SAMPLE_WEIGHT * (service_time - average.mean);
        average.samples = average.samples.saturating_add(1);
        average.last_sample = now;
    }

    /// Instances that are slow compared with the other instances of their service, ordered by name.
    pub fn slow_instances(&self, now: Millis) -> Vec<Name> {
        let mut services: HashMap<&Name, Vec<f64>> = HashMap::new();
        let current = || {
            self.instances
                .iter()
                .filter(|(_, average)| average.is_current(now))
        };
        for (_, average) in current() {
            services
                .entry(&average.service)
                .or_default()
                .push(average.mean);
        }
        let medians: HashMap<&Name, f64> = services
            .into_iter()
            .map(|(service, means)| (service, median(means)))
            .collect();
        let mut slow: Vec<Name> = current()
            .filter(|(_, average)| {
                let median = medians[&average.service];
                average.mean > SLOW_FACTOR * median && average.mean > median + MIN_EXCESS
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        slow.sort();
        slow
    }

    /// Removes the instances for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.instances.retain(|instance, _| is_known(instance));
    }
}

impl InstanceAverage {
    fn is_current(&self, now: Millis) -> bool {
        self.samples >= MIN_SAMPLES && now.since(self.last_sample) <= MAX_AGE
    }
}

/// The lower median, so that the slower one of two instances can exceed it.
fn median(mut means: Vec<f64>) -> f64 {
    means.sort_by(f64::total_cmp);
    means[(means.len() - 1) / 2]
}
