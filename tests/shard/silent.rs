//! Workers that cannot be reached while their runs succeed, so that their leases end without ending a run.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;
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
