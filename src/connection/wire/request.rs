//! Messages between callers or operators and `jayforkd`.

use serde::{Deserialize, Serialize};

use crate::base::{Attempt, Name, Ran, Size};

/// Body of every error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable machine-readable kind, for example `unknown_customer`.
    pub error: Name,
    /// Name of the invalid field, if the input is invalid.
    pub field: Option<String>,
    pub reason: String,
    /// Whether the work may have run; `None` if the call asks for no work.
    pub ran: Option<Ran>,
}

/// `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    pub customer: Name,
    pub class: Name,
    /// Job id, chosen by the caller. A repeated submission with the same id creates no second job.
    pub job: Name,
    #[serde(default = "one")]
    pub tasks: u32,
    /// Declared size of each task.
    pub size: Size,
    /// Declared run time of each task, in ms; 0 for a watcher, a task that has no end.
    #[serde(default)]
    pub run: u64,
}

fn one() -> u32 {
    1
}

/// `GET /v1/jobs/{customer}/{job}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    pub customer: Name,
    pub job: Name,
    pub class: Name,
    pub tasks: Vec<TaskSummary>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSummary {
    pub index: u32,
    pub attempt: Attempt,
    /// `pending`, `claimed`, `succeeded`, `failed`, `cancelled` or `unknown`.
    pub state: Name,
    pub worker: Option<Name>,
    /// Why the task is waiting or has ended, if there is more to say than its state.
    pub reason: Option<Name>,
}
