//! `GET /hosts`: the platform's list of hosts.

use serde::{Deserialize, Serialize};

use crate::base::Name;

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    pub hosts: Vec<HostEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    pub name: Name,
    /// IP address and port.
    pub address: Name,
    pub data_centre: Name,
    #[serde(default)]
    pub rack: Option<Name>,
    pub kind: HostKind,
    /// Service that an instance runs; `None` for other kinds.
    #[serde(default)]
    pub service: Option<Name>,
    /// Worker on which an instance runs, if the platform reports it.
    #[serde(default)]
    pub worker: Option<Name>,
    pub state: HostState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    Worker,
    Instance,
    Entry,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    Live,
    Leaving,
}
