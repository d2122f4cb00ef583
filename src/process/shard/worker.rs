//! The owner's record of one worker and its runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::crashes::{SuspectRun, WorkerRestart};
use super::leases::RecordedWait;
use super::misses::{Misses, Silence};
use super::remaining::RecordedRuns;
use crate::base::{Millis, Name, Size};
use crate::request::job::{BestEffortGroup, Headroom, JobId, ServingTask, TaskKey};
use crate::version::{LeaseRecord, SuspectRecord};

/// Slowest allowed clock of a worker, in percent of true time.
const SLOWEST_CLOCK: u64 = 98;
/// Allowance for rounding between the clocks of the worker and the owner, in milliseconds.
const ROUNDING_ALLOWANCE: u64 = 150;

/// State of one run of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The start order is not answered yet.
    Starting,
    /// The worker has confirmed the start or lists the run.
    Active { since: Millis },
    /// The run is to be stopped; `sent` is when the stop order was last sent, and `confirmed` when
    /// the worker accepted it.
    Stopping {
        sent: Option<Millis>,
        confirmed: Option<Millis>,
    },
}

#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run; a later run of the task has a higher one.
    pub run: u64,
    pub state: RunState,
    /// Resources set aside on the worker.
    pub reserved: Size,
    /// Millicores that the task is expected to use.
    pub demand: u32,
    /// Whether it is a best-effort task.
    pub fills: bool,
    /// Whether it is a long-running task.
    pub lasts: bool,
    /// The program that the task runs; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Upper bound of the tail latency of a serving task in milliseconds; 0 for none.
    pub tail_bound: u32,
    pub started: Millis,
    /// Progress in percent; 100 for a long-running task that is working.
    pub percent: u8,
    /// When `percent` last rose.
    pub last_progress: Millis,
    /// Tail latency in milliseconds of a serving task; millicores in use of any other task.
    pub metric: Option<u64>,
    pub checkpoint: Option<Arc<str>>,
    /// Whether a stopped run saves its progress.
    pub saves: bool,
    /// Speed limit that was last ordered, in percent of full speed.
    pub speed_limit: u8,
    /// Since when the speed limit is 0.
    pub halted_since: Option<Millis>,
    /// Whether the run is not the current one of its task, so that it only has to end.
    pub is_orphaned: bool,
    /// Whether it was found in a report, so that its start is over.
    pub is_adopted: bool,
    /// Whether the worker has confirmed the start or listed the run.
    pub is_confirmed: bool,
}

