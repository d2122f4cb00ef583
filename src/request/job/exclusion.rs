//! Explains why best-effort tasks are excluded from workers with serving tasks.

use super::contention::{
    BestEffortGroup, Contention, Headroom, ImageInterference, KNOWN_INFORMATION, MIN_TAIL,
    ServingTask, TARGET_TAIL,
};
use crate::base::{Millis, Name};

/// What is known of the interference of a best-effort image with a serving image.
#[derive(Debug)]
pub struct PairKnowledge {
    pub slope: f64,
    /// Weight of the samples behind the slope.
    pub information: f64,
    pub is_known: bool,
    /// Milliseconds since a sample with both images, if this owner has one.
    pub age: Option<u64>,
}

/// What the serving tasks of a worker bear, with their baselines as measured instead of the least one that
/// placement assumes. Logarithms of the ratio of the target to the tail latency; negative if that is exceeded.
#[derive(Debug)]
pub struct MeasuredHeadroom {
    /// With the best-effort task alone beside them.
    pub alone: f64,
    /// With the best-effort task alone and at a part of its speed.
    pub limited: f64,
    /// The same beside the best-effort tasks there, as fast as they are now.
    pub beside: f64,
    /// Whether the baseline of each serving task is known.
    pub is_known: bool,
    /// Whether a serving task is over its target now.
    pub is_over: bool,
}

impl ImageInterference {
    /// The serving image that leaves the least headroom if such a task takes `share` of the worker without other
    /// best-effort tasks there.
    pub fn tightest<'a>(&self, headrooms: &'a [Headroom], share: f64) -> Option<&'a Headroom> {
        let alone =
            |headroom: &Headroom| self.headroom_alone(std::slice::from_ref(headroom), share);
        headrooms
            .iter()
            .min_by(|one, other| alone(one).total_cmp(&alone(other)))
    }
}

impl Contention {
    /// What is known of a pair of images.
    pub fn pair(&self, now: Millis, serving: &Name, best_effort: Option<&Name>) -> PairKnowledge {
        let slope = self.slope(Some(serving), best_effort);
        let image = self.image(serving);
        let index = image
            .zip(best_effort)
            .and_then(|(image, name)| image.coefficient_indices.get(name));
        let samples = image.zip(index);
        let information =
            samples.map_or(0.0, |(image, index)| image.regression.information(*index));
        let last = samples.and_then(|(image, index)| image.observed.get(index));
        PairKnowledge {
            slope,
            information,
            is_known: information >= KNOWN_INFORMATION,
            age: last.map(|at| now.since(*at).0),
        }
    }

    /// What the serving tasks of a worker bear of a task of `image` that takes `share` of it at full speed, and
    /// `limited` of it with a speed limit.
    pub fn measured_headroom(
        &self,
        now: Millis,
        serving: &[ServingTask],
        best_effort: &[BestEffortGroup],
        image: Option<&Name>,
        (share, limited): (f64, f64),
    ) -> MeasuredHeadroom {
        let mut measured = MeasuredHeadroom {
            alone: f64::INFINITY,
            limited: f64::INFINITY,
            beside: f64::INFINITY,
            is_known: true,
            is_over: false,
        };
        for task in serving {
            let headroom = self.log_headroom(now, task, best_effort, MIN_TAIL);
            let slope = self.slope(task.image.as_ref(), image);
            let others = self.current_interference(task, best_effort);
            let with_limited = headroom - slope * limited;
            measured.alone = measured.alone.min(headroom - slope * share);
            measured.limited = measured.limited.min(with_limited);
            measured.beside = measured.beside.min(with_limited - others);
            measured.is_known &= self.baselines.expected(now, task.job).is_some();
            measured.is_over |= task.tail >= TARGET_TAIL;
        }
        measured
    }
}
