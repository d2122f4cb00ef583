//! Which entry hosts are live, what they hold, and what this host may conclude from that.

use std::collections::{HashMap, HashSet};

use crate::base::{Millis, Name, Offset, rank};
use crate::connection::wire::{Held, Hello};

/// Time to live of a run lease, by the clock of its worker; also the time for which a read of the
/// log or a word of a majority permits renewals.
pub const RUN_TTL: Millis = Millis(20_000);

/// Time between `Hello`s to a peer of the same data centre, and to one host of each other one.
const HELLO: Millis = Millis(500);
const REMOTE_HELLO: Millis = Millis(5_000);
/// Silence after which a peer counts as dead.
const SILENCE: Millis = Millis(2_000);
const REMOTE_SILENCE: Millis = Millis(15_000);
/// Age of the last read of the log up to which a host may take workers. It is half of `RUN_TTL`,
/// so that workers change hands before their run leases can no longer be renewed.
const INFORMED: Millis = Millis(10_000);

/// An entry host that the settings list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    pub name: Name,
    pub data_centre: Name,
    pub address: Name,
}

/// The entry hosts, as this one hears them.
///
/// Majorities are of the listed entry hosts of the data centre. Lists that differ by more than one
/// host may have majorities without a common host, so hosts are added and removed one at a time.
/// A name and address must lead to at most one running process.
#[derive(Debug)]
pub struct Membership {
    host: Name,
    data_centre: Name,
    entries: Vec<EntryHost>,
    peers: HashMap<Name, Peer>,
    remotes: HashMap<Name, Remote>,
    /// Last read of the data centre's task stream that reached its end.
    read: Option<Read>,
}

#[derive(Debug, Clone, Copy)]
struct Read {
    /// Before the read was sent.
    sent: Millis,
    /// Next offset of the stream.
    offset: Offset,
}

#[derive(Debug, Default)]
struct Peer {
    local: bool,
    greeted: Option<Millis>,
    heard: Option<Millis>,
    draining: bool,
    held: Vec<Held>,
    resources: HashSet<Name>,
    contracts: Offset,
    /// From the last `Hello` that answered one of this host.
    word: Option<LogReport>,
}

/// What a peer knew of the log at a time that this host can bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogReport {
    pub incarnation: u64,
    /// Before the `Hello` that was answered was sent.
    pub asked: Millis,
    /// Next offset that the peer will read.
    pub offset: Offset,
    /// A time, by this host's clock, before the peer's last read of the log was sent; `None` if
    /// that was before the clock's zero.
    read: Option<Millis>,
}

/// Which host of another data centre is greeted.
#[derive(Debug, Default)]
struct Remote {
    greeted: Option<Millis>,
    choice: usize,
}

impl Membership {
    pub fn new(host: Name, data_centre: Name, entries: Vec<EntryHost>) -> Self {
        let mut peers = HashMap::new();
        let mut remotes = HashMap::new();
        for entry in entries.iter().filter(|entry| entry.name != host) {
            let local = entry.data_centre == data_centre;
            peers.insert(
                entry.name.clone(),
                Peer {
                    local,
                    ..Peer::default()
                },
            );
            if !local {
                remotes.insert(entry.data_centre.clone(), Remote::default());
            }
        }
        Membership {
            host,
            data_centre,
            entries,
            peers,
            remotes,
            read: None,
        }
    }

    /// Takes a `Hello`. `asked` is a time before this host sent the `Hello` that it answers.
    ///
    /// A `Hello` that answers none may have been under way for any time, for example while this
    /// host was frozen: it shows that the peer lives, but permits no renewal.
    pub fn hello_received(&mut self, now: Millis, asked: Option<Millis>, hello: &Hello) {
        let Some(peer) = self.peers.get_mut(&hello.host) else {
            return;
        };
        peer.heard = Some(now);
        peer.draining = hello.draining;
        peer.contracts = hello.contracts_offset;
        if peer.held != hello.held {
            peer.held.clone_from(&hello.held);
            peer.resources = hello
                .held
                .iter()
                .map(|held| held.resource.clone())
                .collect();
        }
        let Some(asked) = asked else {
            return;
        };
        if peer.word.is_some_and(|word| word.asked > asked) {
            return;
        }
        // The age is by the peer's clock, which may run 10% slower.
        let age = hello.log_age.saturating_add(hello.log_age / 10);
        // A peer that has not reached the end of the stream since its start may have forgotten
        // what it read before, so it gives no word.
        peer.word = (hello.log_age != u64::MAX).then_some(LogReport {
            incarnation: hello.incarnation,
            asked,
            offset: hello.log_offset,
            read: asked.0.checked_sub(age).map(Millis),
        });
    }

