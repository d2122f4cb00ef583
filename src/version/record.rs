//! Records of a data centre's task stream.

use serde::{Deserialize, Serialize};

use super::quota_check::QuotaCheck;
use crate::base::{Attempt, Name, Offset, Size, TaskId, Token};

/// One append: records that a host has collected since its last append.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    pub host: Name,
    /// Incarnation of the process that wrote the batch.
    pub incarnation: u64,
    /// Number of the batch within the process, by which it recognises the batch when the answer to
    /// the append was lost.
    pub sequence: u64,
    pub records: Vec<Record>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Accepted(Box<TaskSpec>),
    /// Assigns `attempt` to `worker`. The holder of the worker's lease starts it.
    ///
    /// The attempt may start only in the given incarnation of the worker.
    Claimed {
        task: TaskId,
        attempt: Attempt,
        worker: Name,
        incarnation: u64,
        /// The writer's lease on the worker.
        token: Token,
        /// The claim is void if it would exceed the customer's quota.
        quota: QuotaCheck,
    },
    /// The attempt has not run.
    ///
    /// Void unless `token` belongs to the lease under which the attempt was claimed or last
    /// adopted: a later holder may have started it.
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
    /// The writer can't reach the worker and will declare it lost unless its holder answers.
    Suspected {
        worker: Name,
        host: Name,
    },
    /// Answer to `Suspected`: the writer holds the worker's lease.
    Held {
        worker: Name,
        host: Name,
    },
    /// Every run lease on the worker has expired. `suspected` is the offset of the writer's
    /// suspicion, which no holder answered in time.
    WorkerLost {
        worker: Name,
        suspected: Offset,
    },
    /// Snapshot of a task whose earlier records are about to expire.
    Restated(Box<Restated>),
    /// The writer's process has started. A later process of the same host learns from it that
    /// another one ran before.
    Started,
    /// The writer holds `worker` under a newer lease than that of the claim. It starts the attempt
    /// after it has read this record back.
    Adopted {
        task: TaskId,
        attempt: Attempt,
        worker: Name,
        token: Token,
    },
}

/// A task as submitted by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    pub task: TaskId,
    pub class: Name,
    /// Declared size.
    pub size: Size,
    /// Declared run time in ms; 0 for a task that runs without an end.
    pub run: u64,
    /// Tasks with a lower number start first.
    pub priority: u8,
    /// Failed attempts after which a restartable task fails.
    pub max_attempts: u32,
    pub at_most_once: bool,
    /// Whether the task runs without an end.
    pub watcher: bool,
    /// Wall-clock time of acceptance, in ms since the Unix epoch.
    pub accepted: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Succeeded,
    Failed,
    Cancelled,
    /// The attempt ended without a result: its worker restarted or its run lease expired.
    Lost,
}

/// State of a task according to the records below `as_of`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restated {
    pub spec: TaskSpec,
    pub phase: Phase,
    /// Failed attempts so far.
    pub failures: u32,
    pub checkpoint: Option<Name>,
    pub cancelled: bool,
    pub as_of: Offset,
    /// Log time of the last record below `as_of`, in ms since the Unix epoch.
    pub as_of_time: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits until attempt `next` is claimed.
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
    /// Result of an at-most-once task that may or may not have finished.
    Unknown,
}
