//! Urgent requests: callers, instances and forwarding.

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

/// Time after the deadline for which an attempt is still waited for: a late answer is whole and
/// reaches its caller, and the slot stays taken while the instance works.
const LATE: Millis = Millis(30_000);
/// Longest request id in bytes.
const MAX_ID: usize = 128;

/// The latest report of an instance.
#[derive(Debug, Clone)]
pub(super) struct InstanceView {
    /// Time before the lease call was sent.
    pub sent: Millis,
    pub report: InstanceReport,
}

/// Who waits for an urgent request.
#[derive(Debug)]
pub(super) struct Caller {
    pub origin: Origin,
    pub customer: Name,
    pub class: Name,
    pub received: Millis,
    pub deadline: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller on the API, by its ticket.
    Api(u64),
    /// A peer, by its ticket.
    Peer(u64),
}

impl Node {
    /// `POST /v1/requests/{customer}/{class}`.
    pub(super) fn request(
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
            telemetry::refused("draining");
            return out.push(Action::Respond { ticket, response });
        }
        let request = match call.request_id {
            Some(id) => id,
            None => self.make_request_id(ticket),
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
        if let Err(response) = self.submit(now, Origin::Api(ticket), forward, out) {
            telemetry::refused("bad_request");
            out.push(Action::Respond { ticket, response });
        }
    }

