//! The core of an entry host. It has no I/O and no clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::claim::Claim;
use super::forward::Forward;
use super::message::{HostRecord, OwnerSeen, PeerCall, PeerReply, Presence};
use super::streams::Streams;
use crate::base::{Millis, Name};
use crate::connection::{
    CallError, FrontReply, FrontRequest, StoreAnswer, StoreCall, WorkerAnswer, WorkerCall,
};
use crate::process::shard::{
    Now, Shard, ShardAction, ShardEvent, ShardSettings, StoreTag, WorkerTag,
};
use crate::version::QueueTable;

/// Time between two exchanges with the owner, in milliseconds.
const OWNER_HELLO: Millis = Millis(400);
/// Time between two exchanges with one of the other hosts in turn, in milliseconds.
const PEER_HELLO: Millis = Millis(900);
/// Pause before the owner is asked again after a failed exchange, in milliseconds.
const HURRY_HELLO: Millis = Millis(100);
/// Longest time for an exchange, in milliseconds.
const HELLO_TIME: Millis = Millis(600);
/// A host that has not heard the owner for longer takes itself out of rotation, in milliseconds.
const READY_AGE: Millis = Millis(2_500);
/// Shortest time from SIGTERM to the exit, in milliseconds: the balancer sends new connections
/// until it has missed two answers, a second apart.
const STOP_TIME: Millis = Millis(3_200);
/// Time from SIGTERM after which requests that still wait for an owner are answered, in
/// milliseconds; the platform would cut them off unanswered.
const ANSWER_LIMIT: Millis = Millis(4_600);
/// Longest time from SIGTERM to the exit, in milliseconds; the platform kills after the grace time.
const STOP_LIMIT: Millis = Millis(5_200);

#[derive(Debug, Clone)]
pub struct HostSettings {
    pub record: HostRecord,
    pub seeds: Vec<SocketAddr>,
    pub shard: ShardSettings,
}

/// What a call to the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreUse {
    /// A call of the shard with this epoch.
    Shard {
        epoch: u64,
        tag: StoreTag,
    },
    Config,
    Hosts,
    Registry {
        epoch: u64,
    },
    Register,
    /// Tells hosts that start later about the owner.
    Announce,
    /// Reads the journal's end to see whether its owner lives.
    Journal,
}

#[derive(Debug)]
pub enum HostEvent {
    Client(u64, FrontRequest),
    Peer(u64, PeerCall),
    PeerAnswer(u64, Result<PeerReply, CallError>),
    Store {
        purpose: StoreUse,
        answer: Result<StoreAnswer, CallError>,
        /// How long the call took.
        took: Millis,
    },
    Worker {
        epoch: u64,
        tag: WorkerTag,
        answer: Result<WorkerAnswer, CallError>,
    },
    Terminate,
}

#[derive(Debug)]
pub enum HostAction {
    Answer(u64, FrontReply),
    PeerReply(u64, PeerReply),
    PeerCall {
        call: u64,
        address: SocketAddr,
        message: PeerCall,
        timeout: Millis,
    },
    Store(StoreUse, StoreCall),
    Worker {
        epoch: u64,
        tag: WorkerTag,
        call: WorkerCall,
    },
    Ready(bool),
    /// Ends the connections of clients after their next answers.
    Drain,
    /// Ends the process once no request of a client is open.
    Exit,
}

/// Who waits for an answer of the shard.
#[derive(Debug, Clone, Copy)]
pub(super) enum Origin {
    Client(u64),
    Peer(u64),
}

/// What a call to a peer is for.
#[derive(Debug, Clone)]
pub(super) enum PeerUse {
    Hello {
        to: SocketAddr,
        is_owner: bool,
        sent: Millis,
    },
    Forward {
        ticket: u64,
        sent: Millis,
    },
    TakeOver {
        epoch: u64,
    },
}

/// What is known of another host.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub record: HostRecord,
    pub heard: Option<Millis>,
    pub presence: Option<Presence>,
}

impl Peer {
    /// How long ago the store answered the peer, as of now.
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        let age = self.presence.as_ref()?.store_age?;
        Some(now.since(self.heard?) + Millis(age))
    }

    /// When the store last answered the peer, on this host's clock.
    pub fn store_heard(&self, now: Millis) -> Option<Millis> {
        Some(now.since(self.store_age(now)?))
    }
}

