//! A simulation that runs real nodes in simulated time against fakes of the platform.

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
use super::faults::Faults;

/// One-way delay of every message in ms.
pub const DELAY: u64 = 1;
/// Time between two polls of a node in ms.
const POLL_INTERVAL: u64 = 50;
/// Time between two reads of the streams in ms.
const READ_INTERVAL: u64 = 100;
/// Time between two reads of the host list in ms.
const LIST_INTERVAL: u64 = 1_000;
/// Time in ms after which a call fails whose receiver is dead or out of reach.
pub const TIMEOUT: u64 = 1_000;
/// Wall-clock time at simulated time zero, in ms since the Unix epoch.
pub const EPOCH: u64 = 1_800_000_000_000;

/// Index in `World::hosts`.
pub type NodeId = usize;

/// A message or timer that is due at a certain time.
///
/// `incarnation`, or the number beside a node, is that of the node's process at the time of
/// sending.
pub enum Delivery {
    Event(NodeId, u64, Box<Event>),
    Poll(NodeId, u64),
    Read(NodeId, u64),
    List(NodeId, u64),
    Append {
        node: NodeId,
        incarnation: u64,
        stream: Stream,
        sequence: u64,
        sent: u64,
        data: Vec<u8>,
    },
    Backend {
        node: NodeId,
        incarnation: u64,
        action: Box<Action>,
    },
    PeerCall {
        from: NodeId,
        incarnation: u64,
        to: NodeId,
        call: u64,
        request: Box<PeerRequest>,
        /// In ms.
        timeout: u64,
    },
}

/// An entry host and the process that runs on it.
pub struct Host {
    name: Name,
    data_centre: Name,
    /// `None` while the process is dead.
    pub node: Option<Node>,
    /// Counts the starts and ends of the process; messages to an earlier one are dropped.
    pub incarnation: u64,
    frozen: bool,
    /// Messages and timers that came due while the process was frozen.
    deferred: Vec<Delivery>,
    /// Next offset to read of each stream.
    offsets: HashMap<Stream, Offset>,
    /// Calls of peers that wait for an answer, by ticket: the caller, its incarnation and its call.
    pub calls: HashMap<u64, (NodeId, u64, u64)>,
}

pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub hosts: Vec<Host>,
    /// Time and data of each record of the log, by stream.
    pub streams: BTreeMap<Name, Vec<(u64, Vec<u8>)>>,
    pub workers: BTreeMap<Name, FakeWorker>,
    pub instances: BTreeMap<Name, FakeInstance>,
    /// The host list of the platform.
    list: Vec<HostEntry>,
    /// Due time and key in `deliveries`.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: HashMap<u64, Delivery>,
    /// Last key in `deliveries`.
    sequence: u64,
    /// Last ticket given to an API or peer call.
    pub ticket: u64,
    /// Time and content of the API's responses, by ticket.
    pub responses: HashMap<u64, (u64, ApiResponse)>,
    /// Descriptions of each time that a worker or an instance had more work than it has room for,
    /// or a task ran in two places.
    pub violations: Vec<String>,
}

impl World {
    /// Starts the given number of entry hosts in each data centre; `workers` and `instances` are
    /// the numbers of backends per data centre.
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
                    incarnation: 0,
                    frozen: false,
                    deferred: Vec::new(),
                    offsets: HashMap::new(),
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

