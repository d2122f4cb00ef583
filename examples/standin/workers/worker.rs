//! One worker.

use std::collections::BTreeMap;

use jayfork::base::{Attempt, Millis, Name, Size, Token};
use jayfork::connection::wire::{
    Ack, LeaseRefusal, LeaseReply, LeaseRequest, StartRequest, StartState, TaskCommand, TaskEntry,
    TaskReply, TaskState, WorkerReport,
};

use super::model::Model;
use super::task::Task;
use crate::lease::ControlLease;
use crate::recorder::{EventKind, Record, Recorder};

/// Times that all workers of the process share.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTiming {
    /// Minimum age of the usage in a report.
    pub report_lag: Millis,
    /// Time between two measurements of usage.
    pub report_interval: Millis,
    /// Time that an attempt is kept after its end was acknowledged.
    pub attempt_retention: Millis,
    /// Run lease of tasks that start before a lease request sets its length.
    pub run_ttl: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    StaleToken,
    Ended,
    NoCapacity,
    StartFailed,
    UnknownTask,
    /// The host crashed before it handled the request.
    Crashed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    Checkpoint,
    Throttle,
    Stop,
}

#[derive(Debug)]
pub struct Worker {
    pub name: Name,
    capacity: Size,
    incarnation: u64,
    lease: ControlLease,
    run_ttl: Millis,
    tasks: BTreeMap<(Name, Attempt), Task>,
    /// Time at which the next task ends without a command.
    next_end: Option<Millis>,
    /// Run time and usage of all tasks, in percent of those on an idle worker.
    interference: u32,
    leaving: bool,
    crashed: bool,
    fail_starts: bool,
}

impl Worker {
    pub fn new(now: Millis, name: Name, capacity: Size, run_ttl: Millis) -> Self {
        Worker {
            name,
            capacity,
            incarnation: now.0,
            lease: ControlLease::new(now.0),
            run_ttl,
            tasks: BTreeMap::new(),
            next_end: None,
            interference: 100,
            leaving: false,
            crashed: false,
            fail_starts: false,
        }
    }

    /// Ends the tasks that are due to end; returns when the next one is due.
    pub fn end_due_tasks(&mut self, now: Millis, recorder: &mut Recorder) -> Option<Millis> {
        if self.next_end.is_none_or(|next_end| next_end > now) {
            return self.next_end;
        }
        let mut due: Vec<_> = self
            .tasks
            .iter()
            .filter_map(|(key, task)| Some((task.next_end()?, key.clone())))
            .filter(|((time, _), _)| *time <= now)
            .collect();
        due.sort_by_key(|((time, _), _)| *time);
        for ((time, state), key) in due {
            self.end(time, &key, state, recorder);
        }
        self.update_next_end();
        self.next_end
    }

    /// Grants or renews the control lease; also renews the run leases if the request says so.
    pub fn lease(
        &mut self,
        now: Millis,
        request: &LeaseRequest,
        timing: &WorkerTiming,
        recorder: &mut Recorder,
    ) -> Result<LeaseReply<WorkerReport>, LeaseRefusal> {
        let token = self.lease.grant_or_renew(now, request)?;
        if request.token.is_none() {
            let granted = Record::new(now, &self.name, EventKind::Granted, &request.holder);
            recorder.push(granted.with_token(token));
        }
        self.run_ttl = Millis(request.run_ttl);
        self.acknowledge(now, &request.ack);
        if request.renew_tasks {
            let until = now + self.run_ttl;
            self.running_mut().for_each(|task| task.lease_until = until);
            self.update_next_end();
        }
        self.remove_acknowledged(now, timing.attempt_retention);
        Ok(LeaseReply {
            token,
            incarnation: self.incarnation,
            leaving: self.leaving,
            report: self.report(now, timing),
        })
    }

    pub fn release(&mut self, now: Millis, token: Token, recorder: &mut Recorder) -> bool {
        let released = self.lease.release(token);
        if released {
            let record = Record::new(now, &self.name, EventKind::Released, "");
            recorder.push(record.with_token(token));
        }
        released
    }

