//! Tasks of one step that are lost one after the other while the store is slow, so that some of them may start and
//! others wait for their record.

use jayfork::process::shard::Reply;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::random::env_number;
use super::world::{World, chain, long_running};

const WORKERS: usize = 8;
/// Time until the registry removes the entries of silent workers, in milliseconds.
const UNLIST_TIME: u64 = 2_500;
/// Time in which everything that is left ends, in milliseconds.
const END_TIME: u64 = 60_000;

/// Loses workers while others take their tasks over. Each step checks that no waiting task is left out of the order of
/// placement.
fn run_history(seed: u64, store_delay: u64, losses: &[u64], lasts: bool) {
    let mut world = World::new(seed, WORKERS, 16_000);
    world.runtimes = 6_000..15_000;
    world.claim();
    world.run(600);
    for id in 1..=4 {
        let mut spec = match lasts && id % 2 == 0 {
            true => long_running(6, 2_500),
            false => chain(&[5, 3], 2_500),
        };
        // On as many workers as there are tasks.
        spec.steps[0].spread = 2;
        world.submit(id, &spec);
    }
    world.run(1_500);
    world.store.delay = store_delay;
    for (worker, pause) in losses.iter().enumerate() {
        world.fleet.workers[worker].is_unreachable = true;
        world.run(*pause);
    }
    world.run(UNLIST_TIME);
    (0..losses.len()).for_each(|worker| world.unlist(worker));
    world.run(9_000);
    world.store.delay = 0;
    for worker in 0..losses.len() {
        world.fleet.workers[worker].is_unreachable = false;
        world.refresh(worker);
    }
    world.run(END_TIME);
    world.assert_no_violations();
    for id in [1, 3] {
        let state = world.state(id);
        let has_ended = matches!(state, Some(Reply::State { outcome, .. }) if outcome.is_some());
        assert!(has_ended, "job {id}: {state:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: env_number("SHARD_CASES", 48) as u32,
        rng_seed: RngSeed::Fixed(env_number("SHARD_SEED", 1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an accepted job that never ends: a task that waits for the record of its lost run was left out
    /// of the order of placement once the other waiting tasks of its step had started.
    #[test]
    fn a_task_that_waits_for_a_record_starts_again(
        seed in any::<u64>(),
        store_delay in 20u64..600,
        losses in prop::collection::vec(10u64..900, 2..6),
        lasts in any::<bool>(),
    ) {
        run_history(seed, store_delay, &losses, lasts);
    }
}