/// The owner as this host knows it.
#[derive(Debug, Clone)]
pub(super) struct Owner {
    pub host: Name,
    pub boot: u64,
    pub epoch: u64,
    /// When the owner itself was last heard.
    pub heard: Option<Millis>,
    /// Exchanges in a row that failed.
    pub misses: u32,
}

pub struct Host {
    pub(super) settings: HostSettings,
    pub(super) config: Arc<QueueTable>,
    pub(super) peers: HashMap<Name, Peer>,
    pub(super) owner: Option<Owner>,
    pub(super) shard: Option<Shard>,
    pub(super) streams: Streams,
    pub(super) claim: Claim,
    pub(super) forwards: HashMap<u64, Forward>,
    pub(super) origins: HashMap<u64, Origin>,
    pub(super) calls: HashMap<u64, PeerUse>,
    pub(super) next_id: u64,
    pub(super) store_heard: Option<Millis>,
    pub(super) store_time: Millis,
    pub(super) started: Millis,
    owner_hello: Millis,
    peer_hello: Millis,
    turn: usize,
    is_ready: bool,
    pub(super) stopping: Option<Millis>,
}

impl Host {
    pub fn new(settings: HostSettings, now: Now) -> Self {
        Host {
            settings,
            config: Arc::default(),
            peers: HashMap::new(),
            owner: None,
            shard: None,
            streams: Streams::new(now.steady),
            claim: Claim::default(),
            forwards: HashMap::new(),
            origins: HashMap::new(),
            calls: HashMap::new(),
            next_id: 0,
            store_heard: None,
            store_time: Millis(1_000),
            started: now.steady,
            owner_hello: now.steady,
            peer_hello: now.steady,
            turn: 0,
            is_ready: false,
            stopping: None,
        }
    }

    pub fn handle(&mut self, now: Now, event: HostEvent, out: &mut Vec<HostAction>) {
        match event {
            HostEvent::Client(ticket, request) => self.client(now, ticket, &request, out),
            HostEvent::Peer(ticket, call) => self.peer_call(now, ticket, call, out),
            HostEvent::PeerAnswer(call, answer) => self.peer_answer(now, call, answer, out),
            HostEvent::Store {
                purpose,
                answer,
                took,
            } => self.store_answer(now, purpose, answer, took, out),
            HostEvent::Worker { epoch, tag, answer } => {
                self.shard_event(now, epoch, ShardEvent::Worker(tag, answer), out);
            }
            HostEvent::Terminate => self.terminate(now, out),
        }
    }

    /// Does what is due. Call it after each round of events and at least every 50 ms.
    pub fn poll(&mut self, now: Now, out: &mut Vec<HostAction>) {
        self.poll_streams(now, out);
        self.greet(now, out);
        self.check_owner(now, out);
        let mut actions = Vec::new();
        if let Some(shard) = &mut self.shard {
            shard.poll(now, &mut actions);
        }
        self.perform(now, actions, out);
        self.poll_forwards(now, out);
        self.check_ready(now, out);
        self.check_stop(now, out);
    }

    pub fn shard(&self) -> Option<&Shard> {
        self.shard.as_ref()
    }

    pub fn config(&self) -> &Arc<QueueTable> {
        &self.config
    }

    /// Asks the owner again soon.
    pub(super) fn hurry_hello(&mut self, now: Now) {
        self.owner_hello = self.owner_hello.min(now.steady + HURRY_HELLO);
    }

    pub(super) fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Passes an event to the shard if it is still the one that the event is for.
    pub(super) fn shard_event(
        &mut self,
        now: Now,
        epoch: u64,
        event: ShardEvent,
        out: &mut Vec<HostAction>,
    ) {
        let mut actions = Vec::new();
        if let Some(shard) = self.shard.as_mut().filter(|shard| shard.epoch() == epoch) {
            shard.handle(now, event, &mut actions);
        }
        self.perform(now, actions, out);
    }

    /// Carries out what the shard wants.
    pub(super) fn perform(
        &mut self,
        now: Now,
        actions: Vec<ShardAction>,
        out: &mut Vec<HostAction>,
    ) {
        let epoch = self.shard.as_ref().map_or(0, Shard::epoch);
        for action in actions {
            match action {
                ShardAction::Reply(ticket, reply) => self.shard_reply(ticket, reply, out),
                ShardAction::Store(tag, call) => {
                    out.push(HostAction::Store(StoreUse::Shard { epoch, tag }, call));
                }
                ShardAction::Worker(tag, call) => {
                    out.push(HostAction::Worker { epoch, tag, call });
                }
                ShardAction::StepDown => self.drop_shard(now, out),
            }
        }
    }

