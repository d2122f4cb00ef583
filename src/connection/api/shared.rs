use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::response::ApiResponse;

/// State shared by the server's thread and its handle.
#[derive(Debug, Default)]
pub struct Shared {
    /// Where the answer to each ticket goes.
    waiting: Mutex<HashMap<u64, oneshot::Sender<ApiResponse>>>,
    /// Number of requests in progress.
    open: AtomicUsize,
    /// Whether new requests are refused because the process is about to exit.
    closing: AtomicBool,
    /// Whether the acceptor has to end.
    stopped: AtomicBool,
}

impl Shared {
    /// Returns the receiver of the answer to `ticket`.
    pub fn wait(&self, ticket: u64) -> oneshot::Receiver<ApiResponse> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(ticket, sender);
        receiver
    }

    pub fn respond(&self, ticket: u64, response: ApiResponse) {
        let waiting = self.waiting().remove(&ticket);
        if let Some(sender) = waiting {
            // Fails if the caller has closed its connection, which drops the receiver.
            let _ = sender.send(response);
        }
    }

    /// Removes a ticket; returns whether it was still waiting for its answer.
    pub fn forget(&self, ticket: u64) -> bool {
        self.waiting().remove(&ticket).is_some()
    }

    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<ApiResponse>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request from the arrival of its head until its answer is written or its connection ends.
#[derive(Debug)]
pub struct InProgress {
    shared: Arc<Shared>,
}

impl InProgress {
    /// Returns `None` if the server is closing. The request is counted before the check, so that
    /// `ApiServer::close` either waits for it or it is refused.
    pub fn start(shared: &Arc<Shared>) -> Option<Self> {
        shared.open.fetch_add(1, Ordering::SeqCst);
        let shared = shared.clone();
        let in_progress = InProgress { shared };
        if in_progress.shared.is_closing() {
            return None;
        }
        Some(in_progress)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::SeqCst);
    }
}
