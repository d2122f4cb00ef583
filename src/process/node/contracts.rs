//! The contract stream: reading it, publishing contracts, and appending them again before their
//! records expire (restating).

use super::action::{Action, Stream};
use super::node::{Identity, Node};
use crate::base::{Millis, Name, Ran, Size};
use crate::connection::ApiResponse;
use crate::connection::wire::{ContractsReply, LogRecord, PublishRefusal, Published, ReadReply};
use crate::process::telemetry;
use crate::version::{AppendOutcome, Contract, ContractEffect, ContractRecord};

/// Largest age of the last read of the stream at which a host restates contracts.
const MAX_READ_AGE: Millis = Millis(5_000);

/// A contract that an operator published here and that was not read back from the log yet.
#[derive(Debug)]
pub(super) struct Proposal {
    pub ticket: u64,
    pub customer: Name,
    /// Version that the contract replaces, 0 for none.
    pub base: u64,
    /// The encoded record to append.
    pub data: Vec<u8>,
    /// Time at which the operator gets an answer even if the log has not confirmed the contract.
    pub deadline: Millis,
    /// Whether its append was issued, so that it may take effect.
    pub is_sent: bool,
}

impl Node {
    pub(super) fn on_contracts_read(
        &mut self,
        now: Millis,
        reply: &ReadReply,
        out: &mut Vec<Action>,
    ) {
        for record in &reply.records {
            let effect = self.contracts.apply(record.offset, &record.data);
            self.track_contract_age(now, record);
            self.on_contract_applied(effect, out);
        }
        let end = reply.records.last().map(|record| record.offset.next());
        if end.is_none_or(|end| end == reply.next) {
            let had_gap = self.contracts.has_gap() || self.contracts.next() < reply.next;
            self.contracts.reached_end(reply.next);
            if had_gap {
                self.update_all_limits();
            }
        }
        self.contracts_confirmed = Some(now);
        telemetry::set_contract_age(Millis(0));
    }

    /// Records when the newest record of a contract was written.
    fn track_contract_age(&mut self, now: Millis, record: &LogRecord) {
        if let Ok(read) = serde_json::from_slice::<ContractRecord>(&record.data) {
            let age = Millis(self.wall_time(now).saturating_sub(record.time));
            self.retained_contracts.written(now, &read.customer, age);
        }
    }

    fn on_contract_applied(&mut self, effect: ContractEffect, out: &mut Vec<Action>) {
        match effect {
            ContractEffect::Accepted {
                proposal,
                customer,
                version,
            } => {
                tracing::info!(contract = %customer, version, "contract in force");
                self.update_limits(&customer);
                if let Some(pending) = self.proposals.remove(&proposal) {
                    let body = Published { customer, version };
                    out.push(respond(pending.ticket, ApiResponse::json(200, &body)));
                }
            }
            ContractEffect::Lost { proposal, winner } => {
                if let Some(pending) = self.proposals.remove(&proposal) {
                    let Proposal {
                        ticket,
                        customer,
                        base,
                        ..
                    } = pending;
                    let body = PublishRefusal::LostRace {
                        customer,
                        base,
                        version: winner,
                    };
                    out.push(respond(ticket, ApiResponse::json(409, &body)));
                }
            }
            ContractEffect::Malformed(error) => {
                tracing::warn!(%error, "skipping a malformed contract record");
            }
            ContractEffect::Known | ContractEffect::Unsettled => {}
        }
    }

    /// Recomputes the limits of all customers.
    fn update_all_limits(&mut self) {
        let customers: Vec<Name> = self
            .contracts
            .iter()
            .map(|current| current.contract.customer.clone())
            .collect();
        for customer in customers {
            self.update_limits(&customer);
        }
    }

    /// Recomputes the objectives and the local quota of a customer from its contract in force.
    pub(super) fn update_limits(&mut self, customer: &Name) {
        let Some(current) = self.contracts.get(customer) else {
            return;
        };
        let contract = &current.contract;
        self.burn.set_contract(contract);
        let quota = local_quota(contract, &self.identity.data_centre);
        match quota {
            Some(quota) => self.quotas.insert(customer.clone(), quota),
            None => self.quotas.remove(customer),
        };
    }

    /// Handles `PUT /v1/contracts/{customer}?base=n`, where `base` is the version to replace.
    pub(super) fn publish_contract(
        &mut self,
        now: Millis,
        ticket: u64,
        customer: &str,
        base: Option<&str>,
        body: &[u8],
        out: &mut Vec<Action>,
    ) {
        let parsed = base.unwrap_or("0").parse::<u64>();
        let Ok(base) = parsed else {
            let reason = "base must be a version number";
            let response = ApiResponse::error(400, "bad_base", Some("base"), reason, None);
            return out.push(respond(ticket, response));
        };
        let contract = match Contract::parse(body) {
            Ok(contract) => contract,
            Err(error) => {
                let field = error.field().map(str::to_owned);
                let response =
                    ApiResponse::error(400, "bad_contract", field.as_deref(), error, None);
                return out.push(respond(ticket, response));
            }
        };
        if *contract.customer != *customer {
            let reason = format!(
                "the contract names {:?}, the path {customer:?}",
                contract.customer
            );
            let response = ApiResponse::error(400, "bad_contract", Some("customer"), reason, None);
            return out.push(respond(ticket, response));
        }
        let current = self
            .contracts
            .get(customer)
            .map_or(0, |current| current.version);
        if current > base {
            let customer = contract.customer;
            let body = PublishRefusal::LostRace {
                customer,
                base,
                version: current,
            };
            return out.push(respond(ticket, ApiResponse::json(409, &body)));
        }
        if current < base {
            let reason = format!("this host knows version {current}, not yet {base}");
            let response =
                ApiResponse::error(503, "behind", Some("base"), reason, Some(Ran::NotRun));
            return out.push(respond(ticket, response));
        }
        self.sequence += 1;
        let Identity {
            host, incarnation, ..
        } = &self.identity;
        let proposal: Name = format!("{host}/{incarnation}/{}", self.sequence).into();
        let customer = contract.customer.clone();
        let data = ContractRecord::propose(proposal.clone(), base, &contract).encode();
        let deadline = now + self.timing.append_timeout;
        let pending = Proposal {
            ticket,
            customer,
            base,
            data,
            deadline,
            is_sent: false,
        };
        self.proposals.insert(proposal.clone(), pending);
        self.publish_queue.push_back(proposal);
    }

