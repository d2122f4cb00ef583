//! Section `[timing]`.

use crate::base::Millis;

use super::numbers::numbers;

numbers! {
    /// Times and intervals of the protocols. The design page explains the defaults.
    pub struct Timing in "timing" {
        /// Time to live of a control lease.
        lease_ttl: Millis = Millis(3_000), Millis(300) => Millis(60_000);
        /// Interval between renewals of a control lease.
        lease_renewal: Millis = Millis(1_000), Millis(50) => Millis(20_000);
        /// Share of the time to live that a holder does not use, as an allowance for clock drift.
        lease_drift: f64 = 0.1, 0.0 => 0.5;
        /// Time before the expiry that a holder does not use, in addition to `lease_drift`.
        lease_margin: Millis = Millis(200), Millis(10) => Millis(10_000);
        /// Interval between attempts to acquire a lease.
        lease_retry: Millis = Millis(1_000), Millis(50) => Millis(20_000);
        /// Time for which a preferred peer must have been live before a lease is handed back to it.
        handback_delay: Millis = Millis(5_000), Millis(500) => Millis(600_000);
        /// Time to live of a run lease.
        run_ttl: Millis = Millis(20_000), Millis(1_000) => Millis(20_000);
        /// Minimum time between two appends to a stream.
        append_interval: Millis = Millis(100), Millis(10) => Millis(10_000);
        /// Time limit of an append.
        append_timeout: Millis = Millis(5_000), Millis(100) => Millis(60_000);
        /// Time for which a read of the log waits for a new record.
        read_wait: Millis = Millis(2_000), Millis(50) => Millis(30_000);
        /// Number of tasks per worker that are claimed before the worker has capacity for them.
        claim_ahead: u32 = 4, 0 => 64;
        /// Time for which the outcomes of ended tasks are kept.
        finished_ttl: Millis = Millis(3_600_000), Millis(10_000) => Millis(86_400_000);
        /// Share of the log's retention after which a record that is still needed is appended
        /// again.
        retain_fraction: f64 = 0.5, 0.1 => 0.8;
        /// How much longer each entry host waits than the one ranked before it until it appends
        /// records again.
        retain_step: Millis = Millis(5_000), Millis(100) => Millis(600_000);
        /// Time for which a data centre lends unused quota.
        loan_ttl: Millis = Millis(60_000), Millis(5_000) => Millis(3_600_000);
        /// Duration of the first quarantine of a worker on which starts fail.
        quarantine_min: Millis = Millis(30_000), Millis(1_000) => Millis(3_600_000);
        /// Maximum duration of a quarantine.
        quarantine_max: Millis = Millis(1_800_000), Millis(1_000) => Millis(86_400_000);
        /// Interval between heartbeats to peers of the same data centre.
        hello_interval: Millis = Millis(500), Millis(20) => Millis(10_000);
        /// Time without a message after which a peer of the same data centre counts as dead.
        peer_timeout: Millis = Millis(2_000), Millis(100) => Millis(60_000);
        /// Interval between heartbeats to another data centre.
        remote_interval: Millis = Millis(5_000), Millis(100) => Millis(60_000);
        /// Time without a message after which a peer of another data centre counts as dead.
        remote_timeout: Millis = Millis(15_000), Millis(500) => Millis(600_000);
        /// Interval between reads of the platform's host list.
        hosts_interval: Millis = Millis(1_000), Millis(50) => Millis(60_000);
        /// Time limit to connect to a backend server or peer.
        connect_timeout: Millis = Millis(500), Millis(10) => Millis(10_000);
        /// Time limit of a control call to a backend server.
        call_timeout: Millis = Millis(1_000), Millis(50) => Millis(30_000);
    }
}

impl Timing {
    /// Time for which a holder uses a lease, from the time at which it sent the renewal.
    pub fn usable_lease_time(&self) -> Millis {
        let drift = self.lease_ttl.0 as f64 * self.lease_drift;
        self.lease_ttl - Millis(drift.ceil() as u64) - self.lease_margin
    }

    /// Time from a `Suspected` record to `WorkerLost`: the time to live of two run leases, plus 10%
    /// for clock drift, plus 1 s.
    pub fn suspicion_wait(&self) -> Millis {
        Millis(self.run_ttl.0 * 22 / 10 + 1_000)
    }
}
