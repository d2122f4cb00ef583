//! Membership, permission to renew run leases, and detection of lost workers, under faults, for one
//! host.

use std::collections::HashMap;

use jayfork::base::{Millis, Name, Offset, Token};
use jayfork::connection::wire::{HeldLease, Hello, HostKind, LeaseRefusal};
use jayfork::connection::{LeaseTable, LeaseTiming, Resource};
use jayfork::process::{EntryHost, Membership, OpenSuspicion, Suspicions};
use jayfork::version::Record;
use yare::parameterized;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn entry(host: &str, data_centre: &str) -> EntryHost {
    EntryHost {
        name: name(host),
        data_centre: name(data_centre),
        address: name("127.0.0.1:1"),
    }
}

/// Membership of host `a`, with `b` and `c` in its data centre and `x` and `y` in another.
fn membership() -> Membership {
    let local = ["a", "b", "c"].map(|host| entry(host, "cluj-a"));
    let remote = ["x", "y"].map(|host| entry(host, "iasi-a"));
    Membership::new(name("a"), name("cluj-a"), [&local[..], &remote].concat())
}

fn hello(host: &str, offset: u64, log_age: u64) -> Hello {
    Hello {
        host: name(host),
        data_centre: name("cluj-a"),
        incarnation: 1,
        held: Vec::new(),
        log_offset: Offset(offset),
        log_age,
        contracts_offset: Offset(0),
        draining: false,
        leaving: Vec::new(),
        loads: Vec::new(),
        slow: Vec::new(),
        misfits: Vec::new(),
        awaited: Vec::new(),
        reports: Vec::new(),
    }
}

/// Delivers `hello`, which answers a `Hello` sent at `hello_sent`, without delay.
fn answer(peers: &mut Membership, hello_sent: u64, hello: &Hello) {
    peers.hello_received(Millis(hello_sent), Some(Millis(hello_sent)), hello);
}

/// Guards against run leases that are renewed after a read of the log that is too old, or that a
/// peer made that has read further than this host. This host may lack a suspicion of the worker.
#[parameterized(
    read_recently = { 100_000, 100_000, None, 119_999, true },
    read_long_ago = { 100_000, 100_000, None, 120_000, false },
    answer_of_a_slow_read = { 100_000, 115_000, None, 120_000, false },
    peer_read_as_far = { 80_000, 80_000, Some((10, 5_000)), 114_000, true },
    peer_read_counts_with_its_age = { 80_000, 80_000, Some((10, 15_000)), 114_000, false },
    peer_has_read_more = { 80_000, 80_000, Some((11, 0)), 101_000, false },
    peer_has_not_read_since_its_start = { 80_000, 80_000, Some((0, u64::MAX)), 101_000, false },
)]
fn renewal_after_a_log_read(
    sent: u64,
    arrived: u64,
    peer: Option<(u64, u64)>,
    now: u64,
    expected: bool,
) {
    // With five hosts, this host and one peer are no majority.
    let entries = ["a", "b", "c", "d", "e"].map(|host| entry(host, "cluj-a"));
    let mut peers = Membership::new(name("a"), name("cluj-a"), entries.to_vec());
    peers.log_read(Millis(arrived), Millis(sent), Offset(10));
    if let Some((offset, age)) = peer {
        answer(&mut peers, 100_000, &hello("b", offset, age));
    }
    assert_eq!(peers.may_renew(Millis(now), false), expected);
    assert!(!peers.may_renew(Millis(now), true));
}

/// Guards against a holder that is cut off from the log and renews run leases although a majority
/// has read records that it lacks.
#[parameterized(
    majority_has_read_as_far = { 10, 99_000, Some(100_000), 101_000, true },
    majority_has_read_less = { 3, 99_000, Some(100_000), 119_999, true },
    majority_has_read_more = { 11, 99_000, Some(100_000), 101_000, false },
    peer_has_not_read_since_its_start = { 0, u64::MAX, Some(100_000), 101_000, false },
    report_is_old = { 10, 99_000, Some(100_000), 120_000, false },
    hello_that_answers_none = { 10, 99_000, None, 101_000, false },
)]
fn renewal_by_reports_of_a_majority(
    offset: u64,
    log_age: u64,
    hello_sent: Option<u64>,
    now: u64,
    expected: bool,
) {
    let mut peers = membership();
    peers.log_read(Millis(1_000), Millis(1_000), Offset(10));
    // The last read of the peer is too old as well, so only the majority can permit a renewal.
    let report = hello("b", offset, log_age);
    peers.hello_received(Millis(100_900), hello_sent.map(Millis), &report);
    assert_eq!(peers.may_renew(Millis(now), false), expected);
}

