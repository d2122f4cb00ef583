//! Turns pending tasks into claims and claims into running attempts.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::book::{Book, Slot, SlotState};
use super::estimate::{SizeEstimator, SizeKey};
use super::interference::{Interference, Relief, RunningTask, TaskKind};
use super::pairs::ClassKey;
use super::placement::{Demand, NoFit, Placer, WorkerView};
use super::quarantine::Quarantine;
use crate::base::{Attempt, Millis, Name, Size, TaskId, Token, rank};
use crate::connection::wire::{
    Ack, StartRequest, StartState, TaskCommand, TaskEntry, TaskState, WorkerReport,
};
use crate::connection::{Command, Error, Grant, Lease, StartError};
use crate::version::{Ledger, Outcome, Phase, QuotaCheck, Record, Task};

/// Priority of urgent tasks.
const URGENT_PRIORITY: u8 = 0;
/// Pending tasks that one poll looks at.
const SCAN: usize = 512;
/// Claims that are proposed and not yet read back, per host.
const MAX_PROPOSED: usize = 512;
/// Time after which an unread proposal is made again.
const PROPOSAL_TTL: Millis = Millis(5_000);
/// Additional wait of each rank before it claims a task that a preferred host left pending.
const RANK_STEP: Millis = Millis(500);
/// Pause before a start without an answer is repeated.
const START_RETRY: Millis = Millis(500);
/// Time between two identical commands for one attempt.
const COMMAND_RETRY: Millis = Millis(2_000);
/// An attempt that has run for this long shows that its worker can start tasks.
const SETTLED: Millis = Millis(10_000);
/// Time between two claims of a job that failed on several workers.
const POISON_RETRY: Millis = Millis(60_000);
/// Time that a claim waits for room before it is released to another worker with room.
const AHEAD_TTL: Millis = Millis(10_000);

/// Time after which a claim that waits for room is released even if this host knows of none: a
/// worker that another host holds may have it. Each release and new claim costs the log about
/// 130 bytes, so a full data centre must not repeat them often.
const WAIT_TTL: Millis = Millis(120_000);

/// What the dispatcher wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    Append(Record),
    Start {
        worker: Name,
        address: Name,
        task: TaskId,
        request: StartRequest,
    },
    Command {
        worker: Name,
        address: Name,
        command: Command,
        request: TaskCommand,
    },
}

/// What the dispatcher may assume at one poll.
#[derive(Debug, Clone, Copy)]
pub struct DispatchView<'a> {
    pub ledger: &'a Ledger,
    /// Live entry hosts of the data centre, this one included.
    pub hosts: &'a [Name],
    /// Services with an instance on each worker's host.
    pub services: &'a HashMap<Name, Vec<Name>>,
    /// Services that are slow on each worker's host.
    pub slow: &'a HashMap<Name, Vec<Name>>,
    /// Quota in this data centre of each customer.
    pub quotas: &'a HashMap<Name, Size>,
    /// Whether new claims may be proposed: the task stream was read to its end lately and
    /// appends succeed.
    pub can_claim: bool,
}

/// Accounts for the workers whose lease this host holds.
#[derive(Debug)]
pub struct Dispatcher {
    host: Name,
    books: BTreeMap<Name, Book>,
    /// Views of the workers that are not held, so that a job that fits nowhere is recognised.
    others: Vec<WorkerView>,
    /// Proposed claims by task.
    proposed: HashMap<TaskId, (Name, Millis)>,
    /// When this host first saw a pending task.
    seen: HashMap<TaskId, Millis>,
    /// Attempts whose end this process has put into the journal, by the lease it held then. Under
    /// a later lease the end is judged anew, because the first record may be void.
    reported: HashSet<(TaskId, Attempt, Token)>,
    /// Claims of former holders that this process has put into the journal as adopted.
    adopted: HashMap<TaskId, (Attempt, Token)>,
    /// Number of starts without an answer by attempt.
    unanswered: HashMap<(TaskId, Attempt), u32>,
    /// Why pending tasks can't run.
    misfits: HashMap<TaskId, Name>,
    /// Last claims of tasks whose job failed on several workers.
    retried: HashMap<TaskId, Millis>,
    placer: Placer,
    estimator: SizeEstimator,
    quarantine: Quarantine,
    interference: Interference,
}

