use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls `probe` until it returns a value; panics after `limit`, naming `what` it waited for.
pub fn wait_for<T>(what: &str, limit: Duration, mut probe: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out after {limit:?} waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls `condition` until it holds; panics after `limit`, naming `what` it waited for.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    wait_for(what, limit, || condition().then_some(()));
}