/// Guards against renewals by a host that has not read the log since its start.
#[test]
fn no_renewal_before_the_first_log_read() {
    let mut peers = membership();
    answer(&mut peers, 1_000, &hello("b", 0, 0));
    answer(&mut peers, 1_000, &hello("c", 0, 0));
    assert!(!peers.may_renew(Millis(1_000), false));
}

/// Guards against peers that count as live although no message comes from them, and against remote
/// peers that count as dead between two of their less frequent messages.
#[test]
fn live_hosts() {
    let mut peers = membership();
    assert_eq!(peers.live_hosts(Millis(0)), [name("a")]);
    answer(&mut peers, 1_000, &hello("b", 0, 0));
    answer(
        &mut peers,
        1_000,
        &Hello {
            draining: true,
            ..hello("c", 0, 0)
        },
    );
    answer(&mut peers, 1_000, &hello("x", 0, 0));
    answer(&mut peers, 1_000, &hello("stranger", 0, 0));
    assert_eq!(peers.live_hosts(Millis(2_999)), [name("a"), name("b")]);
    assert!(peers.has_majority(Millis(2_999)));
    assert_eq!(peers.live_hosts(Millis(3_000)), [name("a")]);
    assert!(!peers.has_majority(Millis(3_000)));
    assert!(peers.is_live(Millis(15_999), "x") && !peers.is_live(Millis(16_000), "x"));
    assert!(!peers.is_live(Millis(1_000), "stranger"));
}

/// Guards against hellos that are too rare to keep a peer live, or too frequent between data
/// centres.
#[test]
fn sends_hellos_at_the_interval() {
    let mut peers = membership();
    let mut hello_counts: HashMap<Name, usize> = HashMap::new();
    for now in (0..60_000).step_by(100) {
        for peer in peers.due_hellos(Millis(now)) {
            *hello_counts.entry(peer.clone()).or_default() += 1;
            answer(&mut peers, now, &hello(&peer, 0, 0));
        }
    }
    assert_eq!((hello_counts["b"], hello_counts["c"]), (120, 120));
    let remote: Vec<usize> = ["x", "y"]
        .iter()
        .filter_map(|x| hello_counts.get(*x).copied())
        .collect();
    assert_eq!(remote, [12], "one host of the other data centre");
}

/// Guards against a data centre from which no message comes because all hellos go to a host that is
/// down.
#[test]
fn remote_hello_goes_to_the_next_host_if_the_last_did_not_answer() {
    let mut peers = membership();
    let due = |peers: &mut Membership, now| {
        let due = peers.due_hellos(Millis(now));
        due.into_iter()
            .find(|peer| **peer == *"x" || **peer == *"y")
            .unwrap()
    };
    assert_ne!(due(&mut peers, 0), due(&mut peers, 5_000));
}

/// Guards against a standby that takes a worker that a live peer holds.
#[test]
fn holder_is_what_a_live_peer_reports() {
    let mut peers = membership();
    let held = vec![HeldLease {
        resource: name("w"),
        token: Token(1),
    }];
    answer(
        &mut peers,
        0,
        &Hello {
            held,
            ..hello("b", 0, 0)
        },
    );
    assert_eq!(peers.holder(Millis(1_000), "w"), Some(name("b")));
    assert_eq!(peers.holder(Millis(1_000), "v"), None);
    assert_eq!(peers.holder(Millis(2_000), "w"), None);
    answer(&mut peers, 3_000, &hello("b", 0, 0));
    assert_eq!(peers.holder(Millis(3_000), "w"), None);
}

