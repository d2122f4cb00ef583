//! Who owns the shard: several cores of entry hosts with a model of the store, no network.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use jayfork::base::Millis;
use jayfork::connection::{
    CallError, Fence, KeyedRecord, Page, Partition, StoreAnswer, StoreCall, StoreRequest,
};
use jayfork::platform::{CONFIG_KEY, CONFIG_STREAM};
use jayfork::process::host::{
    Host, HostAction, HostEvent, HostRecord, HostSettings, KnownOwner, PeerCall, PeerReply,
    Presence, StorePurpose,
};
use jayfork::process::shard::{Now, ShardSettings};
use yare::parameterized;

const START: u64 = 1_000_000;
const STEP: u64 = 5;
/// Processes that have just started answer slowly for so long.
const SLOW_TIME: u64 = 2_000;
const STRONG: u32 = 500;
const WEAK: u32 = 69;
const CONFIG: &str = r#"{"version":1,"routes":[],"services":[]}"#;

#[derive(Default)]
struct Stream {
    newest: BTreeMap<String, KeyedRecord>,
    log: Vec<KeyedRecord>,
    fence: Option<Fence>,
}

impl Stream {
    fn append(&mut self, records: &[KeyedRecord], fence: Option<&Fence>) -> StoreAnswer {
        if let (Some(new), Some(old)) = (fence, &self.fence) {
            if new.epoch < old.epoch {
                return StoreAnswer::Fenced;
            }
        }
        if fence.is_some() {
            self.fence = fence.cloned();
        }
        for record in records {
            self.newest.insert(record.key.clone(), record.clone());
            self.log.push(record.clone());
        }
        StoreAnswer::Appended
    }
}

enum Message {
    PeerCall(usize, usize, u64, PeerCall),
    PeerReply(usize, u64, Result<PeerReply, CallError>),
    Store(usize, StorePurpose, StoreCall),
    StoreAnswer(usize, StorePurpose, Result<StoreAnswer, CallError>),
}

struct World {
    now: u64,
    hosts: Vec<Option<Host>>,
    streams: HashMap<Partition, Stream>,
    messages: BTreeMap<(u64, u64), Message>,
    /// Callers of peers by the ticket that the called host knows.
    callers: HashMap<u64, (usize, u64)>,
    /// Milliseconds from each host to the store.
    distances: Vec<u64>,
    serial: u64,
    rng: fastrand::Rng,
    claims: usize,
    /// Hosts that the store refuses.
    refused: Vec<usize>,
}

