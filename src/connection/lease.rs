//! Leases on workers and service instances that this host holds or tries to acquire.

use std::collections::{BTreeSet, HashMap};

use crate::base::{Millis, Name, Token};

use super::lease_action::{Grant, Lease, LeaseAction, Resource};
use super::lease_entry::{CallKind, Entry, GrantedLease, HostGroup, PendingCall};
use super::lease_timing::LeaseTiming;
use super::wire::{HeldLease, HostKind, LeaseRefusal};

/// Leases on all backend servers of one data centre, as seen by one entry host.
///
/// At most one call is in flight per resource, and `poll` visits only resources that are due.
#[derive(Debug)]
pub struct LeaseTable {
    pub(super) host: Name,
    pub(super) timing: LeaseTiming,
    pub(super) entries: HashMap<Name, Entry>,
    /// Time of the next visit of each resource that has no call in flight.
    pub(super) due: BTreeSet<(Millis, Name)>,
    pub(super) live_hosts: HostGroup,
    /// Live hosts that are up to date with the log.
    pub(super) up_to_date: HostGroup,
    /// Whether a host list that names at least one resource was read.
    has_list: bool,
    pub(super) is_draining: bool,
    /// Whether leases on workers may be offered to their preferred hosts.
    pub(super) worker_handover: bool,
}

impl LeaseTable {
    pub fn new(host: Name, timing: LeaseTiming) -> Self {
        LeaseTable {
            host,
            timing,
            entries: HashMap::new(),
            due: BTreeSet::new(),
            live_hosts: HostGroup::default(),
            up_to_date: HostGroup::default(),
            has_list: false,
            is_draining: false,
            worker_handover: true,
        }
    }

