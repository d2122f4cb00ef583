//! Explains in the log what excludes best-effort tasks from workers.

use std::collections::BTreeMap;

use super::shard::{Now, Shard};
use super::worker::Worker;
use crate::base::Name;
use crate::request::job::{JobId, MeasuredHeadroom, StepSpec};

/// Part of its speed at which a limited run of a task is considered.
const LIMITED_SPEED: f64 = 0.1;

impl Shard {
    /// Logs which serving image excludes a best-effort task of a job from most of the `excluded` workers, what is
    /// known of this pair of images, and how many of the workers would bear the task with the measured baselines
    /// of their serving tasks.
    pub(super) fn log_exclusion(
        &self,
        now: Now,
        job: JobId,
        spec: &StepSpec,
        excluded: &[&Worker],
    ) {
        let best_effort = spec.image.as_ref();
        let interference = self.contention.interference(now.steady, best_effort);
        let mut images: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut measured: Vec<MeasuredHeadroom> = Vec::with_capacity(excluded.len());
        for worker in excluded {
            let share = worker.share(spec.size.processors);
            let tightest = interference.tightest(&worker.headroom, share);
            if let Some(image) = tightest.and_then(|headroom| headroom.image.as_ref()) {
                *images.entry(image).or_default() += 1;
            }
            measured.push(self.contention.measured_headroom(
                now.steady,
                &worker.serving_tasks(),
                &worker.best_effort_tasks(),
                best_effort,
                (share, share * LIMITED_SPEED),
            ));
        }
        let Some((image, workers)) = images.into_iter().max_by_key(|(_, workers)| *workers) else {
            return;
        };
        let pair = self.contention.pair(now.steady, image, best_effort);
        measured.sort_by(|one, other| one.alone.total_cmp(&other.alone));
        let median = measured.get(measured.len() / 2);
        let count = |is_counted: fn(&MeasuredHeadroom) -> bool| {
            let counted = measured.iter().filter(|headroom| is_counted(headroom));
            counted.count()
        };
        tracing::info!(
            %job,
            serving = %image,
            workers,
            slope = rounded(pair.slope),
            information = rounded(pair.information),
            is_known = pair.is_known,
            age = pair.age,
            excluded = excluded.len(),
            unmeasured = count(|headroom| !headroom.is_known),
            over = count(|headroom| headroom.is_over),
            headroom = median.map(|headroom| rounded(headroom.alone)),
            bearing = count(|headroom| headroom.alone >= 0.0),
            limited = count(|headroom| headroom.limited >= 0.0),
            beside = count(|headroom| headroom.beside >= 0.0),
            "serving tasks exclude the waiting job"
        );
    }
}

/// A value to thousandths, so that the line stays short.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
