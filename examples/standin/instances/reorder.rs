//! Sends answers in the reverse of the order in which they became ready.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// Longest time that an answer waits for later ones.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Time between the answers of a batch, so that clients see the order.
const GAP: Duration = Duration::from_millis(20);

/// Collects answers of all instances into batches.
#[derive(Debug, Default)]
pub struct Reorder {
    /// Batch number and answers in it so far.
    batch: Mutex<(u64, usize)>,
    changed: Condvar,
}

impl Reorder {
    /// Blocks until `size` answers are ready or a second passed; the last one returns first.
    pub fn hold(&self, size: usize) {
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
            .wait_timeout_while(batch, LONGEST_WAIT, |batch| batch.0 == number)
            .expect("no thread panics with the lock");
        drop(_batch);
        std::thread::sleep(GAP * (size - 1 - position) as u32);
    }
}
