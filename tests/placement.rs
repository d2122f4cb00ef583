//! Placement: capacity, the reserve for urgent tasks, best fit, racks, learned penalties and
//! refusals.

use std::collections::HashMap;

use jayfork::base::{Millis, Name, Size};
use jayfork::request::{ClassKey, Demand, NoFit, Placer, SizeEstimator, SizeKey, WorkerView};
use proptest::prelude::*;
use yare::parameterized;

const NOW: Millis = Millis(1_000);

fn worker(name: &str, rack: &str, capacity: Size) -> WorkerView {
    WorkerView::new(name.into(), rack.into(), capacity)
}

fn standard(name: &str, committed: Size) -> WorkerView {
    let mut view = worker(name, "r1", Size::new(16_000, 61_440, 0));
    view.committed = committed;
    view
}

fn batch(size: Size) -> Demand {
    Demand::new("vltava", "indexing", size, false)
}

fn urgent(size: Size) -> Demand {
    Demand::new("vltava", "proofs", size, true)
}

fn chosen(demand: &Demand, workers: &[WorkerView]) -> Result<String, NoFit> {
    Placer::new()
        .choose(NOW, demand, workers)
        .map(|name| name.to_string())
}

// Guards against a choice that ignores one of the resources.
#[parameterized(
    processors = { Size::new(12_000, 0, 0), Size::new(1_000, 10, 0) },
    memory = { Size::new(0, 49_000, 0), Size::new(10, 200, 0) },
    accelerators = { Size::new(0, 0, 2), Size::new(10, 10, 1) },
)]
fn full_worker_is_not_chosen(committed: Size, requested: Size) {
    let mut view = worker("w1", "r1", Size::new(16_000, 61_440, 2));
    view.committed = committed;
    let demand = batch(requested);
    assert_eq!(chosen(&demand, &[view.clone()]), Err(NoFit::NotNow));
    assert!(!view.commit(&demand));
    assert_eq!(view.committed, committed);
}

// Guards against batch tasks that take the share kept for urgent tasks, and against urgent tasks
// that may not use it.
#[parameterized(
    batch_up_to_its_share = { false, Size::new(12_800, 49_152, 0), true },
    batch_beyond_processors = { false, Size::new(12_801, 1, 0), false },
    batch_beyond_memory = { false, Size::new(1, 49_153, 0), false },
    urgent_up_to_capacity = { true, Size::new(16_000, 61_440, 0), true },
    urgent_beyond_capacity = { true, Size::new(16_001, 1, 0), false },
)]
fn urgent_reserve_is_kept(is_urgent: bool, size: Size, fits: bool) {
    let demand = Demand::new("vltava", "any", size, is_urgent);
    let mut view = standard("w1", Size::ZERO);
    assert_eq!(chosen(&demand, &[view.clone()]).is_ok(), fits);
    assert_eq!(view.commit(&demand), fits);
}

// Guards against urgent tasks that reduce the share of batch tasks while there is still unused
// reserve.
#[test]
fn urgent_tasks_use_the_reserve_first() {
    let mut view = standard("w1", Size::ZERO);
    assert!(view.commit(&urgent(Size::new(3_200, 1_000, 0))));
    assert_eq!(view.free(false).processors, 12_800);
    assert!(view.commit(&urgent(Size::new(1_000, 1_000, 0))));
    assert_eq!(view.free(false).processors, 11_800);
}

// Guards against new tasks on a worker whose tasks use more than they reserved and leave no room.
#[test]
fn use_above_reservations_counts_as_taken() {
    let mut view = standard("w1", Size::new(4_000, 1_000, 0));
    view.excess = Size::new(8_000, 0, 0);
    let demand = batch(Size::new(1_000, 100, 0));
    assert_eq!(chosen(&demand, &[view.clone()]), Err(NoFit::NotNow));
    view.excess = Size::ZERO;
    assert!(chosen(&demand, &[view]).is_ok());
}

// Guards against a placement on a worker that accepts no tasks: its lease is not usable, it is
// leaving or it is in quarantine.
#[test]
fn worker_that_accepts_no_tasks_is_not_chosen() {
    let mut view = standard("w1", Size::ZERO);
    view.accepts_tasks = false;
    let demand = batch(Size::new(100, 100, 0));
    assert_eq!(chosen(&demand, &[view.clone()]), Err(NoFit::NotNow));
    let ahead = Placer::new().choose_ahead(&demand, &[view]);
    assert_eq!(ahead, Err(NoFit::NotNow));
}