impl World {
    /// Starts hosts within 0.3 s of each other, each with its processor and its way to the store.
    fn start(seed: u64, hosts: &[(u32, u64)]) -> Self {
        let mut world = World {
            now: START,
            hosts: hosts.iter().map(|_| None).collect(),
            streams: HashMap::new(),
            messages: BTreeMap::new(),
            callers: HashMap::new(),
            distances: hosts.iter().map(|(_, distance)| *distance).collect(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            claims: 0,
            refused: Vec::new(),
        };
        let config = KeyedRecord {
            key: CONFIG_KEY.to_owned(),
            value: CONFIG.into(),
        };
        world.stream(CONFIG_STREAM).append(&[config], None);
        for (index, (processor, _)) in hosts.iter().enumerate() {
            world.boot(index, *processor);
            let pause = world.rng.u64(0..300 / hosts.len() as u64);
            world.run(pause);
        }
        world
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        let partition = Partition {
            stream: name.into(),
            part: 0,
        };
        self.streams.entry(partition).or_default()
    }

    fn boot(&mut self, index: usize, processor: u32) {
        let settings = HostSettings {
            record: HostRecord {
                name: format!("host-{index}").into(),
                boot: self.rng.u64(..),
                control: address(index),
                data_centre: "east".into(),
                region: "east".into(),
                processor,
            },
            seeds: (0..3).map(address).collect(),
            shard: ShardSettings {
                lease: Millis(6_000),
                stop_time: Millis(400),
                status_keep: Millis(120_000),
            },
        };
        self.hosts[index] = Some(Host::new(settings, self.time()));
    }

    fn time(&self) -> Now {
        Now {
            steady: Millis(self.now),
            wall: self.now,
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            for index in 0..self.hosts.len() {
                let time = self.time();
                let mut out = Vec::new();
                if let Some(host) = &mut self.hosts[index] {
                    host.poll(time, &mut out);
                }
                self.perform(index, out);
            }
        }
    }

    fn event(&mut self, index: usize, event: HostEvent) {
        let time = self.time();
        let mut out = Vec::new();
        if let Some(host) = &mut self.hosts[index] {
            host.handle(time, event, &mut out);
        }
        self.perform(index, out);
    }

    /// Milliseconds of a message between two hosts.
    fn delay(&mut self) -> u64 {
        match self.now < START + SLOW_TIME {
            true => self.rng.u64(1..300),
            false => self.rng.u64(1..15),
        }
    }

    fn send(&mut self, after: u64, message: Message) {
        self.serial += 1;
        self.messages
            .insert((self.now + after, self.serial), message);
    }

    fn perform(&mut self, index: usize, actions: Vec<HostAction>) {
        for action in actions {
            match action {
                HostAction::PeerCall {
                    call,
                    address,
                    message,
                    timeout,
                } => {
                    let to = usize::from(address.port()) - 1;
                    let after = self.delay();
                    match self.hosts.get(to).is_some_and(Option::is_some) {
                        true => self.send(after, Message::PeerCall(index, to, call, message)),
                        false => {
                            let answer = Err(CallError::NoAnswer);
                            self.send(timeout.0, Message::PeerReply(index, call, answer));
                        }
                    }
                }
                HostAction::PeerReply(ticket, reply) => {
                    if let Some((caller, call)) = self.callers.remove(&ticket) {
                        let after = self.delay();
                        self.send(after, Message::PeerReply(caller, call, Ok(reply)));
                    }
                }
                HostAction::Store(purpose, call) => {
                    let after = self.distances[index];
                    self.send(after, Message::Store(index, purpose, call));
                }
                HostAction::Exit => self.hosts[index] = None,
                HostAction::Worker { .. }
                | HostAction::Answer(..)
                | HostAction::Ready(_)
                | HostAction::Drain => {}
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::PeerCall(caller, to, call, message) => {
                self.serial += 1;
                let ticket = self.serial;
                self.callers.insert(ticket, (caller, call));
                self.event(to, HostEvent::Peer(ticket, message));
            }
            Message::PeerReply(to, call, answer) => {
                self.event(to, HostEvent::PeerAnswer(call, answer));
            }
            Message::Store(from, purpose, call) => {
                let answer = match self.refused.contains(&from) {
                    true => Err(CallError::Refused),
                    false => Ok(self.serve(&call.request)),
                };
                let after = self.distances[from] + 4;
                self.send(after, Message::StoreAnswer(from, purpose, answer));
            }
            Message::StoreAnswer(to, purpose, answer) => {
                let took = Millis(2 * self.distances[to] + 4);
                let event = HostEvent::Store {
                    purpose,
                    answer,
                    took,
                };
                self.event(to, event);
            }
        }
    }

    fn serve(&mut self, request: &StoreRequest) -> StoreAnswer {
        match request {
            StoreRequest::Append { to, records, fence } => {
                let stream = self.streams.entry(to.clone()).or_default();
                let is_newer = fence.as_ref().is_some_and(|fence| {
                    let seen = stream.fence.as_ref().map_or(0, |seen| seen.epoch);
                    fence.epoch > seen
                });
                self.claims += usize::from(is_newer);
                stream.append(records, fence.as_ref())
            }
            StoreRequest::Read { from, offset } => {
                let stream = self.streams.entry(from.clone()).or_default();
                StoreAnswer::Records {
                    records: stream.log[*offset as usize..].to_vec(),
                    next: stream.log.len() as u64,
                }
            }
            StoreRequest::Newest { of, .. } => {
                let stream = self.streams.entry(of.clone()).or_default();
                StoreAnswer::Page(Page {
                    records: stream.newest.values().cloned().collect(),
                    has_more: false,
                    end: stream.log.len() as u64,
                })
            }
        }
    }

    /// Hosts that own the shard.
    fn owners(&self) -> Vec<usize> {
        let is_owner = |host: &Option<Host>| {
            let shard = host.as_ref().and_then(Host::shard);
            shard.is_some_and(jayfork::process::shard::Shard::is_claimed)
        };
        (0..self.hosts.len())
            .filter(|index| is_owner(&self.hosts[*index]))
            .collect()
    }
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, 1], index as u16 + 1).into()
}

/// Strong hosts, then weak ones, two of which stand beside the store.
fn uneven() -> Vec<(u32, u64)> {
    let strong = [(STRONG, 2), (STRONG, 14), (STRONG, 14)];
    let weak = [1, 1, 2, 14, 14, 14].map(|distance| (WEAK, distance));
    strong.into_iter().chain(weak).collect()
}

