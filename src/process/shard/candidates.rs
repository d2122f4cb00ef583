//! The workers that a placement pass may use, and the choice among them.

use std::cmp::Reverse;

use super::reports::STOP_ALLOWANCE;
use super::shard::{Now, Shard};
use super::worker::Worker;
use crate::base::{Millis, Name, Size};
use crate::request::job::{
    CandidateWorker, ImageInterference, StepId, StepSpec, TaskKey, TaskRequirements, choose_worker,
    is_overcommitted, missing_processors,
};

/// A worker whose last report is older than this gets no tasks, in milliseconds.
const REPORT_AGE: Millis = Millis(2_600);
/// Start orders of one worker that may be without an answer at the same time. Each needs a connection
/// of its own.
pub(super) const MAX_WORKER_STARTS: usize = 2;
/// Workers with room that are compared for one task, unless it is long-running or has a rack.
pub(super) const MAX_COMPARED: usize = 64;
/// Most workers that are kept free of other tasks in a pass. Each is chosen among all workers.
const MAX_SET_ASIDE: usize = 32;
/// At most one of this many workers is kept free of other tasks, so that tasks that find no room do not stop all
/// other work.
const SET_ASIDE_DIVISOR: usize = 16;

/// Requirements of a task that no worker had room for. Tasks that need the same or more are skipped
/// for the rest of the pass; the next ones check only workers that have changed since.
#[derive(Debug)]
pub(super) struct UnmetRequirements {
    pub reserved: Size,
    pub demand: u32,
    pub fills: bool,
    /// Part of the comparison because long-running tasks may also go to suspect workers.
    pub lasts: bool,
    pub image: Option<Name>,
    pub service: Name,
    /// The only step that it applies to, if the step restricts its workers further.
    pub step: Option<StepId>,
    /// Whether it was found in this pass, so that no worker needs to be checked again.
    pub is_new: bool,
}

impl UnmetRequirements {
    pub(super) fn of(service: &Name, spec: &StepSpec, step: StepId) -> UnmetRequirements {
        UnmetRequirements {
            reserved: spec.reserved(),
            demand: spec.size.processors,
            fills: spec.fills,
            lasts: spec.lasts,
            image: spec.image.clone(),
            service: service.clone(),
            step: (spec.label.is_some() || spec.spread > 0).then_some(step),
            is_new: true,
        }
    }

    /// Whether a task of the step needs the same or more.
    pub(super) fn cover(&self, service: &Name, spec: &StepSpec, step: StepId) -> bool {
        self.step.is_none_or(|only| only == step) && self.cover_size(service, spec)
    }

    /// The same without the limits of either step on its workers.
    pub(super) fn cover_size(&self, service: &Name, spec: &StepSpec) -> bool {
        self.service == *service
            && self.fills == spec.fills
            && self.lasts == spec.lasts
            && self.demand <= spec.size.processors
            && (!spec.fills || self.image == spec.image)
            && self.reserved.fits(&spec.reserved())
    }
}

/// Limits on the workers that `find_worker` considers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Search<'a> {
    /// The only rack to use.
    pub rack: Option<&'a Name>,
    /// Whether to leave out the workers that have not changed since the last pass.
    pub only_changed: bool,
    /// Whether to leave out the workers with recent starts.
    pub only_quiet: bool,
    /// Whether to include the workers with as many unanswered starts as are allowed.
    pub includes_starting: bool,
}

/// A worker that one placement pass may use.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) slot: usize,
    /// Capacity that no run reserves, kept here so that full workers are passed over quickly.
    pub(super) free: Size,
    /// Start orders that it has not answered.
    starts: usize,
    /// Whether it may have room now that it had not in the last pass.
    has_changed: bool,
}

pub(super) type Candidates = Vec<Candidate>;

/// Most workers of so many that a pass keeps free of other tasks.
pub(super) fn max_set_aside(candidates: &Candidates) -> usize {
    let share = candidates.len().div_ceil(SET_ASIDE_DIVISOR);
    share.min(MAX_SET_ASIDE)
}

impl Shard {
    /// Usable workers that are not suspect.
    pub(super) fn candidates(&self, now: Now) -> Candidates {
        self.usable(now, |worker| worker.suspect_until <= now.steady)
    }

