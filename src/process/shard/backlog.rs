//! Compares the work of the accepted jobs with the rate at which it is done, and refuses jobs that would end too late.

use std::collections::{BTreeSet, HashMap, VecDeque};

use super::candidates::UnmetRequirements;
use super::jobs::lacks_room;
use super::shard::{Now, Phase, Shard};
use crate::base::{Millis, Name, Size};
use crate::request::job::{Job, JobId, JobSpec, OrderKey, StepSpec, objective};
use crate::version::Queue;

/// A job that would end after this many times its objective is refused. Less than the time at which it is overdue,
/// since some jobs end later than expected.
const LIMIT_FACTOR: u64 = 2;
/// Jobs that would end within this time are accepted, in milliseconds. A change of the owner or the loss of a worker
/// may cause such a wait, and is over soon.
const MIN_LIMIT: u64 = 5_000;
/// Part of the limit that the work of one job counts for at most, so that a single wide one holds back no others.
const MAX_JOB_SHARE: f64 = 0.5;
/// If this many best-effort jobs lack room, one that needs less counts as one that lacks it too: what it would use is
/// idle time that the others need.
const MIN_LACKING_JOBS: usize = 2;
/// Bounds of the time after which the client of a refused job may try again, in seconds.
const MIN_RETRY: u64 = 1;
const MAX_RETRY: u64 = 30;
/// Interval of the measurements, in milliseconds.
const MEASURING_INTERVAL: Millis = Millis(500);
/// Bounds of the time over which the rate is measured, in milliseconds.
const MIN_WINDOW: Millis = Millis(3_000);
const MAX_WINDOW: Millis = Millis(10_000);

/// Work of the open jobs by the room that it needs, in processor-seconds by the declared run times. These may be far
/// from the real ones; the rate has the same unit, so that the error cancels out in the expected wait.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    loads: HashMap<WorkClass, WorkLoad>,
    rooms: HashMap<Name, Room>,
    /// Whether all runs were known at the last measurement.
    is_active: bool,
    last_measured: Millis,
}

/// Steps that compete for the same room.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WorkClass {
    service: Name,
    priority: u8,
    fills: bool,
    /// Image of best-effort tasks; which workers bear them depends on it.
    image: Option<Name>,
    label: Option<Name>,
    gang: bool,
}

impl WorkClass {
    fn of(queue: &Queue, spec: &StepSpec) -> WorkClass {
        WorkClass {
            service: queue.service.clone(),
            priority: queue.priority,
            fills: spec.fills,
            image: spec.image.clone().filter(|_| spec.fills),
            label: spec.label.clone(),
            gang: spec.gang,
        }
    }

    /// Whether a new job with steps of class `other` would wait for the work of this one.
    fn competes_with(&self, other: &WorkClass) -> bool {
        self.service == other.service
            && self.priority <= other.priority
            && self.fills == other.fills
            && self.image == other.image
            && (self.label.is_none() || self.label == other.label)
            && (!self.gang || other.gang)
    }
}

/// Sums at an earlier measurement.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    /// Work done and in progress, by declared run times.
    work: f64,
    /// Processor-seconds used for it.
    used: f64,
}

#[derive(Debug, Default)]
struct WorkLoad {
    /// What each open job still has, without the progress of its runs.
    owed: Vec<(JobId, f64)>,
    /// What has been done since the first measurement.
    done: f64,
    /// What the runs at work have done.
    progress: f64,
    /// Processors that the runs at work use.
    at_work: f64,
    /// Processor-seconds that runs have used since the first measurement.
    used: f64,
    samples: VecDeque<Sample>,
    /// Jobs of which a step fits on no worker, even without other best-effort tasks there.
    stuck: BTreeSet<JobId>,
    /// What waiting tasks need that lack room.
    lacking: Vec<UnmetRequirements>,
    /// Jobs with such tasks.
    lacking_jobs: BTreeSet<JobId>,
}

