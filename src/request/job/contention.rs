//! Learned contention: how much filling tasks of one image raise the tail latency of serving tasks
//! of another, and how fast filling tasks may run beside them.

use std::collections::HashMap;

use super::regression::Regression;
use super::spec::JobId;
use super::undisturbed::Undisturbed;
use crate::base::{Millis, Name};

/// Tail latency as a share of its bound that is assumed of a task whose job's undisturbed tail is not
/// known.
const PRIOR_TAIL: f64 = 0.4;
/// Rise of the logarithm of the tail by a filling image that takes the whole worker, before
/// anything is known of the pair: most pairs disturb little, some raise the tail fast.
const PRIOR_SLOPE: f64 = 2.0;
/// Information from which on a pair counts as known: three reports of a task that takes a tenth of
/// a worker.
const KNOWN: f64 = 0.03;
/// Shortest time between two trials of an unknown pair, in milliseconds: a start, the half second
/// that the figures lag, and a report.
const TRIAL_TIME: Millis = Millis(1_500);
const MAX_SLOPE: f64 = 12.0;
/// Tails above this share of the bound count as this; beyond it the tail says little about the
/// size of the disturbance.
const MAX_TAIL: f64 = 6.0;
const MIN_TAIL: f64 = 0.1;
/// Images of one kind that are kept apart; further ones count as unknown.
const MAX_IMAGES: usize = 256;
/// The same for the filling images beside one serving image, whose cost grows with the cube.
const MAX_FILLERS: usize = 48;
/// Tail that placement and pace aim at, as a share of the bound; the rest is for swings of the load
/// within the half second that the figures lag.
const AIM: f64 = 0.9;
/// Factor by which a tail may rise with the load before the next report changes the pace.
const SWING: f64 = 1.1;
/// Lowest tail that is assumed of a task whose job's undisturbed tail is not known, as a share of the
/// bound: what an undisturbed task reaches at the top of its load's swing.
const EXPECTED_TAIL: f64 = 0.72;
/// The same for the placement beside a task whose undisturbed tail is known: a filling task stays for
/// seconds, in which the load swings half-way to its top.
const PLACING_TAIL: f64 = 0.55;
/// Share of its bound at which a serving task counts as over it; then even harmless images are slowed
/// down.
pub const OVER_BOUND_SHARE: f64 = 0.97;
/// Slope below which a pair counts as harmless.
const HARMLESS: f64 = 0.4;

/// A serving task as the latest report shows it.
#[derive(Debug, Clone)]
pub struct ServingTask {
    pub job: JobId,
    pub image: Option<Name>,
    /// Tail latency as a share of its bound.
    pub tail: f64,
}

/// Room for more pressure on the serving tasks of one image on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Headroom {
    pub image: Option<Name>,
    /// Logarithm from the expected tail to the aim.
    pub left: f64,
    /// Place of the serving image among those learned of.
    place: Option<usize>,
}

/// What filling tasks of one image do to the serving images, in the order of their places.
#[derive(Debug, Clone)]
pub struct ImageInterference {
    /// Slope, or `None` if the pair is unknown and was tried a moment ago.
    slopes: Vec<Option<f64>>,
}

impl ImageInterference {
    /// Least margin that is left if such a task takes `share` of the worker; negative infinity if a
    /// pair may not be tried now.
    pub fn headroom_with(&self, margins: &[Headroom], share: f64) -> f64 {
        let mut least = f64::INFINITY;
        for margin in margins {
            let slope = margin.place.and_then(|place| self.slopes.get(place));
            let Some(slope) = slope.copied().unwrap_or(Some(PRIOR_SLOPE)) else {
                return f64::NEG_INFINITY;
            };
            least = least.min(margin.left - slope * share);
        }
        least
    }
}

/// Filling tasks of one image on a worker.
#[derive(Debug, Clone)]
pub struct BestEffortGroup {
    pub image: Option<Name>,
    /// Share of the worker's processors in use.
    pub used: f64,
    /// Share of the worker's processors at full pace.
    pub wanted: f64,
}