    /// Sets the backend servers of this data centre as the host list names them.
    ///
    /// A resource that disappears from the list counts as leaving while this host holds its lease.
    pub fn set_resources(&mut self, now: Millis, resources: Vec<Resource>) {
        for entry in self.entries.values_mut() {
            entry.is_listed = false;
        }
        self.has_list |= !resources.is_empty();
        for resource in resources {
            self.add_resource(now, resource);
        }
        let removed: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| !entry.is_listed && entry.lease.is_none() && entry.call.is_none())
            .map(|entry| entry.resource.name.clone())
            .collect();
        for name in removed {
            self.remove(&name);
        }
    }

    /// Sets the live entry hosts of this data centre, and those of them that are up to date with
    /// the log (`Membership::up_to_date_hosts`).
    ///
    /// Workers prefer a host that is up to date, or any live host if none is. Both lists include
    /// this host if it belongs to them.
    pub fn set_hosts(&mut self, now: Millis, live: &[Name], up_to_date: &[Name]) {
        let up_to_date = if up_to_date.is_empty() {
            live
        } else {
            up_to_date
        };
        let changed = self.live_hosts.set(now, live);
        if !self.up_to_date.set(now, up_to_date) && !changed {
            return;
        }
        let mut now_preferred = Vec::new();
        for entry in self.entries.values_mut() {
            let old_rank = entry.rank;
            let group = match entry.resource.kind {
                HostKind::Worker => &self.up_to_date,
                _ => &self.live_hosts,
            };
            entry.update_rank(&self.host, group);
            if entry.rank == 0 && old_rank != 0 && entry.lease.is_none() && entry.failures == 0 {
                now_preferred.push(entry.resource.name.clone());
            }
        }
        for name in now_preferred {
            self.schedule(&name, now);
        }
    }

    /// Adds the calls that are due to `actions`.
    ///
    /// `may_renew` returns whether the run leases of a worker may be renewed. `holder` returns the
    /// live peer that reports that it holds the lease on a resource, if there is one.
    pub fn poll(
        &mut self,
        now: Millis,
        may_renew: impl Fn(&Name) -> bool,
        holder: impl Fn(&Name) -> Option<Name>,
        actions: &mut Vec<LeaseAction>,
    ) {
        while self.due.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, name)) = self.due.pop_first() else {
                return;
            };
            self.visit(now, &name, &may_renew, &holder, actions);
        }
    }

    /// Time of the earliest visit that `poll` has to make.
    pub fn next_due(&self) -> Option<Millis> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Processes a 200 answer to `Acquire` or `Renew`. `sent_at` is a time before the call was
    /// sent.
    pub fn granted(
        &mut self,
        now: Millis,
        sent_at: Millis,
        name: &Name,
        token: Token,
        incarnation: u64,
        leaving: bool,
    ) -> Grant {
        let Some(entry) = self.entries.get_mut(name) else {
            return Grant::Ignored;
        };
        let Some(call) = entry.finish_call() else {
            return Grant::Ignored;
        };
        let restarted = entry.incarnation.is_some_and(|known| known != incarnation);
        // After a restart of the resource, a new token may by chance equal that of the old lease,
        // so a renewal proves nothing: the lease has to be acquired again.
        if call.kind == CallKind::Release || (call.kind == CallKind::Renew && restarted) {
            entry.lease = None;
            self.schedule(name, now);
            return Grant::Ignored;
        }
        if restarted && entry.leaving && !leaving {
            entry.notices_from = now + self.timing.notice_delay;
            entry.leaving = false;
        }
        entry.leaving |= leaving;
        entry.incarnation = Some(incarnation);
        let renewed = entry.lease.is_some_and(|lease| lease.token == token);
        if !renewed && entry.is_offered {
            entry.is_offered = false;
            entry.declined_offers += 1;
            let keep_time = self
                .timing
                .stable_time
                .0
                .saturating_mul(1 << entry.declined_offers.min(16));
            entry.keep_until = now + Millis(keep_time.min(self.timing.max_keep.0));
        }
        // `relinquish` may have been called while the renewal was in flight.
        let is_releasing = entry
            .lease
            .is_some_and(|lease| lease.is_releasing && lease.token == token);
        entry.unheld_since = None;
        entry.lease = Some(GrantedLease {
            token,
            incarnation,
            sent_at: sent_at.min(now),
            is_releasing,
        });
        let next = if self.is_draining || is_releasing {
            now
        } else {
            sent_at + self.timing.renew_interval
        };
        self.schedule(name, next);
        match (self.is_draining, renewed, restarted) {
            (true, _, _) => Grant::Ignored,
            (false, true, _) => Grant::Renewed,
            (false, false, true) => Grant::Restarted,
            (false, false, false) => Grant::New,
        }
    }

    /// Processes a 409 answer to any call.
    pub fn refused(&mut self, now: Millis, name: &Name, refusal: LeaseRefusal) {
        let renew_interval = self.timing.renew_interval;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let Some(call) = entry.finish_call() else {
            return;
        };
        entry.lease = None;
        let wait = match refusal {
            LeaseRefusal::Held { remaining, .. } => {
                entry.mark_held();
                // If the holder is dead, the lease can be acquired as soon as it expires.
                renew_interval.min(Millis(remaining + 1))
            }
            // Either the resource has restarted or another host holds the lease; the answer to
            // the next call tells which.
            LeaseRefusal::StaleToken if call.kind == CallKind::Renew => Millis(0),
            LeaseRefusal::StaleToken => renew_interval,
        };
        self.schedule(name, now + wait);
    }

    /// Processes a 200 answer to `Release`.
    pub fn released(&mut self, now: Millis, name: &Name) {
        let renew_interval = self.timing.renew_interval;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.finish_call().is_none() {
            return;
        }
        entry.lease = None;
        self.schedule(name, now + renew_interval);
    }

    /// Records that a call got no answer. The call may have taken effect.
    pub fn failed(&mut self, now: Millis, name: &Name) {
        let timing = self.timing;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let Some(call) = entry.call.take() else {
            return;
        };
        entry.unanswered_since.get_or_insert(call.issued_at);
        entry.drop_expired(now, timing.ttl);
        entry.failures = entry.failures.saturating_add(1);
        let wait = if entry.lease.is_some() {
            timing.retry_delay
        } else {
            let doubled = timing.renew_interval.0 << (entry.failures - 1).min(16);
            timing.max_backoff.min(Millis(doubled))
        };
        self.schedule(name, now + wait);
    }

    /// The lease on a resource, if this host may use it now.
    pub fn usable(&self, now: Millis, name: &str) -> Option<Lease> {
        if self.is_draining {
            return None;
        }
        self.usable_lease(now, self.entries.get(name)?)
    }

    /// All leases that this host may use now, sorted by name, for `Hello` messages.
    pub fn held(&self, now: Millis) -> Vec<HeldLease> {
        if self.is_draining {
            return Vec::new();
        }
        let mut held: Vec<HeldLease> = self
            .entries
            .values()
            .filter_map(|entry| {
                let lease = self.usable_lease(now, entry)?;
                Some(HeldLease {
                    resource: entry.resource.name.clone(),
                    token: lease.token,
                })
            })
            .collect();
        held.sort_by(|a, b| a.resource.cmp(&b.resource));
        held
    }

    /// Whether the resource must not get new work.
    pub fn is_leaving(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.leaving || !entry.is_listed)
    }

    /// Resources that are leaving, sorted by name, for `Hello` messages.
    pub fn leaving(&self) -> Vec<Name> {
        let leaving = self.entries.values().filter(|entry| entry.leaving);
        let mut names: Vec<Name> = leaving.map(|entry| entry.resource.name.clone()).collect();
        names.sort();
        names
    }

    /// Records that the host list or a peer reports the resource as leaving.
    ///
    /// A resource stays leaving until it restarts. Since the list and the peers lag, only the lease
    /// answers of the resource itself count for 30 s after a leaving resource has restarted.
    pub fn mark_leaving(&mut self, now: Millis, name: &str) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.leaving |= now >= entry.notices_from;
    }

    /// How long calls to the resource have gone unanswered; `None` if the last call was answered.
    pub fn unanswered_for(&self, now: Millis, name: &str) -> Option<Millis> {
        let unanswered_since = self.entries.get(name)?.unanswered_since?;
        Some(now.since(unanswered_since))
    }

    /// Whether a host list was read that does not name the resource, and this host does not hold
    /// its lease either.
    pub fn is_absent(&self, name: &str) -> bool {
        self.has_list && !self.entries.contains_key(name)
    }

    fn usable_lease(&self, now: Millis, entry: &Entry) -> Option<Lease> {
        let lease = entry.lease?;
        if lease.is_releasing || now.since(lease.sent_at) >= self.timing.usable_time() {
            return None;
        }
        Some(Lease {
            token: lease.token,
            incarnation: lease.incarnation,
            leaving: entry.leaving || !entry.is_listed,
        })
    }

    fn add_resource(&mut self, now: Millis, resource: Resource) {
        if let Some(entry) = self.entries.get_mut(&resource.name) {
            entry.resource = resource;
            entry.is_listed = true;
            return;
        }
        let name = resource.name.clone();
        let mut entry = Entry::new(resource);
        let group = match entry.resource.kind {
            HostKind::Worker => &self.up_to_date,
            _ => &self.live_hosts,
        };
        entry.update_rank(&self.host, group);
        self.entries.insert(name.clone(), entry);
        self.schedule(&name, now);
    }

    fn remove(&mut self, name: &Name) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        if let Some(due) = entry.due {
            self.due.remove(&(due, name.clone()));
        }
    }

    /// Schedules the next visit of the resource. While a call is in flight no visit is scheduled:
    /// the answer will schedule it.
    pub(super) fn schedule(&mut self, name: &Name, at: Millis) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if let Some(due) = entry.due.take() {
            self.due.remove(&(due, name.clone()));
        }
        if entry.call.is_some() {
            return;
        }
        entry.due = Some(at);
        self.due.insert((at, name.clone()));
    }

    fn visit(
        &mut self,
        now: Millis,
        name: &Name,
        may_renew: &impl Fn(&Name) -> bool,
        holder: &impl Fn(&Name) -> Option<Name>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.due = None;
        entry.drop_expired(now, self.timing.ttl);
        if let Some(lease) = entry.lease {
            let action = self.renew_or_release(now, name, lease, may_renew);
            actions.extend(action);
            return;
        }
        if !entry.is_listed {
            self.remove(name);
            return;
        }
        if self.is_draining {
            return;
        }
        match self.wait_time(now, name, holder) {
            Some(wait) => self.schedule(name, now + wait),
            None => actions.extend(self.acquire(now, name)),
        }
    }

    /// How long to wait before the next visit; `None` if this host should acquire the lease now.
    fn wait_time(
        &mut self,
        now: Millis,
        name: &Name,
        holder: &impl Fn(&Name) -> Option<Name>,
    ) -> Option<Millis> {
        let timing = self.timing;
        let entry = self.entries.get_mut(name)?;
        if entry.preferred_host.is_none() {
            return Some(timing.renew_interval);
        }
        if now < entry.defer_until {
            return Some(entry.defer_until - now);
        }
        if holder(name).is_some_and(|holder| holder != self.host) {
            entry.mark_held();
            // The preferred host checks more often, to notice soon when the holder releases the
            // lease.
            let quarter = Millis(timing.renew_interval.0 / 4);
            return Some(if entry.rank == 0 {
                quarter
            } else {
                timing.renew_interval
            });
        }
        if entry.rank == 0 {
            return None;
        }
        let since = *entry.unheld_since.get_or_insert(now);
        let standby_wait = Millis(timing.standby_delay.0.saturating_mul(entry.rank as u64));
        let remaining = standby_wait - now.since(since);
        (remaining > Millis(0)).then_some(remaining.min(timing.renew_interval))
    }

    fn acquire(&mut self, now: Millis, name: &Name) -> Option<LeaseAction> {
        let entry = self.entries.get_mut(name)?;
        entry.call = Some(PendingCall {
            kind: CallKind::Acquire,
            issued_at: now,
        });
        Some(LeaseAction::Acquire {
            resource: entry.resource.clone(),
        })
    }

    fn renew_or_release(
        &mut self,
        now: Millis,
        name: &Name,
        lease: GrantedLease,
        may_renew: &impl Fn(&Name) -> bool,
    ) -> Option<LeaseAction> {
        let draining = self.is_draining;
        let offer = self.should_offer(now, name);
        let entry = self.entries.get_mut(name)?;
        let release = draining || offer || lease.is_releasing;
        let kind = if release {
            CallKind::Release
        } else {
            CallKind::Renew
        };
        entry.call = Some(PendingCall {
            kind,
            issued_at: now,
        });
        let (resource, token) = (entry.resource.clone(), lease.token);
        if !release {
            let is_worker = resource.kind == HostKind::Worker;
            let renew_tasks = is_worker && may_renew(name);
            return Some(LeaseAction::Renew {
                resource,
                token,
                renew_tasks,
            });
        }
        entry.is_offered |= offer;
        entry.lease = Some(GrantedLease {
            is_releasing: true,
            ..lease
        });
        Some(LeaseAction::Release { resource, token })
    }

    /// Whether the lease should be offered to the preferred host.
    fn should_offer(&self, now: Millis, name: &Name) -> bool {
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        let Some(preferred) = &entry.preferred_host else {
            return false;
        };
        let must_stay = entry.resource.kind == HostKind::Worker && !self.worker_handover;
        if *preferred == self.host || now < entry.keep_until || must_stay {
            return false;
        }
        let group = match entry.resource.kind {
            HostKind::Worker => &self.up_to_date,
            _ => &self.live_hosts,
        };
        let since = group.member_since(preferred);
        since.is_some_and(|since| now.since(since) >= self.timing.stable_time)
    }
}
