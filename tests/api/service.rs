//! Server under test, with a simple handler.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use jayfork::connection::{ApiCall, ApiHandler, ApiLimits, ApiResponse, ApiServer, ContentKind};

use super::caller::Caller;

/// Maximum size of a request body that the server under test accepts, and size of the answer to
/// `/big`.
pub const MAX_BODY: usize = 16 << 20;

#[derive(Clone)]
struct Handler {
    calls: Sender<(u64, ApiCall)>,
    disconnected: Sender<u64>,
}

impl ApiHandler for Handler {
    fn request_received(&self, ticket: u64, call: ApiCall) {
        let _ = self.calls.send((ticket, call));
    }

    fn caller_disconnected(&self, ticket: u64) {
        let _ = self.disconnected.send(ticket);
    }
}

/// A running server. A request to `/hold` waits until the test answers it, `/big` answers with
/// `MAX_BODY` bytes, and any other path answers with the request's body, or with its path and query
/// if the body is empty.
pub struct Service {
    pub server: Arc<ApiServer>,
    held: Mutex<Receiver<(u64, ApiCall)>>,
    disconnected: Mutex<Receiver<u64>>,
    seen: Arc<Mutex<Vec<String>>>,
}

pub fn limits() -> ApiLimits {
    ApiLimits {
        max_body: MAX_BODY as u64,
        ..ApiLimits::default()
    }
}

impl Service {
    pub fn start() -> Self {
        Service::with_limits(limits())
    }

    pub fn with_limits(limits: ApiLimits) -> Self {
        let (calls, received) = channel();
        let (hold, held) = channel();
        let (disconnects, disconnected) = channel();
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Handler {
            calls,
            disconnected: disconnects,
        };
        let server = ApiServer::bind(local, limits, handler).expect("a free port can be bound");
        let server = Arc::new(server);
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (weak, paths) = (Arc::downgrade(&server), seen.clone());
        thread::spawn(move || {
            while let Ok((ticket, call)) = received.recv() {
                paths.lock().unwrap().push(call.path.clone());
                let Some(server) = weak.upgrade() else { return };
                match call.path.as_str() {
                    "/hold" => drop(hold.send((ticket, call))),
                    "/big" => server.respond(ticket, response(big_body())),
                    _ if call.body.is_empty() => {
                        let text = format!("{}?{}", call.path, call.query);
                        server.respond(ticket, response(text.into()));
                    }
                    _ => server.respond(ticket, response(call.body)),
                }
            }
        });
        let held = Mutex::new(held);
        let disconnected = Mutex::new(disconnected);
        Service {
            server,
            held,
            disconnected,
            seen,
        }
    }

    pub fn caller(&self) -> Caller {
        Caller::connect(self.server.address())
    }

    /// Waits for the next request to `/hold`.
    pub fn held(&self) -> (u64, ApiCall) {
        self.held
            .lock()
            .unwrap()
            .recv_timeout(Duration::from_secs(5))
            .expect("a held request arrives")
    }

    /// Waits for the next ticket whose caller disconnected; `None` if there is none within `limit`.
    pub fn disconnected(&self, limit: Duration) -> Option<u64> {
        self.disconnected.lock().unwrap().recv_timeout(limit).ok()
    }

    pub fn answer(&self, ticket: u64, body: impl Into<Bytes>) {
        self.server.respond(ticket, response(body.into()));
    }

    /// Paths of the requests that reached the handler, in order.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }
}

fn response(body: Bytes) -> ApiResponse {
    ApiResponse {
        status: 200,
        kind: ContentKind::Raw,
        body,
    }
}

/// `MAX_BODY` bytes that repeat with a prime period, so that a missing or repeated block changes
/// the content.
pub fn big_body() -> Bytes {
    static BIG: OnceLock<Bytes> = OnceLock::new();
    let make = || {
        let period: Vec<u8> = (0..251).collect();
        let bytes = period.repeat(MAX_BODY / period.len() + 1);
        Bytes::from(bytes).slice(..MAX_BODY)
    };
    BIG.get_or_init(make).clone()
}
