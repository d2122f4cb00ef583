//! Slots of the instances that this host owns.

use std::collections::{HashMap, HashSet};

use crate::base::{Millis, Name};

use super::types::OwnedInstance;

#[derive(Debug)]
struct Instance {
    info: OwnedInstance,
    /// Whether the lease was usable at the last update.
    usable: bool,
    /// Ids that this host sent and whose attempt has not ended.
    sent: HashSet<Name>,
    /// Ids that an earlier holder sent.
    inherited: HashSet<Name>,
    /// Time of the last refusal; nothing is sent until a later report arrives.
    refused: Option<Millis>,
}

impl Instance {
    fn limit(&self) -> u32 {
        if !self.usable || self.info.leaving {
            return 0;
        }
        self.info.slots.min(self.info.connections)
    }

    fn free(&self) -> u32 {
        if self.refused.is_some() {
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
    pub fn update(&mut self, owned: &[OwnedInstance]) -> Vec<(Name, Name, Millis)> {
        let mut inherited = Vec::new();
        self.suspend();
        for info in owned {
            self.update_one(info, &mut inherited);
        }
        self.by_name
            .retain(|_, instance| instance.usable || !instance.sent.is_empty());
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

    fn update_one(&mut self, info: &OwnedInstance, inherited: &mut Vec<(Name, Name, Millis)>) {
        let known = self.by_name.remove(&info.name);
        let taken_over = known.as_ref().is_none_or(|k| k.info.token != info.token);
        let mut instance = Instance {
            info: info.clone(),
            usable: true,
            sent: HashSet::new(),
            inherited: HashSet::new(),
            refused: None,
        };
        if let Some(known) = known {
            instance.sent = known.sent;
            instance.inherited = known.inherited;
            let recent = |at: &Millis| !taken_over && *at >= info.reported;
            instance.refused = known.refused.filter(recent);
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
            inherited.extend(new.map(|key| (key.clone(), info.name.clone(), info.reported)));
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

    /// The instance with the most free slots.
    pub fn pick(&self, service: &str) -> Option<&OwnedInstance> {
        let names = self.by_service.get(service)?;
        let instances = names.iter().filter_map(|name| self.by_name.get(name));
        instances
            .filter(|instance| instance.free() > 0)
            .max_by_key(|instance| instance.free())
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

    pub fn refuse(&mut self, now: Millis, name: &Name, key: &Name) {
        self.finish(name, key);
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.refused = Some(now);
        }
    }

    pub fn has_sent(&self, name: &Name, key: &Name) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|instance| instance.sent.contains(key))
    }

    /// Slots that can be used and how many of them are free.
    pub fn slots(&self, service: &str) -> (u32, u32) {
        let names = self.by_service.get(service).into_iter().flatten();
        let instances = names.filter_map(|name| self.by_name.get(name));
        instances.fold((0, 0), |(slots, free), instance| {
            (slots + instance.limit(), free + instance.free())
        })
    }

    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.by_service.keys()
    }
}
