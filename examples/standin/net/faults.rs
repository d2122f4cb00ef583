//! Network faults that tests inject into one listener.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use jayfork::base::Name;
use serde_json::Value;

use super::{Connections, Reply, Request};
use crate::error::Result;
use crate::switches::{FaultTrigger, parse};

/// Header in which clients state their name; `cuts` and `holds` select clients by it.
const CLIENT_HEADER: &str = "client";

/// Disconnects clients, holds back requests and drops answers, as its switches say.
///
/// Switches: `cuts` (clients whose connections close at their next request, `"*"` for all), `holds`
/// (clients whose requests wait until it no longer names them), `freeze` (all requests wait),
/// `delay_ms`, `crash` (closes all connections and accepts none), `lose_answers` (see
/// `FaultTrigger`) and `lose_path` (prefix of the paths whose answers are dropped).
#[derive(Debug)]
pub struct NetworkFaults {
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
    /// Number of crashes and restarts; requests that waited during one are dropped.
    restarts: u64,
    lose_answers: FaultTrigger,
    lose_path: String,
}

impl NetworkFaults {
    /// `lose_path` is the initial value of the switch of that name.
    pub fn new(lose_path: &str) -> Self {
        let state = State {
            cuts: HashSet::new(),
            holds: HashSet::new(),
            delay: Duration::ZERO,
            frozen: false,
            crashed: false,
            restarts: 0,
            lose_answers: FaultTrigger::default(),
            lose_path: lose_path.to_owned(),
        };
        NetworkFaults {
            connections: Connections::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Sets a switch; returns `false` if this type has no such switch.
    pub fn set(&self, name: &str, value: &Value) -> Result<bool> {
        let mut state = self.lock();
        match name {
            "cuts" => state.cuts = parse(name, value)?,
            "holds" => state.holds = parse(name, value)?,
            "delay_ms" => state.delay = Duration::from_millis(parse(name, value)?),
            "freeze" => state.frozen = parse(name, value)?,
            "crash" => state.crashed = parse(name, value)?,
            "lose_answers" => state.lose_answers.set(name, value)?,
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

    /// Closes all connections and drops the waiting requests.
    pub fn restart(&self) {
        self.lock().restarts += 1;
        self.connections.close_all();
        self.changed.notify_all();
    }

    pub fn is_crashed(&self) -> bool {
        self.lock().crashed
    }

    /// Blocks during a delay, a hold or a freeze; returns `false` if the request is to be dropped.
    pub fn wait_until_admitted(&self, request: &Request) -> bool {
        if request.is_control() {
            return true;
        }
        let state = self.lock();
        if state.is_cut_off(request) {
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
        !state.crashed && state.restarts == restarts && !state.is_cut_off(request)
    }

    /// Number of requests that wait because of a delay, a hold or a freeze.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns whether to drop the answer to a request that has taken effect.
    pub fn drops_answer(&self, request: &Request, reply: &Reply) -> bool {
        let Reply::Answer(response) = reply else {
            return false;
        };
        if request.method != http::Method::POST || request.is_control() {
            return false;
        }
        let mut state = self.lock();
        response.status.is_success()
            && request.uri.path().starts_with(&state.lose_path)
            && state.lose_answers.fires()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }
}

impl State {
    fn is_cut_off(&self, request: &Request) -> bool {
        contains_client(&self.cuts, request)
    }

    fn is_held(&self, request: &Request) -> bool {
        self.frozen || contains_client(&self.holds, request)
    }
}

fn contains_client(names: &HashSet<Name>, request: &Request) -> bool {
    let client = request.header(CLIENT_HEADER).unwrap_or_default();
    names.contains("*") || names.contains(client)
}
