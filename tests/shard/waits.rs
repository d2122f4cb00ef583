//! Owners that change while a worker is not reached: the time that each of them has waited counts for the
//! next ones, unless the worker may have got a lease meanwhile.

use jayfork::version::{ShardRecord, WaitRecord};

use yare::parameterized;

use super::world::{STEP, World, long_running};

fn has_wait_record(world: &World) -> bool {
    let mut keys = world.store.records.keys();
    keys.any(|key| key.starts_with("v/"))
}

/// Replaces the owner at once.
fn replace_owner(world: &mut World) {
    let owner = world.owner().expect("an owner");
    world.kill(owner);
    world.claim();
}

/// A simulation with one long-running task on each of its three workers, of which one has been cut off
/// and was waited for by two owners, `wait` milliseconds by each. Returns that worker too.
fn world_with_a_silent_worker(seed: u64, wait: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, 8_000);
    world.claim();
    world.run(500);
    for id in 1..=3 {
        world.submit(id, &long_running(1, 8_000));
    }
    world.run(1_000);
    let silent = world.holder(1);
    world.fleet.workers[silent].is_unreachable = true;
    for _ in 0..2 {
        replace_owner(&mut world);
        world.run(wait);
    }
    assert!(has_wait_record(&world));
    (world, silent)
}

/// Guards against two runs of a task at once because an owner counts the wait of earlier ones although the
/// worker has got a lease since: its run was renewed, or it has lapsed and another was started.
#[parameterized(
    renewed = { 2_000, false },
    renewed_in_an_outage = { 2_000, true },
    started = { 3_500, false },
)]
fn a_worker_that_has_got_a_lease_since_is_waited_for(wait: u64, is_store_down: bool) {
    let mut starts = 0;
    for delay in 0..240 {
        let (mut world, silent) = world_with_a_silent_worker(delay, wait);
        world.store.is_down = is_store_down;
        world.fleet.workers[silent].is_unreachable = false;
        world.run(delay * STEP);
        starts += world.running(1);
        world.store.is_down = false;
        world.fleet.workers[silent].is_unreachable = true;
        replace_owner(&mut world);
        world.run(300);
        world.cancel(2);
        world.run(15_000);
        world.assert_no_violations();
        let workers = world.fleet.workers.iter().enumerate();
        let others = workers.filter(|(worker, _)| *worker != silent);
        let running: usize = others.map(|(_, worker)| worker.runs.len()).sum();
        assert_eq!(running, 2, "delay {delay}");
    }
    assert!(starts > 20, "{starts} starts on the worker");
}

/// Guards against a worker that stays without leases, and so without tasks, after it was waited for.
#[test]
fn a_worker_that_answers_again_gets_tasks() {
    let (mut world, silent) = world_with_a_silent_worker(7, 3_500);
    world.fleet.workers[silent].is_unreachable = false;
    world.run(2_500);
    assert!(!has_wait_record(&world));
    assert_eq!(world.holder(1), silent);
    world.run(20_000);
    assert_eq!(world.holder(1), silent);
    world.assert_no_violations();
}

/// Guards against runs that end because their worker, which a new owner reaches late, gets no renewal until
/// its next report is due.
#[test]
fn a_worker_that_answers_late_keeps_its_runs() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 8_000);
        world.claim();
        world.run(500);
        world.submit(1, &long_running(1, 8_000));
        world.run(1_000);
        let holder = world.holder(1);
        let starts = world.fleet.starts;
        world.fleet.workers[holder].is_unreachable = true;
        replace_owner(&mut world);
        while !has_wait_record(&world) {
            world.run(STEP);
        }
        world.run(2_000);
        world.fleet.workers[holder].is_unreachable = false;
        world.run(15_000);
        assert_eq!(world.holder(1), holder);
        assert_eq!(world.fleet.starts, starts);
        world.assert_no_violations();
    }
}

/// Guards against an owner that trusts a record although an owner in between, of an earlier version, may
/// have granted a lease without deleting it.
#[test]
fn a_wait_counts_only_for_the_next_owner() {
    let record = WaitRecord {
        waited: 5_000,
        epoch: (7 << 16) | 3,
    };
    assert!(record.is_known_to((7 << 16) | 9));
    assert!(record.is_known_to(8 << 16));
    assert!(!record.is_known_to(9 << 16));
}

/// Guards against waits that a later owner reads differently than they were recorded.
#[test]
fn recorded_waits_are_read_back() {
    let wait = WaitRecord {
        waited: 5_000,
        epoch: 7 << 16,
    };
    for value in [Some(wait), None] {
        let record = ShardRecord::Wait("worker-1".into(), value);
        let decoded = ShardRecord::decode(&record.key(), &record.value());
        assert_eq!(decoded, Ok(record));
    }
}
