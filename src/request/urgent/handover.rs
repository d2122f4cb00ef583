//! Which host is the home of an id, and what must be known before a new home runs it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::base::{Millis, Name, prefer, rank};

use super::types::MessageEpoch;

/// A host that was lost, with what is still unknown about its requests.
#[derive(Debug)]
struct Lost {
    since: Millis,
    /// Instances whose running ids have not been read; `None` until `await_reports` names them.
    unsettled: Option<HashSet<Name>>,
}

impl Lost {
    fn is_settled(&self) -> bool {
        self.unsettled.as_ref().is_some_and(HashSet::is_empty)
    }
}

/// What a lost host means for an id whose home it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hold {
    None,
    /// Settled, but the host's memory of recent ids is gone.
    Forgotten,
    /// The lost host's instances may be running the id.
    Unsettled,
}

#[derive(Debug)]
pub(super) struct Handover {
    host: Name,
    /// Whether no former process of this host can have run ids.
    is_first: bool,
    /// Silence after which a peer is lost.
    silence: Millis,
    /// Live hosts and the time since when they have been continuously live; ordered by name.
    live: BTreeMap<Name, Millis>,
    lost: BTreeMap<Name, Lost>,
    /// Instances that may be running an id, with the time after which a report must be asked for
    /// to show that it has ended.
    blocked: HashMap<Name, Vec<(Name, Millis)>>,
    /// Ids that a peer may run because this host told it that it does not.
    ceded: HashMap<Name, (Name, Millis)>,
    ceded_until: BTreeSet<(Millis, Name)>,
    /// Epoch of this host's messages to each peer; `first` until a message is lost.
    sending: HashMap<Name, MessageEpoch>,
    first: MessageEpoch,
    /// Latest epoch of each peer's messages.
    received: HashMap<Name, MessageEpoch>,
}

impl Handover {
    pub fn new(host: Name, incarnation: u64, silence: Millis) -> Self {
        let first = MessageEpoch {
            incarnation,
            number: 0,
        };
        Handover {
            is_first: false,
            silence,
            sending: HashMap::new(),
            first,
            received: HashMap::new(),
            live: BTreeMap::from([(host.clone(), Millis(0))]),
            host,
            lost: BTreeMap::new(),
            blocked: HashMap::new(),
            ceded: HashMap::new(),
            ceded_until: BTreeSet::new(),
        }
    }

    /// Replaces the live hosts; returns those that were lost, or `None` if nothing changed.
    pub fn set_hosts(&mut self, now: Millis, hosts: &[Name]) -> Option<Vec<Name>> {
        let gone = |name: &&Name| !hosts.contains(name) && **name != self.host;
        let gone: Vec<Name> = self.live.keys().filter(gone).cloned().collect();
        for name in &gone {
            self.live.remove(name);
            let lost = Lost {
                since: now,
                unsettled: None,
            };
            self.lost.entry(name.clone()).or_insert(lost);
        }
        let mut changed = !gone.is_empty();
        for name in hosts.iter().filter(|name| **name != self.host) {
            changed |= !self.live.contains_key(name);
            self.live.entry(name.clone()).or_insert(now);
            self.lost.remove(name);
        }
        changed.then_some(gone)
    }

    /// No process ran under this host's name before, so that no memory of ids was lost.
    pub fn set_first_incarnation(&mut self) {
        self.is_first = true;
    }

    /// Treats every peer as newly met, since this process was stopped.
    pub fn forget_contact(&mut self, now: Millis) {
        for (name, since) in &mut self.live {
            if *name != self.host {
                *since = now;
            }
        }
    }

    pub fn is_live(&self, host: &Name) -> bool {
        self.live.contains_key(host)
    }

    /// The live host that runs `key` or has it run.
    pub fn home(&self, now: Millis, key: &str) -> &Name {
        match self.ceded.get(key) {
            Some((host, until)) if *until > now => host,
            _ => prefer(key, self.live.keys()).unwrap_or(&self.host),
        }
    }

    /// Whether `host` comes before this host in the order of `key`.
    pub fn outranks(&self, key: &str, host: &Name) -> bool {
        prefer(key, [host, &self.host]) == Some(host)
    }

    pub fn await_reports(&mut self, now: Millis, host: &Name, instances: Vec<Name>) {
        let lost = self.lost.entry(host.clone()).or_insert(Lost {
            since: now,
            unsettled: None,
        });
        lost.unsettled.get_or_insert_default().extend(instances);
    }

    pub fn lost_hosts(&self) -> Vec<Name> {
        self.lost.keys().cloned().collect()
    }

