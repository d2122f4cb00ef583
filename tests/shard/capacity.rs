//! Workers whose capacity changes while they run tasks.

use jayfork::base::Size;
use jayfork::process::shard::{RegistryChange, ShardEvent};
use yare::parameterized;

use super::fleet::Worker;
use super::world::{World, chain, long_running};

/// Time from the announcement of a smaller capacity until it counts, in milliseconds: starts that are
/// on their way may still arrive. By the specification it is several seconds.
const RESIZE_TIME: u64 = 50;

impl Worker {
    /// The capacity that starts must respect.
    pub fn limit(&self, now: u64) -> Size {
        let (former, until) = self.former;
        match now < until {
            true => self.capacity.max(&former),
            false => self.capacity,
        }
    }
}

impl World {
    /// Changes the capacity of a worker and announces it in the registry.
    pub fn resize(&mut self, worker: usize, processors: u32) {
        let target = &mut self.fleet.workers[worker];
        target.former = (target.capacity, self.now + RESIZE_TIME);
        target.capacity.processors = processors;
        self.refresh(worker);
    }
}

/// Guards against starts over the capacity of a worker that shrinks while it runs tasks, also while
/// some of them are being stopped, and against room that is not used again when it grows.
#[test]
fn a_shrunk_worker_gets_no_starts_over_its_capacity() {
    let mut world = World::new(7, 2, 8_000);
    world.claim();
    world.run(500);
    world.submit(1, &long_running(8, 1_000));
    for id in 10..30 {
        world.submit(id, &chain(&[4], 1_000));
    }
    world.run(400);
    for worker in [0, 1] {
        world.resize(worker, 3_000);
    }
    for id in 30..50 {
        world.submit(id, &chain(&[4], 500));
        world.run(60);
    }
    world.cancel(1);
    world.run(10_000);
    world.assert_no_violations();
    world.submit(2, &long_running(12, 1_000));
    world.run(3_000);
    assert_eq!(world.running(2), 6);
    for worker in [0, 1] {
        world.resize(worker, 8_000);
    }
    world.run(2_000);
    assert_eq!(world.running(2), 12);
    world.assert_no_violations();
}

/// Guards against starts by the capacity of an earlier incarnation while the registry has no entry of the new one yet,
/// as in an outage of the store, however soon the incarnation has followed.
#[parameterized(
    after_one_millisecond = { 1 },
    within_a_second = { 450 },
    after_a_second = { 1_000 },
    later = { 10_000 },
)]
fn a_restarted_worker_gets_no_starts_before_its_capacity_is_known(life_time: u64) {
    let mut world = World::new(7, 1, 6_000);
    world.fleet.workers[0].life_time = life_time;
    world.runtimes = 3_000..3_001;
    world.claim();
    world.run(500);
    let announce = |world: &mut World| {
        let RegistryChange::Set(id, mut entry) = world.entry(0) else {
            panic!("no entry");
        };
        entry.start_time = Some(world.fleet.workers[0].start_time());
        let event = ShardEvent::Registry(vec![RegistryChange::Set(id, entry)]);
        world.event(0, event);
    };
    announce(&mut world);
    world.submit(1, &chain(&[40], 1_000));
    world.run(1_500);
    assert_eq!(world.running(1), 6);
    world.fleet.restart(world.now, 0);
    world.fleet.workers[0].capacity.processors = 4_000;
    world.run(4_000);
    world.assert_no_violations();
    assert_eq!(world.running(1), 0);
    announce(&mut world);
    world.run(500);
    world.assert_no_violations();
    assert_eq!(world.running(1), 4);
}

/// Guards against starts on a worker that is over its capacity in another dimension than the task uses.
#[test]
fn a_worker_over_its_capacity_in_one_dimension_gets_no_starts() {
    let mut world = World::new(7, 1, 8_000);
    world.fleet.workers[0].capacity.accelerators = 4;
    world.claim();
    world.run(500);
    let mut spec = long_running(2, 1_000);
    spec.steps[0].size.accelerators = 2;
    world.submit(1, &spec);
    world.run(500);
    assert_eq!(world.running(1), 2);
    let target = &mut world.fleet.workers[0];
    target.former = (target.capacity, world.now + RESIZE_TIME);
    target.capacity.accelerators = 1;
    world.refresh(0);
    world.run(100);
    world.submit(2, &chain(&[2], 1_000));
    world.run(2_000);
    assert_eq!(world.running(2), 0);
    world.cancel(1);
    world.run(3_000);
    assert_eq!(world.fleet.starts, 4);
    world.assert_no_violations();
}
