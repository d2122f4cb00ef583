//! Fakes of a worker and a service instance in simulated time.

use std::collections::BTreeMap;

use jayfork::base::{Attempt, Name, Size, Token};
use jayfork::connection::wire::{
    InstanceReport, LeaseRefusal, LeaseRequest, StartRequest, StartState, TaskCommand, TaskEntry,
    TaskState, WorkerReport,
};
use jayfork::connection::{Command, StartError};

/// The lease of a worker or an instance, as its owner grants it.
#[derive(Debug, Default)]
pub struct FakeLease {
    holder: Option<Name>,
    token: u64,
    expiry: u64,
}

impl FakeLease {
    pub fn grant(&mut self, now: u64, request: &LeaseRequest) -> Result<Token, LeaseRefusal> {
        match request.token {
            Some(token) if token.0 == self.token => {}
            Some(_) => return Err(LeaseRefusal::StaleToken),
            None => {
                let holder = self
                    .holder
                    .clone()
                    .filter(|holder| *holder != request.holder);
                if let Some(holder) = holder.filter(|_| now < self.expiry) {
                    let remaining = self.expiry - now;
                    return Err(LeaseRefusal::Held { holder, remaining });
                }
                self.token += 1;
            }
        }
        self.holder = Some(request.holder.clone());
        self.expiry = now + request.ttl;
        Ok(Token(self.token))
    }

    pub fn release(&mut self, now: u64, token: Token) -> Result<(), LeaseRefusal> {
        self.check(token)?;
        self.expiry = now;
        Ok(())
    }

    pub fn check(&self, token: Token) -> Result<(), LeaseRefusal> {
        if token.0 == self.token {
            Ok(())
        } else {
            Err(LeaseRefusal::StaleToken)
        }
    }
}

/// An attempt that the worker was told to start.
#[derive(Debug)]
struct Running {
    attempt: Attempt,
    size: Size,
    state: TaskState,
    /// Time at which the task ends by itself.
    end_time: u64,
    /// Expiry of the run lease.
    lease_expiry: u64,
}

/// A worker that follows the lease and start protocol and records what it ran.
#[derive(Debug)]
pub struct FakeWorker {
    pub lease: FakeLease,
    pub incarnation: u64,
    pub capacity: Size,
    tasks: BTreeMap<String, Running>,
    run_ttl: u64,
    /// Task, attempt and time of each start.
    pub starts: Vec<(String, Attempt, u64)>,
    pub is_down: bool,
}

impl FakeWorker {
    pub fn new(capacity: Size) -> Self {
        FakeWorker {
            lease: FakeLease::default(),
            incarnation: 1,
            capacity,
            tasks: BTreeMap::new(),
            run_ttl: 20_000,
            starts: Vec::new(),
            is_down: false,
        }
    }

    pub fn renew(&mut self, now: u64, request: &LeaseRequest) -> Result<Token, LeaseRefusal> {
        self.end_finished(now);
        let token = self.lease.grant(now, request)?;
        self.run_ttl = request.run_ttl;
        if request.renew_tasks {
            for task in self.tasks.values_mut() {
                task.lease_expiry = now + request.run_ttl;
            }
        }
        Ok(token)
    }

    pub fn report(&self) -> WorkerReport {
        let entry = |(task, running): (&String, &Running)| TaskEntry {
            task: task.clone(),
            attempt: running.attempt,
            state: running.state,
            size: running.size,
            usage: None,
            checkpoint: None,
        };
        let tasks = self.tasks.iter().map(entry).collect();
        WorkerReport {
            capacity: self.capacity,
            measured: 1_000,
            tasks,
        }
    }

    pub fn start(&mut self, now: u64, request: &StartRequest) -> Result<StartState, StartError> {
        self.end_finished(now);
        if self.lease.check(request.token).is_err() {
            return Err(StartError::StaleToken);
        }
        if let Some(known) = self.tasks.get(&request.task) {
            if known.attempt == request.attempt {
                let ended = known.state.has_ended();
                return if ended {
                    Err(StartError::Ended)
                } else {
                    Ok(StartState::Already)
                };
            }
        }
        if !request
            .size
            .fits(&self.capacity.saturating_sub(&self.used()))
        {
            return Err(StartError::NoCapacity);
        }
        self.starts
            .push((request.task.clone(), request.attempt, now));
        let running = Running {
            attempt: request.attempt,
            size: request.size,
            state: TaskState::Running,
            end_time: now + request.run,
            lease_expiry: now + self.run_ttl,
        };
        self.tasks.insert(request.task.clone(), running);
        Ok(StartState::Started)
    }

    pub fn command(&mut self, now: u64, command: Command, request: &TaskCommand) {
        self.end_finished(now);
        if self.lease.check(request.token).is_err() {
            return;
        }
        if let Some(task) = self.tasks.get_mut(&request.task) {
            if task.attempt == request.attempt && command == Command::Stop {
                task.state = TaskState::Stopped;
            }
        }
    }

    pub fn used(&self) -> Size {
        let running = self.tasks.values().filter(|task| !task.state.has_ended());
        running.fold(Size::ZERO, |sum, task| sum.saturating_add(&task.size))
    }

    pub fn running(&self) -> impl Iterator<Item = &String> {
        self.tasks
            .iter()
            .filter(|(_, task)| !task.state.has_ended())
            .map(|(id, _)| id)
    }

    /// Ends the tasks that are done and those whose run lease expired.
    pub fn end_finished(&mut self, now: u64) {
        for task in self
            .tasks
            .values_mut()
            .filter(|task| !task.state.has_ended())
        {
            if task.end_time <= now {
                task.state = TaskState::Succeeded;
            } else if task.lease_expiry <= now {
                task.state = TaskState::Lapsed;
            }
        }
    }
}

/// A service instance that answers every request after a fixed time.
#[derive(Debug, Default)]
pub struct FakeInstance {
    pub lease: FakeLease,
    /// Id and end of each running request.
    running: Vec<(Name, u64)>,
    /// Largest number of requests that ran at the same time.
    pub max_running: usize,
    pub served: u64,
    /// Id of each request that it has run.
    pub starts: Vec<Name>,
}

impl FakeInstance {
    pub const SLOTS: u32 = 8;
    pub const SERVICE_TIME: u64 = 20;

    pub fn report(&self) -> InstanceReport {
        let running = self.running.iter().map(|(id, _)| id.clone()).collect();
        InstanceReport {
            slots: Self::SLOTS,
            connections: 64,
            running,
        }
    }

    /// Runs a request; returns the time at which it ends, or `None` if the token is stale.
    pub fn send(&mut self, now: u64, token: Token, request: &Name) -> Option<u64> {
        self.lease.check(token).ok()?;
        self.running.retain(|(_, ends)| *ends > now);
        let ends = now + Self::SERVICE_TIME;
        self.running.push((request.clone(), ends));
        self.max_running = self.max_running.max(self.running.len());
        self.served += 1;
        self.starts.push(request.clone());
        Some(ends)
    }

    pub fn end_finished(&mut self, now: u64) {
        self.running.retain(|(_, ends)| *ends > now);
    }
}
