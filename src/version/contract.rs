//! A customer's contract and its validation.

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name, Size};

/// What a customer was promised; every limit follows from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    pub customer: Name,
    /// Data centres where the customer's work may run.
    pub data_centres: Vec<Name>,
    /// Sum over all data centres of what the customer's batch tasks may reserve.
    pub quota: Size,
    pub classes: Vec<Class>,
}

/// One kind of work in a contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: Name,
    pub urgency: Urgency,
    /// Service that answers urgent requests; `None` for batch classes.
    #[serde(default)]
    pub service: Option<Name>,
    /// Time in ms by which urgent work must be answered.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// Whether the work is non-idempotent and must not be repeated.
    #[serde(default)]
    pub at_most_once: bool,
    /// Share of requests or tasks that must meet the contract, below 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
    /// Attempts that a failing restartable task gets.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A caller waits for the answer.
    Urgent,
    /// May wait, must finish.
    Deferrable,
    /// Runs in what is left over.
    Background,
    /// Runs without an end; its stopping must be noticed.
    Watcher,
}

fn default_objective() -> f64 {
    0.99
}

fn default_max_body() -> u64 {
    MAX_BODY
}

fn default_max_attempts() -> u32 {
    5
}

/// Largest body of a request or an answer, in bytes.
pub const MAX_BODY: u64 = 16 * 1024 * 1024;
