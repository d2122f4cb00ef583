//! Places waiting tasks on workers and orders their starts.

use super::shard::{Now, Phase, Shard, ShardAction, WorkerTag};
use super::worker::{Run, RunState, Worker};
use crate::base::{Millis, Name, Size};
use crate::connection::{Order, StartOrder, WorkerCall};
use crate::request::job::{
    CandidateWorker, ImageInterference, OrderKey, StepId, StepSpec, TaskKey, TaskRequirements,
    TaskState, choose_worker,
};

/// Longest time for a start to be confirmed, in milliseconds. A worker answers in a few plus the
/// distance; later orders are stopped before the task starts elsewhere.
const START_TIME: Millis = Millis(700);
/// A worker without a report for longer gets no tasks, in milliseconds.
const REPORT_AGE: Millis = Millis(2_600);
/// Runs of one task under one epoch; the epoch's ordinal is above.
const RUN_BITS: u32 = 12;
/// Random low bits of an epoch, below its ordinal.
const EPOCH_BITS: u32 = 16;

/// What of a step did not fit in this pass; the same or more does not fit either.
struct Misfit {
    reserved: Size,
    demand: u32,
    fills: bool,
    /// Lasting tasks may go to workers that others avoid.
    lasts: bool,
    image: Option<Name>,
    service: Name,
}

/// Slots of the workers that one pass of the placement may use.
pub(super) type Candidates = Vec<usize>;

impl Shard {
    /// Places what has room, in order.
    pub(super) fn place(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if self.ready.is_empty() {
            return;
        }
        let keys: Vec<OrderKey> = self.ready.iter().copied().collect();
        let candidates = self.candidates(now);
        let mut misfits: Vec<Misfit> = Vec::new();
        for key in keys {
            if self.phase != Phase::Active && self.inherited.contains(&key.step.job) {
                continue;
            }
            match self.place_step(now, key, &candidates, &mut misfits, out) {
                Some(()) => {}
                None => {
                    self.ready.remove(&key);
                }
            }
        }
    }

    pub(super) fn candidates(&self, now: Now) -> Candidates {
        self.usable(now, |worker| worker.suspect_until <= now.steady)
    }

    fn usable(&self, now: Now, filter: impl Fn(&Worker) -> bool) -> Candidates {
        let slots = self.workers.slots();
        let usable = slots.filter(|(_, worker)| worker.is_usable(now.steady) && filter(worker));
        usable.map(|(slot, _)| slot).collect()
    }

