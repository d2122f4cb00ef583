//! Learned contention: how much filling tasks of one image raise the tail latency of serving tasks
//! of another, and how fast filling tasks may run beside them.

use std::collections::HashMap;

use crate::base::Name;

/// Tail latency as a share of its bound before anything is known of an image.
const PRIOR_TAIL: f64 = 0.4;
/// Rise of the logarithm of the tail by a filling image that takes the whole worker, before
/// anything is known of the pair. Small enough to try a pair with one task, large enough not to
/// start many at once.
const PRIOR_SLOPE: f64 = 2.0;
const MAX_SLOPE: f64 = 12.0;
/// Steps of the normalised least mean squares: of the slopes and of the undisturbed tail.
const SLOPE_RATE: f64 = 0.3;
const TAIL_RATE: f64 = 0.03;
/// Keeps a step finite when the filling tasks take almost nothing.
const REGULARIZATION: f64 = 0.004;
/// Tails above this share of the bound count as this; beyond it the tail says little about the
/// size of the disturbance.
const MAX_TAIL: f64 = 6.0;
const MIN_TAIL: f64 = 0.1;
/// Images of one kind that are kept apart; further ones count as unknown.
const MAX_IMAGES: usize = 256;
/// Tail that placement and pace aim at, as a share of the bound; the rest is for swings of the load
/// within the half second that the figures lag.
const AIM: f64 = 0.85;
/// Lowest tail that is assumed for the next seconds, as a share of the bound: the load of a serving
/// task swings by half.
const EXPECTED_TAIL: f64 = 0.45;
/// Slope below which a pair counts as harmless.
const HARMLESS: f64 = 0.7;

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

#[derive(Debug, Default)]
struct Image {
    /// Logarithm of the undisturbed tail as a share of its bound.
    tail: Option<f64>,
    slopes: HashMap<Name, f64>,
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
            self.images.insert(name.clone(), Image::default());
        }
        let Some(image) = self.images.get_mut(name) else {
            return;
        };
        let seen = serving.tail.clamp(MIN_TAIL, MAX_TAIL).ln();
        let tail = image.tail.unwrap_or(PRIOR_TAIL.ln());
        let pressure: f64 = filling
            .iter()
            .map(|other| image.slope(other.image) * other.used)
            .sum();
        let error = seen - tail - pressure;
        let power: f64 = filling.iter().map(|other| other.used * other.used).sum();
        if power < REGULARIZATION {
            image.tail = Some(tail + TAIL_RATE * error);
        }
        for other in filling {
            let Some(filler) = other.image else {
                continue;
            };
            let slope = image.slope(Some(filler));
            let step = SLOPE_RATE * error * other.used / (power + REGULARIZATION);
            let learned = (slope + step).clamp(0.0, MAX_SLOPE);
            if let Some(known) = image.slopes.get_mut(filler) {
                *known = learned;
            } else if image.slopes.len() < MAX_IMAGES {
                image.slopes.insert(filler.clone(), learned);
            }
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
        let undisturbed = (seen - pressure).max(EXPECTED_TAIL.ln());
        AIM.ln() - undisturbed
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
            let harmless: f64 = parts(filling, &slopes, |slope| slope < HARMLESS);
            let harmful: f64 = parts(filling, &slopes, |slope| slope >= HARMLESS);
            if harmful <= 0.0 {
                continue;
            }
            let slack = self.slack(task, filling) - harmless;
            let share = (slack / harmful).clamp(0.0, 1.0);
            for (pace, slope) in paces.iter_mut().zip(&slopes) {
                if *slope >= HARMLESS {
                    *pace = pace.min(share);
                }
            }
        }
        paces
    }
}

impl Image {
    fn slope(&self, filling: Option<&Name>) -> f64 {
        let known = filling.and_then(|name| self.slopes.get(name));
        known.copied().unwrap_or(PRIOR_SLOPE)
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
