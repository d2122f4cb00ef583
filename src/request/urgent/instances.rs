//! Instances whose lease this host holds, and the use of their slots.

use std::collections::{HashMap, HashSet};

use crate::base::{Millis, Name};

use super::types::OwnedInstance;

/// Number of consecutive refusals after which an instance gets no requests for a while. A pause
/// after each refusal would waste most of the capacity of instances that refuse only occasionally.
const MAX_REFUSALS: u32 = 5;

/// Instance with the ids that use its slots.
#[derive(Debug)]
struct Instance {
    info: OwnedInstance,
    /// Whether this host could use the lease at the latest update.
    is_usable: bool,
    /// Time since which this host has been able to use the lease without interruption.
    usable_since: Millis,
    /// Ids that this host sent and whose attempt may still be running.
    sent: HashSet<Name>,
    /// Ids that an earlier holder of the lease sent and that may still be running.
    recovered: HashSet<Name>,
    /// Refusals since the last answer.
    refusals: u32,
    /// Time before which the instance gets no requests, since it refused several in a row.
    paused_until: Millis,
}

impl Instance {
    /// Number of slots that this host may use.
    fn usable_slots(&self) -> u32 {
        if !self.is_usable || self.info.leaving {
            return 0;
        }
        self.info.slots.min(self.info.connections)
    }

    /// Number of slots that a request can be sent to now.
    fn free(&self, now: Millis) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        let used = self.sent.len() + self.recovered.len();
        self.usable_slots().saturating_sub(used as u32)
    }
}

/// Instances that this host may use, and earlier ones on which its requests may still be running.
#[derive(Debug, Default)]
pub(super) struct Instances {
    by_name: HashMap<Name, Instance>,
    /// Names of the instances of each service, sorted.
    by_service: HashMap<Name, Vec<Name>>,
}

impl Instances {
    /// Replaces the owned instances. Returns the ids that earlier holders of a lease left running,
    /// with the instance and the time at which its report was requested.
    pub fn update(&mut self, now: Millis, owned: &[OwnedInstance]) -> Vec<(Name, Name, Millis)> {
        let mut recovered = Vec::new();
        let mut previous = std::mem::take(&mut self.by_name);
        for info in owned {
            let previous_state = previous.remove(&info.name);
            self.update_one(now, info, previous_state, &mut recovered);
        }
        previous.retain(|_, instance| !instance.sent.is_empty());
        for instance in previous.values_mut() {
            instance.is_usable = false;
        }
        self.by_name.extend(previous);
        self.by_service.clear();
        for (name, instance) in &self.by_name {
            let names = self.by_service.entry(instance.info.service.clone());
            names.or_default().push(name.clone());
        }
        for names in self.by_service.values_mut() {
            names.sort_unstable();
        }
        recovered
    }

    fn update_one(
        &mut self,
        now: Millis,
        info: &OwnedInstance,
        previous: Option<Instance>,
        recovered: &mut Vec<(Name, Name, Millis)>,
    ) {
        let has_new_token = previous
            .as_ref()
            .is_none_or(|previous| previous.info.token != info.token);
        let mut instance = Instance {
            info: info.clone(),
            is_usable: true,
            usable_since: now,
            sent: HashSet::new(),
            recovered: HashSet::new(),
            refusals: 0,
            paused_until: Millis(0),
        };
        if let Some(previous) = previous {
            if previous.is_usable && !has_new_token {
                instance.usable_since = previous.usable_since;
            }
            instance.sent = previous.sent;
            instance.recovered = previous.recovered;
            if !has_new_token {
                instance.refusals = previous.refusals;
                instance.paused_until = previous.paused_until;
            }
        }
        let listed: HashSet<&Name> = info.running.iter().collect();
        // The token fences earlier holders, so no id is added to `recovered` while it stays the
        // same. Ids in `sent` are already counted, even if the report lists them.
        if has_new_token {
            instance.recovered = info.running.iter().cloned().collect();
            instance
                .recovered
                .retain(|key| !instance.sent.contains(key));
            let recovered_keys = instance.recovered.iter();
            recovered.extend(
                recovered_keys.map(|key| (key.clone(), info.name.clone(), info.report_requested)),
            );
        } else {
            instance.recovered.retain(|key| listed.contains(key));
        }
        instance.info.running = Vec::new();
        self.by_name.insert(info.name.clone(), instance);
    }

    /// Makes all instances unusable until the next update.
    pub fn suspend(&mut self) {
        for instance in self.by_name.values_mut() {
            instance.is_usable = false;
        }
    }

    /// The instance of the service with the most free slots, or `None` if no slot is free. Returns
    /// `avoid` only if no other instance has a free slot.
    pub fn pick(&self, now: Millis, service: &str, avoid: Option<&Name>) -> Option<&OwnedInstance> {
        let names = self.by_service.get(service)?;
        let instances = names.iter().filter_map(|name| self.by_name.get(name));
        instances
            .filter(|instance| instance.free(now) > 0)
            .max_by_key(|instance| (avoid != Some(&instance.info.name), instance.free(now)))
            .map(|instance| &instance.info)
    }

    /// Records that `key` was sent to the instance.
    pub fn start_attempt(&mut self, name: &Name, key: &Name) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.sent.insert(key.clone());
        }
    }

    /// Records that the attempt of `key` has ended, which frees its slot.
    pub fn finish_attempt(&mut self, name: &Name, key: &Name) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.sent.remove(key);
            instance.recovered.remove(key);
        }
    }

    /// Records an answer to `key`, which ends a series of refusals.
    pub fn record_answer(&mut self, name: &Name, key: &Name) {
        self.finish_attempt(name, key);
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.refusals = 0;
        }
    }

    /// Records a refusal of `key`. After `MAX_REFUSALS` in a row the instance gets no requests
    /// before `until`.
    pub fn record_refusal(&mut self, name: &Name, key: &Name, until: Millis) {
        self.finish_attempt(name, key);
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.refusals += 1;
            if instance.refusals >= MAX_REFUSALS {
                instance.paused_until = until;
            }
        }
    }

    pub fn has_sent(&self, name: &Name, key: &Name) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|instance| instance.sent.contains(key))
    }

    /// Number of usable slots of the service, and how many of them are free.
    pub fn slots(&self, now: Millis, service: &str) -> (u32, u32) {
        let names = self.by_service.get(service).into_iter().flatten();
        let instances = names.filter_map(|name| self.by_name.get(name));
        instances.fold((0, 0), |(slots, free), instance| {
            (slots + instance.usable_slots(), free + instance.free(now))
        })
    }

    /// Earliest time since which this host has been able to use the lease of some instance without
    /// interruption.
    pub fn usable_since(&self) -> Option<Millis> {
        let usable_instances = self.by_name.values().filter(|instance| instance.is_usable);
        usable_instances.map(|instance| instance.usable_since).min()
    }

    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.by_service.keys()
    }
}
