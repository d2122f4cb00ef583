//! Measures the processor time of placement, learning and the interference policy with 600 workers
//! and 12,000 tasks.
//!
//! The budget is 1.1% of a core: 78 us for each of 140 placements per second, including all other
//! work. Each worker sends one report per second.

use std::collections::HashMap;
use std::time::Instant;

use jayfork::base::{Attempt, Millis, Name, Size, TaskId};
use jayfork::request::{
    Demand, InterferencePolicy, Placer, RunningTask, SizeEstimator, SizeKey, TaskKind, WorkerView,
};

const WORKERS: usize = 600;
const TASKS_PER_WORKER: usize = 20;
const CLASSES: u32 = 40;

fn main() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut placer = Placer::new();
    let mut views: Vec<_> = (0..WORKERS).map(|i| worker(&mut rng, i)).collect();
    for second in 0..20 {
        for view in &mut views {
            let slow: Vec<Name> = rng.bool().then(|| "service".into()).into_iter().collect();
            placer.observe(Millis(second), view, &slow);
        }
    }
    let placement = place(&mut rng, &placer, &mut views);
    let pairs = each(WORKERS, || {
        for view in &mut views {
            placer.observe(Millis(30), view, &[]);
        }
    });
    let learning = learn(&mut rng);
    let policy = report(&mut rng);
    println!("placement among {WORKERS} workers: {placement:.2} us");
    println!("learning pairs from one report of {TASKS_PER_WORKER} tasks: {pairs:.2} us");
    println!("learning the size of one task: {learning:.2} us");
    println!("interference policy for one report of {TASKS_PER_WORKER} tasks: {policy:.2} us");
    let reports = WORKERS as f64 * (pairs + policy + learning * TASKS_PER_WORKER as f64);
    let share = (140.0 * placement + reports) / 1e6 * 100.0;
    println!("140 placements and {WORKERS} reports a second: {share:.2}% of a core");
}

/// Runs `work`, which consists of `count` operations, and returns the mean time of one in us.
fn each(count: usize, mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn class(rng: &mut fastrand::Rng) -> String {
    format!("class{}", rng.u32(0..CLASSES))
}

fn size(rng: &mut fastrand::Rng) -> Size {
    Size::new(rng.u32(200..1_200), rng.u32(500..4_000), 0)
}

fn worker(rng: &mut fastrand::Rng, index: usize) -> WorkerView {
    let (name, rack) = (format!("w{index}"), format!("r{}", index / 11));
    let capacity = Size::new(32_000, 128_000, 0);
    let mut view = WorkerView::new(name.into(), rack.into(), capacity);
    view.services.push("service".into());
    for _ in 0..TASKS_PER_WORKER {
        view.adopt(&Demand::new("team", class(rng), size(rng), false));
    }
    view
}

/// Chooses workers, reserves and releases, and keeps the views up to date as a dispatcher does.
fn place(rng: &mut fastrand::Rng, placer: &Placer, views: &mut [WorkerView]) -> f64 {
    let names = views.iter().enumerate();
    let index: HashMap<Name, usize> = names.map(|(i, v)| (v.name.clone(), i)).collect();
    let demand = |_| {
        let mut demand = Demand::new("team", class(rng), size(rng), false);
        demand.racks = (0..8).map(|r| (Name::from(format!("r{r}")), r)).collect();
        demand
    };
    let demands: Vec<_> = (0..20_000).map(demand).collect();
    let mut placed = 0;
    let time = each(demands.len(), || {
        for demand in &demands {
            let Ok(name) = placer.choose(Millis(25), demand, views) else {
                continue;
            };
            let view = &mut views[index[&name]];
            assert!(view.commit(demand));
            placer.refresh(Millis(25), view);
            view.release(demand);
            placer.refresh(Millis(25), view);
            placed += 1;
        }
    });
    println!("{placed} of {} tasks placed", demands.len());
    time
}

fn learn(rng: &mut fastrand::Rng) -> f64 {
    let declared = Size::new(1_000, 1_000, 0);
    let key = |i: u32| SizeKey::new("team".into(), format!("class{i}").into(), declared);
    let keys: Vec<_> = (0..CLASSES).map(key).collect();
    let usages: Vec<_> = (0..200_000).map(|_| size(rng)).collect();
    let mut sizes = SizeEstimator::new();
    each(usages.len(), || {
        for (i, usage) in usages.iter().enumerate() {
            sizes.observe(Millis(i as u64), &keys[i % keys.len()], *usage);
        }
    })
}

/// Feeds the interference policy with reports of a slow service, with tasks above their
/// reservations.
fn report(rng: &mut fastrand::Rng) -> f64 {
    let mut running = |index| RunningTask {
        task: TaskId::new("team", "job", index),
        attempt: Attempt(0),
        class: class(rng).into(),
        reserved: size(rng),
        usage: Some(size(rng)),
        throttled: index % 2 == 0,
        unsaved: Millis(1_000),
        penalty: 1.0,
        kind: TaskKind::Restartable,
    };
    let tasks: Vec<Vec<_>> = (0..WORKERS)
        .map(|_| (0..TASKS_PER_WORKER as u32).map(&mut running).collect())
        .collect();
    let names: Vec<Name> = (0..WORKERS).map(|i| format!("w{i}").into()).collect();
    let mut policy = InterferencePolicy::new();
    let slow: [Name; 1] = ["service".into()];
    let capacity = Size::new(32_000, 128_000, 0);
    each(WORKERS * 100, || {
        for second in 1..=100 {
            let now = Millis(second * 1_000);
            for (name, tasks) in names.iter().zip(&tasks) {
                std::hint::black_box(policy.report(now, name, now, capacity, tasks, &slow));
            }
        }
    })
}
