//! When a best-effort run that is slowed down is better off on another worker.

use crate::base::Millis;

/// What a move costs a run, in milliseconds: its stop, a new start and the return to its saved progress.
const MOVE_COST: u64 = 1_000;

/// Whether a run with `remaining` milliseconds of work at full speed would lose more at a speed limit, in
/// percent, than by a move to another worker.
pub fn is_slowed(remaining: u64, speed_limit: u8) -> bool {
    let limit = u64::from(speed_limit.min(100));
    limit == 0 || remaining * (100 - limit) / limit > MOVE_COST
}

/// When a run that works at a speed limit, in percent, would have had to stop to lose as much work as it
/// has lost since `since`, if `elapsed` has passed at that limit.
pub fn shift_halt(since: Millis, elapsed: Millis, speed_limit: u8) -> Millis {
    since + Millis(elapsed.0 * u64::from(speed_limit.min(100)) / 100)
}
