//! Estimated task sizes: minimum number of reports, headroom, expiry and wrong declarations.

use jayfork::base::{Millis, Name, Size};
use jayfork::request::{SizeEstimator, SizeKey};
use proptest::prelude::*;
use yare::parameterized;

const DECLARED: Size = Size::new(1_000, 4_096, 1);

fn key(declared: Size) -> SizeKey {
    SizeKey::new("vltava".into(), "indexing".into(), declared)
}

fn observe(estimator: &mut SizeEstimator, start: Millis, usage: Size, reports: u64) {
    for i in 0..reports {
        estimator.observe(start + Millis(i * 1_000), &key(DECLARED), usage);
    }
}

/// Allows for the histogram, which rounds values up by at most 6%.
fn assert_close(actual: u32, expected: u32) {
    let highest = expected + expected / 15 + 2;
    assert!(
        (expected..=highest).contains(&actual),
        "{actual} is not within {expected}..={highest}"
    );
}

/// Guards against estimates from too few reports, and against wrong headroom or lower bounds.
#[parameterized(
    no_report = { 0, Size::new(100, 100, 0), 1_000, 4_096 },
    seven_reports = { 7, Size::new(100, 100, 0), 1_000, 4_096 },
    half_of_declared = { 8, Size::new(100, 100, 0), 500, 2_048 },
    headroom_on_learned = { 8, Size::new(800, 3_000, 0), 960, 3_600 },
    declared_ten_times_too_small = { 8, Size::new(10_000, 40_960, 0), 12_000, 49_152 },
    mixed_dimensions = { 8, Size::new(10_000, 100, 0), 12_000, 2_048 },
)]
fn estimate_follows_reports(reports: u64, usage: Size, processors: u32, memory: u32) {
    let mut estimator = SizeEstimator::new();
    observe(&mut estimator, Millis(0), usage, reports);
    let estimate = estimator.estimate(&key(DECLARED), DECLARED);
    assert_close(estimate.processors, processors);
    assert_close(estimate.memory, memory);
}

/// Guards against a reservation of fewer accelerators than the task declared.
#[test]
fn accelerators_stay_as_declared() {
    let mut estimator = SizeEstimator::new();
    observe(&mut estimator, Millis(0), Size::new(100, 100, 0), 20);
    assert_eq!(estimator.estimate(&key(DECLARED), DECLARED).accelerators, 1);
}

/// Guards against an estimate by the average or the maximum: a peak in every tenth report has to be
/// covered, one in every hundredth report not.
#[parameterized(
    every_tenth = { 10, 2_400 },
    every_hundredth = { 100, 500 },
)]
fn estimate_is_a_percentile(period: u64, expected: u32) {
    let mut estimator = SizeEstimator::new();
    for i in 0..400 {
        let processors = if i % period == 0 { 2_000 } else { 100 };
        let usage = Size::new(processors, 100, 0);
        estimator.observe(Millis(i * 100), &key(DECLARED), usage);
    }
    assert_close(
        estimator.estimate(&key(DECLARED), DECLARED).processors,
        expected,
    );
}

/// Guards against an estimate that stays too small for more than a minute after the usage of tasks
/// has grown tenfold.
#[test]
fn estimate_grows_within_a_minute() {
    let mut estimator = SizeEstimator::new();
    observe(&mut estimator, Millis(0), Size::new(600, 2_000, 0), 1_200);
    observe(
        &mut estimator,
        Millis(1_200_000),
        Size::new(6_000, 2_000, 0),
        60,
    );
    assert_close(
        estimator.estimate(&key(DECLARED), DECLARED).processors,
        7_200,
    );
}

/// Guards against an estimate that stays too large for ever after one period of high usage.
#[test]
fn estimate_shrinks_after_old_reports_expire() {
    let mut estimator = SizeEstimator::new();
    observe(&mut estimator, Millis(0), Size::new(6_000, 2_000, 0), 300);
    observe(
        &mut estimator,
        Millis(300_000),
        Size::new(600, 2_000, 0),
        1_000,
    );
    assert_close(estimator.estimate(&key(DECLARED), DECLARED).processors, 720);
}

/// Guards against the loss of an estimate while a task doesn't run for a day. Nightly tasks report
/// too little in one night for a new estimate.
#[test]
fn learned_size_survives_idle_days() {
    let mut estimator = SizeEstimator::new();
    observe(&mut estimator, Millis(0), Size::new(6_000, 2_000, 0), 20);
    for day in 1..=3 {
        let start = Millis(day * 86_400_000);
        observe(&mut estimator, start, Size::new(6_000, 2_000, 0), 1);
    }
    assert_close(
        estimator.estimate(&key(DECLARED), DECLARED).processors,
        7_200,
    );
}

/// Guards against an estimate that applies to another customer, class or declared size.
#[parameterized(
    customer = { "biometan", "indexing", DECLARED },
    class = { "vltava", "merges", DECLARED },
    size_bucket = { "vltava", "indexing", Size::new(4_000, 4_096, 1) },
)]
fn learned_size_belongs_to_its_key(customer: &str, class: &str, declared: Size) {
    let mut estimator = SizeEstimator::new();
    observe(&mut estimator, Millis(0), Size::new(9_000, 9_000, 0), 20);
    let other = SizeKey::new(customer.into(), class.into(), declared);
    assert_eq!(estimator.estimate(&other, declared), declared);
}

/// Guards against memory that grows with the number of keys ever reported.
#[test]
fn keys_are_bounded() {
    let mut estimator = SizeEstimator::new();
    for i in 0..3_000u64 {
        let class: Name = format!("class{i}").into();
        let key = SizeKey::new("vltava".into(), class, DECLARED);
        estimator.observe(Millis(i), &key, DECLARED);
    }
    assert!(!estimator.is_empty());
    assert!(estimator.len() <= 2_048, "{} keys", estimator.len());
}

proptest! {
    /// Guards against an overflow, and against an estimate below half of the declared size or below
    /// the usage in 95% of the reports, for any declared size and any reports.
    #[test]
    fn estimate_covers_use_and_half_of_declared(
        processors in 0..u32::MAX,
        memory in 0..u32::MAX,
        reports in prop::collection::vec((0..4_000_000u32, 0..4_000_000u32), 8..200),
    ) {
        let declared = Size::new(processors, memory, 2);
        let mut estimator = SizeEstimator::new();
        for (i, (p, m)) in reports.iter().enumerate() {
            estimator.observe(Millis(i as u64), &key(declared), Size::new(*p, *m, 0));
        }
        let estimate = estimator.estimate(&key(declared), declared);
        prop_assert!(declared.scale(50).fits(&estimate));
        let covered = reports.iter().filter(|(p, _)| *p <= estimate.processors).count();
        prop_assert!(covered * 100 >= reports.len() * 95);
        let covered = reports.iter().filter(|(_, m)| *m <= estimate.memory).count();
        prop_assert!(covered * 100 >= reports.len() * 95);
    }
}
