//! HTTP server for callers and operators.

use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tiny_http::{Header, Method, Request, Response, Server};

use super::error::{Error, Result};
use super::pool::{Job, Pool};
use super::wire::ErrorBody;
use crate::base::{Name, Ran};

/// Stack of a reader thread.
const STACK_BYTES: usize = 256 * 1024;

/// Sizes of the server.
#[derive(Debug, Clone, Copy)]
pub struct ApiLimits {
    /// Largest request body in bytes.
    pub body: u64,
    /// Threads that read requests.
    pub readers: usize,
    /// Threads that write answers.
    pub writers: usize,
}

/// Receives complete requests; called on the server's threads.
pub trait ApiHandler: Clone + Send + 'static {
    /// Answer with `ApiServer::respond` and the same ticket.
    fn called(&self, ticket: u64, call: ApiCall);
}

/// A request whose body has arrived whole.
#[derive(Debug, Clone)]
pub struct ApiCall {
    pub method: ApiMethod,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Value of the `request-id` header.
    pub request: Option<Name>,
    pub body: Bytes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiMethod {
    Get,
    Post,
    Put,
    Delete,
    Other,
}

impl From<&Method> for ApiMethod {
    fn from(method: &Method) -> Self {
        match method {
            Method::Get => ApiMethod::Get,
            Method::Post => ApiMethod::Post,
            Method::Put => ApiMethod::Put,
            Method::Delete => ApiMethod::Delete,
            _ => ApiMethod::Other,
        }
    }
}

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    pub status: u16,
    pub kind: ContentKind,
    pub body: Bytes,
}

impl ApiResponse {
    /// A JSON answer; an encoding failure becomes status 500.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => ApiResponse {
                status,
                kind: ContentKind::Json,
                body: body.into(),
            },
            Err(error) => {
                tracing::error!(%error, "cannot encode an answer");
                ApiResponse {
                    status: 500,
                    kind: ContentKind::Json,
                    body: Bytes::new(),
                }
            }
        }
    }

    /// An error answer.
    pub fn error(
        status: u16,
        error: &str,
        field: Option<&str>,
        reason: impl ToString,
        ran: Option<Ran>,
    ) -> Self {
        let body = ErrorBody {
            error: error.into(),
            field: field.map(str::to_owned),
            reason: reason.to_string(),
            ran,
        };
        ApiResponse::json(status, &body)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentKind {
    Json,
    Text,
    /// The answer of a service, passed through as it is.
    Raw,
}

impl ContentKind {
    fn header(self) -> &'static str {
        match self {
            ContentKind::Json => "application/json",
            ContentKind::Text => "text/plain; version=0.0.4",
            ContentKind::Raw => "application/octet-stream",
        }
    }
}

type Waiting = Arc<Mutex<HashMap<u64, Request>>>;

struct WriteJob {
    request: Request,
    response: ApiResponse,
    open: Arc<AtomicUsize>,
}

