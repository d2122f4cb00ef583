//! State that a lease table keeps for each resource.

use crate::base::{Millis, Name, Token, rank};

use super::lease_action::Resource;

/// Hosts sorted by name, each with the time since which it has been a member without interruption.
#[derive(Debug, Default)]
pub(super) struct HostGroup(Vec<(Name, Millis)>);

impl HostGroup {
    /// Sets the members; returns whether they changed.
    pub(super) fn set(&mut self, now: Millis, hosts: &[Name]) -> bool {
        let mut next: Vec<(Name, Millis)> = hosts
            .iter()
            .map(|host| (host.clone(), self.member_since(host).unwrap_or(now)))
            .collect();
        next.sort();
        next.dedup_by(|a, b| a.0 == b.0);
        let changed = !next.iter().map(|m| &m.0).eq(self.names());
        self.0 = next;
        changed
    }

    pub(super) fn member_since(&self, host: &str) -> Option<Millis> {
        let index = self.0.binary_search_by(|m| (*m.0).cmp(host)).ok()?;
        Some(self.0[index].1)
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().map(|m| &m.0)
    }
}

/// What this host knows about one resource.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) resource: Resource,
    /// Whether the host list names the resource.
    pub(super) is_listed: bool,
    /// Position of this host in the rendezvous order of the resource; 0 is the preferred host.
    pub(super) rank: usize,
    pub(super) preferred_host: Option<Name>,
    pub(super) lease: Option<GrantedLease>,
    /// The call in flight.
    pub(super) call: Option<PendingCall>,
    /// Time of the next visit, which is the key of this entry in `LeaseTable::due`.
    pub(super) due: Option<Millis>,
    /// The incarnation that last granted or renewed a lease of this host.
    pub(super) incarnation: Option<u64>,
    pub(super) leaving: bool,
    /// Until this time only the resource itself can report that it is leaving.
    pub(super) notices_from: Millis,
    /// Number of consecutive calls without an answer.
    pub(super) failures: u32,
    /// When the first of these calls was issued.
    pub(super) unanswered_since: Option<Millis>,
    /// Since when no host is known to hold the lease.
    pub(super) unheld_since: Option<Millis>,
    /// Number of consecutive offers of the lease that the preferred host did not take.
    pub(super) declined_offers: u32,
    /// Whether this host released the lease for the preferred host and nobody has taken it yet.
    pub(super) is_offered: bool,
    /// The lease is not offered to the preferred host before this time.
    pub(super) keep_until: Millis,
    /// This host does not try to acquire the lease before this time.
    pub(super) defer_until: Millis,
}

/// A lease that was granted to this host.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantedLease {
    pub(super) token: Token,
    pub(super) incarnation: u64,
    /// A time before the call that granted or last renewed the lease was sent.
    pub(super) sent_at: Millis,
    pub(super) is_releasing: bool,
}

/// A lease call in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCall {
    pub(super) kind: CallKind,
    pub(super) issued_at: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Acquire,
    Renew,
    Release,
}

impl Entry {
    pub(super) fn new(resource: Resource) -> Self {
        Entry {
            resource,
            is_listed: true,
            rank: usize::MAX,
            preferred_host: None,
            lease: None,
            call: None,
            due: None,
            incarnation: None,
            leaving: false,
            notices_from: Millis(0),
            failures: 0,
            unanswered_since: None,
            unheld_since: None,
            declined_offers: 0,
            is_offered: false,
            keep_until: Millis(0),
            defer_until: Millis(0),
        }
    }

    /// Ranks the hosts of `group` for this resource.
    pub(super) fn update_rank(&mut self, host: &Name, group: &HostGroup) {
        let order = rank(&self.resource.name, group.names());
        let last = order.len();
        self.rank = order.iter().position(|&n| n == host).unwrap_or(last);
        self.preferred_host = order.first().map(|&n| n.clone());
    }

    /// Ends the call in flight because its answer has arrived, and returns it.
    pub(super) fn finish_call(&mut self) -> Option<PendingCall> {
        let call = self.call.take()?;
        self.failures = 0;
        self.unanswered_since = None;
        Some(call)
    }

    /// Records that another host holds the lease.
    pub(super) fn mark_held(&mut self) {
        self.unheld_since = None;
        self.is_offered = false;
        self.declined_offers = 0;
        self.keep_until = Millis(0);
    }

    /// Drops a lease that has expired by this host's clock, whether or not it is being released.
    pub(super) fn drop_expired(&mut self, now: Millis, ttl: Millis) {
        if self
            .lease
            .is_some_and(|lease| now.since(lease.sent_at) >= ttl)
        {
            self.lease = None;
        }
    }
}
