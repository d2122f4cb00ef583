//! Counts outcomes per class and computes burn rates from the counts.

use std::collections::BTreeMap;

use crate::base::{Millis, Name};
use crate::connection::wire::{BurnReport, BurnWindow, ClassBurn, Outcomes};
use crate::version::Contract;

use super::ring::{MINUTE, OutcomeRing, RING_MINUTES};

/// Maximum number of classes whose outcomes are counted. The system is designed for 190 customers
/// with 4 classes each.
///
/// The counts of a class take 2,880 bytes once it has an outcome, so all classes take 3 MB.
pub const MAX_CLASSES: usize = 1_024;

/// Lengths of the windows in minutes: 5 min, 1 h and 6 h.
const WINDOWS: [u64; 3] = [5, 60, RING_MINUTES];

/// Number of steps of a history.
const HISTORY_STEPS: u64 = 24;
/// Length of a step of a history in minutes.
const STEP_MINUTES: u64 = RING_MINUTES / HISTORY_STEPS;

/// Counts the good and bad outcomes of each class of each contract.
///
/// `MAX_CLASSES` limits the memory. All counts are lost when the process restarts.
#[derive(Debug)]
pub struct ErrorBudgets {
    host: Name,
    /// Classes of each customer.
    customers: BTreeMap<Name, Vec<ClassCounts>>,
    /// Number of outcomes of classes that are not counted.
    dropped: u64,
}

#[derive(Debug)]
struct ClassCounts {
    class: Name,
    objective: f64,
    /// `None` until the first outcome.
    ring: Option<OutcomeRing>,
}

impl ErrorBudgets {
    pub fn new(host: Name) -> Self {
        ErrorBudgets {
            host,
            customers: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Applies a new version of a contract: classes that it still has keep their counts, others are
    /// removed.
    ///
    /// Classes beyond `MAX_CLASSES` are ignored.
    pub fn set_contract(&mut self, contract: &Contract) {
        let mut old = self
            .customers
            .remove(&contract.customer)
            .unwrap_or_default();
        let free = MAX_CLASSES.saturating_sub(self.customers.values().map(Vec::len).sum());
        let counts = contract.classes.iter().take(free).map(|class| ClassCounts {
            class: class.name.clone(),
            objective: class.objective,
            ring: old
                .iter_mut()
                .find(|counts| counts.class == class.name)
                .and_then(|counts| counts.ring.take()),
        });
        let counts = counts.collect();
        self.customers.insert(contract.customer.clone(), counts);
    }

    /// Counts the outcome of a request or task.
    ///
    /// An outcome of an unknown or ignored class only adds to the number of dropped outcomes.
    pub fn observe(&mut self, now: Millis, customer: &str, class: &str, good: bool) {
        let counts = self
            .customers
            .get_mut(customer)
            .and_then(|classes| classes.iter_mut().find(|counts| *counts.class == *class));
        match counts {
            Some(counts) => counts
                .ring
                .get_or_insert_with(|| OutcomeRing::new(now))
                .record(now, good),
            None => self.dropped += 1,
        }
    }

    pub fn report(&self, now: Millis) -> BurnReport {
        let classes = self.customers.iter().flat_map(|(customer, classes)| {
            classes
                .iter()
                .map(|counts| class_burn(now, customer, counts))
        });
        BurnReport {
            hosts: vec![self.host.clone()],
            step: STEP_MINUTES * MINUTE,
            classes: classes.collect(),
            dropped: self.dropped,
        }
    }
}

fn class_burn(now: Millis, customer: &Name, counts: &ClassCounts) -> ClassBurn {
    let count = |ago, minutes| match &counts.ring {
        Some(ring) => ring.window(now, ago, minutes),
        None => Outcomes::default(),
    };
    let history = (0..HISTORY_STEPS)
        .rev()
        .map(|step| count(step * STEP_MINUTES, STEP_MINUTES))
        .collect();
    let mut burn = ClassBurn {
        customer: customer.clone(),
        class: counts.class.clone(),
        objective: counts.objective,
        budget_left: 1.0,
        windows: WINDOWS
            .iter()
            .map(|minutes| BurnWindow {
                span: minutes * MINUTE,
                outcomes: count(0, *minutes),
                rate: None,
            })
            .collect(),
        history,
    };
    compute_rates(&mut burn);
    burn
}

/// Computes the burn rate of each window and the remaining budget from the counts.
pub(super) fn compute_rates(burn: &mut ClassBurn) {
    let objective = burn.objective;
    for window in &mut burn.windows {
        window.rate = burn_rate(objective, window.outcomes);
    }
    let longest = burn.windows.iter().max_by_key(|window| window.span);
    let spent = longest.and_then(|window| window.rate).unwrap_or(0.0);
    burn.budget_left = round(1.0 - spent);
}

/// Share of bad outcomes divided by the share that the objective allows; `None` without outcomes.
pub(super) fn burn_rate(objective: f64, outcomes: Outcomes) -> Option<f64> {
    if outcomes.total == 0 {
        return None;
    }
    let allowed = (1.0 - objective).max(f64::EPSILON);
    Some(round(outcomes.bad as f64 / outcomes.total as f64 / allowed))
}

/// Rounds to six decimals, so that a budget that is used up exactly becomes 0 and the value stays
/// the same in JSON.
fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
