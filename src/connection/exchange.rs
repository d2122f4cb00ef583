//! HTTP/1.1 calls over kept connections, on the caller's own thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use super::orders::CallError;

/// Longest time to open a connection. Hosts are at most some 30 ms apart, so a longer wait means
/// that the other side is gone.
const CONNECT_TIME: Duration = Duration::from_millis(600);
/// Idle connections kept for one address: one for the waiting report, the others for orders.
const MAX_IDLE: usize = 4;
/// An idle connection older than this is not used again, since the server may close it meanwhile.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Longest answer in bytes.
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

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Kept connections by address. Clones share them; all run on one thread.
#[derive(Clone, Default)]
pub struct AsyncHttpClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl AsyncHttpClient {
    pub fn new() -> Self {
        AsyncHttpClient::default()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// `NotSent` if no connection could be opened, `Refused` if nothing listens there, `NoAnswer` if the answer did not come in `time`
    /// or the connection ended before it.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        time: Duration,
    ) -> Result<HttpReply> {
        match timeout(time, self.attempt(address, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::NoAnswer),
        }
    }

    /// Drops all kept connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    async fn attempt(&self, address: SocketAddr, request: HttpRequest) -> Result<HttpReply> {
        let mut sender = match self.take(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        if sender.ready().await.is_err() {
            sender = connect(address).await?;
        }
        let message = build(address, request)?;
        let answer = sender.send_request(message).await;
        let answer = answer.map_err(|error| match error.is_canceled() {
            // The connection was closed before the request was written.
            true => CallError::NotSent,
            false => CallError::NoAnswer,
        })?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|_| CallError::NoAnswer)?.to_bytes();
        if body.len() > MAX_ANSWER {
            return Err(CallError::Malformed);
        }
        self.give_back(address, sender);
        Ok(HttpReply { status, body })
    }

    fn take(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if !connection.sender.is_closed() && connection.since.elapsed() < IDLE_TIME {
                return Some(connection.sender);
            }
        }
        None
    }

    fn give_back(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE {
            let since = Instant::now();
            kept.push(Idle { sender, since });
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let opened = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        // The host is there, and nothing listens at the address.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(CallError::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallError::NotSent),
    };
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%address, %error, "a connection keeps its delay");
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::NotSent)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "a kept connection ended");
        }
    });
    Ok(sender)
}

fn build(address: SocketAddr, request: HttpRequest) -> Result<hyper::Request<Full<Bytes>>> {
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
