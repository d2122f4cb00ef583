//! Tasks on trial: a run of theirs was lost with its worker soon after its start, so that it may have
//! crashed the worker.

use serde::{Deserialize, Serialize};

use super::job::{Job, TaskState};
use super::spec::{StepId, TaskKey};
use crate::base::Millis;

#[derive(Debug, Clone, Default)]
pub struct Trial {
    /// Runs that have certainly crashed their workers. Their numbers are kept so that each counts
    /// once.
    crashed_runs: Vec<u64>,
    /// Number of them that have certainly caused the crash: their start was confirmed and not over.
    sure_crashes: usize,
    /// When the newest suspicion or proof came up.
    since: Millis,
    /// Runs of which it is not known yet whether they have crashed their workers.
    suspected: Vec<Suspicion>,
}

/// A run that may have crashed its worker.
#[derive(Debug, Clone, Copy)]
pub struct Suspicion {
    pub run: u64,
    /// Until when a proof may come.
    pub until: Millis,
    /// Until when the task waits for the proof even if it is not known to have crashed any other worker.
    pub held_until: Millis,
}

/// Runs of one task that have crashed their workers, as they are recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    pub turn: u32,
    pub step: u16,
    pub index: u16,
    pub runs: Vec<u64>,
}

impl Job {
    /// Puts a task on trial for a run that may have crashed its worker, or begins its trial again.
    pub fn suspect(&mut self, key: TaskKey, suspicion: Suspicion, now: Millis) {
        let trial = self.trials.entry(key).or_default();
        trial.since = now;
        if !trial.crashed_runs.contains(&suspicion.run) {
            trial.suspected.push(suspicion);
        }
    }

    /// Ends the suspicion of a run.
    pub fn clear_suspicion(&mut self, key: TaskKey, run: u64) {
        if let Some(trial) = self.trials.get_mut(&key) {
            trial.suspected.retain(|suspicion| suspicion.run != run);
        }
    }

    /// Whether a task is to wait for the proof that a run of it has crashed its worker.
    pub fn awaits_proof(&self, key: TaskKey, now: Millis) -> bool {
        let Some(trial) = self.trials.get(&key) else {
            return false;
        };
        let suspected = trial.suspected.iter();
        let open = suspected.clone().filter(|open| now < open.until).count();
        let has_several = open > 0 && open + trial.crashed_runs.len() > 1;
        has_several || suspected.clone().any(|open| now < open.held_until)
    }

    /// Ends a trial; returns whether crashes were counted in it.
    pub fn end_trial(&mut self, key: TaskKey) -> bool {
        let ended = self.trials.remove(&key);
        ended.is_some_and(|trial| !trial.crashed_runs.is_empty())
    }

    /// Since when a task is on trial.
    pub fn trial_since(&self, key: TaskKey) -> Option<Millis> {
        self.trials.get(&key).map(|trial| trial.since)
    }

    /// Counts a run that has crashed its worker, unless it was counted before; returns the number of
    /// crashes and how many of them are sure, 0 for a task that is done.
    pub fn count_crash(
        &mut self,
        key: TaskKey,
        run: u64,
        is_sure: bool,
        now: Millis,
    ) -> (usize, usize) {
        let is_open = self
            .task(key)
            .is_some_and(|task| task.state != TaskState::Done);
        if !is_open {
            return (0, 0);
        }
        self.clear_suspicion(key, run);
        let trial = self.trials.entry(key).or_default();
        if !trial.crashed_runs.contains(&run) {
            trial.crashed_runs.push(run);
            trial.sure_crashes += usize::from(is_sure);
            trial.since = now;
        }
        (trial.crashed_runs.len(), trial.sure_crashes)
    }

    /// The crashes that count, in the form that is recorded.
    pub fn crashes(&self) -> Vec<TaskCrashes> {
        let counted = self.trials.iter().filter(|(key, trial)| {
            let is_open = |key| {
                self.task(key)
                    .is_some_and(|task| task.state != TaskState::Done)
            };
            !trial.crashed_runs.is_empty() && is_open(**key)
        });
        let recorded = counted.map(|(key, trial)| TaskCrashes {
            turn: key.step.turn,
            step: key.step.step,
            index: key.index,
            runs: trial.crashed_runs.clone(),
        });
        recorded.collect()
    }

    /// Restores the crashes that an earlier owner recorded. Its record doesn't tell which are sure.
    pub fn restore_crashes(&mut self, crashes: &[TaskCrashes], now: Millis) {
        for saved in crashes {
            let step = StepId {
                job: self.id,
                turn: saved.turn,
                step: saved.step,
            };
            let key = TaskKey {
                step,
                index: saved.index,
            };
            for run in &saved.runs {
                self.count_crash(key, *run, false, now);
            }
        }
    }
}
