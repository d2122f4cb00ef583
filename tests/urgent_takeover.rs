//! Requests that arrive while another host may be taking over the instances of their service.

use bytes::Bytes;
use jayfork::base::{Millis, Name, Ran, Token};
use jayfork::connection::wire::ServiceLoad;
use jayfork::request::{
    MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentLimits, UrgentRequest, UrgentRouter,
};

/// In ms; longer than a takeover of the instances.
const DEADLINE: u64 = 7_300;

struct Fixture {
    router: UrgentRouter,
    now: u64,
    out: Vec<UrgentAction>,
}

impl Fixture {
    /// Router of host `a` with the live peer `b`, after `ask_window`.
    fn new() -> Self {
        let router = UrgentRouter::new("a".into(), 1, UrgentLimits::default());
        let mut f = Fixture {
            router,
            now: 0,
            out: Vec::new(),
        };
        f.router
            .set_hosts(Millis(0), &["a".into(), "b".into()], &mut f.out);
        while f.now < 100_000 {
            f.advance(1_000);
        }
        f
    }

    fn advance(&mut self, time: u64) {
        self.now += time;
        self.router.poll(Millis(self.now), &mut self.out);
    }

    /// Submits an id whose home is `a`.
    fn submit(&mut self, ticket: u64) {
        let hosts: [Name; 2] = ["a".into(), "b".into()];
        let id = (0..)
            .map(|n| format!("{ticket}-{n}"))
            .find(|id| {
                jayfork::base::top_ranked(&format!("vltava:{id}"), &hosts)
                    .is_some_and(|h| **h == *"a")
            })
            .expect("one of many ids");
        let request = UrgentRequest {
            ticket: Ticket(ticket),
            id: id.into(),
            customer: "vltava".into(),
            class: "proof".into(),
            service: "assembly".into(),
            idempotent: true,
            deadline: Millis(self.now + DEADLINE),
            class_deadline: Millis(DEADLINE),
            hops: 0,
            forwarded_by: None,
            attach: false,
            epoch: MessageEpoch::default(),
            body: Bytes::new(),
        };
        self.router.submit(Millis(self.now), request, &mut self.out);
    }

    fn acquire_instance(&mut self) {
        let owned = OwnedInstance {
            name: "i1".into(),
            service: "assembly".into(),
            address: "i1".into(),
            token: Token(1),
            slots: 8,
            connections: 64,
            running: Vec::new(),
            report_requested: Millis(self.now),
            leaving: false,
        };
        self.router
            .set_instances(Millis(self.now), vec![owned], &mut self.out);
    }

    fn peer_has_slots(&mut self) {
        let service = "assembly".into();
        let load = ServiceLoad {
            service,
            slots: 8,
            free: 8,
            queued: 0,
            mean: 20.0,
        };
        self.router
            .set_peers(Millis(self.now), vec![("b".into(), load)]);
    }

    fn refusals(&self) -> usize {
        let is_refusal = |action: &&UrgentAction| matches!(action, UrgentAction::Answer { answer, .. } if answer.ran == Some(Ran::NotRun));
        self.out.iter().filter(is_refusal).count()
    }
}

/// Guards against refusals during a takeover that ends before the deadline.
#[test]
fn queued_until_an_instance_is_held() {
    let mut f = Fixture::new();
    f.submit(1);
    f.advance(3_000);
    assert!(f.out.is_empty(), "{:?}", f.out);
    f.acquire_instance();
    assert!(
        matches!(f.out[..], [UrgentAction::Send { .. }]),
        "{:?}",
        f.out
    );
}

/// Guards against requests that stay queued here after a peer has taken over the instances.
#[test]
fn forwarded_once_a_peer_has_slots() {
    let mut f = Fixture::new();
    f.submit(1);
    f.advance(1_000);
    f.peer_has_slots();
    f.advance(50);
    assert!(
        matches!(f.out[..], [UrgentAction::Forward { .. }]),
        "{:?}",
        f.out
    );
}

/// Guards against callers that wait past their deadline, and against an answer other than "not run"
/// for a request that never ran (I5).
#[test]
fn refused_at_the_deadline_without_an_instance() {
    let mut f = Fixture::new();
    f.submit(1);
    f.advance(DEADLINE + 50);
    assert_eq!((f.refusals(), f.out.len()), (1, 1), "{:?}", f.out);
}

/// Guards against queueing when the service has had no instance for longer than a takeover takes.
#[test]
fn refused_at_once_after_a_takeover_would_have_ended() {
    let mut f = Fixture::new();
    f.submit(1);
    for _ in 0..6 {
        f.advance(1_000);
    }
    f.submit(2);
    assert_eq!(f.refusals(), 2, "{:?}", f.out);
}
