//! How a lease table hands leases over to other hosts.

use super::lease::LeaseTable;
use super::lease_entry::Entry;
use super::wire::HostKind;
use crate::base::{Millis, Name};

impl LeaseTable {
    /// Sets whether leases on workers may be offered to their preferred hosts.
    ///
    /// A new holder has to record in the log which claims it takes over before it starts them, so
    /// workers stay with their holders while the log is unreachable.
    pub fn set_worker_handover(&mut self, is_allowed: bool) {
        self.worker_handover = is_allowed;
    }

    /// Releases the leases on resources of this kind and lets other hosts acquire them first.
    ///
    /// Called when this host is cut off from its peers: they cannot know what runs on an instance
    /// until one of them holds its lease.
    pub fn relinquish(&mut self, now: Millis, kind: HostKind) {
        let mut names = Vec::new();
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.resource.kind == kind)
        {
            entry.defer_until = now + self.timing.relinquish_time;
            if let Some(lease) = &mut entry.lease {
                lease.is_releasing = true;
                names.push(entry.resource.name.clone());
            }
        }
        for name in names {
            self.schedule(&name, now);
        }
    }

    /// Stops acquiring leases and releases those that are held.
    pub fn drain(&mut self, now: Millis) {
        self.is_draining = true;
        let names: Vec<Name> = self.entries.keys().cloned().collect();
        for name in names {
            self.schedule(&name, now);
        }
    }

    /// Whether the table is draining and has no lease and no call in flight left.
    pub fn is_drained(&self) -> bool {
        let idle = |entry: &Entry| entry.lease.is_none() && entry.call.is_none();
        self.is_draining && self.entries.values().all(idle)
    }
}
