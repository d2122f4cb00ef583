//! Model of clients that submit jobs, come back after a refusal, and wait for the results.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, JobSpec, Outcome, StepId, TaskKey, objective};

use super::world::{QUEUE, World};

/// How often a client comes back after a refusal.
const MAX_RETRIES: u32 = 4;
/// Nobody waits for a result after this many times the objective.
const OVERDUE_FACTOR: u64 = 3;
/// Simulated time between two looks at the callers, in milliseconds.
const TICK: u64 = 50;

enum Phase {
    /// Submits the job at this time.
    Calls(u64),
    /// Has no reply to this ticket.
    Asks(u64),
    /// Was accepted at this time.
    Accepted(u64),
    /// Was accepted, and its job has ended; the times of both.
    Ended(u64, u64, Outcome),
    GivenUp,
}

struct Caller {
    id: u64,
    spec: JobSpec,
    objective: u64,
    first_call: u64,
    retries: u32,
    phase: Phase,
    /// The tasks of each step before this index are done.
    done: Vec<u16>,
    /// Since when each step could run and has had nothing running.
    idle_since: Vec<Option<u64>>,
}

/// All callers of a simulation.
#[derive(Default)]
pub struct Callers {
    callers: Vec<Caller>,
    longest_wait: u64,
    /// Steps that have had nothing running for too long.
    pub starved: Vec<String>,
}

/// What became of the callers. Times are in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    pub callers: usize,
    /// Callers whose jobs were completed within the objective, from their first call.
    pub in_time: usize,
    /// The same, after the objective and while they waited.
    pub late: usize,
    /// Callers whose job was refused each time.
    pub refused: usize,
    /// Callers whose accepted job was not completed while they waited.
    pub failed: usize,
    pub refusals: u32,
    /// Longest time that a step could run and had nothing running.
    pub longest_wait: u64,
    /// Longest time from the acceptance of a job to its end.
    pub longest_time: u64,
}

/// Bounds for an overdue step, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How long it may have nothing running.
    pub turn: u64,
    /// How long it may run.
    pub run: u64,
}

impl Figures {
    /// Callers who got the result while they waited for it.
    pub fn served(&self) -> usize {
        self.in_time + self.late
    }
}

impl Callers {
    /// Adds a caller that submits a job at `first_call`.
    pub fn add(&mut self, world: &World, first_call: u64, spec: JobSpec) {
        let queues = world.queues();
        let mut queues = queues.queues.iter();
        let queue = queues.find(|queue| &*queue.name == QUEUE).expect("a queue");
        self.callers.push(Caller {
            id: 1_000 + self.callers.len() as u64,
            objective: objective(queue, &spec),
            first_call,
            retries: 0,
            phase: Phase::Calls(first_call),
            done: vec![0; spec.steps.len()],
            idle_since: vec![None; spec.steps.len()],
            spec,
        });
    }

    /// Runs the simulation until nobody waits for a result or a reply, or until `end`.
    pub fn run(&mut self, world: &mut World, end: u64, bounds: Bounds) {
        let is_open = |caller: &Caller| !matches!(caller.phase, Phase::Ended(..) | Phase::GivenUp);
        while world.now < end && self.callers.iter().any(is_open) {
            for caller in self.callers.iter_mut().filter(|caller| is_open(caller)) {
                caller.advance(world);
                if let Phase::Accepted(at) = caller.phase {
                    let overdue = at + OVERDUE_FACTOR * caller.objective;
                    for (step, since) in caller.watch(world).into_iter().enumerate() {
                        let Some(since) = since else { continue };
                        self.longest_wait = self.longest_wait.max(world.now - since);
                        let limit = overdue.max(since) + bounds.turn;
                        if (limit..limit + TICK).contains(&world.now) {
                            let waited = world.now - since;
                            let text = format!("step {step} of {} after {waited} ms", caller.id);
                            self.starved.push(text);
                        }
                    }
                }
            }
            world.run(TICK);
        }
    }

