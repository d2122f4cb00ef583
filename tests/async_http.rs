//! The HTTP client for workers and the store, against servers that are neither.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jayfork::connection::{
    AsyncHttpClient, CallError, HttpReply, HttpRequest, LINK_BYTES, LINK_CONNECTIONS, TimeLimit,
};
use jayfork::process::telemetry::Telemetry;
use tokio::task::spawn_local;
use yare::parameterized;

/// Length of the endless answer, in bytes, in case that nobody stops it.
const ANSWER: usize = 256 << 20;
/// What the sockets may hold besides the largest answer that the client reads, in bytes.
const BUFFERS: usize = 32 << 20;

/// Serves one connection with `head` and an endless body; returns the address and the count of bytes
/// that were written.
fn serve(head: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let written = count.clone();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let length = stream.read(&mut request).expect("a request");
        if length == 0 {
            return;
        }
        stream.write_all(head.as_bytes()).expect("the head");
        let chunk = vec![b' '; 1 << 16];
        while written.load(Ordering::Relaxed) < ANSWER && stream.write_all(&chunk).is_ok() {
            written.fetch_add(chunk.len(), Ordering::Relaxed);
        }
    });
    (address, count)
}

fn call(address: SocketAddr, headers: Vec<(&'static str, String)>) -> Result<HttpReply, CallError> {
    let request = HttpRequest {
        method: "POST",
        path: "/hold".to_owned(),
        headers,
        body: "{}".into(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let client = AsyncHttpClient::new();
    let time = Duration::from_secs(20);
    runtime.block_on(local.run_until(client.call(address, request, TimeLimit::whole(time))))
}

/// Guards against a host that runs out of memory: an entry of another program may name any address, and
/// what listens there may send without an end.
#[test]
fn an_endless_answer_is_not_read_to_its_end() {
    let (address, count) = serve("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n");
    let answer = call(address, Vec::new());
    assert_eq!(answer.err(), Some(CallError::Malformed));
    let count = count.load(Ordering::Relaxed);
    assert!(count < (16 << 20) + BUFFERS, "{count} bytes were read");
}

/// Guards against a request whose header ends the caller rather than the call.
#[test]
fn an_invalid_header_fails_the_call() {
    let (address, _) = serve("HTTP/1.1 200 OK\r\n\r\n");
    let headers = vec![("X-Expected-Instance", "a\r\nb".to_owned())];
    assert_eq!(call(address, headers).err(), Some(CallError::Malformed));
}

/// A server that answers each request and keeps its connections; returns its address and the count of
/// requests that have begun.
fn serve_requests() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let begun = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, begun) = (stream.expect("a connection"), begun.clone());
            std::thread::spawn(move || {
                let mut request = [0; 1_024];
                while stream.read(&mut request).is_ok_and(|length| length > 0) {
                    begun.fetch_add(1, Ordering::SeqCst);
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                    stream.write_all(answer).expect("the answer");
                }
            });
        }
    });
    (address, count)
}

/// When the process stands still.
#[derive(Clone, Copy)]
enum Pause {
    /// Before the call runs for the first time.
    BeforeItBegins,
    /// While a connection is opened for it.
    WhileItConnects,
    /// While it waits for a kept connection to write it.
    WhileItIsQueued,
}

/// Time in which a call may be written.
const WRITE_TIME: Duration = Duration::from_millis(50);

/// Guards against an order that reaches a worker after the time in which its owner may give orders: what
/// was due during a pause of the process must not be written after it.
#[parameterized(
    before_it_begins = { Pause::BeforeItBegins },
    while_it_connects = { Pause::WhileItConnects },
    while_it_is_queued = { Pause::WhileItIsQueued },
)]
fn a_call_is_not_written_after_its_time(pause: Pause) {
    let (address, count) = serve_requests();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let client = AsyncHttpClient::new();
    let call = |not_after: Instant| {
        let client = client.clone();
        let request = HttpRequest {
            method: "POST",
            path: "/start".to_owned(),
            headers: Vec::new(),
            body: "{}".into(),
        };
        let limit = TimeLimit::whole(Duration::from_secs(5));
        async move { client.call_until(address, request, limit, not_after).await }
    };
    let pause_process = async || std::thread::sleep(2 * WRITE_TIME);
    let answer = local.block_on(&runtime, async {
        if !matches!(pause, Pause::WhileItConnects) {
            // Leaves a connection for the next call.
            let first = call(Instant::now() + Duration::from_secs(5)).await;
            assert!(first.is_ok(), "{first:?}");
        }
        let late = call(Instant::now() + WRITE_TIME);
        if matches!(pause, Pause::BeforeItBegins) {
            pause_process().await;
        }
        let late = spawn_local(late);
        if !matches!(pause, Pause::BeforeItBegins) {
            spawn_local(pause_process());
        }
        late.await.expect("the call ends")
    });
    assert_eq!(answer.err(), Some(CallError::NotSent));
    let kept = usize::from(!matches!(pause, Pause::WhileItConnects));
    std::thread::sleep(WRITE_TIME);
    assert_eq!(count.load(Ordering::SeqCst), kept);
    // The client serves later calls.
    let next = local.block_on(&runtime, call(Instant::now() + Duration::from_secs(5)));
    assert!(next.is_ok(), "{next:?}");
}