    /// Places tasks of one step; `None` if it has none left to place.
    fn place_step(
        &mut self,
        now: Now,
        key: OrderKey,
        candidates: &Candidates,
        misfits: &mut Vec<Misfit>,
        out: &mut Vec<ShardAction>,
    ) -> Option<()> {
        if self.ending.contains_key(&key.step.job) {
            return None;
        }
        let job = self.jobs.get(&key.step.job)?;
        let step = job.step(key.step)?;
        if step.waiting() == 0 || !job.is_ready(key.step.turn, key.step.step) {
            return None;
        }
        let Some(queue) = self.queues.queue(&job.queue) else {
            return Some(());
        };
        let service = queue.service.clone();
        let spec = job.spec.clone();
        let spec = &spec.steps[usize::from(key.step.step)];
        let reserved = spec.reserved();
        let is_misfit = |misfit: &Misfit| {
            misfit.service == service
                && misfit.fills == spec.fills
                && misfit.lasts == spec.lasts
                && misfit.demand <= spec.size.processors
                && (!spec.fills || misfit.image == spec.image)
                && misfit.reserved.fits(&reserved)
        };
        if misfits.iter().any(is_misfit) {
            return Some(());
        }
        let waiting: Vec<TaskKey> = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| TaskKey {
                step: key.step,
                index: index as u16,
            })
            .filter(|task| !self.strays.contains(task))
            .collect();
        if waiting.is_empty() {
            return Some(());
        }
        if spec.gang {
            if waiting.len() == usize::from(spec.count) {
                self.place_gang(now, &service, spec, &waiting, candidates, out);
            }
            return Some(());
        }
        for task in waiting {
            let mut found = self.find_worker(now, &service, spec, key.step, None, candidates);
            if found.is_none() && spec.lasts {
                // A failure costs a lasting task nothing, and waiting does.
                let suspects = self.usable(now, |worker| worker.suspect_until > now.steady);
                found = self.find_worker(now, &service, spec, key.step, None, &suspects);
            }
            let Some(slot) = found else {
                if spec.label.is_none() && spec.spread == 0 {
                    misfits.push(Misfit {
                        reserved,
                        demand: spec.size.processors,
                        fills: spec.fills,
                        lasts: spec.lasts,
                        image: spec.image.clone(),
                        service,
                    });
                }
                return Some(());
            };
            self.start(now, slot, spec, task, None, out);
        }
        None
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        now: Now,
        service: &Name,
        spec: &StepSpec,
        tasks: &[TaskKey],
        candidates: &Candidates,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(step) = tasks.first().map(|task| task.step) else {
            return;
        };
        let racks = match spec.same_rack {
            true => self.racks(service, spec),
            false => vec![None],
        };
        for rack in racks {
            let mut chosen: Vec<usize> = Vec::new();
            for task in tasks {
                let rack = rack.as_ref();
                let found = self.find_worker(now, service, spec, step, rack, candidates);
                let Some(slot) = found else {
                    break;
                };
                // Holds the room until the whole gang is known to fit.
                if let Some(worker) = self.workers.at_mut(slot) {
                    worker.add_run(*task, new_run(spec, 0, now.steady));
                }
                chosen.push(slot);
            }
            for (task, slot) in tasks.iter().zip(&chosen) {
                if let Some(worker) = self.workers.at_mut(*slot) {
                    worker.remove_run(*task);
                }
            }
            if chosen.len() < tasks.len() {
                continue;
            }
            let job = self.jobs.get(&step.job);
            let runs = tasks.iter().filter_map(|task| Some(job?.task(*task)?.runs));
            let ordinal = runs.max().unwrap_or(0) + 1;
            for (task, slot) in tasks.iter().zip(chosen) {
                self.start(now, slot, spec, *task, Some(ordinal), out);
            }
            return;
        }
    }

    /// Racks of a service, the one with the data first; any rack comes last.
    fn racks(&self, service: &Name, spec: &StepSpec) -> Vec<Option<Name>> {
        let mut racks: Vec<Name> = self
            .workers
            .iter()
            .filter(|worker| worker.service == *service && worker.is_ready)
            .filter_map(|worker| worker.rack().cloned())
            .collect();
        racks.sort();
        racks.dedup();
        racks.sort_by_key(|rack| spec.rack.as_ref() != Some(rack));
        racks.into_iter().map(Some).chain([None]).collect()
    }

    /// Whether another worker has room for a task that runs.
    pub(super) fn has_room_elsewhere(
        &self,
        now: Now,
        task: TaskKey,
        candidates: &Candidates,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(queue) = self.queues.queue(&job.queue) else {
            return false;
        };
        let Some(spec) = job.spec.steps.get(usize::from(task.step.step)) else {
            return false;
        };
        self.find_worker(now, &queue.service, spec, task.step, None, candidates)
            .is_some()
    }

    /// Slot of the best candidate for a task of a step.
    fn find_worker(
        &self,
        now: Now,
        service: &Name,
        spec: &StepSpec,
        step: StepId,
        rack: Option<&Name>,
        candidates: &Candidates,
    ) -> Option<usize> {
        let need = TaskRequirements {
            reserved: spec.reserved(),
            demand: spec.size.processors,
            fills: spec.fills,
            lasts: spec.lasts,
            image: spec.image.as_ref(),
            label: spec.label.as_ref(),
            rack: spec.rack.as_ref(),
        };
        let pressure = self
            .contention
            .interference(now.steady, need.image.filter(|_| need.fills));
        let rooms = candidates.iter().filter_map(|slot| {
            let worker = self.workers.at(*slot)?;
            let free = worker.free();
            if !need.reserved.fits(&free) || worker.service != *service {
                return None;
            }
            if rack.is_some() && worker.rack() != rack {
                return None;
            }
            if spec.spread > 0 && worker.count(step) >= usize::from(spec.spread) {
                return None;
            }
            Some((*slot, room(&need, worker, free, &pressure)))
        });
        choose_worker(&need, rooms)
    }

    fn start(
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
        let Some(until) = worker.lease_end(now.steady, self.settings.lease) else {
            return;
        };
        if spec.fills {
            let share = worker.share(spec.size.processors);
            let image = spec.image.as_ref();
            self.contention
                .record_start(now.steady, &mut worker.margins, image, share);
        }
        let payload = job.spec.payload.clone();
        job.has_started = true;
        job.set_state(task, TaskState::Placed);
        let Some(entry) = job.task_mut(task) else {
            return;
        };
        entry.runs = ordinal.unwrap_or(entry.runs + 1);
        let run = run_number(epoch, entry.runs);
        let checkpoint = entry.checkpoint.clone();
        let mut placed = new_run(spec, run, now.steady);
        placed.checkpoint.clone_from(&checkpoint);
        worker.add_run(task, placed);
        worker.until = worker.until.max(until);
        let tag = WorkerTag::Start {
            worker: worker.id.clone(),
            task,
            run,
        };
        let order = StartOrder {
            task,
            run,
            payload,
            until,
            checkpoint,
            permit: None,
        };
        let call = WorkerCall {
            worker: worker.id.clone(),
            address: worker.address,
            epoch,
            order: Order::Start(order),
            timeout: START_TIME,
        };
        tracing::debug!(%task, run, worker = %call.worker, "starts a task");
        out.push(ShardAction::Worker(tag, call));
    }
}

