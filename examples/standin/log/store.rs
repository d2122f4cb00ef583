//! All streams of the log, and the outages that tests inject.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use jayfork::base::Offset;
use jayfork::connection::wire::ReadReply;
use serde::Serialize;
use serde_json::{Value, json};

use super::rate::RateLimit;
use super::stream::{Retention, Stream};
use crate::clock;
use crate::error::Result;
use crate::switches::parse;

/// Reason why the log refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    Down,
    ReadOnly,
    OverRate,
}

/// All streams of the log.
///
/// Switches: `down`, `read_only`, `rate` (appends per second), `retention_ms` and
/// `retention_records`.
#[derive(Debug)]
pub struct LogStore {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    streams: BTreeMap<String, Stream>,
    retention: Retention,
    rate: RateLimit,
    down: bool,
    read_only: bool,
    stats: Stats,
}

#[derive(Debug, Default, Serialize)]
struct Stats {
    /// Number of appends that were stored.
    appends: u64,
    /// Total size of the stored data.
    bytes: u64,
    reads: u64,
    /// Appends refused because of the rate limit.
    over_rate: u64,
    /// Requests refused because of an outage.
    unavailable: u64,
}

impl LogStore {
    pub fn new(retention: Retention, rate: RateLimit) -> Self {
        let state = State {
            streams: BTreeMap::new(),
            retention,
            rate,
            down: false,
            read_only: false,
            stats: Stats::default(),
        };
        LogStore {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    pub fn append(&self, stream: &str, data: &[u8]) -> std::result::Result<Offset, Refusal> {
        let now = clock::now();
        let mut state = self.lock();
        state.check_writable(now)?;
        state.stats.appends += 1;
        state.stats.bytes += data.len() as u64;
        let offset = state
            .streams
            .entry(stream.to_owned())
            .or_default()
            .append(now, data);
        drop(state);
        self.changed.notify_all();
        Ok(offset)
    }

    /// Reads from offset `from` on; waits up to `wait` for a record there.
    pub fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> std::result::Result<ReadReply, Refusal> {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        state.stats.reads += 1;
        loop {
            if state.down {
                state.stats.unavailable += 1;
                return Err(Refusal::Down);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || state.stream(stream).has_record_from(from) {
                return Ok(state.stream(stream).read(from, max));
            }
            state = self
                .changed
                .wait_timeout(state, remaining)
                .expect("no thread panics with the lock")
                .0;
        }
    }

    /// Reads regardless of outages, so that tests see what is stored.
    pub fn inspect(&self, stream: &str, from: u64, max: usize) -> ReadReply {
        self.lock().stream(stream).read(from, max)
    }

    /// Sets a switch; returns `false` if this type has no such switch.
    pub fn set(&self, name: &str, value: &Value) -> Result<bool> {
        let mut state = self.lock();
        match name {
            "down" => state.down = parse(name, value)?,
            "read_only" => state.read_only = parse(name, value)?,
            "rate" => state.rate.set_rate(parse(name, value)?),
            "retention_ms" => state.retention.age = parse(name, value)?,
            "retention_records" => state.retention.records = parse(name, value)?,
            _ => return Ok(false),
        }
        drop(state);
        self.changed.notify_all();
        Ok(true)
    }

    pub fn stats(&self) -> Value {
        let mut state = self.lock();
        let names: Vec<String> = state.streams.keys().cloned().collect();
        let streams: BTreeMap<String, Value> = names
            .into_iter()
            .map(|name| {
                let reply = state.stream(&name).read(0, 0);
                (name, json!({"first": reply.first, "next": reply.next}))
            })
            .collect();
        let mut stats = json!(state.stats);
        stats["streams"] = json!(streams);
        stats
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }
}

impl State {
    fn check_writable(&mut self, now: jayfork::base::Millis) -> std::result::Result<(), Refusal> {
        if self.down || self.read_only {
            self.stats.unavailable += 1;
            return Err(if self.down {
                Refusal::Down
            } else {
                Refusal::ReadOnly
            });
        }
        if !self.rate.try_acquire(now) {
            self.stats.over_rate += 1;
            return Err(Refusal::OverRate);
        }
        Ok(())
    }

    /// Returns the stream after removing its expired records.
    fn stream(&mut self, name: &str) -> &Stream {
        let retention = self.retention;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(clock::now(), retention);
        stream
    }
}
