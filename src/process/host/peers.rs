//! The other hosts as this host knows them. In large clusters a host asks and names only a few of
//! them at a time, so that its messages do not grow with the cluster.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::message::{HostRecord, Presence};
use super::rank::Rank;
use crate::base::{Millis, Name};

/// Up to this many other hosts, a host that searches for an owner asks all of them at once.
const SMALL_CLUSTER: usize = 24;
/// Hosts that a high-capacity host of a larger cluster asks in one round of its search.
const FAN_OUT: usize = 16;
/// The same for a low-capacity host. Any high-capacity host tells it who owns the shard.
const LOW_CAPACITY_FAN_OUT: usize = 4;
/// Hosts of a data centre in a larger cluster from which the others get the configuration, so that it
/// is read from the store only a few times.
const CONFIG_SOURCES: usize = 2;
/// A host may be one of them if its last message is not older than this, in milliseconds.
const SOURCE_AGE: Millis = Millis(2_500);
/// A host that has failed to answer is not asked to be one of them for this long, in milliseconds.
const FAILED_TIME: Millis = Millis(10_000);
/// Hosts that are tried in turn while none of them answers.
const PROBED_SOURCES: usize = 4;
/// Records of other hosts in the answer to a hello.
const SHARED_HOSTS: usize = 8;
/// A host is named to others if its last message is not older than this, in milliseconds.
const SHARED_AGE: Millis = Millis(10_000);
/// A host is forgotten if its last message is older than this, in milliseconds. It comes back with
/// its next hello.
const FORGET_AGE: Millis = Millis(120_000);

/// Most hosts that are known at the same time: four times as many as the largest cluster is built for.
const MAX_HOSTS: usize = 4_096;

/// What this host knows of another one.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub record: HostRecord,
    /// When `presence` arrived.
    pub last_heard: Option<Millis>,
    pub presence: Option<Presence>,
    /// When it last failed to answer a call; `None` once it has sent a message.
    failed: Option<Millis>,
    /// When this host first heard of it.
    added: Millis,
}

impl Peer {
    /// Time since the store last answered the peer.
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        let age = self.presence.as_ref()?.store_age?;
        Some(now.since(self.last_heard?) + Millis(age))
    }

    /// When the store last answered the peer, by this host's clock.
    pub fn store_heard(&self, now: Millis) -> Option<Millis> {
        Some(now.since(self.store_age(now)?))
    }
}

/// All other hosts, by name.
#[derive(Debug)]
pub(super) struct Peers {
    own_name: Name,
    by_name: HashMap<Name, Peer>,
    /// Sorted addresses; rebuilt when a host is added, replaced or forgotten.
    addresses: Vec<SocketAddr>,
    /// Counts the hellos to other hosts, which selects the next one.
    next_hello: usize,
    /// Counts the samples, which selects where the next one begins.
    next_sample: usize,
}

impl Peers {
    /// `seed` spreads the first hellos of hosts that start at the same time.
    pub fn new(own_name: Name, seed: u64) -> Self {
        Peers {
            own_name,
            by_name: HashMap::new(),
            addresses: Vec::new(),
            next_hello: seed as u16 as usize,
            next_sample: seed as u16 as usize,
        }
    }

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    pub fn is_small_cluster(&self) -> bool {
        self.len() <= SMALL_CLUSTER
    }

    pub fn get(&self, name: &Name) -> Option<&Peer> {
        self.by_name.get(name)
    }

    /// The host that listens for peers at `address`.
    pub fn at(&self, address: SocketAddr) -> Option<&Peer> {
        self.values().find(|peer| peer.record.control == address)
    }

    pub fn values(&self) -> impl Iterator<Item = &Peer> {
        self.by_name.values()
    }

    /// Adds a host, or replaces its record if its process has been restarted.
    pub fn add(&mut self, now: Millis, record: HostRecord) {
        let is_new = !self.by_name.contains_key(&record.name);
        if record.name == self.own_name || is_new && self.len() >= MAX_HOSTS {
            return;
        }
        match self.by_name.get_mut(&record.name) {
            Some(peer) if peer.record.boot == record.boot || peer.record == record => return,
            Some(peer) => peer.record = record,
            None => {
                let peer = Peer {
                    record: record.clone(),
                    last_heard: None,
                    presence: None,
                    failed: None,
                    added: now,
                };
                self.by_name.insert(record.name, peer);
            }
        }
        self.rebuild_addresses();
    }

    /// Adds a host that another one has named. The record may be from before a restart, so it does not
    /// replace that of a host which has sent a message lately.
    pub fn add_reported(&mut self, now: Millis, record: HostRecord) {
        let known = self.by_name.get(&record.name);
        let heard = known.and_then(|peer| peer.last_heard);
        if heard.is_none_or(|at| now.since(at) > SHARED_AGE) {
            self.add(now, record);
        }
    }

    /// Records that a host has not answered a call.
    pub fn set_failed(&mut self, now: Millis, address: SocketAddr) {
        let mut peers = self.by_name.values_mut();
        if let Some(peer) = peers.find(|peer| peer.record.control == address) {
            peer.failed = Some(now);
        }
    }

    /// Records the state that a known host has sent.
    pub fn set_presence(&mut self, now: Millis, presence: Presence) {
        if let Some(peer) = self.by_name.get_mut(&presence.host.name) {
            peer.last_heard = Some(now);
            peer.presence = Some(presence);
            peer.failed = None;
        }
    }

