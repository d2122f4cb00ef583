//! Jobs of the tests.

use jayfork::base::Size;
use jayfork::request::job::JobSpec;

/// A job with one step for each count; each step depends on the one before it.
pub fn chain(counts: &[u16], processors: u32) -> JobSpec {
    let steps = counts.iter().enumerate().map(|(index, count)| {
        let mut step = jayfork::request::job::StepSpec {
            count: *count,
            size: Size::new(processors, 100, 0),
            runtime: 500,
            ..Default::default()
        };
        if index > 0 {
            step.after = vec![index as u16 - 1];
        }
        step
    });
    JobSpec {
        payload: "text".into(),
        steps: steps.collect(),
        first_run: 0,
        interval: 0,
        turns: 0,
    }
}

/// A job of one step with long-running tasks.
pub fn long_running(count: u16, processors: u32) -> JobSpec {
    let mut spec = chain(&[count], processors);
    spec.steps[0].lasts = true;
    spec
}
