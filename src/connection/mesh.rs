//! Calls between hosts over HTTP/2. Each stream carries one bincode message in each direction. All
//! tasks run on the thread of the caller.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io::ErrorKind;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Reason, RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

use super::body::MemoryShare;
use super::error::{Error, Result};
use super::inbound::{Connection, Inbound, RequestMemory};
use super::listen::{SocketBuffers, listen};
use super::message::{CALL_BYTES, Unlimited, receive, send_parts};
use super::orders::CallError;
use super::traffic::{CountedStream, Purpose, count_connection};
use super::transfer::{Deadline, TimeLimit};

/// Timeout for opening a connection to a peer; long enough for the slowest link between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a message in bytes. The largest message is a configuration with many queues.
const MAX_MESSAGE: usize = 4 << 20;
/// Longest time in which a peer's call arrives.
const MAX_CALL_TIME: Duration = Duration::from_secs(5);
/// Buffers of the kernel for a connection of another host, in bytes: as much as HTTP/2 lets it send unasked.
const BUFFERS: SocketBuffers = SocketBuffers {
    received: 64 << 10,
    sent: 64 << 10,
};
/// Calls on one connection at the same time; further ones wait at their sender.
const MAX_CALLS: u32 = 512;
/// Maximum size of the headers of a call, in bytes.
const MAX_HEADERS: u32 = 16 << 10;
/// What calls between hosts are counted as.
const PURPOSE: &str = "peers";

/// Answers the calls of peers.
pub trait MeshHandler: Clone + 'static {
    type Call: Serialize + DeserializeOwned + 'static;
    type Reply: Serialize + DeserializeOwned + 'static;

    fn serve(&self, call: Self::Call) -> impl Future<Output = Self::Reply> + 'static;
}

/// Client for calls to peers. It keeps one connection per peer; clones share the connections.
pub struct Mesh<H> {
    connections: Rc<RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>>,
    handler: PhantomData<H>,
}

impl<H> Clone for Mesh<H> {
    fn clone(&self) -> Self {
        Mesh {
            connections: self.connections.clone(),
            handler: PhantomData,
        }
    }
}

impl<H: MeshHandler> Mesh<H> {
    /// Listens on `address`, answers the calls of peers with `handler`, and returns a client.
    ///
    /// # Errors
    ///
    /// `Bind` if the server cannot listen on `address`.
    pub fn bind(address: SocketAddr, inbound: Inbound, handler: H) -> Result<Self> {
        let queue = inbound.queue_length(BUFFERS);
        let listener = listen(address, BUFFERS, queue).map_err(|error| Error::Bind {
            address: address.to_string(),
            reason: error.to_string(),
        })?;
        spawn_local(accept(listener, inbound, handler));
        Ok(Mesh {
            connections: Rc::default(),
            handler: PhantomData,
        })
    }

    /// Calls a peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// `NotSent` if the call was not sent, `Refused` if no process listens on the port, `NoAnswer` if
    /// the connection closed or `limit` passed before the whole reply arrived, `Malformed` if a message
    /// cannot be encoded or decoded.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &H::Call,
        limit: TimeLimit,
    ) -> std::result::Result<H::Reply, CallError> {
        let answer = self.exchange(address, call, limit).await;
        if answer.is_err() {
            self.connections.borrow_mut().remove(&address);
        }
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &H::Call,
        limit: TimeLimit,
    ) -> std::result::Result<H::Reply, CallError> {
        let mut deadline = Deadline::start(limit);
        let body = deadline.wait(self.send_call(address, call)).await??;
        decode(&receive(body, deadline, MAX_MESSAGE, &mut Unlimited).await?)
    }

    /// Sends a call and waits until the reply begins.
    async fn send_call(
        &self,
        address: SocketAddr,
        call: &H::Call,
    ) -> std::result::Result<RecvStream, CallError> {
        let message = encode(call)?;
        let mut sender = self.connect(address).await?;
        let head = http::Request::post("http://peer/")
            .body(())
            .map_err(|_| CallError::Malformed)?;
        sender = sender.ready().await.map_err(|_| CallError::NotSent)?;
        let sent = sender.send_request(head, false);
        let (response, mut stream) = sent.map_err(|_| CallError::NotSent)?;
        send(&mut stream, message)?;
        let response = response.await.map_err(|_| CallError::NoAnswer)?;
        Ok(response.into_body())
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> std::result::Result<SendRequest<Bytes>, CallError> {
        if let Some(sender) = self.connections.borrow().get(&address) {
            return Ok(sender.clone());
        }
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            // The host is up, but no process listens on the port.
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                count_connection(PURPOSE, "refused");
                return Err(CallError::Refused);
            }
            Ok(Err(_)) | Err(_) => {
                count_connection(PURPOSE, "failed");
                return Err(CallError::NotSent);
            }
        };
        count_connection(PURPOSE, "opened");
        set_nodelay(&stream);
        let stream = CountedStream::new(stream, Purpose::new(PURPOSE));
        let (sender, connection) = h2::client::handshake(stream)
            .await
            .map_err(|_| CallError::NotSent)?;
        let connections = self.connections.clone();
        spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "the connection to a peer closed with an error");
            }
            connections.borrow_mut().remove(&address);
        });
        let mut connections = self.connections.borrow_mut();
        connections.insert(address, sender.clone());
        Ok(sender)
    }
}

