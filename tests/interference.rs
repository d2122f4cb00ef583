//! Interference policy: the order of actions, lagging reports, budgets and the choice of the
//! victim.

use std::collections::HashMap;

use jayfork::base::{Attempt, Millis, Name, Size, TaskId};
use jayfork::request::{ClassKey, InterferencePolicy, Mitigation, RunningTask, TaskKind};
use proptest::prelude::*;
use yare::parameterized;

const CAPACITY: Size = Size::new(16_000, 61_440, 0);
const SECOND: u64 = 1_000;

fn task(job: &str, kind: TaskKind, reserved: u32, used: u32) -> RunningTask {
    RunningTask {
        task: TaskId::new("vltava", job, 0),
        attempt: Attempt(0),
        class: job.into(),
        reserved: Size::new(reserved, 2_000, 0),
        usage: Some(Size::new(used, 2_000, 0)),
        throttled: false,
        unsaved: Millis(60_000),
        penalty: 1.0,
        kind,
    }
}

fn plain(job: &str, used: u32) -> RunningTask {
    task(job, TaskKind::Restartable, used, used)
}

/// Feeds the policy with reports of one worker, one per second, each measured when it arrives.
struct Feed {
    policy: InterferencePolicy,
    worker: Name,
    now: Millis,
}

impl Feed {
    /// Starts with one report, so that the worker is known and the next report may lead to an
    /// action.
    fn new() -> Self {
        let mut feed = Feed {
            policy: InterferencePolicy::new(),
            worker: "w1".into(),
            now: Millis(10 * SECOND),
        };
        assert_eq!(feed.report(&[], true), None);
        feed
    }

    fn report(&mut self, tasks: &[RunningTask], slow: bool) -> Option<Mitigation> {
        self.now = self.now + Millis(SECOND);
        self.report_measured(self.now, tasks, slow)
    }

    fn report_measured(
        &mut self,
        measured: Millis,
        tasks: &[RunningTask],
        slow: bool,
    ) -> Option<Mitigation> {
        let slow: Vec<Name> = slow.then(|| "assembly".into()).into_iter().collect();
        self.policy
            .report(self.now, &self.worker, measured, CAPACITY, tasks, &slow)
    }

    /// Repeats slow reports until the policy returns an action; panics after thirty.
    fn until_action(&mut self, tasks: &[RunningTask]) -> Mitigation {
        let mut reports = (0..30).filter_map(|_| self.report(tasks, true));
        reports.next().expect("an action within thirty reports")
    }
}

fn action(mitigation: &Mitigation) -> (&'static str, &str) {
    let kind = match mitigation {
        Mitigation::Throttle { .. } => "throttle",
        Mitigation::Evict { .. } => "evict",
        Mitigation::Stop { .. } => "stop",
    };
    (kind, &mitigation.task().job)
}

// Guards against an eviction before a throttle, and against a stop before an eviction.
#[test]
fn actions_come_in_order() {
    let mut feed = Feed::new();
    let mut tasks = [plain("noisy", 6_000)];
    assert_eq!(action(&feed.until_action(&tasks)), ("throttle", "noisy"));
    tasks[0].throttled = true;
    assert_eq!(action(&feed.until_action(&tasks)), ("evict", "noisy"));
    assert_eq!(action(&feed.until_action(&tasks)), ("stop", "noisy"));
}

// Guards against an action after a single slow report.
#[test]
fn one_slow_report_leads_to_no_action() {
    let mut feed = Feed::new();
    let tasks = [plain("noisy", 6_000)];
    for _ in 0..5 {
        assert_eq!(feed.report(&tasks, true), None);
        assert_eq!(feed.report(&tasks, false), None);
    }
}

// Guards against a second action because of lagging reports that were measured before the first
// one.
#[parameterized(
    no_lag = { 0 },
    one_second = { 1 },
    five_seconds = { 5 },
)]
fn old_report_leads_to_no_action(lag: u64) {
    let mut feed = Feed::new();
    let tasks = [plain("noisy", 6_000), plain("other", 6_000)];
    let report = |feed: &mut Feed| {
        feed.now = feed.now + Millis(SECOND);
        let measured = Millis(feed.now.0 - lag * SECOND);
        feed.report_measured(measured, &tasks, true)
    };
    assert!((0..10).any(|_| report(&mut feed).is_some()));
    for _ in 0..lag {
        assert_eq!(report(&mut feed), None);
    }
    assert!((0..10).any(|_| report(&mut feed).is_some()));
}

