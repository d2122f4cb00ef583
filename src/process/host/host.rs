//! The core of an entry host: a state machine without I/O and without a clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::claim::Claim;
use super::config::NewerConfig;
use super::evacuations::Evacuations;
use super::forward::{Origin, PendingRequest};
use super::message::{HostRecord, KnownOwner, PeerCall, PeerReply, Presence};
use super::pause::PauseWatch;
use super::peers::Peers;
use super::relay::{OrderLinks, OrderOrigin, RelaySessions, SentBatch};
use super::request_form::{RequestForm, SentRequest};
use super::streams::Streams;
use crate::base::{LoggedCount, Millis, Name};
use crate::connection::{
    CallError, FrontReply, FrontRequest, StoreAnswer, StoreCall, WorkerAnswer, WorkerCall,
};
use crate::process::shard::{
    Now, Request, Shard, ShardAction, ShardEvent, ShardSettings, StoreTag,
};
use crate::version::QueueTable;

/// Pause between a failed hello to the owner and the next one, in milliseconds.
const HELLO_RETRY_TIME: Millis = Millis(100);
/// A host reports that it isn't ready once the last message from the owner is older than this, in
/// milliseconds.
const READY_AGE: Millis = Millis(2_500);
/// Minimum time from SIGTERM to the exit, in milliseconds. The load balancer sends new connections
/// until two of its readiness checks, a second apart, have failed.
const MIN_STOP_TIME: Millis = Millis(3_200);
/// Time from SIGTERM after which requests that still wait for an owner are answered, in
/// milliseconds. Otherwise the platform would cut them off without an answer.
const STOP_ANSWER_TIME: Millis = Millis(4_600);
/// Maximum time from SIGTERM to the exit, in milliseconds. The platform kills the process at the
/// end of its grace time.
const MAX_STOP_TIME: Millis = Millis(5_200);

#[derive(Debug, Clone)]
pub struct HostSettings {
    pub record: HostRecord,
    /// Hosts to contact while no peer is known.
    pub seeds: Vec<SocketAddr>,
    pub shard: ShardSettings,
}

/// Purpose of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePurpose {
    /// A call made by the shard with this epoch.
    Shard { epoch: u64, tag: StoreTag },
    /// Reads the configuration.
    Config,
    /// Reads the records of the hosts and of the newest owner.
    Hosts,
    /// Reads the registry of workers.
    Registry { epoch: u64 },
    /// Appends this host's record to the stream of hosts.
    Register,
    /// Appends the owner's record to the stream of hosts, for hosts that start later.
    Announce,
    /// Reads the end of the journal, which grows while its owner is alive.
    Journal,
}

#[derive(Debug)]
pub enum HostEvent {
    /// A request of a client with its ticket.
    Client(u64, FrontRequest),
    /// A call from a peer with its ticket.
    Peer(u64, PeerCall),
    /// The outcome of the call to a peer with this ID.
    PeerAnswer(u64, Result<PeerReply, CallError>),
    Store {
        purpose: StorePurpose,
        answer: Result<StoreAnswer, CallError>,
        /// Duration of the call.
        took: Millis,
    },
    Worker {
        origin: OrderOrigin,
        answer: Result<WorkerAnswer, CallError>,
    },
    /// SIGTERM or SIGINT.
    Terminate,
}

#[derive(Debug)]
pub enum HostAction {
    /// Answers the client request with this ticket.
    Answer(u64, FrontReply),
    /// Answers the peer's call with this ticket.
    PeerReply(u64, PeerReply),
    PeerCall {
        call: u64,
        address: SocketAddr,
        message: PeerCall,
        timeout: Millis,
    },
    Store(StorePurpose, StoreCall),
    Worker {
        origin: OrderOrigin,
        call: WorkerCall,
        /// Nothing of the call is written after this time.
        not_after: Millis,
    },
    /// Sets the answer to readiness checks.
    Ready(bool),
    /// Sets the maximum size of request bodies, in bytes.
    BodyLimit(u64),
    /// Closes each client connection after its next answer.
    Drain,
    /// Ends the process once no client request is open.
    Exit,
}

