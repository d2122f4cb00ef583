//! Claims pending tasks for workers and releases claims that wait too long.

use std::collections::HashMap;

use super::dispatch::{DispatchAction, DispatchView, Dispatcher};
use super::placement::{NoFit, Placer, WorkerView};
use super::tracked_worker::{AttemptState, TrackedAttempt};
use crate::base::{Attempt, Millis, Name, Size, TaskId, rank};
use crate::version::{Ledger, Phase, QuotaCheck, Record, Task};

/// Pending tasks that one round checks at the head of the queue, and as many further back.
const SCAN_SIZE: usize = 256;
/// Time in ms between two checks of the waiting claims.
const RELEASE_INTERVAL: Millis = Millis(1_000);
/// Waiting claims after which one check stops; the next check continues with the next worker.
const MAX_RELEASE_CHECKS: usize = 64;
/// Time in ms to the next round of claims after a round that claimed no task.
const IDLE_CLAIM_INTERVAL: Millis = Millis(250);
/// Maximum number of claims that this host has proposed and not read back yet.
const MAX_PROPOSED: usize = 512;
/// Hosts are ranked for each task, and each rank waits this many ms longer before it claims it.
const RANK_STEP: Millis = Millis(500);
/// Time in ms between two claims of a task whose job failed on several workers.
const POISON_JOB_RETRY: Millis = Millis(60_000);
/// Age in ms at which a waiting claim is released if another worker has free capacity.
const RELEASE_AGE: Millis = Millis(10_000);
/// Age in ms at which a waiting claim is released in any case, because a worker that another host
/// holds may have free capacity. Each release and new claim adds about 130 bytes to the log, so a
/// full data centre must not repeat them often.
const MAX_WAIT_AGE: Millis = Millis(120_000);

