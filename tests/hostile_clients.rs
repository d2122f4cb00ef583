//! Clients that nobody controls, against a real entry host on the platform: none of them ends its process, makes it
//! exceed the memory or the descriptors of its host, or keeps it from answering others.

mod support;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::json;
use support::{
    Client, Process, Standin, TestDir, free_port, jayforkd, wait_until, wait_until_ready,
};
use yare::parameterized;

/// Memory and descriptors of the host.
const MEMORY: u64 = 48 << 20;
const DESCRIPTORS: usize = 512;
/// Largest body that the configuration allows, in bytes.
const MAX_BODY: usize = 256 << 10;
/// Clients of a crowd that fits the descriptors, and of one that does not.
const CROWD: usize = 240;
const LARGE_CROWD: usize = 700;
/// Time limit for an answer to an ordinary request; long enough for a loaded machine.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);
/// Pause between two rounds of a crowd, and rounds without progress after which it has sent what it can.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
const IDLE_ROUNDS: usize = 200;

/// One test at a time: their crowds compete for the processor.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An entry host, the only one of its deployment.
struct Host {
    // Dropped before the platform and the directory.
    process: Process,
    front: String,
    ready: String,
    peer: String,
    metrics: String,
    _platform: Standin,
    _dir: TestDir,
}

impl Host {
    fn start(test: &str) -> Host {
        let dir = TestDir::new(test);
        let platform = Standin::start(&dir, "platform", &["--workers", "2"]);
        let [front, ready, peer, metrics] = [(); 4].map(|()| format!("127.0.0.1:{}", free_port()));
        let settings = format!(
            "[host]\nname = edge\ndata_centre = dc-0\nregion = r\n[listen]\nfront = {front}\nready = {ready}\n\
             peer = {peer}\nmetrics = {metrics}\n[peers]\nseeds = {peer}\n[store]\naddress = {}\n\
             [limits]\nmemory = {} MiB\ndescriptors = {DESCRIPTORS}\n[log]\nlevel = info\n",
            platform.service,
            MEMORY >> 20,
        );
        let path = dir.join("edge.ini");
        fs::write(&path, settings).expect("the directory is writable");
        let path = path.to_str().expect("a path in UTF-8");
        let process = jayforkd(&dir, "edge", ["--on-platform", "--settings", path]);
        wait_until_ready(&ready);
        let host = Host {
            process,
            front,
            ready,
            peer,
            metrics,
            _platform: platform,
            _dir: dir,
        };
        host.serve_one(0);
        host
    }

    /// Submits an ordinary job until it is accepted. A refusal or a closed connection is no acceptance.
    fn serve_one(&self, id: u64) {
        let step = json!({ "count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 10 });
        let body = json!({ "spec": r#"{"run_ms":10}"#, "steps": [step] });
        let client = Client::new();
        let path = format!("/proofs/{id:016x}");
        wait_until("an ordinary request", ANSWER_LIMIT, || {
            let reply = client.post_json(&self.front, &path, &body);
            reply.is_ok_and(|reply| reply.status == 200)
        });
    }

    /// A value of the process's status, in bytes.
    fn status(&self, key: &str) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(path).expect("the process lives");
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix(key));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.expect("a number").parse::<u64>().expect("a number") << 10
    }

    fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        fs::read_dir(path).expect("the process lives").count()
    }

    /// Checks that the process lives within its limits and serves an ordinary client.
    fn check(&mut self) {
        assert!(!self.process.has_exited());
        let open = self.descriptors();
        assert!(open <= DESCRIPTORS, "{open} descriptors are open");
        self.serve_one(1);
        assert!(!self.process.has_exited());
        let peak = self.status("VmHWM:");
        assert!(peak <= MEMORY, "the process has used {} MiB", peak >> 20);
        let open = self.descriptors();
        assert!(open <= DESCRIPTORS, "{open} descriptors are open");
    }
}

/// Connections that stay open after they have sent what they have to send.
struct Crowd {
    members: Vec<Member>,
}

struct Member {
    stream: TcpStream,
    bytes: Arc<[u8]>,
    sent: usize,
    /// Whether the host has closed the connection.
    is_closed: bool,
}

impl Crowd {
    /// Opens connections and sends `bytes` over each of them, at most `piece` of them a round. Nothing is read.
    fn gather(address: &str, count: usize, bytes: &[u8], piece: usize) -> Crowd {
        let bytes: Arc<[u8]> = bytes.into();
        Crowd::gather_each(address, count, piece, |_| bytes.clone())
    }

