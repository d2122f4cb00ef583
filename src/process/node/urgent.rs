//! Urgent requests: from callers and peers to the router, and from the router to instances and
//! peers.

use std::collections::HashSet;
use std::time::Duration;

use super::action::Action;
use super::node::Node;
use super::peers::PeerPurpose;
use crate::base::{Millis, Name, Ran};
use crate::connection::wire::{
    Answer, Forward, HostKind, InstanceReport, PeerReply, PeerRequest, ServiceLoad,
};
use crate::connection::{ApiCall, ApiResponse, InstanceCall, InstanceOutcome};
use crate::process::telemetry;
use crate::request::{
    DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentRequest,
};

/// Time after the deadline for which this host still waits for the answer to a request. A late
/// answer is passed to the caller, and the instance's slot stays occupied until it comes.
const LATE_ANSWER_TIME: Millis = Millis(30_000);
/// Longest request id in bytes.
const MAX_REQUEST_ID: usize = 128;

/// The latest report of an instance whose lease this host holds.
#[derive(Debug, Clone)]
pub(super) struct InstanceView {
    /// Time at which the lease call that the report answers was sent.
    pub sent: Millis,
    pub report: InstanceReport,
}

/// A caller or peer that waits for the answer to an urgent request.
#[derive(Debug)]
pub(super) struct Caller {
    pub origin: Origin,
    pub customer: Name,
    pub class: Name,
    pub received: Millis,
    pub deadline: Millis,
}

/// Where an urgent request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller on the API, by its ticket.
    Api(u64),
    /// A peer, by its ticket.
    Peer(u64),
}

impl Node {
    /// Handles `POST /v1/requests/{customer}/{class}`.
    pub(super) fn submit_request(
        &mut self,
        now: Millis,
        ticket: u64,
        customer: &str,
        class: &str,
        call: ApiCall,
        out: &mut Vec<Action>,
    ) {
        if self.refuses_callers(now) {
            let reason = "this host is stopping";
            let ran = Some(Ran::NotRun);
            let response = ApiResponse::error(503, "draining", None, reason, ran);
            telemetry::count_refusal("draining");
            return out.push(Action::Respond { ticket, response });
        }
        let request = match call.request_id {
            Some(id) => id,
            None => self.generate_request_id(ticket),
        };
        let forward = Forward {
            request,
            customer: customer.into(),
            class: class.into(),
            deadline: 0,
            hops: 0,
            host: self.identity.host.clone(),
            attach: false,
            epoch: MessageEpoch::default(),
            body: call.body,
        };
        if let Err(response) = self.submit_forward(now, Origin::Api(ticket), forward, out) {
            telemetry::count_refusal("bad_request");
            out.push(Action::Respond { ticket, response });
        }
    }

    /// Handles a request that a peer forwarded.
    pub(super) fn on_forward(
        &mut self,
        now: Millis,
        ticket: u64,
        forward: Forward,
        out: &mut Vec<Action>,
    ) {
        if let Err(response) = self.submit_forward(now, Origin::Peer(ticket), forward, out) {
            let ran = Some(Ran::NotRun);
            let answer = Answer {
                status: response.status,
                ran,
                body: response.body,
            };
            out.push(Action::ReplyPeer {
                ticket,
                reply: PeerReply::Answer(answer),
            });
        }
    }

