//! Fault tables of one urgent request router.

use bytes::Bytes;
use jayfork::base::{Millis, Name, Ran, Token, prefer, rank};
use jayfork::connection::wire::ServiceLoad;
use jayfork::request::{
    DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward, UrgentLimits, UrgentRequest, UrgentRouter,
};
use yare::parameterized;

const DEADLINE: u64 = 1_000;

fn name(text: &str) -> Name {
    text.into()
}

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().map(|text| name(text)).collect()
}

fn instance(of: &str, reported: u64, running: &[&str]) -> OwnedInstance {
    OwnedInstance {
        name: name(of),
        service: name("assembly"),
        address: name("127.0.0.1:1"),
        token: Token(1),
        slots: 2,
        connections: 64,
        running: names(running),
        report_requested: Millis(reported),
        leaving: false,
    }
}

fn load(slots: u32, free: u32, queued: u32) -> ServiceLoad {
    ServiceLoad {
        service: name("assembly"),
        slots,
        free,
        queued,
        mean: 20.0,
    }
}

#[derive(Clone, Copy)]
struct Options {
    idempotent: bool,
    hops: u8,
    from: Option<&'static str>,
    attach: bool,
}

const IDEMPOTENT: Options = Options {
    idempotent: true,
    hops: 0,
    from: None,
    attach: false,
};

const ONCE: Options = Options {
    idempotent: false,
    ..IDEMPOTENT
};

/// Without queueing during takeovers, which `urgent_takeover.rs` tests.
fn limits() -> UrgentLimits {
    UrgentLimits {
        takeover: Millis(0),
        ..UrgentLimits::default()
    }
}

/// Router `a` with the actions that it has returned and not yet carried out.
struct Fixture {
    router: UrgentRouter,
    now: u64,
    tickets: u64,
    out: Vec<UrgentAction>,
}

impl Fixture {
    /// Starts at 100 s, past the time in which peers are asked about ids.
    fn new(hosts: &[&str]) -> Self {
        let mut f = Fixture {
            router: UrgentRouter::new(name("a"), 1, limits()),
            now: 0,
            tickets: 0,
            out: Vec::new(),
        };
        f.set_hosts(hosts);
        while f.now < 100_000 {
            f.pass(1_000);
        }
        f
    }

    fn with_instance(hosts: &[&str]) -> Self {
        let mut f = Fixture::new(hosts);
        f.report("i1", &[]);
        f
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        self.router.poll(Millis(self.now), &mut self.out);
    }

    fn set_hosts(&mut self, hosts: &[&str]) {
        let now = Millis(self.now);
        self.router.set_hosts(now, &names(hosts), &mut self.out);
    }

    fn report(&mut self, of: &str, running: &[&str]) {
        self.set_instances(vec![instance(of, self.now, running)]);
    }

    fn set_instances(&mut self, owned: Vec<OwnedInstance>) {
        let now = Millis(self.now);
        self.router.set_instances(now, owned, &mut self.out);
    }

    fn settle(&mut self, instance: &str, running: &[Name]) {
        let now = Millis(self.now);
        let router = &mut self.router;
        router.instance_reported(now, &name(instance), now, running, &mut self.out);
    }

    fn request(&mut self, request: &str, options: Options) -> UrgentRequest {
        self.tickets += 1;
        UrgentRequest {
            ticket: Ticket(self.tickets),
            id: name(request),
            customer: name("vltava"),
            class: name("proof"),
            service: name("assembly"),
            idempotent: options.idempotent,
            deadline: Millis(self.now + DEADLINE),
            class_deadline: Millis(DEADLINE),
            hops: options.hops,
            forwarded_by: options.from.map(name),
            attach: options.attach,
            epoch: MessageEpoch::default(),
            body: Bytes::copy_from_slice(request.as_bytes()),
        }
    }

    fn submit(&mut self, request: &str, options: Options) -> Ticket {
        let request = self.request(request, options);
        self.submit_request(request)
    }

    fn submit_request(&mut self, request: UrgentRequest) -> Ticket {
        let ticket = request.ticket;
        self.router.submit(Millis(self.now), request, &mut self.out);
        ticket
    }

