//! Messages to and from workers and service instances.

use serde::{Deserialize, Serialize};

use crate::base::{Attempt, Name, Size, Token};

/// State that a worker reports in each answer to a lease call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    pub capacity: Size,
    /// Age of the measured usage of the tasks, in ms.
    pub measured: u64,
    pub tasks: Vec<TaskEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEntry {
    /// `customer/job/index`.
    pub task: String,
    pub attempt: Attempt,
    pub state: TaskState,
    /// Size that the worker reserves for the task.
    pub size: Size,
    /// Measured size, which lags behind the actual one; `None` before the first measurement.
    pub usage: Option<Size>,
    /// Id of the checkpoint that the platform stores, if one was taken.
    pub checkpoint: Option<Name>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Running,
    Throttled,
    /// Ended after its checkpoint was saved.
    Checkpointed,
    Succeeded,
    Failed,
    /// Ended by a stop command.
    Stopped,
    /// Ended because its run lease expired.
    Lapsed,
}

impl TaskState {
    /// Whether the attempt has ended and holds no resources.
    pub fn has_ended(self) -> bool {
        !matches!(self, TaskState::Running | TaskState::Throttled)
    }
}

/// State that a service instance reports in each answer to a lease call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    pub slots: u32,
    pub connections: u32,
    /// Ids of the running requests.
    pub running: Vec<Name>,
}

/// `POST /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    pub token: Token,
    pub task: String,
    pub attempt: Attempt,
    pub class: Name,
    pub size: Size,
    /// Declared run time, in ms; 0 for a watcher, a task that has no end.
    pub run: u64,
    /// Checkpoint from which the task resumes.
    pub checkpoint: Option<Name>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    pub state: StartState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartState {
    Started,
    /// The attempt was already running, as after a start whose answer was lost.
    Already,
}

/// Body of `POST /tasks/checkpoint`, `/tasks/throttle` and `/tasks/stop`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommand {
    pub token: Token,
    pub task: String,
    pub attempt: Attempt,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReply {
    pub state: TaskState,
    pub checkpoint: Option<Name>,
}
