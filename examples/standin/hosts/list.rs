//! A host list whose changes become visible with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jayfork::connection::wire::HostList;

#[derive(Debug)]
pub struct DelayedList {
    delay: Duration,
    /// Lists with the time from which each is visible, oldest first.
    versions: VecDeque<(Instant, HostList)>,
}

impl DelayedList {
    pub fn new(delay: Duration) -> Self {
        DelayedList {
            delay,
            versions: VecDeque::new(),
        }
    }

    /// Sets the delay of later replacements.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Replaces the list after the delay; the first list is visible immediately.
    pub fn replace(&mut self, list: HostList) {
        let delay = if self.versions.is_empty() {
            Duration::ZERO
        } else {
            self.delay
        };
        self.versions.push_back((Instant::now() + delay, list));
    }

    /// Returns the list that is visible now.
    pub fn visible(&mut self) -> HostList {
        let now = Instant::now();
        while self.versions.get(1).is_some_and(|(from, _)| *from <= now) {
            self.versions.pop_front();
        }
        self.versions
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
