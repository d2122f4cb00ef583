use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::response::ApiResponse;

/// State of the server's thread and of its handle.
#[derive(Debug, Default)]
pub struct Shared {
    waiting: Mutex<HashMap<u64, oneshot::Sender<ApiResponse>>>,
    /// Requests that are read and not yet answered in full.
    open: AtomicUsize,
    /// Whether requests are refused because the process is about to end.
    closing: AtomicBool,
    /// Whether no more connections are accepted.
    stopped: AtomicBool,
}

impl Shared {
    /// Receives the answer to `ticket`.
    pub fn wait(&self, ticket: u64) -> oneshot::Receiver<ApiResponse> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(ticket, sender);
        receiver
    }

    pub fn respond(&self, ticket: u64, response: ApiResponse) {
        let waiting = self.waiting().remove(&ticket);
        if let Some(sender) = waiting {
            // The receiver is gone if the caller has closed its connection.
            let _ = sender.send(response);
        }
    }

    /// Returns whether the ticket was not answered.
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

    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<ApiResponse>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request from its head until its answer is written, or its connection ends.
#[derive(Debug)]
pub struct InProgress {
    shared: Arc<Shared>,
}

impl InProgress {
    /// Returns `None` if the server is closing. Requests are counted before the check, so that
    /// `close` either sees the request or the request sees `close`.
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
