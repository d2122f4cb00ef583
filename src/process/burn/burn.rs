//! The core that counts outcomes.

use std::collections::BTreeMap;

use crate::base::{Millis, Name};
use crate::connection::wire::{BurnReport, BurnWindow, ClassBurn, Outcomes};
use crate::version::Contract;

use super::ring::{MINUTE, MINUTES, Ring};

/// Classes measured at most: the target of 190 customers x 4 classes, with some room.
///
/// A class takes 2,880 bytes for its counts once it has an outcome, so all take 3 MB.
pub const MAX_CLASSES: usize = 1_024;

/// Windows in minutes: 5 min, 1 h and 6 h.
const WINDOWS: [u64; 3] = [5, 60, MINUTES];

/// Steps of a history and the minutes of each.
const STEPS: u64 = 24;
const STEP_MINUTES: u64 = MINUTES / STEPS;

/// Counts good and bad outcomes of every class of every contract.
///
/// Memory is bounded by `MAX_CLASSES`; a restart loses all counts.
#[derive(Debug)]
pub struct ErrorBudgets {
    host: Name,
    customers: BTreeMap<Name, Vec<Series>>,
    dropped: u64,
}

#[derive(Debug)]
struct Series {
    class: Name,
    objective: f64,
    /// `None` until the first outcome.
    ring: Option<Ring>,
}

impl ErrorBudgets {
    pub fn new(host: Name) -> Self {
        ErrorBudgets {
            host,
            customers: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Takes over the classes and objectives of a contract and forgets the classes that it no
    /// longer has.
    ///
    /// Classes beyond `MAX_CLASSES` are not measured.
    pub fn set_contract(&mut self, contract: &Contract) {
        let mut old = self
            .customers
            .remove(&contract.customer)
            .unwrap_or_default();
        let room = MAX_CLASSES.saturating_sub(self.customers.values().map(Vec::len).sum());
        let series = contract.classes.iter().take(room).map(|class| Series {
            class: class.name.clone(),
            objective: class.objective,
            ring: old
                .iter_mut()
                .find(|series| series.class == class.name)
                .and_then(|series| series.ring.take()),
        });
        let series = series.collect();
        self.customers.insert(contract.customer.clone(), series);
    }

    /// Counts one outcome of a request or task.
    ///
    /// An outcome of a class that is not measured is only counted as dropped.
    pub fn observe(&mut self, now: Millis, customer: &str, class: &str, good: bool) {
        let series = self
            .customers
            .get_mut(customer)
            .and_then(|classes| classes.iter_mut().find(|series| *series.class == *class));
        match series {
            Some(series) => series
                .ring
                .get_or_insert_with(|| Ring::new(now))
                .record(now, good),
            None => self.dropped += 1,
        }
    }

    pub fn report(&self, now: Millis) -> BurnReport {
        let classes = self.customers.iter().flat_map(|(customer, classes)| {
            classes
                .iter()
                .map(|series| class_burn(now, customer, series))
        });
        BurnReport {
            hosts: vec![self.host.clone()],
            step: STEP_MINUTES * MINUTE,
            classes: classes.collect(),
            dropped: self.dropped,
        }
    }
}

fn class_burn(now: Millis, customer: &Name, series: &Series) -> ClassBurn {
    let count = |ago, minutes| match &series.ring {
        Some(ring) => ring.window(now, ago, minutes),
        None => Outcomes::default(),
    };
    let history = (0..STEPS)
        .rev()
        .map(|step| count(step * STEP_MINUTES, STEP_MINUTES))
        .collect();
    let mut burn = ClassBurn {
        customer: customer.clone(),
        class: series.class.clone(),
        objective: series.objective,
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
    rate(&mut burn);
    burn
}

/// Fills in what follows from the counts: the rate of each window and the budget left.
pub(super) fn rate(burn: &mut ClassBurn) {
    let objective = burn.objective;
    for window in &mut burn.windows {
        window.rate = burn_rate(objective, window.outcomes);
    }
    let longest = burn.windows.iter().max_by_key(|window| window.span);
    let spent = longest.and_then(|window| window.rate).unwrap_or(0.0);
    burn.budget_left = round(1.0 - spent);
}

/// Share of bad outcomes over the share that the objective allows.
pub(super) fn burn_rate(objective: f64, outcomes: Outcomes) -> Option<f64> {
    if outcomes.total == 0 {
        return None;
    }
    let allowed = (1.0 - objective).max(f64::EPSILON);
    Some(round(outcomes.bad as f64 / outcomes.total as f64 / allowed))
}

/// Rounds to six decimals, so that a budget spent exactly reads 0 and survives JSON unchanged.
fn round(figure: f64) -> f64 {
    (figure * 1e6).round() / 1e6
}
