//! Switches of the control calls.

use fastrand::Rng;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Body of `POST /control`: each switch with its new value.
pub type Patch = Map<String, Value>;

pub fn parse<T: DeserializeOwned>(name: &str, value: &Value) -> Result<T> {
    T::deserialize(value).map_err(|source| Error::Switch {
        name: name.to_owned(),
        source,
    })
}

/// Decides which answers a fault hits: the next `n`, or each with a seeded probability.
#[derive(Debug, Default)]
pub struct Faults {
    remaining: u64,
    random: Option<(f64, Rng)>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum FaultSetting {
    Count(u64),
    Probability { probability: f64, seed: u64 },
}

impl Faults {
    /// Accepts a count, or `{"probability": 0..1, "seed": n}`.
    pub fn set(&mut self, name: &str, value: &Value) -> Result<()> {
        *self = match parse(name, value)? {
            FaultSetting::Count(remaining) => Faults {
                remaining,
                random: None,
            },
            FaultSetting::Probability { probability, seed } => Faults {
                remaining: 0,
                random: Some((probability, Rng::with_seed(seed))),
            },
        };
        Ok(())
    }

    pub fn hits(&mut self) -> bool {
        if let Some((probability, rng)) = &mut self.random {
            return rng.f64() < *probability;
        }
        let hit = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        hit
    }
}
