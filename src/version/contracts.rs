//! Contracts of all customers, from the records of the stream `contracts` and from peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::base::{Name, Offset};
use crate::connection::wire::RelayedContract;

use super::contract::{self, Contract};

/// Number of versions kept per customer. For 190 customers with 1 KB a version this takes 6 MB.
const MAX_HISTORY: usize = 32;

/// Why a record of the stream is skipped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("malformed contract record: {0}")]
    Record(String),
    #[error("invalid contract in a record: {0}")]
    Contract(#[from] contract::Error),
    #[error("record of customer {record} contains a contract of customer {contract}")]
    Customer { record: Name, contract: Name },
}

pub type Result<T> = std::result::Result<T, Error>;

/// A record of the stream `contracts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractRecord {
    pub kind: ContractKind,
    /// Identifier chosen by the writer, by which it recognises its proposal in the stream.
    pub proposal: Name,
    pub customer: Name,
    /// Version that the contract replaces, 0 for none. The contract gets the next higher version.
    pub base: u64,
    pub contract: serde_json::Value,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ContractKind {
    Proposed,
    /// Repeats an accepted contract before its record expires.
    Restated,
}

impl ContractRecord {
    /// A proposal to replace version `base` of the customer's contract.
    ///
    /// A host appends it only if its table has version `base`. Readers rely on no record
    /// having a base that the log had not reached before.
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

    /// Encodes the record for the stream.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn decode(data: &[u8]) -> Result<(Self, Contract)> {
        let record: ContractRecord =
            serde_json::from_slice(data).map_err(|error| Error::Record(error.to_string()))?;
        if record.base == u64::MAX {
            return Err(Error::Record(
                "base is the highest version number".to_owned(),
            ));
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
    /// Version number, from 1.
    pub version: u64,
    /// Offset of the newest record with this version.
    pub offset: Offset,
    /// Identifier of the accepted proposal; empty if the version is known only from a peer.
    pub proposal: Name,
    pub contract: Contract,
}

/// Effect of a contract record.
#[derive(Debug, Clone, PartialEq)]
pub enum ContractEffect {
    Accepted {
        customer: Name,
        version: u64,
        proposal: Name,
    },
    /// The proposal is rejected, because its base is not the current version, `winner`.
    Lost { proposal: Name, winner: u64 },
    /// The record adds nothing new.
    Known,
    /// Undecided until the end of the stream is reached, since earlier records have expired.
    Unsettled,
    /// The record was skipped.
    Malformed(Error),
}

/// Contracts of all customers.
///
/// The versions accepted by the log are kept apart from those in force. Only the log decides which
/// proposals are accepted, so all hosts that read the same records agree. A contract in force may
/// also come from a peer, and is replaced only by a higher version.
#[derive(Debug, Default)]
pub struct ContractTable {
    customers: BTreeMap<Name, CustomerContracts>,
    /// Next offset to read.
    next: Offset,
    /// Offset up to which peers have relayed all contracts.
    relayed_offset: Offset,
    /// Whether records were missed since the end of the stream was last reached.
    gap: bool,
    /// Number of records and relayed contracts skipped as malformed.
    malformed: u64,
}

#[derive(Debug, Default)]
struct CustomerContracts {
    /// Newest versions accepted by the log, oldest first.
    accepted_versions: Vec<ContractVersion>,
    in_force: Option<ContractVersion>,
}

impl ContractTable {
    pub fn new() -> Self {
        ContractTable::default()
    }

    /// Applies the record at `offset` of the stream.
    ///
    /// If earlier records have expired, it is unknown whether a proposal lost against one of them.
    /// Each accepted contract is restated before it expires, so this is settled when the end of the
    /// stream is reached; the contracts come into force only then.
    pub fn apply(&mut self, offset: Offset, data: &[u8]) -> ContractEffect {
        if offset < self.next {
            return ContractEffect::Known;
        }
        self.gap |= offset > self.next;
        self.next = offset.next();
        let (record, contract) = match ContractRecord::decode(data) {
            Ok(decoded) => decoded,
            Err(error) => {
                self.malformed += 1;
                return ContractEffect::Malformed(error);
            }
        };
        let gap = self.gap;
        let customer = self.customers.entry(record.customer.clone()).or_default();
        let effect = customer.apply_record(offset, record, contract, gap);
        if gap {
            return ContractEffect::Unsettled;
        }
        customer.put_in_force();
        effect
    }

    /// Notes that the end of the stream was reached; the next record will be at `next`.
    ///
    /// Contracts that were undecided because of a gap come into force.
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

