//! Jobs of different sizes that wait for the same room.

use super::world::{STEP, World, chain};

/// Guards against a large job that gives way to new jobs while its remaining tasks wait, so that what
/// it has done so far is of no use.
#[test]
fn a_job_that_has_begun_is_finished_before_a_new_one_begins() {
    const TASKS: u16 = 12;
    let mut world = World::new(7, 1, 4_000);
    world.runtimes = 400..500;
    world.claim();
    world.run(500);
    world.submit(1, &chain(&[TASKS], 1_000));
    world.run(300);
    assert_eq!(world.running(1), 4);
    let mut short = chain(&[2], 1_000);
    short.steps[0].runtime = 100;
    world.submit(2, &short);
    let end = world.now + 5_000;
    while world.running(2) == 0 {
        world.run(STEP);
        assert!(world.now < end, "the new job does not start");
    }
    let starts = world.fleet.starts - world.running(2) as u64;
    assert_eq!(starts, u64::from(TASKS));
    world.assert_no_violations();
}
