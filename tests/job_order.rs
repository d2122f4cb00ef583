//! Who is placed first, and where.

use jayfork::base::{Name, Size};
use jayfork::request::job::{
    CandidateWorker, JobId, JobSpec, StepId, StepSpec, TaskRequirements, choose_worker, order_key,
};
use jayfork::version::Queue;
use yare::parameterized;

fn queue(priority: u8, stretch: f64) -> Queue {
    Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/".into(),
        service: "s".into(),
        priority,
        objective: 400,
        stretch,
        attempts: 3,
        has_advice: false,
    }
}

fn spec(runtime: u32, lasts: bool) -> JobSpec {
    JobSpec {
        payload: "".into(),
        steps: vec![StepSpec {
            count: 1,
            runtime,
            lasts,
            ..StepSpec::default()
        }],
        first_run: 0,
        interval: 0,
        turns: 0,
    }
}

fn step(job: u64) -> StepId {
    StepId {
        job: JobId(job),
        turn: 0,
        step: 0,
    }
}

/// Pattern: a surge of one class beside the others. Guards against urgent work behind batch work,
/// short jobs behind long ones of the same age, and checks behind tasks that never end.
#[parameterized(
    urgent_before_batch = { (0, 5_000, false, 900), (2, 100, false, 0) },
    short_before_long = { (1, 500, false, 0), (1, 5_000, false, 0) },
    old_before_new = { (1, 500, false, 0), (1, 500, false, 3_000) },
    long_and_old_before_short_and_new = { (1, 2_000, false, 0), (1, 500, false, 9_000) },
    ending_before_lasting = { (0, 5_000, false, 900), (0, 100, true, 0) },
    lasting_before_batch = { (0, 100, true, 0), (2, 100, false, 0) },
)]
fn the_first_goes_before(first: (u8, u32, bool, u64), second: (u8, u32, bool, u64)) {
    let key = |(priority, runtime, lasts, start): (u8, u32, bool, u64), job| {
        let queue = queue(priority, 2.0);
        order_key(Some(&queue), &spec(runtime, lasts), start, start, step(job))
    };
    // The id decides last, so it is set against the expected order.
    assert!(key(first, 2) < key(second, 1));
}

fn room(labels: &[Name], free: u32, idle: i64, headroom: f64) -> CandidateWorker<'_> {
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

fn need(processors: u32, fills: bool, lasts: bool) -> TaskRequirements<'static> {
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

/// Guards against a task on a worker that has not enough room, and against piles.
#[test]
fn a_task_goes_to_the_emptiest_worker_that_fits() {
    let rooms = [1_000, 9_000, 4_000].map(|free| room(&[], free, 16_000, 1.0));
    let choice = choose_worker(&need(2_000, false, false), rooms.into_iter().enumerate());
    assert_eq!(choice, Some(1));
    let rooms = [1_000, 1_900].map(|free| room(&[], free, 16_000, 1.0));
    assert_eq!(
        choose_worker(&need(2_000, false, false), rooms.into_iter().enumerate()),
        None
    );
}

/// Pattern: tasks that last beside filling tasks. Guards against images mixed on all workers, which
/// leaves no place where a filling image disturbs nobody.
#[test]
fn lasting_tasks_gather_by_image() {
    let mut mixed = room(&[], 6_000, 0, 1.0);
    mixed.other_images = 1;
    let empty = room(&[], 16_000, 0, 1.0);
    let mut kin = room(&[], 3_000, 0, 1.0);
    kin.has_same_image = true;
    let rooms = [mixed.clone(), empty.clone(), kin];
    let choice = choose_worker(&need(2_000, false, true), rooms.into_iter().enumerate());
    assert_eq!(choice, Some(2));
    let choice = choose_worker(
        &need(2_000, false, true),
        [mixed, empty].into_iter().enumerate(),
    );
    assert_eq!(choice, Some(1));
}

/// Pattern: a surge of filling tasks. Guards against more than the processors that are idle, and
/// against serving tasks that are pushed over their bound.
#[test]
fn filling_tasks_need_idle_processors_and_slack() {
    let choices = [
        room(&[], 16_000, 1_000, 1.0),
        room(&[], 16_000, 9_000, -0.1),
        room(&[], 16_000, 4_000, 0.5),
    ];
    let choice = choose_worker(&need(3_000, true, false), choices.into_iter().enumerate());
    assert_eq!(choice, Some(2));
}

/// Pattern: many jobs want one rack. Guards against a worker without the label, and against data
/// far away while there is room near it.
#[test]
fn labels_bind_and_racks_are_preferred() {
    let (far, near): (Vec<Name>, Vec<Name>) = (vec!["a".into()], vec!["a".into(), "r1".into()]);
    let rack: Name = "r1".into();
    let label: Name = "gpu".into();
    let rooms = || [room(&far, 15_000, 0, 1.0), room(&near, 4_000, 0, 1.0)];
    let mut wish = need(2_000, false, false);
    wish.rack = Some(&rack);
    assert_eq!(
        choose_worker(&wish, rooms().into_iter().enumerate()),
        Some(1)
    );
    // A full rack sends its tasks elsewhere.
    let full = [room(&far, 15_000, 0, 1.0), room(&near, 1_000, 0, 1.0)];
    assert_eq!(choose_worker(&wish, full.into_iter().enumerate()), Some(0));
    wish.label = Some(&label);
    assert_eq!(choose_worker(&wish, rooms().into_iter().enumerate()), None);
}
