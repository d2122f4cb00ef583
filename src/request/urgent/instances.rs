//! Slots of the instances that this host owns.

use std::collections::{HashMap, HashSet};

use crate::base::{Millis, Name};

use super::types::OwnedInstance;

/// Refusals in a row after which an instance is paused. A pause after each single one would cost
/// most of the capacity of instances that are busy only now and then.
const REFUSALS: u32 = 5;

#[derive(Debug)]
struct Instance {
    info: OwnedInstance,
    /// Whether the lease was usable at the last update.
    usable: bool,
    /// Since when the lease has been usable without a break.
    since: Millis,
    /// Ids that this host sent and whose attempt has not ended.
    sent: HashSet<Name>,
    /// Ids that an earlier holder sent.
    inherited: HashSet<Name>,
    /// Refusals since the last answer.
    refusals: u32,
    /// Nothing is sent before this time, since the instance refuses requests.
    paused: Millis,
}

impl Instance {
    fn limit(&self) -> u32 {
        if !self.usable || self.info.leaving {
            return 0;
        }
        self.info.slots.min(self.info.connections)
    }

    fn free(&self, now: Millis) -> u32 {
        if now < self.paused {
            return 0;
        }
        let used = self.sent.len() + self.inherited.len();
        self.limit().saturating_sub(used as u32)
    }
}

#[derive(Debug, Default)]
pub(super) struct Instances {
    by_name: HashMap<Name, Instance>,
    by_service: HashMap<Name, Vec<Name>>,
}

impl Instances {
    /// Replaces the owned instances; returns the ids that earlier holders left running.
    pub fn update(&mut self, now: Millis, owned: &[OwnedInstance]) -> Vec<(Name, Name, Millis)> {
        let mut inherited = Vec::new();
        let mut before = std::mem::take(&mut self.by_name);
        for info in owned {
            let known = before.remove(&info.name);
            self.update_one(now, info, known, &mut inherited);
        }
        before.retain(|_, instance| !instance.sent.is_empty());
        for instance in before.values_mut() {
            instance.usable = false;
        }
        self.by_name.extend(before);
        self.by_service.clear();
        for (name, instance) in &self.by_name {
            let names = self.by_service.entry(instance.info.service.clone());
            names.or_default().push(name.clone());
        }
        for names in self.by_service.values_mut() {
            names.sort_unstable();
        }
        inherited
    }

    fn update_one(
        &mut self,
        now: Millis,
        info: &OwnedInstance,
        known: Option<Instance>,
        inherited: &mut Vec<(Name, Name, Millis)>,
    ) {
        let taken_over = known.as_ref().is_none_or(|k| k.info.token != info.token);
        let mut instance = Instance {
            info: info.clone(),
            usable: true,
            since: now,
            sent: HashSet::new(),
            inherited: HashSet::new(),
            refusals: 0,
            paused: Millis(0),
        };
        if let Some(known) = known {
            if known.usable && !taken_over {
                instance.since = known.since;
            }
            instance.sent = known.sent;
            instance.inherited = known.inherited;
            if !taken_over {
                instance.refusals = known.refusals;
                instance.paused = known.paused;
            }
        }
        let listed: HashSet<&Name> = info.running.iter().collect();
        // The token fences earlier holders, so under one token this set only shrinks. Ids of our
        // own that a lagging report still lists are not counted again.
        if taken_over {
            instance.inherited = info.running.iter().cloned().collect();
            instance
                .inherited
                .retain(|key| !instance.sent.contains(key));
            let new = instance.inherited.iter();
            inherited
                .extend(new.map(|key| (key.clone(), info.name.clone(), info.report_requested)));
        } else {
            instance.inherited.retain(|key| listed.contains(key));
        }
        instance.info.running = Vec::new();
        self.by_name.insert(info.name.clone(), instance);
    }

    /// Sends nothing to any instance until the next update.
    pub fn suspend(&mut self) {
        for instance in self.by_name.values_mut() {
            instance.usable = false;
        }
    }

    /// The instance with the most free slots; `avoid` only if no other has one.
    pub fn pick(&self, now: Millis, service: &str, avoid: Option<&Name>) -> Option<&OwnedInstance> {
        let names = self.by_service.get(service)?;
        let instances = names.iter().filter_map(|name| self.by_name.get(name));
        instances
            .filter(|instance| instance.free(now) > 0)
            .max_by_key(|instance| (avoid != Some(&instance.info.name), instance.free(now)))
            .map(|instance| &instance.info)
    }

    pub fn start(&mut self, name: &Name, key: &Name) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.sent.insert(key.clone());
        }
    }

    /// The attempt of `key` has ended; its slot is free.
    pub fn finish(&mut self, name: &Name, key: &Name) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.sent.remove(key);
            instance.inherited.remove(key);
        }
    }

    /// The instance answered, so that it takes requests.
    pub fn answer(&mut self, name: &Name, key: &Name) {
        self.finish(name, key);
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.refusals = 0;
        }
    }

    /// The instance refused `key`; if it refuses all requests, nothing is sent before `until`.
    pub fn refuse(&mut self, name: &Name, key: &Name, until: Millis) {
        self.finish(name, key);
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.refusals += 1;
            if instance.refusals >= REFUSALS {
                instance.paused = until;
            }
        }
    }

    pub fn has_sent(&self, name: &Name, key: &Name) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|instance| instance.sent.contains(key))
    }

    /// Slots that can be used and how many of them are free.
    pub fn slots(&self, now: Millis, service: &str) -> (u32, u32) {
        let names = self.by_service.get(service).into_iter().flatten();
        let instances = names.filter_map(|name| self.by_name.get(name));
        instances.fold((0, 0), |(slots, free), instance| {
            (slots + instance.limit(), free + instance.free(now))
        })
    }

    /// Since when this host has held some instance without a break.
    pub fn presence(&self) -> Option<Millis> {
        let usable = self.by_name.values().filter(|instance| instance.usable);
        usable.map(|instance| instance.since).min()
    }

    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.by_service.keys()
    }
}
