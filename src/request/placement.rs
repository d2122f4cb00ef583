//! Choice of the worker for a request's task, by best fit and learned interference.

use std::cmp::Ordering;
use std::fmt;

use crate::base::{Millis, Name, Size};
use crate::request::pairs::{ClassKey, PairPenalties, probability};

/// Percentage of a worker's processors and memory that batch tasks may reserve; the rest is kept
/// for urgent tasks.
const BATCH_PERCENT: u32 = 80;
/// Most claims that may wait for room on a worker. Their tasks can be started while the log is
/// unavailable.
const MAX_QUEUED_CLAIMS: u32 = 4;
/// Number of cost steps for one worker. Costs within the same step, 1/32 of a worker, count as
/// equal when the tasks of a job are spread over racks.
const COST_STEPS: f32 = 32.0;
/// Cost of a service that is certain to become slow, on the scale of the unused share of a worker
/// (0 to 1).
const SLOW_COST: f32 = 20.0;
/// Highest expected rate of slow reports at which a worker takes more tasks that interfere. If more
/// interfering work is offered than the services tolerate, the excess waits: throughput is given up
/// for latency.
const MAX_SLOW_PROBABILITY: f32 = 0.05;
/// Log odds of slow service that a task may add and still count as tolerable.
const TOLERABLE_LOG_ODDS: f32 = 0.1;

/// Requirements of a task. `size` is reserved from the choice of a worker to the end of the
/// attempt; a later estimate does not change it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    pub class: ClassKey,
    pub size: Size,
    pub urgent: bool,
    /// Number of tasks of the same job that are claimed or running, by rack.
    pub racks: Vec<(Name, u32)>,
    /// Workers on which an earlier attempt failed to start or was evicted; chosen only if no other
    /// worker fits.
    pub avoid: Vec<Name>,
}

impl Demand {
    /// The demand of a task whose job has no other tasks claimed or running.
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
/// The caller keeps the views between choices and updates them with `commit`, `release` and each
/// report.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerView {
    pub name: Name,
    pub rack: Name,
    /// Zero while unknown, as for a worker whose lease this host has never held.
    pub capacity: Size,
    /// Sum of the reserved sizes, urgent tasks included.
    pub committed: Size,
    /// Part of `committed` that is reserved by urgent tasks.
    pub urgent: Size,
    /// Sum over the tasks of the reported use above the reserved size.
    pub excess: Size,
    /// Services with an instance on the worker's host.
    pub services: Vec<Name>,
    /// Reserved millicores of each class with a task on the worker.
    pub classes: Vec<(ClassKey, u32)>,
    /// Log odds of slow service that the present classes add; set by `Placer::refresh`.
    pub penalty: f32,
    /// Log odds of slow service, `penalty` included; set by `Placer::refresh`.
    pub log_odds: f32,
    /// Number of claims that wait for room on this worker.
    pub queued: u32,
    /// Whether tasks may be placed: the lease is held and usable, and the worker is neither leaving
    /// nor in quarantine.
    pub accepts_tasks: bool,
}

impl WorkerView {
    /// An empty worker that accepts tasks.
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
            log_odds: f32::NEG_INFINITY,
            queued: 0,
            accepts_tasks: true,
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

    /// Reserves the size of a task that the worker reports as running, whether it fits or not.
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

    /// Releases what `commit` or `adopt` reserved for the same demand.
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
    fn could_hold(&self, size: &Size, urgent: bool) -> bool {
        self.capacity == Size::ZERO || size.fits(&self.limit(urgent))
    }

    /// Share of the worker's processors that each class reserves.
    fn shares(&self) -> impl Iterator<Item = (&ClassKey, f32)> + Clone {
        let whole = self.capacity.processors;
        self.classes.iter().map(move |(c, n)| (c, share(*n, whole)))
    }
}

/// Why no worker was chosen.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NoFit {
    /// No worker of the data centre could hold the task, even if the worker were empty.
    #[error("{reason}")]
    Never { reason: BlockedReason },
    /// No worker has room at present; one may have room later.
    #[error("no worker has room for the task at present")]
    NotNow,
}

/// Why a task fits no worker: the size that it asks for and the largest limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockedReason {
    requested: Size,
    /// Largest limit of any worker for each resource.
    largest: Size,
    urgent: bool,
}

