//! Invariants of the model, from the workers' own records.

use std::collections::BTreeMap;

use jayfork::base::{Attempt, Size, TaskId, Token};
use jayfork::connection::wire::TaskState;
use jayfork::version::{Batch, Outcome, Phase, Record, RequeueReason, TaskChange, TaskResult};

use super::worker::Run;
use super::world::{START, World};

impl World {
    /// Appends a batch and notes the attempts that it shows as not run.
    pub fn append(&mut self, batch: Batch) {
        let offset = jayfork::base::Offset(self.log.len() as u64);
        let before: BTreeMap<TaskId, Phase> = self
            .ledger
            .iter()
            .map(|(id, task)| (id.clone(), task.phase.clone()))
            .collect();
        let changes = self
            .ledger
            .apply(offset, START + self.now.0, self.now, &batch);
        for record in &batch.records {
            let Record::Checkpointed { task, attempt, .. } = record else {
                continue;
            };
            let change = TaskChange::Pending {
                task: task.clone(),
                reason: RequeueReason::Checkpointed,
            };
            let current = before.get(task).and_then(claim).map(|(attempt, _)| attempt);
            if current == Some(*attempt) && changes.contains(&change) {
                self.saved.insert((task.clone(), *attempt));
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
                    .filter(|phase| claim(phase) == Some((*attempt, *token)))
                    .map(|_| (task.clone(), *attempt)),
                Record::CancelRequested { task } => match before.get(task) {
                    Some(Phase::Pending { next }) => Some((task.clone(), *next)),
                    _ => None,
                },
                _ => None,
            };
            // Counts only if no other record of the batch ended the attempt first.
            let (Some(key), 1) = (not_run, self.records_of(&batch, record)) else {
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

    fn records_of(&self, batch: &Batch, record: &Record) -> usize {
        let same = |other: &&Record| record_task(other) == record_task(record);
        batch.records.iter().filter(same).count()
    }

    /// What must hold at any time, from the workers' own records.
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
            let (last, former) = match runs.split_last() {
                Some((last, former)) => (last, former),
                None => continue,
            };
            let is_saved = |run: &&Run| run.end == Some(TaskState::Checkpointed);
            assert!(
                former.iter().all(is_saved),
                "{id} ran again without a checkpoint"
            );
            assert!(
                former.is_empty() || last.resumed,
                "{id} ran again from the start"
            );
            assert!(!task.spec.watcher);
        }
    }

    /// What must hold after the faults have ended and all tasks had time to run.
    pub fn check_end(&self) {
        for (id, task) in self.ledger.iter() {
            let runs: Vec<&Run> = self.runs.iter().filter(|run| run.task == *id).collect();
            let live = runs.iter().filter(|run| run.end.is_none()).count();
            let ends: Vec<_> = runs.iter().map(|run| (run.attempt, run.end)).collect();
            if let Phase::Done { result, .. } = &task.phase {
                assert_eq!(live, 0, "{id} is done and runs: {ends:?}");
                let is_lost = ends.iter().any(|(_, end)| *end == Some(TaskState::Lapsed));
                let is_unsure = self.log.iter().flat_map(|(_, batch)| &batch.records).any(|record| {
                    matches!(record, Record::Ended { task, outcome: Outcome::Lost, .. } if task == id)
                        || matches!(record, Record::WorkerLost { .. })
                });
                let may_be_unknown = task.spec.at_most_once && (is_lost || is_unsure);
                assert!(
                    *result != TaskResult::Unknown || may_be_unknown,
                    "{id}: {ends:?}"
                );
                let is_recorded = |run: &Run| self.saved.contains(&(id.clone(), run.attempt));
                for saved in runs.iter().filter(|run| is_recorded(run)) {
                    let is_next = |run: &&Run| run.attempt > saved.attempt && run.resumed;
                    let is_resumed = runs.iter().copied().any(|run| is_next(&run));
                    let is_cancelled = *result == TaskResult::Cancelled;
                    let is_excused = is_cancelled || may_be_unknown;
                    assert!(is_resumed || is_excused, "{id} did not resume: {ends:?}");
                }
            } else {
                let text = format!("{id} {:?} {ends:?} {}", task.phase, self.now);
                assert!(task.spec.watcher && live == 1, "not done: {text}");
            }
        }
    }
}

fn claim(phase: &Phase) -> Option<(Attempt, Token)> {
    match phase {
        Phase::Claimed { attempt, token, .. } => Some((*attempt, *token)),
        _ => None,
    }
}

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