// Guards against a choice of the emptiest worker, and against a fit by a resource that is not the
// scarcest one.
#[parameterized(
    fuller_worker = { Size::new(2_000, 8_000, 0), Size::new(8_000, 32_000, 0), "b" },
    scarce_memory = { Size::new(6_000, 1_000, 0), Size::new(1_000, 40_000, 0), "b" },
    scarce_processors = { Size::new(11_000, 1_000, 0), Size::new(1_000, 30_000, 0), "a" },
)]
fn best_fit_by_scarcest_resource(a: Size, b: Size, expected: &str) {
    let workers = [standard("a", a), standard("b", b)];
    let demand = batch(Size::new(1_000, 2_000, 0));
    assert_eq!(chosen(&demand, &workers).as_deref(), Ok(expected));
}

// Guards against tasks that need no accelerator and fill the workers that have one.
#[test]
fn accelerators_are_kept_for_tasks_that_need_them() {
    let with = worker("a", "r1", Size::new(16_000, 61_440, 4));
    let workers = [with, standard("b", Size::ZERO)];
    let plain = batch(Size::new(8_000, 8_000, 0));
    assert_eq!(chosen(&plain, &workers).as_deref(), Ok("b"));
    let accelerated = batch(Size::new(1_000, 1_000, 1));
    assert_eq!(chosen(&accelerated, &workers).as_deref(), Ok("a"));
}

// Guards against all tasks of a job in one rack, whose failure would interrupt the whole job, and
// against a spread over racks at the cost of a clearly worse fit.
#[parameterized(
    equal_fit_spreads = { Size::new(4_000, 8_000, 0), Size::new(4_000, 8_000, 0), "b" },
    better_fit_wins = { Size::new(4_000, 8_000, 0), Size::ZERO, "a" },
)]
fn tasks_of_a_job_spread_over_racks(a: Size, b: Size, expected: &str) {
    let mut other = standard("b", b);
    other.rack = "r2".into();
    let workers = [standard("a", a), other];
    let mut demand = batch(Size::new(500, 500, 0));
    assert_eq!(chosen(&demand, &workers).as_deref(), Ok("a"));
    demand.racks = vec![("r1".into(), 3), ("r2".into(), 1)];
    assert_eq!(chosen(&demand, &workers).as_deref(), Ok(expected));
}

// Guards against a refusal that does not tell the operator which resource is too large.
#[parameterized(
    processors = { false, Size::new(40_000, 100, 0),
        "task needs 40.0 cores (the largest worker offers 12.8); 20% of each worker is kept for urgent tasks" },
    memory = { true, Size::new(100, 102_400, 0),
        "task needs 100.0 GiB of memory (the largest worker offers 60.0)" },
    accelerators = { true, Size::new(100, 100, 3),
        "task needs 3 accelerators (the largest worker offers 2)" },
    two_dimensions = { true, Size::new(17_000, 100, 3),
        "task needs 17.0 cores (the largest worker offers 16.0) and 3 accelerators (the largest worker offers 2)" },
    no_single_worker = { true, Size::new(12_000, 1_024, 2),
        "task needs 12.0 cores, 1.0 GiB of memory and 2 accelerators together, which no single worker offers" },
)]
fn impossible_task_is_refused_with_the_reason(is_urgent: bool, size: Size, reason: &str) {
    let workers = [
        standard("a", Size::ZERO),
        worker("b", "r1", Size::new(8_000, 30_720, 2)),
    ];
    let demand = Demand::new("vltava", "any", size, is_urgent);
    for error in [
        Placer::new().choose(NOW, &demand, &workers),
        Placer::new().choose_ahead(&demand, &workers),
    ] {
        let Err(error @ NoFit::Never { .. }) = error else {
            panic!("expected a refusal, got {error:?}");
        };
        assert_eq!(error.to_string(), reason);
    }
}

// Guards against the final refusal of a task that a worker could hold later.
#[parameterized(
    no_worker_known = { vec![] },
    worker_full = { vec![standard("a", Size::new(12_800, 0, 0))] },
    worker_accepts_no_tasks = { vec![
        WorkerView { accepts_tasks: false, ..standard("a", Size::ZERO) }] },
    capacity_unknown = { vec![worker("a", "r1", Size::new(100, 100, 0)),
        WorkerView { accepts_tasks: false, ..worker("b", "r1", Size::ZERO) }] },
)]
fn possible_task_has_to_wait(workers: Vec<WorkerView>) {
    let demand = batch(Size::new(2_000, 2_000, 0));
    assert_eq!(chosen(&demand, &workers), Err(NoFit::NotNow));
}

