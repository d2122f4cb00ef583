//! I/O of an entry host: performs the actions of its core and passes events to it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use metrics::{counter, histogram};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use super::admission::Admission;
use super::host::{HostAction, HostEvent, StorePurpose};
use super::message::{PeerCall, PeerReply};
use super::relay::OrderOrigin;
use crate::base::Millis;
use crate::connection::{
    AsyncHttpClient, FrontLimits, FrontReply, FrontRequest, FrontServer, Mesh, MeshHandler, Order,
    StoreCall, TimeLimit, WorkerCall,
};
use crate::platform::{
    DEFAULT_MAX_BODY, decode_store_answer, decode_worker_answer, decoded_size, encode_order,
    encode_store_request,
};
use crate::process::runtime::Clock;

pub const CLIENT_ANSWERS: &str = "jayfork_client_answers_total";
pub const WORKER_ORDERS: &str = "jayfork_worker_orders_total";
pub const RELAYED_ORDERS: &str = "jayfork_relayed_orders_total";
pub const STORE_CALLS: &str = "jayfork_store_calls_total";
pub const STORE_TIME: &str = "jayfork_store_call_seconds";

/// Calls of clients or peers that wait for an answer of the core.
struct PendingCalls<T> {
    /// Where to send each answer, by ticket.
    senders: RefCell<HashMap<u64, oneshot::Sender<T>>>,
    next: Cell<u64>,
}

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls {
            senders: RefCell::default(),
            next: Cell::new(0),
        }
    }
}

impl<T> PendingCalls<T> {
    fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let ticket = self.next.get() + 1;
        self.next.set(ticket);
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    fn answer(&self, ticket: u64, answer: T) {
        if let Some(sender) = self.senders.borrow_mut().remove(&ticket) {
            // Fails if the caller's connection has ended, which needs no answer.
            let _ = sender.send(answer);
        }
    }
}

/// Passes calls from peers to the core and waits for its replies.
#[derive(Clone)]
pub(super) struct PeerHandler {
    events: mpsc::UnboundedSender<HostEvent>,
    calls: Rc<PendingCalls<PeerReply>>,
}

impl MeshHandler for PeerHandler {
    type Call = PeerCall;
    type Reply = PeerReply;

    fn serve(&self, call: PeerCall) -> impl Future<Output = PeerReply> + 'static {
        let (ticket, receiver) = self.calls.register();
        let sent = self.events.send(HostEvent::Peer(ticket, call));
        async move {
            match sent {
                Ok(()) => receiver.await.unwrap_or(PeerReply::Unknown),
                Err(_) => PeerReply::Unknown,
            }
        }
    }
}

/// Listeners and connections of the process.
pub(super) struct Io {
    events: mpsc::UnboundedSender<HostEvent>,
    http_client: AsyncHttpClient,
    store: SocketAddr,
    mesh: Mesh<PeerHandler>,
    front: FrontServer,
    /// Largest body for which the host has memory, in bytes.
    most_body: u64,
    client_calls: Rc<PendingCalls<FrontReply>>,
    peer_calls: Rc<PendingCalls<PeerReply>>,
    is_ready: Rc<Cell<bool>>,
    clock: Clock,
}

/// Addresses on which the process listens, and the address of the store.
pub(super) struct Addresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub store: SocketAddr,
}

impl Io {
    /// Opens the listeners for clients, peers and the load balancer's readiness checks.
    ///
    /// # Errors
    ///
    /// `Bind` if an address is in use.
    pub fn open(
        addresses: &Addresses,
        admission: &Admission,
        events: mpsc::UnboundedSender<HostEvent>,
        clock: Clock,
    ) -> crate::connection::Result<Io> {
        let client_calls: Rc<PendingCalls<FrontReply>> = Rc::default();
        let peer_calls: Rc<PendingCalls<PeerReply>> = Rc::default();
        let is_ready = Rc::new(Cell::new(false));
        let handler = {
            let (client_calls, events) = (client_calls.clone(), events.clone());
            move |request: FrontRequest| serve_client(client_calls.clone(), events.clone(), request)
        };
        let most_body = admission.most_body;
        let front = FrontServer::bind(
            addresses.front,
            admission.clients.clone(),
            FrontLimits {
                max_body: most_body.min(DEFAULT_MAX_BODY),
                memory: admission.request_memory,
                cost: decoded_size,
            },
            handler,
        )?;
        let ready = is_ready.clone();
        let readiness = admission.readiness.clone();
        let limits = FrontLimits::NO_BODIES;
        FrontServer::bind(addresses.ready, readiness, limits, move |_| {
            let status = if ready.get() { 200 } else { 503 };
            async move { FrontReply::status(status) }
        })?;
        let handler = PeerHandler {
            events: events.clone(),
            calls: peer_calls.clone(),
        };
        let mesh = Mesh::bind(addresses.peer, admission.peers.clone(), handler)?;
        Ok(Io {
            events,
            http_client: AsyncHttpClient::new(),
            store: addresses.store,
            mesh,
            front,
            most_body,
            client_calls,
            peer_calls,
            is_ready,
            clock,
        })
    }

    /// Number of client requests whose answer is not completely written.
    pub fn open_requests(&self) -> usize {
        self.front.open_requests()
    }

