//! Ownership of the shard: detecting that its owner is gone, and claiming it.

use std::collections::HashSet;

use super::host::{Host, HostAction, Owner, StorePurpose};
use super::message::KnownOwner;
use super::peers::Peer;
use super::rank::{Rank, is_low_capacity};
use super::streams::{HOSTS_STREAM, OWNER_KEY, shard_partition};
use crate::base::{Millis, Name};
use crate::connection::{KeyedRecord, Partition, StoreAnswer, StoreCall, StoreRequest};
use crate::process::shard::{Handover, Now, RegistryChange, Shard};
use crate::version::{EPOCH_BITS, OwnerRecord, ShardRecord};

/// An owner counts as gone once the last message that any host received from it is older than this,
/// in milliseconds.
pub(super) const OWNER_AGE: Millis = Millis(1_200);
/// The same on a host that sends hellos to the owner rarely, in milliseconds.
const RARE_OWNER_AGE: Millis = Millis(2_000);
/// The same after two consecutive hellos to the owner have failed, in milliseconds.
const FAILED_HELLO_AGE: Millis = Millis(450);
/// Interval of the rounds in which a host without an owner sends hellos to others, in milliseconds.
const ROUND_TIME: Millis = Millis(500);
/// Time to wait for the answers of a round, in milliseconds: a round trip between regions and the
/// processing on a small host.
const ANSWER_TIME: Millis = Millis(250);
/// A host claims the shard no earlier than this after its start, in milliseconds, so that the hosts
/// know each other by then.
const FIRST_CLAIM_TIME: Millis = Millis(900);
/// A host does not claim the shard if the store's last answer is older than this, in milliseconds.
/// Each host reads the configuration from the store about once a second.
pub(super) const STORE_AGE: Millis = Millis(1_600);
/// The journal has no live owner if it has not grown for this long, in milliseconds; an owner
/// appends at least every 500 ms.
const IDLE_JOURNAL_TIME: Millis = Millis(1_300);
/// The same if other hosts answer, but none has heard from the owner.
const IDLE_OWNER_TIME: Millis = Millis(900);
/// A host starts to watch the journal once the last message from the owner is older than this, in
/// milliseconds, so that the end of a live owner is known when the search begins.
const JOURNAL_WATCH_AGE: Millis = Millis(500);
/// Pause between two reads of the journal's end, in milliseconds.
const JOURNAL_READ_PAUSE: Millis = Millis(200);
/// An owner whose journal grows, but that has answered no host for this long, is cut off from the
/// hosts, in milliseconds from the begin of the search.
const UNREACHABLE_OWNER_TIME: Millis = Millis(2_500);
/// Timeout of a call to the store, in milliseconds.
const STORE_TIMEOUT: Millis = Millis(600);
/// How long a low-capacity host leaves the claim to high-capacity ones, in milliseconds: two
/// rounds.
const LOW_CAPACITY_WAIT_TIME: Millis = Millis(1_000);
/// How long a host waits for more answers if less than half of the others have answered, in
/// milliseconds.
const FEW_RESPONDERS_TIME: Millis = Millis(1_000);
/// The same in a large cluster if more than a quarter of the high-capacity hosts are silent, as those
/// of another region are while the link to it is full.
const MANY_SILENT_TIME: Millis = Millis(2_000);
/// No owner has a higher epoch than this: the numbers of runs contain the epoch and 12 more bits.
pub(super) const MAX_EPOCH: u64 = u64::MAX >> 12;

/// State of the search for an owner, of the claim and of a handover.
#[derive(Debug, Default)]
pub(super) struct Claim {
    /// Since when this host has had no owner; `None` while it has one.
    search_started: Option<Millis>,
    /// When the hellos of the current round were sent.
    pub round_started: Option<Millis>,
    /// Hosts that were asked in this round.
    asked: Vec<Name>,
    /// Hosts that have answered in this round.
    responders: HashSet<Name>,
    /// Hosts that were asked in an earlier round of this search and have not answered.
    silent: HashSet<Name>,
    /// The highest epoch that this host knows of; a new claim takes a higher one.
    pub max_epoch: u64,
    /// Epochs up to this one have ended: their owner's process has been restarted, or it has said that
    /// it gave up the shard.
    pub ended_epoch: u64,
    /// Last known end of the journal, and when this host first saw it there.
    journal_end: Option<(u64, Millis)>,
    is_reading_journal: bool,
    /// When the end of the journal was last asked for.
    journal_asked: Millis,
    /// When the store answered another host first after this owner's appends began to fail.
    pub store_proof: Option<Millis>,
    /// Whether a peer was asked to take over and has not answered.
    pub is_handing_over: bool,
    /// When a peer last agreed to take over the shard from this host.
    pub handed_over: Option<Millis>,
    pub claimed_at: Millis,
    /// Epoch of the newest own claim that the others have been told of.
    announced_epoch: u64,
}