    pub(super) fn presence(&self, now: Millis) -> Presence {
        Presence {
            host: self.settings.record.clone(),
            config: self.config.version,
            owner: self.owner_seen(now),
            store_age: self.store_heard.map(|at| now.since(at).0),
            store_time: self.store_time.0,
            is_stopping: self.stopping.is_some(),
        }
    }

    pub(super) fn owner_seen(&self, now: Millis) -> Option<OwnerSeen> {
        if let Some(shard) = self.shard.as_ref().filter(|shard| shard.is_claimed()) {
            return Some(OwnerSeen {
                host: self.settings.record.name.clone(),
                boot: self.settings.record.boot,
                epoch: shard.epoch(),
                age: 0,
            });
        }
        let owner = self.owner.as_ref()?;
        Some(OwnerSeen {
            host: owner.host.clone(),
            boot: owner.boot,
            epoch: owner.epoch,
            age: now.since(owner.heard?).0,
        })
    }

    fn greet(&mut self, now: Now, out: &mut Vec<HostAction>) {
        if now.steady >= self.owner_hello {
            self.owner_hello = now.steady + OWNER_HELLO;
            if let Some(address) = self.owner_address() {
                self.hello(now, address, true, out);
            }
        }
        if now.steady >= self.peer_hello {
            self.peer_hello = now.steady + PEER_HELLO;
            let mut addresses: Vec<SocketAddr> = self.peer_addresses();
            if addresses.is_empty() {
                addresses.clone_from(&self.settings.seeds);
                addresses.retain(|address| *address != self.settings.record.control);
            }
            if !addresses.is_empty() {
                self.turn += 1;
                let address = addresses[self.turn % addresses.len()];
                self.hello(now, address, false, out);
            }
        }
    }