    pub fn start(
        &mut self,
        now: Millis,
        request: &StartRequest,
        model: &Model,
        recorder: &mut Recorder,
    ) -> Result<StartState, Refusal> {
        match self.check_start(request) {
            Ok(StartState::Already) => return Ok(StartState::Already),
            Ok(StartState::Started) => {}
            Err(refusal) => {
                let is_over_capacity = refusal == Refusal::NoCapacity;
                let record = self.start_record(now, EventKind::Refused, request);
                recorder.record_refusal(
                    record.with_state(refusal.kind()),
                    is_over_capacity.then_some("over_capacity"),
                );
                return Err(refusal);
            }
        }
        let progress = request.checkpoint.as_deref().and_then(parse_checkpoint);
        let task = Task::new(
            now,
            request,
            model.plan(request),
            progress.unwrap_or_default(),
            self.interference,
            now + self.run_ttl,
        );
        self.tasks
            .insert((request.task.as_str().into(), request.attempt), task);
        self.update_next_end();
        recorder.record_start(
            self.start_record(now, EventKind::Started, request)
                .with_state("running"),
        );
        Ok(StartState::Started)
    }

    pub fn command(
        &mut self,
        now: Millis,
        command: Command,
        request: &TaskCommand,
        recorder: &mut Recorder,
    ) -> Result<TaskReply, Refusal> {
        if self.crashed {
            return Err(Refusal::Crashed);
        }
        if !self.lease.is_newest(request.token) {
            return Err(Refusal::StaleToken);
        }
        let key = (request.task.as_str().into(), request.attempt);
        let interference = self.interference;
        let task = self.tasks.get_mut(&key).ok_or(Refusal::UnknownTask)?;
        if task.is_running() {
            match command {
                Command::Throttle => {
                    task.throttle(now, interference);
                    recorder.push(self.task_record(now, EventKind::Throttled, &key));
                }
                Command::Checkpoint => {
                    let progress = task.progress(now);
                    task.checkpoint = Some(format_checkpoint(&key, progress));
                    self.end(now, &key, TaskState::Checkpointed, recorder);
                }
                Command::Stop => self.end(now, &key, TaskState::Stopped, recorder),
            }
            self.update_next_end();
        }
        let task = &self.tasks[&key];
        Ok(TaskReply {
            state: task.state,
            checkpoint: task.checkpoint.clone(),
        })
    }

    pub fn set_leaving(&mut self, now: Millis, leaving: bool, recorder: &mut Recorder) {
        if leaving && !self.leaving {
            recorder.push(Record::new(now, &self.name, EventKind::Leaving, ""));
        }
        self.leaving = leaving;
    }

    pub fn set_fail_starts(&mut self, fail_starts: bool) {
        self.fail_starts = fail_starts;
    }

    pub fn set_interference(&mut self, now: Millis, interference: u32) {
        self.interference = interference.max(1);
        let interference = self.interference;
        self.running_mut()
            .for_each(|task| task.update_speed(now, interference));
        self.update_next_end();
    }

