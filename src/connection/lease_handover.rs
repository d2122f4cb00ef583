//! How a lease table gives its leases to other hosts.

use super::lease::LeaseTable;
use super::lease_entry::Entry;
use super::wire::HostKind;
use crate::base::{Millis, Name};

impl LeaseTable {
    /// Sets whether workers may be offered to preferred hosts.
    ///
    /// A new holder records on the log that it takes over claims before it starts them, so workers
    /// stay where they are while the log is out of reach.
    pub fn set_worker_handover(&mut self, offers: bool) {
        self.offers = offers;
    }

    /// Releases the leases on resources of this kind and lets other hosts try first.
    ///
    /// A host that is cut off from its peers does so: the others can't know what runs on an
    /// instance until one of them holds it.
    pub fn relinquish(&mut self, now: Millis, kind: HostKind) {
        let mut names = Vec::new();
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.resource.kind == kind)
        {
            entry.defer = now + self.timing.relinquish;
            if let Some(lease) = &mut entry.lease {
                lease.releasing = true;
                names.push(entry.resource.name.clone());
            }
        }
        for name in names {
            self.schedule(&name, now);
        }
    }

    /// Stops taking leases and releases those held.
    pub fn drain(&mut self, now: Millis) {
        self.draining = true;
        let names: Vec<Name> = self.entries.keys().cloned().collect();
        for name in names {
            self.schedule(&name, now);
        }
    }

    /// Whether a draining table has neither a lease nor a call in flight.
    pub fn is_drained(&self) -> bool {
        let idle = |entry: &Entry| entry.lease.is_none() && entry.call.is_none();
        self.draining && self.entries.values().all(idle)
    }
}
