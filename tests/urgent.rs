//! One `UrgentRouter` under failures of messages, instances and hosts.

use bytes::Bytes;
use jayfork::base::{Millis, Name, Ran, Token, rank, top_ranked};
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

fn instance(instance_name: &str, report_requested: u64, running: &[&str]) -> OwnedInstance {
    OwnedInstance {
        name: name(instance_name),
        service: name("assembly"),
        address: name("127.0.0.1:1"),
        token: Token(1),
        slots: 2,
        connections: 64,
        running: names(running),
        report_requested: Millis(report_requested),
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
    forwarded_by: Option<&'static str>,
    attach: bool,
}

const IDEMPOTENT: Options = Options {
    idempotent: true,
    hops: 0,
    forwarded_by: None,
    attach: false,
};

const AT_MOST_ONCE: Options = Options {
    idempotent: false,
    ..IDEMPOTENT
};

/// Limits without queueing during takeovers, which `urgent_takeover.rs` tests.
fn limits() -> UrgentLimits {
    UrgentLimits {
        takeover_time: Millis(0),
        ..UrgentLimits::default()
    }
}

/// Router of host `a` and the actions that it has returned but the test has not taken yet.
struct Fixture {
    router: UrgentRouter,
    now: u64,
    tickets: u64,
    out: Vec<UrgentAction>,
}

impl Fixture {
    /// Starts at 100 s, after `ask_window`, so that peers are no longer asked about each id.
    fn new(hosts: &[&str]) -> Self {
        let mut f = Fixture {
            router: UrgentRouter::new(name("a"), 1, limits()),
            now: 0,
            tickets: 0,
            out: Vec::new(),
        };
        f.set_hosts(hosts);
        while f.now < 100_000 {
            f.advance(1_000);
        }
        f
    }

    fn with_instance(hosts: &[&str]) -> Self {
        let mut f = Fixture::new(hosts);
        f.set_instance("i1", &[]);
        f
    }

    fn advance(&mut self, time: u64) {
        self.now += time;
        self.router.poll(Millis(self.now), &mut self.out);
    }

    fn set_hosts(&mut self, hosts: &[&str]) {
        let now = Millis(self.now);
        self.router.set_hosts(now, &names(hosts), &mut self.out);
    }

    fn set_instance(&mut self, instance_name: &str, running: &[&str]) {
        self.set_instances(vec![instance(instance_name, self.now, running)]);
    }

    fn set_instances(&mut self, owned: Vec<OwnedInstance>) {
        let now = Millis(self.now);
        self.router.set_instances(now, owned, &mut self.out);
    }

    fn instance_reported(&mut self, instance: &str, running: &[Name]) {
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
            forwarded_by: options.forwarded_by.map(name),
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

    /// Removes the only message to an instance from the actions.
    #[track_caller]
    fn take_sent(&mut self) -> (DispatchId, Name, Name) {
        let mut sent = self.take_all_sent();
        assert_eq!(sent.len(), 1, "{:?}", self.out);
        sent.remove(0)
    }

    fn take_all_sent(&mut self) -> Vec<(DispatchId, Name, Name)> {
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

    /// Removes the only message to a peer from the actions.
    #[track_caller]
    fn take_forwarded(&mut self) -> (DispatchId, Name, UrgentForward) {
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

    /// Removes all answers from the actions.
    fn take_answers(&mut self) -> Vec<(Ticket, u16, Option<Ran>)> {
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
    fn assert_no_actions(&self) {
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

/// Request ids whose rendezvous order is `hosts`.
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
        .find(|id| top_ranked(&format!("vltava:{id}"), &hosts) == Some(&name(home)))
        .unwrap()
}

/// Guards against answers that are swapped, cut or given twice (I4) when instances answer out of
/// order, again or after the deadline.
#[test]
fn answers_reach_their_callers_out_of_order() {
    let mut f = Fixture::with_instance(&["a"]);
    let first = f.submit("x", IDEMPOTENT);
    let second = f.submit("y", IDEMPOTENT);
    let sent = f.take_all_sent();
    f.answered(sent[1].0, ok());
    assert_eq!(f.take_answers(), [(second, 200, None)]);
    f.answered(sent[1].0, ok());
    f.assert_no_actions();
    f.advance(DEADLINE * 2);
    f.answered(sent[0].0, ok());
    assert_eq!(
        f.take_answers(),
        [(first, 200, None)],
        "late answers are delivered"
    );
}

/// Guards against more requests on an instance than it has slots (I1): the third request has to
/// wait for one of the two slots.
#[test]
fn slots_are_never_shared() {
    let mut f = Fixture::with_instance(&["a"]);
    for id in ["x", "y", "z"] {
        f.submit(id, IDEMPOTENT);
    }
    let sent = f.take_all_sent();
    assert_eq!(sent.len(), 2);
    f.set_instance("i1", &["vltava:x", "vltava:y"]);
    f.assert_no_actions();
    f.answered(sent[0].0, ok());
    f.take_answers();
    assert_eq!(f.take_sent().2, name("vltava:z"));
}

/// Guards against a second request in the slot of a broken attempt, which may still be running
/// (I1).
#[test]
fn a_broken_attempt_keeps_its_slot() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", IDEMPOTENT);
    f.submit("y", IDEMPOTENT);
    f.submit("z", IDEMPOTENT);
    let sent = f.take_all_sent();
    f.answered(sent[0].0, InstanceResult::Broken);
    f.assert_no_actions();
}

/// Guards against more requests than slots after a takeover (I1): ids that an earlier lease holder
/// left running use slots too.
#[test]
fn requests_left_by_an_earlier_holder_use_slots() {
    let mut f = Fixture::new(&["a"]);
    f.set_instance("i1", &["vltava:old", "vltava:older"]);
    f.submit("x", IDEMPOTENT);
    assert!(f.take_all_sent().is_empty());
    f.advance(100);
    f.set_instance("i1", &["vltava:old"]);
    assert_eq!(f.take_sent().2, name("vltava:x"));
}

/// Guards against a second attempt of an id that an earlier lease holder left running: it may start
/// only after the first has ended (I2), and never if the class is at-most-once (I6).
#[parameterized(
    idempotent = { IDEMPOTENT, true },
    at_most_once = { AT_MOST_ONCE, false },
)]
fn an_id_left_by_an_earlier_holder_is_not_run_again_before_its_end(
    options: Options,
    runs_again: bool,
) {
    let mut f = Fixture::new(&["a"]);
    f.set_instance("i1", &["vltava:x"]);
    let ticket = f.submit("x", options);
    f.advance(100);
    f.assert_no_actions();
    f.set_instance("i1", &[]);
    if runs_again {
        assert_eq!(f.take_sent().2, name("vltava:x"));
    } else {
        assert_eq!(f.take_answers(), [(ticket, 502, Some(Ran::Unknown))]);
    }
    f.assert_no_actions();
}

/// Guards against callers that wait for an instance that this host no longer holds: their requests
/// are forwarded or refused.
#[parameterized(
    to_a_peer = { true },
    refused = { false },
)]
fn queued_requests_do_not_wait_for_a_lost_instance(peer_is_free: bool) {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let ids: Vec<String> = ids_of(&["a", "b"]).take(3).collect();
    let tickets: Vec<Ticket> = ids.iter().map(|id| f.submit(id, IDEMPOTENT)).collect();
    f.take_all_sent();
    if peer_is_free {
        let now = Millis(f.now);
        f.router.set_peers(now, vec![(name("b"), load(8, 8, 0))]);
    }
    f.set_instances(Vec::new());
    if peer_is_free {
        assert_eq!(f.take_forwarded().2.hops, 2);
    } else {
        assert_eq!(f.take_answers(), [(tickets[2], 503, Some(Ran::NotRun))]);
    }
    f.assert_no_actions();
}

/// Guards against new requests on an instance that is leaving (I7) or whose lease this host has
/// lost, and against an interruption of the request that runs there (I8).
#[parameterized(
    leaving = { true, true },
    not_held = { false, false },
)]
fn unusable_instances_get_no_new_requests(leaving: bool, held: bool) {
    let mut f = Fixture::with_instance(&["a"]);
    let running = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.take_sent();
    let mut owned = instance("i1", f.now, &["vltava:x"]);
    owned.leaving = leaving;
    f.set_instances(if held { vec![owned] } else { Vec::new() });
    let refused = f.submit("y", IDEMPOTENT);
    assert_eq!(f.take_answers(), [(refused, 503, Some(Ran::NotRun))]);
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers(), [(running, 200, None)]);
    f.assert_no_actions();
}

