//! Error budgets: windows, burn rates, memory limit, and the report as a table and as a page.

use jayfork::base::{Millis, Name, Size};
use jayfork::connection::wire::{BurnReport, ClassBurn};
use jayfork::process::burn::{self, ErrorBudgets, MAX_CLASSES};
use jayfork::version::{Class, Contract, MAX_BODY, Urgency};
use proptest::prelude::*;
use yare::parameterized;

const MINUTE: u64 = 60_000;

fn contract(customer: &str, objective: f64, classes: &[&str]) -> Contract {
    let class = |name: &&str| Class {
        name: Name::from(*name),
        urgency: Urgency::Urgent,
        service: None,
        deadline: Some(Millis(1_000)),
        at_most_once: false,
        objective,
        max_body: MAX_BODY,
        max_attempts: 1,
    };
    Contract {
        customer: customer.into(),
        data_centres: vec!["praha-karlin".into()],
        quota: Size::ZERO,
        classes: classes.iter().map(class).collect(),
    }
}

fn one_class(objective: f64) -> ErrorBudgets {
    let mut burn = ErrorBudgets::new("k1".into());
    burn.set_contract(&contract("vltava", objective, &["proof"]));
    burn
}

fn observe(burn: &mut ErrorBudgets, minute: u64, good: u64, bad: u64) {
    for _ in 0..good {
        burn.observe(Millis(minute * MINUTE), "vltava", "proof", true);
    }
    for _ in 0..bad {
        burn.observe(Millis(minute * MINUTE), "vltava", "proof", false);
    }
}

fn only(report: &BurnReport) -> &ClassBurn {
    assert_eq!(report.classes.len(), 1);
    &report.classes[0]
}

fn counts(burn: &ClassBurn) -> Vec<(u64, u64)> {
    burn.windows
        .iter()
        .map(|window| (window.outcomes.total, window.outcomes.bad))
        .collect()
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

/// Guards against a burn rate that ignores the objective, and against a remaining budget that does
/// not match the rate.
#[parameterized(
    exactly_spent = { 0.99, 99, 1, 1.0, 0.0 },
    half_spent = { 0.99, 199, 1, 0.5, 0.5 },
    unused = { 0.999, 10, 0, 0.0, 1.0 },
    overspent = { 0.999, 9, 1, 100.0, -99.0 },
    all_bad = { 0.9, 0, 5, 10.0, -9.0 },
)]
fn rates(objective: f64, good: u64, bad: u64, rate: f64, left: f64) {
    let mut burn = one_class(objective);
    observe(&mut burn, 0, good, bad);
    let report = burn.report(Millis(0));
    let class = only(&report);
    for window in &class.windows {
        assert!(is_close(window.rate.unwrap(), rate), "{window:?}");
    }
    assert!(is_close(class.budget_left, left), "{class:?}");
}

/// Guards against outcomes that are counted in a window for too long or not long enough.
#[parameterized(
    same_minute = { 0, [1, 1, 1] },
    last_minute_of_five = { 4, [1, 1, 1] },
    sixth_minute = { 5, [0, 1, 1] },
    last_minute_of_hour = { 59, [0, 1, 1] },
    next_hour = { 60, [0, 0, 1] },
    last_minute_of_six_hours = { 359, [0, 0, 1] },
    after_six_hours = { 360, [0, 0, 0] },
    after_two_rounds = { 720, [0, 0, 0] },
)]
fn windows(minutes_later: u64, totals: [u64; 3]) {
    let start = 1_000;
    let mut burn = one_class(0.99);
    observe(&mut burn, start, 0, 1);
    let report = burn.report(Millis((start + minutes_later) * MINUTE));
    let totals = totals.map(|total| (total, total)).to_vec();
    assert_eq!(counts(only(&report)), totals);
}

/// Guards against a burn rate of 0 for a class without outcomes, which would look healthy.
#[test]
fn no_outcomes_have_no_rate() {
    let report = one_class(0.99).report(Millis(0));
    let class = only(&report);
    assert!(class.windows.iter().all(|window| window.rate.is_none()));
    assert!(is_close(class.budget_left, 1.0));
}

