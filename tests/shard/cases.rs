//! One test for each failure.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;
use yare::parameterized;

use super::world::{FaultRates, STEP, World, chain, long_running};

const COMPLETED: Option<Outcome> = Some(Outcome::Completed);

fn outcome(world: &mut World, id: u64) -> Option<Outcome> {
    match world.state(id) {
        Some(Reply::State { outcome, .. }) => outcome,
        other => panic!("job {id} has no state: {other:?}"),
    }
}

/// A simulation with one owner that has taken up its work.
fn world_with_owner(workers: usize, processors: u32) -> World {
    let mut world = World::new(7, workers, processors);
    world.claim();
    world.run(500);
    world
}

/// Guards against a submission that is answered before the job is stored, and against steps that
/// run out of order.
#[test]
fn a_job_is_stored_then_run_step_by_step() {
    let mut world = world_with_owner(3, 8_000);
    let ticket = world.submit(1, &chain(&[4, 6], 1_000));
    assert_eq!(world.replies.get(&ticket), None);
    world.run(100);
    assert_eq!(world.replies[&ticket], Reply::Accepted);
    world.run(4_000);
    assert_eq!(outcome(&mut world, 1), COMPLETED);
    world.assert_no_violations();
}

/// Guards against a second job when a submission is repeated before or after the job ends.
#[test]
fn a_repeated_submission_creates_no_second_job() {
    let mut world = world_with_owner(2, 8_000);
    let spec = chain(&[3], 1_000);
    world.submit(1, &spec);
    let second = world.submit(1, &spec);
    world.run(3_000);
    let third = world.submit(1, &spec);
    world.run(3_000);
    assert_eq!(world.replies[&second], Reply::Accepted);
    assert_eq!(world.replies[&third], Reply::Accepted);
    assert_eq!(world.fleet.starts, 3);
}

/// Guards against a submission during an outage of the store that is refused although its job runs
/// later, or that gets no answer.
#[test]
fn a_submission_in_an_outage_is_refused_and_never_runs() {
    let mut world = world_with_owner(2, 8_000);
    world.store.is_down = true;
    world.run(800);
    let ticket = world.submit(1, &chain(&[3], 1_000));
    world.run(500);
    assert!(matches!(world.replies[&ticket], Reply::Refused { .. }));
    world.store.is_down = false;
    world.run(5_000);
    assert_eq!(world.fleet.starts, 0);
}

/// Guards against accepted jobs that stall while the store is down.
#[test]
fn accepted_jobs_run_on_in_an_outage() {
    let mut world = world_with_owner(2, 8_000);
    world.submit(1, &chain(&[2, 2, 2], 1_000));
    world.run(100);
    world.store.is_down = true;
    world.run(8_000);
    assert_eq!(world.fleet.done.len(), 6);
    world.store.is_down = false;
    world.run(1_000);
    assert_eq!(outcome(&mut world, 1), COMPLETED);
    world.assert_no_violations();
}

/// Guards against runs that are started twice, lost or left running when a new owner claims the
/// shard, whether the earlier owner is killed or only superseded.
#[parameterized(
    killed = { true },
    still_alive = { false },
)]
fn a_new_owner_takes_over_running_tasks(is_killed: bool) {
    let mut world = world_with_owner(4, 8_000);
    world.submit(1, &long_running(6, 1_000));
    world.submit(2, &chain(&[8, 8], 1_000));
    world.run(300);
    if is_killed {
        world.kill(0);
    }
    world.claim();
    world.run(12_000);
    assert_eq!(outcome(&mut world, 2), COMPLETED);
    assert_eq!(world.running(1), 6);
    assert!(
        world.owners[0].is_none(),
        "the earlier owner did not step down"
    );
    world.assert_no_violations();
}

/// Guards against a second run of a task whose first run goes on, on a worker that the new owner
/// cannot reach.
#[test]
fn a_new_owner_waits_for_unreachable_workers() {
    let mut world = world_with_owner(3, 2_000);
    world.submit(1, &long_running(6, 1_000));
    world.run(500);
    world.kill(0);
    world.fleet.workers[1].is_unreachable = true;
    world.claim();
    world.run(3_000);
    assert_eq!(world.running(1), 6);
    world.run(9_000);
    world.fleet.workers[1].is_unreachable = false;
    world.run(9_000);
    assert_eq!(world.running(1), 6);
    world.assert_no_violations();
}

/// Guards against a new owner that waits a whole lease for a worker that announced that it is
/// leaving and then left. Jobs that earlier owners accepted would stall meanwhile.
#[test]
fn a_new_owner_does_not_wait_for_workers_that_have_left() {
    let mut world = world_with_owner(3, 8_000);
    world.submit(1, &long_running(6, 1_000));
    world.run(1_000);
    world.drain(1);
    world.run(300);
    world.submit(2, &chain(&[2, 2, 2], 1_000));
    world.run(100);
    world.leave(1);
    world.kill(0);
    world.claim();
    world.run(4_000);
    assert_eq!(world.running(1), 6);
    assert_eq!(outcome(&mut world, 2), COMPLETED);
    world.assert_no_violations();
}

