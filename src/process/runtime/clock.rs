//! Core time of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::base::Millis;

/// Monotonic clock that starts at zero with the process; copies agree.
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
        Millis(instant.duration_since(self.start).as_millis() as u64)
    }

    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// Wall-clock time in ms since the Unix epoch.
pub fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
