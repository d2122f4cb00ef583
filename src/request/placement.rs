//! Choice of a worker for a task.

use std::cmp::Ordering;
use std::fmt;

use crate::base::{Millis, Name, Size};
use crate::request::pairs::{ClassKey, PairPenalties, probability};

/// Share of a worker's processors and memory that batch tasks may reserve; the rest is kept for
/// urgent tasks.
const BATCH_PERCENT: u32 = 80;
/// Claims that may wait for room on a worker, so that it has work while the log is down.
const MAX_QUEUED: u32 = 4;
/// Costs that differ by less than one step, 1/32 of a worker, count as equal when the tasks of a
/// job are spread over racks.
const STEPS: f32 = 32.0;
/// Cost of a certainly slow service relative to the unused share of a worker.
const SLOW_WEIGHT: f32 = 20.0;
/// Expected rate of slow reports up to which a worker takes more tasks that interfere.
/// Where more harmful work is offered than services tolerate, it trades throughput for latency: the
/// excess waits.
const MAX_SLOW: f32 = 0.05;
/// Added log odds below which a task counts as harmless.
const HARMLESS: f32 = 0.1;

/// What a task needs. `size` is what is reserved from the choice to the end of the attempt; a
/// later estimate does not change it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    pub class: ClassKey,
    pub size: Size,
    pub urgent: bool,
    /// Tasks of the same job that are claimed or running, by rack.
    pub racks: Vec<(Name, u32)>,
    /// Workers on which an earlier attempt failed to start or was evicted; chosen last.
    pub avoid: Vec<Name>,
}

impl Demand {
    /// The demand of a task of a job that runs nowhere else.
    pub fn new(
        customer: impl Into<Name>,
        class: impl Into<Name>,
        size: Size,
        urgent: bool,
    ) -> Self {
        Demand {
            class: ClassKey::new(customer, class),
            size,
            urgent,
            racks: Vec::new(),
            avoid: Vec::new(),
        }
    }
}

/// What the host knows about a worker of its data centre.
///
/// The caller keeps the views from choice to choice and changes them with `commit`, `release` and
/// each report.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerView {
    pub name: Name,
    pub rack: Name,
    /// Zero while unknown, as for a worker that this host has never held.
    pub capacity: Size,
    /// Sum of the reserved sizes, urgent ones included.
    pub committed: Size,
    /// Part of `committed` that urgent tasks reserve.
    pub urgent: Size,
    /// Sum over the tasks of the reported use above the reserved size.
    pub excess: Size,
    /// Services with an instance on the worker's host.
    pub services: Vec<Name>,
    /// Reserved millicores of each class with a task on the worker.
    pub classes: Vec<(ClassKey, u32)>,
    /// Log odds that the present classes add to slow service; set by `Placer::refresh`.
    pub penalty: f32,
    /// Log odds of slow service, `penalty` included; set by `Placer::refresh`.
    pub odds: f32,
    /// Claims that wait for room on this worker.
    pub queued: u32,
    /// Whether tasks may be placed: the lease is held and usable, the worker is neither leaving
    /// nor in quarantine.
    pub open: bool,
}

impl WorkerView {
    /// An empty worker that is open.
    pub fn new(name: Name, rack: Name, capacity: Size) -> Self {
        WorkerView {
            name,
            rack,
            capacity,
            committed: Size::ZERO,
            urgent: Size::ZERO,
            excess: Size::ZERO,
            services: Vec::new(),
            classes: Vec::new(),
            penalty: 0.0,
            odds: f32::NEG_INFINITY,
            queued: 0,
            open: true,
        }
    }

    /// Largest size that tasks of this urgency can reserve on an empty worker.
    pub fn limit(&self, urgent: bool) -> Size {
        if urgent {
            return self.capacity;
        }
        self.capacity.scale(BATCH_PERCENT)
    }