    /// Takes note that a read sent at `sent` reached the end of the task stream, at `next`, and
    /// that all records below `next` are applied.
    ///
    /// What the answer says may be as old as the request, so its arrival does not count.
    pub fn log_read(&mut self, now: Millis, sent: Millis, next: Offset) {
        let sent = sent.min(now);
        let newer = |read: &Read| read.sent > sent || read.offset > next;
        if !self.read.as_ref().is_some_and(newer) {
            self.read = Some(Read { sent, offset: next });
        }
    }

    /// Age of the last read that reached the end, for `Hello`; `u64::MAX` before the first.
    pub fn log_age(&self, now: Millis) -> u64 {
        self.read.map_or(u64::MAX, |read| now.since(read.sent).0)
    }

    /// Live entry hosts of the data centre that are not draining, itself included.
    pub fn live_hosts(&self, now: Millis) -> Vec<Name> {
        self.local_names(|name, peer| peer.is_none_or(|p| self.is_live(now, name) && !p.draining))
    }

    /// Live hosts that may take workers: those that read the log within 10 s, by their own word.
    ///
    /// If the whole data centre is cut off from the log, those that have read as far as a majority
    /// did, since `may_renew` permits nothing to the others. A host reads the log by long polls of
    /// at most 5 s, or it stops counting between them.
    pub fn up_to_date_hosts(&self, now: Millis) -> Vec<Name> {
        let reading = self.local_names(|name, peer| {
            let read = match peer {
                None => self.read.map(|read| read.sent),
                Some(p) if !p.draining && self.is_live(now, name) => p.word.and_then(|w| w.read),
                Some(_) => None,
            };
            read.is_some_and(|read| now.since(read) < INFORMED)
        });
        if !reading.is_empty() {
            return reading;
        }
        self.local_names(|name, peer| {
            let offset = match peer {
                None => self.read.map(|read| read.offset),
                Some(p) if !p.draining && self.is_live(now, name) => p.word.map(|w| w.offset),
                Some(_) => None,
            };
            offset.is_some_and(|offset| self.is_majority(self.agreeing(now, offset)))
        })
    }

    pub fn is_live(&self, now: Millis, name: &str) -> bool {
        let Some(peer) = self.peers.get(name) else {
            return *self.host == *name;
        };
        let silence = if peer.local { SILENCE } else { REMOTE_SILENCE };
        peer.heard.is_some_and(|heard| now.since(heard) < silence)
    }

    /// Whether a majority of the data centre's entry hosts answers, itself included.
    pub fn has_majority(&self, now: Millis) -> bool {
        let answering = self.words().filter(|(_, word)| answers(now, word.asked));
        self.is_majority(1 + answering.count())
    }

    /// Whether this host has read the log to its end within the last 20 s.
    pub fn reads_log(&self, now: Millis) -> bool {
        self.read.is_some_and(|read| now.since(read.sent) < RUN_TTL)
    }

    /// Whether run leases may be renewed, and claims started, on a worker whose lease is held.
    ///
    /// `suspected` tells whether a suspicion of the worker is open in this host's ledger. Starting
    /// a claim needs the same permission as renewing, since a start also grants a run lease.
    ///
    /// Within the last 20 s, either the log was read to its end, directly or by a peer that has
    /// read no further than this host; or a majority has read no further than this host. A host
    /// that declares a worker lost waits until a majority has read its suspicion, so the two
    /// majorities share a host, and that host permits nothing to a holder that has not read it.
    pub fn may_renew(&self, now: Millis, suspected: bool) -> bool {
        let Some(own) = self.read else {
            return false;
        };
        if suspected {
            return false;
        }
        let recent = |time: Millis| now.since(time) < RUN_TTL;
        let mut words = self.words().map(|(_, word)| word);
        let by_peer = |word: &LogReport| word.offset <= own.offset && word.read.is_some_and(recent);
        recent(own.sent) || words.any(by_peer) || self.is_majority(self.agreeing(now, own.offset))
    }

