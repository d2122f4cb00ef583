//! The owner's side: which hosts relay its orders, and the orders that wait for an answer.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use super::{BatchNumber, OrderBatch, OrderOrigin, SessionId};
use crate::base::{Millis, Name};
use crate::connection::{CallError, WorkerCall};
use crate::process::host::host::{Host, HostAction, PeerPurpose};
use crate::process::host::message::PeerCall;
use crate::process::host::peers::{Peer, Peers};
use crate::process::host::rank::is_low_capacity;
use crate::process::shard::{Now, Route, WorkerTag};

/// Relays of a data centre. With a second one, the loss of a relay holds up half as many workers.
const CENTRE_RELAYS: usize = 2;
/// A host may relay if its last message is not older than this, in milliseconds; it sends one every
/// 400 ms.
const RELAY_AGE: Millis = Millis(1_200);
/// Interval at which the relays are chosen anew, in milliseconds.
const CHOICE_INTERVAL: Millis = Millis(250);
/// Shortest time between two batches to a relay, in milliseconds.
const BATCH_INTERVAL: Millis = Millis(20);
/// Interval of batches without orders, in milliseconds. A relay forgets a session after 5 s without any.
const IDLE_INTERVAL: Millis = Millis(2_000);
/// Batches of a relay that may be without an answer at the same time.
const MAX_OPEN_BATCHES: usize = 16;
/// Timeout of a batch, in milliseconds. It contains the time that the relay holds a batch without an
/// answer of a worker.
pub(super) const BATCH_TIMEOUT: Millis = Millis(600);
/// How much longer a relayed order may take than a call to the worker, in milliseconds.
const RELAY_ALLOWANCE: Millis = Millis(400);
/// No order is written to a worker later than this after it was sent, in milliseconds. A relay refuses a
/// batch that arrives later.
const MAX_ORDER_AGE: Millis = Millis(1_000);
/// How long a host that has failed gets no orders, in milliseconds. The time doubles with each failure.
const FAILURE_PAUSE: Millis = Millis(1_000);
/// Most doublings of this time.
const MAX_DOUBLINGS: u32 = 4;
/// A host without a failure for this long counts as sound, in milliseconds.
const SOUND_TIME: Millis = Millis(30_000);
/// Interval of the search for orders that have waited too long, in milliseconds.
const EXPIRY_INTERVAL: Millis = Millis(50);

/// An order that has no answer yet.
#[derive(Debug)]
pub(super) struct PendingOrder {
    pub tag: WorkerTag,
    deadline: Millis,
    /// Number of the batch that it was sent with; `None` until then.
    pub batch: Option<u64>,
}

/// The connection to one relay.
#[derive(Debug)]
pub(super) struct Link {
    pub address: SocketAddr,
    session: u64,
    /// Whether its batches have numbers, which hosts of earlier versions do not know.
    is_numbered: bool,
    /// Newest reading of the relay's steady clock, and when it arrived. `None` until the host has
    /// answered a batch of this session; until then it gets no orders.
    pub clock: Option<(u64, Millis)>,
    pub pending: HashMap<u64, PendingOrder>,
    /// Orders for the next batch, with their numbers.
    outbox: Vec<(u64, WorkerCall)>,
    /// Batches without a reply.
    pub open_batches: BTreeSet<u64>,
    last_batch: Millis,
}

impl Link {
    fn is_proven(&self) -> bool {
        self.clock.is_some()
    }

    /// Whether the relay can be asked for the replies to batches.
    pub fn keeps_replies(&self) -> bool {
        self.is_numbered && self.is_proven()
    }

    /// Time on the relay's clock after which it refuses a batch that is sent now. The reading was on its
    /// way for a while, so the relay's clock is ahead of this estimate.
    fn not_after(&self, now: Millis) -> u64 {
        let (clock, at) = self.clock.unwrap_or((0, now));
        clock
            .saturating_add(now.since(at).0)
            .saturating_add(MAX_ORDER_AGE.0)
    }

