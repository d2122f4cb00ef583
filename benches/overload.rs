//! One data centre under overload, in simulated time. The seed is the argument.
//!
//! Three routers share 6 instances of 8 slots. Service times are log-normal. 0.2% of the attempts
//! break, and from 10 to 15 s (the outage) each instance refuses 30% of them. The loads are 0.5, 1,
//! 2 and 5 times the capacity, for the router and for two baselines. Prints the requests answered
//! in time, refused and late, the latency percentiles in ms, attempts per request (`sends` in all,
//! `outage` in the outage) and the run time of the router per event in ns.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Instant;

use bytes::Bytes;
use fastrand::Rng;
use hdrhistogram::Histogram;
use jayfork::base::{Millis, Name, Ran, Token};
use jayfork::request::{
    DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward, UrgentLimits, UrgentRequest, UrgentRouter,
};

const HOSTS: usize = 3;
const INSTANCES: usize = 6;
const SLOTS: usize = 8;
/// Time in which requests arrive, in ms, like the times below.
const DURATION: u64 = 30_000;
/// Requests arrive from here on, after `ask_window`, so that peers are not asked about each id.
const START: u64 = 60_000;
const DEADLINE: u64 = 300;
const REPORT_INTERVAL: u64 = 1_000;
const HEARTBEAT_INTERVAL: u64 = 500;
const POLL_INTERVAL: u64 = 10;
/// Time that a message between hosts takes.
const MESSAGE_DELAY: u64 = 1;
/// Median and sigma of the log-normal service time.
const MEDIAN_SERVICE: f64 = 16.0;
const SERVICE_SIGMA: f64 = 0.8;
/// Share of the attempts that break.
const BROKEN_SHARE: f64 = 0.002;
/// Share of the attempts that are refused in the outage.
const REFUSED_SHARE: f64 = 0.3;
const OUTAGE: std::ops::Range<u64> = START + 10_000..START + 15_000;

/// Requests per ms that all slots together can serve.
fn capacity() -> f64 {
    let mean = MEDIAN_SERVICE * (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
    (INSTANCES * SLOTS) as f64 / mean
}

fn exponential(random: &mut Rng, mean: f64) -> f64 {
    -(1.0 - random.f64()).ln() * mean
}

fn sample_service_time(random: &mut Rng) -> u64 {
    let (u, v) = (1.0 - random.f64(), random.f64());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    ((MEDIAN_SERVICE * (SERVICE_SIGMA * normal).exp()).round() as u64).max(1)
}

fn is_refused(random: &mut Rng, now: u64) -> bool {
    OUTAGE.contains(&now) && random.f64() < REFUSED_SHARE
}

/// What callers got, and what it took.
#[derive(Default)]
struct Outcome {
    submitted: u64,
    not_run: u64,
    /// Number of attempts, and of first attempts of a request.
    sends: (u64, u64),
    /// The same for the outage.
    outage: (u64, u64),
    /// Times from submission to answer, in ms.
    waits: Vec<u64>,
    /// Number of calls of the routers, and the run time of all of them in seconds.
    events: u64,
    router_seconds: f64,
}

impl Outcome {
    fn record_attempt(&mut self, now: u64, is_first: bool) {
        self.sends.0 += 1;
        self.sends.1 += u64::from(is_first);
        if OUTAGE.contains(&now) {
            self.outage.0 += 1;
            self.outage.1 += u64::from(is_first);
        }
    }

    fn print(&self, name: &str, load: f64) {
        let mut waits = Histogram::<u64>::new(3).expect("3 digits are valid");
        self.waits
            .iter()
            .for_each(|wait| waits.saturating_record(*wait));
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|part| waits.value_at_quantile(part));
        let ratio = |(sends, firsts): (u64, u64)| sends as f64 / firsts.max(1) as f64;
        let late = self.waits.iter().filter(|wait| **wait > DEADLINE).count() as u64;
        let in_time = self.waits.len() as u64 - late;
        let [asked, good] = [self.submitted, in_time].map(|count| count * 1_000 / DURATION);
        let not_run = self.not_run;
        print!("{name:<18} {load:>4.1} {asked:>8} {good:>7} {not_run:>8} {late:>7}");
        print!(" {p50:>5} {p99:>6} {p999:>6}");
        print!(" {:>7.3} {:>7.3}", ratio(self.sends), ratio(self.outage));
        println!(
            " {:>6.0}",
            self.router_seconds * 1e9 / self.events.max(1) as f64
        );
    }
}

/// Hosts and instances are given by index: instance and host in `Ended`, sender and receiver in
/// `Forwarded`, receiver in `PeerAnswered`.
enum Event {
    Arrival,
    Tick,
    Ended(usize, usize, DispatchId, Name, InstanceResult),
    Forwarded(usize, usize, DispatchId, UrgentForward),
    PeerAnswered(usize, DispatchId, UrgentAnswer),
}

