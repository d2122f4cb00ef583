//! Planned stops: what a stopping host tells its peers about the requests that it ran.

use crate::base::{Millis, Name};

use super::run::Phase;
use super::{UrgentAction, UrgentRouter, sorted};

/// What a host that has stopped running requests knows about those that it ran.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Departure {
    /// Keys of the remembered ids of at-most-once classes, each with the time in ms for which it is
    /// still to be remembered.
    pub ids: Vec<(Name, Millis)>,
    /// Time in ms since ids were lost that this host should have remembered; `None` if it remembers
    /// all of them.
    pub loss_age: Option<Millis>,
    /// Whether no instance may be running a request for this host or for a host that it replaced.
    pub is_clear: bool,
}

impl UrgentRouter {
    /// Refuses all requests from now on, and returns what the peers must know before they run ids
    /// whose home was this host.
    ///
    /// Call this when nothing is in progress and no lease is held.
    pub fn depart(&mut self, now: Millis) -> Departure {
        self.departing = true;
        Departure {
            ids: self.recent_ids.remaining(now),
            loss_age: self.handover.ids_lost(now).map(|at| now.since(at)),
            is_clear: self.runs.is_empty() && self.relays.is_empty() && self.handover.is_clear(),
        }
    }

    /// Remembers ids that a departing peer ran or may have run.
    pub fn remember(&mut self, now: Millis, ids: &[(Name, Millis)]) {
        for (key, left) in ids {
            self.recent_ids.extend(key, now + *left);
        }
    }

    /// Records that the present process of `host` runs no requests any more and that all its recent
    /// ids were passed to `remember`. `departure.ids` is ignored.
    pub fn host_departed(
        &mut self,
        now: Millis,
        host: &Name,
        departure: &Departure,
        out: &mut Vec<UrgentAction>,
    ) {
        self.detect_suspension(now);
        self.handover.host_departed(now, host, departure);
        // The host still answers the messages that it has got, so none of them counts as lost.
        for key in sorted(self.runs.keys()) {
            self.recheck_run(now, &key, &[], out);
        }
    }

    /// Whether a message to `host` is unanswered.
    pub fn has_open_message(&self, host: &Name) -> bool {
        let is_run_there = |phase: &Phase| match phase {
            Phase::Forwarded { host: at, .. } | Phase::Asking { host: at, .. } => at == host,
            _ => false,
        };
        self.runs.values().any(|run| is_run_there(&run.phase))
            || self.relays.values().any(|relay| relay.is_sent_to(host))
    }
}