impl Claim {
    /// Records that a host has answered in the current round.
    pub fn add_responder(&mut self, host: &Name) {
        self.responders.insert(host.clone());
    }

    pub fn is_searching(&self) -> bool {
        self.search_started.is_some()
    }
}

impl Host {
    /// Updates the known owner from a peer's message. `call_sent` is when this host sent the call
    /// that the message answers, if it answers one.
    pub(super) fn update_owner(
        &mut self,
        now: Now,
        reported: &KnownOwner,
        call_sent: Option<Millis>,
        out: &mut Vec<HostAction>,
    ) {
        self.claim.max_epoch = self.claim.max_epoch.max(reported.epoch);
        if reported.host == self.settings.record.name || reported.epoch <= self.claim.ended_epoch {
            return;
        }
        // The time since the call was sent is added to the age that a peer reports. Otherwise, slow
        // hosts that tell each other of an owner would keep its age low after it is gone.
        let age = match (reported.age, call_sent) {
            (0, _) => Millis(0),
            (age, Some(call_sent)) => Millis(age) + now.steady.since(call_sent),
            (_, None) => return,
        };
        if self
            .shard
            .as_ref()
            .is_some_and(|shard| shard.epoch() < reported.epoch)
        {
            tracing::warn!(owner = %reported.host, epoch = reported.epoch, "another host has claimed the shard with a newer epoch");
            self.give_up_shard(now, out);
        }
        let heard = now.steady.since(age);
        match &mut self.owner {
            Some(owner) if owner.epoch == reported.epoch => {
                if owner.last_heard.is_none_or(|at| at < heard) {
                    owner.last_heard = Some(heard);
                    if reported.age == 0 {
                        owner.failed_hellos = 0;
                        owner.is_refusing = false;
                    }
                }
            }
            Some(owner) if owner.epoch > reported.epoch => {}
            _ => {
                tracing::info!(owner = %reported.host, epoch = reported.epoch, age = reported.age, "shard has a new owner");
                self.owner = Some(Owner {
                    host: reported.host.clone(),
                    boot: reported.boot,
                    epoch: reported.epoch,
                    last_heard: Some(heard),
                    learned: now.steady,
                    failed_hellos: 0,
                    is_refusing: false,
                });
            }
        }
    }

    /// Records that a hello got no answer; `is_refused` if nothing listens at the address.
    pub(super) fn hello_failed(
        &mut self,
        now: Now,
        to: std::net::SocketAddr,
        is_owner: bool,
        is_refused: bool,
    ) {
        self.peers.set_failed(now.steady, to);
        if !is_owner || self.owner_address() != Some(to) {
            return;
        }
        self.retry_hello_soon(now);
        if let Some(owner) = &mut self.owner {
            owner.failed_hellos += 1;
            owner.is_refusing = is_refused;
        }
    }

    /// Searches for an owner and claims the shard, or, as the owner, checks whether to give it up.
    pub(super) fn check_owner(&mut self, now: Now, out: &mut Vec<HostAction>) {
        if self.shard.is_some() {
            self.claim.search_started = None;
            self.announce_claim(now, out);
            self.check_ownership(now, out);
            return;
        }
        self.watch_journal(now, out);
        if self.has_owner(now) || self.stopping.is_some() {
            self.claim.search_started = None;
            self.claim.round_started = None;
            return;
        }
        if self.claim.search_started.is_none() {
            self.claim.search_started = Some(now.steady);
            self.claim.asked.clear();
            self.claim.silent.clear();
            tracing::info!(
                epoch = self.owner.as_ref().map(|owner| owner.epoch),
                "no message from an owner; asking all hosts"
            );
        }
        match self.claim.round_started {
            Some(at) if now.steady.since(at) < ANSWER_TIME => {}
            Some(at) => {
                if self.may_claim(now, at, out) {
                    self.claim(now, None, out);
                } else if now.steady.since(at) >= ROUND_TIME {
                    self.start_round(now, out);
                }
            }
            None => self.start_round(now, out),
        }
    }

    /// Whether the known owner's last message is recent enough.
    fn has_owner(&self, now: Now) -> bool {
        let failed_hellos = self.owner.as_ref().map_or(0, |owner| owner.failed_hellos);
        let limit = match failed_hellos {
            0 | 1 if self.hears_owner_rarely() => RARE_OWNER_AGE,
            0 | 1 => OWNER_AGE,
            _ => FAILED_HELLO_AGE,
        };
        self.has_heard_owner(now, limit)
    }

    /// Whether this host or a peer has heard from the owner within `limit`.
    pub(super) fn has_heard_owner(&self, now: Now, limit: Millis) -> bool {
        let heard = self.owner.as_ref().and_then(|owner| owner.last_heard);
        heard.is_some_and(|at| now.steady.since(at) <= limit)
    }

