//! Drives real nodes in core time against fakes of the platform.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use bytes::Bytes;
use jayfork::base::{Name, Offset, Size, TaskId};
use jayfork::connection::wire::{
    HostEntry, HostKind, HostList, HostState, LogRecord, PeerRequest, ReadReply,
};
use jayfork::connection::{ApiCall, ApiMethod, ApiResponse, Error};
use jayfork::process::node::{Action, Event, Node, NodeSettings, Stream};
use jayfork::process::settings::{Limits, Peer, Timing};
use jayfork::{base::Millis, process::node::Identity};

use super::backend::{FakeInstance, FakeWorker};

/// One-way delay of every message in ms.
pub const DELAY: u64 = 1;
const POLL: u64 = 50;
const READ: u64 = 100;
const LIST: u64 = 1_000;
/// Time after which a call without an answer fails.
pub const TIMEOUT: u64 = 1_000;
/// Wall clock at core time zero.
pub const EPOCH: u64 = 1_800_000_000_000;

pub type NodeId = usize;

pub enum Delivery {
    Event(NodeId, u64, Box<Event>),
    Poll(NodeId, u64),
    Read(NodeId, u64),
    List(NodeId, u64),
    Append {
        node: NodeId,
        life: u64,
        stream: Stream,
        sequence: u64,
        sent: u64,
        data: Vec<u8>,
    },
    Backend {
        node: NodeId,
        life: u64,
        action: Box<Action>,
    },
    PeerCall {
        from: NodeId,
        life: u64,
        to: NodeId,
        call: u64,
        request: Box<PeerRequest>,
    },
}

pub struct Host {
    name: Name,
    data_centre: Name,
    pub node: Option<Node>,
    /// Counts starts; messages of an earlier life are dropped.
    pub life: u64,
    frozen: bool,
    held: Vec<Delivery>,
    reads: HashMap<Stream, Offset>,
    /// Calls of peers that wait for an answer, by ticket.
    pub calls: HashMap<u64, (NodeId, u64, u64)>,
}

/// Faults that are switched on.
#[derive(Debug, Default)]
pub struct Faults {
    pub log_down: bool,
    /// Appends take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Hosts that can't reach the log.
    pub cut_from_log: Vec<NodeId>,
    /// Hosts that can't reach any other entry host.
    pub cut_from_peers: Vec<NodeId>,
}

pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub hosts: Vec<Host>,
    pub streams: BTreeMap<Name, Vec<(u64, Vec<u8>)>>,
    pub workers: BTreeMap<Name, FakeWorker>,
    pub instances: BTreeMap<Name, FakeInstance>,
    list: Vec<HostEntry>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: HashMap<u64, Delivery>,
    sequence: u64,
    pub ticket: u64,
    pub responses: HashMap<u64, (u64, ApiResponse)>,
    /// Moments at which a worker was seen beyond its capacity or a task in two places.
    pub violations: Vec<String>,
}

impl World {
    /// Entry hosts named after their data centre, each data centre with its workers and instances.
    pub fn new(data_centres: &[(&str, usize)], workers: usize, instances: usize) -> Self {
        let mut world = World {
            now: 0,
            faults: Faults::default(),
            hosts: Vec::new(),
            streams: BTreeMap::new(),
            workers: BTreeMap::new(),
            instances: BTreeMap::new(),
            list: Vec::new(),
            queue: BinaryHeap::new(),
            deliveries: HashMap::new(),
            sequence: 0,
            ticket: 1_000_000,
            responses: HashMap::new(),
            violations: Vec::new(),
        };
        for (data_centre, count) in data_centres {
            for index in 1..=*count {
                world.hosts.push(Host {
                    name: format!("{data_centre}-{index}").into(),
                    data_centre: (*data_centre).into(),
                    node: None,
                    life: 0,
                    frozen: false,
                    held: Vec::new(),
                    reads: HashMap::new(),
                    calls: HashMap::new(),
                });
            }
            for index in 0..workers {
                let name: Name = format!("{data_centre}-w{index}").into();
                world.add_backend(data_centre, &name, HostKind::Worker);
                world
                    .workers
                    .insert(name, FakeWorker::new(Size::new(16_000, 61_440, 0)));
            }
            for index in 0..instances {
                let name: Name = format!("{data_centre}-i{index}").into();
                world.add_backend(data_centre, &name, HostKind::Instance);
                world.instances.insert(name, FakeInstance::default());
            }
        }
        for node in 0..world.hosts.len() {
            world.start(node);
        }
        world
    }

