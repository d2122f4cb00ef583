//! Graceful shutdown of the server.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::service::{Service, big_body};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the server to process what was sent to it.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Guards against a process that exits before its callers have their answers, and against requests
/// that arrive meanwhile and are handled, or dropped without an answer.
#[test]
fn close_refuses_new_requests_and_waits_for_answers() {
    let service = Service::start();
    let mut held = service.caller();
    held.get("/hold");
    let (ticket, _) = service.held();
    let mut idle = service.caller();
    idle.get("/first");
    assert_eq!(idle.answer().status, 200);
    let is_closed = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            service.server.close(CLOSE_TIMEOUT);
            is_closed.store(true, Ordering::Release);
        });
        thread::sleep(SETTLE_TIME);
        for caller in [&mut idle, &mut service.caller()] {
            caller.post("/second", b"body");
            let answer = caller.answer();
            assert_eq!(answer.status, 503);
            assert_eq!(answer.refusal(), ("draining".into(), "not_run".into()));
        }
        assert!(!is_closed.load(Ordering::Acquire));
        let whole = big_body();
        service.answer(ticket, whole.clone());
        // Most of the answer is not written yet, since the caller does not read.
        thread::sleep(SETTLE_TIME);
        assert!(!is_closed.load(Ordering::Acquire));
        assert!(held.answer().body == whole, "the answer is not whole");
    });
    assert!(is_closed.load(Ordering::Acquire));
    assert_eq!(service.seen(), ["/hold", "/first"]);
}

/// Guards against a request that is never answered and thereby blocks the exit of the process.
#[test]
fn close_ends_at_its_time_limit() {
    let service = Service::start();
    let mut held = service.caller();
    held.get("/hold");
    service.held();
    let start = std::time::Instant::now();
    service.server.close(Duration::from_millis(300));
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(300), "{took:?}");
    assert!(took < Duration::from_secs(2), "{took:?}");
}