async fn accept<H: MeshHandler>(listener: TcpListener, inbound: Inbound, handler: H) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(connection) = inbound.admit(BUFFERS) {
                    let handler = handler.clone();
                    spawn_local(async move {
                        tokio::select! {
                            biased;
                            () = connection.closed() => {
                                tracing::debug!(%peer, "a peer connection was closed for others");
                            }
                            () = serve(stream, peer, &connection, handler) => {}
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

async fn serve<H: MeshHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    connection: &Connection,
    handler: H,
) {
    set_nodelay(&stream);
    let stream = CountedStream::new(stream, Purpose::new(PURPOSE));
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_CALLS)
        .max_header_list_size(MAX_HEADERS);
    let mut streams = match builder.handshake(stream).await {
        Ok(streams) => streams,
        Err(error) => {
            tracing::debug!(%error, "the HTTP/2 handshake with a peer failed");
            return;
        }
    };
    while let Some(Ok((request, mut respond))) = streams.accept().await {
        let mut memory = connection.memory();
        if !memory.grow(CALL_BYTES) {
            // The caller learns that nothing was done.
            respond.send_reset(Reason::REFUSED_STREAM);
            connection.count_refused("memory");
            continue;
        }
        let (handler, connection) = (handler.clone(), connection.clone());
        spawn_local(async move {
            // The caller sees its stream closed.
            let body = request.into_body();
            match answer(handler, &connection, memory, body, respond).await {
                Ok(()) => {}
                Err(CallError::Malformed) => {
                    tracing::warn!(%peer, "refused a call of a peer that cannot be read");
                }
                Err(error) => tracing::debug!(%peer, %error, "cannot answer the call of a peer"),
            }
        });
    }
}

async fn answer<H: MeshHandler>(
    handler: H,
    connection: &Connection,
    mut memory: RequestMemory,
    body: RecvStream,
    mut respond: h2::server::SendResponse<Bytes>,
) -> std::result::Result<(), CallError> {
    let deadline = Deadline::start(TimeLimit::whole(MAX_CALL_TIME));
    let call: H::Call = decode(&receive(body, deadline, MAX_MESSAGE, &mut memory).await?)?;
    connection.note_known(BUFFERS);
    let reply = handler.serve(call).await;
    let message = encode(&reply)?;
    if !memory.grow(message.len() as u64) {
        connection.count_refused("memory");
        return Err(CallError::NoAnswer);
    }
    let response = http::Response::new(());
    let mut stream = respond
        .send_response(response, false)
        .map_err(|_| CallError::NoAnswer)?;
    send_parts(&mut stream, message).await
}

fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY on a peer connection");
    }
}

fn send(stream: &mut SendStream<Bytes>, message: Bytes) -> std::result::Result<(), CallError> {
    stream
        .send_data(message, true)
        .map_err(|_| CallError::NoAnswer)
}

fn encode<T: Serialize>(message: &T) -> std::result::Result<Bytes, CallError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|_| CallError::Malformed)
}

fn decode<T: DeserializeOwned>(message: &[u8]) -> std::result::Result<T, CallError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE>();
    // Bytes that follow would be fields that this version does not know.
    match bincode::serde::decode_from_slice(message, config) {
        Ok((decoded, length)) if length == message.len() => Ok(decoded),
        _ => Err(CallError::Malformed),
    }
}
