//! Limits on memory, time and connections, and callers that disconnect.

use std::thread;
use std::time::Duration;

use jayfork::connection::ApiLimits;

use super::caller::{Answer, Caller};
use super::service::{MAX_BODY, Service, limits};

/// Time for the server to process what was sent to it.
const SETTLE_TIME: Duration = Duration::from_millis(200);
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

fn refusal(answer: &Answer) -> (u16, String, String) {
    let (error, ran) = answer.refusal();
    (answer.status, error, ran)
}

fn expected(status: u16, error: &str) -> (u16, String, String) {
    (status, error.to_owned(), "not_run".to_owned())
}

/// Guards against bodies that together use more memory than allowed, and against a budget that
/// shrinks over time because the share of a body is not returned when the handler drops the body.
#[test]
fn bodies_beyond_the_budget_are_refused() {
    const BODY: usize = 1 << 20;
    let service = Service::with_limits(ApiLimits {
        body_budget: 4 * BODY as u64,
        ..limits()
    });
    for _ in 0..3 {
        let mut held: Vec<Caller> = (0..4).map(|_| service.caller()).collect();
        for caller in &mut held {
            caller.post("/hold", &vec![b'x'; BODY]);
        }
        let mut calls: Vec<_> = (0..4).map(|_| service.held()).collect();
        let mut refused = service.caller();
        refused.send_head("/extra", 1);
        refused.send("x");
        assert_eq!(refusal(&refused.answer()), expected(503, "too_busy"));
        // A request without a body needs no share of the budget.
        let mut empty = service.caller();
        empty.get("/empty");
        assert_eq!(empty.answer().text(), "/empty?");
        for (ticket, call) in calls.drain(..) {
            service.answer(ticket, "done");
            drop(call);
        }
        for caller in &mut held {
            assert_eq!(caller.answer().text(), "done");
        }
    }
    assert!(!service.seen().contains(&"/extra".to_owned()));
}

/// Guards against a truncated body whose share of the budget is never returned.
#[test]
fn truncated_bodies_return_their_share() {
    let service = Service::with_limits(ApiLimits {
        body_budget: 4 << 20,
        ..limits()
    });
    for _ in 0..4 {
        let mut caller = service.caller();
        caller.send_head("/cut", MAX_BODY);
        caller.send(vec![b'x'; 3 << 20]);
        caller.close_sending();
        assert_eq!(refusal(&caller.answer()), expected(400, "truncated_body"));
    }
    let mut caller = service.caller();
    let body = vec![b'y'; 3 << 20];
    caller.post("/echo", &body);
    assert!(caller.answer().body == body, "the body is not whole");
}

/// Guards against an upload that makes no progress and keeps its connection forever, and against a
/// refusal of one that is only slow.
#[test]
fn a_body_without_progress_is_refused() {
    let service = Service::with_limits(ApiLimits {
        body_timeout: SHORT_TIMEOUT,
        ..limits()
    });
    let mut stuck = service.caller();
    stuck.send_head("/stuck", 4_096);
    stuck.send("x");
    let mut slow = service.caller();
    slow.send_head("/slow", 10);
    for _ in 0..10 {
        slow.send("x");
        thread::sleep(SETTLE_TIME);
    }
    assert_eq!(slow.answer().body, vec![b'x'; 10]);
    assert_eq!(refusal(&stuck.answer()), expected(408, "slow_body"));
    assert!(stuck.is_closed());
    assert!(!service.seen().contains(&"/stuck".to_owned()));
}

/// Guards against an incomplete head that keeps its connection open forever.
#[test]
fn a_connection_with_an_incomplete_head_is_closed() {
    let service = Service::with_limits(ApiLimits {
        head_timeout: SHORT_TIMEOUT,
        ..limits()
    });
    let mut caller = service.caller();
    caller.send("GET /head HTTP/1.1\r\nhost:");
    assert!(caller.is_closed());
    assert_eq!(service.seen(), Vec::<String>::new());
}

/// Guards against a caller that does not read its answer, which then keeps its memory and
/// connection forever and delays the exit of the process.
#[test]
fn a_caller_that_does_not_read_is_disconnected() {
    let service = Service::with_limits(ApiLimits {
        answer_timeout: SHORT_TIMEOUT,
        ..limits()
    });
    let mut stuck = service.caller();
    stuck.get("/big");
    thread::sleep(SHORT_TIMEOUT * 3);
    // The part that the kernel has buffered still arrives; then the connection ends.
    assert!(stuck.try_answer().is_err());
    // The answer no longer counts as in progress, so that `close` need not wait for it.
    service.server.close(Duration::from_secs(5));
    assert_eq!(service.seen(), ["/big"]);
}

/// Guards against callers that use up all file descriptors, and against callers beyond the limit
/// that get no answer.
#[test]
fn connections_beyond_the_limit_are_refused() {
    const CONNECTIONS: usize = 8;
    let service = Service::with_limits(ApiLimits {
        max_connections: CONNECTIONS,
        ..limits()
    });
    let mut callers: Vec<Caller> = (0..CONNECTIONS).map(|_| service.caller()).collect();
    for caller in &mut callers {
        caller.get("/first");
        assert_eq!(caller.answer().status, 200);
    }
    for _ in 0..3 {
        let mut refused = service.caller();
        refused.post("/refused", b"body");
        assert_eq!(refusal(&refused.answer()), expected(503, "too_busy"));
        assert!(refused.is_closed());
    }
    for caller in &mut callers {
        caller.get("/second");
        assert_eq!(caller.answer().status, 200);
    }
    drop(callers);
    thread::sleep(SETTLE_TIME);
    let mut caller = service.caller();
    caller.get("/third");
    assert_eq!(caller.answer().text(), "/third?");
    assert!(!service.seen().contains(&"/refused".to_owned()));
}

/// Guards against work that is done for callers that have disconnected.
#[test]
fn the_handler_is_told_of_callers_that_have_disconnected() {
    let service = Service::start();
    let mut patient = service.caller();
    patient.get("/hold");
    let (kept, _) = service.held();
    let mut impatient = service.caller();
    impatient.post("/hold", b"body");
    let (abandoned, _) = service.held();
    drop(impatient);
    assert_eq!(
        service.disconnected(Duration::from_secs(2)),
        Some(abandoned)
    );
    service.answer(abandoned, "late");
    service.answer(kept, "kept");
    assert_eq!(patient.answer().text(), "kept");
    drop(patient);
    assert_eq!(service.disconnected(SETTLE_TIME), None);
}