/// Guards against workers that stay with a host that may not renew their run leases.
#[parameterized(
    all_read = { 10, 0, 10, 0, 0, &["a", "b", "c"] },
    self_cut_off = { 11, 0, 11, 0, 15_000, &["b", "c"] },
    all_cut_off_at_the_same_offset = { 10, 30_000, 10, 30_000, 30_000, &["a", "b", "c"] },
    all_cut_off_and_self_behind = { 11, 30_000, 11, 30_000, 30_000, &["b", "c"] },
    all_cut_off_and_self_ahead = { 9, 30_000, 8, 30_000, 30_000, &["a", "b"] },
)]
fn hosts_that_may_take_workers(
    b: u64,
    b_age: u64,
    c: u64,
    c_age: u64,
    own_age: u64,
    expected: &[&str],
) {
    let mut peers = membership();
    let read = Millis(100_000 - own_age);
    peers.log_read(read, read, Offset(10));
    answer(&mut peers, 100_000, &hello("b", b, b_age));
    answer(&mut peers, 100_000, &hello("c", c, c_age));
    let expected: Vec<Name> = expected.iter().map(|host| name(host)).collect();
    assert_eq!(peers.up_to_date_hosts(Millis(100_000)), expected);
}

// --- lost workers, one host ---

/// Host `a`, which alone tries to hold worker `w` and gets no answer from it.
struct Fixture {
    peers: Membership,
    leases: LeaseTable,
    suspicions: Suspicions,
    open: Vec<OpenSuspicion>,
    /// The `Hello` with which a peer, usually `b`, answers.
    b: Hello,
    /// Whether host `a` can read the log.
    reads_log: bool,
    /// Whether the `Hello`s of the peer arrive.
    receives_hellos: bool,
}

impl Fixture {
    fn new() -> Self {
        let mut leases = LeaseTable::new(name("a"), LeaseTiming::default());
        leases.set_hosts(Millis(0), &[name("a")], &[name("a")]);
        leases.set_resources(Millis(0), vec![worker()]);
        Fixture {
            peers: membership(),
            leases,
            suspicions: Suspicions::new(name("a")),
            open: Vec::new(),
            b: hello("b", 100, 0),
            reads_log: true,
            receives_hellos: true,
        }
    }

    /// Runs from `from` to `to`; returns the first record and its time.
    fn run(&mut self, from: u64, to: u64) -> Option<(u64, Record)> {
        for now in (from..=to).step_by(250) {
            let at = Millis(now);
            if self.reads_log {
                self.peers.log_read(at, at, Offset(100));
            }
            if self.receives_hellos {
                self.peers.hello_received(at, Some(at), &self.b);
            }
            self.leases.poll(at, |_| true, |_| None, &mut Vec::new());
            self.leases.failed(at, &name("w"));
            let mut records = Vec::new();
            let claimed = [name("w")];
            let (peers, leases) = (&self.peers, &self.leases);
            self.suspicions
                .poll(at, peers, leases, &self.open, &claimed, &mut records);
            if let Some(record) = records.pop() {
                return Some((now, record));
            }
        }
        None
    }

    /// Opens a suspicion by this host, which it read at `read`.
    fn suspect(&mut self, read: u64) {
        self.open = vec![OpenSuspicion {
            worker: name("w"),
            host: name("a"),
            offset: Offset(50),
            read_at: Millis(read),
        }];
    }
}

fn worker() -> Resource {
    Resource {
        name: name("w"),
        address: name("127.0.0.1:1"),
        kind: HostKind::Worker,
    }
}

/// Guards against a lost worker that is never declared lost.
#[test]
fn an_unreachable_worker_is_suspected_and_then_declared_lost() {
    let mut fixture = Fixture::new();
    let (now, record) = fixture.run(0, 60_000).unwrap();
    assert_eq!(
        (now, record),
        (
            10_000,
            Record::Suspected {
                worker: name("w"),
                host: name("a")
            }
        )
    );
    fixture.suspect(11_000);
    let (now, record) = fixture.run(11_000, 120_000).unwrap();
    assert_eq!(
        (now, record),
        (
            56_000,
            Record::WorkerLost {
                worker: name("w"),
                suspected: Offset(50)
            }
        )
    );
}

enum Fault {
    NoLog,
    NoMajority,
    Held,
    WorkerAnswers,
    PeerHasNotRead,
    PeerRestarts,
    ReaderDoesNotAnswer,
    OtherWriter,
}

