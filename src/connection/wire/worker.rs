//! Messages of workers and service instances.

use serde::{Deserialize, Serialize};

use crate::base::{Attempt, Name, Size, Token};

/// What a worker tells with each lease answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    pub capacity: Size,
    /// Age of the usage figures, in ms.
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
    /// Lagging measurement; `None` before the first one.
    pub usage: Option<Size>,
    /// Identifier of the checkpoint that the platform keeps, if one was taken.
    pub checkpoint: Option<Name>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Running,
    Throttled,
    /// Checkpoint saved and task ended.
    Checkpointed,
    Succeeded,
    Failed,
    /// Ended by a stop command.
    Stopped,
    /// Ended because its run lease lapsed.
    Lapsed,
}

impl TaskState {
    /// Whether the attempt has ended and holds no resources.
    pub fn has_ended(self) -> bool {
        !matches!(self, TaskState::Running | TaskState::Throttled)
    }
}

/// What a service instance tells with each lease answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    pub slots: u32,
    pub connections: u32,
    /// Ids of the requests that are running.
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
    /// Declared run time, in ms; 0 for a task without an end.
    pub run: u64,
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
    /// This attempt is running already: an earlier answer was lost.
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