    /// Number of hosts that had, within the last 20 s, read no further than `offset`.
    fn agreeing(&self, now: Millis, offset: Offset) -> usize {
        let recent = |word: &LogReport| now.since(word.asked) < RUN_TTL;
        let words = self.words().map(|(_, word)| word);
        let peers = words
            .filter(|word| recent(word) && word.offset <= offset)
            .count();
        peers + usize::from(self.read.is_some_and(|own| own.offset <= offset))
    }

    /// The live peer of the data centre that reports that it holds the resource.
    pub fn holder(&self, now: Millis, resource: &str) -> Option<Name> {
        let holds = |name: &Name, peer: &Peer| {
            peer.local && peer.resources.contains(resource) && self.is_live(now, name)
        };
        let holder = self.peers.iter().find(|(name, peer)| holds(name, peer));
        holder.map(|(name, _)| name.clone())
    }

    /// A live peer that has applied contract records at or above `offset`, nearest first.
    pub fn ahead(&self, now: Millis, offset: Offset) -> Option<Name> {
        let ahead = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.contracts > offset);
        let live = ahead.filter(|(name, _)| self.is_live(now, name));
        let best = live.max_by_key(|(_, peer)| (peer.local, peer.contracts));
        best.map(|(name, _)| name.clone())
    }

    /// Peers to greet now; counts them as greeted.
    pub fn due_hellos(&mut self, now: Millis) -> Vec<Name> {
        let mut due = Vec::new();
        for entry in &self.entries {
            let Some(peer) = self.peers.get_mut(&entry.name) else {
                continue;
            };
            let waited = peer.greeted.is_none_or(|at| now.since(at) >= HELLO);
            if peer.local && waited {
                peer.greeted = Some(now);
                due.push(entry.name.clone());
            }
        }
        for (data_centre, remote) in &mut self.remotes {
            if remote
                .greeted
                .is_some_and(|at| now.since(at) < REMOTE_HELLO)
            {
                continue;
            }
            let hosts = self
                .entries
                .iter()
                .filter(|entry| entry.data_centre == *data_centre);
            let order = rank(&self.host, hosts.map(|entry| &entry.name));
            let last = &self.peers[order[remote.choice % order.len()]];
            // Greets the next host if the last one did not answer.
            if remote
                .greeted
                .is_some_and(|at| last.heard.is_none_or(|heard| heard < at))
            {
                remote.choice += 1;
            }
            remote.greeted = Some(now);
            due.push(order[remote.choice % order.len()].clone());
        }
        due
    }

    /// Listed entry hosts of the data centre, itself included.
    pub fn local_host_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.local).count()
    }

    /// Whether `count` hosts are a majority of the data centre's entry hosts.
    pub fn is_majority(&self, count: usize) -> bool {
        2 * count > self.local_host_count()
    }

    /// The last word of each peer of the data centre that gave one.
    pub fn words(&self) -> impl Iterator<Item = (&Name, &LogReport)> {
        let local = self.peers.iter().filter(|(_, peer)| peer.local);
        local.filter_map(|(name, peer)| Some((name, peer.word.as_ref()?)))
    }

    pub fn data_centre(&self) -> &Name {
        &self.data_centre
    }

    /// Names of this data centre's hosts that pass; this host comes without a `Peer`.
    fn local_names(&self, passes: impl Fn(&Name, Option<&Peer>) -> bool) -> Vec<Name> {
        let local = self.peers.iter().filter(|(_, peer)| peer.local);
        let mut names: Vec<Name> = local
            .filter(|(name, peer)| passes(name, Some(peer)))
            .map(|(name, _)| name.clone())
            .collect();
        if passes(&self.host, None) {
            names.push(self.host.clone());
        }
        names.sort();
        names
    }
}

/// Whether a peer whose last word was asked for at `asked` answers now.
pub(super) fn answers(now: Millis, asked: Millis) -> bool {
    now.since(asked) < SILENCE
}