    /// Starts a new process on the host, with no memory of earlier ones.
    pub fn start(&mut self, node: NodeId) {
        let peers = self.hosts.iter().enumerate().map(|(index, host)| Peer {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            region: "region".into(),
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
        });
        let peers = peers.collect();
        let host = &mut self.hosts[node];
        host.incarnation += 1;
        host.frozen = false;
        host.deferred.clear();
        host.offsets.clear();
        host.calls.clear();
        let settings = NodeSettings {
            identity: Identity {
                host: host.name.clone(),
                data_centre: host.data_centre.clone(),
                region: "region".into(),
                incarnation: self.now + host.incarnation,
                clock_origin: EPOCH,
            },
            peers,
            timing: Timing::default(),
            limits: Limits::default(),
            retention: Millis(86_400_000),
        };
        host.node = Some(Node::new(settings));
        let incarnation = host.incarnation;
        for (offset, delivery) in [
            Delivery::List(node, incarnation),
            Delivery::Read(node, incarnation),
            Delivery::Poll(node, incarnation),
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
        host.incarnation += 1;
        host.deferred.clear();
        for (_, (from, incarnation, call)) in std::mem::take(&mut host.calls) {
            self.fail_call(from, incarnation, call, TIMEOUT);
        }
    }

    pub fn freeze(&mut self, node: NodeId) {
        self.hosts[node].frozen = true;
    }

    /// Resumes a frozen process; everything that came due meanwhile is delivered now.
    pub fn resume(&mut self, node: NodeId) {
        self.hosts[node].frozen = false;
        for delivery in std::mem::take(&mut self.hosts[node].deferred) {
            self.push(self.now, delivery);
        }
    }

    pub fn is_up(&self, node: NodeId) -> bool {
        self.hosts[node].node.is_some() && !self.hosts[node].frozen
    }

    /// Calls the API of a host; returns the ticket under which `responses` will have the answer.
    pub fn call_api(&mut self, node: NodeId, method: ApiMethod, path: &str, body: &str) -> u64 {
        self.call_with_id(node, method, path, body, None)
    }

    /// As `call_api`, with a request id.
    pub fn call_with_id(
        &mut self,
        node: NodeId,
        method: ApiMethod,
        path: &str,
        body: &str,
        request_id: Option<Name>,
    ) -> u64 {
        self.ticket += 1;
        let ticket = self.ticket;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let call = ApiCall {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            request_id,
            body: Bytes::from(body.to_owned()),
        };
        let incarnation = self.hosts[node].incarnation;
        let event = Box::new(Event::ApiCalled { ticket, call });
        self.push(self.now + DELAY, Delivery::Event(node, incarnation, event));
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

    /// Runs until the condition holds and returns the time that it took; panics after `limit` ms.
    pub fn wait_for(&mut self, what: &str, limit: u64, condition: impl Fn(&World) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now - start < limit, "no {what} within {limit} ms");
            self.run_for(10);
        }
        self.now - start
    }

    /// Number of times that the task was started, over all workers.
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

    /// Records violations of capacity, of slots, and of tasks that run in two places.
    fn check(&mut self) {
        let mut places: BTreeMap<String, usize> = BTreeMap::new();
        for (name, worker) in &mut self.workers {
            worker.end_finished(self.now);
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
            instance.end_finished(self.now);
            if instance.max_running > FakeInstance::SLOTS as usize {
                self.violations.push(format!("{name} over its slots"));
            }
        }
    }

    /// Delivers a message or timer to its node, or defers it if the process is frozen.
    pub fn deliver(&mut self, delivery: Delivery) {
        let (node, incarnation) = match &delivery {
            Delivery::Event(node, incarnation, _)
            | Delivery::Poll(node, incarnation)
            | Delivery::Read(node, incarnation)
            | Delivery::List(node, incarnation) => (*node, *incarnation),
            Delivery::Append { .. } | Delivery::Backend { .. } | Delivery::PeerCall { .. } => {
                return self.transmit(delivery);
            }
        };
        let host = &mut self.hosts[node];
        if host.incarnation != incarnation || host.node.is_none() {
            return;
        }
        if host.frozen {
            return host.deferred.push(delivery);
        }
        match delivery {
            Delivery::Event(_, _, event) => self.handle(node, *event),
            Delivery::Poll(..) => {
                self.poll(node);
                self.push(self.now + POLL_INTERVAL, Delivery::Poll(node, incarnation));
            }
            Delivery::Read(..) => {
                self.read(node);
                self.push(self.now + READ_INTERVAL, Delivery::Read(node, incarnation));
            }
            Delivery::List(..) => {
                let event = Event::Hosts(Ok(HostList {
                    hosts: self.list.clone(),
                }));
                self.handle(node, event);
                self.push(self.now + LIST_INTERVAL, Delivery::List(node, incarnation));
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
                    .offsets
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
                self.hosts[node].offsets.insert(stream, next);
                Ok(reply)
            } else {
                Err(log_unreachable())
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

fn log_unreachable() -> Error {
    Error::NotSent {
        address: "log".into(),
        reason: "cut".into(),
    }
}

pub fn connection_lost() -> Error {
    Error::Broken {
        address: "fake".into(),
        reason: "no answer".into(),
    }
}