/// Guards against outcomes of more than 6 h ago that are counted again because the ring buffer
/// reuses their slot in a minute without outcomes.
#[test]
fn clears_skipped_minutes() {
    let mut burn = one_class(0.99);
    for minute in 0..360 {
        observe(&mut burn, minute, 1, 0);
    }
    observe(&mut burn, 600, 1, 0);
    let report = burn.report(Millis(600 * MINUTE));
    assert_eq!(counts(only(&report)), [(1, 0), (1, 0), (120, 0)]);
}

/// Guards against memory that grows without limit with the number of customers and classes.
#[test]
fn counts_a_limited_number_of_classes() {
    let mut burn = ErrorBudgets::new("k1".into());
    for customer in 0..400 {
        let name = format!("customer-{customer}");
        burn.set_contract(&contract(&name, 0.99, &["a", "b", "c", "d"]));
        for class in ["a", "b", "c", "d"] {
            burn.observe(Millis(0), &name, class, true);
        }
    }
    let report = burn.report(Millis(0));
    assert_eq!(report.classes.len(), MAX_CLASSES);
    assert_eq!(report.dropped, 400 * 4 - MAX_CLASSES as u64);
}

/// Guards against a limit below the 190 customers with 4 classes each that the system is designed
/// for.
#[test]
fn counts_the_target_number_of_classes() {
    let mut burn = ErrorBudgets::new("k1".into());
    for customer in 0..190 {
        let name = format!("customer-{customer}");
        burn.set_contract(&contract(&name, 0.99, &["a", "b", "c", "d"]));
    }
    assert_eq!(burn.report(Millis(0)).classes.len(), 760);
}

/// Guards against an amended contract that resets the counts, or whose removed class is still
/// reported.
#[test]
fn amendment_keeps_counts() {
    let mut burn = ErrorBudgets::new("k1".into());
    burn.set_contract(&contract("vltava", 0.99, &["old", "proof"]));
    observe(&mut burn, 0, 9, 1);
    burn.set_contract(&contract("vltava", 0.9, &["proof", "merge"]));
    let report = burn.report(Millis(0));
    let names: Vec<&str> = report.classes.iter().map(|class| &*class.class).collect();
    assert_eq!(names, ["proof", "merge"]);
    assert_eq!(counts(&report.classes[0])[0], (10, 1));
    assert!(is_close(report.classes[0].windows[0].rate.unwrap(), 1.0));
}

/// Guards against outcomes of unknown classes that are ignored silently.
#[test]
fn counts_dropped_outcomes() {
    let mut burn = one_class(0.99);
    burn.observe(Millis(0), "vltava", "other", false);
    burn.observe(Millis(0), "other", "proof", false);
    assert_eq!(burn.report(Millis(0)).dropped, 2);
}

/// Guards against a merged report that averages the rates of the hosts instead of adding up their
/// counts, or that counts a host twice.
#[test]
fn merges_hosts() {
    let mut one = one_class(0.99);
    observe(&mut one, 0, 99, 1);
    let mut two = ErrorBudgets::new("k2".into());
    two.set_contract(&contract("vltava", 0.99, &["proof", "merge"]));
    observe(&mut two, 0, 300, 0);
    let one = one.report(Millis(0));
    let sum = burn::merge([one.clone(), two.report(Millis(0)), one]);
    assert_eq!(sum.hosts.len(), 2);
    let proof = sum.classes.iter().find(|c| &*c.class == "proof").unwrap();
    assert_eq!(counts(proof), [(400, 1); 3]);
    assert!(is_close(proof.windows[0].rate.unwrap(), 0.25));
    assert!(is_close(proof.budget_left, 0.75));
    assert_eq!(proof.history.last().unwrap().total, 400);
}

/// Guards against a report that changes when it is written as JSON and read again.
#[test]
fn round_trips_as_json() {
    let mut burn = one_class(0.99);
    observe(&mut burn, 0, 99, 1);
    let report = burn.report(Millis(0));
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&text).unwrap(), report);
}

