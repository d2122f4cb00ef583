//! Stops runs that make no progress.

use super::shard::{Now, Shard};
use super::worker::{Run, RunState};
use crate::base::{Millis, Name};
use crate::request::job::{Job, TaskKey};

/// A run that makes no progress for this long is stopped and started elsewhere, in milliseconds.
const STALL_TIME: Millis = Millis(2_500);
/// The same in percent of the run's length, if that is longer: progress is reported in whole percent, and a
/// worker may be slower than the client expects.
const STALL_PERCENT: u64 = 3;
/// How many times slower than expected a run may be by its progress for the time to follow. It may have been halted
/// for a while, which its progress doesn't tell.
const MAX_SLOWDOWN: u64 = 4;
/// How often the time is doubled at most for a task that is stopped again and again.
const MAX_DOUBLINGS: u32 = 16;
/// A run that saves its progress is moved to another worker once it has been throttled to 0 for
/// this long, in milliseconds. Its stop and restart take about as long.
const HALT_MOVE_TIME: Millis = Millis(1_000);
/// How long a worker with stalled runs is suspect, in milliseconds.
const STALL_SUSPECT_TIME: Millis = Millis(3_000);

impl Shard {
    /// Stops runs that make no progress according to the newest report of their worker.
    pub(super) fn stop_stalled(&mut self, now: Now, worker_id: &Name) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let mut halted: Vec<TaskKey> = Vec::new();
        let mut stalled: Vec<TaskKey> = Vec::new();
        for (task, run) in &worker.runs {
            if !matches!(run.state, RunState::Active { .. }) {
                continue;
            }
            let halted_for = run.halted_since.map(|since| now.steady.since(since));
            if run.saves && halted_for.is_some_and(|time| time >= HALT_MOVE_TIME) {
                tracing::info!(%task, run = run.run, worker = %worker_id, percent = run.percent, "moving a halted run");
                halted.push(*task);
                continue;
            }
            let is_working = run.lasts && run.percent >= 100;
            let idle = now.steady.since(run.last_progress);
            if is_working || run.speed_limit == 0 || idle < STALL_TIME {
                continue;
            }
            let job = self.jobs.get(&task.step.job);
            let limit = job.map_or(STALL_TIME, |job| stall_time(job, *task, run));
            if idle < limit {
                continue;
            }
            let percent = run.percent;
            tracing::warn!(%task, run = run.run, worker = %worker_id, percent, idle = idle.0, "run makes no progress");
            stalled.push(*task);
        }
        for task in halted.iter().chain(&stalled) {
            worker.stop_run(*task);
        }
        if !stalled.is_empty() {
            worker.suspect_until = worker.suspect_until.max(now.steady + STALL_SUSPECT_TIME);
        }
        for task in stalled {
            let job = self.jobs.get_mut(&task.step.job);
            if let Some(task) = job.and_then(|job| job.task_mut(task)) {
                task.stalls += 1;
            }
        }
    }
}

/// How long a run may make no progress. The stops of a task lengthen the time, from the second on: its client may
/// expect too short a length, and a task that is slow everywhere must end too.
fn stall_time(job: &Job, task: TaskKey, run: &Run) -> Millis {
    let step = job.spec.steps.get(usize::from(task.step.step));
    // A long-running task reports its progress only until it works.
    let Some(step) = step.filter(|step| !step.lasts) else {
        return STALL_TIME;
    };
    let expected = u64::from(step.runtime);
    let observed = observed_length(run).min(expected * MAX_SLOWDOWN);
    let speed = u64::from(run.speed_limit.clamp(1, 100));
    let length = expected.max(observed) * 100 / speed;
    let least = STALL_TIME.0.max(length * STALL_PERCENT / 100);
    let stalls = job.task(task).map_or(0, |task| task.stalls);
    Millis(least << stalls.saturating_sub(1).min(MAX_DOUBLINGS))
}

/// Length of a run by the progress that it has made so far, in milliseconds; 0 without any.
fn observed_length(run: &Run) -> u64 {
    let elapsed = run.last_progress.since(run.started).0;
    match run.percent {
        0 => 0,
        percent => elapsed * 100 / u64::from(percent),
    }
}
