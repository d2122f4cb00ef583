//! Request bodies: large, chunked, truncated and too large ones.

use std::time::Duration;

use yare::parameterized;

use super::service::{MAX_BODY, Service, big_body};

/// Time in which a request that wrongly reaches the handler is recorded.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Guards against a body of the maximum size that is truncated, or mixed up with the body of
/// another connection.
#[test]
fn a_body_of_the_maximum_size_arrives_whole() {
    let service = Service::start();
    let body = big_body();
    for _ in 0..2 {
        let mut caller = service.caller();
        let answer = std::thread::scope(|scope| {
            scope.spawn(|| service.caller().post("/other", &body));
            caller.post("/echo", &body);
            caller.answer()
        });
        assert_eq!(answer.status, 200);
        assert!(answer.body == body, "the body is not whole");
    }
}

/// Guards against chunk sizes or trailers that end up in the body, and against a chunked body whose
/// end is misread, so that the next request on the connection is lost.
#[parameterized(
    one_byte_chunks = { 40, 1, false },
    odd_chunks = { 100_000, 777, false },
    with_trailer = { 100, 30, true },
    one_large_chunk = { MAX_BODY, MAX_BODY, false },
    many_chunks = { MAX_BODY, 65_536, false },
)]
fn chunked_bodies_arrive_whole(size: usize, chunk: usize, with_trailer: bool) {
    let service = Service::start();
    let mut caller = service.caller();
    let body = big_body().slice(..size);
    caller.send_chunked_head("/echo");
    for part in body.chunks(chunk) {
        caller.send(format!("{:x}\r\n", part.len()));
        caller.send(part);
        caller.send("\r\n");
    }
    caller.send("0\r\n");
    if with_trailer {
        caller.send("checksum: none\r\n");
    }
    caller.send("\r\n");
    assert!(caller.answer().body == body, "the body is not whole");
    caller.get("/next");
    assert_eq!(caller.answer().text(), "/next?");
}

/// Guards against a request that reaches the handler although its caller stopped sending in the
/// middle of the body.
#[parameterized(
    declared_small = { "content-length: 100", "forty bytes" },
    declared_large = { "content-length: 100000", "forty bytes" },
    without_body = { "content-length: 5000", "" },
    chunked_inside_a_chunk = { "transfer-encoding: chunked", "64\r\nforty bytes" },
    chunked_between_chunks = { "transfer-encoding: chunked", "5\r\nforty\r\n" },
    chunked_without_the_last_line = { "transfer-encoding: chunked", "5\r\nforty\r\n0\r\n" },
)]
fn a_truncated_body_is_refused(header: &str, body: &str) {
    let service = Service::start();
    let mut caller = service.caller();
    caller.send(format!(
        "POST /cut HTTP/1.1\r\nhost: t\r\n{header}\r\n\r\n{body}"
    ));
    caller.close_sending();
    let answer = caller.answer();
    assert_eq!(answer.status, 400);
    assert_eq!(
        answer.refusal(),
        ("truncated_body".into(), "not_run".into())
    );
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(service.seen(), Vec::<String>::new());
}

/// Guards against a server that receives a whole body before it refuses it for its size.
#[parameterized(
    declared = { "content-length: 16777217", "" },
    declared_far_larger = { "content-length: 1000000000000", "some" },
    chunked = { "transfer-encoding: chunked", "1000001\r\n" },
)]
fn a_too_large_body_is_refused_before_its_end(header: &str, start: &str) {
    let service = Service::start();
    let mut caller = service.caller();
    caller.set_timeout(Duration::from_secs(5));
    caller.send(format!(
        "POST /big HTTP/1.1\r\nhost: t\r\n{header}\r\n\r\n{start}"
    ));
    if header.contains("chunked") {
        caller.send(vec![b'x'; MAX_BODY + 1]);
    }
    let answer = caller.answer();
    assert_eq!(answer.status, 413);
    assert_eq!(answer.refusal(), ("too_large".into(), "not_run".into()));
    assert_eq!(service.seen(), Vec::<String>::new());
}

/// Guards against a refusal that is lost when the caller writes its whole body before it reads: the
/// server must read and discard the rest, or the kernel resets the connection.
#[test]
fn a_caller_that_sends_its_whole_body_first_gets_the_refusal() {
    let service = Service::start();
    let mut caller = service.caller();
    caller.send_head("/big", MAX_BODY + 1);
    let body = vec![b'x'; MAX_BODY + 1];
    caller.try_send(&body).expect("the body is discarded");
    assert_eq!(caller.answer().status, 413);
}

/// Guards against refused bodies that block other callers. In an earlier server, all reader threads
/// waited for the ends of such bodies.
#[test]
fn refused_bodies_do_not_delay_other_callers() {
    let service = Service::start();
    let mut refused: Vec<_> = (0..32).map(|_| service.caller()).collect();
    for caller in &mut refused {
        caller.send_head("/big", MAX_BODY + 1);
        assert_eq!(caller.answer().status, 413);
    }
    let mut caller = service.caller();
    caller.set_timeout(Duration::from_secs(2));
    caller.get("/prompt");
    assert_eq!(caller.answer().text(), "/prompt?");
}
