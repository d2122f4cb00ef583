//! Whether a run is moved off a worker that is to get no more work but goes on serving.
//!
//! Nothing is lost if such a run stays, so it is moved only if its users notice little.

use crate::base::Millis;

/// A batch run that ends by itself within this time is left to end, in milliseconds. A stop and a new start take
/// about a second, and what was done since the last checkpoint is done again.
const MIN_REMAINDER: Millis = Millis(10_000);
/// At most one of this many tasks of a long-running step is away at a time, and at least one may be.
const STEP_DIVISOR: usize = 8;

/// What the decision about one run depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StayingRun {
    pub lasts: bool,
    /// Whether it works only together with the other tasks of its step.
    pub gang: bool,
    /// Whether a later run can go on where this one was stopped.
    pub is_saved: bool,
    /// Expected time until it ends by itself, in milliseconds.
    pub remaining: Millis,
    /// Number of tasks of its step.
    pub tasks: usize,
    /// Tasks of its step that are not at work.
    pub absent: usize,
    /// Most tasks of the step that the scheduler may take away at a time, if the job has a limit.
    pub max_absent: Option<u16>,
}

impl StayingRun {
    /// Whether it is to be stopped now, so that it goes on elsewhere.
    pub fn is_movable(&self) -> bool {
        if self.gang {
            return false;
        }
        if !self.lasts {
            return self.is_saved && self.remaining >= MIN_REMAINDER;
        }
        let by_size = self.tasks.div_ceil(STEP_DIVISOR);
        let limit = self
            .max_absent
            .map_or(by_size, |max| by_size.min(usize::from(max)));
        self.absent < limit
    }
}