    pub(super) fn usable(&self, now: Now, filter: impl Fn(&Worker) -> bool) -> Candidates {
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let slots = self.workers.slots();
        let usable = slots.filter(|(_, worker)| {
            worker.is_usable(now.steady)
                && worker.is_settled(now.steady, stop_time)
                && filter(worker)
        });
        usable
            .map(|(slot, worker)| Candidate {
                slot,
                free: worker.free(),
                starts: worker.pending_starts,
                has_changed: worker.has_changed,
            })
            .collect()
    }

    /// Brings the room of a worker up to date after a start.
    pub(super) fn update_candidate(&self, candidates: &mut Candidates, slot: usize) {
        if self.workers.at(slot).is_some_and(Worker::is_exclusive) {
            candidates.retain(|other| other.slot != slot);
            return;
        }
        let found = candidates.iter_mut().find(|other| other.slot == slot);
        if let (Some(candidate), Some(worker)) = (found, self.workers.at(slot)) {
            candidate.free = worker.free();
            candidate.starts = worker.pending_starts;
        }
    }

    /// Whether a candidate has as many start orders without an answer as it may have.
    pub(super) fn has_max_starts(candidates: &Candidates, slot: usize) -> bool {
        let candidate = candidates.iter().find(|candidate| candidate.slot == slot);
        candidate.is_some_and(|candidate| candidate.starts >= MAX_WORKER_STARTS)
    }

    /// Reserves room for another run of a task among the candidates; returns whether one has room.
    pub(super) fn reserve_room(
        &self,
        now: Now,
        task: TaskKey,
        candidates: &mut Candidates,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(spec) = job.spec.steps.get(usize::from(task.step.step)) else {
            return false;
        };
        let (service, step) = (&self.queues.get(&job.queue).service, task.step);
        let found = self.find_worker(now, service, spec, step, candidates, Search::default());
        let mut others = candidates.iter_mut();
        let candidate = others.find(|candidate| Some(candidate.slot) == found);
        let Some(candidate) = candidate else {
            return false;
        };
        candidate.free = candidate.free.saturating_sub(&spec.reserved());
        true
    }

    /// Returns the slot of the best candidate for a task of a step, or `None` if no worker has room.
    pub(super) fn find_worker(
        &self,
        now: Now,
        service: &Name,
        spec: &StepSpec,
        step: StepId,
        candidates: &Candidates,
        search: Search<'_>,
    ) -> Option<usize> {
        let requirements = TaskRequirements {
            reserved: spec.reserved(),
            demand: spec.size.processors,
            fills: spec.fills,
            lasts: spec.lasts,
            image: spec.image.as_ref(),
            label: spec.label.as_ref(),
            rack: spec.rack.as_ref(),
        };
        let interference = self.contention.interference(
            now.steady,
            requirements.image.filter(|_| requirements.fills),
        );
        let max_starts = match search.includes_starting {
            true => usize::MAX,
            false => MAX_WORKER_STARTS,
        };
        let with_room = candidates.iter().filter(|candidate| {
            (candidate.has_changed || !search.only_changed)
                && candidate.starts < max_starts
                && requirements.reserved.fits(&candidate.free)
        });
        let workers = with_room.filter_map(|candidate| {
            let worker = self.workers.at(candidate.slot)?;
            let free = candidate.free;
            if worker.service != *service {
                return None;
            }
            if search.rack.is_some() && worker.rack() != search.rack {
                return None;
            }
            if search.only_quiet && !worker.is_quiet() {
                return None;
            }
            if spec.spread > 0 && worker.count_tasks(step) >= usize::from(spec.spread) {
                return None;
            }
            Some((
                candidate.slot,
                describe_candidate(now.steady, &requirements, worker, free, &interference),
            ))
        });
        // A few workers may be much better than the others for these tasks.
        let compares_all = spec.lasts || spec.rack.is_some();
        let limit = if compares_all {
            usize::MAX
        } else {
            MAX_COMPARED
        };
        choose_worker(&requirements, workers, limit)
    }

    /// Removes the worker that lacks least for a task of the step from `candidates`, so
    /// that the room of the runs that end there is kept for it. Room that long-running tasks hold does
    /// not become free. Returns whether there is such a worker.
    pub(super) fn set_aside(&self, now: Now, step: StepId, candidates: &mut Candidates) -> bool {
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let Some(spec) = job.spec.steps.get(usize::from(step.step)) else {
            return false;
        };
        let service = &self.queues.get(&job.queue).service;
        let reserved = spec.reserved();
        let interference = self
            .contention
            .interference(now.steady, spec.image.as_ref());
        let suitable = candidates
            .iter()
            .enumerate()
            .filter_map(|(index, candidate)| {
                let worker = self.workers.at(candidate.slot)?;
                let is_suitable = worker.service == *service
                    && reserved.fits(&worker.capacity.saturating_sub(&worker.long_reserved))
                    && worker.allows(step, spec);
                if !is_suitable {
                    return None;
                }
                let covered = candidate.free.covered_share(&reserved);
                let missing = match spec.fills {
                    true => worker.missing_for(spec, &interference)?,
                    false => 0,
                };
                // Without the slot, workers that are equal would take turns, and none would get room.
                Some((index, (Reverse(missing), covered, Reverse(candidate.slot))))
            });
        let best = suitable.max_by_key(|(_, rank)| *rank);
        if let Some((index, _)) = best {
            candidates.remove(index);
        }
        best.is_some()
    }
}

