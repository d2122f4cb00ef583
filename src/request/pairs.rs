//! Learned interference of task classes with services.

use std::collections::HashMap;

use crate::base::{Millis, Name};

/// Time in which a weight halves without reports, in milliseconds. Weights decay because a change
/// of the load changes which pairs interfere.
const HALF_LIFE: f32 = 3_600_000.0;
/// Log odds of a slow report before any report has been seen; about 5%.
const PRIOR_LOG_ODDS: f32 = -3.0;
/// Step of the stochastic gradient descent.
const LEARNING_RATE: f32 = 0.5;
/// Weight of a report that is not slow. Between two bursts a class does not interfere, and its
/// penalty must last until the next burst, which is placed before the first report of it arrives.
const NOT_SLOW_WEIGHT: f32 = 0.1;
/// Upper bound of a weight's magnitude, so that the penalty of a class that was always slow can
/// still decrease.
const MAX_WEIGHT: f32 = 200.0;
/// Most classes that are tracked for one service; bounds the memory.
const MAX_CLASSES: usize = 1024;

/// A class of a customer's contract. Two customers may use the same class name.
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

/// Penalties of (service, class) pairs, learned from reports of slow services.
///
/// Each service has a logistic regression: the log odds of a slow report are linear in the share of
/// the worker that each class uses. This distinguishes the class that makes the service slow from
/// classes that are present in slow and other reports alike. Weights decay with time.
#[derive(Debug, Default)]
pub struct PairPenalties {
    services: HashMap<Name, ServicePairs>,
}

#[derive(Debug, Default)]
struct ServicePairs {
    /// Difference of the constant term from `PRIOR_LOG_ODDS`.
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
        let value = self.at(now) + LEARNING_RATE * gradient;
        self.value = value.clamp(-MAX_WEIGHT, MAX_WEIGHT);
        self.updated = now;
    }
}

/// Log odds that a service is slow beside the classes on a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LogOdds {
    /// Log odds of slow service, `interference` included.
    pub(crate) total: f32,
    /// Part of `total` that classes with a penalty add.
    pub(crate) interference: f32,
}

impl PairPenalties {
    /// Learns from one report of `service` on a worker of which each class uses a share in 0..=1.
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
        let expected = probability(pairs.log_odds(now, shares.clone()).total);
        let error = if slow {
            1.0 - expected
        } else {
            -expected * NOT_SLOW_WEIGHT
        };
        pairs.bias.step(now, error * 0.1);
        for (class, share) in shares {
            pairs.step(now, class, error * share);
        }
    }

    /// Penalty of a pair: the log odds of slow service that a worker full of the class adds; zero
    /// for a class that does not interfere.
    pub fn penalty(&self, now: Millis, service: &str, class: &ClassKey) -> f32 {
        let pairs = self.services.get(service);
        pairs.map_or(0.0, |pairs| pairs.weight(now, class).max(0.0))
    }

    /// The services with which `class` interferes, and its penalty for each.
    pub fn penalties_of_class(&self, now: Millis, class: &ClassKey) -> Vec<(&Name, f32)> {
        let penalties = self.services.iter();
        penalties
            .map(|(service, pairs)| (service, pairs.weight(now, class)))
            .filter(|(_, penalty)| *penalty > 0.0)
            .collect()
    }

    pub(crate) fn log_odds<'a>(
        &self,
        now: Millis,
        service: &str,
        shares: impl Iterator<Item = (&'a ClassKey, f32)>,
    ) -> LogOdds {
        let unknown = LogOdds {
            total: PRIOR_LOG_ODDS,
            interference: 0.0,
        };
        let pairs = self.services.get(service);
        pairs.map_or(unknown, |pairs| pairs.log_odds(now, shares))
    }
}

impl ServicePairs {
    fn weight(&self, now: Millis, class: &ClassKey) -> f32 {
        self.classes.get(class).map_or(0.0, |w| w.at(now))
    }

    fn log_odds<'a>(
        &self,
        now: Millis,
        shares: impl Iterator<Item = (&'a ClassKey, f32)>,
    ) -> LogOdds {
        let mut log_odds = LogOdds {
            total: PRIOR_LOG_ODDS + self.bias.at(now),
            interference: 0.0,
        };
        for (class, share) in shares {
            let part = self.weight(now, class) * share;
            log_odds.total += part;
            log_odds.interference += part.max(0.0);
        }
        log_odds
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

/// Converts log odds to a probability.
pub(crate) fn probability(log_odds: f32) -> f32 {
    1.0 / (1.0 + (-log_odds).exp())
}
