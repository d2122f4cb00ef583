//! The order in which steps are placed, and the choice of a worker for a task.

use jayfork::base::{Name, Size};
use jayfork::request::job::{
    CandidateWorker, JobId, JobSpec, OrderKey, StepId, StepSpec, TaskRequirements, TurnState,
    choose_worker, order_key,
};
use jobs::{job, queue};
use yare::parameterized;

#[path = "support/jobs.rs"]
mod jobs;

/// Capacity of all workers.
const CAPACITY: Size = Size::new(100_000, 0, 0);

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
        };
        order_key(
            Some(&queue),
            &spec(runtime, lasts),
            turn,
            &CAPACITY,
            start,
            step(job),
        )
    };
    // The job id decides between equal keys, so the ids are in the opposite order.
    assert!(key(first, 2) < key(second, 1));
}

/// A job for the order of new jobs and of those that have begun: steps that run one after the other,
/// each with `count` tasks that take one second and `processors`.
struct Chain {
    steps: u16,
    count: u16,
    processors: u32,
    /// How long ago it was accepted, in milliseconds.
    age: u64,
    has_begun: bool,
}

fn chain_key(chain: &Chain, id: u64) -> OrderKey {
    const NOW: u64 = 100_000;
    let steps = (0..chain.steps).map(|index| StepSpec {
        count: chain.count,
        size: Size::new(chain.processors, 0, 0),
        runtime: 1_000,
        after: index.checked_sub(1).into_iter().collect(),
        ..StepSpec::default()
    });
    let turn = TurnState {
        start: NOW - chain.age,
        has_begun: chain.has_begun,
    };
    let spec = job(steps.collect());
    order_key(
        Some(&queue(1, 10_000, 0.0)),
        &spec,
        turn,
        &CAPACITY,
        NOW,
        step(id),
    )
}

/// Guards against an order in which the largest jobs start when it is too late for them, or hold room
/// for tasks that come too late. All jobs have ten seconds.
#[parameterized(
    many_steps_before_few = {
        Chain { steps: 4, count: 1, processors: 1_000, age: 0, has_begun: false },
        Chain { steps: 1, count: 1, processors: 1_000, age: 2_000, has_begun: false },
    },
    wide_before_narrow = {
        Chain { steps: 2, count: 100, processors: 3_000, age: 0, has_begun: false },
        Chain { steps: 2, count: 1, processors: 3_000, age: 2_000, has_begun: false },
    },
    begun_before_new = {
        Chain { steps: 1, count: 1, processors: 1_000, age: 0, has_begun: true },
        Chain { steps: 1, count: 1, processors: 1_000, age: 8_000, has_begun: false },
    },
    begun_with_large_tasks_before_small = {
        Chain { steps: 1, count: 1, processors: 7_000, age: 0, has_begun: true },
        Chain { steps: 1, count: 1, processors: 1_000, age: 8_000, has_begun: true },
    },
    on_time_before_late = {
        Chain { steps: 1, count: 1, processors: 1_000, age: 0, has_begun: false },
        Chain { steps: 1, count: 1, processors: 1_000, age: 28_500, has_begun: false },
    },
    late_that_has_to_start_before_other_late = {
        Chain { steps: 1, count: 1, processors: 1_000, age: 28_500, has_begun: false },
        Chain { steps: 1, count: 1, processors: 1_000, age: 20_000, has_begun: false },
    },
    placement_counts_for_the_status = {
        Chain { steps: 1, count: 1, processors: 1_000, age: 8_000, has_begun: false },
        Chain { steps: 1, count: 100, processors: 2_000, age: 8_000, has_begun: false },
    },
    begun_and_late_before_new = {
        Chain { steps: 1, count: 1, processors: 1_000, age: 20_000, has_begun: true },
        Chain { steps: 1, count: 1, processors: 1_000, age: 0, has_begun: false },
    },
    new_before_begun_and_overdue = {
        Chain { steps: 1, count: 1, processors: 1_000, age: 0, has_begun: false },
        Chain { steps: 1, count: 1, processors: 1_000, age: 29_500, has_begun: true },
    },
)]
fn the_first_job_is_placed_before_the_second(first: Chain, second: Chain) {
    assert!(chain_key(&first, 2) < chain_key(&second, 1));
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
