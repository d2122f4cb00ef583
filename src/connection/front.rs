//! HTTP/1.1 server for client accounts, on the caller's own thread.

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

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: u32 = 1_024;
/// Longest wait for a whole head; clients keep idle connections open.
const HEAD_TIME: Duration = Duration::from_secs(30);
/// Largest body of a request in bytes.
const MAX_BODY: usize = 1 << 20;
/// Pause after a failed accept, for example when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A whole request of a client.
#[derive(Debug, Clone)]
pub struct FrontRequest {
    pub method: hyper::Method,
    /// Authority without its port.
    pub host: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FrontReply {
    pub status: u16,
    /// JSON; empty for no body.
    pub body: Bytes,
    /// Seconds after which a refused client may come back.
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

/// Running server; clones share it.
#[derive(Clone, Default)]
pub struct FrontServer {
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    open: Cell<usize>,
    closing: Cell<bool>,
    address: RefCell<Option<SocketAddr>>,
}

impl FrontServer {
    /// Listens on `address` and answers each request with `handler`.
    ///
    /// # Errors
    ///
    /// `Bind` if the address is in use.
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

    /// Requests that are read and not yet answered in full.
    pub fn open_requests(&self) -> usize {
        self.state.open.get()
    }

    /// Ends each connection after the answer to its next request; idle ones stay usable.
    pub fn drain(&self) {
        self.state.closing.set(true);
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
                tracing::warn!(%error, "cannot accept a connection of a client");
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
        tracing::debug!(%error, "a client's connection keeps its delay");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let (front, handler) = (front.clone(), handler.clone());
        async move {
            let counted = Counted::start(&front);
            let reply = match read(request).await {
                Ok(request) => handler(request).await,
                Err(refusal) => refusal,
            };
            let is_last = front.state.closing.get();
            drop(counted);
            Ok::<_, Infallible>(encode(reply, is_last))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .half_close(true)
        .max_buf_size(32 << 10)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "a client's connection ended");
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
            tracing::debug!(%error, "the body of a request was not read");
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

/// A request from its head until its answer is handed to the connection.
struct Counted(FrontServer);

impl Counted {
    fn start(front: &FrontServer) -> Self {
        front.state.open.set(front.state.open.get() + 1);
        Counted(front.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let state = &self.0.state;
        state.open.set(state.open.get() - 1);
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Lets a restarted process bind while connections of the previous one are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