    fn add_backend(&mut self, data_centre: &str, name: &Name, kind: HostKind) {
        self.list.push(HostEntry {
            name: name.clone(),
            address: name.clone(),
            data_centre: data_centre.into(),
            rack: None,
            kind,
            service: (kind == HostKind::Instance).then(|| "service".into()),
            worker: None,
            state: HostState::Live,
        });
    }

    /// Starts a process with empty memory under the host's name and address.
    pub fn start(&mut self, node: NodeId) {
        let peers = self.hosts.iter().enumerate().map(|(index, host)| Peer {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            region: "region".into(),
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
        });
        let peers = peers.collect();
        let host = &mut self.hosts[node];
        host.life += 1;
        host.frozen = false;
        host.held.clear();
        host.reads.clear();
        host.calls.clear();
        let settings = NodeSettings {
            identity: Identity {
                host: host.name.clone(),
                data_centre: host.data_centre.clone(),
                region: "region".into(),
                incarnation: self.now + host.life,
                clock_origin: EPOCH,
            },
            peers,
            timing: Timing::default(),
            limits: Limits::default(),
            retention: Millis(86_400_000),
        };
        host.node = Some(Node::new(settings));
        let life = host.life;
        for (offset, delivery) in [
            Delivery::List(node, life),
            Delivery::Read(node, life),
            Delivery::Poll(node, life),
        ]
        .into_iter()
        .enumerate()
        {
            self.push(self.now + offset as u64, delivery);
        }
    }

    pub fn kill(&mut self, node: NodeId) {
        let host = &mut self.hosts[node];
        host.node = None;
        host.life += 1;
        host.held.clear();
    }

    pub fn freeze(&mut self, node: NodeId) {
        self.hosts[node].frozen = true;
    }

    /// Lets a frozen process go on; everything that arrived meanwhile arrives now.
    pub fn resume(&mut self, node: NodeId) {
        self.hosts[node].frozen = false;
        for delivery in std::mem::take(&mut self.hosts[node].held) {
            self.push(self.now, delivery);
        }
    }

    pub fn is_up(&self, node: NodeId) -> bool {
        self.hosts[node].node.is_some() && !self.hosts[node].frozen
    }

    /// Sends a call to the API of a host; the answer appears in `responses`.
    pub fn call(&mut self, node: NodeId, method: ApiMethod, path: &str, body: &str) -> u64 {
        self.ticket += 1;
        let ticket = self.ticket;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let call = ApiCall {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            request_id: None,
            body: Bytes::from(body.to_owned()),
        };
        let life = self.hosts[node].life;
        let event = Box::new(Event::ApiCalled { ticket, call });
        self.push(self.now + DELAY, Delivery::Event(node, life, event));
        ticket
    }

    pub fn response(&self, ticket: u64) -> Option<&ApiResponse> {
        self.responses.get(&ticket).map(|(_, response)| response)
    }

