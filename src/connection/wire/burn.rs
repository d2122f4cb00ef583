//! `GET /v1/burn`: service-level burn as one entry host measured it.

use serde::{Deserialize, Serialize};

use crate::base::Name;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Entry hosts whose figures are summed here.
    pub hosts: Vec<Name>,
    /// Length of one step of every `history`, in ms.
    pub step: u64,
    pub classes: Vec<ClassBurn>,
    /// Outcomes that were not counted because the host measures too many classes.
    pub dropped: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassBurn {
    pub customer: Name,
    pub class: Name,
    /// Share of outcomes that must be good.
    pub objective: f64,
    /// Share of the error budget of the last 6 h that is left; negative if overspent.
    pub budget_left: f64,
    /// Windows of 5 min, 1 h and 6 h.
    pub windows: Vec<BurnWindow>,
    /// Counts per step over the longest window, oldest first.
    pub history: Vec<Outcomes>,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// In ms.
    pub span: u64,
    #[serde(flatten)]
    pub outcomes: Outcomes,
    /// Share of bad outcomes over the share that the objective allows; `None` without outcomes.
    pub rate: Option<f64>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    pub total: u64,
    pub bad: u64,
}