    fn answered(&mut self, dispatch: DispatchId, result: InstanceResult) {
        let now = Millis(self.now);
        self.router
            .instance_answered(now, dispatch, result, &mut self.out);
    }

    fn peer_answered(&mut self, dispatch: DispatchId, answer: Option<UrgentAnswer>) {
        let now = Millis(self.now);
        self.router
            .peer_answered(now, dispatch, answer, &mut self.out);
    }

    /// Takes the only message to an instance.
    #[track_caller]
    fn sent(&mut self) -> (DispatchId, Name, Name) {
        let mut sent = self.all_sent();
        assert_eq!(sent.len(), 1, "{:?}", self.out);
        sent.remove(0)
    }

    fn all_sent(&mut self) -> Vec<(DispatchId, Name, Name)> {
        let mut sent = Vec::new();
        self.out.retain(|action| match action {
            UrgentAction::Send {
                dispatch,
                instance,
                key,
                ..
            } => {
                sent.push((*dispatch, instance.clone(), key.clone()));
                false
            }
            _ => true,
        });
        sent
    }

    /// Takes the only message to a peer.
    #[track_caller]
    fn forwarded(&mut self) -> (DispatchId, Name, UrgentForward) {
        let mut sent = Vec::new();
        self.out.retain(|action| match action {
            UrgentAction::Forward {
                dispatch,
                host,
                forward,
            } => {
                sent.push((*dispatch, host.clone(), forward.clone()));
                false
            }
            _ => true,
        });
        assert_eq!(sent.len(), 1, "{sent:?}, {:?}", self.out);
        sent.remove(0)
    }

    /// Takes all answers.
    fn answers(&mut self) -> Vec<(Ticket, u16, Option<Ran>)> {
        let mut answers = Vec::new();
        self.out.retain(|action| match action {
            UrgentAction::Answer { ticket, answer } => {
                answers.push((*ticket, answer.status, answer.ran));
                false
            }
            _ => true,
        });
        answers
    }

    #[track_caller]
    fn assert_idle(&self) {
        assert!(self.out.is_empty(), "{:?}", self.out);
    }
}

fn ok() -> InstanceResult {
    InstanceResult::Answer {
        status: 200,
        body: Bytes::from_static(b"done"),
    }
}

fn peer_ok() -> Option<UrgentAnswer> {
    Some(UrgentAnswer {
        status: 200,
        ran: None,
        body: Bytes::from_static(b"done"),
    })
}

fn peer_refusal(status: u16, ran: Ran) -> Option<UrgentAnswer> {
    Some(UrgentAnswer {
        status,
        ran: Some(ran),
        body: Bytes::new(),
    })
}

/// Request ids for which `hosts` is the order of preference.
fn ids_of(hosts: &[&str]) -> impl Iterator<Item = String> {
    let order = names(hosts);
    (0..).map(|n| format!("r{n}")).filter(move |id| {
        let key = format!("vltava:{id}");
        rank(&key, &order).into_iter().eq(&order)
    })
}

/// A request id whose home is `home` among `hosts`.
fn id_of(home: &str, hosts: &[&str]) -> String {
    let hosts = names(hosts);
    (0..)
        .map(|n| format!("r{n}"))
        .find(|id| prefer(&format!("vltava:{id}"), &hosts) == Some(&name(home)))
        .unwrap()
}

/// Guards I4: the answer goes to the caller that asked, whole and once.
#[test]
fn answers_reach_their_callers_out_of_order() {
    let mut f = Fixture::with_instance(&["a"]);
    let first = f.submit("x", IDEMPOTENT);
    let second = f.submit("y", IDEMPOTENT);
    let sent = f.all_sent();
    f.answered(sent[1].0, ok());
    assert_eq!(f.answers(), [(second, 200, None)]);
    f.answered(sent[1].0, ok());
    f.assert_idle();
    f.pass(DEADLINE * 2);
    f.answered(sent[0].0, ok());
    assert_eq!(
        f.answers(),
        [(first, 200, None)],
        "late answers are delivered"
    );
}

