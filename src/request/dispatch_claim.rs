//! Claims of pending tasks.

use std::collections::HashMap;

use super::book::{AttemptState, TrackedAttempt};
use super::dispatch::{DispatchAction, DispatchView, Dispatcher};
use super::placement::{NoFit, Placer, WorkerView};
use crate::base::{Attempt, Millis, Name, Size, TaskId, rank};
use crate::version::{Ledger, Phase, QuotaCheck, Record, Task};

/// Pending tasks that one poll looks at, at the beginning of the queue and behind it.
const SCAN: usize = 256;
/// Time between two looks for claims that wait for too long.
const RELEASE_INTERVAL: Millis = Millis(1_000);
/// Waiting claims that one look compares with all workers.
const MAX_RELEASED: usize = 64;
/// Time between two rounds of claims after one in which no pending task could be claimed.
const IDLE_INTERVAL: Millis = Millis(250);
/// Claims that are proposed and not yet read back, per host.
const MAX_PROPOSED: usize = 512;
/// Additional wait of each rank before it claims a task that a preferred host left pending.
const RANK_STEP: Millis = Millis(500);
/// Time between two claims of a job that failed on several workers.
const POISON_RETRY: Millis = Millis(60_000);
/// Time that a claim waits for room before it is released to another worker with room.
const AHEAD_TTL: Millis = Millis(10_000);
/// Time after which a claim that waits for room is released even if this host knows of none: a
/// worker that another host holds may have it. Each release and new claim costs the log about
/// 130 bytes, so a full data centre must not repeat them often.
const WAIT_TTL: Millis = Millis(120_000);

impl Dispatcher {
    /// Releases claims that wait for room while another worker has it.
    pub(super) fn release_waiting(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        out: &mut Vec<DispatchAction>,
    ) {
        if now < self.next_release {
            return;
        }
        self.next_release = now + RELEASE_INTERVAL;
        let from = self.release_from.take();
        let is_left = |name: &Name| from.as_ref().is_none_or(|from| name >= from);
        let mut late = Vec::new();
        for (name, tracked) in self.workers.iter().filter(|(name, _)| is_left(name)) {
            if late.len() >= MAX_RELEASED {
                self.release_from = Some(name.clone());
                break;
            }
            if tracked.view.queued == 0 {
                continue;
            }
            for (id, tracked_attempt) in tracked
                .attempts
                .iter()
                .filter(|(_, tracked_attempt)| !tracked_attempt.is_unsure)
            {
                if let AttemptState::Waiting { since } = tracked_attempt.state {
                    if now.since(since) >= AHEAD_TTL {
                        let is_expired = now.since(since) >= WAIT_TTL;
                        let entry = (name.clone(), tracked.lease.token, id.clone());
                        late.push((entry, tracked_attempt.clone(), is_expired));
                    }
                }
            }
        }
        if late.is_empty() {
            return;
        }
        let views = self.views();
        for ((worker, token, id), tracked_attempt, is_expired) in late {
            let is_claimed = ledger.task(&id).is_some_and(|task| {
                matches!(task.phase, Phase::Claimed { attempt, token: claimed, .. }
                    if attempt == tracked_attempt.attempt && claimed == token)
            });
            let elsewhere = self.placer.choose(now, &tracked_attempt.demand, &views);
            let has_room = elsewhere.is_ok_and(|chosen| chosen != worker);
            if is_claimed && (has_room || is_expired) {
                if let Some(tracked) = self.workers.get_mut(&worker) {
                    tracked.remove(&id);
                }
                let record = Record::Released {
                    task: id.clone(),
                    attempt: tracked_attempt.attempt,
                    token,
                };
                self.finish(&id, (tracked_attempt.attempt, token), record, out);
            }
        }
    }

