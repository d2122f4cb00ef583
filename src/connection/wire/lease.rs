//! Messages about control leases; workers and service instances use the same ones.

use serde::{Deserialize, Serialize};

use crate::base::{Attempt, Name, Token};

/// `POST /lease`: asks for a new lease, or renews the lease of `token`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub holder: Name,
    /// Time to live of the control lease, in ms.
    pub ttl: u64,
    /// Time to live of the run leases that `renew_tasks` extends, in ms.
    pub run_ttl: u64,
    pub token: Option<Token>,
    /// Attempts whose end is recorded on the log, so that the worker need not report them again.
    #[serde(default)]
    pub ack: Vec<Ack>,
    /// Whether the run leases of the worker's tasks are renewed, too.
    #[serde(default)]
    pub renew_tasks: bool,
}

/// An acknowledged attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// `customer/job/index`.
    pub task: String,
    pub attempt: Attempt,
}

/// 200 answer to `POST /lease`; `R` is the report of a worker or an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply<R> {
    pub token: Token,
    /// Changes whenever the worker or instance restarts without its earlier state.
    pub incarnation: u64,
    pub leaving: bool,
    pub report: R,
}

/// 409 answer to a call that needs the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum LeaseRefusal {
    /// Another entry host holds the lease.
    Held {
        holder: Name,
        /// Time until the current lease expires, in ms.
        remaining: u64,
    },
    /// The token of the call is no longer valid.
    StaleToken,
}

/// `POST /release`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    pub token: Token,
}
