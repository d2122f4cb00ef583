//! Workers that are to be emptied: those that leave, and those of data centres that the operator evacuates.
//!
//! A leaving worker ends with all its runs, so its long-running tasks move as soon as others have room. The workers
//! of an evacuated data centre go on serving what they run, but get no starts. Their tasks move at a pace, and only
//! while no other task waits for the room.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::candidates::Candidates;
use super::shard::{Now, Shard};
use super::worker::{Run, RunState, Worker};
use crate::base::{Millis, Name};
use crate::process::telemetry;
use crate::request::job::{StayingRun, StepId, StepSpec, TaskKey};

/// Interval of the rounds in which runs are moved off evacuated workers, in milliseconds.
const MOVE_INTERVAL: Millis = Millis(200);
/// Most tasks that are on their way from evacuated workers to others. Each is away from its users for about a
/// second, so that a data centre with some hundred tasks is empty after a minute or two.
const MAX_MOVING: usize = 4;
/// Interval of the counts of tasks that are still in evacuated data centres, in milliseconds.
const COUNT_INTERVAL: Millis = Millis(1_000);

/// The operator's requests to evacuate data centres, as far as this owner knows them.
#[derive(Debug)]
pub(super) struct Evacuations {
    /// Whether the requests are known. Before, any worker may be one that must get no starts.
    is_known: bool,
    requests: BTreeMap<Name, Progress>,
    last_move: Millis,
    last_count: Millis,
}

/// How far the evacuation of a data centre is.
#[derive(Debug)]
struct Progress {
    /// When this owner learned of the request.
    since: Millis,
    /// Runs there at the last count.
    runs: usize,
    /// Whether it was logged that none is left.
    is_empty: bool,
}

impl Evacuations {
    /// Without a bound on the time from a request to the last start, an owner starts with no request in force.
    pub fn new(bound: Option<Millis>) -> Self {
        Evacuations {
            is_known: bound.is_none(),
            requests: BTreeMap::new(),
            last_move: Millis(0),
            last_count: Millis(0),
        }
    }

    pub fn is_known(&self) -> bool {
        self.is_known
    }

    pub fn covers(&self, data_centre: Option<&Name>) -> bool {
        data_centre.is_some_and(|name| self.requests.contains_key(name))
    }

    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }
}

impl Drop for Evacuations {
    /// A host that has given up the shard knows no more how far the evacuations are.
    fn drop(&mut self) {
        self.requests.keys().for_each(clear_metrics);
        if !self.requests.is_empty() {
            telemetry::set_tasks_awaiting_evacuated(0);
        }
    }
}

fn clear_metrics(data_centre: &Name) {
    telemetry::set_evacuated(data_centre, false);
    telemetry::set_evacuating_runs(data_centre, 0);
}

/// Runs of long-running steps that are at work, for each step.
type AtWork = HashMap<StepId, usize>;

impl Shard {
    /// Replaces the set of data centres that the operator wants evacuated.
    pub(super) fn apply_evacuations(&mut self, now: Now, data_centres: &Arc<BTreeSet<Name>>) {
        self.needs_placement |= !self.evacuations.is_known;
        self.evacuations.is_known = true;
        if self.evacuations.requests.keys().eq(data_centres.iter()) {
            return;
        }
        let ended: Vec<Name> = self
            .evacuations
            .requests
            .keys()
            .filter(|name| !data_centres.contains(*name))
            .cloned()
            .collect();
        for name in ended {
            let progress = self.evacuations.requests.remove(&name);
            let took = progress.map_or(0, |it| now.steady.since(it.since).0);
            tracing::info!(data_centre = %name, took, "evacuation ended; workers get starts again");
            clear_metrics(&name);
        }
        for name in data_centres.iter() {
            if self.evacuations.requests.contains_key(name) {
                continue;
            }
            let is_there = |worker: &&Worker| worker.data_centre.as_ref() == Some(name);
            let workers = self.workers.iter().filter(is_there).count();
            let runs = self.workers.iter().filter(is_there);
            let runs: usize = runs.map(|worker| worker.runs.len()).sum();
            match workers {
                0 => {
                    tracing::warn!(data_centre = %name, "evacuation of a data centre without known workers")
                }
                _ => {
                    tracing::info!(data_centre = %name, workers, runs, "evacuation in effect; no more starts")
                }
            }
            let progress = Progress {
                since: now.steady,
                runs,
                is_empty: false,
            };
            self.evacuations.requests.insert(name.clone(), progress);
            telemetry::set_evacuated(name, true);
            telemetry::set_evacuating_runs(name, runs);
        }
        for worker in self.workers.iter_mut() {
            let is_evacuated = self.evacuations.covers(worker.data_centre.as_ref());
            worker.has_changed |= worker.is_evacuated != is_evacuated;
            worker.is_evacuated = is_evacuated;
        }
        if data_centres.is_empty() {
            telemetry::set_tasks_awaiting_evacuated(0);
        }
        // The room that new jobs compete for has changed.
        self.backlog.measure_soon();
        self.needs_placement = true;
    }