/// Guards I1: a third request would share one of the two slots.
#[test]
fn slots_are_never_shared() {
    let mut f = Fixture::with_instance(&["a"]);
    for id in ["x", "y", "z"] {
        f.submit(id, IDEMPOTENT);
    }
    let sent = f.all_sent();
    assert_eq!(sent.len(), 2);
    f.report("i1", &["vltava:x", "vltava:y"]);
    f.assert_idle();
    f.answered(sent[0].0, ok());
    f.answers();
    assert_eq!(f.sent().2, name("vltava:z"));
}

/// Guards I1: a broken attempt may still be running in its slot.
#[test]
fn a_broken_attempt_keeps_its_slot() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", IDEMPOTENT);
    f.submit("y", IDEMPOTENT);
    f.submit("z", IDEMPOTENT);
    let sent = f.all_sent();
    f.answered(sent[0].0, InstanceResult::Broken);
    f.assert_idle();
}

/// Guards I1: ids that an earlier holder left running use up slots after a takeover.
#[test]
fn inherited_requests_use_slots() {
    let mut f = Fixture::new(&["a"]);
    f.report("i1", &["vltava:old", "vltava:older"]);
    f.submit("x", IDEMPOTENT);
    assert!(f.all_sent().is_empty());
    f.pass(100);
    f.report("i1", &["vltava:old"]);
    assert_eq!(f.sent().2, name("vltava:x"));
}

/// Guards I2 and I6: an id that an earlier holder left running.
#[parameterized(
    idempotent = { IDEMPOTENT, true },
    at_most_once = { ONCE, false },
)]
fn an_inherited_id_is_not_run_again_before_its_end(options: Options, runs_again: bool) {
    let mut f = Fixture::new(&["a"]);
    f.report("i1", &["vltava:x"]);
    let ticket = f.submit("x", options);
    f.pass(100);
    f.assert_idle();
    f.report("i1", &[]);
    if runs_again {
        assert_eq!(f.sent().2, name("vltava:x"));
    } else {
        assert_eq!(f.answers(), [(ticket, 502, Some(Ran::Unknown))]);
    }
    f.assert_idle();
}

/// Guards against callers that wait for instances that this host has lost.
#[parameterized(
    to_a_peer = { true },
    refused = { false },
)]
fn queued_requests_move_on_when_the_last_instance_is_lost(peer_is_free: bool) {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let ids: Vec<String> = ids_of(&["a", "b"]).take(3).collect();
    let tickets: Vec<Ticket> = ids.iter().map(|id| f.submit(id, IDEMPOTENT)).collect();
    f.all_sent();
    if peer_is_free {
        let now = Millis(f.now);
        f.router.set_peers(now, vec![(name("b"), load(8, 8, 0))]);
    }
    f.set_instances(Vec::new());
    if peer_is_free {
        assert_eq!(f.forwarded().2.hops, 2);
    } else {
        assert_eq!(f.answers(), [(tickets[2], 503, Some(Ran::NotRun))]);
    }
    f.assert_idle();
}

/// Guards I7 and I8.
#[parameterized(
    leaving = { true, true },
    not_held = { false, false },
)]
fn unusable_instances_get_nothing_new(leaving: bool, held: bool) {
    let mut f = Fixture::with_instance(&["a"]);
    let running = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.sent();
    let mut owned = instance("i1", f.now, &["vltava:x"]);
    owned.leaving = leaving;
    f.set_instances(if held { vec![owned] } else { Vec::new() });
    let refused = f.submit("y", IDEMPOTENT);
    assert_eq!(f.answers(), [(refused, 503, Some(Ran::NotRun))]);
    f.answered(dispatch, ok());
    assert_eq!(f.answers(), [(running, 200, None)]);
    f.assert_idle();
}

/// Guards against sending on leases that lapsed while this process was stopped.
#[test]
fn a_stop_of_the_process_suspends_instances() {
    let mut f = Fixture::with_instance(&["a"]);
    f.now += 10_000;
    let ticket = f.submit("x", IDEMPOTENT);
    assert_eq!(f.answers(), [(ticket, 503, Some(Ran::NotRun))]);
}