    /// Ends and removes all tasks; the host closes every connection until `restart`.
    pub fn crash(&mut self, now: Millis, recorder: &mut Recorder) {
        if self.crashed {
            return;
        }
        self.crashed = true;
        recorder.push(Record::new(now, &self.name, EventKind::Crashed, ""));
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.is_running() {
                let record = self.attempt_record(now, EventKind::Ended, &key, &task);
                recorder.record_end(record.with_state("crashed"));
            }
        }
        self.lease.clear_holder();
        self.update_next_end();
    }

    /// Starts a new incarnation without tasks and without a lease holder.
    pub fn restart(&mut self, now: Millis, recorder: &mut Recorder) {
        self.crash(now, recorder);
        self.crashed = false;
        self.leaving = false;
        self.incarnation += 1;
        recorder.push(Record::new(now, &self.name, EventKind::Restarted, ""));
    }

    fn update_next_end(&mut self) {
        let due = self.tasks.values().filter_map(Task::next_end);
        self.next_end = due.map(|(time, _)| time).min();
    }

    fn check_start(&self, request: &StartRequest) -> Result<StartState, Refusal> {
        if self.crashed {
            return Err(Refusal::Crashed);
        }
        if !self.lease.is_newest(request.token) {
            return Err(Refusal::StaleToken);
        }
        let key = (request.task.as_str().into(), request.attempt);
        match self.tasks.get(&key) {
            Some(task) if task.is_running() => return Ok(StartState::Already),
            Some(_) => return Err(Refusal::Ended),
            None => {}
        }
        if self.fail_starts {
            return Err(Refusal::StartFailed);
        }
        if !self
            .committed()
            .saturating_add(&request.size)
            .fits(&self.capacity)
        {
            return Err(Refusal::NoCapacity);
        }
        Ok(StartState::Started)
    }

    /// Returns the total size of the running tasks.
    fn committed(&self) -> Size {
        self.tasks
            .values()
            .filter(|task| task.is_running())
            .fold(Size::ZERO, |sum, task| sum.saturating_add(&task.size))
    }

    fn acknowledge(&mut self, now: Millis, acks: &[Ack]) {
        for ack in acks {
            let key = (ack.task.as_str().into(), ack.attempt);
            if let Some(task) = self.tasks.get_mut(&key)
                && !task.is_running()
            {
                task.acknowledged.get_or_insert(now);
            }
        }
    }

    fn remove_acknowledged(&mut self, now: Millis, attempt_retention: Millis) {
        self.tasks.retain(|_, task| {
            task.acknowledged
                .is_none_or(|time| now.since(time) < attempt_retention)
        });
    }

    fn report(&self, now: Millis, timing: &WorkerTiming) -> WorkerReport {
        let interval = timing.report_interval.0;
        let sample = Millis(now.since(timing.report_lag).0 / interval * interval);
        let tasks = self.tasks.iter().map(|((id, attempt), task)| TaskEntry {
            task: id.to_string(),
            attempt: *attempt,
            state: task.state,
            size: task.size,
            usage: task.usage_at(sample),
            checkpoint: task.checkpoint.clone(),
        });
        WorkerReport {
            capacity: self.capacity,
            measured: now.since(sample).0,
            tasks: tasks.collect(),
        }
    }

    fn end(
        &mut self,
        now: Millis,
        key: &(Name, Attempt),
        state: TaskState,
        recorder: &mut Recorder,
    ) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.end(now, state);
            recorder.record_end(self.task_record(now, EventKind::Ended, key));
        }
    }

    fn running_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.tasks.values_mut().filter(|task| task.is_running())
    }

    fn start_record(&self, now: Millis, event: EventKind, request: &StartRequest) -> Record {
        Record {
            attempt: Some(request.attempt),
            token: Some(request.token),
            size: Some(request.size),
            class: Some(request.class.clone()),
            checkpoint: request.checkpoint.clone(),
            ..Record::new(now, &self.name, event, &request.task)
        }
    }

    fn task_record(&self, now: Millis, event: EventKind, key: &(Name, Attempt)) -> Record {
        let task = &self.tasks[key];
        let state = serde_json::to_value(task.state).unwrap_or_default();
        self.attempt_record(now, event, key, task)
            .with_state(state.as_str().unwrap_or_default())
    }

    fn attempt_record(
        &self,
        now: Millis,
        event: EventKind,
        key: &(Name, Attempt),
        task: &Task,
    ) -> Record {
        Record {
            attempt: Some(key.1),
            token: Some(task.token),
            size: Some(task.size),
            class: Some(task.class.clone()),
            checkpoint: task.checkpoint.clone(),
            ..Record::new(now, &self.name, event, &key.0)
        }
    }
}

impl Refusal {
    /// Returns the `error` of the response, which is also the `state` of the record.
    pub fn kind(self) -> &'static str {
        match self {
            Refusal::StaleToken => "stale_token",
            Refusal::Ended => "ended",
            Refusal::NoCapacity => "no_capacity",
            Refusal::StartFailed => "start_failed",
            Refusal::UnknownTask => "unknown_task",
            Refusal::Crashed => "crashed",
        }
    }
}

/// Returns the name of a checkpoint. It contains the progress, so that every `workers` process can
/// resume from it.
fn format_checkpoint((task, attempt): &(Name, Attempt), progress: Millis) -> Name {
    format!("{task}@{}+{}", attempt.0, progress.0).into()
}

/// Returns the progress that the name of a checkpoint contains.
fn parse_checkpoint(checkpoint: &str) -> Option<Millis> {
    let (_, progress) = checkpoint.rsplit_once('+')?;
    progress.parse().ok().map(Millis)
}
