//! Learned interference between services and task classes.

use std::collections::HashMap;

use crate::base::{Millis, Name};

/// Time in which an observation loses half its weight. Load shifts change which pairs interfere.
const HALF_LIFE: f32 = 600_000.0;
/// Observations, in workers fully used by a class, that stand for "no interference" in each rate,
/// so that a few coincidences do not steer placement.
const PRIOR: f32 = 5.0;
/// Bounds the memory of the pairs of one service.
const MAX_CLASSES: usize = 1024;

/// A class of a customer's contract; two customers may use the same class name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey {
    pub customer: Name,
    pub class: Name,
}

impl ClassKey {
    pub fn new(customer: impl Into<Name>, class: impl Into<Name>) -> Self {
        ClassKey {
            customer: customer.into(),
            class: class.into(),
        }
    }
}

/// Penalties of (service, class) pairs that coincided with slow service.
///
/// The penalty is the rate of slow reports of the service, weighted by the class's share of the
/// worker, less the rate over all its reports. A class that is everywhere and a class that does no
/// harm therefore get none, also while another class makes the service slow.
#[derive(Debug, Default)]
pub struct PairPenalties {
    services: HashMap<Name, ServicePairs>,
}

#[derive(Debug, Default)]
struct ServicePairs {
    all: Rate,
    classes: HashMap<ClassKey, Rate>,
}

/// Weighted count of slow and of all reports; both decay.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    slow: f32,
    total: f32,
    updated: Millis,
}

impl Rate {
    fn observe(&mut self, now: Millis, weight: f32, slow: bool) {
        let decay = self.decay(now);
        self.slow = self.slow * decay + if slow { weight } else { 0.0 };
        self.total = self.total * decay + weight;
        self.updated = now;
    }

    fn value(&self, now: Millis) -> f32 {
        let decay = self.decay(now);
        self.slow * decay / (self.total * decay + PRIOR)
    }

    fn decay(&self, now: Millis) -> f32 {
        (-(now.since(self.updated).0 as f32) / HALF_LIFE).exp2()
    }
}

impl PairPenalties {
    /// Counts one report of `service` on a worker where each class has a share in 0..=1.
    pub fn observe<'a>(
        &mut self,
        now: Millis,
        service: &Name,
        slow: bool,
        shares: impl IntoIterator<Item = (&'a ClassKey, f32)>,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let Some(pairs) = self.services.get_mut(service) else {
            return;
        };
        let mut whole = 0.0;
        for (class, share) in shares {
            whole += share;
            pairs.observe(now, class, share, slow);
        }
        pairs.all.observe(now, whole, slow);
    }

    /// Penalty of a pair, in 0..1.
    pub fn penalty(&self, now: Millis, service: &str, class: &ClassKey) -> f32 {
        let Some(pairs) = self.services.get(service) else {
            return 0.0;
        };
        pairs.penalty(now, class)
    }

    /// The services with which `class` interferes.
    pub fn of_class(&self, now: Millis, class: &ClassKey) -> Vec<(&Name, f32)> {
        let penalties = self.services.iter();
        penalties
            .map(|(service, pairs)| (service, pairs.penalty(now, class)))
            .filter(|(_, penalty)| *penalty > 0.0)
            .collect()
    }
}

impl ServicePairs {
    fn observe(&mut self, now: Millis, class: &ClassKey, share: f32, slow: bool) {
        if let Some(rate) = self.classes.get_mut(class) {
            return rate.observe(now, share, slow);
        }
        if self.classes.len() >= MAX_CLASSES {
            self.remove_oldest();
        }
        let mut rate = Rate::default();
        rate.observe(now, share, slow);
        self.classes.insert(class.clone(), rate);
    }

    fn penalty(&self, now: Millis, class: &ClassKey) -> f32 {
        let rate = self.classes.get(class).map_or(0.0, |r| r.value(now));
        (rate - self.all.value(now)).max(0.0)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, rate)| rate.updated);
        if let Some(class) = oldest.map(|(class, _)| class.clone()) {
            self.classes.remove(&class);
        }
    }
}
