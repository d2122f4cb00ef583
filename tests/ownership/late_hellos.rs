//! Hellos and their answers that arrive after newer ones.

use jayfork::process::host::{HostAction, HostEvent, KnownOwner, PeerCall, PeerReply, Presence};
use yare::parameterized;

use super::relay_host::{Relay, owner, record};

const EPOCH: u64 = 1 << 16;

fn presence(index: usize, owner: Option<KnownOwner>) -> Presence {
    Presence {
        host: record(index),
        config: 0,
        owner,
        store_age: None,
        store_time: 2,
        is_stopping: false,
    }
}

/// Lets time pass until the host sends a hello to `host-1`; returns the number of the call.
fn next_hello(relay: &mut Relay) -> u64 {
    for _ in 0..200 {
        relay.now += 10;
        let mut out = Vec::new();
        relay.host.poll(relay.time(), &mut out);
        let calls = out.into_iter().filter_map(|action| match action {
            HostAction::PeerCall {
                call,
                message: PeerCall::Hello { .. },
                ..
            } => Some(call),
            _ => None,
        });
        if let Some(call) = calls.last() {
            return call;
        }
    }
    panic!("no hello");
}

fn answer(relay: &mut Relay, call: u64, owner: Option<KnownOwner>) {
    let reply = PeerReply::Hello {
        presence: Box::new(presence(1, owner)),
        config: None,
        hosts: Vec::new(),
    };
    relay.handle(HostEvent::PeerAnswer(call, Ok(reply)));
}

/// The owner that the host tells another one.
fn known_owner(relay: &mut Relay) -> Option<KnownOwner> {
    let hello = PeerCall::Hello {
        presence: presence(2, None),
        wants_config: false,
    };
    let actions = relay.handle(HostEvent::Peer(9, hello));
    let owner = actions.into_iter().find_map(|action| match action {
        HostAction::PeerReply(9, PeerReply::Hello { presence, .. }) => Some(presence.owner),
        _ => None,
    });
    owner.expect("an answer")
}

/// Guards against a new owner that is taken for one that has given up, since an answer or a hello from before its claim
/// arrives after the news of it: the next host claims the shard at once.
#[parameterized(answer_from_before = { true }, hello_from_before = { false })]
fn a_message_from_before_the_claim_does_not_end_the_ownership(is_answer: bool) {
    let mut relay = Relay::start();
    relay.hear(1, None);
    let call = next_hello(&mut relay);
    relay.run(20);
    relay.hear(1, Some(owner(EPOCH)));
    relay.run(20);
    match is_answer {
        true => answer(&mut relay, call, None),
        false => relay.hear(1, None),
    }
    let known = known_owner(&mut relay).expect("an owner");
    assert_eq!((&*known.host, known.epoch), ("host-1", EPOCH));
}

/// Guards against an owner that has given up the shard and counts as the owner for longer.
#[parameterized(answer_from_after = { true }, hello_from_after = { false })]
fn a_message_from_after_the_claim_ends_the_ownership(is_answer: bool) {
    let mut relay = Relay::start();
    relay.hear(1, Some(owner(EPOCH)));
    relay.run(700);
    let call = next_hello(&mut relay);
    relay.run(20);
    match is_answer {
        true => answer(&mut relay, call, None),
        false => relay.hear(1, None),
    }
    assert_eq!(known_owner(&mut relay), None);
}