    /// Forgets hosts that have sent nothing for long, unless most are silent: then this host is cut
    /// off and needs their addresses.
    pub fn forget_silent(&mut self, now: Millis) {
        let is_alive = |peer: &Peer| {
            let heard = peer.last_heard.unwrap_or(peer.added);
            now.since(heard) <= FORGET_AGE
        };
        let alive = self.values().filter(|peer| is_alive(peer)).count();
        if alive == self.len() || alive * 2 < self.len() {
            return;
        }
        self.by_name.retain(|_, peer| is_alive(peer));
        self.rebuild_addresses();
    }

    fn rebuild_addresses(&mut self) {
        self.addresses = self.values().map(|peer| peer.record.control).collect();
        self.addresses.sort();
    }

    /// Address for the next hello, one host after another; `None` if no host is known.
    pub fn next_hello(&mut self) -> Option<SocketAddr> {
        self.next_hello += 1;
        let index = self.next_hello.checked_rem(self.addresses.len())?;
        self.addresses.get(index).copied()
    }

    /// Records of some hosts that live, different ones each time, and of `always`.
    pub fn sample(&mut self, now: Millis, always: Option<&Name>) -> Vec<HostRecord> {
        let is_alive = |peer: &&Peer| {
            let heard = peer.last_heard;
            heard.is_some_and(|at| now.since(at) <= SHARED_AGE)
        };
        let mut alive: Vec<&Peer> = self.by_name.values().filter(is_alive).collect();
        alive.sort_unstable_by_key(|peer| peer.record.control);
        let start = self.next_sample.checked_rem(alive.len()).unwrap_or(0);
        alive.rotate_left(start);
        alive.truncate(SHARED_HOSTS);
        self.next_sample += alive.len();
        let owner = always.and_then(|name| self.by_name.get(name));
        let is_included = owner.is_some_and(|owner| {
            let mut names = alive.iter().map(|peer| &peer.record.name);
            names.any(|name| *name == owner.record.name)
        });
        alive.extend(owner.filter(|_| !is_included));
        alive.into_iter().map(|peer| peer.record.clone()).collect()
    }

    /// Address of the host from which `own` gets new configurations; `None` if it reads them from the
    /// store itself.
    pub fn config_source(&self, now: Millis, own: &HostRecord) -> Option<SocketAddr> {
        let sources = self.possible_sources(now, own);
        let is_alive = |peer: &&&Peer| {
            let heard = peer.last_heard;
            heard.is_some_and(|at| now.since(at) <= SOURCE_AGE)
        };
        let first = sources.iter().take(CONFIG_SOURCES).filter(is_alive);
        let first: Vec<&&Peer> = first.collect();
        let source = match (own.boot as usize).checked_rem(first.len()) {
            Some(index) => first.get(index).copied(),
            None => sources.iter().find(is_alive),
        };
        source.map(|peer| peer.record.control)
    }

    /// Address of a host that may become the source of new configurations instead of `source` once it has
    /// answered, another one for each `index`; `None` if there is no better one.
    pub fn possible_source(
        &self,
        now: Millis,
        own: &HostRecord,
        source: Option<SocketAddr>,
        index: usize,
    ) -> Option<SocketAddr> {
        let sources = self.possible_sources(now, own);
        let mut first = sources.iter().take(CONFIG_SOURCES);
        if first.any(|peer| Some(peer.record.control) == source) {
            return None;
        }
        let index = index.checked_rem(sources.len())?;
        sources.get(index).map(|peer| peer.record.control)
    }

    /// The hosts of the same data centre that may be the source of new configurations for `own`, the best
    /// one first: those with a large processor, then by name. The first `CONFIG_SOURCES` of them all read
    /// the store: from one to the next, a large configuration would take twice as long.
    fn possible_sources(&self, now: Millis, own: &HostRecord) -> Vec<&Peer> {
        let rank = |record: &HostRecord| (Reverse(record.processor), record.name.clone());
        let own_rank = rank(own);
        let mut before: Vec<&Peer> = self
            .values()
            .filter(|peer| peer.record.data_centre == own.data_centre)
            .filter(|peer| rank(&peer.record) < own_rank)
            .filter(|peer| peer.failed.is_none_or(|at| now.since(at) > FAILED_TIME))
            .collect();
        if self.is_small_cluster() || before.len() < CONFIG_SOURCES {
            return Vec::new();
        }
        before.sort_unstable_by_key(|peer| rank(&peer.record));
        before.truncate(PROBED_SOURCES);
        before
    }

    /// Hosts to ask in the next round of a search for an owner: the best-ranked ones that are not
    /// in `silent`. A low-capacity host starts at another one of the high-capacity hosts, given by
    /// `offset`.
    pub fn search_targets(
        &self,
        max_processor: u32,
        is_low_capacity: bool,
        offset: u64,
        silent: &HashSet<Name>,
    ) -> Vec<Name> {
        if self.is_small_cluster() {
            return self.by_name.keys().cloned().collect();
        }
        let others = self.values();
        let mut ranks: Vec<Rank> = others
            .filter(|peer| !silent.contains(&peer.record.name))
            .map(|peer| Rank::at_best(peer, max_processor))
            .collect();
        ranks.sort_unstable();
        let high_capacity = ranks.partition_point(|rank| !rank.is_low_capacity);
        let fan_out = match is_low_capacity {
            true => {
                let start = (offset as usize).checked_rem(high_capacity).unwrap_or(0);
                ranks[..high_capacity].rotate_left(start);
                LOW_CAPACITY_FAN_OUT
            }
            false => FAN_OUT,
        };
        ranks.truncate(fan_out);
        ranks.into_iter().map(|rank| rank.name).collect()
    }
}
