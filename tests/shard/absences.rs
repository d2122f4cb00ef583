//! Missing information that is no proof: connections that are refused, and runs that a list of limited length
//! does not name.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, Outcome};
use jayfork::version::ShardRecord;
use yare::parameterized;

use super::world::{STEP, World, chain, long_running};

/// Time for which the network refuses connections to a worker, in milliseconds.
const CUT_TIME: u64 = 5_500;
/// Time from the begin of the cut until the registry removes the entry of the worker, in milliseconds.
const UNLIST_TIME: u64 = 3_300;

/// Guards against two runs of a task at once because a worker that is draining, has no entry any more and
/// refuses connections counts as gone, although it is only cut off.
#[parameterized(
    with_the_same_owner = { false },
    with_the_next_owner = { true },
)]
fn a_draining_worker_that_refuses_connections_may_run_on(is_owner_lost: bool) {
    let mut world = World::new(7, 3, 8_000);
    let first = world.claim();
    world.run(500);
    for id in 1..=3 {
        world.submit(id, &long_running(1, 8_000));
    }
    world.run(1_000);
    let leaving = world.holder(1);
    world.drain(leaving);
    world.run(1_000);
    world.fleet.workers[leaving].is_refused = true;
    if is_owner_lost {
        world.kill(first);
        world.run(1_000);
        world.claim();
    }
    world.run(UNLIST_TIME);
    world.unlist(leaving);
    world.cancel(2);
    world.run(CUT_TIME - UNLIST_TIME);
    world.fleet.workers[leaving].is_refused = false;
    world.run(10_000);
    world.assert_no_violations();
    assert_eq!(world.running(1), 1);
}

/// Runs that end while the store is down, more than a worker lists at once.
const ENDS: u16 = 560;

/// A simulation whose only worker has more ended runs than it lists, all of them done, while the store is down.
fn world_with_unlisted_ends(seed: u64) -> World {
    let mut world = World::new(seed, 1, 16_000);
    world.runtimes = 60_000..60_001;
    world.claim();
    world.run(500);
    world.submit(1, &chain(&[ENDS], 20));
    world.run(20_000);
    assert_eq!(world.running(1), usize::from(ENDS));
    world.store.is_down = true;
    world.run(500);
    world.fleet.finish_job(world.now, JobId(1));
    world.run(3_000);
    assert_eq!(world.fleet.done.len(), usize::from(ENDS));
    world
}

/// Guards against tasks that start again although they are done, because their ends don't fit into the list
/// of ends and count as lost, for the owner that gave the orders or for the next one.
#[parameterized(
    with_the_same_owner = { false },
    with_the_next_owner = { true },
)]
fn ends_beyond_the_listed_ones_are_not_lost(is_owner_lost: bool) {
    let mut world = world_with_unlisted_ends(7);
    if is_owner_lost {
        world.kill(0);
    }
    world.store.is_down = false;
    if is_owner_lost {
        world.claim();
    }
    world.run(12_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.starts, u64::from(ENDS));
    let completed = Reply::State {
        outcome: Some(Outcome::Completed),
        has_started: true,
    };
    assert_eq!(world.state(1), Some(completed));
}

/// A simulation with a long-running task, job 1, on a worker that is leaving, since no other one has room for
/// it. Returns that worker too.
fn world_with_a_leaving_worker(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, 8_000);
    world.claim();
    world.run(500);
    for (id, processors) in [(1, 8_000), (2, 8_000), (3, 4_000)] {
        world.submit(id, &long_running(1, processors));
    }
    world.run(1_000);
    let leaving = world.holder(1);
    world.drain(leaving);
    world.run(1_000);
    (world, leaving)
}

/// Guards against jobs that stand still after a change of the owner because a worker that has left cannot be
/// asked for its runs, although it is known which tasks it may have run.
#[test]
fn a_worker_that_has_left_holds_up_only_the_tasks_that_it_ran() {
    let (mut world, leaving) = world_with_a_leaving_worker(7);
    world.submit(4, &chain(&[2, 2, 2], 1_000));
    world.run(100);
    world.leave(leaving);
    world.kill(0);
    world.claim();
    world.run(4_000);
    assert_eq!(world.fleet.done.len(), 6);
    world.cancel(2);
    world.run(6_000);
    assert_eq!(world.running(1), 1);
    world.assert_no_violations();
}

