//! Determines the home of an id, and what a new home must learn before it runs the id.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::base::{Millis, Name, rank, top_ranked};

use super::departure::Departure;
use super::types::MessageEpoch;

/// Host that is no longer live, or an earlier process of this host, with the instances on which its
/// requests may be running.
#[derive(Debug)]
struct LostHost {
    since: Millis,
    /// Instances that have not reported since the loss; `None` until `await_reports` names them.
    unreported: Option<HashSet<Name>>,
    /// When recent ids were lost with it or before; `None` if it has handed all of them over.
    ids_lost: Option<Millis>,
    /// Whether it told this host that it runs no more requests.
    has_departed: bool,
    /// Whether no instance is running a request for it.
    is_clear: bool,
}

impl LostHost {
    fn new(now: Millis) -> Self {
        LostHost {
            since: now,
            unreported: None,
            ids_lost: Some(now),
            has_departed: false,
            is_clear: false,
        }
    }

    fn all_reported(&self) -> bool {
        self.is_clear || self.unreported.as_ref().is_some_and(HashSet::is_empty)
    }
}

/// Effect of lost hosts on an id that they may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LossEffect {
    /// The id may run.
    None,
    /// The id is not running, but the recent ids that the lost host remembered are lost.
    RecentIdsLost,
    /// An instance of a lost host may be running the id.
    AwaitingReports,
}

/// Live and lost hosts of the data centre, and what they may be running.
#[derive(Debug)]
pub(super) struct Handover {
    host: Name,
    /// Whether this is the first process of this host, so that no earlier one can have run ids.
    is_first: bool,
    /// Time without a message after which a peer counts as lost.
    peer_timeout: Millis,
    /// Live hosts, each with the time since which it has been live without interruption.
    live: BTreeMap<Name, Millis>,
    lost: BTreeMap<Name, LostHost>,
    /// By id, the instances that may be running it. A report that was requested after the given
    /// time and does not list the id shows that the attempt on that instance has ended.
    blocked: HashMap<Name, Vec<(Name, Millis)>>,
    /// Ids that a peer may be running, since this host told the peer that it is not. The peer
    /// counts as their home until the given time.
    home_overrides: HashMap<Name, (Name, Millis)>,
    /// Times at which home overrides expire, in order.
    override_expiry: BTreeSet<(Millis, Name)>,
    /// Epoch of the messages to each peer; `first_epoch` until a message to it is lost.
    sent_epochs: HashMap<Name, MessageEpoch>,
    first_epoch: MessageEpoch,
    /// Latest epoch received from each peer.
    received_epochs: HashMap<Name, MessageEpoch>,
}

impl Handover {
    pub fn new(host: Name, incarnation: u64, peer_timeout: Millis) -> Self {
        let first_epoch = MessageEpoch {
            incarnation,
            number: 0,
        };
        Handover {
            is_first: false,
            peer_timeout,
            sent_epochs: HashMap::new(),
            first_epoch,
            received_epochs: HashMap::new(),
            live: BTreeMap::from([(host.clone(), Millis(0))]),
            host,
            lost: BTreeMap::new(),
            blocked: HashMap::new(),
            home_overrides: HashMap::new(),
            override_expiry: BTreeSet::new(),
        }
    }

    /// Replaces the live hosts; returns those that were lost, or `None` if nothing changed.
    pub fn set_hosts(&mut self, now: Millis, hosts: &[Name]) -> Option<Vec<Name>> {
        let is_lost = |name: &&Name| !hosts.contains(name) && **name != self.host;
        let lost_hosts: Vec<Name> = self.live.keys().filter(is_lost).cloned().collect();
        for name in &lost_hosts {
            self.live.remove(name);
            let lost = self.lost.entry(name.clone());
            lost.or_insert_with(|| LostHost::new(now));
        }
        let mut changed = !lost_hosts.is_empty();
        for name in hosts.iter().filter(|name| **name != self.host) {
            changed |= !self.live.contains_key(name);
            self.live.entry(name.clone()).or_insert(now);
            self.lost.remove(name);
        }
        changed.then_some(lost_hosts)
    }

    /// Records that no earlier process ran under this host's name.
    pub fn set_first_incarnation(&mut self) {
        self.is_first = true;
    }

    /// Treats contact with every peer as new, since this process was suspended.
    pub fn reset_contact_times(&mut self, now: Millis) {
        for (name, since) in &mut self.live {
            if *name != self.host {
                *since = now;
            }
        }
    }