impl Dispatcher {
    pub fn new(host: Name) -> Self {
        Dispatcher {
            host,
            books: BTreeMap::new(),
            others: Vec::new(),
            proposed: HashMap::new(),
            seen: HashMap::new(),
            reported: HashSet::new(),
            adopted: HashMap::new(),
            unanswered: HashMap::new(),
            misfits: HashMap::new(),
            retried: HashMap::new(),
            placer: Placer::new(),
            estimator: SizeEstimator::new(),
            quarantine: Quarantine::new(),
            interference: Interference::new(),
        }
    }

    /// Sets what is known of workers that other hosts hold.
    pub fn set_others(&mut self, others: Vec<WorkerView>) {
        self.others = others;
    }

    pub fn book(&self, worker: &str) -> Option<&Book> {
        self.books.get(worker)
    }

    pub fn books(&self) -> impl Iterator<Item = &Book> {
        self.books.values()
    }

    /// Why a pending task can never run, in words for an operator.
    pub fn misfit(&self, task: &TaskId) -> Option<&Name> {
        self.misfits.get(task)
    }

    /// Ended attempts that the worker may forget.
    pub fn take_acks(&mut self, worker: &str) -> Vec<Ack> {
        self.books
            .get_mut(worker)
            .map(|book| std::mem::take(&mut book.acks))
            .unwrap_or_default()
    }

    /// Starts that wait for an answer.
    pub fn open_starts(&self) -> usize {
        let starting = |book: &Book| {
            book.slots
                .values()
                .filter(|slot| slot.state == SlotState::Starting)
                .count()
        };
        self.books.values().map(starting).sum()
    }

    /// Drops the accounting of a worker whose lease is no longer held.
    pub fn lose(&mut self, worker: &str) {
        if let Some(book) = self.books.remove(worker) {
            self.interference.forget(&book.view.name);
            self.proposed.retain(|_, (on, _)| &**on != worker);
        }
    }

    /// Sets whether the lease on a worker may be used now; claims go to usable workers only.
    pub fn set_usable(&mut self, now: Millis, worker: &str, usable: bool) {
        let allowed = usable && self.quarantine.allows(now, worker);
        if let Some(book) = self.books.get_mut(worker) {
            book.set_open(allowed);
        }
    }

    /// Takes a worker's report that came with a lease answer.
    pub fn report(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        held: HeldWorker<'_>,
        out: &mut Vec<DispatchAction>,
    ) {
        if held.grant == Grant::Ignored {
            return;
        }
        let is_known = held.grant == Grant::Renewed && self.books.contains_key(held.name);
        if !is_known {
            self.lose(held.name);
            self.books.insert(held.name.clone(), Book::new(&held));
        }
        let Some(mut book) = self.books.remove(held.name) else {
            return;
        };
        book.lease = held.lease;
        book.view.capacity = held.report.capacity;
        book.view.services = view.services.get(held.name).cloned().unwrap_or_default();
        book.excess(&held.report.tasks);
        book.ended.clear();
        for entry in &held.report.tasks {
            self.reconcile(now, view.ledger, &mut book, entry, out);
        }
        self.relieve(now, view, &mut book, held.report, out);
        book.set_open(self.quarantine.allows(now, held.name));
        self.books.insert(held.name.clone(), book);
        self.start_claims(now, view, held.name, out);
    }

    /// Takes the outcome of a start.
    pub fn started(
        &mut self,
        now: Millis,
        worker: &str,
        task: &TaskId,
        attempt: Attempt,
        result: Result<StartState, StartError>,
        out: &mut Vec<DispatchAction>,
    ) {
        let result = self.answered(task, attempt, result);
        let Some(book) = self.books.get_mut(worker) else {
            return;
        };
        let is_current = book
            .slots
            .get(task)
            .is_some_and(|slot| slot.attempt == attempt && slot.state == SlotState::Starting);
        if !is_current {
            return;
        }
        match result {
            // After `Ended` the next report tells how the attempt ended.
            Ok(_) | Err(StartError::Ended) => book.set_state(task, SlotState::Running),
            Err(StartError::StaleToken) => self.lose(worker),
            Err(StartError::NotSent(_)) => {
                book.set_state(
                    task,
                    SlotState::Unsure {
                        retry: now + START_RETRY,
                    },
                );
            }
            Err(StartError::Unknown(_)) => book.set_unsure(task, now + START_RETRY),
            Err(StartError::NoCapacity) => book.withdraw(task, now),
            Err(StartError::StartFailed) if !book.may_release(task) => {
                book.set_state(
                    task,
                    SlotState::Unsure {
                        retry: now + START_RETRY,
                    },
                );
            }
            Err(StartError::StartFailed) => {
                book.remove(task);
                let token = book.lease.token;
                let worker = book.view.name.clone();
                tracing::warn!(%worker, %task, "the worker failed to start the task");
                self.quarantine.failed(now, &worker, task);
                let record = Record::Released {
                    task: task.clone(),
                    attempt,
                    token,
                };
                self.finish(task, (attempt, token), record, out);
            }
        }
    }

