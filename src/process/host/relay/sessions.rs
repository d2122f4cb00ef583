//! The relay's side: orders under way for owners, and the answers that they get.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::replies::{BatchReplies, Outcome};
use super::{BatchNumber, OrderBatch, OrderOrigin, RelayedAnswer, RelayedOrder, SessionId};
use crate::base::Millis;
use crate::connection::{CallError, WorkerAnswer, WorkerCall};
use crate::process::host::host::{Host, HostAction};
use crate::process::host::message::PeerReply;
use crate::process::shard::Now;

/// Shortest time between two replies with answers of workers in a session, in milliseconds.
const REPLY_INTERVAL: Millis = Millis(20);
/// How long a call of the owner is held while no worker answers, in milliseconds.
const HOLD_TIME: Millis = Millis(150);
/// A session is forgotten if its owner has not called for this long, in milliseconds.
const SESSION_TIME: Millis = Millis(5_000);
/// Most answers in one reply, so that its size is bounded.
const MAX_ANSWERS: usize = 256;
/// Sessions at the same time. There is one owner, but each failed call begins a new session.
const MAX_SESSIONS: usize = 64;

/// A call of the owner that waits for a reply.
#[derive(Debug)]
struct HeldCall {
    ticket: u64,
    arrived: Millis,
    /// Number of the batch, if it has one.
    number: Option<u64>,
}

/// One owner's orders through this host.
#[derive(Debug)]
struct Session {
    calls: VecDeque<HeldCall>,
    answers: Vec<RelayedAnswer>,
    replies: BatchReplies,
    last_call: Millis,
    last_reply: Millis,
}

/// Orders that this host sends to workers for owners of the shard.
#[derive(Debug, Default)]
pub(in crate::process::host) struct RelaySessions {
    sessions: HashMap<SessionId, Session>,
    /// Newest session with numbered batches of each epoch. An owner has one at a time, and what it sent
    /// in an earlier one it has given up.
    newest: BTreeMap<u64, u64>,
    /// No session with numbered batches begins in this epoch or an earlier one.
    ended_epoch: u64,
}

impl RelaySessions {
    /// Finds the session of a call, or begins it.
    fn session(&mut self, now: Millis, id: SessionId, out: &mut Vec<HostAction>) -> &mut Session {
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains_key(&id) {
            let oldest = self
                .sessions
                .iter()
                .min_by_key(|(_, session)| session.last_call);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.end_sessions(now, |id| *id == oldest, out);
            }
        }
        self.sessions.entry(id).or_insert_with(|| Session {
            calls: VecDeque::new(),
            answers: Vec::new(),
            replies: BatchReplies::default(),
            last_call: now,
            last_reply: Millis(0),
        })
    }

    /// Begins a session with numbered batches; see `was_known` for those that it does not.
    fn begin(&mut self, now: Millis, id: SessionId, out: &mut Vec<HostAction>) {
        if self.was_known(id) {
            return;
        }
        self.end_sessions(now, |ended| ended.epoch == id.epoch, out);
        self.newest.insert(id.epoch, id.number);
        if self.newest.len() > MAX_SESSIONS {
            if let Some((epoch, _)) = self.newest.pop_first() {
                self.end_epoch(now, epoch, out);
            }
        }
        self.session(now, id, out);
    }

    /// Whether the session is or was known, or a later one of its epoch, or its epoch has ended.
    fn was_known(&self, id: SessionId) -> bool {
        let newest = self.newest.get(&id.epoch);
        id.epoch <= self.ended_epoch || newest.is_some_and(|newest| id.number <= *newest)
    }

    /// Forgets all sessions up to an epoch.
    fn end_epoch(&mut self, now: Millis, epoch: u64, out: &mut Vec<HostAction>) {
        if epoch <= self.ended_epoch {
            return;
        }
        self.ended_epoch = epoch;
        self.newest.retain(|known, _| *known > epoch);
        self.end_sessions(now, |id| id.epoch <= epoch, out);
    }

    /// Replies to the held calls of sessions and forgets them.
    fn end_sessions(
        &mut self,
        now: Millis,
        is_ended: impl Fn(&SessionId) -> bool,
        out: &mut Vec<HostAction>,
    ) {
        self.sessions.retain(|id, session| {
            let is_ended = is_ended(id);
            while is_ended && !session.calls.is_empty() {
                session.reply(now, out);
            }
            !is_ended
        });
    }

    /// Records the outcome of an order; the owner gets it with the next reply.
    pub fn add_answer(&mut self, relayed: RelayedOrder, answer: Result<WorkerAnswer, CallError>) {
        if let Some(session) = self.sessions.get_mut(&relayed.session) {
            let order = relayed.order;
            session.answers.push(RelayedAnswer { order, answer });
        }
    }

    /// Replies to the calls that are due and forgets sessions that have ended.
    fn poll(&mut self, now: Millis, out: &mut Vec<HostAction>) {
        for session in self.sessions.values_mut() {
            if session.is_due(now) {
                session.reply(now, out);
            }
        }
        self.sessions
            .retain(|_, session| now.since(session.last_call) < SESSION_TIME);
    }
}

