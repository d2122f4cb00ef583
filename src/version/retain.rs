//! Which records a host should append again before they expire.

use std::collections::{BTreeSet, HashMap};
use std::fmt::Display;
use std::hash::Hash;

use crate::base::{Millis, Name, rank};

/// Time that each rank waits longer than the one before.
const RANK_DELAY: Millis = Millis(5_000);
/// Time after which a record that was not read back is appended again.
const REPEAT: Millis = Millis(10_000);

/// Ages of the newest record of each retained item, for example a contract or a task.
///
/// An item is due at half the retention, in the rendezvous order of its key over the live hosts.
/// Two hosts that append it at once do no harm, since the fold ignores the second.
#[derive(Debug)]
pub struct RestatementSchedule<K> {
    host: Name,
    half: Millis,
    items: HashMap<K, Item>,
    due: BTreeSet<(Millis, K)>,
}

#[derive(Debug, Clone, Copy)]
struct Item {
    /// Half the retention after the newest record was written.
    half: Millis,
    /// Key in `RestatementSchedule::due`.
    due: Millis,
}

impl<K: Clone + Ord + Hash + Display> RestatementSchedule<K> {
    /// `retention` is the shortest time that the log keeps a record.
    pub fn new(host: Name, retention: Millis) -> Self {
        let half = Millis(retention.0 / 2);
        RestatementSchedule {
            host,
            half,
            items: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Takes note that a record with the whole state of the item was read, `age` after it was
    /// written. An older record than the newest changes nothing.
    pub fn written(&mut self, now: Millis, key: &K, age: Millis) {
        // The core's clock may have started after the record was written.
        let half = (now + self.half) - age;
        if self.items.get(key).is_some_and(|item| item.half >= half) {
            return;
        }
        self.put(key, half, half);
    }

    /// The item needs no record any more.
    pub fn forget(&mut self, key: &K) {
        if let Some(item) = self.items.remove(key) {
            self.due.remove(&(item.due, key.clone()));
        }
    }

    /// Collects at most `limit` keys whose record this host should append now.
    ///
    /// `hosts` are the live entry hosts that read the stream, itself included. A key that is not
    /// `written` within 10 s is collected again.
    pub fn poll(&mut self, now: Millis, hosts: &[Name], limit: usize, keys: &mut Vec<K>) {
        let mut left = limit;
        while left > 0 && self.due.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, key)) = self.due.pop_first() else {
                return;
            };
            let Some(item) = self.items.get(&key).copied() else {
                continue;
            };
            let turn = item.half + self.delay(&key, hosts);
            if now < turn {
                self.put(&key, item.half, turn);
                continue;
            }
            self.put(&key, item.half, now + REPEAT);
            keys.push(key);
            left -= 1;
        }
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn delay(&self, key: &K, hosts: &[Name]) -> Millis {
        let order = rank(&key.to_string(), hosts);
        let place = order.iter().position(|host| **host == self.host);
        Millis(RANK_DELAY.0 * place.unwrap_or(order.len()) as u64)
    }

    fn put(&mut self, key: &K, half: Millis, due: Millis) {
        if let Some(item) = self.items.insert(key.clone(), Item { half, due }) {
            self.due.remove(&(item.due, key.clone()));
        }
        self.due.insert((due, key.clone()));
    }
}
