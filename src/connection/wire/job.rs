//! `GET /v1/jobs?customer=`.

use serde::{Deserialize, Serialize};

use crate::base::Name;

use super::status::TaskCounts;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Data centre of the answering host; it knows only the jobs whose home this is.
    pub data_centre: Name,
    pub jobs: Vec<JobSummary>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    pub customer: Name,
    pub job: Name,
    pub class: Name,
    pub tasks: TaskCounts,
}
