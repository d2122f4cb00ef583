//! Detects services whose instances another host may be taking over.

use std::collections::HashMap;

use crate::base::{Millis, Name};

/// Tracks how long services have been without an instance on this host and its live peers.
#[derive(Debug, Default)]
pub(super) struct Takeovers {
    /// By service, the time at which this host or a live peer last had an instance of it.
    last_seen: HashMap<Name, Millis>,
}

impl Takeovers {
    /// Records that this host or a live peer has an instance of the service.
    pub fn instance_seen(&mut self, now: Millis, service: &Name) {
        match self.last_seen.get_mut(service) {
            Some(last_seen) => *last_seen = now,
            None => {
                self.last_seen.insert(service.clone(), now);
            }
        }
    }

    /// Whether the service had an instance less than `takeover_time` ago. For a service that had
    /// none yet the time starts at the first call, since this host has just started or the service
    /// is new.
    pub fn may_be_in_progress(
        &mut self,
        now: Millis,
        service: &Name,
        takeover_time: Millis,
    ) -> bool {
        let last_seen = *self.last_seen.entry(service.clone()).or_insert(now);
        now.since(last_seen) < takeover_time
    }
}
