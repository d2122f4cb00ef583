use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that may be held at once.
#[derive(Debug)]
pub struct Budget {
    limit: u64,
    held: AtomicU64,
}

impl Budget {
    pub fn new(limit: u64) -> Arc<Self> {
        let held = AtomicU64::new(0);
        Arc::new(Budget { limit, held })
    }

    /// An empty share of the budget.
    pub fn share(self: &Arc<Self>) -> Share {
        let budget = self.clone();
        Share { budget, bytes: 0 }
    }
}

/// Bytes taken from a budget; given back when dropped, on any thread.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    bytes: u64,
}

impl Share {
    /// Takes `bytes` more; returns false and takes nothing if they exceed the budget.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let held = self.budget.held.fetch_add(bytes, Ordering::Relaxed);
        if held + bytes > self.budget.limit {
            self.budget.held.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
