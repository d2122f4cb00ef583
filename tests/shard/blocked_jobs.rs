//! Jobs that come first in the order of placement, but find no worker with room.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobSpec, Outcome};

use super::world::{World, chain, long_running};

/// More than the jobs that may start at once without waiting for the store.
const BLOCKED_JOBS: u64 = 100;
/// Id of the job that has room.
const SMALL: u64 = 1_000;

/// A job of one task; those with a longer estimate come later in the order of placement.
fn job(processors: u32, estimate: u32) -> JobSpec {
    let mut spec = chain(&[1], processors);
    spec.steps[0].runtime = estimate;
    spec
}

fn is_completed(world: &mut World, id: u64) -> bool {
    let outcome = Some(Outcome::Completed);
    matches!(world.state(id), Some(Reply::State { outcome: state, .. }) if state == outcome)
}

/// Guards against jobs that wait for room and keep all others from starting, although workers have room
/// for these: best-effort tasks came to a halt while 64 jobs of a higher priority waited.
#[test]
fn a_job_with_room_starts_while_many_before_it_have_none() {
    let mut world = World::new(7, 2, 8_000);
    world.claim();
    world.run(500);
    world.submit(1, &long_running(8, 1_500));
    world.run(500);
    assert_eq!(world.running(1), 8);
    for id in 2..2 + BLOCKED_JOBS {
        world.submit(id, &job(4_000, 60_000));
    }
    world.run(200);
    world.submit(SMALL, &job(1_000, 120_000));
    world.run(2_000);
    assert!(is_completed(&mut world, SMALL));
    world.cancel(1);
    world.run(30_000);
    for id in 2..2 + BLOCKED_JOBS {
        assert!(is_completed(&mut world, id), "job {id}");
    }
    world.assert_no_violations();
}
