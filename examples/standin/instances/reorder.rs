//! Reverses the order in which answers are sent.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// Maximum time that an answer waits for later ones.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time between two answers of a batch, so that clients receive them in that order.
const ANSWER_INTERVAL: Duration = Duration::from_millis(20);

/// Collects answers of all instances into batches.
#[derive(Debug, Default)]
pub struct ReorderBuffer {
    /// Number of the current batch, and how many answers it has so far.
    batch: Mutex<(u64, usize)>,
    changed: Condvar,
}

impl ReorderBuffer {
    /// Blocks until a batch of `size` answers is ready or `MAX_WAIT` has passed. The calls of a
    /// batch return in the reverse of the order in which they began.
    pub fn wait(&self, size: usize) {
        if size < 2 {
            return;
        }
        let mut batch = self.batch.lock().expect("no thread panics with the lock");
        let (number, position) = *batch;
        batch.1 += 1;
        if batch.1 >= size {
            *batch = (number + 1, 0);
            self.changed.notify_all();
            return;
        }
        let (_batch, _) = self
            .changed
            .wait_timeout_while(batch, MAX_WAIT, |batch| batch.0 == number)
            .expect("no thread panics with the lock");
        drop(_batch);
        std::thread::sleep(ANSWER_INTERVAL * (size - 1 - position) as u32);
    }
}