    /// A batch of the orders that wait.
    fn next_batch(&mut self, now: Millis, epoch: u64, number: u64) -> PeerCall {
        self.open_batches.insert(number);
        self.last_batch = now;
        let outbox = std::mem::take(&mut self.outbox);
        for (order, _) in &outbox {
            if let Some(order) = self.pending.get_mut(order) {
                order.batch = Some(number);
            }
        }
        let calls = outbox.iter().map(|(number, call)| (*number, call));
        let session = SessionId {
            epoch,
            number: self.session,
        };
        let batch = OrderBatch::new(session, self.not_after(now), calls);
        if !self.is_numbered {
            return PeerCall::Orders(batch);
        }
        let number = BatchNumber {
            number,
            oldest_open: self.open_batches.first().copied().unwrap_or(number),
            begins: !self.is_proven(),
        };
        PeerCall::NumberedOrders(number, batch)
    }

    fn is_due(&self, now: Millis) -> bool {
        let is_idle = self.is_proven() && self.pending.is_empty();
        if self.open_batches.is_empty() {
            return !is_idle || now.since(self.last_batch) >= IDLE_INTERVAL;
        }
        !self.outbox.is_empty()
            && now.since(self.last_batch) >= BATCH_INTERVAL
            && self.open_batches.len() < MAX_OPEN_BATCHES
    }
}

/// Failures of a host as a relay.
#[derive(Debug)]
struct Failure {
    /// Number of failures in a row.
    count: u32,
    last: Millis,
    /// Whether it did not answer the numbered batch that would have begun a session. The next session has
    /// none, in case that the host is of an earlier version.
    is_numbered_probe: bool,
}

impl Failure {
    /// Whether the host gets no orders.
    fn is_paused(&self, now: Millis) -> bool {
        let doublings = (self.count - 1).min(MAX_DOUBLINGS);
        now.since(self.last) < Millis(FAILURE_PAUSE.0 << doublings)
    }
}

/// Orders that this host sends to workers through other hosts while it owns the shard.
#[derive(Debug, Default)]
pub(in crate::process::host) struct OrderLinks {
    links: HashMap<Name, Link>,
    /// Proven relays by data centre.
    by_centre: HashMap<Name, Vec<Name>>,
    failures: HashMap<Name, Failure>,
    last_choice: Option<Millis>,
    last_expiry: Millis,
    /// Counts orders, sessions and batches.
    last_number: u64,
}

impl OrderLinks {
    /// A number that no order, session or batch has had.
    fn new_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Forgets all relays and orders.
    pub fn clear(&mut self) {
        self.links.clear();
        self.by_centre.clear();
        self.failures.clear();
        self.last_choice = None;
    }

    fn is_choice_due(&self, now: Millis) -> bool {
        self.last_choice
            .is_none_or(|at| now.since(at) >= CHOICE_INTERVAL)
    }

    /// Chooses the relays of each data centre among the large hosts that are alive. A proven relay
    /// stays as long as it qualifies.
    fn choose(&mut self, now: Millis, peers: &Peers, max_processor: u32) {
        self.last_choice = Some(now);
        self.failures
            .retain(|_, failure| now.since(failure.last) < SOUND_TIME);
        let mut by_centre: HashMap<Name, Vec<&Peer>> = HashMap::new();
        for peer in peers.values().filter(|_| !peers.is_small_cluster()) {
            let failure = self.failures.get(&peer.record.name);
            let is_paused = failure.is_some_and(|failure| failure.is_paused(now));
            if !is_paused && may_relay(peer, now, max_processor) {
                let centre = peer.record.data_centre.clone();
                by_centre.entry(centre).or_default().push(peer);
            }
        }
        let mut chosen: HashSet<Name> = HashSet::new();
        let mut proven: HashMap<Name, Vec<Name>> = HashMap::new();
        for (centre, mut hosts) in by_centre {
            hosts.sort_unstable_by_key(|peer| {
                let record = &peer.record;
                let is_proven = self.is_proven(&record.name);
                (!is_proven, Reverse(record.processor), record.name.clone())
            });
            // While there are too few proven relays, the other hosts are probed all at once.
            let proven_count = hosts
                .iter()
                .filter(|peer| self.is_proven(&peer.record.name))
                .take(CENTRE_RELAYS)
                .count();
            let count = match proven_count < CENTRE_RELAYS {
                true => hosts.len(),
                false => CENTRE_RELAYS,
            };
            for peer in &hosts[..count] {
                chosen.insert(peer.record.name.clone());
                self.open(peer);
            }
            let relays: Vec<Name> = hosts[..proven_count]
                .iter()
                .map(|peer| peer.record.name.clone())
                .collect();
            if !relays.is_empty() {
                proven.insert(centre, relays);
            }
        }
        self.links
            .retain(|host, link| chosen.contains(host) || !link.pending.is_empty());
        for (centre, relays) in &proven {
            if self.by_centre.get(centre) != Some(relays) {
                tracing::info!(data_centre = %centre, ?relays, "relays of a data centre have changed");
            }
        }
        for centre in self.by_centre.keys() {
            if !proven.contains_key(centre) {
                tracing::warn!(data_centre = %centre, "data centre has no relay; sending its orders directly");
            }
        }
        self.by_centre = proven;
    }

