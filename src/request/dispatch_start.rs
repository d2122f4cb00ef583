//! Starts the claimed attempts of a held worker.

use super::dispatch::{DispatchAction, DispatchView, Dispatcher};
use super::tracked_worker::AttemptState;
use crate::base::{Attempt, Millis, Name, TaskId, Token};
use crate::connection::wire::StartRequest;
use crate::version::{Outcome, Phase, Record, Task};

/// A claim that was read from the log.
#[derive(Debug, Clone, Copy)]
struct Claim {
    attempt: Attempt,
    incarnation: u64,
    token: Token,
}

impl Dispatcher {
    /// Advances every claim on the worker and sets the time of its next retry.
    pub(super) fn advance_claims(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        worker: &Name,
        out: &mut Vec<DispatchAction>,
    ) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.claims_checked(view.ledger.claims_version(worker));
        }
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
            self.advance_claim(now, worker, &id, task, claim, out);
        }
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.schedule_retry(now);
        }
    }

    /// Advances one claim: adopts it, starts its attempt, repeats a start, or ends the attempt.
    fn advance_claim(
        &mut self,
        now: Millis,
        worker: &Name,
        id: &TaskId,
        task: &Task,
        claim: Claim,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let attempt = claim.attempt;
        let token = tracked.lease.token;
        // The claim is of a later lease: this host has lost its own and not learned of it yet.
        if token < claim.token {
            return;
        }
        if self.appended_ends.contains(&(id.clone(), attempt, token)) {
            return;
        }
        // The attempt has already run; the next report says how it ended.
        if tracked.reported_ends.contains(&(id.clone(), attempt)) {
            return;
        }
        let is_other_incarnation = tracked.lease.incarnation != claim.incarnation;
        let state = tracked.attempt_state(id, attempt);
        if is_other_incarnation && !matches!(state, Some(AttemptState::Running)) {
            tracked.remove(id);
            let outcome = Outcome::Lost;
            let record = Record::Ended {
                task: id.clone(),
                attempt,
                outcome,
            };
            return self.append_end(id, (attempt, token), record, out);
        }
        match state {
            Some(AttemptState::Starting | AttemptState::Running) => {}
            Some(AttemptState::Unconfirmed { retry }) if now < retry => {}
            Some(AttemptState::Unconfirmed { .. }) => {
                self.send_start(now, worker, id, task, attempt, out)
            }
            Some(AttemptState::Proposed | AttemptState::Waiting { .. }) | None
                if token != claim.token =>
            {
                self.adopt(worker, id, attempt, token, out);
            }
            Some(AttemptState::Proposed | AttemptState::Waiting { .. }) | None => {
                self.reserve_and_start(now, worker, id, task, attempt, out);
            }
        }
    }

    /// Appends the adoption of a claim that was made under an earlier lease. The attempt starts
    /// once the adoption is read back.
    ///
    /// The earlier holder may still append a `Released` for the claim; whichever record comes first
    /// on the log takes effect.
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

    /// Starts an attempt that fits its worker, or releases a claim that is not to be started.
    fn reserve_and_start(
        &mut self,
        now: Millis,
        worker: &Name,
        id: &TaskId,
        task: &Task,
        attempt: Attempt,
        out: &mut Vec<DispatchAction>,
    ) {
        let demand = self.demand(task);
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        if (task.cancelled || tracked.lease.leaving) && tracked.may_release(id) {
            tracked.remove(id);
            let token = tracked.lease.token;
            let record = Record::Released {
                task: id.clone(),
                attempt,
                token,
            };
            return self.append_end(id, (attempt, token), record, out);
        }
        if !tracked.reserve(now, id, attempt, demand) {
            return;
        }
        self.send_start(now, worker, id, task, attempt, out);
    }

    /// Sends the start of an attempt whose size is reserved.
    fn send_start(
        &mut self,
        now: Millis,
        worker: &Name,
        id: &TaskId,
        task: &Task,
        attempt: Attempt,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(known) = tracked.attempts.get_mut(id) else {
            return;
        };
        known.state = AttemptState::Starting;
        *self
            .unanswered_starts
            .entry((id.clone(), attempt))
            .or_default() += 1;
        self.quarantine.started(now, worker);
        let request = StartRequest {
            token: tracked.lease.token,
            task: id.to_string(),
            attempt,
            class: task.spec.class.clone(),
            size: known.demand.size,
            run: task.spec.run,
            checkpoint: task.checkpoint.clone(),
        };
        out.push(DispatchAction::Start {
            worker: worker.clone(),
            address: tracked.address.clone(),
            task: id.clone(),
            request,
        });
    }
}