/// Who waits for the answer to a ticket.
enum Requester {
    /// With the time of submission.
    Caller(u64),
    Peer(usize, DispatchId),
}

type Actions = Vec<UrgentAction>;

struct Cluster {
    random: Rng,
    now: u64,
    rate: f64,
    next_arrival: f64,
    routers: Vec<UrgentRouter>,
    /// By time and order of insertion.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    requesters: HashMap<Ticket, Requester>,
    /// Keys that run on each instance.
    running: Vec<Vec<Name>>,
    /// Keys that were sent to an instance before.
    sent: HashSet<Name>,
    outcome: Outcome,
}

fn host_name(host: usize) -> Name {
    format!("entry-{host}").into()
}

impl Cluster {
    fn new(seed: u64, load: f64, limits: &UrgentLimits) -> Self {
        let routers = (0..HOSTS).map(|host| UrgentRouter::new(host_name(host), 1, limits.clone()));
        let mut cluster = Cluster {
            random: Rng::with_seed(seed),
            now: 0,
            rate: load * capacity(),
            next_arrival: START as f64,
            routers: routers.collect(),
            events: BTreeMap::new(),
            sequence: 0,
            requesters: HashMap::new(),
            running: vec![Vec::new(); INSTANCES],
            sent: HashSet::new(),
            outcome: Outcome::default(),
        };
        let names: Vec<Name> = (0..HOSTS).map(host_name).collect();
        for router in &mut cluster.routers {
            router.set_hosts(Millis(0), &names, &mut Vec::new());
        }
        cluster.push(0, Event::Tick);
        cluster.push(START, Event::Arrival);
        cluster
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn push_message(&mut self, event: Event) {
        self.push(self.now + MESSAGE_DELAY, event);
    }

    fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= START + DURATION + 5_000 {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Tick => self.tick(),
            Event::Ended(instance, host, dispatch, key, result) => {
                self.running[instance].retain(|running| *running != key);
                self.with_router(host, |r, now, out| {
                    r.instance_answered(now, dispatch, result, out)
                });
            }
            Event::Forwarded(from, to, dispatch, forward) => {
                let ticket = self.ticket(Requester::Peer(from, dispatch));
                let end = self.now + forward.deadline.0;
                let mut request = request(ticket, forward.id, end);
                (request.hops, request.attach) = (forward.hops, forward.attach);
                (request.forwarded_by, request.epoch) = (Some(host_name(from)), forward.epoch);
                self.with_router(to, |router, now, out| router.submit(now, request, out));
            }
            Event::PeerAnswered(host, dispatch, answer) => {
                self.with_router(host, |r, now, out| {
                    r.peer_answered(now, dispatch, Some(answer), out)
                });
            }
        }
    }

    fn arrive(&mut self) {
        self.outcome.submitted += 1;
        let host = self.random.usize(..HOSTS);
        let ticket = self.ticket(Requester::Caller(self.now));
        let id = format!("r{}", ticket.0).into();
        let request = request(ticket, id, self.now + DEADLINE);
        self.with_router(host, |router, now, out| router.submit(now, request, out));
        self.next_arrival += exponential(&mut self.random, 1.0 / self.rate);
        if self.next_arrival < (START + DURATION) as f64 {
            self.push(self.next_arrival as u64, Event::Arrival);
        }
    }

    fn ticket(&mut self, requester: Requester) -> Ticket {
        self.sequence += 1;
        self.requesters.insert(Ticket(self.sequence), requester);
        Ticket(self.sequence)
    }

    fn tick(&mut self) {
        if self.now % HEARTBEAT_INTERVAL == 0 {
            self.exchange_loads();
        }
        for host in 0..HOSTS {
            if self.now % REPORT_INTERVAL == 0 {
                self.report(host);
            }
            self.with_router(host, |router, now, out| router.poll(now, out));
        }
        self.push(self.now + POLL_INTERVAL, Event::Tick);
    }

    fn report(&mut self, host: usize) {
        let owned = (0..INSTANCES).filter(|instance| instance % HOSTS == host);
        let owned = owned.map(|instance| OwnedInstance {
            name: format!("instance-{instance}").into(),
            service: "assembly".into(),
            address: "".into(),
            token: Token(1),
            slots: SLOTS as u32,
            connections: 64,
            running: self.running[instance].clone(),
            report_requested: Millis(self.now),
            leaving: false,
        });
        let owned = owned.collect();
        self.with_router(host, |router, now, out| {
            router.set_instances(now, owned, out)
        });
    }

    fn exchange_loads(&mut self) {
        let now = Millis(self.now);
        let mut loads = Vec::new();
        for (peer, router) in self.routers.iter().enumerate() {
            let own = router.loads(now).into_iter();
            loads.extend(own.map(|load| (host_name(peer), load)));
        }
        for (host, router) in self.routers.iter_mut().enumerate() {
            let peers = loads.iter().filter(|(peer, _)| *peer != host_name(host));
            router.set_peers(now, peers.cloned().collect());
        }
    }

