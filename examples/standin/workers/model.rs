//! Deterministic model of how long tasks run and what they use.

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

/// How the tasks of a class differ from what they declare.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassModel {
    /// True run time, in percent of the declared one.
    pub run_percent: u32,
    /// True run time in ms, whatever was declared; also ends tasks that declare no end.
    pub run_ms: Option<u64>,
    /// True use, in percent of the declared size.
    pub use_percent: u32,
    /// Run time and use vary by up to this percentage around their mean.
    pub spread_percent: u32,
    /// Share of attempts that fail at the end of their run.
    pub fail_percent: u32,
}

/// What an attempt does if nothing interferes.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Run time at full speed; `None` for a task without an end.
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

    /// Sets `classes` (by name), `default_class` or `fail_tasks`; affects later starts only.
    pub fn set(&mut self, name: &str, value: &Value) -> Result<bool> {
        match name {
            "classes" => self.classes = parse(name, value)?,
            "default_class" => self.default = parse(name, value)?,
            "fail_tasks" => self.fail_tasks = parse(name, value)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    pub fn plan(&self, request: &StartRequest) -> Plan {
        let class = self.classes.get(&request.class).unwrap_or(&self.default);
        // The run time and use belong to the task, the failure to the attempt.
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

/// A percentage in `100 - percent ..= 100 + percent`.
fn spread(rng: &mut Rng, percent: u32) -> u64 {
    let percent = u64::from(percent.min(100));
    rng.u64(100 - percent..=100 + percent)
}
