//! Times of the lease protocol.

use crate::base::Millis;

/// Times of the lease protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time to live of a control lease, by the clock of its resource.
    pub ttl: Millis,
    /// Time between renewals, and between tries to take a lease that another host holds.
    pub renew_interval: Millis,
    /// Delay before a renewal or a release that got no answer is repeated.
    pub retry: Millis,
    /// Longest delay between calls to a resource that does not answer.
    pub backoff: Millis,
    /// Time that a preferred host must have been live before it is given a lease.
    pub stable_time: Millis,
    /// Longest time that a lease is kept from a preferred host that did not take it when offered.
    pub keep: Millis,
    /// Time that a standby of rank 1 sees no holder before it tries; rank n waits n times as long.
    pub standby_delay: Millis,
    /// Time for which a host that relinquished a lease lets others try: their next tries are at
    /// most `renew_interval` apart, after they have found this host silent for 2 s.
    pub relinquish: Millis,
    /// Time after a restart for which notices of leaving may still mean the former incarnation.
    pub notice: Millis,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            ttl: Millis(3_000),
            renew_interval: Millis(1_000),
            retry: Millis(200),
            backoff: Millis(8_000),
            stable_time: Millis(5_000),
            keep: Millis(300_000),
            // A lease of a dead holder lapses in 3 s and the preferred host tries within 1 s.
            standby_delay: Millis(4_000),
            relinquish: Millis(2_500),
            notice: Millis(30_000),
        }
    }
}

impl LeaseTiming {
    /// Time from the sending of a call for which the granted lease may be used.
    ///
    /// The margin covers clocks whose rates differ by 10%, and 200 ms between a check and its use.
    pub fn usable(&self) -> Millis {
        self.ttl - Millis(self.ttl.0 / 10 + 200)
    }
}
