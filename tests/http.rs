//! The blocking HTTP client against a minimal server.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use jayfork::connection::{Error, HttpClient};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(5);

fn client() -> HttpClient {
    HttpClient::new("test", TIMEOUT, 1)
}

/// Starts a server that answers one call with the request line; returns its port.
fn answer_one() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let port = listener.local_addr().unwrap().port();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let length = stream.read(&mut request).unwrap();
        let line = String::from_utf8_lossy(&request[..length]);
        let body = format!("{:?}", line.lines().next().unwrap_or_default());
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).unwrap();
    });
    port
}

/// Guards against a client that reaches only IP addresses: host names, which settings may contain,
/// are resolved by the system.
#[parameterized(ip_address = { "127.0.0.1" }, name = { "localhost" })]
fn hosts_are_reached_by_address_and_name(host: &str) {
    let url = format!("http://{host}:{}/hosts", answer_one());
    let answer: String = client().get(&url, None).expect("the server answers");
    assert_eq!(answer, "GET /hosts HTTP/1.1");
}

/// Guards against a refused connection that counts as a call with an unknown outcome.
#[test]
fn a_refused_connection_had_no_effect() {
    let answer = client().get::<String>("http://127.0.0.1:1/", None);
    let error = answer.expect_err("nothing listens on this port");
    assert!(matches!(error, Error::NotSent { .. }), "{error}");
}
