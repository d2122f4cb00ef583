//! Takes requests from the deadline queues.

use crate::base::{Millis, Name};

use super::types::{Refusal, UrgentAction};
use super::{AdmissionQueue, UrgentRouter};

impl UrgentRouter {
    /// Sends queued requests to free slots and drops those that are too late.
    pub(super) fn drain_queue(&mut self, now: Millis, service: &Name, out: &mut Vec<UrgentAction>) {
        let mut late = Vec::new();
        if let Some(queue) = self.queues.get_mut(service) {
            queue.expire(now, &mut late);
        }
        for key in late {
            self.refuse_run(now, &key, Refusal::Expired, out);
        }
        if self.instances.slots(now, service).0 == 0 {
            return self.clear_queue(now, service, out);
        }
        self.changing.known(now, service);
        while self.instances.pick(now, service, None).is_some() {
            let Some(key) = self.take_queued(service) else {
                return;
            };
            let avoid = self.runs.get(&key).and_then(|run| run.avoid.as_ref());
            let instance = self.instances.pick(now, service, avoid).cloned();
            match instance {
                Some(instance) if !self.handover.is_blocked(&key) => {
                    self.send(now, &key, &instance, out);
                }
                _ => self.advance(now, &key, out),
            }
        }
    }

    /// Forwards queued requests, since this host has no instance, or refuses them once the
    /// instances can't be changing hands any more.
    fn clear_queue(&mut self, now: Millis, service: &Name, out: &mut Vec<UrgentAction>) {
        let handover = &self.handover;
        if self
            .peers
            .best(service, |host| handover.is_live(host))
            .is_some()
        {
            self.changing.known(now, service);
        } else if self.changing.is_recent(now, service, self.limits.takeover) {
            return;
        }
        let queued: Vec<Name> = std::iter::from_fn(|| self.take_queued(service)).collect();
        for key in queued {
            self.advance(now, &key, out);
        }
    }

    fn take_queued(&mut self, service: &Name) -> Option<Name> {
        self.queues.get_mut(service).and_then(AdmissionQueue::take)
    }
}
