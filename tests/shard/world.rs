//! Simulates owners, the store and workers on one clock. Messages between them are delayed, lost or
//! delivered late.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use jayfork::base::Millis;
use jayfork::connection::{
    CallError, Order, Partition, StoreAnswer, StoreRequest, WorkerAnswer, WorkerCall,
};
use jayfork::platform::{RegistryEntry, WorkerState};
use jayfork::process::shard::{
    Handover, Now, RegistryChange, Reply, Request, Shard, ShardAction, ShardEvent, ShardSettings,
    StoreTag, WorkerTag,
};
use jayfork::request::job::{JobId, JobSpec, StepId, TaskKey};
use jayfork::version::{OwnerRecord, Queue, QueueRef, QueueTable};

use super::cuts::Cuts;
use super::evacuation_model::Operator;
use super::fleet::Fleet;
use super::orders::Orders;
pub use super::specs::{chain, long_running};
use super::store::Store;

/// Simulated time between two polls of the owners, in milliseconds.
pub const STEP: u64 = 5;
pub const QUEUE: &str = "proofs";
/// A queue of lower priority.
pub const LOW_QUEUE: &str = "merges";
pub const SERVICE: &str = "assembly";
/// Time at which the simulation starts, in milliseconds.
const START: u64 = 1_000_000;

/// Probabilities of faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// Share of the workers' answers that are lost.
    pub answer_loss: f64,
    /// Share of the orders that are carried out seconds late and get no answer.
    pub order_delay: f64,
    /// Share of the store's answers that are lost.
    pub store_loss: f64,
    /// Share of the runs that fail.
    pub run_failure: f64,
}

/// A message in transit; the first field is the index of the owner.
enum Message {
    /// The flag tells whether the answer is lost.
    StoreRequest(usize, StoreTag, StoreRequest, bool),
    StoreAnswer(usize, StoreTag, Result<StoreAnswer, CallError>),
    /// The last field is the incarnation of the worker that the order was sent to. The connection
    /// ends with it, so a later incarnation does not get the order.
    Order(usize, WorkerTag, WorkerCall, Delivery, u64),
    Answer(usize, WorkerTag, Result<WorkerAnswer, CallError>),
}