    /// Performs one action; returns whether the process is to end.
    pub fn perform(&self, action: HostAction) -> bool {
        match action {
            HostAction::Answer(ticket, reply) => {
                counter!(CLIENT_ANSWERS, "status" => reply.status.to_string()).increment(1);
                self.client_calls.answer(ticket, reply);
            }
            HostAction::PeerReply(ticket, reply) => self.peer_calls.answer(ticket, reply),
            HostAction::PeerCall {
                call,
                address,
                message,
                timeout,
            } => self.call_peer(call, address, message, timeout),
            HostAction::Store(purpose, call) => self.call_store(purpose, call),
            HostAction::Worker {
                origin,
                call,
                not_after,
            } => self.call_worker(origin, call, not_after),
            HostAction::Ready(is_ready) => self.is_ready.set(is_ready),
            HostAction::BodyLimit(limit) => self.limit_bodies(limit),
            HostAction::Drain => self.front.drain(),
            HostAction::Exit => return true,
        }
        false
    }

    /// Applies the limit of the configuration, as far as the host has memory.
    fn limit_bodies(&self, limit: u64) {
        let most_body = self.most_body;
        if limit > most_body {
            tracing::warn!(
                limit,
                most_body,
                "the configuration allows larger bodies than this host has memory for"
            );
        }
        self.front.limit_bodies(limit.min(most_body));
    }

    fn call_peer(&self, call: u64, address: SocketAddr, message: PeerCall, timeout: Millis) {
        let (mesh, events) = (self.mesh.clone(), self.events.clone());
        if let PeerCall::Orders(batch) | PeerCall::NumberedOrders(_, batch) = &message {
            counter!(RELAYED_ORDERS).increment(batch.len() as u64);
        }
        spawn_local(async move {
            let answer = mesh
                .call(address, &message, message.time_limit(timeout))
                .await;
            send_event(&events, HostEvent::PeerAnswer(call, answer));
        });
    }

    fn call_store(&self, purpose: StorePurpose, call: StoreCall) {
        let http_client = self.http_client.with_purpose(purpose.label());
        let (events, store) = (self.events.clone(), self.store);
        let clock = self.clock;
        spawn_local(async move {
            let sent = clock.now();
            let request = encode_store_request(&call.request);
            let reply = http_client
                .call(store, request, purpose.time_limit(call.timeout))
                .await;
            let answer = reply.and_then(|reply| decode_store_answer(&call.request, &reply));
            let took = clock.now().since(sent);
            let result = if answer.is_ok() { "ok" } else { "failed" };
            counter!(STORE_CALLS, "purpose" => purpose.label(), "result" => result).increment(1);
            histogram!(STORE_TIME).record(took.0 as f64 / 1_000.0);
            let event = HostEvent::Store {
                purpose,
                answer,
                took,
            };
            send_event(&events, event);
        });
    }

    fn call_worker(&self, origin: OrderOrigin, call: WorkerCall, not_after: Millis) {
        let http_client = self.http_client.with_purpose(order_label(&call.order));
        let events = self.events.clone();
        let not_after = self.clock.instant(not_after);
        counter!(WORKER_ORDERS, "order" => order_label(&call.order)).increment(1);
        spawn_local(async move {
            let request = encode_order(&call);
            let limit = TimeLimit::whole(to_duration(call.timeout));
            let reply = http_client.call_until(call.address, request, limit, not_after);
            let answer = reply
                .await
                .and_then(|reply| decode_worker_answer(&call, &reply));
            send_event(&events, HostEvent::Worker { origin, answer });
        });
    }
}

async fn serve_client(
    client_calls: Rc<PendingCalls<FrontReply>>,
    events: mpsc::UnboundedSender<HostEvent>,
    request: FrontRequest,
) -> FrontReply {
    let (ticket, receiver) = client_calls.register();
    if events.send(HostEvent::Client(ticket, request)).is_err() {
        return FrontReply::status(503);
    }
    receiver.await.unwrap_or_else(|_| FrontReply::status(504))
}

fn send_event(events: &mpsc::UnboundedSender<HostEvent>, event: HostEvent) {
    if events.send(event).is_err() {
        tracing::debug!("event dropped: the host actor has ended");
    }
}

fn to_duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}

fn order_label(order: &Order) -> &'static str {
    match order {
        Order::Start(_) => "start",
        Order::Stop { .. } => "stop",
        Order::Renew { .. } => "renew",
        Order::Throttle { .. } => "pace",
    }
}

impl PeerCall {
    /// Only a configuration has no bound on its size.
    fn time_limit(&self, timeout: Millis) -> TimeLimit {
        let timeout = to_duration(timeout);
        match self {
            PeerCall::Hello {
                wants_config: true, ..
            } => TimeLimit::parts(timeout),
            _ => TimeLimit::whole(timeout),
        }
    }
}

impl StorePurpose {
    /// Pages of records have a bound on their size, unlike a configuration.
    fn time_limit(&self, timeout: Millis) -> TimeLimit {
        let timeout = to_duration(timeout);
        match self {
            StorePurpose::Config => TimeLimit::parts(timeout),
            _ => TimeLimit::whole(timeout),
        }
    }

    fn label(&self) -> &'static str {
        match self {
            StorePurpose::Shard { .. } => "shard",
            StorePurpose::Config => "config",
            StorePurpose::Hosts => "hosts",
            StorePurpose::Registry { .. } => "registry",
            StorePurpose::Register => "register",
            StorePurpose::Announce => "announce",
            StorePurpose::Journal => "journal",
        }
    }
}
