//! How the owner of the shard hands it over or gives it up.

use std::collections::HashMap;

use super::claim::{OWNER_AGE, STORE_AGE, is_candidate};
use super::host::{Host, HostAction, PeerPurpose};
use super::message::{PeerCall, PeerReply};
use super::peers::Peer;
use super::rank::{Rank, is_low_capacity};
use crate::base::{Millis, Name};
use crate::connection::CallError;
use crate::process::shard::{Handover, ISOLATION_TIME, Now};

/// The owner hands over the shard after its appends have failed for this long, in milliseconds.
const HANDOVER_TIME: Millis = Millis(500);
/// The store serves another host if it has answered that host this long after the owner's appends
/// began to fail, in milliseconds. Earlier answers may have been on their way when an outage of the
/// store began for all hosts.
const STORE_PROOF_TIME: Millis = Millis(150);
/// Only high-capacity hosts may take over for this long after the owner's appends began to fail, in
/// milliseconds: each host calls the store at least every 900 ms and tells the owner every 400 ms.
const HIGH_CAPACITY_ONLY_TIME: Millis = Millis(1_500);
/// A claim is given up if the store has not accepted it after this time, in milliseconds.
const CLAIM_TIME: Millis = Millis(2_500);
/// Timeout of the call that asks a peer to take over, in milliseconds.
const HANDOVER_CALL_TIMEOUT: Millis = Millis(400);
/// How long a stopping owner waits at most until its resignation is stored, in milliseconds.
const RESIGNATION_TIME: Millis = Millis(300);
/// A stopping owner grants leases again if no host has taken over after this time, in milliseconds; they would
/// expire otherwise.
const MAX_RESIGNATION_TIME: Millis = Millis(1_500);
/// An owner that grants no leases, since it does not know whether another host acts on that, gives up the shard
/// after this time, in milliseconds.
const MAX_SUSPENSION_TIME: Millis = Millis(1_500);
/// Minimum time from the claim until a low-capacity owner hands over to a high-capacity host, in
/// milliseconds.
const MIN_OWNERSHIP_TIME: Millis = Millis(1_500);
/// A host counts as alive at some time if its last message is not older than this, in milliseconds. An
/// owner that is cut off from the hosts but not from the store notices a claim of theirs within this time.
const LIVE_AGE: Millis = Millis(10_000);

impl Host {
    /// Checks whether this host, as the owner, gives up the shard or hands it over.
    pub(super) fn check_ownership(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(shard) = &self.shard else {
            return;
        };
        let epoch = shard.epoch();
        let failing_for = shard.failing_for(now.steady);
        if !shard.is_claimed() && now.steady.since(self.claim.claimed_at) > CLAIM_TIME {
            tracing::warn!(
                epoch,
                "the store has not accepted the claim; giving up the shard"
            );
            self.give_up_shard(now, out);
            return;
        }
        let store_age = self.store_heard.map(|at| now.steady.since(at));
        let is_store_lost = store_age.is_none_or(|age| age > ISOLATION_TIME);
        if is_store_lost && self.may_be_replaced(now) {
            tracing::warn!(
                epoch,
                "neither the store nor enough peers are reachable; giving up the shard"
            );
            self.give_up_shard(now, out);
            return;
        }
        let is_failing = failing_for.is_some_and(|time| time >= HANDOVER_TIME);
        let may_hand_over = now.steady.since(self.claim.claimed_at) >= MIN_OWNERSHIP_TIME;
        let should_hand_over = self.is_low_capacity() && may_hand_over;
        if self.claim.is_handing_over {
            return;
        }
        if let Some(time) = shard.suspended_for(now.steady) {
            self.end_suspension(now, epoch, time, out);
        } else if self.stopping.is_some() {
            self.resign_and_hand_over(now, epoch, out);
        } else if is_failing && self.is_ignored_by_store(now, failing_for) {
            let time = failing_for.unwrap_or_default();
            let since = now.steady.since(time);
            let allows_low_capacity = time >= HIGH_CAPACITY_ONLY_TIME;
            self.hand_over(
                now,
                epoch,
                Successor::StoreAnswers {
                    since,
                    allows_low_capacity,
                },
                out,
            );
        } else if should_hand_over {
            self.hand_over(now, epoch, Successor::HighCapacity, out);
        }
    }