/// When a server closes the connection of the second request on it.
#[derive(Clone, Copy)]
enum Close {
    /// At some time around the request, of which it reads nothing.
    Unread,
    /// After it has read the request, or a part of it.
    Read(usize),
}

/// A server that answers the first request of each connection and closes the connection at the next one. Returns
/// its address and the count of next ones of which it has read something.
fn serve_once(close: Close, delay: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let begun = count.clone();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let length = stream.read(&mut request).expect("the first request");
        assert!(length > 0);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        stream.write_all(answer).expect("the answer");
        match close {
            Close::Unread => std::thread::sleep(delay),
            Close::Read(part) => {
                let read = stream.read(&mut request[..part]);
                begun.fetch_add(
                    usize::from(read.is_ok_and(|read| read > 0)),
                    Ordering::SeqCst,
                );
            }
        }
    });
    (address, count)
}

/// Guards against a task that runs twice because an order counts as not sent, although a worker has read it from a
/// kept connection before it closed that.
#[parameterized(
    unread = { Close::Unread },
    after_its_first_byte = { Close::Read(1) },
    after_the_request = { Close::Read(1_024) },
)]
fn a_request_that_has_arrived_does_not_count_as_not_sent(close: Close) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    for delay in 0..300 {
        let (address, count) = serve_once(close, Duration::from_micros(delay));
        let client = AsyncHttpClient::new();
        let call = || {
            let request = HttpRequest {
                method: "POST",
                path: "/run-start".to_owned(),
                headers: Vec::new(),
                body: "{}".into(),
            };
            let limit = TimeLimit::whole(Duration::from_secs(5));
            let not_after = Instant::now() + Duration::from_secs(5);
            client.call_until(address, request, limit, not_after)
        };
        let answers = async { (call().await, call().await) };
        let (first, second) = runtime.block_on(local.run_until(answers));
        assert!(first.is_ok(), "{first:?}");
        let has_arrived = count.load(Ordering::SeqCst) > 0;
        let is_unsent = matches!(second, Err(CallError::NotSent | CallError::Refused));
        assert!(second.is_err() && !(has_arrived && is_unsent), "{second:?}");
        assert!(has_arrived || matches!(close, Close::Unread));
    }
}

/// Guards against a full link whose bytes cannot be told apart: each call counts as its own purpose, also
/// on a connection that another one has opened.
#[test]
fn bytes_and_connections_are_counted_by_purpose() {
    let (address, _) = serve_requests();
    let (recorder, telemetry) = Telemetry::build().expect("a recorder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let client = AsyncHttpClient::new();
    let call = async |purpose, body: &'static str| {
        let request = HttpRequest {
            method: "POST",
            path: "/start".to_owned(),
            headers: Vec::new(),
            body: body.into(),
        };
        let limit = TimeLimit::whole(Duration::from_secs(5));
        let client = client.with_purpose(purpose);
        client.call(address, request, limit).await.expect("answer")
    };
    let text = metrics::with_local_recorder(&recorder, || {
        local.block_on(&runtime, async {
            call("start", "{}").await;
            call("renew", "{\"waitMs\":100}").await;
        });
        telemetry.render()
    });
    let value = |metric: &str| {
        let row = text.lines().find_map(|line| line.strip_prefix(metric));
        row.map(|value| value.trim().parse::<usize>().expect("a number"))
    };
    let bytes = |purpose, direction| {
        let labels = format!("{{purpose=\"{purpose}\",direction=\"{direction}\"}}");
        value(&format!("{LINK_BYTES}{labels}")).unwrap_or(0)
    };
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".len();
    assert_eq!(bytes("start", "received"), answer, "{text}");
    assert_eq!(bytes("renew", "received"), answer, "{text}");
    // The second body is longer by 12 bytes, and its length by one digit.
    let longer = bytes("renew", "sent") - bytes("start", "sent");
    assert_eq!(longer, 13, "{text}");
    let opened = |purpose| {
        let labels = format!("{{purpose=\"{purpose}\",result=\"opened\"}}");
        value(&format!("{LINK_CONNECTIONS}{labels}"))
    };
    assert_eq!(opened("start"), Some(1), "{text}");
    assert_eq!(opened("renew"), None, "{text}");
}
