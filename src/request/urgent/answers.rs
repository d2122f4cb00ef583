//! Answers of instances and peers, and the answers to callers.

use crate::base::{Millis, Name, Ran};

use super::run::Phase;
use super::types::{InstanceResult, Refusal, UrgentAction, UrgentAnswer};
use super::{UrgentRouter, remember_time};

impl UrgentRouter {
    /// Handles the outcome of an attempt on an instance.
    pub(super) fn run_answered(
        &mut self,
        now: Millis,
        key: &Name,
        result: InstanceResult,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Phase::Sent { instance, at, .. } = &run.phase else {
            return;
        };
        let (instance, at) = (instance.clone(), *at);
        let service = run.request.service.clone();
        match result {
            InstanceResult::Answer { status, body } => {
                self.instances.record_answer(&instance, key);
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.record_service_time(now.since(at));
                }
                if status < 500 {
                    self.budget.deposit();
                }
                let answer = UrgentAnswer {
                    status,
                    ran: None,
                    body,
                };
                self.finish_run(now, key, answer, out);
            }
            InstanceResult::Refused => {
                run.is_retry = true;
                run.refused_by = Some(instance.clone());
                self.instances
                    .record_refusal(&instance, key, now + self.limits.retry_delay);
                self.advance(now, key, out);
            }
            InstanceResult::Broken => {
                run.is_retry = true;
                self.handover.block(key, &instance, now);
                self.answer_interrupted(now, key, out);
                self.advance(now, key, out);
            }
        }
        self.drain_queue(now, &service, out);
    }

    /// Handles the answer of a peer to a forward or a question; `None` if the connection was lost.
    pub(super) fn run_peer_answered(
        &mut self,
        now: Millis,
        key: &Name,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if let Phase::Forwarded { host, .. } | Phase::Asking { host, .. } = &run.phase {
            if answer.is_none() {
                self.handover.advance_epoch(host);
            }
        }
        match &run.phase {
            Phase::Forwarded { host, .. } => {
                let host = host.clone();
                self.peer_loads.count_answer(&run.request.service, &host);
                self.forward_answered(now, key, host, answer, out);
            }
            Phase::Asking { host, .. } => {
                let host = host.clone();
                self.peer_question_answered(now, key, host, answer, out);
            }
            _ => {}
        }
    }

    /// Handles the answer of a peer to a forward; `None` if the connection was lost.
    pub(super) fn forward_answered(
        &mut self,
        now: Millis,
        key: &Name,
        host: Name,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(answer) = answer else {
            run.may_have_run = true;
            run.is_retry = true;
            run.possible_runner = Some(host);
            self.answer_interrupted(now, key, out);
            return self.advance(now, key, out);
        };
        match answer.ran {
            None => self.finish_run(now, key, answer, out),
            Some(Ran::NotRun) => {
                run.peer_refused = true;
                // If the peer had sent the request to an instance, the next attempt is a retry.
                run.is_retry |= !answer.is_before_send();
                self.advance(now, key, out);
            }
            Some(Ran::Unknown) => self.peer_outcome_unknown(now, key, host, answer, out),
        }
    }

    /// Answers the callers of an at-most-once request whose attempt was interrupted, since it
    /// cannot be repeated. The run remains until the attempt is known to have ended.
    pub(super) fn answer_interrupted(
        &mut self,
        now: Millis,
        key: &Name,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if run.request.idempotent {
            return;
        }
        self.recent_ids
            .insert(key, now + remember_time(&run.request));
        let answer = UrgentAnswer::refusal(Refusal::Interrupted, Ran::Unknown);
        self.answer_waiters(key, &answer, out);
    }

    /// Whether an attempt of the id may have run or may be running, for the answer to the callers.
    pub(super) fn ran(&self, key: &Name) -> Ran {
        let Some(run) = self.runs.get(key) else {
            return Ran::NotRun;
        };
        let attempt_possible = run.may_have_run || run.possible_runner.is_some();
        let outcome_unclear =
            matches!(run.phase, Phase::AwaitingReports) && !run.request.idempotent;
        if attempt_possible || outcome_unclear || self.handover.is_blocked(key) {
            return Ran::Unknown;
        }
        Ran::NotRun
    }

    /// Refuses the request and ends its run. The answer says whether an attempt may have run.
    pub(super) fn refuse_run(
        &mut self,
        now: Millis,
        key: &Name,
        refusal: Refusal,
        out: &mut Vec<UrgentAction>,
    ) {
        let attempts = self.runs.get(key).map_or(0, |run| run.attempts);
        let refusal = if attempts > 0 {
            Refusal::RetriesExhausted
        } else {
            refusal
        };
        let answer = UrgentAnswer::refusal(refusal, self.ran(key));
        self.finish_run(now, key, answer, out);
    }

    /// Answers all waiters and removes the run.
    pub(super) fn finish_run(
        &mut self,
        now: Millis,
        key: &Name,
        answer: UrgentAnswer,
        out: &mut Vec<UrgentAction>,
    ) {
        self.answer_waiters(key, &answer, out);
        self.set_phase(key, Phase::Paused);
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.unschedule(key, run.timer);
        if !run.request.idempotent && answer.ran != Some(Ran::NotRun) {
            self.recent_ids
                .insert(key, now + remember_time(&run.request));
        }
    }

    pub(super) fn answer_waiters(
        &mut self,
        key: &Name,
        answer: &UrgentAnswer,
        out: &mut Vec<UrgentAction>,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        for waiter in std::mem::take(&mut run.waiters) {
            self.tickets.remove(&waiter.ticket);
            out.push(UrgentAction::Answer {
                ticket: waiter.ticket,
                answer: answer.clone(),
            });
        }
    }
}
