//! Versioned state that the log orders: contracts and tasks.

mod contract;
mod record;

pub use contract::{Class, Contract, MAX_BODY, Urgency};
pub use record::{Batch, Outcome, Phase, Record, Restated, TaskResult, TaskSpec};