    /// Sends a hello to all peers, or in a large cluster to the best-ranked ones that have not
    /// failed to answer in this search, and starts to collect the answers.
    fn start_round(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let claim = &mut self.claim;
        for name in std::mem::take(&mut claim.asked) {
            if !claim.responders.contains(&name) {
                claim.silent.insert(name);
            }
        }
        if claim.silent.len() >= self.peers.len() {
            claim.silent.clear();
        }
        claim.round_started = Some(now.steady);
        claim.responders.clear();
        self.claim.asked = self.greet_candidates(now, out);
    }

    /// Sends a hello to all peers, or in a large cluster to the best-ranked ones that are not silent; returns their
    /// names.
    fn greet_candidates(&mut self, now: Now, out: &mut Vec<HostAction>) -> Vec<Name> {
        let targets = self.peers.search_targets(
            self.max_processor(),
            self.is_low_capacity(),
            self.settings.record.boot,
            &self.claim.silent,
        );
        for name in &targets {
            if let Some(address) = self.peers.get(name).map(|peer| peer.record.control) {
                self.send_hello(now, address, false, out);
            }
        }
        targets
    }

    /// Tells those who may claim the shard that this host has. They have asked it while its claim was being stored.
    fn announce_claim(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let claimed = self.shard.as_ref().filter(|shard| shard.is_claimed());
        let Some(epoch) = claimed.map(Shard::epoch) else {
            return;
        };
        if self.claim.announced_epoch != epoch {
            self.claim.announced_epoch = epoch;
            self.greet_candidates(now, out);
        }
    }

    /// Whether more than a quarter of the high-capacity hosts have not answered in this search.
    fn are_many_silent(&self) -> bool {
        let max_processor = self.max_processor();
        let records = self.peers.values().map(|peer| &peer.record);
        let high_capacity =
            records.filter(|record| !is_low_capacity(record.processor, max_processor));
        let (mut all, mut silent) = (0, 0);
        for record in high_capacity {
            let name = &record.name;
            let has_answered = self.claim.responders.contains(name);
            let was_asked = self.claim.silent.contains(name) || self.claim.asked.contains(name);
            all += 1;
            silent += usize::from(was_asked && !has_answered);
        }
        silent * 4 > all
    }

    /// Whether every host that ranks before `own` was asked in this search.
    fn has_asked_better(&self, own: &Rank, max_processor: u32) -> bool {
        let claim = &self.claim;
        self.peers
            .values()
            .filter(|peer| Rank::at_best(peer, max_processor) < *own)
            .map(|peer| &peer.record.name)
            .all(|name| claim.silent.contains(name) || claim.asked.contains(name))
    }

    /// Whether this host may claim the shard now: it ranks first among the hosts that answered.
    fn may_claim(&mut self, now: Now, round_started: Millis, out: &mut Vec<HostAction>) -> bool {
        let has_store = self
            .store_heard
            .is_some_and(|at| now.steady.since(at) <= STORE_AGE);
        let is_new = now.steady.since(self.started) < FIRST_CLAIM_TIME;
        if !has_store || is_new || self.config.version == 0 || self.may_have_successor(now) {
            return false;
        }
        let waited = self
            .claim
            .search_started
            .map_or(Millis(0), |since| now.steady.since(since));
        let must_wait_for_answers = match self.peers.is_small_cluster() {
            true => {
                let responders = self.claim.responders.len();
                responders * 2 < self.peers.len() && waited < FEW_RESPONDERS_TIME
            }
            false => self.are_many_silent() && waited < MANY_SILENT_TIME,
        };
        let must_wait =
            self.is_low_capacity() && waited < LOW_CAPACITY_WAIT_TIME || must_wait_for_answers;
        if must_wait {
            return false;
        }
        let own = self.own_rank();
        let max_processor = self.max_processor();
        let best = self
            .peers
            .values()
            .filter(|peer| self.claim.responders.contains(&peer.record.name))
            .filter(|peer| peer.last_heard.is_some_and(|at| at >= round_started))
            .filter(|peer| is_candidate(peer, now.steady))
            .map(|peer| Rank::of(peer, max_processor))
            .min();
        if best.is_some_and(|best| best < own) || !self.has_asked_better(&own, max_processor) {
            return false;
        }
        // Without an answer, this host may be cut off from all others. If it has answers, the owner
        // may still be alive, but too busy to answer, or cut off by a busy link.
        let idle_time = match self.claim.responders.is_empty() {
            _ if self.peers.is_empty() => return true,
            true => IDLE_JOURNAL_TIME,
            false if self.is_owner_gone() => return true,
            // Hosts that have answered may have heard from it, if this host was cut off until now.
            false
                if waited >= UNREACHABLE_OWNER_TIME
                    && !self.has_heard_owner(now, RARE_OWNER_AGE) =>
            {
                return true;
            }
            false => IDLE_OWNER_TIME,
        };
        let journal_end = self.claim.journal_end;
        if journal_end.is_some_and(|(_, since)| now.steady.since(since) >= idle_time) {
            return true;
        }
        self.read_journal(now, out);
        false
    }