/// Guards against ends that are never acknowledged because a long-running task failed on a leaving worker that the next
/// owner could not reach: it has no success that could count twice.
#[test]
fn a_late_failure_of_a_long_running_task_is_acknowledged() {
    let (mut world, leaving) = world_with_a_leaving_worker(7);
    world.fleet.workers[leaving].is_unreachable = true;
    world.fleet.fail_job(world.now, JobId(1));
    world.run(100);
    world.kill(0);
    world.claim();
    world.cancel(2);
    world.run(10_000);
    assert_eq!(world.running(1), 1);
    assert_ne!(world.holder(1), leaving);
    // It stays after all and is the only worker with room for these tasks.
    world.fleet.workers[leaving].is_leaving = false;
    world.fleet.workers[leaving].is_unreachable = false;
    world.refresh(leaving);
    world.run(1_000);
    world.submit(4, &chain(&[1, 1], 8_000));
    world.run(10_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.done.len(), 2);
    assert_eq!(world.fleet.acknowledged, world.fleet.done);
}

/// Guards against two runs of a task at once because the next owner takes a task for ended that it has found on
/// another worker, to which it was moved after the leaving worker's runs were recorded.
#[test]
fn a_task_that_was_moved_off_a_leaving_worker_keeps_its_run() {
    let mut moves = 0;
    for delay in 150..350 {
        let (mut world, leaving) = world_with_a_leaving_worker(delay);
        // One of the other workers gets the task, and the other one would have room for it too.
        world.cancel(2);
        world.cancel(3);
        world.run(delay * STEP);
        world.kill(0);
        world.claim();
        moves += usize::from(world.running(1) == 1 && world.holder(1) != leaving);
        world.run(12_000);
        world.assert_no_violations();
        assert_eq!(world.running(1), 1, "delay {delay}");
    }
    assert!(moves > 0);
}

/// Guards against two runs of a task at once because the next owner trusts a list of a worker's runs from
/// before it was ready again and got another one.
#[test]
fn a_worker_that_stays_after_all_is_waited_for() {
    let mut starts = 0;
    for delay in 16..56 {
        let (mut world, leaving) = world_with_a_leaving_worker(delay);
        world.cancel(1);
        world.run(1_000);
        world.fleet.workers[leaving].is_leaving = false;
        world.refresh(leaving);
        world.submit(4, &long_running(1, 8_000));
        world.run(delay * STEP);
        starts += world.running(4);
        world.fleet.workers[leaving].is_unreachable = true;
        world.kill(0);
        world.claim();
        world.cancel(2);
        world.run(12_000);
        world.assert_no_violations();
        assert_eq!(world.running(4), 1, "delay {delay}");
    }
    assert!(starts > 0);
}

/// Guards against the same fault if the worker leaves and stays by turns while the store is away: the deletion of
/// an earlier list must not count for the newer one.
#[test]
fn a_worker_that_wavers_is_waited_for() {
    let mut starts = 0;
    for delay in 0..24 {
        let (mut world, leaving) = world_with_a_leaving_worker(delay);
        world.cancel(1);
        world.run(1_000);
        world.submit(4, &long_running(1, 8_000));
        world.run(500);
        world.store.is_down = true;
        for is_leaving in [false, true] {
            world.fleet.workers[leaving].is_leaving = is_leaving;
            world.refresh(leaving);
            world.run(150);
        }
        world.store.is_down = false;
        world.run(delay * STEP);
        world.fleet.workers[leaving].is_leaving = false;
        world.refresh(leaving);
        world.run(150);
        starts += world.running(4);
        world.fleet.workers[leaving].is_unreachable = true;
        world.kill(0);
        world.claim();
        world.cancel(2);
        world.run(12_000);
        world.assert_no_violations();
        assert_eq!(world.running(4), 1, "delay {delay}");
    }
    assert!(starts > 0);
}

/// Guards against a list of runs that a later owner reads differently than it was recorded.
#[test]
fn recorded_runs_are_read_back() {
    let (world, _) = world_with_a_leaving_worker(7);
    let task = world.task(1);
    for value in [Some(vec![task]), Some(Vec::new()), None] {
        let record = ShardRecord::Remaining("worker-1".into(), value);
        let decoded = ShardRecord::decode(&record.key(), &record.value());
        assert_eq!(decoded, Ok(record));
    }
    let recorded = world
        .store
        .records
        .iter()
        .find(|(key, _)| key.starts_with("r/"));
    let (key, value) = recorded.expect("a record of the leaving worker");
    let decoded = ShardRecord::decode(key, value);
    let expected = key.trim_start_matches("r/").into();
    assert_eq!(
        decoded,
        Ok(ShardRecord::Remaining(expected, Some(vec![task])))
    );
}

impl World {
    /// A task of a job.
    fn task(&self, id: u64) -> jayfork::request::job::TaskKey {
        let mut tasks = self.fleet.specs.keys();
        let task = tasks.find(|task| task.step.job == JobId(id));
        *task.expect("a submitted job")
    }
}
