//! Core time of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::base::Millis;

/// Core time at the start of the process. Times before the start, such as that of a peer's read
/// that was told as an age, would be cut off at zero and count as too young.
const ORIGIN: Millis = Millis(3_600_000);

/// Monotonic clock of the process, from `ORIGIN` on; copies agree.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Core time of an instant of this process.
    pub fn at(&self, instant: Instant) -> Millis {
        ORIGIN + Millis(instant.duration_since(self.start).as_millis() as u64)
    }

    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }
}

/// Wall-clock time in ms since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
