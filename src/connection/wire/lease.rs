//! Lease messages, the same for workers and service instances.

use serde::{Deserialize, Serialize};

use crate::base::{Attempt, Name, Token};

/// `POST /lease`: grants a new token, or renews `token`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub holder: Name,
    /// Time to live of the control lease, in ms.
    pub ttl: u64,
    /// Time to live of the run leases that `renew_tasks` extends, in ms.
    pub run_ttl: u64,
    pub token: Option<Token>,
    /// Ended attempts whose end is on the log; the worker may forget them.
    #[serde(default)]
    pub ack: Vec<Ack>,
    #[serde(default)]
    pub renew_tasks: bool,
}

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
    /// Changes whenever the host restarts with empty memory.
    pub incarnation: u64,
    pub leaving: bool,
    pub report: R,
}

/// 409 answer of every call that carries a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum LeaseRefusal {
    Held {
        holder: Name,
        /// Time until the current lease lapses, in ms.
        remaining: u64,
    },
    StaleToken,
}

/// `POST /release`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    pub token: Token,
}
