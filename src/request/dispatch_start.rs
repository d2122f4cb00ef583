//! Starts of claimed attempts.

use super::book::AttemptState;
use super::dispatch::{DispatchAction, DispatchView, Dispatcher};
use crate::base::{Attempt, Millis, Name, TaskId, Token};
use crate::connection::wire::StartRequest;
use crate::version::{Outcome, Phase, Record, Task};

/// A claim on the log.
#[derive(Debug, Clone, Copy)]
struct Claim {
    attempt: Attempt,
    incarnation: u64,
    token: Token,
}

impl Dispatcher {
    pub(super) fn start_claims(
        &mut self,
        now: Millis,
        view: &DispatchView<'_>,
        worker: &Name,
        out: &mut Vec<DispatchAction>,
    ) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.looked(view.ledger.claims_version(worker));
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
            self.advance(now, worker, &id, task, claim, out);
        }
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.plan_retry(now);
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
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let attempt = claim.attempt;
        let token = tracked.lease.token;
        // The claim belongs to a later holder: this host has lost the lease without learning it.
        if token < claim.token {
            return;
        }
        if self.reported.contains(&(id.clone(), attempt, token)) {
            return;
        }
        // The attempt has run; the next report tells how it ended.
        if tracked.ended.contains(&(id.clone(), attempt)) {
            return;
        }
        let is_other = tracked.lease.incarnation != claim.incarnation;
        let state = tracked.state(id, attempt);
        if is_other && !matches!(state, Some(AttemptState::Running)) {
            tracked.remove(id);
            let outcome = Outcome::Lost;
            let record = Record::Ended {
                task: id.clone(),
                attempt,
                outcome,
            };
            return self.finish(id, (attempt, token), record, out);
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
            return self.finish(id, (attempt, token), record, out);
        }
        if !tracked.reserve(now, id, attempt, demand) {
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
        let Some(tracked) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(tracked_attempt) = tracked.attempts.get_mut(id) else {
            return;
        };
        tracked_attempt.state = AttemptState::Starting;
        *self.unanswered.entry((id.clone(), attempt)).or_default() += 1;
        self.quarantine.started(now, worker);
        let request = StartRequest {
            token: tracked.lease.token,
            task: id.to_string(),
            attempt,
            class: task.spec.class.clone(),
            size: tracked_attempt.demand.size,
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