// Guards against one slow measurement that is reported repeatedly and counted as several.
#[test]
fn repeated_measurement_counts_once() {
    let mut feed = Feed::new();
    let tasks = [plain("noisy", 6_000)];
    assert_eq!(feed.report(&tasks, true), None);
    let measured = feed.now;
    for _ in 0..10 {
        feed.now = feed.now + Millis(SECOND);
        assert_eq!(feed.report_measured(measured, &tasks, true), None);
    }
}

// Guards against an action on a measurement that was taken before the worker answered the command
// of the last action.
#[test]
fn answer_of_the_command_moves_the_barrier() {
    let mut feed = Feed::new();
    let tasks = [plain("noisy", 6_000), plain("other", 6_000)];
    let _ = feed.until_action(&tasks);
    let answered = feed.now + Millis(30 * SECOND);
    feed.policy.command_answered(answered, &feed.worker);
    while feed.now < answered {
        assert_eq!(feed.report(&tasks, true), None);
    }
    let _ = feed.until_action(&tasks);
}

// Guards against an action immediately after a takeover of the lease, when the earlier holder may
// just have acted.
#[test]
fn new_holder_waits_for_a_fresh_report() {
    let mut feed = Feed::new();
    feed.policy.forget(&feed.worker);
    let tasks = [task("noisy", TaskKind::Restartable, 1_000, 20_000)];
    let measured = feed.now + Millis(SECOND);
    feed.now = feed.now + Millis(3 * SECOND);
    assert_eq!(feed.report_measured(measured, &tasks, true), None);
    let late = measured + Millis(SECOND);
    assert_eq!(feed.report_measured(late, &tasks, true), None);
    assert!(feed.report(&tasks, true).is_some());
}

// Guards against a measurement time in the future, from a worker whose clock is ahead. It would
// always count as fresh, and later reports would count as old.
#[test]
fn measurement_from_the_future_counts_as_now() {
    let mut feed = Feed::new();
    let tasks = [plain("noisy", 6_000)];
    let future = feed.now + Millis(3_600 * SECOND);
    assert_eq!(feed.report_measured(future, &tasks, true), None);
    let _ = feed.until_action(&tasks);
}

// Guards against an action on a task that contributes less than another, or that is protected.
#[parameterized(
    most_use = { plain("a", 2_000), plain("b", 8_000), "b" },
    learned_penalty = {
        RunningTask { penalty: 10.0, ..plain("a", 2_000) }, plain("b", 8_000), "a" },
    use_above_reservation = {
        task("a", TaskKind::Restartable, 500, 5_000), plain("b", 6_000), "a" },
    no_known_interference = {
        RunningTask { penalty: 0.0, ..plain("a", 8_000) }, plain("b", 2_000), "b" },
    no_measurement_yet = {
        RunningTask { usage: None, ..plain("a", 2_000) }, plain("b", 4_000), "b" },
    watcher_is_last = {
        task("a", TaskKind::Watcher, 8_000, 8_000), plain("b", 2_000), "b" },
    at_most_once_is_last = {
        task("a", TaskKind::AtMostOnce, 8_000, 8_000), plain("b", 2_000), "b" },
    urgent_is_never_a_victim = {
        task("a", TaskKind::Urgent, 8_000, 8_000), plain("b", 100), "b" },
    small_contributor_is_no_victim = {
        task("a", TaskKind::AtMostOnce, 8_000, 8_000), plain("b", 100), "a" },
)]
fn victim_contributes_the_most(a: RunningTask, b: RunningTask, expected: &str) {
    for tasks in [[a.clone(), b.clone()], [b, a]] {
        let mitigation = Feed::new().until_action(&tasks);
        assert_eq!(action(&mitigation), ("throttle", expected));
    }
}

// Guards against throttles that lose work when the service is slow for a reason outside the worker.
#[test]
fn classes_without_interference_are_not_throttled() {
    let mut feed = Feed::new();
    let tasks = [RunningTask {
        penalty: 0.0,
        ..plain("quiet", 8_000)
    }];
    for _ in 0..30 {
        assert_eq!(feed.report(&tasks, true), None);
    }
}

// Guards against a throttle of every task on the worker after the main contributor is throttled.
#[test]
fn minor_contributors_are_not_throttled() {
    let mut feed = Feed::new();
    let mut main = plain("main", 8_000);
    let minor = plain("minor", 3_000);
    let tasks = [main.clone(), minor.clone()];
    assert_eq!(action(&feed.until_action(&tasks)), ("throttle", "main"));
    main.throttled = true;
    let mitigation = feed.until_action(&[main, minor]);
    assert_eq!(action(&mitigation), ("evict", "main"));
}

