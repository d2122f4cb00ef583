//! Deterministic model of the run time and resource usage of tasks.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;

use fastrand::Rng;
use jayfork::base::{Attempt, Millis, Name, Size};
use jayfork::connection::wire::StartRequest;
use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;

use crate::error::Result;
use crate::switches::parse;

/// How the run time and usage of a class's tasks differ from the declared ones.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassModel {
    /// Actual run time, in percent of the declared one.
    pub run_percent: u32,
    /// Actual run time in milliseconds, which replaces the declared one; it also ends tasks that
    /// declare none.
    pub run_ms: Option<u64>,
    /// Actual usage, in percent of the declared size.
    pub use_percent: u32,
    /// Maximum deviation of run time and usage from their means, in percent.
    pub spread_percent: u32,
    /// Percentage of the attempts that fail at the end of their run.
    pub fail_percent: u32,
}

/// How an attempt runs on an idle worker if no command ends it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Run time at full speed; `None` if the task doesn't end by itself.
    pub run: Option<Millis>,
    pub usage: Size,
    pub fails: bool,
}

#[derive(Debug)]
pub struct Model {
    seed: u64,
    default: ClassModel,
    classes: HashMap<Name, ClassModel>,
    fail_tasks: HashSet<String>,
}

impl Default for ClassModel {
    fn default() -> Self {
        ClassModel {
            run_percent: 100,
            run_ms: None,
            use_percent: 100,
            spread_percent: 0,
            fail_percent: 0,
        }
    }
}

impl Model {
    pub fn new(seed: u64) -> Self {
        Model {
            seed,
            default: ClassModel::default(),
            classes: HashMap::new(),
            fail_tasks: HashSet::new(),
        }
    }

    /// Sets the switch `classes` (models by class name), `default_class` or `fail_tasks` (ids of
    /// tasks that fail) for later starts. Returns `false` if there is no such switch.
    pub fn set(&mut self, name: &str, value: &Value) -> Result<bool> {
        match name {
            "classes" => self.classes = parse(name, value)?,
            "default_class" => self.default = parse(name, value)?,
            "fail_tasks" => self.fail_tasks = parse(name, value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Returns how the attempt of a start request will run.
    pub fn plan(&self, request: &StartRequest) -> Plan {
        let class = self.classes.get(&request.class).unwrap_or(&self.default);
        // All attempts of a task have the same run time and usage, but each may fail or not.
        let mut rng = self.rng(&request.task, Attempt(0));
        let run_spread = spread(&mut rng, class.spread_percent);
        let use_spread = spread(&mut rng, class.spread_percent);
        let declared = (request.run > 0).then_some(request.run);
        let run = match (class.run_ms, declared) {
            (Some(run), _) => Some(run * run_spread / 100),
            (None, Some(run)) => Some(run * u64::from(class.run_percent) * run_spread / 10_000),
            (None, None) => None,
        };
        let percent = u64::from(class.use_percent) * use_spread / 100;
        let fails = self.rng(&request.task, request.attempt.next()).u32(..100) < class.fail_percent
            || self.fail_tasks.contains(&request.task);
        Plan {
            run: run.map(Millis),
            usage: request.size.scale(percent as u32),
            fails,
        }
    }

    fn rng(&self, task: &str, attempt: Attempt) -> Rng {
        let mut hasher = SipHasher13::new_with_keys(self.seed, u64::from(attempt.0));
        hasher.write(task.as_bytes());
        Rng::with_seed(hasher.finish())
    }
}

/// Returns a random percentage in `100 - percent ..= 100 + percent`.
fn spread(rng: &mut Rng, percent: u32) -> u64 {
    let percent = u64::from(percent.min(100));
    rng.u64(100 - percent..=100 + percent)
}
