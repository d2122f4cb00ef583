//! Fold of the contract stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Contract;
use crate::base::{Name, Offset};
use crate::connection::wire::RelayedContract;

#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct ContractError {
    reason: String,
}

impl ContractError {
    pub fn field(&self) -> Option<&str> {
        None
    }
}

impl Contract {
    pub fn parse(data: &[u8]) -> Result<Contract, ContractError> {
        serde_json::from_slice(data).map_err(|error| ContractError {
            reason: error.to_string(),
        })
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Proposed {
    proposal: String,
    base: u64,
    contract: Contract,
}

impl Proposed {
    pub fn encode(proposal: &str, base: u64, contract: Contract) -> Vec<u8> {
        let record = Proposed {
            proposal: proposal.to_owned(),
            base,
            contract,
        };
        serde_json::to_vec(&record).unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
pub struct Versioned {
    pub contract: Contract,
    pub version: u64,
    pub offset: Offset,
}

#[derive(Debug)]
pub enum Applied {
    Accepted {
        proposal: String,
        customer: Name,
        version: u64,
    },
    Lost {
        proposal: String,
        winner: u64,
    },
    Known,
    Malformed(ContractError),
}

#[derive(Debug, Default)]
pub struct ContractTable {
    current: BTreeMap<Name, Versioned>,
    next: Offset,
}

impl ContractTable {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn apply(&mut self, offset: Offset, data: &[u8]) -> Applied {
        if offset < self.next {
            return Applied::Known;
        }
        self.next = offset.next();
        let proposed: Proposed = match serde_json::from_slice(data) {
            Ok(proposed) => proposed,
            Err(error) => {
                return Applied::Malformed(ContractError {
                    reason: error.to_string(),
                });
            }
        };
        let Proposed {
            proposal,
            base,
            contract,
        } = proposed;
        let customer = contract.customer.clone();
        let winner = self
            .current
            .get(&customer)
            .map_or(0, |current| current.version);
        if winner != base {
            return Applied::Lost { proposal, winner };
        }
        let version = base + 1;
        self.current.insert(
            customer.clone(),
            Versioned {
                contract,
                version,
                offset,
            },
        );
        Applied::Accepted {
            proposal,
            customer,
            version,
        }
    }

    pub fn relay(&mut self, relayed: RelayedContract) -> bool {
        let Ok(contract) = Contract::parse(relayed.contract.as_bytes()) else {
            return false;
        };
        let known = self
            .current
            .get(&contract.customer)
            .map_or(0, |current| current.version);
        if relayed.version <= known {
            return false;
        }
        let RelayedContract {
            offset, version, ..
        } = relayed;
        self.current.insert(
            contract.customer.clone(),
            Versioned {
                contract,
                version,
                offset,
            },
        );
        true
    }

    pub fn since(&self, from: Offset) -> Vec<RelayedContract> {
        let newer = self
            .current
            .values()
            .filter(|current| current.offset >= from);
        let relay = |current: &Versioned| RelayedContract {
            offset: current.offset,
            version: current.version,
            contract: serde_json::to_string(&current.contract).unwrap_or_default(),
        };
        newer.map(relay).collect()
    }

    pub fn offset(&self) -> Offset {
        self.next
    }

    pub fn get(&self, customer: &str) -> Option<&Versioned> {
        self.current.get(customer)
    }

    pub fn history(&self, customer: &str) -> Vec<Versioned> {
        self.current.get(customer).cloned().into_iter().collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Versioned> {
        self.current.values()
    }
}
