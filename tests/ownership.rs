//! Ownership of the shard: the cores of several entry hosts with a simulated network and store.

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

/// Start of the simulated time, in milliseconds.
const START: u64 = 1_000_000;
/// Time between two polls of a host, in milliseconds.
const STEP: u64 = 5;
/// Time after `START` during which messages between hosts are slow, in milliseconds.
const SLOW_START_TIME: u64 = 2_000;
/// Processors of hosts, in thousandths of a core.
const HIGH_CAPACITY: u32 = 500;
const LOW_CAPACITY: u32 = 69;
const CONFIG: &str = r#"{"version":1,"routes":[],"services":[]}"#;

/// A keyed stream of the store.
#[derive(Default)]
struct Stream {
    /// The newest record of each key.
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
    /// Caller, called host, the caller's ID of the call, and the call.
    PeerCall(usize, usize, u64, PeerCall),
    /// Caller, its ID of the call, and the answer.
    PeerReply(usize, u64, Result<PeerReply, CallError>),
    Store(usize, StorePurpose, StoreCall),
    StoreAnswer(usize, StorePurpose, Result<StoreAnswer, CallError>),
}

struct World {
    now: u64,
    /// `None` for hosts that do not run.
    hosts: Vec<Option<Host>>,
    streams: HashMap<Partition, Stream>,
    /// Messages on their way, by time of delivery and an ID that keeps their order.
    messages: BTreeMap<(u64, u64), Message>,
    /// Caller and its ID of each open call between hosts, by the ticket given to the called host.
    callers: HashMap<u64, (usize, u64)>,
    /// One-way delay between each host and the store, in milliseconds.
    store_delays: Vec<u64>,
    next_id: u64,
    rng: fastrand::Rng,
    /// Claims of the shard that the store has accepted.
    claim_count: usize,
    /// Hosts whose calls the store refuses.
    refused_hosts: Vec<usize>,
}