    fn is_proven(&self, host: &Name) -> bool {
        self.links.get(host).is_some_and(Link::is_proven)
    }

    /// Opens a link to a host, unless there is one.
    fn open(&mut self, peer: &Peer) {
        let record = &peer.record;
        if self.links.contains_key(&record.name) {
            return;
        }
        let failure = self.failures.get(&record.name);
        let link = Link {
            address: record.control,
            is_numbered: !failure.is_some_and(|failure| failure.is_numbered_probe),
            session: self.new_number(),
            clock: None,
            pending: HashMap::new(),
            outbox: Vec::new(),
            open_batches: BTreeSet::new(),
            last_batch: Millis(0),
        };
        self.links.insert(record.name.clone(), link);
    }

    /// Queues an order for a relay.
    fn queue(&mut self, now: Millis, host: &Name, tag: WorkerTag, call: WorkerCall) {
        let number = self.new_number();
        let Some(link) = self.links.get_mut(host) else {
            tracing::error!(%host, worker = %call.worker, "an order has no link to its relay");
            return;
        };
        let deadline = now + call.timeout + RELAY_ALLOWANCE;
        let order = PendingOrder {
            tag,
            deadline,
            batch: None,
        };
        link.pending.insert(number, order);
        link.outbox.push((number, call));
    }

    /// The relay for the next order to a worker; `None` if it goes directly. After each call without an
    /// answer, the next one takes another way: a relay that answers may not reach the worker.
    fn relay_for(&self, route: Route<'_>, worker: &Name) -> Option<Name> {
        let relays = self.by_centre.get(route.data_centre)?;
        let first = spread(worker) % relays.len();
        // The last way is the direct one.
        let index = (first + route.detour as usize) % (relays.len() + 1);
        let relay = relays.get(index)?;
        self.is_proven(relay).then(|| relay.clone())
    }