    pub(super) fn claim_pending(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        out: &mut Vec<DispatchAction>,
    ) {
        if now < self.next_claims {
            return;
        }
        let due = self.pending(view.ledger);
        if due.is_empty() {
            return;
        }
        let mut round = Round {
            views: self.views(),
            full: HashMap::new(),
            proposed: self.proposed_sizes(view.ledger),
        };
        let before = out.len();
        for (id, attempt) in due {
            if self.proposed.len() >= MAX_PROPOSED {
                return;
            }
            if self.proposed.contains_key(&id) {
                continue;
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
            if !is_within(view.ledger, &round, &id, task, &quota) {
                continue;
            }
            let check = view.ledger.quota_check(&task.spec, quota);
            // Every host has had its turn to place the task where there is room.
            let turns = RANK_STEP.0 * view.hosts.len() as u64;
            let may_wait = now.since(first) >= Millis(turns);
            self.propose(now, &id, task, (attempt, check, may_wait), &mut round, out);
        }
        if out.len() == before {
            self.next_claims = now + IDLE_INTERVAL;
        }
    }

    fn propose(
        &mut self,
        now: Millis,
        id: &TaskId,
        task: &Task,
        (attempt, quota, may_wait): (Attempt, QuotaCheck, bool),
        round: &mut Round,
        out: &mut Vec<DispatchAction>,
    ) {
        let mut demand = self.demand(task);
        let key = (demand.size, task.spec.size, demand.urgent, may_wait);
        if let Some(reason) = round.full.get(&key) {
            self.set_blocked(id, reason.clone());
            return;
        }
        let views = &mut round.views;
        demand.size = Placer::reservable_size(demand.size, task.spec.size, demand.urgent, views);
        let chosen = match self.placer.choose(now, &demand, views) {
            Err(NoFit::NotNow) if may_wait => self.placer.choose_ahead(&demand, views),
            chosen => chosen,
        };
        let worker = match chosen {
            Ok(worker) => worker,
            Err(NoFit::NotNow) => {
                round.full.insert(key, None);
                return;
            }
            Err(NoFit::Never { reason }) => {
                let reason: Name = reason.to_string().into();
                round.full.insert(key, Some(reason.clone()));
                self.set_blocked(id, Some(reason));
                return;
            }
        };
        self.blocked.remove(id);
        let Some(tracked) = self.workers.get_mut(&worker) else {
            return;
        };
        if tracked.view.commit(&demand) {
            tracked
                .attempts
                .insert(id.clone(), TrackedAttempt::proposed(attempt, demand));
        } else {
            tracked.view.queued += 1;
            tracked
                .attempts
                .insert(id.clone(), TrackedAttempt::waiting(attempt, demand, now));
        }
        if let Some(view) = views.iter_mut().find(|view| view.name == worker) {
            view.clone_from(&tracked.view);
        }
        round.add_proposed(&id.customer, &task.spec.size);
        self.proposed.insert(id.clone(), (worker.clone(), now));
        out.push(DispatchAction::Append(Record::Claimed {
            task: id.clone(),
            attempt,
            worker,
            incarnation: tracked.lease.incarnation,
            token: tracked.lease.token,
            quota,
        }));
    }

    /// Pending tasks to look at: the first ones, and a part of the others in turn.
    ///
    /// Tasks that can't run at present may fill the beginning of the queue.
    fn pending(&mut self, ledger: &Ledger) -> Vec<(TaskId, Attempt)> {
        let first: Vec<&Task> = ledger.pending().take(SCAN).map(|(_, task)| task).collect();
        let from = self.scanned.take().or_else(|| Some(first.last()?.place()));
        let others = from
            .iter()
            .flat_map(|place| ledger.pending_after(place))
            .map(|(_, task)| task);
        let others: Vec<&Task> = others.take(SCAN).collect();
        if others.len() == SCAN {
            self.scanned = others.last().map(|task| task.place());
        }
        let tasks = first.into_iter().chain(others);
        let next = tasks.filter_map(|task| match task.phase {
            Phase::Pending { next } => Some((&task.spec.task, next)),
            _ => None,
        });
        next.filter(|(id, _)| !self.proposed.contains_key(*id))
            .map(|(id, next)| (id.clone(), next))
            .collect()
    }

    fn set_blocked(&mut self, id: &TaskId, reason: Option<Name>) {
        if let Some(reason) = reason {
            self.blocked.insert(id.clone(), reason);
        }
    }

    /// Declared sizes of this host's unread proposals by customer.
    fn proposed_sizes(&self, ledger: &Ledger) -> HashMap<Name, Size> {
        let mut sizes: HashMap<Name, Size> = HashMap::new();
        for task in self.proposed.keys().filter_map(|id| ledger.task(id)) {
            let sum = sizes.entry(task.spec.task.customer.clone()).or_default();
            *sum = sum.saturating_add(&task.spec.size);
        }
        sizes
    }

    /// Whether a claim of the task has to wait because its job failed on several workers.
    fn is_poison(&mut self, now: Millis, id: &TaskId) -> bool {
        if !self.quarantine.is_poison(id) {
            self.retried.remove(id);
            return false;
        }
        self.blocked.insert(
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
        if now.since(first) >= Millis(RANK_STEP.0 * hosts.len() as u64) {
            return true;
        }
        let order = rank(&id.to_string(), hosts);
        let position = order
            .iter()
            .position(|host| **host == self.host)
            .unwrap_or(order.len());
        now.since(first) >= Millis(RANK_STEP.0 * position as u64)
    }
}

/// What one round of claims knows besides the ledger.
struct Round {
    views: Vec<WorkerView>,
    /// Sizes, urgency and permission to wait of tasks for which no worker has room, and the reason
    /// if none can ever have it. Claims only take room, so an equal task of the same round is not
    /// tried.
    full: HashMap<(Size, Size, bool, bool), Option<Name>>,
    /// Declared sizes of unread proposals by customer.
    proposed: HashMap<Name, Size>,
}

impl Round {
    fn add_proposed(&mut self, customer: &Name, size: &Size) {
        let sum = self.proposed.entry(customer.clone()).or_default();
        *sum = sum.saturating_add(size);
    }
}

/// Whether a claim fits the customer's quota, this host's unread proposals included.
fn is_within(ledger: &Ledger, round: &Round, id: &TaskId, task: &Task, quota: &Size) -> bool {
    let proposed = round.proposed.get(&id.customer).copied();
    let claimed = ledger.claimed_size(&id.customer);
    let claimed = claimed.saturating_add(&proposed.unwrap_or(Size::ZERO));
    claimed.saturating_add(&task.spec.size).fits(quota)
}
