//! Rate limit of the appends.

use jayfork::base::Millis;

/// A token bucket; a rate of 0 is unlimited.
#[derive(Debug)]
pub struct RateLimit {
    /// Appends per second.
    rate: u64,
    /// Capacity of the bucket, in thousandths of an append.
    capacity: u64,
    /// Content of the bucket, in thousandths of an append.
    level: u64,
    /// Time of the last refill.
    refilled: Millis,
}

impl RateLimit {
    pub fn new(rate: u64, burst: u64) -> Self {
        let capacity = burst.max(1) * 1000;
        RateLimit {
            rate,
            capacity,
            level: capacity,
            refilled: Millis(0),
        }
    }

    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Takes one append from the bucket; returns `false` if there is none.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        if self.rate == 0 {
            return true;
        }
        let gained = now.since(self.refilled).0.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.capacity);
        self.refilled = now;
        if self.level < 1000 {
            return false;
        }
        self.level -= 1000;
        true
    }
}