#[parameterized(
    idempotent = { IDEMPOTENT },
    at_most_once = { ONCE },
)]
fn refused_attempts_are_tried_elsewhere(options: Options) {
    let mut f = Fixture::new(&["a"]);
    f.set_instances(vec![instance("i1", f.now, &[]), instance("i2", f.now, &[])]);
    let ticket = f.submit("x", options);
    let (first, tried, _) = f.sent();
    f.answered(first, InstanceResult::Refused);
    let (second, other, _) = f.sent();
    assert_ne!(tried, other);
    f.answered(second, ok());
    assert_eq!(f.answers(), [(ticket, 200, None)]);
}

/// Guards I2: the report from before the break does not list an attempt that just arrived.
#[test]
fn broken_attempts_are_repeated_only_after_their_end() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.sent();
    let before = f.now;
    f.pass(50);
    f.answered(dispatch, InstanceResult::Broken);
    f.set_instances(vec![instance("i1", before, &[])]);
    f.assert_idle();
    f.pass(50);
    f.report("i1", &["vltava:x"]);
    f.assert_idle();
    f.pass(50);
    f.report("i1", &[]);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    assert_eq!(f.answers(), [(ticket, 200, None)]);
}

/// Guards I6 and I5: a broken attempt of an at-most-once class may have run.
#[test]
fn broken_at_most_once_attempts_are_never_repeated() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", ONCE);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, InstanceResult::Broken);
    assert_eq!(f.answers(), [(ticket, 502, Some(Ran::Unknown))]);
    f.pass(50);
    f.report("i1", &[]);
    let repeat = f.submit("x", ONCE);
    assert_eq!(f.answers(), [(repeat, 409, Some(Ran::Unknown))]);
    f.assert_idle();
}

/// Guards I6: a repeat within ten deadlines is answered, not run.
#[test]
fn at_most_once_ids_are_remembered_for_ten_deadlines() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", ONCE);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    f.answers();
    for _ in 0..9 {
        f.pass(DEADLINE);
    }
    f.report("i1", &[]);
    let repeat = f.submit("x", ONCE);
    assert_eq!(f.answers(), [(repeat, 409, Some(Ran::Unknown))]);
    f.pass(DEADLINE);
    f.submit("x", ONCE);
    assert_eq!(f.sent().2, name("vltava:x"));
}

/// Guards I5: the first attempt may have run, so its caller is not told "not run".
#[test]
fn a_broken_attempt_without_a_report_ends_as_unknown() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, InstanceResult::Broken);
    f.pass(DEADLINE);
    assert_eq!(f.answers(), [(ticket, 504, Some(Ran::Unknown))]);
    let again = f.submit("x", IDEMPOTENT);
    f.assert_idle();
    f.report("i1", &[]);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    assert_eq!(f.answers(), [(again, 200, None)]);
}

/// Guards I5: the first attempt may have run to its end although nobody saw its answer.
#[test]
fn a_broken_attempt_that_cannot_be_repeated_ends_as_unknown() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, InstanceResult::Broken);
    f.pass(50);
    let mut leaving = instance("i1", f.now, &[]);
    leaving.leaving = true;
    f.set_instances(vec![leaving]);
    assert_eq!(f.answers(), [(ticket, 502, Some(Ran::Unknown))]);
}

/// Guards I2: the same id sent twice shares one attempt.
#[test]
fn a_second_caller_attaches() {
    let mut f = Fixture::with_instance(&["a"]);
    let first = f.submit("x", IDEMPOTENT);
    let second = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    assert_eq!(f.answers(), [(first, 200, None), (second, 200, None)]);
}

/// Guards I4: an id in use with another body would get an answer to that body.
#[test]
fn an_id_in_use_with_another_body_is_refused() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", IDEMPOTENT);
    f.sent();
    let mut other = f.request("x", IDEMPOTENT);
    other.body = Bytes::from_static(b"other");
    let mut foreign = other.clone();
    let ticket = f.submit_request(other);
    assert_eq!(f.answers(), [(ticket, 409, Some(Ran::NotRun))]);
    foreign.customer = name("biometan");
    f.submit_request(foreign);
    assert_eq!(f.sent().2, name("biometan:x"), "ids are per customer");
}

#[test]
fn requests_of_another_home_are_relayed() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let ticket = f.submit(&id_of("b", &["a", "b"]), IDEMPOTENT);
    let (dispatch, host, forward) = f.forwarded();
    assert_eq!((&*host, forward.hops, forward.attach), ("b", 1, false));
    f.peer_answered(dispatch, peer_ok());
    assert_eq!(f.answers(), [(ticket, 200, None)]);
}

