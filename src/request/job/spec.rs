//! What a client account asks for.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::base::{Name, Size};

/// Tasks of one job, over all steps; a larger job is refused.
const MAX_TASKS: u64 = 20_000;
/// Length of a job's payload in bytes.
const MAX_PAYLOAD: usize = 4_000;

/// Why a job or an id was not accepted.
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

/// Id of a job, chosen by its client.
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
        // Upper case would not survive a round trip, and tasks carry the id in their names.
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

/// One task: a member of a step.
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

/// A whole job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that each task receives.
    pub payload: Arc<str>,
    pub steps: Vec<StepSpec>,
    /// Due time of the first turn in Unix milliseconds; 0 without `turns`.
    pub first_run: u64,
    /// Milliseconds from one turn to the next.
    pub interval: u64,
    /// How often the steps run at set times; 0 runs them once, at once.
    pub turns: u32,
}

/// One step: tasks of the same shape.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    pub count: u16,
    pub size: Size,
    /// Declared run time of a task in milliseconds; often far off.
    pub runtime: u32,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    pub gang: bool,
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Name>,
    /// Rack where the data is.
    pub rack: Option<Name>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub spread: u16,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub lasts: bool,
    /// Whether tasks save their progress.
    pub saves: bool,
    pub image: Option<Name>,
    /// Upper bound of the tail latency of a serving task in milliseconds; 0 for none.
    pub tail_bound: u32,
    /// Whether the tasks take only processors that the others leave unused.
    pub fills: bool,
    /// Tasks of the step that the scheduler may take away at once; `None` if there is no bound.
    pub absent: Option<u16>,
}

impl StepSpec {
    /// What a worker sets aside for one task.
    pub fn reserved(&self) -> Size {
        match self.fills {
            true => Size::new(0, self.size.memory, self.size.accelerators),
            false => self.size,
        }
    }
}

impl JobSpec {
    /// Checks what can be judged without any state.
    ///
    /// # Errors
    ///
    /// The first fault found.
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
            let late = step
                .after
                .iter()
                .find(|after| usize::from(**after) >= index);
            if let Some(&after) = late {
                return Err(Error::Dependency { step: index, after });
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(Error::TooLarge(tasks));
        }
        Ok(())
    }

    /// Declared time in milliseconds of the longest chain of dependent steps.
    pub fn chain(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .filter_map(|after| ends.get(usize::from(*after)))
                .max()
                .copied()
                .unwrap_or(0);
            ends.push(start + u64::from(step.runtime));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Declared time in milliseconds of the longest chain that begins with a step.
    pub fn chain_from(&self, step: u16) -> u64 {
        let first = usize::from(step);
        let mut ends: Vec<Option<u64>> = vec![None; self.steps.len()];
        for (index, spec) in self.steps.iter().enumerate().skip(first) {
            let before = spec
                .after
                .iter()
                .filter_map(|after| ends[usize::from(*after)]);
            let start = match index == first {
                true => Some(0),
                false => before.max(),
            };
            ends[index] = start.map(|start| start + u64::from(spec.runtime));
        }
        ends.into_iter().flatten().max().unwrap_or(0)
    }

    /// Whether some step has no end of its own.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasts)
    }
}