/// Guards against requests sent under leases that expired while this process was frozen.
#[test]
fn instances_are_not_used_after_a_freeze_of_the_process() {
    let mut f = Fixture::with_instance(&["a"]);
    f.now += 10_000;
    let ticket = f.submit("x", IDEMPOTENT);
    assert_eq!(f.take_answers(), [(ticket, 503, Some(Ran::NotRun))]);
}

/// Guards against a refusal to the caller when only one of two instances refuses the request.
#[parameterized(
    idempotent = { IDEMPOTENT },
    at_most_once = { AT_MOST_ONCE },
)]
fn refused_attempts_are_tried_elsewhere(options: Options) {
    let mut f = Fixture::new(&["a"]);
    f.set_instances(vec![instance("i1", f.now, &[]), instance("i2", f.now, &[])]);
    let ticket = f.submit("x", options);
    let (first, tried, _) = f.take_sent();
    f.answered(first, InstanceResult::Refused);
    let (second, other, _) = f.take_sent();
    assert_ne!(tried, other);
    f.answered(second, ok());
    assert_eq!(f.take_answers(), [(ticket, 200, None)]);
}

/// Guards against a retry while the broken attempt is running (I2): a report that was requested
/// before the connection broke may not list the attempt yet.
#[test]
fn broken_attempts_are_repeated_only_after_their_end() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.take_sent();
    let before = f.now;
    f.advance(50);
    f.answered(dispatch, InstanceResult::Broken);
    f.set_instances(vec![instance("i1", before, &[])]);
    f.assert_no_actions();
    f.advance(50);
    f.set_instance("i1", &["vltava:x"]);
    f.assert_no_actions();
    f.advance(50);
    f.set_instance("i1", &[]);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers(), [(ticket, 200, None)]);
}

