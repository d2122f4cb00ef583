//! `GET /v1/burn`: use of the error budgets, as counted by one entry host.

use serde::{Deserialize, Serialize};

use crate::base::Name;

/// Outcome counts of one entry host, or the sum over several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Entry hosts whose counts are included.
    pub hosts: Vec<Name>,
    /// Length of one step of every `history`, in ms.
    pub step: u64,
    pub classes: Vec<ClassBurn>,
    /// Outcomes left out of the counts: no contract has the class, or the host already counts for
    /// the maximum number of classes.
    pub dropped: u64,
}

/// Outcomes of one class against its objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassBurn {
    pub customer: Name,
    pub class: Name,
    /// Required share of good outcomes, from 0 to 1.
    pub objective: f64,
    /// Unused share of the error budget of the last 6 h; negative if overspent.
    pub budget_left: f64,
    /// Windows of 5 min, 1 h and 6 h.
    pub windows: Vec<BurnWindow>,
    /// Counts per step of the last 6 h, oldest first.
    pub history: Vec<Outcomes>,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// Length of the window, in ms.
    pub span: u64,
    #[serde(flatten)]
    pub outcomes: Outcomes,
    /// Burn rate: share of bad outcomes divided by the share that the objective allows; `None` if
    /// the window has no outcomes.
    pub rate: Option<f64>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    pub total: u64,
    pub bad: u64,
}
