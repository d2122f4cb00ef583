//! All instances of the process.

use std::hash::Hasher;
use std::time::Duration;

use fastrand::Rng;
use jayfork::base::{Millis, Name, Token};
use jayfork::connection::wire::{InstanceReport, LeaseRefusal, LeaseReply, LeaseRequest};
use serde_json::Value;
use siphasher::sip::SipHasher13;

use super::instance::{Delivery, Instance, Limits, Refusal};
use crate::clock;
use crate::error::Result;
use crate::fleet::Backend;
use crate::recorder::Recorder;
use crate::switches::parse;

/// Time to run a request, derived from its id.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    /// Milliseconds.
    pub mean: u64,
    /// Percentage around the mean.
    pub spread: u64,
    pub seed: u64,
}

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    pub incarnation: u64,
    pub time: Duration,
}

/// All instances with their service time.
///
/// Switches of a host, beside those of `Gate`: `leaving`, `busy`, `service_ms` (`null` for the
/// mean of all), `truncate` (see `Faults`), `delay_answers_ms`, `reorder` (answers that are sent
/// last first), `restart` (empty memory, new incarnation) and `crash` (ends all requests; `false`
/// restarts).
#[derive(Debug)]
pub struct InstanceFleet {
    instances: Vec<Instance>,
    time: ServiceTime,
    recorder: Recorder,
}

impl InstanceFleet {
    pub fn new(names: &[Name], limits: Limits, time: ServiceTime) -> Self {
        let now = clock::now();
        InstanceFleet {
            instances: names
                .iter()
                .map(|name| Instance::new(now, name.clone(), limits))
                .collect(),
            time,
            recorder: Recorder::default(),
        }
    }

    pub fn lease(
        &mut self,
        now: Millis,
        instance: usize,
        request: &LeaseRequest,
    ) -> std::result::Result<LeaseReply<InstanceReport>, LeaseRefusal> {
        self.instances[instance].lease(now, request, &mut self.recorder)
    }

    pub fn release(&mut self, now: Millis, instance: usize, token: Token) -> bool {
        self.instances[instance].release(now, token, &mut self.recorder)
    }

    pub fn connect(&mut self, now: Millis, instance: usize, open: usize) -> bool {
        self.instances[instance].connect(now, open, &mut self.recorder)
    }

    pub fn start(
        &mut self,
        now: Millis,
        instance: usize,
        id: &str,
        token: Token,
    ) -> std::result::Result<Running, Refusal> {
        let instance = &mut self.instances[instance];
        let incarnation = instance.start(now, id, token, &mut self.recorder)?;
        let mean = instance.switches.service_ms.unwrap_or(self.time.mean);
        Ok(Running {
            incarnation,
            time: self.time.of(mean, id),
        })
    }

    pub fn finish(
        &mut self,
        now: Millis,
        instance: usize,
        id: &str,
        incarnation: u64,
    ) -> Option<Delivery> {
        self.instances[instance].finish(now, id, incarnation, &mut self.recorder)
    }
}

impl Backend for InstanceFleet {
    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn set_host(&mut self, now: Millis, host: usize, name: &str, value: &Value) -> Result<bool> {
        let instance = &mut self.instances[host];
        let switches = &mut instance.switches;
        match name {
            "busy" => switches.busy = parse(name, value)?,
            "service_ms" => switches.service_ms = parse(name, value)?,
            "truncate" => switches.truncate.set(name, value)?,
            "delay_answers_ms" => {
                switches.delay_answers = Duration::from_millis(parse(name, value)?);
            }
            "reorder" => switches.reorder = parse(name, value)?,
            "leaving" => instance.set_leaving(now, parse(name, value)?, &mut self.recorder),
            "restart" => {
                if parse(name, value)? {
                    instance.restart(now, &mut self.recorder);
                }
            }
            "crash" => {
                if parse(name, value)? {
                    instance.crash(now, &mut self.recorder);
                } else {
                    instance.restart(now, &mut self.recorder);
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn set(&mut self, _now: Millis, _name: &str, _value: &Value) -> Result<bool> {
        Ok(false)
    }
}

impl ServiceTime {
    fn of(&self, mean: u64, id: &str) -> Duration {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0);
        hasher.write(id.as_bytes());
        let percent = Rng::with_seed(hasher.finish()).u64(100 - self.spread..=100 + self.spread);
        Duration::from_micros(mean * percent * 10)
    }
}
