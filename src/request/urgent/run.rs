//! Requests that this host runs or has a peer run.

use crate::base::{Millis, Name, Ran};

use super::handover::Hold;
use super::types::{
    DispatchId, MessageEpoch, OwnedInstance, Refusal, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward,
};
use super::{AdmissionQueue, Owner, UrgentRequest, UrgentRouter, memory, refuse};
use crate::request::admission::QueuePosition;

/// A caller or a peer that waits for an id.
#[derive(Debug)]
pub(super) struct Waiter {
    pub ticket: Ticket,
    /// The peer that asked with `attach`; such a waiter does not cause an attempt.
    pub asking: Option<Name>,
    /// The peer that sent the id here to be run, and so is not running it itself.
    pub sender: Option<Name>,
}

#[derive(Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits until the instances of a lost host are settled.
    Held,
    /// Waits until an earlier attempt is known to have ended.
    Blocked,
    /// Asks a peer whether it is running the id.
    Asking {
        dispatch: DispatchId,
        host: Name,
    },
    /// Asks again later.
    Paused,
    Queued(QueuePosition),
    Sent {
        dispatch: DispatchId,
        instance: Name,
        at: Millis,
    },
    Forwarded {
        dispatch: DispatchId,
        host: Name,
    },
}

#[derive(Debug)]
pub(super) struct Run {
    pub request: UrgentRequest,
    pub waiters: Vec<Waiter>,
    pub phase: Phase,
    /// Whether a peer is the id's home.
    pub executor: bool,
    /// Whether an attempt may have run.
    pub attempted: bool,
    /// Attempts sent to instances.
    pub sends: u32,
    /// Whether the next attempt is a retry.
    pub charge: bool,
    /// A peer refused the request; it is not forwarded again.
    pub stay: bool,
    /// Peers that answered that they are not running the id.
    pub asked: Vec<Name>,
    /// Peer that may be running the id.
    pub uncertain: Option<Name>,
    /// Instance that refused the latest attempt.
    pub avoid: Option<Name>,
    pub timer: Option<Millis>,
}

impl Run {
    pub fn is_in_progress(&self) -> bool {
        let is_running = matches!(self.phase, Phase::Sent { .. } | Phase::Forwarded { .. });
        is_running || !self.waiters.is_empty()
    }

    /// Whether it is not settled that this host runs the id.
    pub fn is_idle(&self) -> bool {
        matches!(
            self.phase,
            Phase::Held | Phase::Asking { .. } | Phase::Paused
        )
    }

    /// Whether `home`, which asks this host to run the id, can wait for this run.
    ///
    /// Otherwise each of the two could wait for the other.
    pub fn can_join(&self, home: &Name, outranks: bool) -> bool {
        match &self.phase {
            Phase::Queued(_) | Phase::Sent { .. } => true,
            Phase::Forwarded { host, .. } => host != home || !outranks,
            _ => false,
        }
    }

    /// Whether `peer` waits for this run, so that it must not be asked in turn.
    fn is_asked_by(&self, peer: &Name) -> bool {
        let waits = |waiter: &Waiter| {
            waiter.asking.as_ref() == Some(peer) || waiter.sender.as_ref() == Some(peer)
        };
        self.waiters.iter().any(waits)
    }

