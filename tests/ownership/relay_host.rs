//! A host that is asked to send orders to workers.

use jayfork::base::Millis;
use jayfork::connection::{CallError, Order, StartOrder, WorkerCall};
use jayfork::process::host::{
    Host, HostAction, HostEvent, HostRecord, HostSettings, KnownOwner, OrderBatch, OrderOrigin,
    PeerCall, PeerReply, Presence, SessionId,
};
use jayfork::process::shard::Now;
use jayfork::request::job::{JobId, StepId, TaskKey};
use yare::parameterized;

use super::world::{HIGH_CAPACITY, START, address, shard_settings};

/// A host that is asked to relay; the test is its peer.
pub struct Relay {
    pub host: Host,
    pub now: u64,
}

impl Relay {
    pub fn start() -> Self {
        let settings = HostSettings {
            record: record(0),
            seeds: Vec::new(),
            shard: shard_settings(),
        };
        let now = Now {
            steady: Millis(START),
            wall: START,
        };
        Relay {
            host: Host::new(settings, now),
            now: START,
        }
    }

    /// Lets time pass with polls, and returns the replies.
    pub fn run(&mut self, millis: u64) -> Vec<PeerReply> {
        let mut replies = Vec::new();
        for _ in 0..millis / 10 {
            self.now += 10;
            let mut out = Vec::new();
            self.host.poll(self.time(), &mut out);
            replies.extend(out.into_iter().filter_map(|action| match action {
                HostAction::PeerReply(_, reply) => Some(reply),
                _ => None,
            }));
        }
        replies
    }

    pub fn time(&self) -> Now {
        Now {
            steady: Millis(self.now),
            wall: self.now,
        }
    }

    pub fn handle(&mut self, event: HostEvent) -> Vec<HostAction> {
        let mut out = Vec::new();
        self.host.handle(self.time(), event, &mut out);
        out
    }

    /// Sends the hello of a process of `host-1`, which knows `owner`.
    pub fn hear(&mut self, boot: u64, owner: Option<KnownOwner>) {
        let presence = Presence {
            host: HostRecord { boot, ..record(1) },
            config: 0,
            owner,
            store_age: None,
            store_time: 2,
            is_stopping: false,
        };
        let hello = PeerCall::Hello {
            presence,
            wants_config: false,
        };
        self.handle(HostEvent::Peer(8, hello));
    }

    /// Sends two starts; returns the orders that it passes on.
    fn send_orders(&mut self, epoch: u64) -> Vec<(OrderOrigin, WorkerCall)> {
        let orders = [start(1), start(2)];
        let orders = orders.iter().zip(1..).map(|(call, number)| (number, call));
        let session = SessionId { epoch, number: 1 };
        let batch = OrderBatch::new(session, self.now + 1_000, orders);
        let actions = self.handle(HostEvent::Peer(7, PeerCall::Orders(batch)));
        let orders = actions.into_iter().filter_map(|action| match action {
            HostAction::Worker { origin, call, .. } => Some((origin, call)),
            _ => None,
        });
        orders.collect()
    }
}

/// The first process of `host-1` as the owner.
pub fn owner(epoch: u64) -> KnownOwner {
    KnownOwner {
        host: "host-1".into(),
        boot: 1,
        epoch,
        age: 0,
    }
}

pub fn record(index: usize) -> HostRecord {
    HostRecord {
        name: format!("host-{index}").into(),
        boot: 1,
        control: address(index),
        data_centre: "centre-0".into(),
        region: "east".into(),
        processor: HIGH_CAPACITY,
    }
}

pub fn start(index: u16) -> WorkerCall {
    let step = StepId {
        job: JobId(1),
        turn: 0,
        step: 0,
    };
    WorkerCall {
        worker: "i-1".into(),
        address: address(9),
        epoch: 3 << 16,
        order: Order::Start(StartOrder {
            task: TaskKey { step, index },
            run: 1,
            payload: "payload ".repeat(100).into(),
            lease_end: 5_000,
            checkpoint: Some("c1".into()),
            permit: None,
        }),
        timeout: Millis(700),
    }
}

/// Guards against orders that change on their way, and against a payload that is sent with each task
/// of a job.
#[test]
fn relayed_orders_arrive_as_they_were_given() {
    let orders = [start(1), start(2)];
    let session = SessionId {
        epoch: 3 << 16,
        number: 1,
    };
    let numbered = orders.iter().zip(1..).map(|(call, number)| (number, call));
    let batch = OrderBatch::new(session, 1, numbered);
    let encoded = bincode::serde::encode_to_vec(&batch, bincode::config::standard());
    let encoded = encoded.expect("encodes");
    assert!(encoded.len() < 1_000, "{} bytes", encoded.len());
    let decoded = bincode::serde::decode_from_slice(&encoded, bincode::config::standard());
    let (batch, _): (OrderBatch, usize) = decoded.expect("decodes");
    let calls = Vec::<(u64, WorkerCall)>::try_from(batch).expect("has its payload");
    assert_eq!(format!("{:?}", calls[1]), format!("{:?}", (2, &orders[1])));
}