    /// Whether the owner has certainly ended: it said so, or nothing listens at its address.
    fn is_owner_gone(&self) -> bool {
        self.owner.as_ref().is_none_or(|owner| owner.is_refusing)
    }

    /// Reads the end of the journal if the owner has been silent for a while and this host may be
    /// its successor.
    fn watch_journal(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(owner) = &self.owner else {
            return;
        };
        let age = owner.last_heard.map(|at| now.steady.since(at));
        if age.is_some_and(|age| age < JOURNAL_WATCH_AGE) || self.hears_owner_rarely() {
            self.claim.journal_end = None;
            return;
        }
        self.read_journal(now, out);
    }

    fn read_journal(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let pause = now.steady.since(self.claim.journal_asked);
        if self.claim.is_reading_journal || pause < JOURNAL_READ_PAUSE {
            return;
        }
        self.claim.is_reading_journal = true;
        self.claim.journal_asked = now.steady;
        // The page after the last possible key is empty but gives the end of the stream.
        let request = StoreRequest::Newest {
            partition: shard_partition(),
            after: Some("~".to_owned()),
        };
        let timeout = STORE_TIMEOUT;
        out.push(HostAction::Store(
            StorePurpose::Journal,
            StoreCall { request, timeout },
        ));
    }

    pub(super) fn journal_read(
        &mut self,
        now: Now,
        answer: Result<StoreAnswer, crate::connection::CallError>,
    ) {
        self.claim.is_reading_journal = false;
        let Ok(StoreAnswer::Page(page)) = answer else {
            return;
        };
        match self.claim.journal_end {
            Some((end, _)) if end == page.end => {}
            _ => self.claim.journal_end = Some((page.end, now.steady)),
        }
    }

    /// Processor of the largest known host, this one included.
    pub(super) fn max_processor(&self) -> u32 {
        let others = self.peers.values().map(|peer| peer.record.processor);
        others.fold(self.settings.record.processor, u32::max)
    }

    pub(super) fn is_low_capacity(&self) -> bool {
        is_low_capacity(self.settings.record.processor, self.max_processor())
    }

    fn own_rank(&self) -> Rank {
        let record = &self.settings.record;
        let max_processor = self.max_processor();
        Rank::new(
            record.name.clone(),
            record.processor,
            max_processor,
            self.store_time,
        )
    }

    /// Claims the shard; `handover` is what its owner has told this host.
    pub(super) fn claim(
        &mut self,
        now: Now,
        handover: Option<Handover>,
        out: &mut Vec<HostAction>,
    ) {
        let ordinal = (self.claim.max_epoch >> EPOCH_BITS) + 1;
        let mask = (1 << EPOCH_BITS) - 1;
        let epoch = (ordinal << EPOCH_BITS) | (self.settings.record.boot & mask);
        self.claim.max_epoch = epoch;
        self.claim.round_started = None;
        self.claim.claimed_at = now.steady;
        self.claim.is_handing_over = false;
        let owner = OwnerRecord {
            host: self.settings.record.name.clone(),
            boot: self.settings.record.boot,
            epoch,
        };
        tracing::info!(
            epoch,
            answered = self.claim.responders.len(),
            "claiming the shard"
        );
        let value = ShardRecord::Owner(owner.clone()).value();
        let mut actions = Vec::new();
        let shard = Shard::claim_after(
            handover,
            self.settings.shard.clone(),
            shard_partition(),
            owner,
            self.config.clone(),
            now,
            &mut actions,
        );
        self.shard = Some(shard);
        // An owner reads the operator's stream itself.
        self.config_source = self.find_config_source(now);
        self.perform_shard_actions(now, actions, out);
        // Hosts that start later read from this record which epochs are taken.
        let request = StoreRequest::Append {
            partition: Partition {
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
            timeout: STORE_TIMEOUT,
        };
        out.push(HostAction::Store(StorePurpose::Announce, call));
        self.streams.follow_registry(now.steady);
    }

    /// Passes changes of the worker registry to the shard.
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

/// Whether a peer could own the shard: it is not stopping and the store answers it.
pub(super) fn is_candidate(peer: &Peer, now: Millis) -> bool {
    let is_stopping = peer
        .presence
        .as_ref()
        .is_none_or(|presence| presence.is_stopping);
    !is_stopping && peer.store_age(now).is_some_and(|age| age <= STORE_AGE)
}
