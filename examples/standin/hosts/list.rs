//! A list whose changes show late.

use std::collections::VecDeque;

use jayfork::base::Millis;
use jayfork::connection::wire::HostList;

use crate::clock;

#[derive(Debug)]
pub struct LaggingList {
    lag: Millis,
    /// Lists with the time from which they show, oldest first.
    versions: VecDeque<(Millis, HostList)>,
}

impl LaggingList {
    pub fn new(lag: u64) -> Self {
        LaggingList {
            lag: Millis(lag),
            versions: VecDeque::new(),
        }
    }

    /// Changes the lag of later calls of `put`.
    pub fn set_lag(&mut self, lag: u64) {
        self.lag = Millis(lag);
    }

    /// Replaces the list; the first one shows at once.
    pub fn put(&mut self, list: HostList) {
        let lag = if self.versions.is_empty() {
            Millis(0)
        } else {
            self.lag
        };
        self.versions.push_back((clock::now() + lag, list));
    }

    pub fn shown(&mut self) -> HostList {
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