    /// Moves tasks off workers that leave or are evacuated, as far as others have room.
    pub(super) fn empty_workers(&mut self, now: Now) {
        self.move_off_leaving(now);
        self.move_off_evacuated(now);
        self.count_evacuating(now);
    }

    /// Moves long-running tasks off workers that are leaving. A task that is stopped without room elsewhere would be
    /// down while its worker still runs.
    fn move_off_leaving(&mut self, now: Now) {
        let leaving: Vec<(Name, TaskKey)> = self
            .workers
            .iter()
            .filter(|worker| is_leaving(worker))
            .flat_map(|worker| {
                let runs = worker.runs.iter();
                let runs = runs.filter(|(_, run)| run.lasts && is_active(run));
                runs.map(|(task, _)| (worker.id.clone(), *task))
            })
            .collect();
        if leaving.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        self.reserve_for_moving(now, &mut candidates);
        for (worker_id, task) in leaving {
            if !self.reserve_room(now, task, &mut candidates) {
                continue;
            }
            tracing::info!(%task, worker = %worker_id, "moving a long-running task off a leaving worker");
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.stop_run(task);
            }
        }
    }

    /// Reserves room for the long-running tasks that are stopped on such workers or wait for their restart.
    fn reserve_for_moving(&self, now: Now, candidates: &mut Candidates) -> usize {
        let stopping = self
            .workers
            .iter()
            .filter(|worker| is_leaving(worker) || worker.is_evacuated)
            .flat_map(|worker| worker.runs.iter())
            .filter(|(_, run)| run.lasts && is_stopping(run) && !run.is_orphaned);
        let stopping: Vec<TaskKey> = stopping.map(|(task, _)| *task).collect();
        let waiting = self.restarts.iter().map(|(_, task)| *task);
        let moving: Vec<TaskKey> = stopping.into_iter().chain(waiting).collect();
        for task in &moving {
            self.reserve_room(now, *task, candidates);
        }
        moving.len()
    }

    /// Moves runs off evacuated workers, a few at a time.
    fn move_off_evacuated(&mut self, now: Now) {
        let is_due = now.steady.since(self.evacuations.last_move) >= MOVE_INTERVAL;
        if self.evacuations.is_idle() || !is_due || self.resignation.is_some() {
            return;
        }
        self.evacuations.last_move = now.steady;
        let mut candidates = self.candidates(now);
        let moving = self.reserve_for_moving(now, &mut candidates);
        let mut allowed = MAX_MOVING.saturating_sub(moving);
        if allowed == 0 {
            return;
        }
        let mut at_work = self.count_at_work();
        let mut chosen: Vec<(Name, TaskKey)> = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.is_evacuated) {
            if self.lacks_room_for_others(&worker.service) {
                continue;
            }
            for (task, run) in worker.runs.iter().filter(|(_, run)| is_active(run)) {
                let Some((_, spec)) = self.step_spec(task.step) else {
                    continue;
                };
                let present = at_work.get(&task.step).copied().unwrap_or(0);
                let staying = describe_run(run, spec, present, now.steady);
                if allowed == 0
                    || !staying.is_movable()
                    || !self.reserve_room(now, *task, &mut candidates)
                {
                    continue;
                }
                allowed -= 1;
                at_work.insert(task.step, present.saturating_sub(1));
                chosen.push((worker.id.clone(), *task));
            }
        }
        for (worker_id, task) in chosen {
            tracing::info!(%task, worker = %worker_id, "moving a task off an evacuated worker");
            telemetry::count_eviction("evacuation");
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.stop_run(task);
            }
        }
    }

    /// Whether tasks that are not best-effort wait for room at the workers of a service.
    fn lacks_room_for_others(&self, service: &Name) -> bool {
        let mut unmet = self.unmet.iter();
        unmet.any(|unmet| unmet.service == *service && !unmet.fills)
    }

    /// Counts the tasks at work of all long-running steps with a task on an evacuated worker.
    fn count_at_work(&self) -> AtWork {
        let evacuated = self.workers.iter().filter(|worker| worker.is_evacuated);
        let runs = evacuated.flat_map(|worker| worker.runs.iter());
        let steps = runs.filter(|(_, run)| run.lasts);
        let steps: HashSet<StepId> = steps.map(|(task, _)| task.step).collect();
        let mut at_work = AtWork::new();
        for worker in self.workers.iter().filter(|worker| worker.unanswered == 0) {
            for (task, run) in &worker.runs {
                if is_active(run) && run.percent >= 100 && steps.contains(&task.step) {
                    *at_work.entry(task.step).or_default() += 1;
                }
            }
        }
        at_work
    }

    /// Counts what is left in evacuated data centres, and logs once that nothing is.
    fn count_evacuating(&mut self, now: Now) {
        let is_due = now.steady.since(self.evacuations.last_count) >= COUNT_INTERVAL;
        if self.evacuations.is_idle() || !is_due {
            return;
        }
        self.evacuations.last_count = now.steady;
        let awaiting = self.awaiting_evacuated();
        telemetry::set_tasks_awaiting_evacuated(awaiting);
        for (name, progress) in &mut self.evacuations.requests {
            let workers = self.workers.iter();
            let there = workers.filter(|worker| worker.data_centre.as_ref() == Some(name));
            progress.runs = there.map(|worker| worker.runs.len()).sum();
            telemetry::set_evacuating_runs(name, progress.runs);
            let was_empty = std::mem::replace(&mut progress.is_empty, progress.runs == 0);
            if progress.is_empty && !was_empty {
                let took = now.steady.since(progress.since).0;
                tracing::info!(data_centre = %name, took, awaiting, "evacuated data centre runs no more tasks");
            }
        }
    }

    /// Number of waiting tasks that would start in an evacuated data centre if they could: their data is in a rack
    /// there, or only workers there have the label that they require.
    fn awaiting_evacuated(&self) -> usize {
        let mut there: HashSet<&Name> = HashSet::new();
        let mut elsewhere: HashSet<&Name> = HashSet::new();
        for worker in self.workers.iter().filter(|worker| worker.is_ready) {
            match worker.is_evacuated {
                true => there.extend(&worker.labels),
                false => elsewhere.extend(&worker.labels),
            }
        }
        let is_only_there = |label: Option<&Name>| {
            label.is_some_and(|it| there.contains(it) && !elsewhere.contains(it))
        };
        let steps = self.ready.iter().filter_map(|key| {
            let (job, spec) = self.step_spec(key.step)?;
            let waits = is_only_there(spec.rack.as_ref()) || is_only_there(spec.label.as_ref());
            job.step(key.step).filter(|_| waits)
        });
        steps.map(|step| step.waiting()).sum()
    }
}

fn is_leaving(worker: &Worker) -> bool {
    worker.is_listed && !worker.is_ready
}

fn is_active(run: &Run) -> bool {
    matches!(run.state, RunState::Active { .. })
}

fn is_stopping(run: &Run) -> bool {
    matches!(run.state, RunState::Stopping { .. })
}

/// Describes a run for the decision whether it moves; `present` tasks of its step are at work.
fn describe_run(run: &Run, spec: &StepSpec, present: usize, now: Millis) -> StayingRun {
    let tasks = usize::from(spec.count);
    let left = 100 - u64::from(run.percent.min(100));
    let elapsed = now.since(run.started).0;
    let observed = elapsed * left / u64::from(run.percent.max(1));
    let declared = u64::from(spec.runtime) * left / 100;
    StayingRun {
        lasts: run.lasts,
        gang: spec.gang,
        is_saved: run.saves && run.checkpoint.is_some(),
        remaining: Millis(match run.percent {
            0 => declared,
            _ => observed,
        }),
        tasks,
        absent: tasks.saturating_sub(present),
        max_absent: spec.absent,
    }
}
