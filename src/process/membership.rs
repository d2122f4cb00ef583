//! Which entry hosts are live, which workers they hold, and whether this host may renew run leases.

use std::collections::{HashMap, HashSet};

use crate::base::{Millis, Name, Offset, rank};
use crate::connection::wire::{HeldLease, Hello};

/// Time to live of a run lease in milliseconds, by its worker's clock. A read of the log, or the
/// reports of a majority, permit renewals for as long.
pub const RUN_TTL: Millis = Millis(20_000);

/// Interval of `Hello`s (heartbeats) to each peer of the same data centre, in milliseconds.
const HELLO_INTERVAL: Millis = Millis(500);
/// Interval of `Hello`s to each other data centre, to one of its hosts, in milliseconds.
const REMOTE_HELLO_INTERVAL: Millis = Millis(5_000);
/// A peer of this data centre from which no message came for this long counts as dead, in
/// milliseconds.
const PEER_TIMEOUT: Millis = Millis(2_000);
/// The same for a peer of another data centre.
const REMOTE_PEER_TIMEOUT: Millis = Millis(15_000);
/// Maximum age of a host's last read of the log for it to take workers, in milliseconds.
///
/// It is half of `RUN_TTL`, so that workers move to another host while their run leases can still
/// be renewed. Long polls of the log must take at most 5 s, or a host exceeds it between two polls.
const MAX_READ_AGE: Millis = Millis(10_000);

/// An entry host from the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    pub name: Name,
    pub data_centre: Name,
    pub address: Name,
}

/// The state of the other entry hosts, as they report it to this host.
///
/// A majority is counted among the configured entry hosts of the data centre. Two configurations
/// that differ by more than one host may have disjoint majorities, so hosts must be added and
/// removed one at a time. A name and address must belong to at most one running process.
#[derive(Debug)]
pub struct Membership {
    host: Name,
    data_centre: Name,
    entries: Vec<EntryHost>,
    peers: HashMap<Name, Peer>,
    remote_centres: HashMap<Name, RemoteCentre>,
    /// The last read of the data centre's task stream that reached its end.
    last_read: Option<LogRead>,
}

#[derive(Debug, Clone, Copy)]
struct LogRead {
    /// A time before the read was sent.
    sent: Millis,
    /// Offset of the next record, which did not exist yet.
    offset: Offset,
}

#[derive(Debug, Default)]
struct Peer {
    /// Whether the peer is in this host's data centre.
    local: bool,
    /// When this host last sent a `Hello` to the peer.
    last_hello: Option<Millis>,
    /// When the last `Hello` of the peer arrived.
    last_heard: Option<Millis>,
    draining: bool,
    held: Vec<HeldLease>,
    /// Names of the resources in `held`.
    held_names: HashSet<Name>,
    /// Offset of the next contract record that the peer will apply.
    contracts_offset: Offset,
    /// From the latest `Hello` of the peer that answered a `Hello` of this host.
    report: Option<LogReport>,
}

/// How far a peer had read the log, and bounds on when, by this host's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogReport {
    pub incarnation: u64,
    /// A time before this host sent the `Hello` that the report answers.
    pub hello_sent: Millis,
    /// Next offset that the peer will read.
    pub offset: Offset,
    /// A time before the peer sent its last read of the log; `None` if that was before the zero of
    /// this host's clock.
    read_sent: Option<Millis>,
}

/// Which host of another data centre gets the `Hello`s of this host.
#[derive(Debug, Default)]
struct RemoteCentre {
    last_hello: Option<Millis>,
    /// Index into the hosts of the data centre in rank order; it may exceed their number.
    host_index: usize,
}