// Guards against many equal tasks none of which counts as a candidate.
#[test]
fn equal_contributors_are_candidates() {
    let tasks: Vec<_> = (0..15).map(|i| plain(&format!("j{i}"), 800)).collect();
    assert_eq!(action(&Feed::new().until_action(&tasks)).0, "throttle");
}

// Guards against an eviction that loses more work than another one of nearly the same effect.
#[test]
fn eviction_loses_the_least_work() {
    let mut feed = Feed::new();
    let hour = Millis(3_600 * SECOND);
    let mut tasks = [plain("a", 6_000), plain("b", 5_500)];
    for task in &mut tasks {
        task.throttled = true;
    }
    tasks[0].unsaved = hour;
    assert_eq!(action(&feed.until_action(&tasks)), ("evict", "b"));
}

// Guards against use above the reservation that takes the share kept for urgent tasks, or all of
// the memory, and leads to no action; and against an action while the worker has room.
#[parameterized(
    takes_urgent_share = { Size::new(14_000, 2_000, 0), Some("a") },
    takes_memory = { Size::new(1_000, 50_000, 0), Some("a") },
    room_is_left = { Size::new(4_000, 8_000, 0), None },
)]
fn use_above_the_reservation_is_throttled(usage: Size, expected: Option<&str>) {
    let mut feed = Feed::new();
    let mut over = task("a", TaskKind::Restartable, 1_000, 0);
    over.usage = Some(usage);
    let tasks = [over, plain("b", 8_000 - usage.processors / 2)];
    let mitigation = feed.report(&tasks, false);
    let actual = mitigation.as_ref().map(action);
    assert_eq!(actual, expected.map(|job| ("throttle", job)));
}

// Guards against a worker that runs out of memory while the policy waits for the effect of a
// throttle.
#[test]
fn memory_shortage_is_answered_by_the_next_report() {
    let mut feed = Feed::new();
    let mut over = task("a", TaskKind::Restartable, 1_000, 500);
    over.usage = Some(Size::new(500, 60_000, 0));
    let throttle = feed.report(std::slice::from_ref(&over), false);
    assert_eq!(throttle.as_ref().map(action), Some(("throttle", "a")));
    over.throttled = true;
    let evict = feed.report(&[over], false);
    assert_eq!(evict.as_ref().map(action), Some(("evict", "a")));
}

// Guards against a stop of a task that cannot be started again, and against a task that ignores its
// eviction and so prevents actions on all others.
#[test]
fn at_most_once_task_is_never_stopped() {
    let mut feed = Feed::new();
    let mut tasks = [
        task("merge", TaskKind::AtMostOnce, 6_000, 6_000),
        task("tally", TaskKind::AtMostOnce, 5_000, 5_000),
    ];
    for task in &mut tasks {
        task.throttled = true;
    }
    assert_eq!(action(&feed.until_action(&tasks)), ("evict", "merge"));
    assert_eq!(action(&feed.until_action(&tasks)), ("evict", "tally"));
    for _ in 0..20 {
        assert_eq!(feed.report(&tasks, true), None);
    }
}

// Guards against more evictions of a class within an hour than its budget allows.
#[parameterized(
    one_an_hour = { 20, 1 },
    two_percent = { 250, 5 },
)]
fn evictions_stay_within_the_budget(running: u32, allowed: usize) {
    let mut policy = InterferencePolicy::new();
    let slow: [Name; 1] = ["assembly".into()];
    let mut throttled = plain("noisy", 3_000);
    throttled.throttled = true;
    let mut workers: HashMap<Name, Vec<RunningTask>> = HashMap::new();
    for index in 0..running {
        let mut task = throttled.clone();
        task.task.index = index;
        let worker: Name = format!("w{}", index / 4).into();
        workers.entry(worker).or_default().push(task);
    }
    let mut evicted = Vec::new();
    for second in 1..5_000 {
        let now = Millis(second * SECOND);
        for (worker, tasks) in &mut workers {
            match policy.report(now, worker, now, CAPACITY, tasks, &slow) {
                Some(Mitigation::Evict { task, .. }) => {
                    tasks.retain(|t| t.task != task);
                    evicted.push(second);
                }
                Some(other) => panic!("unexpected {other:?}"),
                None => {}
            }
        }
    }
    let first_hour = evicted.iter().filter(|s| **s < 3_600).count();
    assert_eq!(first_hour, allowed);
    assert!(evicted.len() > allowed, "the budget is never renewed");
}

