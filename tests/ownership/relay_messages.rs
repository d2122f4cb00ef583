//! Messages that a relay can read and that no owner would send.

use jayfork::process::host::{
    BatchNumber, HostAction, HostEvent, OrderBatch, PeerCall, PeerReply, SessionId,
};
use yare::parameterized;

use super::relay_host::{Relay, start};
use super::world::garble;

const MESSAGES: u64 = 20_000;
const SESSION: SessionId = SessionId {
    epoch: 3 << 16,
    number: 1,
};

#[derive(Clone, Copy)]
enum Kind {
    Orders,
    NumberedOrders,
    BatchOutcome,
}

/// A message of a sound owner.
fn message(kind: Kind, now: u64, number: u64) -> PeerCall {
    let orders = [start(1), start(2)];
    let numbered = orders.iter().zip(1..).map(|(call, order)| (order, call));
    let batch = OrderBatch::new(SESSION, now + 1_000, numbered);
    match kind {
        Kind::Orders => PeerCall::Orders(batch),
        Kind::NumberedOrders => {
            let number = BatchNumber {
                number,
                oldest_open: number,
                begins: false,
            };
            PeerCall::NumberedOrders(number, batch)
        }
        Kind::BatchOutcome => PeerCall::BatchOutcome {
            session: SESSION,
            number,
        },
    }
}

fn is_reply(action: &HostAction) -> bool {
    matches!(action, HostAction::PeerReply(..))
}

/// Guards against a faulty host whose numbers end the process of another, or its service for the owner.
#[parameterized(
    orders = { Kind::Orders },
    numbered_orders = { Kind::NumberedOrders },
    batch_outcome = { Kind::BatchOutcome },
)]
fn a_relay_survives_odd_numbers(kind: Kind) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut relay = Relay::start();
    relay.run(1_000);
    begin(&mut relay, SESSION);
    let (mut calls, mut replies) = (0, 0);
    for index in 0..MESSAGES {
        let sent = message(kind, relay.now, 2 + index);
        let Some(call) = garble(&mut rng, &sent) else {
            continue;
        };
        // Other calls have no part in relaying.
        if matches!(
            call,
            PeerCall::Orders(_) | PeerCall::NumberedOrders(..) | PeerCall::BatchOutcome { .. }
        ) {
            calls += 1;
            let actions = relay.handle(HostEvent::Peer(index, call));
            replies += actions.iter().filter(|action| is_reply(action)).count();
        }
        if index % 16 == 0 {
            replies += relay.run(20).len();
        }
    }
    replies += relay.run(1_000).len();
    assert!(calls > 1_000, "{calls}");
    assert_eq!(replies, calls, "each call gets a reply");
    // The next session of the owner is served.
    let session = SessionId {
        number: u64::MAX,
        ..SESSION
    };
    begin(&mut relay, session);
}

fn begin(relay: &mut Relay, session: SessionId) {
    let number = BatchNumber {
        number: session.number,
        oldest_open: session.number,
        begins: true,
    };
    let batch = OrderBatch::new(session, relay.now + 1_000, []);
    let call = PeerCall::NumberedOrders(number, batch);
    relay.handle(HostEvent::Peer(u64::MAX, call));
    let replies = relay.run(200);
    assert!(
        matches!(&replies[..], [PeerReply::Answers { answers, .. }] if answers.is_empty()),
        "{replies:?}"
    );
}
