//! Section `[limits]`.

use crate::version::MAX_BODY;

use super::numbers::numbers;

numbers! {
    /// Limits of one entry host.
    pub struct Limits in "limits" {
        /// Maximum number of concurrent calls to backend servers.
        threads: u32 = 64, 1 => 1_024;
        /// Maximum number of open connections of callers; each takes a file descriptor.
        callers: u32 = 512, 1 => 65_536;
        /// Maximum number of urgent requests that wait for a slot.
        queue: u32 = 4_096, 1 => 1_000_000;
        /// Maximum size of a request body, in bytes.
        body: u64 = MAX_BODY, 1_024 => MAX_BODY;
        /// Maximum total size of the bodies of all waiting and running requests, in bytes.
        bodies: u64 = 256 << 20, 1 << 20 => 4 << 30;
        /// Maximum number of tasks of a job.
        tasks: u32 = 10_000, 1 => 100_000;
        /// Maximum number of retries, as a share of the successful requests.
        retry_budget: f64 = 0.1, 0.0 => 0.5;
        /// Share of each worker that is reserved for urgent tasks.
        urgent_reserve: f64 = 0.2, 0.0 => 0.9;
        /// Maximum share of a class's running tasks that may be evicted per hour.
        eviction_budget: f64 = 0.02, 0.0 => 1.0;
        /// Number of consecutive failed starts, of different jobs, after which a worker is put into
        /// quarantine.
        start_failures: u32 = 3, 1 => 100;
    }
}
