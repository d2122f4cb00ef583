//! Compares how large and small jobs are served while more of them arrive than the workers can run
//! in time, and a part of the workers has lost capacity.

use std::collections::BTreeMap;

use jayfork::base::Size;
use jayfork::request::job::{JobId, JobOrder, JobSpec, OrderKey, StepId, StepSpec, TurnState};
use jobs::{job, queue};
use yare::parameterized;

#[path = "support/jobs.rs"]
mod jobs;

/// Processors of all workers, and while a part of the workers has less capacity, in thousandths.
const CAPACITY: u32 = 600_000;
const REDUCED_CAPACITY: u32 = 530_000;
/// Start and end of the time with less capacity, in milliseconds.
const REDUCED_FROM: u64 = 6_000;
const REDUCED_TO: u64 = 20_000;
/// Mean run time of a task, in milliseconds; mean demand, in thousandths of a processor; mean number
/// of tasks of a step.
const RUNTIME: f64 = 1_700.0;
const DEMAND: f64 = 3_500.0;
const WIDTH: f64 = 8.0;
/// Step of the simulated clock, in milliseconds.
const TICK: u64 = 10;
/// Time after which no more jobs arrive, and the end of the simulation, in milliseconds.
const ARRIVALS_END: u64 = 30_000;
const END: u64 = 120_000;
/// Simulations whose jobs are counted together.
const SEEDS: u64 = 8;

struct Job {
    arrived: u64,
    spec: JobSpec,
    /// Run time of its tasks, which differs from the estimate.
    runtime: u64,
    step: u16,
    waiting: u32,
    running: u32,
    last_start: u64,
    has_begun: bool,
    ended: Option<u64>,
}

/// Jobs that met their objective, and those that ended within three times its time, of all jobs.
#[derive(Debug)]
struct Share {
    on_time: f64,
    in_time: f64,
}

impl Job {
    /// Two steps with tasks of the same size and run time.
    fn draw(rng: &mut fastrand::Rng, arrived: u64) -> Self {
        let runtime = draw(rng, RUNTIME, 0.5, 4_300.0);
        let estimate = draw(rng, runtime, 0.6, 10.0 * runtime);
        let first = StepSpec {
            count: draw(rng, WIDTH, 0.6, 32.0).round().max(1.0) as u16,
            size: Size::new(draw(rng, DEMAND, 0.3, 7_000.0) as u32, 100, 0),
            runtime: estimate as u32,
            ..StepSpec::default()
        };
        let second = StepSpec {
            count: draw(rng, WIDTH, 0.6, 32.0).round().max(1.0) as u16,
            after: vec![0],
            ..first.clone()
        };
        Job {
            arrived,
            runtime: runtime as u64,
            step: 0,
            waiting: u32::from(first.count),
            running: 0,
            last_start: 0,
            has_begun: false,
            ended: None,
            spec: job(vec![first, second]),
        }
    }

    fn demand(&self) -> u32 {
        self.spec.steps[0].size.processors
    }

    /// Work of all its tasks, in thousandths of a processor times milliseconds.
    fn work(&self) -> u64 {
        let tasks: u64 = self.spec.steps.iter().map(|s| u64::from(s.count)).sum();
        tasks * u64::from(self.demand()) * self.runtime
    }

    /// Whether it ended within so many times its objective.
    fn is_served(&self, times: u64) -> bool {
        let objective = 2 * self.runtime * 2 + 1_000;
        self.ended
            .is_some_and(|ended| ended - self.arrived <= times * objective)
    }
}

/// A log-normal value with a standard deviation of `spread` times the mean.
fn draw(rng: &mut fastrand::Rng, mean: f64, spread: f64, most: f64) -> f64 {
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    let variance = (1.0 + spread * spread).ln();
    let value = mean.ln() - variance / 2.0 + variance.sqrt() * normal;
    value.exp().min(most)
}

/// Jobs that arrive at `load` times the rate that all workers can serve.
fn arrivals(seed: u64, load: f64) -> Vec<Job> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let rate = load * f64::from(CAPACITY) / (2.0 * WIDTH * RUNTIME * DEMAND);
    let mut jobs = Vec::new();
    for now in (0..ARRIVALS_END).step_by(TICK as usize) {
        if rng.f64() < rate * TICK as f64 {
            jobs.push(Job::draw(&mut rng, now));
        }
    }
    jobs
}

