//! Who owns the shard: when an owner counts as gone, who claims, and when an owner gives up.

use std::cmp::Reverse;
use std::collections::HashSet;

use super::host::{Host, HostAction, Owner, Peer, PeerUse, StoreUse};
use super::message::{OwnerSeen, PeerCall};
use super::streams::{HOSTS_STREAM, OWNER_KEY, SHARD_STREAM};
use crate::base::{Millis, Name};
use crate::connection::{KeyedRecord, Partition, StoreAnswer, StoreCall, StoreRequest};
use crate::process::shard::{Now, RegistryChange, Shard};
use crate::version::{OwnerRecord, ShardRecord};

/// An owner that neither this host nor a peer has heard for longer counts as gone, in milliseconds.
const OWNER_AGE: Millis = Millis(1_200);
/// The same after two exchanges have failed, in milliseconds.
const FAILED_AGE: Millis = Millis(450);
/// Time between two rounds in which all hosts are asked for the owner, in milliseconds.
const ROUND_TIME: Millis = Millis(500);
/// Time to wait for the answers of a round, in milliseconds: two ways between regions and the
/// processing on a small host.
const ANSWER_TIME: Millis = Millis(250);
/// The first claim after a start waits this long, so that the hosts know each other, in
/// milliseconds.
const FIRST_CLAIM: Millis = Millis(900);
/// A host whose store has not answered for longer does not claim, in milliseconds. Each host reads
/// the configuration once a second.
const STORE_AGE: Millis = Millis(1_600);
/// Time without a successful append after which the owner hands the shard over, in milliseconds.
const HANDOVER_TIME: Millis = Millis(500);
/// A host that the store has answered this long after it failed the owner proves that it serves
/// others, in milliseconds: answers that were under way when an outage began don't.
const STORE_PROOF: Millis = Millis(150);
/// Strong hosts alone may take over for this long after the store began to fail the owner, in
/// milliseconds: each host calls it at least every 900 ms and tells the owner every 400 ms.
const STRONG_TIME: Millis = Millis(1_500);
/// A claim that the store has not taken for longer is given up, in milliseconds.
const CLAIM_TIME: Millis = Millis(2_500);
/// An owner that reaches neither the store nor a peer for longer gives no more orders, in
/// milliseconds.
const ISOLATION_TIME: Millis = crate::process::shard::ISOLATION_TIME;
/// A journal that has not grown for longer has no owner, in milliseconds; an owner appends at least
/// every 500 ms.
const STILL_TIME: Millis = Millis(1_300);
/// Longest time for a call of the handover, in milliseconds.
const HANDOVER_CALL: Millis = Millis(400);
const STORE_CALL: Millis = Millis(600);
/// A host with less than this share of the strongest host's processor is weak: it owns the shard only
/// while no stronger host can, since an owner needs many times what an entry host needs.
const WEAK_SHARE: u32 = 2;
/// How long a weak host leaves the claim to stronger ones, in milliseconds: two rounds.
const WEAK_WAIT: Millis = Millis(1_000);
/// How long a host that hears less than half of the others waits for more answers, in milliseconds.
const SPARSE_WAIT: Millis = Millis(1_000);
/// Shortest time of an ownership before a weak host passes it to a stronger one, in milliseconds.
const WEAK_TENURE: Millis = Millis(1_500);
/// Random low bits of an epoch, which keep two claims of one ordinal apart.
const EPOCH_BITS: u32 = 16;
/// Distance of the store in steps of this many milliseconds ranks hosts before their processors.
const DISTANCE_STEP: u64 = 10;

/// State of the search for an owner.
#[derive(Debug, Default)]
pub(super) struct Claim {
    searching: Option<Millis>,
    round: Option<Millis>,
    answered: HashSet<Name>,
    /// Epochs up to this one are known to be taken.
    pub floor: u64,
    /// Epochs up to this one are over: their owner's process has been restarted.
    pub over: u64,
    /// End of the journal and when it was first seen to be there.
    journal: Option<(u64, Millis)>,
    is_reading: bool,
    /// A handover is under way.
    is_handing: bool,
    claimed: Millis,
}

impl Claim {
    /// A host has answered in this round.
    pub fn answered(&mut self, host: &Name) {
        self.answered.insert(host.clone());
    }

    pub fn is_searching(&self) -> bool {
        self.searching.is_some()
    }
}

