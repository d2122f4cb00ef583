//! Runs that were lost with a silent worker and may have succeeded or failed before. If their task has started again
//! when the worker reports such a success, only one of the two may count: an acknowledgement would confirm both.
//! A failure would count against the attempts of the task after a start that it forbids.

use std::collections::{BTreeMap, BTreeSet};

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
    /// Counts the changes of what is to be recorded, up to this one.
    change: u64,
}

/// The lost runs of one incarnation of a worker whose tasks have started again, as far as is known.
#[derive(Debug)]
struct SupersededRuns {
    /// `None` without such runs.
    incarnation: Option<u64>,
    runs: BTreeSet<(TaskKey, u64)>,
    /// Runs with lower numbers count as well: an earlier owner has not heard the worker.
    before: u64,
    /// When the newest of them was added or restored from a record, or the worker last reported.
    added: Millis,
}

impl SupersededRuns {
    fn has_result(&self, end: &EndReport) -> bool {
        is_result(end) && self.has_run(end.task, end.run)
    }

    fn has_run(&self, task: TaskKey, run: u64) -> bool {
        run < self.before || self.runs.contains(&(task, run))
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
    /// The newest change of `workers`, as in `LostRun`.
    change: u64,
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
    /// Changes of what is to be recorded, and those up to which the records are stored.
    changes: u64,
    stored: u64,
}

impl LostRuns {
    pub fn restore(&mut self, now: Millis, records: Vec<(Name, SupersededRecord)>) {
        for (id, record) in records {
            let runs = SupersededRuns {
                incarnation: record.incarnation,
                runs: record.runs.into_iter().collect(),
                before: record.before,
                added: now,
            };
            self.superseded.insert(id, runs);
        }
    }

    pub fn add(&mut self, worker: &Worker, task: TaskKey, run: u64) {
        let Some(incarnation) = worker.incarnation else {
            return;
        };
        self.changes += 1;
        self.unrecorded.insert(worker.id.clone());
        self.by_task.entry(task).or_default().push(LostRun {
            worker: worker.id.clone(),
            incarnation,
            run,
            change: self.changes,
        });
    }

    /// Whether a task must not start again yet: a later owner would not know of its lost run.
    pub fn awaits_record(&self, task: &TaskKey) -> bool {
        let lost = self.by_task.get(task).into_iter().flatten();
        let is_unheard = self.unheard.waiting.contains(task);
        lost.map(|lost| lost.change)
            .chain(is_unheard.then_some(self.unheard.change))
            .any(|change| change > self.stored)
    }

    /// Notes that the records of these changes are stored.
    pub fn note_stored(&mut self, changes: u64) {
        self.stored = self.stored.max(changes);
    }

