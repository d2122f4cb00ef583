//! Workers that cannot be reached while their runs succeed, so that their leases end without ending a run.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;
use jayfork::version::{ShardRecord, SupersededRecord};
use yare::parameterized;

use super::world::{World, chain};

const COMPLETED: Reply = Reply::State {
    outcome: Some(Outcome::Completed),
    has_started: true,
};

/// A simulation with one task, job 1, on one of its two workers, which is cut off while the task runs. Returns that
/// worker too.
fn world_with_a_silent_worker(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 2, 8_000);
    world.runtimes = 800..801;
    world.claim();
    world.run(2_500);
    world.submit(1, &chain(&[1], 1_000));
    world.run(300);
    let silent = world.holder(1);
    world.fleet.workers[silent].is_unreachable = true;
    (world, silent)
}

/// Guards against a task that is done twice because its run succeeds on a worker that the owner cannot reach, and
/// the end of the lease is taken for the end of the run.
#[parameterized(
    heard_soon = { 6_500 },
    heard_late = { 12_000 },
)]
fn a_run_on_a_silent_worker_may_have_succeeded(silence: u64) {
    for seed in 0..20 {
        let (mut world, silent) = world_with_a_silent_worker(seed);
        world.run(silence);
        world.fleet.workers[silent].is_unreachable = false;
        world.run(5_000);
        world.assert_no_violations();
        assert_eq!(world.state(1), Some(COMPLETED), "seed {seed}");
        assert_eq!(world.fleet.starts, 1, "seed {seed}");
    }
}

/// Guards against a start beyond the allowed attempts, because the last of them fails on a worker that the owner
/// cannot reach.
#[test]
fn a_run_on_a_silent_worker_may_have_failed() {
    for seed in 0..20 {
        let mut world = World::new(seed, 2, 8_000);
        world.runtimes = 800..801;
        world.attempts = 1;
        world.faults.run_failure = 1.0;
        world.claim();
        world.run(2_500);
        world.submit(1, &chain(&[1], 1_000));
        world.run(300);
        let silent = world.holder(1);
        world.fleet.workers[silent].is_unreachable = true;
        world.run(12_000);
        world.fleet.workers[silent].is_unreachable = false;
        world.run(5_000);
        world.assert_no_violations();
        let failed = Reply::State {
            outcome: Some(Outcome::Failed),
            has_started: true,
        };
        assert_eq!(world.state(1), Some(failed), "seed {seed}");
    }
}

/// When the registry removes the entry of a worker that is cut off, in milliseconds after the cut.
const UNLIST_TIME: u64 = 4_500;

/// Guards against two successes of a task that are both acknowledged, because a worker that counted as lost returns with
/// the first one after its task was started again.
#[parameterized(
    to_the_same_owner = { None },
    to_an_owner_that_claims_after_the_start = { Some(9_000) },
    to_an_owner_that_claims_meanwhile = { Some(1_000) },
)]
fn a_lost_worker_may_return_with_a_success(change: Option<u64>) {
    let mut restarts = 0;
    for seed in 0..20 {
        let (mut world, silent) = world_with_a_silent_worker(seed);
        for time in (100..=20_000).step_by(100) {
            if time == UNLIST_TIME {
                world.unlist(silent);
            }
            if Some(time) == change {
                world.kill(0);
                world.claim();
                if time > UNLIST_TIME {
                    world.unlist(silent);
                }
            }
            world.run(100);
        }
        restarts += world.fleet.starts - 1;
        world.fleet.workers[silent].is_unreachable = false;
        world.refresh(silent);
        world.run(5_000);
        world.assert_no_violations();
        assert_eq!(world.state(1), Some(COMPLETED), "seed {seed}");
        world.submit(2, &chain(&[20, 20], 1_000));
        world.run(8_000);
        world.assert_no_violations();
        assert_eq!(world.state(2), Some(COMPLETED), "seed {seed}");
    }
    assert!(restarts > 0);
}

/// Guards against superseded runs that a later owner reads differently than they were recorded.
#[test]
fn recorded_superseded_runs_are_read_back() {
    let (world, _) = world_with_a_silent_worker(7);
    let task = *world.fleet.specs.keys().next().expect("a submitted task");
    let runs = SupersededRecord {
        incarnation: Some(7),
        before: 4_096,
        runs: vec![(task, 4_097)],
    };
    for value in [Some(runs), None] {
        let record = ShardRecord::Superseded("worker-1".into(), value);
        let decoded = ShardRecord::decode(&record.key(), &record.value());
        assert_eq!(decoded, Ok(record));
    }
}

