use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(5);

/// Polls `probe` until it returns a value; panics with `what` after `limit`.
pub fn eventually<T>(what: &str, limit: Duration, mut probe: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(Instant::now() < deadline, "no {what} within {limit:?}");
        std::thread::sleep(INTERVAL);
    }
}

/// Polls `condition` until it holds; panics with `what` after `limit`.
pub fn until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    eventually(what, limit, || condition().then_some(()));
}
