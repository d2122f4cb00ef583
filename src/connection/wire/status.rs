//! `GET /v1/status`: the system's state as one entry host knows it.

use serde::{Deserialize, Serialize};

use crate::base::{Name, Offset, Size};

use super::hosts::HostState;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: Name,
    pub data_centre: Name,
    pub region: Name,
    pub incarnation: u64,
    pub version: Name,
    /// All entry hosts in the settings, including the answering one.
    pub entries: Vec<EntryStatus>,
    /// Workers of the answering host's data centre.
    pub workers: Vec<WorkerStatus>,
    /// Service instances of the answering host's data centre.
    pub instances: Vec<InstanceStatus>,
    /// Tasks of the answering host's data centre.
    pub tasks: TaskCounts,
    pub contracts: ContractsStatus,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    pub name: Name,
    pub data_centre: Name,
    pub state: EntryState,
    /// Time since the host last read its task stream, in ms; `None` if it never did.
    pub log_lag: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    Live,
    Dead,
    Draining,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    pub name: Name,
    pub rack: Option<Name>,
    pub state: HostState,
    /// Entry host that holds the control lease, as far as the answering host knows.
    pub holder: Option<Name>,
    /// `None` until a lease holder has received the worker's report.
    pub capacity: Option<Size>,
    /// Total size reserved for the worker's tasks; only the lease holder knows it.
    pub committed: Option<Size>,
    /// Tasks claimed on the worker.
    pub tasks: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    pub name: Name,
    pub service: Option<Name>,
    pub state: HostState,
    pub holder: Option<Name>,
    /// `None` until a lease holder has received the instance's report.
    pub slots: Option<u32>,
    /// Slots in use; only the lease holder knows it.
    pub used: Option<u32>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    pub pending: u64,
    pub claimed: u64,
    pub succeeded: u64,
    pub failed: u64,
    pub cancelled: u64,
    /// At-most-once tasks of which it is unknown whether they ran to their end.
    pub unknown: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractsStatus {
    /// Offset of the newest contract record that was applied, plus one.
    pub offset: Offset,
    /// Time since the log or a peer last confirmed that the contracts are up to date, in ms.
    pub age: Option<u64>,
    /// Customers with a contract.
    pub customers: u32,
}