/// Guards against a withheld success that is acknowledged only because some time has passed.
#[test]
fn a_superseded_success_is_never_acknowledged() {
    let (mut world, silent) = world_with_a_silent_worker(0);
    world.run(UNLIST_TIME);
    world.unlist(silent);
    world.run(12_000);
    assert_eq!(world.fleet.starts, 2);
    world.fleet.workers[silent].is_unreachable = false;
    world.refresh(silent);
    world.run(620_000);
    world.assert_no_violations();
}

/// Guards against more failed runs of a task than its attempts, because the end of one on a worker that counted as lost is
/// acknowledged after another start.
#[test]
fn a_lost_worker_may_return_with_the_last_failure() {
    let mut restarts = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 2, 8_000);
        world.runtimes = 800..801;
        world.attempts = 1;
        world.faults.run_failure = 1.0;
        world.claim();
        world.run(2_500);
        world.submit(1, &chain(&[1], 1_000));
        world.run(300);
        world.faults.run_failure = 0.0;
        let silent = world.holder(1);
        world.fleet.workers[silent].is_unreachable = true;
        world.run(UNLIST_TIME);
        world.unlist(silent);
        world.run(12_000);
        restarts += world.fleet.starts - 1;
        world.fleet.workers[silent].is_unreachable = false;
        world.refresh(silent);
        world.run(5_000);
        world.assert_no_violations();
    }
    assert!(restarts > 0);
}

/// Guards against two successes of a task that are both acknowledged, because the second owner after the loss of the
/// first run does not know which workers the owner before it had not heard.
#[parameterized(
    while_the_second_run_is_at_work = { 60_000, 400 },
    after_the_second_success = { 800, 3_000 },
)]
fn a_second_change_of_the_owner_keeps_what_was_not_heard(runtime: u64, wait: u64) {
    let mut restarts = 0;
    for seed in 0..20 {
        let (mut world, silent) = world_with_a_silent_worker(seed);
        world.run(1_000);
        world.runtimes = runtime..runtime + 1;
        world.kill(0);
        let second = world.claim();
        world.run(100);
        world.unlist(silent);
        for _ in 0..400 {
            if world.fleet.starts > 1 {
                break;
            }
            world.run(50);
        }
        restarts += world.fleet.starts - 1;
        world.run(wait);
        world.kill(second);
        world.claim();
        world.run(100);
        world.unlist(silent);
        world.run(12_000);
        world.fleet.workers[silent].is_unreachable = false;
        world.refresh(silent);
        world.run(5_000);
        world.assert_no_violations();
    }
    assert!(restarts > 0);
}

/// Guards against two successes of a task that are both acknowledged, because an owner starts a lost task again
/// before the store has its record of the lost run.
#[test]
fn a_lost_run_is_recorded_before_its_task_starts_again() {
    let mut restarts = 0;
    for seed in 0..20 {
        let (mut world, silent) = world_with_a_silent_worker(seed);
        world.run(UNLIST_TIME);
        world.cuts.store.insert(0);
        world.unlist(silent);
        for _ in 0..100 {
            if world.fleet.starts > 1 {
                break;
            }
            world.run(50);
        }
        world.run(200);
        world.kill(0);
        world.claim();
        world.run(100);
        world.unlist(silent);
        world.run(12_000);
        restarts += world.fleet.starts - 1;
        world.fleet.workers[silent].is_unreachable = false;
        world.refresh(silent);
        world.run(5_000);
        world.assert_no_violations();
        assert_eq!(world.state(1), Some(COMPLETED), "seed {seed}");
    }
    assert!(restarts > 0);
}

/// Guards against two successes of a task that are both acknowledged, because the owner changes after a run is lost and
/// before its task starts again.
#[test]
fn a_lost_run_is_known_to_the_next_owner_before_its_task_starts_again() {
    let mut restarts = 0;
    for seed in 0..20 {
        let (mut world, silent) = world_with_a_silent_worker(seed);
        let other = 1 - silent;
        world.drain(other);
        world.run(UNLIST_TIME);
        world.unlist(silent);
        world.run(6_000);
        assert_eq!(world.fleet.starts, 1);
        world.kill(0);
        world.claim();
        world.run(50);
        world.unlist(silent);
        world.fleet.workers[other].is_leaving = false;
        world.refresh(other);
        world.run(12_000);
        restarts += world.fleet.starts - 1;
        world.fleet.workers[silent].is_unreachable = false;
        world.refresh(silent);
        world.run(5_000);
        world.assert_no_violations();
        assert_eq!(world.state(1), Some(COMPLETED), "seed {seed}");
    }
    assert!(restarts > 0);
}
