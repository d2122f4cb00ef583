//! Takes requests from the admission queues.

use crate::base::{Millis, Name};

use super::types::{Refusal, UrgentAction};
use super::{AdmissionQueue, UrgentRouter};

impl UrgentRouter {
    /// Refuses the queued requests that can no longer meet their deadline and sends others to free
    /// slots.
    pub(super) fn drain_queue(&mut self, now: Millis, service: &Name, out: &mut Vec<UrgentAction>) {
        let mut expired = Vec::new();
        if let Some(queue) = self.queues.get_mut(service) {
            queue.expire(now, &mut expired);
        }
        for key in expired {
            self.refuse_run(now, &key, Refusal::Expired, out);
        }
        if self.instances.slots(now, service).0 == 0 {
            return self.clear_queue(now, service, out);
        }
        self.takeovers.instance_seen(now, service);
        while self.instances.pick(now, service, None).is_some() {
            let Some(key) = self.take_queued(service) else {
                return;
            };
            let avoid = self.runs.get(&key).and_then(|run| run.refused_by.as_ref());
            let instance = self.instances.pick(now, service, avoid).cloned();
            match instance {
                Some(instance) if !self.handover.is_blocked(&key) => {
                    self.send_run(now, &key, &instance, out);
                }
                _ => self.advance(now, &key, out),
            }
        }
    }

    /// Forwards the queued requests to a peer or refuses them, since this host has no instance of
    /// the service.
    ///
    /// They stay queued while no live peer has one either and a takeover may be in progress.
    fn clear_queue(&mut self, now: Millis, service: &Name, out: &mut Vec<UrgentAction>) {
        let handover = &self.handover;
        if self
            .peer_loads
            .shortest_wait(service, |host| handover.is_live(host))
            .is_some()
        {
            self.takeovers.instance_seen(now, service);
        } else if self
            .takeovers
            .may_be_in_progress(now, service, self.limits.takeover_time)
        {
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