    /// The same with bytes for each of them.
    fn gather_each(
        address: &str,
        count: usize,
        piece: usize,
        bytes: impl Fn(usize) -> Arc<[u8]>,
    ) -> Crowd {
        let connect = |index| {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Member {
                stream,
                bytes: bytes(index),
                sent: 0,
                is_closed: false,
            })
        };
        let mut crowd = Crowd {
            members: (0..count).filter_map(connect).collect(),
        };
        assert!(!crowd.members.is_empty(), "the host listens");
        let mut idle = 0;
        while idle < IDLE_ROUNDS {
            let mut has_sent = false;
            for member in &mut crowd.members {
                has_sent |= member.send(piece);
            }
            idle = if has_sent { 0 } else { idle + 1 };
            let is_over = |member: &Member| member.is_closed || member.sent == member.bytes.len();
            if crowd.members.iter().all(is_over) {
                break;
            }
            thread::sleep(ROUND_PAUSE);
        }
        // The host may still be reading.
        thread::sleep(ROUND_PAUSE * IDLE_ROUNDS as u32);
        crowd
    }
}

impl Member {
    /// Sends the next bytes; returns whether there were any that the connection took.
    fn send(&mut self, piece: usize) -> bool {
        let bytes = self.bytes.clone();
        let end = bytes.len().min(self.sent.saturating_add(piece));
        if self.is_closed || self.sent == end {
            return false;
        }
        match self.stream.write(&bytes[self.sent..end]) {
            Ok(sent) => {
                self.sent += sent;
                sent > 0
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.is_closed = true;
                false
            }
        }
    }
}

fn head(framing: &str) -> Vec<u8> {
    format!("POST /proofs/00000000000000aa HTTP/1.1\r\nHost: 127.0.0.1\r\n{framing}\r\n\r\n").into()
}

/// A body with an announced length, of which `sent` bytes are sent.
fn announced(length: usize, sent: usize) -> Vec<u8> {
    let mut bytes = head(&format!("Content-Length: {length}"));
    bytes.resize(bytes.len() + sent, b' ');
    bytes
}

/// A body in chunks of `chunk` bytes, `length` bytes in all, without its end.
fn chunked(length: usize, chunk: usize) -> Vec<u8> {
    let mut bytes = head("Transfer-Encoding: chunked");
    for _ in 0..length / chunk {
        bytes.extend(format!("{chunk:x}\r\n").bytes());
        bytes.resize(bytes.len() + chunk, b' ');
        bytes.extend(b"\r\n");
    }
    bytes
}

/// A job of the largest size with as many steps as fit, whose tasks need more than any worker has.
fn large_job(id: u64) -> Arc<[u8]> {
    let step = r#"{"count":1,"cpu":900000,"memMb":1,"estRuntimeMs":1}"#;
    let steps = vec![step; (MAX_BODY - 100) / (step.len() + 1)].join(",");
    let body = format!(r#"{{"spec":"{{}}","steps":[{steps}]}}"#);
    let head = format!(
        "POST /proofs/{id:016x} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes().into()
}

/// A head of `length` bytes without its end.
fn endless_head(length: usize) -> Vec<u8> {
    let mut bytes = b"GET /proofs/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Long: ".to_vec();
    bytes.resize(length, b'x');
    bytes
}

/// Guards against bodies that a host gathers without a bound on all together: one process ended with 160 MB used.
#[parameterized(
    announced_over_the_limit = { &announced(1 << 30, 1_000_000), usize::MAX },
    over_the_limit_without_announcement = { &chunked(1_000_000, 50_000), usize::MAX },
    just_short_of_their_end = { &announced(MAX_BODY, MAX_BODY - 1), usize::MAX },
    just_short_of_their_end_in_pieces = { &announced(MAX_BODY, MAX_BODY - 1), 4_096 },
    whole = { &announced(MAX_BODY, MAX_BODY), usize::MAX },
    whole_in_pieces = { &announced(MAX_BODY, MAX_BODY), 4_096 },
    in_large_chunks = { &chunked(MAX_BODY - 1_000, 40_000), usize::MAX },
    in_small_chunks = { &chunked(60_000, 1), usize::MAX },
    in_small_chunks_piece_by_piece = { &chunked(60_000, 1), 20_000 },
)]
fn large_bodies_do_not_use_up_the_memory(bytes: &[u8], piece: usize) {
    let _turn = take_turn();
    let mut host = Host::start("hostile-bodies");
    let front = host.front.clone();
    let _crowd = Crowd::gather(&front, CROWD, bytes, piece);
    host.check();
}

/// Guards against jobs of legal size that an owner accepts and holds without a bound on all together.
#[test]
fn large_jobs_do_not_use_up_the_memory() {
    let _turn = take_turn();
    let mut host = Host::start("hostile-jobs");
    let front = host.front.clone();
    let _crowd = Crowd::gather_each(&front, CROWD, usize::MAX, |index| {
        large_job(index as u64 + 16)
    });
    host.check();
}

