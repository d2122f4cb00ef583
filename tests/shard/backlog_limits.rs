//! Whom a backlog holds back, and whom not.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, JobSpec, StepId, TaskKey};
use yare::parameterized;

use super::backlog::{LONGEST_WAIT, has_started};
use super::world::{LOW_QUEUE, QUEUE, World, chain, long_running};

/// A simulation of workers with 8 processors each, and runs of about a second.
pub fn world(workers: usize) -> World {
    let mut world = World::new(7, workers, 8_000);
    world.runtimes = 900..1_000;
    world.claim();
    world.run(500);
    world
}

fn gang(count: u16, processors: u32) -> JobSpec {
    let mut spec = chain(&[count], processors);
    spec.steps[0].gang = true;
    spec
}

fn labelled(mut spec: JobSpec, label: &str) -> JobSpec {
    spec.steps[0].label = Some(label.into());
    spec
}

/// Turns that were all due long before the job is submitted.
fn overdue_turns() -> JobSpec {
    let mut spec = chain(&[4], 1_000);
    spec.first_run = 1_000;
    spec.interval = 1_000;
    spec.turns = 500;
    spec
}

/// Submits a job every `interval` milliseconds for `time` and returns how many were refused.
fn count_refusals(
    world: &mut World,
    first: u64,
    spec: &JobSpec,
    interval: u64,
    time: u64,
) -> usize {
    let mut tickets = Vec::new();
    for id in first..first + time / interval {
        tickets.push(world.submit(id, spec));
        world.run(interval);
    }
    world.run(100);
    let is_refused =
        |ticket: &&u64| matches!(world.replies.get(ticket), Some(Reply::Refused { .. }));
    tickets.iter().filter(is_refused).count()
}

/// Guards against jobs that are never permitted to start, with idle workers, because many jobs before them find no
/// room.
#[parameterized(
    wide_gangs = { gang(3, 8_000) },
    missing_label = { labelled(chain(&[1], 1_000), "gpu") },
)]
fn jobs_that_find_no_room_do_not_hold_back_others(spec: JobSpec) {
    let mut world = world(2);
    for id in 1..=70 {
        world.submit(id, &spec);
        world.run(20);
    }
    world.run(15_000);
    world.submit(100, &chain(&[1], 100));
    world.run(5_000);
    assert!(has_started(&mut world, 100));
}

/// Guards against refusals because of a job that a new one would not wait for: one that is overdue but at work, one
/// whose turns were due before it came, and a gang that fits on no workers.
#[parameterized(
    wide_job = { chain(&[1_000], 1_000), chain(&[1], 1_000), 36_000 },
    turns_due_before = { overdue_turns(), chain(&[1], 1_000), 3_600 },
    gang_that_never_fits = { gang(40, 1_000), chain(&[9], 1_000), 36_000 },
)]
fn a_job_that_comes_later_causes_no_refusals(first: JobSpec, others: JobSpec, time: u64) {
    let mut world = world(2);
    world.submit(1, &first);
    world.run(100);
    assert_eq!(count_refusals(&mut world, 10, &others, 600, time), 0);
}

/// Guards against refusals because jobs of a lower priority wait.
#[test]
fn a_backlog_of_a_lower_priority_causes_no_refusals() {
    let mut world = world(2);
    for id in 1..200 {
        world.submit_to(LOW_QUEUE, id, &chain(&[2], 1_000));
        world.run(20);
    }
    world.run(4_000);
    assert_eq!(
        count_refusals(&mut world, 1_000, &chain(&[1], 1_000), 500, 5_000),
        0
    );
    world.run(1_000);
    assert!(has_started(&mut world, 1_000));
}

/// Guards against a backlog of jobs that need a label, which was accepted without a limit.
#[test]
fn jobs_that_need_a_label_are_refused_as_well() {
    let mut world = world(2);
    let spec = labelled(chain(&[4], 1_000), "a");
    assert!(count_refusals(&mut world, 1, &spec, 100, 30_000) > 50);
}

/// Guards against a large task that finds no room: because one that fits on no worker counts as if room were kept
/// for it, or because jobs that have begun come first.
#[parameterized(
    behind_one_that_never_fits = { 2, 6_000, Some(chain(&[1], 100_000)), chain(&[2], 1_000), 100 },
    behind_begun_jobs = { 6, 7_000, None, declared(chain(&[60], 1_000), 40_000), 1_000 },
)]
fn a_large_task_gets_room(
    workers: usize,
    large: u32,
    first: Option<JobSpec>,
    others: JobSpec,
    interval: u64,
) {
    let mut world = world(workers);
    world.runtimes = 200..2_000;
    if let Some(first) = first {
        world.submit(1, &first);
    }
    count_refusals(&mut world, 10, &others, interval / 2, 2_500);
    let ticket = world.submit(9, &chain(&[1], large));
    count_refusals(&mut world, 100, &others, interval, LONGEST_WAIT);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Accepted));
    assert!(has_started(&mut world, 9));
}

pub fn declared(mut spec: JobSpec, runtime: u32) -> JobSpec {
    spec.steps[0].runtime = runtime;
    spec
}

/// Guards against a step that gets no turn because another of its job, here a long-running one, runs all the time.
#[test]
fn a_step_gets_its_turn_beside_a_long_running_one() {
    let mut world = world(2);
    world.runtimes = 200..2_000;
    let mut spec = long_running(1, 500);
    spec.steps.append(&mut chain(&[1], 6_000).steps);
    count_refusals(&mut world, 10, &chain(&[4], 1_000), 100, 2_500);
    world.submit(9, &spec);
    count_refusals(
        &mut world,
        100,
        &chain(&[2], 1_000),
        100,
        LONGEST_WAIT + 2_000,
    );
    let step = StepId {
        job: JobId(9),
        turn: 0,
        step: 1,
    };
    assert!(world.fleet.done.contains(&TaskKey { step, index: 0 }));
}

/// Guards against turns of a repeating job that are passed over by its newer ones for ever.
#[test]
fn each_turn_of_a_job_begins_in_time() {
    let mut world = world(2);
    let mut spec = chain(&[4], 1_000);
    spec.first_run = world.now + 200;
    spec.interval = 200;
    spec.turns = 300;
    world.submit_to(QUEUE, 1, &spec);
    let mut begun = vec![false; 300];
    for _ in 0..600 {
        world.run(50);
        for task in world
            .fleet
            .workers
            .iter()
            .flat_map(|worker| worker.runs.keys())
        {
            begun[task.step.turn as usize] = true;
        }
        let first = begun.iter().position(|has_begun| !has_begun).unwrap_or(0) as u64;
        let due = spec.first_run + first * spec.interval;
        assert!(world.now.saturating_sub(due) < LONGEST_WAIT, "turn {first}");
    }
}