/// One worker, over all its incarnations.
#[derive(Debug)]
pub struct Worker {
    pub id: Name,
    /// Where it gets its orders.
    pub address: SocketAddr,
    /// The address in its last entry. An entry of another program under its id must not redirect
    /// orders, so a new address is used once the worker does not answer at the old one.
    listed_address: SocketAddr,
    /// When `address` last changed. Where a call went that was sent in the same millisecond is unknown.
    address_since: Millis,
    /// Where it last reported, to this owner or to the one that recorded it.
    pub reported_address: Option<SocketAddr>,
    pub service: Name,
    /// `None` until its entry in the registry is known.
    pub data_centre: Option<Name>,
    pub capacity: Size,
    pub labels: Vec<Name>,
    /// Start of the incarnation that wrote its last entry, in Unix milliseconds; `None` if the entry doesn't give it.
    pub listed_start: Option<u64>,
    /// Whether the registry lists it as ready.
    pub is_ready: bool,
    /// Whether the registry lists it.
    pub is_listed: bool,
    /// Whether its last entry in the registry says that it is leaving.
    pub is_draining: bool,
    /// Whether the operator wants its data centre evacuated, so that it gets no starts.
    pub is_evacuated: bool,
    /// Whether its process has certainly ended: another worker answers at its address.
    pub has_left: bool,
    /// Whether its record is stored. A later owner asks every recorded worker for its runs.
    pub is_recorded: bool,
    /// Whether its record says that it is leaving.
    pub recorded_leaving: bool,
    /// Whether it was recovered from the records of an earlier owner.
    pub is_recovered: bool,
    /// Whether its record is waiting to be stored.
    pub is_recording: bool,
    /// Start of the incarnation that answered last, in Unix milliseconds.
    pub incarnation: Option<u64>,
    /// Newest reading of the worker's clock, in milliseconds, and when it arrived.
    clock: Option<(u64, Millis)>,
    /// Latest lease end that any order carried, on the worker's clock.
    pub lease_until: u64,
    /// When this owner last sent an order with a lease end.
    pub last_grant: Option<Millis>,
    /// Whether it may hold a lease that is longer than owners grant: it has restarted, and an order with
    /// a lease end on its earlier clock may have reached it.
    pub has_long_lease: bool,
    /// The newest record of its lease.
    pub recorded_lease: LeaseRecord,
    /// How long earlier owners have waited for it since the last that may have granted it a lease.
    pub waited_before: Millis,
    /// The newest record of how long it was waited for, until its deletion is stored.
    pub recorded_wait: Option<RecordedWait>,
    /// The newest record of the runs that it may still have while it is leaving.
    pub recorded_runs: Option<RecordedRuns>,
    /// Tasks that it may still run by the record of an earlier owner, until they are known.
    pub unheard: Option<Vec<TaskKey>>,
    /// Highest number of an end that has been applied to its job.
    pub processed: u64,
    /// Highest number of an end whose effects are recorded.
    pub acknowledged: u64,
    /// Number of the first listed end that must not be acknowledged.
    pub withheld: Option<u64>,
    pub runs: HashMap<TaskKey, Run>,
    /// Resources reserved by all runs.
    pub committed: Size,
    /// Resources reserved by runs that do not end by themselves.
    pub long_reserved: Size,
    /// Millicores that all runs together are expected to use.
    expected_use: i64,
    /// Whether it may have room now that it had not in the last placement pass.
    pub has_changed: bool,
    /// Start orders without an answer.
    pub pending_starts: usize,
    /// Whether any run is being stopped; cleared a moment after the last one has ended.
    pub has_stops: bool,
    /// Headroom for more best-effort tasks as of the last report, less those started since.
    pub headroom: Vec<Headroom>,
    /// Share of the worker that waiting best-effort tasks could use beside its serving tasks.
    pub sought: f64,
    /// Until when it gets long-running tasks only if no other worker has room, because its own were
    /// moved away.
    pub cleared_until: Millis,
    /// When the pending long poll was sent: the worker answers it once a run ends or its wait is
    /// over.
    pub long_poll: Option<Millis>,
    /// When the pending immediate poll was sent: the worker answers it at once.
    pub immediate_poll: Option<Millis>,
    /// When the next report is to be requested.
    pub next_poll: Millis,
    pub last_report: Option<Millis>,
    /// When it first reported to this owner. From then on it refuses the orders of earlier owners.
    pub first_report: Option<Millis>,
    /// When it first reported to this owner with all ends, so that its runs are known.
    pub first_full_report: Option<Millis>,
    /// Calls without an answer since the last report.
    pub unanswered: u32,
    pub misses: Misses,
    pub silence: Silence,
    /// Jobs with a run that failed here since a run last succeeded. A job counts once: if several
    /// of its runs fail, the job may be the cause rather than the worker.
    pub failed_jobs: Vec<JobId>,
    /// It gets no tasks until then, except long-running ones that fit nowhere else.
    pub suspect_until: Millis,
    /// Since when the tail latency of a serving task is over its bound while best-effort tasks run
    /// here.
    pub over_since: Option<Millis>,
    /// When a report was last used to learn the contention between its tasks.
    pub last_learned: Millis,
    /// The newest restart of its process.
    pub restart: Option<WorkerRestart>,
    /// Runs that were lost here soon after their start; it is not known yet whether the process ended.
    pub suspects: Vec<SuspectRun>,
    /// The newest record of them.
    pub recorded_suspects: Vec<SuspectRecord>,
    /// Tasks on trial here, which have not survived their start yet. Meanwhile no other task starts
    /// here.
    pub trials: Vec<TaskKey>,
}

impl Worker {
    pub fn new(id: Name, address: SocketAddr, service: Name, now: Millis) -> Self {
        Worker {
            id,
            address,
            listed_address: address,
            address_since: Millis(0),
            reported_address: None,
            service,
            data_centre: None,
            capacity: Size::ZERO,
            labels: Vec::new(),
            listed_start: None,
            is_ready: false,
            is_listed: false,
            is_draining: false,
            is_evacuated: false,
            has_left: false,
            is_recorded: false,
            recorded_leaving: false,
            is_recovered: false,
            is_recording: false,
            incarnation: None,
            clock: None,
            lease_until: 0,
            last_grant: None,
            has_long_lease: false,
            recorded_lease: LeaseRecord::default(),
            waited_before: Millis(0),
            recorded_wait: None,
            recorded_runs: None,
            unheard: None,
            processed: 0,
            acknowledged: 0,
            withheld: None,
            runs: HashMap::new(),
            committed: Size::ZERO,
            long_reserved: Size::ZERO,
            expected_use: 0,
            has_changed: true,
            pending_starts: 0,
            has_stops: false,
            headroom: Vec::new(),
            sought: 0.0,
            cleared_until: Millis(0),
            long_poll: None,
            immediate_poll: None,
            next_poll: now,
            last_report: None,
            first_report: None,
            first_full_report: None,
            unanswered: 0,
            misses: Misses::default(),
            silence: Silence::default(),
            failed_jobs: Vec::new(),
            suspect_until: Millis(0),
            over_since: None,
            last_learned: Millis(0),
            restart: None,
            suspects: Vec::new(),
            recorded_suspects: Vec::new(),
            trials: Vec::new(),
        }
    }

