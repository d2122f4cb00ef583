//! Orders to workers and what these answer, in the project's own terms.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::base::{Millis, Name};
use crate::request::job::{Ending, TaskKey};

/// A call to one worker.
#[derive(Debug, Clone)]
pub struct WorkerCall {
    pub worker: Name,
    pub address: SocketAddr,
    /// Epoch of the owner that gives the order.
    pub epoch: u64,
    pub order: Order,
    pub timeout: Millis,
}

#[derive(Debug, Clone)]
pub enum Order {
    Start(StartOrder),
    Stop {
        task: TaskKey,
        run: u64,
    },
    /// Extends the lease of all that runs there and asks for a report.
    Renew {
        /// End of the lease on the worker's clock; `None` leaves it as it is.
        lease_end: Option<u64>,
        /// Newest end that is recorded; the worker forgets it and all before it.
        acknowledged: u64,
        /// Longest time that the worker waits for an end before it answers.
        wait: Millis,
    },
    Throttle {
        task: TaskKey,
        run: u64,
        percent: u8,
    },
}

#[derive(Debug, Clone)]
pub struct StartOrder {
    pub task: TaskKey,
    pub run: u64,
    pub payload: Arc<str>,
    /// End of the lease on the worker's clock.
    pub lease_end: u64,
    pub checkpoint: Option<Arc<str>>,
    /// Permit of the policy service, where one is needed.
    pub permit: Option<Arc<str>>,
}

/// Answer of a worker that is alive.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerAnswer {
    Accepted {
        clock: u64,
    },
    Report(WorkerReport),
    Refused {
        clock: Option<u64>,
        reason: Refusal,
    },
    /// Nothing was done; the worker is not healthy.
    Unhealthy,
    /// Another worker has this address now.
    WrongWorker,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a newer owner.
    Fenced,
    /// The run is not newer than one that ended or was stopped there.
    OldRun,
    /// The lease would have lapsed already.
    LeaseExpired,
    NoCapacity,
    NoPermit,
    /// It does not understand the order.
    Malformed,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Start of this life of the worker in Unix milliseconds.
    pub start_time: u64,
    pub running: Vec<RunReport>,
    pub ended: Vec<EndReport>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RunReport {
    pub task: TaskKey,
    pub run: u64,
    pub checkpoint: Option<Arc<str>>,
    /// Progress; 100 for a lasting task at work.
    pub percent: u8,
    /// Tail latency in milliseconds for a serving task, else millicores in use.
    pub measurement: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct EndReport {
    /// Ordinal within this life of the worker.
    pub number: u64,
    pub task: TaskKey,
    pub run: u64,
    pub ending: Ending,
    pub checkpoint: Option<Arc<str>>,
}

/// Why a call got no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was not sent, so nothing was done.
    #[error("not connected")]
    NotSent,
    /// The call may have been carried out, or may be later.
    #[error("no answer")]
    NoAnswer,
    /// The other side answered that nothing was done.
    #[error("refused with nothing done")]
    Refused,
    #[error("unreadable answer")]
    Malformed,
}
