//! Tasks that crash the workers that start them, and workers that crash for other reasons.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, JobSpec, Outcome};
use yare::parameterized;

use super::fleet::Worker;
use super::world::{STEP, World, chain, long_running};

const COMPLETED: Option<Outcome> = Some(Outcome::Completed);
const FAILED: Option<Outcome> = Some(Outcome::Failed);

fn outcome(world: &mut World, id: u64) -> Option<Outcome> {
    match world.state(id) {
        Some(Reply::State { outcome, .. }) => outcome,
        other => panic!("job {id} has no state: {other:?}"),
    }
}

/// A simulation with one owner, whose workers return under another id if `renames` is set.
fn world_with_owner(seed: u64, workers: usize, renames: bool) -> World {
    let mut world = World::new(seed, workers, 8_000);
    world.renames = renames;
    world.claim();
    world.run(500);
    world
}

/// Runs the simulation until a worker that can be reached runs a task of the job, and returns it.
fn next_holder(world: &mut World, id: u64) -> usize {
    for _ in 0..6_000 {
        let holds = |worker: &Worker| {
            let mut tasks = worker.runs.keys();
            !worker.is_unreachable && tasks.any(|task| task.step.job == JobId(id))
        };
        if let Some(index) = world.fleet.workers.iter().position(holds) {
            return index;
        }
        world.run(STEP);
    }
    panic!("job {id} does not run");
}

/// Whether the store holds a record whose key begins with `prefix`.
fn has_record(world: &World, prefix: &str) -> bool {
    let mut keys = world.store.records.keys();
    keys.any(|key| key.starts_with(prefix))
}

fn submit_crashing(world: &mut World, id: u64, spec: &JobSpec) {
    world.fleet.crashing.insert(JobId(id));
    world.submit(id, spec);
}

/// Guards against a task that crashes each worker that starts it and is started again and again:
/// runs lost with their worker counted against no limit.
#[parameterized(
    restarted = { false, false },
    replaced = { true, false },
    long_running_restarted = { false, true },
    long_running_replaced = { true, true },
)]
fn a_task_that_crashes_its_workers_is_given_up(renames: bool, lasts: bool) {
    let mut world = world_with_owner(7, 12, renames);
    let spec = match lasts {
        true => long_running(1, 1_000),
        false => chain(&[1], 1_000),
    };
    submit_crashing(&mut world, 1, &spec);
    world.run(60_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 1), FAILED);
}

/// Kills the owner of a task that crashes its workers twice, with `delay` in milliseconds before each kill,
/// and returns the simulation 90 s later.
fn world_with_killed_owners(seed: u64, delay: u64, renames: bool) -> World {
    let mut world = world_with_owner(seed, 12, renames);
    submit_crashing(&mut world, 1, &chain(&[1], 1_000));
    for _ in 0..2 {
        world.run(delay);
        let owner = world.owner().expect("an owner");
        world.kill(owner);
        world.run(300);
        world.claim();
    }
    world.run(90_000);
    world
}

/// Guards against crashes that a change of the owner forgets, so that the task is started too often.
#[parameterized(
    restarted = { false },
    replaced = { true },
)]
fn crashes_are_counted_across_owners(renames: bool) {
    for delay in [200, 2_000, 7_500, 9_000, 14_000] {
        let mut world = world_with_killed_owners(delay, delay, renames);
        world.assert_no_violations();
        assert_eq!(
            outcome(&mut world, 1),
            FAILED,
            "owner killed every {delay} ms"
        );
    }
}

/// Guards against the same fault when messages take other times.
#[test]
fn crashes_are_counted_across_owners_with_any_delays() {
    for seed in 0..60 {
        for delay in [200, 2_000, 7_500, 9_000, 14_000] {
            let world = world_with_killed_owners(seed, delay, false);
            let violations = &world.fleet.violations;
            assert!(
                violations.is_empty(),
                "seed {seed}, {delay} ms: {violations:#?}"
            );
        }
    }
}