    /// Sets the address of its entry.
    pub fn list_at(&mut self, now: Millis, address: SocketAddr) {
        self.listed_address = address;
        if self.first_report.is_none() || self.unanswered > 0 {
            self.use_listed_address(now);
        }
    }

    /// Sends further orders to the address in its entry.
    pub fn use_listed_address(&mut self, now: Millis) {
        if self.address != self.listed_address {
            self.address = self.listed_address;
            self.address_since = now;
        }
    }

    /// Remembers where the report came from that was requested at `sent`.
    pub fn report_from(&mut self, sent: Millis) {
        if sent > self.address_since {
            self.reported_address = Some(self.address);
        }
    }

    /// Whether a call that was sent at `sent` went to the address where the worker last reported, and after
    /// that, so that the answer of another process means that the worker's has ended.
    pub fn was_asked_in_place(&self, sent: Millis) -> bool {
        let is_newer = self.last_report.is_none_or(|at| at <= sent);
        is_newer && sent > self.address_since && self.is_at(self.address)
    }

    /// Whether it last reported from this address, if it has reported.
    pub fn is_at(&self, address: SocketAddr) -> bool {
        self.reported_address.unwrap_or(self.address) == address
    }

    /// Whether a reading of the worker's clock is older than the newest one.
    pub fn is_stale(&self, clock: u64) -> bool {
        self.clock.is_some_and(|(seen, _)| clock < seen)
    }

    /// Keeps a reading of the worker's clock unless a newer one is known.
    pub fn set_clock(&mut self, clock: u64, now: Millis) {
        if !self.is_stale(clock) {
            self.clock = Some((clock, now));
        }
    }

    /// Resets what belongs to the earlier incarnation. Its runs stay on record until a report of
    /// the new one does not list them.
    pub fn begin_incarnation(&mut self, now: Millis, incarnation: u64, lease_until: u64) {
        if self.incarnation.is_some() {
            self.restart = Some(WorkerRestart {
                seen: now,
                last_report: self.last_report,
                silent_since: self.silence.since.unwrap_or(now),
            });
        }
        self.incarnation = Some(incarnation);
        self.clock = None;
        self.lease_until = lease_until;
        self.processed = 0;
        self.acknowledged = 0;
        self.withheld = None;
        self.failed_jobs.clear();
        self.suspect_until = Millis(0);
    }

    /// Whether its last entry is of the incarnation that reports, or of a later one. Another one may have another capacity
    /// or other labels, also if it has followed within milliseconds.
    pub fn is_described(&self) -> bool {
        let known = self.listed_start.zip(self.incarnation);
        known.is_none_or(|(listed, reported)| listed >= reported)
    }

    /// End, on the worker's clock, of a lease of `length` from now; `None` before its first answer and
    /// while it may get no lease.
    pub fn lease_end(&self, now: Millis, length: Millis) -> Option<u64> {
        let (clock, at) = self.clock.filter(|_| self.may_lease())?;
        let elapsed = now.since(at);
        Some(clock.saturating_add(elapsed.0).saturating_add(length.0))
    }

    /// End, on the worker's clock, of the lease that a start order carries: that of the last renewal, but
    /// at least half of `length` and at most `length` from now. A worker may have been lost since its last
    /// report, and a full lease would hold its other runs longer.
    pub fn start_lease_end(&self, now: Millis, length: Millis) -> Option<u64> {
        let least = self.lease_end(now, Millis(length.0 / 2))?;
        let most = self.lease_end(now, length)?;
        Some(self.lease_until.clamp(least, most))
    }

    /// Whether every lease that this owner granted has expired even if the worker's clock is as
    /// slow as allowed.
    pub fn has_expired(&self, now: Millis) -> bool {
        self.has_expired_for(now, Millis(0))
    }

    /// Whether that has been so for at least `time` on the worker's clock.
    pub fn has_expired_for(&self, now: Millis, time: Millis) -> bool {
        let least = self.lease_until.saturating_add(ROUNDING_ALLOWANCE + time.0);
        self.least_clock(now).is_some_and(|clock| clock > least)
    }

