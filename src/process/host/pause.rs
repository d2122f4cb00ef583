//! Detects that the process or its machine has been paused.

use crate::base::Millis;
use crate::process::shard::Now;

/// A host that has not run for longer than this has been paused, in milliseconds; it is polled every
/// 50 ms.
const PAUSE_TIME: Millis = Millis(400);
/// How long after a pause messages may arrive that were sent before its end, in milliseconds.
const STALE_TIME: Millis = Millis(200);

/// Follows the steady clock, which stands still while the machine is suspended. See `SuspendWatch`.
#[derive(Debug)]
pub(super) struct PauseWatch {
    /// When the host last handled an event or was polled.
    last_run: Millis,
    /// When it last ran on after a pause.
    resumed: Option<Millis>,
}

impl PauseWatch {
    pub fn start(now: Now) -> Self {
        PauseWatch {
            last_run: now.steady,
            resumed: None,
        }
    }

    /// Notes that the host runs, and the end of a pause.
    pub fn note(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last_run, now.steady);
        if now.steady.since(last) > PAUSE_TIME {
            self.resume(now);
        }
    }

    /// Notes the end of a pause.
    pub fn resume(&mut self, now: Now) {
        self.resumed = Some(now.steady);
    }

    /// Whether a message that has just arrived may have been sent before the end of a pause, so that
    /// its sender no longer waits for it.
    pub fn may_be_stale(&self, now: Now) -> bool {
        self.resumed
            .is_some_and(|at| now.steady.since(at) <= STALE_TIME)
    }
}

/// Tells a suspended machine from a wall clock that was set. The wall clock gains on the steady one in both
/// cases, the time since the boot only if the machine was suspended.
#[derive(Debug)]
pub struct SuspendWatch {
    last: Now,
    /// Time since the boot when it was last read, less the steady time then, in milliseconds. It grows
    /// by the time that the machine is suspended.
    offset: Option<i64>,
}

impl SuspendWatch {
    /// `boot_time` is the time since the boot of the machine, with that in which it was suspended; `None`
    /// if it is not known.
    pub fn start(now: Now, boot_time: Option<Millis>) -> Self {
        SuspendWatch {
            last: now,
            offset: offset(now, boot_time),
        }
    }

    /// Whether the machine was suspended since the last call. Reads the time since the boot only if the
    /// clocks differ. Without that time, each difference of the clocks counts.
    pub fn note(&mut self, now: Now, boot_time: impl FnOnce() -> Option<Millis>) -> bool {
        let last = std::mem::replace(&mut self.last, now);
        let wall = Millis(now.wall.saturating_sub(last.wall));
        if wall.since(now.steady.since(last.steady)) <= PAUSE_TIME {
            return false;
        }
        let offset = offset(now, boot_time());
        let known = std::mem::replace(&mut self.offset, offset);
        match (known, offset) {
            (Some(known), Some(offset)) => offset.saturating_sub(known) > PAUSE_TIME.0 as i64,
            _ => true,
        }
    }
}

fn offset(now: Now, boot_time: Option<Millis>) -> Option<i64> {
    boot_time.map(|time| time.0 as i64 - now.steady.0 as i64)
}