    /// Answers the proposals whose time is up, then appends the next proposal or restatement.
    pub(super) fn poll_contracts(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(read) = self.contracts_confirmed {
            telemetry::set_contract_age(now.since(read));
        }
        self.expire_proposals(now, out);
        if self.contract_append.is_some() {
            return;
        }
        while let Some(name) = self.publish_queue.pop_front() {
            let Some(proposal) = self.proposals.get_mut(&name) else {
                continue;
            };
            proposal.is_sent = true;
            let data = proposal.data.clone();
            return self.append_contract(data, out);
        }
        let mut due = Vec::new();
        if self.has_read_contracts(now) {
            self.retained_contracts
                .poll(now, &self.live_hosts, 1, &mut due);
        }
        let restated = due
            .first()
            .and_then(|customer| self.contracts.restate(customer));
        if let Some(record) = restated {
            tracing::info!(contract = %record.customer, "restating the contract before it expires");
            self.append_contract(record.encode(), out);
        }
    }

    fn append_contract(&mut self, data: Vec<u8>, out: &mut Vec<Action>) {
        self.sequence += 1;
        self.contract_append = Some(self.sequence);
        let sequence = self.sequence;
        out.push(Action::Append {
            stream: Stream::Contracts,
            sequence,
            data,
        });
    }

    pub(super) fn on_contract_append(
        &mut self,
        _now: Millis,
        sequence: u64,
        outcome: AppendOutcome,
        out: &mut Vec<Action>,
    ) {
        if self.contract_append != Some(sequence) {
            return;
        }
        self.contract_append = None;
        if outcome != AppendOutcome::Refused {
            // The record decides when it is read back: it may have lost to another version.
            return;
        }
        let refused: Vec<Name> = self
            .proposals
            .iter()
            .filter(|(name, pending)| pending.is_sent && !self.publish_queue.contains(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in refused {
            if let Some(pending) = self.proposals.remove(&name) {
                out.push(respond(pending.ticket, log_unavailable()));
            }
        }
    }

    fn expire_proposals(&mut self, now: Millis, out: &mut Vec<Action>) {
        let expired: Vec<Name> = self
            .proposals
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            let Some(pending) = self.proposals.remove(&name) else {
                continue;
            };
            let response = match pending.is_sent {
                false => log_unavailable(),
                true => ApiResponse::error(
                    504,
                    "unknown_outcome",
                    None,
                    "the log did not confirm the contract in time; show it to see whether it won",
                    Some(Ran::Unknown),
                ),
            };
            out.push(respond(pending.ticket, response));
        }
    }

    /// The contracts with a record at or above `since`, for a peer.
    pub(super) fn contracts_reply(&self, since: crate::base::Offset) -> ContractsReply {
        ContractsReply {
            offset: self.contracts.offset(),
            contracts: self.contracts.since(since),
        }
    }

    /// Puts the contracts that a peer relayed in force where they are newer.
    pub(super) fn on_contracts_relayed(&mut self, now: Millis, reply: ContractsReply) {
        let mut is_newer = false;
        for relayed in reply.contracts {
            is_newer |= self.contracts.apply_relayed(relayed);
        }
        self.contracts.mark_relayed(reply.offset);
        if is_newer {
            tracing::info!("contracts from a peer came into force");
            self.update_all_limits();
        }
        self.contracts_confirmed = Some(now);
    }

    /// Whether the contracts were read, or received from a peer, within `MAX_READ_AGE`.
    fn has_read_contracts(&self, now: Millis) -> bool {
        self.contracts_confirmed
            .is_some_and(|read| now.since(read) < MAX_READ_AGE)
    }
}

fn respond(ticket: u64, response: ApiResponse) -> Action {
    Action::Respond { ticket, response }
}

fn log_unavailable() -> ApiResponse {
    let reason = "the log does not accept records; the contract was not published";
    ApiResponse::error(503, "log_unavailable", None, reason, Some(Ran::NotRun))
}

/// Share of a contract's quota in one data centre; `None` if the contract does not list it. A
/// remainder goes to the data centres listed first.
fn local_quota(contract: &Contract, data_centre: &Name) -> Option<Size> {
    let position = contract
        .data_centres
        .iter()
        .position(|name| name == data_centre)?;
    let count = contract.data_centres.len() as u32;
    let share = |total: u32| total / count + u32::from((position as u32) < total % count);
    Some(Size {
        processors: share(contract.quota.processors),
        memory: share(contract.quota.memory),
        accelerators: share(contract.quota.accelerators),
    })
}
