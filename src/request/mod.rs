//! State that lives as long as one request or task.

mod estimate;
mod pairs;
mod placement;

pub use estimate::{SizeEstimator, SizeKey};
pub use pairs::{ClassKey, PairPenalties};
pub use placement::{Demand, Misfit, NoFit, Placer, WorkerView};
