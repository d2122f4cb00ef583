//! Service times of instances, to find those that neighbouring tasks slow down.

use std::collections::HashMap;

use crate::base::{Millis, Name};

/// Weight of a new sample in the moving average.
const WEIGHT: f64 = 0.1;
/// Samples before an average says anything.
const MIN_SAMPLES: u32 = 10;
/// An average without a sample for this long is forgotten, since load shifts.
const MAX_AGE: Millis = Millis(10_000);
/// An instance is slow above this multiple of its service's median average.
const SLOW_FACTOR: f64 = 2.0;
/// Differences below this are within the noise of the network.
const MIN_EXCESS: f64 = 5.0;

/// Moving averages of the service time of each instance.
#[derive(Debug, Default)]
pub struct InstanceLatencies {
    instances: HashMap<Name, Average>,
}

#[derive(Debug)]
struct Average {
    service: Name,
    /// In ms.
    mean: f64,
    samples: u32,
    last: Millis,
}

impl InstanceLatencies {
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the time that one request spent on an instance.
    pub fn observe(&mut self, now: Millis, service: &Name, instance: &Name, taken: Millis) {
        let taken = taken.0 as f64;
        let average = self
            .instances
            .entry(instance.clone())
            .or_insert_with(|| Average {
                service: service.clone(),
                mean: taken,
                samples: 0,
                last: now,
            });
        if now.since(average.last) > MAX_AGE {
            average.samples = 0;
            average.mean = taken;
        }
        average.mean += WEIGHT * (taken - average.mean);
        average.samples = average.samples.saturating_add(1);
        average.last = now;
    }

    /// Instances that are slow in comparison with the others of their service.
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

    /// Forgets instances that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.instances.retain(|instance, _| is_known(instance));
    }
}

impl Average {
    fn is_current(&self, now: Millis) -> bool {
        self.samples >= MIN_SAMPLES && now.since(self.last) <= MAX_AGE
    }
}

/// The lower median, so that of two instances the slower one can stand out.
fn median(mut means: Vec<f64>) -> f64 {
    means.sort_by(f64::total_cmp);
    means[(means.len() - 1) / 2]
}
