//! Calls to a worker that got no answer.

use super::worker::Worker;
use crate::base::Millis;
use crate::connection::{CallError, WorkerAnswer};

/// How long orders take another way after a call without an answer, in milliseconds.
const DETOUR_TIME: Millis = Millis(10_000);

/// Calls without an answer of which each came less than `DETOUR_TIME` after the one before.
#[derive(Debug, Default)]
pub struct Misses {
    count: u32,
    last: Millis,
}

/// How long a worker has given no answer.
#[derive(Debug, Default)]
pub struct Silence {
    /// When its last answer to any call arrived.
    last_answer: Millis,
    /// When the first request for a report failed that was sent after that answer. One that was sent before
    /// proves nothing: its own answer may have been lost earlier.
    pub since: Option<Millis>,
}

impl Silence {
    /// Notes an answer that has arrived now.
    pub fn end(&mut self, now: Millis) {
        self.last_answer = now;
        self.since = None;
    }

    /// Notes that a request for a report has failed, which was sent at `sent`.
    pub fn note_failure(&mut self, now: Millis, sent: Millis) {
        if sent >= self.last_answer {
            self.since.get_or_insert(now);
        }
    }
}

impl Worker {
    /// Notes the answer to an order, or that none came.
    pub fn note_answer(&mut self, now: Millis, answer: &Result<WorkerAnswer, CallError>) {
        match answer {
            // Another worker has answered.
            Ok(WorkerAnswer::WrongWorker) => {}
            Ok(_) => self.silence.end(now),
            Err(_) => self.note_miss(now),
        }
    }

    /// Counts a call without an answer.
    pub fn note_miss(&mut self, now: Millis) {
        self.unanswered += 1;
        self.misses = Misses {
            count: self.detour(now) + 1,
            last: now,
        };
    }

    /// Number of ways to the worker that have failed lately.
    pub fn detour(&self, now: Millis) -> u32 {
        match now.since(self.misses.last) < DETOUR_TIME {
            true => self.misses.count,
            false => 0,
        }
    }
}
