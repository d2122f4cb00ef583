//! Questions between hosts: whether a peer is running an id.

use crate::base::{Millis, Name, Ran};

use super::run::{Phase, Waiter, message};
use super::types::{Refusal, UrgentAction, UrgentAnswer};
use super::{Owner, UrgentRequest, UrgentRouter, refuse};

impl UrgentRouter {
    /// Answers a peer that asks whether this host is running the id.
    pub(super) fn attach(
        &mut self,
        now: Millis,
        key: &Name,
        request: UrgentRequest,
        out: &mut Vec<UrgentAction>,
    ) {
        let ticket = request.ticket;
        let Some(peer) = request.forwarded_by else {
            return refuse(ticket, Refusal::Misdirected, Ran::NotRun, out);
        };
        let Some(run) = self.runs.get_mut(key) else {
            self.handover.cede(key, &peer, now + self.limits.cede);
            return refuse(ticket, Refusal::NotAttached, Ran::NotRun, out);
        };
        let is_idle = run.is_idle();
        let asks_back = run.uncertain.as_ref() == Some(&peer);
        if is_idle && !asks_back {
            if run.uncertain.is_some() || !self.handover.outranks(key, &peer) {
                return refuse(ticket, Refusal::Misdirected, Ran::NotRun, out);
            }
            self.yield_run(now, key, &peer, out);
            return refuse(ticket, Refusal::NotAttached, Ran::NotRun, out);
        }
        self.tickets.insert(ticket, Owner::Run(key.clone()));
        run.waiters.push(Waiter {
            ticket,
            asking: Some(peer),
            sender: None,
        });
        if asks_back {
            self.advance(now, key, out);
        }
    }

    pub(super) fn ask(&mut self, now: Millis, key: &Name, host: Name, out: &mut Vec<UrgentAction>) {
        let dispatch = self.new_dispatch(Owner::Run(key.clone()));
        let phase = Phase::Asking {
            dispatch,
            host: host.clone(),
        };
        self.set_phase(key, phase);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let epoch = self.handover.epoch(&host);
        let forward = message(now, &run.request, epoch, true);
        out.push(UrgentAction::Forward {
            dispatch,
            host,
            forward,
        });
    }

    /// Gives an id that is not running here to `peer`, which comes first in its order.
    pub(super) fn yield_run(
        &mut self,
        now: Millis,
        key: &Name,
        peer: &Name,
        out: &mut Vec<UrgentAction>,
    ) {
        self.handover.cede(key, peer, now + self.limits.cede);
        self.relay_run(now, key, out);
    }

    /// Turns a run into a relay to the id's present home.
    pub(super) fn relay_run(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        self.set_phase(key, Phase::Paused);
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.unschedule(key, run.timer);
        let mut callers = Vec::new();
        for waiter in run.waiters {
            self.tickets.remove(&waiter.ticket);
            if waiter.asking.is_some() {
                refuse(waiter.ticket, Refusal::NotAttached, Ran::NotRun, out);
            } else {
                callers.push(waiter.ticket);
            }
        }
        self.insert_relay(now, key, run.request, callers, run.attempted, out);
    }

    pub(super) fn question_answered(
        &mut self,
        now: Millis,
        key: &Name,
        host: Name,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(answer) = answer else {
            run.uncertain = Some(host);
            return self.pause(now, key);
        };
        match answer.ran {
            None => self.finish(now, key, answer, out),
            Some(Ran::NotRun) if answer.is_misdirected() => self.pause(now, key),
            Some(Ran::NotRun) => {
                if run.uncertain.as_ref() == Some(&host) {
                    run.uncertain = None;
                }
                run.asked.push(host);
                self.advance(now, key, out);
            }
            Some(Ran::Unknown) => self.peer_unsure(now, key, host, answer, out),
        }
    }

    /// A peer answered that the request may be running there.
    pub(super) fn peer_unsure(
        &mut self,
        now: Millis,
        key: &Name,
        host: Name,
        answer: UrgentAnswer,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if !run.request.idempotent {
            return self.finish(now, key, answer, out);
        }
        run.attempted = true;
        run.charge = true;
        run.uncertain = Some(host);
        self.answer_waiters(key, &answer, out);
        self.pause(now, key);
    }
}
