//! Which step's tasks are placed first.

use super::spec::{JobSpec, StepId};
use crate::version::Queue;

/// Place of a step in the order; smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// Priority of the queue, 0 first.
    priority: u8,
    /// Lasting tasks come after those that end: they would keep the room for good.
    lasts: bool,
    /// Unix milliseconds at which the objective of the job ends.
    due: u64,
    pub step: StepId,
}

/// Earliest objective first within a priority: the answer to a surge of one class, since jobs with
/// short chains go before longer ones that came at the same time.
pub fn order_key(queue: Option<&Queue>, spec: &JobSpec, start: u64, step: StepId) -> OrderKey {
    let Some(queue) = queue else {
        return OrderKey {
            priority: u8::MAX,
            lasts: false,
            due: start,
            step,
        };
    };
    let chain = (spec.chain() as f64 * queue.stretch) as u64;
    OrderKey {
        priority: queue.priority,
        lasts: spec
            .steps
            .get(usize::from(step.step))
            .is_some_and(|step| step.lasts),
        due: start + chain + queue.objective,
        step,
    }
}
