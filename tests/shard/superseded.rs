//! Owners that go on for a while after another one has claimed the shard.

use super::world::{World, long_running};

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
