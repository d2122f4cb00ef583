//! Serialises all access to the backend servers of a process.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use jayfork::base::Millis;

use crate::clock;

/// One lock over all hosts, so that records have one order and duplicates are seen at once.
#[derive(Debug)]
pub struct Fleet<B> {
    backend: Mutex<B>,
    changed: Condvar,
}

impl<B> Fleet<B> {
    pub fn new(backend: B) -> Self {
        Fleet {
            backend: Mutex::new(backend),
            changed: Condvar::new(),
        }
    }

    /// Runs `change` with the time as of taking the lock, and wakes waiters.
    pub fn with<R>(&self, change: impl FnOnce(Millis, &mut B) -> R) -> R {
        let mut backend = self.lock();
        let result = change(clock::now(), &mut backend);
        drop(backend);
        self.changed.notify_all();
        result
    }

    /// Calls `step` whenever the backend changed or the time that `step` returned has come.
    pub fn run(&self, mut step: impl FnMut(Millis, &mut B) -> Option<Millis>) -> ! {
        /// Longest sleep when nothing is due.
        const IDLE: Millis = Millis(1000);
        let mut backend = self.lock();
        loop {
            let now = clock::now();
            let next = step(now, &mut backend).unwrap_or(now + IDLE);
            // A due time in the current millisecond would otherwise spin.
            let wait = clock::duration(next.since(now)).max(Duration::from_millis(1));
            backend = self
                .changed
                .wait_timeout(backend, wait)
                .expect("no thread panics with the lock")
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, B> {
        self.backend.lock().expect("no thread panics with the lock")
    }
}
