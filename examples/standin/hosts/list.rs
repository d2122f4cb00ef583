//! A host list whose changes become visible with a delay.

use std::collections::VecDeque;

use jayfork::base::Millis;
use jayfork::connection::wire::HostList;

use crate::clock;

#[derive(Debug)]
pub struct DelayedList {
    delay: Millis,
    /// Lists with the time from which each is visible, oldest first.
    versions: VecDeque<(Millis, HostList)>,
}

impl DelayedList {
    pub fn new(delay: u64) -> Self {
        DelayedList {
            delay: Millis(delay),
            versions: VecDeque::new(),
        }
    }

    /// Sets the delay of later replacements.
    pub fn set_delay(&mut self, delay: u64) {
        self.delay = Millis(delay);
    }

    /// Replaces the list after the delay; the first list is visible immediately.
    pub fn replace(&mut self, list: HostList) {
        let delay = if self.versions.is_empty() {
            Millis(0)
        } else {
            self.delay
        };
        self.versions.push_back((clock::now() + delay, list));
    }

    /// Returns the list that is visible now.
    pub fn visible(&mut self) -> HostList {
        let now = clock::now();
        while self.versions.get(1).is_some_and(|(from, _)| *from <= now) {
            self.versions.pop_front();
        }
        self.versions
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