impl Membership {
    pub fn new(host: Name, data_centre: Name, entries: Vec<EntryHost>) -> Self {
        let mut peers = HashMap::new();
        let mut remote_centres = HashMap::new();
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
                remote_centres.insert(entry.data_centre.clone(), RemoteCentre::default());
            }
        }
        Membership {
            host,
            data_centre,
            entries,
            peers,
            remote_centres,
            last_read: None,
        }
    }

    /// Processes a `Hello` of a peer. If it answers a `Hello` of this host, `hello_sent` is a time
    /// before that one was sent.
    pub fn hello_received(&mut self, now: Millis, hello_sent: Option<Millis>, hello: &Hello) {
        let Some(peer) = self.peers.get_mut(&hello.host) else {
            return;
        };
        peer.last_heard = Some(now);
        peer.draining = hello.draining;
        peer.contracts_offset = hello.contracts_offset;
        if peer.held != hello.held {
            peer.held.clone_from(&hello.held);
            peer.held_names = hello
                .held
                .iter()
                .map(|held| held.resource.clone())
                .collect();
        }
        // A `Hello` that answers none may have been on its way for any time, for example while this
        // host was frozen. It shows that the peer is alive but permits no renewal.
        let Some(hello_sent) = hello_sent else {
            return;
        };
        if peer
            .report
            .is_some_and(|report| report.hello_sent > hello_sent)
        {
            return;
        }
        // The peer measures the age with its own clock, which may run 10% slower than this one.
        let age = hello.log_age.saturating_add(hello.log_age / 10);
        // A peer that has not read to the end of the stream since it started may lack records that
        // it had read before, so its report does not count.
        peer.report = (hello.log_age != u64::MAX).then_some(LogReport {
            incarnation: hello.incarnation,
            hello_sent,
            offset: hello.log_offset,
            read_sent: hello_sent.0.checked_sub(age).map(Millis),
        });
    }

    /// Records that a read sent at `sent` reached the end of the task stream, at `next`, and that
    /// all records below `next` are applied. The answer may show the stream as it was
    /// when the request was sent, so the time of arrival does not count.
    pub fn log_read(&mut self, now: Millis, sent: Millis, next: Offset) {
        let sent = sent.min(now);
        let newer = |read: &LogRead| read.sent > sent || read.offset > next;
        if !self.last_read.as_ref().is_some_and(newer) {
            self.last_read = Some(LogRead { sent, offset: next });
        }
    }

    /// Age in milliseconds of the last read that reached the end of the task stream, to be sent in
    /// a `Hello`; `u64::MAX` before the first such read.
    pub fn log_age(&self, now: Millis) -> u64 {
        self.last_read
            .map_or(u64::MAX, |read| now.since(read.sent).0)
    }

    /// Live entry hosts of the data centre that are not draining; always includes this host.
    pub fn live_hosts(&self, now: Millis) -> Vec<Name> {
        self.local_names(|name, peer| peer.is_none_or(|p| self.is_live(now, name) && !p.draining))
    }

    /// Live hosts of the data centre that may take workers: those that report a read of the log
    /// within the last 10 s or, if there are none, those that have read as far as a majority.
    pub fn up_to_date_hosts(&self, now: Millis) -> Vec<Name> {
        let reading = self.local_names(|name, peer| {
            let read = match peer {
                None => self.last_read.map(|read| read.sent),
                Some(p) if !p.draining && self.is_live(now, name) => {
                    p.report.and_then(|r| r.read_sent)
                }
                Some(_) => None,
            };
            read.is_some_and(|read| now.since(read) < MAX_READ_AGE)
        });
        if !reading.is_empty() {
            return reading;
        }
        // The whole data centre is cut off from the log. Hosts that have read less than a majority
        // get no workers, since `may_renew` permits them nothing.
        self.local_names(|name, peer| {
            let offset = match peer {
                None => self.last_read.map(|read| read.offset),
                Some(p) if !p.draining && self.is_live(now, name) => p.report.map(|r| r.offset),
                Some(_) => None,
            };
            offset.is_some_and(|offset| self.is_majority(self.count_not_ahead(now, offset)))
        })
    }

    pub fn is_live(&self, now: Millis, name: &str) -> bool {
        let Some(peer) = self.peers.get(name) else {
            return *self.host == *name;
        };
        let timeout = if peer.local {
            PEER_TIMEOUT
        } else {
            REMOTE_PEER_TIMEOUT
        };
        peer.last_heard
            .is_some_and(|heard| now.since(heard) < timeout)
    }

    /// Whether a majority of the data centre's entry hosts, this host included, answers this host.
    pub fn has_majority(&self, now: Millis) -> bool {
        let answering = self
            .log_reports()
            .filter(|(_, report)| is_answering(now, report.hello_sent));
        self.is_majority(1 + answering.count())
    }

    /// Whether this host has read the log to its end within the last 20 s.
    pub fn is_log_recent(&self, now: Millis) -> bool {
        self.last_read
            .is_some_and(|read| now.since(read.sent) < RUN_TTL)
    }

    /// Whether this host may renew run leases and start claimed attempts on a worker that it holds.
    ///
    /// `suspected` is whether a suspicion of the worker is open in this host's ledger. A start also
    /// grants a run lease, so it needs the same permission as a renewal.
    pub fn may_renew(&self, now: Millis, suspected: bool) -> bool {
        let Some(own) = self.last_read else {
            return false;
        };
        if suspected {
            return false;
        }
        // At least one of these must have been true within the last 20 s:
        // - This host read the log to its end.
        // - A peer that has read no further than this host read the log to its end.
        // - A majority has read no further than this host. A host that declares a worker lost first
        //   waits until a majority has read its suspicion. The two majorities share a host, whose
        //   report gives no permission to a holder that has not read the suspicion.
        let recent = |time: Millis| now.since(time) < RUN_TTL;
        let mut reports = self.log_reports().map(|(_, report)| report);
        let by_peer = |report: &LogReport| {
            report.offset <= own.offset && report.read_sent.is_some_and(recent)
        };
        recent(own.sent)
            || reports.any(by_peer)
            || self.is_majority(self.count_not_ahead(now, own.offset))
    }

    /// Number of hosts of the data centre, this host included, that at some time in the last 20 s
    /// had read no further than `offset`.
    fn count_not_ahead(&self, now: Millis, offset: Offset) -> usize {
        let recent = |report: &LogReport| now.since(report.hello_sent) < RUN_TTL;
        let reports = self.log_reports().map(|(_, report)| report);
        let peers = reports
            .filter(|report| recent(report) && report.offset <= offset)
            .count();
        peers + usize::from(self.last_read.is_some_and(|own| own.offset <= offset))
    }

    /// The live peer of the data centre that reports that it holds the resource.
    pub fn holder(&self, now: Millis, resource: &str) -> Option<Name> {
        let holds = |name: &Name, peer: &Peer| {
            peer.local && peer.held_names.contains(resource) && self.is_live(now, name)
        };
        let holder = self.peers.iter().find(|(name, peer)| holds(name, peer));
        holder.map(|(name, _)| name.clone())
    }

    /// The live peer with the most contract records, if it has applied any at or above `offset`.
    /// Peers of this data centre are preferred.
    pub fn contracts_source(&self, now: Millis, offset: Offset) -> Option<Name> {
        let newer = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.contracts_offset > offset);
        let live = newer.filter(|(name, _)| self.is_live(now, name));
        let best = live.max_by_key(|(_, peer)| (peer.local, peer.contracts_offset));
        best.map(|(name, _)| name.clone())
    }

    /// Peers to which a `Hello` is due; counts it as sent to them at `now`.
    pub fn due_hellos(&mut self, now: Millis) -> Vec<Name> {
        let mut due = Vec::new();
        for entry in &self.entries {
            let Some(peer) = self.peers.get_mut(&entry.name) else {
                continue;
            };
            let is_due = peer
                .last_hello
                .is_none_or(|at| now.since(at) >= HELLO_INTERVAL);
            if peer.local && is_due {
                peer.last_hello = Some(now);
                due.push(entry.name.clone());
            }
        }
        for (data_centre, remote) in &mut self.remote_centres {
            if remote
                .last_hello
                .is_some_and(|at| now.since(at) < REMOTE_HELLO_INTERVAL)
            {
                continue;
            }
            let hosts = self
                .entries
                .iter()
                .filter(|entry| entry.data_centre == *data_centre);
            let order = rank(&self.host, hosts.map(|entry| &entry.name));
            let last = &self.peers[order[remote.host_index % order.len()]];
            // If the last host did not answer, the `Hello` goes to the next one.
            if remote
                .last_hello
                .is_some_and(|at| last.last_heard.is_none_or(|heard| heard < at))
            {
                remote.host_index += 1;
            }
            remote.last_hello = Some(now);
            due.push(order[remote.host_index % order.len()].clone());
        }
        due
    }

    /// Number of configured entry hosts of the data centre, this host included.
    pub fn local_host_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.local).count()
    }

    /// Whether `count` hosts are a majority of the data centre's entry hosts.
    pub fn is_majority(&self, count: usize) -> bool {
        2 * count > self.local_host_count()
    }

    /// The latest report of each peer of the data centre that sent one.
    pub fn log_reports(&self) -> impl Iterator<Item = (&Name, &LogReport)> {
        let local = self.peers.iter().filter(|(_, peer)| peer.local);
        local.filter_map(|(name, peer)| Some((name, peer.report.as_ref()?)))
    }

    pub fn data_centre(&self) -> &Name {
        &self.data_centre
    }

    /// Sorted names of the data centre's hosts for which `passes` returns true. For this host,
    /// `passes` gets `None` as the peer.
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

/// Whether a peer answers, if its latest report answers a `Hello` sent at `hello_sent`.
pub(super) fn is_answering(now: Millis, hello_sent: Millis) -> bool {
    now.since(hello_sent) < PEER_TIMEOUT
}