/// Purpose of a call to a peer.
#[derive(Debug, Clone)]
pub(super) enum PeerPurpose {
    Hello {
        to: SocketAddr,
        /// Whether it was sent because the peer is the owner.
        is_owner: bool,
        sent: Millis,
    },
    /// Asks for a newer configuration.
    Config {
        holder: SocketAddr,
        sent: Millis,
    },
    Forward(SentRequest),
    TakeOver {
        epoch: u64,
        /// Whether the peer was told how long workers have been without a lease.
        has_waits: bool,
    },
    /// Orders to workers.
    Orders(SentBatch),
}

/// The newest owner that this host knows of.
#[derive(Debug, Clone)]
pub(super) struct Owner {
    pub host: Name,
    pub boot: u64,
    pub epoch: u64,
    /// When this host or a peer last received a message from the owner.
    pub last_heard: Option<Millis>,
    /// When this host learned that it owns the shard.
    pub learned: Millis,
    /// Consecutive hellos to the owner that failed.
    pub failed_hellos: u32,
    /// Whether nothing listens at its address.
    pub is_refusing: bool,
}

pub struct Host {
    pub(super) settings: HostSettings,
    pub(super) config: Arc<QueueTable>,
    pub(super) peers: Peers,
    pub(super) owner: Option<Owner>,
    pub(super) shard: Option<Shard>,
    pub(super) streams: Streams,
    pub(super) evacuations: Evacuations,
    pub(super) claim: Claim,
    /// Client requests that are not answered, by ticket.
    pub(super) pending_requests: HashMap<u64, PendingRequest>,
    /// Origins of the requests that the own shard has not answered, by the ID given to the shard.
    pub(super) origins: HashMap<u64, Origin>,
    pub(super) request_form: RequestForm,
    pub(super) peer_calls: HashMap<u64, PeerPurpose>,
    /// Orders of the own shard that other hosts send to workers.
    pub(super) order_links: OrderLinks,
    /// Orders of the owner that this host sends to workers.
    pub(super) relay_sessions: RelaySessions,
    pub(super) next_id: u64,
    /// When the store last answered.
    pub(super) store_heard: Option<Millis>,
    /// When the newest of the calls was sent that the store has failed to answer.
    pub(super) store_failed: Option<Millis>,
    /// Response time of the store: a minimum that rises slowly.
    pub(super) store_time: Millis,
    pub(super) started: Millis,
    /// When the next hello to the owner is due.
    pub(super) owner_hello: Millis,
    /// When the next hello to one of the other hosts is due.
    pub(super) peer_hello: Millis,
    /// The host that this one gets new configurations from; `None` if it reads them from the store.
    pub(super) config_source: Option<SocketAddr>,
    /// A newer configuration that a peer has.
    pub(super) newer_config: Option<NewerConfig>,
    /// When a peer was asked for it that has not answered yet, or is sending it.
    pub(super) config_asked: Option<Millis>,
    pub(super) pause_watch: PauseWatch,
    /// Requests of clients that could not be read.
    pub(super) invalid_requests: LoggedCount,
    /// Hellos whose names no host has.
    pub(super) invalid_hellos: LoggedCount,
    is_ready: bool,
    /// When the host was asked to stop.
    pub(super) stopping: Option<Millis>,
}

impl Host {
    pub fn new(settings: HostSettings, now: Now) -> Self {
        let record = &settings.record;
        let peers = Peers::new(record.name.clone(), record.boot);
        Host {
            settings,
            config: Arc::default(),
            peers,
            owner: None,
            shard: None,
            streams: Streams::new(now.steady),
            evacuations: Evacuations::default(),
            claim: Claim::default(),
            pending_requests: HashMap::new(),
            origins: HashMap::new(),
            request_form: RequestForm::default(),
            peer_calls: HashMap::new(),
            order_links: OrderLinks::default(),
            relay_sessions: RelaySessions::default(),
            next_id: 0,
            store_heard: None,
            store_failed: None,
            store_time: Millis(1_000),
            started: now.steady,
            owner_hello: now.steady,
            peer_hello: now.steady,
            config_source: None,
            newer_config: None,
            config_asked: None,
            pause_watch: PauseWatch::start(now),
            invalid_requests: LoggedCount::default(),
            invalid_hellos: LoggedCount::default(),
            is_ready: false,
            stopping: None,
        }
    }