impl Host {
    /// Takes in what somebody says about the owner, in an answer to what was `asked` then or unasked.
    ///
    /// The age of what others have heard grows with the time since the question; without that, slow
    /// hosts that tell each other of an owner would keep it young after its end.
    pub(super) fn see_owner(
        &mut self,
        now: Now,
        seen: &OwnerSeen,
        asked: Option<Millis>,
        out: &mut Vec<HostAction>,
    ) {
        self.claim.floor = self.claim.floor.max(seen.epoch);
        if seen.host == self.settings.record.name || seen.epoch <= self.claim.over {
            return;
        }
        let age = match (seen.age, asked) {
            (0, _) => Millis(0),
            (age, Some(asked)) => Millis(age) + now.steady.since(asked),
            (_, None) => return,
        };
        if self
            .shard
            .as_ref()
            .is_some_and(|shard| shard.epoch() < seen.epoch)
        {
            tracing::warn!(owner = %seen.host, epoch = seen.epoch, "a newer owner is known");
            self.drop_shard(now, out);
        }
        let heard = now.steady.since(age);
        match &mut self.owner {
            Some(owner) if owner.epoch == seen.epoch => {
                if owner.heard.is_none_or(|at| at < heard) {
                    owner.heard = Some(heard);
                    if seen.age == 0 {
                        owner.misses = 0;
                    }
                }
            }
            Some(owner) if owner.epoch > seen.epoch => {}
            _ => {
                tracing::info!(owner = %seen.host, epoch = seen.epoch, age = seen.age, "shard has a new owner");
                self.owner = Some(Owner {
                    host: seen.host.clone(),
                    boot: seen.boot,
                    epoch: seen.epoch,
                    heard: Some(heard),
                    misses: 0,
                });
            }
        }
    }

    pub(super) fn hello_failed(&mut self, now: Now, to: std::net::SocketAddr, is_owner: bool) {
        if !is_owner || self.owner_address() != Some(to) {
            return;
        }
        self.hurry_hello(now);
        if let Some(owner) = &mut self.owner {
            owner.misses += 1;
        }
    }

    /// Searches for an owner, claims the shard, or checks whether to give it up.
    pub(super) fn check_owner(&mut self, now: Now, out: &mut Vec<HostAction>) {
        if self.shard.is_some() {
            self.claim.searching = None;
            self.check_ownership(now, out);
            return;
        }
        if self.has_owner(now) || self.stopping.is_some() {
            self.claim.searching = None;
            self.claim.round = None;
            return;
        }
        if self.claim.searching.is_none() {
            self.claim.searching = Some(now.steady);
            self.claim.journal = None;
            tracing::info!(
                epoch = self.owner.as_ref().map(|owner| owner.epoch),
                "no owner is heard; asks all hosts"
            );
        }
        match self.claim.round {
            Some(at) if now.steady.since(at) < ANSWER_TIME => {}
            Some(at) => {
                if self.may_claim(now, at, out) {
                    self.claim(now, out);
                } else if now.steady.since(at) >= ROUND_TIME {
                    self.start_round(now, out);
                }
            }
            None => self.start_round(now, out),
        }
    }

    fn has_owner(&self, now: Now) -> bool {
        let Some(owner) = &self.owner else {
            return false;
        };
        let Some(heard) = owner.heard else {
            return false;
        };
        let limit = match owner.misses {
            0 | 1 => OWNER_AGE,
            _ => FAILED_AGE,
        };
        now.steady.since(heard) <= limit
    }

    fn start_round(&mut self, now: Now, out: &mut Vec<HostAction>) {
        self.claim.round = Some(now.steady);
        self.claim.answered.clear();
        for address in self.peer_addresses() {
            self.hello(now, address, false, out);
        }
    }

    /// Whether this host is the best of those that answered.
    fn may_claim(&mut self, now: Now, round: Millis, out: &mut Vec<HostAction>) -> bool {
        let has_store = self
            .store_heard
            .is_some_and(|at| now.steady.since(at) <= STORE_AGE);
        let is_new = now.steady.since(self.started) < FIRST_CLAIM;
        if !has_store || is_new || self.config.version == 0 {
            return false;
        }
        let waited = self
            .claim
            .searching
            .map_or(Millis(0), |since| now.steady.since(since));
        let is_sparse = self.claim.answered.len() * 2 < self.peers.len();
        let is_early = self.is_weak() && waited < WEAK_WAIT || is_sparse && waited < SPARSE_WAIT;
        if is_early {
            return false;
        }
        let own = self.own_rank();
        let strongest = self.strongest();
        let best = self
            .peers
            .values()
            .filter(|peer| self.claim.answered.contains(&peer.record.name))
            .filter(|peer| peer.heard.is_some_and(|at| at >= round))
            .filter(|peer| is_candidate(peer, now.steady))
            .map(|peer| rank(peer, strongest))
            .min();
        if best.is_some_and(|best| best < own) {
            return false;
        }
        if self.peers.is_empty() || !self.claim.answered.is_empty() {
            return true;
        }
        // Nobody answers: this host may be the one that is cut off, so the journal decides.
        match self.claim.journal {
            Some((_, since)) if now.steady.since(since) >= STILL_TIME => true,
            _ => {
                self.read_journal(out);
                false
            }
        }
    }

