//! One attempt of a task on a worker.

use jayfork::base::{Millis, Name, Size, Token};
use jayfork::connection::wire::{StartRequest, TaskState};

use super::model::Plan;

/// Speed and processor usage of a throttled task, in percent of those of the same task unthrottled.
const THROTTLED_PERCENT: u32 = 50;

#[derive(Debug)]
pub struct Task {
    /// Lease token of the start.
    pub token: Token,
    pub class: Name,
    pub size: Size,
    pub state: TaskState,
    pub checkpoint: Option<Name>,
    /// Time at which the run lease expires.
    pub lease_until: Millis,
    pub ended: Option<Millis>,
    pub acknowledged: Option<Millis>,
    plan: Plan,
    /// Work done up to `work_time`, in hundredths of a millisecond at full speed.
    work: u64,
    work_time: Millis,
    /// Speed in percent.
    speed: u32,
    /// Resource usage from each time on, oldest first.
    usage: Vec<(Millis, Size)>,
}

impl Task {
    /// `interference` is the run time and usage on this worker, in percent of those on an idle one.
    pub fn new(
        now: Millis,
        request: &StartRequest,
        plan: Plan,
        progress: Millis,
        interference: u32,
        lease_until: Millis,
    ) -> Self {
        let mut task = Task {
            token: request.token,
            class: request.class.clone(),
            size: request.size,
            state: TaskState::Running,
            checkpoint: request.checkpoint.clone(),
            lease_until,
            ended: None,
            acknowledged: None,
            plan,
            work: progress.0 * 100,
            work_time: now,
            speed: 100,
            usage: Vec::new(),
        };
        task.update_speed(now, interference);
        task
    }

    pub fn is_running(&self) -> bool {
        !self.state.has_ended()
    }

    /// Returns the time at which the task ends without a command, and its state then.
    pub fn next_end(&self) -> Option<(Millis, TaskState)> {
        if !self.is_running() {
            return None;
        }
        let expiry = (self.lease_until, TaskState::Lapsed);
        match self.finish_time() {
            Some(finish) if finish <= self.lease_until => Some((finish, self.outcome())),
            _ => Some(expiry),
        }
    }

    pub fn throttle(&mut self, now: Millis, interference: u32) {
        self.state = TaskState::Throttled;
        self.update_speed(now, interference);
    }

    /// Sets speed and usage to what the interference and the state of the task allow.
    pub fn update_speed(&mut self, now: Millis, interference: u32) {
        self.work += now.since(self.work_time).0 * u64::from(self.speed);
        self.work_time = now;
        let mut usage = self.plan.usage.scale(interference);
        self.speed = 10_000 / interference.max(1);
        if self.state == TaskState::Throttled {
            usage.processors = usage.processors * THROTTLED_PERCENT / 100;
            self.speed = self.speed * THROTTLED_PERCENT / 100;
        }
        self.speed = self.speed.max(1);
        self.usage.push((now, usage));
    }

    /// Returns the work done, in milliseconds at full speed.
    pub fn progress(&self, now: Millis) -> Millis {
        let work = self.work + now.since(self.work_time).0 * u64::from(self.speed);
        Millis(work / 100)
    }

    pub fn end(&mut self, now: Millis, state: TaskState) {
        self.state = state;
        self.ended = Some(now);
    }

    /// Returns the usage at the time `sample`; `None` if the task started later.
    pub fn usage_at(&self, sample: Millis) -> Option<Size> {
        let measured = self.usage.iter().rev().find(|(from, _)| *from <= sample);
        measured.map(|(_, usage)| *usage)
    }

    /// Returns the time at which the work is done, without regard to the run lease.
    fn finish_time(&self) -> Option<Millis> {
        let total = self.plan.run?.0 * 100;
        let remaining = total.saturating_sub(self.work).div_ceil(self.speed.into());
        Some(self.work_time + Millis(remaining))
    }

    fn outcome(&self) -> TaskState {
        if self.plan.fails {
            TaskState::Failed
        } else {
            TaskState::Succeeded
        }
    }
}