    pub fn is_wanted(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.asking.is_none())
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
        attempted: bool,
        charge: bool,
        out: &mut Vec<UrgentAction>,
    ) {
        self.tickets.insert(request.ticket, Owner::Run(key.clone()));
        let run = Run {
            waiters: vec![Waiter {
                ticket: request.ticket,
                asking: None,
                sender: sender(&request),
            }],
            phase: Phase::Paused,
            executor: request.hops >= 2,
            attempted,
            sends: 0,
            charge,
            stay: false,
            asked: Vec::new(),
            uncertain: None,
            avoid: None,
            timer: None,
            request,
        };
        self.runs.insert(key.clone(), run);
        self.advance(now, key, out);
    }

    /// Adds a caller to an id that is in progress.
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
        self.tickets.insert(request.ticket, Owner::Run(key.clone()));
        run.waiters.push(Waiter {
            ticket: request.ticket,
            asking: None,
            sender: sender(&request),
        });
        if matches!(run.phase, Phase::Queued(_)) {
            return;
        }
        run.request.deadline = run.request.deadline.max(request.deadline);
        if matches!(run.phase, Phase::Held | Phase::Blocked) {
            let deadline = run.request.deadline;
            self.schedule(key, deadline);
        }
    }

    /// Decides what an id that is not queued, running or forwarded does next.
    pub(super) fn advance(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if let Phase::Asking { dispatch, .. } = &run.phase {
            self.dispatches.remove(dispatch);
        }
        if self.handover.is_blocked(key) {
            run.attempted = true;
            return self.wait(key, Phase::Blocked);
        }
        if let Some(peer) = run.uncertain.clone() {
            if self.handover.is_unsettled(&peer) {
                return self.wait(key, Phase::Blocked);
            }
            if self.handover.is_live(&peer) && !run.is_asked_by(&peer) {
                return self.ask(now, key, peer, out);
            }
            run.uncertain = None;
        }
        if !run.executor {
            let window = self.limits.handover.max(memory(&run.request));
            match self
                .handover
                .hold(now, key, window, self.instances.presence())
            {
                Hold::Unsettled => return self.wait(key, Phase::Held),
                Hold::Forgotten if !run.request.idempotent => {
                    let answer = UrgentAnswer::refusal(Refusal::Forgotten, Ran::Unknown);
                    return self.finish(now, key, answer, out);
                }
                _ => {}
            }
            let mut peers = self.handover.peers_to_ask(now, key, window).into_iter();
            if let Some(peer) = peers.find(|p| !run.asked.contains(p) && !run.is_asked_by(p)) {
                return self.ask(now, key, peer, out);
            }
        }
        self.attempt(now, key, out);
    }

    /// Starts an attempt, given that no other one is running.
    fn attempt(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if !run.is_wanted() {
            return self.refuse_run(now, key, Refusal::NotAttached, out);
        }
        if run.attempted && !run.request.idempotent {
            return self.refuse_run(now, key, Refusal::Interrupted, out);
        }
        if run.request.deadline <= now {
            return self.refuse_run(now, key, Refusal::Expired, out);
        }
        if run.charge && !self.budget.withdraw() {
            return self.refuse_run(now, key, Refusal::RetriesExhausted, out);
        }
        run.charge = false;
        self.place(now, key, out);
    }

    /// Sends, forwards or queues the request, or refuses it.
    fn place(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let service = run.request.service.clone();
        let limits = &self.limits;
        let queues = self.queues.entry(service.clone());
        let queue = queues.or_insert_with(|| AdmissionQueue::new(limits.max_queued, limits.mean));
        let instance = self.instances.pick(now, &service, run.avoid.as_ref());
        if let Some(instance) = instance.filter(|_| queue.is_empty()).cloned() {
            return self.send(now, key, &instance, out);
        }
        let (slots, free) = self.instances.slots(now, &service);
        let local = queue.wait(slots, free);
        if !run.executor && !run.stay {
            let left = run.request.deadline.since(now).0 as f64;
            let handover = &self.handover;
            let best = self.peers.best(&service, |host| handover.is_live(host));
            if let Some((peer, wait)) = best {
                let wait = wait + limits.hop.0 as f64;
                if wait < local && wait <= left {
                    let peer = peer.clone();
                    return self.forward(now, key, peer, out);
                }
            }
        }
        let deadline = run.request.deadline;
        let is_changing = slots == 0 && self.changing.is_recent(now, &service, limits.takeover);
        let queued = if (run.sends > 0 && slots > 0) || is_changing {
            queue.requeue(now, deadline, key.clone())
        } else {
            queue.offer(now, deadline, slots, free, key.clone())
        };
        match queued {
            Ok(place) => self.set_phase(key, Phase::Queued(place)),
            Err(_) => self.refuse_run(now, key, Refusal::Overloaded, out),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Millis,
        key: &Name,
        instance: &OwnedInstance,
        out: &mut Vec<UrgentAction>,
    ) {
        let dispatch = self.new_dispatch(Owner::Run(key.clone()));
        let phase = Phase::Sent {
            dispatch,
            instance: instance.name.clone(),
            at: now,
        };
        self.set_phase(key, phase);
        self.instances.start(&instance.name, key);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.sends += 1;
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

    fn forward(&mut self, now: Millis, key: &Name, host: Name, out: &mut Vec<UrgentAction>) {
        let dispatch = self.new_dispatch(Owner::Run(key.clone()));
        let phase = Phase::Forwarded {
            dispatch,
            host: host.clone(),
        };
        self.set_phase(key, phase);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        self.peers.sent(&run.request.service, &host);
        let epoch = self.handover.epoch(&host);
        let forward = message(now, &run.request, epoch, false);
        out.push(UrgentAction::Forward {
            dispatch,
            host,
            forward,
        });
    }

    /// A timer of the run has passed.
    pub(super) fn run_due(&mut self, now: Millis, key: &Name, out: &mut Vec<UrgentAction>) {
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
            Some(Phase::Held) if !self.is_wanted(key) => {
                self.refuse_run(now, key, Refusal::Expired, out);
            }
            _ => {}
        }
    }

    /// Reconsiders a run after the hosts changed.
    pub(super) fn review_run(
        &mut self,
        now: Millis,
        key: &Name,
        gone: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.asked.retain(|host| !gone.contains(host));
        match &run.phase {
            Phase::Forwarded { dispatch, host } | Phase::Asking { dispatch, host }
                if gone.contains(host) =>
            {
                self.dispatches.remove(dispatch);
                self.run_peer_answered(now, key, None, out);
            }
            Phase::Held if *self.handover.home(now, key) != self.host => {
                self.relay_run(now, key, out);
            }
            Phase::Held | Phase::Blocked => self.advance(now, key, out),
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
        if run.is_wanted() {
            return;
        }
        match &run.phase {
            Phase::Queued(_) | Phase::Held => {
                self.refuse_run(now, key, Refusal::NotAttached, out);
            }
            _ => {}
        }
    }

    pub(super) fn is_wanted(&self, key: &Name) -> bool {
        self.runs.get(key).is_some_and(Run::is_wanted)
    }

    /// Waits for a report, until the deadline of the callers.
    pub(super) fn wait(&mut self, key: &Name, phase: Phase) {
        self.set_phase(key, phase);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if !run.waiters.is_empty() {
            let deadline = run.request.deadline;
            self.schedule(key, deadline);
        }
    }

    pub(super) fn pause(&mut self, now: Millis, key: &Name) {
        self.set_phase(key, Phase::Paused);
        self.schedule(key, now + self.limits.delay);
    }

    pub(super) fn set_phase(&mut self, key: &Name, phase: Phase) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if let Phase::Queued(place) = &run.phase {
            let queue = self.queues.get_mut(&run.request.service);
            queue.and_then(|queue| queue.remove(*place));
        }
        if matches!(phase, Phase::Held | Phase::Blocked) {
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

/// The peer that sent a request here to be run.
fn sender(request: &UrgentRequest) -> Option<Name> {
    request.forwarded_by.clone().filter(|_| request.hops >= 2)
}

/// The message that asks a peer to run a request, or whether it is running it.
pub(super) fn message(
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