/// Guards against a healthy worker that gets no tasks because several runs of one job, which fails
/// everywhere, have failed on it.
#[test]
fn a_failing_job_does_not_make_its_worker_suspect() {
    let mut world = world_with_owner(1, 8_000);
    world.faults.run_failure = 1.0;
    world.submit(1, &chain(&[6], 1_000));
    world.run(4_000);
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Failed));
    world.faults.run_failure = 0.0;
    world.submit(2, &chain(&[2], 1_000));
    world.run(1_500);
    assert_eq!(outcome(&mut world, 2), COMPLETED);
    world.assert_no_violations();
}

/// Guards against a long-running task that waits although a suspect worker, one with failed runs of
/// several jobs, has room.
#[test]
fn a_long_running_task_starts_on_a_suspect_worker_rather_than_wait() {
    let mut world = world_with_owner(1, 8_000);
    world.faults.run_failure = 1.0;
    for id in 1..8 {
        world.submit(id, &chain(&[2], 500));
    }
    world.run(3_000);
    world.faults.run_failure = 0.0;
    world.submit(8, &long_running(2, 1_000));
    world.run(500);
    assert_eq!(world.running(8), 2);
    world.assert_no_violations();
}

/// Guards against runs of an unreachable worker that never count as expired because the owner keeps
/// sending renewals, and against long-running tasks that are not started elsewhere.
#[test]
fn tasks_of_an_unreachable_worker_start_elsewhere() {
    let mut world = world_with_owner(3, 8_000);
    world.submit(1, &long_running(6, 1_000));
    world.run(1_000);
    let index = (0..3)
        .find(|index| !world.fleet.workers[*index].runs.is_empty())
        .expect("a worker runs tasks");
    world.fleet.workers[index].is_unreachable = true;
    world.run(9_000);
    let elsewhere: usize = (0..3)
        .filter(|other| *other != index)
        .map(|other| world.fleet.workers[other].runs.len())
        .sum();
    assert_eq!(elsewhere, 6);
    world.assert_no_violations();
}

/// Guards against tasks that are not started again when their worker restarts.
#[test]
fn a_restarted_worker_gets_its_tasks_back() {
    let mut world = world_with_owner(1, 8_000);
    world.submit(1, &long_running(4, 1_000));
    world.run(1_000);
    world.fleet.restart(world.now, 0);
    world.run(2_000);
    assert_eq!(world.running(1), 4);
    world.assert_no_violations();
}

/// Guards against tasks that run on after their job is cancelled, also if orders arrive late.
#[parameterized(
    no_faults = { FaultRates { answer_loss: 0.0, order_delay: 0.0, store_loss: 0.0, run_failure: 0.0 } },
    late_orders = { FaultRates { answer_loss: 0.1, order_delay: 0.3, store_loss: 0.0, run_failure: 0.0 } },
)]
fn a_cancelled_job_stops_running(faults: FaultRates) {
    let mut world = world_with_owner(3, 8_000);
    world.faults = faults;
    world.submit(1, &long_running(8, 1_000));
    world.run(700);
    let ticket = world.cancel(1);
    world.run(12_000);
    assert_eq!(world.replies[&ticket], Reply::Cancelled);
    assert_eq!(world.running(1), 0);
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Cancelled));
    world.assert_no_violations();
}

/// Guards against a job that fails before its attempts are used up or is tried again after them,
/// also if the owner changes between a failed run and its acknowledgement.
#[parameterized(
    one_owner = { false },
    many_owners = { true },
)]
fn a_failing_job_ends_after_its_attempts(owner_changes: bool) {
    let mut world = world_with_owner(3, 8_000);
    world.faults.run_failure = 1.0;
    world.submit(1, &chain(&[1], 1_000));
    for _ in 0..6 {
        world.run(400);
        if owner_changes {
            world.claim();
        }
    }
    world.run(15_000);
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Failed));
    assert_eq!(world.fleet.starts, 3);
    world.assert_no_violations();
}

/// Guards against a worker that gets new tasks in the room of runs that are still being stopped.
#[test]
fn a_full_worker_gets_no_tasks_until_stopped_runs_end() {
    let mut world = world_with_owner(1, 4_000);
    world.faults.order_delay = 0.2;
    for id in 1..20 {
        world.submit(id, &long_running(2, 1_000));
        world.run(400);
        world.cancel(id);
        world.run(60);
    }
    world.run(5_000);
    world.assert_no_violations();
}

