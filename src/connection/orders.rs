//! Orders to workers and their answers, independent of the encoding on the wire.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name};
use crate::request::job::{Ending, TaskKey};

/// A call to one worker.
#[derive(Debug, Clone)]
pub struct WorkerCall {
    pub worker: Name,
    pub address: SocketAddr,
    /// Epoch of the shard owner that sends the order.
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
    /// Extends the lease of all runs on the worker and asks for a report.
    Renew {
        /// End of the lease by the worker's clock in milliseconds; `None` leaves it unchanged.
        lease_end: Option<u64>,
        /// Number of the newest end of a run that is recorded in the journal. The worker forgets
        /// this end and all before it.
        acknowledged: u64,
        /// Longest time that the worker waits for a run to end before it answers.
        wait: Millis,
    },
    /// Limits a best-effort task to a percentage of its full speed.
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
    /// End of the lease by the worker's clock in milliseconds.
    pub lease_end: u64,
    pub checkpoint: Option<Arc<str>>,
    /// Permit of the policy service, if the task needs one.
    pub permit: Option<Arc<str>>,
}

/// How a worker answered an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WorkerAnswer {
    Accepted {
        clock: u64,
    },
    Report(WorkerReport),
    Refused {
        clock: Option<u64>,
        reason: Refusal,
    },
    /// The worker is not healthy and did nothing.
    Unhealthy,
    /// Another worker has this address now.
    WrongWorker,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker knows an owner with a higher epoch.
    Fenced,
    /// The worker has ended or stopped this run or a later one of the same task.
    OldRun,
    /// The lease would already have expired.
    LeaseExpired,
    NoCapacity,
    /// The permit is missing or not valid.
    NoPermit,
    /// The worker does not understand the order.
    Malformed,
}

/// Most ends in one report, by the platform's protocol. A worker lists the others once these are
/// acknowledged.
const MAX_LISTED_ENDS: usize = 500;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Start of the current incarnation of the worker in Unix milliseconds.
    pub start_time: u64,
    pub running: Vec<RunReport>,
    pub ended: Vec<EndReport>,
}

impl WorkerReport {
    /// Whether a run that is in neither list is certainly not on the worker; otherwise, it may have ended
    /// after those that are listed.
    pub fn lists_all_ends(&self) -> bool {
        self.ended.len() < MAX_LISTED_ENDS
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    pub task: TaskKey,
    pub run: u64,
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent; a long-running task reports 100 while it is working.
    pub percent: u8,
    /// Tail latency in milliseconds for a serving task, millicores in use for any other task.
    pub measurement: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// Ordinal within the current incarnation of the worker.
    pub number: u64,
    pub task: TaskKey,
    pub run: u64,
    pub ending: Ending,
    pub checkpoint: Option<Arc<str>>,
}

/// Why a call returned no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CallError {
    /// The call was not sent, so nothing was done.
    #[error("not connected")]
    NotSent,
    /// The call may have taken effect, or may still take effect.
    #[error("no answer")]
    NoAnswer,
    /// The other side refused the call or the connection, so nothing was done.
    #[error("refused without effect")]
    Refused,
    #[error("unreadable answer")]
    Malformed,
}
