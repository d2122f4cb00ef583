//! Long-running tasks that have to start again while the workers are full.

use jayfork::base::Size;
use jayfork::request::job::JobId;
use jayfork::version::{LeaseRecord, ShardRecord};

use yare::parameterized;

use super::world::{STEP, World, chain, long_running};

/// Time within which a long-running task has to run again after its last run if there is room, in
/// milliseconds.
const RESTART_LIMIT: u64 = 6_000;

/// The same if room has to become free first, or a lease to expire: 3 s more are allowed.
const SILENT_WORKER_LIMIT: u64 = 9_000;
/// Time from the loss of an owner to the claim of the next one, in milliseconds.
const CLAIM_DELAY: u64 = 2_000;

/// Two workers with one long-running task each, and a backlog that fills them for longer than the limit.
fn busy_world() -> World {
    let mut world = World::new(7, 2, 8_000);
    world.claim();
    world.run(500);
    world.runtimes = 600..1_700;
    world.submit(1, &long_running(2, 5_000));
    world.run(500);
    for id in 2..=120 {
        world.submit(id, &chain(&[1], 2_000));
    }
    world.run(2_000);
    assert_eq!(world.running(1), 2);
    world
}

/// Guards against a long-running task that fails under load and does not start again, because its room
/// goes to the tasks of a backlog.
#[test]
fn a_failed_long_running_task_starts_again_before_a_backlog() {
    let mut world = busy_world();
    world.fleet.fail_job(world.now, JobId(1));
    world.run(RESTART_LIMIT);
    assert_eq!(world.running(1), 2);
    assert!(!world.fleet.done.is_empty());
    world.assert_no_violations();
}

/// Guards against a long-running task that loses its worker under load and does not start again, because
/// small tasks take up all room that becomes free on the others.
#[test]
fn a_long_running_task_of_a_lost_worker_gets_room_among_small_tasks() {
    let mut world = World::new(7, 3, 8_000);
    world.claim();
    world.run(500);
    world.runtimes = 600..1_700;
    world.submit(1, &long_running(1, 6_000));
    world.run(500);
    for id in 2..=200 {
        world.submit(id, &chain(&[1], 2_000));
    }
    world.run(2_000);
    let holder = world.holder(1);
    world.fleet.restart(world.now, holder);
    world.fleet.workers[holder].is_unreachable = true;
    world.run(SILENT_WORKER_LIMIT);
    assert_eq!(world.running(1), 1);
    world.assert_no_violations();
}

/// Guards against long-running tasks that wait for the longest lease that workers accept when a worker
/// is lost without a trace, alone or together with the owner.
#[parameterized(
    with_the_same_owner = { 3, false, SILENT_WORKER_LIMIT },
    with_the_next_owner = { 3, true, CLAIM_DELAY + SILENT_WORKER_LIMIT },
    only_task_with_the_next_owner = { 1, true, CLAIM_DELAY + SILENT_WORKER_LIMIT },
)]
fn tasks_of_a_silent_worker_do_not_wait_for_the_longest_lease(
    tasks: u16,
    is_owner_lost: bool,
    limit: u64,
) {
    let mut world = World::new(7, 3, 8_000);
    for worker in &mut world.fleet.workers {
        worker.max_lease = 10_000;
    }
    let first = world.claim();
    world.run(500);
    world.submit(1, &long_running(tasks, 2_000));
    world.run(2_000);
    for id in 2..=200 {
        world.submit(id, &chain(&[1], 1_000));
    }
    world.run(100);
    let holder = world.holder(1);
    world.fleet.restart(world.now, holder);
    world.fleet.workers[holder].is_unreachable = true;
    let end = world.now + limit;
    if is_owner_lost {
        world.kill(first);
        world.run(CLAIM_DELAY);
        world.claim();
    }
    world.run(end - world.now);
    assert_eq!(world.running(1), usize::from(tasks));
    world.assert_no_violations();
}

