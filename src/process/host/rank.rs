//! Order of preference for the owner of the shard.

use std::cmp::Reverse;

use super::peers::Peer;
use crate::base::{Millis, Name};

/// A host is low-capacity if its processor is less than that of the largest host divided by this.
/// It owns the shard only while no high-capacity host can, since an owner needs many times the
/// processor time of an entry host.
const LOW_CAPACITY_DIVISOR: u32 = 2;
/// Response times of the store are compared in steps of this many milliseconds. Within a step, the
/// host with the larger processor ranks first.
const STORE_TIME_STEP: u64 = 10;

/// Smaller is better: high-capacity hosts come first, then those closer to the store, then those
/// with a larger processor.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub is_low_capacity: bool,
    store_distance: u64,
    processor: Reverse<u32>,
    pub name: Name,
}

impl Rank {
    pub fn new(name: Name, processor: u32, max_processor: u32, store_time: Millis) -> Self {
        Rank {
            is_low_capacity: is_low_capacity(processor, max_processor),
            store_distance: store_time.0 / STORE_TIME_STEP,
            processor: Reverse(processor),
            name,
        }
    }

    /// The rank of another host. One that has sent no state yet comes after all others of its
    /// capacity.
    pub fn of(peer: &Peer, max_processor: u32) -> Self {
        Rank::of_peer(peer, max_processor, Millis(u64::MAX))
    }

    /// The same, but a host that has sent no state yet may be the closest to the store.
    pub fn at_best(peer: &Peer, max_processor: u32) -> Self {
        Rank::of_peer(peer, max_processor, Millis(0))
    }

    fn of_peer(peer: &Peer, max_processor: u32, unknown: Millis) -> Self {
        let presence = peer.presence.as_ref();
        let store_time = presence.map_or(unknown, |presence| Millis(presence.store_time));
        let record = &peer.record;
        Rank::new(
            record.name.clone(),
            record.processor,
            max_processor,
            store_time,
        )
    }
}

pub(super) fn is_low_capacity(processor: u32, max_processor: u32) -> bool {
    processor.saturating_mul(LOW_CAPACITY_DIVISOR) < max_processor
}
