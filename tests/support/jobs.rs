//! A queue and jobs for the tests of the order in which steps are placed.

use jayfork::request::job::{JobSpec, StepSpec};
use jayfork::version::Queue;

/// A queue whose jobs have to end after `stretch` times their critical path and `objective`
/// milliseconds.
pub fn queue(priority: u8, objective: u64, stretch: f64) -> Queue {
    Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/".into(),
        service: "s".into(),
        priority,
        objective,
        stretch,
        attempts: 3,
        has_advice: false,
    }
}

/// A job that does not repeat.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "".into(),
        steps,
        first_run: 0,
        interval: 0,
        turns: 0,
    }
}
