//! Links between entry hosts over HTTP/2, served by a thread of their own. Each stream carries one
//! bincode message in each direction.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Reason, RecvStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::timeout;

use super::body::MemoryShare;
use super::error::{Error, Result};
use super::inbound::{Connection, Inbound, InboundLimits, RequestMemory};
use super::listen::{SocketBuffers, listen, queue_length};
use super::message::{CALL_BYTES, Unlimited, receive, send_parts};
use super::transfer::{Deadline, TimeLimit};
use super::wire::{PeerReply, PeerRequest};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Flow-control window of a stream in bytes. A body of 16 MiB needs at most 16 round trips.
const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window of a connection in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;
/// Memory, in bytes, of all connections that others have opened: several of the largest messages.
const INBOUND_MEMORY: u64 = 64 << 20;
/// Connections that others have opened; each host opens one.
const INBOUND_CONNECTIONS: usize = 1_024;
/// Buffers of the kernel for such a connection, in bytes.
const BUFFERS: SocketBuffers = SocketBuffers {
    received: 64 << 10,
    sent: 64 << 10,
};
/// Calls on one connection at the same time; further ones wait at their sender.
const MAX_CALLS: u32 = 512;
/// Maximum size of the headers of a call, in bytes.
const MAX_HEADERS: u32 = 16 << 10;
/// Longest time in which a peer's call arrives.
const MAX_CALL_TIME: Duration = Duration::from_secs(30);
/// Maximum size of a message in bytes: a request body of 16 MiB and the fields around it.
const MAX_MESSAGE: usize = (16 << 20) + 4096;

/// Receives the requests of peers and the results of calls to peers. Its methods run on the thread
/// that serves the links.
pub trait PeerHandler: Clone + Send + 'static {
    /// A peer sent `request`. Answer it by calling `PeerLinks::reply` with the same ticket.
    fn request_received(&self, ticket: u64, request: PeerRequest);
    /// A call to a peer has finished. `bytes` is the total size of both messages, or 0 if it
    /// failed.
    fn call_finished(&self, call: u64, reply: Result<PeerReply>, bytes: usize);
}

/// A call to a peer.
#[derive(Debug)]
pub struct PeerCall {
    /// Id of the call, chosen by the caller and passed to `PeerHandler::call_finished`.
    pub call: u64,
    pub address: SocketAddr,
    pub request: PeerRequest,
    pub timeout: Duration,
}

/// What the thread that serves the links is asked to do.
enum LinkCommand {
    Call(PeerCall),
    Reply(u64, PeerReply),
}

/// Handle to the thread that serves the links. The thread ends when the handle is dropped.
#[derive(Debug)]
pub struct PeerLinks {
    sender: mpsc::UnboundedSender<LinkCommand>,
    address: SocketAddr,
}

impl PeerLinks {
    /// Listens on `address` and starts the thread that serves the links.
    pub fn bind<H: PeerHandler>(address: SocketAddr, handler: H) -> Result<Self> {
        let bind_error = |error: std::io::Error| Error::Bind {
            address: address.to_string(),
            reason: error.to_string(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::Thread(error.to_string()))?;
        let queue = queue_length(INBOUND_MEMORY, INBOUND_CONNECTIONS, BUFFERS.received);
        let listener = {
            let _context = runtime.enter();
            listen(address, BUFFERS, queue).map_err(bind_error)?
        };
        let local = listener.local_addr().map_err(bind_error)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                let links = Rc::new(Links::new(handler));
                runtime.block_on(local.run_until(serve(links, listener, receiver)));
            })
            .map_err(|error| Error::Thread(error.to_string()))?;
        Ok(PeerLinks {
            sender,
            address: local,
        })
    }

    /// Address that the links listen on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn call(&self, call: PeerCall) {
        self.send_command(LinkCommand::Call(call));
    }

    /// Answers a request of a peer. The reply is dropped if the peer no longer waits for it.
    pub fn reply(&self, ticket: u64, reply: PeerReply) {
        self.send_command(LinkCommand::Reply(ticket, reply));
    }

    fn send_command(&self, command: LinkCommand) {
        if self.sender.send(command).is_err() {
            tracing::error!("the thread of the peer links has ended");
        }
    }
}

/// State of the thread that serves the links.
struct Links<H> {
    handler: H,
    connections: RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>,
    /// Channels that take the replies to the open requests of peers, by ticket.
    reply_senders: RefCell<HashMap<u64, oneshot::Sender<PeerReply>>>,
    last_ticket: RefCell<u64>,
}

impl<H: PeerHandler> Links<H> {
    fn new(handler: H) -> Self {
        Links {
            handler,
            connections: RefCell::default(),
            reply_senders: RefCell::default(),
            last_ticket: RefCell::default(),
        }
    }

    /// Assigns a ticket to a request of a peer; the receiver yields the reply.
    fn register(&self) -> (u64, oneshot::Receiver<PeerReply>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut last_ticket = self.last_ticket.borrow_mut();
            *last_ticket += 1;
            *last_ticket
        };
        self.reply_senders.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }
}

async fn serve<H: PeerHandler>(
    links: Rc<Links<H>>,
    listener: TcpListener,
    mut receiver: mpsc::UnboundedReceiver<LinkCommand>,
) {
    spawn_local(accept(links.clone(), listener));
    while let Some(command) = receiver.recv().await {
        match command {
            LinkCommand::Call(call) => {
                spawn_local(run_call(links.clone(), call));
            }
            LinkCommand::Reply(ticket, reply) => {
                if let Some(sender) = links.reply_senders.borrow_mut().remove(&ticket) {
                    // Fails if the peer has closed its stream; the reply is then dropped.
                    let _ = sender.send(reply);
                }
            }
        }
    }
}

