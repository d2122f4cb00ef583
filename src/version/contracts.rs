//! Contracts of all customers: the fold of the stream `contracts`, and what peers relay.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::base::{Name, Offset};
use crate::connection::wire::RelayedContract;

use super::contract::{self, Contract};

/// Versions kept per customer; 190 customers with 1 KB each take 6 MB.
const HISTORY: usize = 32;

/// Why a record of the stream is skipped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("contract record is not of the right form: {0}")]
    Record(String),
    #[error("contract in a record: {0}")]
    Contract(#[from] contract::Error),
    #[error("record of customer {record} carries a contract of {contract}")]
    Customer { record: Name, contract: Name },
}

pub type Result<T> = std::result::Result<T, Error>;

/// A record of the stream `contracts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractRecord {
    pub kind: ContractKind,
    /// Chosen by the writer; names the proposal when the record is read back.
    pub proposal: Name,
    pub customer: Name,
    /// Version that the contract replaces, 0 for none; its own version is one higher.
    pub base: u64,
    pub contract: serde_json::Value,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ContractKind {
    Proposed,
    /// Repeats a contract that was accepted, before its record expires.
    Restated,
}

impl ContractRecord {
    /// A proposal to replace version `base` of the customer's contract.
    ///
    /// A host appends it only if its table has version `base`; the fold relies on that no record
    /// names a base that was not reached before it.
    pub fn propose(proposal: Name, base: u64, contract: &Contract) -> Self {
        ContractRecord::new(ContractKind::Proposed, proposal, base, contract)
    }

    fn new(kind: ContractKind, proposal: Name, base: u64, contract: &Contract) -> Self {
        let customer = contract.customer.clone();
        ContractRecord {
            kind,
            proposal,
            customer,
            base,
            contract: to_value(contract),
        }
    }

    /// The bytes to append.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn decode(data: &[u8]) -> Result<(Self, Contract)> {
        let record: ContractRecord =
            serde_json::from_slice(data).map_err(|error| Error::Record(error.to_string()))?;
        if record.base == u64::MAX {
            return Err(Error::Record("base has no successor".to_owned()));
        }
        let contract = Contract::read(record.contract.to_string().as_bytes())?;
        if record.customer != contract.customer {
            let (record, contract) = (record.customer, contract.customer);
            return Err(Error::Customer { record, contract });
        }
        Ok((record, contract))
    }
}

/// One version of a customer's contract.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractVersion {
    /// From 1.
    pub version: u64,
    /// Of the newest record that carries this version.
    pub offset: Offset,
    /// The proposal that was accepted; empty if only a peer has told of the version.
    pub proposal: Name,
    pub contract: Contract,
}

/// Effect of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    Accepted {
        customer: Name,
        version: u64,
        proposal: Name,
    },
    /// The proposal named another base than the current version, `winner`.
    Lost { proposal: Name, winner: u64 },
    /// Nothing new.
    Known,
    /// Earlier records have expired, so the end of the stream tells what became of this one.
    Unsettled,
    /// Skipped.
    Malformed(Error),
}

/// Contracts of all customers.
///
/// What the log says and what is in force are kept apart: the fold never depends on relayed
/// contracts, so all hosts that read the same records agree, and a contract in force is replaced
/// only by a higher version.
#[derive(Debug, Default)]
pub struct ContractTable {
    customers: BTreeMap<Name, Customer>,
    /// Next offset to read.
    next: Offset,
    /// Offset up to which peers have told of all contracts.
    relayed: Offset,
    /// Whether records were missed since the end of the stream was last reached.
    gap: bool,
    malformed: u64,
}

#[derive(Debug, Default)]
struct Customer {
    /// Versions accepted by the fold, oldest first.
    folded: Vec<ContractVersion>,
    in_force: Option<ContractVersion>,
}

impl ContractTable {
    pub fn new() -> Self {
        ContractTable::default()
    }

    /// Applies the record at `offset` of the stream.
    ///
    /// If earlier records have expired, a proposal cannot be told from one that lost against an
    /// expired winner. Such contracts come into force at the end of the stream, since each winner
    /// is restated before it expires.
    pub fn apply(&mut self, offset: Offset, data: &[u8]) -> Applied {
        if offset < self.next {
            return Applied::Known;
        }
        self.gap |= offset > self.next;
        self.next = offset.next();
        let (record, contract) = match ContractRecord::decode(data) {
            Ok(decoded) => decoded,
            Err(error) => {
                self.malformed += 1;
                return Applied::Malformed(error);
            }
        };
        let gap = self.gap;
        let customer = self.customers.entry(record.customer.clone()).or_default();
        let applied = customer.fold(offset, record, contract, gap);
        if gap {
            return Applied::Unsettled;
        }
        customer.put_in_force();
        applied
    }

    /// Takes note that the end of the stream was reached: the next record will be at `next`.
    pub fn reached_end(&mut self, next: Offset) {
        // Records before the end that were not read have expired.
        self.gap |= next > self.next;
        self.next = self.next.max(next);
        if !std::mem::take(&mut self.gap) {
            return;
        }
        for customer in self.customers.values_mut() {
            customer.put_in_force();
        }
    }