    /// Validates a request, then passes it to the router. Requests of callers have `hops` 0.
    fn submit_forward(
        &mut self,
        now: Millis,
        origin: Origin,
        forward: Forward,
        out: &mut Vec<Action>,
    ) -> std::result::Result<(), ApiResponse> {
        if !is_request_id(&forward.request) {
            let reason = format!(
                "a request id has 1 to {MAX_REQUEST_ID} letters, digits, dots, dashes or underscores"
            );
            return Err(refuse(400, "bad_request_id", "request-id", reason));
        }
        let class = self.class_terms(&forward.customer, &forward.class)?;
        if forward.body.len() as u64 > class.max_body {
            let reason = format!("the contract allows {} bytes", class.max_body);
            return Err(refuse(413, "too_large", "body", reason));
        }
        if forward.hops == 0 && self.is_isolated(now) {
            let reason = "this host is cut off from the other entry hosts of its data centre";
            return Err(refuse(503, "isolated", "host", reason));
        }
        let remaining = if forward.hops == 0 {
            class.deadline
        } else {
            Millis(forward.deadline)
        };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let caller = Caller {
            origin,
            customer: forward.customer.clone(),
            class: forward.class.clone(),
            received: now,
            deadline: now + remaining,
        };
        self.callers.insert(ticket.0, caller);
        let request = UrgentRequest {
            ticket,
            id: forward.request,
            customer: forward.customer,
            class: forward.class,
            service: class.service,
            idempotent: class.is_idempotent,
            deadline: now + remaining,
            class_deadline: class.deadline,
            hops: forward.hops,
            forwarded_by: (forward.hops > 0).then_some(forward.host),
            attach: forward.attach,
            epoch: forward.epoch,
            body: forward.body,
        };
        let mut actions = Vec::new();
        self.urgent.submit(now, request, &mut actions);
        self.run_router_actions(now, actions, out);
        Ok(())
    }

    fn class_terms(
        &self,
        customer: &Name,
        class: &Name,
    ) -> std::result::Result<ClassTerms, ApiResponse> {
        let Some(current) = self.contracts.get(customer) else {
            let reason = format!("customer {customer:?} has no contract in force");
            return Err(refuse(404, "unknown_customer", "customer", reason));
        };
        let contract = &current.contract;
        let Some(found) = contract.classes.iter().find(|known| known.name == *class) else {
            let reason = format!("the contract of {customer:?} has no class {class:?}");
            return Err(refuse(404, "unknown_class", "class", reason));
        };
        let (Some(service), Some(deadline)) = (&found.service, found.deadline) else {
            let reason = format!("class {class:?} is batch work; submit it as a job");
            return Err(refuse(400, "not_urgent", "class", reason));
        };
        Ok(ClassTerms {
            service: service.clone(),
            deadline,
            is_idempotent: !found.at_most_once,
            max_body: found.max_body,
        })
    }

    fn generate_request_id(&self, ticket: u64) -> Name {
        let identity = &self.identity;
        format!("{}-{}-{ticket}", identity.host, identity.incarnation).into()
    }

