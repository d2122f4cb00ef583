//! Frees workers of serving tasks, so that best-effort tasks that interfere with them find room.
//!
//! Best-effort tasks of an image that interferes with most serving images can use idle processors only
//! on few workers. If they wait in vain, serving tasks that exclude the same best-effort images are moved
//! together, so that other workers become free of them.

use std::collections::HashMap;

use super::candidates::Candidates;
use super::shard::{Now, Phase, Shard};
use super::worker::{RunState, Worker};
use crate::base::{Millis, Name, Size};
use crate::request::job::{Contention, StepSpec, TaskKey};

/// How long best-effort tasks wait in vain before other tasks make room for them, in milliseconds.
const WAIT_TIME: Millis = Millis(2_000);
/// Interval at which the waiting best-effort tasks are summed up, in milliseconds.
const RATING_INTERVAL: Millis = Millis(250);
/// Shortest time between two rounds of moves, in milliseconds. Stops, starts and the reports that show them
/// take about as long.
const CLEARING_INTERVAL: Millis = Millis(1_500);
/// A run is not moved before it has been on its worker for this long, in milliseconds.
const MIN_STAY: Millis = Millis(10_000);
/// How long a cleared worker gets long-running tasks only if no other has room, in milliseconds.
const CLEARED_TIME: Millis = Millis(20_000);
/// At most one of this many workers is cleared in a round.
const CLEARED_DIVISOR: usize = 64;
/// A serving image excludes the waiting best-effort tasks if they could use less than this share of a
/// worker beside it.
const EXCLUSION_SHARE: f64 = 0.5;
/// Processors that best-effort tasks have to gain, as a share of those of the moved tasks.
const MIN_GAIN: f64 = 0.5;
/// Share of a worker that best-effort tasks may lose by a task that is moved to it.
const MAX_LOSS: f64 = 0.05;

/// Best-effort tasks that wait for a worker, by service and image.
#[derive(Debug, Default)]
pub(super) struct WaitingDemand {
    entries: Vec<WaitingImage>,
}

#[derive(Debug)]
struct WaitingImage {
    service: Name,
    image: Name,
    millicores: u64,
    /// Since when such tasks have waited without a break.
    since: Millis,
    /// Whether they have waited for `WAIT_TIME`.
    counts: bool,
}

impl WaitingImage {
    fn is_for(&self, service: &Name, image: &Name) -> bool {
        self.image == *image && self.service == *service
    }
}

/// Serving tasks to move off a worker.
struct Clearing {
    slot: usize,
    tasks: Vec<TaskKey>,
    /// Processors that best-effort tasks gain, as a share of those of the moved tasks.
    gain: f64,
}

impl WaitingDemand {
    fn add(&mut self, now: Millis, service: &Name, image: &Name, millicores: u64) {
        let mut entries = self.entries.iter_mut();
        match entries.find(|entry| entry.is_for(service, image)) {
            Some(entry) => entry.millicores += millicores,
            None => self.entries.push(WaitingImage {
                service: service.clone(),
                image: image.clone(),
                millicores,
                since: now,
                counts: false,
            }),
        }
    }

    /// Takes over since when the tasks have waited.
    fn continue_from(&mut self, now: Millis, former: &WaitingDemand) {
        for entry in &mut self.entries {
            let mut others = former.entries.iter();
            if let Some(same) = others.find(|other| other.is_for(&entry.service, &entry.image)) {
                entry.since = same.since;
            }
            entry.counts = now.since(entry.since) >= WAIT_TIME;
        }
    }

    /// The entries of a service that have waited for `WAIT_TIME`.
    fn of(&self, service: &Name) -> impl Iterator<Item = &WaitingImage> {
        let entries = self.entries.iter();
        entries.filter(move |entry| entry.counts && entry.service == *service)
    }

    fn millicores(&self, service: &Name) -> u64 {
        self.of(service).map(|entry| entry.millicores).sum()
    }