    pub fn handle(&mut self, now: Now, event: HostEvent, out: &mut Vec<HostAction>) {
        self.pause_watch.note(now);
        match event {
            HostEvent::Client(ticket, request) => self.handle_client(now, ticket, &request, out),
            HostEvent::Peer(ticket, call) => self.handle_peer_call(now, ticket, call, out),
            HostEvent::PeerAnswer(call, answer) => self.handle_peer_answer(now, call, answer, out),
            HostEvent::Store {
                purpose,
                answer,
                took,
            } => self.handle_store_answer(now, purpose, answer, took, out),
            HostEvent::Worker { origin, answer } => {
                self.handle_worker_answer(now, origin, answer, out);
            }
            HostEvent::Terminate => self.terminate(now, out),
        }
    }

    /// Does everything that is due. Call it after each batch of events and at least every 50 ms.
    pub fn poll(&mut self, now: Now, out: &mut Vec<HostAction>) {
        self.pause_watch.note(now);
        self.poll_streams(now, out);
        self.send_due_hellos(now, out);
        self.ask_for_config(now, out);
        self.check_owner(now, out);
        self.tell_evacuations(now, out);
        let mut actions = Vec::new();
        if let Some(shard) = &mut self.shard {
            shard.poll(now, &mut actions);
        }
        self.perform_shard_actions(now, actions, out);
        self.poll_order_links(now, out);
        self.poll_relay_sessions(now, out);
        self.poll_pending_requests(now, out);
        self.check_ready(now, out);
        self.check_stop(now, out);
    }

    pub fn shard(&self) -> Option<&Shard> {
        self.shard.as_ref()
    }

    pub fn config(&self) -> &Arc<QueueTable> {
        &self.config
    }

    /// Sends the next hello to the owner after `HELLO_RETRY_TIME` at the latest.
    pub(super) fn retry_hello_soon(&mut self, now: Now) {
        self.owner_hello = self.owner_hello.min(now.steady + HELLO_RETRY_TIME);
    }

