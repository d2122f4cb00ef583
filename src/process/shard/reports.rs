//! Handles workers' answers to orders and their reports.

use super::shard::{Now, Phase, Shard, ShardAction, WorkerTag};
use super::worker::RunState;
use crate::base::{Millis, Name};
use crate::connection::{CallError, Refusal, RunReport, WorkerAnswer, WorkerReport};
use crate::process::telemetry;
use crate::request::job::{Ending, TaskKey};

/// Pause after a failed request for a report, in milliseconds; multiplied by the number of calls
/// without an answer since the last report.
const POLL_RETRY: Millis = Millis(150);
/// Longest such pause, in milliseconds.
const MAX_POLL_RETRY: Millis = Millis(600);
/// How long a worker that refused a start or is unhealthy gets no tasks, in milliseconds.
const REFUSAL_SUSPECT_TIME: Millis = Millis(1_000);
/// Added to the time that a stop takes, in milliseconds, to allow for the worker's clock.
pub(super) const STOP_ALLOWANCE: Millis = Millis(100);
/// How long to wait at most for new ends to be recorded before the next report is requested, in
/// milliseconds. The worker would otherwise report the same ends again at once.
const ACKNOWLEDGE_WAIT: Millis = Millis(250);
/// Reports per second that the owner requests because ends were recorded. With more workers, each
/// of them waits longer, and one report tells of several ends.
const END_REPORT_RATE: u64 = 4_000;

impl Shard {
    pub(super) fn handle_worker_answer(
        &mut self,
        now: Now,
        tag: WorkerTag,
        answer: Result<WorkerAnswer, CallError>,
        out: &mut Vec<ShardAction>,
    ) {
        if self.is_superseded {
            return;
        }
        if let Ok(WorkerAnswer::Refused {
            reason: Refusal::Fenced,
            ..
        }) = &answer
        {
            self.step_down(out, "a worker has seen a newer owner");
            return;
        }
        match tag {
            WorkerTag::Start {
                worker,
                task,
                run,
                lease_end,
                sent,
                bytes,
            } => {
                self.start_window.remove(now.steady, sent, bytes);
                self.apply_start_clock(now, &worker, lease_end, &answer);
                self.handle_start_answer(now, &worker, task, run, answer);
            }
            WorkerTag::Stop { worker, task, run } => {
                self.handle_stop_answer(now, &worker, task, run, answer);
            }
            WorkerTag::Poll {
                worker,
                sent,
                is_immediate,
            } => self.handle_poll_answer(now, &worker, sent, is_immediate, answer, out),
            WorkerTag::Throttle {
                worker,
                task,
                percent,
            } => {
                let is_confirmed = matches!(answer, Ok(WorkerAnswer::Accepted { .. }));
                let entry = self.workers.get_mut(&worker);
                if let Some(run) = entry.and_then(|worker| worker.runs.get_mut(&task)) {
                    if !is_confirmed && run.speed_limit == percent {
                        // No speed limit has this value, so the next report repeats the order.
                        run.speed_limit = u8::MAX;
                    }
                }
            }
        }
    }

    fn handle_start_answer(
        &mut self,
        now: Now,
        worker_id: &Name,
        task: TaskKey,
        run_number: u64,
        answer: Result<WorkerAnswer, CallError>,
    ) {
        self.pending_starts = self.pending_starts.saturating_sub(1);
        self.needs_placement = true;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.pending_starts = worker.pending_starts.saturating_sub(1);
        worker.has_changed = true;
        worker.note_answer(now.steady, &answer);
        let Some(run) = worker
            .runs
            .get_mut(&task)
            .filter(|run| run.run == run_number)
        else {
            return;
        };
        let is_starting = run.state == RunState::Starting;
        let cause = match answer {
            Ok(WorkerAnswer::Accepted { .. } | WorkerAnswer::Report(_)) => {
                run.is_confirmed = true;
                if is_starting {
                    run.state = RunState::Active { since: now.steady };
                }
                self.note_run(task);
                return;
            }
            Err(CallError::NoAnswer | CallError::Malformed) => {
                // The worker may still carry out the order, unless it confirms a stop of the run.
                if is_starting {
                    tracing::info!(%task, run = run_number, worker = %worker_id, "start without answer; stopping the run");
                    worker.stop_run(task);
                }
                return;
            }
            Err(CallError::NotSent | CallError::Refused) => "not sent",
            Ok(WorkerAnswer::Unhealthy) => "unhealthy",
            Ok(WorkerAnswer::WrongWorker) => "another worker has the address",
            Ok(WorkerAnswer::Refused { reason, .. }) => refusal_text(reason),
        };
        if matches!(run.state, RunState::Active { .. }) {
            return;
        }
        worker.suspect_until = now.steady + REFUSAL_SUSPECT_TIME;
        worker.remove_run(task);
        tracing::info!(%task, run = run_number, worker = %worker_id, reason = cause, "start refused");
        self.requeue(now, task);
    }

