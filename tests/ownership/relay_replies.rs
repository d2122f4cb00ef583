//! A host that relays orders and keeps its replies until the owner has them.

use jayfork::connection::{CallError, RunReport, WorkerAnswer, WorkerCall, WorkerReport};
use jayfork::process::host::{
    BatchNumber, HostAction, HostEvent, OrderBatch, OrderOrigin, PeerCall, PeerReply,
    RelayedAnswer, SessionId,
};
use yare::parameterized;

use super::relay_host::{Relay, owner, start};

const EPOCH: u64 = 3 << 16;
/// Number of the session, and of the batch that begins it.
const FIRST: u64 = 10;
const SESSION: SessionId = SessionId {
    epoch: EPOCH,
    number: FIRST,
};
/// Longest time that a relay holds a call, with a step of the test, in milliseconds.
const HOLD: u64 = 200;

/// What a relay has done with a call.
#[derive(Debug, Default)]
struct Outcome {
    /// Where the answers of the workers have to go.
    orders: Vec<OrderOrigin>,
    replies: Vec<(u64, PeerReply)>,
}

/// A relay with a session, whose first batch has been answered.
fn relay() -> Relay {
    let mut relay = Relay::start();
    relay.run(1_000);
    begin(&mut relay, SESSION);
    relay
}

fn begin(relay: &mut Relay, session: SessionId) {
    let number = BatchNumber {
        number: session.number,
        oldest_open: session.number,
        begins: true,
    };
    let batch = OrderBatch::new(session, relay.now + 1_000, []);
    call(relay, 1, PeerCall::NumberedOrders(number, batch));
    let replies = relay.run(HOLD);
    assert!(
        matches!(&replies[..], [PeerReply::Answers { answers, .. }] if answers.is_empty()),
        "{replies:?}"
    );
}

fn call(relay: &mut Relay, ticket: u64, call: PeerCall) -> Outcome {
    let mut outcome = Outcome::default();
    for action in relay.handle(HostEvent::Peer(ticket, call)) {
        match action {
            HostAction::Worker { origin, .. } => outcome.orders.push(origin),
            HostAction::PeerReply(ticket, reply) => outcome.replies.push((ticket, reply)),
            _ => {}
        }
    }
    outcome
}

/// Sends a batch with one order that has the number of the batch; its ticket is the number as well.
fn send(relay: &mut Relay, session: SessionId, number: u64, oldest_open: u64) -> Outcome {
    send_until(relay, session, number, oldest_open, relay.now + 1_000)
}

fn send_until(
    relay: &mut Relay,
    session: SessionId,
    number: u64,
    oldest_open: u64,
    not_after: u64,
) -> Outcome {
    let order: WorkerCall = start(1);
    let batch = OrderBatch::new(session, not_after, [(number, &order)]);
    let place = BatchNumber {
        number,
        oldest_open,
        begins: false,
    };
    call(relay, number, PeerCall::NumberedOrders(place, batch))
}

/// Ticket of a question.
const QUESTION: u64 = 1_000;

fn ask(relay: &mut Relay, session: SessionId, number: u64) -> Vec<(u64, PeerReply)> {
    let message = PeerCall::BatchOutcome { session, number };
    let outcome = call(relay, QUESTION, message);
    assert!(outcome.orders.is_empty());
    outcome.replies
}

/// The reply of a relay to a question that it answers at once.
fn outcome(relay: &mut Relay, session: SessionId, number: u64) -> PeerReply {
    let replies = ask(relay, session, number);
    let [(QUESTION, reply)] = &replies[..] else {
        panic!("{replies:?}");
    };
    reply.clone()
}

/// Answers orders; returns the relay's replies.
fn answer(relay: &mut Relay, orders: &[OrderOrigin], answer: &WorkerAnswer) -> Vec<PeerReply> {
    for origin in orders {
        relay.handle(HostEvent::Worker {
            origin: origin.clone(),
            answer: Ok(answer.clone()),
        });
    }
    relay.run(HOLD)
}

fn answers(reply: &PeerReply) -> &[RelayedAnswer] {
    match reply {
        PeerReply::Answers { answers, .. } => answers,
        reply => panic!("{reply:?}"),
    }
}

fn accepted() -> WorkerAnswer {
    WorkerAnswer::Accepted { clock: 7 }
}