    /// Takes a contract that a peer has in force; returns whether it is newer.
    ///
    /// One that does not parse is skipped and counted.
    pub fn apply_relayed(&mut self, relayed: RelayedContract) -> bool {
        let Ok(contract) = Contract::read(relayed.contract.as_bytes()) else {
            self.malformed += 1;
            return false;
        };
        let entry = self.customers.entry(contract.customer.clone());
        let newer = ContractVersion {
            version: relayed.version,
            offset: relayed.offset,
            proposal: Name::from(""),
            contract,
        };
        entry.or_default().replace(newer)
    }

    /// Takes note that a peer has told of all contracts below `offset`.
    pub fn mark_relayed(&mut self, offset: Offset) {
        self.relayed = self.relayed.max(offset);
    }

    /// Contracts in force whose newest record is at or above `offset`, for a peer.
    pub fn since(&self, offset: Offset) -> Vec<RelayedContract> {
        let newer = self.iter().filter(|versioned| versioned.offset >= offset);
        newer
            .map(|versioned| RelayedContract {
                offset: versioned.offset,
                version: versioned.version,
                contract: to_value(&versioned.contract).to_string(),
            })
            .collect()
    }

    /// Offset up to which all contracts are known, from the log or from peers.
    pub fn offset(&self) -> Offset {
        // What a gap hides is not known before the end of the stream.
        let read = if self.gap { Offset(0) } else { self.next };
        read.max(self.relayed)
    }

    /// Whether records were missed since the end of the stream was last reached.
    pub fn has_gap(&self) -> bool {
        self.gap
    }

    /// Next offset of the stream to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The contract in force.
    pub fn get(&self, customer: &str) -> Option<&ContractVersion> {
        self.customers.get(customer)?.in_force.as_ref()
    }

    /// The last 32 versions that the log accepted, oldest first.
    pub fn history(&self, customer: &str) -> &[ContractVersion] {
        self.customers
            .get(customer)
            .map_or(&[], |customer| &customer.folded)
    }

    /// All contracts in force, in order of customer.
    pub fn iter(&self) -> impl Iterator<Item = &ContractVersion> {
        self.customers
            .values()
            .filter_map(|customer| customer.in_force.as_ref())
    }

    /// The record that restates the customer's contract, if this host knows it from the log.
    pub fn restate(&self, customer: &str) -> Option<ContractRecord> {
        if self.gap {
            return None;
        }
        let current = self.customers.get(customer)?.folded.last()?;
        let (proposal, base) = (current.proposal.clone(), current.version - 1);
        let kind = ContractKind::Restated;
        Some(ContractRecord::new(kind, proposal, base, &current.contract))
    }

    /// Number of records and relayed contracts skipped as malformed.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }
}

impl Customer {
    fn fold(
        &mut self,
        offset: Offset,
        record: ContractRecord,
        contract: Contract,
        gap: bool,
    ) -> Applied {
        let current = self.folded.last().map_or(0, |versioned| versioned.version);
        let version = record.base + 1;
        let proposal = record.proposal.clone();
        let known = self
            .folded
            .iter_mut()
            .find(|versioned| versioned.version == version);
        if let Some(known) = known.filter(|known| known.proposal == proposal) {
            // An append repeated after a lost answer, or a restatement.
            known.offset = offset;
            return Applied::Known;
        }
        let restated = record.kind == ContractKind::Restated;
        let taken = self.folded.iter_mut().find(|v| v.version == version);
        if let Some(taken) = taken.filter(|_| gap && restated) {
            // The proposal taken for this version lost against an expired winner.
            *taken = ContractVersion {
                version,
                offset,
                proposal,
                contract,
            };
            return Applied::Known;
        }
        let accepted = match record.kind {
            ContractKind::Proposed if gap => record.base >= current,
            ContractKind::Proposed => record.base == current,
            ContractKind::Restated if gap => version >= current,
            ContractKind::Restated => version > current,
        };
        if !accepted {
            return match record.kind {
                ContractKind::Proposed => Applied::Lost {
                    proposal,
                    winner: current,
                },
                ContractKind::Restated => Applied::Known,
            };
        }
        self.folded.retain(|versioned| versioned.version < version);
        let customer = record.customer;
        self.folded.push(ContractVersion {
            version,
            offset,
            proposal: record.proposal,
            contract,
        });
        let excess = self.folded.len().saturating_sub(HISTORY);
        self.folded.drain(..excess);
        Applied::Accepted {
            customer,
            version,
            proposal,
        }
    }

    fn put_in_force(&mut self) {
        if let Some(current) = self.folded.last().cloned() {
            self.replace(current);
        }
    }

    /// Puts `next` in force unless a higher version is; returns whether the version is new.
    fn replace(&mut self, next: ContractVersion) -> bool {
        let Some(current) = &mut self.in_force else {
            self.in_force = Some(next);
            return true;
        };
        if next.version > current.version {
            *current = next;
            return true;
        }
        if next.version == current.version {
            current.offset = current.offset.max(next.offset);
            // A peer does not tell the proposal.
            if current.proposal.is_empty() {
                current.proposal = next.proposal;
            }
        }
        false
    }
}

fn to_value(contract: &Contract) -> serde_json::Value {
    serde_json::to_value(contract).unwrap_or_default()
}
