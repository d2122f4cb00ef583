//! The relay's side: orders under way for owners, and the answers that they get.

use std::collections::{HashMap, VecDeque};

use super::{OrderBatch, OrderOrigin, RelayedAnswer, RelayedOrder, SessionId};
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

/// One owner's orders through this host.
#[derive(Debug)]
struct Session {
    /// Tickets of the owner's calls that wait for a reply, with the time of their arrival.
    calls: VecDeque<(u64, Millis)>,
    answers: Vec<RelayedAnswer>,
    last_call: Millis,
    last_reply: Millis,
}

/// Orders that this host sends to workers for owners of the shard.
#[derive(Debug, Default)]
pub(in crate::process::host) struct RelaySessions {
    sessions: HashMap<SessionId, Session>,
}

impl RelaySessions {
    /// Registers a call of the owner. Only one call of a session is held: an earlier one is replied to.
    fn add_call(&mut self, now: Millis, id: SessionId, ticket: u64, out: &mut Vec<HostAction>) {
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains_key(&id) {
            let oldest = self
                .sessions
                .iter()
                .min_by_key(|(_, session)| session.last_call);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.sessions.remove(&oldest);
            }
        }
        let session = self.sessions.entry(id).or_insert_with(|| Session {
            calls: VecDeque::new(),
            answers: Vec::new(),
            last_call: now,
            last_reply: Millis(0),
        });
        session.last_call = now;
        while !session.calls.is_empty() {
            session.reply(now, out);
        }
        session.calls.push_back((ticket, now));
    }

    /// Records the outcome of an order; the owner gets it with the next reply.
    pub fn add_answer(&mut self, relayed: RelayedOrder, answer: Result<WorkerAnswer, CallError>) {
        if let Some(session) = self.sessions.get_mut(&relayed.session) {
            let order = relayed.order;
            session.answers.push(RelayedAnswer { order, answer });
        }
    }

    /// Replies to the calls that are due and forgets sessions that have ended.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<HostAction>) {
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
    fn is_due(&self, now: Millis) -> bool {
        let Some((_, arrived)) = self.calls.front() else {
            return false;
        };
        let has_waited = now.since(self.last_reply) >= REPLY_INTERVAL;
        let has_answers = !self.answers.is_empty();
        (has_answers && has_waited) || now.since(*arrived) >= HOLD_TIME
    }

    /// Replies to the oldest call with all answers.
    fn reply(&mut self, now: Millis, out: &mut Vec<HostAction>) {
        let Some((ticket, _)) = self.calls.pop_front() else {
            return;
        };
        self.last_reply = now;
        let rest = self.answers.split_off(self.answers.len().min(MAX_ANSWERS));
        let answers = std::mem::replace(&mut self.answers, rest);
        let clock = now.0;
        let reply = PeerReply::Answers { clock, answers };
        out.push(HostAction::PeerReply(ticket, reply));
    }
}

impl Host {
    /// Handles orders of the owner, unless its epoch has ended or the orders are late, for example
    /// because this host was paused.
    pub(in crate::process::host) fn relay_orders(
        &mut self,
        now: Now,
        ticket: u64,
        batch: OrderBatch,
        out: &mut Vec<HostAction>,
    ) {
        let session = batch.session;
        let newer = self
            .known_owner(now.steady)
            .filter(|owner| owner.epoch > session.epoch);
        if newer.is_some() || session.epoch <= self.claim.ended_epoch {
            let newer_epoch = newer.as_ref().map(|owner| owner.epoch);
            tracing::info!(
                epoch = session.epoch,
                newer_epoch,
                "orders of an earlier owner refused"
            );
            let reply = PeerReply::NotOwner { owner: newer };
            out.push(HostAction::PeerReply(ticket, reply));
            return;
        }
        // The owner may have given these orders up, and others in their place.
        if batch.len() > 0 && (self.pause_watch.may_be_stale(now) || now.steady.0 > batch.not_after)
        {
            tracing::info!(
                epoch = session.epoch,
                orders = batch.len(),
                "late orders refused"
            );
            let answers = batch.numbers().map(|order| RelayedAnswer {
                order,
                answer: Err(CallError::NotSent),
            });
            let reply = PeerReply::Answers {
                clock: now.steady.0,
                answers: answers.collect(),
            };
            out.push(HostAction::PeerReply(ticket, reply));
            return;
        }
        let orders = match Vec::<(u64, WorkerCall)>::try_from(batch) {
            Ok(orders) => orders,
            Err(error) => {
                tracing::warn!(epoch = session.epoch, %error, "cannot read the orders of the owner");
                out.push(HostAction::PeerReply(ticket, PeerReply::Unknown));
                return;
            }
        };
        for (order, call) in orders {
            let origin = OrderOrigin::Relayed(RelayedOrder { session, order });
            out.push(HostAction::Worker { origin, call });
        }
        self.relay_sessions
            .add_call(now.steady, session, ticket, out);
    }
}