    /// A new ID for a call to a peer or a request to the shard.
    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Passes an event to the shard if this host still owns it with this epoch.
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
        self.perform_shard_actions(now, actions, out);
    }

    /// Performs the actions that the shard has returned.
    pub(super) fn perform_shard_actions(
        &mut self,
        now: Now,
        actions: Vec<ShardAction>,
        out: &mut Vec<HostAction>,
    ) {
        let epoch = self.shard.as_ref().map_or(0, Shard::epoch);
        for action in actions {
            match action {
                ShardAction::Reply(ticket, reply) => self.shard_reply(now, ticket, reply, out),
                ShardAction::Store(tag, call) => {
                    out.push(HostAction::Store(StorePurpose::Shard { epoch, tag }, call));
                }
                ShardAction::Worker(tag, call) => self.send_order(now, epoch, tag, call, out),
                ShardAction::StepDown => self.give_up_shard(now, out),
            }
        }
    }

    pub(super) fn presence(&self, now: Millis) -> Presence {
        Presence {
            host: self.settings.record.clone(),
            config: self.config.version,
            owner: self.known_owner(now),
            store_age: self.store_heard.map(|at| now.since(at).0),
            store_time: self.store_time.0,
            is_stopping: self.stopping.is_some(),
        }
    }

    pub(super) fn known_owner(&self, now: Millis) -> Option<KnownOwner> {
        if let Some(shard) = self.shard.as_ref().filter(|shard| shard.is_claimed()) {
            return Some(KnownOwner {
                host: self.settings.record.name.clone(),
                boot: self.settings.record.boot,
                epoch: shard.epoch(),
                age: 0,
            });
        }
        let owner = self.owner.as_ref()?;
        Some(KnownOwner {
            host: owner.host.clone(),
            boot: owner.boot,
            epoch: owner.epoch,
            age: now.since(owner.last_heard?).0,
        })
    }

    /// Address of the owner, if it is another host.
    pub(super) fn owner_address(&self) -> Option<SocketAddr> {
        let owner = self.owner.as_ref().filter(|_| self.shard.is_none())?;
        Some(self.peers.get(&owner.host)?.record.control)
    }

    pub(super) fn call_peer(
        &mut self,
        purpose: PeerPurpose,
        address: SocketAddr,
        message: PeerCall,
        timeout: Millis,
        out: &mut Vec<HostAction>,
    ) {
        let call = self.new_id();
        self.peer_calls.insert(call, purpose);
        out.push(HostAction::PeerCall {
            call,
            address,
            message,
            timeout,
        });
    }

    fn handle_peer_call(
        &mut self,
        now: Now,
        ticket: u64,
        call: PeerCall,
        out: &mut Vec<HostAction>,
    ) {
        match call {
            PeerCall::Hello {
                presence,
                wants_config,
            } => {
                let version = presence.config;
                self.presence_received(now, presence, None, out);
                let sends_config = wants_config && version < self.config.version;
                let config = sends_config.then(|| self.config.clone());
                let owner = self.owner.as_ref().map(|owner| owner.host.clone());
                let reply = PeerReply::Hello {
                    presence: Box::new(self.presence(now.steady)),
                    config,
                    hosts: self.peers.sample(now.steady, owner.as_ref()),
                };
                out.push(HostAction::PeerReply(ticket, reply));
            }
            PeerCall::Request(request) => self.serve_request(now, ticket, request.into(), out),
            PeerCall::QueueRequest(request) => self.serve_request(now, ticket, request, out),
            PeerCall::TakeOver { epoch } => self.take_over(now, ticket, epoch, None, out),
            PeerCall::HandOver(handover) => {
                self.take_over(now, ticket, handover.epoch, Some(handover), out);
            }
            PeerCall::Orders(batch) => self.relay_orders(now, ticket, None, batch, out),
            PeerCall::NumberedOrders(number, batch) => {
                self.relay_orders(now, ticket, Some(number), batch, out);
            }
            PeerCall::BatchOutcome { session, number } => {
                self.tell_outcome(now, ticket, session, number, out);
            }
        }
    }

    /// Passes the request of a client of another host to the shard.
    fn serve_request(
        &mut self,
        now: Now,
        ticket: u64,
        request: Request,
        out: &mut Vec<HostAction>,
    ) {
        if self.shard.is_none() {
            let owner = self.known_owner(now.steady);
            out.push(HostAction::PeerReply(ticket, PeerReply::NotOwner { owner }));
            return;
        }
        self.ask_shard(now, Origin::Peer(ticket), request, out);
    }

    fn handle_peer_answer(
        &mut self,
        now: Now,
        call: u64,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        let Some(purpose) = self.peer_calls.remove(&call) else {
            return;
        };
        match purpose {
            PeerPurpose::Hello { to, is_owner, sent } => match answer {
                Ok(PeerReply::Hello {
                    presence, hosts, ..
                }) => {
                    self.claim.add_responder(&presence.host.name);
                    self.presence_received(now, *presence, Some(sent), out);
                    for record in hosts {
                        self.peers.add_reported(now.steady, record);
                    }
                }
                answer => {
                    let is_refused = matches!(answer, Err(CallError::Refused));
                    self.hello_failed(now, to, is_owner, is_refused);
                }
            },
            PeerPurpose::Config { holder, sent } => {
                self.handle_config_answer(now, holder, sent, answer, out);
            }
            PeerPurpose::Forward(sent) => self.handle_forward_answer(now, sent, answer, out),
            PeerPurpose::TakeOver { epoch, has_waits } => {
                self.handle_take_over_answer(now, epoch, has_waits, answer, out);
            }
            PeerPurpose::Orders(sent) => self.handle_batch_answer(now, sent, answer, out),
        }
    }

    fn check_ready(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let knows_owner = self.shard.is_some() || self.has_heard_owner(now, READY_AGE);
        let is_ready = self.stopping.is_none() && self.config.version > 0 && knows_owner;
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            tracing::info!(is_ready, config = self.config.version, "readiness changed");
            out.push(HostAction::Ready(is_ready));
        }
    }

    fn terminate(&mut self, now: Now, out: &mut Vec<HostAction>) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!(owns = self.shard.is_some(), "shutdown requested");
        self.stopping = Some(now.steady);
        out.push(HostAction::Drain);
    }

    /// When pending requests have to be answered at the latest; `None` unless this host is
    /// stopping.
    pub(super) fn answer_deadline(&self) -> Option<Millis> {
        self.stopping.map(|since| since + STOP_ANSWER_TIME)
    }

    fn check_stop(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(since) = self.stopping else {
            return;
        };
        let passed = now.steady.since(since);
        let is_idle =
            self.pending_requests.is_empty() && self.origins.is_empty() && self.shard.is_none();
        if (passed >= MIN_STOP_TIME && is_idle) || passed >= MAX_STOP_TIME {
            out.push(HostAction::Exit);
        }
    }
}
