//! What the owner knows of one worker.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::base::{Millis, Name, Size};
use crate::request::job::{BestEffortGroup, Headroom, JobId, ServingTask, TaskKey};

/// Slowest allowed clock of a worker, in percent of true time.
const SLOWEST_CLOCK: u64 = 98;
/// Allowance for rounding between the two clocks, in milliseconds.
const LAPSE_MARGIN: u64 = 150;

/// State of one run of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The order is under way.
    Starting,
    /// The worker has confirmed the start or lists the run.
    Active { since: Millis },
    /// A stop is due or under way; `confirmed` is when the worker answered it.
    Stopping {
        sent: Option<Millis>,
        confirmed: Option<Millis>,
    },
}

#[derive(Debug, Clone)]
pub struct Run {
    pub run: u64,
    pub state: RunState,
    /// Set aside on the worker.
    pub reserved: Size,
    /// Millicores that the task is expected to use.
    pub demand: u32,
    pub fills: bool,
    pub lasts: bool,
    /// What the task runs; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Tail bound of a serving task in milliseconds; 0 for none.
    pub tail_bound: u32,
    pub started: Millis,
    pub percent: u8,
    /// When the percentage last rose.
    pub progressed: Millis,
    pub figure: Option<u64>,
    pub checkpoint: Option<Arc<str>>,
    /// Whether a stop saves the progress.
    pub saves: bool,
    /// Pace that was last ordered, in percent.
    pub pace: u8,
    /// Since when the pace is 0.
    pub halted: Option<Millis>,
    /// Whether the run is not the current one of its task and only has to end.
    pub is_stray: bool,
}

/// One worker, over its lives.
#[derive(Debug)]
pub struct Worker {
    pub id: Name,
    pub address: SocketAddr,
    pub service: Name,
    pub capacity: Size,
    pub labels: Vec<Name>,
    /// Whether the registry lists it as ready.
    pub is_ready: bool,
    pub is_listed: bool,
    /// Whether its last entry in the registry says that it is leaving.
    pub is_draining: bool,
    /// Whether it announced that it leaves, left the registry and refuses connections.
    pub has_left: bool,
    /// Whether its record is stored, so that a later owner asks it for its runs.
    pub is_recorded: bool,
    /// Whether its record says that it is leaving.
    pub recorded_leaving: bool,
    /// Whether an earlier owner used it.
    pub is_inherited: bool,
    /// Whether its record is on its way.
    pub is_recording: bool,
    /// Start of the life that answered last.
    pub born: Option<u64>,
    /// The worker's clock and when it was read.
    clock: Option<(u64, Millis)>,
    /// Latest lease end that any order carried, on the worker's clock.
    pub until: u64,
    /// Highest end that has been taken into the jobs' state.
    pub processed: u64,
    /// Highest end that is recorded.
    pub noted: u64,
    pub runs: HashMap<TaskKey, Run>,
    pub committed: Size,
    /// Millicores that the runs are expected to use.
    used: i64,
    /// Whether a run is to be stopped.
    pub has_stops: bool,
    /// Room for more filling tasks as of the last report, less what was started since.
    pub margins: Vec<Headroom>,
    /// Reports under way: when the waiting one and the immediate one were sent.
    pub waiting_poll: Option<Millis>,
    pub quick_poll: Option<Millis>,
    /// When the next report is due.
    pub poll_at: Millis,
    pub last_report: Option<Millis>,
    /// Calls without an answer since the last one with.
    pub misses: u32,
    /// Jobs of which a run failed here since the last run that was done. Several runs of one job tell of
    /// the job, not of the worker.
    pub failed_jobs: Vec<JobId>,
    pub suspect_until: Millis,
    /// Since when a serving task is over its bound beside filling tasks.
    pub harmed: Option<Millis>,
    /// When the contention of its tasks was last learned.
    pub learned: Millis,
}

impl Worker {
    pub fn new(id: Name, address: SocketAddr, service: Name, now: Millis) -> Self {
        Worker {
            id,
            address,
            service,
            capacity: Size::ZERO,
            labels: Vec::new(),
            is_ready: false,
            is_listed: false,
            is_draining: false,
            has_left: false,
            is_recorded: false,
            recorded_leaving: false,
            is_inherited: false,
            is_recording: false,
            born: None,
            clock: None,
            until: 0,
            processed: 0,
            noted: 0,
            runs: HashMap::new(),
            committed: Size::ZERO,
            used: 0,
            has_stops: false,
            margins: Vec::new(),
            waiting_poll: None,
            quick_poll: None,
            poll_at: now,
            last_report: None,
            misses: 0,
            failed_jobs: Vec::new(),
            suspect_until: Millis(0),
            harmed: None,
            learned: Millis(0),
        }
    }