    /// Size that tasks of this urgency can still reserve. Use above a reservation counts as taken.
    pub fn free(&self, urgent: bool) -> Size {
        let taken = self.committed.saturating_add(&self.excess);
        let free = self.capacity.saturating_sub(&taken);
        if urgent {
            return free;
        }
        let batch = taken.saturating_sub(&self.urgent);
        min(&free, &self.limit(false).saturating_sub(&batch))
    }

    /// Reserves the size of `demand`; returns false and changes nothing if it does not fit.
    #[must_use]
    pub fn commit(&mut self, demand: &Demand) -> bool {
        if !demand.size.fits(&self.free(demand.urgent)) {
            return false;
        }
        self.adopt(demand);
        true
    }

    /// Counts a task that the worker reports as running, whether it fits or not.
    pub fn adopt(&mut self, demand: &Demand) {
        self.committed = self.committed.saturating_add(&demand.size);
        if demand.urgent {
            self.urgent = self.urgent.saturating_add(&demand.size);
        }
        let known = self.classes.iter_mut().find(|(c, _)| *c == demand.class);
        let processors = demand.size.processors;
        match known {
            Some((_, reserved)) => *reserved = reserved.saturating_add(processors),
            None => self.classes.push((demand.class.clone(), processors)),
        }
    }

    /// Gives back what `commit` or `adopt` reserved for the same demand.
    pub fn release(&mut self, demand: &Demand) {
        self.committed = self.committed.saturating_sub(&demand.size);
        if demand.urgent {
            self.urgent = self.urgent.saturating_sub(&demand.size);
        }
        if let Some((_, reserved)) = self.classes.iter_mut().find(|(c, _)| *c == demand.class) {
            *reserved = reserved.saturating_sub(demand.size.processors);
        }
        self.classes.retain(|(_, reserved)| *reserved > 0);
    }

    /// Whether the worker could hold `size` if it were empty; true while its capacity is unknown.
    fn may_ever_hold(&self, size: &Size, urgent: bool) -> bool {
        self.capacity == Size::ZERO || size.fits(&self.limit(urgent))
    }

    fn shares(&self) -> impl Iterator<Item = (&ClassKey, f32)> + Clone {
        let whole = self.capacity.processors;
        self.classes.iter().map(move |(c, n)| (c, share(*n, whole)))
    }
}

/// Why no worker was chosen.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NoFit {
    /// No worker of the data centre could hold the task, even if it were empty.
    #[error("{reason}")]
    Never { reason: Misfit },
    #[error("no worker has room for the task at present")]
    NotNow,
}

/// The resource that makes a task larger than every worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Misfit {
    asked: Size,
    /// Largest limit of any worker in each dimension.
    largest: Size,
    urgent: bool,
}

impl fmt::Display for Misfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Misfit { asked, largest, .. } = self;
        let cores = |n: u32| f64::from(n) / 1000.0;
        let gib = |n: u32| f64::from(n) / 1024.0;
        let mut parts = Vec::new();
        if asked.processors > largest.processors {
            let (asked, largest) = (cores(asked.processors), cores(largest.processors));
            parts.push(format!(
                "{asked:.1} cores (the largest worker offers {largest:.1})"
            ));
        }
        if asked.memory > largest.memory {
            let (asked, largest) = (gib(asked.memory), gib(largest.memory));
            parts.push(format!(
                "{asked:.1} GiB of memory (the largest worker offers {largest:.1})"
            ));
        }
        if asked.accelerators > largest.accelerators {
            let (asked, largest) = (asked.accelerators, largest.accelerators);
            parts.push(format!(
                "{asked} accelerators (the largest worker offers {largest})"
            ));
        }
        if parts.is_empty() {
            let (c, m, a) = (
                cores(asked.processors),
                gib(asked.memory),
                asked.accelerators,
            );
            parts.push(format!(
                "{c:.1} cores, {m:.1} GiB of memory and {a} accelerators together, \
                 which no single worker offers"
            ));
        }
        write!(f, "task needs {}", parts.join(" and "))?;
        if !self.urgent {
            let kept = 100 - BATCH_PERCENT;
            write!(f, "; {kept}% of each worker is kept for urgent tasks")?;
        }
        Ok(())
    }
}

