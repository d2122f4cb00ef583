//! Time of the stand-ins.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jayfork::base::Millis;

static START: LazyLock<(Duration, Instant)> = LazyLock::new(|| {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    (wall.unwrap_or_default(), Instant::now())
});

/// Milliseconds since the Unix epoch.
///
/// The wall clock is read once, so that a later step of it does not reorder records.
pub fn now() -> Millis {
    let (wall, start) = &*START;
    Millis((*wall + start.elapsed()).as_millis() as u64)
}

pub fn duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}
