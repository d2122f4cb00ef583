//! State that lives as long as one request or task.

mod admission;
mod budget;
mod estimate;
mod pairs;
mod placement;
mod urgent;

pub use admission::{Admission, Place};
pub use budget::RetryBudget;
pub use estimate::{SizeEstimator, SizeKey};
pub use pairs::{ClassKey, PairPenalties};
pub use placement::{Demand, Misfit, NoFit, Placer, WorkerView};
pub use urgent::{
    Dispatch, InstanceResult, OwnedInstance, Ticket, UrgentAction, UrgentAnswer, UrgentForward,
    UrgentLimits, UrgentRequest, UrgentRouter,
};