    fn read_journal(&mut self, out: &mut Vec<HostAction>) {
        if self.claim.is_reading {
            return;
        }
        self.claim.is_reading = true;
        // A page after the last possible key is empty and tells the end.
        let request = StoreRequest::Newest {
            of: shard_partition(),
            after: Some("~".to_owned()),
        };
        let timeout = STORE_CALL;
        out.push(HostAction::Store(
            StoreUse::Journal,
            StoreCall { request, timeout },
        ));
    }

    pub(super) fn journal_read(
        &mut self,
        now: Now,
        answer: Result<StoreAnswer, crate::connection::CallError>,
    ) {
        self.claim.is_reading = false;
        let Ok(StoreAnswer::Page(page)) = answer else {
            return;
        };
        match self.claim.journal {
            Some((end, _)) if end == page.end => {}
            _ => self.claim.journal = Some((page.end, now.steady)),
        }
    }

    /// Processor of the strongest host that is known.
    fn strongest(&self) -> u32 {
        let others = self.peers.values().map(|peer| peer.record.processor);
        others.fold(self.settings.record.processor, u32::max)
    }

    fn is_weak(&self) -> bool {
        is_weak(self.settings.record.processor, self.strongest())
    }

    fn own_rank(&self) -> Rank {
        let record = &self.settings.record;
        Rank {
            is_weak: self.is_weak(),
            distance: self.store_time.0 / DISTANCE_STEP,
            processor: Reverse(record.processor),
            name: record.name.clone(),
        }
    }

    fn claim(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let ordinal = (self.claim.floor >> EPOCH_BITS) + 1;
        let mask = (1 << EPOCH_BITS) - 1;
        let epoch = (ordinal << EPOCH_BITS) | (self.settings.record.boot & mask);
        self.claim.floor = epoch;
        self.claim.round = None;
        self.claim.claimed = now.steady;
        self.claim.is_handing = false;
        let owner = OwnerRecord {
            host: self.settings.record.name.clone(),
            boot: self.settings.record.boot,
            epoch,
        };
        tracing::info!(
            epoch,
            answered = self.claim.answered.len(),
            "claims the shard"
        );
        let value = ShardRecord::Owner(owner.clone()).value();
        let mut actions = Vec::new();
        let shard = Shard::claim(
            self.settings.shard.clone(),
            shard_partition(),
            owner,
            self.config.clone(),
            now,
            &mut actions,
        );
        self.shard = Some(shard);
        self.perform(now, actions, out);
        // Tells hosts that start later which epochs are taken.
        let request = StoreRequest::Append {
            to: Partition {
                stream: HOSTS_STREAM.into(),
                part: 0,
            },
            records: vec![KeyedRecord {
                key: OWNER_KEY.to_owned(),
                value,
            }],
            fence: None,
        };
        let call = StoreCall {
            request,
            timeout: STORE_CALL,
        };
        out.push(HostAction::Store(StoreUse::Announce, call));
        self.streams.follow_registry(now.steady);
    }

    /// Whether the owner, this host, hands over or gives up.
    fn check_ownership(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(shard) = &self.shard else {
            return;
        };
        let epoch = shard.epoch();
        let failing_for = shard.failing_for(now.steady);
        if !shard.is_claimed() && now.steady.since(self.claim.claimed) > CLAIM_TIME {
            tracing::warn!(epoch, "the store does not take the claim");
            self.drop_shard(now, out);
            return;
        }
        let store_age = self.store_heard.map(|at| now.steady.since(at));
        let is_cut = store_age.is_none_or(|age| age > ISOLATION_TIME);
        let peer_heard = self.peers.values().filter_map(|peer| peer.heard).max();
        let is_alone = peer_heard.is_some_and(|at| now.steady.since(at) > ISOLATION_TIME);
        if is_cut && is_alone {
            tracing::warn!(epoch, "reaches neither the store nor a peer");
            self.drop_shard(now, out);
            return;
        }
        let is_failing = failing_for.is_some_and(|time| time >= HANDOVER_TIME);
        let is_tenured = now.steady.since(self.claim.claimed) >= WEAK_TENURE;
        let is_relieved = self.is_weak() && is_tenured;
        if self.claim.is_handing {
            return;
        }
        if self.stopping.is_some() {
            self.hand_over(now, epoch, Heir::Any, out);
        } else if is_failing {
            let time = failing_for.unwrap_or_default();
            let since = now.steady.since(time);
            let allows_weak = time >= STRONG_TIME;
            self.hand_over(now, epoch, Heir::WithStore { since, allows_weak }, out);
        } else if is_relieved {
            self.hand_over(now, epoch, Heir::Strong, out);
        }
    }

