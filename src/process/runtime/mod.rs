//! The adapters around the core and the loop that drives it.

mod adapters;
mod calls;
mod clock;
mod run;
mod scheduler;
mod sink;

pub(super) use clock::{Clock, unix_time_ms};
pub use run::{Error, Result, run};