    /// The result of a start, or `Unknown` if it may belong to an earlier start of the attempt.
    ///
    /// An answer that arrives late, after the lease was lost and taken again, says nothing of the
    /// start that was sent since.
    fn answered(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        result: Result<StartState, StartError>,
    ) -> Result<StartState, StartError> {
        let key = (task.clone(), attempt);
        let open = self.unanswered.remove(&key).unwrap_or_default();
        if open <= 1 {
            return result;
        }
        self.unanswered.insert(key, open - 1);
        match result {
            Ok(state) => Ok(state),
            Err(error) => Err(StartError::Unknown(Error::Broken {
                address: task.to_string(),
                reason: format!("an earlier or a later start was answered: {error}"),
            })),
        }
    }

    /// Collects starts, commands and claims that are due.
    pub fn poll(&mut self, now: Millis, view: &DispatchView<'_>, out: &mut Vec<DispatchAction>) {
        self.forget(now, view.ledger);
        let workers: Vec<Name> = self.books.keys().cloned().collect();
        for worker in &workers {
            self.start_claims(now, view, worker, out);
        }
        if view.can_claim {
            self.release_waiting(now, view.ledger, out);
            self.claim_pending(now, view, out);
        }
    }

    fn reconcile(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        book: &mut Book,
        entry: &TaskEntry,
        out: &mut Vec<DispatchAction>,
    ) {
        let Ok(id) = entry.task.parse::<TaskId>() else {
            tracing::warn!(task = entry.task, worker = %book.view.name, "unreadable task id");
            return;
        };
        let Some(task) = ledger.task(&id) else {
            // The task was forgotten, or the ledger has not read that far.
            book.hold(now, &id, entry, None);
            return;
        };
        if let Some(usage) = entry.usage {
            self.estimator.observe(now, &size_key(task), usage);
        }
        if task.has_ended(entry.attempt) {
            self.settle(now, book, &id, entry, out);
            return;
        }
        let is_claimed = matches!(&task.phase, Phase::Claimed { attempt, worker, .. }
            if *attempt == entry.attempt && *worker == book.view.name);
        if is_claimed && entry.state.has_ended() {
            book.remove(&id);
            match entry.state {
                TaskState::Succeeded => self.quarantine.succeeded(&book.view.name, &id),
                TaskState::Failed => self.quarantine.failed(now, &book.view.name, &id),
                _ => {}
            }
            let record = end_record(&id, task, entry);
            self.finish(&id, (entry.attempt, book.lease.token), record, out);
            return;
        }
        book.hold(now, &id, entry, Some(task));
        if book.has_run(now, &id, SETTLED) {
            self.quarantine.succeeded(&book.view.name, &id);
        }
        if is_claimed && task.cancelled {
            book.command(now, &id, Command::Stop, COMMAND_RETRY, out);
        }
    }

    /// Handles an attempt that the log shows as ended.
    fn settle(
        &mut self,
        now: Millis,
        book: &mut Book,
        id: &TaskId,
        entry: &TaskEntry,
        out: &mut Vec<DispatchAction>,
    ) {
        if entry.state.has_ended() {
            book.remove_attempt(id, entry.attempt);
            book.acks.push(Ack {
                task: entry.task.clone(),
                attempt: entry.attempt,
            });
            return;
        }
        book.hold(now, id, entry, None);
        book.command(now, id, Command::Stop, COMMAND_RETRY, out);
    }

