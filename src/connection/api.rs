//! HTTP server for callers and operators.

mod answer;
mod body;
mod budget;
mod call;
mod connection;
mod response;
mod shared;
mod socket;

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

/// Time to admit and refuse the connections that were under way when the last answer was written.
const STOP_TIME: Duration = Duration::from_millis(450);
/// Connections that the kernel keeps until they are accepted. A burst beyond this waits for the
/// kernel's repetition after 1 s.
const BACKLOG: u32 = 1_024;

/// Bounds of the server.
#[derive(Debug, Clone, Copy)]
pub struct ApiLimits {
    /// Largest request body in bytes.
    pub body: u64,
    /// Bytes of all request bodies that are being received or are held by the handler.
    pub bodies: u64,
    /// Connections open at once; callers beyond it are refused.
    pub connections: usize,
    /// Longest wait for a whole head, counted from the end of the previous request.
    pub head_time: Duration,
    /// Longest time without progress while a body is received.
    pub body_time: Duration,
    /// Longest time without progress while an answer is sent.
    pub answer_time: Duration,
}

impl Default for ApiLimits {
    fn default() -> Self {
        ApiLimits {
            body: 16 << 20,
            bodies: 256 << 20,
            connections: 512,
            // A caller may lose a request that it sends while the server closes an idle
            // connection, so idle connections stay open longer than load balancers keep theirs.
            head_time: Duration::from_secs(75),
            body_time: Duration::from_secs(10),
            // The kernel reports progress only when a third of its send buffer, which can be
            // several MiB, is free again; a shorter limit would cut slow callers.
            answer_time: Duration::from_secs(60),
        }
    }
}

/// Receives complete requests; called on the server's thread, so it must not block.
pub trait ApiHandler: Clone + Send + 'static {
    /// Answer with `ApiServer::respond` and the same ticket.
    fn called(&self, ticket: u64, call: ApiCall);

    /// The caller has closed its connection before its answer; an answer is no longer needed.
    /// A caller that closes only its sending half counts as gone, too.
    fn closed(&self, ticket: u64);
}

/// Running server; it stops serving when dropped.
#[derive(Debug)]
pub struct ApiServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    /// The server's thread ends when this sender is dropped.
    _running: oneshot::Sender<()>,
}

impl ApiServer {
    /// Listens on `address` and serves on a thread of its own.
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
        let local = listener.local_addr().map_err(bind_error)?;
        let shared = Arc::new(Shared::default());
        let acceptor = Acceptor::new(limits, handler, shared.clone());
        let (running, stopped) = oneshot::channel::<()>();
        thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || {
                let tasks = LocalSet::new();
                runtime.block_on(tasks.run_until(async move {
                    tokio::task::spawn_local(acceptor.run(listener));
                    // Ends with an error, since the sender sends nothing.
                    let _ = stopped.await;
                }));
            })
            .map_err(|error| Error::Thread(error.to_string()))?;
        Ok(ApiServer {
            shared,
            address: local,
            _running: running,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers the request with this ticket; ignored if it was answered before or its caller is
    /// gone.
    pub fn respond(&self, ticket: u64, response: ApiResponse) {
        self.shared.respond(ticket, response);
    }

    /// Refuses new requests, waits until every answer is written, for at most `timeout`, and then
    /// stops accepting connections.
    pub fn close(&self, timeout: Duration) {
        self.shared.close();
        let until = Instant::now() + timeout;
        while self.shared.open() > 0 && Instant::now() < until {
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