    pub fn is_live(&self, host: &Name) -> bool {
        self.live.contains_key(host)
    }

    /// The home of `key`: the live host that runs it or has a peer run it.
    pub fn home(&self, now: Millis, key: &str) -> &Name {
        match self.home_overrides.get(key) {
            Some((host, until)) if *until > now => host,
            _ => top_ranked(key, self.live.keys()).unwrap_or(&self.host),
        }
    }

    /// Whether `host` precedes this host in the rendezvous order of `key`.
    pub fn outranks(&self, key: &str, host: &Name) -> bool {
        top_ranked(key, [host, &self.host]) == Some(host)
    }

    /// Records that `host` is lost and may be running requests on `instances`.
    pub fn await_reports(&mut self, now: Millis, host: &Name, instances: Vec<Name>) {
        let lost = self.lost.entry(host.clone());
        let lost = lost.or_insert_with(|| LostHost::new(now));
        if lost.is_clear {
            return;
        }
        lost.unreported.get_or_insert_default().extend(instances);
    }

    /// Records that `host` runs no more requests and that its recent ids are known here.
    pub fn host_departed(&mut self, now: Millis, host: &Name, departure: &Departure) {
        self.live.remove(host);
        let lost = self.lost.entry(host.clone());
        let lost = lost.or_insert_with(|| LostHost::new(now));
        lost.has_departed = true;
        lost.ids_lost = departure.loss_age.map(|age| now - age);
        lost.is_clear = departure.is_clear;
        if lost.is_clear {
            lost.unreported = None;
        }
    }

    pub fn has_departed(&self, host: &Name) -> bool {
        self.lost.get(host).is_some_and(|lost| lost.has_departed)
    }

    /// When recent ids were last lost that this host should remember as the home of ids; `None` if
    /// none were.
    pub fn ids_lost(&self, now: Millis) -> Option<Millis> {
        let own = match self.lost.get(&self.host) {
            _ if self.is_first => None,
            Some(lost) => lost.ids_lost,
            None => Some(now),
        };
        let others = self.lost.iter().filter(|(host, _)| **host != self.host);
        others.filter_map(|(_, lost)| lost.ids_lost).max().max(own)
    }

    /// Whether no instance may be running an id for a lost host or an earlier holder.
    pub fn is_clear(&self) -> bool {
        let knows_predecessor = self.is_first || self.lost.contains_key(&self.host);
        knows_predecessor
            && self.blocked.is_empty()
            && self.lost.values().all(LostHost::all_reported)
    }

    pub fn lost_hosts(&self) -> Vec<Name> {
        self.lost.keys().cloned().collect()
    }

    /// Records a report of `instance`; returns whether one was awaited because of a lost host.
    pub fn instance_reported(&mut self, instance: &Name) -> bool {
        let lists = self.lost.values_mut().filter_map(|l| l.unreported.as_mut());
        let removed = lists.filter_map(|list| list.take(instance));
        removed.count() > 0
    }

    /// Instances of lost hosts that have not reported, and those that may be running a blocked id.
    pub fn awaited_instances(&self) -> Vec<Name> {
        let unreported = self.lost.values().filter_map(|l| l.unreported.as_ref());
        let blocking = self.blocked.values().flatten().map(|(name, _)| name);
        let names: BTreeSet<&Name> = unreported.flatten().chain(blocking).collect();
        names.into_iter().cloned().collect()
    }

    /// Whether `host` is lost and the ids that it may be running are not all known yet.
    pub fn awaits_reports(&self, host: &Name) -> bool {
        self.lost.get(host).is_some_and(|lost| !lost.all_reported())
    }

    /// Effect of the lost hosts on `key`. Recent ids count as lost for `window` after the loss of a
    /// host. `usable_since` is the time since which this host has held some instance without
    /// interruption.
    ///
    /// A lost host may be alive and only out of contact. If it precedes this host in the rendezvous
    /// order of `key`, it may run the id on any instance that it holds. If it follows, it runs the
    /// id only after it has reports of all instances of this host, which it cannot get while this
    /// host still holds an instance that it held before the loss.
    pub fn loss_effect(
        &self,
        now: Millis,
        key: &str,
        window: Millis,
        usable_since: Option<Millis>,
    ) -> LossEffect {
        let mut effect = LossEffect::None;
        for (host, lost) in &self.lost {
            let outranks = self.outranks(key, host);
            let held_before =
                usable_since.is_some_and(|since| since + self.peer_timeout <= lost.since);
            if !lost.all_reported() && (outranks || !held_before) {
                return LossEffect::AwaitingReports;
            }
            let had_recent_ids = !self.is_first || *host != self.host;
            let is_recent = |at: Millis| now.since(at) < window;
            if outranks && had_recent_ids && lost.ids_lost.is_some_and(is_recent) {
                effect = LossEffect::RecentIdsLost;
            }
        }
        effect
    }