/// Guards against `WorkerLost` while tasks may still run on the worker.
#[parameterized(
    log_not_read = { Fault::NoLog },
    no_majority = { Fault::NoMajority },
    a_peer_holds_it = { Fault::Held },
    worker_answers = { Fault::WorkerAnswers },
    majority_has_not_read_the_suspicion = { Fault::PeerHasNotRead },
    majority_restarted = { Fault::PeerRestarts },
    only_a_peer_that_has_not_read_it_answers = { Fault::ReaderDoesNotAnswer },
    suspicion_of_another_host = { Fault::OtherWriter },
)]
fn is_not_declared_lost(fault: Fault) {
    let mut fixture = Fixture::new();
    fixture.run(0, 10_000).unwrap();
    fixture.suspect(11_000);
    assert_eq!(fixture.run(11_000, 30_000), None);
    match fault {
        Fault::NoLog => fixture.reads_log = false,
        Fault::NoMajority => fixture.receives_hellos = false,
        Fault::Held => {
            fixture.b.held = vec![HeldLease {
                resource: name("w"),
                token: Token(1),
            }];
        }
        Fault::WorkerAnswers => {
            let held = LeaseRefusal::Held {
                holder: name("c"),
                remaining: 100_000,
            };
            while fixture.leases.unanswered_for(Millis(30_000), "w").is_some() {
                fixture
                    .leases
                    .poll(Millis(40_000), |_| true, |_| None, &mut Vec::new());
                fixture
                    .leases
                    .refused(Millis(40_000), &name("w"), held.clone());
            }
            fixture.leases.drain(Millis(40_000));
        }
        Fault::PeerHasNotRead => {
            fixture = Fixture::new();
            fixture.b.log_offset = Offset(50);
            fixture.run(0, 10_000).unwrap();
            fixture.suspect(11_000);
        }
        Fault::PeerRestarts => fixture.b.incarnation = 2,
        Fault::ReaderDoesNotAnswer => fixture.b = hello("c", 50, 0),
        Fault::OtherWriter => fixture.open[0].host = name("b"),
    }
    match fixture.run(30_250, 70_000) {
        None | Some((_, Record::Held { .. })) => {}
        record => panic!("{record:?}"),
    }
}

/// Guards against a healthy worker that is declared lost because its holder cannot append `Held`.
#[test]
fn a_peer_answers_a_suspicion_for_the_holder() {
    let mut fixture = Fixture::new();
    fixture.run(0, 10_000).unwrap();
    fixture.suspect(11_000);
    fixture.b.held = vec![HeldLease {
        resource: name("w"),
        token: Token(1),
    }];
    let (now, record) = fixture.run(11_000, 60_000).unwrap();
    assert_eq!(
        (now, record),
        (
            14_000,
            Record::Held {
                worker: name("w"),
                host: name("b")
            }
        )
    );
}

/// Guards against a holder that does not answer a suspicion of its worker.
#[test]
fn a_holder_answers_a_suspicion_immediately() {
    let mut fixture = Fixture::new();
    fixture
        .leases
        .poll(Millis(0), |_| true, |_| None, &mut Vec::new());
    fixture
        .leases
        .granted(Millis(0), Millis(0), &name("w"), Token(1), 1, false);
    fixture.suspect(0);
    let mut records = Vec::new();
    let (peers, leases) = (&fixture.peers, &fixture.leases);
    fixture
        .suspicions
        .poll(Millis(100), peers, leases, &fixture.open, &[], &mut records);
    assert_eq!(
        records,
        [Record::Held {
            worker: name("w"),
            host: name("a")
        }]
    );
}

/// Guards against a data centre with a single entry host that declares a worker lost without
/// waiting, because the host is a majority by itself.
#[test]
fn a_single_host_also_waits_before_it_declares_a_worker_lost() {
    let mut fixture = Fixture::new();
    fixture.peers = Membership::new(name("a"), name("cluj-a"), vec![entry("a", "cluj-a")]);
    fixture.run(0, 10_000).unwrap();
    fixture.suspect(11_000);
    assert_eq!(fixture.run(11_000, 55_750), None);
    assert!(fixture.run(56_000, 56_000).is_some());
}