// Guards against a count of running tasks, and so a budget, that grows with every report.
#[test]
fn budget_counts_each_running_task_once() {
    let mut feed = Feed::new();
    let tasks: Vec<_> = (0..200)
        .map(|index| {
            let mut task = plain("noisy", 10);
            task.task.index = index;
            task
        })
        .collect();
    let class = ClassKey::new("vltava", "noisy");
    for _ in 0..3 {
        let _ = feed.report(&tasks, false);
        assert_eq!(feed.policy.budget(feed.now, &class), 4);
    }
    feed.policy.forget(&feed.worker);
    assert_eq!(feed.policy.budget(feed.now, &class), 1);
}

fn kinds() -> impl Strategy<Value = TaskKind> {
    prop_oneof![
        1 => Just(TaskKind::Urgent),
        4 => Just(TaskKind::Restartable),
        1 => Just(TaskKind::Watcher),
        1 => Just(TaskKind::AtMostOnce),
    ]
}

fn tasks() -> impl Strategy<Value = Vec<RunningTask>> {
    let one = (kinds(), 100..4_000u32, 0..8_000u32, any::<bool>(), 0..3u32);
    prop::collection::vec(one, 1..8).prop_map(|parts| {
        let build = |(i, (kind, reserved, used, throttled, class))| {
            let mut task = task(&format!("j{i}"), kind, reserved, used);
            task.class = format!("class{class}").into();
            task.throttled = throttled;
            task
        };
        parts.into_iter().enumerate().map(build).collect()
    })
}

/// State of one worker in the model.
#[derive(Default)]
struct ModelWorker {
    last_action: Option<Millis>,
    handled: Vec<Millis>,
    last_actions: HashMap<TaskId, Mitigation>,
}

proptest! {
    // Guards, with reports in any order and with any lag, against two actions on one measurement,
    // actions on a measurement before the last action, actions out of order, actions on urgent
    // tasks, stops of at-most-once tasks and evictions beyond the budget.
    #[test]
    fn any_sequence_of_reports_keeps_the_rules(
        workers in prop::collection::vec(tasks(), 1..4),
        reports in prop::collection::vec((0..4usize, 1..4_000u64, 0..9_000u64, any::<bool>()), 1..300),
    ) {
        let mut policy = InterferencePolicy::new();
        let mut models: HashMap<usize, ModelWorker> = HashMap::new();
        let mut evictions: HashMap<Name, usize> = HashMap::new();
        let slow: [Name; 1] = ["assembly".into()];
        let mut now = Millis(20_000);
        for (index, pause, lag, is_slow) in reports {
            let index = index % workers.len();
            let tasks = &workers[index];
            now = now + Millis(pause);
            let measured = Millis(now.0 - lag);
            let worker: Name = format!("w{index}").into();
            let slow = if is_slow { &slow[..] } else { &[] };
            let Some(mitigation) =
                policy.report(now, &worker, measured, CAPACITY, tasks, slow)
            else {
                continue;
            };
            let model = models.entry(index).or_default();
            prop_assert!(model.last_action.is_none_or(|last_action| measured > last_action));
            prop_assert!(!model.handled.contains(&measured));
            model.last_action = Some(now);
            model.handled.push(measured);
            let victim = tasks.iter().find(|t| t.task == *mitigation.task());
            let victim = victim.expect("the victim runs on the worker");
            let before = model.last_actions.insert(victim.task.clone(), mitigation.clone());
            prop_assert!(victim.kind != TaskKind::Urgent);
            match mitigation {
                Mitigation::Throttle { .. } => prop_assert!(before.is_none() && !victim.throttled),
                Mitigation::Evict { .. } => {
                    prop_assert!(victim.throttled || before.is_some());
                    *evictions.entry(victim.class.clone()).or_default() += 1;
                }
                Mitigation::Stop { .. } => {
                    let evicted = matches!(before, Some(Mitigation::Evict { .. }));
                    prop_assert!(evicted);
                    prop_assert!(victim.kind != TaskKind::AtMostOnce);
                }
            }
        }
        // Fewer than 50 tasks of each class run and less than an hour passes, so the budget is one.
        prop_assert!(evictions.values().all(|count| *count <= 1));
    }
}