    /// Whether another host may claim the shard unnoticed while this one does not reach the store: too
    /// many hosts are silent that were alive when the store last answered. In an outage of the store for
    /// all hosts, they go on sending messages and none can claim.
    fn may_be_replaced(&self, now: Now) -> bool {
        let is_silent =
            |at: Option<Millis>| at.is_none_or(|at| now.steady.since(at) > ISOLATION_TIME);
        let last_peer_message = self.peers.values().filter_map(|peer| peer.last_heard).max();
        if last_peer_message.is_some() && is_silent(last_peer_message) {
            return true;
        }
        let store_heard = self.store_heard.unwrap_or(now.steady);
        let was_alive = |peer: &&Peer| {
            let presence = peer.presence.as_ref();
            let is_stopping = presence.is_some_and(|presence| presence.is_stopping);
            let heard = peer.last_heard;
            !is_stopping && heard.is_some_and(|at| at + LIVE_AGE >= store_heard)
        };
        let mut hosts = Presences::default();
        let mut by_centre: HashMap<&Name, Presences> = HashMap::new();
        for peer in self.peers.values().filter(was_alive) {
            let is_silent = is_silent(peer.last_heard);
            hosts.add(is_silent);
            let centre = by_centre.entry(&peer.record.data_centre).or_default();
            centre.add(is_silent);
        }
        // A single host is rather dead than cut off together with its data centre.
        let is_cut = |centre: &Presences| centre.alive > 1 && centre.silent == centre.alive;
        hosts.silent * 2 > hosts.alive || by_centre.values().any(is_cut)
    }

    /// Whether the store has failed to answer a call that this host sent after the store had answered
    /// another host. At the end of an outage for all hosts, the owner may be the last to notice it.
    fn is_ignored_by_store(&mut self, now: Now, failing_for: Option<Millis>) -> bool {
        let Some(time) = failing_for else {
            self.claim.store_proof = None;
            return false;
        };
        let since = now.steady.since(time);
        let peers = self.peers.values();
        let answered = peers.filter_map(|peer| peer.store_heard(now.steady));
        let first_proof = answered.filter(|at| *at >= since + STORE_PROOF_TIME).min();
        let known = self.claim.store_proof.filter(|at| *at >= since);
        self.claim.store_proof = known.or(first_proof);
        let proof = self.claim.store_proof;
        proof.is_some_and(|at| self.store_failed.is_some_and(|sent| sent > at))
    }

    /// Hands over the shard once it is stored that this owner grants no more leases. The next owner waits
    /// less then for workers that it cannot reach.
    fn resign_and_hand_over(&mut self, now: Now, epoch: u64, out: &mut Vec<HostAction>) {
        let has_successor = self.successor(now, Successor::Any).is_some();
        let Some(shard) = &mut self.shard else {
            return;
        };
        if has_successor {
            shard.resign(now);
        }
        let resigned_for = shard.resigned_for(now.steady);
        if !has_successor || resigned_for.is_some_and(|time| time > MAX_RESIGNATION_TIME) {
            shard.withdraw_resignation();
        }
        let is_pending = resigned_for.is_some_and(|time| time < RESIGNATION_TIME);
        if !is_pending || shard.has_resigned() {
            self.hand_over(now, epoch, Successor::Any, out);
        }
    }

    /// The best-ranked host that `successor` allows.
    fn successor(&self, now: Now, successor: Successor) -> Option<&Peer> {
        let max_processor = self.max_processor();
        self.peers
            .values()
            .filter(|peer| {
                peer.last_heard
                    .is_some_and(|at| now.steady.since(at) <= OWNER_AGE)
            })
            .filter(|peer| is_candidate(peer, now.steady))
            .filter(|peer| match successor {
                Successor::Any => true,
                Successor::HighCapacity => !is_low_capacity(peer.record.processor, max_processor),
                Successor::StoreAnswers {
                    since,
                    allows_low_capacity,
                } => {
                    let is_high_capacity = !is_low_capacity(peer.record.processor, max_processor);
                    let heard = peer.store_heard(now.steady);
                    (is_high_capacity || allows_low_capacity)
                        && heard.is_some_and(|at| at >= since + STORE_PROOF_TIME)
                }
            })
            .min_by_key(|peer| Rank::of(peer, max_processor))
    }

    /// Asks again, after a host has not answered that may have claimed the shard as of the end of this owner's
    /// leases. So this owner grants no more, and it gives up if no host answers.
    fn end_suspension(&mut self, now: Now, epoch: u64, time: Millis, out: &mut Vec<HostAction>) {
        if time <= MAX_SUSPENSION_TIME {
            self.hand_over(now, epoch, Successor::Any, out);
            return;
        }
        tracing::warn!(epoch, "no other host has answered; giving up the shard");
        self.claim.handed_over = Some(now.steady);
        self.give_up_shard(now, out);
    }

