//! Messages between hosts that are cut off, of the wrong type or too large.

use std::future::Future;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jayfork::base::Millis;
use jayfork::connection::{
    CallError, Inbound, InboundLimits, Mesh, MeshHandler, Order, StartOrder, TimeLimit, WorkerCall,
};
use jayfork::process::host::{
    BatchNumber, NamedRequest, OrderBatch, PeerCall, PeerReply, SessionId,
};
use jayfork::process::shard::{Handover, Request, WorkerWait};
use jayfork::request::job::{JobId, StepId, TaskKey};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::task::{LocalSet, spawn_local};
use yare::parameterized;

/// Time of the call that is under way beside others.
const LONG_CALL: Duration = Duration::from_millis(300);

/// Limits that are large enough for all calls of these tests.
fn inbound() -> Inbound {
    let limits = InboundLimits {
        memory: 64 << 20,
        connections: 8,
    };
    Inbound::new("test", limits)
}

/// A host that answers each call that it can read.
#[derive(Clone)]
struct Receiver;

impl MeshHandler for Receiver {
    type Call = PeerCall;
    type Reply = PeerReply;

    fn serve(&self, call: PeerCall) -> impl Future<Output = PeerReply> + 'static {
        let is_long = matches!(call, PeerCall::TakeOver { .. });
        async move {
            if is_long {
                tokio::time::sleep(LONG_CALL).await;
            }
            PeerReply::NotTaken
        }
    }
}

/// A host that sends any bytes.
#[derive(Clone)]
struct Sender;

struct Raw(Vec<u8>);

impl Serialize for Raw {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = serializer.serialize_tuple(self.0.len())?;
        for byte in &self.0 {
            bytes.serialize_element(byte)?;
        }
        bytes.end()
    }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(|byte| Raw(vec![byte]))
    }
}

impl MeshHandler for Sender {
    type Call = Raw;
    type Reply = PeerReply;

    fn serve(&self, _: Raw) -> impl Future<Output = PeerReply> + 'static {
        std::future::ready(PeerReply::Unknown)
    }
}

/// Lines that the receiver has logged.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the log").extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("encodes")
}

fn session() -> SessionId {
    SessionId {
        epoch: 1 << 16,
        number: 1,
    }
}

fn orders() -> OrderBatch {
    let step = StepId {
        job: JobId(1),
        turn: 0,
        step: 0,
    };
    let call = WorkerCall {
        worker: "i-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        epoch: 1 << 16,
        order: Order::Start(StartOrder {
            task: TaskKey { step, index: 0 },
            run: 1,
            payload: "payload".into(),
            lease_end: 5_000,
            checkpoint: Some("c1".into()),
            permit: None,
        }),
        timeout: Millis(700),
    };
    OrderBatch::new(session(), 1_000, [(1, &call)])
}

fn batch() -> PeerCall {
    PeerCall::Orders(orders())
}

fn numbered_batch() -> PeerCall {
    let number = BatchNumber {
        number: 2,
        oldest_open: 1,
        begins: false,
    };
    PeerCall::NumberedOrders(number, orders())
}

fn question() -> PeerCall {
    PeerCall::BatchOutcome {
        session: session(),
        number: 2,
    }
}

fn handover() -> PeerCall {
    let wait = WorkerWait {
        worker: "i-1".into(),
        waited: 3_000,
        is_long: true,
    };
    PeerCall::HandOver(Handover {
        epoch: 1 << 16,
        waits: vec![wait],
    })
}

/// Guards against requests of hosts with an earlier version of the program that can no longer be read. The bytes are
/// those that it sent.
#[parameterized(
    submit = { &[1, 0, 7, 1, 113, 1, 112, 0, 0, 0, 0] },
    state = { &[1, 1, 7, 1, 113] },
    cancel = { &[1, 2, 7, 1, 113] },
    backlog = { &[1, 3, 1, 113] },
)]
fn requests_that_name_their_queue_are_read(bytes: &[u8]) {
    let config = bincode::config::standard();
    let (call, length): (PeerCall, usize) =
        bincode::serde::decode_from_slice(bytes, config).expect("decodes");
    assert_eq!(length, bytes.len());
    let PeerCall::Request(named) = call else {
        panic!("{call:?}");
    };
    let request = Request::from(named);
    let (Request::Submit { queue, .. }
    | Request::State { queue, .. }
    | Request::Cancel { queue, .. }
    | Request::Backlog { queue }) = &request;
    assert_eq!(&**queue.name(), "q");
    let again = PeerCall::Request(NamedRequest::from(request));
    assert_eq!(encode(&again), bytes);
}

