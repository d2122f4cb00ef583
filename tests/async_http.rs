//! The HTTP client for workers and the store, against servers that are neither.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use jayfork::connection::{AsyncHttpClient, CallError, HttpReply, HttpRequest, TimeLimit};

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
