//! Merges the reports of several entry hosts.

use std::collections::BTreeMap;

use crate::base::Name;
use crate::connection::wire::{BurnReport, ClassBurn, Outcomes};

use super::burn::compute_rates;

/// Adds up the counts of the reports. Only the first report of each host is used.
///
/// While hosts have different versions of a contract, the stricter objective applies.
pub fn merge(reports: impl IntoIterator<Item = BurnReport>) -> BurnReport {
    let mut sum = BurnReport::default();
    let mut classes: BTreeMap<(Name, Name), ClassBurn> = BTreeMap::new();
    for report in reports {
        if report.hosts.iter().any(|host| sum.hosts.contains(host)) {
            continue;
        }
        sum.hosts.extend(report.hosts);
        sum.step = report.step;
        sum.dropped += report.dropped;
        for burn in report.classes {
            let key = (burn.customer.clone(), burn.class.clone());
            match classes.get_mut(&key) {
                Some(class) => add(class, &burn),
                None => {
                    classes.insert(key, burn);
                }
            }
        }
    }
    sum.classes = classes.into_values().collect();
    sum.classes.iter_mut().for_each(compute_rates);
    sum
}

fn add(sum: &mut ClassBurn, burn: &ClassBurn) {
    sum.objective = sum.objective.max(burn.objective);
    for (sum, window) in sum.windows.iter_mut().zip(&burn.windows) {
        sum.outcomes = add_outcomes(sum.outcomes, window.outcomes);
    }
    for (sum, outcomes) in sum.history.iter_mut().zip(&burn.history) {
        *sum = add_outcomes(*sum, *outcomes);
    }
}

fn add_outcomes(a: Outcomes, b: Outcomes) -> Outcomes {
    Outcomes {
        total: a.total + b.total,
        bad: a.bad + b.bad,
    }
}