    /// Removes and returns the orders that have waited too long.
    fn expired(&mut self, now: Millis) -> Vec<PendingOrder> {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return Vec::new();
        }
        self.last_expiry = now;
        let mut expired = Vec::new();
        for link in self.links.values_mut() {
            let pending = link.pending.iter();
            let late = pending.filter(|(_, order)| order.deadline <= now);
            let late: Vec<u64> = late.map(|(number, _)| *number).collect();
            expired.extend(late.iter().filter_map(|number| link.pending.remove(number)));
            link.outbox.retain(|(number, _)| !late.contains(number));
        }
        expired
    }

    /// The next batches and their addresses.
    fn due_batches(&mut self, now: Millis, epoch: u64) -> Vec<(SentBatch, SocketAddr, PeerCall)> {
        let mut batches = Vec::new();
        for (host, link) in &mut self.links {
            if !link.is_due(now) {
                continue;
            }
            self.last_number += 1;
            let number = self.last_number;
            let sent = SentBatch {
                host: host.clone(),
                session: link.session,
                number,
                sent: now,
                questions: 0,
            };
            batches.push((sent, link.address, link.next_batch(now, epoch, number)));
        }
        batches
    }

    /// The link of a host, if it is still in this session.
    pub(super) fn link(&mut self, host: &Name, session: u64) -> Option<&mut Link> {
        let link = self.links.get_mut(host)?;
        (link.session == session).then_some(link)
    }

    /// Ends a session after a failed batch and returns its orders without an answer.
    pub(super) fn end_session(
        &mut self,
        now: Millis,
        host: &Name,
        session: u64,
        error: CallError,
    ) -> Vec<PendingOrder> {
        let Some(link) = self.link(host, session) else {
            return Vec::new();
        };
        let is_probe = link.is_numbered && !link.is_proven();
        let failure = self.failures.entry(host.clone()).or_insert(Failure {
            count: 0,
            last: now,
            is_numbered_probe: false,
        });
        failure.count += 1;
        failure.last = now;
        failure.is_numbered_probe = is_probe && error == CallError::NoAnswer;
        for relays in self.by_centre.values_mut() {
            relays.retain(|relay| relay != host);
        }
        self.by_centre.retain(|_, relays| !relays.is_empty());
        let Some(link) = self.links.remove(host) else {
            return Vec::new();
        };
        link.pending.into_values().collect()
    }
}

/// A batch that was sent to a relay.
#[derive(Debug, Clone)]
pub(in crate::process::host) struct SentBatch {
    pub host: Name,
    pub session: u64,
    pub number: u64,
    pub sent: Millis,
    /// How often the relay was asked for the reply.
    pub questions: u32,
}

impl Host {
    /// Sends an order of the own shard through a relay, or directly if there is none.
    pub(in crate::process::host) fn send_order(
        &mut self,
        now: Now,
        epoch: u64,
        tag: WorkerTag,
        call: WorkerCall,
        out: &mut Vec<HostAction>,
    ) {
        let shard = self.shard.as_ref();
        let route = shard.and_then(|shard| shard.route(now.steady, &call.worker));
        let relay = route.and_then(|route| self.order_links.relay_for(route, &call.worker));
        if let Some(relay) = relay {
            self.order_links.queue(now.steady, &relay, tag, call);
            return;
        }
        let origin = OrderOrigin::Shard { epoch, tag };
        let not_after = now.steady + call.timeout.min(MAX_ORDER_AGE);
        out.push(HostAction::Worker {
            origin,
            call,
            not_after,
        });
    }

    /// Chooses the relays, sends the batches that are due and ends orders that have waited too long.
    pub(in crate::process::host) fn poll_order_links(
        &mut self,
        now: Now,
        out: &mut Vec<HostAction>,
    ) {
        let Some(epoch) = self.shard.as_ref().map(|shard| shard.epoch()) else {
            return;
        };
        if self.order_links.is_choice_due(now.steady) {
            let max_processor = self.max_processor();
            self.order_links
                .choose(now.steady, &self.peers, max_processor);
        }
        for order in self.order_links.expired(now.steady) {
            let error = match order.batch {
                Some(_) => CallError::NoAnswer,
                None => CallError::NotSent,
            };
            self.order_answered(now, epoch, order.tag, Err(error), out);
        }
        for (sent, address, message) in self.order_links.due_batches(now.steady, epoch) {
            let purpose = PeerPurpose::Orders(sent);
            self.call_peer(purpose, address, message, BATCH_TIMEOUT, out);
        }
    }
}

/// Whether a host may relay: it has a large processor, is alive and is not stopping.
fn may_relay(peer: &Peer, now: Millis, max_processor: u32) -> bool {
    let is_alive = peer.last_heard.is_some_and(|at| now.since(at) <= RELAY_AGE);
    let is_staying = peer
        .presence
        .as_ref()
        .is_some_and(|presence| !presence.is_stopping);
    is_alive && is_staying && !is_low_capacity(peer.record.processor, max_processor)
}

/// Spreads the workers of a data centre over its relays.
fn spread(worker: &Name) -> usize {
    worker.bytes().fold(0, |hash: usize, byte| {
        hash.wrapping_mul(31).wrapping_add(usize::from(byte))
    })
}