// Guards against a learned size that makes a task impossible to place.
#[parameterized(
    fits_a_worker = { Size::new(10_000, 100, 0), Size::new(1_000, 100, 0), Size::new(10_000, 100, 0) },
    reduced_to_the_largest = { Size::new(30_000, 100, 0), Size::new(1_000, 100, 0), Size::new(12_800, 100, 0) },
    declared_is_impossible = { Size::new(30_000, 100, 0), Size::new(20_000, 100, 0), Size::new(30_000, 100, 0) },
)]
fn estimate_is_reduced_to_a_worker(estimate: Size, declared: Size, expected: Size) {
    let workers = [
        standard("a", Size::new(5_000, 0, 0)),
        worker("b", "r1", Size::new(8_000, 90_000, 0)),
    ];
    assert_eq!(
        Placer::reservable_size(estimate, declared, false, &workers),
        expected
    );
}

// Guards against a task that is placed again on the worker that failed to start it while another
// has room, and against one that waits for ever because no other worker has room.
#[test]
fn avoided_worker_is_the_last_choice() {
    let workers = [
        standard("a", Size::new(8_000, 8_000, 0)),
        standard("b", Size::ZERO),
    ];
    let mut demand = batch(Size::new(1_000, 1_000, 0));
    demand.avoid.push("a".into());
    assert_eq!(chosen(&demand, &workers).as_deref(), Ok("b"));
    assert_eq!(chosen(&demand, &workers[..1]).as_deref(), Ok("a"));
}

// Guards against claims that wait on one worker in an unbounded or unbalanced queue.
#[test]
fn claims_ahead_are_bounded_and_balanced() {
    let placer = Placer::new();
    let full = Size::new(12_800, 0, 0);
    let mut workers = [standard("a", full), standard("b", full)];
    let demand = batch(Size::new(1_000, 1_000, 0));
    for _ in 0..8 {
        let name = placer
            .choose_ahead(&demand, &workers)
            .expect("room for claims");
        let view = workers.iter_mut().find(|w| w.name == name);
        view.expect("chosen worker is listed").queued += 1;
    }
    assert_eq!((workers[0].queued, workers[1].queued), (4, 4));
    assert_eq!(placer.choose_ahead(&demand, &workers), Err(NoFit::NotNow));
}

/// A placer that has learned from `reports` reports of two workers with the same service. A noisy
/// class runs on the first worker, where the service is slow; the class `quiet`, which does not
/// interfere, runs on both.
fn trained(reports: u64) -> (Placer, [WorkerView; 2]) {
    let mut placer = Placer::new();
    let mut workers = [standard("a", Size::ZERO), standard("b", Size::ZERO)];
    for (view, class, processors) in [
        (0, "noisy", 6_000),
        (0, "quiet", 3_000),
        (1, "quiet", 9_000),
    ] {
        let demand = Demand::new("vltava", class, Size::new(processors, 1_000, 0), false);
        assert!(workers[view].commit(&demand));
    }
    for view in &mut workers {
        view.services.push("assembly".into());
    }
    let slow: [Name; 1] = ["assembly".into()];
    for second in 0..reports {
        let now = Millis(second * 1_000);
        placer.observe(now, &mut workers[0], &slow);
        placer.observe(now, &mut workers[1], &[]);
    }
    (placer, workers)
}

// Guards against more noisy tasks on a worker that has some, and against a penalty for a class
// that runs beside them and does not interfere. The number of reports is that of sixty workers in
// ten seconds.
#[test]
fn penalty_distinguishes_noisy_from_quiet_classes() {
    let (placer, workers) = trained(600);
    let now = Millis(600_000);
    let services = &workers[0].services;
    let noisy_penalty = placer.penalty(now, &ClassKey::new("vltava", "noisy"), services);
    let quiet_penalty = placer.penalty(now, &ClassKey::new("vltava", "quiet"), services);
    assert!(
        noisy_penalty > 5.0,
        "noisy class has penalty {noisy_penalty}"
    );
    assert_eq!(quiet_penalty, 0.0);

    let mut demand = Demand::new("vltava", "noisy", Size::new(2_000, 1_000, 0), false);
    let choice = placer.choose(now, &demand, &workers);
    assert_eq!(choice.as_deref(), Ok("b"));
    demand.class = ClassKey::new("vltava", "quiet");
    assert_eq!(placer.choose(now, &demand, &workers).as_deref(), Ok("a"));
}

