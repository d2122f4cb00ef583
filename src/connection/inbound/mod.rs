//! Bounds the memory and the descriptors that connections from outside hold, those of one listener together.
//!
//! Nobody controls what clients send and when they stop. A connection that keeps the host waiting is closed once
//! another one needs what it holds.

mod choice;
mod lanes;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::body::MemoryShare;
use super::listen::{SocketBuffers, queue_length};
use super::socket::AnswerWatch;
use crate::base::LoggedCount;

pub use choice::{Holder, Shortage, choose_dropped, ends_with_answer};
pub use lanes::{Lane, choose_lane};
pub(crate) use lanes::{LaneError, RequestLanes};

pub const REFUSED_REQUESTS: &str = "jayfork_refused_requests_total";
pub const DROPPED_CONNECTIONS: &str = "jayfork_dropped_connections_total";

/// Memory, in bytes, that a connection holds in the process besides the body that it receives: its buffers and its state.
const CONNECTION_BYTES: u64 = 24 << 10;
/// A connection of another host is closed for others only if no call has come over it for this long. Hosts that live
/// open a new one.
const KNOWN_IDLE_TIME: Duration = Duration::from_secs(60);
/// For how long after a connection was turned away the listener counts as crowded: clients come back after about a second.
const CROWDED_TIME: Duration = Duration::from_secs(2);
/// At once as much is made free as this part of a limit, so that the connections are not searched for each frame.
const BATCH_DIVISOR: u64 = 16;

/// Limits on the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundLimits {
    /// Memory that they may hold together, in bytes.
    pub memory: u64,
    pub connections: usize,
}

/// The connections of a listener; clones refer to the same ones.
#[derive(Clone)]
pub struct Inbound {
    shared: Rc<Shared>,
}

struct Shared {
    /// What the listener is for, in log lines and metrics.
    purpose: &'static str,
    limits: InboundLimits,
    state: RefCell<State>,
    /// Connections that were closed or turned away so far.
    dropped: LoggedCount,
    /// Requests that were refused so far for what their clients sent, or for lack of memory.
    refused: LoggedCount,
}

#[derive(Default)]
struct State {
    open: BTreeMap<u64, Entry>,
    /// Memory of all of them.
    bytes: u64,
    next: u64,
    /// When a connection was last turned away.
    turned_away: Option<Instant>,
}

struct Entry {
    bytes: u64,
    /// Requests that have begun to arrive.
    requests: u32,
    /// Since when the host has waited for its client; `None` while a request is served.
    waiting: Option<Instant>,
    is_idle: bool,
    /// Whether an answer is ready that its client has not taken as a whole.
    is_answering: bool,
    /// Whether another host has opened it.
    is_known: bool,
    closed: Rc<Notify>,
}

/// One connection; clones refer to the same one. What it holds is returned when the last of them is dropped.
#[derive(Clone)]
pub(crate) struct Connection {
    place: Rc<Place>,
}

/// The entry of a connection among the open ones of its listener, which ends when this is dropped.
struct Place {
    inbound: Inbound,
    key: u64,
    closed: Rc<Notify>,
}

/// Memory of a request of a connection, which is returned when this is dropped.
pub(crate) struct RequestMemory {
    place: Rc<Place>,
    bytes: u64,
}

impl Inbound {
    pub fn new(purpose: &'static str, limits: InboundLimits) -> Inbound {
        let shared = Shared {
            purpose,
            limits,
            state: RefCell::default(),
            dropped: LoggedCount::default(),
            refused: LoggedCount::default(),
        };
        Inbound {
            shared: Rc::new(shared),
        }
    }

    /// How many connections may wait in the kernel to be accepted.
    pub(crate) fn queue_length(&self, buffers: SocketBuffers) -> u32 {
        let InboundLimits {
            memory,
            connections,
        } = self.shared.limits;
        queue_length(memory, connections, buffers.received)
    }

    /// Admits a connection with these buffers in the kernel, closing others for it if necessary; `None` if none of them
    /// can be closed.
    pub(crate) fn admit(&self, buffers: SocketBuffers) -> Option<Connection> {
        let bytes = CONNECTION_BYTES + buffers.total();
        if !self.make_room(None, bytes, 1) {
            self.shared.state.borrow_mut().turned_away = Some(Instant::now());
            self.count_dropped("turned_away", 1);
            return None;
        }
        let mut state = self.shared.state.borrow_mut();
        state.next += 1;
        state.bytes += bytes;
        let (key, closed) = (state.next, Rc::new(Notify::new()));
        let entry = Entry {
            bytes,
            requests: 0,
            waiting: Some(Instant::now()),
            is_idle: true,
            is_answering: false,
            is_known: false,
            closed: closed.clone(),
        };
        state.open.insert(key, entry);
        let place = Place {
            inbound: self.clone(),
            key,
            closed,
        };
        Some(Connection {
            place: Rc::new(place),
        })
    }

