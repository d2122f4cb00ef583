//! One failure a test.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;
use yare::parameterized;

use super::world::{Weather, World, chain, lasting};

const COMPLETED: Option<Outcome> = Some(Outcome::Completed);

fn outcome(world: &mut World, id: u64) -> Option<Outcome> {
    match world.state(id) {
        Some(Reply::State { outcome, .. }) => outcome,
        other => panic!("job {id} is not told: {other:?}"),
    }
}

/// A world with one owner that serves.
fn served(workers: usize, processors: u32) -> World {
    let mut world = World::new(7, workers, processors);
    world.claim();
    world.run(500);
    world
}

/// Guards against a job that is answered before it is stored, and against steps out of order.
#[test]
fn a_job_is_stored_then_run_step_by_step() {
    let mut world = served(3, 8_000);
    let ticket = world.submit(1, &chain(&[4, 6], 1_000));
    assert_eq!(world.replies.get(&ticket), None);
    world.run(100);
    assert_eq!(world.replies[&ticket], Reply::Accepted);
    world.run(4_000);
    assert_eq!(outcome(&mut world, 1), COMPLETED);
    world.assert_kept();
}

/// Guards against a second job for a repeated submission.
#[test]
fn a_repeated_submission_stays_one_job() {
    let mut world = served(2, 8_000);
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

/// Guards against a refusal of a job that runs later, and against a client that waits in vain.
#[test]
fn a_submission_in_an_outage_is_refused_and_never_runs() {
    let mut world = served(2, 8_000);
    world.store.is_down = true;
    world.run(800);
    let ticket = world.submit(1, &chain(&[3], 1_000));
    world.run(500);
    assert!(matches!(world.replies[&ticket], Reply::Refused { .. }));
    world.store.is_down = false;
    world.run(5_000);
    assert_eq!(world.fleet.starts, 0);
}

/// Guards against accepted work that stops while the store is down.
#[test]
fn accepted_work_goes_on_in_an_outage() {
    let mut world = served(2, 8_000);
    world.submit(1, &chain(&[2, 2, 2], 1_000));
    world.run(100);
    world.store.is_down = true;
    world.run(8_000);
    assert_eq!(world.fleet.done.len(), 6);
    world.store.is_down = false;
    world.run(1_000);
    assert_eq!(outcome(&mut world, 1), COMPLETED);
    world.assert_kept();
}

/// Guards against runs that are started again, lost or left running when the owner changes.
#[parameterized(
    killed = { true },
    still_alive = { false },
)]
fn a_new_owner_takes_over_what_runs(is_killed: bool) {
    let mut world = served(4, 8_000);
    world.submit(1, &lasting(6, 1_000));
    world.submit(2, &chain(&[8, 8], 1_000));
    world.run(300);
    if is_killed {
        world.kill(0);
    }
    world.claim();
    world.run(12_000);
    assert_eq!(outcome(&mut world, 2), COMPLETED);
    assert_eq!(world.running(1), 6);
    assert!(world.owners[0].is_none(), "the earlier owner goes on");
    world.assert_kept();
}

/// Guards against a second run while a worker that the new owner cannot reach still runs the first.
#[test]
fn a_new_owner_waits_for_workers_out_of_reach() {
    let mut world = served(3, 2_000);
    world.submit(1, &lasting(6, 1_000));
    world.run(500);
    world.kill(0);
    world.fleet.workers[1].is_cut = true;
    world.claim();
    world.run(3_000);
    assert_eq!(world.running(1), 6);
    world.run(9_000);
    world.fleet.workers[1].is_cut = false;
    world.run(9_000);
    assert_eq!(world.running(1), 6);
    world.assert_kept();
}

/// Guards against a new owner that waits a whole lease for a worker that has announced its leave and
/// is gone: what earlier owners accepted would stand still meanwhile.
#[test]
fn a_new_owner_does_not_wait_for_workers_that_have_left() {
    let mut world = served(3, 8_000);
    world.submit(1, &lasting(6, 1_000));
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
    world.assert_kept();
}

/// Pattern: jobs that can never run. Guards against healthy workers that get no tasks since the runs of
/// one such job fail on them.
#[test]
fn a_hopeless_job_does_not_keep_others_from_its_worker() {
    let mut world = served(1, 8_000);
    world.weather.fails = 1.0;
    world.submit(1, &chain(&[6], 1_000));
    world.run(4_000);
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Failed));
    world.weather.fails = 0.0;
    world.submit(2, &chain(&[2], 1_000));
    world.run(1_500);
    assert_eq!(outcome(&mut world, 2), COMPLETED);
    world.assert_kept();
}