/// Submits the jobs again that were refused, as their clients do, until all are accepted.
fn submit_refused(world: &mut World, mut tickets: Vec<(u64, u64)>, spec: &JobSpec) {
    for _ in 0..30 {
        let is_refused = |(_, ticket): &(u64, u64)| {
            let reply = world.replies.get(ticket);
            matches!(reply, Some(Reply::Refused { .. }))
        };
        tickets.retain(is_refused);
        if tickets.is_empty() {
            return;
        }
        world.run(2_000);
        for (id, ticket) in &mut tickets {
            *ticket = world.submit(*id, spec);
        }
        world.run(200);
    }
    panic!("jobs are refused for ever: {tickets:?}");
}

/// Guards against jobs that fail because their tasks run beside one that crashes its workers.
#[parameterized(
    restarted = { false, false },
    replaced = { true, false },
    owner_killed = { true, true },
)]
fn tasks_beside_one_that_crashes_its_workers_do_not_fail(renames: bool, kills: bool) {
    for seed in 0..8 {
        let mut world = world_with_owner(seed, 12, renames);
        world.submit(1, &long_running(6, 1_000));
        world.run(2_000);
        for id in 10..22 {
            world.submit(id, &chain(&[4, 4], 500));
            world.run(5);
            submit_crashing(&mut world, id + 100, &chain(&[1], 500));
        }
        world.submit(2, &long_running(6, 1_000));
        if kills {
            world.run(6_200);
            let owner = world.owner().expect("an owner");
            world.kill(owner);
            world.run(300);
            world.claim();
        }
        let spec = chain(&[2, 2], 500);
        let mut tickets = Vec::new();
        for id in 30..60 {
            tickets.push((id, world.submit(id, &spec)));
            world.run(400);
        }
        submit_refused(&mut world, tickets, &spec);
        world.run(90_000);
        world.assert_no_violations();
        for id in (10..22).chain(30..60) {
            assert_eq!(outcome(&mut world, id), COMPLETED, "job {id}, seed {seed}");
        }
        for id in 110..122 {
            assert_eq!(outcome(&mut world, id), FAILED, "job {id}, seed {seed}");
        }
        assert_eq!((world.running(1), world.running(2)), (6, 6));
    }
}

/// Guards against jobs that fail because their workers crash for reasons of their own.
#[parameterized(
    restarted = { false },
    replaced = { true },
)]
fn tasks_of_workers_that_crash_by_themselves_do_not_fail(renames: bool) {
    let mut world = world_with_owner(7, 4, renames);
    world.runtimes = 1_500..2_300;
    world.submit(1, &long_running(4, 1_000));
    world.submit(2, &chain(&[4, 4], 1_000));
    for worker in [0, 1, 2, 3, 0, 1, 2, 3] {
        world.run(2_500);
        // A worker that crashes while it starts a task may have been crashed by it.
        while world.is_starting(worker) {
            world.run(STEP);
        }
        world.crash(worker);
    }
    world.run(30_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 2), COMPLETED);
    assert_eq!(world.running(1), 4);
}

/// Guards against runs that count as crashes although their worker was only cut off.
#[test]
fn tasks_of_workers_that_are_cut_off_do_not_fail() {
    let mut world = world_with_owner(7, 3, false);
    world.submit(1, &long_running(1, 1_000));
    for _ in 0..4 {
        let worker = next_holder(&mut world, 1);
        world.fleet.workers[worker].is_unreachable = true;
        let next = next_holder(&mut world, 1);
        assert_ne!(worker, next);
        world.fleet.workers[worker].is_unreachable = false;
    }
    world.run(10_000);
    world.assert_no_violations();
    assert_eq!(world.running(1), 1);
}

/// Guards against runs that the next owner counts as crashes although their worker was only cut off, and
/// against records of such suspicions that are never deleted.
#[test]
fn a_worker_that_was_cut_off_does_not_count_as_crashed_for_the_next_owner() {
    for seed in 0..6 {
        let mut world = world_with_owner(seed, 3, false);
        world.submit(1, &long_running(1, 1_000));
        let worker = next_holder(&mut world, 1);
        world.fleet.workers[worker].is_unreachable = true;
        next_holder(&mut world, 1);
        world.run(200);
        assert!(has_record(&world, "u/"));
        let owner = world.owner().expect("an owner");
        world.kill(owner);
        world.claim();
        world.fleet.workers[worker].is_unreachable = false;
        world.run(1_000);
        assert!(!has_record(&world, "u/") && !has_record(&world, "c/"));
        world.run(10_000);
        world.assert_no_violations();
        assert_eq!(world.running(1), 1);
    }
}

