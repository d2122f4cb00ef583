//! The order in which steps are placed.

use super::spec::{JobSpec, StepId};
use crate::version::Queue;

/// A job that ends after its objective is late; after this many times its objective it is overdue,
/// and nobody waits for its result any more.
const OVERDUE_FACTOR: u64 = 3;
/// A late job has to start this many times its remaining run time before it becomes overdue.
const LEAD_FACTOR: u64 = 2;

/// State of a job relative to its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectiveStatus {
    /// The job meets its objective if its next step starts now, or it is late and has to start soon
    /// to end before it is overdue.
    StartNow,
    /// The job misses its objective, and there is still time before it has to start.
    Late,
    /// The job ends when nobody waits for its result any more.
    Overdue,
}

/// Sort key of a step; the smallest key is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// Priority of the queue; 0 is the highest.
    priority: u8,
    /// Long-running tasks come after the others of the same priority, because they hold their
    /// resources until they are cancelled.
    is_long_running: bool,
    status: ObjectiveStatus,
    /// Orders jobs of the same status, in Unix milliseconds: the deadline that applies in it, or
    /// the start of an overdue job.
    due: u64,
    pub step: StepId,
    /// Time until which the key is valid, in Unix milliseconds; then the job has another status.
    pub expires: u64,
}

/// Sort key at `now` of a step whose job is measured from `start`; both in Unix milliseconds.
///
/// Within a priority the earliest objective comes first. A job that can no longer meet its
/// objective gives way to those that can, until it has to start to be of any use. Ordering by
/// objective alone would finish every job of the backlog after a surge slightly too late. Overdue
/// jobs run once the backlog is gone.
pub fn order_key(
    queue: Option<&Queue>,
    spec: &JobSpec,
    start: u64,
    now: u64,
    step: StepId,
) -> OrderKey {
    let Some(queue) = queue else {
        return OrderKey {
            priority: u8::MAX,
            is_long_running: false,
            status: ObjectiveStatus::StartNow,
            due: start,
            step,
            expires: u64::MAX,
        };
    };
    let is_long_running = spec
        .steps
        .get(usize::from(step.step))
        .is_some_and(|step| step.lasts);
    let objective =
        ((spec.critical_path() as f64 * queue.stretch) as u64).saturating_add(queue.objective);
    let remaining = spec.critical_path_from(step.step);
    let on_time_end = start.saturating_add(objective);
    let late_end = start.saturating_add(objective.saturating_mul(OVERDUE_FACTOR));
    let lead = remaining * LEAD_FACTOR;
    let (status, due, expires) = match now + remaining {
        // Long-running tasks are useful however late they start.
        _ if is_long_running => (ObjectiveStatus::StartNow, on_time_end, u64::MAX),
        end if end <= on_time_end => (
            ObjectiveStatus::StartNow,
            on_time_end,
            on_time_end.saturating_sub(remaining),
        ),
        _ if now + lead <= late_end => (
            ObjectiveStatus::Late,
            late_end,
            late_end.saturating_sub(lead),
        ),
        end if end <= late_end => (
            ObjectiveStatus::StartNow,
            late_end,
            late_end.saturating_sub(remaining),
        ),
        _ => (ObjectiveStatus::Overdue, start, u64::MAX),
    };
    OrderKey {
        priority: queue.priority,
        is_long_running,
        status,
        due,
        step,
        expires,
    }
}
