//! Assigns waiting tasks to workers and orders their starts.

use super::candidates::{Candidates, MAX_COMPARED, Search, UnmetRequirements, max_set_aside};
use super::shard::{Now, Phase, Shard, ShardAction, WorkerTag};
use super::worker::{Run, RunState};
use crate::base::{Millis, Name};
use crate::connection::{Order, StartOrder, WorkerCall};
use crate::request::job::{OrderKey, StartPermit, StepSpec, Task, TaskKey, TaskState};

/// Timeout of a start order, in milliseconds. A worker answers within a few milliseconds plus the
/// network delay. A run whose start was not confirmed in time is stopped before the task starts
/// elsewhere.
const START_TIMEOUT: Millis = Millis(700);
/// Low bits of a run number that count the runs of a task within an epoch; the epoch is above them.
const RUN_BITS: u32 = 12;

/// Start orders that may be without an answer at the same time. More of them would only wait for
/// the owner's processor, behind them the hellos of other hosts, which would then take it for gone.
const MAX_PENDING_STARTS: usize = 384;
/// Bytes of a start order besides its payload, on a new connection.
const START_BYTES: usize = 500;

/// Interval of the placement passes that check all workers, in milliseconds. Others check workers that
/// have changed; what else changes with time, such as learned slopes, counts from the next full pass.
const FULL_PASS_INTERVAL: Millis = Millis(250);

/// Why a step has waiting tasks after a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    /// No worker has room for one of them.
    LacksRoom,
    /// They are not to start yet.
    Held,
}

impl Shard {
    /// Places waiting tasks in the order of `ready` as far as workers have room.
    pub(super) fn place(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if self.ready.is_empty() || self.resignation.is_some() || !self.evacuations.is_known() {
            return;
        }
        self.permit_next_jobs();
        if self.has_max_pending_starts() {
            return;
        }
        let keys: Vec<OrderKey> = self.ready.iter().copied().collect();
        let mut candidates = self.candidates(now);
        // Passes begin at different workers, since not all of them are compared.
        let start = self.placement_passes.checked_rem(candidates.len());
        candidates.rotate_left(start.unwrap_or(0));
        self.placement_passes = self.placement_passes.wrapping_add(MAX_COMPARED);
        let mut unmet = std::mem::take(&mut self.unmet);
        if now.steady.since(self.last_full_pass) >= FULL_PASS_INTERVAL {
            self.last_full_pass = now.steady;
            unmet.clear();
        }
        unmet.iter_mut().for_each(|known| known.is_new = false);
        for worker in self.workers.iter_mut() {
            worker.has_changed = false;
        }
        self.place_restarts(now, &mut candidates, out);
        let is_complete = self.place_steps(now, &keys, &mut candidates, &mut unmet, out);
        if is_complete {
            self.unmet = unmet;
        }
    }

    /// Returns whether all steps were considered; otherwise too many starts are pending.
    fn place_steps(
        &mut self,
        now: Now,
        keys: &[OrderKey],
        candidates: &mut Candidates,
        unmet: &mut Vec<UnmetRequirements>,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let mut set_aside = 0;
        let mut is_complete = true;
        let max_set_aside = max_set_aside(candidates);
        for key in keys {
            // The key was made before another one of its job was placed and changed the order.
            let is_outdated = !self.ready.contains(key);
            match self.place_step(now, *key, candidates, unmet, out) {
                // Smaller tasks would take up each bit of room that becomes free.
                Some(Waiting::LacksRoom) if key.comes_first() && set_aside < max_set_aside => {
                    set_aside += usize::from(self.set_aside(now, key.step, candidates));
                }
                Some(_) => {}
                None => {
                    self.ready.remove(key);
                }
            }
            if !is_outdated {
                self.replace_new_key(*key);
            }
            if self.has_max_pending_starts() {
                is_complete = false;
                break;
            }
        }
        self.starved_turns.note_set_aside(set_aside);
        is_complete
    }

