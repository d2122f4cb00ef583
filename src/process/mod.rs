//! State that lives as long as the process.

pub mod burn;
pub mod cli;
pub mod logging;
mod run;
pub mod settings;
mod table;
pub mod telemetry;

pub use burn::Burn;
pub use run::{Error, Result, run};
pub use settings::Settings;
