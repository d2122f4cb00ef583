//! Lock over all backend servers of a process.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use jayfork::base::Millis;

use crate::clock;

/// Serialises all requests, so that the records have one order and a task that runs on two hosts
/// is detected when it starts.
#[derive(Debug)]
pub struct LockedFleet<B> {
    state: Mutex<B>,
    changed: Condvar,
}

impl<B> LockedFleet<B> {
    pub fn new(state: B) -> Self {
        LockedFleet {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Runs `change` with the current time under the lock, then wakes `run`.
    pub fn update<R>(&self, change: impl FnOnce(Millis, &mut B) -> R) -> R {
        let mut state = self.lock();
        let result = change(clock::now(), &mut state);
        drop(state);
        self.changed.notify_all();
        result
    }

    /// Calls `step` after every change and at the time that the previous call of `step` returned.
    pub fn run(&self, mut step: impl FnMut(Millis, &mut B) -> Option<Millis>) -> ! {
        /// Time between calls of `step` when it returns none, in milliseconds.
        const IDLE_INTERVAL: Millis = Millis(1000);
        let mut state = self.lock();
        loop {
            let now = clock::now();
            let next = step(now, &mut state).unwrap_or(now + IDLE_INTERVAL);
            // Without the minimum, a time within the current millisecond would make the loop spin.
            let wait = clock::to_duration(next.since(now)).max(Duration::from_millis(1));
            state = self
                .changed
                .wait_timeout(state, wait)
                .expect("no thread panics with the lock")
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, B> {
        self.state.lock().expect("no thread panics with the lock")
    }
}