    /// Live peers that may be running `key` without this host's knowledge, in rendezvous order.
    ///
    /// These are the peers with which contact began less than `window` ago, since they may have
    /// been the home of the id before. If an earlier home was lost less than `window` ago, they are
    /// all peers, since any of them may be running the id for it.
    pub fn peers_to_ask(&self, now: Millis, key: &str, window: Millis) -> Vec<Name> {
        let is_recent = |lost: &LostHost| now.since(lost.since) < window;
        let mut lost = self.lost.iter().filter(|(_, lost)| is_recent(lost));
        let all = lost.any(|(host, _)| self.outranks(key, host));
        let peers = self.live.iter().filter(|(name, _)| **name != self.host);
        let peers = peers.filter(|(_, since)| all || now.since(**since) < window);
        rank(key, peers.map(|(name, _)| name))
            .into_iter()
            .cloned()
            .collect()
    }

    /// Records that `instance` may be running `key`, until a report requested after `since` shows
    /// that it is not.
    pub fn block(&mut self, key: &Name, instance: &Name, since: Millis) {
        let instances = self.blocked.entry(key.clone()).or_default();
        match instances.iter_mut().find(|(name, _)| name == instance) {
            Some((_, at)) => *at = since.max(*at),
            None => instances.push((instance.clone(), since)),
        }
    }

    pub fn is_blocked(&self, key: &Name) -> bool {
        self.blocked.contains_key(key)
    }

    /// Removes and returns, in order, the blocked ids that no longer run on `instance` according to
    /// a report requested at `report_requested`.
    pub fn take_ended(
        &mut self,
        instance: &Name,
        report_requested: Millis,
        running: &[Name],
    ) -> Vec<Name> {
        if self.blocked.is_empty() {
            return Vec::new();
        }
        let running: HashSet<&Name> = running.iter().collect();
        let mut ended = Vec::new();
        self.blocked.retain(|key, instances| {
            let before = instances.len();
            instances.retain(|(name, since)| {
                name != instance || report_requested <= *since || running.contains(key)
            });
            if instances.len() < before {
                ended.push(key.clone());
            }
            !instances.is_empty()
        });
        ended.sort_unstable();
        ended
    }

    /// Epoch of the next message to `peer`.
    pub fn epoch(&self, peer: &Name) -> MessageEpoch {
        self.sent_epochs
            .get(peer)
            .copied()
            .unwrap_or(self.first_epoch)
    }

    /// Records that a message to `peer` was lost.
    pub fn advance_epoch(&mut self, peer: &Name) {
        let epoch = self
            .sent_epochs
            .entry(peer.clone())
            .or_insert(self.first_epoch);
        epoch.number += 1;
    }

    /// Records the epoch of a message from `peer`. Returns false if a message with a later epoch
    /// came before: the peer then counts this one as lost, so it must have no effect.
    pub fn accept_epoch(&mut self, peer: &Name, epoch: MessageEpoch) -> bool {
        let latest = self.received_epochs.entry(peer.clone()).or_default();
        *latest = epoch.max(*latest);
        epoch == *latest
    }

    /// Treats `host` as the home of `key` until `until`.
    pub fn override_home(&mut self, key: &Name, host: &Name, until: Millis) {
        self.home_overrides
            .insert(key.clone(), (host.clone(), until));
        self.override_expiry.insert((until, key.clone()));
    }

    /// Removes the home overrides that have expired.
    pub fn expire_overrides(&mut self, now: Millis) {
        while let Some((until, _)) = self.override_expiry.first() {
            if *until > now {
                return;
            }
            let Some((until, key)) = self.override_expiry.pop_first() else {
                return;
            };
            if self
                .home_overrides
                .get(&key)
                .is_some_and(|(_, at)| *at <= until)
            {
                self.home_overrides.remove(&key);
            }
        }
    }
}
