//! Learned contention: how much best-effort tasks of one image raise the tail latency of serving
//! tasks of another image, and how fast best-effort tasks may run beside them.
//!
//! Tail latencies are given as a share of the serving task's bound. Their logarithm is modelled as
//! linear in the shares of the worker's processors that the best-effort images use; the coefficient
//! of a pair of images is called its slope.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::baseline_tails::BaselineTails;
use super::regression::Regression;
use super::spec::JobId;
use crate::base::{Millis, Name};

/// Baseline tail latency that is assumed while that of the job is not known, as a share of the
/// bound.
const PRIOR_TAIL: f64 = 0.4;
/// Slope that is assumed of a pair of images before it is known. Most pairs interfere little; some
/// raise the tail latency steeply.
const PRIOR_SLOPE: f64 = 2.0;
/// Information (see `Regression::information`) from which a pair counts as known: three reports of
/// a task that takes a tenth of a worker.
pub(super) const KNOWN_INFORMATION: f64 = 0.03;
/// Upper bound of the information on a pair that an earlier owner has recorded: fifty reports of a
/// task that takes a tenth of a worker.
const MAX_RESTORED_INFORMATION: f64 = 0.5;
/// Shortest time between two trials of an unknown pair, in milliseconds: the time for a start, the
/// half second by which measurements lag, and a report.
const TRIAL_TIME: Millis = Millis(1_500);
/// Upper bound of a learned slope.
const MAX_SLOPE: f64 = 12.0;
/// Higher tail latencies count as this share of the bound; above it the tail latency says little
/// about the amount of interference.
const MAX_TAIL: f64 = 6.0;
/// Lower tail latencies count as this share of the bound.
pub(super) const MIN_TAIL: f64 = 0.1;
/// Most serving images that are tracked, and most trials that are remembered for each of them;
/// further images count as unknown.
const MAX_IMAGES: usize = 256;
/// Most best-effort images that are tracked for one serving image. The cost of the regression grows
/// with the cube of their number.
const MAX_BEST_EFFORT_IMAGES: usize = 48;
/// Target of placement and speed limits for the tail latency, as a share of the bound. The rest is
/// for changes of the load within the half second by which measurements lag.
pub(super) const TARGET_TAIL: f64 = 0.9;
/// Factor by which the tail latency may rise with the load before the next report changes the speed
/// limits.
const LOAD_RISE: f64 = 1.1;
/// Lowest baseline that is assumed of a task while that of its job is not known, as a share of the
/// bound: the baseline at the peak of the load.
const MIN_UNKNOWN_BASELINE: f64 = 0.72;
/// Lowest baseline that placement assumes of a task with a known one, as a share of the bound. A
/// best-effort task runs for seconds, in which the load may rise half-way to its peak.
const MIN_PLACEMENT_BASELINE: f64 = 0.55;
/// Least rise of a speed limit, in percent, except from 0 or to 100.
const MIN_RISE: u8 = 20;
/// Share of its bound at which a serving task's tail latency counts as over the bound; then even
/// images with a tolerable slope are slowed down.
pub const OVER_BOUND_SHARE: f64 = 0.97;
/// Slope below which the interference of a pair is tolerable.
const TOLERABLE_SLOPE: f64 = 0.4;

/// A serving task as of the latest report.
#[derive(Debug, Clone)]
pub struct ServingTask {
    pub job: JobId,
    pub image: Option<Name>,
    /// Tail latency as a share of the bound.
    pub tail: f64,
}

/// How much more interference the serving tasks of one image on a worker allow.
#[derive(Debug, Clone, PartialEq)]
pub struct Headroom {
    pub image: Option<Name>,
    /// Logarithm of the ratio of the target to the expected tail latency.
    pub remaining: f64,
    /// The same without any best-effort task on the worker.
    pub alone: f64,
    /// Index of the serving image in `Contention::images`.
    image_index: Option<usize>,
}

/// Interference of best-effort tasks of one image with each serving image.
#[derive(Debug, Clone)]
pub struct ImageInterference {
    /// Slope by index of the serving image; `None` if the pair is unknown and was tried a moment
    /// ago.
    slopes: Vec<Option<f64>>,
}

impl ImageInterference {
    /// Smallest headroom that remains if such a task takes `share` of the worker; negative infinity
    /// if an unknown pair may not be tried yet.
    pub fn headroom_with(&self, headrooms: &[Headroom], share: f64) -> f64 {
        self.smallest(headrooms, share, |headroom| headroom.remaining)
    }

    /// The same if no other best-effort task were on the worker.
    pub fn headroom_alone(&self, headrooms: &[Headroom], share: f64) -> f64 {
        self.smallest(headrooms, share, |headroom| headroom.alone)
    }

