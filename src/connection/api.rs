//! HTTP server for callers and operators.

mod answer;
mod body;
mod call;
mod connection;
mod response;
mod shared;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

pub use call::{ApiCall, ApiMethod};
pub use response::{ApiResponse, ContentKind};

use self::connection::Acceptor;
use self::shared::Shared;
use super::error::{Error, Result};

/// Time to accept and refuse the connections that callers were opening when the last answer was
/// written.
const STOP_TIME: Duration = Duration::from_millis(450);
/// Maximum number of connections that the kernel queues until they are accepted. Callers beyond it
/// wait for the kernel to repeat the handshake after 1 s.
const BACKLOG: u32 = 1_024;

/// Limits of the server.
#[derive(Debug, Clone, Copy)]
pub struct ApiLimits {
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Maximum total size, in bytes, of the request bodies that are being received or that the
    /// handler still uses.
    pub body_budget: u64,
    /// Maximum number of open connections; further callers are refused.
    pub max_connections: usize,
    /// Maximum time to receive a whole request head, from the end of the previous request.
    pub head_timeout: Duration,
    /// Maximum time without progress while a body is received.
    pub body_timeout: Duration,
    /// Maximum time without progress while an answer is sent.
    pub answer_timeout: Duration,
}

impl Default for ApiLimits {
    fn default() -> Self {
        ApiLimits {
            max_body: 16 << 20,
            body_budget: 256 << 20,
            max_connections: 512,
            // A request that a caller sends while the server closes an idle connection may be lost.
            // Load balancers close their idle connections earlier than this.
            head_timeout: Duration::from_secs(75),
            body_timeout: Duration::from_secs(10),
            // The kernel reports progress only once a third of its send buffer is free again. The
            // buffer can have several MiB, so a shorter limit would disconnect slow callers.
            answer_timeout: Duration::from_secs(60),
        }
    }
}

/// Receives complete requests. Its methods are called on the server's thread and must not block.
pub trait ApiHandler: Clone + Send + 'static {
    /// Handles a request; its answer goes to `ApiServer::respond` with the same ticket.
    fn request_received(&self, ticket: u64, call: ApiCall);

    /// Handles a caller that closed its connection before the answer, which is no longer needed. A
    /// caller that closes only its sending half counts as disconnected, too.
    fn caller_disconnected(&self, ticket: u64);
}

/// Handle of the running server, which stops when this is dropped.
#[derive(Debug)]
pub struct ApiServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    /// The server's thread ends when this sender is dropped.
    _stop_on_drop: oneshot::Sender<()>,
}

impl ApiServer {
    /// Listens on `address` and serves callers on a new thread.
    pub fn bind<H: ApiHandler>(address: SocketAddr, limits: ApiLimits, handler: H) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::Thread(error.to_string()))?;
        let bind_error = |error: std::io::Error| Error::Bind {
            address: address.to_string(),
            reason: error.to_string(),
        };
        let listener = {
            let _context = runtime.enter();
            listen(address).map_err(bind_error)?
        };
        let bound = listener.local_addr().map_err(bind_error)?;
        let shared = Arc::new(Shared::default());
        let acceptor = Acceptor::new(limits, handler, shared.clone());
        let (stop_on_drop, dropped) = oneshot::channel::<()>();
        thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || {
                let tasks = LocalSet::new();
                runtime.block_on(tasks.run_until(async move {
                    tokio::task::spawn_local(acceptor.run(listener));
                    // Returns an error once the sender is dropped; nothing is ever sent.
                    let _ = dropped.await;
                }));
            })
            .map_err(|error| Error::Thread(error.to_string()))?;
        Ok(ApiServer {
            shared,
            address: bound,
            _stop_on_drop: stop_on_drop,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers the request with this ticket. Does nothing if it was answered before or if its
    /// caller has disconnected.
    pub fn respond(&self, ticket: u64, response: ApiResponse) {
        self.shared.respond(ticket, response);
    }

    /// Refuses new requests, waits up to `timeout` until all answers are written, and then stops
    /// accepting connections.
    pub fn close(&self, timeout: Duration) {
        self.shared.close();
        let until = Instant::now() + timeout;
        while self.shared.open_requests() > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        self.shared.stop();
        thread::sleep(STOP_TIME);
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Lets a restarted process bind while connections of the previous one are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
