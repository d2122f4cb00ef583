//! Best-effort tasks beside serving tasks.

use jayfork::base::Name;
use jayfork::process::shard::Reply;
use jayfork::request::job::{JobSpec, Outcome, StepSpec};

use super::world::{STEP, World, chain, long_running};

/// Slope of most pairs of images.
const SLOPE: f64 = 2.0;
/// Slopes of the other pairs of a serving and a best-effort image.
const SLOPES: [(&str, &str, f64); 7] = [
    ("chat", "archive", 9.0),
    ("feed", "archive", 8.0),
    ("cart", "archive", 7.0),
    ("mail", "archive", 1.2),
    ("chat", "resize", 1.0),
    ("feed", "resize", 1.5),
    ("cart", "resize", 2.5),
];

/// Speed and measurements of one run.
pub struct Pace {
    runtime: u64,
    demand: u32,
    image: Option<Name>,
    fills: bool,
    lasts: bool,
    /// Bound of the tail latency of a serving task.
    tail_bound: u32,
    /// Speed limit in percent.
    pub limit: u8,
    /// Hundredths of a millisecond that speed limits have added to the run time.
    added: u64,
}

impl Pace {
    pub fn new(step: &StepSpec, runtime: u64) -> Pace {
        Pace {
            runtime,
            demand: step.size.processors,
            image: step.image.clone(),
            fills: step.fills,
            lasts: step.lasts,
            tail_bound: step.tail_bound,
            limit: 100,
            added: 0,
        }
    }

    /// Accounts for `STEP` milliseconds.
    pub fn advance(&mut self) {
        self.added += STEP * u64::from(100 - self.limit);
    }

    /// Milliseconds that speed limits have added.
    pub fn added(&self) -> u64 {
        self.added / 100
    }

    /// Millicores that a best-effort task uses.
    pub fn used(&self) -> u32 {
        match self.fills {
            true => self.demand * u32::from(self.limit) / 100,
            false => 0,
        }
    }

    /// Progress in percent after `elapsed` milliseconds.
    pub fn percent(&self, elapsed: u64) -> u8 {
        match self.lasts {
            true => 100,
            false => (elapsed.saturating_sub(self.added()) * 100 / self.runtime).min(99) as u8,
        }
    }

    /// Rise of the logarithm of its tail latency by the tasks beside it on a worker.
    pub fn interference<'a>(&self, others: impl Iterator<Item = &'a Pace>, processors: u32) -> f64 {
        let rises = others.map(|other| slope(self, other) * f64::from(other.used()));
        rises.sum::<f64>() / f64::from(processors)
    }

    /// What a report says, if serving tasks have `quiet_tail` of their bound without others, and others
    /// raise its logarithm by `interference`.
    pub fn measurement(&self, quiet_tail: Option<f64>, interference: f64) -> Option<u64> {
        let tail = quiet_tail? * interference.exp();
        match self.fills {
            true => Some(u64::from(self.used())),
            false if self.tail_bound > 0 => Some((f64::from(self.tail_bound) * tail) as u64),
            false => None,
        }
    }
}

/// Rise of the logarithm of the tail latency of a serving task if a best-effort one takes the whole worker.
fn slope(serving: &Pace, best_effort: &Pace) -> f64 {
    let images = (serving.image.as_deref(), best_effort.image.as_deref());
    let mut slopes = SLOPES.iter();
    let found =
        slopes.find(|(serving, best_effort, _)| images == (Some(serving), Some(best_effort)));
    found.map_or(SLOPE, |(_, _, slope)| *slope)
}

pub fn serving(image: &str, count: u16, processors: u32) -> JobSpec {
    let mut spec = long_running(count, processors);
    spec.steps[0].tail_bound = 1_000;
    spec.steps[0].image = Some(image.into());
    spec
}

pub fn best_effort(count: u16, processors: u32) -> JobSpec {
    let mut spec = chain(&[count], processors);
    spec.steps[0].fills = true;
    spec.steps[0].image = Some("merge".into());
    spec
}

/// A simulation of two workers with a serving task of another image each, jobs 1 and 2, whose tail latency is
/// `tail` of its bound.
pub fn world_with_serving_tasks(runtime: u64, tail: f64) -> World {
    let mut world = World::new(7, 2, 16_000);
    world.runtimes = runtime..runtime + 1;
    world.claim();
    world.run(500);
    world.submit(1, &serving("search", 1, 4_000));
    world.run(300);
    world.submit(2, &serving("map", 1, 4_000));
    world.run(300);
    assert_ne!(world.holder(1), world.holder(2));
    for worker in &mut world.fleet.workers {
        worker.quiet_tail = Some(tail);
    }
    world.run(1_500);
    world
}

/// Guards against serving tasks that each hold one worker, although they fit on one together, while many
/// best-effort tasks wait that interfere with all of them.
#[test]
fn serving_tasks_are_moved_together_for_best_effort_ones() {
    let mut world = world_with_serving_tasks(3_000, 0.5);
    world.submit(3, &best_effort(20, 3_000));
    world.run(15_000);
    assert_eq!(world.holder(1), world.holder(2));
    world.run(11_000);
    let state = world.state(3);
    let is_completed = matches!(
        state,
        Some(Reply::State {
            outcome: Some(Outcome::Completed),
            ..
        })
    );
    assert!(is_completed, "{state:?}");
    world.assert_no_violations();
}

/// Guards against moves while no best-effort task waits for long.
#[test]
fn serving_tasks_stay_while_best_effort_ones_find_room() {
    let mut world = world_with_serving_tasks(500, 0.4);
    let holders = (world.holder(1), world.holder(2));
    for job in 0..12 {
        world.submit(3 + job, &best_effort(1, 3_000));
        world.run(1_500);
    }
    assert_eq!((world.holder(1), world.holder(2)), holders);
    world.assert_no_violations();
}
