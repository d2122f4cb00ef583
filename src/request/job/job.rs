//! State of one job: its turns (the occurrences of a repeating job) and their steps and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::progress::{JobProgress, StepProgress, TurnProgress};
use super::spec::{JobId, JobSpec, StepId, TaskKey};
use super::trials::Trial;
use crate::base::Name;

/// Most failed runs that are remembered for one task; older ones are dropped.
const MAX_FAILED_RUNS: usize = 64;

/// Most turns of one job that are open at the same time. The others open when these are done, so that
/// a job whose turns are all due at once does not use up the owner's memory.
const MAX_OPEN_TURNS: usize = 256;
/// Most tasks of all open turns of one job, unless a single turn has more.
const MAX_OPEN_TASKS: usize = 1 << 16;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Completed,
    Failed,
    Cancelled,
}

impl Outcome {
    /// The value of a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        }
    }
}

/// How a run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Done,
    /// The task or its worker caused the failure.
    Failed,
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another task of its gang ended.
    GangBroken,
    /// It gave up waiting for the other tasks of its gang.
    GangIncomplete,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TaskState {
    #[default]
    Waiting,
    /// A run of the task has been ordered and may be running.
    Placed,
    Done,
}

#[derive(Debug, Clone, Default)]
pub struct Task {
    pub state: TaskState,
    /// Runs that failed. Their numbers are kept because a later owner may be told again of a
    /// failure that an earlier owner has counted, and the reports of different workers come in any
    /// order.
    pub failed_runs: Vec<u64>,
    /// Ordinal of the newest run that this owner ordered for the task.
    pub runs: u32,
    /// Saved progress from which the next run resumes.
    pub checkpoint: Option<Arc<str>>,
    /// Whether this owner has found a run of it. As a task has one run at a time, no worker that has
    /// not reported can have another.
    pub is_found: bool,
    /// Whether a run of it has started, as far as this owner can tell.
    pub has_run: bool,
    /// Runs that this owner has stopped because they made no progress.
    pub stalls: u32,
}

#[derive(Debug, Clone)]
pub struct Step {
    pub tasks: Vec<Task>,
    pub done: u16,
    pub placed: u16,
    /// When this owner last ordered a run of any task, in Unix milliseconds; 0 if it has not.
    pub last_start: u64,
    /// Of a gang: the run that has saved its checkpoint, and whether it saved it at its end.
    saved_by: (u64, bool),
}

impl Step {
    fn new(count: u16) -> Self {
        Step {
            tasks: vec![Task::default(); usize::from(count)],
            done: 0,
            placed: 0,
            last_start: 0,
            saved_by: (0, false),
        }
    }

    pub fn is_done(&self) -> bool {
        usize::from(self.done) == self.tasks.len()
    }

    pub fn waiting(&self) -> usize {
        self.tasks.len() - usize::from(self.done) - usize::from(self.placed)
    }
}

/// One pass through all steps of the job.
#[derive(Debug, Clone)]
pub struct Turn {
    pub steps: Vec<Step>,
    /// Whether any of its tasks has been placed.
    pub has_begun: bool,
}

/// One accepted job.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: JobId,
    /// Id of its queue, which stays the same if the queue gets another name.
    pub queue: Name,
    pub spec: Arc<JobSpec>,
    /// Memory that it takes with one turn, in bytes.
    pub memory: u64,
    /// Time at which the job was accepted, in Unix milliseconds.
    pub accepted: u64,
    /// Turns that are due and not finished, by number.
    pub turns: BTreeMap<u32, Turn>,
    /// Number of the next turn that will be due.
    pub next_turn: u32,
    pub outcome: Option<Outcome>,
    /// Whether this owner or an earlier one has ordered a run of any task. The order may have been refused.
    pub has_started: bool,
    /// Whether a worker has confirmed a run of any task.
    pub has_run: bool,
    pub start_permit: StartPermit,
    /// Tasks whose newest run may have crashed its worker.
    pub trials: BTreeMap<TaskKey, Trial>,
}

