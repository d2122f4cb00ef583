//! Runs that make progress slowly, or none.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;
use yare::parameterized;

use super::world::{STEP, World, chain};

const FIVE_MINUTES: u64 = 300_000;
const THREE_HOURS: u64 = 10_800_000;

/// A simulation of two workers that has just started the task of job 1, which takes `runtime` at full speed and
/// is expected to take `expected`, both in milliseconds. Its run has the given speed in percent.
fn world_with_run(runtime: u64, expected: u64, speed: u8) -> World {
    let mut world = World::new(7, 2, 8_000);
    world.runtimes = runtime..runtime + 1;
    world.claim();
    world.run(500);
    let mut spec = chain(&[1], 1_000);
    spec.steps[0].runtime = expected as u32;
    world.submit(1, &spec);
    while world.running(1) == 0 {
        world.run(STEP);
    }
    let holder = world.holder(1);
    let runs = world.fleet.workers[holder].runs.values_mut();
    runs.for_each(|run| run.pace.limit = speed);
    world
}

fn is_completed(world: &mut World) -> bool {
    let state = world.state(1);
    matches!(
        state,
        Some(Reply::State {
            outcome: Some(Outcome::Completed),
            ..
        })
    )
}

/// Guards against runs that are stopped although they make progress: a percent of a long task takes long.
#[parameterized(
    ten_seconds = { 10_000, 100 },
    ten_seconds_on_a_slow_worker = { 10_000, 50 },
    five_minutes = { FIVE_MINUTES, 100 },
    five_minutes_on_a_slow_worker = { FIVE_MINUTES, 50 },
    three_hours = { THREE_HOURS, 100 },
    three_hours_on_a_slow_worker = { THREE_HOURS, 50 },
)]
fn a_run_that_makes_progress_is_not_stopped(runtime: u64, speed: u8) {
    let mut world = world_with_run(runtime, runtime, speed);
    let limit = 2 * FIVE_MINUTES + 1_000;
    let time = runtime * 100 / u64::from(speed) + 1_000;
    world.run(time.min(limit));
    assert_eq!(world.fleet.starts, 1);
    assert_eq!(is_completed(&mut world), time <= limit);
    world.assert_no_violations();
}

/// Guards against a run that hangs and is not stopped within 3 s, or within the time of a few percent of its
/// expected length.
#[parameterized(
    ten_seconds = { 10_000, 3_000 },
    one_minute = { 60_000, 3_000 },
    five_minutes = { FIVE_MINUTES, 10_000 },
    three_hours = { THREE_HOURS, 330_000 },
)]
fn a_run_that_hangs_is_stopped(runtime: u64, within: u64) {
    let mut world = world_with_run(runtime, runtime, 0);
    let first = world.holder(1);
    world.run(within);
    // The stop takes 400 ms and the next start some more.
    world.run(1_000);
    assert_eq!(world.fleet.starts, 2);
    assert_ne!(world.holder(1), first);
    world.assert_no_violations();
}

/// Guards against a task that is stopped again and again because it takes longer than its client expects.
#[test]
fn a_task_that_takes_longer_than_expected_ends() {
    let mut world = world_with_run(FIVE_MINUTES, 500, 100);
    world.run(FIVE_MINUTES + 30_000);
    assert!(is_completed(&mut world), "{} starts", world.fleet.starts);
    world.assert_no_violations();
}
