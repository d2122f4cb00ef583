//! Throughput, latency and memory of the HTTP server for callers, without the rest of the daemon.
//!
//! Run with `cargo bench --bench api`. Callers and server share the process and the processors, so
//! the results only compare versions of the server on the same machine.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use jayfork::connection::{ApiCall, ApiHandler, ApiLimits, ApiResponse, ApiServer, ContentKind};

const CONNECTIONS: usize = 64;
const IDLE_CONNECTIONS: usize = 256;
const LOAD_TIME: Duration = Duration::from_secs(5);
/// A request that is not answered within this time is reported as unserved.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST: &[u8] =
    b"POST /v1/requests/vltava/proof HTTP/1.1\r\nhost: bench\r\ncontent-length: 64\r\n\r\n\
      0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

#[derive(Clone)]
struct Handler {
    calls: Sender<(u64, ApiCall)>,
}

impl ApiHandler for Handler {
    fn request_received(&self, ticket: u64, call: ApiCall) {
        let _ = self.calls.send((ticket, call));
    }

    fn caller_disconnected(&self, _ticket: u64) {}
}

struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        // A small buffer, because the memory of the callers is measured, too.
        let reader = BufReader::with_capacity(512, stream);
        Ok(Caller { reader })
    }

    /// Sends the request and reads the answer.
    fn exchange(&mut self) -> Result<()> {
        self.reader.get_mut().write_all(REQUEST)?;
        let mut length = 0;
        let mut line = String::new();
        loop {
            line.clear();
            self.reader.read_line(&mut line)?;
            let text = line.trim_end().to_ascii_lowercase();
            if text.is_empty() {
                break;
            }
            if let Some(value) = text.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)
    }
}

fn main() {
    let start = resident_memory();
    let (calls, received) = channel::<(u64, ApiCall)>();
    let limits = ApiLimits {
        max_body: 16 << 20,
        ..ApiLimits::default()
    };
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ApiServer::bind(local, limits, Handler { calls }).expect("a free port is bound");
    let server = Arc::new(server);
    let responder = server.clone();
    thread::spawn(move || {
        while let Ok((ticket, call)) = received.recv() {
            let response = ApiResponse {
                status: 200,
                kind: ContentKind::Raw,
                body: call.body,
            };
            responder.respond(ticket, response);
        }
    });
    measure_memory(server.address(), start);
    measure_load(server.address());
}

/// Opens connections one after the other, each with one request, and keeps them open.
fn measure_memory(address: SocketAddr, start: u64) {
    let bound = resident_memory();
    let mut callers = Vec::new();
    let mut unserved = 0;
    for _ in 0..IDLE_CONNECTIONS {
        let mut caller = Caller::connect(address).expect("the server listens");
        unserved += usize::from(caller.exchange().is_err());
        callers.push(caller);
    }
    let open = resident_memory();
    println!(
        "resident: {start} KiB at start, {bound} KiB bound, {open} KiB with {IDLE_CONNECTIONS} \
         connections, {unserved} unserved"
    );
}

fn measure_load(address: SocketAddr) {
    let end = Instant::now() + LOAD_TIME;
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|_| thread::spawn(move || run_caller(address, end)))
        .collect();
    let mut latencies = new_histogram();
    let mut unserved = 0;
    for thread in threads {
        let (histogram, failed) = thread.join().expect("callers do not panic");
        latencies.add(histogram).expect("histograms have one shape");
        unserved += failed;
    }
    println!(
        "load: {CONNECTIONS} connections, {:.0} requests/s, p50 {} us, p99 {} us, {unserved} unserved",
        latencies.len() as f64 / LOAD_TIME.as_secs_f64(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
}

/// Sends requests one after the other until `end`. Returns the latencies in microseconds and the
/// number of requests without an answer.
fn run_caller(address: SocketAddr, end: Instant) -> (Histogram<u64>, usize) {
    let mut latencies = new_histogram();
    let mut failed = 0;
    let mut caller = Caller::connect(address).expect("the server listens");
    while Instant::now() < end {
        let sent = Instant::now();
        match caller.exchange() {
            Ok(()) => latencies.saturating_record(sent.elapsed().as_micros() as u64),
            Err(_) => {
                failed += 1;
                caller = Caller::connect(address).expect("the server listens");
            }
        }
    }
    (latencies, failed)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid")
}

/// Resident memory of this process in KiB.
fn resident_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("procfs is mounted");
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.trim().trim_end_matches(" kB").parse().ok())
        .expect("the kernel reports VmRSS")
}