/// Whether tasks of a job may start. The record that a job has not started has to be deleted before
/// its first start, so that a later owner knows which jobs may have runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StartPermit {
    /// Recorded as not started.
    Deferred,
    /// The record is being deleted.
    Requested,
    #[default]
    Granted,
}

impl Job {
    pub fn new(id: JobId, queue: Name, spec: Arc<JobSpec>, accepted: u64) -> Self {
        Job {
            id,
            queue,
            memory: spec.memory(),
            spec,
            accepted,
            turns: BTreeMap::new(),
            next_turn: 0,
            outcome: None,
            has_started: false,
            has_run: false,
            start_permit: StartPermit::default(),
            trials: BTreeMap::new(),
        }
    }

    fn turn_count(&self) -> u32 {
        self.spec.turns.max(1)
    }

    /// Whether another turn may open before one of the open ones is done.
    fn may_open_turn(&self) -> bool {
        let counts = self.spec.steps.iter().map(|step| usize::from(step.count));
        let tasks: usize = counts.sum();
        let limit = MAX_OPEN_TASKS / tasks.max(1);
        self.turns.len() < limit.clamp(1, MAX_OPEN_TURNS)
    }

    /// Due time of a turn in Unix milliseconds; 0 if it is due immediately.
    pub fn due(&self, turn: u32) -> u64 {
        match self.spec.turns {
            0 => 0,
            _ => {
                let offset = u64::from(turn).saturating_mul(self.spec.interval);
                self.spec.first_run.saturating_add(offset)
            }
        }
    }

    /// Time from which a turn is measured, in Unix milliseconds: its due time, or the acceptance of the job.
    pub fn turn_start(&self, turn: u32) -> u64 {
        match self.spec.turns {
            0 => self.accepted,
            _ => self.due(turn),
        }
    }

    /// Whether none of its tasks has a run.
    pub fn is_idle(&self) -> bool {
        let steps = self.turns.values().flat_map(|turn| &turn.steps);
        steps.map(|step| step.placed).all(|placed| placed == 0)
    }

    /// Since when no task of a step has a run, in Unix milliseconds; `None` if one has. Turns that were due before the
    /// job was accepted count together: there may be many, and they have waited no longer than the job.
    pub fn idle_since(&self, id: StepId) -> Option<u64> {
        let was_due = |turn: u32| self.spec.turns > 0 && self.due(turn) < self.accepted;
        if !was_due(id.turn) {
            let step = self.step(id).filter(|step| step.placed == 0)?;
            let start = self.turn_start(id.turn).max(self.accepted);
            return Some(start.max(step.last_start));
        }
        let turns = self.turns.iter().filter(|(turn, _)| was_due(**turn));
        let mut steps = turns.flat_map(|(_, turn)| &turn.steps);
        steps.try_fold(self.accepted, |since, step| {
            (step.placed == 0).then_some(since.max(step.last_start))
        })
    }

    /// Notes that a run of a task is ordered at `now`, in Unix milliseconds.
    pub fn note_start(&mut self, id: StepId, now: u64) {
        if let Some(step) = self.step_mut(id) {
            step.last_start = now;
        }
    }

    /// Memory of the open turns besides the first, in bytes.
    pub fn further_memory(&self) -> u64 {
        let further = self.turns.len().saturating_sub(1) as u64;
        further * self.spec.turn_memory()
    }