    fn handle_stop_answer(
        &mut self,
        now: Now,
        worker_id: &Name,
        task: TaskKey,
        run_number: u64,
        answer: Result<WorkerAnswer, CallError>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.note_answer(now.steady, &answer);
        let is_confirmed = match answer {
            Ok(WorkerAnswer::Accepted { clock }) => {
                worker.set_clock(clock, now.steady);
                true
            }
            _ => false,
        };
        let Some(run) = worker
            .runs
            .get_mut(&task)
            .filter(|run| run.run == run_number)
        else {
            return;
        };
        if let RunState::Stopping { confirmed: at, .. } = &mut run.state {
            if is_confirmed {
                at.get_or_insert(now.steady);
                // The pending report may have been sent before the stop, so the next one is
                // requested without a pause.
                worker.next_poll = now.steady;
            }
        }
    }

    fn handle_poll_answer(
        &mut self,
        now: Now,
        worker_id: &Name,
        sent: Millis,
        is_immediate: bool,
        answer: Result<WorkerAnswer, CallError>,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        match is_immediate {
            true => worker.immediate_poll = None,
            false => worker.long_poll = None,
        }
        match answer {
            Ok(WorkerAnswer::Report(report)) => {
                self.handle_report(now, worker_id, sent, report, out)
            }
            answer => {
                worker.note_miss(now.steady);
                worker.silence.note_failure(now.steady, sent);
                let is_in_place = worker.was_asked_in_place(sent);
                // Connections that are refused prove nothing: a network may refuse them too.
                let is_replaced = is_in_place && matches!(answer, Ok(WorkerAnswer::WrongWorker));
                worker.use_listed_address(now.steady);
                worker.has_left = is_replaced;
                let pause = Millis(POLL_RETRY.0 * u64::from(worker.unanswered.min(10)));
                worker.next_poll = now.steady + pause.min(MAX_POLL_RETRY);
                if worker.unanswered == 3 {
                    tracing::warn!(worker = %worker_id, ?answer, "worker does not answer requests for reports");
                }
                if is_replaced {
                    self.worker_gone(now, worker_id);
                }
            }
        }
    }

    /// Applies a report to the worker's runs and their jobs.
    fn handle_report(
        &mut self,
        now: Now,
        worker_id: &Name,
        sent: Millis,
        report: WorkerReport,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.log_return(&report);
        worker.unanswered = 0;
        worker.has_left = false;
        worker.end_wait(&mut self.journal);
        if worker
            .incarnation
            .is_some_and(|known| known > report.start_time)
        {
            return;
        }
        if worker.incarnation != Some(report.start_time) {
            if worker.incarnation.is_some() {
                let (born, runs) = (report.start_time, worker.runs.len());
                tracing::warn!(worker = %worker_id, born, runs, "worker has restarted");
            }
            // The runs that this incarnation lists may hold a lease of the greatest length: if it started
            // anew, orders that were meant for the earlier incarnation ended far ahead of its clock.
            let lease_until = report.clock.saturating_add(self.settings.lease.0);
            worker.has_long_lease |= worker.incarnation.is_some();
            worker.begin_incarnation(now.steady, report.start_time, lease_until);
        }
        if worker.is_stale(report.clock) {
            return;
        }
        worker.set_clock(report.clock, now.steady);
        let granted = self.settings.granted_lease();
        worker.record_lease(now.steady, granted, &mut self.journal);
        worker.last_report = Some(now.steady);
        worker.silence.end(now.steady);
        worker.report_from(sent);
        let is_first = worker.first_report.is_none();
        worker.first_report.get_or_insert(now.steady);
        worker.next_poll = now.steady;
        worker.has_changed = true;
        let last_processed = worker.processed;
        self.withhold_ends(now.steady, worker_id, &report);
        self.hear_remaining(worker_id, &report);
        for end in &report.ended {
            if end.number > last_processed {
                self.handle_end(now, worker_id, end);
            }
        }
        for listed in &report.running {
            self.update_run(now, worker_id, listed);
        }
        // A run that is in neither list may have ended after those that a full list of ends names.
        let lists_all_ends = report.lists_all_ends();
        if lists_all_ends {
            self.lose_missing_runs(now, worker_id, sent, &report);
        }
        self.check_crashes(now, worker_id);
        if is_first && self.phase == Phase::Active {
            self.lose_runs_at_address(now, worker_id);
        }
        self.throttle(now, worker_id, out);
        if lists_all_ends {
            self.stop_stalled(now, worker_id);
        }
        let may_lease = self.resignation.is_none();
        if let Some(worker) = self.workers.get_mut(worker_id) {
            if lists_all_ends {
                worker.first_full_report.get_or_insert(now.steady);
            }
            let may_lease = may_lease && worker.may_lease();
            if worker.acknowledged < worker.processed || !may_lease {
                worker.next_poll = now.steady + ACKNOWLEDGE_WAIT;
            }
        }
        self.needs_placement = true;
    }