/// Guards against a task that waits for good for the proof that it has crashed its workers.
#[test]
fn a_task_that_has_lost_two_workers_for_good_starts_again() {
    let mut world = world_with_owner(7, 4, false);
    world.submit(1, &long_running(1, 1_000));
    for _ in 0..2 {
        let worker = next_holder(&mut world, 1);
        world.fleet.workers[worker].is_unreachable = true;
    }
    let owner = world.owner().expect("an owner");
    world.run(9_000);
    world.kill(owner);
    world.claim();
    // The time for the proof is 30 s from the loss, also with a new owner.
    world.run(30_000);
    let reachable = world
        .fleet
        .workers
        .iter()
        .filter(|worker| !worker.is_unreachable);
    let running: usize = reachable.map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 1);
    world.assert_no_violations();
}

/// Guards against a suspicion that is lost with its owner, so that the crash is never counted although the
/// worker has confirmed the start.
#[test]
fn a_suspicion_is_known_to_the_next_owner() {
    let mut recorded = 0;
    for seed in 0..12 {
        let mut world = world_with_owner(seed, 12, false);
        submit_crashing(&mut world, 1, &long_running(1, 1_000));
        while !has_record(&world, "u/") && !has_record(&world, "c/") {
            world.run(STEP);
        }
        if has_record(&world, "c/") {
            // The start was not confirmed.
            continue;
        }
        recorded += 1;
        world.fleet.crashing.clear();
        let owner = world.owner().expect("an owner");
        world.kill(owner);
        world.claim();
        let claimed = world.now;
        while !has_record(&world, "c/") {
            assert!(world.now < claimed + 10_000, "the crash does not count");
            world.run(STEP);
        }
        world.run(10_000);
        assert!(!has_record(&world, "u/"));
        world.assert_no_violations();
        assert_eq!(world.running(1), 1);
    }
    assert!(recorded > 2, "{recorded} suspicions");
}

/// Guards against a run that a later owner counts as a crash although its worker may never have got the
/// order, and against a long-running task that waits too long because its start was not confirmed.
#[test]
fn a_start_without_confirmation_is_no_crash_for_the_next_owner() {
    let mut world = world_with_owner(7, 3, false);
    world.faults.answer_loss = 1.0;
    world.submit(1, &long_running(1, 1_000));
    let worker = next_holder(&mut world, 1);
    world.fleet.workers[worker].is_unreachable = true;
    world.run(200);
    world.faults.answer_loss = 0.0;
    // The limit for the loss of a silent worker is 9 s.
    world.run(8_800);
    assert_eq!(world.running(1), 1);
    assert_ne!(world.holder(1), worker);
    let owner = world.owner().expect("an owner");
    world.kill(owner);
    world.claim();
    world.fleet.restart(world.now, worker);
    world.fleet.workers[worker].is_unreachable = false;
    world.run(12_000);
    assert!(!has_record(&world, "u/") && !has_record(&world, "c/"));
    assert_eq!(world.running(1), 1);
    world.assert_no_violations();
}

/// Guards against a job that fails after one crash because an order that its worker never got counts too.
#[test]
fn an_order_that_was_not_carried_out_and_one_crash_do_not_fail_a_job() {
    let mut world = world_with_owner(7, 1, false);
    world.faults.order_delay = 1.0;
    world.submit(1, &long_running(1, 1_000));
    world.run(100);
    world.faults.order_delay = 0.0;
    // The order is under way and is lost with its connection.
    world.fleet.restart(world.now, 0);
    assert_eq!(world.fleet.starts, 0);
    next_holder(&mut world, 1);
    world.run(50);
    world.fleet.restart(world.now, 0);
    world.run(12_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 1), None);
    assert_eq!(world.running(1), 1);
}

/// Guards against a job that fails after one crash because a restart long after an earlier start counts too:
/// the answers to the requests for reports in between were lost.
#[parameterized(
    ended = { false },
    long_running = { true },
)]
fn a_restart_long_after_a_start_and_one_crash_do_not_fail_a_job(lasts: bool) {
    let mut world = world_with_unheard_start(lasts);
    world.run(1_400);
    world.fleet.restart(world.now, 0);
    next_holder(&mut world, 1);
    world.run(50);
    world.fleet.restart(world.now, 0);
    world.run(12_000);
    check_healthy_job(&mut world, lasts);
}

