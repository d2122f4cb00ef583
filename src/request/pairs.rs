//! Learned interference between services and task classes.

use std::collections::HashMap;

use crate::base::{Millis, Name};

/// Time in which a weight halves without reports. Load shifts change which pairs interfere.
const HALF_LIFE: f32 = 3_600_000.0;
/// Log odds of a slow report before any report; about 5%.
const PRIOR: f32 = -3.0;
/// Step of the stochastic gradient descent.
const RATE: f32 = 0.5;
/// Weight of a report that is not slow. Between two bursts a class shows no harm, and its penalty has
/// to last until the next burst, which is placed before the first report of it arrives.
const UNLEARN: f32 = 0.1;
/// Bounds a weight, so that a class that is always slow can be unlearned.
const MAX_WEIGHT: f32 = 200.0;
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
/// A logistic regression per service: the log odds of a slow report are linear in the share of the
/// worker that each class uses. A class that is present in slow and in other reports alike is thus
/// told from the one that makes the service slow. Weights decay.
#[derive(Debug, Default)]
pub struct PairPenalties {
    services: HashMap<Name, ServicePairs>,
}

#[derive(Debug, Default)]
struct ServicePairs {
    /// Difference from the prior.
    bias: Weight,
    classes: HashMap<ClassKey, Weight>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Weight {
    value: f32,
    updated: Millis,
}

impl Weight {
    fn at(&self, now: Millis) -> f32 {
        if now <= self.updated {
            return self.value;
        }
        self.value * (-(now.since(self.updated).0 as f32) / HALF_LIFE).exp2()
    }

    fn step(&mut self, now: Millis, gradient: f32) {
        let value = self.at(now) + RATE * gradient;
        self.value = value.clamp(-MAX_WEIGHT, MAX_WEIGHT);
        self.updated = now;
    }
}

/// State of a service next to the classes on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Odds {
    /// Log odds of slow service.
    pub(crate) total: f32,
    /// Part of `total` added by classes with a penalty.
    pub(crate) noise: f32,
}

impl PairPenalties {
    /// Counts one report of `service` on a worker where each class has a share in 0..=1.
    pub fn observe<'a>(
        &mut self,
        now: Millis,
        service: &Name,
        slow: bool,
        shares: impl Iterator<Item = (&'a ClassKey, f32)> + Clone,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let Some(pairs) = self.services.get_mut(service) else {
            return;
        };
        let expected = probability(pairs.odds(now, shares.clone()).total);
        let error = if slow {
            1.0 - expected
        } else {
            -expected * UNLEARN
        };
        pairs.bias.step(now, error * 0.1);
        for (class, share) in shares {
            pairs.step(now, class, error * share);
        }
    }

    /// Penalty of a pair: what a worker full of the class adds to the log odds of slow service;
    /// zero for a class that does no harm.
    pub fn penalty(&self, now: Millis, service: &str, class: &ClassKey) -> f32 {
        let pairs = self.services.get(service);
        pairs.map_or(0.0, |pairs| pairs.weight(now, class).max(0.0))
    }

    /// The services with which `class` interferes.
    pub fn of_class(&self, now: Millis, class: &ClassKey) -> Vec<(&Name, f32)> {
        let penalties = self.services.iter();
        penalties
            .map(|(service, pairs)| (service, pairs.weight(now, class)))
            .filter(|(_, penalty)| *penalty > 0.0)
            .collect()
    }

    pub(crate) fn odds<'a>(
        &self,
        now: Millis,
        service: &str,
        shares: impl Iterator<Item = (&'a ClassKey, f32)>,
    ) -> Odds {
        let none = Odds {
            total: PRIOR,
            noise: 0.0,
        };
        let pairs = self.services.get(service);
        pairs.map_or(none, |pairs| pairs.odds(now, shares))
    }
}

impl ServicePairs {
    fn weight(&self, now: Millis, class: &ClassKey) -> f32 {
        self.classes.get(class).map_or(0.0, |w| w.at(now))
    }

    fn odds<'a>(&self, now: Millis, shares: impl Iterator<Item = (&'a ClassKey, f32)>) -> Odds {
        let mut odds = Odds {
            total: PRIOR + self.bias.at(now),
            noise: 0.0,
        };
        for (class, share) in shares {
            let part = self.weight(now, class) * share;
            odds.total += part;
            odds.noise += part.max(0.0);
        }
        odds
    }

    fn step(&mut self, now: Millis, class: &ClassKey, gradient: f32) {
        if let Some(weight) = self.classes.get_mut(class) {
            return weight.step(now, gradient);
        }
        if self.classes.len() >= MAX_CLASSES {
            self.remove_oldest();
        }
        let mut weight = Weight::default();
        weight.step(now, gradient);
        self.classes.insert(class.clone(), weight);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, w)| w.updated);
        if let Some(class) = oldest.map(|(class, _)| class.clone()) {
            self.classes.remove(&class);
        }
    }
}

/// The probability that belongs to log odds.
pub(crate) fn probability(odds: f32) -> f32 {
    1.0 / (1.0 + (-odds).exp())
}
