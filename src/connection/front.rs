//! HTTP/1.1 server for client accounts. It runs on the thread of its caller.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use super::body::{BodyError, BodyLimits, receive};
use super::error::{Error, Result};
use super::inbound::{Connection, Inbound, LaneError, RequestLanes};
use super::listen::{SocketBuffers, listen};
use super::socket::Socket;
use super::traffic::{CountedStream, Purpose};

/// Buffers of the kernel for a connection, in bytes. A request of a few hundred bytes fits many times; the largest body takes
/// some 20 round trips.
const BUFFERS: SocketBuffers = SocketBuffers {
    received: 16 << 10,
    sent: 16 << 10,
};
/// Timeout for reading the head of the next request. It is long because clients keep idle
/// connections open.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the buffer for what has arrived of a request, in bytes. Heads of clients have a few hundred.
const MAX_BUFFER: usize = 16 << 10;
/// Maximum time without progress of a body, and until all of it has arrived. Clients give a request a few seconds.
const BODY_PAUSE: Duration = Duration::from_secs(10);
const BODY_TIME: Duration = Duration::from_secs(30);
/// Maximum time in which a client takes nothing of an answer. Clients give a request a few seconds.
const ANSWER_PAUSE: Duration = Duration::from_secs(10);
/// Seconds after which a client may try again if its request has found no memory.
const MEMORY_RETRY: u32 = 1;
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A complete request from a client.
#[derive(Debug, Clone)]
pub struct FrontRequest {
    pub method: hyper::Method,
    /// Name from the `Host` header, or else from the URI, without the port.
    pub host: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FrontReply {
    pub status: u16,
    /// JSON document; empty if the reply has no body.
    pub body: Bytes,
    /// Seconds after which a refused client may send the request again.
    pub retry_after: Option<u32>,
}

impl FrontReply {
    pub fn status(status: u16) -> Self {
        FrontReply {
            status,
            ..FrontReply::default()
        }
    }
}

/// Limits on the requests of a server.
#[derive(Debug, Clone, Copy)]
pub struct FrontLimits {
    /// Maximum size of a body in bytes, until `FrontServer::limit_bodies` is called.
    pub max_body: u64,
    /// Memory in bytes for all requests that have arrived and are not answered.
    pub memory: u64,
    /// Returns the memory in bytes that a request with this body takes until it is answered.
    pub cost: fn(&[u8]) -> u64,
}

impl FrontLimits {
    /// For servers whose requests have no body.
    pub const NO_BODIES: FrontLimits = FrontLimits {
        max_body: 0,
        memory: 0,
        cost: |_| 0,
    };
}

/// Handle to a running server; clones refer to the same server.
#[derive(Clone)]
pub struct FrontServer {
    state: Rc<State>,
}

struct State {
    inbound: Inbound,
    lanes: RequestLanes,
    cost: fn(&[u8]) -> u64,
    /// Maximum size of a request body in bytes.
    max_body: Cell<u64>,
    open_requests: Cell<usize>,
    is_draining: Cell<bool>,
    address: RefCell<Option<SocketAddr>>,
}

impl FrontServer {
    /// Listens on `address` and answers each request with `handler`.
    ///
    /// # Errors
    ///
    /// `Bind` if the server cannot listen on `address`.
    pub fn bind<H, F>(
        address: SocketAddr,
        inbound: Inbound,
        limits: FrontLimits,
        handler: H,
    ) -> Result<FrontServer>
    where
        H: Fn(FrontRequest) -> F + Clone + 'static,
        F: Future<Output = FrontReply> + 'static,
    {
        let queue = inbound.queue_length(BUFFERS);
        let listener = listen(address, BUFFERS, queue).map_err(|error| Error::Bind {
            address: address.to_string(),
            reason: error.to_string(),
        })?;
        let state = State {
            inbound,
            lanes: RequestLanes::new(limits.memory),
            cost: limits.cost,
            max_body: Cell::new(limits.max_body),
            open_requests: Cell::new(0),
            is_draining: Cell::new(false),
            address: RefCell::new(listener.local_addr().ok()),
        };
        let front = FrontServer {
            state: Rc::new(state),
        };
        spawn_local(accept(front.clone(), listener, handler));
        Ok(front)
    }

    /// Address that the server listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        *self.state.address.borrow()
    }

    /// Number of received requests whose reply is not ready yet.
    pub fn open_requests(&self) -> usize {
        self.state.open_requests.get()
    }

    /// Sets the maximum size of the bodies that begin to arrive from now on.
    pub fn limit_bodies(&self, max_body: u64) {
        self.state.max_body.set(max_body);
    }

    /// Closes each connection after its next reply. Idle connections stay open until then.
    pub fn drain(&self) {
        self.state.is_draining.set(true);
    }
}

async fn accept<H, F>(front: FrontServer, listener: TcpListener, handler: H)
where
    H: Fn(FrontRequest) -> F + Clone + 'static,
    F: Future<Output = FrontReply> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without room for it, the connection is closed.
                if let Some(connection) = front.state.inbound.admit(BUFFERS) {
                    spawn_local(serve(front.clone(), connection, stream, handler.clone()));
                }
                // Connections that were closed for this one return their descriptors first.
                yield_now().await;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a client connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<H, F>(front: FrontServer, connection: Connection, stream: TcpStream, handler: H)