/// Guards against a weak host that claims the shard at a cold start, since it has heard only a few
/// others by then; its processor would run behind.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
    fifth = { 5 },
    sixth = { 6 },
)]
fn a_cold_start_ends_with_one_strong_owner(seed: u64) {
    let mut world = World::start(seed, &uneven());
    world.run(4_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert!(owners[0] < 3, "{owners:?}");
    let claims = world.claims;
    world.run(20_000);
    assert_eq!((world.owners(), world.claims), (owners, claims));
}

/// Guards against a shard without an owner while only weak hosts are left, and against one that stays
/// there once a strong host is back.
#[test]
fn weak_hosts_serve_until_a_strong_one_is_back() {
    let mut world = World::start(1, &uneven());
    world.run(3_000);
    for strong in 0..3 {
        world.hosts[strong] = None;
    }
    world.run(4_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert!(owners[0] >= 3);
    world.boot(1, STRONG);
    world.run(4_000);
    assert_eq!(world.owners(), [1]);
}

/// Guards against an owner that stays gone when its process is killed.
#[parameterized(
    even = { &[(100, 2); 6] },
    strong_first = { &[(STRONG, 2), (STRONG, 14), (WEAK, 1), (WEAK, 2)] },
)]
fn a_killed_owner_is_replaced(hosts: &[(u32, u64)]) {
    let mut world = World::start(2, hosts);
    world.run(4_000);
    let first = world.owners();
    assert_eq!(first.len(), 1, "{first:?}");
    world.hosts[first[0]] = None;
    world.run(2_500);
    let second = world.owners();
    assert_eq!(second.len(), 1, "{second:?}");
    assert_ne!(first, second);
}

/// Guards against an owner that gives the shard away in an outage of the store for all: nobody could
/// claim it, so leases would run out and accepted work would wait.
#[parameterized(
    short = { 1_200 },
    long = { 6_000 },
)]
fn the_owner_stays_while_the_store_refuses_all(outage: u64) {
    let mut world = World::start(3, &uneven());
    world.run(4_000);
    let owners = world.owners();
    world.refused = (0..world.hosts.len()).collect();
    for _ in 0..outage / 100 {
        world.run(100);
        assert_eq!(world.owners(), owners);
    }
    world.refused.clear();
    world.run(2_000);
    assert_eq!(world.owners(), owners);
}

/// Guards against an owner that keeps the shard while the store refuses it alone: nothing could be
/// accepted meanwhile.
#[test]
fn an_owner_that_the_store_refuses_hands_over() {
    let mut world = World::start(3, &uneven());
    world.run(4_000);
    let owners = world.owners();
    world.refused.clone_from(&owners);
    world.run(2_500);
    let heirs = world.owners();
    assert_eq!(heirs.len(), 1, "{heirs:?}");
    assert_ne!(heirs, owners);
}

fn rumour(age: u64) -> Presence {
    let record = |name: &str, index| HostRecord {
        name: name.into(),
        boot: 1,
        control: address(index),
        data_centre: "east".into(),
        region: "east".into(),
        processor: STRONG,
    };
    Presence {
        host: record("teller", 1),
        config: 1,
        owner: Some(KnownOwner {
            host: "owner".into(),
            boot: 1,
            epoch: 1 << 16,
            age,
        }),
        store_age: None,
        store_time: 4,
        is_stopping: false,
    }
}

/// Age of the owner that the first host tells a caller.
fn told_age(world: &mut World, caller: Presence) -> Option<u64> {
    let time = world.time();
    let mut out = Vec::new();
    let call = PeerCall::Hello {
        presence: caller,
        config: None,
    };
    let host = world.hosts[0].as_mut().expect("a host");
    host.handle(time, HostEvent::Peer(1, call), &mut out);
    out.into_iter().find_map(|action| match action {
        HostAction::PeerReply(1, PeerReply::Hello { presence, .. }) => {
            presence.owner.map(|owner| owner.age)
        }
        _ => None,
    })
}

/// Guards against an owner that lives on in what slow hosts tell each other: each told it as young as
/// it was when the answer was written, so its age never grew, and for eight seconds nobody claimed.
#[test]
fn the_age_of_an_owner_grows_on_the_way() {
    const WAY: u64 = 300;
    const AGE: u64 = 400;
    let mut world = World::start(1, &[(STRONG, 2)]);
    let seed = Presence {
        owner: None,
        ..rumour(0)
    };
    assert_eq!(told_age(&mut world, seed.clone()), None);
    let mut calls: Vec<u64> = Vec::new();
    while calls.is_empty() {
        world.now += STEP;
        let time = world.time();
        let mut out = Vec::new();
        let host = world.hosts[0].as_mut().expect("a host");
        host.poll(time, &mut out);
        calls.extend(out.iter().filter_map(|action| match action {
            HostAction::PeerCall {
                call, address: to, ..
            } if *to == address(1) => Some(*call),
            _ => None,
        }));
    }
    world.now += WAY;
    for call in calls {
        let reply = PeerReply::Hello {
            presence: Box::new(rumour(AGE)),
            config: None,
            hosts: Vec::new(),
        };
        world.event(0, HostEvent::PeerAnswer(call, Ok(reply)));
    }
    assert_eq!(told_age(&mut world, seed), Some(AGE + WAY));
}

/// Guards against the same through calls that come unasked, whose way is not known.
#[test]
fn what_others_heard_of_an_owner_counts_only_when_asked_for() {
    let mut world = World::start(1, &[(STRONG, 2)]);
    assert_eq!(told_age(&mut world, rumour(400)), None);
}
