//! State that lives as long as one request or task.

mod estimate;
mod interference;
mod pairs;
mod placement;
mod quarantine;

pub use estimate::{SizeEstimator, SizeKey};
pub use interference::{Interference, Relief, RunningTask, TaskKind};
pub use pairs::{ClassKey, PairPenalties};
pub use placement::{Demand, Misfit, NoFit, Placer, WorkerView};
pub use quarantine::Quarantine;
