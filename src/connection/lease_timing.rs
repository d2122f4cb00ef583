//! Durations of the lease protocol.

use crate::base::Millis;

/// Durations of the lease protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time to live of a lease on a resource, by the clock of the resource.
    pub ttl: Millis,
    /// Time between renewals, and between attempts to acquire a lease that another host holds.
    pub renew_interval: Millis,
    /// Delay before a renewal or a release that got no answer is repeated.
    pub retry_delay: Millis,
    /// Longest delay between attempts to acquire a lease while the resource does not answer.
    pub max_backoff: Millis,
    /// Time for which a preferred host must have been live before the lease is offered to it.
    pub stable_time: Millis,
    /// Longest time for which a lease is not offered again to a preferred host that did not take
    /// it.
    pub max_keep: Millis,
    /// Time without a known holder after which the host of rank 1 tries to acquire a lease; the
    /// host of rank n waits n times as long.
    pub standby_delay: Millis,
    /// Time for which a host that relinquished a lease leaves it to other hosts. They count this
    /// host as lost when they have received no message from it for 2 s; from then on each tries to
    /// acquire the lease within `renew_interval`.
    pub relinquish_time: Millis,
    /// Time after a restart during which reports that a resource is leaving may still refer to its
    /// previous incarnation.
    pub notice_delay: Millis,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            ttl: Millis(3_000),
            renew_interval: Millis(1_000),
            retry_delay: Millis(200),
            max_backoff: Millis(8_000),
            stable_time: Millis(5_000),
            max_keep: Millis(300_000),
            // The lease of a dead holder expires within 3 s, and the preferred host then tries
            // within 1 s.
            standby_delay: Millis(4_000),
            relinquish_time: Millis(2_500),
            notice_delay: Millis(30_000),
        }
    }
}

impl LeaseTiming {
    /// Time for which a granted lease may be used, counted from the sending of the call.
    ///
    /// It is shorter than `ttl` because the rates of two clocks may differ by 10% and because a
    /// lease may be used up to 200 ms after it was checked.
    pub fn usable_time(&self) -> Millis {
        self.ttl - Millis(self.ttl.0 / 10 + 200)
    }
}