impl Worker {
    /// Whether it may get tasks: it is ready, recorded and reports regularly.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.is_ready
            && !self.is_evacuated
            && self.is_recorded
            && self.is_described()
            && self.may_lease()
            && !self.is_closed()
            && !self.is_exclusive()
            && self.unanswered < 2
            && self
                .last_report
                .is_some_and(|at| now.since(at) <= REPORT_AGE)
    }

    /// Share of its processors that `demand` takes.
    pub(super) fn share(&self, demand: u32) -> f64 {
        f64::from(demand) / f64::from(self.capacity.processors.max(1))
    }

    /// The rack, which is the second label.
    pub(super) fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }

    /// Whether a long-running task with a matching image runs here.
    fn has_long_running(&self, has_image: impl Fn(Option<&Name>) -> bool) -> bool {
        let mut long_running = self.runs.values().filter(|run| run.lasts);
        long_running.any(|run| has_image(run.image.as_ref()))
    }

    /// Number of other images than `image` that long-running tasks here have.
    fn other_images(&self, image: Option<&Name>) -> u32 {
        let mut others: Vec<Option<&Name>> = Vec::new();
        for run in self.runs.values().filter(|run| run.lasts) {
            let other = run.image.as_ref();
            if other != image && !others.contains(&other) {
                others.push(other);
            }
        }
        others.len() as u32
    }

    /// Whether the label and the spread limit of a step allow another of its tasks here.
    pub(super) fn allows(&self, step: StepId, spec: &StepSpec) -> bool {
        let has_label = spec
            .label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label));
        has_label && (spec.spread == 0 || self.count_tasks(step) < usize::from(spec.spread))
    }

    /// What a best-effort task lacks here until others have ended: the share of the processors, and of the
    /// rise of the tail latency that its serving tasks bear, in thousandths. `None` if it would not start here
    /// beside the serving tasks alone.
    pub(super) fn missing_for(
        &self,
        spec: &StepSpec,
        interference: &ImageInterference,
    ) -> Option<u64> {
        let demand = spec.size.processors;
        let capacity = self.capacity.processors;
        let share = self.share(demand);
        let others = self.runs.values().filter(|run| run.fills && !run.lasts);
        let others: i64 = others.map(|run| i64::from(run.demand)).sum();
        let idle = self.idle_millicores() - i64::from(demand);
        let is_excluded = interference.headroom_alone(&self.headroom, share) < 0.0;
        if is_excluded || is_overcommitted(idle + others, capacity) {
            return None;
        }
        let processors = missing_processors(idle, capacity) as f64 / f64::from(capacity.max(1));
        let headroom = interference.headroom_with(&self.headroom, share).min(0.0);
        Some(((processors - headroom) * 1_000.0) as u64)
    }

    /// Number of tasks of a step here.
    fn count_tasks(&self, step: StepId) -> usize {
        self.runs.keys().filter(|task| task.step == step).count()
    }
}

/// Describes a worker as the placement rules need it.
fn describe_candidate<'a>(
    now: Millis,
    requirements: &TaskRequirements<'_>,
    worker: &'a Worker,
    free: Size,
    interference: &ImageInterference,
) -> CandidateWorker<'a> {
    CandidateWorker {
        free,
        capacity: worker.capacity,
        idle: worker.idle_millicores(),
        labels: &worker.labels,
        headroom: match requirements.fills {
            true => interference.headroom_with(&worker.headroom, worker.share(requirements.demand)),
            false => f64::INFINITY,
        },
        has_same_image: requirements.lasts
            && worker.has_long_running(|image| image == requirements.image),
        other_images: match requirements.lasts {
            true => worker.other_images(requirements.image),
            false => 0,
        },
        sought: worker.sought,
        is_cleared: worker.cleared_until > now,
    }
}
