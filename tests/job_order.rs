//! The order in which steps are placed, and the choice of a worker for a task.

use jayfork::base::{Name, Size};
use jayfork::request::job::{
    CandidateWorker, JobId, JobOrder, JobSpec, StepId, StepSpec, TaskRequirements, TurnState,
    choose_worker,
};
use jobs::{job, queue};
use yare::parameterized;

#[path = "support/jobs.rs"]
mod jobs;

fn spec(runtime: u32, lasts: bool) -> JobSpec {
    job(vec![StepSpec {
        count: 1,
        runtime,
        lasts,
        ..StepSpec::default()
    }])
}

fn step(job: u64) -> StepId {
    StepId {
        job: JobId(job),
        turn: 0,
        step: 0,
    }
}

/// Guards against a wrong order in a surge of one class beside others: urgent work behind batch
/// work, short jobs behind long ones of the same age, and tasks that end behind long-running ones.
#[parameterized(
    urgent_before_batch = { (0, 5_000, false, 900), (2, 100, false, 0) },
    short_before_long = { (1, 500, false, 0), (1, 5_000, false, 0) },
    old_before_new = { (1, 500, false, 0), (1, 500, false, 3_000) },
    long_and_old_before_short_and_new = { (1, 2_000, false, 0), (1, 500, false, 9_000) },
    ending_before_long_running = { (0, 5_000, false, 900), (0, 100, true, 0) },
    long_running_before_batch = { (0, 100, true, 0), (2, 100, false, 0) },
)]
fn the_first_step_is_placed_before_the_second(
    first: (u8, u32, bool, u64),
    second: (u8, u32, bool, u64),
) {
    let key = |(priority, runtime, lasts, start): (u8, u32, bool, u64), job| {
        let queue = queue(priority, 400, 2.0);
        let turn = TurnState {
            start,
            has_begun: false,
            idle_since: Some(start),
            wave_time: Some(0),
        };
        JobOrder::new(&queue, &spec(runtime, lasts)).key(turn, start, step(job))
    };
    // The job id decides between equal keys, so the ids are in the opposite order.
    assert!(key(first, 2) < key(second, 1));
}

fn worker(labels: &[Name], free: u32, idle: i64, headroom: f64) -> CandidateWorker<'_> {
    CandidateWorker {
        free: Size::new(free, 64_000, 0),
        capacity: Size::new(16_000, 64_000, 0),
        idle,
        labels,
        headroom,
        has_same_image: false,
        other_images: 0,
        sought: 0.0,
        is_cleared: false,
    }
}

fn task(processors: u32, fills: bool, lasts: bool) -> TaskRequirements<'static> {
    let reserved = if fills { 0 } else { processors };
    TaskRequirements {
        reserved: Size::new(reserved, 1_000, 0),
        demand: processors,
        fills,
        lasts,
        image: None,
        label: None,
        rack: None,
    }
}

/// Guards against a task on a worker that lacks room for it, and against tasks that pile up on a
/// few workers.
#[test]
fn a_task_goes_to_the_emptiest_worker_that_fits() {
    let workers = [1_000, 9_000, 4_000].map(|free| worker(&[], free, 16_000, 1.0));
    let choice = choose_worker(
        &task(2_000, false, false),
        workers.into_iter().enumerate(),
        usize::MAX,
    );
    assert_eq!(choice, Some(1));
    let workers = [1_000, 1_900].map(|free| worker(&[], free, 16_000, 1.0));
    assert_eq!(
        choose_worker(
            &task(2_000, false, false),
            workers.into_iter().enumerate(),
            usize::MAX
        ),
        None
    );
}

