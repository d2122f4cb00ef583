//! Restarts of long-running tasks. They come before all other tasks: the users of such a task are
//! without it until it runs again, and under load other tasks would take up all room that becomes
//! free.

use super::candidates::{Candidates, Search, max_set_aside};
use super::jobs::waiting_steps;
use super::shard::{Now, Phase, Shard, ShardAction};
use crate::base::{Millis, Name, Size};
use crate::request::job::{JobId, StartPermit, StepId, TaskKey, TaskState};

/// Most restarts for which a placement pass searches a worker. Each search looks at all workers; the next
/// pass goes on behind them.
const MAX_SEARCHES: usize = 32;
/// How long a restart waits for room before a worker is set aside for it, in milliseconds: a worker that
/// is set aside stands partly idle.
const SET_ASIDE_WAIT: Millis = Millis(1_000);

/// Whether a task that waits for its restart is to be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    /// It has started, or is not to start any more.
    Over,
    /// No worker has room for it.
    LacksRoom {
        /// Whether a smaller task had found none before.
        is_known: bool,
    },
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

    /// Puts waiting tasks of a recovered job before all others if they have most likely lost their run
    /// at the change of the owner: a worker is lost, they have failed or saved progress before, or others of
    /// their step run.
    pub(super) fn add_interrupted(&mut self, now: Millis, id: JobId, has_lost_worker: bool) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut interrupted: Vec<TaskKey> = Vec::new();
        for id in waiting_steps(job) {
            let has_runs = job.step(id).is_some_and(|step| step.placed > 0);
            let waiting: Vec<TaskKey> = job.waiting_tasks(id).collect();
            for key in waiting {
                let Some(task) = job.task_mut(key) else {
                    continue;
                };
                task.has_run |= has_lost_worker
                    || has_runs
                    || !task.failed_runs.is_empty()
                    || task.checkpoint.is_some();
                interrupted.push(key);
            }
        }
        for key in interrupted {
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
        let mut suspects = self.usable(now, |worker| worker.suspect_until > now.steady);
        let mut lacking_room: Vec<StepId> = Vec::new();
        // Sizes of tasks that found no room in this pass; larger ones need not be tried.
        let mut unmet: Vec<(Name, Size)> = Vec::new();
        let cursor = self.restart_cursor.take();
        let after = cursor.iter().flat_map(|from| self.restarts.range(*from..));
        let before = self.restarts.iter();
        let before = before.take_while(|entry| cursor.is_none_or(|from| **entry < from));
        let entries: Vec<(Millis, TaskKey)> = after.chain(before).copied().collect();
        let mut searches = 0;
        for entry in entries {
            if self.has_max_pending_starts() || searches >= MAX_SEARCHES {
                self.restart_cursor = Some(entry);
                break;
            }
            let (since, key) = entry;
            match self.restart(now, key, candidates, &mut suspects, &mut unmet, out) {
                Restart::Over => {
                    self.restarts.remove(&entry);
                    searches += 1;
                }
                Restart::LacksRoom { is_known } => {
                    searches += usize::from(!is_known);
                    if now.steady.since(since) >= SET_ASIDE_WAIT {
                        lacking_room.push(key.step);
                    }
                }
                Restart::Waiting => {}
            }
        }
        // The restarts themselves may use these workers: a smaller one must not wait for a larger one.
        lacking_room.truncate(max_set_aside(candidates));
        for step in lacking_room {
            self.set_aside(now, step, candidates);
        }
    }

    /// Starts one of the tasks again if a worker has room.
    fn restart(
        &mut self,
        now: Now,
        key: TaskKey,
        candidates: &mut Candidates,
        suspects: &mut Candidates,
        unmet: &mut Vec<(Name, Size)>,
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
        let is_held = may_have_run && !task.is_found
            || self.may_run_elsewhere(&key)
            || job.awaits_proof(key, now.steady);
        let is_permitted = job.start_permit == StartPermit::Granted;
        if is_held || !is_permitted || !job.is_ready(key.step.turn, key.step.step) {
            return Restart::Waiting;
        }
        let service = self.queues.get(&job.queue).service.clone();
        let spec = job.spec.clone();
        let Some(spec) = spec.steps.get(usize::from(key.step.step)) else {
            return Restart::Over;
        };
        let reserved = spec.reserved();
        let is_unmet = |(other, size): &(Name, Size)| *other == service && size.fits(&reserved);
        if unmet.iter().any(is_unmet) {
            return Restart::LacksRoom { is_known: true };
        }
        let search = Search {
            only_quiet: self.trial_needs_quiet(now, key) == Some(true),
            ..Search::default()
        };
        let find =
            |workers: &Candidates| self.find_worker(now, &service, spec, key.step, workers, search);
        // Waiting is worse for a long-running task than a failed run, which does not count against its
        // attempts.
        let Some(slot) = find(candidates).or_else(|| find(suspects)) else {
            // A task without these conditions may find room all the same.
            if !(search.only_quiet || spec.fills || spec.label.is_some() || spec.spread > 0) {
                unmet.push((service, reserved));
            }
            return Restart::LacksRoom { is_known: false };
        };
        self.start_task(now, slot, spec, key, None, out);
        self.update_candidate(candidates, slot);
        self.update_candidate(suspects, slot);
        Restart::Over
    }
}
