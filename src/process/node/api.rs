//! Routes of the HTTP API for callers and operators.

use super::action::Action;
use super::node::Node;
use crate::base::{Millis, Ran};
use crate::connection::wire::{
    ContractAnswer, ContractHistory, ContractList, ContractSummary, JobCall,
};
use crate::connection::{ApiCall, ApiMethod, ApiResponse, ContentKind};
use crate::version::ContractVersion;

impl Node {
    pub(super) fn on_api_call(
        &mut self,
        now: Millis,
        ticket: u64,
        call: ApiCall,
        out: &mut Vec<Action>,
    ) {
        let path = call.path.clone();
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (call.method, parts.as_slice()) {
            (ApiMethod::Post, ["v1", "requests", customer, class]) => {
                self.submit_request(now, ticket, customer, class, call, out);
            }
            (ApiMethod::Post, ["v1", "jobs"]) => self.submit_job(now, ticket, &call.body, out),
            (ApiMethod::Get, ["v1", "jobs"]) => match query_parameter(&call, "customer") {
                Some(customer) => {
                    let job = JobCall::List {
                        customer: customer.into(),
                    };
                    self.route_job(now, ticket, job, out);
                }
                None => {
                    let reason = "name the customer: /v1/jobs?customer=NAME";
                    let response =
                        ApiResponse::error(400, "missing_field", Some("customer"), reason, None);
                    out.push(Action::Respond { ticket, response });
                }
            },
            (ApiMethod::Get, ["v1", "jobs", customer, job]) => {
                let job = JobCall::State {
                    customer: (*customer).into(),
                    job: (*job).into(),
                };
                self.route_job(now, ticket, job, out);
            }
            (ApiMethod::Delete, ["v1", "jobs", customer, job]) => {
                let job = JobCall::Cancel {
                    customer: (*customer).into(),
                    job: (*job).into(),
                };
                self.route_job(now, ticket, job, out);
            }
            (ApiMethod::Put, ["v1", "contracts", customer]) => {
                let base = query_parameter(&call, "base");
                self.publish_contract(now, ticket, customer, base, &call.body, out);
            }
            (ApiMethod::Get, ["metrics"]) => out.push(Action::RespondMetrics { ticket }),
            (ApiMethod::Get, parts) => {
                let response = self.read_state(now, parts);
                out.push(Action::Respond { ticket, response });
            }
            _ => {
                let response = unknown_route(&call);
                out.push(Action::Respond { ticket, response });
            }
        }
    }

    /// Answers a request that only reads this host's state.
    fn read_state(&self, now: Millis, parts: &[&str]) -> ApiResponse {
        match parts {
            ["health"] => text_response(200, "ok\n"),
            ["ready"] => self.ready(now),
            ["v1", "status"] => ApiResponse::json(200, &self.status(now)),
            ["v1", "burn"] => ApiResponse::json(200, &self.burn.report(now)),
            ["v1", "contracts"] => ApiResponse::json(200, &self.contract_list()),
            ["v1", "contracts", customer] => match self.contracts.get(customer) {
                Some(current) => ApiResponse::json(200, &contract_answer(current)),
                None => unknown_customer(customer),
            },
            ["v1", "contracts", customer, "history"] => {
                let versions: Vec<ContractAnswer> = self
                    .contracts
                    .history(customer)
                    .iter()
                    .map(contract_answer)
                    .collect();
                if versions.is_empty() {
                    return unknown_customer(customer);
                }
                let customer = (*customer).into();
                ApiResponse::json(200, &ContractHistory { customer, versions })
            }
            _ => {
                let reason = format!("no such path: /{}", parts.join("/"));
                ApiResponse::error(404, "unknown_path", Some("path"), reason, Some(Ran::NotRun))
            }
        }
    }

    fn contract_list(&self) -> ContractList {
        let summary = |current: &ContractVersion| ContractSummary {
            customer: current.contract.customer.clone(),
            version: current.version,
            offset: current.offset,
            data_centres: current.contract.data_centres.clone(),
            classes: current
                .contract
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
        };
        ContractList {
            contracts: self.contracts.iter().map(summary).collect(),
        }
    }
}

fn contract_answer(current: &ContractVersion) -> ContractAnswer {
    ContractAnswer {
        customer: current.contract.customer.clone(),
        version: current.version,
        offset: current.offset,
        contract: current.contract.clone(),
    }
}

pub(super) fn text_response(status: u16, body: &str) -> ApiResponse {
    let body = body.as_bytes().to_vec().into();
    ApiResponse {
        status,
        kind: ContentKind::Text,
        body,
    }
}

fn unknown_customer(customer: &str) -> ApiResponse {
    let reason = format!("customer {customer:?} has no contract in force");
    ApiResponse::error(404, "unknown_customer", Some("customer"), reason, None)
}

fn unknown_route(call: &ApiCall) -> ApiResponse {
    let reason = format!("{:?} {} is not served", call.method, call.path);
    ApiResponse::error(404, "unknown_path", Some("path"), reason, Some(Ran::NotRun))
}

/// Value of a query parameter, without percent-decoding: customer names and version numbers contain
/// no characters that need it.
fn query_parameter<'a>(call: &'a ApiCall, key: &str) -> Option<&'a str> {
    let pairs = call
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}