    /// Addresses of all known peers, in a fixed order.
    pub(super) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .peers
            .values()
            .map(|peer| peer.record.control)
            .collect();
        addresses.sort();
        addresses
    }

    /// Address of the owner, if it is another host.
    pub(super) fn owner_address(&self) -> Option<SocketAddr> {
        let owner = self.owner.as_ref().filter(|_| self.shard.is_none())?;
        Some(self.peers.get(&owner.host)?.record.control)
    }

    pub(super) fn hello(
        &mut self,
        now: Now,
        to: SocketAddr,
        is_owner: bool,
        out: &mut Vec<HostAction>,
    ) {
        let known = self
            .peers
            .values()
            .find(|peer| peer.record.control == to)
            .and_then(|peer| peer.presence.as_ref())
            .map(|presence| presence.config);
        let config = known
            .is_some_and(|version| version < self.config.version)
            .then(|| (*self.config).clone());
        let message = PeerCall::Hello {
            presence: self.presence(now.steady),
            config,
        };
        self.call_peer(
            PeerUse::Hello {
                to,
                is_owner,
                sent: now.steady,
            },
            to,
            message,
            HELLO_TIME,
            out,
        );
    }

    pub(super) fn call_peer(
        &mut self,
        purpose: PeerUse,
        address: SocketAddr,
        message: PeerCall,
        timeout: Millis,
        out: &mut Vec<HostAction>,
    ) {
        let call = self.id();
        self.calls.insert(call, purpose);
        out.push(HostAction::PeerCall {
            call,
            address,
            message,
            timeout,
        });
    }

    fn peer_call(&mut self, now: Now, ticket: u64, call: PeerCall, out: &mut Vec<HostAction>) {
        match call {
            PeerCall::Hello { presence, config } => {
                let version = presence.config;
                self.heard(now, presence, None, out);
                if let Some(config) = config {
                    self.set_config(now, config, out);
                }
                let config = (version < self.config.version).then(|| (*self.config).clone());
                let hosts = self.peers.values().map(|peer| peer.record.clone());
                let reply = PeerReply::Hello {
                    presence: Box::new(self.presence(now.steady)),
                    config,
                    hosts: hosts.collect(),
                };
                out.push(HostAction::PeerReply(ticket, reply));
            }
            PeerCall::Request(request) => {
                if self.shard.is_none() {
                    let owner = self.owner_seen(now.steady);
                    out.push(HostAction::PeerReply(ticket, PeerReply::NotOwner { owner }));
                    return;
                }
                self.ask_shard(now, Origin::Peer(ticket), request, out);
            }
            PeerCall::TakeOver { epoch } => {
                let accepts = self.take_over(now, epoch, out);
                out.push(HostAction::PeerReply(ticket, PeerReply::TakeOver(accepts)));
            }
        }
    }

    fn peer_answer(
        &mut self,
        now: Now,
        call: u64,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            PeerUse::Hello { to, is_owner, sent } => match answer {
                Ok(PeerReply::Hello {
                    presence,
                    config,
                    hosts,
                }) => {
                    self.claim.answered(&presence.host.name);
                    self.heard(now, *presence, Some(sent), out);
                    if let Some(config) = config {
                        self.set_config(now, config, out);
                    }
                    for record in hosts {
                        self.learn(record);
                    }
                }
                _ => self.hello_failed(now, to, is_owner),
            },
            PeerUse::Forward { ticket, sent } => {
                self.forward_answer(now, ticket, sent, answer, out);
            }
            PeerUse::TakeOver { epoch } => {
                let accepted = matches!(answer, Ok(PeerReply::TakeOver(true)));
                self.take_over_answer(now, epoch, accepted, out);
            }
        }
    }

    /// Takes in what another host says of itself and of the owner. `asked` is when it was asked; what
    /// comes unasked has been on its way for an unknown time.
    fn heard(
        &mut self,
        now: Now,
        presence: Presence,
        asked: Option<Millis>,
        out: &mut Vec<HostAction>,
    ) {
        let name = presence.host.name.clone();
        self.learn(presence.host.clone());
        if let Some(seen) = &presence.owner {
            self.see_owner(now, seen, asked, out);
        }
        let is_owner = presence
            .owner
            .as_ref()
            .is_some_and(|seen| seen.host == name && seen.age == 0);
        if let Some(owner) = self.owner.as_ref().filter(|owner| owner.host == name) {
            // The process was restarted or has stepped down.
            if !is_owner && self.shard.is_none() {
                tracing::info!(host = %name, epoch = owner.epoch, "host owns the shard no longer");
                if owner.boot != presence.host.boot {
                    self.claim.over = self.claim.over.max(owner.epoch);
                }
                self.owner = None;
            }
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.heard = Some(now.steady);
            peer.presence = Some(presence);
        }
    }

    pub(super) fn learn(&mut self, record: HostRecord) {
        if record.name == self.settings.record.name {
            return;
        }
        match self.peers.get_mut(&record.name) {
            Some(peer) => {
                if peer.record.boot != record.boot && peer.record != record {
                    peer.record = record;
                }
            }
            None => {
                let peer = Peer {
                    record: record.clone(),
                    heard: None,
                    presence: None,
                };
                self.peers.insert(record.name, peer);
            }
        }
    }

    pub(super) fn set_config(&mut self, now: Now, config: QueueTable, out: &mut Vec<HostAction>) {
        if config.version <= self.config.version {
            return;
        }
        tracing::info!(
            version = config.version,
            before = self.config.version,
            queues = config.queues.len(),
            "configuration in force"
        );
        self.config = Arc::new(config);
        if let Some(epoch) = self.shard.as_ref().map(Shard::epoch) {
            let event = ShardEvent::Queues(self.config.clone());
            self.shard_event(now, epoch, event, out);
        }
    }

    fn check_ready(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let knows_owner = self.shard.is_some()
            || self
                .owner
                .as_ref()
                .and_then(|owner| owner.heard)
                .is_some_and(|at| now.steady.since(at) <= READY_AGE);
        let is_ready = self.stopping.is_none() && self.config.version > 0 && knows_owner;
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            tracing::info!(is_ready, config = self.config.version, "readiness changes");
            out.push(HostAction::Ready(is_ready));
        }
    }

    fn terminate(&mut self, now: Now, out: &mut Vec<HostAction>) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!(owns = self.shard.is_some(), "stops on request");
        self.stopping = Some(now.steady);
        out.push(HostAction::Drain);
    }

    /// When the requests in progress have to be answered at the latest, if this host stops.
    pub(super) fn answer_limit(&self) -> Option<Millis> {
        self.stopping.map(|since| since + ANSWER_LIMIT)
    }

    fn check_stop(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(since) = self.stopping else {
            return;
        };
        let passed = now.steady.since(since);
        let is_idle = self.forwards.is_empty() && self.origins.is_empty() && self.shard.is_none();
        if (passed >= STOP_TIME && is_idle) || passed >= STOP_LIMIT {
            out.push(HostAction::Exit);
        }
    }
}
