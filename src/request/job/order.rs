//! Which step's tasks are placed first.

use super::spec::{JobSpec, StepId};
use crate::version::Queue;

/// A job that ends within this many times its objective is late; beyond it, nobody waits for it.
const LATE_FACTOR: u64 = 3;
/// A late job is pressing again this many times its remaining run time before nobody waits for it.
const LEAD_FACTOR: u64 = 2;

/// How a job stands against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// It ends within its objective if its next step starts now, or it is late and must start soon so
    /// that somebody still waits for it.
    Pressing,
    /// It misses its objective and has time until nobody waits for it any more.
    Late,
    Overdue,
}

/// Place of a step in the order; smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// Priority of the queue, 0 first.
    priority: u8,
    /// Lasting tasks come after those that end: they would keep the room for good.
    lasts: bool,
    standing: Standing,
    /// Unix milliseconds at which the time of this standing ends for the job.
    due: u64,
    pub step: StepId,
    /// Unix milliseconds up to which the key holds; then the job has another standing.
    pub expires: u64,
}

/// Place of a step at `now`, of a job that counts from `start`; both in Unix milliseconds.
///
/// Answers the pattern of a backlog after a surge: within a priority the earliest objective goes
/// first, but a job that can't meet its objective any more gives way to those that can, until it has to
/// start lest it is of no use. The earliest objective alone would serve every job of a backlog just
/// too late. Overdue jobs are served once the backlog is gone.
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
            lasts: false,
            standing: Standing::Pressing,
            due: start,
            step,
            expires: u64::MAX,
        };
    };
    let lasts = spec
        .steps
        .get(usize::from(step.step))
        .is_some_and(|step| step.lasts);
    let objective = (spec.chain() as f64 * queue.stretch) as u64 + queue.objective;
    let remaining = spec.chain_from(step.step);
    let on_time = start + objective;
    let late = start + objective * LATE_FACTOR;
    let lead = remaining * LEAD_FACTOR;
    let (standing, due, expires) = match now + remaining {
        // Lasting tasks are of use however late they start.
        _ if lasts => (Standing::Pressing, on_time, u64::MAX),
        end if end <= on_time => (
            Standing::Pressing,
            on_time,
            on_time.saturating_sub(remaining),
        ),
        _ if now + lead <= late => (Standing::Late, late, late.saturating_sub(lead)),
        end if end <= late => (Standing::Pressing, late, late.saturating_sub(remaining)),
        _ => (Standing::Overdue, start, u64::MAX),
    };
    OrderKey {
        priority: queue.priority,
        lasts,
        standing,
        due,
        step,
        expires,
    }
}
