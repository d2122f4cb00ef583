//! All workers of the process.

use jayfork::base::{Millis, Name, Size, Token};
use jayfork::connection::wire::{
    LeaseRefusal, LeaseReply, LeaseRequest, StartRequest, StartState, TaskCommand, TaskReply,
    WorkerReport,
};
use serde_json::Value;

use super::model::Model;
use super::worker::{Command, Refusal, Worker, WorkerTiming};
use crate::clock;
use crate::error::Result;
use crate::fleet::FleetState;
use crate::recorder::Recorder;
use crate::switches::parse;

/// All workers and the model of their tasks.
///
/// Switches of a host, besides those of `NetworkFaults`: `leaving`, `fail_starts`, `noisy` (run
/// time and usage of all tasks, in percent of those on an idle worker), `restart` (starts a new
/// incarnation) and `crash` (ends all tasks; `false` restarts the host). Switches of the process:
/// `report_lag_ms`, `remember_ms` and those of `Model`.
#[derive(Debug)]
pub struct WorkerFleet {
    workers: Vec<Worker>,
    timing: WorkerTiming,
    model: Model,
    recorder: Recorder,
}

impl WorkerFleet {
    pub fn new(names: &[Name], capacity: Size, timing: WorkerTiming, model: Model) -> Self {
        let now = clock::now();
        let workers = names
            .iter()
            .map(|name| Worker::new(now, name.clone(), capacity, timing.run_ttl))
            .collect();
        WorkerFleet {
            workers,
            timing,
            model,
            recorder: Recorder::default(),
        }
    }

    /// Ends the tasks, on all workers, that are due to end; returns when the next one is due.
    ///
    /// Requests that read or change tasks do this first, so that an end is recorded before a later
    /// start.
    pub fn end_due_tasks(&mut self, now: Millis) -> Option<Millis> {
        self.workers
            .iter_mut()
            .filter_map(|worker| worker.end_due_tasks(now, &mut self.recorder))
            .min()
    }

    pub fn lease(
        &mut self,
        now: Millis,
        worker: usize,
        request: &LeaseRequest,
    ) -> std::result::Result<LeaseReply<WorkerReport>, LeaseRefusal> {
        self.end_due_tasks(now);
        self.workers[worker].lease(now, request, &self.timing, &mut self.recorder)
    }

    pub fn release(&mut self, now: Millis, worker: usize, token: Token) -> bool {
        self.workers[worker].release(now, token, &mut self.recorder)
    }

    pub fn start(
        &mut self,
        now: Millis,
        worker: usize,
        request: &StartRequest,
    ) -> std::result::Result<StartState, Refusal> {
        self.end_due_tasks(now);
        self.workers[worker].start(now, request, &self.model, &mut self.recorder)
    }

    pub fn command(
        &mut self,
        now: Millis,
        worker: usize,
        command: Command,
        request: &TaskCommand,
    ) -> std::result::Result<TaskReply, Refusal> {
        self.end_due_tasks(now);
        self.workers[worker].command(now, command, request, &mut self.recorder)
    }
}

impl FleetState for WorkerFleet {
    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn set_host(&mut self, now: Millis, host: usize, name: &str, value: &Value) -> Result<bool> {
        self.end_due_tasks(now);
        let worker = &mut self.workers[host];
        match name {
            "leaving" => worker.set_leaving(now, parse(name, value)?, &mut self.recorder),
            "fail_starts" => worker.set_fail_starts(parse(name, value)?),
            "noisy" => worker.set_interference(now, parse(name, value)?),
            "restart" => {
                if parse(name, value)? {
                    worker.restart(now, &mut self.recorder);
                }
            }
            "crash" => {
                if parse(name, value)? {
                    worker.crash(now, &mut self.recorder);
                } else {
                    worker.restart(now, &mut self.recorder);
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn set(&mut self, _now: Millis, name: &str, value: &Value) -> Result<bool> {
        match name {
            "report_lag_ms" => self.timing.report_lag = parse(name, value)?,
            "remember_ms" => self.timing.attempt_retention = parse(name, value)?,
            _ => return self.model.set(name, value),
        }
        Ok(true)
    }
}