    /// A request that a peer forwarded.
    pub(super) fn forwarded(
        &mut self,
        now: Millis,
        ticket: u64,
        forward: Forward,
        out: &mut Vec<Action>,
    ) {
        if let Err(response) = self.submit(now, Origin::Peer(ticket), forward, out) {
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

    fn submit(
        &mut self,
        now: Millis,
        origin: Origin,
        forward: Forward,
        out: &mut Vec<Action>,
    ) -> std::result::Result<(), ApiResponse> {
        if !is_request_id(&forward.request) {
            let reason = format!(
                "a request id has 1 to {MAX_ID} letters, digits, dots, dashes or underscores"
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
        let left = if forward.hops == 0 {
            class.deadline
        } else {
            Millis(forward.deadline)
        };
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let caller = Caller {
            origin,
            customer: forward.customer.clone(),
            class: forward.class.clone(),
            received: now,
            deadline: now + left,
        };
        self.callers.insert(ticket.0, caller);
        let request = UrgentRequest {
            ticket,
            id: forward.request,
            customer: forward.customer,
            class: forward.class,
            service: class.service,
            idempotent: class.is_idempotent,
            deadline: now + left,
            class_deadline: class.deadline,
            hops: forward.hops,
            forwarded_by: (forward.hops > 0).then_some(forward.host),
            attach: forward.attach,
            epoch: forward.epoch,
            body: forward.body,
        };
        let mut actions = Vec::new();
        self.urgent.submit(now, request, &mut actions);
        self.route(now, actions, out);
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

    fn make_request_id(&self, ticket: u64) -> Name {
        let identity = &self.identity;
        format!("{}-{}-{ticket}", identity.host, identity.incarnation).into()
    }

    /// Carries out what the router decided.
    pub(super) fn route(&mut self, now: Millis, actions: Vec<UrgentAction>, out: &mut Vec<Action>) {
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
                    self.sends.insert(dispatch, (instance, now));
                    let timeout = Duration::from_millis((deadline + LATE).0);
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
                    let timeout = forward.deadline + LATE;
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
                UrgentAction::Answer { ticket, answer } => self.answer(now, ticket, answer, out),
            }
        }
    }

    fn answer(&mut self, now: Millis, ticket: Ticket, answer: UrgentAnswer, out: &mut Vec<Action>) {
        let Some(caller) = self.callers.remove(&ticket.0) else {
            return;
        };
        match caller.origin {
            Origin::Api(ticket) => {
                self.count_answer(now, &caller, &answer);
                let raw = Action::raw(ticket, answer.status, answer.body.clone());
                let action = match answer.ran {
                    None => raw,
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

    /// Cancels the request of a caller that is gone, unless it has been sent to an instance.
    pub(super) fn api_closed(&mut self, now: Millis, ticket: u64, out: &mut Vec<Action>) {
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
        self.route(now, actions, out);
    }

    fn count_answer(&mut self, now: Millis, caller: &Caller, answer: &UrgentAnswer) {
        let is_late = now > caller.deadline;
        let result = match (answer.ran, answer.status, is_late) {
            (Some(Ran::NotRun), _, _) => "not_run",
            (Some(Ran::Unknown), _, _) => "unknown",
            (None, 500.., _) => "failed",
            (None, _, true) => "late",
            (None, _, false) => "in_time",
        };
        telemetry::answered(caller.class.to_string(), result);
        telemetry::queued(caller.class.to_string(), now.since(caller.received));
        if answer.ran == Some(Ran::NotRun) {
            telemetry::refused("admission");
        }
        let good = result == "in_time";
        self.burn
            .observe(now, &caller.customer, &caller.class, good);
    }

    pub(super) fn instance_answered(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        outcome: InstanceOutcome,
        out: &mut Vec<Action>,
    ) {
        let sent = self.sends.remove(&dispatch);
        if let (Some((instance, at)), InstanceOutcome::Answer { .. }) = (sent, &outcome) {
            let service = self
                .backends
                .get(&instance)
                .and_then(|entry| entry.service.as_ref());
            if let Some(service) = service {
                self.latencies
                    .observe(now, service, &instance, now.since(at));
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
        self.route(now, actions, out);
    }

    /// Tells the router that this host read the report of an instance.
    pub(super) fn settle_instance(
        &mut self,
        now: Millis,
        instance: &Name,
        view: &InstanceView,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.urgent
            .instance_reported(now, instance, view.sent, &view.report.running, &mut actions);
        self.route(now, actions, out);
    }

    /// Tells the router which instances this host may use now.
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
        self.route(now, actions, out);
    }

    /// Finds the workers on which an instance runs, and those whose instance is slow.
    pub(super) fn refresh_slow(&mut self, now: Millis) {
        let mut slow: HashSet<Name> = self.latencies.slow_instances(now).into_iter().collect();
        for host in &self.live {
            slow.extend(
                self.live_hello(now, host)
                    .into_iter()
                    .flat_map(|hello| hello.slow.clone()),
            );
        }
        self.services.clear();
        self.slow.clear();
        for entry in self.backends.values() {
            let (Some(worker), Some(service)) = (&entry.worker, &entry.service) else {
                continue;
            };
            let services = self.services.entry(worker.clone()).or_default();
            if !services.contains(service) {
                services.push(service.clone());
            }
            if slow.contains(&entry.name) {
                self.slow
                    .entry(worker.clone())
                    .or_default()
                    .push(service.clone());
            }
        }
    }

    pub(super) fn poll_urgent(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.unsettle_lost(now);
        let mut actions = Vec::new();
        self.urgent.poll(now, &mut actions);
        self.route(now, actions, out);
    }

    /// Loads that the peers of this data centre told in their heartbeats.
    pub(super) fn set_loads(&mut self, now: Millis) {
        let loads: Vec<(Name, ServiceLoad)> = self
            .live
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

    /// Follows changes of the live hosts.
    pub(super) fn hosts_changed(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.urgent.set_hosts(now, &self.present, &mut actions);
        self.route(now, actions, out);
    }

    /// Names the instances that may run ids of a lost host: those without a known holder.
    ///
    /// A lost host may only be out of contact and acquire further instances, so this is repeated.
    pub(super) fn unsettle_lost(&mut self, now: Millis) {
        let mut lost = self.urgent.lost_hosts();
        if !self.is_settled && !self.backends.is_empty() {
            // This host may have run ids before it was restarted.
            self.is_settled = true;
            lost.push(self.identity.host.clone());
        }
        if lost.is_empty() {
            return;
        }
        let unheld: Vec<Name> = self
            .backends_of(HostKind::Instance)
            .map(|entry| &entry.name)
            .filter(|name| self.leases.usable(now, name).is_none())
            .filter(|name| self.membership.holder(now, name).is_none())
            .cloned()
            .collect();
        for host in lost {
            self.urgent.await_reports(now, &host, unheld.clone());
        }
    }
}

/// What an urgent request needs of its class.
struct ClassTerms {
    service: Name,
    deadline: Millis,
    is_idempotent: bool,
    max_body: u64,
}

fn is_request_id(id: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !id.is_empty() && id.len() <= MAX_ID && id.chars().all(is_allowed)
}

fn refuse(status: u16, error: &str, field: &str, reason: impl ToString) -> ApiResponse {
    ApiResponse::error(status, error, Some(field), reason, Some(Ran::NotRun))
}
