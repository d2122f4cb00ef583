//! Ids of at-most-once classes that ran or may have run.

use std::collections::{BTreeSet, HashMap};

use crate::base::{Millis, Name};

#[derive(Debug, Default)]
pub(super) struct Recent {
    until: HashMap<Name, Millis>,
    order: BTreeSet<(Millis, Name)>,
}

impl Recent {
    pub fn insert(&mut self, key: &Name, until: Millis) {
        if let Some(earlier) = self.until.insert(key.clone(), until) {
            self.order.remove(&(earlier, key.clone()));
        }
        self.order.insert((until, key.clone()));
    }

    pub fn contains(&self, now: Millis, key: &str) -> bool {
        self.until.get(key).is_some_and(|until| *until > now)
    }

    pub fn poll(&mut self, now: Millis) {
        while self.order.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, key)) = self.order.pop_first() {
                self.until.remove(&key);
            }
        }
    }
}
