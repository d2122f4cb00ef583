//! Membership, run lease permission and lost workers: fault tables, and a model of three hosts, a
//! log and a worker.

use std::collections::HashMap;

use jayfork::base::{Millis, Name, Offset, Token};
use jayfork::connection::wire::{Held, Hello, HostKind, LeaseRefusal};
use jayfork::connection::{LeaseAction, LeaseTable, LeaseTiming, Resource};
use jayfork::process::{EntryHost, Membership, OpenSuspicion, Suspicions};
use jayfork::version::Record;
use proptest::prelude::*;
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

/// Host a, with b and c in its data centre, and x and y in another.
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
    }
}

/// `b` answers a `Hello` that was sent at `asked`.
fn answer(peers: &mut Membership, asked: u64, hello: &Hello) {
    peers.heard(Millis(asked), Some(Millis(asked)), hello);
}

/// Guards against run leases that are renewed on knowledge that may have been overtaken.
#[parameterized(
    read_lately = { 100_000, 100_000, None, 119_999, true },
    read_long_ago = { 100_000, 100_000, None, 120_000, false },
    answer_of_a_slow_read = { 100_000, 115_000, None, 120_000, false },
    peer_read_as_far = { 80_000, 80_000, Some((10, 5_000)), 114_000, true },
    peer_read_counts_with_its_age = { 80_000, 80_000, Some((10, 15_000)), 114_000, false },
    peer_knows_more = { 80_000, 80_000, Some((11, 0)), 101_000, false },
    peer_has_not_read_since_its_start = { 80_000, 80_000, Some((0, u64::MAX)), 101_000, false },
)]
fn permission_by_the_log(
    sent: u64,
    arrived: u64,
    peer: Option<(u64, u64)>,
    now: u64,
    expected: bool,
) {
    // Five hosts, so that the one peer makes no majority.
    let entries = ["a", "b", "c", "d", "e"].map(|host| entry(host, "cluj-a"));
    let mut peers = Membership::new(name("a"), name("cluj-a"), entries.to_vec());
    peers.log_read(Millis(arrived), Millis(sent), Offset(10));
    if let Some((offset, age)) = peer {
        answer(&mut peers, 100_000, &hello("b", offset, age));
    }
    assert_eq!(peers.may_renew(Millis(now), false), expected);
    assert!(!peers.may_renew(Millis(now), true));
}

/// Guards against a holder cut off from the log that misses what the majority knows.
#[parameterized(
    majority_knows_as_much = { 10, 99_000, Some(100_000), 101_000, true },
    majority_knows_less = { 3, 99_000, Some(100_000), 119_999, true },
    majority_knows_more = { 11, 99_000, Some(100_000), 101_000, false },
    peer_has_not_read_since_its_start = { 0, u64::MAX, Some(100_000), 101_000, false },
    word_is_old = { 10, 99_000, Some(100_000), 120_000, false },
    hello_that_answers_none = { 10, 99_000, None, 101_000, false },
)]
fn permission_by_a_majority(
    offset: u64,
    log_age: u64,
    asked: Option<u64>,
    now: u64,
    expected: bool,
) {
    let mut peers = membership();
    peers.log_read(Millis(1_000), Millis(1_000), Offset(10));
    // The peer has not read the log for long either.
    let word = hello("b", offset, log_age);
    peers.heard(Millis(100_900), asked.map(Millis), &word);
    assert_eq!(peers.may_renew(Millis(now), false), expected);
}

/// Guards against permission by a host that has never read the log since its start.
#[test]
fn no_permission_before_the_log_was_read() {
    let mut peers = membership();
    answer(&mut peers, 1_000, &hello("b", 0, 0));
    answer(&mut peers, 1_000, &hello("c", 0, 0));
    assert!(!peers.may_renew(Millis(1_000), false));
}

/// Guards against peers that look live while silent, and against remote ones that look dead.
#[test]
fn live_hosts() {
    let mut peers = membership();
    assert_eq!(peers.live(Millis(0)), [name("a")]);
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
    assert_eq!(peers.live(Millis(2_999)), [name("a"), name("b")]);
    assert!(peers.hears_majority(Millis(2_999)));
    assert_eq!(peers.live(Millis(3_000)), [name("a")]);
    assert!(!peers.hears_majority(Millis(3_000)));
    assert!(peers.is_live(Millis(15_999), "x") && !peers.is_live(Millis(16_000), "x"));
    assert!(!peers.is_live(Millis(1_000), "stranger"));
}

