//! Entries in the registry that belong to no worker, or not to the one under whose id they are.

use jayfork::process::shard::{Reply, ShardEvent};
use jayfork::request::job::Outcome;

use super::world::{World, chain};

/// A simulation with one owner and three workers, the last of which does not exist, though it is
/// listed.
fn world_with_absent_worker() -> World {
    let mut world = World::new(5, 3, 8_000);
    world.fleet.workers[2].is_gone = true;
    world.runtimes = 2_000..2_001;
    claim(&mut world);
    world.run(1_000);
    world
}

fn claim(world: &mut World) {
    let owner = world.claim();
    let entry = world.entry(2);
    world.event(owner, ShardEvent::Registry(vec![entry]));
}

fn recorded_workers(world: &World) -> Vec<&str> {
    let keys = world.store.records.keys();
    keys.filter_map(|key| key.strip_prefix("w/")).collect()
}

/// Guards against an entry of another program that delays each later owner: waiting tasks did not
/// start until the worker could hold no lease any more, since it never reports.
#[test]
fn a_new_owner_does_not_wait_for_an_entry_without_a_worker() {
    let mut world = world_with_absent_worker();
    world.submit(1, &chain(&[30], 1_000));
    world.run(1_000);
    world.kill(0);
    claim(&mut world);
    world.run(4_500);
    world.assert_no_violations();
    let state = world.state(1);
    let completed = Reply::State {
        outcome: Some(Outcome::Completed),
        has_started: true,
    };
    assert_eq!(state, Some(completed));
}

/// Guards against an entry of another program that leaves a record behind in the journal.
#[test]
fn only_workers_that_have_reported_are_recorded() {
    let mut world = world_with_absent_worker();
    assert_eq!(recorded_workers(&world), ["worker-0", "worker-1"]);
    world.leave(2);
    world.run(1_000);
    assert_eq!(recorded_workers(&world), ["worker-0", "worker-1"]);
    world.leave(1);
    world.run(1_000);
    assert_eq!(recorded_workers(&world), ["worker-0"]);
}

impl World {
    /// Checks that the record of a worker is stored before it is ordered to start a task. Otherwise, a
    /// later owner may not ask it for the run.
    pub fn check_record(&mut self, worker: &str) {
        if !self.store.records.contains_key(&format!("w/{worker}")) {
            let text = format!("{worker} gets a start order before it is recorded");
            self.fleet.violations.push(text);
        }
    }
}