#[derive(Clone, Copy)]
enum Fault {
    /// The message ends after each of its bytes but the last.
    CutOff,
    /// A kind that does not exist.
    UnknownKind,
    /// A reply of this kind, or another.
    Reply,
    /// Some bytes follow the message.
    Longer,
    /// More bytes than a host reads.
    TooLarge,
}

fn faulty(call: &PeerCall, fault: Fault) -> Vec<Vec<u8>> {
    let message = encode(call);
    match fault {
        Fault::CutOff => (0..message.len())
            .map(|end| message[..end].to_vec())
            .collect(),
        Fault::UnknownKind => vec![[&[99], &message[1..]].concat()],
        Fault::Reply => vec![
            encode(&PeerReply::NotTaken),
            encode(&PeerReply::TakeOver(true)),
        ],
        Fault::Longer => vec![[message, vec![0; 3]].concat()],
        Fault::TooLarge => vec![[message, vec![0; 5 << 20]].concat()],
    }
}

/// Guards against a faulty host that ends the process or the calls of others, and against one whose
/// messages nobody hears of.
#[parameterized(
    batch_cut_off = { batch(), Fault::CutOff },
    numbered_batch_cut_off = { numbered_batch(), Fault::CutOff },
    question_cut_off = { question(), Fault::CutOff },
    handover_cut_off = { handover(), Fault::CutOff },
    batch_of_unknown_kind = { batch(), Fault::UnknownKind },
    question_of_unknown_kind = { question(), Fault::UnknownKind },
    reply_as_a_call = { batch(), Fault::Reply },
    batch_longer = { batch(), Fault::Longer },
    numbered_batch_longer = { numbered_batch(), Fault::Longer },
    question_longer = { question(), Fault::Longer },
    handover_longer = { handover(), Fault::Longer },
    batch_too_large = { batch(), Fault::TooLarge },
    numbered_batch_too_large = { numbered_batch(), Fault::TooLarge },
    question_too_large = { question(), Fault::TooLarge },
)]
fn a_message_that_cannot_be_read_is_refused(call: PeerCall, fault: Fault) {
    let log = Log::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(move || writer.clone())
        .finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let address = free_address();
    let limit = TimeLimit::whole(Duration::from_secs(5));
    let messages = faulty(&call, fault);
    let count = messages.len();
    LocalSet::new().block_on(&runtime, async move {
        Mesh::bind(address, inbound(), Receiver).expect("listens");
        let sender = Mesh::bind(free_address(), inbound(), Sender).expect("listens");
        let other = Mesh::bind(free_address(), inbound(), Receiver).expect("listens");
        let long_call = |sender: Mesh<Sender>| async move {
            let message = Raw(encode(&PeerCall::TakeOver { epoch: 1 }));
            sender.call(address, &message, limit).await
        };
        let long_call = spawn_local(long_call(sender.clone()));
        tokio::time::sleep(LONG_CALL / 10).await;
        for message in messages {
            let reply = sender.call(address, &Raw(message), limit).await;
            assert_eq!(reply.err(), Some(CallError::NoAnswer));
            let reply = other.call(address, &question(), limit).await;
            assert!(matches!(reply, Ok(PeerReply::NotTaken)), "{reply:?}");
        }
        let reply = sender.call(address, &Raw(encode(&call)), limit).await;
        assert!(matches!(reply, Ok(PeerReply::NotTaken)), "{reply:?}");
        let reply = long_call.await.expect("the call ends");
        assert!(matches!(reply, Ok(PeerReply::NotTaken)), "{reply:?}");
    });
    let log = String::from_utf8(log.0.lock().expect("the log").clone()).expect("text");
    let lines = log.lines().filter(|line| line.contains("WARN")).count();
    assert_eq!(lines, count, "{log}");
}