/// Guards I2: hosts that disagree about an id's home must not both run it.
#[parameterized(
    not_the_home = { "b", 1, "c" },
    not_from_the_home = { "b", 2, "c" },
)]
fn misdirected_forwards_are_refused(home: &str, hops: u8, from: &'static str) {
    let hosts = ["a", "b", "c"];
    let mut f = Fixture::with_instance(&hosts);
    let options = Options {
        hops,
        from: Some(from),
        ..IDEMPOTENT
    };
    let ticket = f.submit(&id_of(home, &hosts), options);
    assert_eq!(f.answers(), [(ticket, 421, Some(Ran::NotRun))]);
    f.assert_idle();
}

#[parameterized(
    peer_is_free = { load(16, 8, 0), true },
    peer_waits_longer = { load(2, 0, 10), false },
    peer_has_no_slots = { load(0, 0, 0), false },
)]
fn forwards_go_to_the_shorter_wait(peer: ServiceLoad, is_forwarded: bool) {
    let mut f = Fixture::with_instance(&["a", "b"]);
    f.router.set_peers(Millis(f.now), vec![(name("b"), peer)]);
    for id in ids_of(&["a", "b"]).take(3) {
        f.submit(&id, IDEMPOTENT);
    }
    assert_eq!(f.all_sent().len(), 2, "own free slots come first");
    if is_forwarded {
        let (_, host, forward) = f.forwarded();
        assert_eq!((&*host, forward.hops), ("b", 2));
    }
    f.assert_idle();
}

/// Guards I2: a peer whose connection broke may still be running the request.
#[parameterized(
    ended = { peer_refusal(404, Ran::NotRun), true },
    still_running = { peer_ok(), false },
)]
fn a_broken_forward_is_asked_about(answer: Option<UrgentAnswer>, runs_here: bool) {
    let mut f = Fixture::new(&["a", "b"]);
    f.router
        .set_peers(Millis(f.now), vec![(name("b"), load(8, 8, 0))]);
    let ticket = f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    let (dispatch, ..) = f.forwarded();
    f.report("i1", &[]);
    f.peer_answered(dispatch, None);
    let (dispatch, _, question) = f.forwarded();
    assert!(question.attach && question.body.is_empty());
    assert!(f.all_sent().is_empty());
    f.peer_answered(dispatch, answer);
    if runs_here {
        let (dispatch, ..) = f.sent();
        f.answered(dispatch, ok());
    }
    assert_eq!(f.answers(), [(ticket, 200, None)]);
}

/// Guards I2: the home asked again after it lost the message, and goes by that answer.
#[test]
fn a_message_from_before_a_lost_one_starts_nothing() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let id = id_of("b", &["a", "b"]);
    let options = Options {
        hops: 2,
        from: Some("b"),
        ..IDEMPOTENT
    };
    let mut question = f.request("other", options);
    question.attach = true;
    question.epoch.number = 1;
    f.submit_request(question);
    f.answers();
    let ticket = f.submit(&id, options);
    assert_eq!(f.answers(), [(ticket, 421, Some(Ran::NotRun))]);
    let mut later = f.request(&id, options);
    later.epoch.number = 1;
    f.submit_request(later);
    f.sent();
}

/// Guards I2: the peer can tell messages from before a lost one.
#[test]
fn a_question_after_a_lost_message_has_a_later_epoch() {
    let mut f = Fixture::new(&["a", "b"]);
    let now = Millis(f.now);
    f.router.set_peers(now, vec![(name("b"), load(8, 8, 0))]);
    f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    let (dispatch, _, first) = f.forwarded();
    f.peer_answered(dispatch, None);
    let (_, _, question) = f.forwarded();
    assert!(question.epoch > first.epoch);
}

