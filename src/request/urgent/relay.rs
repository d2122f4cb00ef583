//! Requests that this host relays to the home of their id.

use crate::base::{Millis, Name, Ran};

use super::types::{DispatchId, Refusal, Ticket, UrgentAction, UrgentAnswer, UrgentForward};
use super::{TableKey, UrgentRequest, UrgentRouter, remember_time};

/// Request whose home is another host, with the callers on this host that wait for it.
#[derive(Debug)]
pub(super) struct Relay {
    request: UrgentRequest,
    pub waiters: Vec<Ticket>,
    /// Unanswered message and the host that it was sent to.
    sent: Option<(DispatchId, Name)>,
    /// Whether an earlier attempt may have run, for instance at a home that was lost.
    may_have_run: bool,
    /// Whether the next message is a retry, which the retry budget must allow.
    is_retry: bool,
}

impl Relay {
    pub fn is_sent_to(&self, host: &Name) -> bool {
        self.sent.as_ref().is_some_and(|(_, to)| to == host)
    }
}

impl UrgentRouter {
    /// Relays the request of a caller, or adds the caller to the relay of its id.
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
            self.tickets.insert(ticket, TableKey::Relay(key.clone()));
            return;
        }
        self.insert_relay(now, key, request, vec![ticket], false, out);
    }

    /// Relays an id for `waiters`; `may_have_run` tells whether an earlier attempt may have run.
    pub(super) fn insert_relay(
        &mut self,
        now: Millis,
        key: &Name,
        request: UrgentRequest,
        waiters: Vec<Ticket>,
        may_have_run: bool,
        out: &mut Vec<UrgentAction>,
    ) {
        for ticket in &waiters {
            self.tickets.insert(*ticket, TableKey::Relay(key.clone()));
        }
        if let Some(relay) = self.relays.get_mut(key) {
            relay.waiters.extend(waiters);
            relay.may_have_run |= may_have_run;
            return;
        }
        let relay = Relay {
            request,
            waiters,
            sent: None,
            may_have_run,
            is_retry: false,
        };
        self.relays.insert(key.clone(), relay);
        self.send_relay(now, key, out);
    }

    /// Sends the relay to the present home of the id, unless an earlier message is unanswered.
    pub(super) fn send_relay(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
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
        let time_left = relay.request.deadline.since(now);
        if time_left == Millis(0) {
            return self.refuse_relay(now, key, Refusal::Expired, out);
        }
        let home = self.handover.home(now, key).clone();
        if self.handover.has_departed(&home) {
            // This host still leaves the id to `home`, which will not answer any more.
            self.relay_timers
                .insert((now + self.limits.retry_delay, key.clone()));
            return;
        }
        if home == self.host || self.runs.contains_key(key) {
            return self.convert_to_run(now, key, out);
        }
        if relay.is_retry && !self.budget.withdraw() {
            return self.refuse_relay(now, key, Refusal::RetriesExhausted, out);
        }
        relay.is_retry = false;
        let forward = UrgentForward {
            id: relay.request.id.clone(),
            customer: relay.request.customer.clone(),
            class: relay.request.class.clone(),
            deadline: time_left,
            hops: 1,
            attach: false,
            epoch: self.handover.epoch(&home),
            body: relay.request.body.clone(),
        };
        let dispatch = self.new_dispatch(TableKey::Relay(key.clone()));
        if let Some(relay) = self.relays.get_mut(key) {
            relay.sent = Some((dispatch, home.clone()));
        }
        out.push(UrgentAction::Forward {
            dispatch,
            host: home,
            forward,
        });
    }

    /// Handles the answer of the home; `None` if the connection was lost.
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
            relay.may_have_run = true;
            relay.is_retry = true;
            if !relay.request.idempotent {
                return self.refuse_relay(now, key, Refusal::Interrupted, out);
            }
            self.relay_timers
                .insert((now + self.limits.retry_delay, key.clone()));
            return;
        };
        if answer.is_misdirected() {
            self.relay_timers
                .insert((now + self.limits.retry_delay, key.clone()));
            return;
        }
        if answer.ran == Some(Ran::NotRun) && relay.may_have_run {
            return self.refuse_relay(now, key, Refusal::RetriesExhausted, out);
        }
        self.finish_relay(now, key, answer, out);
    }

    /// Treats an unanswered message to one of the `lost` hosts as lost.
    pub(super) fn recheck_relay(
        &mut self,
        now: Millis,
        key: &Name,
        lost: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(relay) = self.relays.get(key) else {
            return;
        };
        let Some((dispatch, host)) = &relay.sent else {
            return;
        };
        if lost.contains(host) {
            self.dispatches.remove(dispatch);
            self.relay_answered(now, key, None, out);
        }
    }

    /// Replaces the relay by a run, since this host has become the home of the id.
    fn convert_to_run(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
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
                self.insert_run(now, key, request, relay.may_have_run, relay.is_retry, out);
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
        let may_have_run = self.relays.get(key).is_some_and(|relay| relay.may_have_run);
        let ran = if may_have_run {
            Ran::Unknown
        } else {
            Ran::NotRun
        };
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
            self.recent_ids
                .insert(key, now + remember_time(&relay.request));
        }
        for ticket in relay.waiters {
            self.tickets.remove(&ticket);
            let answer = answer.clone();
            out.push(UrgentAction::Answer { ticket, answer });
        }
    }
}
