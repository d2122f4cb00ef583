//! Messages at the port for other entry hosts that are malformed or unknown to the receiver.

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use jayfork::base::{Offset, TaskId, Token};
use jayfork::connection::wire::{
    ContractsRequest, DepartureFrame, Forward, HeldLease, Hello, JobCall, PeerReply, PeerRequest,
    RunningReport, ServiceLoad, TailRequest,
};
use jayfork::connection::{Error, PeerHandler, PeerLinks};
use jayfork::request::MessageEpoch;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use yare::parameterized;

const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Larger than the largest message that a host accepts, in bytes.
const OVERSIZED: usize = (16 << 20) + 8192;

/// Passes each request to the test.
#[derive(Clone)]
struct Receiver(mpsc::Sender<(u64, PeerRequest)>);

impl PeerHandler for Receiver {
    fn request_received(&self, ticket: u64, request: PeerRequest) {
        let _ = self.0.send((ticket, request));
    }

    fn call_finished(&self, _: u64, _: Result<PeerReply, Error>, _: usize) {}
}

fn hello_message() -> PeerRequest {
    PeerRequest::Hello(Hello {
        host: "karlin-2".into(),
        data_centre: "karlin".into(),
        incarnation: 1,
        held: vec![HeldLease {
            resource: "w1".into(),
            token: Token(3),
        }],
        log_offset: Offset(1),
        log_age: 300,
        contracts_offset: Offset(1),
        draining: false,
        leaving: vec!["w2".into()],
        loads: vec![ServiceLoad {
            service: "assembly".into(),
            slots: 8,
            free: 3,
            queued: 0,
            mean: 20.5,
        }],
        slow: vec!["i1".into()],
        misfits: vec![(TaskId::new("vltava", "merge", 0), "too large".into())],
        awaited: vec!["i2".into()],
        reports: vec![RunningReport {
            instance: "i3".into(),
            age: 300,
            running: vec!["vltava:a".into()],
        }],
    })
}

fn contracts_message() -> PeerRequest {
    PeerRequest::Contracts(ContractsRequest { since: Offset(300) })
}

fn forward_message() -> PeerRequest {
    PeerRequest::Forward(Forward {
        request: "a".into(),
        customer: "vltava".into(),
        class: "check".into(),
        deadline: 15_000,
        hops: 1,
        host: "karlin-2".into(),
        attach: false,
        epoch: MessageEpoch::default(),
        body: Bytes::from_static(b"page"),
    })
}

fn job_message() -> PeerRequest {
    PeerRequest::Job(JobCall::State {
        customer: "vltava".into(),
        job: "merge".into(),
    })
}

fn tail_message() -> PeerRequest {
    PeerRequest::Tail(TailRequest { from: Offset(300) })
}

fn departure_message() -> PeerRequest {
    PeerRequest::Departure(DepartureFrame {
        host: "karlin-2".into(),
        incarnation: 1,
        frame: 0,
        frames: 1,
        loss_age: Some(300),
        is_clear: true,
        ids: vec![("vltava:a".into(), 15_000)],
    })
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("encodable")
}

/// Opens a connection to the port.
async fn connect(links: &PeerLinks) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(links.address()).await.expect("a port");
    let (sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

/// Sends a message; returns the bytes of the answer, or `None` if the receiver refuses it.
async fn send(sender: &SendRequest<Bytes>, message: Vec<u8>) -> Option<Vec<u8>> {
    let mut sender = sender.clone().ready().await.expect("an open connection");
    let head = http::Request::post("http://peer/").body(()).expect("valid");
    let (response, mut stream) = sender
        .send_request(head, false)
        .expect("an open connection");
    stream.send_data(message.into(), true).ok()?;
    let mut body = response.await.ok()?.into_body();
    let mut answer = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        answer.extend_from_slice(&chunk);
    }
    Some(answer)
}

/// Messages that no receiver can decode, made from a valid one.
fn malformed(valid: &[u8]) -> Vec<Vec<u8>> {
    let mut messages: Vec<Vec<u8>> = (0..valid.len()).map(|end| valid[..end].to_vec()).collect();
    // A kind that does not exist, as an old host sees the kinds that were added later.
    for kind in [6, 250] {
        let mut unknown = valid.to_vec();
        unknown[0] = kind;
        messages.push(unknown);
    }
    // The largest number in place of the kind.
    let largest = [&[253][..], &[255; 8]].concat();
    messages.push([&largest, &valid[1..]].concat());
    // The largest number in place of the length of the first name, if there is one.
    if let Some(at) = valid.iter().position(|byte| byte.is_ascii_lowercase()) {
        messages.push([&valid[..at - 1], &largest, &valid[at..]].concat());
    }
    messages.push(vec![255; 64]);
    messages.push(vec![0xaa; OVERSIZED]);
    messages
}

/// Guards against a message that ends the process, its own connection or another one: the receiver
/// refuses each malformed message, and answers the next valid one on both connections.
#[parameterized(
    hello = { hello_message() },
    contracts = { contracts_message() },
    forward = { forward_message() },
    job = { job_message() },
    tail = { tail_message() },
    departure = { departure_message() },
)]
fn a_malformed_message_ends_no_connection(valid: PeerRequest) {
    let (sender, received) = mpsc::channel();
    let address = ([127, 0, 0, 1], 0).into();
    let links = Arc::new(PeerLinks::bind(address, Receiver(sender)).expect("a free port"));
    let (passed_on, passed) = mpsc::channel();
    let replies = links.clone();
    thread::spawn(move || {
        for (ticket, request) in received {
            let _ = passed_on.send(request);
            replies.reply(ticket, PeerReply::Unavailable);
        }
    });
    let encoded = encode(&valid);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (own, other) = (connect(&links).await, connect(&links).await);
        let mut sent = vec![(own.clone(), encoded.clone(), true)];
        sent.push((other.clone(), encoded.clone(), true));
        let refused = malformed(&encoded).into_iter();
        sent.extend(refused.map(|message| (own.clone(), message, false)));
        sent.push((own, encoded.clone(), true));
        sent.push((other, encoded, true));
        for (connection, message, is_valid) in sent {
            let start = message[..message.len().min(80)].to_vec();
            let answer = timeout(TIME_LIMIT, send(&connection, message)).await;
            let expected = is_valid.then(|| encode(&PeerReply::Unavailable));
            assert_eq!(answer.expect("in time"), expected, "{start:?}");
            let expected = is_valid.then(|| valid.clone());
            assert_eq!(passed.try_recv().ok(), expected, "{start:?}");
        }
    });
}