    /// Places the waiting tasks of one step, or one of them if it is starved. Returns `None` only if none of them is
    /// left, or none can start until the step is queued again: the step leaves `ready` then.
    fn place_step(
        &mut self,
        now: Now,
        key: OrderKey,
        candidates: &mut Candidates,
        unmet: &mut Vec<UnmetRequirements>,
        out: &mut Vec<ShardAction>,
    ) -> Option<Waiting> {
        if self.ending.contains_key(&key.step.job) {
            return None;
        }
        let job = self.jobs.get(&key.step.job)?;
        let step = job.step(key.step)?;
        if step.waiting() == 0 || !job.is_ready(key.step.turn, key.step.step) {
            return None;
        }
        if job.start_permit != StartPermit::Granted {
            return Some(Waiting::Held);
        }
        // Another turn of the job has got the run.
        if key.is_starved() && job.idle_since(key.step).is_none() {
            return Some(Waiting::Held);
        }
        let service = self.queues.get(&job.queue).service.clone();
        let spec = job.spec.clone();
        let spec = spec.steps.get(usize::from(key.step.step))?;
        let is_unmet = |known: &UnmetRequirements| known.cover(&service, spec, key.step);
        if unmet.iter().any(|known| known.is_new && is_unmet(known)) {
            // One worker that is kept free would not help a gang.
            return Some(match spec.gang {
                true => Waiting::Held,
                false => Waiting::LacksRoom,
            });
        }
        let known_unmet = unmet.iter().position(is_unmet);
        let has_trials = !job.trials.is_empty();
        let only_found = self.phase != Phase::Active && self.recovered.contains(&key.step.job);
        let may_start =
            |task: &Task| task.state == TaskState::Waiting && (task.is_found || !only_found);
        let waiting: Vec<TaskKey> = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| may_start(task))
            .map(|(index, _)| TaskKey {
                step: key.step,
                index: index as u16,
            })
            .filter(|task| !self.may_run_elsewhere(task) && !self.lost_runs.awaits_record(task))
            .collect();
        if waiting.is_empty() {
            return Some(Waiting::Held);
        }
        if spec.gang {
            let awaits_proof = waiting.iter().any(|task| self.awaits_proof(now, *task));
            if waiting.len() == usize::from(spec.count)
                && !awaits_proof
                && !self.place_gang(now, &service, spec, &waiting, candidates, out)
                && known_unmet.is_none()
            {
                unmet.push(UnmetRequirements {
                    step: Some(key.step),
                    ..UnmetRequirements::of(&service, spec, key.step)
                });
            }
            return Some(Waiting::Held);
        }
        for task in waiting {
            if self.has_max_pending_starts() {
                return Some(Waiting::Held);
            }
            if has_trials && self.awaits_proof(now, task) {
                continue;
            }
            let trial = match has_trials {
                true => self.trial_needs_quiet(now, task),
                false => None,
            };
            let search = Search {
                rack: None,
                only_changed: known_unmet.is_some() && trial.is_none(),
                only_quiet: trial == Some(true),
                includes_starting: spec.lasts,
            };
            let step = key.step;
            let mut found = self.find_worker(now, &service, spec, step, candidates, search);
            if found.is_none() && spec.lasts && !search.only_changed {
                // Waiting is worse for a long-running task than a failed run, which does not count
                // against its attempts.
                let suspects = self.usable(now, |worker| worker.suspect_until > now.steady);
                found = self.find_worker(now, &service, spec, step, &suspects, search);
            }
            if found.is_none() && trial.is_some() {
                // Tasks that are not on trial may find a worker all the same.
                continue;
            }
            if spec.lasts && found.is_some_and(|slot| Self::has_max_starts(candidates, slot)) {
                // It would stay for long on a worker that is worse; the best one answers soon.
                return Some(Waiting::Held);
            }
            let Some(slot) = found else {
                let known = known_unmet.and_then(|index| unmet.get_mut(index));
                match known {
                    Some(known) => known.is_new = true,
                    None => unmet.push(UnmetRequirements::of(&service, spec, step)),
                }
                return Some(Waiting::LacksRoom);
            };
            self.start_task(now, slot, spec, task, None, out);
            self.update_candidate(candidates, slot);
            if key.is_starved() {
                return Some(Waiting::Held);
            }
        }
        // Some tasks may have been passed over, for any reason.
        let step = self.jobs.get(&key.step.job)?.step(key.step)?;
        (step.waiting() > 0).then_some(Waiting::Held)
    }

    /// Places all tasks of a gang, or none; returns whether they had room.
    fn place_gang(
        &mut self,
        now: Now,
        service: &Name,
        spec: &StepSpec,
        tasks: &[TaskKey],
        candidates: &mut Candidates,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let Some(step) = tasks.first().map(|task| task.step) else {
            return true;
        };
        let mut trials = tasks
            .iter()
            .filter_map(|task| self.trial_needs_quiet(now, *task));
        let needs_quiet = trials.any(|needs_quiet| needs_quiet);
        let racks = match spec.same_rack {
            true => self.racks(service, spec),
            false => vec![None],
        };
        for rack in racks {
            let mut chosen: Vec<usize> = Vec::new();
            for task in tasks {
                let search = Search {
                    rack: rack.as_ref(),
                    only_changed: false,
                    only_quiet: needs_quiet,
                    includes_starting: true,
                };
                let found = self.find_worker(now, service, spec, step, candidates, search);
                let Some(slot) = found else {
                    break;
                };
                // Reserves the room until it is known whether the whole gang fits.
                if let Some(worker) = self.workers.at_mut(slot) {
                    worker.add_run(*task, new_run(spec, 0, now.steady));
                }
                self.update_candidate(candidates, slot);
                chosen.push(slot);
            }
            for (task, slot) in tasks.iter().zip(&chosen) {
                if let Some(worker) = self.workers.at_mut(*slot) {
                    worker.remove_run(*task);
                }
                self.update_candidate(candidates, *slot);
            }
            if chosen.len() < tasks.len() {
                continue;
            }
            let job = self.jobs.get(&step.job);
            let runs = tasks.iter().filter_map(|task| Some(job?.task(*task)?.runs));
            let ordinal = runs.max().unwrap_or(0) + 1;
            for (task, slot) in tasks.iter().zip(chosen) {
                self.start_task(now, slot, spec, *task, Some(ordinal), out);
                self.update_candidate(candidates, slot);
            }
            return true;
        }
        false
    }

    /// The racks to try for a gang, the one with its data first. The last entry, `None`, allows
    /// workers of different racks.
    fn racks(&self, service: &Name, spec: &StepSpec) -> Vec<Option<Name>> {
        let mut racks: Vec<Name> = self
            .workers
            .iter()
            .filter(|worker| worker.service == *service && worker.is_ready && !worker.is_evacuated)
            .filter_map(|worker| worker.rack().cloned())
            .collect();
        racks.sort();
        racks.dedup();
        racks.sort_by_key(|rack| spec.rack.as_ref() != Some(rack));
        racks.into_iter().map(Some).chain([None]).collect()
    }

    /// Whether as many start orders wait for an answer as are allowed.
    pub(super) fn has_max_pending_starts(&self) -> bool {
        self.pending_starts >= MAX_PENDING_STARTS || self.start_window.is_full()
    }

    /// Records a new run of a task and orders its start. `ordinal` is given for gangs, whose runs
    /// share one number.
    pub(super) fn start_task(
        &mut self,
        now: Now,
        slot: usize,
        spec: &StepSpec,
        task: TaskKey,
        ordinal: Option<u32>,
        out: &mut Vec<ShardAction>,
    ) {
        let epoch = self.owner.epoch;
        let (Some(worker), Some(job)) =
            (self.workers.at_mut(slot), self.jobs.get_mut(&task.step.job))
        else {
            return;
        };
        let Some(until) = worker.start_lease_end(now.steady, self.settings.granted_lease()) else {
            return;
        };
        if spec.fills {
            let share = worker.share(spec.size.processors);
            let image = spec.image.as_ref();
            self.contention
                .record_start(now.steady, &mut worker.headroom, image, share);
        }
        let payload = job.spec.payload.clone();
        job.has_started = true;
        job.note_start(task.step, now.wall);
        job.set_state(task, TaskState::Placed);
        // Records of earlier versions of the program may have several checkpoints for a gang.
        let shared = job
            .gang_checkpoint(task.step)
            .filter(|_| spec.gang)
            .cloned();
        let Some(entry) = job.task_mut(task) else {
            return;
        };
        entry.runs = ordinal.unwrap_or(entry.runs + 1);
        let run = run_number(epoch, entry.runs);
        let checkpoint = shared.or_else(|| entry.checkpoint.clone());
        let is_trial = job.trial_since(task).is_some();
        let mut placed = new_run(spec, run, now.steady);
        placed.checkpoint.clone_from(&checkpoint);
        worker.add_run(task, placed);
        if is_trial {
            worker.trials.push(task);
        }
        worker.pending_starts += 1;
        self.pending_starts += 1;
        worker.note_grant(now.steady, until);
        self.lost_runs.supersede(now.steady, task);
        let bytes = payload.len() + START_BYTES;
        self.start_window.add(bytes);
        let tag = WorkerTag::Start {
            worker: worker.id.clone(),
            sent: now.steady,
            bytes,
            task,
            run,
            lease_end: until,
        };
        let order = StartOrder {
            task,
            run,
            payload,
            lease_end: until,
            checkpoint,
            permit: None,
        };
        let call = WorkerCall {
            worker: worker.id.clone(),
            address: worker.address,
            epoch,
            order: Order::Start(order),
            timeout: START_TIMEOUT,
        };
        tracing::debug!(%task, run, worker = %call.worker, "starting a task");
        out.push(ShardAction::Worker(tag, call));
    }
}

fn new_run(spec: &StepSpec, run: u64, now: Millis) -> Run {
    Run {
        run,
        state: RunState::Starting,
        reserved: spec.reserved(),
        demand: spec.size.processors,
        fills: spec.fills,
        lasts: spec.lasts,
        image: spec.image.clone(),
        tail_bound: spec.tail_bound,
        started: now,
        percent: 0,
        last_progress: now,
        metric: None,
        checkpoint: None,
        saves: spec.saves,
        speed_limit: 100,
        halted_since: None,
        is_orphaned: false,
        is_adopted: false,
        is_confirmed: false,
    }
}

/// Number of a run. Its high bits are the whole epoch, so that numbers rise across owners without
/// being recorded, and no two owners give the same number, even if they claim at the same time.
pub(super) fn run_number(epoch: u64, runs: u32) -> u64 {
    (epoch << RUN_BITS) + u64::from(runs)
}
