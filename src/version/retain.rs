//! Decides when a host appends records again, before the log drops them.

use std::collections::{BTreeSet, HashMap};
use std::fmt::Display;
use std::hash::Hash;

use crate::base::{Millis, Name, rank};

/// Delay of each host after the one ranked before it, in ms.
const RANK_DELAY: Millis = Millis(5_000);
/// Time after which an append is repeated if the record was not read back, in ms.
const REPEAT_DELAY: Millis = Millis(10_000);

/// Schedule by which a host restates items, for example contracts or tasks.
///
/// An item is due once its newest record has reached half the retention. Of the live hosts, the one
/// that ranks first for the item's key restates it; the others follow one by one if it doesn't. Two
/// hosts may restate an item at the same time, since a second restatement has no effect.
#[derive(Debug)]
pub struct RestatementSchedule<K> {
    host: Name,
    /// Half the time that the log keeps a record.
    half_retention: Millis,
    items: HashMap<K, Item>,
    /// Keys by the time at which they are checked next.
    due: BTreeSet<(Millis, K)>,
}

#[derive(Debug, Clone, Copy)]
struct Item {
    /// Time at which the newest record reaches half the retention.
    restate_time: Millis,
    /// Time of the item in `RestatementSchedule::due`.
    due: Millis,
}

impl<K: Clone + Ord + Hash + Display> RestatementSchedule<K> {
    /// `retention` is the shortest time that the log keeps a record.
    pub fn new(host: Name, retention: Millis) -> Self {
        let half_retention = Millis(retention.0 / 2);
        RestatementSchedule {
            host,
            half_retention,
            items: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Notes that a record with the whole state of the item was read, `age` after it was written.
    ///
    /// A record that is older than the newest one changes nothing.
    pub fn written(&mut self, now: Millis, key: &K, age: Millis) {
        // `now - age` could be negative: the clock may have started after the record was written.
        let restate_time = (now + self.half_retention) - age;
        if self
            .items
            .get(key)
            .is_some_and(|item| item.restate_time >= restate_time)
        {
            return;
        }
        self.schedule(key, restate_time, restate_time);
    }

    /// Removes an item that needs no further restatement.
    pub fn forget(&mut self, key: &K) {
        if let Some(item) = self.items.remove(key) {
            self.due.remove(&(item.due, key.clone()));
        }
    }

    /// Adds to `keys` at most `limit` items that this host should restate now.
    ///
    /// `hosts` are the live entry hosts that read the stream, including this one. An item is
    /// returned again if `written` is not called for it within `REPEAT_DELAY`.
    pub fn poll(&mut self, now: Millis, hosts: &[Name], limit: usize, keys: &mut Vec<K>) {
        let mut remaining = limit;
        while remaining > 0 && self.due.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, key)) = self.due.pop_first() else {
                return;
            };
            let Some(item) = self.items.get(&key).copied() else {
                continue;
            };
            let own_due = item.restate_time + self.rank_delay(&key, hosts);
            if now < own_due {
                self.schedule(&key, item.restate_time, own_due);
                continue;
            }
            self.schedule(&key, item.restate_time, now + REPEAT_DELAY);
            keys.push(key);
            remaining -= 1;
        }
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Delay of this host for `key`, by its rank among `hosts`.
    fn rank_delay(&self, key: &K, hosts: &[Name]) -> Millis {
        let order = rank(&key.to_string(), hosts);
        let own_rank = order.iter().position(|host| **host == self.host);
        Millis(RANK_DELAY.0 * own_rank.unwrap_or(order.len()) as u64)
    }

    fn schedule(&mut self, key: &K, restate_time: Millis, due: Millis) {
        if let Some(item) = self.items.insert(key.clone(), Item { restate_time, due }) {
            self.due.remove(&(item.due, key.clone()));
        }
        self.due.insert((due, key.clone()));
    }
}
