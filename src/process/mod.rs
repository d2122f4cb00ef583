//! State that lives as long as the process.

pub mod logging;
mod run;
pub mod settings;
pub mod telemetry;

pub use run::{Error, Result, run};
pub use settings::Settings;
