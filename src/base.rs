//! Types shared by all other modules: names, time, sizes and identifiers.

use std::cell::Cell;
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable name of a host, customer, class, service or data centre.
pub type Name = Arc<str>;

/// Failure to parse a type of this module.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("task id {0:?} is not of the form customer/job/index")]
    TaskId(String),
}

pub type Result<T> = std::result::Result<T, Error>;

/// A time on the process's monotonic clock, or a duration, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Resources that a worker has or a task needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Millicores.
    #[serde(default)]
    pub processors: u32,
    /// MiB.
    #[serde(default)]
    pub memory: u32,
    /// Whole devices.
    #[serde(default)]
    pub accelerators: u32,
}

impl Size {
    pub const ZERO: Size = Size::new(0, 0, 0);

    pub const fn new(processors: u32, memory: u32, accelerators: u32) -> Self {
        Size {
            processors,
            memory,
            accelerators,
        }
    }

    /// Whether this size is at most `limit` in every dimension.
    pub fn fits(&self, limit: &Size) -> bool {
        self.processors <= limit.processors
            && self.memory <= limit.memory
            && self.accelerators <= limit.accelerators
    }

    /// Share of `need` that this size has, in thousandths, in the dimension that lacks most.
    pub fn covered_share(&self, need: &Size) -> u32 {
        let share = |has: u32, need: u32| match need {
            0 => 1_000,
            need => (u64::from(has.min(need)) * 1_000 / u64::from(need)) as u32,
        };
        share(self.processors, need.processors)
            .min(share(self.memory, need.memory))
            .min(share(self.accelerators, need.accelerators))
    }

    pub fn saturating_sub(&self, other: &Size) -> Size {
        Size {
            processors: self.processors.saturating_sub(other.processors),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    pub fn saturating_add(&self, other: &Size) -> Size {
        Size {
            processors: self.processors.saturating_add(other.processors),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The larger of the two in each dimension.
    pub fn max(&self, other: &Size) -> Size {
        Size {
            processors: self.processors.max(other.processors),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Multiplies by `percent` / 100; accelerators are whole devices and stay as they are.
    pub fn scale(&self, percent: u32) -> Size {
        let scaled = |n: u32| (u64::from(n) * u64::from(percent) / 100).min(u32::MAX.into()) as u32;
        Size {
            processors: scaled(self.processors),
            memory: scaled(self.memory),
            accelerators: self.accelerators,
        }
    }
}

/// Identifies one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    pub customer: Name,
    pub job: Name,
    pub index: u32,
}

impl TaskId {
    pub fn new(customer: impl Into<Name>, job: impl Into<Name>, index: u32) -> Self {
        TaskId {
            customer: customer.into(),
            job: job.into(),
            index,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.customer, self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::TaskId(text.to_owned());
        let mut parts = text.split('/');
        let (Some(customer), Some(job), Some(index), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed());
        };
        if customer.is_empty() || job.is_empty() {
            return Err(malformed());
        }
        let index = index.parse().map_err(|_| malformed())?;
        Ok(TaskId::new(customer, job, index))
    }
}

/// Fencing token of a lease. Each new lease on a resource has a larger one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);

/// Position of a record in a stream of the log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

/// Ordinal of an attempt to run a task, from 0.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

impl Attempt {
    pub fn next(self) -> Attempt {
        Attempt(self.0 + 1)
    }
}

/// Value of the field `ran` of a refusal: whether the request or task may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It has not run and will not run.
    NotRun,
    /// It may have run, may be running, or may still run.
    Unknown,
}

/// Ranks `candidates` for `key`, best first, by rendezvous hashing.
///
/// The order depends only on the names, so all hosts with the same candidates agree on it.
pub fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut scored: Vec<(u64, &Name)> = candidates
        .into_iter()
        .map(|name| (score(key, name), name))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// The candidate that `rank` puts first, found without sorting.
pub fn top_ranked<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a Name>,
) -> Option<&'a Name> {
    candidates
        .into_iter()
        .max_by(|a, b| score(key, a).cmp(&score(key, b)).then_with(|| b.cmp(a)))
}

/// Rendezvous hash of a candidate; the zero byte separates `key` from `name`.
fn score(key: &str, name: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A count of which only some values are logged, so that a flood of events makes few lines.
#[derive(Debug, Default)]
pub struct LoggedCount(Cell<u64>);

impl LoggedCount {
    /// Adds to the count; returns it if it has reached another power of two, which is when it is to be logged.
    pub fn add(&self, added: u64) -> Option<u64> {
        let before = self.0.get();
        let after = before + added;
        self.0.set(after);
        (before.checked_ilog2() != after.checked_ilog2()).then_some(after)
    }
}
