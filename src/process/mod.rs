//! The scheduler processes and the command-line client, with their settings, logging and metrics.

pub mod burn;
pub mod cli;
pub mod host;
pub mod logging;
mod membership;
pub mod node;
mod runtime;
pub mod settings;
pub mod shard;
mod suspicions;
mod table;
pub mod telemetry;

pub use burn::ErrorBudgets;
pub use membership::{EntryHost, LogReport, Membership, RUN_TTL};
pub use runtime::{Error, Result, run};
pub use settings::{EntrySettings, Settings};
pub use suspicions::{OpenSuspicion, SUSPICION_TIME, Suspicions};