    /// Applies a contract that is in force at a peer; returns whether it is newer.
    ///
    /// A malformed one is skipped and counted.
    pub fn apply_relayed(&mut self, relayed: RelayedContract) -> bool {
        let Ok(contract) = Contract::read(relayed.contract.as_bytes()) else {
            self.malformed += 1;
            return false;
        };
        let entry = self.customers.entry(contract.customer.clone());
        let relayed_version = ContractVersion {
            version: relayed.version,
            offset: relayed.offset,
            proposal: Name::from(""),
            contract,
        };
        entry.or_default().put_if_newer(relayed_version)
    }

    /// Notes that a peer has relayed all contracts below `offset`.
    pub fn mark_relayed(&mut self, offset: Offset) {
        self.relayed_offset = self.relayed_offset.max(offset);
    }

    /// Contracts to relay to a peer: those in force whose newest record is at or above `offset`.
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
        // After a gap, contracts below `next` may be unknown until the stream has been read.
        let read = if self.gap { Offset(0) } else { self.next };
        read.max(self.relayed_offset)
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

    /// The newest `MAX_HISTORY` versions that the log accepted, oldest first.
    pub fn history(&self, customer: &str) -> &[ContractVersion] {
        self.customers
            .get(customer)
            .map_or(&[], |customer| &customer.accepted_versions)
    }

    /// All contracts in force, ordered by customer.
    pub fn iter(&self) -> impl Iterator<Item = &ContractVersion> {
        self.customers
            .values()
            .filter_map(|customer| customer.in_force.as_ref())
    }

    /// A record that restates the customer's contract; `None` unless this host has it from the log.
    pub fn restate(&self, customer: &str) -> Option<ContractRecord> {
        if self.gap {
            return None;
        }
        let current = self.customers.get(customer)?.accepted_versions.last()?;
        let (proposal, base) = (current.proposal.clone(), current.version - 1);
        let kind = ContractKind::Restated;
        Some(ContractRecord::new(kind, proposal, base, &current.contract))
    }

    /// Number of records and relayed contracts skipped as malformed.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }
}

impl CustomerContracts {
    /// Applies a valid record; `gap` says whether earlier records were missed.
    fn apply_record(
        &mut self,
        offset: Offset,
        record: ContractRecord,
        contract: Contract,
        gap: bool,
    ) -> ContractEffect {
        let current = self
            .accepted_versions
            .last()
            .map_or(0, |versioned| versioned.version);
        let version = record.base + 1;
        let proposal = record.proposal.clone();
        let known = self
            .accepted_versions
            .iter_mut()
            .find(|versioned| versioned.version == version);
        if let Some(known) = known.filter(|known| known.proposal == proposal) {
            // The append was repeated after a lost answer, or the contract was restated.
            known.offset = offset;
            return ContractEffect::Known;
        }
        let restated = record.kind == ContractKind::Restated;
        let recorded = self
            .accepted_versions
            .iter_mut()
            .find(|v| v.version == version);
        if let Some(recorded) = recorded.filter(|_| gap && restated) {
            // The proposal recorded for this version had lost against one whose record has expired.
            *recorded = ContractVersion {
                version,
                offset,
                proposal,
                contract,
            };
            return ContractEffect::Known;
        }
        let accepted = match record.kind {
            ContractKind::Proposed if gap => record.base >= current,
            ContractKind::Proposed => record.base == current,
            ContractKind::Restated if gap => version >= current,
            ContractKind::Restated => version > current,
        };
        if !accepted {
            return match record.kind {
                ContractKind::Proposed => ContractEffect::Lost {
                    proposal,
                    winner: current,
                },
                ContractKind::Restated => ContractEffect::Known,
            };
        }
        self.accepted_versions
            .retain(|versioned| versioned.version < version);
        let customer = record.customer;
        self.accepted_versions.push(ContractVersion {
            version,
            offset,
            proposal: record.proposal,
            contract,
        });
        let excess = self.accepted_versions.len().saturating_sub(MAX_HISTORY);
        self.accepted_versions.drain(..excess);
        ContractEffect::Accepted {
            customer,
            version,
            proposal,
        }
    }

    /// Puts the newest version accepted by the log in force.
    fn put_in_force(&mut self) {
        if let Some(current) = self.accepted_versions.last().cloned() {
            self.put_if_newer(current);
        }
    }

    /// Puts `next` in force if its version is higher; returns whether it is.
    fn put_if_newer(&mut self, next: ContractVersion) -> bool {
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
            // Contracts relayed by a peer have no proposal identifier.
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
