//! Compares the order of steps in and after a surge with two baselines: the earliest objective
//! first, and the order of arrival.

use std::collections::BTreeMap;

use jayfork::base::Size;
use jayfork::request::job::{JobId, JobOrder, JobSpec, OrderKey, StepId, StepSpec, TurnState};
use jobs::{job, queue};
use yare::parameterized;

#[path = "support/jobs.rs"]
mod jobs;

/// Number of tasks that can run at the same time.
const SLOTS: u32 = 100;
/// Mean run time of a task, in milliseconds.
const RUNTIME: u64 = 1_500;
const TASKS_PER_STEP: u32 = 10;
/// Step of the simulated clock, in milliseconds.
const TICK: u64 = 10;
/// Jobs per second, each of two steps with ten tasks, that keep three quarters of the slots busy.
const NORMAL_RATE: f64 = 2.5;
/// Jobs per second in the surge: twice what the slots can serve.
const SURGE_RATE: f64 = 6.7;
/// Start and end of the surge, in milliseconds.
const SURGE_FROM: u64 = 10_000;
const SURGE_TO: u64 = 20_000;
/// Time after which no more jobs arrive, in milliseconds.
const ARRIVALS_END: u64 = 60_000;

/// The order in which waiting jobs are served.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    ObjectiveStatus,
    Objective,
    Arrival,
}

/// An unfinished job; times in milliseconds.
struct Open {
    arrived: u64,
    step: u16,
    waiting: u32,
    running: u32,
    last_start: u64,
}

#[derive(Debug, Default)]
struct Served {
    jobs: usize,
    /// Jobs that met their objective.
    on_time: usize,
    /// Jobs that missed their objective but ended within three times its time.
    late: usize,
    /// Longest time from arrival to end of a job, in milliseconds.
    longest: u64,
}

fn spec() -> JobSpec {
    let first = StepSpec {
        count: TASKS_PER_STEP as u16,
        size: Size::new(1_000, 100, 0),
        runtime: RUNTIME as u32,
        ..StepSpec::default()
    };
    let second = StepSpec {
        after: vec![0],
        ..first.clone()
    };
    job(vec![first, second])
}

fn objective() -> u64 {
    2 * RUNTIME * 2 + 1_000
}

fn sort_key(order: Order, id: u64, open: &Open, now: u64) -> (Option<OrderKey>, u64) {
    let step = StepId {
        job: JobId(id),
        turn: 0,
        step: open.step,
    };
    match order {
        Order::ObjectiveStatus => {
            let turn = TurnState {
                start: open.arrived,
                has_begun: open.step > 0 || open.waiting < TASKS_PER_STEP,
                idle_since: (open.running == 0).then_some(open.arrived.max(open.last_start)),
                wave_time: Some(2 * u64::from(TASKS_PER_STEP) * RUNTIME * 4 / u64::from(SLOTS)),
            };
            let key = JobOrder::new(&queue(2, 1_000, 2.0), &spec()).key(turn, now, step);
            (Some(key), 0)
        }
        Order::Objective => (None, open.arrived + objective()),
        Order::Arrival => (None, id),
    }
}

/// Simulates a surge on a pool of slots and counts how its jobs were served.
fn simulate(order: Order, seed: u64) -> Served {
    // Arrivals have their own generator, so that the same jobs arrive in every order.
    let mut arrivals = fastrand::Rng::with_seed(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut open: BTreeMap<u64, Open> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut served = Served::default();
    let (mut free, mut next, mut now) = (SLOTS, 0, 0);
    while now < ARRIVALS_END || !open.is_empty() {
        now += TICK;
        let is_surge = (SURGE_FROM..SURGE_TO).contains(&now);
        let rate = if is_surge { SURGE_RATE } else { NORMAL_RATE };
        let is_arrival = arrivals.f64() < rate * TICK as f64 / 1_000.0;
        if now < ARRIVALS_END && is_arrival {
            next += 1;
            let job = Open {
                arrived: now,
                step: 0,
                waiting: TASKS_PER_STEP,
                running: 0,
                last_start: 0,
            };
            open.insert(next, job);
        }
        for id in ends.remove(&now).unwrap_or_default() {
            free += 1;
            let Some(job) = open.get_mut(&id) else {
                continue;
            };
            job.running -= 1;
            if job.running + job.waiting > 0 {
                continue;
            }
            job.step += 1;
            job.waiting = TASKS_PER_STEP;
            if job.step == 2 {
                let took = now - job.arrived;
                served.jobs += 1;
                served.on_time += usize::from(took <= objective());
                served.late += usize::from(took > objective() && took <= 3 * objective());
                served.longest = served.longest.max(took);
                open.remove(&id);
            }
        }
        let waiting = open.iter().filter(|(_, job)| job.waiting > 0);
        let mut ids: Vec<_> = waiting
            .map(|(id, job)| (sort_key(order, *id, job, now), *id))
            .collect();
        ids.sort();
        for ((key, _), id) in ids {
            let is_starved = key.is_some_and(|key| key.is_starved());
            let Some(job) = open.get_mut(&id) else {
                continue;
            };
            while free > 0 && job.waiting > 0 {
                free -= 1;
                job.waiting -= 1;
                job.running += 1;
                job.last_start = now;
                let runtime = (RUNTIME as f64 * (0.7 + 0.6 * rng.f64())) as u64;
                ends.entry(now + runtime / TICK * TICK)
                    .or_default()
                    .push(id);
                if is_starved {
                    break;
                }
            }
        }
    }
    served
}

/// Guards against a backlog in which every job, old and new, is served slightly too late. The
/// backlog comes from a surge of one class that lasts for ten seconds.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
)]
fn a_surge_makes_few_jobs_late(seed: u64) {
    let by_status = simulate(Order::ObjectiveStatus, seed);
    for baseline in [Order::Objective, Order::Arrival] {
        let other = simulate(baseline, seed);
        assert_eq!(by_status.jobs, other.jobs);
        assert!(
            by_status.on_time > other.on_time,
            "{by_status:?} against {other:?}"
        );
    }
}

/// Guards against jobs that miss their objective in the same surge and are then delayed until
/// nobody waits for them, or for ever.
#[test]
fn late_jobs_are_served_after_the_surge() {
    let served = simulate(Order::ObjectiveStatus, 2);
    assert!(served.longest < ARRIVALS_END, "{served:?}");
    let in_time = served.on_time + served.late;
    assert!(in_time * 10 >= served.jobs * 8, "{served:?}");
}