impl Dispatcher {
    /// Releases claims that wait for capacity on their worker while another worker has it, and
    /// claims that have waited for `MAX_WAIT_AGE`.
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
        let is_unchecked = |name: &Name| from.as_ref().is_none_or(|from| name >= from);
        let mut overdue = Vec::new();
        for (name, tracked) in self.workers.iter().filter(|(name, _)| is_unchecked(name)) {
            if overdue.len() >= MAX_RELEASE_CHECKS {
                self.release_from = Some(name.clone());
                break;
            }
            if tracked.view.queued == 0 {
                continue;
            }
            for (id, known) in tracked
                .attempts
                .iter()
                .filter(|(_, known)| !known.may_still_start)
            {
                if let AttemptState::Waiting { since } = known.state {
                    if now.since(since) >= RELEASE_AGE {
                        let is_expired = now.since(since) >= MAX_WAIT_AGE;
                        let entry = (name.clone(), tracked.lease.token, id.clone());
                        overdue.push((entry, known.clone(), is_expired));
                    }
                }
            }
        }
        if overdue.is_empty() {
            return;
        }
        let views = self.worker_views();
        for ((worker, token, id), known, is_expired) in overdue {
            let is_claimed = ledger.task(&id).is_some_and(|task| {
                matches!(task.phase, Phase::Claimed { attempt, token: claimed, .. }
                    if attempt == known.attempt && claimed == token)
            });
            let choice = self.placer.choose(now, &known.demand, &views);
            let fits_elsewhere = choice.is_ok_and(|chosen| chosen != worker);
            if is_claimed && (fits_elsewhere || is_expired) {
                if let Some(tracked) = self.workers.get_mut(&worker) {
                    tracked.remove(&id);
                }
                let record = Record::Released {
                    task: id.clone(),
                    attempt: known.attempt,
                    token,
                };
                self.append_end(&id, (known.attempt, token), record, out);
            }
        }
    }

    /// Runs one round of claims: proposes a claim for each pending task that fits a worker.
    pub(super) fn claim_pending(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        out: &mut Vec<DispatchAction>,
    ) {
        if now < self.next_claim_round {
            return;
        }
        let candidates = self.scan_pending(view.ledger);
        if candidates.is_empty() {
            return;
        }
        let mut round = ClaimRound {
            views: self.worker_views(),
            rejected: HashMap::new(),
            proposed: self.proposed_sizes(view.ledger),
        };
        let before = out.len();
        for (id, attempt) in candidates {
            if self.proposed.len() >= MAX_PROPOSED {
                return;
            }
            if self.proposed.contains_key(&id) {
                continue;
            }
            let first_seen = *self.first_seen.entry(id.clone()).or_insert(now);
            if self.is_poison_delayed(now, &id)
                || !self.has_rank_delay_passed(now, first_seen, &id, view.hosts)
            {
                continue;
            }
            let Some(task) = view.ledger.task(&id) else {
                continue;
            };
            // A customer without a contract in force gets no new claims.
            let Some(quota) = view.quotas.get(&id.customer).copied() else {
                continue;
            };
            if !is_within_quota(view.ledger, &round, &id, task, &quota) {
                continue;
            }
            let check = view.ledger.quota_check(&task.spec, quota);
            // A claim may wait for capacity only after every host had time to place the task on a
            // worker with free capacity.
            let all_ranks_delay = RANK_STEP.0 * view.hosts.len() as u64;
            let may_wait = now.since(first_seen) >= Millis(all_ranks_delay);
            self.propose(now, &id, task, (attempt, check, may_wait), &mut round, out);
        }
        if out.len() == before {
            self.next_claim_round = now + IDLE_CLAIM_INTERVAL;
        }
    }

    /// Proposes a claim of the task if a worker has capacity for it, or can queue it.
    fn propose(
        &mut self,
        now: Millis,
        id: &TaskId,
        task: &Task,
        (attempt, quota, may_wait): (Attempt, QuotaCheck, bool),
        round: &mut ClaimRound,
        out: &mut Vec<DispatchAction>,
    ) {
        let mut demand = self.demand(task);
        let key = (demand.size, task.spec.size, demand.urgent, may_wait);
        if let Some(reason) = round.rejected.get(&key) {
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
                round.rejected.insert(key, None);
                return;
            }
            Err(NoFit::Never { reason }) => {
                let reason: Name = reason.to_string().into();
                round.rejected.insert(key, Some(reason.clone()));
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

    /// Pending tasks to check: the first ones, and the next part of the rest of the queue.
    ///
    /// Without the second part, tasks that can't run would block the queue from its head.
    fn scan_pending(&mut self, ledger: &Ledger) -> Vec<(TaskId, Attempt)> {
        let first: Vec<&Task> = ledger
            .pending()
            .take(SCAN_SIZE)
            .map(|(_, task)| task)
            .collect();
        let from = self
            .scan_position
            .take()
            .or_else(|| Some(first.last()?.pending_position()));
        let others = from
            .iter()
            .flat_map(|place| ledger.pending_after(place))
            .map(|(_, task)| task);
        let others: Vec<&Task> = others.take(SCAN_SIZE).collect();
        if others.len() == SCAN_SIZE {
            self.scan_position = others.last().map(|task| task.pending_position());
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

    /// Declared sizes of this host's proposed claims, summed by customer.
    fn proposed_sizes(&self, ledger: &Ledger) -> HashMap<Name, Size> {
        let mut sizes: HashMap<Name, Size> = HashMap::new();
        for task in self.proposed.keys().filter_map(|id| ledger.task(id)) {
            let sum = sizes.entry(task.spec.task.customer.clone()).or_default();
            *sum = sum.saturating_add(&task.spec.size);
        }
        sizes
    }

    /// Whether the task may not be claimed now because its job failed on several workers.
    fn is_poison_delayed(&mut self, now: Millis, id: &TaskId) -> bool {
        if !self.quarantine.is_poison(id) {
            self.last_retry.remove(id);
            return false;
        }
        self.blocked.insert(
            id.clone(),
            "the job failed to start on several workers".into(),
        );
        let last = *self.last_retry.entry(id.clone()).or_insert(now);
        if now.since(last) < POISON_JOB_RETRY {
            return true;
        }
        self.last_retry.insert(id.clone(), now);
        false
    }

    /// Whether this host has waited long enough, according to its rank for the task, to claim it.
    fn has_rank_delay_passed(
        &self,
        now: Millis,
        first_seen: Millis,
        id: &TaskId,
        hosts: &[Name],
    ) -> bool {
        if now.since(first_seen) >= Millis(RANK_STEP.0 * hosts.len() as u64) {
            return true;
        }
        let order = rank(&id.to_string(), hosts);
        let position = order
            .iter()
            .position(|host| **host == self.host)
            .unwrap_or(order.len());
        now.since(first_seen) >= Millis(RANK_STEP.0 * position as u64)
    }
}

/// State of one round of claims.
struct ClaimRound {
    views: Vec<WorkerView>,
    /// Tasks that no worker could take: estimated size, declared size, whether the task is urgent
    /// and whether it may wait; with the reason if no worker can ever take it. Free capacity only
    /// shrinks during a round, so an equal task is not tried again.
    rejected: HashMap<(Size, Size, bool, bool), Option<Name>>,
    /// Declared sizes of proposed claims, summed by customer.
    proposed: HashMap<Name, Size>,
}

impl ClaimRound {
    fn add_proposed(&mut self, customer: &Name, size: &Size) {
        let sum = self.proposed.entry(customer.clone()).or_default();
        *sum = sum.saturating_add(size);
    }
}

/// Whether a claim fits the customer's quota beside the claims that this host has proposed.
fn is_within_quota(
    ledger: &Ledger,
    round: &ClaimRound,
    id: &TaskId,
    task: &Task,
    quota: &Size,
) -> bool {
    let proposed = round.proposed.get(&id.customer).copied();
    let claimed = ledger.claimed_size(&id.customer);
    let claimed = claimed.saturating_add(&proposed.unwrap_or(Size::ZERO));
    claimed.saturating_add(&task.spec.size).fits(quota)
}
