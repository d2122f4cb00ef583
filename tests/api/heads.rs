//! Request heads.

use yare::parameterized;

use super::service::Service;

/// Guards against a request that reaches the handler although its head can be read in several ways
/// or not at all.
#[parameterized(
    no_request = { "hello\r\n\r\n", 400 },
    no_version = { "GET /\r\n\r\n", 400 },
    unknown_version = { "GET / HTTP/9.9\r\n\r\n", 400 },
    header_without_colon = { "GET / HTTP/1.1\r\nhost test\r\n\r\n", 400 },
    length_not_a_number = { "POST / HTTP/1.1\r\nhost: t\r\ncontent-length: ten\r\n\r\n", 400 },
    two_lengths = {
        "POST / HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", 400
    },
    binary = { "\u{1}\u{2}\u{3}\r\n\r\n", 400 },
)]
fn a_malformed_request_is_refused(request: &str, status: u16) {
    let service = Service::start();
    let mut caller = service.caller();
    caller.send(request);
    assert_eq!(caller.answer().status, status);
    assert_eq!(service.seen(), Vec::<String>::new());
}

/// Guards against heads of unlimited size that use up the memory.
#[parameterized(
    one_long_header = { 1, 1 << 20 },
    many_headers = { 2_000, 10 },
)]
fn an_overlong_head_is_refused(headers: usize, length: usize) {
    let service = Service::start();
    let mut caller = service.caller();
    caller.send("GET /long HTTP/1.1\r\nhost: t\r\n");
    for index in 0..headers {
        // Fails if the server has closed the connection before it read everything.
        let _ = caller.try_send(format!("x-{index}: {}\r\n", "a".repeat(length)));
    }
    let _ = caller.try_send("\r\n");
    assert_eq!(caller.answer().status, 431);
    assert_eq!(service.seen(), Vec::<String>::new());
}

/// Guards against a call whose method, path, query, request id or body differs from what the caller
/// sent.
#[test]
fn a_call_has_the_parts_of_its_request() {
    let service = Service::start();
    let mut caller = service.caller();
    caller.send(
        "PUT /hold?base=3&x=%20 HTTP/1.1\r\nhost: t\r\nRequest-Id: club-7\r\n\
         content-length: 4\r\n\r\nbody",
    );
    let (ticket, call) = service.held();
    assert_eq!(call.path, "/hold");
    assert_eq!(call.query, "base=3&x=%20");
    assert_eq!(call.request_id.as_deref(), Some("club-7"));
    assert_eq!(call.method, jayfork::connection::ApiMethod::Put);
    assert_eq!(call.body.as_ref(), b"body");
    service.answer(ticket, "done");
    assert_eq!(caller.answer().text(), "done");
}