/// Cost of a worker to avoid; above the cost of any other.
const AVOID_COST: f32 = 100.0;

/// Chooses workers by best fit and learned interference.
#[derive(Debug, Default)]
pub struct Placer {
    pairs: PairPenalties,
}

/// Cost of a candidate, compared field by field; the name makes equal costs deterministic.
#[derive(Debug, Clone, Copy)]
struct Cost<'a> {
    step: u32,
    rack: u32,
    exact: f32,
    name: &'a Name,
}

impl Cost<'_> {
    fn compare(&self, other: &Cost<'_>) -> Ordering {
        let by_step = self.step.cmp(&other.step);
        by_step
            .then_with(|| self.rack.cmp(&other.rack))
            .then_with(|| self.exact.total_cmp(&other.exact))
            .then_with(|| self.name.cmp(other.name))
    }
}

impl Placer {
    pub fn new() -> Self {
        Self::default()
    }

    /// The worker on which `demand.size` is to be reserved now.
    ///
    /// `workers` lists every worker of the data centre, those that are not open included: `Never`
    /// is answered only if none of them could hold the task. A caller that reserves through
    /// `WorkerView::commit` never exceeds a worker's capacity.
    pub fn choose(
        &self,
        now: Millis,
        demand: &Demand,
        workers: &[WorkerView],
    ) -> Result<Name, NoFit> {
        let pairs = self.pairs.of_class(now, &demand.class);
        let mut best: Option<Cost<'_>> = None;
        for worker in workers.iter().filter(|w| w.open) {
            let Some(unused) = unused(demand, worker) else {
                continue;
            };
            let bound = (unused * STEPS) as u32;
            if best.as_ref().is_some_and(|b| bound > b.step) {
                continue;
            }
            let added = added_odds(demand, worker, &pairs);
            if is_too_noisy(worker, added) {
                continue;
            }
            let cost = cost(demand, worker, unused, added);
            if best.as_ref().is_none_or(|b| cost.compare(b).is_lt()) {
                best = Some(cost);
            }
        }
        match best {
            Some(cost) => Ok(cost.name.clone()),
            None => Err(no_fit(demand, workers)),
        }
    }

    /// The worker for which a task is claimed ahead after `choose` answered `NotNow`.
    ///
    /// The claim reserves nothing; `WorkerView::commit` decides at the start whether it fits.
    pub fn choose_ahead(&self, demand: &Demand, workers: &[WorkerView]) -> Result<Name, NoFit> {
        let room = |w: &&WorkerView| {
            w.open && w.queued < MAX_QUEUED && demand.size.fits(&w.limit(demand.urgent))
        };
        let order = |a: &&WorkerView, b: &&WorkerView| {
            let by_queue = a.queued.cmp(&b.queued);
            by_queue
                .then_with(|| a.penalty.total_cmp(&b.penalty))
                .then_with(|| a.name.cmp(&b.name))
        };
        match workers.iter().filter(room).min_by(order) {
            Some(worker) => Ok(worker.name.clone()),
            None => Err(no_fit(demand, workers)),
        }
    }

    /// Reduces an estimate that fits no worker to the largest share of a worker that holds the
    /// declared size, so that a task does not become impossible by what was learned.
    pub fn reservable_size(
        estimate: Size,
        declared: Size,
        urgent: bool,
        workers: &[WorkerView],
    ) -> Size {
        if workers.iter().any(|w| w.may_ever_hold(&estimate, urgent)) {
            return estimate;
        }
        let limits = workers.iter().map(|w| w.limit(urgent));
        let holding = limits.filter(|limit| declared.fits(limit));
        let largest = holding.max_by_key(|limit| (limit.processors, limit.memory));
        largest.map_or(estimate, |limit| min(&estimate, &limit).max(&declared))
    }

    /// Learns from a report of `worker` on which the services in `slow` were slow, and refreshes
    /// its penalty.
    pub fn observe(&mut self, now: Millis, worker: &mut WorkerView, slow: &[Name]) {
        for service in &worker.services {
            let slow = slow.contains(service);
            self.pairs.observe(now, service, slow, worker.shares());
        }
        self.refresh(now, worker);
    }