    /// Acts on at most one task of a worker whose service is slow or whose tasks use too much.
    fn relieve(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        book: &mut Book,
        report: &WorkerReport,
        out: &mut Vec<DispatchAction>,
    ) {
        let worker = book.view.name.clone();
        let slow = view.slow.get(&worker).map_or(&[] as &[Name], Vec::as_slice);
        self.placer.observe(now, &mut book.view, slow);
        let measured = Millis(now.0.saturating_sub(report.measured));
        let tasks: Vec<RunningTask> = report
            .tasks
            .iter()
            .filter(|entry| !entry.state.has_ended())
            .filter_map(|entry| self.running_task(now, view.ledger, book, entry))
            .collect();
        let capacity = report.capacity;
        let Some(relief) = self
            .interference
            .report(now, &worker, measured, capacity, &tasks, slow)
        else {
            return;
        };
        tracing::info!(%worker, ?relief, ?slow, "relieving the worker");
        let command = match relief {
            Relief::Throttle { .. } => Command::Throttle,
            Relief::Evict { .. } => Command::Checkpoint,
            Relief::Stop { .. } => Command::Stop,
        };
        book.command(now, relief.task(), command, COMMAND_RETRY, out);
    }

    fn running_task(
        &self,
        now: Millis,
        ledger: &Ledger,
        book: &Book,
        entry: &TaskEntry,
    ) -> Option<RunningTask> {
        let id: TaskId = entry.task.parse().ok()?;
        let task = ledger.task(&id)?;
        let class = ClassKey::new(id.customer.clone(), task.spec.class.clone());
        let kind = match &task.spec {
            spec if spec.priority == URGENT_PRIORITY => TaskKind::Urgent,
            spec if spec.at_most_once => TaskKind::AtMostOnce,
            spec if spec.watcher => TaskKind::Watcher,
            _ => TaskKind::Restartable,
        };
        Some(RunningTask {
            unsaved: book.run_time(now, &id),
            penalty: self.placer.penalty(now, &class, &book.view.services),
            task: id,
            attempt: entry.attempt,
            class: class.class,
            reserved: entry.size,
            usage: entry.usage,
            throttled: entry.state == TaskState::Throttled,
            kind,
        })
    }

    /// A command took effect on the worker.
    pub fn commanded(&mut self, now: Millis, worker: &Name) {
        self.interference.acted(now, worker);
    }

    fn start_claims(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        worker: &Name,
        out: &mut Vec<DispatchAction>,
    ) {
        let claims: Vec<(TaskId, Claim)> = view
            .ledger
            .claimed_on(worker)
            .filter_map(|(id, task)| match task.phase {
                Phase::Claimed {
                    attempt,
                    incarnation,
                    token,
                    ..
                } => {
                    let claim = Claim {
                        attempt,
                        incarnation,
                        token,
                    };
                    Some((id.clone(), claim))
                }
                _ => None,
            })
            .collect();
        for (id, claim) in claims {
            self.proposed.remove(&id);
            let Some(task) = view.ledger.task(&id) else {
                continue;
            };
            self.advance(now, worker, &id, task, claim, out);
        }
    }

    /// Moves one claimed attempt on: starts it, repeats a start, or ends it without a start.
    fn advance(
        &mut self,
        now: Millis,
        worker: &Name,
        id: &TaskId,
        task: &Task,
        claim: Claim,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(book) = self.books.get_mut(worker) else {
            return;
        };
        let attempt = claim.attempt;
        let token = book.lease.token;
        // The claim belongs to a later holder: this host has lost the lease without learning it.
        if token < claim.token {
            return;
        }
        if self.reported.contains(&(id.clone(), attempt, token)) {
            return;
        }
        // The attempt has run; the next report tells how it ended.
        if book.ended.contains(&(id.clone(), attempt)) {
            return;
        }
        let is_other = book.lease.incarnation != claim.incarnation;
        let state = book.state(id, attempt);
        if is_other && !matches!(state, Some(SlotState::Running)) {
            book.remove(id);
            let outcome = Outcome::Lost;
            let record = Record::Ended {
                task: id.clone(),
                attempt,
                outcome,
            };
            return self.finish(id, (attempt, token), record, out);
        }
        match state {
            Some(SlotState::Starting | SlotState::Running) => {}
            Some(SlotState::Unsure { retry }) if now < retry => {}
            Some(SlotState::Unsure { .. }) => self.send_start(now, worker, id, task, attempt, out),
            Some(SlotState::Proposed | SlotState::Waiting { .. }) | None
                if token != claim.token =>
            {
                self.adopt(worker, id, attempt, token, out);
            }
            Some(SlotState::Proposed | SlotState::Waiting { .. }) | None => {
                self.start(now, worker, id, task, attempt, out);
            }
        }
    }