impl Session {
    /// Holds a call of the owner. Only one call of a session is held: an earlier one is replied to.
    fn hold(&mut self, now: Millis, ticket: u64, number: Option<u64>, out: &mut Vec<HostAction>) {
        while !self.calls.is_empty() {
            self.reply(now, out);
        }
        self.calls.push_back(HeldCall {
            ticket,
            arrived: now,
            number,
        });
    }

    fn is_due(&self, now: Millis) -> bool {
        let Some(call) = self.calls.front() else {
            return false;
        };
        let has_waited = now.since(self.last_reply) >= REPLY_INTERVAL;
        let has_answers = !self.answers.is_empty();
        (has_answers && has_waited) || now.since(call.arrived) >= HOLD_TIME
    }

    /// Replies to the oldest call with all answers.
    fn reply(&mut self, now: Millis, out: &mut Vec<HostAction>) {
        let Some(call) = self.calls.pop_front() else {
            return;
        };
        self.last_reply = now;
        let rest = self.answers.split_off(self.answers.len().min(MAX_ANSWERS));
        let answers = std::mem::replace(&mut self.answers, rest);
        if let Some(number) = call.number {
            self.replies.keep(number, &answers);
        }
        let clock = now.0;
        let reply = PeerReply::Answers { clock, answers };
        out.push(HostAction::PeerReply(call.ticket, reply));
    }

    /// Replies to the owner's question for the reply to a batch.
    fn tell_outcome(&mut self, now: Millis, ticket: u64, number: u64, out: &mut Vec<HostAction>) {
        let reply = match self.replies.outcome(number) {
            Outcome::Open => {
                let mut calls = self.calls.iter_mut();
                let call = calls.find(|call| call.number == Some(number));
                // The earlier call has ended with its connection.
                let ended = call.map(|call| std::mem::replace(&mut call.ticket, ticket));
                let reply = PeerReply::Unknown;
                out.push(HostAction::PeerReply(ended.unwrap_or(ticket), reply));
                return;
            }
            Outcome::Replied(answers) => PeerReply::Answers {
                clock: now.0,
                answers,
            },
            Outcome::NotTaken => PeerReply::NotTaken,
            Outcome::Unknown => PeerReply::Unknown,
        };
        out.push(HostAction::PeerReply(ticket, reply));
    }
}

impl Host {
    /// Handles orders of the owner, unless its epoch has ended, the batch has come before, or the orders
    /// are late, for example because this host was paused.
    pub(in crate::process::host) fn relay_orders(
        &mut self,
        now: Now,
        ticket: u64,
        number: Option<BatchNumber>,
        batch: OrderBatch,
        out: &mut Vec<HostAction>,
    ) {
        let id = batch.session;
        if self.refuses_epoch(now, ticket, id.epoch, out) {
            return;
        }
        let not_after = batch.not_after;
        let orders = match Vec::<(u64, WorkerCall)>::try_from(batch) {
            Ok(orders) => orders,
            Err(error) => {
                tracing::warn!(epoch = id.epoch, %error, "cannot read the orders of the owner");
                out.push(HostAction::PeerReply(ticket, PeerReply::Unknown));
                return;
            }
        };
        if let Some(number) = number {
            if let Err(refusal) = self.take_batch(now, id, number, orders.is_empty(), out) {
                out.push(HostAction::PeerReply(ticket, refusal));
                return;
            }
        }
        let number = number.map(|number| number.number);
        // The owner may have given these orders up, and others in their place.
        let is_late = self.pause_watch.may_be_stale(now) || now.steady.0 > not_after;
        if is_late && !orders.is_empty() {
            self.refuse_late(now, ticket, id, number, &orders, out);
            return;
        }
        for (order, call) in orders {
            let origin = OrderOrigin::Relayed(RelayedOrder { session: id, order });
            // Also the owner's calls end with their timeout.
            let not_after = Millis(not_after).min(now.steady + call.timeout);
            out.push(HostAction::Worker {
                origin,
                call,
                not_after,
            });
        }
        let session = self.relay_sessions.session(now.steady, id, out);
        session.last_call = now.steady;
        session.hold(now.steady, ticket, number, out);
    }

