//! Runs that were lost with a silent worker and may have succeeded or failed before. If their task has started again
//! when the worker reports such a success, only one of the two may count: an acknowledgement would confirm both.
//! A failure would count against the attempts of the task after a start that it forbids.

use std::collections::{BTreeMap, BTreeSet};

use super::jobs::waiting_steps;
use super::shard::Shard;
use super::starts::run_number;
use super::worker::Worker;
use crate::base::{Millis, Name};
use crate::connection::{EndReport, RunReport, WorkerReport};
use crate::request::job::{Ending, Job, JobId, StepId, TaskKey};
use crate::version::{ShardRecord, SupersededRecord};

/// Ends that a worker lists at most while a success among them is not acknowledged; with more of them, its report
/// would soon not name all ends.
const MAX_WITHHELD: usize = 250;
/// How long the lost runs of a worker that does not report are remembered, in milliseconds.
const RETENTION: Millis = Millis(600_000);

/// A lost run whose task has not started again.
#[derive(Debug)]
struct LostRun {
    worker: Name,
    /// Incarnation of the worker that got it.
    incarnation: u64,
    run: u64,
}

/// The lost runs of one incarnation of a worker whose tasks have started again.
#[derive(Debug)]
struct SupersededRuns {
    incarnation: u64,
    runs: BTreeSet<(TaskKey, u64)>,
    /// When the newest of them was added or restored from a record, or the worker last reported.
    added: Millis,
}

impl SupersededRuns {
    fn has_result(&self, end: &EndReport) -> bool {
        is_result(end) && self.runs.contains(&(end.task, end.run))
    }
}

/// Workers that did not report to this owner before it started the tasks of earlier owners again.
#[derive(Debug, Default)]
struct Unheard {
    workers: BTreeSet<Name>,
    /// Lowest number of this owner's runs.
    first_run: u64,
    /// Tasks that such a worker may have run, until they start or end.
    waiting: BTreeSet<TaskKey>,
    /// Those of them that have started again.
    restarted: BTreeSet<TaskKey>,
}

impl Unheard {
    fn has_result(&self, worker: &Name, end: &EndReport) -> bool {
        is_result(end)
            && end.run < self.first_run
            && self.restarted.contains(&end.task)
            && self.workers.contains(worker)
    }
}

#[derive(Debug, Default)]
pub(super) struct LostRuns {
    by_task: BTreeMap<TaskKey, Vec<LostRun>>,
    superseded: BTreeMap<Name, SupersededRuns>,
    /// Workers whose superseded runs have changed since they were recorded.
    unrecorded: BTreeSet<Name>,
    unheard: Unheard,
}

impl LostRuns {
    pub fn restore(&mut self, now: Millis, records: Vec<(Name, SupersededRecord)>) {
        for (id, record) in records {
            let runs = SupersededRuns {
                incarnation: record.incarnation,
                runs: record.runs.into_iter().collect(),
                added: now,
            };
            self.superseded.insert(id, runs);
        }
    }

    pub fn add(&mut self, worker: &Worker, task: TaskKey, run: u64) {
        let Some(incarnation) = worker.incarnation else {
            return;
        };
        self.by_task.entry(task).or_default().push(LostRun {
            worker: worker.id.clone(),
            incarnation,
            run,
        });
    }

    /// Notes that waiting tasks of earlier owners are going to start although these workers, which may have run
    /// them, have not reported.
    fn add_unheard(
        &mut self,
        first_run: u64,
        workers: impl IntoIterator<Item = Name>,
        tasks: impl IntoIterator<Item = TaskKey>,
    ) {
        self.unheard.first_run = first_run;
        self.unheard.workers.extend(workers);
        self.unheard.waiting.extend(tasks);
    }

    /// Notes that a task starts again.
    pub fn supersede(&mut self, now: Millis, task: TaskKey) {
        if self.unheard.waiting.remove(&task) {
            self.unheard.restarted.insert(task);
        }
        for lost in self.by_task.remove(&task).unwrap_or_default() {
            let incarnation = lost.incarnation;
            let entry = self.superseded.entry(lost.worker.clone());
            let known = entry.or_insert_with(|| SupersededRuns {
                incarnation,
                runs: BTreeSet::new(),
                added: now,
            });
            known.added = now;
            if known.incarnation < incarnation {
                known.incarnation = incarnation;
                known.runs.clear();
            }
            if known.incarnation == incarnation {
                known.runs.insert((task, lost.run));
                self.unrecorded.insert(lost.worker);
            }
        }
    }

    /// Forgets a lost run whose end is known before its task starts again.
    pub fn end_run(&mut self, end: &EndReport) {
        if let Some(runs) = self.by_task.get_mut(&end.task) {
            runs.retain(|lost| lost.run != end.run);
        }
    }

    /// Forgets the lost runs of a job that has ended.
    pub fn end_job(&mut self, id: JobId) {
        self.by_task.retain(|task, _| task.step.job != id);
        self.unheard.waiting.retain(|task| task.step.job != id);
    }

    /// Forgets the lost runs of a task that has succeeded.
    pub fn end_task(&mut self, task: TaskKey) {
        self.by_task.remove(&task);
        self.unheard.waiting.remove(&task);
    }

