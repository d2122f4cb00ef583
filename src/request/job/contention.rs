//! Learned contention: how much filling tasks of one image raise the tail latency of serving tasks
//! of another, and how fast filling tasks may run beside them.

use std::collections::HashMap;

use super::regression::Regression;
use crate::base::{Millis, Name};

/// Tail latency as a share of its bound before anything is known of an image.
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
/// Lowest tail that is assumed for the next seconds, as a share of the bound: what an undisturbed
/// task reaches at the top of its load's swing.
const EXPECTED_TAIL: f64 = 0.72;
/// Share of its bound at which a serving task counts as over it; then even harmless images are slowed
/// down.
pub const OVER: f64 = 0.97;
/// Slope below which a pair counts as harmless.
const HARMLESS: f64 = 0.4;

/// A serving task as the latest report shows it.
#[derive(Debug, Clone)]
pub struct Serving<'a> {
    pub image: Option<&'a Name>,
    /// Tail latency as a share of its bound.
    pub tail: f64,
}

/// Filling tasks of one image on a worker.
#[derive(Debug, Clone)]
pub struct Filling<'a> {
    pub image: Option<&'a Name>,
    /// Share of the worker's processors in use.
    pub used: f64,
    /// Share of the worker's processors at full pace.
    pub wanted: f64,
}

/// What disturbs the serving tasks of one image.
#[derive(Debug)]
struct Image {
    /// Logarithm of the tail as a share of its bound, over the shares that filling images use.
    tail: Regression,
    indices: HashMap<Name, usize>,
    /// When each unknown pair was last tried.
    trials: HashMap<Name, Millis>,
}

/// What has been learned of all pairs of images.
#[derive(Debug, Default)]
pub struct Contention {
    images: HashMap<Name, Image>,
}

impl Contention {
    /// Learns from one report of a worker.
    pub fn observe(&mut self, serving: &Serving<'_>, filling: &[Filling<'_>]) {
        let Some(name) = serving.image else {
            return;
        };
        if !self.images.contains_key(name) {
            if self.images.len() >= MAX_IMAGES {
                return;
            }
            let image = Image {
                tail: Regression::new(PRIOR_TAIL.ln()),
                indices: HashMap::new(),
                trials: HashMap::new(),
            };
            self.images.insert(name.clone(), image);
        }
        let Some(image) = self.images.get_mut(name) else {
            return;
        };
        let seen = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let mut values = Vec::with_capacity(filling.len());
        for other in filling.iter().filter(|other| other.used > 0.0) {
            if let Some(index) = other.image.and_then(|filler| image.index(filler)) {
                values.push((index, other.used));
            }
        }
        image.tail.observe(&values, seen);
    }

    /// Brings what was observed since the last call into force.
    pub fn learn(&mut self) {
        for image in self.images.values_mut() {
            image.tail.solve();
        }
    }

    /// Rise of the logarithm of the tail by a filling image that takes a whole worker.
    pub fn slope(&self, serving: Option<&Name>, filling: Option<&Name>) -> f64 {
        let image = serving.and_then(|name| self.images.get(name));
        image.map_or(PRIOR_SLOPE, |image| image.slope(filling))
    }

    /// How much room for pressure a serving task leaves: the logarithm from its undisturbed tail to
    /// the aim.
    fn slack(&self, serving: &Serving<'_>, filling: &[Filling<'_>]) -> f64 {
        let pressure: f64 = filling
            .iter()
            .map(|other| self.slope(serving.image, other.image) * other.used)
            .sum();
        let seen = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let undisturbed = (seen - pressure + SWING.ln()).max(EXPECTED_TAIL.ln());
        AIM.ln() - undisturbed
    }

    /// Whether a filling task may start beside these serving tasks as a trial of pairs of which too
    /// little is known.
    pub fn may_try(&self, now: Millis, serving: &[Serving<'_>], filling: Option<&Name>) -> bool {
        serving.iter().all(|task| {
            let image = task.image.and_then(|name| self.images.get(name));
            image.is_none_or(|image| image.is_known(filling) || image.may_try(now, filling))
        })
    }

    /// Notes that a filling task starts beside these images.
    pub fn begin_trial<'a>(
        &mut self,
        now: Millis,
        serving: impl Iterator<Item = &'a Name>,
        filling: &Name,
    ) {
        for name in serving {
            if let Some(image) = self.images.get_mut(name) {
                if !image.is_known(Some(filling)) && image.trials.len() < MAX_IMAGES {
                    image.trials.insert(filling.clone(), now);
                }
            }
        }
    }

    /// Least slack that is left if one more filling task takes `share` of the worker, all at full
    /// pace; negative if a serving task is expected to miss the aim.
    pub fn slack_with(
        &self,
        serving: &[Serving<'_>],
        filling: &[Filling<'_>],
        image: Option<&Name>,
        share: f64,
    ) -> f64 {
        let left = serving.iter().map(|task| {
            let wanted: f64 = filling
                .iter()
                .map(|other| self.slope(task.image, other.image) * other.wanted)
                .sum();
            self.slack(task, filling) - wanted - self.slope(task.image, image) * share
        });
        left.fold(f64::INFINITY, f64::min)
    }

    /// Pace for the filling tasks of each image, as a share of full pace, in the order of
    /// `filling`. Images that disturb no serving task here run at full pace.
    pub fn paces(&self, serving: &[Serving<'_>], filling: &[Filling<'_>]) -> Vec<f64> {
        let mut paces: Vec<f64> = vec![1.0; filling.len()];
        for task in serving {
            let slopes: Vec<f64> = filling
                .iter()
                .map(|other| self.slope(task.image, other.image))
                .collect();
            let limit = if task.tail >= OVER { 0.0 } else { HARMLESS };
            let harmless: f64 = parts(filling, &slopes, |slope| slope < limit);
            let harmful: f64 = parts(filling, &slopes, |slope| slope >= limit);
            if harmful <= 0.0 {
                continue;
            }
            let slack = self.slack(task, filling) - harmless;
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

    fn may_try(&self, now: Millis, filling: Option<&Name>) -> bool {
        let last = filling.and_then(|name| self.trials.get(name));
        last.is_none_or(|at| now.since(*at) >= TRIAL_TIME)
    }

    fn slope(&self, filling: Option<&Name>) -> f64 {
        let index = filling.and_then(|name| self.indices.get(name));
        index.map_or(PRIOR_SLOPE, |index| {
            self.tail.coefficient(*index).clamp(0.0, MAX_SLOPE)
        })
    }
}

fn parts(filling: &[Filling<'_>], slopes: &[f64], counts: impl Fn(f64) -> bool) -> f64 {
    filling
        .iter()
        .zip(slopes)
        .filter(|(_, slope)| counts(**slope))
        .map(|(other, slope)| other.wanted * slope)
        .sum()
}
