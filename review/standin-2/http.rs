//! HTTP/1.1 with a thread a connection: a server with kept connections and a client without.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// An answer; `None` closes the connection without one.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Accepts connections until `is_open` is false; then closes the port and all connections.
pub fn serve<F, O>(listener: TcpListener, is_open: O, handler: F)
where
    F: Fn(Request) -> Answer + Clone + Send + 'static,
    O: Fn() -> bool,
{
    listener.set_nonblocking(true).expect("a listener can be set non-blocking");
    let mut connections: Vec<TcpStream> = Vec::new();
    while is_open() {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                connections.extend(stream.try_clone());
                let handler = handler.clone();
                std::thread::spawn(move || serve_connection(stream, handler));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
    for stream in connections {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

fn serve_connection<F: Fn(Request) -> Answer>(stream: TcpStream, handler: F) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            break;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend(body);
        if writer.write_all(&message).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut parts = line.split_whitespace();
    parts.next()?;
    let target = parts.next()?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
    Some(Request { path: path.to_owned(), query, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let decoded = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok()))
            .flatten();
        match decoded {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Timeout-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