/// Guards against the same fault when the next owner learns of the restart.
#[test]
fn a_restart_long_after_a_start_is_no_sure_crash_for_the_next_owner() {
    let mut world = world_with_unheard_start(true);
    world.run(1_400);
    world.fleet.workers[0].is_unreachable = true;
    while !has_record(&world, "u/") {
        world.run(STEP);
    }
    let owner = world.owner().expect("an owner");
    world.kill(owner);
    world.claim();
    world.fleet.restart(world.now, 0);
    world.fleet.workers[0].is_unreachable = false;
    next_holder(&mut world, 1);
    world.run(50);
    world.fleet.restart(world.now, 0);
    world.run(12_000);
    check_healthy_job(&mut world, true);
}

/// A simulation of one worker that has confirmed the start of a task and isn't heard for more than two seconds
/// after that, although it runs on.
fn world_with_unheard_start(lasts: bool) -> World {
    let mut world = world_with_owner(7, 1, false);
    world.runtimes = 300..400;
    // A quarter of this is the share of reports that are lost.
    world.faults.answer_loss = 4.0;
    world.run(60);
    world.faults.answer_loss = 0.0;
    let spec = match lasts {
        true => long_running(1, 1_000),
        false => chain(&[1], 1_000),
    };
    world.submit(1, &spec);
    next_holder(&mut world, 1);
    world
}

/// Checks that job 1 has not failed.
fn check_healthy_job(world: &mut World, lasts: bool) {
    world.assert_no_violations();
    let expected = match lasts {
        true => None,
        false => COMPLETED,
    };
    assert_eq!(outcome(world, 1), expected);
    assert_eq!(world.running(1), usize::from(lasts));
}

/// Guards against a task that fails because it is tried again on a worker on which one that crashes its
/// workers has just started.
#[test]
fn a_task_on_trial_waits_for_a_worker_without_recent_starts() {
    let mut world = world_with_owner(7, 1, true);
    world.submit(1, &long_running(1, 1_500));
    world.run(2_000);
    // Waits for the room that the long-running task takes, and comes before the next one.
    submit_crashing(&mut world, 2, &chain(&[1], 7_000));
    world.run(200);
    world.submit(3, &chain(&[1], 1_000));
    let worker = next_holder(&mut world, 3);
    world.crash(worker);
    world.cancel(1);
    world.run(60_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 2), FAILED);
    assert_eq!(outcome(&mut world, 3), COMPLETED);
}

/// Guards against a gang that crashes its workers and is started again and again.
#[test]
fn a_gang_that_crashes_its_workers_is_given_up() {
    let mut world = world_with_owner(7, 12, true);
    let mut spec = chain(&[3], 1_000);
    spec.steps[0].gang = true;
    submit_crashing(&mut world, 1, &spec);
    world.run(60_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 1), FAILED);
}

/// Guards against runs that count as crashes although their worker announced that it was leaving.
#[test]
fn tasks_of_workers_that_leave_do_not_fail() {
    let mut world = world_with_owner(7, 6, true);
    world.submit(1, &long_running(1, 1_000));
    for _ in 0..4 {
        let worker = next_holder(&mut world, 1);
        world.drain(worker);
        world.crash(worker);
    }
    world.run(20_000);
    world.assert_no_violations();
    assert_eq!(world.running(1), 1);
}

/// Guards against crashes that are proven seconds late because the next worker at the address is there
/// for less than the pause between two requests for reports: the task was started five times.
#[test]
fn a_new_worker_at_an_address_proves_the_end_of_the_one_before() {
    let mut world = world_with_owner(7, 1, true);
    submit_crashing(&mut world, 1, &chain(&[1], 1_000));
    world.run(60_000);
    world.assert_no_violations();
    assert_eq!(outcome(&mut world, 1), FAILED);
    // The limit for starts whose confirmation is lost in the crash.
    assert!(world.fleet.starts <= 3, "{} starts", world.fleet.starts);
}
