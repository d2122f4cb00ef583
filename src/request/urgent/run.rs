//! Requests that this host runs on its instances or forwards to a peer.

use crate::base::{Millis, Name, Ran};

use super::handover::LossEffect;
use super::types::{
    DispatchId, MessageEpoch, OwnedInstance, Refusal, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward,
};
use super::{AdmissionQueue, TableKey, UrgentRequest, UrgentRouter, refuse, remember_time};
use crate::request::admission::QueuePosition;

/// A caller or peer that waits for the answer of a run.
#[derive(Debug)]
pub(super) struct Waiter {
    pub ticket: Ticket,
    /// Peer that sent an `attach` message. Such a waiter alone does not cause an attempt.
    pub asked_by: Option<Name>,
    /// Home that forwarded the request to this host, and thus is not running it itself.
    pub home: Option<Name>,
}

/// State of a run.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits until the instances of a lost host have reported which ids they run.
    AwaitingReports,
    /// Waits until an earlier attempt is known to have ended.
    Blocked,
    /// Waits for the answer of a peer that was asked whether it is running the id.
    Asking { dispatch: DispatchId, host: Name },
    /// Waits for the retry delay before its next step. New runs also start in this phase.
    Paused,
    /// Waits for a free slot.
    Queued(QueuePosition),
    /// Was sent to an instance of this host.
    Sent {
        dispatch: DispatchId,
        instance: Name,
        at: Millis,
    },
    /// Was forwarded to a peer, to be run on one of its instances.
    Forwarded { dispatch: DispatchId, host: Name },
}

/// Request that is run by this host or by a peer on its behalf.
#[derive(Debug)]
pub(super) struct Run {
    pub request: UrgentRequest,
    pub waiters: Vec<Waiter>,
    pub phase: Phase,
    /// Whether a peer is the home of the id and forwarded the request to this host.
    pub has_remote_home: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Number of times that this host sent the request to an instance.
    pub attempts: u32,
    /// Whether the next attempt is a retry, which the retry budget must allow.
    pub is_retry: bool,
    /// Whether a peer refused the request; it is then not forwarded again.
    pub peer_refused: bool,
    /// Peers that answered that they are not running the id.
    pub ruled_out: Vec<Name>,
    /// Peer that may be running the id.
    pub possible_runner: Option<Name>,
    /// Instance that refused the latest attempt; others are preferred for the next one.
    pub refused_by: Option<Name>,
    /// Time of its entry in `run_timers`.
    pub timer: Option<Millis>,
}

impl Run {
    pub fn is_in_progress(&self) -> bool {
        let is_running = matches!(self.phase, Phase::Sent { .. } | Phase::Forwarded { .. });
        is_running || !self.waiters.is_empty()
    }

    /// Whether this host has yet to decide if it runs the id.
    pub fn is_undecided(&self) -> bool {
        matches!(
            self.phase,
            Phase::AwaitingReports | Phase::Asking { .. } | Phase::Paused
        )
    }

    /// Whether `home`, which forwarded the id to this host, can wait for this run.
    ///
    /// It must not if this run may in turn wait for `home`. `home_outranks` tells whether `home`
    /// precedes this host in the rendezvous order of the id.
    pub fn can_join(&self, home: &Name, home_outranks: bool) -> bool {
        match &self.phase {
            Phase::Queued(_) | Phase::Sent { .. } => true,
            Phase::Forwarded { host, .. } => host != home || !home_outranks,
            _ => false,
        }
    }

    /// Whether `peer` waits for this run; asking it would make the two hosts wait for each other.
    fn is_awaited_by(&self, peer: &Name) -> bool {
        let waits = |waiter: &Waiter| {
            waiter.asked_by.as_ref() == Some(peer) || waiter.home.as_ref() == Some(peer)
        };
        self.waiters.iter().any(waits)
    }

    /// Whether a waiter other than an asking peer wants the request run.
    pub fn needs_attempt(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.asked_by.is_none())
    }
}

