//! Asynchronous HTTP/1.1 client with keep-alive connections. It runs on the thread of its caller.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use super::orders::CallError;
use super::traffic::{CountedStream, Purpose, count_connection};
use super::transfer::{Deadline, TimeLimit};
use super::write_gate::{GatedStream, WriteGate};

/// Timeout for opening a connection. Hosts are at most about 30 ms apart, so a server that does
/// not accept within this time is down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle connections kept per address: one for the call that waits for a report, the others for
/// orders.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// A connection that has been idle for longer is not reused, since the server may be closing it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Maximum size of an answer's body in bytes.
const MAX_ANSWER: usize = 16 << 20;

pub type Result<T> = std::result::Result<T, CallError>;

#[derive(Debug, Clone)]
pub struct HttpRequest {
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

#[derive(Debug, Clone)]
pub struct HttpReply {
    pub status: u16,
    pub body: Bytes,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gate: WriteGate,
    purpose: Purpose,
}

/// A connection that no call uses at present.
struct IdleConnection {
    connection: Connection,
    /// When the last call on the connection ended.
    since: Instant,
}

/// Client that keeps idle connections by address. Clones share the connections and must
/// stay on one thread.
#[derive(Clone, Default)]
pub struct AsyncHttpClient {
    /// What its calls are counted as.
    purpose: &'static str,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl AsyncHttpClient {
    pub fn new() -> Self {
        AsyncHttpClient::default()
    }

    /// A client on the same connections whose calls are counted as `purpose`.
    pub fn with_purpose(&self, purpose: &'static str) -> Self {
        AsyncHttpClient {
            purpose,
            ..self.clone()
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// `NotSent` if no connection was opened, `Refused` if no process listens on the port,
    /// `NoAnswer` if the connection closed or `limit` passed before the whole answer arrived,
    /// `Malformed` if the request is invalid or the answer too large.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        limit: TimeLimit,
    ) -> Result<HttpReply> {
        self.exchange(address, request, limit, None).await
    }

    /// Sends a request and reads the whole answer, like `call`, but writes nothing of the request after
    /// `not_after`, for example because the process was paused.
    ///
    /// # Errors
    ///
    /// As `call`; `NotSent` also if nothing was written in time. A request that was written in part
    /// gets `NoAnswer`, and its connection is closed.
    pub async fn call_until(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        limit: TimeLimit,
        not_after: std::time::Instant,
    ) -> Result<HttpReply> {
        let not_after = Some(not_after);
        self.exchange(address, request, limit, not_after).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        limit: TimeLimit,
        not_after: Option<std::time::Instant>,
    ) -> Result<HttpReply> {
        let mut deadline = Deadline::start(limit);
        let sent = self.send(address, request, not_after);
        let (answer, connection) = deadline.wait(sent).await??;
        let status = answer.status().as_u16();
        let body = receive(answer.into_body(), deadline).await?;
        self.put_back(address, connection);
        Ok(HttpReply { status, body })
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends a request and waits for the head of the answer.
    async fn send(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        not_after: Option<std::time::Instant>,
    ) -> Result<(Response<Incoming>, Connection)> {
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => connect(address, self.purpose).await?,
        };
        if connection.sender.ready().await.is_err() {
            connection = connect(address, self.purpose).await?;
        }
        connection.purpose.set(self.purpose);
        let message = build_request(address, request)?;
        let gate = &connection.gate;
        gate.begin(not_after);
        if !gate.is_open() {
            return Err(CallError::NotSent);
        }
        let answer = connection.sender.send_request(message).await;
        let answer = answer.map_err(|error| match error.is_canceled() || !gate.has_written() {
            // The connection was closed before the request was written.
            true => CallError::NotSent,
            false => CallError::NoAnswer,
        })?;
        Ok((answer, connection))
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(IdleConnection { connection, since }) = connections.pop() {
            if !connection.sender.is_closed() && since.elapsed() < MAX_IDLE_TIME {
                return Some(connection);
            }
        }
        None
    }

    fn put_back(&self, address: SocketAddr, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let since = Instant::now();
            connections.push(IdleConnection { connection, since });
        }
    }
}

async fn connect(address: SocketAddr, purpose: &'static str) -> Result<Connection> {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        // The host is up, but no process listens on the port.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            count_connection(purpose, "refused");
            return Err(CallError::Refused);
        }
        Ok(Err(_)) | Err(_) => {
            count_connection(purpose, "failed");
            return Err(CallError::NotSent);
        }
    };
    count_connection(purpose, "opened");
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%address, %error, "cannot set TCP_NODELAY on an HTTP connection");
    }
    let gate = WriteGate::default();
    let purpose = Purpose::new(purpose);
    let stream = GatedStream {
        stream: CountedStream::new(stream, purpose.clone()),
        gate: gate.clone(),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::NotSent)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "an HTTP connection closed with an error");
        }
    });
    Ok(Connection {
        sender,
        gate,
        purpose,
    })
}

/// Reads the body of an answer.
async fn receive(body: Incoming, mut deadline: Deadline) -> Result<Bytes> {
    let mut body = Limited::new(body, MAX_ANSWER);
    let mut data = BytesMut::new();
    while let Some(frame) = deadline.wait(body.frame()).await? {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::Malformed,
            false => CallError::NoAnswer,
        })?;
        if let Ok(part) = frame.into_data() {
            data.extend_from_slice(&part);
        }
    }
    Ok(data.freeze())
}

fn build_request(address: SocketAddr, request: HttpRequest) -> Result<hyper::Request<Full<Bytes>>> {
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, address.to_string());
    if !request.body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    builder
        .body(Full::new(request.body))
        .map_err(|_| CallError::Malformed)
}