    /// Whether a clock reading is older than one that was seen.
    pub fn is_stale(&self, clock: u64) -> bool {
        self.clock.is_some_and(|(seen, _)| clock < seen)
    }

    pub fn set_clock(&mut self, clock: u64, now: Millis) {
        if !self.is_stale(clock) {
            self.clock = Some((clock, now));
        }
    }

    /// Forgets what belongs to an earlier life; its runs are missing in the reports of this one.
    pub fn begin_life(&mut self, born: u64, until: u64) {
        self.born = Some(born);
        self.clock = None;
        self.until = until;
        self.processed = 0;
        self.noted = 0;
        self.failed_jobs.clear();
        self.suspect_until = Millis(0);
    }

    /// End of a lease of `length` from now on the worker's clock; `None` before its first answer.
    pub fn lease_end(&self, now: Millis, length: Millis) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at).0 + length.0)
    }

    /// Whether every lease that this owner gave has run out by the slowest allowed clock.
    pub fn has_lapsed(&self, now: Millis) -> bool {
        let Some((clock, at)) = self.clock else {
            return false;
        };
        let passed = now.since(at).0 * SLOWEST_CLOCK / 100;
        clock + passed > self.until + LAPSE_MARGIN
    }

    pub fn free(&self) -> Size {
        self.capacity.saturating_sub(&self.committed)
    }

    pub fn add_run(&mut self, task: TaskKey, run: Run) {
        self.committed = self.committed.saturating_add(&run.reserved);
        self.used += expected_use(run.demand, run.lasts);
        self.has_stops |= matches!(run.state, RunState::Stopping { .. });
        if let Some(replaced) = self.runs.insert(task, run) {
            self.release(&replaced);
        }
    }

    pub fn remove_run(&mut self, task: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.release(&run);
        Some(run)
    }

    fn release(&mut self, run: &Run) {
        self.committed = self.committed.saturating_sub(&run.reserved);
        self.used -= expected_use(run.demand, run.lasts);
    }

    /// Lets a run end by an order, unless one is under way.
    pub fn stop_run(&mut self, task: TaskKey) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if !matches!(run.state, RunState::Stopping { .. }) {
            run.state = RunState::Stopping {
                sent: None,
                confirmed: None,
            };
        }
        self.has_stops = true;
    }

    /// Millicores that nothing here is expected to use.
    pub fn idle(&self) -> i64 {
        i64::from(self.capacity.processors) - self.used
    }

    /// Serving tasks at work, with their tails.
    pub fn serving(&self) -> Vec<ServingTask> {
        self.runs
            .iter()
            .filter(|(_, run)| run.tail_bound > 0 && run.percent >= 100)
            .filter_map(|(task, run)| {
                Some(ServingTask {
                    job: task.step.job,
                    image: run.image.clone(),
                    tail: run.figure? as f64 / f64::from(run.tail_bound),
                })
            })
            .collect()
    }

    /// Filling tasks by image.
    pub fn filling(&self) -> Vec<BestEffortGroup> {
        let capacity = f64::from(self.capacity.processors.max(1));
        let mut filling: Vec<BestEffortGroup> = Vec::new();
        for run in self.runs.values().filter(|run| run.fills) {
            let used = run.figure.unwrap_or(0) as f64 / capacity;
            let wanted = f64::from(run.demand) / capacity;
            match filling.iter_mut().find(|other| other.image == run.image) {
                Some(other) => {
                    other.used += used;
                    other.wanted += wanted;
                }
                None => filling.push(BestEffortGroup {
                    image: run.image.clone(),
                    used,
                    wanted,
                }),
            }
        }
        filling
    }
}

/// Serving tasks use some 0.42 of what they declare and swing by half of that; the share counted
/// here lies a little above the mean.
const SERVING_USE: i64 = 55;

/// Millicores that a task is expected to use of those it declares.
pub(super) fn expected_use(demand: u32, lasts: bool) -> i64 {
    let demand = i64::from(demand);
    match lasts {
        true => demand * SERVING_USE / 100,
        false => demand,
    }
}