/// What disturbs the serving tasks of one image.
#[derive(Debug)]
struct Image {
    /// Logarithm of the tail over what it would be undisturbed, over the shares that filling images
    /// use.
    tail: Regression,
    indices: HashMap<Name, usize>,
    /// When each unknown pair was last tried.
    trials: HashMap<Name, Millis>,
}

/// What has been learned of all pairs of images.
#[derive(Debug, Default)]
pub struct Contention {
    images: Vec<Image>,
    places: HashMap<Name, usize>,
    undisturbed: Undisturbed,
}

impl Contention {
    /// Learns from one report of a worker.
    pub fn observe(&mut self, now: Millis, serving: &ServingTask, filling: &[BestEffortGroup]) {
        let seen = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let known = self.undisturbed.expected(now, serving.job);
        let pressure = self.pressure_on(serving, filling);
        self.undisturbed
            .observe(now, serving.job, seen - pressure, pressure);
        let Some(name) = &serving.image else {
            return;
        };
        if !self.places.contains_key(name) {
            if self.images.len() >= MAX_IMAGES {
                return;
            }
            let image = Image {
                tail: Regression::new(0.0),
                indices: HashMap::new(),
                trials: HashMap::new(),
            };
            self.places.insert(name.clone(), self.images.len());
            self.images.push(image);
        }
        let place = self.places.get(name);
        let Some(image) = place.and_then(|place| self.images.get_mut(*place)) else {
            return;
        };
        let mut values = Vec::with_capacity(filling.len());
        for other in filling.iter().filter(|other| other.used > 0.0) {
            if let Some(index) = other.image.as_ref().and_then(|filler| image.index(filler)) {
                values.push((index, other.used));
            }
        }
        image
            .tail
            .observe(&values, seen - known.unwrap_or(PRIOR_TAIL.ln()));
    }

    /// Brings what was observed since the last call into force.
    pub fn learn(&mut self, now: Millis) {
        self.undisturbed.forget_old(now);
        for image in &mut self.images {
            image.tail.solve();
        }
    }

    /// Rise of the logarithm of the tail by a filling image that takes a whole worker.
    pub fn slope(&self, serving: Option<&Name>, filling: Option<&Name>) -> f64 {
        let place = serving.and_then(|name| self.places.get(name));
        let image = place.and_then(|place| self.images.get(*place));
        image.map_or(PRIOR_SLOPE, |image| image.slope(filling))
    }

    /// Rise of the logarithm of a serving task's tail by the filling tasks beside it.
    fn pressure_on(&self, serving: &ServingTask, filling: &[BestEffortGroup]) -> f64 {
        let image = serving.image.as_ref();
        let parts = filling
            .iter()
            .map(|other| self.slope(image, other.image.as_ref()) * other.used);
        parts.sum()
    }

    /// How much room for pressure a serving task leaves: the logarithm from its undisturbed tail,
    /// taken as at least `least`, to the aim.
    fn slack(
        &self,
        now: Millis,
        serving: &ServingTask,
        filling: &[BestEffortGroup],
        least: f64,
    ) -> f64 {
        let seen = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let unexplained = seen - self.pressure_on(serving, filling);
        let known = self.undisturbed.expected(now, serving.job);
        let undisturbed = match known.filter(|_| serving.tail < AIM) {
            // What the slopes don't explain may be a load that rises faster than the estimate.
            Some(known) => ((known + unexplained.max(known)) / 2.0 + SWING.ln()).max(least.ln()),
            None => (unexplained + SWING.ln()).max(EXPECTED_TAIL.ln()),
        };
        AIM.ln() - undisturbed
    }

    /// What every serving image on a worker leaves for more pressure if all filling tasks there run
    /// at full pace.
    pub fn headroom(
        &self,
        now: Millis,
        serving: &[ServingTask],
        filling: &[BestEffortGroup],
    ) -> Vec<Headroom> {
        let mut margins: Vec<Headroom> = Vec::new();
        for task in serving {
            let image = task.image.as_ref();
            let wanted: f64 = filling
                .iter()
                .map(|other| self.slope(image, other.image.as_ref()) * other.wanted)
                .sum();
            let left = self.slack(now, task, filling, PLACING_TAIL) - wanted;
            match margins.iter_mut().find(|margin| margin.image == task.image) {
                Some(margin) => margin.left = margin.left.min(left),
                None => margins.push(Headroom {
                    image: task.image.clone(),
                    left,
                    place: image.and_then(|name| self.places.get(name)).copied(),
                }),
            }
        }
        margins
    }