    /// Closes connections other than `taker` until so much is free; returns false if not enough can become free.
    fn make_room(&self, taker: Option<u64>, bytes: u64, connections: usize) -> bool {
        let limits = self.shared.limits;
        let mut state = self.shared.state.borrow_mut();
        let shortage = Shortage {
            bytes: (state.bytes + bytes).saturating_sub(limits.memory),
            connections: (state.open.len() + connections).saturating_sub(limits.connections),
        };
        if shortage == Shortage::default() {
            return true;
        }
        let batch = Shortage {
            bytes: match shortage.bytes {
                0 => 0,
                bytes => bytes.max(limits.memory / BATCH_DIVISOR),
            },
            connections: match shortage.connections {
                0 => 0,
                count => count.max(limits.connections / BATCH_DIVISOR as usize),
            },
        };
        let now = Instant::now();
        let holders = || {
            let others = state.open.iter().filter(|(key, _)| Some(**key) != taker);
            others.filter_map(|(key, entry)| {
                let waited = now.duration_since(entry.waiting?);
                (!entry.is_known || waited >= KNOWN_IDLE_TIME).then_some(Holder {
                    key: *key,
                    bytes: entry.bytes,
                    waited,
                    is_idle: entry.is_idle,
                })
            })
        };
        let mut chosen = choose_dropped(holders(), batch);
        if chosen.is_empty() {
            chosen = choose_dropped(holders(), shortage);
        }
        for key in &chosen {
            // The memory becomes free as soon as the connection's task runs.
            if let Some(entry) = state.open.remove(key) {
                state.bytes -= entry.bytes;
                entry.closed.notify_one();
            }
        }
        drop(state);
        self.count_dropped("closed", chosen.len() as u64);
        !chosen.is_empty()
    }

    /// Counts closed connections; logs the first, second, fourth, eighth and so on.
    fn count_dropped(&self, result: &'static str, count: u64) {
        if count == 0 {
            return;
        }
        let purpose = self.shared.purpose;
        counter!(DROPPED_CONNECTIONS, "purpose" => purpose, "result" => result).increment(count);
        if let Some(dropped) = self.shared.dropped.add(count) {
            let (open, bytes) = self.load();
            tracing::warn!(purpose, result, dropped, open, bytes, limits = ?self.shared.limits, "connections exceed their limits");
        }
    }

    /// Counts a request that is refused before it runs; logs the first, second, fourth, eighth and so on.
    pub(crate) fn count_refused(&self, reason: &'static str) {
        let purpose = self.shared.purpose;
        counter!(REFUSED_REQUESTS, "purpose" => purpose, "reason" => reason).increment(1);
        if let Some(refused) = self.shared.refused.add(1) {
            let (open, bytes) = self.load();
            tracing::warn!(purpose, reason, refused, open, bytes, "requests refused");
        }
    }

    /// Open connections and their memory in bytes.
    fn load(&self) -> (usize, u64) {
        let state = self.shared.state.borrow();
        (state.open.len(), state.bytes)
    }

    fn release(&self, key: u64, bytes: u64) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.open.get_mut(&key) {
            entry.bytes -= bytes;
            state.bytes -= bytes;
        }
    }
}

impl Connection {
    /// Counts a request on this connection that is refused before it runs.
    pub fn count_refused(&self, reason: &'static str) {
        self.place.inbound.count_refused(reason);
    }

    /// Returns once the connection is to be closed for others.
    pub async fn closed(&self) {
        self.place.closed.notified().await;
    }

    /// Memory for a request, nothing at first.
    pub fn memory(&self) -> RequestMemory {
        RequestMemory {
            place: self.place.clone(),
            bytes: 0,
        }
    }

    /// A request begins to arrive.
    pub fn begin_request(&self) {
        self.place.update(|entry| {
            entry.waiting = Some(Instant::now());
            entry.is_idle = false;
            entry.is_answering = false;
            entry.requests = entry.requests.saturating_add(1);
        });
    }

    /// Whether the connection ends with the next answer, so that others are admitted.
    pub fn ends_with_answer(&self) -> bool {
        let Place { inbound, key, .. } = &*self.place;
        let state = inbound.shared.state.borrow();
        let is_crowded = state
            .turned_away
            .is_some_and(|at| at.elapsed() < CROWDED_TIME);
        let requests = state.open.get(key).map_or(0, |entry| entry.requests);
        ends_with_answer(requests, is_crowded)
    }

    /// A request is complete; the client waits for its answer.
    pub fn begin_answer(&self) {
        self.place.update(|entry| entry.waiting = None);
    }

    /// The answer is ready; its client has to take it.
    pub fn begin_writing(&self) {
        self.place.update(|entry| {
            entry.waiting = Some(Instant::now());
            entry.is_answering = true;
        });
    }

    /// A call has come that only another host can make. Hosts read what arrives, so that its `buffers` no longer count.
    pub fn note_known(&self, buffers: SocketBuffers) {
        let mut is_new = false;
        self.place.update(|entry| {
            entry.waiting = Some(Instant::now());
            is_new = !std::mem::replace(&mut entry.is_known, true);
        });
        if is_new {
            self.place.inbound.release(self.place.key, buffers.total());
        }
    }
}

impl AnswerWatch for Connection {
    /// From now on, the next request is awaited.
    fn answers_written(&self) {
        self.place.update(|entry| {
            if entry.is_answering {
                entry.waiting = Some(Instant::now());
                entry.is_idle = true;
                entry.is_answering = false;
            }
        });
    }
}

impl Place {
    fn update(&self, change: impl FnOnce(&mut Entry)) {
        let mut state = self.inbound.shared.state.borrow_mut();
        if let Some(entry) = state.open.get_mut(&self.key) {
            change(entry);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.inbound.shared.state.borrow_mut();
        if let Some(entry) = state.open.remove(&self.key) {
            state.bytes -= entry.bytes;
        }
    }
}

impl MemoryShare for RequestMemory {
    fn grow(&mut self, bytes: u64) -> bool {
        let Place { inbound, key, .. } = &*self.place;
        if !inbound.make_room(Some(*key), bytes, 0) {
            return false;
        }
        let mut state = inbound.shared.state.borrow_mut();
        let Some(entry) = state.open.get_mut(key) else {
            return false;
        };
        entry.bytes += bytes;
        state.bytes += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        self.place.inbound.release(self.place.key, self.bytes);
    }
}
