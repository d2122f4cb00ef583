//! Answers of workers to orders and their reports.

use super::shard::{Now, Shard, ShardAction, WorkerTag};
use super::watch::stop_stalled;
use super::worker::RunState;
use crate::base::{Millis, Name};
use crate::connection::{CallError, Refusal, RunReport, WorkerAnswer, WorkerReport};
use crate::request::job::{Ending, TaskKey};

/// Pause after a report that did not come, in milliseconds, times the misses in a row.
const POLL_RETRY: Millis = Millis(150);
const MAX_POLL_RETRY: Millis = Millis(600);
/// How long a worker that refused an order or was unhealthy gets none, in milliseconds.
const AVOID_TIME: Millis = Millis(1_000);
/// Allowance for the worker's clock beyond the time that a stop takes, in milliseconds.
pub(super) const STOP_MARGIN: Millis = Millis(100);
/// How long to wait for the record of new ends before the next report, in milliseconds. The report
/// would otherwise come at once with the same ends.
const NOTE_WAIT: Millis = Millis(250);

impl Shard {
    pub(super) fn answered(
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
            WorkerTag::Start { worker, task, run } => {
                self.start_answered(now, &worker, task, run, answer);
            }
            WorkerTag::Stop { worker, task, run } => {
                self.stop_answered(now, &worker, task, run, answer);
            }
            WorkerTag::Poll {
                worker,
                sent,
                is_quick,
            } => self.poll_answered(now, &worker, sent, is_quick, answer, out),
            WorkerTag::Pace {
                worker,
                task,
                percent,
            } => {
                let confirmed = matches!(answer, Ok(WorkerAnswer::Accepted { .. }));
                let entry = self.workers.get_mut(&worker);
                if let Some(run) = entry.and_then(|worker| worker.runs.get_mut(&task)) {
                    if !confirmed && run.pace == percent {
                        // Differs from every pace, so the next report orders it again.
                        run.pace = u8::MAX;
                    }
                }
            }
        }
    }

    fn start_answered(
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
        match &answer {
            Ok(WorkerAnswer::Accepted { clock }) => worker.set_clock(*clock, now.steady),
            Ok(_) => {}
            Err(_) => worker.misses += 1,
        }
        let Some(run) = worker
            .runs
            .get_mut(&task)
            .filter(|run| run.run == run_number)
        else {
            return;
        };
        let is_starting = run.state == RunState::Starting;
        let not_done = match answer {
            Ok(WorkerAnswer::Accepted { .. } | WorkerAnswer::Report(_)) => {
                if is_starting {
                    run.state = RunState::Active { since: now.steady };
                }
                return;
            }
            Err(CallError::NoAnswer | CallError::Malformed) => {
                // The order may be carried out later; a confirmed stop rules that out.
                if is_starting {
                    tracing::info!(%task, run = run_number, worker = %worker_id, "start without answer; stops the run");
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
        worker.suspect_until = now.steady + AVOID_TIME;
        worker.remove_run(task);
        tracing::info!(%task, run = run_number, worker = %worker_id, reason = not_done, "start refused");
        self.requeue(task);
    }

    fn stop_answered(
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
        let confirmed = match answer {
            Ok(WorkerAnswer::Accepted { clock }) => {
                worker.set_clock(clock, now.steady);
                true
            }
            Ok(_) => false,
            Err(_) => {
                worker.misses += 1;
                false
            }
        };
        let Some(run) = worker
            .runs
            .get_mut(&task)
            .filter(|run| run.run == run_number)
        else {
            return;
        };
        if let RunState::Stopping { confirmed: at, .. } = &mut run.state {
            if confirmed {
                at.get_or_insert(now.steady);
                // The waiting report may predate the stop, so another one is asked for.
                worker.poll_at = now.steady;
            }
        }
    }

    fn poll_answered(
        &mut self,
        now: Now,
        worker_id: &Name,
        sent: Millis,
        is_quick: bool,
        answer: Result<WorkerAnswer, CallError>,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        match is_quick {
            true => worker.quick_poll = None,
            false => worker.waiting_poll = None,
        }
        match answer {
            Ok(WorkerAnswer::Report(report)) => self.report(now, worker_id, sent, report, out),
            answer => {
                worker.misses += 1;
                let is_refused = matches!(answer, Err(CallError::Refused));
                worker.has_left = is_refused && worker.is_draining && !worker.is_listed;
                let pause = Millis(POLL_RETRY.0 * u64::from(worker.misses.min(10)));
                worker.poll_at = now.steady + pause.min(MAX_POLL_RETRY);
                if worker.misses == 3 {
                    tracing::warn!(worker = %worker_id, ?answer, "worker does not report");
                }
            }
        }
    }

    fn report(
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
        if worker.misses >= 3 {
            tracing::info!(worker = %worker_id, misses = worker.misses, "worker reports again");
        }
        worker.misses = 0;
        if worker.born.is_some_and(|born| born > report.start_time) {
            return;
        }
        if worker.born != Some(report.start_time) {
            if worker.born.is_some() {
                let (born, runs) = (report.start_time, worker.runs.len());
                tracing::warn!(worker = %worker_id, born, runs, "worker has started anew");
            }
            // Runs that this life lists may hold a lease of the greatest length.
            worker.begin_life(report.start_time, report.clock + self.settings.lease.0);
        }
        if worker.is_stale(report.clock) {
            return;
        }
        worker.set_clock(report.clock, now.steady);
        worker.last_report = Some(now.steady);
        worker.poll_at = now.steady;
        let first = worker.processed;
        for end in &report.ended {
            if end.number > first {
                self.end_run(now, worker_id, end);
            }
        }
        for listed in &report.running {
            self.listed(now, worker_id, listed);
        }
        self.missing(now, worker_id, sent, &report);
        self.pace(now, worker_id, out);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            stop_stalled(worker, now.steady);
            if worker.noted < worker.processed {
                worker.poll_at = now.steady + NOTE_WAIT;
            }
        }
        self.is_changed = true;
    }

    /// A run that the worker lists.
    fn listed(&mut self, now: Now, worker_id: &Name, listed: &RunReport) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let known = worker.runs.get_mut(&listed.task);
        let Some(run) = known.filter(|run| run.run == listed.run) else {
            self.adopt(now, worker_id, listed);
            return;
        };
        if run.state == RunState::Starting {
            run.state = RunState::Active { since: now.steady };
        }
        if listed.percent > run.percent || run.pace == 0 {
            run.progressed = now.steady;
        }
        run.percent = listed.percent;
        run.figure = listed.measurement;
        if listed.checkpoint.is_some() {
            run.checkpoint = listed.checkpoint.clone();
        }
    }

    /// Runs that should be in the report and are not have ended without a trace.
    fn missing(&mut self, now: Now, worker_id: &Name, sent: Millis, report: &WorkerReport) {
        let stop_time = self.settings.stop_time + STOP_MARGIN;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let missing: Vec<(TaskKey, u64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| match run.state {
                RunState::Starting => false,
                RunState::Active { since } => since < sent,
                // What is being stopped may be in neither list for a while.
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
            tracing::info!(%task, run, worker = %worker_id, "run is gone from its worker");
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
