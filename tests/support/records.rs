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

/// An invariant that the records show to be broken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    #[error("{host} is committed to {committed:?} at {time}, beyond {capacity:?}")]
    OverCapacity {
        host: String,
        time: u64,
        committed: Size,
        capacity: Size,
    },
    #[error("{host} runs {running} requests at {time}, beyond {slots} slots")]
    OverSlots {
        host: String,
        time: u64,
        running: usize,
        slots: usize,
    },
    #[error("{id} runs on {first} and, from {time}, on {second}")]
    TwoPlaces {
        id: String,
        time: u64,
        first: String,
        second: String,
    },
    #[error("{id} was started {starts} times from its beginning")]
    StartedAgain { id: String, starts: usize },
    #[error("checkpoint {checkpoint} was resumed {resumes} times")]
    ResumedAgain { checkpoint: String, resumes: usize },
    #[error("{id} resumed from {checkpoint}, which no attempt saved before")]
    UnknownCheckpoint { id: String, checkpoint: String },
    #[error("{host} was leaving for {late} ms when {id} arrived")]
    WorkAfterLeaving { host: String, id: String, late: u64 },
    #[error("{host} marked a violation: {kind} of {id:?}")]
    Marked {
        host: String,
        id: String,
        kind: String,
    },
}

pub type Result = std::result::Result<(), Breach>;

/// Records of all stand-ins of a test.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// By process; the order within a process is the order of what happened.
    processes: Vec<Vec<Record>>,
}

impl Records {
    pub fn new(processes: Vec<Vec<Record>>) -> Self {
        Records { processes }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.processes.iter().flatten()
    }

    pub fn of(&self, event: Event) -> impl Iterator<Item = &Record> {
        self.iter().filter(move |record| record.event == event)
    }

    /// Number of starts of the tasks and requests whose id begins with `prefix`.
    pub fn starts(&self, prefix: &str) -> usize {
        let starts = self.of(Event::Started);
        starts.filter(|start| start.id.starts_with(prefix)).count()
    }

    /// I1: the tasks that run on a worker at any time fit its capacity.
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
                return Err(Breach::OverCapacity {
                    host: record.host.clone(),
                    time: record.time,
                    committed,
                    capacity,
                });
            }
        }
        Ok(())
    }

    /// I1: the requests that run on an instance at any time fit its slots.
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
                return Err(Breach::OverSlots {
                    host: record.host.clone(),
                    time: record.time,
                    running: *count,
                    slots,
                });
            }
        }
        Ok(())
    }

    /// I2: no task or request runs twice at once, on any hosts of any processes.
    pub fn check_one_place(&self) -> Result {
        let mut runs: BTreeMap<&str, Vec<Run>> = BTreeMap::new();
        for run in self.runs() {
            runs.entry(&run.start.id).or_default().push(run);
        }
        for runs in runs.values_mut() {
            runs.sort_by_key(|run| run.start.time);
            for pair in runs.windows(2) {
                if pair[1].start.time < pair[0].end {
                    return Err(Breach::TwoPlaces {
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

    /// I6: a task of one of `classes` starts once; later starts resume from a checkpoint.
    pub fn check_at_most_once(&self, classes: &[&str]) -> Result {
        let starts = self
            .of(Event::Started)
            .filter(|record| {
                record
                    .class
                    .as_deref()
                    .is_some_and(|c| classes.contains(&c))
            })
            .filter(|record| record.checkpoint.is_none());
        for (id, starts) in count(starts.map(|record| record.id.as_str())) {
            if starts > 1 {
                let id = id.to_owned();
                return Err(Breach::StartedAgain { id, starts });
            }
        }
        self.check_resumed_once()
    }

    /// I6 for requests: each of `ids` starts at most once.
    pub fn check_requests_once(&self, ids: &[&str]) -> Result {
        let starts = self.of(Event::Started).map(|record| record.id.as_str());
        for (id, starts) in count(starts.filter(|id| ids.contains(id))) {
            if starts > 1 {
                let id = id.to_owned();
                return Err(Breach::StartedAgain { id, starts });
            }
        }
        Ok(())
    }

    /// I3: every checkpoint is resumed at most once, and only after an attempt saved it.
    pub fn check_resumed_once(&self) -> Result {
        let resumes = self.of(Event::Started);
        let resumes = resumes.filter_map(|record| record.checkpoint.as_deref());
        for (checkpoint, resumes) in count(resumes) {
            if resumes > 1 {
                return Err(Breach::ResumedAgain {
                    checkpoint: checkpoint.to_owned(),
                    resumes,
                });
            }
        }
        let saved: BTreeSet<&str> = self
            .of(Event::Ended)
            .filter(|record| record.state.as_deref() == Some("checkpointed"))
            .filter_map(|record| record.checkpoint.as_deref())
            .collect();
        for record in self.of(Event::Started) {
            if let Some(checkpoint) = &record.checkpoint
                && !saved.contains(checkpoint.as_str())
            {
                return Err(Breach::UnknownCheckpoint {
                    id: record.id.clone(),
                    checkpoint: checkpoint.clone(),
                });
            }
        }
        Ok(())
    }

    /// I7: a leaving host gets no work more than `grace` ms after it began to leave.
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
                        return Err(Breach::WorkAfterLeaving {
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

    /// No stand-in marked a violation.
    pub fn check_marks(&self) -> Result {
        match self.of(Event::Violation).next() {
            None => Ok(()),
            Some(record) => Err(Breach::Marked {
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
                        let open = runs[first..]
                            .iter_mut()
                            .find(|run| run.end == u64::MAX && run.start.is_same_attempt(record));
                        if let Some(run) = open {
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

/// Time that an attempt or a request ran.
#[derive(Debug)]
struct Run<'a> {
    start: &'a Record,
    end: u64,
}

impl Record {
    fn is_same_attempt(&self, other: &Record) -> bool {
        self.host == other.host && self.id == other.id && self.attempt == other.attempt
    }
}

fn count<'a>(keys: impl Iterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}
