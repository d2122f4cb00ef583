//! The order in which steps are placed.

use super::spec::{JobSpec, StepId};
use crate::version::Queue;

/// A job that ends after its objective is late; after this many times its objective it is overdue,
/// and nobody waits for its result any more.
pub const OVERDUE_FACTOR: u64 = 3;
/// A late job has to start this many times its remaining run time before it becomes overdue.
const LEAD_FACTOR: u64 = 2;
/// How long a step of an overdue job waits with nothing running before one of its tasks comes first, in
/// milliseconds.
const STARVED_TIME: u64 = 5_000;
/// After this many times its objective, and the time that its tasks need on a part of the workers, all tasks of a job
/// come first.
const LONG_OVERDUE_FACTOR: u64 = 2 * OVERDUE_FACTOR;

/// State of a job relative to its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectiveStatus {
    /// The job is overdue and nothing of the step has run for a while. One of its tasks comes before all others
    /// of its priority, since whoever accepts a job has to run it, also while newer ones keep coming.
    Starved,
    /// The job has been overdue for so long that all its tasks come before those of jobs that are not.
    LongOverdue,
    /// The job meets its objective if its next step starts now, or it is late and has to start soon
    /// to end before it is overdue.
    StartNow,
    /// The job misses its objective, and there is still time before it has to start.
    Late,
    /// The job ends when nobody waits for its result any more.
    Overdue,
}

/// When a job ended, relative to its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndStatus {
    InTime,
    Late,
    /// Nobody waited for the result any more.
    Overdue,
    /// The job has no objective as a whole: it repeats, runs until it is cancelled, or its queue is unknown.
    Untimed,
}

impl EndStatus {
    /// Status of a job that was open for `open` milliseconds.
    pub fn of(open: u64, objective: Option<u64>) -> EndStatus {
        match objective {
            None => EndStatus::Untimed,
            Some(objective) if open <= objective => EndStatus::InTime,
            Some(objective) if open <= objective.saturating_mul(OVERDUE_FACTOR) => EndStatus::Late,
            Some(_) => EndStatus::Overdue,
        }
    }

    /// The value of a metric label.
    pub fn label(self) -> &'static str {
        match self {
            EndStatus::InTime => "in_time",
            EndStatus::Late => "late",
            EndStatus::Overdue => "overdue",
            EndStatus::Untimed => "untimed",
        }
    }
}

/// Sort key of a step; the smallest key is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// Priority of the queue; 0 is the highest.
    priority: u8,
    /// Long-running tasks come after the others of the same priority, because they hold their
    /// resources until they are cancelled.
    is_long_running: bool,
    /// Turns with tasks that have been placed come first, since that work is wasted if the others end
    /// too late.
    is_new: bool,
    status: ObjectiveStatus,
    /// Orders jobs of the same status, in Unix milliseconds: the deadline that applies in it, or
    /// the start of an overdue job.
    due: u64,
    pub step: StepId,
    /// Time until which the key is valid, in Unix milliseconds; then the job has another status.
    pub expires: u64,
}

impl OrderKey {
    /// Status of the job relative to its objective.
    pub fn status(&self) -> ObjectiveStatus {
        self.status
    }

    /// Whether one task of the step comes before all others of its priority.
    pub fn is_starved(&self) -> bool {
        self.status == ObjectiveStatus::Starved
    }

    /// Whether one or all of the tasks come before all others of the priority.
    pub fn comes_first(&self) -> bool {
        self.is_starved() || self.status == ObjectiveStatus::LongOverdue
    }

    /// Whether the key would come earlier if the turn had begun.
    pub fn gives_way(&self) -> bool {
        self.is_new && !self.is_long_running && self.status != ObjectiveStatus::Overdue
    }
}

/// State of the turn that a step belongs to.
#[derive(Debug, Clone, Copy)]
pub struct TurnState {
    /// Time from which the turn is measured, in Unix milliseconds.
    pub start: u64,
    /// Whether any of its tasks has been placed.
    pub has_begun: bool,
    /// Since when no task of the step has a run, in Unix milliseconds; `None` if one has.
    pub idle_since: Option<u64>,
    /// Milliseconds that its tasks need on a part of the workers, so that a wide job does not come before all others
    /// while it could not have ended yet; `None` if that is not known.
    pub wave_time: Option<u64>,
}

/// Time in which a job is to end, in milliseconds from its acceptance or due time.
pub fn objective(queue: &Queue, spec: &JobSpec) -> u64 {
    ((spec.critical_path() as f64 * queue.stretch) as u64).saturating_add(queue.objective)
}

/// What the sort keys of all steps of a job have in common. It takes time in proportion to their number, so one is made
/// for all keys that are needed at once.
#[derive(Debug)]
pub struct JobOrder<'a> {
    queue: &'a Queue,
    spec: &'a JobSpec,
    objective: u64,
    /// Milliseconds of the longest chain that begins with each step.
    paths: Vec<u64>,
}

impl<'a> JobOrder<'a> {
    pub fn new(queue: &'a Queue, spec: &'a JobSpec) -> JobOrder<'a> {
        JobOrder {
            queue,
            spec,
            objective: objective(queue, spec),
            paths: spec.critical_paths(),
        }
    }

    /// Sort key at `now`, in Unix milliseconds, of a step of `turn`.
    ///
    /// Within a priority the earliest objective comes first. A job that can no longer meet its
    /// objective gives way to those that can, until it has to start to be of any use. Ordering by
    /// objective alone would finish every job of the backlog after a surge slightly too late. Overdue
    /// jobs run once the backlog is gone, but each gets a turn for one task in bounded time, and all its tasks come first in the
    /// end, since one task at a time would not end a wide job.
    ///
    /// A job that has begun is finished before a new one begins, unless it is overdue. The more tasks a
    /// job has, the longer it takes to place them all; if it gave way meanwhile, the room that it used
    /// would be wasted, and most of all that of the largest jobs.
    pub fn key(&self, turn: TurnState, now: u64, step: StepId) -> OrderKey {
        let start = turn.start;
        let is_long_running = self
            .spec
            .steps
            .get(usize::from(step.step))
            .is_some_and(|step| step.lasts);
        let objective = self.objective;
        let remaining = self.paths.get(usize::from(step.step)).copied().unwrap_or(0);
        let on_time_end = start.saturating_add(objective);
        let late_end = start.saturating_add(objective.saturating_mul(OVERDUE_FACTOR));
        let lead = remaining * LEAD_FACTOR;
        let long_overdue_from = turn.wave_time.map_or(u64::MAX, |wave_time| {
            let patience = objective.saturating_mul(LONG_OVERDUE_FACTOR);
            start.saturating_add(patience).saturating_add(wave_time)
        });
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
            _ if long_overdue_from <= now => (ObjectiveStatus::LongOverdue, start, u64::MAX),
            _ => match turn.idle_since {
                Some(since) if since + STARVED_TIME <= now => {
                    (ObjectiveStatus::Starved, since, long_overdue_from)
                }
                since => {
                    let check = since.unwrap_or(now).saturating_add(STARVED_TIME);
                    (
                        ObjectiveStatus::Overdue,
                        start,
                        check.min(long_overdue_from),
                    )
                }
            },
        };
        OrderKey {
            priority: self.queue.priority,
            is_long_running,
            is_new: !matches!(
                status,
                ObjectiveStatus::LongOverdue | ObjectiveStatus::Starved
            ) && (!turn.has_begun || is_long_running || status == ObjectiveStatus::Overdue),
            status,
            due,
            step,
            expires,
        }
    }
}
