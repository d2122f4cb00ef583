//! Answers of instances and peers, and what callers get.

use crate::base::{Millis, Name, Ran};

use super::run::Phase;
use super::types::{InstanceResult, Refusal, UrgentAction, UrgentAnswer};
use super::{UrgentRouter, memory};

impl UrgentRouter {
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
                self.instances.answer(&instance, key);
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.observe(now.since(at));
                }
                if status < 500 {
                    self.budget.deposit();
                }
                let answer = UrgentAnswer {
                    status,
                    ran: None,
                    body,
                };
                self.finish(now, key, answer, out);
            }
            InstanceResult::Refused => {
                run.charge = true;
                run.avoid = Some(instance.clone());
                self.instances
                    .refuse(&instance, key, now + self.limits.delay);
                self.advance(now, key, out);
            }
            InstanceResult::Broken => {
                run.charge = true;
                self.handover.block(key, &instance, now);
                self.give_up_unrepeatable(now, key, out);
                self.advance(now, key, out);
            }
        }
        self.drain_queue(now, &service, out);
    }

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
                self.peers.answered(&run.request.service, &host);
                self.forward_answered(now, key, host, answer, out);
            }
            Phase::Asking { host, .. } => {
                let host = host.clone();
                self.question_answered(now, key, host, answer, out);
            }
            _ => {}
        }
    }

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
            run.attempted = true;
            run.charge = true;
            run.uncertain = Some(host);
            self.give_up_unrepeatable(now, key, out);
            return self.advance(now, key, out);
        };
        match answer.ran {
            None => self.finish(now, key, answer, out),
            Some(Ran::NotRun) => {
                run.stay = true;
                // A peer that sent the request to an instance has used up an attempt.
                run.charge |= !answer.is_before_send();
                self.advance(now, key, out);
            }
            Some(Ran::Unknown) => self.peer_unsure(now, key, host, answer, out),
        }
    }

    /// Answers the callers of an at-most-once request whose attempt was interrupted. The run
    /// stays until the attempt is known to have ended.
    pub(super) fn give_up_unrepeatable(
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
        self.recent.insert(key, now + memory(&run.request));
        let answer = UrgentAnswer::refusal(Refusal::Interrupted, Ran::Unknown);
        self.answer_waiters(key, &answer, out);
    }

    /// Whether an attempt of the id may have run or be running.
    pub(super) fn ran(&self, key: &Name) -> Ran {
        let Some(run) = self.runs.get(key) else {
            return Ran::NotRun;
        };
        let may_be_running = run.attempted || run.uncertain.is_some();
        let is_unclear = matches!(run.phase, Phase::Held) && !run.request.idempotent;
        if may_be_running || is_unclear || self.handover.is_blocked(key) {
            return Ran::Unknown;
        }
        Ran::NotRun
    }

    /// Ends the run with a refusal that tells truthfully whether it may have run.
    pub(super) fn refuse_run(
        &mut self,
        now: Millis,
        key: &Name,
        refusal: Refusal,
        out: &mut Vec<UrgentAction>,
    ) {
        let sends = self.runs.get(key).map_or(0, |run| run.sends);
        let refusal = if sends > 0 {
            Refusal::RetriesExhausted
        } else {
            refusal
        };
        let answer = UrgentAnswer::refusal(refusal, self.ran(key));
        self.finish(now, key, answer, out);
    }

    pub(super) fn finish(
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
            self.recent.insert(key, now + memory(&run.request));
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