impl WorkLoad {
    /// Work done a second, or `None` if it has not been measured for long enough.
    fn rate(&self, now: Millis) -> Option<f64> {
        let first = self.samples.front()?;
        let window = now.since(first.at);
        let gain = (self.done + self.progress - first.work).max(0.0);
        let used = self.used - first.used;
        // What runs now is known sooner than what it gets done. Declared run times may be far from the real ones.
        let now_at_work = match used > 0.0 {
            true => self.at_work * gain / used,
            false => 0.0,
        };
        (window >= MIN_WINDOW).then(|| (gain * 1_000.0 / window.0 as f64).max(now_at_work))
    }

    fn add_sample(&mut self, now: Millis) {
        if let Some(last) = self.samples.back() {
            self.used += self.at_work * now.since(last.at).0 as f64 / 1_000.0;
        }
        self.samples.push_back(Sample {
            at: now,
            work: self.done + self.progress,
            used: self.used,
        });
        while self
            .samples
            .front()
            .is_some_and(|sample| now.since(sample.at) > MAX_WINDOW)
        {
            self.samples.pop_front();
        }
    }

    /// Milliseconds until its work is done at this rate, without that of jobs that are stuck; a job counts for
    /// `max_counted` at most.
    fn time(&self, rate: f64, max_counted: f64) -> f64 {
        let owed = self.owed.iter().filter(|(id, _)| !self.stuck.contains(id));
        let owed: f64 = owed.map(|(_, work)| work.min(max_counted)).sum();
        (owed - self.progress).max(0.0) * 1_000.0 / rate
    }

    fn is_idle(&self) -> bool {
        let first = self.samples.front().map(|sample| sample.work);
        self.owed.is_empty()
            && self.lacking.is_empty()
            && first.is_none_or(|work| work == self.done)
    }
}

/// What the usable workers of a service have.
#[derive(Debug, Default)]
struct Room {
    /// The largest of each resource.
    largest: Size,
    /// Millicores of all of them.
    processors: u64,
}

/// When a new job is expected to end, in milliseconds from now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    pub end: u64,
    /// The end up to which it is accepted.
    pub limit: u64,
}

impl Forecast {
    /// Seconds after which the client may submit the job again, or `None` if it can be accepted. By then the work
    /// that is too much is done if others keep coming as fast as it is done.
    pub fn retry_after(&self) -> Option<u32> {
        let excess = self.end.checked_sub(self.limit).filter(|ms| *ms > 0)?;
        Some(excess.div_ceil(1_000).clamp(MIN_RETRY, MAX_RETRY) as u32)
    }
}

impl Backlog {
    fn load(&mut self, queue: &Queue, spec: &StepSpec) -> &mut WorkLoad {
        self.loads.entry(WorkClass::of(queue, spec)).or_default()
    }

    /// Forgets what is measured anew each time.
    fn clear(&mut self) {
        self.rooms.clear();
        for load in self.loads.values_mut() {
            load.owed.clear();
            load.progress = 0.0;
            load.at_work = 0.0;
            load.lacking.clear();
            load.lacking_jobs.clear();
            load.stuck.clear();
        }
    }

    /// Whether a task may fit on a worker; unknown without usable workers.
    fn may_fit(&self, queue: &Queue, spec: &StepSpec) -> bool {
        let room = self.rooms.get(&queue.service);
        room.is_none_or(|room| spec.size.fits(&room.largest))
    }

    /// Adds what is left of a job's step, unless its tasks fit on no worker.
    fn add_owed(&mut self, id: JobId, queue: &Queue, spec: &StepSpec, tasks: usize) {
        if tasks > 0 && !spec.lasts && self.may_fit(queue, spec) {
            let work = spec.work() * tasks as f64;
            let owed = &mut self.load(queue, spec).owed;
            match owed.last_mut().filter(|(last, _)| *last == id) {
                Some((_, sum)) => *sum += work,
                None => owed.push((id, work)),
            }
        }
    }