impl UrgentRouter {
    pub(super) fn start_run(
        &mut self,
        now: Millis,
        key: &Name,
        request: UrgentRequest,
        out: &mut Vec<UrgentAction>,
    ) {
        self.insert_run(now, key, request, false, false, out);
    }

    pub(super) fn insert_run(
        &mut self,
        now: Millis,
        key: &Name,
        request: UrgentRequest,
        may_have_run: bool,
        is_retry: bool,
        out: &mut Vec<UrgentAction>,
    ) {
        self.tickets
            .insert(request.ticket, TableKey::Run(key.clone()));
        let run = Run {
            waiters: vec![Waiter {
                ticket: request.ticket,
                asked_by: None,
                home: forwarding_home(&request),
            }],
            phase: Phase::Paused,
            has_remote_home: request.hops >= 2,
            may_have_run,
            attempts: 0,
            is_retry,
            peer_refused: false,
            ruled_out: Vec::new(),
            possible_runner: None,
            refused_by: None,
            timer: None,
            request,
        };
        self.runs.insert(key.clone(), run);
        self.advance(now, key, out);
    }

    /// Adds a caller to the run of its id.
    pub(super) fn join_run(
        &mut self,
        key: &Name,
        request: UrgentRequest,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.request.class != request.class || run.request.body != request.body {
            return refuse(request.ticket, Refusal::Conflict, Ran::NotRun, out);
        }
        self.tickets
            .insert(request.ticket, TableKey::Run(key.clone()));
        run.waiters.push(Waiter {
            ticket: request.ticket,
            asked_by: None,
            home: forwarding_home(&request),
        });
        if matches!(run.phase, Phase::Queued(_)) {
            return;
        }
        run.request.deadline = run.request.deadline.max(request.deadline);
        if matches!(run.phase, Phase::AwaitingReports | Phase::Blocked) {
            let deadline = run.request.deadline;
            self.schedule(key, deadline);
        }
    }

    /// Takes the next step of a run that is not queued, sent or forwarded.
    pub(super) fn advance(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if let Phase::Asking { dispatch, .. } = &run.phase {
            self.dispatches.remove(dispatch);
        }
        if self.handover.is_blocked(key) {
            run.may_have_run = true;
            return self.await_report(key, Phase::Blocked);
        }
        if let Some(peer) = run.possible_runner.clone() {
            if self.handover.awaits_reports(&peer) {
                return self.await_report(key, Phase::Blocked);
            }
            if self.handover.is_live(&peer) && !run.is_awaited_by(&peer) {
                return self.ask_peer(now, key, peer, out);
            }
            run.possible_runner = None;
        }
        if !run.has_remote_home {
            let window = self.limits.ask_window.max(remember_time(&run.request));
            match self
                .handover
                .loss_effect(now, key, window, self.instances.usable_since())
            {
                LossEffect::AwaitingReports => {
                    return self.await_report(key, Phase::AwaitingReports);
                }
                LossEffect::RecentIdsLost if !run.request.idempotent => {
                    let answer = UrgentAnswer::refusal(Refusal::RecentIdsLost, Ran::Unknown);
                    return self.finish_run(now, key, answer, out);
                }
                _ => {}
            }
            let mut peers = self.handover.peers_to_ask(now, key, window).into_iter();
            if let Some(peer) = peers.find(|p| !run.ruled_out.contains(p) && !run.is_awaited_by(p))
            {
                return self.ask_peer(now, key, peer, out);
            }
        }
        self.start_attempt(now, key, out);
    }

    /// Starts an attempt. No other attempt of the id may be running.
    fn start_attempt(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if !run.needs_attempt() {
            return self.refuse_run(now, key, Refusal::NotAttached, out);
        }
        if run.may_have_run && !run.request.idempotent {
            return self.refuse_run(now, key, Refusal::Interrupted, out);
        }
        if run.request.deadline <= now {
            return self.refuse_run(now, key, Refusal::Expired, out);
        }
        if run.is_retry && !self.budget.withdraw() {
            return self.refuse_run(now, key, Refusal::RetriesExhausted, out);
        }
        run.is_retry = false;
        self.place_run(now, key, out);
    }