/// Guards against orders that count as unanswered because the connection broke after their answers.
#[test]
fn a_reply_is_repeated_until_the_owner_has_it() {
    let mut relay = relay();
    let orders = send(&mut relay, SESSION, 11, 11).orders;
    let replies = answer(&mut relay, &orders, &accepted());
    let sent = answers(&replies[0]).to_vec();
    assert_eq!((replies.len(), sent.len()), (1, 1));
    for _ in 0..2 {
        assert_eq!(answers(&outcome(&mut relay, SESSION, 11)), sent);
    }
    send(&mut relay, SESSION, 12, 11);
    assert_eq!(answers(&outcome(&mut relay, SESSION, 11)), sent);
    send(&mut relay, SESSION, 13, 12);
    let reply = outcome(&mut relay, SESSION, 11);
    assert!(matches!(reply, PeerReply::Unknown), "{reply:?}");
}

/// Guards against a question that is answered before the workers have answered.
#[test]
fn a_question_takes_the_place_of_a_held_call() {
    let mut relay = relay();
    let orders = send(&mut relay, SESSION, 11, 11).orders;
    let replies = ask(&mut relay, SESSION, 11);
    assert!(
        matches!(&replies[..], [(11, PeerReply::Unknown)]),
        "{replies:?}"
    );
    relay.handle(HostEvent::Worker {
        origin: orders[0].clone(),
        answer: Ok(accepted()),
    });
    let mut out = Vec::new();
    relay.now += 50;
    relay.host.poll(relay.time(), &mut out);
    let mut replies = out.iter().filter_map(|action| match action {
        HostAction::PeerReply(ticket, reply) => Some((*ticket, answers(reply).len())),
        _ => None,
    });
    assert_eq!(replies.next(), Some((QUESTION, 1)));
}

/// How a batch comes again.
#[derive(Clone, Copy, Debug)]
enum Again {
    Twice,
    AfterItsReply,
    AfterLaterBatches,
    /// The owner has the reply.
    Acknowledged,
    /// The relay was asked before, and had not got it.
    AskedBefore,
    /// The owner's next session has begun.
    NextSession,
    /// The owner has not called for a while.
    Forgotten,
    /// The batch that began the session comes again as well.
    Begun,
}

/// Guards against tasks that start twice.
#[parameterized(
    twice = { Again::Twice },
    after_its_reply = { Again::AfterItsReply },
    after_later_batches = { Again::AfterLaterBatches },
    acknowledged = { Again::Acknowledged },
    asked_before = { Again::AskedBefore },
    session_ended = { Again::NextSession },
    session_forgotten = { Again::Forgotten },
    session_begun_again = { Again::Begun },
)]
fn an_order_is_made_once(again: Again) {
    let mut relay = relay();
    let not_after = relay.now + 20_000;
    let mut made = 0;
    if matches!(again, Again::AskedBefore) {
        let reply = outcome(&mut relay, SESSION, 11);
        assert!(matches!(reply, PeerReply::NotTaken), "{reply:?}");
    } else {
        let orders = send_until(&mut relay, SESSION, 11, 11, not_after).orders;
        made += orders.len();
        match again {
            Again::AfterItsReply => {
                answer(&mut relay, &orders, &accepted());
            }
            Again::AfterLaterBatches => {
                send(&mut relay, SESSION, 13, 11);
                send(&mut relay, SESSION, 12, 11);
            }
            Again::Acknowledged => {
                answer(&mut relay, &orders, &accepted());
                send(&mut relay, SESSION, 12, 12);
            }
            Again::NextSession => begin(
                &mut relay,
                SessionId {
                    number: 20,
                    ..SESSION
                },
            ),
            Again::Forgotten | Again::Begun => {
                relay.run(10_000);
            }
            Again::Twice | Again::AskedBefore => {}
        }
        assert_eq!(made, 1);
    }
    if matches!(again, Again::Begun) {
        let number = BatchNumber {
            number: FIRST,
            oldest_open: FIRST,
            begins: true,
        };
        let batch = OrderBatch::new(SESSION, not_after, []);
        call(&mut relay, 2, PeerCall::NumberedOrders(number, batch));
    }
    let later = send_until(&mut relay, SESSION, 11, 11, not_after);
    made += later.orders.len();
    let expected = usize::from(!matches!(again, Again::AskedBefore));
    assert_eq!(made, expected);
    assert!(
        matches!(&later.replies[..], [(11, PeerReply::Unknown)]),
        "{:?}",
        later.replies
    );
}

/// Guards against batches that are refused because a later one was faster.
#[test]
fn batches_may_overtake_each_other() {
    let mut relay = relay();
    assert_eq!(send(&mut relay, SESSION, 12, 11).orders.len(), 1);
    assert_eq!(send(&mut relay, SESSION, 11, 11).orders.len(), 1);
}

