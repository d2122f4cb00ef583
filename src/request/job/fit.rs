//! Which worker a task goes to.

use crate::base::{Name, Size};

/// What one task needs of a worker.
#[derive(Debug, Clone)]
pub struct TaskRequirements<'a> {
    /// Set aside on the worker while the task is there.
    pub reserved: Size,
    /// Millicores that the task uses when it gets them.
    pub demand: u32,
    pub fills: bool,
    pub lasts: bool,
    pub image: Option<&'a Name>,
    pub label: Option<&'a Name>,
    pub rack: Option<&'a Name>,
}

/// One worker as the placement sees it.
#[derive(Debug, Clone)]
pub struct CandidateWorker<'a> {
    /// Not yet committed.
    pub free: Size,
    pub capacity: Size,
    /// Millicores that nothing on the worker is expected to use; negative if it is oversubscribed.
    pub idle: i64,
    pub labels: &'a [Name],
    /// Logarithm of what filling tasks may still add to the tail of a serving task here; negative
    /// if one more is expected to push it over the aim.
    pub headroom: f64,
    /// Whether a lasting task of the same image is there.
    pub has_same_image: bool,
    /// Other images of lasting tasks there.
    pub other_images: u32,
}

/// Share of a worker's processors that filling tasks may ask for beyond what is idle, in percent.
/// Serving tasks swing below their declared size, so a little more than the estimate is used.
const FILL_OVERDRAFT: i64 = 10;
/// Slack beyond this makes a worker no better for filling tasks.
const MAX_SLACK: f64 = 2.0;
/// What one unit of slack is worth against idle processors, in thousandths.
const SLACK_WEIGHT: f64 = 1_000.0;
/// What a whole idle worker is worth to filling tasks, in thousandths of one unit of slack.
const IDLE_WEIGHT: i64 = 100;
/// What a lasting task of the same image is worth, and what another image costs, in thousandths of a
/// worker: a filling image that disturbs one of them is kept off the worker for all.
const KIN_BONUS: i64 = 3_000;
const STRANGER_PENALTY: i64 = 1_500;
/// What data on another rack costs against a free processor share, in thousandths.
const FAR_PENALTY: i64 = 2_000;

/// Index of the best room for `need`; `None` if no worker has room.
///
/// Filling tasks go where most processors are idle and no serving task suffers. Lasting tasks are
/// packed by image, so that each filling image finds workers where it disturbs nobody. Others go to
/// the worker with the largest free share.
pub fn choose_worker<'a>(
    need: &TaskRequirements<'_>,
    rooms: impl Iterator<Item = (usize, CandidateWorker<'a>)>,
) -> Option<usize> {
    let mut best: Option<(i64, usize)> = None;
    for (index, room) in rooms {
        let Some(score) = score(need, &room) else {
            continue;
        };
        if best.is_none_or(|(top, _)| score > top) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

fn score(need: &TaskRequirements<'_>, room: &CandidateWorker<'_>) -> Option<i64> {
    if !need.reserved.fits(&room.free) {
        return None;
    }
    if need.label.is_some_and(|label| !room.labels.contains(label)) {
        return None;
    }
    let capacity = i64::from(room.capacity.processors.max(1));
    let idle = room.idle - i64::from(need.demand);
    if need.fills && (room.headroom < 0.0 || idle < -capacity * FILL_OVERDRAFT / 100) {
        return None;
    }
    let far = need.rack.is_some_and(|rack| !room.labels.contains(rack));
    let penalty = if far { FAR_PENALTY } else { 0 };
    let free = i64::from(room.free.processors) - i64::from(need.reserved.processors);
    let share = match (need.fills, need.lasts) {
        (true, _) => {
            let slack = (room.headroom.min(MAX_SLACK) * SLACK_WEIGHT) as i64;
            slack + idle * IDLE_WEIGHT / capacity
        }
        (false, true) => {
            let kin = if room.has_same_image { KIN_BONUS } else { 0 };
            kin - STRANGER_PENALTY * i64::from(room.other_images) - free * 1_000 / capacity
        }
        (false, false) => free * 1_000 / capacity,
    };
    Some(share - penalty)
}