    fn smallest(
        &self,
        headrooms: &[Headroom],
        share: f64,
        available: impl Fn(&Headroom) -> f64,
    ) -> f64 {
        let mut smallest = f64::INFINITY;
        for headroom in headrooms {
            let slope = headroom
                .image_index
                .and_then(|image_index| self.slopes.get(image_index));
            let Some(slope) = slope.copied().unwrap_or(Some(PRIOR_SLOPE)) else {
                return f64::NEG_INFINITY;
            };
            smallest = smallest.min(available(headroom) - slope * share);
        }
        smallest
    }
}

/// Best-effort tasks of one image on a worker.
#[derive(Debug, Clone)]
pub struct BestEffortGroup {
    pub image: Option<Name>,
    /// Share of the worker's processors that they use.
    pub used: f64,
    /// Share of the worker's processors that they would use at full speed.
    pub wanted: f64,
}

/// What has been learned of the interference with one serving image.
#[derive(Debug)]
pub(super) struct ServingImage {
    /// Logarithm of the ratio of tail latency to baseline as a function of the shares that
    /// best-effort images use.
    pub(super) regression: Regression,
    /// Index of each best-effort image in `regression`.
    pub(super) coefficient_indices: HashMap<Name, usize>,
    /// When a best-effort image was last seen beside the serving image, by its index in `regression`.
    pub(super) observed: HashMap<usize, Millis>,
    /// When a task of each unknown best-effort image was last started beside the serving image.
    trials: HashMap<Name, Millis>,
}

/// What is known of the interference with one serving image, in the form that is recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedImage {
    pub image: Name,
    pub slopes: Vec<LearnedSlope>,
}

/// Interference of one best-effort image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearnedSlope {
    pub image: Name,
    pub slope: f32,
    /// Weight of the samples behind it.
    pub information: f32,
}

/// Learned contention of all pairs of images.
#[derive(Debug, Default)]
pub struct Contention {
    images: Vec<ServingImage>,
    image_indices: HashMap<Name, usize>,
    pub(super) baselines: BaselineTails,
}

impl Contention {
    /// Takes the tail latency of a serving task from a worker's report, with the best-effort tasks
    /// that ran on the worker. Slopes change with the next call of `learn`.
    pub fn observe(&mut self, now: Millis, serving: &ServingTask, best_effort: &[BestEffortGroup]) {
        let log_tail = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let known = self.baselines.expected(now, serving.job);
        let interference = self.current_interference(serving, best_effort);
        self.baselines
            .observe(now, serving.job, log_tail - interference, interference);
        let Some(name) = &serving.image else {
            return;
        };
        let Some(image) = self.image_mut(name) else {
            return;
        };
        let mut values = Vec::with_capacity(best_effort.len());
        for group in best_effort.iter().filter(|group| group.used > 0.0) {
            if let Some(index) = group
                .image
                .as_ref()
                .and_then(|best_effort_name| image.coefficient_index(best_effort_name))
            {
                values.push((index, group.used));
                image.observed.insert(index, now);
            }
        }
        image
            .regression
            .observe(&values, log_tail - known.unwrap_or(PRIOR_TAIL.ln()));
    }

    /// A serving image, which is added if it is new; `None` if there are too many.
    fn image_mut(&mut self, name: &Name) -> Option<&mut ServingImage> {
        if !self.image_indices.contains_key(name) {
            if self.images.len() >= MAX_IMAGES {
                return None;
            }
            let image = ServingImage {
                regression: Regression::new(0.0),
                coefficient_indices: HashMap::new(),
                observed: HashMap::new(),
                trials: HashMap::new(),
            };
            self.image_indices.insert(name.clone(), self.images.len());
            self.images.push(image);
        }
        self.images.get_mut(*self.image_indices.get(name)?)
    }

    pub(super) fn image(&self, name: &Name) -> Option<&ServingImage> {
        self.images.get(*self.image_indices.get(name)?)
    }

    /// The pairs that are known, for the next owner.
    pub fn learned(&self) -> Vec<LearnedImage> {
        let images = self.image_indices.iter().filter_map(|(name, index)| {
            let slopes = self.images.get(*index)?.learned();
            (!slopes.is_empty()).then(|| LearnedImage {
                image: name.clone(),
                slopes,
            })
        });
        images.collect()
    }

    /// Takes over what an earlier owner has learned. It counts as little as a few samples, so that
    /// reports soon outweigh it.
    pub fn restore(&mut self, learned: &[LearnedImage]) {
        for entry in learned {
            let Some(image) = self.image_mut(&entry.image) else {
                return;
            };
            for slope in entry.slopes.iter().filter(|slope| slope.slope.is_finite()) {
                if let Some(index) = image.coefficient_index(&slope.image) {
                    let weight = f64::from(slope.information).clamp(0.0, MAX_RESTORED_INFORMATION);
                    let value = f64::from(slope.slope).clamp(0.0, MAX_SLOPE);
                    image.regression.preset(index, value, weight);
                }
            }
            image.regression.solve();
        }
    }