/// Why a relay does not know what became of a batch.
#[derive(Clone, Copy)]
enum Cause {
    Restart,
    SessionForgotten,
    NextSession,
    NextOwner,
}

/// Guards against an order that counts as not sent although a worker may carry it out.
#[parameterized(
    restart = { Cause::Restart },
    session_forgotten = { Cause::SessionForgotten },
    next_session = { Cause::NextSession },
    next_owner = { Cause::NextOwner },
)]
fn what_a_relay_has_forgotten_is_unknown(cause: Cause) {
    let mut relay = relay();
    let orders = send(&mut relay, SESSION, 11, 11).orders;
    answer(&mut relay, &orders, &accepted());
    match cause {
        Cause::Restart => {
            relay = Relay::start();
            relay.run(1_000);
            // A batch on its way does not begin the session anew.
            let batch = OrderBatch::new(SESSION, relay.now + 1_000, []);
            let number = BatchNumber {
                number: 12,
                oldest_open: 11,
                begins: false,
            };
            call(&mut relay, 12, PeerCall::NumberedOrders(number, batch));
        }
        Cause::SessionForgotten => {
            relay.run(10_000);
        }
        Cause::NextSession => begin(
            &mut relay,
            SessionId {
                number: 20,
                ..SESSION
            },
        ),
        Cause::NextOwner => {
            relay.hear(1, Some(owner(EPOCH + (1 << 16))));
            let reply = outcome(&mut relay, SESSION, 11);
            assert!(
                matches!(reply, PeerReply::NotOwner { owner: Some(_) }),
                "{reply:?}"
            );
            return;
        }
    }
    let reply = outcome(&mut relay, SESSION, 11);
    assert!(matches!(reply, PeerReply::Unknown), "{reply:?}");
}

/// Guards against orders that count as unanswered although the relay, once restarted, has refused them.
#[test]
fn a_restarted_relay_refuses_orders_of_earlier_sessions() {
    let mut relay = Relay::start();
    relay.run(1_000);
    let outcome = send(&mut relay, SESSION, 11, 11);
    assert!(outcome.orders.is_empty());
    assert!(
        matches!(
            &outcome.replies[..],
            [(11, PeerReply::NotOwner { owner: None })]
        ),
        "{:?}",
        outcome.replies
    );
}

/// Guards against late orders that count as unanswered because the refusal was lost.
#[test]
fn the_refusal_of_late_orders_is_repeated() {
    let mut relay = relay();
    let not_after = relay.now - 1;
    let replies = send_until(&mut relay, SESSION, 11, 11, not_after).replies;
    let refused = [RelayedAnswer {
        order: 11,
        answer: Err(CallError::NotSent),
    }];
    assert_eq!(answers(&replies[0].1), refused);
    assert_eq!(answers(&outcome(&mut relay, SESSION, 11)), refused);
    assert!(send(&mut relay, SESSION, 11, 11).orders.is_empty());
}

/// Guards against a relay that runs out of memory because its owner does not acknowledge replies.
#[parameterized(
    many = { 100, 1 },
    large = { 8, 4_000 },
)]
fn kept_replies_are_bounded(batches: u64, runs: usize) {
    let mut relay = relay();
    let report = WorkerAnswer::Report(WorkerReport {
        running: vec![run_report(); runs],
        ..WorkerReport::default()
    });
    for number in 11..11 + batches {
        let orders = send(&mut relay, SESSION, number, 11).orders;
        answer(&mut relay, &orders, &report);
    }
    let mut kept = Vec::new();
    for number in 11..11 + batches {
        match outcome(&mut relay, SESSION, number) {
            PeerReply::Answers { answers, .. } => kept.push((number, answers)),
            reply => assert!(matches!(reply, PeerReply::Unknown), "{reply:?}"),
        }
    }
    let numbers: Vec<u64> = kept.iter().map(|(number, _)| *number).collect();
    let newest = 11 + batches - numbers.len() as u64..11 + batches;
    assert_eq!(numbers, newest.collect::<Vec<u64>>());
    assert!((1..=16).contains(&kept.len()), "{numbers:?}");
    let size = kept.len() * runs * size_of::<RunReport>();
    assert!(size <= 1 << 20, "{size} bytes");
    // The number of a batch whose reply is no longer kept is still known.
    assert!(send(&mut relay, SESSION, 12, 11).orders.is_empty());
}

fn run_report() -> RunReport {
    let jayfork::connection::Order::Start(order) = start(1).order else {
        unreachable!("a start");
    };
    RunReport {
        task: order.task,
        run: 1,
        checkpoint: None,
        percent: 0,
        measurement: None,
    }
}
