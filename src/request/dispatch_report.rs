//! Compares a worker's report with the ledger and acts on the attempts that it lists.

use super::dispatch::{DispatchAction, DispatchView, Dispatcher, URGENT_PRIORITY, size_key};
use super::interference::{Mitigation, RunningTask, TaskKind};
use super::pairs::ClassKey;
use super::tracked_worker::TrackedWorker;
use crate::base::{Millis, Name, TaskId};
use crate::connection::Command;
use crate::connection::wire::{Ack, TaskEntry, TaskState, WorkerReport};
use crate::version::{Ledger, Outcome, Phase, Record, Task};

/// Time in ms before the same command is sent again for an attempt.
const COMMAND_RETRY: Millis = Millis(2_000);
/// Time in ms after which a running attempt proves that its worker can start tasks.
const STABLE_RUN_TIME: Millis = Millis(10_000);

impl Dispatcher {
    /// Handles one entry of a worker's report.
    pub(super) fn reconcile(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        tracked: &mut TrackedWorker,
        entry: &TaskEntry,
        out: &mut Vec<DispatchAction>,
    ) {
        let Ok(id) = entry.task.parse::<TaskId>() else {
            tracing::warn!(
                task = entry.task,
                worker = %tracked.view.name,
                "invalid task id in a report"
            );
            return;
        };
        let Some(task) = ledger.task(&id) else {
            // The ledger no longer keeps the task, or has not read its record yet.
            tracked.track_reported(now, &id, entry, None);
            return;
        };
        if let Some(usage) = entry.usage {
            self.estimator.observe(now, &size_key(task), usage);
        }
        if task.has_ended(entry.attempt) {
            self.handle_logged_end(now, tracked, &id, entry, out);
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
            self.append_end(&id, (entry.attempt, tracked.lease.token), record, out);
            return;
        }
        tracked.track_reported(now, &id, entry, Some(task));
        if tracked.has_run_for(now, &id, STABLE_RUN_TIME) {
            self.quarantine.succeeded(&tracked.view.name, &id);
        }
        if is_claimed && task.cancelled {
            tracked.send_command(now, &id, Command::Stop, COMMAND_RETRY, out);
        }
    }

    /// Handles an attempt that the log shows as ended: acknowledges its end, or stops it.
    fn handle_logged_end(
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
        tracked.track_reported(now, id, entry, None);
        tracked.send_command(now, id, Command::Stop, COMMAND_RETRY, out);
    }

    /// Throttles, evicts or stops at most one task of a worker on which a service is slow or tasks
    /// exceed their reservations.
    pub(super) fn reduce_interference(
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
        let measured_at = Millis(now.0.saturating_sub(report.measured));
        let tasks: Vec<RunningTask> = report
            .tasks
            .iter()
            .filter(|entry| !entry.state.has_ended())
            .filter_map(|entry| self.running_task(now, view.ledger, tracked, entry))
            .collect();
        let capacity = report.capacity;
        let Some(mitigation) =
            self.interference
                .report(now, &worker, measured_at, capacity, &tasks, slow)
        else {
            return;
        };
        tracing::info!(%worker, relief = ?mitigation, ?slow, "reducing interference on the worker");
        let command = match mitigation {
            Mitigation::Throttle { .. } => Command::Throttle,
            Mitigation::Evict { .. } => Command::Checkpoint,
            Mitigation::Stop { .. } => Command::Stop,
        };
        tracked.send_command(now, mitigation.task(), command, COMMAND_RETRY, out);
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

/// The record that ends a claimed attempt, according to the state that its worker reports.
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
