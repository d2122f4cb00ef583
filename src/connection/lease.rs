//! Leases that this host holds, or tries to take, on workers and service instances.

use std::collections::{BTreeSet, HashMap};

use crate::base::{Millis, Name, Token};

use super::lease_action::{Grant, Lease, LeaseAction, Resource};
use super::lease_entry::{Call, CallKind, Entry, Group, Owned};
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
    pub(super) due: BTreeSet<(Millis, Name)>,
    pub(super) live: Group,
    pub(super) informed: Group,
    /// Whether a host list that names any resource was read.
    listed: bool,
    pub(super) draining: bool,
    /// Whether workers may be offered to preferred hosts.
    pub(super) offers: bool,
}

impl LeaseTable {
    pub fn new(host: Name, timing: LeaseTiming) -> Self {
        LeaseTable {
            host,
            timing,
            entries: HashMap::new(),
            due: BTreeSet::new(),
            live: Group::default(),
            informed: Group::default(),
            listed: false,
            draining: false,
            offers: true,
        }
    }

    /// Sets the backend servers of this data centre, from the host list.
    ///
    /// A resource that disappears from the list is kept as leaving while its lease is held.
    pub fn set_resources(&mut self, now: Millis, resources: Vec<Resource>) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        self.listed |= !resources.is_empty();
        for resource in resources {
            self.list(now, resource);
        }
        let gone: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| !entry.listed && entry.lease.is_none() && entry.call.is_none())
            .map(|entry| entry.resource.name.clone())
            .collect();
        for name in gone {
            self.remove(&name);
        }
    }

    /// Sets the live entry hosts of this data centre and those among them that know the log.
    ///
    /// `informed` is `Membership::up_to_date_hosts`: the order of workers ranges over these hosts, unless
    /// there is none. Both include this host if it belongs to them.
    pub fn set_hosts(&mut self, now: Millis, live: &[Name], informed: &[Name]) {
        let informed = if informed.is_empty() { live } else { informed };
        let changed = self.live.set(now, live);
        if !self.informed.set(now, informed) && !changed {
            return;
        }
        let mut wake = Vec::new();
        for entry in self.entries.values_mut() {
            let before = entry.rank;
            let group = match entry.resource.kind {
                HostKind::Worker => &self.informed,
                _ => &self.live,
            };
            entry.set_order(&self.host, group);
            if entry.rank == 0 && before != 0 && entry.lease.is_none() && entry.failures == 0 {
                wake.push(entry.resource.name.clone());
            }
        }
        for name in wake {
            self.schedule(&name, now);
        }
    }

    /// Collects the calls that are due.
    ///
    /// `may_renew` tells whether the run leases of a worker may be renewed, and `holder` which
    /// live peer reports that it holds a resource.
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

    /// Time of the next visit that `poll` has to make.
    pub fn next_due(&self) -> Option<Millis> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Takes a 200 answer to `Acquire` or `Renew`; `sent` is a time before the call was sent.
    pub fn granted(
        &mut self,
        now: Millis,
        sent: Millis,
        name: &Name,
        token: Token,
        incarnation: u64,
        leaving: bool,
    ) -> Grant {
        let Some(entry) = self.entries.get_mut(name) else {
            return Grant::Ignored;
        };
        let Some(call) = entry.answered() else {
            return Grant::Ignored;
        };
        let restarted = entry.incarnation.is_some_and(|known| known != incarnation);
        // A token of a former incarnation may equal a new one by chance; only a new grant counts.
        if call.kind == CallKind::Release || (call.kind == CallKind::Renew && restarted) {
            entry.lease = None;
            self.schedule(name, now);
            return Grant::Ignored;
        }
        if restarted && entry.leaving && !leaving {
            entry.notice = now + self.timing.notice;
            entry.leaving = false;
        }
        entry.leaving |= leaving;
        entry.incarnation = Some(incarnation);
        let renewed = entry.lease.is_some_and(|lease| lease.token == token);
        if !renewed && entry.offered {
            entry.offered = false;
            entry.declined += 1;
            let keep = self
                .timing
                .stable_time
                .0
                .saturating_mul(1 << entry.declined.min(16));
            entry.keep = now + Millis(keep.min(self.timing.keep.0));
        }
        // `relinquish` may have come while the renewal was under way.
        let releasing = entry
            .lease
            .is_some_and(|lease| lease.releasing && lease.token == token);
        entry.unheld = None;
        entry.lease = Some(Owned {
            token,
            incarnation,
            sent: sent.min(now),
            releasing,
        });
        let next = if self.draining || releasing {
            now
        } else {
            sent + self.timing.renew_interval
        };
        self.schedule(name, next);
        match (self.draining, renewed, restarted) {
            (true, _, _) => Grant::Ignored,
            (false, true, _) => Grant::Renewed,
            (false, false, true) => Grant::Restarted,
            (false, false, false) => Grant::New,
        }
    }

    /// Takes a 409 answer to any of the calls.
    pub fn refused(&mut self, now: Millis, name: &Name, refusal: LeaseRefusal) {
        let renew = self.timing.renew_interval;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let Some(call) = entry.answered() else {
            return;
        };
        entry.lease = None;
        let wait = match refusal {
            LeaseRefusal::Held { remaining, .. } => {
                entry.saw_holder();
                // The lease of a dead holder is taken as soon as it lapses.
                renew.min(Millis(remaining + 1))
            }
            // The resource restarted, or another host holds it: the next answer tells.
            LeaseRefusal::StaleToken if call.kind == CallKind::Renew => Millis(0),
            LeaseRefusal::StaleToken => renew,
        };
        self.schedule(name, now + wait);
    }

    /// Takes a 200 answer to `Release`.
    pub fn released(&mut self, now: Millis, name: &Name) {
        let renew = self.timing.renew_interval;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.answered().is_none() {
            return;
        }
        entry.lease = None;
        self.schedule(name, now + renew);
    }

    /// Takes note that a call got no answer; it may have taken effect.
    pub fn failed(&mut self, now: Millis, name: &Name) {
        let timing = self.timing;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let Some(call) = entry.call.take() else {
            return;
        };
        entry.unanswered.get_or_insert(call.made);
        entry.forget_lapsed(now, timing.ttl);
        entry.failures = entry.failures.saturating_add(1);
        let wait = if entry.lease.is_some() {
            timing.retry
        } else {
            let doubled = timing.renew_interval.0 << (entry.failures - 1).min(16);
            timing.backoff.min(Millis(doubled))
        };
        self.schedule(name, now + wait);
    }

    /// The lease on a resource, if it may be used now.
    pub fn usable(&self, now: Millis, name: &str) -> Option<Lease> {
        if self.draining {
            return None;
        }
        self.usable_entry(now, self.entries.get(name)?)
    }

    /// All leases that may be used now, for `Hello`, in order of name.
    pub fn held(&self, now: Millis) -> Vec<HeldLease> {
        if self.draining {
            return Vec::new();
        }
        let mut held: Vec<HeldLease> = self
            .entries
            .values()
            .filter_map(|entry| {
                let lease = self.usable_entry(now, entry)?;
                Some(HeldLease {
                    resource: entry.resource.name.clone(),
                    token: lease.token,
                })
            })
            .collect();
        held.sort_by(|a, b| a.resource.cmp(&b.resource));
        held
    }

    /// Whether the resource must get no new work.
    pub fn is_leaving(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.leaving || !entry.listed)
    }

    /// Resources that are leaving, for `Hello`, in order of name.
    pub fn leaving(&self) -> Vec<Name> {
        let leaving = self.entries.values().filter(|entry| entry.leaving);
        let mut names: Vec<Name> = leaving.map(|entry| entry.resource.name.clone()).collect();
        names.sort();
        names
    }

    /// Takes note that the host list or a peer calls the resource leaving.
    ///
    /// Leaving is permanent for the incarnation. The list and peers lag, so for 30 s after the
    /// restart of a leaving resource only its own lease answers count.
    pub fn mark_leaving(&mut self, now: Millis, name: &str) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.leaving |= now >= entry.notice;
    }

    /// How long calls to the resource have had no answer; `None` if the last one had.
    pub fn unanswered_for(&self, now: Millis, name: &str) -> Option<Millis> {
        let unanswered = self.entries.get(name)?.unanswered?;
        Some(now.since(unanswered))
    }

    /// Whether the host list is known, does not name the resource, and its lease is not held.
    pub fn is_absent(&self, name: &str) -> bool {
        self.listed && !self.entries.contains_key(name)
    }

    fn usable_entry(&self, now: Millis, entry: &Entry) -> Option<Lease> {
        let lease = entry.lease?;
        if lease.releasing || now.since(lease.sent) >= self.timing.usable() {
            return None;
        }
        Some(Lease {
            token: lease.token,
            incarnation: lease.incarnation,
            leaving: entry.leaving || !entry.listed,
        })
    }

    fn list(&mut self, now: Millis, resource: Resource) {
        if let Some(entry) = self.entries.get_mut(&resource.name) {
            entry.resource = resource;
            entry.listed = true;
            return;
        }
        let name = resource.name.clone();
        let mut entry = Entry::new(resource);
        let group = match entry.resource.kind {
            HostKind::Worker => &self.informed,
            _ => &self.live,
        };
        entry.set_order(&self.host, group);
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

    /// Visits the resource at `at`, unless a call is in flight; its answer schedules the next.
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
        entry.forget_lapsed(now, self.timing.ttl);
        if let Some(lease) = entry.lease {
            let action = self.keep_or_release(now, name, lease, may_renew);
            actions.extend(action);
            return;
        }
        if !entry.listed {
            self.remove(name);
            return;
        }
        if self.draining {
            return;
        }
        match self.wait(now, name, holder) {
            Some(wait) => self.schedule(name, now + wait),
            None => actions.extend(self.acquire(now, name)),
        }
    }

    /// How long to wait before looking again; `None` if this host should try now.
    fn wait(
        &mut self,
        now: Millis,
        name: &Name,
        holder: &impl Fn(&Name) -> Option<Name>,
    ) -> Option<Millis> {
        let timing = self.timing;
        let entry = self.entries.get_mut(name)?;
        if entry.preferred.is_none() {
            return Some(timing.renew_interval);
        }
        if now < entry.defer {
            return Some(entry.defer - now);
        }
        if holder(name).is_some_and(|holder| holder != self.host) {
            entry.saw_holder();
            // The preferred host notices soon that the holder has released the lease.
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
        let since = *entry.unheld.get_or_insert(now);
        let patience = Millis(timing.standby_delay.0.saturating_mul(entry.rank as u64));
        let left = patience - now.since(since);
        (left > Millis(0)).then_some(left.min(timing.renew_interval))
    }

    fn acquire(&mut self, now: Millis, name: &Name) -> Option<LeaseAction> {
        let entry = self.entries.get_mut(name)?;
        entry.call = Some(Call {
            kind: CallKind::Acquire,
            made: now,
        });
        Some(LeaseAction::Acquire {
            resource: entry.resource.clone(),
        })
    }

    fn keep_or_release(
        &mut self,
        now: Millis,
        name: &Name,
        lease: Owned,
        may_renew: &impl Fn(&Name) -> bool,
    ) -> Option<LeaseAction> {
        let draining = self.draining;
        let offer = self.should_offer(now, name);
        let entry = self.entries.get_mut(name)?;
        let release = draining || offer || lease.releasing;
        let kind = if release {
            CallKind::Release
        } else {
            CallKind::Renew
        };
        entry.call = Some(Call { kind, made: now });
        let (resource, token) = (entry.resource.clone(), lease.token);
        if !release {
            let worker = resource.kind == HostKind::Worker;
            let renew_tasks = worker && may_renew(name);
            return Some(LeaseAction::Renew {
                resource,
                token,
                renew_tasks,
            });
        }
        entry.offered |= offer;
        entry.lease = Some(Owned {
            releasing: true,
            ..lease
        });
        Some(LeaseAction::Release { resource, token })
    }

    /// Whether the lease should go to the preferred host.
    fn should_offer(&self, now: Millis, name: &Name) -> bool {
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        let Some(preferred) = &entry.preferred else {
            return false;
        };
        let stays = entry.resource.kind == HostKind::Worker && !self.offers;
        if *preferred == self.host || now < entry.keep || stays {
            return false;
        }
        let group = match entry.resource.kind {
            HostKind::Worker => &self.informed,
            _ => &self.live,
        };
        let since = group.since(preferred);
        since.is_some_and(|since| now.since(since) >= self.timing.stable_time)
    }
}