/// Guards against a lasting task that waits while only workers with failed runs have room.
#[test]
fn a_lasting_task_goes_to_a_suspect_worker_before_it_waits() {
    let mut world = served(1, 8_000);
    world.weather.fails = 1.0;
    for id in 1..8 {
        world.submit(id, &chain(&[2], 500));
    }
    world.run(3_000);
    world.weather.fails = 0.0;
    world.submit(8, &lasting(2, 1_000));
    world.run(500);
    assert_eq!(world.running(8), 2);
    world.assert_kept();
}

/// Guards against runs of a silent worker that never count as lapsed because renewals go on being
/// sent, and against lasting tasks that stay away.
#[test]
fn tasks_of_a_silent_worker_start_elsewhere() {
    let mut world = served(3, 8_000);
    world.submit(1, &lasting(6, 1_000));
    world.run(1_000);
    let index = (0..3)
        .find(|index| !world.fleet.workers[*index].runs.is_empty())
        .expect("a worker runs tasks");
    world.fleet.workers[index].is_cut = true;
    world.run(9_000);
    let elsewhere: usize = (0..3)
        .filter(|other| *other != index)
        .map(|other| world.fleet.workers[other].runs.len())
        .sum();
    assert_eq!(elsewhere, 6);
    world.assert_kept();
}

/// Guards against tasks that are forgotten when their worker starts anew.
#[test]
fn a_worker_that_starts_anew_gets_its_tasks_back() {
    let mut world = served(1, 8_000);
    world.submit(1, &lasting(4, 1_000));
    world.run(1_000);
    world.fleet.restart(world.now, 0);
    world.run(2_000);
    assert_eq!(world.running(1), 4);
    world.assert_kept();
}

/// Guards against tasks that go on after their job is cancelled.
#[parameterized(
    calm = { Weather { lost: 0.0, late: 0.0, store_lost: 0.0, fails: 0.0 } },
    late_orders = { Weather { lost: 0.1, late: 0.3, store_lost: 0.0, fails: 0.0 } },
)]
fn cancelled_jobs_are_gone(weather: Weather) {
    let mut world = served(3, 8_000);
    world.weather = weather;
    world.submit(1, &lasting(8, 1_000));
    world.run(700);
    let ticket = world.cancel(1);
    world.run(12_000);
    assert_eq!(world.replies[&ticket], Reply::Cancelled);
    assert_eq!(world.running(1), 0);
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Cancelled));
    world.assert_kept();
}

/// Guards against a job that fails early or is tried beyond its attempts, also when the owner
/// changes between a failed run and its note.
#[parameterized(
    one_owner = { false },
    many_owners = { true },
)]
fn a_hopeless_job_fails_after_its_attempts(changes: bool) {
    let mut world = served(3, 8_000);
    world.weather.fails = 1.0;
    world.submit(1, &chain(&[1], 1_000));
    for _ in 0..6 {
        world.run(400);
        if changes {
            world.claim();
        }
    }
    world.run(15_000);
    assert_eq!(outcome(&mut world, 1), Some(Outcome::Failed));
    assert_eq!(world.fleet.starts, 3);
    world.assert_kept();
}

/// Guards against room that is given away while a stop is under way.
#[test]
fn a_full_worker_takes_no_more_until_its_stops_end() {
    let mut world = served(1, 4_000);
    world.weather.late = 0.2;
    for id in 1..20 {
        world.submit(id, &lasting(2, 1_000));
        world.run(400);
        world.cancel(id);
        world.run(60);
    }
    world.run(5_000);
    world.assert_kept();
}

/// Guards against a job that is lost or told as unknown after all processes have died.
#[test]
fn accepted_jobs_survive_every_owner() {
    let mut world = served(2, 8_000);
    let ticket = world.submit(1, &chain(&[2, 2], 1_000));
    world.run(60);
    assert_eq!(world.replies[&ticket], Reply::Accepted);
    world.kill(0);
    world.run(3_000);
    world.claim();
    world.run(6_000);
    assert_eq!(outcome(&mut world, 1), COMPLETED);
}