/// Guards against a second run of an at-most-once id (I6) and against the answer "not run" (I5)
/// after a broken attempt, which may have run.
#[test]
fn broken_at_most_once_attempts_are_never_repeated() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", AT_MOST_ONCE);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, InstanceResult::Broken);
    assert_eq!(f.take_answers(), [(ticket, 502, Some(Ran::Unknown))]);
    f.advance(50);
    f.set_instance("i1", &[]);
    let repeat = f.submit("x", AT_MOST_ONCE);
    assert_eq!(f.take_answers(), [(repeat, 409, Some(Ran::Unknown))]);
    f.assert_no_actions();
}

/// Guards against a second run of an at-most-once id that is submitted again within ten deadlines
/// (I6).
#[test]
fn at_most_once_ids_are_remembered_for_ten_deadlines() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", AT_MOST_ONCE);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    f.take_answers();
    for _ in 0..9 {
        f.advance(DEADLINE);
    }
    f.set_instance("i1", &[]);
    let repeat = f.submit("x", AT_MOST_ONCE);
    assert_eq!(f.take_answers(), [(repeat, 409, Some(Ran::Unknown))]);
    f.advance(DEADLINE);
    f.submit("x", AT_MOST_ONCE);
    assert_eq!(f.take_sent().2, name("vltava:x"));
}

/// Guards against the answer "not run" when no report tells by the deadline whether the broken
/// attempt ran (I5).
#[test]
fn a_broken_attempt_without_a_report_ends_as_unknown() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, InstanceResult::Broken);
    f.advance(DEADLINE);
    assert_eq!(f.take_answers(), [(ticket, 504, Some(Ran::Unknown))]);
    let again = f.submit("x", IDEMPOTENT);
    f.assert_no_actions();
    f.set_instance("i1", &[]);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers(), [(again, 200, None)]);
}

/// Guards against the answer "not run" when the broken attempt has ended, perhaps after a whole
/// run, and no instance is left for a retry (I5).
#[test]
fn a_broken_attempt_that_cannot_be_repeated_ends_as_unknown() {
    let mut f = Fixture::with_instance(&["a"]);
    let ticket = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, InstanceResult::Broken);
    f.advance(50);
    let mut leaving = instance("i1", f.now, &[]);
    leaving.leaving = true;
    f.set_instances(vec![leaving]);
    assert_eq!(f.take_answers(), [(ticket, 502, Some(Ran::Unknown))]);
}

/// Guards against a second attempt of an id that is submitted again while it runs (I2).
#[test]
fn a_second_caller_shares_the_attempt() {
    let mut f = Fixture::with_instance(&["a"]);
    let first = f.submit("x", IDEMPOTENT);
    let second = f.submit("x", IDEMPOTENT);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers(), [(first, 200, None), (second, 200, None)]);
}