/// Guards against a long-running task that waits although a worker has room, because that worker is kept
/// free for a larger task that cannot get room there.
#[test]
fn a_small_restart_does_not_wait_for_a_large_one() {
    let mut world = World::new(7, 2, 8_000);
    world.claim();
    world.run(500);
    world.submit(1, &long_running(1, 7_000));
    world.run(100);
    world.submit(2, &long_running(1, 5_000));
    world.submit(3, &long_running(1, 2_000));
    world.run(500);
    assert_ne!(world.holder(1), world.holder(3));
    let holder = world.holder(1);
    world.fleet.restart(world.now, holder);
    world.fleet.workers[holder].is_unreachable = true;
    world.run(SILENT_WORKER_LIMIT);
    world.fleet.fail_job(world.now, JobId(3));
    world.run(RESTART_LIMIT);
    assert_eq!(world.running(3), 1);
    world.assert_no_violations();
}

/// A simulation in which a worker has just restarted with a new clock and is about to get a start order,
/// with its owner and that worker. Job 3 waits for it, since jobs 1 and 2 take all other room.
fn world_with_a_restarted_worker(seed: u64) -> (World, usize, usize) {
    let mut world = World::new(seed, 3, 8_000);
    for worker in &mut world.fleet.workers {
        worker.max_lease = 10_000;
        worker.resets_clock = true;
    }
    let owner = world.claim();
    world.run(500);
    world.submit(1, &long_running(1, 8_000));
    world.submit(2, &long_running(1, 8_000));
    world.run(500);
    let used = [world.holder(1), world.holder(2)];
    let free = (0..3)
        .find(|index| !used.contains(index))
        .expect("a worker");
    world.fleet.restart(world.now, free);
    world.fleet.workers[free].down_until = world.now;
    world.submit(3, &long_running(1, 2_000));
    (world, owner, free)
}

/// Guards against two runs of a task at once on a worker whose restart the owner has not noticed: the end
/// of a lease on the earlier clock is shortened only to the longest lease that the worker accepts.
#[test]
fn a_lease_from_before_a_restart_is_waited_for() {
    let (mut world, _, free) = world_with_a_restarted_worker(7);
    world.run(1_000);
    assert_eq!(world.holder(3), free);
    world.fleet.workers[free].is_unreachable = true;
    world.cancel(1);
    world.run(12_000);
    world.assert_no_violations();
    assert_eq!(world.running(3), 1);
}

/// Guards against a long-running task that fails and does not start again under load, because tasks that
/// no worker has room for wait before it.
#[test]
fn a_restart_does_not_wait_behind_tasks_without_room() {
    let mut world = World::new(7, 4, 8_000);
    let first = world.claim();
    world.run(500);
    world.runtimes = 600..1_700;
    world.submit(1, &long_running(2, 5_000));
    world.run(500);
    world.submit(2, &long_running(40, 8_000));
    world.run(500);
    world.kill(first);
    world.run(1_000);
    world.claim();
    world.run(2_000);
    for id in 3..=200 {
        world.submit(id, &chain(&[1], 2_000));
    }
    world.run(2_000);
    assert_eq!(world.running(1), 2);
    world.fleet.fail_job(world.now, JobId(1));
    world.run(RESTART_LIMIT);
    assert_eq!(world.running(1), 2);
    world.assert_no_violations();
}

/// Guards against the same fault when the next owner, which does not know of the restart, has to wait for
/// that worker.
#[test]
fn a_next_owner_waits_for_a_lease_from_before_a_restart() {
    let (mut world, first, free) = world_with_a_restarted_worker(7);
    world.run(100);
    assert_eq!(world.holder(3), free);
    world.fleet.workers[free].is_unreachable = true;
    world.kill(first);
    world.claim();
    world.cancel(1);
    world.run(500);
    world.cancel(1);
    world.run(16_000);
    world.assert_no_violations();
    assert_eq!(world.running(3), 1);
}

