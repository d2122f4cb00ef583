//! Which runs a leaving worker may still have. It gets no more starts, so their number only falls, and a
//! later owner that cannot reach the worker waits for these tasks alone.

use super::journal::{Commit, Journal};
use super::reports::STOP_ALLOWANCE;
use super::shard::{Now, Shard};
use super::worker::Worker;
use crate::base::{Millis, Name};
use crate::connection::WorkerReport;
use crate::request::job::{TaskKey, TaskState};
use crate::version::ShardRecord;

/// The newest record of a leaving worker's runs.
#[derive(Debug)]
pub struct RecordedRuns {
    tasks: Vec<TaskKey>,
    /// Whether its deletion is being stored.
    is_ending: bool,
}

impl Shard {
    /// Restores the records of the runs that leaving workers may still have.
    pub(super) fn restore_remaining(&mut self, remaining: Vec<(Name, Vec<TaskKey>)>) {
        for (id, tasks) in remaining {
            let Some(worker) = self.workers.get_mut(&id) else {
                self.journal.push(&ShardRecord::Remaining(id, None), None);
                continue;
            };
            worker.recorded_runs = Some(RecordedRuns {
                tasks: tasks.clone(),
                is_ending: false,
            });
            worker.unheard = Some(tasks);
        }
        self.update_unheard();
    }

    /// Collects the tasks that may run on a worker that this owner has not heard from.
    fn update_unheard(&mut self) {
        let tasks = self
            .workers
            .iter()
            .filter_map(|worker| worker.unheard.as_ref());
        self.unheard_tasks = tasks.flatten().copied().collect();
    }

    /// Whether the task may have a run that is not the current one and has not ended yet.
    pub(super) fn may_run_elsewhere(&self, task: &TaskKey) -> bool {
        self.orphaned_tasks.contains(task) || self.unheard_tasks.contains(task)
    }

    /// Removes the runs that the worker reports from those that it may have.
    pub(super) fn hear_remaining(&mut self, worker_id: &Name, report: &WorkerReport) {
        let worker = self.workers.get_mut(worker_id);
        let Some(unheard) = worker.and_then(|worker| worker.unheard.as_mut()) else {
            return;
        };
        let running = report.running.iter().map(|run| run.task);
        let ended = report.ended.iter().map(|end| end.task);
        let heard: Vec<TaskKey> = running.chain(ended).collect();
        unheard.retain(|task| !heard.contains(task));
        self.update_unheard();
    }

    /// Lets the tasks start again whose runs on leaving workers have certainly ended: the worker has reported
    /// and does not list them, or can hold no lease any more.
    pub(super) fn release_unheard(&mut self, now: Now) {
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let is_over = |worker: &&Worker| {
            worker.unheard.is_some()
                && (worker.is_settled(now.steady, stop_time)
                    || worker.has_left
                    || self.has_waited(now.steady, worker))
        };
        let over = self.workers.iter().filter(is_over);
        let ids: Vec<Name> = over.map(|worker| worker.id.clone()).collect();
        if ids.is_empty() {
            return;
        }
        let mut released: Vec<TaskKey> = Vec::new();
        for id in &ids {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            let is_unheard = !worker.has_left && worker.first_full_report.is_none();
            let tasks = worker.unheard.take().unwrap_or_default();
            if is_unheard {
                self.note_unheard_tasks(id, &tasks);
            }
            released.extend(tasks);
        }
        self.update_unheard();
        for task in released {
            let job = self.jobs.get_mut(&task.step.job);
            let Some(entry) = job.and_then(|job| job.task_mut(task)) else {
                continue;
            };
            entry.has_run = true;
            // It may have been found on another worker, to which it was moved before the record changed.
            let is_waiting = entry.state == TaskState::Waiting;
            tracing::info!(%task, is_waiting, "a leaving worker does not run the task any more");
            if is_waiting {
                self.requeue(now, task);
            }
        }
    }
}

impl Worker {
    /// Whether a later owner may take it for closed: it must get no starts until the record is deleted.
    pub(super) fn is_closed(&self) -> bool {
        self.recorded_runs.is_some()
    }

    /// Lets it get starts again once the deletion of the record is stored. A newer record may have followed.
    pub(super) fn reopen(&mut self) {
        self.recorded_runs.take_if(|recorded| recorded.is_ending);
        self.has_changed = true;
    }

    /// Records the runs that it may still have while it is leaving. If it is ready again, the record is
    /// deleted.
    pub(super) fn record_remaining(
        &mut self,
        now: Millis,
        stop_time: Millis,
        journal: &mut Journal,
    ) {
        if !self.is_draining {
            let recorded = self.recorded_runs.as_mut();
            if let Some(recorded) = recorded.filter(|recorded| !recorded.is_ending) {
                recorded.is_ending = true;
                let commit = Commit::Reopened(self.id.clone());
                journal.push(&ShardRecord::Remaining(self.id.clone(), None), Some(commit));
            }
            return;
        }
        // An earlier owner's record holds until the runs are known or have certainly ended.
        let is_heard = self.first_report.is_some() && self.is_settled(now, stop_time);
        let is_known = is_heard || self.is_recovered && self.unheard.is_none() && self.is_closed();
        if !is_known || !self.is_recorded {
            return;
        }
        let mut tasks: Vec<TaskKey> = self.runs.keys().copied().collect();
        tasks.sort_unstable();
        let is_current = |recorded: &RecordedRuns| !recorded.is_ending && recorded.tasks == tasks;
        if self.recorded_runs.as_ref().is_some_and(is_current) {
            return;
        }
        let record = ShardRecord::Remaining(self.id.clone(), Some(tasks.clone()));
        journal.push(&record, None);
        self.recorded_runs = Some(RecordedRuns {
            tasks,
            is_ending: false,
        });
    }
}