/// Guards against the same at the other listeners, as far as strangers reach them.
#[parameterized(
    readiness = { |host| &host.ready, &announced(1 << 20, 1_000_000), usize::MAX },
    readiness_in_small_chunks = { |host| &host.ready, &chunked(60_000, 1), usize::MAX },
    metrics = { |host| &host.metrics, &announced(1 << 20, 1_000_000), usize::MAX },
    metrics_in_small_chunks = { |host| &host.metrics, &chunked(60_000, 1), usize::MAX },
    peers = { |host| &host.peer, &peer_bodies(20, 200_000), usize::MAX },
    peers_in_pieces = { |host| &host.peer, &peer_bodies(4, 80_000), 1_024 },
)]
fn large_bodies_do_not_use_up_the_memory_elsewhere(
    address: fn(&Host) -> &String,
    bytes: &[u8],
    piece: usize,
) {
    let _turn = take_turn();
    let mut host = Host::start("hostile-listeners");
    let address = address(&host).clone();
    let _crowd = Crowd::gather(&address, CROWD, bytes, piece);
    host.check();
}

/// Guards against connections without a bound: they use up the descriptors, which the host needs for the platform, other
/// hosts and workers.
#[parameterized(
    silent = { |host| &host.front, b"" },
    with_endless_heads = { |host| &host.front, &endless_head(30_000) },
    with_unfinished_bodies = { |host| &host.front, &announced(100, 99) },
    readiness = { |host| &host.ready, &endless_head(30_000) },
    metrics = { |host| &host.metrics, &endless_head(30_000) },
    peers = { |host| &host.peer, b"" },
    peers_with_garbage = { |host| &host.peer, &endless_head(30_000) },
)]
fn connections_do_not_use_up_the_descriptors(address: fn(&Host) -> &String, bytes: &[u8]) {
    let _turn = take_turn();
    let mut host = Host::start("hostile-connections");
    let address = address(&host).clone();
    let _crowd = Crowd::gather(&address, LARGE_CROWD, bytes, usize::MAX);
    host.check();
}

/// Guards against answers that pile up for clients that do not read them.
#[parameterized(
    front = { |host| &host.front, "/proofs/" },
    readiness = { |host| &host.ready, "/ready" },
    metrics = { |host| &host.metrics, "/metrics" },
)]
fn unread_answers_do_not_use_up_the_memory(address: fn(&Host) -> &String, path: &str) {
    let _turn = take_turn();
    let mut host = Host::start("hostile-readers");
    let address = address(&host).clone();
    let request = format!("GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
    let _crowd = Crowd::gather(
        &address,
        LARGE_CROWD,
        request.repeat(500).as_bytes(),
        usize::MAX,
    );
    host.check();
}

/// Guards against a limit that a single client inside the limits of the pages meets in calm.
#[test]
fn a_single_request_inside_the_limits_is_served() {
    let _turn = take_turn();
    let host = Host::start("hostile-calm");
    let step = json!({ "count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 10 });
    let mut body = json!({ "spec": r#"{"run_ms":10}"#, "steps": [step] }).to_string();
    body.extend(std::iter::repeat_n(' ', MAX_BODY - body.len()));
    for (id, framed) in [(7, announced(0, 0)), (8, chunked(0, 1))] {
        let framing = match framed.ends_with(b"chunked\r\n\r\n") {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", body.len()),
        };
        let head = format!(
            "POST /proofs/{id:016x} HTTP/1.1\r\nHost: 127.0.0.1\r\n{framing}\r\nConnection: close\r\n\r\n"
        );
        let mut stream = TcpStream::connect(&host.front).expect("the host listens");
        stream.write_all(head.as_bytes()).expect("the host reads");
        match framing.starts_with("Transfer") {
            true => {
                for part in body.as_bytes().chunks(7) {
                    let chunk =
                        [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
                    stream.write_all(&chunk).expect("the host reads");
                }
                stream.write_all(b"0\r\n\r\n").expect("the host reads");
            }
            false => stream.write_all(body.as_bytes()).expect("the host reads"),
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against a limit on the memory of jobs that the largest one meets by itself.
#[test]
fn a_single_large_job_is_accepted() {
    let _turn = take_turn();
    let host = Host::start("hostile-large-job");
    let mut stream = TcpStream::connect(&host.front).expect("the host listens");
    stream.write_all(&large_job(9)).expect("the host reads");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

/// What a stranger sends to the port between hosts: the preface of HTTP/2, then `count` requests with `length` bytes of
/// a body each, none of which ends. Windows are ignored.
fn peer_bodies(count: u32, length: usize) -> Vec<u8> {
    const MAX_FRAME: usize = 16_384;
    let frame = |kind: u8, flags: u8, stream: u32, payload: &[u8]| {
        let length = (payload.len() as u32).to_be_bytes();
        [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
    };
    // Indexed fields of the static table: POST, http, and the path /.
    let headers = [0x83, 0x86, 0x84, 0x41, 0x01, b'a'];
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(4, 0, 0, &[]));
    let streams = (0..count).map(|index| 2 * index + 1);
    streams
        .clone()
        .for_each(|stream| bytes.extend(frame(1, 4, stream, &headers)));
    for _ in 0..length / MAX_FRAME {
        let data = vec![0; MAX_FRAME];
        streams
            .clone()
            .for_each(|stream| bytes.extend(frame(0, 0, stream, &data)));
    }
    bytes
}