fn two_classes() -> BurnReport {
    let mut burn = ErrorBudgets::new("k1".into());
    burn.set_contract(&contract("vltava", 0.99, &["proof", "idle"]));
    observe(&mut burn, 0, 90, 10);
    observe(&mut burn, 200, 97, 3);
    burn.report(Millis(200 * MINUTE))
}

/// Guards against a table that does not start with the worst class or lacks a column.
#[test]
fn renders_a_table() {
    let text = burn::table(&two_classes(), false);
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(
        lines[1],
        [
            "vltava", "proof", "99%", "-550.0%", "3.00", "3.00", "6.50", "200", "13"
        ]
    );
    assert_eq!(
        lines[2],
        ["vltava", "idle", "99%", "100.0%", "-", "-", "-", "0", "0"]
    );
    assert!(!text.contains('\x1b'));
    assert!(burn::table(&two_classes(), true).contains("\x1b[31m-550.0%"));
}

/// Guards against a page that runs scripts or loads anything from another place.
#[test]
fn page_is_self_contained() {
    let page = burn::html(&two_classes());
    let lower = page.to_lowercase();
    for fragment in [
        "<script",
        "javascript:",
        "src=",
        "href=",
        "url(",
        "@import",
        "<link",
        "<iframe",
    ] {
        assert!(!lower.contains(fragment), "{fragment}");
    }
    assert_eq!(lower.matches("http").count(), 1, "only the SVG namespace");
    assert!(page.contains("<svg ") && page.contains("<path "));
    assert!(page.contains("-550.0%"));
}

/// Guards against a line that connects two points although the steps between them have no outcomes.
#[test]
fn plot_leaves_gaps() {
    let page = burn::html(&two_classes());
    assert_eq!(page.matches("<circle ").count(), 2);
    let path = page
        .lines()
        .rfind(|line| line.contains("stroke-width"))
        .unwrap();
    assert_eq!(path.matches('M').count(), 2, "{path}");
    assert!(!path.contains('L'), "{path}");
}

/// Guards against names of customers and classes that are interpreted as HTML.
#[test]
fn page_escapes_names() {
    let mut burn = ErrorBudgets::new("k1".into());
    burn.set_contract(&contract("<script>", 0.99, &["\"&"]));
    burn.observe(Millis(0), "<script>", "\"&", false);
    let page = burn::html(&burn.report(Millis(0)));
    assert!(!page.contains("<script"));
    assert!(page.contains("&lt;script&gt;") && page.contains("&quot;&amp;"));
}

/// Guards against a panic for a report without classes.
#[test]
fn renders_an_empty_report() {
    let report = BurnReport::default();
    assert_eq!(burn::table(&report, true).lines().count(), 1);
    assert!(burn::html(&report).contains("</html>"));
}

proptest! {
    /// Guards against errors in the arithmetic of the ring buffer: its counts must agree with those
    /// of a plain list of outcomes.
    #[test]
    fn agrees_with_a_list(gaps in prop::collection::vec((0_u64..200, any::<bool>()), 1..60), wait in 0_u64..500) {
        let mut burn = one_class(0.99);
        let mut minute = 0;
        let mut list = Vec::new();
        for (gap, good) in gaps {
            minute += gap;
            observe(&mut burn, minute, u64::from(good), u64::from(!good));
            list.push((minute, good));
        }
        let now = minute + wait;
        let report = burn.report(Millis(now * MINUTE));
        let expected: Vec<(u64, u64)> = [5, 60, 360].iter().map(|span| {
            let inside = list.iter().filter(|(minute, _)| minute + span > now);
            (inside.clone().count() as u64, inside.filter(|(_, good)| !good).count() as u64)
        }).collect();
        let class = only(&report);
        prop_assert_eq!(counts(class), expected.clone());
        let history: u64 = class.history.iter().map(|outcomes| outcomes.total).sum();
        prop_assert_eq!(history, expected[2].0);
    }
}
