//! What a worker's report means for the attempts that it lists.

use super::book::TrackedWorker;
use super::dispatch::{DispatchAction, DispatchView, Dispatcher, URGENT_PRIORITY, size_key};
use super::interference::{Mitigation, RunningTask, TaskKind};
use super::pairs::ClassKey;
use crate::base::{Millis, Name, TaskId};
use crate::connection::Command;
use crate::connection::wire::{Ack, TaskEntry, TaskState, WorkerReport};
use crate::version::{Ledger, Outcome, Phase, Record, Task};

/// Time between two identical commands for one attempt.
const COMMAND_RETRY: Millis = Millis(2_000);
/// An attempt that has run for this long shows that its worker can start tasks.
const SETTLED: Millis = Millis(10_000);

impl Dispatcher {
    pub(super) fn reconcile(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        tracked: &mut TrackedWorker,
        entry: &TaskEntry,
        out: &mut Vec<DispatchAction>,
    ) {
        let Ok(id) = entry.task.parse::<TaskId>() else {
            tracing::warn!(task = entry.task, worker = %tracked.view.name, "unreadable task id");
            return;
        };
        let Some(task) = ledger.task(&id) else {
            // The task was forgotten, or the ledger has not read that far.
            tracked.hold(now, &id, entry, None);
            return;
        };
        if let Some(usage) = entry.usage {
            self.estimator.observe(now, &size_key(task), usage);
        }
        if task.has_ended(entry.attempt) {
            self.settle(now, tracked, &id, entry, out);
            return;
        }
        let is_claimed = matches!(&task.phase, Phase::Claimed { attempt, worker, .. }
            if *attempt == entry.attempt && *worker == tracked.view.name);
        if is_claimed && entry.state.has_ended() {
            tracked.remove(&id);
            match entry.state {
                TaskState::Succeeded => self.quarantine.succeeded(&tracked.view.name, &id),
                TaskState::Failed => self.quarantine.failed(now, &tracked.view.name, &id),
                _ => {}
            }
            let record = end_record(&id, task, entry);
            self.finish(&id, (entry.attempt, tracked.lease.token), record, out);
            return;
        }
        tracked.hold(now, &id, entry, Some(task));
        if tracked.has_run(now, &id, SETTLED) {
            self.quarantine.succeeded(&tracked.view.name, &id);
        }
        if is_claimed && task.cancelled {
            tracked.command(now, &id, Command::Stop, COMMAND_RETRY, out);
        }
    }

    /// Handles an attempt that the log shows as ended.
    fn settle(
        &mut self,
        now: Millis,
        tracked: &mut TrackedWorker,
        id: &TaskId,
        entry: &TaskEntry,
        out: &mut Vec<DispatchAction>,
    ) {
        if entry.state.has_ended() {
            tracked.remove_attempt(id, entry.attempt);
            tracked.acks.push(Ack {
                task: entry.task.clone(),
                attempt: entry.attempt,
            });
            return;
        }
        tracked.hold(now, id, entry, None);
        tracked.command(now, id, Command::Stop, COMMAND_RETRY, out);
    }

    /// Acts on at most one task of a worker whose service is slow or whose tasks use too much.
    pub(super) fn relieve(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        tracked: &mut TrackedWorker,
        report: &WorkerReport,
        out: &mut Vec<DispatchAction>,
    ) {
        let worker = tracked.view.name.clone();
        let slow = view
            .slow_services
            .get(&worker)
            .map_or(&[] as &[Name], Vec::as_slice);
        self.placer.observe(now, &mut tracked.view, slow);
        let measured = Millis(now.0.saturating_sub(report.measured));
        let tasks: Vec<RunningTask> = report
            .tasks
            .iter()
            .filter(|entry| !entry.state.has_ended())
            .filter_map(|entry| self.running_task(now, view.ledger, tracked, entry))
            .collect();
        let capacity = report.capacity;
        let Some(relief) = self
            .interference
            .report(now, &worker, measured, capacity, &tasks, slow)
        else {
            return;
        };
        tracing::info!(%worker, ?relief, ?slow, "relieving the worker");
        let command = match relief {
            Mitigation::Throttle { .. } => Command::Throttle,
            Mitigation::Evict { .. } => Command::Checkpoint,
            Mitigation::Stop { .. } => Command::Stop,
        };
        tracked.command(now, relief.task(), command, COMMAND_RETRY, out);
    }

    fn running_task(
        &self,
        now: Millis,
        ledger: &Ledger,
        tracked: &TrackedWorker,
        entry: &TaskEntry,
    ) -> Option<RunningTask> {
        let id: TaskId = entry.task.parse().ok()?;
        let task = ledger.task(&id)?;
        let class = ClassKey::new(id.customer.clone(), task.spec.class.clone());
        let kind = match &task.spec {
            spec if spec.priority == URGENT_PRIORITY => TaskKind::Urgent,
            spec if spec.at_most_once => TaskKind::AtMostOnce,
            spec if spec.watcher => TaskKind::Watcher,
            _ => TaskKind::Restartable,
        };
        Some(RunningTask {
            unsaved: tracked.run_time(now, &id),
            penalty: self.placer.penalty(now, &class, &tracked.view.services),
            task: id,
            attempt: entry.attempt,
            class: class.class,
            reserved: entry.size,
            usage: entry.usage,
            throttled: entry.state == TaskState::Throttled,
            kind,
        })
    }
}

fn end_record(id: &TaskId, task: &Task, entry: &TaskEntry) -> Record {
    let attempt = entry.attempt;
    let ended = |outcome| Record::Ended {
        task: id.clone(),
        attempt,
        outcome,
    };
    match (entry.state, &entry.checkpoint) {
        (TaskState::Succeeded, _) => ended(Outcome::Succeeded),
        (TaskState::Failed, _) => ended(Outcome::Failed),
        (TaskState::Checkpointed, Some(checkpoint)) => Record::Checkpointed {
            task: id.clone(),
            attempt,
            checkpoint: checkpoint.clone(),
        },
        (TaskState::Stopped, _) if task.cancelled => ended(Outcome::Cancelled),
        _ => ended(Outcome::Lost),
    }
}