    /// Brings the next measurement forward.
    pub(super) fn measure_soon(&mut self) {
        self.last_measured = Millis(0);
    }

    /// Counts tasks of a step that have succeeded.
    pub(super) fn count_done(&mut self, queue: &Queue, spec: &StepSpec, tasks: usize) {
        self.load(queue, spec).done += spec.work() * tasks as f64;
    }

    /// Milliseconds until the work is done that comes before a step of a new job, if tasks that need no more, or
    /// several best-effort jobs, lack room.
    fn wait(&self, now: Millis, queue: &Queue, spec: &StepSpec, limit: u64) -> Option<u64> {
        let class = WorkClass::of(queue, spec);
        let loads = self.loads.iter();
        let ahead: Vec<&WorkLoad> = loads
            .filter(|(other, _)| other.competes_with(&class))
            .map(|(_, load)| load)
            .collect();
        let jobs: usize = ahead.iter().map(|load| load.lacking_jobs.len()).sum();
        let mut lacking = ahead.iter().flat_map(|load| &load.lacking);
        let is_covered = lacking.any(|unmet| unmet.cover_size(&queue.service, spec));
        let takes_others_room = spec.fills && jobs >= MIN_LACKING_JOBS;
        if !is_covered && !takes_others_room {
            return None;
        }
        let mut rates = ahead.iter().filter_map(|load| load.rate(now)).peekable();
        let rate: f64 = match rates.peek() {
            Some(_) => rates.sum(),
            None => self.most_rate(queue)?,
        };
        // Nothing of the kind is served. A task that needs less may have room all the same.
        if rate <= 0.0 || !self.may_fit(queue, spec) {
            return is_covered.then_some(limit + MIN_LIMIT);
        }
        let share = limit as f64 / 1_000.0 * MAX_JOB_SHARE;
        let together: f64 = ahead.iter().map(|load| load.time(rate, rate * share)).sum();
        // Others may be served faster, on workers without its label or because of their priority.
        let own = self.loads.get(&class).and_then(|load| {
            let rate = load.rate(now).filter(|rate| *rate > 0.0)?;
            Some(load.time(rate, rate * share))
        });
        Some(together.max(own.unwrap_or(0.0)) as u64)
    }

    /// Work a second if all workers did nothing else, in place of a rate that has not been measured for long enough.
    /// `None` before all runs are known, when few workers may be usable.
    fn most_rate(&self, queue: &Queue) -> Option<f64> {
        let room = self.rooms.get(&queue.service)?;
        self.is_active.then_some(room.processors as f64 / 1_000.0)
    }

    /// Time that the tasks of a job need on a part of the workers, or `None` if no usable workers are known or the job
    /// repeats: its turns may have been due long before it came.
    pub(super) fn wave_time(&self, queue: &Queue, spec: &JobSpec) -> Option<u64> {
        if spec.turns > 0 {
            return None;
        }
        let room = self.rooms.get(&queue.service)?;
        Some(spec.wave_time(room.processors))
    }
}

impl Shard {
    /// Measures what the open jobs still have to do, and how much of it is done.
    pub(super) fn measure_backlog(&mut self, now: Now) {
        if now.steady.since(self.backlog.last_measured) < MEASURING_INTERVAL {
            return;
        }
        let mut backlog = std::mem::take(&mut self.backlog);
        backlog.last_measured = now.steady;
        backlog.clear();
        for worker in self.workers.iter().filter(|it| it.is_usable(now.steady)) {
            let room = backlog.rooms.entry(worker.service.clone()).or_default();
            room.largest = room.largest.max(&worker.capacity);
            room.processors += u64::from(worker.capacity.processors);
        }
        for id in &self.accepted {
            self.add_job(&mut backlog, *id);
        }
        self.add_runs(&mut backlog);
        for key in &self.ready {
            self.add_lacking(now, &mut backlog, key);
        }
        // The rate of a new owner says little before all runs are known.
        let is_active = self.phase == Phase::Active;
        backlog.is_active = is_active;
        for load in backlog.loads.values_mut() {
            match is_active {
                true => load.add_sample(now.steady),
                false => load.samples.clear(),
            }
        }
        backlog.loads.retain(|_, load| !load.is_idle());
        self.backlog = backlog;
    }

