//! Which runs are moved off a worker that is to get no more work but goes on serving.

use jayfork::base::Millis;
use jayfork::request::job::StayingRun;
use yare::parameterized;

/// A long-running task of 14, all of which are at work.
const LONG_RUNNING: StayingRun = StayingRun {
    lasts: true,
    gang: false,
    is_saved: false,
    remaining: Millis(0),
    tasks: 14,
    absent: 0,
    max_absent: None,
};
/// A task with saved progress that would run for another 20 s.
const SAVED: StayingRun = StayingRun {
    lasts: false,
    is_saved: true,
    remaining: Millis(20_000),
    tasks: 1,
    ..LONG_RUNNING
};

/// Guards against moves that callers notice more than the wait for the end of the run: work that is lost or nearly
/// done, gangs that break, and jobs of which many tasks, or more than they bear, are away at once.
#[parameterized(
    long_running = { LONG_RUNNING, true },
    second_of_fourteen = { StayingRun { absent: 1, ..LONG_RUNNING }, true },
    third_of_fourteen = { StayingRun { absent: 2, ..LONG_RUNNING }, false },
    only_task = { StayingRun { tasks: 1, ..LONG_RUNNING }, true },
    second_of_two = { StayingRun { tasks: 2, absent: 1, ..LONG_RUNNING }, false },
    limit_reached = { StayingRun { absent: 1, max_absent: Some(1), ..LONG_RUNNING }, false },
    no_absence_allowed = { StayingRun { max_absent: Some(0), ..LONG_RUNNING }, false },
    wide_limit = { StayingRun { absent: 2, max_absent: Some(9), ..LONG_RUNNING }, false },
    gang = { StayingRun { gang: true, ..LONG_RUNNING }, false },
    saved = { SAVED, true },
    saved_and_nearly_done = { StayingRun { remaining: Millis(9_000), ..SAVED }, false },
    not_saved = { StayingRun { is_saved: false, ..SAVED }, false },
    saved_gang = { StayingRun { gang: true, ..SAVED }, false },
)]
fn only_runs_move_whose_users_notice_little(run: StayingRun, is_movable: bool) {
    assert_eq!(run.is_movable(), is_movable);
}
