//! One data centre under overload, in core time.
//!
//! Three routers share 6 instances of 8 slots. Service times are log-normal; 0.2% of the attempts
//! break, and from 10 to 15 s every instance refuses 30% of them. Prints what callers get at 0.5,
//! 1, 2 and 5 times the capacity, beside two baselines: p50 to p999 in ms, attempts per request
//! (`sends`, and `outage` for that time) and ns of core time per event. The seed is the argument.

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
const TIME: u64 = 30_000;
/// Starts past the time in which new peers are asked about each id.
const START: u64 = 60_000;
const DEADLINE: u64 = 300;
const REPORT: u64 = 1_000;
const HEARTBEAT: u64 = 500;
const POLL: u64 = 10;
const LATENCY: u64 = 1;
const MEDIAN: f64 = 16.0;
const SIGMA: f64 = 0.8;
const BROKEN: f64 = 0.002;
const REFUSED: f64 = 0.3;
const OUTAGE: std::ops::Range<u64> = START + 10_000..START + 15_000;

/// Requests per ms that the slots can serve.
fn capacity() -> f64 {
    let mean = MEDIAN * (SIGMA * SIGMA / 2.0).exp();
    (INSTANCES * SLOTS) as f64 / mean
}

fn exponential(random: &mut Rng, mean: f64) -> f64 {
    -(1.0 - random.f64()).ln() * mean
}

fn service(random: &mut Rng) -> u64 {
    let (u, v) = (1.0 - random.f64(), random.f64());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    ((MEDIAN * (SIGMA * normal).exp()).round() as u64).max(1)
}

fn is_refused(random: &mut Rng, now: u64) -> bool {
    OUTAGE.contains(&now) && random.f64() < REFUSED
}

/// What callers got.
#[derive(Default)]
struct Outcome {
    submitted: u64,
    not_run: u64,
    /// Attempts, and first attempts of a request.
    sends: (u64, u64),
    /// The same in the outage.
    outage: (u64, u64),
    waits: Vec<u64>,
    events: u64,
    spent: f64,
}

impl Outcome {
    fn sent(&mut self, now: u64, is_first: bool) {
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
        let [asked, good] = [self.submitted, in_time].map(|count| count * 1_000 / TIME);
        let not_run = self.not_run;
        print!("{name:<18} {load:>4.1} {asked:>8} {good:>7} {not_run:>8} {late:>7}");
        print!(" {p50:>5} {p99:>6} {p999:>6}");
        print!(" {:>7.3} {:>7.3}", ratio(self.sends), ratio(self.outage));
        println!(" {:>6.0}", self.spent * 1e9 / self.events.max(1) as f64);
    }
}

/// Hosts and instances are indexes; `Ended` names the instance first.
enum Event {
    Arrival,
    Tick,
    Ended(usize, usize, DispatchId, Name, InstanceResult),
    Forwarded(usize, usize, DispatchId, UrgentForward),
    PeerAnswered(usize, DispatchId, UrgentAnswer),
}

enum Asker {
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
    /// By time and sequence.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    askers: HashMap<Ticket, Asker>,
    running: Vec<Vec<Name>>,
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
            askers: HashMap::new(),
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
        self.push(self.now + LATENCY, event);
    }

    fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= START + TIME + 5_000 {
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
                self.with(host, |r, now, out| {
                    r.instance_answered(now, dispatch, result, out)
                });
            }
            Event::Forwarded(from, to, dispatch, forward) => {
                let ticket = self.ticket(Asker::Peer(from, dispatch));
                let end = self.now + forward.deadline.0;
                let mut request = request(ticket, forward.id, end);
                (request.hops, request.attach) = (forward.hops, forward.attach);
                (request.forwarded_by, request.epoch) = (Some(host_name(from)), forward.epoch);
                self.with(to, |router, now, out| router.submit(now, request, out));
            }
            Event::PeerAnswered(host, dispatch, answer) => {
                self.with(host, |r, now, out| {
                    r.peer_answered(now, dispatch, Some(answer), out)
                });
            }
        }
    }

    fn arrive(&mut self) {
        self.outcome.submitted += 1;
        let host = self.random.usize(..HOSTS);
        let ticket = self.ticket(Asker::Caller(self.now));
        let id = format!("r{}", ticket.0).into();
        let request = request(ticket, id, self.now + DEADLINE);
        self.with(host, |router, now, out| router.submit(now, request, out));
        self.next_arrival += exponential(&mut self.random, 1.0 / self.rate);
        if self.next_arrival < (START + TIME) as f64 {
            self.push(self.next_arrival as u64, Event::Arrival);
        }
    }

    fn ticket(&mut self, asker: Asker) -> Ticket {
        self.sequence += 1;
        self.askers.insert(Ticket(self.sequence), asker);
        Ticket(self.sequence)
    }

    fn tick(&mut self) {
        if self.now % HEARTBEAT == 0 {
            self.exchange_loads();
        }
        for host in 0..HOSTS {
            if self.now % REPORT == 0 {
                self.report(host);
            }
            self.with(host, |router, now, out| router.poll(now, out));
        }
        self.push(self.now + POLL, Event::Tick);
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
        self.with(host, |router, now, out| {
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

    fn with<F: FnOnce(&mut UrgentRouter, Millis, &mut Actions)>(&mut self, host: usize, event: F) {
        let mut out = Vec::new();
        let started = Instant::now();
        event(&mut self.routers[host], Millis(self.now), &mut out);
        self.outcome.spent += started.elapsed().as_secs_f64();
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
                (self.outcome).sent(self.now, self.sent.insert(key.clone()));
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
                match (self.askers.remove(&ticket), answer.ran) {
                    (Some(Asker::Caller(at)), None) => self.outcome.waits.push(self.now - at),
                    (Some(Asker::Caller(_)), Some(Ran::NotRun)) => self.outcome.not_run += 1,
                    (Some(Asker::Peer(to, dispatch)), _) => {
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
        if self.random.f64() < BROKEN {
            result = InstanceResult::Broken;
        }
        let end = self.now + service(&mut self.random);
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

/// First come, first served, without admission: one queue for all slots, which favours it.
fn run_fifo(seed: u64, load: f64) -> Outcome {
    let mut random = Rng::with_seed(seed);
    let mut outcome = Outcome::default();
    let mut queue: VecDeque<(u64, bool)> = VecDeque::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut arrival = START as f64;
    for now in START..START + TIME + 5_000 {
        while ends.peek().is_some_and(|Reverse((end, _))| *end <= now) {
            let at = ends.pop().map_or(now, |Reverse((_, at))| at);
            if random.f64() >= BROKEN {
                outcome.waits.push(now - at);
            }
        }
        while arrival < (START + TIME).min(now + 1) as f64 {
            outcome.submitted += 1;
            queue.push_back((now, true));
            arrival += exponential(&mut random, 1.0 / (load * capacity()));
        }
        while ends.len() < INSTANCES * SLOTS {
            let Some((at, is_first)) = queue.pop_front() else {
                break;
            };
            outcome.sent(now, is_first);
            if is_refused(&mut random, now) {
                queue.push_back((at, false));
            } else {
                ends.push(Reverse((now + service(&mut random), at)));
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
    unlimited.retries = 100_000_000;
    for load in [0.5, 1.0, 2.0, 5.0] {
        (Cluster::new(seed, load, &limits).run()).print("jayfork", load);
        let unbounded = Cluster::new(seed, load, &unlimited).run();
        unbounded.print("no retry budget", load);
        run_fifo(seed, load).print("fifo, no admission", load);
    }
}