    /// Number of the first listed end that must not be acknowledged. A later end of a run with its lease
    /// shows that the worker has given up what was not acknowledged before.
    pub fn first_withheld(
        &mut self,
        now: Millis,
        worker: &Name,
        report: &WorkerReport,
    ) -> Option<u64> {
        let known = self.superseded.get(worker);
        if known.is_some_and(|known| known.incarnation != report.start_time) {
            self.forget(worker);
        }
        let ends = report.ended.iter();
        let lapses = ends.clone().filter(|end| end.ending == Ending::Lapsed);
        let last_lapse = lapses.map(|end| end.number).max().unwrap_or(0);
        let successes = ends.filter(|end| self.is_superseded(worker, end));
        let numbers: Vec<u64> = successes.map(|end| end.number).collect();
        if numbers.is_empty() && report.lists_all_ends() {
            self.settle(worker, report);
        }
        // They are forgotten only if the worker does not report.
        if let Some(known) = self.superseded.get_mut(worker) {
            known.added = now;
        }
        let is_short = report.ended.len() <= MAX_WITHHELD;
        let withheld = numbers.into_iter().filter(|number| *number > last_lapse);
        withheld.min().filter(|_| is_short)
    }

    /// Forgets what no later report of a worker can show, which has listed all its ends and no success of a
    /// superseded run.
    fn settle(&mut self, worker: &Name, report: &WorkerReport) {
        let is_running = |known: &SupersededRuns| {
            let mut running = report.running.iter();
            running.any(|run| known.runs.contains(&(run.task, run.run)))
        };
        let known = self.superseded.get(worker);
        if known.is_some_and(|known| !is_running(known)) {
            self.forget(worker);
        }
        let is_old = |run: &RunReport| run.run < self.unheard.first_run;
        if !report.running.iter().any(is_old) {
            self.unheard.workers.remove(worker);
        }
    }

    /// Whether this is the success or failure of a run whose task has started again.
    pub fn is_superseded(&self, worker: &Name, end: &EndReport) -> bool {
        let known = self.superseded.get(worker);
        known.is_some_and(|known| known.has_result(end)) || self.unheard.has_result(worker, end)
    }

    /// Forgets the workers that have not reported for long.
    pub fn expire(&mut self, now: Millis) {
        let is_old = |known: &SupersededRuns| now.since(known.added) >= RETENTION;
        let superseded = self.superseded.iter();
        let old: Vec<Name> = superseded
            .filter(|(_, known)| is_old(known))
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            self.forget(&id);
        }
    }

    fn forget(&mut self, worker: &Name) {
        self.superseded.remove(worker);
        self.unrecorded.insert(worker.clone());
    }

    /// The records that have changed since the last call.
    pub fn take_records(&mut self) -> Vec<ShardRecord> {
        let unrecorded = std::mem::take(&mut self.unrecorded);
        let record = |id: Name| {
            let known = self.superseded.get(&id);
            let value = known.map(|known| SupersededRecord {
                incarnation: known.incarnation,
                runs: known.runs.iter().copied().collect(),
            });
            ShardRecord::Superseded(id, value)
        };
        unrecorded.into_iter().map(record).collect()
    }
}

fn is_result(end: &EndReport) -> bool {
    matches!(end.ending, Ending::Done | Ending::Failed)
}

impl Shard {
    /// Remembers that the waiting tasks of these jobs are going to start although some workers have not reported.
    pub(super) fn note_unheard(
        &mut self,
        workers: BTreeSet<Name>,
        jobs: impl IntoIterator<Item = JobId>,
    ) {
        if workers.is_empty() {
            return;
        }
        let jobs = jobs.into_iter().filter_map(|id| self.jobs.get(&id));
        let steps = jobs.flat_map(|job| waiting_steps(job).into_iter().map(move |id| (job, id)));
        let can_succeed = |(job, id): &(&Job, StepId)| {
            let spec = job.spec.steps.get(usize::from(id.step));
            spec.is_some_and(|spec| !spec.lasts)
        };
        let tasks = steps
            .filter(can_succeed)
            .flat_map(|(job, id)| job.waiting_tasks(id));
        let first_run = run_number(self.owner.epoch, 0);
        self.lost_runs.add_unheard(first_run, workers, tasks);
    }

    /// The same for the tasks that a leaving worker may have run.
    pub(super) fn note_unheard_tasks(&mut self, worker: &Name, tasks: &[TaskKey]) {
        let first_run = run_number(self.owner.epoch, 0);
        let workers = [worker.clone()];
        let tasks = tasks.iter().copied();
        let open = tasks.filter(|task| self.jobs.contains_key(&task.step.job));
        self.lost_runs.add_unheard(first_run, workers, open);
    }

    /// Remembers a run that is lost with a silent worker, if it may have succeeded before.
    pub(super) fn note_lost(&mut self, worker_id: &Name, task: TaskKey) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        // The task of a job that has ended does not start again.
        let is_open = self.jobs.contains_key(&task.step.job);
        let run = worker.runs.get(&task).filter(|_| is_open);
        if let Some(run) = run.filter(|run| !run.lasts && !worker.has_left) {
            self.lost_runs.add(worker, task, run.run);
        }
    }

    /// Finds out which of the listed ends must not be acknowledged.
    pub(super) fn withhold_ends(&mut self, now: Millis, worker_id: &Name, report: &WorkerReport) {
        let withheld = self.lost_runs.first_withheld(now, worker_id, report);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            if withheld.is_some() && worker.withheld.is_none() {
                tracing::warn!(worker = %worker_id, end = withheld, "a lost run has ended, but its task has started again; its end is not acknowledged");
            }
            worker.withheld = withheld;
        }
    }
}

impl Worker {
    /// Highest number of an end that may be acknowledged once its effects are recorded.
    pub(super) fn acknowledgeable(&self) -> u64 {
        let limit = self.withheld.map_or(u64::MAX, |end| end.saturating_sub(1));
        self.processed.min(limit)
    }
}
