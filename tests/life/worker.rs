//! A simulated worker that follows the lease and start protocol and records what it ran.

use std::collections::{BTreeMap, BTreeSet};

use jayfork::base::{Attempt, Millis, Name, Size, TaskId, Token};
use jayfork::connection::wire::{
    LeaseRequest, StartRequest, StartState, TaskEntry, TaskState, WorkerReport,
};
use jayfork::connection::{Command, StartError};

/// An attempt that the worker really ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: TaskId,
    pub attempt: Attempt,
    pub size: Size,
    /// How it ended, or `None` while it runs; `Lapsed` also if the worker stopped.
    pub end: Option<TaskState>,
    /// Whether it started from a checkpoint.
    pub resumed: bool,
}

/// What the worker knows of an attempt.
#[derive(Debug)]
struct Entry {
    /// Index in `World::runs`.
    run: usize,
    state: TaskState,
    size: Size,
    checkpoint: Option<Name>,
    /// Expiry of the run lease.
    expiry: Millis,
}

#[derive(Debug)]
pub struct Worker {
    pub name: Name,
    pub capacity: Size,
    pub incarnation: u64,
    pub is_up: bool,
    pub token: Token,
    /// Whether `token` was granted in this incarnation; otherwise it is stale.
    is_granted: bool,
    pub holder: Option<Name>,
    /// Expiry of the holder's lease.
    expiry: Millis,
    run_ttl: Millis,
    entries: BTreeMap<(TaskId, Attempt), Entry>,
    /// Ended attempts that a host has acknowledged; the worker does not start them again.
    acknowledged: BTreeSet<(TaskId, Attempt)>,
    /// Number of starts that are still to fail.
    pub failing_starts: u32,
}

impl Worker {
    pub fn new(name: &str, capacity: Size) -> Self {
        Worker {
            name: name.into(),
            capacity,
            incarnation: 1,
            is_up: true,
            token: Token(0),
            is_granted: false,
            holder: None,
            expiry: Millis(0),
            run_ttl: Millis(20_000),
            entries: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            failing_starts: 0,
        }
    }

    /// Handles a lease call; returns the granted token, or `None` if another host holds the lease
    /// or the token of the call is stale.
    pub fn lease(&mut self, now: Millis, request: &LeaseRequest) -> Option<Token> {
        match request.token {
            Some(token) if !self.is_newest(token) => return None,
            Some(_) => {}
            None => {
                let is_other_host = self.holder.as_ref() != Some(&request.holder);
                if is_other_host && self.holder.is_some() && now < self.expiry {
                    return None;
                }
                self.token = Token(self.token.0 + 1);
                self.is_granted = true;
                self.holder = Some(request.holder.clone());
            }
        }
        self.expiry = now + Millis(request.ttl);
        self.run_ttl = Millis(request.run_ttl);
        for entry in self.entries.values_mut().filter(|_| request.renew_tasks) {
            entry.expiry = now + self.run_ttl;
        }
        for ack in &request.ack {
            let key = (ack.task.parse().expect("a task id"), ack.attempt);
            if self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.state.has_ended())
            {
                self.entries.remove(&key);
                self.acknowledged.insert(key);
            }
        }
        Some(self.token)
    }

    fn is_newest(&self, token: Token) -> bool {
        self.is_granted && token == self.token
    }

    pub fn report(&self) -> WorkerReport {
        let entry = |((task, attempt), entry): (&(TaskId, Attempt), &Entry)| TaskEntry {
            task: task.to_string(),
            attempt: *attempt,
            state: entry.state,
            size: entry.size,
            usage: None,
            checkpoint: entry.checkpoint.clone(),
        };
        WorkerReport {
            capacity: self.capacity,
            measured: 0,
            tasks: self.entries.iter().map(entry).collect(),
        }
    }

    pub fn start(
        &mut self,
        now: Millis,
        request: &StartRequest,
        runs: &mut Vec<Run>,
    ) -> Result<StartState, StartError> {
        let task: TaskId = request.task.parse().expect("a task id");
        let key = (task.clone(), request.attempt);
        if !self.is_newest(request.token) {
            return Err(StartError::StaleToken);
        }
        if self.acknowledged.contains(&key) {
            return Err(StartError::Ended);
        }
        match self.entries.get(&key).map(|entry| entry.state.has_ended()) {
            Some(true) => return Err(StartError::Ended),
            Some(false) => return Ok(StartState::Already),
            None if self.failing_starts > 0 => {
                self.failing_starts -= 1;
                return Err(StartError::StartFailed);
            }
            None => {}
        }
        let entry = Entry {
            run: runs.len(),
            state: TaskState::Running,
            size: request.size,
            checkpoint: None,
            expiry: now + self.run_ttl,
        };
        runs.push(Run {
            task,
            attempt: request.attempt,
            size: request.size,
            end: None,
            resumed: request.checkpoint.is_some(),
        });
        self.entries.insert(key, entry);
        Ok(StartState::Started)
    }

    pub fn command(
        &mut self,
        token: Token,
        command: Command,
        key: &(TaskId, Attempt),
        runs: &mut [Run],
    ) {
        let state = match command {
            Command::Throttle => return,
            Command::Checkpoint => TaskState::Checkpointed,
            Command::Stop => TaskState::Stopped,
        };
        if self.is_newest(token) {
            self.end(key, state, runs);
        }
    }

    /// Ends an attempt; returns whether it was running.
    pub fn end(&mut self, key: &(TaskId, Attempt), state: TaskState, runs: &mut [Run]) -> bool {
        let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|entry| !entry.state.has_ended())
        else {
            return false;
        };
        entry.state = state;
        let is_saved = state == TaskState::Checkpointed;
        entry.checkpoint = is_saved.then(|| format!("{}-{}", key.0, key.1.0).into());
        runs[entry.run].end = Some(state);
        true
    }

    /// Ends the attempts whose run lease expired.
    pub fn tick(&mut self, now: Millis, runs: &mut [Run]) {
        let has_expired = |entry: &Entry| !entry.state.has_ended() && now >= entry.expiry;
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_expired(entry))
            .collect();
        let expired: Vec<_> = expired.into_iter().map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.end(&key, TaskState::Lapsed, runs);
        }
    }

    /// Ends all runs and forgets everything but the newest token, as in a crash of the worker.
    pub fn stop(&mut self, runs: &mut [Run]) {
        for key in self.running() {
            self.end(&key, TaskState::Lapsed, runs);
        }
        self.entries.clear();
        self.acknowledged.clear();
        self.is_up = false;
        self.is_granted = false;
    }

    /// Starts a stopped worker in a new incarnation.
    pub fn restart(&mut self) {
        if !self.is_up {
            self.incarnation += 1;
            self.is_up = true;
            self.holder = None;
        }
    }

    pub fn running(&self) -> Vec<(TaskId, Attempt)> {
        let running = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.state.has_ended());
        running.map(|(key, _)| key.clone()).collect()
    }

    pub fn has(&self, task: &TaskId, state: TaskState) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|((id, _), entry)| id == task && entry.state == state)
    }

    pub fn has_acknowledged(&self, task: &TaskId) -> bool {
        self.acknowledged.iter().any(|(id, _)| id == task)
    }
}
