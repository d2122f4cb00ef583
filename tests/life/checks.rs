//! Invariants of the simulation, checked against what the workers record of their own runs.

use std::collections::BTreeMap;

use jayfork::base::{Attempt, Size, TaskId, Token};
use jayfork::connection::wire::TaskState;
use jayfork::version::{Batch, Outcome, Phase, Record, RequeueReason, TaskChange, TaskResult};

use super::worker::Run;
use super::world::{LOG_START, World};

impl World {
    /// Appends a batch to the log and records which attempts it shows as checkpointed or not run.
    pub fn append(&mut self, batch: Batch) {
        let offset = jayfork::base::Offset(self.log.len() as u64);
        let before: BTreeMap<TaskId, Phase> = self
            .ledger
            .iter()
            .map(|(id, task)| (id.clone(), task.phase.clone()))
            .collect();
        let changes = self
            .ledger
            .apply(offset, LOG_START + self.now.0, self.now, &batch);
        for record in &batch.records {
            let Record::Checkpointed { task, attempt, .. } = record else {
                continue;
            };
            let change = TaskChange::Pending {
                task: task.clone(),
                reason: RequeueReason::Checkpointed,
            };
            let current = before
                .get(task)
                .and_then(current_claim)
                .map(|(attempt, _)| attempt);
            if current == Some(*attempt) && changes.contains(&change) {
                self.checkpointed.insert((task.clone(), *attempt));
            }
        }
        for record in &batch.records {
            let not_run = match record {
                Record::Released {
                    task,
                    attempt,
                    token,
                } => before
                    .get(task)
                    .filter(|phase| current_claim(phase) == Some((*attempt, *token)))
                    .map(|_| (task.clone(), *attempt)),
                Record::CancelRequested { task } => match before.get(task) {
                    Some(Phase::Pending { next }) => Some((task.clone(), *next)),
                    _ => None,
                },
                _ => None,
            };
            // Another record about the task in the same batch may have ended the attempt first.
            let (Some(key), 1) = (not_run, self.count_records_of(&batch, record)) else {
                continue;
            };
            if self
                .ledger
                .task(&key.0)
                .is_some_and(|task| task.has_ended(key.1))
            {
                self.not_run.insert(key);
            }
        }
        self.log.push((self.now, batch));
    }

    /// Number of records in the batch that are about the same task as `record`.
    fn count_records_of(&self, batch: &Batch, record: &Record) -> usize {
        let is_same_task = |other: &&Record| record_task(other) == record_task(record);
        batch.records.iter().filter(is_same_task).count()
    }

    /// Checks what must hold at any time: no worker over its capacity, no customer over its quota,
    /// no task in two places, no attempt started twice or reported as not run although it ran, and
    /// no second run of an at-most-once task except from a checkpoint.
    pub fn check(&self) {
        let mut places: BTreeMap<TaskId, usize> = BTreeMap::new();
        for worker in &self.workers {
            let mut used = Size::ZERO;
            for (task, attempt) in worker.running() {
                let run = self
                    .runs
                    .iter()
                    .rfind(|run| run.task == task && run.attempt == attempt);
                used = used.saturating_add(&run.expect("a record").size);
                *places.entry(task).or_default() += 1;
            }
            assert!(
                used.fits(&worker.capacity),
                "{} is over capacity: {used:?}",
                worker.name
            );
        }
        for (task, places) in places {
            assert!(
                places == 1,
                "{task} runs in {places} places at {}",
                self.now
            );
        }
        let used = self.ledger.claimed_size("vltava");
        assert!(
            used.fits(&self.quotas["vltava"]),
            "over the quota: {used:?}"
        );
        let mut starts: BTreeMap<(&TaskId, Attempt), usize> = BTreeMap::new();
        for run in &self.runs {
            let key = (run.task.clone(), run.attempt);
            assert!(
                !self.not_run.contains(&key),
                "{key:?} ran but is reported as not run"
            );
            *starts.entry((&run.task, run.attempt)).or_default() += 1;
        }
        assert!(
            starts.values().all(|count| *count == 1),
            "an attempt started twice: {starts:?}"
        );
        for (id, task) in self
            .ledger
            .iter()
            .filter(|(_, task)| task.spec.at_most_once)
        {
            let runs: Vec<&Run> = self.runs.iter().filter(|run| run.task == *id).collect();
            let (last, earlier) = match runs.split_last() {
                Some((last, earlier)) => (last, earlier),
                None => continue,
            };
            let is_checkpointed = |run: &&Run| run.end == Some(TaskState::Checkpointed);
            assert!(
                earlier.iter().all(is_checkpointed),
                "{id} ran again without a checkpoint"
            );
            assert!(
                earlier.is_empty() || last.resumed,
                "{id} ran again from the start"
            );
            assert!(!task.spec.watcher);
        }
    }

    /// Checks what must hold after the faults have ended and all tasks had time to run: tasks are
    /// done or, if they are watchers, running; the result is unknown only if an at-most-once run
    /// was lost; and recorded checkpoints were resumed.
    pub fn check_end(&self) {
        for (id, task) in self.ledger.iter() {
            let runs: Vec<&Run> = self.runs.iter().filter(|run| run.task == *id).collect();
            let running = runs.iter().filter(|run| run.end.is_none()).count();
            let ends: Vec<_> = runs.iter().map(|run| (run.attempt, run.end)).collect();
            if let Phase::Done { result, .. } = &task.phase {
                assert_eq!(running, 0, "{id} is done and runs: {ends:?}");
                let has_expired = ends.iter().any(|(_, end)| *end == Some(TaskState::Lapsed));
                let may_be_lost = self.log.iter().flat_map(|(_, batch)| &batch.records).any(|record| {
                    matches!(record, Record::Ended { task, outcome: Outcome::Lost, .. } if task == id)
                        || matches!(record, Record::WorkerLost { .. })
                });
                let may_be_unknown = task.spec.at_most_once && (has_expired || may_be_lost);
                assert!(
                    *result != TaskResult::Unknown || may_be_unknown,
                    "{id}: {ends:?}"
                );
                let is_recorded =
                    |run: &Run| self.checkpointed.contains(&(id.clone(), run.attempt));
                for checkpointed in runs.iter().filter(|run| is_recorded(run)) {
                    let is_next = |run: &&Run| run.attempt > checkpointed.attempt && run.resumed;
                    let is_resumed = runs.iter().copied().any(|run| is_next(&run));
                    let is_cancelled = *result == TaskResult::Cancelled;
                    let is_excused = is_cancelled || may_be_unknown;
                    assert!(is_resumed || is_excused, "{id} did not resume: {ends:?}");
                }
            } else {
                let text = format!("{id} {:?} {ends:?} {}", task.phase, self.now);
                assert!(task.spec.watcher && running == 1, "not done: {text}");
            }
        }
    }
}

/// Attempt and token of the claim, if the task is claimed.
fn current_claim(phase: &Phase) -> Option<(Attempt, Token)> {
    match phase {
        Phase::Claimed { attempt, token, .. } => Some((*attempt, *token)),
        _ => None,
    }
}

/// The task that the record is about, if it is about one task.
fn record_task(record: &Record) -> Option<&TaskId> {
    match record {
        Record::Claimed { task, .. }
        | Record::Adopted { task, .. }
        | Record::Released { task, .. }
        | Record::Checkpointed { task, .. }
        | Record::Ended { task, .. }
        | Record::CancelRequested { task } => Some(task),
        Record::Accepted(spec) => Some(&spec.task),
        _ => None,
    }
}
