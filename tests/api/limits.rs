//! Bounds on what callers can take, and callers that go away.

use std::thread;
use std::time::Duration;

use jayfork::connection::ApiLimits;

use super::caller::{Answer, Caller};
use super::service::{MAX_BODY, Service, limits};

const SETTLE: Duration = Duration::from_millis(200);
const SHORT: Duration = Duration::from_millis(500);

fn refusal(answer: &Answer) -> (u16, String, String) {
    let (error, ran) = answer.refusal();
    (answer.status, error, ran)
}

fn expected(status: u16, error: &str) -> (u16, String, String) {
    (status, error.to_owned(), "not_run".to_owned())
}

/// Guards against callers that together fill the memory, and against a budget that shrinks: the
/// share of a body is given back when the handler drops it.
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
        refused.head("/extra", 1);
        refused.send("x");
        assert_eq!(refusal(&refused.answer()), expected(503, "too_busy"));
        // A request without a body needs no share.
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

/// Guards against the share of an upload that never ends, or whose caller gives up.
#[test]
fn bodies_that_end_early_give_back_their_share() {
    let service = Service::with_limits(ApiLimits {
        body_budget: 4 << 20,
        ..limits()
    });
    for _ in 0..4 {
        let mut caller = service.caller();
        caller.head("/cut", MAX_BODY);
        caller.send(vec![b'x'; 3 << 20]);
        caller.finish();
        assert_eq!(refusal(&caller.answer()), expected(400, "truncated_body"));
    }
    let mut caller = service.caller();
    let body = vec![b'y'; 3 << 20];
    caller.post("/echo", &body);
    assert!(caller.answer().body == body, "the body is not whole");
}

/// Guards against uploads that hold their connection for ever; one that goes on is not cut.
#[test]
fn a_body_without_progress_is_refused() {
    let service = Service::with_limits(ApiLimits {
        body_timeout: SHORT,
        ..limits()
    });
    let mut stuck = service.caller();
    stuck.head("/stuck", 4_096);
    stuck.send("x");
    let mut slow = service.caller();
    slow.head("/slow", 10);
    for _ in 0..10 {
        slow.send("x");
        thread::sleep(SETTLE);
    }
    assert_eq!(slow.answer().body, vec![b'x'; 10]);
    assert_eq!(refusal(&stuck.answer()), expected(408, "slow_body"));
    assert!(stuck.is_closed());
    assert!(!service.seen().contains(&"/stuck".to_owned()));
}

/// Guards against heads that hold their connection for ever.
#[test]
fn a_head_without_end_is_closed() {
    let service = Service::with_limits(ApiLimits {
        head_timeout: SHORT,
        ..limits()
    });
    let mut caller = service.caller();
    caller.send("GET /head HTTP/1.1\r\nhost:");
    assert!(caller.is_closed());
    assert_eq!(service.seen(), Vec::<String>::new());
}

/// Guards against answers that hold their memory and connection for ever, and against cutting a
/// caller that reads slowly.
#[test]
fn a_caller_that_does_not_read_is_cut() {
    let service = Service::with_limits(ApiLimits {
        answer_timeout: SHORT,
        ..limits()
    });
    let mut stuck = service.caller();
    stuck.get("/big");
    thread::sleep(SHORT * 3);
    // What the kernel has buffered still arrives, and then the connection ends.
    assert!(stuck.try_answer().is_err());
    // A stuck answer does not hold up a stop after it is cut.
    service.server.close(Duration::from_secs(5));
    assert_eq!(service.seen(), ["/big"]);
}

/// Guards against callers that use up all file descriptors, and against a silent wait.
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
    thread::sleep(SETTLE);
    let mut caller = service.caller();
    caller.get("/third");
    assert_eq!(caller.answer().text(), "/third?");
    assert!(!service.seen().contains(&"/refused".to_owned()));
}

/// Guards against queued work for callers that have gone.
#[test]
fn the_handler_learns_of_callers_that_have_gone() {
    let service = Service::start();
    let mut patient = service.caller();
    patient.get("/hold");
    let (kept, _) = service.held();
    let mut leaver = service.caller();
    leaver.post("/hold", b"body");
    let (left, _) = service.held();
    drop(leaver);
    assert_eq!(service.gone(Duration::from_secs(2)), Some(left));
    service.answer(left, "late");
    service.answer(kept, "kept");
    assert_eq!(patient.answer().text(), "kept");
    drop(patient);
    assert_eq!(service.gone(SETTLE), None);
}