/// Guards against an accepted job that is lost when no owner is left for a while.
#[test]
fn accepted_jobs_survive_the_loss_of_all_owners() {
    let mut world = world_with_owner(2, 8_000);
    let ticket = world.submit(1, &chain(&[2, 2], 1_000));
    world.run(60);
    assert_eq!(world.replies[&ticket], Reply::Accepted);
    world.kill(0);
    world.run(3_000);
    world.claim();
    world.run(6_000);
    assert_eq!(outcome(&mut world, 1), COMPLETED);
}

/// Guards against two owners that give two runs of a task the same number: the second failure would
/// not count, and the task would start more often than its attempts allow. Their epochs differ in
/// the random bits alone when both hosts claim before they hear of each other.
#[test]
fn owners_with_epochs_of_one_ordinal_number_runs_differently() {
    let mut world = World::new(7, 2, 8_000);
    world.attempts = 2;
    let first = world.claim_with_epoch((1 << 16) | 5);
    world.run(500);
    world.faults.run_failure = 1.0;
    world.submit(1, &chain(&[1], 1_000));
    while world.running(1) == 0 {
        world.run(STEP);
    }
    assert_eq!(world.fleet.starts, 1);
    world.kill(first);
    world.drain(0);
    world.claim_with_epoch((1 << 16) | 9);
    world.run(12_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Failed));
    assert_eq!(world.fleet.starts, 2);
}

/// Guards against ends that are noticed late because an earlier end on the same worker is still
/// being recorded: a surge of short steps would then take several times their run time.
#[test]
fn short_steps_do_not_wait_for_the_acknowledgement_of_earlier_ends() {
    let mut world = world_with_owner(1, 8_000);
    world.runtimes = 100..101;
    world.submit(1, &chain(&[1; 8], 1_000));
    world.run(8 * (100 + 70));
    assert_eq!(outcome(&mut world, 1), COMPLETED);
    world.assert_no_violations();
}

/// Guards against a new owner that reads the records of a backlog page by page, one after the other.
/// In another region than the store this took up to 8 s, and the next host claimed the shard.
#[test]
fn the_records_of_a_backlog_are_read_in_parallel() {
    let mut world = world_with_owner(1, 1_000);
    for index in 0..400 {
        // Spread over all keys, like the ids that clients choose.
        world.submit(index << 55 | 1, &chain(&[1], 1_000));
    }
    world.run(300);
    let first = world.owner().expect("an owner");
    world.kill(first);
    world.claim();
    let ticket = world.cancel(1);
    world.run(120);
    assert!(world.replies.contains_key(&ticket));
}

/// Guards against a backlog that waits for the longest lease after a change of the owner, because one
/// worker does not answer: jobs that have not started can have no run on it.
#[test]
fn jobs_that_have_not_started_do_not_wait_for_unreachable_workers() {
    let mut world = world_with_owner(2, 4_000);
    world.runtimes = 1_500..1_501;
    world.submit(1, &chain(&[8], 1_000));
    world.run(200);
    for id in 2..=100 {
        world.submit(id, &chain(&[1], 1_000));
    }
    world.run(200);
    let first = world.owner().expect("an owner");
    world.kill(first);
    world.fleet.workers[0].is_unreachable = true;
    world.claim();
    world.run(4_000);
    let started = (2..=100).filter(|id| world.running(*id) > 0).count();
    assert!(started > 0);
    world.assert_no_violations();
}

/// Guards against a new owner that fills a worker although a run there is still being stopped: the
/// earlier owner ordered the stop, and the worker lists the run neither as running nor as ended.
#[test]
fn a_new_owner_leaves_room_for_runs_that_are_being_stopped() {
    let mut world = world_with_owner(1, 8_000);
    world.submit(1, &long_running(4, 2_000));
    world.run(600);
    for id in 2..=30 {
        world.submit(id, &chain(&[2], 2_000));
        world.run(10);
    }
    world.cancel(1);
    let first = world.owner().expect("an owner");
    while world.fleet.workers[0].runs.len() == 4 {
        world.run(STEP);
    }
    world.kill(first);
    world.claim();
    world.run(5_000);
    world.assert_no_violations();
}

/// Guards against a long-running task that is moved off a leaving worker and then waits for the longest
/// lease, because another worker is gone at a change of the owner.
#[test]
fn a_moved_task_does_not_wait_for_unreachable_workers() {
    let mut world = world_with_owner(3, 8_000);
    world.submit(1, &long_running(2, 2_000));
    world.run(600);
    let holder = (0..3).find(|worker| !world.fleet.workers[*worker].runs.is_empty());
    let holder = holder.expect("a worker with runs");
    let first = world.owner().expect("an owner");
    world.kill(first);
    world.fleet.workers[(holder + 1) % 3].is_unreachable = true;
    world.claim();
    world.run(1_000);
    world.drain(holder);
    world.run(3_000);
    let target = &world.fleet.workers[(holder + 2) % 3];
    assert_eq!(target.runs.len(), 2);
    world.assert_no_violations();
}