    /// Recomputes the slopes from all observations.
    pub fn learn(&mut self, now: Millis) {
        self.baselines.forget_old(now);
        for image in &mut self.images {
            image.regression.solve();
        }
    }

    /// Rise of the logarithm of the tail latency caused by a best-effort image that takes a whole
    /// worker.
    pub fn slope(&self, serving: Option<&Name>, best_effort: Option<&Name>) -> f64 {
        let image = serving.and_then(|name| self.image(name));
        image.map_or(PRIOR_SLOPE, |image| image.slope(best_effort))
    }

    /// Share of a worker that best-effort tasks of an image may use beside serving tasks of the images
    /// `serving` at their usual load. Pairs that are not known count as if they did not interfere.
    pub fn usable_share(&self, serving: &[&Name], best_effort: &Name) -> f64 {
        let headroom = (TARGET_TAIL / MIN_PLACEMENT_BASELINE).ln();
        let shares = serving.iter().map(|name| {
            let known = self
                .image(name)
                .filter(|image| image.is_known(Some(best_effort)));
            let slope = known.map_or(0.0, |image| image.slope(Some(best_effort)));
            headroom / slope.max(headroom)
        });
        shares.fold(1.0, f64::min)
    }

    /// Rise of the logarithm of a serving task's tail latency caused by the best-effort tasks
    /// beside it.
    pub(super) fn current_interference(
        &self,
        serving: &ServingTask,
        best_effort: &[BestEffortGroup],
    ) -> f64 {
        let image = serving.image.as_ref();
        let terms = best_effort
            .iter()
            .map(|group| self.slope(image, group.image.as_ref()) * group.used);
        terms.sum()
    }

    /// Logarithm of the ratio of the target to a serving task's baseline, which is assumed to be at
    /// least `min_baseline`.
    pub(super) fn log_headroom(
        &self,
        now: Millis,
        serving: &ServingTask,
        best_effort: &[BestEffortGroup],
        min_baseline: f64,
    ) -> f64 {
        let log_tail = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let unexplained = log_tail - self.current_interference(serving, best_effort);
        let known = self.baselines.expected(now, serving.job);
        let baseline = match known.filter(|_| serving.tail < TARGET_TAIL) {
            // A tail latency that the slopes don't explain may come from a load that rises faster
            // than the estimated baseline.
            Some(known) => {
                ((known + unexplained.max(known)) / 2.0 + LOAD_RISE.ln()).max(min_baseline.ln())
            }
            None => (unexplained + LOAD_RISE.ln()).max(MIN_UNKNOWN_BASELINE.ln()),
        };
        TARGET_TAIL.ln() - baseline
    }

    /// Headroom of every serving image on a worker if all best-effort tasks there run at full
    /// speed.
    pub fn headroom(
        &self,
        now: Millis,
        serving: &[ServingTask],
        best_effort: &[BestEffortGroup],
    ) -> Vec<Headroom> {
        let mut headrooms: Vec<Headroom> = Vec::new();
        for task in serving {
            let image = task.image.as_ref();
            let wanted: f64 = best_effort
                .iter()
                .map(|group| self.slope(image, group.image.as_ref()) * group.wanted)
                .sum();
            let alone = self.log_headroom(now, task, best_effort, MIN_PLACEMENT_BASELINE);
            let remaining = alone - wanted;
            match headrooms
                .iter_mut()
                .find(|headroom| headroom.image == task.image)
            {
                Some(headroom) => {
                    headroom.remaining = headroom.remaining.min(remaining);
                    headroom.alone = headroom.alone.min(alone);
                }
                None => headrooms.push(Headroom {
                    image: task.image.clone(),
                    remaining,
                    alone,
                    image_index: image.and_then(|name| self.image_indices.get(name)).copied(),
                }),
            }
        }
        headrooms
    }

    /// Interference of best-effort tasks of `image` with every serving image.
    pub fn interference(&self, now: Millis, image: Option<&Name>) -> ImageInterference {
        let slopes = self.images.iter().map(|serving| {
            let may_start = serving.may_start(now, image);
            may_start.then(|| serving.slope(image))
        });
        ImageInterference {
            slopes: slopes.collect(),
        }
    }