/// Guards against the same fault when the owner cannot record the restart, since the store turns it away. The owner
/// tells the next one.
#[test]
fn a_next_owner_is_told_of_a_lease_from_before_a_restart() {
    for seed in 0..10 {
        let (mut world, first, free) = world_with_a_restarted_worker(seed);
        while world.running(3) == 0 {
            world.run(STEP);
        }
        world.cuts.store.insert(first);
        world.run(600);
        let handover = world.suspend(first);
        world.fleet.workers[free].is_unreachable = true;
        world.claim_after(Some(handover), 2 << 16);
        world.kill(first);
        world.run(500);
        world.cancel(1);
        world.run(16_000);
        world.assert_no_violations();
        assert_eq!(world.running(3), 1, "seed {seed}");
    }
}

/// Guards against a long-running task that lacks memory rather than processors and does not start again,
/// because another worker is kept free for it in each pass.
#[test]
fn a_restart_that_lacks_memory_gets_room_among_small_tasks() {
    let mut world = World::new(7, 4, 8_000);
    world.claim();
    world.run(500);
    world.runtimes = 600..1_700;
    let mut long = long_running(1, 1_000);
    long.steps[0].size = Size::new(1_000, 60_000, 0);
    world.submit(1, &long);
    world.run(500);
    let mut short = chain(&[1], 500);
    short.steps[0].size = Size::new(500, 10_000, 0);
    for id in 2..=600 {
        world.submit(id, &short);
    }
    world.run(2_000);
    let holder = world.holder(1);
    world.fleet.restart(world.now, holder);
    world.fleet.workers[holder].is_unreachable = true;
    world.run(SILENT_WORKER_LIMIT);
    assert_eq!(world.running(1), 1);
    world.assert_no_violations();
}

/// Guards against a backlog that never runs after a change of the owner, because long-running tasks that
/// have not run yet are placed before it and take up all room for good.
#[test]
fn long_running_tasks_that_have_not_run_come_after_a_backlog() {
    let mut world = World::new(7, 2, 8_000);
    let first = world.claim();
    world.run(500);
    world.runtimes = 600..1_700;
    for id in 2..=50 {
        world.submit(id, &chain(&[1], 2_000));
    }
    world.submit(1, &long_running(16, 1_000));
    world.run(1_000);
    assert_eq!(world.running(1), 0);
    world.kill(first);
    world.claim();
    world.run(30_000);
    assert_eq!(world.fleet.done.len(), 49);
    world.assert_no_violations();
}

/// Guards against a new owner that waits a whole lease for a worker although another one answers at its
/// address, so that its process has certainly ended.
#[test]
fn a_new_owner_does_not_wait_for_a_worker_that_another_has_replaced() {
    let mut world = World::new(7, 3, 8_000);
    world.renames = true;
    let first = world.claim();
    world.run(500);
    world.submit(1, &long_running(3, 2_000));
    world.run(2_000);
    let holder = world.holder(1);
    world.crash(holder);
    world.kill(first);
    world.run(CLAIM_DELAY);
    world.claim();
    // The other worker starts 7 s after the crash.
    world.run(7_000 - CLAIM_DELAY + 1_000);
    assert_eq!(world.running(1), 3);
    world.assert_no_violations();
}

/// Guards against long-running tasks that are all stopped on a worker that leaves although others have room
/// for one of them only: the rest stayed down while their worker still ran on.
#[test]
fn a_leaving_worker_keeps_tasks_that_have_no_room_elsewhere() {
    let mut world = World::new(7, 3, 8_000);
    world.claim();
    world.run(500);
    world.submit(1, &long_running(1, 8_000));
    world.submit(2, &long_running(1, 6_000));
    world.run(500);
    world.submit(3, &long_running(5, 2_000));
    world.run(500);
    let leaving = (0..3)
        .find(|index| ![world.holder(1), world.holder(2)].contains(index))
        .expect("a worker");
    assert_eq!(world.fleet.workers[leaving].runs.len(), 4);
    world.cancel(2);
    world.run(1_000);
    world.submit(4, &long_running(1, 4_000));
    world.run(1_000);
    let before = world.running(3);
    world.drain(leaving);
    for _ in 0..40 {
        world.run(100);
        // One task at a time is stopped and starts elsewhere.
        assert!(world.running(3) + 1 >= before);
    }
    assert_eq!(world.running(3), before);
    world.assert_no_violations();
}

