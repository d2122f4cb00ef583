//! Clocks of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::base::Millis;

/// Core time at which the process starts. The core also computes times before the start, for
/// example from the age of a peer's read of the log. If core time started at zero, such a time
/// would be cut off at zero and count as too recent.
const ORIGIN: Millis = Millis(3_600_000);

/// Monotonic clock that starts at `ORIGIN`. All copies show the same time.
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

    /// Core time of an instant after the start of the clock.
    pub fn at(&self, instant: Instant) -> Millis {
        ORIGIN + Millis(instant.duration_since(self.start).as_millis() as u64)
    }

    /// The instant of a core time; the start of the clock for earlier ones.
    pub fn instant(&self, time: Millis) -> Instant {
        self.start + Duration::from_millis(time.since(ORIGIN).0)
    }

    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }
}

/// Time since the boot of the machine, with that in which it was suspended; `None` if the system does
/// not tell.
pub fn boot_time() -> Option<Millis> {
    let text = std::fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = text.split(' ').next()?.parse().ok()?;
    Some(Millis((seconds * 1_000.0) as u64))
}

/// Wall-clock time in ms since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