    /// Accounts for a best-effort task that is being started.
    pub fn record_start(
        &mut self,
        now: Millis,
        headrooms: &mut [Headroom],
        best_effort: Option<&Name>,
        share: f64,
    ) {
        for headroom in headrooms {
            headroom.remaining -= self.slope(headroom.image.as_ref(), best_effort) * share;
            let serving = headroom
                .image_index
                .and_then(|image_index| self.images.get_mut(image_index));
            if let (Some(serving), Some(best_effort)) = (serving, best_effort) {
                if !serving.is_known(Some(best_effort)) && serving.trials.len() < MAX_IMAGES {
                    serving.trials.insert(best_effort.clone(), now);
                }
            }
        }
    }

    /// Speed limit of the best-effort tasks of each image, as a share of full speed, in the order
    /// of `best_effort`. Images that interfere with no serving task on the worker run at full
    /// speed.
    pub fn speed_limits(
        &self,
        now: Millis,
        serving: &[ServingTask],
        best_effort: &[BestEffortGroup],
    ) -> Vec<f64> {
        let mut limits: Vec<f64> = vec![1.0; best_effort.len()];
        for task in serving {
            let slopes: Vec<f64> = best_effort
                .iter()
                .map(|group| self.slope(task.image.as_ref(), group.image.as_ref()))
                .collect();
            let threshold = if task.tail >= OVER_BOUND_SHARE {
                0.0
            } else {
                TOLERABLE_SLOPE
            };
            let tolerable: f64 =
                full_speed_interference(best_effort, &slopes, |slope| slope < threshold);
            let reducible: f64 =
                full_speed_interference(best_effort, &slopes, |slope| slope >= threshold);
            if reducible <= 0.0 {
                continue;
            }
            let log_headroom = self.log_headroom(now, task, best_effort, MIN_TAIL) - tolerable;
            let factor = (log_headroom / reducible).clamp(0.0, 1.0);
            for (limit, slope) in limits.iter_mut().zip(&slopes) {
                if *slope >= threshold {
                    *limit = limit.min(factor);
                }
            }
        }
        limits
    }
}

/// Speed limit to order for a task that has the limit `current`, both in percent, if `target` is the
/// highest one that its neighbours bear. Small rises are left out: the load of serving tasks swings,
/// and each report would otherwise lead to an order.
pub fn next_speed_limit(current: u8, target: u8) -> u8 {
    let is_small_rise = target > current && target - current < MIN_RISE;
    match is_small_rise && current > 0 && target < 100 {
        true => current,
        false => target,
    }
}

impl ServingImage {
    /// Index of the coefficient of a best-effort image, which is added if it is new; `None` if
    /// there are too many.
    fn coefficient_index(&mut self, best_effort: &Name) -> Option<usize> {
        if let Some(index) = self.coefficient_indices.get(best_effort) {
            return Some(*index);
        }
        if self.regression.len() >= MAX_BEST_EFFORT_IMAGES {
            return None;
        }
        let index = self.regression.add(PRIOR_SLOPE);
        self.coefficient_indices.insert(best_effort.clone(), index);
        Some(index)
    }

    fn learned(&self) -> Vec<LearnedSlope> {
        let known = self.coefficient_indices.iter();
        let slopes = known.map(|(name, index)| LearnedSlope {
            image: name.clone(),
            slope: self.slope(Some(name)) as f32,
            information: self.regression.information(*index) as f32,
        });
        slopes
            .filter(|slope| f64::from(slope.information) >= KNOWN_INFORMATION)
            .collect()
    }

    fn is_known(&self, best_effort: Option<&Name>) -> bool {
        let index = best_effort.and_then(|name| self.coefficient_indices.get(name));
        index.is_some_and(|index| self.regression.information(*index) >= KNOWN_INFORMATION)
    }

    /// Whether the pair is known, or has not been tried for a while.
    fn may_start(&self, now: Millis, best_effort: Option<&Name>) -> bool {
        let last = best_effort.and_then(|name| self.trials.get(name));
        last.is_none_or(|at| now.since(*at) >= TRIAL_TIME) || self.is_known(best_effort)
    }

    fn slope(&self, best_effort: Option<&Name>) -> f64 {
        let index = best_effort.and_then(|name| self.coefficient_indices.get(name));
        index.map_or(PRIOR_SLOPE, |index| {
            self.regression.coefficient(*index).clamp(0.0, MAX_SLOPE)
        })
    }
}

/// Interference at full speed of the images whose slope passes `is_counted`.
fn full_speed_interference(
    best_effort: &[BestEffortGroup],
    slopes: &[f64],
    is_counted: impl Fn(f64) -> bool,
) -> f64 {
    best_effort
        .iter()
        .zip(slopes)
        .filter(|(_, slope)| is_counted(**slope))
        .map(|(group, slope)| group.wanted * slope)
        .sum()
}