    /// Accepted jobs that took too long to end. Each is to end in bounded time: it may become overdue, and then
    /// each of its steps gets a turn and runs.
    pub fn overlong(&self, now: u64, bounds: Bounds) -> Vec<String> {
        let overlong = self.callers.iter().filter_map(|caller| {
            let (at, end) = caller.accepted_and_ended(now)?;
            let steps = caller.spec.steps.len() as u64;
            let limit = OVERDUE_FACTOR * caller.objective + steps * (bounds.turn + bounds.run);
            let time = end - at;
            (time > limit).then(|| format!("{}: {time} of {limit} ms", caller.id))
        });
        overlong.collect()
    }

    pub fn figures(&self, now: u64) -> Figures {
        let mut figures = Figures {
            callers: self.callers.len(),
            longest_wait: self.longest_wait,
            ..Figures::default()
        };
        for caller in &self.callers {
            figures.refusals += caller.retries;
            if let Some((at, end)) = caller.accepted_and_ended(now) {
                figures.longest_time = figures.longest_time.max(end - at);
            }
            let count = match caller.phase {
                Phase::Ended(_, end, Outcome::Completed) => match end - caller.first_call {
                    time if time <= caller.objective => &mut figures.in_time,
                    time if time <= OVERDUE_FACTOR * caller.objective => &mut figures.late,
                    _ => &mut figures.failed,
                },
                Phase::GivenUp => {
                    figures.refusals += 1;
                    &mut figures.refused
                }
                _ => &mut figures.failed,
            };
            *count += 1;
        }
        figures
    }
}

impl Caller {
    /// Submits the job if it is time, and looks for the reply or the end of the job.
    fn advance(&mut self, world: &mut World) {
        let now = world.now;
        match self.phase {
            Phase::Calls(at) if at <= now => {
                self.phase = Phase::Asks(world.submit(self.id, &self.spec));
            }
            Phase::Asks(ticket) => match world.replies.get(&ticket) {
                Some(Reply::Accepted) => self.phase = Phase::Accepted(now),
                Some(Reply::Refused { .. }) if self.retries == MAX_RETRIES => {
                    self.phase = Phase::GivenUp;
                }
                Some(Reply::Refused { retry_after }) => {
                    self.retries += 1;
                    self.phase = Phase::Calls(now + u64::from(*retry_after) * 1_000);
                }
                _ => {}
            },
            Phase::Accepted(at) => {
                if let Some(Reply::State {
                    outcome: Some(outcome),
                    ..
                }) = world.state(self.id)
                {
                    self.phase = Phase::Ended(at, now, outcome);
                }
            }
            _ => {}
        }
    }

    /// Since when each step could run and has had nothing running, at the last look.
    fn watch(&mut self, world: &World) -> Vec<Option<u64>> {
        for (index, spec) in self.spec.steps.iter().enumerate() {
            let step = StepId {
                job: JobId(self.id),
                turn: 0,
                step: index as u16,
            };
            let is_done = |index: u16| world.fleet.done.contains(&TaskKey { step, index });
            while self.done[index] < spec.count && is_done(self.done[index]) {
                self.done[index] += 1;
            }
            let steps = &self.spec.steps;
            let mut after = spec.after.iter().map(|after| usize::from(*after));
            let is_ready = after.all(|after| self.done[after] == steps[after].count);
            let mut runs = world
                .fleet
                .workers
                .iter()
                .flat_map(|worker| worker.runs.keys());
            let is_over = self.done[index] == spec.count;
            let is_idle = is_ready && !is_over && !runs.any(|task| task.step == step);
            self.idle_since[index] = match is_idle {
                true => self.idle_since[index].or(Some(world.now)),
                false => None,
            };
        }
        self.idle_since.clone()
    }

    /// When the job was accepted and has ended; `now` if it is open.
    fn accepted_and_ended(&self, now: u64) -> Option<(u64, u64)> {
        match self.phase {
            Phase::Accepted(at) => Some((at, now)),
            Phase::Ended(at, end, _) => Some((at, end)),
            _ => None,
        }
    }
}
