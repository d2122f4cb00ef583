//! Workers and instances: host list, leases, reports and starts.

use super::action::{Action, LeaseCall};
use super::node::Node;
use super::tasks::dispatch_view;
use super::urgent::InstanceView;
use crate::base::{Attempt, Millis, Name, TaskId};
use crate::connection::wire::{
    HostKind, HostList, HostState, InstanceReport, LeaseReply, LeaseRequest, ReleaseRequest,
    StartState, WorkerReport,
};
use crate::connection::{Error, Grant, LeaseAction, Resource, StartError};
use crate::process::telemetry;
use crate::request::{DispatchAction, HeldWorker, WorkerView};

type Result<T> = std::result::Result<T, Error>;

impl Node {
    pub(super) fn on_host_list(
        &mut self,
        now: Millis,
        list: Result<HostList>,
        out: &mut Vec<Action>,
    ) {
        let list = match list {
            Ok(list) => list,
            Err(error) => {
                tracing::debug!(%error, "cannot read the host list; keeping the previous one");
                return;
            }
        };
        let data_centre = &self.identity.data_centre;
        self.backends = list
            .hosts
            .into_iter()
            .filter(|entry| entry.data_centre == *data_centre && entry.kind != HostKind::Entry)
            .map(|entry| (entry.name.clone(), entry))
            .collect();
        let resources = self.backends.values().map(|entry| Resource {
            name: entry.name.clone(),
            address: entry.address.clone(),
            kind: entry.kind,
        });
        self.leases.set_resources(now, resources.collect());
        for entry in self
            .backends
            .values()
            .filter(|entry| entry.state == HostState::Leaving)
        {
            self.leases.mark_leaving(now, &entry.name);
        }
        let backends = &self.backends;
        self.latencies
            .retain(|instance| backends.contains_key(instance));
        self.refresh_services(now);
        self.refresh_workers();
        self.refresh_instances(now, out);
    }

    /// Issues the lease calls that are due.
    pub(super) fn poll_leases(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut calls = Vec::new();
        let can_append = !self.task_log.read_failed && self.journal.is_healthy();
        self.leases
            .set_worker_handover(can_append || self.should_yield_workers(now));
        let (membership, ledger) = (&self.membership, &self.ledger);
        self.leases.poll(
            now,
            |worker| membership.may_renew(now, ledger.suspicions().contains_key(worker)),
            |resource| membership.holder(now, resource),
            &mut calls,
        );
        for call in calls {
            out.extend(self.lease_call(now, call));
        }
        self.update_usable_workers(now);
    }

    fn lease_call(&mut self, now: Millis, action: LeaseAction) -> Option<Action> {
        let (resource, token, renew_tasks) = match action {
            LeaseAction::Acquire { resource } => (resource, None, false),
            LeaseAction::Renew {
                resource,
                token,
                renew_tasks,
            } => (resource, Some(token), renew_tasks),
            LeaseAction::Release { resource, token } => {
                let call = LeaseCall::Release(ReleaseRequest { token });
                return Some(backend_call(now, resource, call));
            }
        };
        let request = LeaseRequest {
            holder: self.identity.host.clone(),
            ttl: self.timing.lease_ttl.0,
            run_ttl: self.timing.run_ttl.0,
            token,
            ack: token
                .map(|_| self.dispatcher.take_acks(&resource.name))
                .unwrap_or_default(),
            renew_tasks,
        };
        Some(backend_call(now, resource, LeaseCall::Grant(request)))
    }

    /// Tells the dispatcher which held workers may get claims: those whose lease may be used now.
    fn update_usable_workers(&mut self, now: Millis) {
        let held: Vec<Name> = self
            .dispatcher
            .workers()
            .map(|tracked| tracked.view.name.clone())
            .collect();
        for worker in held {
            let usable = self.leases.usable(now, &worker).is_some();
            self.dispatcher.set_usable(now, &worker, usable);
        }
    }

    pub(super) fn on_worker_lease(
        &mut self,
        now: Millis,
        worker: &Name,
        sent: Millis,
        result: Result<LeaseReply<WorkerReport>>,
        out: &mut Vec<Action>,
    ) {
        let Some((grant, reply)) = self.take_lease_reply(now, worker, sent, result) else {
            return;
        };
        let Some(lease) = self.leases.usable(now, worker) else {
            return;
        };
        let Some(entry) = self.backends.get(worker).cloned() else {
            return;
        };
        let rack = entry.rack.unwrap_or_else(|| worker.clone());
        let mut actions = Vec::new();
        let can_claim = super::tasks::can_claim(now, &self.task_log, &self.journal, self.draining);
        let view = dispatch_view!(self, can_claim);
        self.dispatcher.handle_report(
            now,
            &view,
            HeldWorker {
                name: worker,
                address: &entry.address,
                rack: &rack,
                lease,
                grant,
                report: &reply.report,
            },
            &mut actions,
        );
        self.run_dispatch_actions(now, actions, out);
    }

