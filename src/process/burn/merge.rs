//! Sum of the reports of several entry hosts.

use std::collections::BTreeMap;

use crate::base::Name;
use crate::connection::wire::{BurnReport, ClassBurn, Outcomes};

use super::burn::rate;

/// Adds up the counts of reports from different hosts; a host that appears twice counts once.
///
/// While hosts hold different versions of a contract, the stricter objective is used.
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
                Some(known) => add(known, &burn),
                None => {
                    classes.insert(key, burn);
                }
            }
        }
    }
    sum.classes = classes.into_values().collect();
    sum.classes.iter_mut().for_each(rate);
    sum
}

fn add(sum: &mut ClassBurn, burn: &ClassBurn) {
    sum.objective = sum.objective.max(burn.objective);
    for (sum, window) in sum.windows.iter_mut().zip(&burn.windows) {
        sum.outcomes = total(sum.outcomes, window.outcomes);
    }
    for (sum, outcomes) in sum.history.iter_mut().zip(&burn.history) {
        *sum = total(*sum, *outcomes);
    }
}

fn total(a: Outcomes, b: Outcomes) -> Outcomes {
    Outcomes {
        total: a.total + b.total,
        bad: a.bad + b.bad,
    }
}
