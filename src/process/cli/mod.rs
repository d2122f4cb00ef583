//! Command-line client for operators.

mod client;
mod command;
mod configuration;
mod contract;
mod error;
mod evacuations;
mod job;
mod output;
mod report;
mod request;
mod run;
mod status;

pub use command::command;
pub use run::run;
