//! `GET /v1/jobs?customer=`: the jobs of a customer.

use serde::{Deserialize, Serialize};

use crate::base::Name;

use super::status::TaskCounts;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Data centre of the answering host, which lists only jobs whose home data centre this is.
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
