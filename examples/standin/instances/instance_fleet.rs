//! All instances of the process.

use std::hash::Hasher;
use std::time::Duration;

use fastrand::Rng;
use jayfork::base::{Millis, Name, Token};
use jayfork::connection::wire::{InstanceReport, LeaseRefusal, LeaseReply, LeaseRequest};
use serde_json::Value;
use siphasher::sip::SipHasher13;

use super::instance::{AnswerFaults, Instance, Limits, Refusal};
use crate::clock;
use crate::error::Result;
use crate::fleet::FleetState;
use crate::recorder::Recorder;
use crate::switches::parse;

/// Time that requests run; each request's own time is derived from its id.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    /// Mean time in milliseconds.
    pub mean: u64,
    /// Maximum deviation from the mean, in percent.
    pub spread: u64,
    pub seed: u64,
}

/// A request that occupies a slot.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    pub incarnation: u64,
    pub time: Duration,
}

/// All instances and the time that their requests run.
///
/// Switches of a host, besides those of `NetworkFaults`: `leaving`, `busy` (refuses all requests),
/// `service_ms` (mean run time; `null` for that of the process), `truncate` (see `FaultTrigger`),
/// `delay_answers_ms`, `reorder` (number of answers to collect and send in reverse order),
/// `restart` (starts a new incarnation) and `crash` (ends all requests; `false` restarts the host).
#[derive(Debug)]
pub struct InstanceFleet {
    instances: Vec<Instance>,
    service_time: ServiceTime,
    recorder: Recorder,
}

impl InstanceFleet {
    pub fn new(names: &[Name], limits: Limits, service_time: ServiceTime) -> Self {
        let now = clock::now();
        InstanceFleet {
            instances: names
                .iter()
                .map(|name| Instance::new(now, name.clone(), limits))
                .collect(),
            service_time,
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

    pub fn check_connections(&mut self, now: Millis, instance: usize, open: usize) -> bool {
        self.instances[instance].check_connections(now, open, &mut self.recorder)
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
        let mean = instance
            .switches
            .service_ms
            .unwrap_or(self.service_time.mean);
        Ok(Running {
            incarnation,
            time: self.service_time.of_request(mean, id),
        })
    }

    pub fn finish(
        &mut self,
        now: Millis,
        instance: usize,
        id: &str,
        incarnation: u64,
    ) -> Option<AnswerFaults> {
        self.instances[instance].finish(now, id, incarnation, &mut self.recorder)
    }
}

impl FleetState for InstanceFleet {
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
    fn of_request(&self, mean: u64, id: &str) -> Duration {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0);
        hasher.write(id.as_bytes());
        let percent = Rng::with_seed(hasher.finish()).u64(100 - self.spread..=100 + self.spread);
        Duration::from_micros(mean * percent * 10)
    }
}