    /// Whether the owner's epoch has ended; it gets a refusal then.
    fn refuses_epoch(&self, now: Now, ticket: u64, epoch: u64, out: &mut Vec<HostAction>) -> bool {
        let newer = self
            .known_owner(now.steady)
            .filter(|owner| owner.epoch > epoch);
        if newer.is_none() && epoch > self.claim.ended_epoch {
            return false;
        }
        let newer_epoch = newer.as_ref().map(|owner| owner.epoch);
        tracing::info!(epoch, newer_epoch, "call of an earlier owner refused");
        let reply = PeerReply::NotOwner { owner: newer };
        out.push(HostAction::PeerReply(ticket, reply));
        true
    }

    /// Notes that a batch has come.
    ///
    /// # Errors
    ///
    /// The refusal, if its orders must not be carried out.
    fn take_batch(
        &mut self,
        now: Now,
        id: SessionId,
        number: BatchNumber,
        is_empty: bool,
        out: &mut Vec<HostAction>,
    ) -> Result<(), PeerReply> {
        let sessions = &mut self.relay_sessions;
        if number.begins && is_empty {
            sessions.begin(now.steady, id, out);
        }
        let Some(session) = sessions.sessions.get_mut(&id) else {
            tracing::info!(?id, "orders of an unknown session refused");
            // In a session that this process has never known, it has carried out nothing.
            return Err(match sessions.was_known(id) {
                true => PeerReply::Unknown,
                false => PeerReply::NotOwner { owner: None },
            });
        };
        if !session.replies.take(number.number, number.oldest_open) {
            tracing::info!(
                ?id,
                batch = number.number,
                "batch refused that has come before"
            );
            return Err(PeerReply::Unknown);
        }
        Ok(())
    }

    /// Refuses orders that arrived after their time.
    fn refuse_late(
        &mut self,
        now: Now,
        ticket: u64,
        id: SessionId,
        number: Option<u64>,
        orders: &[(u64, WorkerCall)],
        out: &mut Vec<HostAction>,
    ) {
        let epoch = id.epoch;
        tracing::info!(epoch, orders = orders.len(), "late orders refused");
        let answers = orders.iter().map(|(order, _)| RelayedAnswer {
            order: *order,
            answer: Err(CallError::NotSent),
        });
        let answers: Vec<RelayedAnswer> = answers.collect();
        let session = self.relay_sessions.sessions.get_mut(&id);
        if let (Some(session), Some(number)) = (session, number) {
            session.replies.keep(number, &answers);
        }
        let clock = now.steady.0;
        let reply = PeerReply::Answers { clock, answers };
        out.push(HostAction::PeerReply(ticket, reply));
    }

    /// Tells the owner what became of a batch whose reply it has not got.
    pub(in crate::process::host) fn tell_outcome(
        &mut self,
        now: Now,
        ticket: u64,
        id: SessionId,
        number: u64,
        out: &mut Vec<HostAction>,
    ) {
        if self.refuses_epoch(now, ticket, id.epoch, out) {
            return;
        }
        let Some(session) = self.relay_sessions.sessions.get_mut(&id) else {
            tracing::info!(?id, number, "question for a batch of an unknown session");
            out.push(HostAction::PeerReply(ticket, PeerReply::Unknown));
            return;
        };
        session.last_call = now.steady;
        session.tell_outcome(now.steady, ticket, number, out);
    }

    /// Replies to the calls that are due and forgets sessions that have ended.
    pub(in crate::process::host) fn poll_relay_sessions(
        &mut self,
        now: Now,
        out: &mut Vec<HostAction>,
    ) {
        let shard = self.shard.as_ref().filter(|shard| shard.is_claimed());
        let heard = self
            .owner
            .as_ref()
            .filter(|owner| owner.last_heard.is_some());
        let known = shard
            .map(|shard| shard.epoch())
            .or(heard.map(|owner| owner.epoch));
        let ended = known.unwrap_or(0).saturating_sub(1);
        let ended = ended.max(self.claim.ended_epoch);
        self.relay_sessions.end_epoch(now.steady, ended, out);
        self.relay_sessions.poll(now.steady, out);
    }
}
