//! Section `[limits]`.

use crate::version::MAX_BODY;

use super::numbers::numbers;

numbers! {
    /// Bounds on what one entry host takes on.
    pub struct Limits in "limits" {
        /// Calls in flight to backend servers.
        threads: u32 = 64, 1 => 1_024;
        /// Connections of callers open at once; each takes a file descriptor.
        callers: u32 = 512, 1 => 65_536;
        /// Urgent requests that may wait for a slot.
        queue: u32 = 4_096, 1 => 1_000_000;
        /// Largest request body, in bytes.
        body: u64 = MAX_BODY, 1_024 => MAX_BODY;
        /// Bodies held in memory by all waiting and running requests together, in bytes.
        bodies: u64 = 256 << 20, 1 << 20 => 4 << 30;
        /// Largest number of tasks of one job.
        tasks: u32 = 10_000, 1 => 100_000;
        /// Retries as a share of successes.
        retry_budget: f64 = 0.1, 0.0 => 0.5;
        /// Share of each worker that only urgent tasks may use.
        urgent_reserve: f64 = 0.2, 0.0 => 0.9;
        /// Share of a class's running tasks that may be evicted in an hour.
        eviction_budget: f64 = 0.02, 0.0 => 1.0;
        /// Consecutive start failures of different jobs that put a worker into quarantine.
        start_failures: u32 = 3, 1 => 100;
    }
}