impl Worker {
    fn is_usable(&self, now: Millis) -> bool {
        self.is_ready
            && self.is_recorded
            && self.misses < 2
            && self
                .last_report
                .is_some_and(|at| now.since(at) <= REPORT_AGE)
    }

    /// Share of its processors.
    fn share(&self, demand: u32) -> f64 {
        f64::from(demand) / f64::from(self.capacity.processors.max(1))
    }

    /// The second label names the rack.
    fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }

    fn has_lasting(&self, is_it: impl Fn(Option<&Name>) -> bool) -> bool {
        let mut lasting = self.runs.values().filter(|run| run.lasts);
        lasting.any(|run| is_it(run.image.as_ref()))
    }

    /// Images of lasting tasks here besides `image`.
    fn strangers(&self, image: Option<&Name>) -> u32 {
        let mut others: Vec<Option<&Name>> = Vec::new();
        for run in self.runs.values().filter(|run| run.lasts) {
            let other = run.image.as_ref();
            if other != image && !others.contains(&other) {
                others.push(other);
            }
        }
        others.len() as u32
    }

    fn count(&self, step: StepId) -> usize {
        self.runs.keys().filter(|task| task.step == step).count()
    }
}

fn room<'a>(
    need: &TaskRequirements<'_>,
    worker: &'a Worker,
    free: Size,
    pressure: &ImageInterference,
) -> CandidateWorker<'a> {
    CandidateWorker {
        free,
        capacity: worker.capacity,
        idle: worker.idle(),
        labels: &worker.labels,
        headroom: match need.fills {
            true => pressure.headroom_with(&worker.margins, worker.share(need.demand)),
            false => f64::INFINITY,
        },
        has_same_image: need.lasts && worker.has_lasting(|image| image == need.image),
        other_images: match need.lasts {
            true => worker.strangers(need.image),
            false => 0,
        },
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
        progressed: now,
        figure: None,
        checkpoint: None,
        saves: spec.saves,
        pace: 100,
        halted: None,
        is_stray: false,
    }
}

/// Run numbers rise across owners without a record each: the ordinal of the epoch comes first.
pub(super) fn run_number(epoch: u64, runs: u32) -> u64 {
    let ordinal = (epoch >> EPOCH_BITS).saturating_sub(1);
    (ordinal << RUN_BITS) + u64::from(runs)
}
