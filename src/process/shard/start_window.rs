//! Limits the start orders that wait for an answer to what the link of the owner carries.

use crate::base::Millis;

/// Bytes of orders that may wait at first.
const FIRST_BYTES: usize = 32 << 10;
/// Smallest limit, in bytes.
const MIN_BYTES: usize = 12 << 10;
/// Largest limit, in bytes.
const MAX_BYTES: usize = 4 << 20;
/// Growth of the limit per round trip once answers have been slow, in bytes.
const GROWTH_BYTES: usize = 4 << 10;
/// A longer time to the fastest answer shows that orders queue up, in milliseconds. Workers answer
/// within a few milliseconds, and hosts are at most about 30 ms apart.
const SLOW_ANSWER: Millis = Millis(150);
/// Shortest time between two reductions of the limit, in milliseconds.
const REDUCTION_INTERVAL: Millis = Millis(100);

/// Limit on the bytes of start orders without an answer. Starts carry the payload of their job and
/// can fill a slow link, where the renewals behind them would come too late.
#[derive(Debug)]
pub(super) struct StartWindow {
    limit: usize,
    /// Below this limit, it doubles with each round trip.
    threshold: usize,
    pending: usize,
    /// Shortest time to an answer since the last check. One slow worker leaves it short.
    fastest: Option<Millis>,
    last_check: Millis,
}

impl Default for StartWindow {
    fn default() -> Self {
        StartWindow {
            limit: FIRST_BYTES,
            threshold: MAX_BYTES,
            pending: 0,
            fastest: None,
            last_check: Millis(0),
        }
    }
}

impl StartWindow {
    pub fn is_full(&self) -> bool {
        self.pending >= self.limit
    }

    pub fn add(&mut self, bytes: usize) {
        self.pending += bytes;
    }

    /// Removes an order that is answered or counts as unanswered.
    pub fn remove(&mut self, now: Millis, sent: Millis, bytes: usize) {
        let is_used = 2 * self.pending >= self.limit;
        self.pending = self.pending.saturating_sub(bytes);
        let took = now.since(sent);
        let fastest = self.fastest.map_or(took, |fastest| fastest.min(took));
        self.fastest = Some(fastest);
        if took <= SLOW_ANSWER && is_used {
            let growth = match self.limit < self.threshold {
                true => bytes,
                false => bytes * GROWTH_BYTES / self.limit,
            };
            self.limit = (self.limit + growth).min(MAX_BYTES);
        }
        if now.since(self.last_check) < REDUCTION_INTERVAL {
            return;
        }
        self.last_check = now;
        self.fastest = None;
        if fastest > SLOW_ANSWER {
            self.limit = (self.limit / 2).max(MIN_BYTES);
            self.threshold = self.limit;
        }
    }
}