/// Guards against the answer to another body (I4) when a caller submits an id that is in use.
#[test]
fn an_id_in_use_with_another_body_is_refused() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", IDEMPOTENT);
    f.take_sent();
    let mut other = f.request("x", IDEMPOTENT);
    other.body = Bytes::from_static(b"other");
    let mut foreign = other.clone();
    let ticket = f.submit_request(other);
    assert_eq!(f.take_answers(), [(ticket, 409, Some(Ran::NotRun))]);
    foreign.customer = name("biometan");
    f.submit_request(foreign);
    assert_eq!(f.take_sent().2, name("biometan:x"), "ids are per customer");
}

/// Guards against requests that bypass the home of their id.
#[test]
fn requests_of_another_home_are_relayed() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let ticket = f.submit(&id_of("b", &["a", "b"]), IDEMPOTENT);
    let (dispatch, host, forward) = f.take_forwarded();
    assert_eq!((&*host, forward.hops, forward.attach), ("b", 1, false));
    f.peer_answered(dispatch, peer_ok());
    assert_eq!(f.take_answers(), [(ticket, 200, None)]);
}

/// Guards against runs of an id on two hosts that disagree about its home (I2).
#[parameterized(
    not_the_home = { "b", 1, "c" },
    not_from_the_home = { "b", 2, "c" },
)]
fn misdirected_forwards_are_refused(home: &str, hops: u8, forwarded_by: &'static str) {
    let hosts = ["a", "b", "c"];
    let mut f = Fixture::with_instance(&hosts);
    let options = Options {
        hops,
        forwarded_by: Some(forwarded_by),
        ..IDEMPOTENT
    };
    let ticket = f.submit(&id_of(home, &hosts), options);
    assert_eq!(f.take_answers(), [(ticket, 421, Some(Ran::NotRun))]);
    f.assert_no_actions();
}

/// Guards against forwards to a peer whose wait is not shorter.
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
    assert_eq!(f.take_all_sent().len(), 2, "own free slots come first");
    if is_forwarded {
        let (_, host, forward) = f.take_forwarded();
        assert_eq!((&*host, forward.hops), ("b", 2));
    }
    f.assert_no_actions();
}

/// Guards against a second attempt of a request that a peer may still be running after the
/// connection to it broke (I2).
#[parameterized(
    ended = { peer_refusal(404, Ran::NotRun), true },
    still_running = { peer_ok(), false },
)]
fn the_peer_is_asked_after_a_broken_forward(answer: Option<UrgentAnswer>, runs_here: bool) {
    let mut f = Fixture::new(&["a", "b"]);
    f.router
        .set_peers(Millis(f.now), vec![(name("b"), load(8, 8, 0))]);
    let ticket = f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    let (dispatch, ..) = f.take_forwarded();
    f.set_instance("i1", &[]);
    f.peer_answered(dispatch, None);
    let (dispatch, _, question) = f.take_forwarded();
    assert!(question.attach && question.body.is_empty());
    assert!(f.take_all_sent().is_empty());
    f.peer_answered(dispatch, answer);
    if runs_here {
        let (dispatch, ..) = f.take_sent();
        f.answered(dispatch, ok());
    }
    assert_eq!(f.take_answers(), [(ticket, 200, None)]);
}

/// Guards against an attempt started by a message that the home counts as lost (I2): the home asked
/// again since then and relies on that answer.
#[test]
fn a_message_older_than_a_lost_one_starts_nothing() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let id = id_of("b", &["a", "b"]);
    let options = Options {
        hops: 2,
        forwarded_by: Some("b"),
        ..IDEMPOTENT
    };
    let mut question = f.request("other", options);
    question.attach = true;
    question.epoch.number = 1;
    f.submit_request(question);
    f.take_answers();
    let ticket = f.submit(&id, options);
    assert_eq!(f.take_answers(), [(ticket, 421, Some(Ran::NotRun))]);
    let mut later = f.request(&id, options);
    later.epoch.number = 1;
    f.submit_request(later);
    f.take_sent();
}

/// Guards against a question that the peer can't tell from messages sent before a lost one (I2).
#[test]
fn a_question_after_a_lost_message_has_a_later_epoch() {
    let mut f = Fixture::new(&["a", "b"]);
    let now = Millis(f.now);
    f.router.set_peers(now, vec![(name("b"), load(8, 8, 0))]);
    f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    let (dispatch, _, first) = f.take_forwarded();
    f.peer_answered(dispatch, None);
    let (_, _, question) = f.take_forwarded();
    assert!(question.epoch > first.epoch);
}

