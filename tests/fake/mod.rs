//! A fake entry host, and functions that run the command-line client against it.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Address on which nothing listens, so that connections are refused.
pub const CLOSED_ADDRESS: &str = "127.0.0.1:1";

pub const CONTRACT: &str = r#"{"customer":"vltava-proofs","data_centres":["praha-karlin"],
  "quota":{"processors":1000,"memory":1024},
  "classes":[{"name":"proof","urgency":"urgent","service":"issue-assembly","deadline":5000}]}"#;

pub const SUBMIT: &str = "job submit c k j --processors 1 --memory 1";
pub const SEND: &str = "request send c k --id r1";
pub const AMEND: &str = "contract amend - --base 3";
pub const OVERLOADED: &str =
    r#"{"error":"overloaded","field":null,"reason":"too late","ran":"not_run"}"#;
pub const PUBLISHED: &str = r#"{"customer":"vltava-proofs","version":4}"#;
pub const JOB: &str = r#"{"customer":"c","job":"j","class":"k","tasks":[]}"#;

/// What the fake server does with a connection.
#[derive(Debug, Clone, Copy)]
pub enum Reply {
    Answer(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
    /// Sends fewer bytes of the answer than its `content-length` says, and closes the connection.
    Truncate,
    /// Reads the request and does not answer.
    Hang,
}

/// A request that the fake server received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    pub line: String,
    pub headers: String,
    pub body: Vec<u8>,
}

/// A running fake server.
pub struct Server {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Server {
    /// Starts a server that uses one reply per connection. It closes further connections without an
    /// answer.
    pub fn start(replies: &[Reply]) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (requests, replies) = (received.clone(), replies.to_vec());
        thread::spawn(move || {
            let mut replies = replies.into_iter();
            for stream in listener.incoming() {
                serve(
                    stream.unwrap(),
                    replies.next().unwrap_or(Reply::Close),
                    &requests,
                );
            }
        });
        Server { address, received }
    }

    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, reply: Reply, requests: &Mutex<Vec<Received>>) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    let mut headers = String::new();
    reader.read_line(&mut line).unwrap();
    while !headers.ends_with("\r\n\r\n") && headers != "\r\n" {
        if reader.read_line(&mut headers).unwrap() == 0 {
            return;
        }
    }
    let length = headers
        .lines()
        .find_map(|header| {
            header
                .to_lowercase()
                .strip_prefix("content-length:")?
                .trim()
                .parse()
                .ok()
        })
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    requests.lock().unwrap().push(Received {
        line: line.trim().to_owned(),
        headers: headers.to_lowercase(),
        body,
    });
    let mut stream = reader.into_inner();
    let answer = match reply {
        Reply::Answer(status, body) => {
            format!(
                "HTTP/1.1 {status} x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            )
        }
        Reply::Truncate => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_owned(),
        Reply::Close => String::new(),
        Reply::Hang => {
            let _ = stream.read(&mut [0]);
            String::new()
        }
    };
    let _ = stream.write_all(answer.as_bytes());
}

/// Runs the client against `servers`.
pub fn jayfork(servers: &[String], arguments: &[&str], input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayfork"));
    for server in servers {
        command.arg("--server").arg(server);
    }
    let mut child = command
        .args(arguments)
        .env_remove("JAYFORK_SERVERS")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Fails if the command exits before it reads its input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

pub fn split(arguments: &str) -> Vec<&str> {
    arguments.split_whitespace().collect()
}

/// Runs the client against one fake server; also returns the requests that the server received.
pub fn run(replies: &[Reply], arguments: &str, input: &str) -> (Output, Vec<Received>) {
    let server = Server::start(replies);
    let output = jayfork(
        &[server.address.to_string()],
        &split(arguments),
        input.as_bytes(),
    );
    (output, server.received())
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Asserts the exit code, and that standard error contains `message`.
pub fn expect(output: &Output, code: i32, message: &str) {
    let text = stderr(output);
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(message), "{message:?} in {text}");
}

/// Path of a new temporary file.
pub fn temporary_path(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cli-{}-{number}.{extension}", std::process::id());
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}
