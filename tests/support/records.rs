use std::collections::{BTreeMap, BTreeSet};

use jayfork::base::Size;
use serde::Deserialize;

/// One entry of a stand-in's records.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Record {
    /// Milliseconds since the Unix epoch.
    pub time: u64,
    pub host: String,
    pub event: Event,
    pub id: String,
    pub attempt: Option<u32>,
    pub token: Option<u64>,
    pub size: Option<Size>,
    pub state: Option<String>,
    pub class: Option<String>,
    pub checkpoint: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    Granted,
    Released,
    Started,
    Throttled,
    Ended,
    Refused,
    Violation,
    Leaving,
    Crashed,
    Restarted,
}

/// A violation of an invariant that the records show.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    #[error("{host} is committed to {committed:?} at {time}, beyond its capacity {capacity:?}")]
    OverCapacity {
        host: String,
        time: u64,
        committed: Size,
        capacity: Size,
    },
    #[error("{host} runs {running} requests at {time}, beyond its {slots} slots")]
    OverSlots {
        host: String,
        time: u64,
        running: usize,
        slots: usize,
    },
    #[error("{id} runs on {first} and from {time} on also on {second}")]
    ConcurrentRuns {
        id: String,
        time: u64,
        first: String,
        second: String,
    },
    #[error("{id} was started {starts} times without a checkpoint")]
    RepeatedStart { id: String, starts: usize },
    #[error("checkpoint {checkpoint} was resumed {resumes} times")]
    RepeatedResume { checkpoint: String, resumes: usize },
    #[error("{id} resumed from {checkpoint}, which no attempt saved before")]
    UnsavedCheckpoint { id: String, checkpoint: String },
    #[error("{id} reached {host} {late} ms after the host began to leave")]
    WorkAfterLeaving { host: String, id: String, late: u64 },
    #[error("{host} recorded a violation: {kind} of {id:?}")]
    RecordedViolation {
        host: String,
        id: String,
        kind: String,
    },
}

pub type Result = std::result::Result<(), InvariantViolation>;

/// Records of all stand-ins of a test.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Records of each process, in the order of the events.
    processes: Vec<Vec<Record>>,
}

impl Records {
    pub fn new(processes: Vec<Vec<Record>>) -> Self {
        Records { processes }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.processes.iter().flatten()
    }

    pub fn with_event(&self, event: Event) -> impl Iterator<Item = &Record> {
        self.iter().filter(move |record| record.event == event)
    }

    /// Returns the number of starts of tasks and requests whose id begins with `prefix`.
    pub fn count_starts(&self, prefix: &str) -> usize {
        let starts = self.with_event(Event::Started);
        starts.filter(|start| start.id.starts_with(prefix)).count()
    }

    /// Checks that the running tasks of a worker never exceed its capacity (I1).
    pub fn check_capacity(&self, capacity: Size) -> Result {
        let mut running: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
        for record in self.iter().filter(|record| record.size.is_some()) {
            let tasks = running.entry(&record.host).or_default();
            match record.event {
                Event::Started => tasks.push(record),
                Event::Ended => tasks.retain(|task| !task.is_same_attempt(record)),
                _ => continue,
            }
            let sizes = tasks.iter().filter_map(|task| task.size);
            let committed = sizes.fold(Size::ZERO, |sum, size| sum.saturating_add(&size));
            if !committed.fits(&capacity) {
                return Err(InvariantViolation::OverCapacity {
                    host: record.host.clone(),
                    time: record.time,
                    committed,
                    capacity,
                });
            }
        }
        Ok(())
    }

    /// Checks that the running requests of an instance never exceed its slots (I1).
    pub fn check_slots(&self, slots: usize) -> Result {
        let mut running: BTreeMap<&str, usize> = BTreeMap::new();
        for record in self.iter().filter(|record| record.size.is_none()) {
            let count = running.entry(&record.host).or_default();
            match record.event {
                Event::Started => *count += 1,
                Event::Ended => *count -= 1,
                _ => continue,
            }
            if *count > slots {
                return Err(InvariantViolation::OverSlots {
                    host: record.host.clone(),
                    time: record.time,
                    running: *count,
                    slots,
                });
            }
        }
        Ok(())
    }

