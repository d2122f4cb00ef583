//! Requests that another host runs, on their way to their home.

use crate::base::{Millis, Name, Ran};

use super::types::{DispatchId, Refusal, Ticket, UrgentAction, UrgentAnswer, UrgentForward};
use super::{Owner, UrgentRequest, UrgentRouter, memory};

/// Callers on this host that wait for an id whose home is another host.
#[derive(Debug)]
pub(super) struct Relay {
    request: UrgentRequest,
    pub waiters: Vec<Ticket>,
    /// Open message and the host it went to.
    sent: Option<(DispatchId, Name)>,
    /// Whether a home that was lost may have run the request.
    attempted: bool,
    /// Whether the next message is a retry.
    charge: bool,
}

impl UrgentRouter {
    pub(super) fn start_relay(
        &mut self,
        now: Millis,
        key: &Name,
        request: UrgentRequest,
        out: &mut Vec<UrgentAction>,
    ) {
        let ticket = request.ticket;
        if let Some(relay) = self.relays.get_mut(key) {
            if relay.request.class != request.class || relay.request.body != request.body {
                return super::refuse(ticket, Refusal::Conflict, Ran::NotRun, out);
            }
            relay.waiters.push(ticket);
            relay.request.deadline = relay.request.deadline.max(request.deadline);
            self.tickets.insert(ticket, Owner::Relay(key.clone()));
            return;
        }
        self.insert_relay(now, key, request, vec![ticket], false, out);
    }

    /// Relays `key` for callers whose request may have been `attempted` before.
    pub(super) fn insert_relay(
        &mut self,
        now: Millis,
        key: &Name,
        request: UrgentRequest,
        waiters: Vec<Ticket>,
        attempted: bool,
        out: &mut Vec<UrgentAction>,
    ) {
        for ticket in &waiters {
            self.tickets.insert(*ticket, Owner::Relay(key.clone()));
        }
        if let Some(relay) = self.relays.get_mut(key) {
            relay.waiters.extend(waiters);
            relay.attempted |= attempted;
            return;
        }
        let relay = Relay {
            request,
            waiters,
            sent: None,
            attempted,
            charge: false,
        };
        self.relays.insert(key.clone(), relay);
        self.route_relay(now, key, out);
    }

    /// Sends an idle relay to the id's present home.
    pub(super) fn route_relay(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(relay) = self.relays.get_mut(key) else {
            return;
        };
        if relay.sent.is_some() {
            return;
        }
        if relay.waiters.is_empty() {
            self.relays.remove(key);
            return;
        }
        let left = relay.request.deadline.since(now);
        if left == Millis(0) {
            return self.refuse_relay(now, key, Refusal::Expired, out);
        }
        let home = self.handover.home(now, key).clone();
        if home == self.host || self.runs.contains_key(key) {
            return self.run_relay(now, key, out);
        }
        if relay.charge && !self.budget.withdraw() {
            return self.refuse_relay(now, key, Refusal::RetriesExhausted, out);
        }
        relay.charge = false;
        let forward = UrgentForward {
            id: relay.request.id.clone(),
            customer: relay.request.customer.clone(),
            class: relay.request.class.clone(),
            deadline: left,
            hops: 1,
            attach: false,
            epoch: self.handover.epoch(&home),
            body: relay.request.body.clone(),
        };
        let dispatch = self.new_dispatch(Owner::Relay(key.clone()));
        if let Some(relay) = self.relays.get_mut(key) {
            relay.sent = Some((dispatch, home.clone()));
        }
        out.push(UrgentAction::Forward {
            dispatch,
            host: home,
            forward,
        });
    }

    pub(super) fn relay_answered(
        &mut self,
        now: Millis,
        key: &Name,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(relay) = self.relays.get_mut(key) else {
            return;
        };
        relay.sent = None;
        let Some(answer) = answer else {
            relay.attempted = true;
            relay.charge = true;
            if !relay.request.idempotent {
                return self.refuse_relay(now, key, Refusal::Interrupted, out);
            }
            self.relay_timers
                .insert((now + self.limits.delay, key.clone()));
            return;
        };
        if answer.is_misdirected() {
            self.relay_timers
                .insert((now + self.limits.delay, key.clone()));
            return;
        }
        if answer.ran == Some(Ran::NotRun) && relay.attempted {
            return self.refuse_relay(now, key, Refusal::RetriesExhausted, out);
        }
        self.finish_relay(now, key, answer, out);
    }

    /// Reconsiders a relay after the hosts changed.
    pub(super) fn review_relay(
        &mut self,
        now: Millis,
        key: &Name,
        gone: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(relay) = self.relays.get(key) else {
            return;
        };
        let Some((dispatch, host)) = &relay.sent else {
            return;
        };
        if gone.contains(host) {
            self.dispatches.remove(dispatch);
            self.relay_answered(now, key, None, out);
        }
    }

    /// This host has become the id's home.
    fn run_relay(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(relay) = self.relays.remove(key) else {
            return;
        };
        for ticket in relay.waiters {
            let request = UrgentRequest {
                ticket,
                ..relay.request.clone()
            };
            if self.runs.contains_key(key) {
                self.join_run(key, request, out);
            } else {
                self.insert_run(now, key, request, relay.attempted, relay.charge, out);
            }
        }
    }

    fn refuse_relay(
        &mut self,
        now: Millis,
        key: &Name,
        refusal: Refusal,
        out: &mut Vec<UrgentAction>,
    ) {
        let attempted = self.relays.get(key).is_some_and(|relay| relay.attempted);
        let ran = if attempted { Ran::Unknown } else { Ran::NotRun };
        self.finish_relay(now, key, UrgentAnswer::refusal(refusal, ran), out);
    }

    fn finish_relay(
        &mut self,
        now: Millis,
        key: &Name,
        answer: UrgentAnswer,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(relay) = self.relays.remove(key) else {
            return;
        };
        if !relay.request.idempotent && answer.ran != Some(Ran::NotRun) {
            self.recent.insert(key, now + memory(&relay.request));
        }
        for ticket in relay.waiters {
            self.tickets.remove(&ticket);
            let answer = answer.clone();
            out.push(UrgentAction::Answer { ticket, answer });
        }
    }
}