impl Job for WriteJob {
    fn run(self) {
        let WriteJob {
            request,
            response,
            open,
        } = self;
        let mut answer = Response::from_data(response.body.to_vec())
            .with_status_code(response.status)
            .with_chunked_threshold(usize::MAX);
        if let Ok(header) = Header::from_bytes("content-type", response.kind.header()) {
            answer.add_header(header);
        }
        if let Err(error) = request.respond(answer) {
            tracing::debug!(%error, "a caller closed its connection before the answer");
        }
        open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Running server; it stops accepting when dropped.
pub struct ApiServer {
    server: Arc<Server>,
    waiting: Waiting,
    writers: Pool<WriteJob>,
    address: SocketAddr,
    /// Requests that are read and not yet answered in full.
    open: Arc<AtomicUsize>,
    /// Whether requests are refused because the process is about to end.
    closing: Arc<AtomicBool>,
}

impl ApiServer {
    /// Listens on `address` and passes requests to `handler`.
    pub fn bind<H: ApiHandler>(address: SocketAddr, limits: ApiLimits, handler: H) -> Result<Self> {
        let server = Server::http(address).map_err(|error| Error::Bind {
            address: address.to_string(),
            reason: error.to_string(),
        })?;
        let local = server.server_addr().to_ip().unwrap_or(address);
        let api = ApiServer {
            server: Arc::new(server),
            waiting: Waiting::default(),
            writers: Pool::spawn("api-write", limits.writers)?,
            address: local,
            open: Arc::default(),
            closing: Arc::default(),
        };
        let tickets = Arc::new(AtomicU64::new(1));
        for index in 0..limits.readers {
            let reader = Reader {
                server: api.server.clone(),
                waiting: api.waiting.clone(),
                tickets: tickets.clone(),
                limit: limits.body,
                open: api.open.clone(),
                closing: api.closing.clone(),
                handler: handler.clone(),
            };
            thread::Builder::new()
                .name(format!("api-read-{index}"))
                .stack_size(STACK_BYTES)
                .spawn(move || reader.run())
                .map_err(|error| Error::Thread(error.to_string()))?;
        }
        Ok(api)
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers the request with this ticket; ignored if it was answered before.
    pub fn respond(&self, ticket: u64, response: ApiResponse) {
        let request = lock(&self.waiting).remove(&ticket);
        if let Some(request) = request {
            self.writers.submit(WriteJob {
                request,
                response,
                open: self.open.clone(),
            });
        }
    }

    /// Refuses new requests and waits until every answer is written, for at most `timeout`.
    pub fn close(&self, timeout: Duration) {
        self.closing.store(true, Ordering::Release);
        let until = Instant::now() + timeout;
        while self.open.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for ApiServer {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

struct Reader<H> {
    server: Arc<Server>,
    waiting: Waiting,
    tickets: Arc<AtomicU64>,
    limit: u64,
    open: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
    handler: H,
}

impl<H: ApiHandler> Reader<H> {
    fn run(&self) {
        while let Ok(mut request) = self.server.recv() {
            self.open.fetch_add(1, Ordering::AcqRel);
            match self.read(&mut request) {
                Ok(call) => {
                    let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
                    lock(&self.waiting).insert(ticket, request);
                    self.handler.called(ticket, call);
                }
                Err(response) => WriteJob {
                    request,
                    response,
                    open: self.open.clone(),
                }
                .run(),
            }
        }
        // Passes the wake-up on to the next reader.
        self.server.unblock();
    }

    fn read(&self, request: &mut Request) -> std::result::Result<ApiCall, ApiResponse> {
        if self.closing.load(Ordering::Acquire) {
            let reason = "this host is stopping";
            return Err(ApiResponse::error(
                503,
                "draining",
                None,
                reason,
                Some(Ran::NotRun),
            ));
        }
        read_call(request, self.limit)
    }
}

fn read_call(request: &mut Request, limit: u64) -> std::result::Result<ApiCall, ApiResponse> {
    let declared = request.body_length().map(|length| length as u64);
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0) as usize);
    let read = request.as_reader().take(limit + 1).read_to_end(&mut body);
    if body.len() as u64 > limit {
        return Err(too_large(limit));
    }
    let is_whole = read.is_ok() && declared.is_none_or(|length| length == body.len() as u64);
    if !is_whole {
        let reason = format!("the body ended after {} bytes", body.len());
        return Err(ApiResponse::error(
            400,
            "truncated_body",
            Some("body"),
            reason,
            Some(Ran::NotRun),
        ));
    }
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (request.url().to_owned(), String::new()),
    };
    let id = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("request-id"))
        .map(|header| Name::from(header.value.as_str()));
    let method = ApiMethod::from(request.method());
    Ok(ApiCall {
        method,
        path,
        query,
        request: id,
        body: body.into(),
    })
}

fn too_large(limit: u64) -> ApiResponse {
    let reason = format!("the body is larger than {limit} bytes");
    ApiResponse::error(413, "too_large", Some("body"), reason, Some(Ran::NotRun))
}

fn lock(waiting: &Waiting) -> MutexGuard<'_, HashMap<u64, Request>> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}