    /// What its clock shows by now even if it is as slow as allowed.
    fn least_clock(&self, now: Millis) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = now.since(at).0 * SLOWEST_CLOCK / 100;
        Some(clock.saturating_add(elapsed))
    }

    /// Whether a lease of `length` from now certainly ends after every lease that was granted.
    pub fn outlasts_leases(&self, now: Millis, length: Millis) -> bool {
        let clock = self.least_clock(now);
        clock.is_some_and(|clock| {
            clock.saturating_add(length.0 + ROUNDING_ALLOWANCE) >= self.lease_until
        })
    }

    /// Applies the clock in the answer to a start order that carried `lease_end`. A lease end that is
    /// further ahead of the clock than the `granted` length was meant for an earlier incarnation. The
    /// worker shortens such a lease to the `longest` one that it accepts.
    pub fn answer_start(
        &mut self,
        now: Millis,
        clock: u64,
        lease_end: u64,
        granted: Millis,
        longest: Millis,
    ) {
        if clock.saturating_add(granted.0 + ROUNDING_ALLOWANCE) >= lease_end {
            self.set_clock(clock, now);
            return;
        }
        self.clock = Some((clock, now));
        self.lease_until = clock.saturating_add(longest.0);
        self.has_long_lease = true;
    }

    /// Whether all runs here are known. A run that an earlier owner has stopped is listed neither as
    /// running nor as ended until `stop_time` is over, and takes room until then.
    pub fn is_settled(&self, now: Millis, stop_time: Millis) -> bool {
        let settled = |at: Millis| now >= at + stop_time;
        !self.is_recovered || self.first_full_report.is_some_and(settled)
    }

    /// Capacity that no run reserves; none at all if the runs reserve too much in any dimension, as after
    /// the capacity has shrunk.
    pub fn free(&self) -> Size {
        match self.committed.fits(&self.capacity) {
            true => self.capacity.saturating_sub(&self.committed),
            false => Size::ZERO,
        }
    }

    /// Adds a run; it replaces another run of the task.
    pub fn add_run(&mut self, task: TaskKey, run: Run) {
        self.committed = self.committed.saturating_add(&run.reserved);
        if run.lasts {
            self.long_reserved = self.long_reserved.saturating_add(&run.reserved);
        }
        self.expected_use += expected_use(run.demand, run.lasts);
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

    /// Subtracts a run from the totals.
    fn release(&mut self, run: &Run) {
        self.committed = self.committed.saturating_sub(&run.reserved);
        if run.lasts {
            self.long_reserved = self.long_reserved.saturating_sub(&run.reserved);
        }
        self.expected_use -= expected_use(run.demand, run.lasts);
        self.has_changed = true;
    }

    /// Marks a run to be stopped, unless it is being stopped already.
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

    /// Millicores that no run is expected to use; negative if the worker is oversubscribed.
    pub fn idle_millicores(&self) -> i64 {
        i64::from(self.capacity.processors) - self.expected_use
    }

    /// The serving tasks that are working, with their tail latencies.
    pub fn serving_tasks(&self) -> Vec<ServingTask> {
        self.runs
            .iter()
            .filter(|(_, run)| run.tail_bound > 0 && run.percent >= 100)
            .filter_map(|(task, run)| {
                Some(ServingTask {
                    job: task.step.job,
                    image: run.image.clone(),
                    tail: run.metric? as f64 / f64::from(run.tail_bound),
                })
            })
            .collect()
    }

    /// The best-effort tasks, summed up by image.
    pub fn best_effort_tasks(&self) -> Vec<BestEffortGroup> {
        let capacity = f64::from(self.capacity.processors.max(1));
        let mut by_image: Vec<BestEffortGroup> = Vec::new();
        for run in self.runs.values().filter(|run| run.fills) {
            let used_share = run.metric.unwrap_or(0) as f64 / capacity;
            let wanted_share = f64::from(run.demand) / capacity;
            match by_image.iter_mut().find(|other| other.image == run.image) {
                Some(other) => {
                    other.used += used_share;
                    other.wanted += wanted_share;
                }
                None => by_image.push(BestEffortGroup {
                    image: run.image.clone(),
                    used: used_share,
                    wanted: wanted_share,
                }),
            }
        }
        by_image
    }
}

/// Share of its declared processors that a long-running task is expected to use, in percent.
/// Serving tasks use 42 % of them on average and swing by half of that; this is a little above the
/// average.
const SERVING_USE_PERCENT: i64 = 55;

/// Millicores that a task with the declared `demand` is expected to use.
pub(super) fn expected_use(demand: u32, lasts: bool) -> i64 {
    let demand = i64::from(demand);
    match lasts {
        true => demand * SERVING_USE_PERCENT / 100,
        false => demand,
    }
}