impl Message {
    /// The owner that an answer is for.
    fn receiver(&self) -> Option<usize> {
        match self {
            Message::StoreAnswer(owner, ..) | Message::Answer(owner, ..) => Some(*owner),
            Message::StoreRequest(..) | Message::Order(..) => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    Answered,
    Unanswered,
}

/// The simulated system.
pub struct World {
    /// Simulated time in milliseconds.
    pub now: u64,
    pub store: Store,
    pub fleet: Fleet,
    pub faults: FaultRates,
    /// Replies to requests, by ticket.
    pub replies: HashMap<u64, Reply>,
    /// Owners in the order of their claims; `None` once killed or superseded.
    pub owners: Vec<Option<Shard>>,
    /// Messages by time of delivery and serial number.
    messages: BTreeMap<(u64, u64), Message>,
    rng: fastrand::Rng,
    /// Serial number of the newest request or message.
    serial: u64,
    /// Attempts that the queue allows for each task.
    pub attempts: u16,
    /// Range of the run times, in milliseconds.
    pub runtimes: Range<u64>,
    pub orders: Orders,
    /// Whether another worker takes over the address of a worker that has crashed.
    pub renames: bool,
    pub cuts: Cuts,
    /// Configuration of the owners, unless it is the usual one.
    pub table: Option<Arc<QueueTable>>,
    /// Services of the workers in turn.
    pub services: Vec<&'static str>,
    pub operator: Operator,
    /// Whether owners tell clients to come back by how long an outage of the store may last.
    pub adapts_retry: bool,
    /// Most memory for the jobs of an owner, in bytes.
    pub job_memory: u64,
}

impl World {
    pub fn new(seed: u64, workers: usize, processors: u32) -> Self {
        World {
            now: START,
            store: Store::default(),
            fleet: Fleet::new(workers, processors),
            faults: FaultRates::default(),
            replies: HashMap::new(),
            owners: Vec::new(),
            messages: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            serial: 0,
            attempts: 3,
            runtimes: 50..900,
            orders: Orders::default(),
            renames: false,
            cuts: Cuts::default(),
            table: None,
            services: vec![SERVICE],
            operator: Operator::default(),
            adapts_retry: false,
            job_memory: 1 << 30,
        }
    }

    pub fn time(&self) -> Now {
        Now {
            steady: Millis(self.now),
            wall: self.now,
        }
    }

    pub fn queues(&self) -> Arc<QueueTable> {
        if let Some(table) = &self.table {
            return table.clone();
        }
        let queue = |name: &str, priority| Queue {
            name: name.into(),
            host: "example".into(),
            prefix: format!("/{name}/").into(),
            service: SERVICE.into(),
            priority,
            objective: 400,
            stretch: 1.5,
            attempts: self.attempts,
            has_advice: false,
        };
        Arc::new(QueueTable {
            version: 1,
            queues: vec![queue(QUEUE, 0), queue(LOW_QUEUE, 1)],
            services: Vec::new(),
            max_body: 1 << 20,
        })
    }

    /// Lets a new owner claim the shard and returns its index; earlier owners are not informed.
    pub fn claim(&mut self) -> usize {
        self.claim_with_epoch((self.owners.len() as u64 + 1) << 16)
    }

    /// The same with the given epoch.
    pub fn claim_with_epoch(&mut self, epoch: u64) -> usize {
        self.claim_after(None, epoch)
    }

    /// The same after an owner that has told its state.
    pub fn claim_after(&mut self, handover: Option<Handover>, epoch: u64) -> usize {
        let index = self.owners.len();
        let owner = OwnerRecord {
            host: format!("host-{index}").into(),
            boot: index as u64,
            epoch,
        };
        let partition = Partition {
            stream: "shard".into(),
            part: 0,
        };
        let settings = ShardSettings {
            lease: Millis(self.max_lease()),
            stop_time: Millis(400),
            status_keep: Millis(120_000),
            evacuation_bound: self.operator.bound.map(Millis),
            adapts_retry: self.adapts_retry,
            job_memory: self.job_memory,
        };
        let mut out = Vec::new();
        let queues = self.queues();
        let now = self.time();
        let shard = Shard::claim_after(handover, settings, partition, owner, queues, now, &mut out);
        self.owners.push(Some(shard));
        self.perform(index, out);
        let listed_workers =
            (0..self.fleet.workers.len()).filter(|worker| self.fleet.workers[*worker].is_listed());
        let listed_workers = listed_workers.filter(|worker| !self.cuts.unlisted.contains(worker));
        let changes = listed_workers.map(|worker| self.entry(worker));
        let event = ShardEvent::Registry(changes.collect());
        self.event(index, event);
        index
    }

    pub fn service_of(&self, worker: usize) -> &'static str {
        self.services[worker % self.services.len()]
    }

    /// The entry of a worker in the registry.
    pub fn entry(&self, worker: usize) -> RegistryChange {
        let entry = RegistryEntry {
            service: self.service_of(worker).into(),
            address: format!("10.0.0.{}:80", worker + 1)
                .parse()
                .expect("an address"),
            data_centre: self.operator.data_centre(worker).into(),
            state: match self.fleet.workers[worker].is_leaving {
                true => WorkerState::Draining,
                false => WorkerState::Ready,
            },
            capacity: self.fleet.workers[worker].capacity,
            labels: vec!["a".into(), format!("r{}", worker / 4).into()],
            start_time: None,
            drain_time: None,
        };
        RegistryChange::Set(self.worker_name(worker), entry)
    }

    pub fn kill(&mut self, owner: usize) {
        self.owners[owner] = None;
    }

    /// The newest owner that is neither killed nor superseded.
    pub fn owner(&self) -> Option<usize> {
        (0..self.owners.len())
            .rev()
            .find(|index| self.owners[*index].is_some())
    }

    /// Sends a request to the current owner and returns its ticket.
    pub fn ask(&mut self, request: Request) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        if let Some(owner) = self.owner() {
            self.event(owner, ShardEvent::Request(ticket, request));
        }
        ticket
    }

    pub fn submit(&mut self, id: u64, spec: &JobSpec) -> u64 {
        self.submit_to(QUEUE, id, spec)
    }

    pub fn submit_to(&mut self, queue: &str, id: u64, spec: &JobSpec) -> u64 {
        self.submit_as(QueueRef::Named(queue.into()), id, spec)
    }

    /// Submits a job to the queue that a host has found.
    pub fn submit_as(&mut self, queue: QueueRef, id: u64, spec: &JobSpec) -> u64 {
        let attempts = u64::from(self.attempts);
        for turn in 0..spec.turns.max(1) {
            for (step, shape) in spec.steps.iter().enumerate() {
                let step = StepId {
                    job: JobId(id),
                    turn,
                    step: step as u16,
                };
                for index in 0..shape.count {
                    let key = TaskKey { step, index };
                    self.fleet.specs.insert(key, (spec.clone(), attempts));
                }
            }
        }
        self.ask(Request::Submit {
            job: JobId(id),
            queue,
            spec: Arc::new(spec.clone()),
        })
    }

