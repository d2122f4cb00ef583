//! Log lines and counters that show what became of workers that did not answer and of their runs.

use std::collections::HashSet;

use super::jobs::waiting_steps;
use super::shard::Shard;
use super::starts::run_number;
use super::worker::Worker;
use crate::base::Name;
use crate::connection::{EndReport, WorkerReport};
use crate::process::telemetry;
use crate::request::job::{Ending, StepId};

/// Calls without an answer from which on the next report is logged.
const MIN_MISSES: u32 = 3;

impl Worker {
    /// Logs a report that follows missed answers, with what tells whether a lease has expired meanwhile.
    pub(super) fn log_return(&self, report: &WorkerReport) {
        if self.unanswered < MIN_MISSES {
            return;
        }
        telemetry::count_heard_again();
        let has_lapsed = report.ended.iter().any(|end| end.ending == Ending::Lapsed);
        tracing::info!(
            worker = %self.id,
            misses = self.unanswered,
            clock = report.clock,
            lease_until = self.lease_until,
            running = report.running.len(),
            ended = report.ended.len(),
            has_lapsed,
            "worker reports again"
        );
    }
}

/// Logs the end of a run that the owner of this epoch has started and counted as lost. Runs of other
/// epochs may be unknown because an earlier owner has handled their ends.
pub(super) fn log_unknown_end(epoch: u64, worker: &Name, end: &EndReport) {
    if !(run_number(epoch, 0)..run_number(epoch + 1, 0)).contains(&end.run) {
        return;
    }
    telemetry::count_late_end(ending_label(end.ending));
    tracing::info!(%worker, number = end.number, task = %end.task, run = end.run, ending = ?end.ending, epoch, "late end of a lost run");
}

fn ending_label(ending: Ending) -> &'static str {
    match ending {
        Ending::Done => "done",
        Ending::Failed => "failed",
        Ending::Stopped => "stopped",
        Ending::Lapsed => "lapsed",
        Ending::GangBroken => "gang_broken",
        Ending::GangIncomplete => "gang_incomplete",
    }
}

impl Shard {
    /// Steps with waiting tasks that no placement pass considers. There are none, unless a step was taken out of the
    /// order too early: its tasks would wait until their job is queued again for another reason.
    pub fn forgotten_steps(&self) -> Vec<StepId> {
        let queued: HashSet<StepId> = self.ready.iter().map(|key| key.step).collect();
        let open = self
            .accepted
            .iter()
            .filter(|id| !self.ending.contains_key(id));
        let jobs = open.filter_map(|id| self.jobs.get(id));
        let mut forgotten: Vec<StepId> = jobs
            .flat_map(waiting_steps)
            .filter(|step| !queued.contains(step))
            .collect();
        forgotten.sort();
        forgotten
    }
}
