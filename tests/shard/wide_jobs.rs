//! A surge of wide jobs: more tasks become ready at once than the owner can order the starts of.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;

use super::world::{World, chain, long_running};

const WORKERS: usize = 250;
const JOBS: u64 = 30;
const TASKS: u16 = 100;
/// Start orders that the owner may have without an answer, in all and on one worker.
const MAX_PENDING_STARTS: (usize, usize) = (384, 2);

/// Guards against an owner that orders all starts of a surge at once. The orders and their new
/// connections kept its processor busy for seconds; it answered no hellos, other hosts took it for
/// gone, and each new owner met the same load.
#[test]
fn a_surge_of_wide_jobs_starts_in_bounded_portions() {
    let mut world = World::new(7, WORKERS, 16_000);
    world.claim();
    world.run(500);
    for id in 1..=JOBS {
        world.submit(id, &chain(&[TASKS], 1_000));
    }
    world.run(4_000);
    let (all, of_worker) = world.orders.max_pending_starts;
    assert!(all <= MAX_PENDING_STARTS.0, "{all} starts");
    assert!(of_worker <= MAX_PENDING_STARTS.1, "{of_worker} starts");
    for id in 1..=JOBS {
        let is_done = matches!(
            world.state(id),
            Some(Reply::State {
                outcome: Some(Outcome::Completed),
                ..
            })
        );
        assert!(is_done, "job {id}");
    }
    world.assert_no_violations();
}

/// Guards against long-running tasks of one image that are spread over all workers, because they arrive
/// at once and a worker gets few start orders at a time.
#[test]
fn long_running_tasks_that_arrive_at_once_are_packed() {
    let mut world = World::new(7, 4, 16_000);
    world.claim();
    world.run(500);
    for job in 1..=7 {
        world.submit(job, &long_running(1, 2_000));
    }
    world.run(2_000);
    let first = world.holder(1);
    for job in 2..=7 {
        assert_eq!(world.holder(job), first, "job {job}");
    }
}