/// Guards against long-running tasks of different images mixed on all workers. No worker would then
/// be left on which a best-effort image interferes with none of them.
#[test]
fn long_running_tasks_are_packed_by_image() {
    let mut mixed = worker(&[], 6_000, 0, 1.0);
    mixed.other_images = 1;
    let empty = worker(&[], 16_000, 0, 1.0);
    let mut same_image = worker(&[], 3_000, 0, 1.0);
    same_image.has_same_image = true;
    let workers = [mixed.clone(), empty.clone(), same_image];
    let choice = choose_worker(
        &task(2_000, false, true),
        workers.into_iter().enumerate(),
        usize::MAX,
    );
    assert_eq!(choice, Some(2));
    let choice = choose_worker(
        &task(2_000, false, true),
        [mixed, empty].into_iter().enumerate(),
        usize::MAX,
    );
    assert_eq!(choice, Some(1));
}

/// Guards, in a surge of best-effort tasks, against more of them than there are idle processors,
/// and against serving tasks that are pushed over their latency bound.
#[test]
fn best_effort_tasks_need_idle_processors_and_headroom() {
    let workers = [
        worker(&[], 16_000, 1_000, 1.0),
        worker(&[], 16_000, 9_000, -0.1),
        worker(&[], 16_000, 4_000, 0.5),
    ];
    let choice = choose_worker(
        &task(3_000, true, false),
        workers.into_iter().enumerate(),
        usize::MAX,
    );
    assert_eq!(choice, Some(2));
}

/// Guards against tasks on workers that only few best-effort tasks can use, while these wait and others
/// have room.
#[parameterized(
    best_effort = { true, false },
    long_running = { false, true },
    other = { false, false },
)]
fn room_that_best_effort_tasks_wait_for_is_left_to_them(fills: bool, lasts: bool) {
    let task = task(2_000, fills, lasts);
    let mut sought = worker(&[], 15_000, 15_000, 2.0);
    sought.sought = 0.9;
    let busy = worker(&[], 4_000, 4_000, 0.1);
    let choice = |workers: Vec<CandidateWorker<'_>>| {
        choose_worker(&task, workers.into_iter().enumerate(), usize::MAX)
    };
    assert_eq!(choice(vec![sought.clone(), busy]), Some(1));
    assert_eq!(choice(vec![sought]), Some(0));
}

/// Guards against long-running tasks that return at once to a worker that was cleared of them, and against
/// tasks that are down because only such a worker has room.
#[test]
fn long_running_tasks_use_cleared_workers_last() {
    let task = task(2_000, false, true);
    let mut cleared = worker(&[], 4_000, 0, 1.0);
    cleared.is_cleared = true;
    cleared.has_same_image = true;
    let mut other = worker(&[], 16_000, 0, 1.0);
    other.other_images = 4;
    let choice = |workers: Vec<CandidateWorker<'_>>| {
        choose_worker(&task, workers.into_iter().enumerate(), usize::MAX)
    };
    assert_eq!(choice(vec![cleared.clone(), other]), Some(1));
    assert_eq!(choice(vec![cleared]), Some(0));
}

/// Guards against a worker without the required label, and against a worker outside the rack that
/// holds the data while one inside has room. Many jobs may prefer the same rack.
#[test]
fn labels_are_required_and_racks_are_preferred() {
    let (far, near): (Vec<Name>, Vec<Name>) = (vec!["a".into()], vec!["a".into(), "r1".into()]);
    let rack: Name = "r1".into();
    let label: Name = "gpu".into();
    let workers = || [worker(&far, 15_000, 0, 1.0), worker(&near, 4_000, 0, 1.0)];
    let mut task_with_rack = task(2_000, false, false);
    task_with_rack.rack = Some(&rack);
    assert_eq!(
        choose_worker(
            &task_with_rack,
            workers().into_iter().enumerate(),
            usize::MAX
        ),
        Some(1)
    );
    // If the preferred rack is full, another one is chosen.
    let full = [worker(&far, 15_000, 0, 1.0), worker(&near, 1_000, 0, 1.0)];
    assert_eq!(
        choose_worker(&task_with_rack, full.into_iter().enumerate(), usize::MAX),
        Some(0)
    );
    task_with_rack.label = Some(&label);
    assert_eq!(
        choose_worker(
            &task_with_rack,
            workers().into_iter().enumerate(),
            usize::MAX
        ),
        None
    );
}
