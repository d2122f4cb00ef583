//! Jobs with many independent steps.

use std::time::{Duration, Instant};

use jayfork::base::Size;
use jayfork::request::job::{JobSpec, StepSpec};

use super::world::{STEP, World, chain};

/// Simulated time for which the owner is measured, in milliseconds.
const TIME: u64 = 1_500;

/// Processor time of an owner that holds a job of so many steps, in all and of the longest of its steps.
fn measure(steps: usize) -> (Duration, Duration) {
    let mut world = World::new(1, 8, 8_000);
    world.runtimes = 50..300;
    world.claim();
    world.run(600);
    world.submit(1, &chain(&[2], 500));
    let step = StepSpec {
        count: 1,
        size: Size::new(500, 100, 0),
        runtime: 200,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![step; steps],
        ..chain(&[1], 500)
    };
    world.submit(2, &spec);
    let start = Instant::now();
    let mut longest = Duration::ZERO;
    for _ in 0..TIME / STEP {
        let before = Instant::now();
        world.step();
        longest = longest.max(before.elapsed());
    }
    assert!(world.fleet.starts > steps.min(200) as u64);
    (start.elapsed(), longest)
}

/// Guards against an owner that stops answering because each placement pass, or each end of a run, takes time in
/// proportion to the square of the number of steps or more: six times the steps may take 18 times as long, where a
/// square takes 36.
#[test]
fn the_time_of_an_owner_does_not_grow_with_the_square_of_the_steps() {
    let [.., many, most] = [10, 100, 1_000, 6_000].map(|steps| {
        let (total, longest) = (0..3).map(|_| measure(steps)).min().expect("a run");
        println!("{steps} steps: {total:?} for {TIME} ms, longest {longest:?}");
        total
    });
    assert!(most < 18 * many, "{many:?}, {most:?}");
}
