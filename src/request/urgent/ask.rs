//! Questions between hosts (`attach` messages): whether a peer is running an id.

use crate::base::{Millis, Name, Ran};

use super::run::{Phase, Waiter, forward_message};
use super::types::{Refusal, UrgentAction, UrgentAnswer};
use super::{TableKey, UrgentRequest, UrgentRouter, refuse};

impl UrgentRouter {
    /// Handles the question of a peer whether this host is running the id.
    ///
    /// If it is, the peer gets the answer of the run; if not, this host leaves the id to the peer
    /// for `override_time`. While it is undecided, it refuses unless the peer precedes it in the
    /// rendezvous order of the id.
    pub(super) fn answer_attach(
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
            self.handover
                .override_home(key, &peer, now + self.limits.override_time);
            return refuse(ticket, Refusal::NotAttached, Ran::NotRun, out);
        };
        let is_undecided = run.is_undecided();
        let is_mutual = run.possible_runner.as_ref() == Some(&peer);
        if is_undecided && !is_mutual {
            if run.possible_runner.is_some() || !self.handover.outranks(key, &peer) {
                return refuse(ticket, Refusal::Misdirected, Ran::NotRun, out);
            }
            self.hand_over_run(now, key, &peer, out);
            return refuse(ticket, Refusal::NotAttached, Ran::NotRun, out);
        }
        self.tickets.insert(ticket, TableKey::Run(key.clone()));
        run.waiters.push(Waiter {
            ticket,
            asked_by: Some(peer),
            home: None,
        });
        if is_mutual {
            self.advance(now, key, out);
        }
    }

    /// Asks `host` whether it is running the id.
    pub(super) fn ask_peer(
        &mut self,
        now: Millis,
        key: &Name,
        host: Name,
        out: &mut Vec<UrgentAction>,
    ) {
        let dispatch = self.new_dispatch(TableKey::Run(key.clone()));
        let phase = Phase::Asking {
            dispatch,
            host: host.clone(),
        };
        self.set_phase(key, phase);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let epoch = self.handover.epoch(&host);
        let forward = forward_message(now, &run.request, epoch, true);
        out.push(UrgentAction::Forward {
            dispatch,
            host,
            forward,
        });
    }

    /// Leaves an id that is not running here to `peer`, which precedes this host in its rendezvous
    /// order.
    pub(super) fn hand_over_run(
        &mut self,
        now: Millis,
        key: &Name,
        peer: &Name,
        out: &mut Vec<UrgentAction>,
    ) {
        self.handover
            .override_home(key, peer, now + self.limits.override_time);
        self.convert_to_relay(now, key, out);
    }

    /// Replaces a run by a relay to the present home of the id.
    pub(super) fn convert_to_relay(
        &mut self,
        now: Millis,
        key: &Name,
        out: &mut Vec<UrgentAction>,
    ) {
        self.set_phase(key, Phase::Paused);
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.unschedule(key, run.timer);
        let mut callers = Vec::new();
        for waiter in run.waiters {
            self.tickets.remove(&waiter.ticket);
            if waiter.asked_by.is_some() {
                refuse(waiter.ticket, Refusal::NotAttached, Ran::NotRun, out);
            } else {
                callers.push(waiter.ticket);
            }
        }
        self.insert_relay(now, key, run.request, callers, run.may_have_run, out);
    }

    /// Handles the answer to a question; `None` if the connection was lost.
    pub(super) fn peer_question_answered(
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
            run.possible_runner = Some(host);
            return self.pause(now, key);
        };
        match answer.ran {
            None => self.finish_run(now, key, answer, out),
            Some(Ran::NotRun) if answer.is_misdirected() => self.pause(now, key),
            Some(Ran::NotRun) => {
                if run.possible_runner.as_ref() == Some(&host) {
                    run.possible_runner = None;
                }
                run.ruled_out.push(host);
                self.advance(now, key, out);
            }
            Some(Ran::Unknown) => self.peer_outcome_unknown(now, key, host, answer, out),
        }
    }

    /// Handles the answer of a peer that the request may be running there.
    pub(super) fn peer_outcome_unknown(
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
            return self.finish_run(now, key, answer, out);
        }
        run.may_have_run = true;
        run.is_retry = true;
        run.possible_runner = Some(host);
        self.answer_waiters(key, &answer, out);
        self.pause(now, key);
    }
}