    /// Opens the turns that are due at `now` (Unix milliseconds) and returns their numbers. Those beside an open one
    /// take up to `spare` bytes of memory; the others open later.
    pub fn open_due(&mut self, now: u64, spare: u64) -> Vec<u32> {
        let mut opened = Vec::new();
        let limit = self.further_memory().saturating_add(spare);
        let turn_memory = self.spec.turn_memory();
        while self.outcome.is_none()
            && self.may_open_turn()
            && self.next_turn < self.turn_count()
            && self.due(self.next_turn) <= now
            && (self.turns.is_empty() || self.further_memory() + turn_memory <= limit)
        {
            let steps = self.spec.steps.iter().map(|step| Step::new(step.count));
            let turn = Turn {
                steps: steps.collect(),
                has_begun: false,
            };
            self.turns.insert(self.next_turn, turn);
            opened.push(self.next_turn);
            self.next_turn += 1;
        }
        opened
    }

    /// Due time of the next turn in Unix milliseconds; `None` if there are no more turns, or if
    /// another turn has to be done first.
    pub fn next_due(&self) -> Option<u64> {
        let has_next =
            self.outcome.is_none() && self.may_open_turn() && self.next_turn < self.turn_count();
        has_next.then(|| self.due(self.next_turn))
    }

    /// Whether any task of an open turn has been placed.
    pub fn has_begun(&self, turn: u32) -> bool {
        self.turns.get(&turn).is_some_and(|turn| turn.has_begun)
    }

    /// Whether all steps that `step` depends on are done.
    pub fn is_ready(&self, turn: u32, step: u16) -> bool {
        let Some(open_turn) = self.turns.get(&turn) else {
            return false;
        };
        let Some(spec) = self.spec.steps.get(usize::from(step)) else {
            return false;
        };
        let steps = &open_turn.steps;
        spec.after
            .iter()
            .all(|after| steps.get(usize::from(*after)).is_some_and(Step::is_done))
    }

    /// Counts a failed run of a task unless it was counted before; returns the number of failures.
    /// Long-running tasks may fail any number of times, so only the newest failures are kept.
    pub fn count_failure(&mut self, key: TaskKey, run: u64) -> usize {
        let Some(task) = self.task_mut(key) else {
            return 0;
        };
        if !task.failed_runs.contains(&run) {
            if task.failed_runs.len() >= MAX_FAILED_RUNS {
                task.failed_runs.remove(0);
            }
            task.failed_runs.push(run);
        }
        task.failed_runs.len()
    }

    /// Keeps what a run has saved, at its end or before, for the next run of its task. The members of a gang have to resume from
    /// one checkpoint, and that of any of them serves all: that of the newest run counts, and of its checkpoints those
    /// at the ends of members.
    pub fn save(&mut self, key: TaskKey, run: u64, checkpoint: &Arc<str>, at_end: bool) {
        let spec = self.spec.steps.get(usize::from(key.step.step));
        let is_gang = spec.is_some_and(|spec| spec.gang);
        if !is_gang {
            if let Some(task) = self.task_mut(key) {
                task.checkpoint = Some(checkpoint.clone());
            }
            return;
        }
        let Some(step) = self.step_mut(key.step) else {
            return;
        };
        if (run, at_end) < step.saved_by {
            return;
        }
        step.saved_by = (run, at_end);
        for task in &mut step.tasks {
            task.checkpoint = Some(checkpoint.clone());
        }
    }

