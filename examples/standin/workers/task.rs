//! One attempt on a worker.

use jayfork::base::{Millis, Name, Size, Token};
use jayfork::connection::wire::{StartRequest, TaskState};

use super::model::Plan;

/// Speed and processor use of a throttled task, in percent.
const THROTTLED: u32 = 50;

#[derive(Debug)]
pub struct Task {
    /// Token with which it was started.
    pub token: Token,
    pub class: Name,
    pub size: Size,
    pub state: TaskState,
    pub checkpoint: Option<Name>,
    /// When the run lease lapses.
    pub lease_until: Millis,
    pub ended: Option<Millis>,
    pub acknowledged: Option<Millis>,
    plan: Plan,
    /// Work done until `settled`, in hundredths of a millisecond at full speed.
    done: u64,
    settled: Millis,
    /// Speed in percent.
    speed: u32,
    /// Use from each time on, oldest first.
    usage: Vec<(Millis, Size)>,
}

impl Task {
    /// `noise` is the slowdown and extra use on the worker, in percent; 100 is none.
    pub fn new(
        now: Millis,
        request: &StartRequest,
        plan: Plan,
        progress: Millis,
        noise: u32,
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
            done: progress.0 * 100,
            settled: now,
            speed: 100,
            usage: Vec::new(),
        };
        task.adjust(now, noise);
        task
    }

    pub fn is_running(&self) -> bool {
        !self.state.has_ended()
    }

    /// Next time at which the task ends by itself, with its state then.
    pub fn due(&self) -> Option<(Millis, TaskState)> {
        if !self.is_running() {
            return None;
        }
        let lapse = (self.lease_until, TaskState::Lapsed);
        match self.finish() {
            Some(finish) if finish <= self.lease_until => Some((finish, self.outcome())),
            _ => Some(lapse),
        }
    }

    pub fn throttle(&mut self, now: Millis, noise: u32) {
        self.state = TaskState::Throttled;
        self.adjust(now, noise);
    }

    /// Applies the current noise and state to speed and use.
    pub fn adjust(&mut self, now: Millis, noise: u32) {
        self.done += now.since(self.settled).0 * u64::from(self.speed);
        self.settled = now;
        let mut usage = self.plan.usage.scale(noise);
        self.speed = 10_000 / noise.max(1);
        if self.state == TaskState::Throttled {
            usage.processors = usage.processors * THROTTLED / 100;
            self.speed = self.speed * THROTTLED / 100;
        }
        self.speed = self.speed.max(1);
        self.usage.push((now, usage));
    }

    /// Work done, in ms at full speed.
    pub fn progress(&self, now: Millis) -> Millis {
        let done = self.done + now.since(self.settled).0 * u64::from(self.speed);
        Millis(done / 100)
    }

    pub fn end(&mut self, now: Millis, state: TaskState) {
        self.state = state;
        self.ended = Some(now);
    }

    /// Use as measured at `sample`; `None` if the task started later.
    pub fn usage_at(&self, sample: Millis) -> Option<Size> {
        let measured = self.usage.iter().rev().find(|(from, _)| *from <= sample);
        measured.map(|(_, usage)| *usage)
    }

    fn finish(&self) -> Option<Millis> {
        let work = self.plan.run?.0 * 100;
        let left = work.saturating_sub(self.done).div_ceil(self.speed.into());
        Some(self.settled + Millis(left))
    }

    fn outcome(&self) -> TaskState {
        if self.plan.fails {
            TaskState::Failed
        } else {
            TaskState::Succeeded
        }
    }
}