// Guards against urgent tasks on a worker with known interference.
#[test]
fn urgent_task_avoids_a_noisy_worker() {
    let (placer, workers) = trained(60);
    let demand = urgent(Size::new(1_000, 1_000, 0));
    let choice = placer.choose(Millis(60_000), &demand, &workers);
    assert_eq!(choice.as_deref(), Ok("b"));
}

// Guards against a penalty that is shared by classes of the same name of two customers.
#[test]
fn penalty_belongs_to_one_customer() {
    let (placer, workers) = trained(60);
    let other = ClassKey::new("biometan", "noisy");
    let penalty = placer.penalty(Millis(60_000), &other, &workers[0].services);
    assert_eq!(penalty, 0.0);
}

// Guards against a penalty that lasts long after the load that caused it, and against one that
// decays before the next burst.
#[test]
fn penalty_halves_in_an_hour() {
    let (placer, workers) = trained(60);
    let noisy = ClassKey::new("vltava", "noisy");
    let services = &workers[0].services;
    let at = |hours: u64| {
        let now = Millis(59_000 + hours * 3_600_000);
        placer.penalty(now, &noisy, services)
    };
    assert!(at(0) > 0.0);
    assert!((at(1) / at(0) - 0.5).abs() < 0.01);
    assert!((at(4) / at(0) - 0.0625).abs() < 0.01);
}

// Guards against a class that loses its penalty while it causes no slow reports. Its next burst
// would be placed on few workers before the first report of it arrives.
#[test]
fn penalty_decreases_slowly_without_slow_reports() {
    let (mut placer, mut workers) = trained(60);
    let noisy = ClassKey::new("vltava", "noisy");
    let before = placer.penalty(Millis(59_000), &noisy, &workers[0].services);
    for second in 60..120 {
        placer.observe(Millis(second * 1_000), &mut workers[0], &[]);
    }
    let after = placer.penalty(Millis(119_000), &noisy, &workers[0].services);
    assert!(after > before * 0.5, "{after} after {before}");
    assert!(after < before, "{after} after {before}");
}

// Guards against tasks that have to wait because of a single slow report.
#[test]
fn one_slow_report_is_not_enough() {
    let (placer, workers) = trained(1);
    let full = batch(Size::new(1, 1, 0));
    let noisy = Demand::new("vltava", "noisy", Size::new(2_000, 1_000, 0), false);
    for demand in [full, noisy] {
        let choice = placer.choose(NOW, &demand, &workers[..1]);
        assert_eq!(choice.as_deref(), Ok("a"));
    }
}

// Guards against more tasks of an interfering class on a worker that has some, and against such a
// class that waits for ever while another worker has none.
#[parameterized(
    only_a_worker_with_the_class = { &["a"], Err(NoFit::NotNow) },
    another_worker_without_it = { &["a", "b"], Ok("b") },
)]
fn interfering_class_waits_for_a_worker_without_it(names: &[&str], expected: Result<&str, NoFit>) {
    let (placer, workers) = trained(600);
    let workers: Vec<_> = workers
        .into_iter()
        .filter(|w| names.contains(&&*w.name))
        .collect();
    let demand = Demand::new("vltava", "noisy", Size::new(2_000, 1_000, 0), false);
    let choice = placer.choose(Millis(600_000), &demand, &workers);
    assert_eq!(choice.as_deref(), expected.as_ref().map(|n| *n));
}

fn sizes() -> impl Strategy<Value = Size> {
    (0..9_000u32, 0..40_000u32, 0..3u32).prop_map(|(p, m, a)| Size::new(p, m, a))
}

fn worker_lists() -> impl Strategy<Value = Vec<WorkerView>> {
    let one = (1..5u32, 0..3u32, 0..3u32);
    prop::collection::vec(one, 1..12).prop_map(|parts| {
        let view = |(i, (scale, accelerators, rack)): (usize, (u32, u32, u32))| {
            let capacity = Size::new(scale * 4_000, scale * 15_360, accelerators);
            worker(&format!("w{i}"), &format!("r{rack}"), capacity)
        };
        parts.into_iter().enumerate().map(view).collect()
    })
}