/// Guards I2: a request that a lost peer was running for this host.
#[test]
fn a_forward_to_a_lost_peer_waits_for_settlement() {
    let mut f = Fixture::new(&["a", "b"]);
    f.router
        .set_peers(Millis(f.now), vec![(name("b"), load(8, 8, 0))]);
    let id = id_of("a", &["a", "b"]);
    let ticket = f.submit(&id, IDEMPOTENT);
    f.forwarded();
    f.report("i1", &[]);
    f.set_hosts(&["a"]);
    f.assert_idle();
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i9"]));
    let key = name(&format!("vltava:{id}"));
    f.settle("i9", &[key]);
    f.assert_idle();
    f.pass(100);
    f.settle("i9", &[]);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    assert_eq!(f.answers(), [(ticket, 200, None)]);
}

/// Guards I2: ids of a home that died may run on its instances or on peers for it.
#[test]
fn a_new_home_waits_for_settlement_and_asks_the_peers() {
    let mut f = Fixture::with_instance(&["a", "b", "c"]);
    let id = ids_of(&["b", "a", "c"]).next().unwrap();
    f.set_hosts(&["a", "c"]);
    let ticket = f.submit(&id, IDEMPOTENT);
    f.assert_idle();
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i8", "i9"]));
    f.pass(100);
    f.settle("i8", &[]);
    f.assert_idle();
    let key = name(&format!("vltava:{id}"));
    f.settle("i9", &[key]);
    f.assert_idle();
    assert_eq!(f.router.awaited_instances(), names(&["i9"]));
    f.pass(100);
    f.settle("i9", &[]);
    let (dispatch, host, question) = f.forwarded();
    assert_eq!((&*host, question.attach), ("c", true));
    f.peer_answered(dispatch, peer_refusal(404, Ran::NotRun));
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    assert_eq!(f.answers(), [(ticket, 200, None)]);
}

/// Guards I2: a lost host may only be out of contact, and acquire an instance later.
#[test]
fn a_lost_host_that_may_hold_an_instance_is_unsettled_again() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), Vec::new());
    f.pass(100);
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i9"]));
    f.submit(&id_of("b", &["a", "b"]), IDEMPOTENT);
    f.assert_idle();
    f.settle("i9", &[]);
    f.sent();
}

/// Guards I2: while this host held no instance, the lost host may have taken over its ids.
#[parameterized(
    held_before = { true },
    acquired_after = { false },
)]
fn own_ids_are_held_without_an_instance_from_before_the_loss(held_before: bool) {
    let mut f = Fixture::new(&["a", "b"]);
    if held_before {
        f.report("i1", &[]);
    }
    f.pass(2_000);
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i9"]));
    f.pass(1_000);
    f.report("i1", &[]);
    f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    if !held_before {
        f.assert_idle();
        f.settle("i9", &[]);
    }
    f.sent();
}

/// Guards against two hosts that wait for each other: `b` would wait for `a`, which asks `b` next.
#[test]
fn the_home_does_not_wait_for_a_run_that_is_asking() {
    let mut f = Fixture::with_instance(&["a"]);
    let id = ids_of(&["b", "a", "c"]).next().unwrap();
    f.set_hosts(&["a", "c"]);
    f.submit(&id, IDEMPOTENT);
    f.forwarded();
    f.set_hosts(&["a", "b", "c"]);
    let options = Options {
        hops: 2,
        from: Some("b"),
        ..IDEMPOTENT
    };
    let ticket = f.submit(&id, options);
    assert_eq!(f.answers(), [(ticket, 421, Some(Ran::NotRun))]);
}

/// Guards against two hosts that wait for each other: `b` waits for this run.
#[test]
fn a_peer_that_waits_for_the_run_is_not_asked() {
    let mut f = Fixture::with_instance(&["a"]);
    let id = ids_of(&["b", "a"]).next().unwrap();
    f.submit(&id, IDEMPOTENT);
    let (dispatch, ..) = f.sent();
    f.set_hosts(&["a", "b"]);
    let options = Options {
        hops: 2,
        from: Some("b"),
        ..IDEMPOTENT
    };
    f.submit(&id, options);
    f.answered(dispatch, InstanceResult::Broken);
    f.pass(50);
    f.report("i1", &[]);
    let (dispatch, ..) = f.sent();
    f.answered(dispatch, ok());
    assert_eq!(f.answers().len(), 2);
    f.assert_idle();
}