    /// Sends the request to an instance, forwards it to a peer, queues it or refuses it.
    fn place_run(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let service = run.request.service.clone();
        let limits = &self.limits;
        let queues = self.queues.entry(service.clone());
        let queue =
            queues.or_insert_with(|| AdmissionQueue::new(limits.max_queued, limits.assumed_mean));
        let instance = self.instances.pick(now, &service, run.refused_by.as_ref());
        if let Some(instance) = instance.filter(|_| queue.is_empty()).cloned() {
            return self.send_run(now, key, &instance, out);
        }
        let (slots, free) = self.instances.slots(now, &service);
        let local_wait = queue.expected_wait(slots, free);
        if !run.has_remote_home && !run.peer_refused {
            let time_left = run.request.deadline.since(now).0 as f64;
            let handover = &self.handover;
            let best_peer = self
                .peer_loads
                .shortest_wait(&service, |host| handover.is_live(host));
            if let Some((peer, wait)) = best_peer {
                let wait = wait + limits.forward_cost.0 as f64;
                if wait < local_wait && wait <= time_left {
                    let peer = peer.clone();
                    return self.forward_run(now, key, peer, out);
                }
            }
        }
        let deadline = run.request.deadline;
        let takeover_possible = slots == 0
            && self
                .takeovers
                .may_be_in_progress(now, &service, limits.takeover_time);
        let queued = if (run.attempts > 0 && slots > 0) || takeover_possible {
            queue.requeue(now, deadline, key.clone())
        } else {
            queue.offer(now, deadline, slots, free, key.clone())
        };
        match queued {
            Ok(queue_position) => self.set_phase(key, Phase::Queued(queue_position)),
            Err(_) => self.refuse_run(now, key, Refusal::Overloaded, out),
        }
    }

    pub(super) fn send_run(
        &mut self,
        now: Millis,
        key: &Name,
        instance: &OwnedInstance,
        out: &mut Vec<UrgentAction>,
    ) {
        let dispatch = self.new_dispatch(TableKey::Run(key.clone()));
        let phase = Phase::Sent {
            dispatch,
            instance: instance.name.clone(),
            at: now,
        };
        self.set_phase(key, phase);
        self.instances.start_attempt(&instance.name, key);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.attempts += 1;
        out.push(UrgentAction::Send {
            dispatch,
            instance: instance.name.clone(),
            address: instance.address.clone(),
            token: instance.token,
            key: key.clone(),
            deadline: run.request.deadline.since(now),
            body: run.request.body.clone(),
        });
    }

    fn forward_run(&mut self, now: Millis, key: &Name, host: Name, out: &mut Vec<UrgentAction>) {
        let dispatch = self.new_dispatch(TableKey::Run(key.clone()));
        let phase = Phase::Forwarded {
            dispatch,
            host: host.clone(),
        };
        self.set_phase(key, phase);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        self.peer_loads.count_forward(&run.request.service, &host);
        let epoch = self.handover.epoch(&host);
        let forward = forward_message(now, &run.request, epoch, false);
        out.push(UrgentAction::Forward {
            dispatch,
            host,
            forward,
        });
    }

    /// Handles the expired timer of a run.
    pub(super) fn run_timer_expired(
        &mut self,
        now: Millis,
        key: &Name,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.timer = None;
        if run.request.deadline <= now && !run.waiters.is_empty() {
            let answer = UrgentAnswer::refusal(Refusal::Expired, self.ran(key));
            self.answer_waiters(key, &answer, out);
        }
        match self.runs.get(key).map(|run| &run.phase) {
            Some(Phase::Paused) => self.advance(now, key, out),
            Some(Phase::AwaitingReports) if !self.needs_attempt(key) => {
                self.refuse_run(now, key, Refusal::Expired, out);
            }
            _ => {}
        }
    }