    /// Returns whether the instance was unsettled.
    pub fn instance_reported(&mut self, instance: &Name) -> bool {
        let lists = self.lost.values_mut().filter_map(|l| l.unsettled.as_mut());
        let removed = lists.filter_map(|list| list.take(instance));
        removed.count() > 0
    }

    /// Unsettled instances and those that may be running an id.
    pub fn awaited_instances(&self) -> Vec<Name> {
        let unsettled = self.lost.values().filter_map(|l| l.unsettled.as_ref());
        let blocking = self.blocked.values().flatten().map(|(name, _)| name);
        let names: BTreeSet<&Name> = unsettled.flatten().chain(blocking).collect();
        names.into_iter().cloned().collect()
    }

    /// Whether the running ids of a lost host are not known yet.
    pub fn is_unsettled(&self, host: &Name) -> bool {
        self.lost.get(host).is_some_and(|lost| !lost.is_settled())
    }

    /// What lost hosts mean for `key`, if lost less than `window` ago. `presence` is the time since
    /// when this host has held some instance without a break.
    ///
    /// A lost host may be alive and only out of contact. One that comes before this host in the
    /// order of `key` may run the id on any instance that it holds. One that comes later may do
    /// so only after it has settled all instances of this host, which it cannot while this host
    /// still holds one from before the loss.
    pub fn hold(&self, now: Millis, key: &str, window: Millis, presence: Option<Millis>) -> Hold {
        let mut hold = Hold::None;
        for (host, lost) in &self.lost {
            let outranks = self.outranks(key, host);
            let is_present = presence.is_some_and(|since| since + self.silence <= lost.since);
            if !lost.is_settled() && (outranks || !is_present) {
                return Hold::Unsettled;
            }
            let is_forgotten = !self.is_first || *host != self.host;
            if outranks && is_forgotten && now.since(lost.since) < window {
                hold = Hold::Forgotten;
            }
        }
        hold
    }

    /// Live peers that may be running `key` without this host's knowledge, in rank order.
    ///
    /// These are peers with which contact is younger than `window`, since ids may have been
    /// theirs before, and all peers if the former home was lost, since they may be running ids
    /// for it.
    pub fn peers_to_ask(&self, now: Millis, key: &str, window: Millis) -> Vec<Name> {
        let is_recent = |lost: &Lost| now.since(lost.since) < window;
        let mut lost = self.lost.iter().filter(|(_, lost)| is_recent(lost));
        let all = lost.any(|(host, _)| self.outranks(key, host));
        let peers = self.live.iter().filter(|(name, _)| **name != self.host);
        let peers = peers.filter(|(_, since)| all || now.since(**since) < window);
        rank(key, peers.map(|(name, _)| name))
            .into_iter()
            .cloned()
            .collect()
    }

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

    /// Returns in order the ids whose attempt on `instance` is shown to have ended by a report that was asked
    /// for at `reported`.
    pub fn ended(&mut self, instance: &Name, reported: Millis, running: &[Name]) -> Vec<Name> {
        if self.blocked.is_empty() {
            return Vec::new();
        }
        let running: HashSet<&Name> = running.iter().collect();
        let mut ended = Vec::new();
        self.blocked.retain(|key, instances| {
            let before = instances.len();
            instances.retain(|(name, since)| {
                name != instance || reported <= *since || running.contains(key)
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
        self.sending.get(peer).copied().unwrap_or(self.first)
    }

    /// A message to `peer` was lost.
    pub fn advance_epoch(&mut self, peer: &Name) {
        let epoch = self.sending.entry(peer.clone()).or_insert(self.first);
        epoch.number += 1;
    }

    /// Notes the epoch of a message; false if it was sent before a later one was lost.
    pub fn receive(&mut self, peer: &Name, epoch: MessageEpoch) -> bool {
        let latest = self.received.entry(peer.clone()).or_default();
        *latest = epoch.max(*latest);
        epoch == *latest
    }

    pub fn cede(&mut self, key: &Name, host: &Name, until: Millis) {
        self.ceded.insert(key.clone(), (host.clone(), until));
        self.ceded_until.insert((until, key.clone()));
    }

    pub fn poll(&mut self, now: Millis) {
        while let Some((until, _)) = self.ceded_until.first() {
            if *until > now {
                return;
            }
            let Some((until, key)) = self.ceded_until.pop_first() else {
                return;
            };
            if self.ceded.get(&key).is_some_and(|(_, at)| *at <= until) {
                self.ceded.remove(&key);
            }
        }
    }
}