/// Guards I6: the lost home may have run the id, and nobody remembers.
#[test]
fn at_most_once_ids_of_a_lost_home_end_as_unknown() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), Vec::new());
    let ticket = f.submit(&id_of("b", &["a", "b"]), ONCE);
    assert_eq!(f.answers(), [(ticket, 503, Some(Ran::Unknown))]);
    f.assert_idle();
}

/// Guards I2: before contact, the other host may have been the home.
#[test]
fn a_host_that_met_a_peer_asks_it_first() {
    let mut f = Fixture::with_instance(&["a"]);
    f.set_hosts(&["a", "b"]);
    f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    let (dispatch, _, question) = f.forwarded();
    assert!(question.attach);
    assert!(f.all_sent().is_empty());
    f.peer_answered(dispatch, peer_refusal(404, Ran::NotRun));
    f.sent();
}

/// Guards I2: after "not here", the asking host may run the id at any time.
#[test]
fn an_id_is_not_run_after_telling_a_peer_that_it_is_not_here() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let id = id_of("a", &["a", "b"]);
    let question = Options {
        hops: 2,
        from: Some("b"),
        attach: true,
        ..IDEMPOTENT
    };
    let ticket = f.submit(&id, question);
    assert_eq!(f.answers(), [(ticket, 404, Some(Ran::NotRun))]);
    f.submit(&id, IDEMPOTENT);
    let (_, host, forward) = f.forwarded();
    assert_eq!((&*host, forward.hops), ("b", 1));
    f.assert_idle();
}

#[parameterized(
    idempotent = { IDEMPOTENT, true },
    at_most_once = { ONCE, false },
)]
fn a_relay_to_a_dead_home_is_repeated_only_if_idempotent(options: Options, is_repeated: bool) {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let ticket = f.submit(&id_of("b", &["a", "b"]), options);
    f.forwarded();
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), Vec::new());
    f.pass(100);
    if is_repeated {
        let (dispatch, ..) = f.sent();
        f.answered(dispatch, ok());
        assert_eq!(f.answers(), [(ticket, 200, None)]);
    } else {
        assert_eq!(f.answers(), [(ticket, 502, Some(Ran::Unknown))]);
    }
    f.assert_idle();
}

/// Guards against work for callers that have gone.
#[test]
fn cancelled_requests_leave_the_queue() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", IDEMPOTENT);
    f.submit("y", IDEMPOTENT);
    let queued = f.submit("z", IDEMPOTENT);
    f.router.cancel(Millis(f.now), queued, &mut f.out);
    for (dispatch, ..) in f.all_sent() {
        f.answered(dispatch, ok());
    }
    assert_eq!(f.answers().len(), 2);
    f.assert_idle();
    assert_eq!(f.router.in_progress(), 0);
}

/// Guards against copies of bodies of up to 16 MiB.
#[test]
fn bodies_are_shared_not_copied() {
    let mut f = Fixture::with_instance(&["a"]);
    let mut request = f.request("x", IDEMPOTENT);
    request.body = Bytes::from(vec![7; 1 << 20]);
    let pointer = request.body.as_ptr();
    f.submit_request(request);
    let Some(UrgentAction::Send { body, .. }) = f.out.pop() else {
        panic!("the request is not sent");
    };
    assert_eq!(body.as_ptr(), pointer);
}

/// Guards against retries that multiply an overload: 10 initial ones, then a tenth of successes.
#[test]
fn refusals_stop_at_the_retry_budget() {
    let mut f = Fixture::with_instance(&["a"]);
    let mut sends = 0;
    for round in 0..50 {
        let mut request = f.request(&format!("x{round}"), IDEMPOTENT);
        request.deadline = Millis(f.now + 60_000);
        f.submit_request(request);
        loop {
            let sent = f.all_sent();
            if sent.is_empty() {
                break;
            }
            sends += sent.len();
            for (dispatch, ..) in sent {
                f.answered(dispatch, InstanceResult::Refused);
            }
            f.pass(100);
            f.report("i1", &[]);
        }
    }
    assert_eq!(sends, 50 + 10);
    let answers = f.answers();
    assert_eq!(answers.len(), 50);
    assert!(
        answers.iter().all(|answer| answer.2 == Some(Ran::NotRun)),
        "{answers:?}"
    );
}