impl fmt::Display for BlockedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BlockedReason {
            requested, largest, ..
        } = self;
        let cores = |n: u32| f64::from(n) / 1000.0;
        let gib = |n: u32| f64::from(n) / 1024.0;
        let mut parts = Vec::new();
        if requested.processors > largest.processors {
            let (requested, largest) = (cores(requested.processors), cores(largest.processors));
            parts.push(format!(
                "{requested:.1} cores (the largest worker offers {largest:.1})"
            ));
        }
        if requested.memory > largest.memory {
            let (requested, largest) = (gib(requested.memory), gib(largest.memory));
            parts.push(format!(
                "{requested:.1} GiB of memory (the largest worker offers {largest:.1})"
            ));
        }
        if requested.accelerators > largest.accelerators {
            let (requested, largest) = (requested.accelerators, largest.accelerators);
            parts.push(format!(
                "{requested} accelerators (the largest worker offers {largest})"
            ));
        }
        if parts.is_empty() {
            let (c, m, a) = (
                cores(requested.processors),
                gib(requested.memory),
                requested.accelerators,
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

/// Cost of a worker that should be avoided; higher than any other cost.
const AVOID_COST: f32 = 100.0;

/// Chooses workers by best fit and learned interference.
#[derive(Debug, Default)]
pub struct Placer {
    pairs: PairPenalties,
}

/// Cost of a candidate, compared field by field. The name decides between equal costs, so that the
/// choice is deterministic.
#[derive(Debug, Clone, Copy)]
struct Cost<'a> {
    /// Cost in whole steps.
    step: u32,
    /// Tasks of the same job in the worker's rack.
    rack: u32,
    total: f32,
    name: &'a Name,
}

impl Cost<'_> {
    fn compare(&self, other: &Cost<'_>) -> Ordering {
        let by_step = self.step.cmp(&other.step);
        by_step
            .then_with(|| self.rack.cmp(&other.rack))
            .then_with(|| self.total.total_cmp(&other.total))
            .then_with(|| self.name.cmp(other.name))
    }
}

impl Placer {
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses the worker on which `demand.size` is to be reserved now.
    ///
    /// `workers` lists every worker of the data centre, including those that accept no tasks: the
    /// result is `Never` only if none of them could hold the task. A caller that reserves through
    /// `WorkerView::commit` never exceeds a worker's capacity.
    pub fn choose(
        &self,
        now: Millis,
        demand: &Demand,
        workers: &[WorkerView],
    ) -> Result<Name, NoFit> {
        let penalties = self.pairs.penalties_of_class(now, &demand.class);
        let mut best: Option<Cost<'_>> = None;
        for worker in workers.iter().filter(|w| w.accepts_tasks) {
            let Some(unused_share) = unused_share(demand, worker) else {
                continue;
            };
            let lower_bound = (unused_share * COST_STEPS) as u32;
            if best.as_ref().is_some_and(|b| lower_bound > b.step) {
                continue;
            }
            let added = added_log_odds(demand, worker, &penalties);
            if has_too_much_interference(worker, added) {
                continue;
            }
            let cost = cost(demand, worker, unused_share, added);
            if best.as_ref().is_none_or(|b| cost.compare(b).is_lt()) {
                best = Some(cost);
            }
        }
        match best {
            Some(cost) => Ok(cost.name.clone()),
            None => Err(no_fit(demand, workers)),
        }
    }

    /// Chooses the worker on which a claim of the task waits for room after `choose` returned
    /// `NotNow`.
    ///
    /// The claim reserves nothing; `WorkerView::commit` decides at the start whether the task fits.
    pub fn choose_ahead(&self, demand: &Demand, workers: &[WorkerView]) -> Result<Name, NoFit> {
        let has_room = |w: &&WorkerView| {
            w.accepts_tasks
                && w.queued < MAX_QUEUED_CLAIMS
                && demand.size.fits(&w.limit(demand.urgent))
        };
        let order = |a: &&WorkerView, b: &&WorkerView| {
            let by_queue = a.queued.cmp(&b.queued);
            by_queue
                .then_with(|| a.penalty.total_cmp(&b.penalty))
                .then_with(|| a.name.cmp(&b.name))
        };
        match workers.iter().filter(has_room).min_by(order) {
            Some(worker) => Ok(worker.name.clone()),
            None => Err(no_fit(demand, workers)),
        }
    }