    /// Share of a worker of the service with serving tasks of the images that the waiting tasks could use,
    /// weighted by their millicores; 0 if none wait.
    fn usable_share(&self, contention: &Contention, service: &Name, serving: &[&Name]) -> f64 {
        let (mut usable, mut total) = (0.0, 0.0);
        for entry in self.of(service) {
            let weight = entry.millicores as f64;
            usable += weight * contention.usable_share(serving, &entry.image);
            total += weight;
        }
        match total > 0.0 {
            true => usable / total,
            false => 0.0,
        }
    }
}

impl Shard {
    /// Rates the workers by what waiting best-effort tasks could use of them, and moves serving tasks if
    /// that makes room for such tasks.
    pub(super) fn make_room_for_best_effort(&mut self, now: Now) {
        if now.steady.since(self.last_rating) < RATING_INTERVAL {
            return;
        }
        self.last_rating = now.steady;
        self.rate_workers(now);
        let is_due = now.steady.since(self.last_clearing) >= CLEARING_INTERVAL;
        if is_due && self.phase == Phase::Active {
            self.clear_workers(now);
        }
    }

    fn rate_workers(&mut self, now: Now) {
        let mut demand = WaitingDemand::default();
        for key in &self.ready {
            let Some((job, spec)) = self.step_spec(key.step) else {
                continue;
            };
            let (Some(image), true) = (spec.image.as_ref(), spec.fills) else {
                continue;
            };
            if let Some(step) = job.step(key.step) {
                let service = &self.queues.get(&job.queue).service;
                let millicores = step.waiting() as u64 * u64::from(spec.size.processors);
                demand.add(now.steady, service, image, millicores);
            }
        }
        demand.continue_from(now.steady, &self.waiting_demand);
        let counts = demand.entries.iter().any(|entry| entry.counts);
        for worker in self.workers.iter_mut() {
            worker.sought = match counts {
                true => {
                    let images = serving_images(worker, None);
                    demand.usable_share(&self.contention, &worker.service, &images)
                }
                false => 0.0,
            };
        }
        self.waiting_demand = demand;
    }

    /// Moves the serving tasks of the workers that best-effort tasks gain most by, if others have room for
    /// them.
    fn clear_workers(&mut self, now: Now) {
        let max_cleared = self.workers.len().div_ceil(CLEARED_DIVISOR);
        // Room is scarce while tasks wait for it after earlier moves or a loss.
        if self.restarts.len() >= max_cleared {
            return;
        }
        let mut excluding: HashMap<(&Name, &Name), bool> = HashMap::new();
        let mut plans: Vec<Clearing> = Vec::new();
        for (slot, worker) in self.workers.slots() {
            let demand = self.waiting_demand.millicores(&worker.service);
            // A smaller demand needs no whole worker; it gets room as runs end.
            let is_needed = demand >= u64::from(worker.capacity.processors);
            if is_needed && worker.is_usable(now.steady) {
                plans.extend(self.plan_clearing(now, slot, worker, &mut excluding));
            }
        }
        if plans.is_empty() {
            return;
        }
        plans.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        let mut candidates = self.candidates(now);
        let mut chosen: Vec<Clearing> = Vec::new();
        for plan in plans {
            if chosen.len() >= max_cleared {
                break;
            }
            if self.reserve_elsewhere(now, &plan, &mut candidates) {
                chosen.push(plan);
            }
        }
        for plan in chosen {
            self.last_clearing = now.steady;
            let Some(worker) = self.workers.at_mut(plan.slot) else {
                continue;
            };
            tracing::info!(worker = %worker.id, tasks = plan.tasks.len(), gain = plan.gain, "moving serving tasks off a worker for best-effort tasks");
            worker.cleared_until = now.steady + CLEARED_TIME;
            for task in plan.tasks {
                worker.stop_run(task);
            }
        }
    }