/// Jobs with waiting tasks in the order of placement.
fn placement_order(jobs: &[Job], now: u64) -> Vec<(OrderKey, usize)> {
    let waiting = jobs.iter().enumerate().filter(|(_, job)| {
        let is_known = job.arrived <= now && job.ended.is_none();
        is_known && job.waiting > 0
    });
    let mut keys: Vec<_> = waiting
        .map(|(index, job)| {
            let turn = TurnState {
                start: job.arrived,
                has_begun: job.has_begun,
                idle_since: (job.running == 0).then_some(job.arrived.max(job.last_start)),
                wave_time: Some(job.spec.wave_time(u64::from(CAPACITY))),
            };
            let step = StepId {
                job: JobId(index as u64),
                turn: 0,
                step: job.step,
            };
            (
                JobOrder::new(&queue(2, 1_000, 2.0), &job.spec).key(turn, now, step),
                index,
            )
        })
        .collect();
    keys.sort();
    keys
}

/// Ends a task; the job goes on with its next step after the last one.
fn end_task(job: &mut Job, now: u64) {
    job.running -= 1;
    if job.running + job.waiting > 0 {
        return;
    }
    job.step += 1;
    match job.spec.steps.get(usize::from(job.step)) {
        Some(step) => job.waiting = u32::from(step.count),
        None => job.ended = Some(now),
    }
}

/// Runs all jobs that arrive at `load` and returns them.
fn simulate(seed: u64, load: f64) -> Vec<Job> {
    let mut jobs = arrivals(seed, load);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut ends: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut used = 0;
    for now in (0..END).step_by(TICK as usize) {
        for index in ends.remove(&now).unwrap_or_default() {
            used -= jobs[index].demand();
            end_task(&mut jobs[index], now);
        }
        let capacity = match (REDUCED_FROM..REDUCED_TO).contains(&now) {
            true => REDUCED_CAPACITY,
            false => CAPACITY,
        };
        for (key, index) in placement_order(&jobs, now) {
            let job = &mut jobs[index];
            while used + job.demand() <= capacity && job.waiting > 0 {
                used += job.demand();
                job.waiting -= 1;
                job.running += 1;
                job.last_start = now;
                job.has_begun = true;
                let runtime = (job.runtime as f64 * (0.7 + 0.6 * rng.f64())) as u64;
                let end = now + TICK + runtime / TICK * TICK;
                ends.entry(end).or_default().push(index);
                if key.is_starved() {
                    break;
                }
            }
        }
    }
    jobs
}

impl Share {
    fn of<'a>(jobs: impl Iterator<Item = &'a Job> + Clone) -> Self {
        let total = jobs.clone().count() as f64;
        let served = |times| jobs.clone().filter(|job| job.is_served(times)).count() as f64;
        Share {
            on_time: served(1) / total,
            in_time: served(3) / total,
        }
    }
}

/// Guards against large jobs that starve in an overload: they were begun, gave way to new jobs while
/// their remaining tasks waited, and ended too late.
#[parameterized(
    over_by_a_fifth = { 1.2 },
    over_by_half = { 1.5 },
    over_by_four_fifths = { 1.8 },
    twice = { 2.0 },
)]
fn the_largest_jobs_are_served_at_least_half_as_often_as_all(load: f64) {
    let mut all = Vec::new();
    let mut largest = Vec::new();
    for seed in 1..=SEEDS {
        let mut jobs = simulate(seed, load);
        jobs.sort_by_key(Job::work);
        let tenth = jobs.len() / 10;
        largest.extend(jobs.drain(jobs.len() - tenth..));
        all.extend(jobs);
    }
    let largest_share = Share::of(largest.iter());
    let share = Share::of(all.iter().chain(&largest));
    println!("all {share:.2?}, largest {largest_share:.2?}");
    assert!(2.0 * largest_share.on_time >= share.on_time);
    assert!(2.0 * largest_share.in_time >= share.in_time);
}
