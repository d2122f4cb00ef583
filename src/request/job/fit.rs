//! Choice of the worker for a task of a job.

use crate::base::{Name, Size};

/// What a task requires of a worker.
#[derive(Debug, Clone)]
pub struct TaskRequirements<'a> {
    /// Reserved on the worker while the task is there.
    pub reserved: Size,
    /// Millicores that the task uses if they are available.
    pub demand: u32,
    /// Whether the task is best-effort.
    pub fills: bool,
    /// Whether the task is long-running.
    pub lasts: bool,
    pub image: Option<&'a Name>,
    pub label: Option<&'a Name>,
    pub rack: Option<&'a Name>,
}

/// A worker on which a task may be placed.
#[derive(Debug, Clone)]
pub struct CandidateWorker<'a> {
    /// Capacity that is not reserved.
    pub free: Size,
    pub capacity: Size,
    /// Millicores that no task on the worker is expected to use; negative if it is overcommitted.
    pub idle: i64,
    pub labels: &'a [Name],
    /// Logarithm of the factor by which best-effort tasks may still raise the tail latency of the
    /// serving tasks on the worker; negative if this task is expected to push it over the target.
    pub headroom: f64,
    /// Whether a long-running task of the same image is on the worker.
    pub has_same_image: bool,
    /// Number of other images of long-running tasks on the worker.
    pub other_images: u32,
    /// Share of the worker that waiting best-effort tasks could use.
    pub sought: f64,
    /// Whether its long-running tasks were moved away for best-effort tasks a short time ago.
    pub is_cleared: bool,
}

/// Percentage of a worker's processors that best-effort tasks may demand beyond the idle ones. The
/// use of serving tasks varies below their declared size, so slightly more than the estimated idle
/// share can be given away.
const MAX_OVERCOMMIT_PERCENT: i64 = 10;
/// Headroom above this makes a worker no better for best-effort tasks.
const MAX_HEADROOM: f64 = 2.0;
/// Score of one unit of headroom for a best-effort task, in thousandths.
const HEADROOM_WEIGHT: f64 = 1_000.0;
/// Score of a completely idle worker for a best-effort task, in thousandths of one unit of
/// headroom.
const IDLE_WEIGHT: i64 = 100;
/// Score of a worker with a long-running task of the same image, and cost of each other image
/// there, in thousandths of a worker. Images are kept apart because a best-effort image that
/// interferes with one of them is kept off the whole worker.
const SAME_IMAGE_BONUS: i64 = 3_000;
const OTHER_IMAGE_PENALTY: i64 = 1_500;
/// Cost of a worker outside the rack that holds the data, in thousandths of a worker's processors.
const REMOTE_RACK_PENALTY: i64 = 2_000;
/// Cost of a worker that waiting best-effort tasks could use as a whole, in thousandths. More than the
/// score of any headroom, since only few workers may be left for the tasks that wait.
const SOUGHT_PENALTY: f64 = 4_000.0;
/// Cost of a cleared worker for a long-running task, in thousandths; more than all others together.
const CLEARED_PENALTY: i64 = 100_000;

/// Returns the index of the best worker for `task`, or `None` if no worker has room for it.
///
/// Best-effort tasks go to the worker with the most headroom and idle processors. Long-running
/// tasks are packed by image, so that each best-effort image finds workers on which it interferes
/// with no image. Other tasks go to the worker with the largest free share of its processors. All of
/// them leave the workers to waiting best-effort tasks that these could use, if others have room. At
/// most `limit` workers with room are compared.
pub fn choose_worker<'a>(
    task: &TaskRequirements<'_>,
    workers: impl Iterator<Item = (usize, CandidateWorker<'a>)>,
    limit: usize,
) -> Option<usize> {
    let mut best: Option<(i64, usize)> = None;
    let scores = workers.filter_map(|(index, worker)| Some((index, score(task, &worker)?)));
    for (index, score) in scores.take(limit) {
        if best.is_none_or(|(best_score, _)| score > best_score) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Whether a worker of `capacity` millicores with `idle` of them left, which may be negative, has too few idle
/// processors for the best-effort tasks there.
pub fn is_overcommitted(idle: i64, capacity: u32) -> bool {
    missing_processors(idle, capacity) > 0
}

/// Millicores that such a worker has too few for the best-effort tasks there.
pub fn missing_processors(idle: i64, capacity: u32) -> i64 {
    let least = -i64::from(capacity.max(1)) * MAX_OVERCOMMIT_PERCENT / 100;
    (least - idle).max(0)
}

fn score(task: &TaskRequirements<'_>, worker: &CandidateWorker<'_>) -> Option<i64> {
    if !task.reserved.fits(&worker.free) {
        return None;
    }
    if task
        .label
        .is_some_and(|label| !worker.labels.contains(label))
    {
        return None;
    }
    let capacity = i64::from(worker.capacity.processors.max(1));
    let idle = worker.idle - i64::from(task.demand);
    let is_full = || is_overcommitted(idle, worker.capacity.processors);
    if task.fills && (worker.headroom < 0.0 || is_full()) {
        return None;
    }
    let is_remote = task.rack.is_some_and(|rack| !worker.labels.contains(rack));
    let penalty = if is_remote { REMOTE_RACK_PENALTY } else { 0 };
    let free = i64::from(worker.free.processors) - i64::from(task.reserved.processors);
    let preference = match (task.fills, task.lasts) {
        (true, _) => {
            let headroom = (worker.headroom.min(MAX_HEADROOM) * HEADROOM_WEIGHT) as i64;
            headroom + idle * IDLE_WEIGHT / capacity
        }
        (false, true) => {
            let bonus = if worker.has_same_image {
                SAME_IMAGE_BONUS
            } else {
                0
            };
            bonus - OTHER_IMAGE_PENALTY * i64::from(worker.other_images) - free * 1_000 / capacity
        }
        (false, false) => free * 1_000 / capacity,
    };
    let sought = (worker.sought * SOUGHT_PENALTY) as i64;
    let cleared = match task.lasts && worker.is_cleared {
        true => CLEARED_PENALTY,
        false => 0,
    };
    Some(preference - penalty - sought - cleared)
}
