//! A small fake entry host and a runner of the client.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Nothing listens on this port, so connections are refused.
pub const CLOSED: &str = "127.0.0.1:1";

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

/// What the fake server does with one connection.
#[derive(Debug, Clone, Copy)]
pub enum Reply {
    Answer(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
    /// Announces more bytes than it sends.
    Cut,
    /// Reads the request and does not answer.
    Hang,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    pub line: String,
    pub headers: String,
    pub body: Vec<u8>,
}

pub struct Server {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Server {
    /// Serves one reply per connection; further connections are closed without an answer.
    pub fn start(replies: &[Reply]) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (log, replies) = (seen.clone(), replies.to_vec());
        thread::spawn(move || {
            let mut replies = replies.into_iter();
            for stream in listener.incoming() {
                serve(
                    stream.unwrap(),
                    replies.next().unwrap_or(Reply::Close),
                    &log,
                );
            }
        });
        Server { address, seen }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, reply: Reply, log: &Mutex<Vec<Seen>>) {
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
    log.lock().unwrap().push(Seen {
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
        Reply::Cut => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_owned(),
        Reply::Close => String::new(),
        Reply::Hang => {
            let _ = stream.read(&mut [0]);
            String::new()
        }
    };
    let _ = stream.write_all(answer.as_bytes());
}

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
    // A command that fails early closes its standard input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

pub fn split(arguments: &str) -> Vec<&str> {
    arguments.split_whitespace().collect()
}

pub fn run(replies: &[Reply], arguments: &str, input: &str) -> (Output, Vec<Seen>) {
    let server = Server::start(replies);
    let output = jayfork(
        &[server.address.to_string()],
        &split(arguments),
        input.as_bytes(),
    );
    (output, server.seen())
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

pub fn expect(output: &Output, code: i32, message: &str) {
    let text = stderr(output);
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(message), "{message:?} in {text}");
}

pub fn temporary(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cli-{}-{number}.{extension}", std::process::id());
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}