    /// Asks the best other host that may be the heir to take over.
    fn hand_over(&mut self, now: Now, epoch: u64, heir: Heir, out: &mut Vec<HostAction>) {
        let strongest = self.strongest();
        let best = self
            .peers
            .values()
            .filter(|peer| {
                peer.heard
                    .is_some_and(|at| now.steady.since(at) <= OWNER_AGE)
            })
            .filter(|peer| is_candidate(peer, now.steady))
            .filter(|peer| match heir {
                Heir::Any => true,
                Heir::Strong => !is_weak(peer.record.processor, strongest),
                Heir::WithStore { since, allows_weak } => {
                    let is_strong = !is_weak(peer.record.processor, strongest);
                    let heard = peer.store_heard(now.steady);
                    (is_strong || allows_weak) && heard.is_some_and(|at| at >= since + STORE_PROOF)
                }
            })
            .min_by_key(|peer| rank(peer, strongest));
        let Some(peer) = best else {
            return;
        };
        tracing::info!(epoch, to = %peer.record.name, "hands the shard over");
        let address = peer.record.control;
        self.claim.is_handing = true;
        let message = PeerCall::TakeOver { epoch };
        self.call_peer(
            PeerUse::TakeOver { epoch },
            address,
            message,
            HANDOVER_CALL,
            out,
        );
    }

    pub(super) fn take_over_answer(
        &mut self,
        now: Now,
        epoch: u64,
        accepted: bool,
        out: &mut Vec<HostAction>,
    ) {
        self.claim.is_handing = false;
        let is_same = self
            .shard
            .as_ref()
            .is_some_and(|shard| shard.epoch() == epoch);
        if accepted && is_same {
            self.drop_shard(now, out);
        }
    }

    /// The owner asks this host to take over; returns whether it does.
    pub(super) fn take_over(&mut self, now: Now, epoch: u64, out: &mut Vec<HostAction>) -> bool {
        let has_store = self
            .store_heard
            .is_some_and(|at| now.steady.since(at) <= STORE_AGE);
        self.claim.floor = self.claim.floor.max(epoch);
        if !has_store || self.config.version == 0 || self.stopping.is_some() {
            return false;
        }
        if self.shard.is_none() {
            self.claim(now, out);
        }
        true
    }

    /// Gives the shard up; the next owner learns all from the store and the workers.
    pub(super) fn drop_shard(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(shard) = self.shard.take() else {
            return;
        };
        tracing::info!(epoch = shard.epoch(), "owns the shard no longer");
        self.claim.floor = self.claim.floor.max(shard.epoch());
        self.claim.is_handing = false;
        self.claim.round = None;
        self.streams.leave_registry();
        self.release_origins(now, out);
    }

    /// Passes changes of the registry to the shard.
    pub(super) fn registry_changed(
        &mut self,
        now: Now,
        epoch: u64,
        changes: Vec<RegistryChange>,
        out: &mut Vec<HostAction>,
    ) {
        if !changes.is_empty() {
            let event = crate::process::shard::ShardEvent::Registry(changes);
            self.shard_event(now, epoch, event, out);
        }
    }
}

/// Which hosts the owner may pass the shard to.
#[derive(Debug, Clone, Copy)]
enum Heir {
    /// The owner stops.
    Any,
    /// The owner is weak.
    Strong,
    /// The store has not taken the owner's appends since `since`. Only a host that it has answered
    /// meanwhile is better off; in an outage for all, the owner keeps renewing leases and placing
    /// accepted work, which a new owner could not before it has read its records.
    WithStore { since: Millis, allows_weak: bool },
}

fn is_candidate(peer: &Peer, now: Millis) -> bool {
    let is_stopping = peer
        .presence
        .as_ref()
        .is_none_or(|presence| presence.is_stopping);
    !is_stopping && peer.store_age(now).is_some_and(|age| age <= STORE_AGE)
}

/// Who is the better owner; smaller is better. Strong hosts near the store come first, then those with
/// more processor time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_weak: bool,
    distance: u64,
    processor: Reverse<u32>,
    name: Name,
}

fn is_weak(processor: u32, strongest: u32) -> bool {
    processor.saturating_mul(WEAK_SHARE) < strongest
}

fn rank(peer: &Peer, strongest: u32) -> Rank {
    let store_time = peer
        .presence
        .as_ref()
        .map_or(u64::MAX, |presence| presence.store_time);
    Rank {
        is_weak: is_weak(peer.record.processor, strongest),
        distance: store_time / DISTANCE_STEP,
        processor: Reverse(peer.record.processor),
        name: peer.record.name.clone(),
    }
}

pub(super) fn shard_partition() -> Partition {
    Partition {
        stream: SHARD_STREAM.into(),
        part: 0,
    }
}