    /// Notes that waiting tasks of earlier owners are going to start although these workers, which may have run
    /// them, have not reported.
    fn add_unheard(
        &mut self,
        first_run: u64,
        workers: impl IntoIterator<Item = Name>,
        tasks: impl IntoIterator<Item = TaskKey>,
    ) {
        self.changes += 1;
        self.unheard.change = self.changes;
        self.unheard.first_run = first_run;
        for worker in workers {
            self.unrecorded.insert(worker.clone());
            self.unheard.workers.insert(worker);
        }
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
                incarnation: None,
                runs: BTreeSet::new(),
                before: 0,
                added: now,
            });
            known.added = now;
            if known.incarnation < Some(incarnation) {
                known.incarnation = Some(incarnation);
                known.runs.clear();
            }
            if known.incarnation == Some(incarnation) {
                known.runs.insert((task, lost.run));
            }
        }
    }

    /// Forgets a lost run whose end is known before its task starts again.
    pub fn end_run(&mut self, end: &EndReport) {
        let Some(runs) = self.by_task.get_mut(&end.task) else {
            return;
        };
        let ended = runs.iter().filter(|lost| lost.run == end.run);
        self.unrecorded
            .extend(ended.map(|lost| lost.worker.clone()));
        runs.retain(|lost| lost.run != end.run);
        if runs.is_empty() {
            self.by_task.remove(&end.task);
        }
    }

    /// Forgets the lost runs of a job that has ended.
    pub fn end_job(&mut self, id: JobId) {
        let unrecorded = &mut self.unrecorded;
        self.by_task.retain(|task, runs| {
            let is_kept = task.step.job != id;
            if !is_kept {
                unrecorded.extend(runs.iter().map(|lost| lost.worker.clone()));
            }
            is_kept
        });
        self.unheard.waiting.retain(|task| task.step.job != id);
    }

    /// Forgets the lost runs of a task that has succeeded.
    pub fn end_task(&mut self, task: TaskKey) {
        let runs = self.by_task.remove(&task).unwrap_or_default();
        let workers = runs.into_iter().map(|lost| lost.worker);
        self.unrecorded.extend(workers);
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
        let is_other = |known: &u64| *known != report.start_time;
        if known.is_some_and(|known| known.incarnation.as_ref().is_some_and(is_other)) {
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
            running.any(|run| known.has_run(run.task, run.run))
        };
        let known = self.superseded.get(worker);
        if known.is_some_and(|known| !is_running(known)) {
            self.forget(worker);
        }
        let is_old = |run: &RunReport| run.run < self.unheard.first_run;
        if !report.running.iter().any(is_old) && self.unheard.workers.remove(worker) {
            self.unrecorded.insert(worker.clone());
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

    /// The records that have changed since the last call, and the changes that they contain.
    pub fn take_records(&mut self) -> (Vec<ShardRecord>, u64) {
        let unrecorded = std::mem::take(&mut self.unrecorded);
        let mut waiting: BTreeMap<&Name, Vec<(u64, TaskKey, u64)>> = BTreeMap::new();
        for (task, runs) in self.by_task.iter().filter(|_| !unrecorded.is_empty()) {
            for lost in runs.iter().filter(|lost| unrecorded.contains(&lost.worker)) {
                let entry = waiting.entry(&lost.worker).or_default();
                entry.push((lost.incarnation, *task, lost.run));
            }
        }
        let record = |id: &Name| {
            let waiting = waiting.get(id).map_or(&[][..], |runs| &runs[..]);
            ShardRecord::Superseded(id.clone(), self.record(id, waiting))
        };
        (unrecorded.iter().map(record).collect(), self.changes)
    }

    /// What later owners must know of a worker, with the lost runs whose tasks wait for their start.
    fn record(&self, id: &Name, waiting: &[(u64, TaskKey, u64)]) -> Option<SupersededRecord> {
        let known = self.superseded.get(id);
        let incarnations = waiting.iter().map(|(incarnation, ..)| *incarnation);
        let known_incarnation = known.and_then(|known| known.incarnation);
        let incarnation = incarnations.chain(known_incarnation).max();
        let known_runs = known.filter(|known| known.incarnation == incarnation);
        let known_runs = known_runs
            .into_iter()
            .flat_map(|known| &known.runs)
            .copied();
        let waiting = waiting
            .iter()
            .filter(|(other, ..)| Some(*other) == incarnation);
        let waiting = waiting.map(|(_, task, run)| (*task, *run));
        let runs: BTreeSet<(TaskKey, u64)> = known_runs.chain(waiting).collect();
        let is_unheard = self.unheard.workers.contains(id);
        let before = known.map_or(0, |known| known.before);
        let before = before.max(if is_unheard {
            self.unheard.first_run
        } else {
            0
        });
        (before > 0 || !runs.is_empty()).then(|| SupersededRecord {
            incarnation,
            before,
            runs: runs.into_iter().collect(),
        })
    }
}

fn is_result(end: &EndReport) -> bool {
    matches!(end.ending, Ending::Done | Ending::Failed)
}

/// Whether the runs of a step can succeed. Long-running ones only fail, which does not count against their attempts.
fn can_succeed(job: &Job, id: StepId) -> bool {
    let step = job.spec.steps.get(usize::from(id.step));
    step.is_some_and(|step| !step.lasts)
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
        // An isolated owner may have begun steps whose dependencies this owner does not know to be done.
        let steps = jobs.flat_map(|job| job.steps().map(move |step| (job, step)));
        let tasks: Vec<TaskKey> = steps
            .filter(|(job, step)| can_succeed(job, *step))
            .flat_map(|(job, step)| job.waiting_tasks(step))
            .collect();
        let first_run = run_number(self.owner.epoch, 0);
        self.lost_runs.add_unheard(first_run, workers, tasks);
    }

    /// The same for the tasks that a leaving worker may have run.
    pub(super) fn note_unheard_tasks(&mut self, worker: &Name, tasks: &[TaskKey]) {
        let is_covered = |task: &TaskKey| {
            let job = self.jobs.get(&task.step.job);
            job.is_some_and(|job| can_succeed(job, task.step))
        };
        let tasks: Vec<TaskKey> = tasks.iter().copied().filter(is_covered).collect();
        if tasks.is_empty() {
            return;
        }
        let first_run = run_number(self.owner.epoch, 0);
        let workers = [worker.clone()];
        self.lost_runs.add_unheard(first_run, workers, tasks);
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