    /// What filling tasks of `image` do to every serving image.
    pub fn interference(&self, now: Millis, image: Option<&Name>) -> ImageInterference {
        let slopes = self.images.iter().map(|serving| {
            let may_start = serving.may_start(now, image);
            may_start.then(|| serving.slope(image))
        });
        ImageInterference {
            slopes: slopes.collect(),
        }
    }

    /// Takes a filling task that starts into account.
    pub fn record_start(
        &mut self,
        now: Millis,
        margins: &mut [Headroom],
        filling: Option<&Name>,
        share: f64,
    ) {
        for margin in margins {
            margin.left -= self.slope(margin.image.as_ref(), filling) * share;
            let serving = margin.place.and_then(|place| self.images.get_mut(place));
            if let (Some(serving), Some(filling)) = (serving, filling) {
                if !serving.is_known(Some(filling)) && serving.trials.len() < MAX_IMAGES {
                    serving.trials.insert(filling.clone(), now);
                }
            }
        }
    }

    /// Pace for the filling tasks of each image, as a share of full pace, in the order of
    /// `filling`. Images that disturb no serving task here run at full pace.
    pub fn speed_limits(
        &self,
        now: Millis,
        serving: &[ServingTask],
        filling: &[BestEffortGroup],
    ) -> Vec<f64> {
        let mut paces: Vec<f64> = vec![1.0; filling.len()];
        for task in serving {
            let slopes: Vec<f64> = filling
                .iter()
                .map(|other| self.slope(task.image.as_ref(), other.image.as_ref()))
                .collect();
            let limit = if task.tail >= OVER_BOUND_SHARE {
                0.0
            } else {
                HARMLESS
            };
            let harmless: f64 = parts(filling, &slopes, |slope| slope < limit);
            let harmful: f64 = parts(filling, &slopes, |slope| slope >= limit);
            if harmful <= 0.0 {
                continue;
            }
            let slack = self.slack(now, task, filling, MIN_TAIL) - harmless;
            let share = (slack / harmful).clamp(0.0, 1.0);
            for (pace, slope) in paces.iter_mut().zip(&slopes) {
                if *slope >= limit {
                    *pace = pace.min(share);
                }
            }
        }
        paces
    }
}

impl Image {
    fn index(&mut self, filling: &Name) -> Option<usize> {
        if let Some(index) = self.indices.get(filling) {
            return Some(*index);
        }
        if self.tail.len() >= MAX_FILLERS {
            return None;
        }
        let index = self.tail.add(PRIOR_SLOPE);
        self.indices.insert(filling.clone(), index);
        Some(index)
    }

    fn is_known(&self, filling: Option<&Name>) -> bool {
        let index = filling.and_then(|name| self.indices.get(name));
        index.is_some_and(|index| self.tail.information(*index) >= KNOWN)
    }

    /// Whether the pair is known, or was not tried for a while.
    fn may_start(&self, now: Millis, filling: Option<&Name>) -> bool {
        let last = filling.and_then(|name| self.trials.get(name));
        last.is_none_or(|at| now.since(*at) >= TRIAL_TIME) || self.is_known(filling)
    }

    fn slope(&self, filling: Option<&Name>) -> f64 {
        let index = filling.and_then(|name| self.indices.get(name));
        index.map_or(PRIOR_SLOPE, |index| {
            self.tail.coefficient(*index).clamp(0.0, MAX_SLOPE)
        })
    }
}

fn parts(filling: &[BestEffortGroup], slopes: &[f64], counts: impl Fn(f64) -> bool) -> f64 {
    filling
        .iter()
        .zip(slopes)
        .filter(|(_, slope)| counts(**slope))
        .map(|(other, slope)| other.wanted * slope)
        .sum()
}