    pub(super) fn on_instance_lease(
        &mut self,
        now: Millis,
        instance: &Name,
        sent: Millis,
        result: Result<LeaseReply<InstanceReport>>,
        out: &mut Vec<Action>,
    ) {
        if let Some((grant, reply)) = self.take_lease_reply(now, instance, sent, result) {
            if grant != Grant::Ignored {
                let view = InstanceView {
                    sent,
                    report: reply.report,
                };
                self.pass_report(now, instance, &view, out);
                self.instances.insert(instance.clone(), view);
            }
        }
        self.refresh_instances(now, out);
    }

    /// Updates the lease table with the result of a grant; returns the reply if it was granted.
    fn take_lease_reply<R>(
        &mut self,
        now: Millis,
        resource: &Name,
        sent: Millis,
        result: Result<LeaseReply<R>>,
    ) -> Option<(Grant, LeaseReply<R>)> {
        match result {
            Ok(reply) => {
                let (token, incarnation) = (reply.token, reply.incarnation);
                let leaving = reply.leaving;
                let grant = self
                    .leases
                    .granted(now, sent, resource, token, incarnation, leaving);
                Some((grant, reply))
            }
            Err(Error::Refused(refusal)) => {
                tracing::debug!(%resource, ?refusal, "the lease call was refused");
                self.leases.refused(now, resource, refusal);
                self.forget_backend(resource);
                None
            }
            Err(error) => {
                tracing::debug!(%resource, %error, "the lease call was not answered");
                self.leases.failed(now, resource);
                None
            }
        }
    }

    /// Drops the state of a resource whose lease was refused; logs a lost lease if this host held
    /// it.
    fn forget_backend(&mut self, resource: &Name) {
        let was_held =
            self.dispatcher.worker(resource).is_some() || self.instances.contains_key(resource);
        if was_held {
            tracing::warn!(%resource, "lost the lease");
            telemetry::count_lease_expiry();
        }
        self.dispatcher.remove_worker(resource);
        self.instances.remove(resource);
    }

    pub(super) fn on_lease_released(&mut self, now: Millis, resource: &Name, result: Result<()>) {
        match result {
            Ok(()) => {
                self.leases.released(now, resource);
                self.dispatcher.remove_worker(resource);
                self.instances.remove(resource);
            }
            Err(Error::Refused(refusal)) => {
                self.leases.refused(now, resource, refusal);
                self.forget_backend(resource);
            }
            Err(_) => self.leases.failed(now, resource),
        }
    }

    pub(super) fn on_start_result(
        &mut self,
        now: Millis,
        worker: &Name,
        task: &TaskId,
        attempt: Attempt,
        result: std::result::Result<StartState, StartError>,
        out: &mut Vec<Action>,
    ) {
        if let Err(error) = &result {
            tracing::debug!(%worker, %task, %error, "the start failed or its outcome is unknown");
        }
        let mut actions = Vec::new();
        self.dispatcher
            .start_answered(now, worker, task, attempt, result, &mut actions);
        self.run_dispatch_actions(now, actions, out);
    }

    /// Carries out the actions of the dispatcher.
    pub(super) fn run_dispatch_actions(
        &mut self,
        now: Millis,
        actions: Vec<DispatchAction>,
        out: &mut Vec<Action>,
    ) {
        let mut unsent = Vec::new();
        for action in actions {
            match action {
                DispatchAction::Append(record) => self.journal.push(record),
                DispatchAction::Start {
                    worker,
                    address,
                    task,
                    request,
                } => {
                    let usable = self.leases.usable(now, &worker);
                    let is_held = usable.is_some_and(|lease| lease.token == request.token);
                    // A start grants a run lease, so it needs the same permission as a renewal.
                    let suspected = self.ledger.suspicions().contains_key(&worker);
                    if is_held && self.membership.may_renew(now, suspected) {
                        out.push(Action::Start {
                            worker,
                            address,
                            task,
                            request,
                        });
                    } else {
                        unsent.push((worker, task, request.attempt));
                    }
                }
                DispatchAction::Command {
                    worker,
                    address,
                    command,
                    request,
                } => {
                    out.push(Action::Command {
                        worker,
                        address,
                        command,
                        request,
                    });
                }
            }
        }
        for (worker, task, attempt) in unsent {
            let error = Error::NotSent {
                address: worker.to_string(),
                reason: "the lease may not be used now".to_owned(),
            };
            let result = Err(StartError::NotSent(error));
            let mut ignored = Vec::new();
            self.dispatcher
                .start_answered(now, &worker, &task, attempt, result, &mut ignored);
        }
    }

    /// Tells the dispatcher which workers exist in this data centre. It ignores the entries of the
    /// workers that this host holds.
    fn refresh_workers(&mut self) {
        let others = self.backends_of(HostKind::Worker).map(|entry| {
            let rack = entry.rack.clone().unwrap_or_else(|| entry.name.clone());
            let mut view = WorkerView::new(entry.name.clone(), rack, crate::base::Size::ZERO);
            view.accepts_tasks = false;
            view
        });
        let others = others.collect();
        self.dispatcher.set_all_workers(others);
    }
}

fn backend_call(issued: Millis, resource: Resource, call: LeaseCall) -> Action {
    let Resource {
        name,
        address,
        kind,
    } = resource;
    match kind {
        HostKind::Worker => Action::WorkerLease {
            worker: name,
            address,
            call,
            issued,
        },
        _ => Action::InstanceLease {
            instance: name,
            address,
            call,
            issued,
        },
    }
}