    /// Sets the worker's penalty for its present classes; called when they change.
    pub fn refresh(&self, now: Millis, worker: &mut WorkerView) {
        worker.penalty = 0.0;
        worker.odds = f32::NEG_INFINITY;
        for service in &worker.services {
            let odds = self.pairs.odds(now, service, worker.shares());
            worker.penalty = worker.penalty.max(odds.noise);
            worker.odds = worker.odds.max(odds.total);
        }
    }

    /// Interference of a class with the services of a worker: what a worker full of the class adds
    /// to the log odds of slow service.
    pub fn penalty(&self, now: Millis, class: &ClassKey, services: &[Name]) -> f32 {
        let penalties = services.iter();
        penalties.map(|s| self.pairs.penalty(now, s, class)).sum()
    }
}

fn cost<'a>(demand: &Demand, worker: &'a WorkerView, unused: f32, added: f32) -> Cost<'a> {
    let slow = if demand.urgent {
        probability(worker.odds)
    } else {
        probability(worker.odds + added) - probability(worker.odds)
    };
    let avoided = demand.avoid.contains(&worker.name);
    let exact = unused + SLOW_WEIGHT * slow + if avoided { AVOID_COST } else { 0.0 };
    let rack = demand.racks.iter().find(|(rack, _)| *rack == worker.rack);
    Cost {
        step: (exact * STEPS) as u32,
        rack: rack.map_or(0, |(_, tasks)| *tasks),
        exact,
        name: &worker.name,
    }
}

/// What the task adds to the log odds of slow service on the worker.
fn added_odds(demand: &Demand, worker: &WorkerView, pairs: &[(&Name, f32)]) -> f32 {
    if demand.urgent {
        return 0.0;
    }
    let present = pairs.iter().filter(|(s, _)| worker.services.contains(s));
    let penalty = present.map(|(_, penalty)| *penalty).fold(0.0, f32::max);
    penalty * share(demand.size.processors, worker.capacity.processors)
}

/// Whether the task waits rather than make a service slow. A worker with less interference than the
/// task itself brings takes it in any case, so that no class waits for ever.
fn is_too_noisy(worker: &WorkerView, added: f32) -> bool {
    added > HARMLESS && worker.penalty >= added && probability(worker.odds + added) > MAX_SLOW
}

/// Share of the scarcest resource that stays unused after the task; `None` if it does not fit.
///
/// A worker with free accelerators is the last choice for a task that needs none.
fn unused(demand: &Demand, worker: &WorkerView) -> Option<f32> {
    let free = worker.free(demand.urgent);
    if !demand.size.fits(&free) {
        return None;
    }
    let left = free.saturating_sub(&demand.size);
    let processors = share(left.processors, worker.capacity.processors);
    let memory = share(left.memory, worker.capacity.memory);
    let scarcest = processors.min(memory);
    if demand.size.accelerators > 0 {
        return Some(scarcest.min(share(left.accelerators, worker.capacity.accelerators)));
    }
    Some(scarcest + if free.accelerators > 0 { 1.0 } else { 0.0 })
}

fn no_fit(demand: &Demand, workers: &[WorkerView]) -> NoFit {
    let may_hold = |w: &WorkerView| w.may_ever_hold(&demand.size, demand.urgent);
    if workers.is_empty() || workers.iter().any(may_hold) {
        return NoFit::NotNow;
    }
    let limits = workers.iter().map(|w| w.limit(demand.urgent));
    let reason = Misfit {
        asked: demand.size,
        largest: limits.fold(Size::ZERO, |a, b| a.max(&b)),
        urgent: demand.urgent,
    };
    NoFit::Never { reason }
}

fn share(part: u32, whole: u32) -> f32 {
    if whole == 0 {
        return 0.0;
    }
    part as f32 / whole as f32
}

fn min(a: &Size, b: &Size) -> Size {
    Size {
        processors: a.processors.min(b.processors),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