impl World {
    /// Starts hosts within 0.3 s, each with its processor and its delay to the store.
    fn start(seed: u64, hosts: &[(u32, u64)]) -> Self {
        let mut world = World {
            now: START,
            hosts: hosts.iter().map(|_| None).collect(),
            streams: HashMap::new(),
            messages: BTreeMap::new(),
            callers: HashMap::new(),
            store_delays: hosts.iter().map(|(_, store_delay)| *store_delay).collect(),
            next_id: 0,
            rng: fastrand::Rng::with_seed(seed),
            claim_count: 0,
            refused_hosts: Vec::new(),
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

    /// Random one-way delay of a message between two hosts, in milliseconds.
    fn delay(&mut self) -> u64 {
        match self.now < START + SLOW_START_TIME {
            true => self.rng.u64(1..300),
            false => self.rng.u64(1..15),
        }
    }

    fn send(&mut self, after: u64, message: Message) {
        self.next_id += 1;
        self.messages
            .insert((self.now + after, self.next_id), message);
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
                    let after = self.store_delays[index];
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
                self.next_id += 1;
                let ticket = self.next_id;
                self.callers.insert(ticket, (caller, call));
                self.event(to, HostEvent::Peer(ticket, message));
            }
            Message::PeerReply(to, call, answer) => {
                self.event(to, HostEvent::PeerAnswer(call, answer));
            }
            Message::Store(from, purpose, call) => {
                let answer = match self.refused_hosts.contains(&from) {
                    true => Err(CallError::Refused),
                    false => Ok(self.serve(&call.request)),
                };
                let after = self.store_delays[from] + 4;
                self.send(after, Message::StoreAnswer(from, purpose, answer));
            }
            Message::StoreAnswer(to, purpose, answer) => {
                let took = Millis(2 * self.store_delays[to] + 4);
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
            StoreRequest::Append {
                partition,
                records,
                fence,
            } => {
                let stream = self.streams.entry(partition.clone()).or_default();
                let is_claim = fence.as_ref().is_some_and(|fence| {
                    let max_epoch = stream.fence.as_ref().map_or(0, |stored| stored.epoch);
                    fence.epoch > max_epoch
                });
                self.claim_count += usize::from(is_claim);
                stream.append(records, fence.as_ref())
            }
            StoreRequest::Read { partition, offset } => {
                let stream = self.streams.entry(partition.clone()).or_default();
                StoreAnswer::Records {
                    records: stream.log[*offset as usize..].to_vec(),
                    next: stream.log.len() as u64,
                }
            }
            StoreRequest::Newest { partition, .. } => {
                let stream = self.streams.entry(partition.clone()).or_default();
                StoreAnswer::Page(Page {
                    records: stream.newest.values().cloned().collect(),
                    has_more: false,
                    end: stream.log.len() as u64,
                })
            }
        }
    }

    /// Hosts that own the shard and whose claim is stored.
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

/// Three high-capacity hosts, then six low-capacity ones, two of them closest to the store.
fn mixed_hosts() -> Vec<(u32, u64)> {
    let high_capacity = [(HIGH_CAPACITY, 2), (HIGH_CAPACITY, 14), (HIGH_CAPACITY, 14)];
    let low_capacity = [1, 1, 2, 14, 14, 14].map(|store_delay| (LOW_CAPACITY, store_delay));
    high_capacity.into_iter().chain(low_capacity).collect()
}

/// Guards against a low-capacity host that claims the shard at a cold start, because only a few
/// other hosts have answered by then. Its processor would not keep up.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
    fifth = { 5 },
    sixth = { 6 },
)]
fn a_cold_start_ends_with_one_high_capacity_owner(seed: u64) {
    let mut world = World::start(seed, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert!(owners[0] < 3, "{owners:?}");
    let claim_count = world.claim_count;
    world.run(20_000);
    assert_eq!((world.owners(), world.claim_count), (owners, claim_count));
}

/// Guards against a shard that has no owner while only low-capacity hosts are left, and against one
/// that stays with a low-capacity host after a high-capacity one has returned.
#[test]
fn low_capacity_hosts_own_the_shard_until_a_high_capacity_one_returns() {
    let mut world = World::start(1, &mixed_hosts());
    world.run(3_000);
    for index in 0..3 {
        world.hosts[index] = None;
    }
    world.run(4_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert!(owners[0] >= 3);
    world.boot(1, HIGH_CAPACITY);
    world.run(4_000);
    assert_eq!(world.owners(), [1]);
}

/// Guards against a shard that stays without an owner after the owner's process was killed.
#[parameterized(
    even = { &[(100, 2); 6] },
    high_capacity_first = { &[
        (HIGH_CAPACITY, 2),
        (HIGH_CAPACITY, 14),
        (LOW_CAPACITY, 1),
        (LOW_CAPACITY, 2),
    ] },
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

/// Guards against an owner that gives up the shard while the store fails for all hosts. No host
/// could claim it, so leases would expire and accepted jobs would wait.
#[parameterized(
    short = { 1_200 },
    long = { 6_000 },
)]
fn the_owner_stays_while_the_store_refuses_all(outage: u64) {
    let mut world = World::start(3, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    world.refused_hosts = (0..world.hosts.len()).collect();
    for _ in 0..outage / 100 {
        world.run(100);
        assert_eq!(world.owners(), owners);
    }
    world.refused_hosts.clear();
    world.run(2_000);
    assert_eq!(world.owners(), owners);
}

/// Guards against an owner that keeps the shard while the store refuses only its calls. No job
/// could be accepted in that time.
#[test]
fn an_owner_that_the_store_refuses_hands_over() {
    let mut world = World::start(3, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    world.refused_hosts.clone_from(&owners);
    world.run(2_500);
    let successors = world.owners();
    assert_eq!(successors.len(), 1, "{successors:?}");
    assert_ne!(successors, owners);
}

/// State of a peer that last heard from the owner, a third host, `age` milliseconds ago.
fn peer_presence(age: u64) -> Presence {
    let record = |name: &str, index| HostRecord {
        name: name.into(),
        boot: 1,
        control: address(index),
        data_centre: "east".into(),
        region: "east".into(),
        processor: HIGH_CAPACITY,
    };
    Presence {
        host: record("peer", 1),
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

/// Age of the owner that the first host reports in its reply to a hello of `caller`.
fn reported_age(world: &mut World, caller: Presence) -> Option<u64> {
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

/// Guards against an owner that is gone but counts as alive, because slow hosts report it to each
/// other. They passed on its age without the time that the report was on its way, so the age did
/// not grow and no host claimed the shard for 8 s.
#[test]
fn the_reported_age_of_an_owner_includes_the_time_in_transit() {
    const DELAY: u64 = 300;
    const AGE: u64 = 400;
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2)]);
    let caller = Presence {
        owner: None,
        ..peer_presence(0)
    };
    assert_eq!(reported_age(&mut world, caller.clone()), None);
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
    world.now += DELAY;
    for call in calls {
        let reply = PeerReply::Hello {
            presence: Box::new(peer_presence(AGE)),
            config: None,
            hosts: Vec::new(),
        };
        world.event(0, HostEvent::PeerAnswer(call, Ok(reply)));
    }
    assert_eq!(reported_age(&mut world, caller), Some(AGE + DELAY));
}

/// Guards against the same fault through hellos that answer none, whose time in transit is unknown.
#[test]
fn an_unrequested_report_of_another_owner_is_ignored() {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2)]);
    assert_eq!(reported_age(&mut world, peer_presence(400)), None);
}
