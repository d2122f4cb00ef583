//! Jobs whose progress is larger than a record of the store.

use std::sync::Arc;

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, JobProgress, StepProgress, TurnProgress};
use yare::parameterized;

use super::world::{World, long_running};

const WORKERS: usize = 8;
const TASKS: u16 = 300;
/// Time for the answer to a cancel, in milliseconds.
const ACK_TIME: u64 = 5_000;

/// Lets all runs of job 1 save a text of so many characters.
fn save(world: &mut World, length: usize) {
    for worker in &mut world.fleet.workers {
        let runs = worker.runs.iter_mut();
        for (_, run) in runs.filter(|(task, _)| task.step.job == JobId(1)) {
            run.checkpoint = Some("x".repeat(length).into());
        }
    }
}

fn restart_all(world: &mut World) {
    (0..WORKERS).for_each(|worker| world.fleet.restart(world.now, worker));
}

/// The texts from which the tasks of job 1 have resumed that run.
fn resumed(world: &World) -> Vec<Option<Arc<str>>> {
    let runs = world.fleet.workers.iter().flat_map(|worker| &worker.runs);
    let of_job = runs.filter(|(task, _)| task.step.job == JobId(1));
    of_job.map(|(_, run)| run.checkpoint.clone()).collect()
}

/// Guards against cancels that are never stored because the progress of another job is larger than the store takes, and
/// against checkpoints that the next owner does not know.
#[parameterized(
    one_record = { 100, true },
    several_records = { 1_000, true },
    several_appends = { 6_000, true },
    larger_than_a_record = { 300_000, false },
)]
fn progress_of_any_size_is_stored(length: usize, is_kept: bool) {
    let mut world = World::new(7, WORKERS, 40_000);
    world.claim();
    world.run(600);
    world.submit(1, &long_running(TASKS, 1_000));
    world.submit(2, &long_running(1, 1_000));
    world.run(9_000);
    assert_eq!(world.running(1), usize::from(TASKS));
    save(&mut world, length);
    world.run(2_500);
    restart_all(&mut world);
    world.run(1_000);
    let ticket = world.cancel(2);
    world.run(ACK_TIME);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Cancelled));
    let owner = world.owner().expect("an owner");
    world.kill(owner);
    restart_all(&mut world);
    world.claim();
    world.run(20_000);
    world.assert_no_violations();
    let texts = resumed(&world);
    assert_eq!(texts.len(), usize::from(TASKS));
    let known = texts.iter().flatten().filter(|text| text.len() == length);
    assert_eq!(known.count(), usize::from(TASKS) * usize::from(is_kept));
    let ticket = world.cancel(1);
    world.run(ACK_TIME);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Cancelled));
    let mut details = world
        .store
        .records
        .keys()
        .filter(|key| key.starts_with("t/"));
    assert_eq!(details.next(), None);
}

fn progress(tasks: u16, length: usize) -> JobProgress {
    let mut step = StepProgress::default();
    for index in 0..tasks {
        step.failures.push((index, vec![1, 2]));
        step.checkpoints.push((index, "x".repeat(length).into()));
    }
    let turn = TurnProgress {
        turn: 0,
        steps: vec![step],
    };
    JobProgress {
        next_turn: 1,
        turns: vec![turn],
    }
}

/// Guards against parts that are too large, and against details that stand in none of them.
#[parameterized(
    small = { 10, 100, 0, 0 },
    just_too_large = { 10, 1_000, 3, 0 },
    many = { 1_000, 100, 31, 0 },
    one_each = { 20, 4_500, 20, 0 },
    too_large = { 3, 5_001, 1, 3 },
)]
fn details_are_split_into_parts(tasks: u16, length: usize, parts: usize, omitted: usize) {
    const LIMIT: usize = 5_000;
    let split = progress(tasks, length).split(LIMIT);
    assert_eq!(split.omitted, omitted);
    assert_eq!(split.parts.len(), parts);
    let texts = |text: &Arc<str>| text.len() + 50;
    for part in &split.parts {
        let size: usize = part
            .iter()
            .filter_map(|it| it.checkpoint.as_ref())
            .map(texts)
            .sum();
        assert!(size <= LIMIT, "{size}");
    }
    let count: usize = split.parts.iter().map(Vec::len).sum();
    let inline: usize = split.progress.turns[0].steps[0].checkpoints.len();
    assert_eq!(count + inline, usize::from(tasks));
}
