//! Runs an entry host without `--on-platform`: the main loop around the core (`Node`) and the
//! adapters that do its I/O.

mod adapters;
mod calls;
mod clock;
mod run;
mod scheduler;
mod sink;

pub(super) use clock::{Clock, boot_time, unix_time_ms};
pub use run::{Error, Result, run};
