//! Network faults of one listener.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use jayfork::base::Name;
use serde_json::Value;

use super::{Connections, Reply, Request};
use crate::error::Result;
use crate::switches::{Faults, parse};

/// Header by which a client names itself, so that it can be cut off.
const CLIENT: &str = "client";

/// Cuts clients off, delays requests, loses answers, freezes or closes all connections.
///
/// Switches: `cuts` (client names, `"*"` for all), `holds` (clients whose calls wait until they
/// are released), `freeze` (holds all calls), `delay_ms`, `crash`, `lose_answers` (see `Faults`)
/// and `lose_path` (prefix of the paths whose answers are lost).
#[derive(Debug)]
pub struct Gate {
    pub connections: Connections,
    state: Mutex<State>,
    changed: Condvar,
    waiting: AtomicUsize,
}

#[derive(Debug)]
struct State {
    cuts: HashSet<Name>,
    holds: HashSet<Name>,
    delay: Duration,
    frozen: bool,
    crashed: bool,
    /// Counts crashes and restarts: calls that came before one have no effect after it.
    restarts: u64,
    lost: Faults,
    lose_path: String,
}

impl Gate {
    /// `lose_path` is the prefix of the paths whose answers `lose_answers` loses at first.
    pub fn new(lose_path: &str) -> Self {
        let state = State {
            cuts: HashSet::new(),
            holds: HashSet::new(),
            delay: Duration::ZERO,
            frozen: false,
            crashed: false,
            restarts: 0,
            lost: Faults::default(),
            lose_path: lose_path.to_owned(),
        };
        Gate {
            connections: Connections::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Sets a switch; returns `false` if it is none of this type.
    pub fn set(&self, name: &str, value: &Value) -> Result<bool> {
        let mut state = self.lock();
        match name {
            "cuts" => state.cuts = parse(name, value)?,
            "holds" => state.holds = parse(name, value)?,
            "delay_ms" => state.delay = Duration::from_millis(parse(name, value)?),
            "freeze" => state.frozen = parse(name, value)?,
            "crash" => state.crashed = parse(name, value)?,
            "lose_answers" => state.lost.set(name, value)?,
            "lose_path" => state.lose_path = parse(name, value)?,
            _ => return Ok(false),
        }
        let crashed = state.crashed;
        drop(state);
        if name == "crash" && crashed {
            self.restart();
        }
        self.changed.notify_all();
        Ok(true)
    }

    /// Closes all connections; calls that wait are lost.
    pub fn restart(&self) {
        self.lock().restarts += 1;
        self.connections.close_all();
        self.changed.notify_all();
    }

    pub fn is_crashed(&self) -> bool {
        self.lock().crashed
    }

    /// Waits out a freeze and a delay; returns whether the request may take effect.
    pub fn admits(&self, request: &Request) -> bool {
        if request.is_control() {
            return true;
        }
        let state = self.lock();
        if state.is_cut(request) {
            return false;
        }
        let (delay, restarts) = (state.delay, state.restarts);
        drop(state);
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        let state = self
            .changed
            .wait_while(self.lock(), |state| {
                state.restarts == restarts && state.is_held(request)
            })
            .expect("no thread panics with the lock");
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        !state.crashed && state.restarts == restarts && !state.is_cut(request)
    }

    /// Calls that wait out a delay, a hold or a freeze.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Whether the answer to a request that took effect is lost.
    pub fn loses(&self, request: &Request, reply: &Reply) -> bool {
        let Reply::Answer(response) = reply else {
            return false;
        };
        if request.method != http::Method::POST || request.is_control() {
            return false;
        }
        let mut state = self.lock();
        response.status.is_success()
            && request.uri.path().starts_with(&state.lose_path)
            && state.lost.hits()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }
}

impl State {
    fn is_cut(&self, request: &Request) -> bool {
        names_client(&self.cuts, request)
    }

    fn is_held(&self, request: &Request) -> bool {
        self.frozen || names_client(&self.holds, request)
    }
}

fn names_client(names: &HashSet<Name>, request: &Request) -> bool {
    let client = request.header(CLIENT).unwrap_or_default();
    names.contains("*") || names.contains(client)
}