    /// The state of a job according to the current owner.
    pub fn state(&mut self, id: u64) -> Option<Reply> {
        let ticket = self.ask(Request::State {
            job: JobId(id),
            queue: QUEUE.into(),
        });
        self.replies.get(&ticket).copied()
    }

    pub fn cancel(&mut self, id: u64) -> u64 {
        self.ask(Request::Cancel {
            job: JobId(id),
            queue: QUEUE.into(),
        })
    }

    /// Advances the simulation by `millis`.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.fleet.advance(self.now);
        self.advance_crashes();
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            match message.receiver() {
                Some(owner) if self.cuts.paused.contains(&owner) => self.send(STEP, message),
                _ => self.deliver(message),
            }
        }
        self.tell_evacuations();
        for index in 0..self.owners.len() {
            if self.cuts.paused.contains(&index) {
                continue;
            }
            let time = self.time();
            let mut out = Vec::new();
            if let Some(shard) = &mut self.owners[index] {
                shard.poll(time, &mut out);
                let forgotten = shard.forgotten_steps();
                assert!(
                    forgotten.is_empty(),
                    "at {}: {forgotten:?} never start",
                    self.now
                );
            }
            self.perform(index, out);
        }
    }

    pub fn event(&mut self, owner: usize, event: ShardEvent) {
        let time = self.time();
        let mut out = Vec::new();
        if let Some(shard) = &mut self.owners[owner] {
            shard.handle(time, event, &mut out);
        }
        self.perform(owner, out);
    }

    /// Carries out the actions of an owner.
    fn perform(&mut self, owner: usize, mut actions: Vec<ShardAction>) {
        sort_throttles(&mut actions);
        for action in actions {
            match action {
                ShardAction::Reply(ticket, reply) => {
                    self.replies.insert(ticket, reply);
                }
                ShardAction::Store(tag, call) => {
                    let is_cut = self.cuts.store.contains(&owner);
                    let is_lost = self.chance(self.faults.store_loss) || is_cut;
                    let message = Message::StoreRequest(owner, tag, call.request, is_lost);
                    let after = self.rng.u64(4..12);
                    if !is_cut {
                        self.send(after, message);
                    }
                    if is_lost {
                        let answer = Err(CallError::NoAnswer);
                        let after = call.timeout.0;
                        self.send(after, Message::StoreAnswer(owner, tag, answer));
                    }
                }
                ShardAction::Worker(tag, call) => self.order(owner, tag, call),
                ShardAction::StepDown => self.owners[owner] = None,
            }
        }
    }

    /// Sends an order to a worker, with the faults drawn for it.
    fn order(&mut self, owner: usize, tag: WorkerTag, call: WorkerCall) {
        let is_poll = matches!(call.order, Order::Renew { .. });
        let (is_late, is_lost) = match is_poll {
            true => (
                self.chance(self.orders.renewal_delay),
                self.chance(self.faults.answer_loss / 4.0),
            ),
            false => (
                self.chance(self.faults.order_delay),
                self.chance(self.faults.answer_loss),
            ),
        };
        if matches!(call.order, Order::Start(_)) {
            self.orders.count_start(&call.worker);
            self.check_record(&call.worker);
            self.check_evacuation(worker_index(&call));
        }
        let timeout = call.timeout.0;
        let queued = self.orders.send(self.now, &call.order);
        let is_lost = is_lost || queued >= timeout;
        if is_late || is_lost {
            let answer = Err(CallError::NoAnswer);
            self.send(timeout, Message::Answer(owner, tag.clone(), answer));
        }
        let after = queued
            + match is_late {
                true => self.rng.u64(2_000..9_000),
                false => self.rng.u64(1..25),
            };
        let delivery = match is_late || is_lost {
            true => Delivery::Unanswered,
            false => Delivery::Answered,
        };
        let target = self.fleet.workers.get(worker_index(&call));
        let incarnation = target.map_or(0, |worker| worker.incarnation);
        self.send(
            after,
            Message::Order(owner, tag, call, delivery, incarnation),
        );
    }

    fn send(&mut self, after: u64, message: Message) {
        self.serial += 1;
        let at = self.now + after;
        self.messages.insert((at, self.serial), message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::StoreRequest(owner, tag, request, is_lost) => {
                let answer = self.store.serve(&request);
                if !is_lost {
                    if answer.is_ok() {
                        self.cuts.answered.insert(owner, self.now);
                    }
                    let after = self.rng.u64(1..8) + self.store.delay;
                    self.send(after, Message::StoreAnswer(owner, tag, answer));
                }
            }
            Message::StoreAnswer(owner, tag, answer) => {
                self.event(owner, ShardEvent::Store(tag, answer));
            }
            Message::Order(owner, tag, call, delivery, incarnation) => {
                let worker = worker_index(&call);
                let target = self.fleet.workers.get(worker).filter(|target| {
                    !target.is_gone && !target.is_refused && target.returns_at.is_none()
                });
                let Some(target) = target else {
                    self.answer_unserved(owner, tag, delivery, Err(CallError::Refused));
                    return;
                };
                if call.worker != self.worker_name(worker) {
                    self.answer_unserved(owner, tag, delivery, Ok(WorkerAnswer::WrongWorker));
                    return;
                }
                let is_cut = target.is_unreachable || self.cuts.workers.contains(&(owner, worker));
                let is_unreachable = is_cut || target.down_until > self.now;
                let is_restarted = target.incarnation != incarnation;
                if is_unreachable || is_restarted {
                    if delivery == Delivery::Answered {
                        let error = match is_restarted {
                            true => CallError::NoAnswer,
                            false => CallError::NotSent,
                        };
                        let answer = Err(error);
                        self.send(500, Message::Answer(owner, tag, answer));
                    }
                    return;
                }
                let fails = self.chance(self.faults.run_failure);
                let runtime = self.rng.u64(self.runtimes.clone());
                let (now, epoch) = (self.now, call.epoch);
                let answer = self
                    .fleet
                    .serve(now, worker, epoch, &call.order, fails, runtime);
                if delivery == Delivery::Answered {
                    let after = self.rng.u64(1..25);
                    let crash_at = self.fleet.workers[worker].crash_at;
                    let answer = match crash_at.is_some_and(|at| at < now + after) {
                        true => Err(CallError::NoAnswer),
                        false => Ok(answer),
                    };
                    self.send(after, Message::Answer(owner, tag, answer));
                }
            }
            Message::Answer(owner, tag, answer) => {
                if let WorkerTag::Start { worker, .. } = &tag {
                    self.orders.count_start_answer(worker);
                }
                self.event(owner, ShardEvent::Worker(tag, answer));
            }
        }
    }

    /// Answers an order that no worker has carried out, unless its sender has got an answer at its timeout.
    fn answer_unserved(
        &mut self,
        owner: usize,
        tag: WorkerTag,
        delivery: Delivery,
        answer: Result<WorkerAnswer, CallError>,
    ) {
        if delivery == Delivery::Answered {
            self.send(5, Message::Answer(owner, tag, answer));
        }
    }

    /// Returns true with probability `share`.
    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.f64() < share
    }

    /// Asserts that the workers have seen no violation of an invariant.
    pub fn assert_no_violations(&self) {
        let violations = &self.fleet.violations;
        assert!(violations.is_empty(), "{violations:#?}");
    }

    /// Longest lease that the workers accept, in milliseconds.
    pub fn max_lease(&self) -> u64 {
        let leases = self.fleet.workers.iter().map(|worker| worker.max_lease);
        leases.min().expect("a worker")
    }

    /// A worker that runs tasks of a job.
    pub fn holder(&self, id: u64) -> usize {
        let is_of_job = |task: &TaskKey| task.step.job == JobId(id);
        let mut workers = self.fleet.workers.iter();
        let holder = workers.position(|worker| worker.runs.keys().any(is_of_job));
        holder.expect("a worker runs tasks of the job")
    }

    /// Number of runs of a job on all workers.
    pub fn running(&self, id: u64) -> usize {
        let workers = self.fleet.workers.iter();
        workers
            .flat_map(|worker| worker.runs.keys())
            .filter(|task| task.step.job == JobId(id))
            .count()
    }
}

/// Sorts successive speed limits by task. An owner gives those of a worker in the order of a hash table, which
/// differs between two runs of a simulation.
fn sort_throttles(actions: &mut [ShardAction]) {
    let task = |action: &ShardAction| match action {
        ShardAction::Worker(WorkerTag::Throttle { task, .. }, _) => Some(*task),
        _ => None,
    };
    let groups = actions.chunk_by_mut(|one, other| task(one).is_some() && task(other).is_some());
    for group in groups {
        group.sort_by_key(task);
    }
}

/// Index of the worker at the address of a call.
fn worker_index(call: &WorkerCall) -> usize {
    match call.address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => usize::MAX,
    }
}