/// Guards against a second attempt of a request that a lost peer may still be running for this host
/// (I2).
#[test]
fn a_forward_to_a_lost_peer_waits_for_reports() {
    let mut f = Fixture::new(&["a", "b"]);
    f.router
        .set_peers(Millis(f.now), vec![(name("b"), load(8, 8, 0))]);
    let id = id_of("a", &["a", "b"]);
    let ticket = f.submit(&id, IDEMPOTENT);
    f.take_forwarded();
    f.set_instance("i1", &[]);
    f.set_hosts(&["a"]);
    f.assert_no_actions();
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i9"]));
    let key = name(&format!("vltava:{id}"));
    f.instance_reported("i9", &[key]);
    f.assert_no_actions();
    f.advance(100);
    f.instance_reported("i9", &[]);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers(), [(ticket, 200, None)]);
}

/// Guards against a second attempt of an id whose home was lost (I2): an instance of that home may
/// be running it, or a peer on its behalf.
#[test]
fn a_new_home_waits_for_reports_and_asks_the_peers() {
    let mut f = Fixture::with_instance(&["a", "b", "c"]);
    let id = ids_of(&["b", "a", "c"]).next().unwrap();
    f.set_hosts(&["a", "c"]);
    let ticket = f.submit(&id, IDEMPOTENT);
    f.assert_no_actions();
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i8", "i9"]));
    f.advance(100);
    f.instance_reported("i8", &[]);
    f.assert_no_actions();
    let key = name(&format!("vltava:{id}"));
    f.instance_reported("i9", &[key]);
    f.assert_no_actions();
    assert_eq!(f.router.awaited_instances(), names(&["i9"]));
    f.advance(100);
    f.instance_reported("i9", &[]);
    let (dispatch, host, question) = f.take_forwarded();
    assert_eq!((&*host, question.attach), ("c", true));
    f.peer_answered(dispatch, peer_refusal(404, Ran::NotRun));
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers(), [(ticket, 200, None)]);
}

/// Guards against a second attempt of an id that a lost host may be running (I2): the host may only
/// be out of contact and acquire an instance after its loss.
#[test]
fn ids_wait_for_instances_that_a_lost_host_acquires_later() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), Vec::new());
    f.advance(100);
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i9"]));
    f.submit(&id_of("b", &["a", "b"]), IDEMPOTENT);
    f.assert_no_actions();
    f.instance_reported("i9", &[]);
    f.take_sent();
}

/// Guards against a second attempt of an own id (I2): while this host held no instance, the lost
/// host may have taken the id over.
#[parameterized(
    held_before = { true },
    acquired_after = { false },
)]
fn own_ids_wait_unless_an_instance_was_held_before_the_loss(held_before: bool) {
    let mut f = Fixture::new(&["a", "b"]);
    if held_before {
        f.set_instance("i1", &[]);
    }
    f.advance(2_000);
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), names(&["i9"]));
    f.advance(1_000);
    f.set_instance("i1", &[]);
    f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    if !held_before {
        f.assert_no_actions();
        f.instance_reported("i9", &[]);
    }
    f.take_sent();
}

/// Guards against two hosts that wait for each other: `b` would wait for the run of `a`, which asks
/// `b` next.
#[test]
fn the_home_does_not_wait_for_a_run_that_is_asking() {
    let mut f = Fixture::with_instance(&["a"]);
    let id = ids_of(&["b", "a", "c"]).next().unwrap();
    f.set_hosts(&["a", "c"]);
    f.submit(&id, IDEMPOTENT);
    f.take_forwarded();
    f.set_hosts(&["a", "b", "c"]);
    let options = Options {
        hops: 2,
        forwarded_by: Some("b"),
        ..IDEMPOTENT
    };
    let ticket = f.submit(&id, options);
    assert_eq!(f.take_answers(), [(ticket, 421, Some(Ran::NotRun))]);
}

/// Guards against two hosts that wait for each other: `b` waits for the run of `a`, so `a` must not
/// ask `b` before the retry.
#[test]
fn a_peer_that_waits_for_the_run_is_not_asked() {
    let mut f = Fixture::with_instance(&["a"]);
    let id = ids_of(&["b", "a"]).next().unwrap();
    f.submit(&id, IDEMPOTENT);
    let (dispatch, ..) = f.take_sent();
    f.set_hosts(&["a", "b"]);
    let options = Options {
        hops: 2,
        forwarded_by: Some("b"),
        ..IDEMPOTENT
    };
    f.submit(&id, options);
    f.answered(dispatch, InstanceResult::Broken);
    f.advance(50);
    f.set_instance("i1", &[]);
    let (dispatch, ..) = f.take_sent();
    f.answered(dispatch, ok());
    assert_eq!(f.take_answers().len(), 2);
    f.assert_no_actions();
}