where
    H: Fn(FrontRequest) -> F + Clone + 'static,
    F: Future<Output = FrontReply> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY on a client connection");
    }
    let stream = CountedStream::new(stream, Purpose::new("clients"));
    let socket = Socket::new(stream, connection.clone(), ANSWER_PAUSE);
    let connection = &connection;
    let service = service_fn(|request: Request<Incoming>| {
        let (front, handler) = (front.clone(), handler.clone());
        async move {
            let open_request = OpenRequest::start(&front);
            let reply = answer(&front, connection, request, handler).await;
            let is_last =
                front.state.is_draining.get() || reply.is_err() || connection.ends_with_answer();
            let reply = reply.unwrap_or_else(|refusal| refusal);
            drop(open_request);
            Ok::<_, Infallible>(encode(reply, is_last))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .half_close(true)
        .max_buf_size(MAX_BUFFER)
        .serve_connection(socket, service);
    tokio::select! {
        // First, so that no request is read from a connection that is to be closed: it would run without an answer.
        biased;
        () = connection.closed() => {
            tracing::debug!("a client connection was closed for others");
        }
        served = served => {
            if let Err(error) = served {
                tracing::debug!(%error, "a client connection closed with an error");
            }
        }
    }
}

/// Receives a request and passes it to `handler`. Its memory counts until the handler has answered.
///
/// # Errors
///
/// The refusal of a request that did not arrive as a whole; the rest of it is not read.
async fn answer<H, F>(
    front: &FrontServer,
    connection: &Connection,
    request: Request<Incoming>,
    handler: H,
) -> std::result::Result<FrontReply, FrontReply>
where
    H: Fn(FrontRequest) -> F,
    F: Future<Output = FrontReply> + 'static,
{
    let (head, body) = request.into_parts();
    let authority = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let authority = authority.or(head.uri.host()).unwrap_or_default();
    let host = authority.split(':').next().unwrap_or_default().to_owned();
    let limits = BodyLimits {
        max_size: front.state.max_body.get(),
        pause: BODY_PAUSE,
        total: Some(BODY_TIME),
    };
    connection.begin_request();
    let mut memory = connection.memory();
    let received = receive(body, limits, &mut memory).await;
    connection.begin_answer();
    let granted = match received {
        Ok(body) => {
            let granted = front.state.lanes.enter((front.state.cost)(&body)).await;
            granted
                .map(|permit| (body, permit))
                .map_err(RequestError::from)
        }
        Err(error) => Err(error.into()),
    };
    let reply = match granted {
        Ok((body, permit)) => {
            let request = FrontRequest {
                method: head.method,
                host,
                path: head.uri.path().to_owned(),
                headers: head.headers,
                body: body.into(),
            };
            let answered = handler(request);
            // The request is under way, and counts, also after its client has left.
            let answered = spawn_local(async move {
                let reply = answered.await;
                drop(permit);
                reply
            });
            let reply = answered.await;
            Ok(reply.unwrap_or_else(|_| FrontReply::status(504)))
        }
        Err(error) => {
            tracing::debug!(%error, "a client request did not arrive as a whole");
            connection.count_refused(error.reason());
            Err(error.reply())
        }
    };
    connection.begin_writing();
    reply
}

/// Why a request was not passed on.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error(transparent)]
    Lane(#[from] LaneError),
}

impl RequestError {
    /// Name of the reason, for metrics.
    fn reason(&self) -> &'static str {
        match self {
            RequestError::Body(error) => error.reason(),
            RequestError::Lane(LaneError::TooLarge) => "too_costly",
            RequestError::Lane(LaneError::Busy) => "memory",
        }
    }

    /// The request has not been passed on, so none of these refusals concerns one that may run.
    fn reply(&self) -> FrontReply {
        match self {
            RequestError::Body(BodyError::TooLarge(_))
            | RequestError::Lane(LaneError::TooLarge) => FrontReply::status(413),
            RequestError::Body(BodyError::Stopped(_) | BodyError::TooSlow) => {
                FrontReply::status(408)
            }
            RequestError::Body(BodyError::Truncated(..)) => FrontReply::status(400),
            RequestError::Body(BodyError::NoMemory) | RequestError::Lane(LaneError::Busy) => {
                FrontReply {
                    retry_after: Some(MEMORY_RETRY),
                    ..FrontReply::status(503)
                }
            }
        }
    }
}

fn encode(reply: FrontReply, is_last: bool) -> Response<Full<Bytes>> {
    let has_body = !reply.body.is_empty();
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if has_body {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(seconds) = reply.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if is_last {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request as open until its reply is handed to the connection.
struct OpenRequest(FrontServer);

impl OpenRequest {
    fn start(front: &FrontServer) -> Self {
        front
            .state
            .open_requests
            .set(front.state.open_requests.get() + 1);
        OpenRequest(front.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let state = &self.0.state;
        state.open_requests.set(state.open_requests.get() - 1);
    }
}