/// Guards against a payload index that a faulty peer sends: it must not end the process.
#[test]
fn a_batch_without_its_payload_is_refused() {
    let session = SessionId {
        epoch: 1,
        number: 1,
    };
    let call = start(1);
    let batch = OrderBatch::new(session, 1, [(1, &call)]);
    let encoded = bincode::serde::encode_to_vec(&batch, bincode::config::standard());
    let mut encoded = encoded.expect("encodes");
    // The session and the time limit take three bytes; the next one is the number of payloads.
    let payload = encoded.drain(3..).collect::<Vec<u8>>();
    let rest = &payload[1 + 3 + "payload ".len() * 100..];
    encoded.push(0);
    encoded.extend_from_slice(rest);
    let decoded = bincode::serde::decode_from_slice(&encoded, bincode::config::standard());
    let (batch, _): (OrderBatch, usize) = decoded.expect("decodes");
    assert!(Vec::<(u64, WorkerCall)>::try_from(batch).is_err());
}

/// Guards against orders of an owner that has been replaced: its relay may know the next one first.
#[test]
fn a_relay_refuses_the_orders_of_an_earlier_owner() {
    let mut relay = Relay::start();
    relay.run(100);
    assert_eq!(relay.send_orders(3 << 16).len(), 2);
    relay.hear(1, Some(owner(4 << 16)));
    assert!(relay.send_orders(3 << 16).is_empty());
    assert_eq!(relay.send_orders(4 << 16).len(), 2);
}

/// Guards against orders of an owner that is known to have given up the shard.
#[test]
fn a_relay_refuses_the_orders_of_an_ended_epoch() {
    let mut relay = Relay::start();
    relay.run(100);
    relay.hear(1, Some(owner(4 << 16)));
    relay.hear(2, None);
    assert!(relay.send_orders(3 << 16).is_empty());
    assert!(relay.send_orders(4 << 16).is_empty());
    assert_eq!(relay.send_orders(5 << 16).len(), 2);
}

/// Guards against orders that the network has held back until their owner has given them up.
#[test]
fn a_relay_refuses_orders_after_their_time() {
    let mut relay = Relay::start();
    relay.run(100);
    let call = start(1);
    let session = SessionId {
        epoch: 3 << 16,
        number: 1,
    };
    let batch = OrderBatch::new(session, relay.now - 1, [(1, &call)]);
    let actions = relay.handle(HostEvent::Peer(7, PeerCall::Orders(batch)));
    let [HostAction::PeerReply(7, PeerReply::Answers { answers, .. })] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(answers[0].answer, Err(CallError::NotSent));
}

/// Guards against a call that a relay writes, after a pause, when the owner has given up the order.
#[parameterized(
    the_batch_ends_first = { 300, 300 },
    the_call_ends_first = { 1_000, 700 },
)]
fn a_relay_writes_no_order_after_its_time(batch_time: u64, expected: u64) {
    let mut relay = Relay::start();
    relay.run(100);
    let call = start(1);
    let session = SessionId {
        epoch: 3 << 16,
        number: 1,
    };
    let batch = OrderBatch::new(session, relay.now + batch_time, [(1, &call)]);
    let actions = relay.handle(HostEvent::Peer(7, PeerCall::Orders(batch)));
    let times = actions.iter().filter_map(|action| match action {
        HostAction::Worker { not_after, .. } => Some(*not_after),
        _ => None,
    });
    let times: Vec<Millis> = times.collect();
    assert_eq!(times, [Millis(relay.now + expected)]);
}

/// How a process stands still.
#[derive(Clone, Copy)]
enum Pause {
    /// Both clocks go on.
    Stopped,
    /// The steady clock stands still as well.
    Suspended,
}

/// Guards against orders that a relay sends after it was paused: the owner has given them up, and may
/// have given them to another worker.
#[parameterized(
    stopped = { Pause::Stopped },
    suspended = { Pause::Suspended },
)]
fn a_relay_that_was_paused_refuses_the_orders_of_that_time(pause: Pause) {
    let mut relay = Relay::start();
    relay.run(100);
    let suspended = 3_000;
    let time = Now {
        steady: Millis(match pause {
            Pause::Stopped => relay.now + suspended,
            Pause::Suspended => relay.now,
        }),
        wall: relay.now + suspended,
    };
    let call = start(1);
    let session = SessionId {
        epoch: 3 << 16,
        number: 1,
    };
    let batch = OrderBatch::new(session, relay.now + 10_000, [(1, &call)]);
    let mut out = Vec::new();
    let event = HostEvent::Peer(7, PeerCall::Orders(batch));
    relay.host.handle(time, event, &mut out);
    let is_order = |action: &HostAction| matches!(action, HostAction::Worker { .. });
    assert!(!out.iter().any(is_order), "{out:?}");
    relay.now += suspended;
    relay.run(1_000);
    assert_eq!(relay.send_orders(3 << 16).len(), 2);
}

/// Guards against answers that are held back or repeated: the owner counts an order without an answer
/// as one that may still be carried out.
#[test]
fn a_relay_returns_each_answer_once() {
    let mut relay = Relay::start();
    relay.run(100);
    let orders = relay.send_orders(3 << 16);
    for (origin, _) in orders {
        let answer = Err(CallError::NotSent);
        relay.handle(HostEvent::Worker { origin, answer });
    }
    let replies = relay.run(100);
    let [PeerReply::Answers { answers, .. }] = &replies[..] else {
        panic!("{replies:?}");
    };
    let numbers: Vec<u64> = answers.iter().map(|answer| answer.order).collect();
    assert_eq!(numbers, [1, 2]);
    assert!(relay.run(300).is_empty());
}

/// Guards against an owner that takes a live relay for lost because no worker answers for a while.
#[test]
fn a_relay_answers_in_time_without_news() {
    let mut relay = Relay::start();
    relay.run(100);
    relay.send_orders(3 << 16);
    let replies = relay.run(300);
    assert!(matches!(&replies[..], [PeerReply::Answers { answers, .. }] if answers.is_empty()));
}