    /// Takes over a claim that was made under an earlier lease, before it is started.
    ///
    /// A former holder may still have a `Released` in its journal; the log decides which of the
    /// two records counts.
    fn adopt(
        &mut self,
        worker: &Name,
        id: &TaskId,
        attempt: Attempt,
        token: Token,
        out: &mut Vec<DispatchAction>,
    ) {
        if self.adopted.get(id) == Some(&(attempt, token)) {
            return;
        }
        self.adopted.insert(id.clone(), (attempt, token));
        out.push(DispatchAction::Append(Record::Adopted {
            task: id.clone(),
            attempt,
            worker: worker.clone(),
            token,
        }));
    }

    fn start(
        &mut self,
        now: Millis,
        worker: &Name,
        id: &TaskId,
        task: &Task,
        attempt: Attempt,
        out: &mut Vec<DispatchAction>,
    ) {
        let demand = self.demand(task);
        let Some(book) = self.books.get_mut(worker) else {
            return;
        };
        if (task.cancelled || book.lease.leaving) && book.may_release(id) {
            book.remove(id);
            let token = book.lease.token;
            let record = Record::Released {
                task: id.clone(),
                attempt,
                token,
            };
            return self.finish(id, (attempt, token), record, out);
        }
        if !book.reserve(now, id, attempt, demand) {
            return;
        }
        self.send_start(now, worker, id, task, attempt, out);
    }

    fn send_start(
        &mut self,
        now: Millis,
        worker: &Name,
        id: &TaskId,
        task: &Task,
        attempt: Attempt,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(book) = self.books.get_mut(worker) else {
            return;
        };
        let Some(slot) = book.slots.get_mut(id) else {
            return;
        };
        slot.state = SlotState::Starting;
        *self.unanswered.entry((id.clone(), attempt)).or_default() += 1;
        self.quarantine.started(now, worker);
        let request = StartRequest {
            token: book.lease.token,
            task: id.to_string(),
            attempt,
            class: task.spec.class.clone(),
            size: slot.demand.size,
            run: task.spec.run,
            checkpoint: task.checkpoint.clone(),
        };
        out.push(DispatchAction::Start {
            worker: worker.clone(),
            address: book.address.clone(),
            task: id.clone(),
            request,
        });
    }

    /// Releases claims that wait for room while another worker has it.
    fn release_waiting(&mut self, now: Millis, ledger: &Ledger, out: &mut Vec<DispatchAction>) {
        let mut late = Vec::new();
        for book in self.books.values() {
            for (id, slot) in book.slots.iter().filter(|(_, slot)| !slot.is_unsure) {
                if let SlotState::Waiting { since } = slot.state {
                    if now.since(since) >= AHEAD_TTL {
                        let worker = book.view.name.clone();
                        let is_expired = now.since(since) >= WAIT_TTL;
                        late.push((
                            worker,
                            book.lease.token,
                            id.clone(),
                            slot.clone(),
                            is_expired,
                        ));
                    }
                }
            }
        }
        for (worker, token, id, slot, is_expired) in late {
            let is_claimed = ledger.task(&id).is_some_and(|task| {
                matches!(task.phase, Phase::Claimed { attempt, token: claimed, .. }
                    if attempt == slot.attempt && claimed == token)
            });
            let views = self.views();
            let elsewhere = self.placer.choose(now, &slot.demand, &views);
            let has_room = elsewhere.is_ok_and(|chosen| chosen != worker);
            if is_claimed && (has_room || is_expired) {
                if let Some(book) = self.books.get_mut(&worker) {
                    book.remove(&id);
                }
                let record = Record::Released {
                    task: id.clone(),
                    attempt: slot.attempt,
                    token,
                };
                self.finish(&id, (slot.attempt, token), record, out);
            }
        }
    }

