//! Filling tasks beside serving tasks: what is learned of pairs, and how it limits them.

use jayfork::base::{Millis, Name};
use jayfork::request::job::{BestEffortGroup, Contention, JobId, ServingTask};
use yare::parameterized;

const QUIET: f64 = 0.4;
/// When everything has been learned.
const AT: Millis = Millis(10_000);

fn name(text: &str) -> Option<Name> {
    Some(text.into())
}

fn serving(tail: f64) -> ServingTask {
    ServingTask {
        job: JobId(1),
        image: name("search"),
        tail,
    }
}

fn filling(image: &str, used: f64) -> BestEffortGroup {
    BestEffortGroup {
        image: name(image),
        used,
        wanted: used,
    }
}

/// Feeds reports in which `heavy` raises the tail with a slope and `light` does not.
fn learned(slope: f64) -> Contention {
    let mut contention = Contention::default();
    let mut rng = fastrand::Rng::with_seed(3);
    for index in 0..400 {
        let (heavy, light) = (rng.f64() * 0.2, rng.f64() * 0.4);
        let swing = 0.8 + 0.4 * rng.f64();
        let tail = QUIET * swing * (slope * heavy).exp();
        let fillers = [filling("heavy", heavy), filling("light", light)];
        contention.observe(Millis(index * 25), &serving(tail), &fillers);
    }
    contention.learn(AT);
    contention
}

/// Pattern: two images share a worker and one of them disturbs. Guards against a penalty for the
/// one that does no harm.
#[parameterized(
    strong = { 6.0 },
    medium = { 3.0 },
)]
fn the_disturbing_image_is_told_from_the_other(slope: f64) {
    let contention = learned(slope);
    let search = name("search");
    let heavy = contention.slope(search.as_ref(), name("heavy").as_ref());
    let light = contention.slope(search.as_ref(), name("light").as_ref());
    assert!((heavy - slope).abs() < 1.0, "heavy {heavy}");
    assert!(light < 0.5, "light {light}");
}

/// Pattern: a surge of filling tasks of all images. Guards against a heavy image that is placed
/// beside what it disturbs, and a light one that is kept out.
#[test]
fn margins_keep_out_only_what_disturbs() {
    let contention = learned(6.0);
    let margins = contention.headroom(AT, &[serving(QUIET), serving(QUIET)], &[]);
    let left = |image: &str, share| {
        contention
            .interference(AT, name(image).as_ref())
            .headroom_with(&margins, share)
    };
    assert!(left("heavy", 0.1) < 0.0);
    assert!(left("light", 0.3) > 0.0);
}

/// Pattern: the load of a serving task rises beside filling tasks and nears its bound. Guards against
/// a light image that is slowed down for a heavy one.
#[test]
fn only_disturbing_images_are_slowed_down() {
    let contention = learned(6.0);
    let fillers = [filling("heavy", 0.1), filling("light", 0.2)];
    let tail = 0.5 * (6.0_f64 * 0.1).exp();
    let paces = contention.speed_limits(AT, &[serving(tail)], &fillers);
    assert!(paces[0] < 0.5, "{paces:?}");
    assert_eq!(paces[1], 1.0);
}

/// Guards against filling tasks that go on at full pace while a serving task is over its bound and
/// nothing explains it.
#[test]
fn a_task_over_its_bound_slows_all_beside_it() {
    let contention = learned(6.0);
    let paces = contention.speed_limits(AT, &[serving(1.3)], &[filling("light", 0.3)]);
    assert!(paces[0] < 1.0, "{paces:?}");
}

/// Pattern: many tasks of a new image at once. Guards against all of them starting beside serving
/// tasks before the first report shows what they do, and against an image that is never tried.
#[test]
fn unknown_pairs_are_tried_one_at_a_time() {
    let mut contention = learned(6.0);
    let fresh = name("fresh");
    let mut margins = contention.headroom(AT, &[serving(QUIET)], &[]);
    let at = AT;
    assert!(
        contention
            .interference(at, fresh.as_ref())
            .headroom_with(&margins, 0.05)
            > 0.0
    );
    contention.record_start(at, &mut margins, fresh.as_ref(), 0.05);
    assert_eq!(
        contention
            .interference(at, fresh.as_ref())
            .headroom_with(&margins, 0.05),
        f64::NEG_INFINITY
    );
    let later = Millis(at.0 + 2_000);
    let margins = contention.headroom(AT, &[serving(QUIET)], &[]);
    assert!(
        contention
            .interference(later, fresh.as_ref())
            .headroom_with(&margins, 0.05)
            > 0.0
    );
}

/// Guards against memory that grows with the images ever seen.
#[test]
fn images_are_bounded() {
    let mut contention = Contention::default();
    for index in 0..1_000 {
        let image = format!("image-{index}");
        let task = ServingTask {
            job: JobId(index),
            image: name(&image),
            tail: QUIET,
        };
        contention.observe(AT, &task, &[filling(&image, 0.1)]);
    }
    let first = contention.slope(name("image-0").as_ref(), name("image-999").as_ref());
    let last = contention.slope(name("image-999").as_ref(), name("image-999").as_ref());
    assert_eq!(first, last, "unknown pairs have the same slope");
}

/// Feeds reports of a job whose load swings by a factor of two and more, from one worker without
/// filling tasks and one where `light` is busiest at the top of the swing.
fn swung() -> (Contention, Millis) {
    let mut contention = Contention::default();
    let mut now = Millis(0);
    for index in 0..200_u64 {
        now = Millis(index * 150);
        let top = (index as f64 * 0.1).sin();
        let tail = QUIET * (0.5 * top).exp();
        let used = 0.1 + 0.1 * top;
        contention.observe(now, &serving(tail), &[]);
        contention.observe(now, &serving(tail), &[filling("light", used)]);
        contention.learn(now);
    }
    (contention, now)
}

/// Pattern: the load of a service swings while harmless filling tasks run beside it. Guards against
/// the swing taken for their doing, which slows them down and leaves a backlog.
#[test]
fn a_swing_of_the_load_is_not_taken_for_a_disturbance() {
    let (contention, now) = swung();
    let slope = contention.slope(name("search").as_ref(), name("light").as_ref());
    assert!(slope < 0.3, "{slope}");
    let fillers = [filling("light", 0.4)];
    let paces = contention.speed_limits(now, &[serving(0.66)], &fillers);
    assert_eq!(paces, [1.0]);
}
