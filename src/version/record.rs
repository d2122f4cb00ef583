//! Records of a data centre's task stream.

use serde::{Deserialize, Serialize};

use super::quota_check::QuotaCheck;
use crate::base::{Attempt, Name, Offset, Size, TaskId, Token};

/// One append: the records that a host collected since its last one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    pub host: Name,
    /// Incarnation of the process that wrote the batch.
    pub incarnation: u64,
    /// Counts the batches of that process, so that it recognises its own after a lost answer.
    pub sequence: u64,
    pub records: Vec<Record>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Accepted(Box<TaskSpec>),
    /// Binds `attempt` to `worker`; whoever holds the worker's lease executes it.
    ///
    /// The attempt may start only in the named incarnation of the worker.
    Claimed {
        task: TaskId,
        attempt: Attempt,
        worker: Name,
        incarnation: u64,
        /// The writer's lease on the worker.
        token: Token,
        /// The claim is void if it exceeds the customer's quota.
        quota: QuotaCheck,
    },
    /// The attempt is known not to have run.
    ///
    /// Void unless `token` is the lease under which the attempt was claimed or last adopted: a
    /// later holder may have started it.
    Released {
        task: TaskId,
        attempt: Attempt,
        token: Token,
    },
    Checkpointed {
        task: TaskId,
        attempt: Attempt,
        checkpoint: Name,
    },
    Ended {
        task: TaskId,
        attempt: Attempt,
        outcome: Outcome,
    },
    CancelRequested {
        task: TaskId,
    },
    /// The writer cannot reach the worker and will declare it lost.
    Suspected {
        worker: Name,
        host: Name,
    },
    /// Answers `Suspected`: the writer holds the worker's lease.
    Held {
        worker: Name,
        host: Name,
    },
    /// Every run lease on the worker has lapsed; names the offset of the suspicion that proved it.
    WorkerLost {
        worker: Name,
        suspected: Offset,
    },
    /// State of a task whose earlier records are about to expire.
    Restated(Box<Restated>),
    /// The writer's process runs. It tells the next process under the same name that one ran
    /// before it.
    Started,
    /// The writer holds `worker` under a newer lease than the claim's; it executes the claim after
    /// it has read this record.
    Adopted {
        task: TaskId,
        attempt: Attempt,
        worker: Name,
        token: Token,
    },
}

/// What a caller asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    pub task: TaskId,
    pub class: Name,
    /// Declared size.
    pub size: Size,
    /// Declared run time in ms; 0 for a task without an end.
    pub run: u64,
    /// Lower runs first.
    pub priority: u8,
    /// Attempts that a restartable task gets.
    pub max_attempts: u32,
    pub at_most_once: bool,
    /// Runs without an end.
    pub watcher: bool,
    /// Wall-clock time of acceptance, in ms since the Unix epoch.
    pub accepted: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Succeeded,
    Failed,
    Cancelled,
    /// The attempt ended without a result: its worker restarted or its run lease lapsed.
    Lost,
}

/// A task's state as of the records below `as_of`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restated {
    pub spec: TaskSpec,
    pub phase: Phase,
    /// Failed attempts so far.
    pub failures: u32,
    pub checkpoint: Option<Name>,
    pub cancelled: bool,
    pub as_of: Offset,
    /// The log's time of the last record below `as_of`, in ms since the Unix epoch.
    pub as_of_time: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for a claim of attempt `next`.
    Pending { next: Attempt },
    Claimed {
        attempt: Attempt,
        worker: Name,
        incarnation: u64,
        /// Lease under which the attempt may be started or released.
        token: Token,
    },
    Done {
        attempt: Attempt,
        result: TaskResult,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskResult {
    Succeeded,
    Failed,
    Cancelled,
    /// An at-most-once task may or may not have run to its end.
    Unknown,
}
