//! Contention of best-effort and serving tasks: what is learned of pairs of images, and how it
//! limits placement and speed.

use jayfork::base::{Millis, Name};
use jayfork::request::job::{BestEffortGroup, Contention, JobId, ServingTask, next_speed_limit};
use jayfork::version::ShardRecord;
use yare::parameterized;

/// Tail latency of the serving tasks without interference, as a share of the bound.
const BASELINE: f64 = 0.4;
/// Time after all training reports.
const LEARNED_AT: Millis = Millis(10_000);

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

fn best_effort(image: &str, used: f64) -> BestEffortGroup {
    BestEffortGroup {
        image: name(image),
        used,
        wanted: used,
    }
}

/// Learns from reports in which the image `heavy` raises the tail latency with a slope and `light`
/// does not.
fn trained(slope: f64) -> Contention {
    let mut contention = Contention::default();
    let mut rng = fastrand::Rng::with_seed(3);
    for index in 0..400 {
        let (heavy, light) = (rng.f64() * 0.2, rng.f64() * 0.4);
        let load = 0.8 + 0.4 * rng.f64();
        let tail = BASELINE * load * (slope * heavy).exp();
        let groups = [best_effort("heavy", heavy), best_effort("light", light)];
        contention.observe(Millis(index * 25), &serving(tail), &groups);
    }
    contention.learn(LEARNED_AT);
    contention
}

/// Guards against a high slope of an image that does not interfere but shares workers with one that
/// does.
#[parameterized(
    strong = { 6.0 },
    medium = { 3.0 },
)]
fn the_slope_belongs_to_the_interfering_image(slope: f64) {
    let contention = trained(slope);
    let search = name("search");
    let heavy = contention.slope(search.as_ref(), name("heavy").as_ref());
    let light = contention.slope(search.as_ref(), name("light").as_ref());
    assert!((heavy - slope).abs() < 1.0, "heavy {heavy}");
    assert!(light < 0.5, "light {light}");
}

/// Guards, in a surge of best-effort tasks of all images, against an interfering image that is
/// placed beside the serving tasks, and against one that does not interfere and is kept out.
#[test]
fn headroom_excludes_only_interfering_images() {
    let contention = trained(6.0);
    let headroom = contention.headroom(LEARNED_AT, &[serving(BASELINE), serving(BASELINE)], &[]);
    let remaining = |image: &str, share| {
        contention
            .interference(LEARNED_AT, name(image).as_ref())
            .headroom_with(&headroom, share)
    };
    assert!(remaining("heavy", 0.1) < 0.0);
    assert!(remaining("light", 0.3) > 0.0);
}

/// Guards against serving tasks that are moved for best-effort tasks that could run beside them, or that
/// have not been tried beside them.
#[test]
fn usable_share_is_small_only_beside_an_image_known_to_interfere() {
    let contention = trained(6.0);
    let share = |serving: &[&str], best_effort: &str| {
        let serving: Vec<Name> = serving.iter().map(|image| Name::from(*image)).collect();
        contention.usable_share(&serving.iter().collect::<Vec<_>>(), &best_effort.into())
    };
    assert!(share(&["search"], "heavy") < 0.2);
    assert!(share(&["unknown", "search"], "heavy") < 0.2);
    assert!(share(&["search"], "light") > 0.9);
    assert_eq!(share(&["search"], "fresh"), 1.0);
    assert_eq!(share(&[], "heavy"), 1.0);
}

/// Guards against a throttle of an image that does not interfere, when another image does and the
/// tail latency of a serving task comes close to its bound.
#[test]
fn only_interfering_images_are_throttled() {
    let contention = trained(6.0);
    let groups = [best_effort("heavy", 0.1), best_effort("light", 0.2)];
    let tail = 0.5 * (6.0_f64 * 0.1).exp();
    let limits = contention.speed_limits(LEARNED_AT, &[serving(tail)], &groups);
    assert!(limits[0] < 0.5, "{limits:?}");
    assert_eq!(limits[1], 1.0);
}

/// Guards against best-effort tasks that keep running at full speed while a serving task is over
/// its bound and the learned slopes do not explain it.
#[test]
fn a_task_over_its_bound_throttles_all_best_effort_tasks_beside_it() {
    let contention = trained(6.0);
    let limits = contention.speed_limits(LEARNED_AT, &[serving(1.3)], &[best_effort("light", 0.3)]);
    assert!(limits[0] < 1.0, "{limits:?}");
}

