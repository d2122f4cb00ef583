//! A worker without its interface: fence, lease, runs and their ends.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::recorder::RunRecorder;
use super::task::Run;

/// Most ends in one report.
const MAX_ENDS: usize = 500;

#[derive(Debug, Clone, Copy)]
pub struct WorkerTiming {
    /// Longest lease in milliseconds.
    pub max_lease: u64,
    /// Longest time of a stop in milliseconds.
    pub stop_time: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Done,
    Stopped,
    Lapsed,
}

/// Why a worker refuses an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    Fence,
    Old,
    Late,
}

#[derive(Debug)]
pub struct End {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub ending: Ending,
    /// Whether the lease has ended runs since.
    has_lapsed_since: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub id: String,
    /// Unix time in milliseconds.
    pub born: u64,
    started: Instant,
    timing: WorkerTiming,
    rng: fastrand::Rng,
    recorder: Arc<RunRecorder>,
    /// Highest fencing token seen.
    token: u64,
    lease_end: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or ended here.
    closed: HashMap<String, u64>,
    ends: VecDeque<End>,
    last_end: u64,
}

impl Worker {
    pub fn new(
        id: String,
        born: u64,
        timing: WorkerTiming,
        rng: fastrand::Rng,
        recorder: Arc<RunRecorder>,
    ) -> Self {
        Worker {
            id,
            born,
            started: Instant::now(),
            timing,
            rng,
            recorder,
            token: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            closed: HashMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
        }
    }

    /// The worker's clock in milliseconds.
    pub fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Accepts an order with this fencing token, unless a higher one has been seen.
    pub fn check_token(&mut self, token: u64) -> Result<(), Refusal> {
        if token < self.token {
            return Err(Refusal::Fence);
        }
        self.token = token;
        Ok(())
    }

    /// Extends the lease of all runs; never shortens it.
    pub fn extend_lease(&mut self, until: u64) {
        let until = until.min(self.clock() + self.timing.max_lease);
        self.lease_end = self.lease_end.max(until);
    }

    /// Starts a run; returns false if it is there already.
    pub fn start(&mut self, task: &str, run: u64, spec: &str) -> Result<bool, Refusal> {
        self.end_lapsed();
        if self.closed.get(task).is_some_and(|closed| run <= *closed) {
            return Err(Refusal::Old);
        }
        let key = (task.to_owned(), run);
        if self.runs.contains_key(&key) {
            return Ok(false);
        }
        let mut here = self.runs.keys().filter(|(other, _)| other == task);
        if here.any(|(_, other)| *other > run) {
            return Err(Refusal::Old);
        }
        if self.lease_end <= self.clock() {
            return Err(Refusal::Late);
        }
        self.recorder.started(task, &self.id);
        self.runs.insert(key, Run::start(spec));
        Ok(true)
    }

    /// Begins to stop a run; returns the time that it takes if the run is there.
    pub fn stop(&mut self, task: &str, run: u64) -> Option<Duration> {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        let found = self.runs.get_mut(&(task.to_owned(), run))?;
        if std::mem::replace(&mut found.is_stopping, true) {
            return None;
        }
        Some(Duration::from_millis(
            self.rng.u64(0..=self.timing.stop_time),
        ))
    }

    pub fn run_mut(&mut self, task: &str, run: u64) -> Option<&mut Run> {
        self.runs.get_mut(&(task.to_owned(), run))
    }

    /// Ends a run that is there; returns whether it was.
    pub fn end(&mut self, task: &str, run: u64, ending: Ending) -> bool {
        if self.runs.remove(&(task.to_owned(), run)).is_none() {
            return false;
        }
        self.recorder.ended(task, run, ending == Ending::Done);
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        self.last_end += 1;
        self.ends.push_back(End {
            number: self.last_end,
            task: task.to_owned(),
            run,
            ending,
            has_lapsed_since: false,
        });
        true
    }

    /// Ends all runs if the lease has expired; returns whether it had.
    pub fn end_lapsed(&mut self) -> bool {
        if self.lease_end > self.clock() || self.runs.is_empty() {
            return false;
        }
        for end in &mut self.ends {
            end.has_lapsed_since = true;
        }
        for (task, run) in self.runs.keys().cloned().collect::<Vec<_>>() {
            self.end(&task, run, Ending::Lapsed);
        }
        true
    }

    pub fn forget_ends(&mut self, last_seen: u64) {
        while let Some(end) = self.ends.front().filter(|end| end.number <= last_seen) {
            if end.ending == Ending::Done && !end.has_lapsed_since {
                self.recorder.acknowledged(&end.task, end.run);
            }
            self.ends.pop_front();
        }
    }

    pub fn runs(&self) -> impl Iterator<Item = (&(String, u64), &Run)> {
        self.runs.iter()
    }

    /// The ends to report.
    pub fn ends(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().take(MAX_ENDS)
    }
}
