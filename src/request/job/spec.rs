//! The description of a job that a client account submits, and the ids of its parts.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{Job, Step, Task, Turn};
use crate::base::{Name, Size};

/// Most tasks in one job, over all steps; a larger job is refused.
const MAX_TASKS: u64 = 20_000;
/// Part of a service's processors that a single job may need without counting as wide.
const WIDE_SHARE: f64 = 0.25;
/// Longest payload of a job, in bytes.
const MAX_PAYLOAD: usize = 4_000;

/// Why a job was refused or an id or name could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("job id {0:?} is not 16 hexadecimal digits")]
    JobId(String),
    #[error("task name {0:?} is not of the form job.turn.step.index")]
    TaskName(String),
    #[error("the job has no steps")]
    NoSteps,
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    #[error("step {step} depends on step {after}, which does not come before it")]
    Dependency { step: usize, after: u16 },
    #[error("the job has {0} tasks, more than {MAX_TASKS}")]
    TooLarge(u64),
    #[error("the payload has {0} bytes, more than {MAX_PAYLOAD}")]
    Payload(usize),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Id of a job, chosen by the client.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let parsed = u64::from_str_radix(text, 16).ok().filter(|_| valid);
        // The id is printed in lower case, and task names contain it. An id with upper-case digits
        // would not equal its printed form, so it is refused.
        match parsed {
            Some(id) if JobId(id).to_string() == text => Ok(JobId(id)),
            _ => Err(Error::JobId(text.to_owned())),
        }
    }
}

/// One step of one turn of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    pub job: JobId,
    pub turn: u32,
    pub step: u16,
}

/// One task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    pub step: StepId,
    pub index: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.turn, self.step)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::TaskName(text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(malformed);
        let job: JobId = next()?.parse()?;
        let turn = next()?.parse().map_err(|_| malformed())?;
        let step = next()?.parse().map_err(|_| malformed())?;
        let index = next()?.parse().map_err(|_| malformed())?;
        if parts.next().is_some() {
            return Err(malformed());
        }
        let step = StepId { job, turn, step };
        Ok(TaskKey { step, index })
    }
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is passed to each task; the scheduler does not interpret it.
    pub payload: Arc<str>,
    pub steps: Vec<StepSpec>,
    /// Due time of the first turn in Unix milliseconds; 0 if the job does not repeat.
    pub first_run: u64,
    /// Time from one turn to the next, in milliseconds.
    pub interval: u64,
    /// Number of turns (occurrences of a repeating job); 0 runs the steps once, immediately.
    pub turns: u32,
}

/// One step: a number of tasks with the same requirements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    pub count: u16,
    pub size: Size,
    /// Declared run time of a task in milliseconds; often far from the real one.
    pub runtime: u32,
    /// Indices of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks form a gang: all of them are placed at the same time, or none.
    pub gang: bool,
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Name>,
    /// Rack that holds the data of the tasks; preferred, not required.
    pub rack: Option<Name>,
    /// Most tasks of the step on one worker; 0 means no limit.
    pub spread: u16,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    pub lasts: bool,
    /// Whether the tasks save checkpoints of their progress.
    pub saves: bool,
    pub image: Option<Name>,
    /// Upper bound of a serving task's tail latency in milliseconds; 0 for tasks without one.
    pub tail_bound: u32,
    /// Whether the tasks are best-effort: they use only processor time that other tasks leave idle.
    pub fills: bool,
    /// Most tasks of the step that the scheduler may take away at the same time; `None` for no
    /// limit.
    pub absent: Option<u16>,
}

impl StepSpec {
    /// Work of one task by its declared run time, in processor-seconds.
    pub fn work(&self) -> f64 {
        f64::from(self.size.processors) * f64::from(self.runtime.max(1)) / 1_000_000.0
    }

    /// What a worker reserves for one task; best-effort tasks reserve no processors.
    pub fn reserved(&self) -> Size {
        match self.fills {
            true => Size::new(0, self.size.memory, self.size.accelerators),
            false => self.size,
        }
    }
}

impl JobSpec {
    /// Validates the job by itself, without regard to queues or other jobs.
    ///
    /// # Errors
    ///
    /// The first violation found.
    pub fn check(&self) -> Result<()> {
        if self.payload.len() > MAX_PAYLOAD {
            return Err(Error::Payload(self.payload.len()));
        }
        if self.steps.is_empty() {
            return Err(Error::NoSteps);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Error::NoTasks(index));
            }
            let invalid = step
                .after
                .iter()
                .find(|after| usize::from(**after) >= index);
            if let Some(&after) = invalid {
                return Err(Error::Dependency { step: index, after });
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(Error::TooLarge(tasks));
        }
        Ok(())
    }

    /// Memory of the job as an owner holds it, in bytes, with one turn.
    pub fn memory(&self) -> u64 {
        let steps = self.steps.iter().map(|step| {
            let names = [&step.label, &step.rack, &step.image];
            let names: usize = names.into_iter().flatten().map(|name| name.len()).sum();
            size_of::<StepSpec>() + names + 2 * step.after.len()
        });
        let size = size_of::<Job>() + self.payload.len() + steps.sum::<usize>();
        size as u64 + self.turn_memory()
    }

    /// Memory of a turn as an owner holds it, in bytes.
    pub fn turn_memory(&self) -> u64 {
        let steps = self.steps.iter().map(|step| {
            let tasks = usize::from(step.count) * size_of::<Task>();
            size_of::<Step>() + tasks
        });
        (size_of::<Turn>() + steps.sum::<usize>()) as u64
    }

    /// Declared run time in milliseconds of the longest chain of dependent steps.
    pub fn critical_path(&self) -> u64 {
        self.critical_paths().into_iter().max().unwrap_or(0)
    }

    /// Declared run time in milliseconds of the longest chain of dependent steps that begins with each step. A step
    /// depends on earlier ones only.
    pub fn critical_paths(&self) -> Vec<u64> {
        let mut paths = vec![0; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            paths[index] += u64::from(step.runtime);
            let path = paths[index];
            for after in &step.after {
                if let Some(before) = paths[..index].get_mut(usize::from(*after)) {
                    *before = path.max(*before);
                }
            }
        }
        paths
    }

    /// Milliseconds that the tasks of a turn need on the part of `processors` (millicores) that a job may use without
    /// counting as wide, by their declared run times. Long-running tasks are left out.
    pub fn wave_time(&self, processors: u64) -> u64 {
        let steps = self.steps.iter().filter(|step| !step.lasts);
        let work: f64 = steps.map(|step| step.work() * f64::from(step.count)).sum();
        (work * 1_000_000.0 / (processors.max(1) as f64 * WIDE_SHARE)) as u64
    }

    /// Whether any step is long-running.
    pub fn has_long_running_step(&self) -> bool {
        self.steps.iter().any(|step| step.lasts)
    }
}
