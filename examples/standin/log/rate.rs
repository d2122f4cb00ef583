//! Append rate limit.

use jayfork::base::Millis;

/// Token bucket; a rate of 0 admits everything.
#[derive(Debug)]
pub struct RateLimit {
    /// Appends per second.
    rate: u64,
    /// Capacity in thousandths of an append.
    capacity: u64,
    level: u64,
    filled: Millis,
}

impl RateLimit {
    pub fn new(rate: u64, burst: u64) -> Self {
        let capacity = burst.max(1) * 1000;
        RateLimit {
            rate,
            capacity,
            level: capacity,
            filled: Millis(0),
        }
    }

    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    pub fn admits(&mut self, now: Millis) -> bool {
        if self.rate == 0 {
            return true;
        }
        let gained = now.since(self.filled).0.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.capacity);
        self.filled = now;
        if self.level < 1000 {
            return false;
        }
        self.level -= 1000;
        true
    }
}