    /// Reduces an estimate that fits no worker to the largest limit of a worker that can hold the
    /// declared size. Otherwise a learned size could make the task impossible to place.
    pub fn reservable_size(
        estimate: Size,
        declared: Size,
        urgent: bool,
        workers: &[WorkerView],
    ) -> Size {
        if workers.iter().any(|w| w.could_hold(&estimate, urgent)) {
            return estimate;
        }
        let limits = workers.iter().map(|w| w.limit(urgent));
        let holding = limits.filter(|limit| declared.fits(limit));
        let largest = holding.max_by_key(|limit| (limit.processors, limit.memory));
        largest.map_or(estimate, |limit| min(&estimate, &limit).max(&declared))
    }

    /// Learns from a report of `worker`, on which the services in `slow` were slow, and refreshes
    /// the worker's penalty.
    pub fn observe(&mut self, now: Millis, worker: &mut WorkerView, slow: &[Name]) {
        for service in &worker.services {
            let slow = slow.contains(service);
            self.pairs.observe(now, service, slow, worker.shares());
        }
        self.refresh(now, worker);
    }

    /// Recomputes the worker's penalty and log odds. Must be called when the classes on it change.
    pub fn refresh(&self, now: Millis, worker: &mut WorkerView) {
        worker.penalty = 0.0;
        worker.log_odds = f32::NEG_INFINITY;
        for service in &worker.services {
            let log_odds = self.pairs.log_odds(now, service, worker.shares());
            worker.penalty = worker.penalty.max(log_odds.interference);
            worker.log_odds = worker.log_odds.max(log_odds.total);
        }
    }

    /// Interference of a class with the given services: the log odds of slow service that a worker
    /// full of the class adds.
    pub fn penalty(&self, now: Millis, class: &ClassKey, services: &[Name]) -> f32 {
        let penalties = services.iter();
        penalties.map(|s| self.pairs.penalty(now, s, class)).sum()
    }
}

fn cost<'a>(demand: &Demand, worker: &'a WorkerView, unused_share: f32, added: f32) -> Cost<'a> {
    let slow = if demand.urgent {
        probability(worker.log_odds)
    } else {
        probability(worker.log_odds + added) - probability(worker.log_odds)
    };
    let avoided = demand.avoid.contains(&worker.name);
    let total = unused_share + SLOW_COST * slow + if avoided { AVOID_COST } else { 0.0 };
    let rack = demand.racks.iter().find(|(rack, _)| *rack == worker.rack);
    Cost {
        step: (total * COST_STEPS) as u32,
        rack: rack.map_or(0, |(_, tasks)| *tasks),
        total,
        name: &worker.name,
    }
}

/// Log odds of slow service that the task adds on the worker.
fn added_log_odds(demand: &Demand, worker: &WorkerView, penalties: &[(&Name, f32)]) -> f32 {
    if demand.urgent {
        return 0.0;
    }
    let present = penalties
        .iter()
        .filter(|(s, _)| worker.services.contains(s));
    let penalty = present.map(|(_, penalty)| *penalty).fold(0.0, f32::max);
    penalty * share(demand.size.processors, worker.capacity.processors)
}

/// Whether the task has to wait because it would make a service on the worker slow. A worker with
/// less interference than the task itself adds takes it in any case, so that no class waits for
/// ever.
fn has_too_much_interference(worker: &WorkerView, added: f32) -> bool {
    added > TOLERABLE_LOG_ODDS
        && worker.penalty >= added
        && probability(worker.log_odds + added) > MAX_SLOW_PROBABILITY
}

/// Share of the scarcest resource that stays unused after the task; `None` if it does not fit.
///
/// A worker with free accelerators is the last choice for a task that needs none of them.
fn unused_share(demand: &Demand, worker: &WorkerView) -> Option<f32> {
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
    let may_hold = |w: &WorkerView| w.could_hold(&demand.size, demand.urgent);
    if workers.is_empty() || workers.iter().any(may_hold) {
        return NoFit::NotNow;
    }
    let limits = workers.iter().map(|w| w.limit(demand.urgent));
    let reason = BlockedReason {
        requested: demand.size,
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
