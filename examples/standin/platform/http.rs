//! HTTP/1.1 server on the thread of its caller.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A complete request.
pub struct Request {
    pub method: Method,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HeaderMap,
    pub body: Bytes,
}

pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

/// Answers the requests of one listener.
pub trait Service: Clone + 'static {
    fn answer(&self, request: Request) -> impl Future<Output = Reply> + 'static;
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        let body = body.into();
        Reply { status, body }
    }

    pub fn status(status: u16) -> Self {
        Reply::new(status, Bytes::new())
    }

    pub fn json(status: u16, body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body);
        Reply::new(status, body.expect("answers consist of encodable types"))
    }
}

impl Request {
    /// Returns a number in the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

pub async fn serve<S: Service>(listener: TcpListener, service: S) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!(%error, "cannot listen"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(stream, service.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, service: S) {
    let _ = stream.set_nodelay(true);
    let handler = service_fn(|request: hyper::Request<Incoming>| {
        let service = service.clone();
        async move {
            let reply = match read(request).await {
                Some(request) => service.answer(request).await,
                None => Reply::status(400),
            };
            Ok::<_, Infallible>(encode(reply))
        }
    });
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), handler)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection failed");
    }
}

async fn read(request: hyper::Request<Incoming>) -> Option<Request> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let query = head.uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect(),
        headers: head.headers,
        body,
    })
}

fn encode(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap_or_default();
    response
}

/// Decodes percent-encoded bytes.
fn unescape(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next(), bytes.next()].map(|digit| digit.unwrap_or(b'0') as char);
        let value = digits.map(|digit| digit.to_digit(16).unwrap_or(0) as u8);
        decoded.push(value[0] << 4 | value[1]);
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