/// Guards against a heartbeat that is too rare to keep a peer live, or too frequent between regions.
#[test]
fn greets_in_time() {
    let mut peers = membership();
    let mut greeted: HashMap<Name, usize> = HashMap::new();
    for now in (0..60_000).step_by(100) {
        for peer in peers.due(Millis(now)) {
            *greeted.entry(peer.clone()).or_default() += 1;
            answer(&mut peers, now, &hello(&peer, 0, 0));
        }
    }
    assert_eq!((greeted["b"], greeted["c"]), (120, 120));
    let remote: Vec<usize> = ["x", "y"]
        .iter()
        .filter_map(|x| greeted.get(*x).copied())
        .collect();
    assert_eq!(remote, [12], "one host of the other data centre");
}

/// Guards against a data centre that is unheard because the one host greeted there is dead.
#[test]
fn greets_another_remote_host_after_silence() {
    let mut peers = membership();
    let due = |peers: &mut Membership, now| {
        let due = peers.due(Millis(now));
        due.into_iter()
            .find(|peer| **peer == *"x" || **peer == *"y")
            .unwrap()
    };
    assert_ne!(due(&mut peers, 0), due(&mut peers, 5_000));
}

/// Guards against a standby that takes what a live peer holds.
#[test]
fn holder_is_what_a_live_peer_reports() {
    let mut peers = membership();
    let held = vec![Held {
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

/// Guards against workers that stay with a host that cannot renew their run leases.
#[parameterized(
    all_read = { 10, 0, 10, 0, 0, &["a", "b", "c"] },
    self_cut_off = { 11, 0, 11, 0, 15_000, &["b", "c"] },
    all_cut_off_at_the_same_place = { 10, 30_000, 10, 30_000, 30_000, &["a", "b", "c"] },
    all_cut_off_and_self_behind = { 11, 30_000, 11, 30_000, 30_000, &["b", "c"] },
    all_cut_off_and_self_ahead = { 9, 30_000, 8, 30_000, 30_000, &["a", "b"] },
)]
fn informed_hosts(b: u64, b_age: u64, c: u64, c_age: u64, own_age: u64, expected: &[&str]) {
    let mut peers = membership();
    let read = Millis(100_000 - own_age);
    peers.log_read(read, read, Offset(10));
    answer(&mut peers, 100_000, &hello("b", b, b_age));
    answer(&mut peers, 100_000, &hello("c", c, c_age));
    let expected: Vec<Name> = expected.iter().map(|host| name(host)).collect();
    assert_eq!(peers.informed(Millis(100_000)), expected);
}

// --- lost workers, one host ---

/// Host a, which is the only one to try for worker `w` and gets no answer from it.
struct Watch {
    peers: Membership,
    leases: LeaseTable,
    suspicions: Suspicions,
    open: Vec<OpenSuspicion>,
    b: Hello,
    reads: bool,
    hears: bool,
}

impl Watch {
    fn new() -> Self {
        let mut leases = LeaseTable::new(name("a"), LeaseTiming::default());
        leases.set_hosts(Millis(0), &[name("a")], &[name("a")]);
        leases.set_resources(Millis(0), vec![worker()]);
        Watch {
            peers: membership(),
            leases,
            suspicions: Suspicions::new(name("a")),
            open: Vec::new(),
            b: hello("b", 100, 0),
            reads: true,
            hears: true,
        }
    }

    /// Runs from `from` to `to`; returns the first record and its time.
    fn run(&mut self, from: u64, to: u64) -> Option<(u64, Record)> {
        for now in (from..=to).step_by(250) {
            let at = Millis(now);
            if self.reads {
                self.peers.log_read(at, at, Offset(100));
            }
            if self.hears {
                self.peers.heard(at, Some(at), &self.b);
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

    fn suspect(&mut self, read: u64) {
        self.open = vec![OpenSuspicion {
            worker: name("w"),
            host: name("a"),
            offset: Offset(50),
            read: Millis(read),
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

/// Guards against a lost worker that nobody notices.
#[test]
fn a_silent_worker_is_suspected_and_then_lost() {
    let mut watch = Watch::new();
    let (now, record) = watch.run(0, 60_000).unwrap();
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
    watch.suspect(11_000);
    let (now, record) = watch.run(11_000, 120_000).unwrap();
    assert_eq!(
        (now, record),
        (56_000, Record::WorkerLost { worker: name("w") })
    );
}

enum Fault {
    NoLog,
    NoMajority,
    Held,
    WorkerAnswers,
    PeerHasNotRead,
    PeerRestarts,
    ForeignSuspicion,
}

/// Guards against `WorkerLost` while the worker's tasks may run.
#[parameterized(
    log_not_read = { Fault::NoLog },
    no_majority = { Fault::NoMajority },
    a_peer_holds_it = { Fault::Held },
    it_answers = { Fault::WorkerAnswers },
    majority_has_not_read_the_suspicion = { Fault::PeerHasNotRead },
    majority_restarted = { Fault::PeerRestarts },
    suspicion_of_another_host = { Fault::ForeignSuspicion },
)]
fn is_not_declared_lost(fault: Fault) {
    let mut watch = Watch::new();
    watch.run(0, 10_000).unwrap();
    watch.suspect(11_000);
    assert_eq!(watch.run(11_000, 30_000), None);
    match fault {
        Fault::NoLog => watch.reads = false,
        Fault::NoMajority => watch.hears = false,
        Fault::Held => {
            watch.b.held = vec![Held {
                resource: name("w"),
                token: Token(1),
            }];
        }
        Fault::WorkerAnswers => {
            let held = LeaseRefusal::Held {
                holder: name("c"),
                remaining: 100_000,
            };
            while watch.leases.silence(Millis(30_000), "w").is_some() {
                watch
                    .leases
                    .poll(Millis(40_000), |_| true, |_| None, &mut Vec::new());
                watch
                    .leases
                    .refused(Millis(40_000), &name("w"), held.clone());
            }
            watch.leases.drain(Millis(40_000));
        }
        Fault::PeerHasNotRead => {
            watch = Watch::new();
            watch.b.log_offset = Offset(50);
            watch.run(0, 10_000).unwrap();
            watch.suspect(11_000);
        }
        Fault::PeerRestarts => watch.b.incarnation = 2,
        Fault::ForeignSuspicion => watch.open[0].host = name("b"),
    }
    match watch.run(30_250, 70_000) {
        None | Some((_, Record::Held { .. })) => {}
        record => panic!("{record:?}"),
    }
}

/// Guards against a healthy worker that counts as lost because its holder cannot append.
#[test]
fn a_peer_answers_for_the_holder() {
    let mut watch = Watch::new();
    watch.run(0, 10_000).unwrap();
    watch.suspect(11_000);
    watch.b.held = vec![Held {
        resource: name("w"),
        token: Token(1),
    }];
    let (now, record) = watch.run(11_000, 60_000).unwrap();
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

/// Guards against a holder that leaves a suspicion of its worker open.
#[test]
fn a_holder_answers_at_once() {
    let mut watch = Watch::new();
    watch
        .leases
        .poll(Millis(0), |_| true, |_| None, &mut Vec::new());
    watch
        .leases
        .granted(Millis(0), Millis(0), &name("w"), Token(1), 1, false);
    watch.suspect(0);
    let mut records = Vec::new();
    let (peers, leases) = (&watch.peers, &watch.leases);
    watch
        .suspicions
        .poll(Millis(100), peers, leases, &watch.open, &[], &mut records);
    assert_eq!(
        records,
        [Record::Held {
            worker: name("w"),
            host: name("a")
        }]
    );
}

/// Guards against a data centre with one entry host that does not wait at all.
#[test]
fn a_single_host_waits_too() {
    let mut watch = Watch::new();
    watch.peers = Membership::new(name("a"), name("cluj-a"), vec![entry("a", "cluj-a")]);
    watch.run(0, 10_000).unwrap();
    watch.suspect(11_000);
    assert_eq!(watch.run(11_000, 55_750), None);
    assert!(watch.run(56_000, 56_000).is_some());
}

// --- model ---

const HOSTS: usize = 3;
const TICK: u64 = 250;
/// Ticks after which a caller gives up on an answer.
const TIMEOUT: u64 = 4;

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Freeze(usize, u64),
    Restart(usize),
    /// Whether the host can read the log, and whether it can append, with a delay in ticks.
    Log(usize, bool, bool, u64),
    Peers(usize, usize, bool),
    /// Whether requests of the host reach the worker, and the delay in ticks.
    Worker(usize, bool, u64),
    Silence(bool),
    WorkerRestart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS;
    let delay = prop_oneof![4 => Just(0u64), 1 => 1..160u64];
    let step = prop_oneof![
        6 => (1..120u64).prop_map(Step::Pass),
        2 => (40..240u64).prop_map(Step::Pass),
        2 => (host.clone(), 1..160u64).prop_map(|(h, n)| Step::Freeze(h, n)),
        1 => host.clone().prop_map(Step::Restart),
        4 => (host.clone(), any::<bool>(), prop::bool::weighted(0.7), delay.clone())
            .prop_map(|(h, r, a, d)| Step::Log(h, r, a, d)),
        4 => (host.clone(), host.clone(), any::<bool>()).prop_map(|(a, b, c)| Step::Peers(a, b, c)),
        4 => (host, any::<bool>(), delay).prop_map(|(h, c, d)| Step::Worker(h, c, d)),
        2 => prop::bool::weighted(0.4).prop_map(Step::Silence),
        1 => Just(Step::WorkerRestart),
    ];
    prop::collection::vec(step, 4..40)
}

/// Fold of the records about the one attempt, which is claimed on worker `w` from the start.
#[derive(Debug, Clone, Default)]
struct Fold {
    next: u64,
    /// Writer and offset of each open suspicion, with the time at which it was read.
    open: Vec<(Name, u64, Millis)>,
    lost: bool,
}

/// A record on the log; `suspected` is the offset that a `WorkerLost` follows up.
#[derive(Debug, Clone)]
struct Logged {
    host: Name,
    record: Record,
    suspected: u64,
}

impl Fold {
    fn apply(&mut self, now: Millis, logged: &Logged) {
        match &logged.record {
            Record::Suspected { host, .. } => {
                if !self.open.iter().any(|open| open.0 == *host) {
                    self.open.push((host.clone(), self.next, now));
                }
            }
            Record::Held { .. } => self.open.clear(),
            Record::WorkerLost { .. } => {
                let valid = |o: &(Name, u64, Millis)| o.0 == logged.host && o.1 == logged.suspected;
                if self.open.iter().any(valid) {
                    self.open.clear();
                    self.lost = true;
                }
            }
            record => panic!("{record:?}"),
        }
        self.next += 1;
    }
}

struct Host {
    peers: Membership,
    leases: LeaseTable,
    suspicions: Suspicions,
    fold: Fold,
    /// The worker's clock in its last answer to this host.
    seen: u64,
    process: u64,
    rate: u64,
    frozen: u64,
    reads: bool,
    appends: bool,
    append_delay: u64,
    reaches: bool,
    delay: u64,
    /// Calls in flight and their age in ticks: the log, peers by index, the worker.
    reading: Option<u64>,
    greeting: [Option<u64>; HOSTS],
    calling: Option<(u64, LeaseCall)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeaseCall(u64);

#[derive(Debug, Clone)]
enum Message {
    Append(Logged),
    Read {
        host: usize,
        process: u64,
        from: u64,
        sent: Millis,
    },
    ReadAnswer {
        process: u64,
        sent: Millis,
        from: u64,
        records: Vec<Logged>,
    },
    Hello {
        from: usize,
        process: u64,
        asked: Millis,
        hello: Hello,
    },
    HelloAnswer {
        from: usize,
        process: u64,
        asked: Millis,
        hello: Hello,
    },
    Lease {
        host: usize,
        process: u64,
        call: LeaseCall,
        sent: Millis,
        action: LeaseAction,
        seen: u64,
    },
    LeaseAnswer {
        process: u64,
        call: LeaseCall,
        sent: Millis,
        result: LeaseResult,
        clock: u64,
    },
    Start {
        token: u64,
        seen: u64,
    },
}

#[derive(Debug, Clone)]
enum LeaseResult {
    Granted(u64, u64),
    Refused(LeaseRefusal),
    Released,
}

/// Where a message goes: the log, the worker, or a host, which reads it when it is not frozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum To {
    Log,
    Worker,
    Host(usize),
}

#[derive(Debug, Default)]
struct Worker {
    incarnation: u64,
    token: u64,
    released: bool,
    holder: Option<usize>,
    until: u64,
    /// Run lease of the attempt while it runs, by the worker's clock.
    running: Option<u64>,
    started: bool,
}

struct Model {
    hosts: Vec<Host>,
    worker: Worker,
    worker_rate: u64,
    silent: bool,
    log: Vec<Logged>,
    truth: Fold,
    links: [[bool; HOSTS]; HOSTS],
    network: Vec<(u64, To, Message)>,
    tick: u64,
    calls: u64,
    /// Tick from which hosts start the attempt.
    start: u64,
}

fn host_name(index: usize) -> Name {
    name(["a", "b", "c"][index])
}

impl Host {
    fn new(index: usize, rate: u64, process: u64, now: Millis) -> Self {
        let entries = (0..HOSTS).map(|i| entry(&host_name(i), "cluj-a")).collect();
        let mut leases = LeaseTable::new(host_name(index), LeaseTiming::default());
        leases.set_resources(now, vec![worker()]);
        Host {
            peers: Membership::new(host_name(index), name("cluj-a"), entries),
            leases,
            suspicions: Suspicions::new(host_name(index)),
            fold: Fold::default(),
            seen: 0,
            process,
            rate,
            frozen: 0,
            reads: true,
            appends: true,
            append_delay: 0,
            reaches: true,
            delay: 0,
            reading: None,
            greeting: [None; HOSTS],
            calling: None,
        }
    }

    fn now(&self, tick: u64) -> Millis {
        Millis(1_000_000 + tick * TICK * self.rate / 100)
    }

    fn hello(&self, index: usize, now: Millis) -> Hello {
        Hello {
            incarnation: self.process,
            held: self.leases.held(now),
            ..hello(&host_name(index), self.fold.next, self.peers.log_age(now))
        }
    }

    fn suspected(&self) -> bool {
        !self.fold.open.is_empty()
    }
}

impl Model {
    fn new(rates: [u64; HOSTS], worker_rate: u64, start: u64) -> Self {
        let hosts = (0..HOSTS).map(|i| Host::new(i, rates[i], 1, Millis(1_000_000)));
        Model {
            hosts: hosts.collect(),
            worker: Worker {
                incarnation: 1,
                ..Worker::default()
            },
            worker_rate,
            silent: false,
            log: Vec::new(),
            truth: Fold::default(),
            links: [[true; HOSTS]; HOSTS],
            network: Vec::new(),
            tick: 0,
            calls: 0,
            start,
        }
    }

    fn clock(&self) -> u64 {
        1_000_000 + self.tick * TICK * self.worker_rate / 100
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Pass(ticks) => (0..ticks).try_for_each(|_| self.pass())?,
            Step::Freeze(host, ticks) => self.hosts[host].frozen = ticks,
            Step::Restart(index) => {
                let old = &self.hosts[index];
                let now = old.now(self.tick);
                let mut host = Host::new(index, old.rate, old.process + 1, now);
                (host.reads, host.appends) = (old.reads, old.appends);
                (host.reaches, host.delay) = (old.reaches, old.delay);
                self.hosts[index] = host;
            }
            Step::Log(host, reads, appends, delay) => {
                let host = &mut self.hosts[host];
                (host.reads, host.appends, host.append_delay) = (reads, appends, delay);
            }
            Step::Peers(a, b, connected) => {
                self.links[a][b] = connected;
                self.links[b][a] = connected;
            }
            Step::Worker(host, reaches, delay) => {
                let host = &mut self.hosts[host];
                (host.reaches, host.delay) = (reaches, delay);
            }
            Step::Silence(silent) => self.silent = silent,
            Step::WorkerRestart => {
                let (incarnation, token) = (self.worker.incarnation + 1, self.worker.token + 1);
                self.worker = Worker {
                    incarnation,
                    token,
                    released: true,
                    ..Worker::default()
                };
            }
        }
        Ok(())
    }

    fn pass(&mut self) -> Result<(), TestCaseError> {
        self.tick += 1;
        if self
            .worker
            .running
            .is_some_and(|until| self.clock() >= until)
        {
            self.worker.running = None;
        }
        let (tick, hosts) = (self.tick, &self.hosts);
        let (due, later): (Vec<_>, Vec<_>) = self.network.drain(..).partition(|(at, to, _)| {
            *at <= tick && !matches!(to, To::Host(host) if hosts[*host].frozen > 0)
        });
        self.network = later;
        for (_, to, message) in due {
            self.deliver(to, message);
        }
        for host in 0..HOSTS {
            if self.hosts[host].frozen > 0 {
                self.hosts[host].frozen -= 1;
            } else {
                self.run(host);
            }
        }
        let runs = self.worker.running.is_some();
        prop_assert!(
            !(self.truth.lost && runs),
            "the attempt runs after WorkerLost"
        );
        Ok(())
    }

    fn send(&mut self, delay: u64, to: To, message: Message) {
        self.network.push((self.tick + 1 + delay, to, message));
    }

    fn deliver(&mut self, to: To, message: Message) {
        let index = if let To::Host(host) = to { host } else { 0 };
        let now = self.hosts[index].now(self.tick);
        match message {
            Message::Append(logged) => {
                self.truth.apply(Millis(0), &logged);
                self.log.push(logged);
            }
            Message::Read {
                host,
                process,
                from,
                sent,
            } => {
                let records = self.log.get(from as usize..).unwrap_or_default().to_vec();
                let answer = Message::ReadAnswer {
                    process,
                    sent,
                    from,
                    records,
                };
                self.send(0, To::Host(host), answer);
            }
            Message::ReadAnswer {
                process,
                sent,
                from,
                records,
            } => {
                let host = &mut self.hosts[index];
                if host.process != process || host.fold.next != from {
                    return;
                }
                host.reading = None;
                records
                    .iter()
                    .for_each(|logged| host.fold.apply(now, logged));
                host.peers.log_read(now, sent, Offset(host.fold.next));
            }
            Message::Hello {
                from,
                process,
                asked,
                hello,
            } => {
                let host = &mut self.hosts[index];
                host.peers.heard(now, None, &hello);
                let hello = host.hello(index, now);
                let answer = Message::HelloAnswer {
                    from: index,
                    process,
                    asked,
                    hello,
                };
                if self.links[index][from] {
                    self.send(0, To::Host(from), answer);
                }
            }
            Message::HelloAnswer {
                from,
                process,
                asked,
                hello,
            } => {
                let host = &mut self.hosts[index];
                if host.process == process {
                    host.greeting[from] = None;
                    host.peers.heard(now, Some(asked), &hello);
                }
            }
            Message::Lease {
                host,
                process,
                call,
                sent,
                action,
                seen,
            } => {
                let result = self.lease(host, action, seen);
                let clock = self.clock();
                let answer = Message::LeaseAnswer {
                    process,
                    call,
                    sent,
                    result,
                    clock,
                };
                if !self.silent && self.hosts[host].reaches {
                    self.send(0, To::Host(host), answer);
                }
            }
            Message::LeaseAnswer {
                process,
                call,
                sent,
                result,
                clock,
            } => {
                let host = &mut self.hosts[index];
                let current = host.calling.is_some_and(|(_, c)| c == call);
                if host.process != process || !current {
                    return;
                }
                host.calling = None;
                host.seen = clock;
                let w = name("w");
                match result {
                    LeaseResult::Granted(token, incarnation) => {
                        host.leases
                            .granted(now, sent, &w, Token(token), incarnation, false);
                    }
                    LeaseResult::Refused(refusal) => host.leases.refused(now, &w, refusal),
                    LeaseResult::Released => host.leases.released(now, &w),
                }
            }
            Message::Start { token, seen } => self.start(token, seen),
        }
    }

    /// A command counts from the worker's clock that it echoes, not from its arrival: it may have
    /// been under way for any time.
    fn lapse(&self, seen: u64) -> u64 {
        seen + 20_000
    }

    fn start(&mut self, token: u64, seen: u64) {
        let until = self.lapse(seen);
        let worker = &self.worker;
        if token == worker.token && !worker.released && !worker.started && self.clock() < until {
            self.worker.running = Some(until);
            self.worker.started = true;
        }
    }

    fn lease(&mut self, host: usize, action: LeaseAction, seen: u64) -> LeaseResult {
        let (now, until) = (self.clock(), self.lapse(seen));
        let worker = &mut self.worker;
        let refused = LeaseResult::Refused(LeaseRefusal::StaleToken);
        match action {
            LeaseAction::Acquire { .. } => match worker.holder {
                Some(holder) if holder != host && now < worker.until => {
                    let (holder, remaining) = (host_name(holder), worker.until - now);
                    return LeaseResult::Refused(LeaseRefusal::Held { holder, remaining });
                }
                _ => {
                    worker.token += 1;
                    worker.released = false;
                    worker.holder = Some(host);
                }
            },
            LeaseAction::Renew {
                token, renew_tasks, ..
            } => {
                if token.0 != worker.token || worker.released {
                    return refused;
                }
                if renew_tasks && let Some(running) = &mut worker.running {
                    *running = until.max(*running);
                }
            }
            LeaseAction::Release { token, .. } => {
                if token.0 != worker.token {
                    return refused;
                }
                (worker.released, worker.until) = (true, 0);
                return LeaseResult::Released;
            }
        }
        worker.until = now + 3_000;
        LeaseResult::Granted(worker.token, worker.incarnation)
    }

    fn run(&mut self, index: usize) {
        let tick = self.tick;
        let now = self.hosts[index].now(tick);
        self.read(index, now);
        self.greet(index, now);
        let host = &mut self.hosts[index];
        let (live, informed) = (host.peers.live(now), host.peers.informed(now));
        host.leases.set_hosts(now, &live, &informed);
        if let Some((age, _)) = &mut host.calling {
            *age += 1;
            if *age > TIMEOUT {
                host.calling = None;
                host.leases.failed(now, &name("w"));
            }
        }
        let may = host.peers.may_renew(now, host.suspected());
        let mut actions = Vec::new();
        host.leases
            .poll(now, |_| may, |w| host.peers.holder(now, w), &mut actions);
        let lease = host.leases.usable(now, "w");
        let seen = host.seen;
        // The claim names incarnation 1, and a start is permitted like a renewal.
        let start = lease.filter(|lease| lease.incarnation == 1 && may && !host.fold.lost);
        for action in actions {
            self.calls += 1;
            let call = LeaseCall(self.calls);
            let host = &mut self.hosts[index];
            host.calling = Some((0, call));
            let (process, reaches, delay) = (host.process, host.reaches, host.delay);
            if reaches && !self.silent {
                let host = index;
                let message = Message::Lease {
                    host,
                    process,
                    call,
                    sent: now,
                    action,
                    seen,
                };
                self.send(delay, To::Worker, message);
            }
        }
        if let Some(lease) = start
            && tick >= self.start
            && self.hosts[index].reaches
            && !self.silent
        {
            let message = Message::Start {
                token: lease.token.0,
                seen,
            };
            self.send(self.hosts[index].delay, To::Worker, message);
        }
        self.suspect(index, now);
    }

    fn read(&mut self, index: usize, now: Millis) {
        let host = &mut self.hosts[index];
        if let Some(age) = &mut host.reading {
            *age += 1;
            // A late answer stays useful, so the next read waits for longer than other calls.
            if *age <= 10 * TIMEOUT {
                return;
            }
        }
        host.reading = Some(0);
        let (process, from, reads) = (host.process, host.fold.next, host.reads);
        if reads {
            let message = Message::Read {
                host: index,
                process,
                from,
                sent: now,
            };
            self.send(0, To::Log, message);
        }
    }

    fn greet(&mut self, index: usize, now: Millis) {
        for age in self.hosts[index].greeting.iter_mut().flatten() {
            *age += 1;
        }
        for peer in self.hosts[index].peers.due(now) {
            let to = (0..HOSTS).find(|&i| host_name(i) == peer).unwrap();
            let host = &mut self.hosts[index];
            if host.greeting[to].is_some_and(|age| age <= TIMEOUT) {
                continue;
            }
            host.greeting[to] = Some(0);
            let (process, hello) = (host.process, host.hello(index, now));
            if self.links[index][to] {
                let message = Message::Hello {
                    from: index,
                    process,
                    asked: now,
                    hello,
                };
                self.send(0, To::Host(to), message);
            }
        }
    }

    fn suspect(&mut self, index: usize, now: Millis) {
        let host = &mut self.hosts[index];
        let open: Vec<OpenSuspicion> = (host.fold.open.iter())
            .map(|(writer, offset, read)| OpenSuspicion {
                worker: name("w"),
                host: writer.clone(),
                offset: Offset(*offset),
                read: *read,
            })
            .collect();
        let claimed = if host.fold.lost {
            vec![]
        } else {
            vec![name("w")]
        };
        let mut records = Vec::new();
        let (peers, leases) = (&host.peers, &host.leases);
        host.suspicions
            .poll(now, peers, leases, &open, &claimed, &mut records);
        let own = host
            .fold
            .open
            .iter()
            .find(|open| open.0 == host_name(index));
        let suspected = own.map_or(u64::MAX, |open| open.1);
        let (appends, delay) = (host.appends, host.append_delay);
        for record in records {
            let logged = Logged {
                host: host_name(index),
                record,
                suspected,
            };
            if appends {
                self.send(delay, To::Log, Message::Append(logged));
            }
        }
    }
}

fn drift() -> impl Strategy<Value = ([u64; HOSTS], u64)> {
    (prop::array::uniform3(100..=110u64), 100..=110u64)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("MODEL_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
    ))]

    /// Guards against an attempt that runs after its worker was declared lost, under frozen and
    /// restarted hosts, cuts between any two parties, late requests and appends, and clocks that
    /// differ by up to 10%.
    #[test]
    fn nothing_runs_after_worker_lost(
        (rates, worker_rate) in drift(),
        start in 0..2_000u64,
        steps in steps(),
    ) {
        let mut model = Model::new(rates, worker_rate, start);
        model.step(&Step::Pass(20))?;
        for step in &steps {
            model.step(step)?;
        }
        model.step(&Step::Silence(true))?;
        model.step(&Step::Pass(300))?;
        model.step(&Step::Silence(false))?;
        model.step(&Step::Pass(200))?;
    }
}

/// Guards against a model that never gets as far as `WorkerLost`, and a worker that stays claimed.
#[test]
fn a_dead_worker_is_lost_within_70_seconds() {
    let mut model = Model::new([100, 105, 110], 100, 0);
    model.step(&Step::Pass(40)).unwrap();
    assert!(model.worker.running.is_some());
    model.step(&Step::Silence(true)).unwrap();
    model.step(&Step::Pass(4 * 70)).unwrap();
    assert!(model.truth.lost);
}

/// Guards against tasks that are stopped while a single fault lasts.
#[parameterized(
    holder_without_log = { &[Step::Log(0, false, false, 0)] },
    all_without_log = { &[
        Step::Log(0, false, false, 0),
        Step::Log(1, false, false, 0),
        Step::Log(2, false, false, 0),
    ] },
    appends_fail = { &[
        Step::Log(0, true, false, 0),
        Step::Log(1, true, false, 0),
        Step::Log(2, true, false, 0),
    ] },
    first_host_alone = { &[Step::Peers(0, 1, false), Step::Peers(0, 2, false)] },
    second_host_alone = { &[Step::Peers(0, 1, false), Step::Peers(1, 2, false)] },
    third_host_alone = { &[Step::Peers(0, 2, false), Step::Peers(1, 2, false)] },
    first_host_frozen = { &[Step::Freeze(0, 1_000)] },
    second_host_frozen = { &[Step::Freeze(1, 1_000)] },
    third_host_frozen = { &[Step::Freeze(2, 1_000)] },
    worker_reached_by_the_first_host_only = { &[
        Step::Worker(1, false, 0),
        Step::Worker(2, false, 0),
    ] },
)]
fn a_task_survives(faults: &[Step]) {
    let mut model = Model::new([100, 105, 110], 105, 0);
    model.step(&Step::Pass(40)).unwrap();
    for fault in faults {
        model.step(fault).unwrap();
    }
    model.step(&Step::Pass(1_000)).unwrap();
    assert!(model.worker.running.is_some(), "the task was stopped");
    assert!(!model.truth.lost);
}

/// Guards against a start that was under way when the worker was declared lost.
#[test]
fn a_late_start_is_refused() {
    let mut model = Model::new([100; HOSTS], 100, 200);
    model.step(&Step::Pass(199)).unwrap();
    for host in 0..HOSTS {
        model.step(&Step::Worker(host, true, 280)).unwrap();
    }
    model.step(&Step::Pass(4)).unwrap();
    let is_start = |message: &(u64, To, Message)| matches!(message.2, Message::Start { .. });
    assert!(model.network.iter().any(is_start));
    model.step(&Step::Silence(true)).unwrap();
    model.step(&Step::Pass(270)).unwrap();
    assert!(model.truth.lost && model.network.iter().any(is_start));
    model.step(&Step::Pass(100)).unwrap();
}

/// Guards against a late `WorkerLost` that takes effect on a later suspicion than its own.
#[test]
fn a_late_worker_lost_needs_its_own_suspicion() {
    let mut model = Model::new([100; HOSTS], 100, 0);
    let pass_until = |model: &mut Model, done: &dyn Fn(&Model) -> bool| {
        let mut ticks = 0;
        while !done(model) {
            model.step(&Step::Pass(1)).unwrap();
            ticks += 1;
            assert!(ticks < 400);
        }
    };
    let appends = |model: &mut Model, appends, delay| {
        for host in 0..HOSTS {
            model.step(&Step::Log(host, true, appends, delay)).unwrap();
        }
    };
    model.start = u64::MAX;
    model.step(&Step::Pass(40)).unwrap();
    model.step(&Step::Silence(true)).unwrap();
    pass_until(&mut model, &|model| !model.truth.open.is_empty());
    appends(&mut model, true, 130);
    pass_until(&mut model, &|model| {
        !model.network.is_empty() && model.network.iter().any(is_lost)
    });
    appends(&mut model, false, 0);
    model.step(&Step::Silence(false)).unwrap();
    pass_until(&mut model, &|model| {
        model
            .hosts
            .iter()
            .any(|host| host.leases.usable(host.now(model.tick), "w").is_some())
    });
    appends(&mut model, true, 0);
    model.start = 0;
    pass_until(&mut model, &|model| model.worker.running.is_some());
    assert!(model.truth.open.is_empty());
    // The second suspicion is by the host that declared the first.
    let late = model
        .network
        .iter()
        .find(|message| is_lost(message))
        .unwrap();
    let Message::Append(Logged { host: writer, .. }) = late.2.clone() else {
        unreachable!()
    };
    for host in (0..HOSTS).filter(|&host| host_name(host) != writer) {
        model.step(&Step::Log(host, true, false, 0)).unwrap();
    }
    model.step(&Step::Silence(true)).unwrap();
    pass_until(&mut model, &|model| !model.truth.open.is_empty());
    assert!(model.worker.running.is_some() && model.network.iter().any(is_lost));
    model.step(&Step::Pass(130)).unwrap();
    assert!(!model.truth.lost);
}

fn is_lost(message: &(u64, To, Message)) -> bool {
    let Message::Append(logged) = &message.2 else {
        return false;
    };
    matches!(logged.record, Record::WorkerLost { .. })
}
