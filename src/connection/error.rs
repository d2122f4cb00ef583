//! Errors of calls to other processes, and of starting servers and threads.

use crate::connection::wire::LeaseRefusal;

/// Why a call returned no usable answer, or why a server or thread did not start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made, so the call had no effect.
    #[error("cannot connect to {address}: {reason}")]
    NotSent { address: String, reason: String },
    /// The connection broke or the call timed out after the request may have been sent.
    #[error("no complete answer from {address}: {reason}")]
    Broken { address: String, reason: String },
    /// The server answered with an error status.
    #[error("{address} answered with status {status}")]
    Status {
        address: String,
        status: u16,
        body: Vec<u8>,
    },
    /// The answer violates the protocol.
    #[error("cannot decode the answer from {address}: {reason}")]
    Decode { address: String, reason: String },
    /// The server refused the call: its lease token is stale, or another host holds the lease.
    #[error("lease refused: {0:?}")]
    Refused(LeaseRefusal),
    #[error("cannot bind {address}: {reason}")]
    Bind { address: String, reason: String },
    #[error("cannot start a thread: {0}")]
    Thread(String),
}

impl Error {
    /// Whether the call is known to have had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            Error::NotSent { .. } | Error::Refused(_) | Error::Bind { .. } | Error::Thread(_) => {
                true
            }
            Error::Status { status, .. } => (400..=507).contains(status) && *status != 500,
            Error::Broken { .. } | Error::Decode { .. } => false,
        }
    }
}

pub type Result<T> = std::result::Result<T, Error>;
