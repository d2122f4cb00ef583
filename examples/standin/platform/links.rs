//! The links between the entry hosts and the workers, which a test can cut.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

/// Time between two checks of a cut link.
const CHECK_TIME: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
pub struct Links {
    /// Workers that no call reaches and whose answers reach nobody. They go on working.
    cut: Mutex<HashSet<String>>,
    /// Workers that refuse connections.
    closed: Mutex<HashSet<String>>,
}

impl Links {
    pub fn cut(&self, worker: String) {
        let mut cut = self.cut.lock().expect("no thread panics with the lock");
        cut.insert(worker);
    }

    /// Cuts the link of a worker for good; it refuses connections.
    pub fn close(&self, worker: String) {
        self.cut(worker.clone());
        let mut closed = self.closed.lock().expect("no thread panics with the lock");
        closed.insert(worker);
    }

    /// Returns once a worker refuses connections.
    pub async fn closed(&self, worker: &str) {
        while !self.is_closed(worker) {
            tokio::time::sleep(CHECK_TIME).await;
        }
    }

    /// Restores the links that are cut.
    pub fn restore(&self) {
        let mut cut = self.cut.lock().expect("no thread panics with the lock");
        cut.clear();
    }

    /// Returns once the link of a worker is not cut.
    pub async fn pass(&self, worker: &str) {
        while self.is_cut(worker) {
            tokio::time::sleep(CHECK_TIME).await;
        }
    }

    fn is_closed(&self, worker: &str) -> bool {
        let closed = self.closed.lock().expect("no thread panics with the lock");
        closed.contains(worker)
    }

    fn is_cut(&self, worker: &str) -> bool {
        let cut = self.cut.lock().expect("no thread panics with the lock");
        cut.contains(worker)
    }
}
