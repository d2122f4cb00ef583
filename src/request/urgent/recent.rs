//! Remembered ids of at-most-once classes that ran or may have run.

use std::collections::{BTreeSet, HashMap};

use crate::base::{Millis, Name};

#[derive(Debug, Default)]
pub(super) struct RecentIds {
    expiry: HashMap<Name, Millis>,
    /// The same entries in order of expiry.
    by_expiry: BTreeSet<(Millis, Name)>,
}

impl RecentIds {
    /// Remembers an id until `expiry`.
    pub fn insert(&mut self, key: &Name, expiry: Millis) {
        if let Some(previous) = self.expiry.insert(key.clone(), expiry) {
            self.by_expiry.remove(&(previous, key.clone()));
        }
        self.by_expiry.insert((expiry, key.clone()));
    }

    /// Remembers an id at least until `expiry`.
    pub fn extend(&mut self, key: &Name, expiry: Millis) {
        if self.expiry.get(key).is_none_or(|known| *known < expiry) {
            self.insert(key, expiry);
        }
    }

    /// The ids in order of expiry, each with the time left until then.
    pub fn remaining(&self, now: Millis) -> Vec<(Name, Millis)> {
        let entries = self.by_expiry.iter().filter(|(expiry, _)| *expiry > now);
        entries
            .map(|(expiry, key)| (key.clone(), expiry.since(now)))
            .collect()
    }

    pub fn contains(&self, now: Millis, key: &str) -> bool {
        self.expiry.get(key).is_some_and(|expiry| *expiry > now)
    }

    /// Removes the ids that have expired.
    pub fn expire(&mut self, now: Millis) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expiry, _)| *expiry <= now)
        {
            if let Some((_, key)) = self.by_expiry.pop_first() {
                self.expiry.remove(&key);
            }
        }
    }
}