    /// Updates a run that the worker lists, or adopts it if it is not on record.
    fn update_run(&mut self, now: Now, worker_id: &Name, listed: &RunReport) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let found = worker.runs.get_mut(&listed.task);
        let Some(run) = found.filter(|run| run.run == listed.run) else {
            self.adopt(now, worker_id, listed);
            return;
        };
        let is_new = !run.is_confirmed;
        run.is_confirmed = true;
        if run.state == RunState::Starting {
            run.state = RunState::Active { since: now.steady };
        }
        if listed.percent > run.percent || run.speed_limit == 0 {
            run.last_progress = now.steady;
        }
        run.percent = listed.percent;
        run.metric = listed.measurement;
        if listed.checkpoint.is_some() {
            run.checkpoint = listed.checkpoint.clone();
        }
        if is_new {
            self.note_run(listed.task);
        }
    }

    /// Notes that a worker has confirmed a run of a task.
    fn note_run(&mut self, task: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.has_run = true;
        }
    }

    /// Requests the next report of a worker whose ends have been recorded. Ends since its last
    /// report are known only then, and the steps that depend on them wait.
    pub(super) fn ends_recorded(&mut self, worker_id: &Name) {
        let gap = Millis(self.workers.len() as u64 * 1_000 / END_REPORT_RATE);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(last) = worker.last_report.filter(|_| worker.unanswered == 0) else {
            return;
        };
        if worker.acknowledged == worker.processed {
            worker.next_poll = worker.next_poll.min(last + gap);
        }
    }

    /// Counts runs as lost that the report should list and does not.
    fn lose_missing_runs(
        &mut self,
        now: Now,
        worker_id: &Name,
        sent: Millis,
        report: &WorkerReport,
    ) {
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let missing: Vec<(TaskKey, u64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| match run.state {
                RunState::Starting => false,
                RunState::Active { since } => since < sent,
                // A run that is being stopped may be missing in both lists for a while.
                RunState::Stopping { confirmed, .. } => {
                    confirmed.is_some_and(|at| at + stop_time < sent)
                }
            })
            .filter(|(task, run)| {
                let is_listed = |other: &RunReport| other.task == **task && other.run == run.run;
                !report.running.iter().any(is_listed)
            })
            .map(|(task, run)| (*task, run.run))
            .collect();
        for (task, run) in missing {
            tracing::info!(%task, run, worker = %worker_id, "worker no longer lists the run");
            telemetry::count_lost_run("not_listed");
            self.lose_run(now, worker_id, task, Ending::Lapsed);
        }
    }
}

fn refusal_text(reason: Refusal) -> &'static str {
    match reason {
        Refusal::Fenced => "a newer owner gives orders",
        Refusal::OldRun => "run number too low",
        Refusal::LeaseExpired => "lease already over",
        Refusal::NoCapacity => "no room",
        Refusal::NoPermit => "no valid permit",
        Refusal::Malformed => "order not understood",
    }
}