/// Guards against many tasks of a new image that all start beside serving tasks before the first
/// report shows their interference, and against an image that is never tried.
#[test]
fn unknown_pairs_are_tried_one_at_a_time() {
    let mut contention = trained(6.0);
    let fresh = name("fresh");
    let mut headroom = contention.headroom(LEARNED_AT, &[serving(BASELINE)], &[]);
    let at = LEARNED_AT;
    assert!(
        contention
            .interference(at, fresh.as_ref())
            .headroom_with(&headroom, 0.05)
            > 0.0
    );
    contention.record_start(at, &mut headroom, fresh.as_ref(), 0.05);
    assert_eq!(
        contention
            .interference(at, fresh.as_ref())
            .headroom_with(&headroom, 0.05),
        f64::NEG_INFINITY
    );
    let later = Millis(at.0 + 2_000);
    let headroom = contention.headroom(LEARNED_AT, &[serving(BASELINE)], &[]);
    assert!(
        contention
            .interference(later, fresh.as_ref())
            .headroom_with(&headroom, 0.05)
            > 0.0
    );
}

/// Guards against memory that grows with the number of images that were ever seen.
#[test]
fn the_number_of_tracked_images_is_bounded() {
    let mut contention = Contention::default();
    for index in 0..1_000 {
        let image = format!("image-{index}");
        let task = ServingTask {
            job: JobId(index),
            image: name(&image),
            tail: BASELINE,
        };
        contention.observe(LEARNED_AT, &task, &[best_effort(&image, 0.1)]);
    }
    let first = contention.slope(name("image-0").as_ref(), name("image-999").as_ref());
    let last = contention.slope(name("image-999").as_ref(), name("image-999").as_ref());
    assert_eq!(first, last, "unknown pairs have the same slope");
}

/// Learns from a job whose tail latency varies with its load by a factor of two and more: reports
/// of one worker without best-effort tasks, and of one where `light` is busiest at the peak of the
/// load.
fn trained_under_varying_load() -> (Contention, Millis) {
    let mut contention = Contention::default();
    let mut now = Millis(0);
    for index in 0..200_u64 {
        now = Millis(index * 150);
        let load = (index as f64 * 0.1).sin();
        let tail = BASELINE * (0.5 * load).exp();
        let used = 0.1 + 0.1 * load;
        contention.observe(now, &serving(tail), &[]);
        contention.observe(now, &serving(tail), &[best_effort("light", used)]);
        contention.learn(now);
    }
    (contention, now)
}

/// Guards against a change of the load that is attributed to best-effort tasks which do not
/// interfere. They would be throttled and leave a backlog.
#[test]
fn a_change_of_the_load_is_not_attributed_to_best_effort_tasks() {
    let (contention, now) = trained_under_varying_load();
    let slope = contention.slope(name("search").as_ref(), name("light").as_ref());
    assert!(slope < 0.3, "{slope}");
    let groups = [best_effort("light", 0.4)];
    let limits = contention.speed_limits(now, &[serving(0.66)], &groups);
    assert_eq!(limits, [1.0]);
}

/// Guards against a new owner that knows nothing of the interference that the earlier one had learned:
/// it halted and moved up to 97 best-effort runs a second until it had learned the same.
#[test]
fn the_next_owner_takes_over_the_slopes() {
    let record = ShardRecord::Contention(trained(6.0).learned());
    let decoded = ShardRecord::decode(&record.key(), &record.value());
    let Ok(ShardRecord::Contention(learned)) = decoded else {
        panic!("{decoded:?}");
    };
    let mut contention = Contention::default();
    contention.restore(&learned);
    let search = name("search");
    let slope = |image: &str| contention.slope(search.as_ref(), name(image).as_ref());
    assert!(
        (slope("heavy") - 6.0).abs() < 1.0,
        "heavy {}",
        slope("heavy")
    );
    assert!(slope("light") < 0.5, "light {}", slope("light"));
    let groups = [best_effort("heavy", 0.2)];
    let limits = contention.speed_limits(LEARNED_AT, &[serving(0.9)], &groups);
    assert!(limits[0] < 0.5, "{limits:?}");
}

/// Guards against recorded slopes that outweigh what the reports of a new owner show.
#[test]
fn reports_soon_outweigh_restored_slopes() {
    let mut contention = Contention::default();
    contention.restore(&trained(6.0).learned());
    let mut rng = fastrand::Rng::with_seed(5);
    for index in 0..400 {
        let heavy = rng.f64() * 0.2;
        let groups = [best_effort("heavy", heavy)];
        contention.observe(Millis(index * 25), &serving(BASELINE), &groups);
    }
    contention.learn(LEARNED_AT);
    let slope = contention.slope(name("search").as_ref(), name("heavy").as_ref());
    assert!(slope < 2.0, "heavy {slope}");
}

/// Guards against an order for each small change of the load: on the large deployment the owner sent
/// 2,000 of them a second. Falls, halts and returns to full speed are ordered at once.
#[parameterized(
    small_rise = { 50, 60, 50 },
    rise = { 50, 70, 70 },
    small_fall = { 60, 50, 50 },
    from_halt = { 0, 10, 10 },
    to_halt = { 10, 0, 0 },
    to_full = { 90, 100, 100 },
    same = { 40, 40, 40 },
    unconfirmed = { u8::MAX, 40, 40 },
)]
fn small_rises_of_a_speed_limit_are_left_out(current: u8, target: u8, expected: u8) {
    assert_eq!(next_speed_limit(current, target), expected);
}