    /// Checks that no task or request runs twice at the same time, on any hosts (I2).
    pub fn check_no_concurrent_runs(&self) -> Result {
        let mut runs: BTreeMap<&str, Vec<Run>> = BTreeMap::new();
        for run in self.runs() {
            runs.entry(&run.start.id).or_default().push(run);
        }
        for runs in runs.values_mut() {
            runs.sort_by_key(|run| run.start.time);
            for pair in runs.windows(2) {
                if pair[1].start.time < pair[0].end {
                    return Err(InvariantViolation::ConcurrentRuns {
                        id: pair[1].start.id.clone(),
                        time: pair[1].start.time,
                        first: pair[0].start.host.clone(),
                        second: pair[1].start.host.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    /// Checks that the tasks of `classes` start at most once without a checkpoint (I6).
    pub fn check_at_most_once(&self, classes: &[&str]) -> Result {
        let starts = self
            .with_event(Event::Started)
            .filter(|record| {
                record
                    .class
                    .as_deref()
                    .is_some_and(|c| classes.contains(&c))
            })
            .filter(|record| record.checkpoint.is_none());
        for (id, starts) in count_each(starts.map(|record| record.id.as_str())) {
            if starts > 1 {
                let id = id.to_owned();
                return Err(InvariantViolation::RepeatedStart { id, starts });
            }
        }
        self.check_resumed_at_most_once()
    }

    /// Checks that each request of `ids` starts at most once (I6).
    pub fn check_requests_at_most_once(&self, ids: &[&str]) -> Result {
        let starts = self
            .with_event(Event::Started)
            .map(|record| record.id.as_str());
        for (id, starts) in count_each(starts.filter(|id| ids.contains(id))) {
            if starts > 1 {
                let id = id.to_owned();
                return Err(InvariantViolation::RepeatedStart { id, starts });
            }
        }
        Ok(())
    }

    /// Checks that every checkpoint is resumed at most once, and only if an attempt saved it (I3).
    pub fn check_resumed_at_most_once(&self) -> Result {
        let resumes = self.with_event(Event::Started);
        let resumes = resumes.filter_map(|record| record.checkpoint.as_deref());
        for (checkpoint, resumes) in count_each(resumes) {
            if resumes > 1 {
                return Err(InvariantViolation::RepeatedResume {
                    checkpoint: checkpoint.to_owned(),
                    resumes,
                });
            }
        }
        let saved: BTreeSet<&str> = self
            .with_event(Event::Ended)
            .filter(|record| record.state.as_deref() == Some("checkpointed"))
            .filter_map(|record| record.checkpoint.as_deref())
            .collect();
        for record in self.with_event(Event::Started) {
            if let Some(checkpoint) = &record.checkpoint
                && !saved.contains(checkpoint.as_str())
            {
                return Err(InvariantViolation::UnsavedCheckpoint {
                    id: record.id.clone(),
                    checkpoint: checkpoint.clone(),
                });
            }
        }
        Ok(())
    }

    /// Checks that a leaving host gets no work later than `grace` ms after it began to leave (I7).
    pub fn check_leaving(&self, grace: u64) -> Result {
        let mut leaving: BTreeMap<&str, u64> = BTreeMap::new();
        for record in self.iter() {
            match record.event {
                Event::Leaving => {
                    leaving.insert(&record.host, record.time);
                }
                Event::Restarted => {
                    leaving.remove(record.host.as_str());
                }
                Event::Started | Event::Refused => {
                    let since = leaving.get(record.host.as_str());
                    let late = since.map_or(0, |since| record.time.saturating_sub(*since));
                    if late > grace && !record.id.is_empty() {
                        return Err(InvariantViolation::WorkAfterLeaving {
                            host: record.host.clone(),
                            id: record.id.clone(),
                            late,
                        });
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that no stand-in recorded a violation.
    pub fn check_no_violations(&self) -> Result {
        match self.with_event(Event::Violation).next() {
            None => Ok(()),
            Some(record) => Err(InvariantViolation::RecordedViolation {
                host: record.host.clone(),
                id: record.id.clone(),
                kind: record.state.clone().unwrap_or_default(),
            }),
        }
    }

    fn runs(&self) -> Vec<Run<'_>> {
        let mut runs: Vec<Run> = Vec::new();
        for process in &self.processes {
            let first = runs.len();
            for record in process {
                match record.event {
                    Event::Started => runs.push(Run {
                        start: record,
                        end: u64::MAX,
                    }),
                    Event::Ended => {
                        let unfinished = runs[first..]
                            .iter_mut()
                            .find(|run| run.end == u64::MAX && run.start.is_same_attempt(record));
                        if let Some(run) = unfinished {
                            run.end = record.time;
                        }
                    }
                    _ => {}
                }
            }
        }
        runs
    }
}

/// Start and end of a run of a task or request.
#[derive(Debug)]
struct Run<'a> {
    start: &'a Record,
    /// Time of the end; `u64::MAX` while it runs.
    end: u64,
}

impl Record {
    fn is_same_attempt(&self, other: &Record) -> bool {
        self.host == other.host && self.id == other.id && self.attempt == other.attempt
    }
}

/// Counts how often each key occurs.
fn count_each<'a>(keys: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}
