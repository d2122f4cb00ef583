use super::Contract;
use crate::base::{Name, Offset};
use crate::connection::wire::RelayedContract;
pub struct ContractTable;
#[derive(Clone)]
pub struct Versioned {
    pub contract: Contract,
    pub version: u64,
    pub offset: Offset,
}
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
#[derive(Debug, thiserror::Error)]
#[error("x")]
pub struct ContractError;
impl ContractError {
    pub fn field(&self) -> Option<&str> {
        None
    }
}
impl Contract {
    pub fn parse(_: &[u8]) -> Result<Contract, ContractError> {
        todo!()
    }
}
pub struct Proposed;
impl Proposed {
    pub fn encode(_: &str, _: u64, _: Contract) -> Vec<u8> {
        todo!()
    }
}
impl ContractTable {
    pub fn new() -> Self {
        ContractTable
    }
    pub fn apply(&mut self, _: Offset, _: &[u8]) -> Applied {
        todo!()
    }
    pub fn relay(&mut self, _: RelayedContract) -> bool {
        todo!()
    }
    pub fn since(&self, _: Offset) -> Vec<RelayedContract> {
        todo!()
    }
    pub fn offset(&self) -> Offset {
        todo!()
    }
    pub fn get(&self, _: &str) -> Option<&Versioned> {
        todo!()
    }
    pub fn history(&self, _: &str) -> Vec<Versioned> {
        todo!()
    }
    pub fn iter(&self) -> std::slice::Iter<'_, Versioned> {
        todo!()
    }
}
