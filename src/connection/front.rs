//! HTTP/1.1 server for client accounts. It runs on the thread of its caller.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::error::{Error, Result};
use super::traffic::{CountedStream, Purpose};

/// Length of the kernel's queue of connections to be accepted.
const BACKLOG: u32 = 1_024;
/// Timeout for reading the head of the next request. It is long because clients keep idle
/// connections open.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request body in bytes.
const MAX_BODY: usize = 1 << 20;
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

/// Handle to a running server; clones refer to the same server.
#[derive(Clone, Default)]
pub struct FrontServer {
    state: Rc<State>,
}

#[derive(Default)]
struct State {
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
    pub fn bind<H, F>(address: SocketAddr, handler: H) -> Result<FrontServer>
    where
        H: Fn(FrontRequest) -> F + Clone + 'static,
        F: Future<Output = FrontReply> + 'static,
    {
        let listener = listen(address).map_err(|error| Error::Bind {
            address: address.to_string(),
            reason: error.to_string(),
        })?;
        let front = FrontServer::default();
        *front.state.address.borrow_mut() = listener.local_addr().ok();
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
                spawn_local(serve(front.clone(), stream, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a client connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<H, F>(front: FrontServer, stream: TcpStream, handler: H)
where
    H: Fn(FrontRequest) -> F + Clone + 'static,
    F: Future<Output = FrontReply> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY on a client connection");
    }
    let stream = CountedStream::new(stream, Purpose::new("clients"));
    let service = service_fn(|request: Request<Incoming>| {
        let (front, handler) = (front.clone(), handler.clone());
        async move {
            let open_request = OpenRequest::start(&front);
            let reply = match read(request).await {
                Ok(request) => handler(request).await,
                Err(refusal) => refusal,
            };
            let is_last = front.state.is_draining.get();
            drop(open_request);
            Ok::<_, Infallible>(encode(reply, is_last))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .half_close(true)
        .max_buf_size(32 << 10)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "a client connection closed with an error");
    }
}

async fn read(request: Request<Incoming>) -> std::result::Result<FrontRequest, FrontReply> {
    let (head, body) = request.into_parts();
    let authority = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let authority = authority.or(head.uri.host()).unwrap_or_default();
    let host = authority.split(':').next().unwrap_or_default().to_owned();
    let body = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            tracing::debug!(%error, "cannot read the body of a client request");
            return Err(FrontReply::status(400));
        }
    };
    Ok(FrontRequest {
        method: head.method,
        host,
        path: head.uri.path().to_owned(),
        headers: head.headers,
        body,
    })
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

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Lets a restarted process bind while connections of its predecessor are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