async fn accept<H: PeerHandler>(links: Rc<Links<H>>, listener: TcpListener) {
    let limits = InboundLimits {
        memory: INBOUND_MEMORY,
        connections: INBOUND_CONNECTIONS,
    };
    let inbound = Inbound::new("peers", limits);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(connection) = inbound.admit(BUFFERS) {
                    let links = links.clone();
                    spawn_local(async move {
                        tokio::select! {
                            biased;
                            () = connection.closed() => {
                                tracing::debug!("a peer connection was closed for others");
                            }
                            () = serve_connection(links, stream, &connection) => {}
                        }
                    });
                }
                yield_now().await;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer connection");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection<H: PeerHandler>(
    links: Rc<Links<H>>,
    stream: TcpStream,
    inbound: &Connection,
) {
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_CALLS)
        .max_header_list_size(MAX_HEADERS)
        .handshake::<_, Bytes>(stream)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(error) => {
            tracing::debug!(%error, "the HTTP/2 handshake with a peer failed");
            return;
        }
    };
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let mut memory = inbound.memory();
        if !memory.grow(CALL_BYTES) {
            // The caller learns that nothing was done.
            respond.send_reset(Reason::REFUSED_STREAM);
            inbound.count_refused("memory");
            continue;
        }
        let (links, inbound) = (links.clone(), inbound.clone());
        spawn_local(async move {
            let body = request.into_body();
            if let Err(error) = answer(links, &inbound, memory, body, respond).await {
                tracing::debug!(%error, "cannot answer the request of a peer");
            }
        });
    }
}

async fn answer<H: PeerHandler>(
    links: Rc<Links<H>>,
    inbound: &Connection,
    mut memory: RequestMemory,
    body: RecvStream,
    mut respond: h2::server::SendResponse<Bytes>,
) -> Result<()> {
    let deadline = Deadline::start(TimeLimit::whole(MAX_CALL_TIME));
    let message = receive(body, deadline, MAX_MESSAGE, &mut memory).await;
    let request: PeerRequest = decode(&message.map_err(broken)?)?;
    inbound.note_known(BUFFERS);
    let (ticket, receiver) = links.register();
    links.handler.request_received(ticket, request);
    let reply = receiver.await.unwrap_or(PeerReply::Unavailable);
    let message = encode(&reply)?;
    if !memory.grow(message.len() as u64) {
        inbound.count_refused("memory");
        return Err(broken("the memory for calls is used up"));
    }
    let response = http::Response::new(());
    let mut stream = respond.send_response(response, false).map_err(broken)?;
    send_parts(&mut stream, message).await.map_err(broken)
}

async fn run_call<H: PeerHandler>(links: Rc<Links<H>>, call: PeerCall) {
    let address = call.address;
    let exchanged = timeout(call.timeout, exchange(&links, address, &call.request)).await;
    let (reply, bytes) = match exchanged {
        Ok(Ok((reply, bytes))) => (Ok(reply), bytes),
        Ok(Err(error)) => (Err(error), 0),
        Err(_) => (Err(broken("timed out")), 0),
    };
    if reply.is_err() {
        links.connections.borrow_mut().remove(&address);
    }
    links.handler.call_finished(call.call, reply, bytes);
}

async fn exchange<H: PeerHandler>(
    links: &Links<H>,
    address: SocketAddr,
    request: &PeerRequest,
) -> Result<(PeerReply, usize)> {
    let message = encode(request)?;
    let sent = message.len();
    let sender = connect(links, address).await?;
    let mut sender = sender.ready().await.map_err(|error| Error::NotSent {
        address: address.to_string(),
        reason: error.to_string(),
    })?;
    let head = http::Request::post("http://peer/")
        .body(())
        .map_err(broken)?;
    let (response, mut stream) = sender.send_request(head, false).map_err(broken)?;
    stream.send_data(message, true).map_err(broken)?;
    let body = response.await.map_err(broken)?.into_body();
    let deadline = Deadline::start(TimeLimit::whole(MAX_CALL_TIME));
    let body = receive(body, deadline, MAX_MESSAGE, &mut Unlimited).await;
    let body = body.map_err(broken)?;
    Ok((decode(&body)?, sent + body.len()))
}

async fn connect<H>(links: &Links<H>, address: SocketAddr) -> Result<SendRequest<Bytes>> {
    if let Some(sender) = links.connections.borrow().get(&address) {
        return Ok(sender.clone());
    }
    let not_sent = |reason: String| Error::NotSent {
        address: address.to_string(),
        reason,
    };
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("timed out".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "the connection to a peer closed with an error");
        }
    });
    links
        .connections
        .borrow_mut()
        .insert(address, sender.clone());
    Ok(sender)
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map(Bytes::from)
        .map_err(codec_error)
}

fn decode<T: DeserializeOwned>(message: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE>();
    bincode::serde::decode_from_slice(message, config)
        .map(|(decoded, _)| decoded)
        .map_err(codec_error)
}

fn broken(reason: impl ToString) -> Error {
    Error::Broken {
        address: "peer".to_owned(),
        reason: reason.to_string(),
    }
}

fn codec_error(error: impl ToString) -> Error {
    Error::Decode {
        address: "peer".to_owned(),
        reason: error.to_string(),
    }
}
