//! Workers that announce that they leave and stay after all.

use yare::parameterized;

use super::world::{World, long_running};

/// Guards against a worker that gets no tasks for as long as an owner lasts: it stayed after all while the owner
/// changed, and the record of the owner before says that it is leaving.
#[parameterized(
    with_the_same_owner = { false },
    without_an_owner = { true },
)]
fn a_worker_that_stays_after_all_gets_tasks(is_owner_lost: bool) {
    let mut world = World::new(7, 2, 8_000);
    world.claim();
    world.run(500);
    world.drain(0);
    world.run(500);
    if is_owner_lost {
        world.kill(0);
    }
    world.fleet.workers[0].is_leaving = false;
    match is_owner_lost {
        true => drop(world.claim()),
        false => world.refresh(0),
    }
    world.run(1_000);
    world.submit(1, &long_running(2, 8_000));
    world.run(12_000);
    assert_eq!(world.running(1), 2);
    world.assert_no_violations();
}