    /// Continues a run after the live hosts changed; `lost` lists those that are no longer live.
    pub(super) fn recheck_run(
        &mut self,
        now: Millis,
        key: &Name,
        lost: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.ruled_out.retain(|host| !lost.contains(host));
        match &run.phase {
            Phase::Forwarded { dispatch, host } | Phase::Asking { dispatch, host }
                if lost.contains(host) =>
            {
                self.dispatches.remove(dispatch);
                self.run_peer_answered(now, key, None, out);
            }
            Phase::AwaitingReports if *self.handover.home(now, key) != self.host => {
                self.convert_to_relay(now, key, out);
            }
            Phase::AwaitingReports | Phase::Blocked => self.advance(now, key, out),
            _ => {}
        }
    }

    pub(super) fn cancel_run(
        &mut self,
        now: Millis,
        key: &Name,
        ticket: Ticket,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.waiters.retain(|waiter| waiter.ticket != ticket);
        if run.needs_attempt() {
            return;
        }
        match &run.phase {
            Phase::Queued(_) | Phase::AwaitingReports => {
                self.refuse_run(now, key, Refusal::NotAttached, out);
            }
            _ => {}
        }
    }

    pub(super) fn needs_attempt(&self, key: &Name) -> bool {
        self.runs.get(key).is_some_and(Run::needs_attempt)
    }

    /// Enters `phase`, in which the run waits for a report of an instance, and sets a timer to
    /// answer the callers at the deadline.
    pub(super) fn await_report(&mut self, key: &Name, phase: Phase) {
        self.set_phase(key, phase);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if !run.waiters.is_empty() {
            let deadline = run.request.deadline;
            self.schedule(key, deadline);
        }
    }

    /// Postpones the next step by the retry delay.
    pub(super) fn pause(&mut self, now: Millis, key: &Name) {
        self.set_phase(key, Phase::Paused);
        self.schedule(key, now + self.limits.retry_delay);
    }

    /// Changes the phase, and removes the run from its queue and its timer if it has them.
    pub(super) fn set_phase(&mut self, key: &Name, phase: Phase) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if let Phase::Queued(queue_position) = &run.phase {
            let queue = self.queues.get_mut(&run.request.service);
            queue.and_then(|queue| queue.remove(*queue_position));
        }
        if matches!(phase, Phase::AwaitingReports | Phase::Blocked) {
            self.waiting.insert(key.clone());
        } else {
            self.waiting.remove(key);
        }
        run.phase = phase;
        let timer = run.timer.take();
        self.unschedule(key, timer);
    }

    pub(super) fn schedule(&mut self, key: &Name, at: Millis) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let earlier = run.timer.replace(at);
        self.unschedule(key, earlier);
        self.run_timers.insert((at, key.clone()));
    }

    pub(super) fn unschedule(&mut self, key: &Name, timer: Option<Millis>) {
        if let Some(at) = timer {
            self.run_timers.remove(&(at, key.clone()));
        }
    }
}

/// The home that forwarded the request to this host, if one did.
fn forwarding_home(request: &UrgentRequest) -> Option<Name> {
    request.forwarded_by.clone().filter(|_| request.hops >= 2)
}

/// Message that asks a peer to run the request or, with `attach`, whether it is running it.
pub(super) fn forward_message(
    now: Millis,
    request: &UrgentRequest,
    epoch: MessageEpoch,
    attach: bool,
) -> UrgentForward {
    UrgentForward {
        id: request.id.clone(),
        customer: request.customer.clone(),
        class: request.class.clone(),
        deadline: request.deadline.since(now),
        hops: 2,
        attach,
        epoch,
        body: if attach {
            Default::default()
        } else {
            request.body.clone()
        },
    }
}
