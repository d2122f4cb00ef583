//! Limit on the memory of request bodies that are used on several threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::body::MemoryShare;

/// Limit on the number of bytes in use at the same time.
#[derive(Debug)]
pub struct Budget {
    limit: u64,
    used: AtomicU64,
}

impl Budget {
    pub fn new(limit: u64) -> Arc<Self> {
        let used = AtomicU64::new(0);
        Arc::new(Budget { limit, used })
    }

    /// An empty share of the budget.
    pub fn share(self: &Arc<Self>) -> BudgetShare {
        let budget = self.clone();
        BudgetShare { budget, bytes: 0 }
    }
}

/// Bytes taken from a budget; they are returned when this is dropped, on any thread.
#[derive(Debug)]
pub struct BudgetShare {
    budget: Arc<Budget>,
    bytes: u64,
}

impl MemoryShare for BudgetShare {
    fn grow(&mut self, bytes: u64) -> bool {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        if used + bytes > self.budget.limit {
            self.budget.used.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