    /// Plans to move the serving tasks off a worker that exclude the waiting best-effort tasks. Returns
    /// `None` if one of them can't be moved or if these tasks would gain too little.
    fn plan_clearing<'a>(
        &'a self,
        now: Now,
        slot: usize,
        worker: &'a Worker,
        excluding: &mut HashMap<(&'a Name, &'a Name), bool>,
    ) -> Option<Clearing> {
        let demand = &self.waiting_demand;
        let service = &worker.service;
        let mut tasks: Vec<TaskKey> = Vec::new();
        let mut kept: Vec<&Name> = Vec::new();
        let mut moved = 0;
        for (task, run) in worker.runs.iter().filter(|(_, run)| run.tail_bound > 0) {
            let image = run.image.as_ref()?;
            let excludes = *excluding.entry((service, image)).or_insert_with(|| {
                demand.usable_share(&self.contention, service, &[image]) < EXCLUSION_SHARE
            });
            if !excludes {
                kept.push(image);
                continue;
            }
            let (_, spec) = self.step_spec(task.step)?;
            let is_movable = run.lasts && !spec.gang && spec.absent.is_none();
            let has_settled = matches!(run.state, RunState::Active { .. })
                && now.steady.since(run.started) >= MIN_STAY;
            if !is_movable || !has_settled {
                return None;
            }
            tasks.push(*task);
            moved += run.demand;
        }
        if tasks.is_empty() {
            return None;
        }
        let share = demand.usable_share(&self.contention, service, &kept) - worker.sought;
        let gain = share * f64::from(worker.capacity.processors) / f64::from(moved.max(1));
        (gain >= MIN_GAIN).then_some(Clearing { slot, tasks, gain })
    }

    /// Reserves room for the tasks on other workers; returns whether all have found room by which
    /// best-effort tasks lose little. If not, nothing is reserved.
    fn reserve_elsewhere(&self, now: Now, plan: &Clearing, candidates: &mut Candidates) -> bool {
        let mut former: Vec<(usize, Size)> = Vec::new();
        for task in &plan.tasks {
            let Some((index, reserved)) = self.find_room(now, plan.slot, *task, candidates) else {
                for (index, free) in former.into_iter().rev() {
                    candidates[index].free = free;
                }
                return false;
            };
            let candidate = &mut candidates[index];
            former.push((index, candidate.free));
            candidate.free = candidate.free.saturating_sub(&reserved);
        }
        candidates.retain(|candidate| candidate.slot != plan.slot);
        true
    }

    /// Index of the first candidate but `slot` that a task may move to, and what it reserves there.
    fn find_room(
        &self,
        now: Now,
        slot: usize,
        task: TaskKey,
        candidates: &Candidates,
    ) -> Option<(usize, Size)> {
        let (_, spec) = self.step_spec(task.step)?;
        let service = &self.workers.at(slot)?.service;
        let reserved = spec.reserved();
        let index = candidates.iter().position(|candidate| {
            candidate.slot != slot
                && reserved.fits(&candidate.free)
                && self.workers.at(candidate.slot).is_some_and(|worker| {
                    worker.service == *service
                        && worker.cleared_until <= now.steady
                        && worker.allows(task.step, spec)
                        && self.loses_little(worker, spec)
                })
        })?;
        Some((index, reserved))
    }

    /// Whether best-effort tasks could use nearly as much of a worker if it got a task of the step.
    fn loses_little(&self, worker: &Worker, spec: &StepSpec) -> bool {
        let images = serving_images(worker, spec.image.as_ref());
        let demand = &self.waiting_demand;
        let share = demand.usable_share(&self.contention, &worker.service, &images);
        worker.sought - share <= MAX_LOSS
    }
}

/// The images of the serving tasks on a worker, and `other`.
fn serving_images<'a>(worker: &'a Worker, other: Option<&'a Name>) -> Vec<&'a Name> {
    let serving = worker.runs.values().filter(|run| run.tail_bound > 0);
    let images = serving.filter_map(|run| run.image.as_ref());
    let mut images: Vec<&Name> = images.chain(other).collect();
    images.sort_unstable();
    images.dedup();
    images
}
