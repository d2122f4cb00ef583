//! Answers of `/v1/contracts`.

use serde::{Deserialize, Serialize};

use crate::base::{Name, Offset};
use crate::version::Contract;

/// `GET /v1/contracts/{customer}`: the version in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractAnswer {
    pub customer: Name,
    pub version: u64,
    /// Offset of the record that holds this version.
    pub offset: Offset,
    pub contract: Contract,
}

/// `GET /v1/contracts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractList {
    pub contracts: Vec<ContractSummary>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractSummary {
    pub customer: Name,
    pub version: u64,
    pub offset: Offset,
    pub data_centres: Vec<Name>,
    pub classes: Vec<Name>,
}

/// `GET /v1/contracts/{customer}/history`: the versions that the answering host still has in
/// memory, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractHistory {
    pub customer: Name,
    pub versions: Vec<ContractAnswer>,
}

/// 200 answer to `PUT /v1/contracts/{customer}?base=`: the host read the proposal back from the log
/// and it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    pub customer: Name,
    pub version: u64,
}

/// 409 answer to `PUT /v1/contracts/{customer}?base=`: `base` is not the current version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum PublishRefusal {
    LostRace {
        customer: Name,
        base: u64,
        /// Version that is in force instead of the proposal.
        version: u64,
    },
}
