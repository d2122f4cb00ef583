//! Owners that go on for a while after another one has claimed the shard.

use super::world::{World, chain, long_running};

/// Time for which an owner that is cut off goes on, in milliseconds.
const ISOLATION_TIME: u64 = 1_500;

/// Guards against two runs of a task at once because an owner that is cut off takes the lease of a silent worker for
/// expired, although the next owner has reached the worker and renewed it.
#[test]
fn a_superseded_owner_starts_no_task_that_the_next_one_has_found() {
    for silence in (3_000..7_000).step_by(100) {
        let mut world = World::new(silence, 3, 8_000);
        world.claim();
        world.run(500);
        world.submit(1, &long_running(1, 8_000));
        world.run(1_000);
        let holder = world.holder(1);
        let other = (holder + 1) % 3;
        world.fleet.workers[holder].is_unreachable = true;
        world.run(silence);
        world.isolate(other, &[1]);
        world.fleet.workers[holder].is_unreachable = false;
        world.claim();
        world.run(ISOLATION_TIME);
        world.kill(0);
        world.cuts.workers.clear();
        world.run(10_000);
        world.assert_no_violations();
    }
}

/// Guards against a success that is acknowledged after another start of its task: an owner that is cut off has begun the
/// next step of a job, and the next owner takes only the steps whose dependencies it knows to be done for possibly run.
#[test]
fn a_step_that_only_a_superseded_owner_has_begun_counts_once() {
    let mut restarts = 0;
    for silence in (8_000..11_000).step_by(100) {
        let mut world = World::new(silence, 3, 8_000);
        world.runtimes = 400..401;
        world.claim();
        world.run(2_500);
        world.submit(1, &chain(&[1, 2], 8_000));
        world.run(200);
        // The first owner keeps two workers, the next one only the third.
        let third = (world.holder(1) + 2) % 3;
        world.isolate(third, &[]);
        let kept = (0..3).filter(|worker| *worker != third);
        world.cuts.workers = kept.map(|worker| (1, worker)).collect();
        world.cuts.workers.insert((0, third));
        world.claim();
        world.run(ISOLATION_TIME);
        world.kill(0);
        for worker in (0..3).filter(|worker| *worker != third) {
            world.unlist(worker);
        }
        let starts = world.fleet.starts;
        world.run(silence - ISOLATION_TIME);
        restarts += world.fleet.starts - starts;
        world.cuts.workers.clear();
        for worker in (0..3).filter(|worker| *worker != third) {
            world.refresh(worker);
        }
        world.run(10_000);
        world.assert_no_violations();
    }
    assert!(restarts > 0);
}
