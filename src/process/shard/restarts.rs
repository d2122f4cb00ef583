//! Restarts of long-running tasks. They come before all other tasks: the users of such a task are
//! without it until it runs again, and under load other tasks would take up all room that becomes
//! free.

use super::candidates::{Candidates, Search};
use super::jobs::waiting_steps;
use super::shard::{Now, Phase, Shard, ShardAction};
use crate::base::Millis;
use crate::request::job::{JobId, StepId, TaskKey, TaskState};

/// Most restarts that a placement pass tries, the longest waiting first. Each may look at all workers.
const MAX_RESTARTS: usize = 32;
/// At most one of this many workers is kept free of other tasks for restarts that find no room, so that
/// the loss of many workers does not stop all other work.
const SET_ASIDE_DIVISOR: usize = 16;
/// How long a restart waits for room before a worker is set aside for it, in milliseconds. Most find
/// room sooner, and a worker that is set aside stands partly idle.
const SET_ASIDE_WAIT: Millis = Millis(1_000);

/// Whether a task that waits for its restart is to be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    /// It has started, or is not to start any more.
    Over,
    /// No worker has room for it.
    LacksRoom,
    /// It may not start yet.
    Waiting,
}

impl Shard {
    /// Puts a waiting task before all others if it is a long-running one that has run.
    pub(super) fn add_restart(&mut self, now: Millis, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let step = job.spec.steps.get(usize::from(key.step.step));
        let is_restart = job
            .task(key)
            .is_some_and(|task| task.has_run && task.state == TaskState::Waiting);
        if is_restart && step.is_some_and(|step| step.lasts && !step.gang) {
            self.restarts.insert((now, key));
        }
    }

    /// Does the same for all waiting tasks of a job that an earlier owner may have started.
    pub(super) fn add_restarts(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let steps = waiting_steps(job);
        let keys: Vec<TaskKey> = steps
            .into_iter()
            .flat_map(|step| job.waiting_tasks(step))
            .collect();
        for key in &keys {
            if let Some(task) = job.task_mut(*key) {
                task.has_run = true;
            }
        }
        for key in keys {
            self.add_restart(now, key);
        }
    }

    /// Places the tasks that wait for their restart as far as workers have room. Workers that are set
    /// aside for the others are removed from `candidates`.
    pub(super) fn place_restarts(
        &mut self,
        now: Now,
        candidates: &mut Candidates,
        out: &mut Vec<ShardAction>,
    ) {
        if self.restarts.is_empty() {
            return;
        }
        let mut lacking_room: Vec<StepId> = Vec::new();
        let mut suspects = self.usable(now, |worker| worker.suspect_until > now.steady);
        let first: Vec<(Millis, TaskKey)> =
            self.restarts.iter().take(MAX_RESTARTS).copied().collect();
        for entry in first {
            if self.is_starting_full() {
                return;
            }
            let (since, key) = entry;
            match self.restart(now, key, candidates, &mut suspects, out) {
                Restart::Over => {
                    self.restarts.remove(&entry);
                }
                Restart::LacksRoom if now.steady.since(since) >= SET_ASIDE_WAIT => {
                    lacking_room.push(key.step);
                }
                Restart::LacksRoom | Restart::Waiting => {}
            }
        }
        // The restarts themselves may use these workers: a smaller one must not wait for a larger one.
        lacking_room.truncate(candidates.len().div_ceil(SET_ASIDE_DIVISOR));
        for step in lacking_room {
            self.set_aside(step, candidates);
        }
    }

    /// Starts one of the tasks again if a worker has room.
    fn restart(
        &mut self,
        now: Now,
        key: TaskKey,
        candidates: &mut Candidates,
        suspects: &mut Candidates,
        out: &mut Vec<ShardAction>,
    ) -> Restart {
        let id = key.step.job;
        let Some(job) = self
            .jobs
            .get(&id)
            .filter(|_| !self.ending.contains_key(&id))
        else {
            return Restart::Over;
        };
        let Some(task) = job
            .task(key)
            .filter(|task| task.state == TaskState::Waiting)
        else {
            return Restart::Over;
        };
        let may_have_run = self.phase != Phase::Active && self.recovered.contains(&id);
        if may_have_run && !task.is_found || self.orphaned_tasks.contains(&key) {
            return Restart::Waiting;
        }
        let Some(queue) = self.queues.queue(&job.queue) else {
            return Restart::Waiting;
        };
        let (service, spec) = (queue.service.clone(), job.spec.clone());
        let Some(spec) = spec.steps.get(usize::from(key.step.step)) else {
            return Restart::Over;
        };
        let search = Search {
            only_quiet: self.trial_needs_quiet(now, key) == Some(true),
            ..Search::default()
        };
        let find =
            |workers: &Candidates| self.find_worker(now, &service, spec, key.step, workers, search);
        // Waiting is worse for a long-running task than a failed run, which does not count against its
        // attempts.
        let Some(slot) = find(candidates).or_else(|| find(suspects)) else {
            return Restart::LacksRoom;
        };
        self.start_task(now, slot, spec, key, None, out);
        self.update_candidate(candidates, slot);
        self.update_candidate(suspects, slot);
        Restart::Over
    }
}