    pub fn run_for(&mut self, time: u64) {
        self.run_until(self.now + time);
    }

    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(delivery) = self.deliveries.remove(&id) {
                self.deliver(delivery);
            }
        }
        self.now = until;
        self.check();
    }

    /// Runs until the condition holds; panics after `limit` ms.
    pub fn run_to(&mut self, what: &str, limit: u64, condition: impl Fn(&World) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now - start < limit, "no {what} within {limit} ms");
            self.run_for(10);
        }
        self.now - start
    }

    /// Starts of a task over all workers.
    pub fn starts(&self, task: &TaskId) -> usize {
        let id = task.to_string();
        let starts = self.workers.values().flat_map(|worker| &worker.starts);
        starts.filter(|(started, ..)| *started == id).count()
    }

    pub fn push(&mut self, at: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    fn check(&mut self) {
        let mut places: BTreeMap<String, usize> = BTreeMap::new();
        for (name, worker) in &mut self.workers {
            worker.settle(self.now);
            if !worker.used().fits(&worker.capacity) {
                self.violations
                    .push(format!("{name} over capacity at {}", self.now));
            }
            for task in worker.running() {
                *places.entry(task.clone()).or_default() += 1;
            }
        }
        for (task, count) in places.iter().filter(|(_, count)| **count > 1) {
            self.violations
                .push(format!("{task} in {count} places at {}", self.now));
        }
        for (name, instance) in &mut self.instances {
            instance.settle(self.now);
            if instance.peak > FakeInstance::SLOTS as usize {
                self.violations.push(format!("{name} over its slots"));
            }
        }
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        let (node, life) = match &delivery {
            Delivery::Event(node, life, _)
            | Delivery::Poll(node, life)
            | Delivery::Read(node, life)
            | Delivery::List(node, life) => (*node, *life),
            Delivery::Append { .. } | Delivery::Backend { .. } | Delivery::PeerCall { .. } => {
                return self.carry(delivery);
            }
        };
        let host = &mut self.hosts[node];
        if host.life != life || host.node.is_none() {
            return;
        }
        if host.frozen {
            return host.held.push(delivery);
        }
        match delivery {
            Delivery::Event(_, _, event) => self.handle(node, *event),
            Delivery::Poll(..) => {
                self.poll(node);
                self.push(self.now + POLL, Delivery::Poll(node, life));
            }
            Delivery::Read(..) => {
                self.read(node);
                self.push(self.now + READ, Delivery::Read(node, life));
            }
            Delivery::List(..) => {
                let event = Event::Hosts(Ok(HostList {
                    hosts: self.list.clone(),
                }));
                self.handle(node, event);
                self.push(self.now + LIST, Delivery::List(node, life));
            }
            _ => {}
        }
    }

    fn handle(&mut self, node: NodeId, event: Event) {
        let mut out = Vec::new();
        let now = Millis(self.now);
        if let Some(core) = &mut self.hosts[node].node {
            core.handle(now, event, &mut out);
            core.poll(now, &mut out);
        }
        self.perform(node, out);
    }

    fn poll(&mut self, node: NodeId) {
        let mut out = Vec::new();
        let now = Millis(self.now);
        if let Some(core) = &mut self.hosts[node].node {
            core.poll(now, &mut out);
        }
        self.perform(node, out);
    }

    pub fn reaches_log(&self, node: NodeId) -> bool {
        !self.faults.log_down && !self.faults.cut_from_log.contains(&node)
    }

    pub fn stream_name(&self, node: NodeId, stream: Stream) -> Name {
        match stream {
            Stream::Contracts => "contracts".into(),
            Stream::Tasks => format!("tasks.{}", self.hosts[node].data_centre).into(),
        }
    }

    fn read(&mut self, node: NodeId) {
        for stream in [Stream::Contracts, Stream::Tasks] {
            let reply = if self.reaches_log(node) {
                let from = self.hosts[node]
                    .reads
                    .get(&stream)
                    .copied()
                    .unwrap_or_default();
                let records = self
                    .streams
                    .entry(self.stream_name(node, stream))
                    .or_default();
                let next = Offset(records.len() as u64);
                let records = records.iter().enumerate().skip(from.0 as usize);
                let records = records.map(|(offset, (time, data))| LogRecord {
                    offset: Offset(offset as u64),
                    time: *time,
                    data: data.clone(),
                });
                let reply = ReadReply {
                    first: Offset(0),
                    next,
                    records: records.collect(),
                };
                self.hosts[node].reads.insert(stream, next);
                Ok(reply)
            } else {
                Err(unreachable_host())
            };
            let sent = Millis(self.now);
            self.handle(
                node,
                Event::Read {
                    stream,
                    sent,
                    reply,
                },
            );
        }
    }
}

fn unreachable_host() -> Error {
    Error::NotSent {
        address: "log".into(),
        reason: "cut".into(),
    }
}

pub fn broken() -> Error {
    Error::Broken {
        address: "fake".into(),
        reason: "no answer".into(),
    }
}