    /// Carries out the actions of the router.
    pub(super) fn run_router_actions(
        &mut self,
        now: Millis,
        actions: Vec<UrgentAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                UrgentAction::Send {
                    dispatch,
                    instance,
                    address,
                    token,
                    key,
                    deadline,
                    body,
                } => {
                    self.in_flight.insert(dispatch, (instance, now));
                    let timeout = Duration::from_millis((deadline + LATE_ANSWER_TIME).0);
                    let call = InstanceCall {
                        request: key,
                        token,
                        deadline,
                        body,
                    };
                    out.push(Action::CallInstance {
                        dispatch,
                        address,
                        call,
                        timeout,
                    });
                }
                UrgentAction::Forward {
                    dispatch,
                    host,
                    forward,
                } => {
                    let timeout = forward.deadline + LATE_ANSWER_TIME;
                    let attach = forward.attach;
                    let message = PeerRequest::Forward(Forward {
                        request: forward.id,
                        customer: forward.customer,
                        class: forward.class,
                        deadline: forward.deadline.0,
                        hops: forward.hops,
                        host: self.identity.host.clone(),
                        attach: forward.attach,
                        epoch: forward.epoch,
                        body: forward.body,
                    });
                    let purpose = PeerPurpose::Forward { dispatch, attach };
                    self.call_peer(host, message, timeout, purpose, out);
                }
                UrgentAction::Answer { ticket, answer } => {
                    self.answer_caller(now, ticket, answer, out)
                }
            }
        }
    }

    /// Answers the caller or peer that waits for the request with this router ticket.
    fn answer_caller(
        &mut self,
        now: Millis,
        ticket: Ticket,
        answer: UrgentAnswer,
        out: &mut Vec<Action>,
    ) {
        let Some(caller) = self.callers.remove(&ticket.0) else {
            return;
        };
        match caller.origin {
            Origin::Api(ticket) => {
                self.count_answer(now, &caller, &answer);
                let from_instance = Action::raw(ticket, answer.status, answer.body.clone());
                let action = match answer.ran {
                    None => from_instance,
                    Some(_) => Action::Respond {
                        ticket,
                        response: ApiResponse {
                            status: answer.status,
                            kind: crate::connection::ContentKind::Json,
                            body: answer.body,
                        },
                    },
                };
                out.push(action);
            }
            Origin::Peer(ticket) => {
                let UrgentAnswer { status, ran, body } = answer;
                let reply = PeerReply::Answer(Answer { status, ran, body });
                out.push(Action::ReplyPeer { ticket, reply });
            }
        }
    }

    /// Cancels the request of a caller that closed its connection; an attempt that was sent to an
    /// instance goes on.
    pub(super) fn on_api_closed(&mut self, now: Millis, ticket: u64, out: &mut Vec<Action>) {
        let origin = Origin::Api(ticket);
        let found = self
            .callers
            .iter()
            .find(|(_, caller)| caller.origin == origin);
        let Some(ticket) = found.map(|(ticket, _)| *ticket) else {
            return;
        };
        self.callers.remove(&ticket);
        let mut actions = Vec::new();
        self.urgent.cancel(now, Ticket(ticket), &mut actions);
        self.run_router_actions(now, actions, out);
    }

    /// Counts the answer to an API caller in the metrics and for the burn rate.
    fn count_answer(&mut self, now: Millis, caller: &Caller, answer: &UrgentAnswer) {
        let is_late = now > caller.deadline;
        let result = match (answer.ran, answer.status, is_late) {
            (Some(Ran::NotRun), _, _) => "not_run",
            (Some(Ran::Unknown), _, _) => "unknown",
            (None, 500.., _) => "failed",
            (None, _, true) => "late",
            (None, _, false) => "in_time",
        };
        telemetry::count_answer(caller.class.to_string(), result);
        telemetry::record_queue_time(caller.class.to_string(), now.since(caller.received));
        if answer.ran == Some(Ran::NotRun) {
            telemetry::count_refusal("admission");
        }
        let is_good = result == "in_time";
        self.burn
            .observe(now, &caller.customer, &caller.class, is_good);
    }

    pub(super) fn on_instance_answer(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        outcome: InstanceOutcome,
        out: &mut Vec<Action>,
    ) {
        let request = self.in_flight.remove(&dispatch);
        if let (Some((instance, sent)), InstanceOutcome::Answer { .. }) = (request, &outcome) {
            let service = self
                .backends
                .get(&instance)
                .and_then(|entry| entry.service.as_ref());
            if let Some(service) = service {
                self.latencies
                    .observe(now, service, &instance, now.since(sent));
            }
        }
        let result = match outcome {
            InstanceOutcome::Answer { status, body } => InstanceResult::Answer { status, body },
            InstanceOutcome::Refused => InstanceResult::Refused,
            InstanceOutcome::Broken => InstanceResult::Broken,
        };
        let mut actions = Vec::new();
        self.urgent
            .instance_answered(now, dispatch, result, &mut actions);
        self.run_router_actions(now, actions, out);
    }

    /// Passes a report of an instance to the router.
    pub(super) fn pass_report(
        &mut self,
        now: Millis,
        instance: &Name,
        view: &InstanceView,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.urgent
            .instance_reported(now, instance, view.sent, &view.report.running, &mut actions);
        self.run_router_actions(now, actions, out);
    }

    /// Passes the instances that this host may use now to the router.
    pub(super) fn refresh_instances(&mut self, now: Millis, out: &mut Vec<Action>) {
        let leases = &self.leases;
        let views = &self.instances;
        let owned = self
            .backends_of(HostKind::Instance)
            .filter_map(|entry| {
                let lease = leases.usable(now, &entry.name)?;
                let view = views.get(&entry.name)?;
                Some(OwnedInstance {
                    name: entry.name.clone(),
                    service: entry.service.clone()?,
                    address: entry.address.clone(),
                    token: lease.token,
                    slots: view.report.slots,
                    connections: view.report.connections,
                    running: view.report.running.clone(),
                    report_requested: view.sent,
                    leaving: lease.leaving || leases.is_leaving(&entry.name),
                })
            })
            .collect();
        let mut actions = Vec::new();
        self.urgent.set_instances(now, owned, &mut actions);
        self.run_router_actions(now, actions, out);
    }

    /// Recomputes which services have an instance on the host of each worker, and which of them are
    /// slow there.
    pub(super) fn refresh_services(&mut self, now: Millis) {
        let mut slow: HashSet<Name> = self.latencies.slow_instances(now).into_iter().collect();
        for host in &self.live_hosts {
            slow.extend(
                self.live_hello(now, host)
                    .into_iter()
                    .flat_map(|hello| hello.slow.clone()),
            );
        }
        self.worker_services.clear();
        self.slow_services.clear();
        for entry in self.backends.values() {
            let (Some(worker), Some(service)) = (&entry.worker, &entry.service) else {
                continue;
            };
            let services = self.worker_services.entry(worker.clone()).or_default();
            if !services.contains(service) {
                services.push(service.clone());
            }
            if slow.contains(&entry.name) {
                self.slow_services
                    .entry(worker.clone())
                    .or_default()
                    .push(service.clone());
            }
        }
    }

    /// Runs the router's timers.
    pub(super) fn poll_urgent(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.await_lost_hosts(now);
        let mut actions = Vec::new();
        self.urgent.poll(now, &mut actions);
        self.run_router_actions(now, actions, out);
    }

    /// Passes the loads from the heartbeats of this data centre's peers to the router.
    pub(super) fn refresh_loads(&mut self, now: Millis) {
        let loads: Vec<(Name, ServiceLoad)> = self
            .live_hosts
            .iter()
            .filter_map(|host| self.live_hello(now, host))
            .flat_map(|hello| {
                hello
                    .loads
                    .iter()
                    .map(|load| (hello.host.clone(), load.clone()))
            })
            .collect();
        self.urgent.set_peers(now, loads);
    }

    /// Passes the reachable entry hosts of this data centre to the router.
    pub(super) fn refresh_hosts(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.urgent.set_hosts(now, &self.reachable, &mut actions);
        self.run_router_actions(now, actions, out);
    }

    /// Tells the router which instances may still run requests of lost hosts: those without a known
    /// holder.
    ///
    /// This is repeated at each poll, since a lost host may only be out of contact and may acquire
    /// further instances.
    pub(super) fn await_lost_hosts(&mut self, now: Millis) {
        let mut lost = self.urgent.lost_hosts();
        if !self.restart_reported && !self.backends.is_empty() {
            // An earlier process of this host may have left requests running.
            self.restart_reported = true;
            lost.push(self.identity.host.clone());
        }
        if lost.is_empty() {
            return;
        }
        let unheld: Vec<Name> = self
            .backends_of(HostKind::Instance)
            .map(|entry| &entry.name)
            .filter(|name| self.leases.usable(now, name).is_none())
            .filter(|name| self.peer_holder(now, name).is_none())
            .cloned()
            .collect();
        for host in lost {
            self.urgent.await_reports(now, &host, unheld.clone());
        }
    }
}

/// The terms of a contract's class that apply to an urgent request.
struct ClassTerms {
    service: Name,
    deadline: Millis,
    is_idempotent: bool,
    max_body: u64,
}

fn is_request_id(id: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !id.is_empty() && id.len() <= MAX_REQUEST_ID && id.chars().all(is_allowed)
}

fn refuse(status: u16, error: &str, field: &str, reason: impl ToString) -> ApiResponse {
    ApiResponse::error(status, error, Some(field), reason, Some(Ran::NotRun))
}