    fn with_router<F: FnOnce(&mut UrgentRouter, Millis, &mut Actions)>(
        &mut self,
        host: usize,
        event: F,
    ) {
        let mut out = Vec::new();
        let started = Instant::now();
        event(&mut self.routers[host], Millis(self.now), &mut out);
        self.outcome.router_seconds += started.elapsed().as_secs_f64();
        self.outcome.events += 1;
        for action in out {
            self.carry_out(host, action);
        }
    }

    fn carry_out(&mut self, host: usize, action: UrgentAction) {
        match action {
            UrgentAction::Send {
                dispatch,
                instance,
                key,
                ..
            } => {
                (self.outcome).record_attempt(self.now, self.sent.insert(key.clone()));
                let instance = instance["instance-".len()..].parse().expect("our own name");
                self.start(host, instance, dispatch, key);
            }
            UrgentAction::Forward {
                dispatch,
                host: to,
                forward,
            } => {
                let to = to["entry-".len()..].parse().expect("our own name");
                self.push_message(Event::Forwarded(host, to, dispatch, forward));
            }
            UrgentAction::Answer { ticket, answer } => {
                match (self.requesters.remove(&ticket), answer.ran) {
                    (Some(Requester::Caller(at)), None) => self.outcome.waits.push(self.now - at),
                    (Some(Requester::Caller(_)), Some(Ran::NotRun)) => self.outcome.not_run += 1,
                    (Some(Requester::Peer(to, dispatch)), _) => {
                        self.push_message(Event::PeerAnswered(to, dispatch, answer));
                    }
                    _ => {}
                }
            }
        }
    }

    fn start(&mut self, host: usize, instance: usize, dispatch: DispatchId, key: Name) {
        if is_refused(&mut self.random, self.now) {
            let refused = InstanceResult::Refused;
            return self.push_message(Event::Ended(instance, host, dispatch, key, refused));
        }
        assert!(self.running[instance].len() < SLOTS, "a slot is used twice");
        self.running[instance].push(key.clone());
        let body = Bytes::new();
        let mut result = InstanceResult::Answer { status: 200, body };
        if self.random.f64() < BROKEN_SHARE {
            result = InstanceResult::Broken;
        }
        let end = self.now + sample_service_time(&mut self.random);
        self.push(end, Event::Ended(instance, host, dispatch, key, result));
    }
}

fn request(ticket: Ticket, id: Name, deadline: u64) -> UrgentRequest {
    UrgentRequest {
        ticket,
        id,
        customer: "vltava".into(),
        class: "proof".into(),
        service: "assembly".into(),
        idempotent: true,
        deadline: Millis(deadline),
        class_deadline: Millis(DEADLINE),
        hops: 0,
        forwarded_by: None,
        attach: false,
        epoch: MessageEpoch::default(),
        body: Bytes::new(),
    }
}

/// Baseline: first come, first served without admission control. One queue for all slots, which
/// gives it an advantage over queues per host.
fn run_fifo(seed: u64, load: f64) -> Outcome {
    let mut random = Rng::with_seed(seed);
    let mut outcome = Outcome::default();
    let mut queue: VecDeque<(u64, bool)> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut arrival = START as f64;
    for now in START..START + DURATION + 5_000 {
        while ends.peek().is_some_and(|Reverse((end, _))| *end <= now) {
            let at = ends.pop().map_or(now, |Reverse((_, at))| at);
            if random.f64() >= BROKEN_SHARE {
                outcome.waits.push(now - at);
            }
        }
        while arrival < (START + DURATION).min(now + 1) as f64 {
            outcome.submitted += 1;
            queue.push_back((now, true));
            arrival += exponential(&mut random, 1.0 / (load * capacity()));
        }
        while ends.len() < INSTANCES * SLOTS {
            let Some((at, is_first)) = queue.pop_front() else {
                break;
            };
            outcome.record_attempt(now, is_first);
            if is_refused(&mut random, now) {
                queue.push_back((at, false));
            } else {
                ends.push(Reverse((now + sample_service_time(&mut random), at)));
            }
        }
    }
    outcome
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.find_map(|arg| arg.parse().ok()).unwrap_or(1);
    println!("seed {seed}, {:.0} requests/s fit", capacity() * 1_000.0);
    print!("{:<18} load  asked/s  good/s  not run    late", "");
    println!("   p50    p99   p999   sends  outage  ns/ev");
    let limits = UrgentLimits::default();
    let mut unlimited = limits.clone();
    unlimited.initial_retries = 100_000_000;
    for load in [0.5, 1.0, 2.0, 5.0] {
        (Cluster::new(seed, load, &limits).run()).print("jayfork", load);
        let unbounded = Cluster::new(seed, load, &unlimited).run();
        unbounded.print("no retry budget", load);
        run_fifo(seed, load).print("fifo, no admission", load);
    }
}