    fn claim_pending(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        out: &mut Vec<DispatchAction>,
    ) {
        let mut views = self.views();
        let due: Vec<(TaskId, Attempt)> = view
            .ledger
            .pending()
            .take(SCAN)
            .filter_map(|(id, task)| match task.phase {
                Phase::Pending { next } => Some((id.clone(), next)),
                _ => None,
            })
            .filter(|(id, _)| !self.proposed.contains_key(id))
            .collect();
        for (id, attempt) in due {
            if self.proposed.len() >= MAX_PROPOSED {
                return;
            }
            let first = *self.seen.entry(id.clone()).or_insert(now);
            if self.is_poison(now, &id) || !self.is_turn(now, first, &id, view.hosts) {
                continue;
            }
            let Some(task) = view.ledger.task(&id) else {
                continue;
            };
            // A customer without a contract in force gets no new claims.
            let Some(quota) = view.quotas.get(&id.customer).copied() else {
                continue;
            };
            if !self.is_within(view.ledger, &id, task, &quota) {
                continue;
            }
            let check = view.ledger.quota_check(&task.spec, quota);
            // Every host has had its turn to place the task where there is room.
            let turns = RANK_STEP.0 * view.hosts.len() as u64;
            let may_wait = now.since(first) >= Millis(turns);
            self.propose(now, &id, task, (attempt, check), may_wait, &mut views, out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn propose(
        &mut self,
        now: Millis,
        id: &TaskId,
        task: &Task,
        (attempt, quota): (Attempt, QuotaCheck),
        may_wait: bool,
        views: &mut [WorkerView],
        out: &mut Vec<DispatchAction>,
    ) {
        let mut demand = self.demand(task);
        demand.size = Placer::reservable(demand.size, task.spec.size, demand.urgent, views);
        let chosen = match self.placer.choose(now, &demand, views) {
            Err(NoFit::NotNow) if may_wait => self.placer.choose_ahead(&demand, views),
            chosen => chosen,
        };
        let worker = match chosen {
            Ok(worker) => worker,
            Err(NoFit::NotNow) => return,
            Err(NoFit::Never { reason }) => {
                self.misfits.insert(id.clone(), reason.to_string().into());
                return;
            }
        };
        self.misfits.remove(id);
        let Some(book) = self.books.get_mut(&worker) else {
            return;
        };
        if book.view.commit(&demand) {
            book.slots
                .insert(id.clone(), Slot::proposed(attempt, demand));
        } else {
            book.view.queued += 1;
            book.slots
                .insert(id.clone(), Slot::waiting(attempt, demand, now));
        }
        if let Some(view) = views.iter_mut().find(|view| view.name == worker) {
            view.clone_from(&book.view);
        }
        self.proposed.insert(id.clone(), (worker.clone(), now));
        out.push(DispatchAction::Append(Record::Claimed {
            task: id.clone(),
            attempt,
            worker,
            incarnation: book.lease.incarnation,
            token: book.lease.token,
            quota,
        }));
    }

    /// Whether a claim fits the customer's quota, this host's unread proposals included.
    fn is_within(&self, ledger: &Ledger, id: &TaskId, task: &Task, quota: &Size) -> bool {
        let proposed = self
            .proposed
            .keys()
            .filter(|other| other.customer == id.customer)
            .filter_map(|other| ledger.task(other))
            .fold(Size::ZERO, |sum, task| sum.saturating_add(&task.spec.size));
        let claimed = ledger.claimed_size(&id.customer).saturating_add(&proposed);
        claimed.saturating_add(&task.spec.size).fits(quota)
    }

    /// Whether a claim of the task has to wait because its job failed on several workers.
    fn is_poison(&mut self, now: Millis, id: &TaskId) -> bool {
        if !self.quarantine.is_poison(id) {
            self.retried.remove(id);
            return false;
        }
        self.misfits.insert(
            id.clone(),
            "the job failed to start on several workers".into(),
        );
        let last = *self.retried.entry(id.clone()).or_insert(now);
        if now.since(last) < POISON_RETRY {
            return true;
        }
        self.retried.insert(id.clone(), now);
        false
    }

    /// Whether it is this host's turn to claim a task that it first saw pending at `first`.
    fn is_turn(&self, now: Millis, first: Millis, id: &TaskId, hosts: &[Name]) -> bool {
        let order = rank(&id.to_string(), hosts);
        let position = order
            .iter()
            .position(|host| **host == self.host)
            .unwrap_or(order.len());
        now.since(first) >= Millis(RANK_STEP.0 * position as u64)
    }

    fn demand(&self, task: &Task) -> Demand {
        let spec = &task.spec;
        let size = self.estimator.estimate(&size_key(task), spec.size);
        let urgent = spec.priority == URGENT_PRIORITY;
        Demand::new(spec.task.customer.clone(), spec.class.clone(), size, urgent)
    }

    fn views(&self) -> Vec<WorkerView> {
        let held = self.books.values().map(|book| book.view.clone());
        let others = self
            .others
            .iter()
            .filter(|view| !self.books.contains_key(&view.name));
        held.chain(others.cloned()).collect()
    }

    /// Puts the end of an attempt into the journal, once.
    fn finish(
        &mut self,
        id: &TaskId,
        (attempt, token): (Attempt, Token),
        record: Record,
        out: &mut Vec<DispatchAction>,
    ) {
        if self.reported.insert((id.clone(), attempt, token)) {
            out.push(DispatchAction::Append(record));
        }
    }

    /// Drops what later records have made void.
    fn forget(&mut self, now: Millis, ledger: &Ledger) {
        self.reported.retain(|(id, attempt, _)| {
            ledger
                .task(id)
                .is_some_and(|task| !task.has_ended(*attempt))
        });
        self.adopted.retain(|id, (attempt, _)| {
            ledger
                .task(id)
                .is_some_and(|task| !task.has_ended(*attempt))
        });
        let is_pending = |id: &TaskId| {
            ledger
                .task(id)
                .is_some_and(|task| matches!(task.phase, Phase::Pending { .. }))
        };
        self.seen.retain(|id, _| is_pending(id));
        self.misfits.retain(|id, _| is_pending(id));
        self.retried
            .retain(|id, _| ledger.task(id).is_some_and(|task| !task.is_done()));
        let expired: Vec<(TaskId, Name)> = self
            .proposed
            .iter()
            .filter(|(id, (_, at))| !is_pending(id) || now.since(*at) >= PROPOSAL_TTL)
            .map(|(id, (worker, _))| (id.clone(), worker.clone()))
            .collect();
        for (id, worker) in expired {
            self.proposed.remove(&id);
            if let Some(book) = self.books.get_mut(&worker) {
                book.forget_proposal(&id, ledger.task(&id));
            }
        }
    }
}

/// A claim on the log.
#[derive(Debug, Clone, Copy)]
struct Claim {
    attempt: Attempt,
    incarnation: u64,
    token: Token,
}

/// A held worker and the report that came with its lease.
#[derive(Debug)]
pub struct HeldWorker<'a> {
    pub name: &'a Name,
    pub address: &'a Name,
    pub rack: &'a Name,
    pub lease: Lease,
    pub grant: Grant,
    pub report: &'a WorkerReport,
}

fn size_key(task: &Task) -> SizeKey {
    SizeKey::new(
        task.spec.task.customer.clone(),
        task.spec.class.clone(),
        task.spec.size,
    )
}

fn end_record(id: &TaskId, task: &Task, entry: &TaskEntry) -> Record {
    let attempt = entry.attempt;
    let ended = |outcome| Record::Ended {
        task: id.clone(),
        attempt,
        outcome,
    };
    match (entry.state, &entry.checkpoint) {
        (TaskState::Succeeded, _) => ended(Outcome::Succeeded),
        (TaskState::Failed, _) => ended(Outcome::Failed),
        (TaskState::Checkpointed, Some(checkpoint)) => Record::Checkpointed {
            task: id.clone(),
            attempt,
            checkpoint: checkpoint.clone(),
        },
        (TaskState::Stopped, _) if task.cancelled => ended(Outcome::Cancelled),
        _ => ended(Outcome::Lost),
    }
}

/// Reserved size of an entry whose task this host does not know.
pub(super) fn unknown_demand(id: &TaskId, size: Size) -> Demand {
    Demand::new(id.customer.clone(), "", size, false)
}