    /// The checkpoint from which a gang resumes.
    pub fn gang_checkpoint(&self, id: StepId) -> Option<&Arc<str>> {
        let mut tasks = self.step(id)?.tasks.iter();
        tasks.find_map(|task| task.checkpoint.as_ref())
    }

    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.turns.get(&id.turn)?.steps.get(usize::from(id.step))
    }

    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step(key.step)?.tasks.get(usize::from(key.index))
    }

    /// All steps of the open turns.
    pub fn steps(&self) -> impl Iterator<Item = StepId> {
        self.turns.iter().flat_map(|(number, turn)| {
            (0..turn.steps.len()).map(|index| StepId {
                job: self.id,
                turn: *number,
                step: index as u16,
            })
        })
    }

    /// Tasks of a step without a run.
    pub fn waiting_tasks(&self, id: StepId) -> impl Iterator<Item = TaskKey> {
        let tasks = self.step(id).into_iter().flat_map(|step| &step.tasks);
        let waiting = tasks
            .enumerate()
            .filter(|(_, task)| task.state == TaskState::Waiting);
        waiting.map(move |(index, _)| TaskKey {
            step: id,
            index: index as u16,
        })
    }

    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step)?
            .tasks
            .get_mut(usize::from(key.index))
    }

    fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        let turn = self.turns.get_mut(&id.turn)?;
        turn.steps.get_mut(usize::from(id.step))
    }

    /// Sets the state of a task and updates the counts of its step.
    pub fn set_state(&mut self, key: TaskKey, state: TaskState) {
        let Some(turn) = self.turns.get_mut(&key.step.turn) else {
            return;
        };
        let Some(step) = turn.steps.get_mut(usize::from(key.step.step)) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(usize::from(key.index)) else {
            return;
        };
        match task.state {
            TaskState::Waiting => {}
            TaskState::Placed => step.placed -= 1,
            TaskState::Done => step.done -= 1,
        }
        match state {
            TaskState::Waiting => {}
            TaskState::Placed => step.placed += 1,
            TaskState::Done => step.done += 1,
        }
        task.state = state;
        turn.has_begun |= state != TaskState::Waiting;
    }

    /// Removes the turn if all its steps are done; returns whether the whole job is done.
    pub fn close_turn(&mut self, turn: u32) -> bool {
        let finished = self
            .turns
            .get(&turn)
            .is_some_and(|open_turn| open_turn.steps.iter().all(Step::is_done));
        if finished {
            self.turns.remove(&turn);
        }
        self.turns.is_empty() && self.next_turn >= self.turn_count()
    }

    /// The job's progress in the form that is recorded.
    pub fn progress(&self) -> JobProgress {
        let turns = self.turns.iter().map(|(number, turn)| TurnProgress {
            turn: *number,
            steps: turn.steps.iter().map(step_progress).collect(),
        });
        JobProgress {
            next_turn: self.next_turn,
            turns: turns.collect(),
        }
    }

    /// Restores the progress that an earlier owner recorded.
    pub fn restore(&mut self, progress: &JobProgress) {
        self.has_started = true;
        self.has_run = true;
        self.next_turn = progress.next_turn;
        self.turns.clear();
        for saved in &progress.turns {
            let mut steps: Vec<Step> = self
                .spec
                .steps
                .iter()
                .map(|step| Step::new(step.count))
                .collect();
            for (step, saved) in steps.iter_mut().zip(&saved.steps) {
                restore_step(step, saved);
            }
            let has_begun = steps.iter().any(|step| step.done > 0);
            self.turns.insert(saved.turn, Turn { steps, has_begun });
        }
    }
}

fn step_progress(step: &Step) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in step.tasks.iter().enumerate() {
        if task.state == TaskState::Done {
            progress.mark_done(index);
            continue;
        }
        if !task.failed_runs.is_empty() {
            let runs = task.failed_runs.clone();
            progress.failures.push((index as u16, runs));
        }
        if let Some(checkpoint) = &task.checkpoint {
            progress
                .checkpoints
                .push((index as u16, checkpoint.clone()));
        }
    }
    progress
}

fn restore_step(step: &mut Step, saved: &StepProgress) {
    for (index, task) in step.tasks.iter_mut().enumerate() {
        if saved.is_done(index) {
            task.state = TaskState::Done;
            step.done += 1;
        }
    }
    for (index, runs) in &saved.failures {
        if let Some(task) = step.tasks.get_mut(usize::from(*index)) {
            task.failed_runs.clone_from(runs);
        }
    }
    for (index, checkpoint) in &saved.checkpoints {
        if let Some(task) = step.tasks.get_mut(usize::from(*index)) {
            task.checkpoint = Some(checkpoint.clone());
        }
    }
}