/// Guards against a second run of an at-most-once id (I6): its lost home may have run it, and no
/// other host remembers that.
#[test]
fn at_most_once_ids_of_a_lost_home_end_as_unknown() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), Vec::new());
    let ticket = f.submit(&id_of("b", &["a", "b"]), AT_MOST_ONCE);
    assert_eq!(f.take_answers(), [(ticket, 503, Some(Ran::Unknown))]);
    f.assert_no_actions();
}

/// Guards against a second attempt of an id (I2): before the two hosts were in contact, the peer
/// may have been its home.
#[test]
fn a_new_peer_is_asked_before_an_id_is_run() {
    let mut f = Fixture::with_instance(&["a"]);
    f.set_hosts(&["a", "b"]);
    f.submit(&id_of("a", &["a", "b"]), IDEMPOTENT);
    let (dispatch, _, question) = f.take_forwarded();
    assert!(question.attach);
    assert!(f.take_all_sent().is_empty());
    f.peer_answered(dispatch, peer_refusal(404, Ran::NotRun));
    f.take_sent();
}

/// Guards against a second attempt of an id (I2): a peer that was told that the id is not running
/// here may run it at any time.
#[test]
fn an_id_is_left_to_a_peer_that_was_told_it_is_not_running() {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let id = id_of("a", &["a", "b"]);
    let question = Options {
        hops: 2,
        forwarded_by: Some("b"),
        attach: true,
        ..IDEMPOTENT
    };
    let ticket = f.submit(&id, question);
    assert_eq!(f.take_answers(), [(ticket, 404, Some(Ran::NotRun))]);
    f.submit(&id, IDEMPOTENT);
    let (_, host, forward) = f.take_forwarded();
    assert_eq!((&*host, forward.hops), ("b", 1));
    f.assert_no_actions();
}

/// Guards against a second run of an at-most-once id that the lost home may have run (I6), and
/// against callers of idempotent requests that get no retry.
#[parameterized(
    idempotent = { IDEMPOTENT, true },
    at_most_once = { AT_MOST_ONCE, false },
)]
fn a_relay_to_a_dead_home_is_repeated_only_if_idempotent(options: Options, is_repeated: bool) {
    let mut f = Fixture::with_instance(&["a", "b"]);
    let ticket = f.submit(&id_of("b", &["a", "b"]), options);
    f.take_forwarded();
    f.set_hosts(&["a"]);
    f.router
        .await_reports(Millis(f.now), &name("b"), Vec::new());
    f.advance(100);
    if is_repeated {
        let (dispatch, ..) = f.take_sent();
        f.answered(dispatch, ok());
        assert_eq!(f.take_answers(), [(ticket, 200, None)]);
    } else {
        assert_eq!(f.take_answers(), [(ticket, 502, Some(Ran::Unknown))]);
    }
    f.assert_no_actions();
}

/// Guards against work for callers that no longer wait.
#[test]
fn cancelled_requests_leave_the_queue() {
    let mut f = Fixture::with_instance(&["a"]);
    f.submit("x", IDEMPOTENT);
    f.submit("y", IDEMPOTENT);
    let queued = f.submit("z", IDEMPOTENT);
    f.router.cancel(Millis(f.now), queued, &mut f.out);
    for (dispatch, ..) in f.take_all_sent() {
        f.answered(dispatch, ok());
    }
    assert_eq!(f.take_answers().len(), 2);
    f.assert_no_actions();
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

/// Guards against retries that multiply an overload: 10 are allowed before the first success, and
/// then one for ten successes.
#[test]
fn refusals_stop_at_the_retry_budget() {
    let mut f = Fixture::with_instance(&["a"]);
    let mut sends = 0;
    for round in 0..50 {
        let mut request = f.request(&format!("x{round}"), IDEMPOTENT);
        request.deadline = Millis(f.now + 60_000);
        f.submit_request(request);
        loop {
            let sent = f.take_all_sent();
            if sent.is_empty() {
                break;
            }
            sends += sent.len();
            for (dispatch, ..) in sent {
                f.answered(dispatch, InstanceResult::Refused);
            }
            f.advance(100);
            f.set_instance("i1", &[]);
        }
    }
    assert_eq!(sends, 50 + 10);
    let answers = f.take_answers();
    assert_eq!(answers.len(), 50);
    assert!(
        answers.iter().all(|answer| answer.2 == Some(Ran::NotRun)),
        "{answers:?}"
    );
}
