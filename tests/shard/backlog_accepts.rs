//! Which jobs a backlog accepts and refuses, with estimates that are wrong, stuck jobs, labels and priorities.

use jayfork::process::shard::Reply;

use super::backlog::{has_started, keep_submitting};
use super::backlog_limits::{declared, world};
use super::pace::{best_effort, world_with_serving_tasks};
use super::world::{LOW_QUEUE, QUEUE, World, chain};

fn unstarted(world: &mut World, ids: &[u64]) -> usize {
    ids.iter().filter(|id| !has_started(world, **id)).count()
}

/// Guards against a limit that declared run times below the real ones lift.
#[test]
fn underestimated_jobs_are_limited() {
    let mut world = world(2);
    let spec = declared(chain(&[4], 1_000), 50);
    let accepted = keep_submitting(&mut world, 1, &spec, 100, 30_000);
    world.run(14_000);
    let n = unstarted(&mut world, &accepted);
    assert_eq!(
        n,
        0,
        "{n} of {} accepted have not started 14 s after the last",
        accepted.len()
    );
}

/// Guards against jobs that no worker bears and that hold back those of the same image that would run at once.
#[test]
fn stuck_jobs_refuse_no_smaller_ones() {
    let mut world = world_with_serving_tasks(3_000, 0.5);
    for id in 3..6 {
        world.submit(id, &best_effort(1, 12_000));
    }
    world.run(10_000);
    let mut refused = 0;
    for id in 10..40 {
        let ticket = world.submit(id, &best_effort(1, 300));
        world.run(2_000);
        refused += usize::from(matches!(
            world.replies.get(&ticket),
            Some(Reply::Refused { .. })
        ));
    }
    assert_eq!(refused, 0, "of 30");
}

/// Checks the test above: the same without the stuck jobs.
#[test]
fn small_jobs_alone_are_accepted() {
    let mut world = world_with_serving_tasks(3_000, 0.5);
    world.run(10_000);
    let accepted = keep_submitting(&mut world, 10, &best_effort(1, 300), 2_000, 60_000);
    assert_eq!((accepted.len(), unstarted(&mut world, &accepted)), (30, 0));
}

/// Guards against jobs that are accepted without a limit while there is no worker.
#[test]
fn jobs_without_any_worker_are_limited() {
    let mut world = world(2);
    for worker in &mut world.fleet.workers {
        worker.is_gone = true;
    }
    let accepted = keep_submitting(&mut world, 1, &chain(&[4], 1_000), 100, 40_000);
    assert!(accepted.len() < 200, "{} of 400 accepted", accepted.len());
}

/// Guards against jobs that are accepted without a limit though their tasks fit on no worker.
#[test]
fn jobs_that_fit_nowhere_are_limited() {
    let mut world = world(2);
    let accepted = keep_submitting(&mut world, 1, &chain(&[1], 100_000), 100, 40_000);
    assert!(accepted.len() < 200, "{} of 400 accepted", accepted.len());
}

/// Guards against a wide job with too short a declared run time that takes all the room once it is long overdue.
#[test]
fn a_wide_underestimated_job_holds_back_no_others() {
    let mut world = world(2);
    world.submit(1, &declared(chain(&[1_000], 1_000), 10));
    world.run(100);
    let mut longest = 0;
    let mut open: Vec<(u64, u64)> = Vec::new();
    let mut refused = 0;
    for id in 10..90 {
        let ticket = world.submit(id, &chain(&[1], 1_000));
        world.run(600);
        match world.replies.get(&ticket) {
            Some(Reply::Accepted) => open.push((id, world.now - 600)),
            _ => refused += 1,
        }
        let mut rest = Vec::new();
        for (id, at) in open {
            match has_started(&mut world, id) {
                true => longest = longest.max(world.now - at),
                false => rest.push((id, at)),
            }
        }
        open = rest;
    }
    for (_, at) in &open {
        longest = longest.max(world.now - at);
    }
    assert!(
        longest <= 16_000,
        "{longest} ms to the first start, {refused} of 80 refused, {} not started",
        open.len()
    );
}

/// Guards against a backlog of a low priority without a limit, while jobs of a higher one take most of the room.
#[test]
fn jobs_of_a_low_priority_are_limited() {
    let mut world = world(2);
    let mut tickets = Vec::new();
    for i in 0..400 {
        world.submit_to(QUEUE, 1_000 + i, &chain(&[1], 1_000));
        let ticket = world.submit_to(LOW_QUEUE, 5_000 + i, &chain(&[1], 1_000));
        tickets.push((5_000 + i, ticket));
        world.run(75);
    }
    let accepted: Vec<u64> = tickets
        .iter()
        .filter(|(_, t)| world.replies.get(t) == Some(&Reply::Accepted))
        .map(|(id, _)| *id)
        .collect();
    let early: Vec<u64> = accepted
        .iter()
        .copied()
        .filter(|id| *id < 5_000 + 190)
        .collect();
    let n = unstarted(&mut world, &early);
    assert_eq!(
        n,
        0,
        "{n} of {} not started after 15 s; {} of 400 accepted",
        early.len(),
        accepted.len()
    );
}

/// Guards against a backlog of a label that few workers have, hidden by other work that is served at once.
#[test]
fn labelled_jobs_beside_others_are_limited() {
    let mut world = world(40);
    let mut labelled = chain(&[4], 2_000);
    labelled.steps[0].label = Some("r0".into());
    let mut tickets = Vec::new();
    for i in 0..300 {
        // A few workers' worth of unlabelled work.
        world.submit(10_000 + i, &chain(&[10], 1_000));
        tickets.push((1 + i, world.submit(1 + i, &labelled)));
        world.run(100);
    }
    let accepted: Vec<u64> = tickets
        .iter()
        .filter(|(_, t)| world.replies.get(t) == Some(&Reply::Accepted))
        .map(|(id, _)| *id)
        .collect();
    world.run(14_000);
    let n = unstarted(&mut world, &accepted);
    assert_eq!(
        n,
        0,
        "{n} of {} accepted not started 14 s after the last",
        accepted.len()
    );
}

/// Guards against a burst at a new owner that is accepted without a limit.
#[test]
fn the_first_seconds_of_a_burst_are_limited() {
    let mut world = world(2);
    let accepted = keep_submitting(&mut world, 1, &chain(&[4], 1_000), 10, 3_000);
    world.run(16_000);
    let n = unstarted(&mut world, &accepted);
    assert_eq!(n, 0, "{n} of {} not started 16 s later", accepted.len());
}

/// Guards against turns that come first because they were due long before their job was submitted.
#[test]
fn turns_due_before_the_submission_hold_back_no_others() {
    let mut world = world(2);
    let mut spec = chain(&[16], 1_000);
    spec.first_run = 1_000;
    spec.interval = 1_000;
    spec.turns = 500;
    world.submit(1, &spec);
    world.run(100);
    let accepted = keep_submitting(&mut world, 10, &chain(&[1], 1_000), 600, 36_000);
    let early: Vec<u64> = accepted
        .iter()
        .copied()
        .filter(|id| *id < 10 + 33)
        .collect();
    let n = unstarted(&mut world, &early);
    assert_eq!(n, 0, "{n} of {} not started after 16 s", early.len());
}
