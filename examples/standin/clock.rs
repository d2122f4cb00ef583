//! Clock of the stand-ins.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jayfork::base::Millis;

static START: LazyLock<(Duration, Instant)> = LazyLock::new(|| {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    (wall.unwrap_or_default(), Instant::now())
});

/// Returns the time in milliseconds since the Unix epoch.
///
/// The wall clock is read only once, so that stepping it later doesn't reorder records.
pub fn now() -> Millis {
    let (wall, start) = &*START;
    Millis((*wall + start.elapsed()).as_millis() as u64)
}

pub fn to_duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}