    fn add_job(&self, backlog: &mut Backlog, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let queue = self.queues.get(&job.queue);
        for step in job.steps() {
            let Some((spec, state)) = job
                .spec
                .steps
                .get(usize::from(step.step))
                .zip(job.step(step))
            else {
                continue;
            };
            backlog.add_owed(id, queue, spec, state.tasks.len() - usize::from(state.done));
        }
    }

    fn add_runs(&self, backlog: &mut Backlog) {
        for worker in self.workers.iter() {
            for (task, run) in &worker.runs {
                if run.lasts || run.is_orphaned {
                    continue;
                }
                let Some((job, spec)) = self.step_spec(task.step) else {
                    continue;
                };
                let queue = self.queues.get(&job.queue);
                let load = backlog.load(queue, spec);
                load.progress += spec.work() * f64::from(run.percent) / 100.0;
                let speed = f64::from(run.speed_limit.min(100)) / 100.0;
                load.at_work += f64::from(run.demand) / 1_000.0 * speed;
            }
        }
    }

    /// Adds a waiting step that lacks room. Gangs, steps with a limit of tasks a worker and jobs on trial wait for
    /// other reasons as well.
    fn add_lacking(&self, now: Now, backlog: &mut Backlog, key: &OrderKey) {
        let Some((job, spec)) = self.step_spec(key.step) else {
            return;
        };
        let queue = self.queues.get(&job.queue);
        let is_special = spec.gang || spec.spread > 0 || !job.trials.is_empty();
        if is_special || !lacks_room(&self.queues, &self.unmet, job, key.step) {
            return;
        }
        let is_stuck = spec.fills && !self.could_bear(now, &queue.service, spec);
        let load = backlog.load(queue, spec);
        if is_stuck {
            load.stuck.insert(job.id);
        } else {
            load.lacking_jobs.insert(job.id);
        }
        let lacking = &mut load.lacking;
        if !lacking
            .iter()
            .any(|unmet| unmet.cover_size(&queue.service, spec))
        {
            lacking.push(UnmetRequirements::of(&queue.service, spec, key.step));
        }
    }

    /// Whether a worker could bear a best-effort task if no other one were there.
    fn could_bear(&self, now: Now, service: &Name, spec: &StepSpec) -> bool {
        let image = spec.image.as_ref();
        let interference = self.contention.interference(now.steady, image);
        let mut workers = self
            .workers
            .iter()
            .filter(|worker| worker.service == *service && worker.is_usable(now.steady));
        workers.any(|worker| worker.missing_for(spec, &interference).is_some())
    }

    /// When a new job is expected to end, or `None` if nothing keeps it from starting or too little is known. Its
    /// later steps count too, since others of accepted jobs wait for the same room.
    pub(super) fn forecast(&self, now: Now, queue: &Queue, spec: &JobSpec) -> Option<Forecast> {
        // The turns of a repeating job may be due much later.
        if spec.turns > 0 {
            return None;
        }
        let limit = (objective(queue, spec) * LIMIT_FACTOR).max(MIN_LIMIT);
        let steps = spec.steps.iter().zip(spec.critical_paths());
        let ends = steps
            .filter(|(step, _)| !step.lasts)
            .filter_map(|(step, path)| {
                let wait = self.backlog.wait(now.steady, queue, step, limit)?;
                Some(wait.saturating_add(path))
            });
        let end = ends.max()?;
        Some(Forecast { end, limit })
    }

    /// Counts the work of a job that has just been accepted.
    pub(super) fn note_accepted(&mut self, job: &Job) {
        let queue = self.queues.get(&job.queue);
        for step in &job.spec.steps {
            self.backlog
                .add_owed(job.id, queue, step, usize::from(step.count));
        }
    }
}