#[derive(Debug, Clone)]
enum Step {
    Place {
        declared: Size,
        urgent: bool,
    },
    /// A report changes the estimate of later placements.
    Report {
        usage: Size,
    },
    End {
        index: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let place = (sizes(), any::<bool>());
    let place = place.prop_map(|(declared, urgent)| Step::Place { declared, urgent });
    let report = sizes().prop_map(|usage| Step::Report { usage });
    let end = any::<usize>().prop_map(|index| Step::End { index });
    prop::collection::vec(prop_oneof![6 => place, 2 => report, 3 => end], 1..120)
}

fn total<'a>(demands: impl Iterator<Item = &'a Demand>) -> Size {
    demands.fold(Size::ZERO, |sum, d| sum.saturating_add(&d.size))
}

/// Compares the views with independent sums of the reserved sizes.
fn check_capacity(workers: &[WorkerView], placed: &[(Name, Demand)]) {
    let mut by_worker: HashMap<&Name, Vec<&Demand>> = HashMap::new();
    for (name, demand) in placed {
        by_worker.entry(name).or_default().push(demand);
    }
    for view in workers {
        let demands = by_worker.remove(&view.name).unwrap_or_default();
        let all = total(demands.iter().copied());
        let batch = total(demands.iter().copied().filter(|d| !d.urgent));
        assert!(all.fits(&view.capacity), "{all:?} on {view:?}");
        assert!(
            batch.fits(&view.capacity.scale(80)),
            "{batch:?} on {view:?}"
        );
        assert_eq!(all, view.committed);
    }
}

proptest! {
    // Guards against a worker that is committed beyond its capacity by any sequence of choices,
    // ends and changed estimates, and against reserved sizes that are never released.
    #[test]
    fn no_worker_is_committed_beyond_its_capacity(mut workers in worker_lists(), steps in steps()) {
        let placer = Placer::new();
        let mut estimator = SizeEstimator::new();
        let key = SizeKey::new("c".into(), "k".into(), Size::ZERO);
        let mut placed: Vec<(Name, Demand)> = Vec::new();
        for step in steps {
            match step {
                Step::Place { declared, urgent } => {
                    let size = estimator.estimate(&key, declared);
                    let demand = Demand::new("c", "k", size, urgent);
                    let Ok(name) = placer.choose(NOW, &demand, &workers) else {
                        continue;
                    };
                    // The estimate changes between the choice and the start.
                    estimator.observe(NOW, &key, declared);
                    let view = workers.iter_mut().find(|w| w.name == name);
                    prop_assert!(view.expect("listed").commit(&demand));
                    placed.push((name, demand));
                }
                Step::Report { usage } => estimator.observe(NOW, &key, usage),
                Step::End { index } if !placed.is_empty() => {
                    let (name, demand) = placed.swap_remove(index % placed.len());
                    let view = workers.iter_mut().find(|w| w.name == name);
                    view.expect("listed").release(&demand);
                }
                Step::End { .. } => {}
            }
            check_capacity(&workers, &placed);
        }
        for (name, demand) in placed.drain(..) {
            let view = workers.iter_mut().find(|w| w.name == name);
            view.expect("listed").release(&demand);
        }
        prop_assert!(workers.iter().all(|w| w.committed == Size::ZERO && w.classes.is_empty()));
    }

    // Guards against a search that skips the best candidate: the choice must not depend on the
    // order in which the workers are listed.
    #[test]
    fn choice_does_not_depend_on_order(
        mut workers in worker_lists(),
        loads in prop::collection::vec((sizes(), any::<bool>()), 0..12),
        size in sizes(),
        racks in prop::collection::vec(0..4u32, 3),
    ) {
        let mut placer = Placer::new();
        let slow: [Name; 1] = ["s".into()];
        for (view, (load, noisy)) in workers.iter_mut().zip(loads) {
            let class = if noisy { "noisy" } else { "quiet" };
            let _ = view.commit(&Demand::new("c", class, load, false));
            view.services.push("s".into());
            for _ in 0..20 {
                placer.observe(NOW, view, if noisy { &slow } else { &[] });
            }
        }
        let mut demand = Demand::new("c", "noisy", size, false);
        let racks = racks.into_iter().enumerate();
        demand.racks = racks.map(|(i, n)| (format!("r{i}").into(), n)).collect();
        let forward = placer.choose(NOW, &demand, &workers);
        workers.reverse();
        prop_assert_eq!(forward, placer.choose(NOW, &demand, &workers));
    }
}