    /// Asks the best-ranked host that `successor` allows to take over the shard.
    fn hand_over(&mut self, now: Now, epoch: u64, successor: Successor, out: &mut Vec<HostAction>) {
        let Some(peer) = self.successor(now, successor) else {
            return;
        };
        tracing::info!(epoch, to = %peer.record.name, "handing over the shard");
        let address = peer.record.control;
        self.claim.is_handing_over = true;
        let shard = self.shard.as_mut();
        let handover = match successor {
            Successor::StoreAnswers { .. } => shard.and_then(|shard| shard.suspend_leases(now)),
            Successor::Any | Successor::HighCapacity => None,
        };
        let has_waits = handover.is_some();
        let message = match handover {
            Some(handover) => PeerCall::HandOver(handover),
            None => PeerCall::TakeOver { epoch },
        };
        let purpose = PeerPurpose::TakeOver { epoch, has_waits };
        self.call_peer(purpose, address, message, HANDOVER_CALL_TIMEOUT, out);
    }

    pub(super) fn handle_take_over_answer(
        &mut self,
        now: Now,
        epoch: u64,
        has_waits: bool,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        self.claim.is_handing_over = false;
        let Some(shard) = self.shard.as_mut().filter(|shard| shard.epoch() == epoch) else {
            return;
        };
        match answer {
            Ok(PeerReply::TakeOver(true)) => {
                self.claim.handed_over = Some(now.steady);
                self.give_up_shard(now, out);
            }
            Ok(PeerReply::TakeOver(false)) | Err(CallError::NotSent | CallError::Refused)
                if has_waits =>
            {
                shard.resume_leases(now);
            }
            // The peer may have claimed the shard without an answer.
            _ => {}
        }
    }

    /// Whether a host that this one has handed the shard over to may be claiming it, though no other host
    /// has heard of that yet.
    pub(super) fn may_have_successor(&self, now: Now) -> bool {
        let handed_over = self.claim.handed_over;
        handed_over.is_some_and(|at| now.steady.since(at) < CLAIM_TIME)
    }

    /// Answers the owner's request to take over the shard.
    pub(super) fn take_over(
        &mut self,
        now: Now,
        ticket: u64,
        epoch: u64,
        handover: Option<Handover>,
        out: &mut Vec<HostAction>,
    ) {
        let has_store = self
            .store_heard
            .is_some_and(|at| now.steady.since(at) <= STORE_AGE);
        self.claim.max_epoch = self.claim.max_epoch.max(epoch);
        let accepts = has_store && self.config.version > 0 && self.stopping.is_none();
        if accepts && self.shard.is_none() {
            self.claim(now, handover, out);
        }
        out.push(HostAction::PeerReply(ticket, PeerReply::TakeOver(accepts)));
    }

    /// Gives up the shard. The next owner recovers its state from the store and the workers.
    pub(super) fn give_up_shard(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(shard) = self.shard.take() else {
            return;
        };
        tracing::info!(epoch = shard.epoch(), "no longer owns the shard");
        self.claim.max_epoch = self.claim.max_epoch.max(shard.epoch());
        self.claim.is_handing_over = false;
        self.claim.round_started = None;
        self.streams.leave_registry();
        self.order_links.clear();
        self.release_requests(now, out);
    }
}

/// Counts hosts that were alive when the store last answered.
#[derive(Debug, Default)]
struct Presences {
    alive: usize,
    /// Those that are silent now.
    silent: usize,
}

impl Presences {
    fn add(&mut self, is_silent: bool) {
        self.alive += 1;
        self.silent += usize::from(is_silent);
    }
}

/// Which hosts the owner may hand the shard over to.
#[derive(Debug, Clone, Copy)]
enum Successor {
    /// Any host: the owner is stopping.
    Any,
    /// Only a high-capacity host: the owner is a low-capacity one.
    HighCapacity,
    /// Only a host that the store has answered since `since`, when the owner's appends began to
    /// fail. If the store fails for all hosts, the owner keeps the shard: it can renew leases and
    /// place accepted jobs, while a new owner would first have to read the records.
    StoreAnswers {
        since: Millis,
        allows_low_capacity: bool,
    },
}
