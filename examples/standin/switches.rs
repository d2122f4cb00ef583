//! Values of the switches that `POST /control` sets, and random faults.

use fastrand::Rng;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Body of `POST /control`: the switches to set, each with its new value.
pub type Patch = Map<String, Value>;

/// Parses the value of the switch `name`.
pub fn parse<T: DeserializeOwned>(name: &str, value: &Value) -> Result<T> {
    T::deserialize(value).map_err(|source| Error::Switch {
        name: name.to_owned(),
        source,
    })
}

/// Decides which answers a fault affects: the next `n`, or each with a fixed probability.
#[derive(Debug, Default)]
pub struct FaultTrigger {
    remaining: u64,
    random: Option<(f64, Rng)>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TriggerSetting {
    Count(u64),
    Probability { probability: f64, seed: u64 },
}

impl FaultTrigger {
    /// Sets the fault from a count or from `{"probability": 0..1, "seed": n}`.
    pub fn set(&mut self, name: &str, value: &Value) -> Result<()> {
        *self = match parse(name, value)? {
            TriggerSetting::Count(remaining) => FaultTrigger {
                remaining,
                random: None,
            },
            TriggerSetting::Probability { probability, seed } => FaultTrigger {
                remaining: 0,
                random: Some((probability, Rng::with_seed(seed))),
            },
        };
        Ok(())
    }

    /// Returns whether the fault affects the next answer.
    pub fn fires(&mut self) -> bool {
        if let Some((probability, rng)) = &mut self.random {
            return rng.f64() < *probability;
        }
        let fires = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        fires
    }
}