/// Guards against a task that stays down as long as owners change, because each of them waits anew for the
/// worker that was lost with it.
#[test]
fn a_lost_worker_is_not_waited_for_anew_by_each_owner() {
    let mut world = World::new(7, 3, 8_000);
    world.claim();
    world.run(500);
    world.submit(1, &long_running(1, 6_000));
    world.run(3_000);
    let holder = world.holder(1);
    world.fleet.restart(world.now, holder);
    world.fleet.workers[holder].is_unreachable = true;
    for _ in 0..3 {
        let owner = world.owner().expect("an owner");
        world.kill(owner);
        world.claim();
        world.run(5_000);
    }
    assert_eq!(world.running(1), 1);
    world.assert_no_violations();
}

/// Guards against two runs of a task at once because a next owner counts the wait for a worker from the time
/// when it sent its claim, although the owner before it renewed leases until the claim was stored.
#[test]
fn the_wait_for_a_worker_begins_when_the_claim_is_stored() {
    let mut world = World::new(7, 3, 8_000);
    let first = world.claim();
    world.run(500);
    world.submit(1, &long_running(1, 6_000));
    world.run(3_000);
    let holder = world.holder(1);
    world.store.is_down = true;
    world.claim();
    world.run(9_000);
    assert_eq!(world.holder(1), holder);
    world.kill(first);
    world.fleet.workers[holder].is_unreachable = true;
    world.store.is_down = false;
    world.run(12_000);
    world.assert_no_violations();
    assert_eq!(world.running(1), 1);
}

/// Loses a worker and its owner `delay` milliseconds after the worker's restart, and lets the next owner
/// start job 3 elsewhere. Returns the simulation, or `None` if the worker has got no start order by then.
fn world_after_loss(seed: u64, delay: u64) -> Option<World> {
    let (mut world, first, free) = world_with_a_restarted_worker(seed);
    world.run(delay);
    if world.running(3) == 0 || world.holder(3) != free {
        return None;
    }
    world.fleet.workers[free].is_unreachable = true;
    world.kill(first);
    world.claim();
    world.cancel(1);
    world.run(500);
    world.cancel(1);
    world.run(16_000);
    Some(world)
}

/// Guards against two runs of a task at once because the record of a worker's restart comes late or is
/// deleted too early.
#[parameterized(
    soon = { 100 },
    later = { 300 },
    before_the_next_renewals = { 1_000 },
    after_the_lease = { 5_000 },
)]
fn a_restart_is_known_to_the_next_owner(delay: u64) {
    for seed in 0..20 {
        let world = world_after_loss(seed, delay).expect("a start on the restarted worker");
        world.assert_no_violations();
        assert_eq!(world.running(3), 1, "seed {seed}");
    }
}

/// Guards against the same fault when the owner is lost before it has recorded the restart.
#[test]
fn a_restart_just_before_the_loss_of_the_owner_is_known_to_the_next() {
    for seed in 0..20 {
        if let Some(world) = world_after_loss(seed, 40) {
            world.assert_no_violations();
        }
    }
}

/// Guards against next owners that wait for the longest lease although the worker's renewals have long
/// covered it.
#[test]
fn the_record_of_a_long_lease_is_deleted_after_its_end() {
    let (mut world, _, _) = world_with_a_restarted_worker(7);
    let has_record = |world: &World| world.store.records.keys().any(|key| key.starts_with("l/"));
    world.run(100);
    assert!(has_record(&world));
    world.run(5_000);
    assert!(!has_record(&world));
}

/// Guards against leases that a later owner reads differently than they were recorded.
#[test]
fn recorded_leases_are_read_back() {
    let lease = LeaseRecord { is_long: true };
    for value in [Some(lease), None] {
        let record = ShardRecord::Lease("worker-1".into(), value);
        let decoded = ShardRecord::decode(&record.key(), &record.value());
        assert_eq!(decoded, Ok(record));
    }
}
