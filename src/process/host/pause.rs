//! Detects that the process or its machine has been paused.

use crate::base::Millis;
use crate::process::shard::Now;

/// A host that has not run for longer than this has been paused, in milliseconds; it is polled every
/// 50 ms.
const PAUSE_TIME: Millis = Millis(400);
/// How long after a pause messages may arrive that were sent before its end, in milliseconds.
const STALE_TIME: Millis = Millis(200);
/// Follows both clocks, since the steady one stands still while the machine is suspended.
#[derive(Debug)]
pub(super) struct PauseWatch {
    /// When the host last handled an event or was polled.
    last_run: Now,
    /// When it last ran on after a pause.
    resumed: Option<Millis>,
}

impl PauseWatch {
    pub fn start(now: Now) -> Self {
        PauseWatch {
            last_run: now,
            resumed: None,
        }
    }

    /// Notes that the host runs, and the end of a pause.
    pub fn note(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last_run, now);
        let wall = Millis(now.wall.saturating_sub(last.wall));
        let passed = now.steady.since(last.steady).max(wall);
        if passed > PAUSE_TIME {
            self.resumed = Some(now.steady);
        }
    }

    /// Whether a message that has just arrived may have been sent before the end of a pause, so that
    /// its sender no longer waits for it.
    pub fn may_be_stale(&self, now: Now) -> bool {
        self.resumed
            .is_some_and(|at| now.steady.since(at) <= STALE_TIME)
    }
}
