//! Which connections are closed when the memory or the connections of a host's clients are used up.

use std::cmp::Reverse;
use std::time::Duration;

/// A connection that has waited for less than this is kept: what arrives in one go is complete by then, also over a
/// slow link.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// An idle connection counts as one that holds this much less: its client may have done nothing wrong, and can open
/// another one.
const IDLE_DIVISOR: u128 = 8;

/// Requests that a connection may send while others are turned away. Ordinary clients send a few.
const FAIR_REQUESTS: u32 = 16;

/// Whether a connection ends with its next answer. One that never rests can't be closed for others, as its requests run.
pub fn ends_with_answer(requests: u32, is_crowded: bool) -> bool {
    is_crowded && requests >= FAIR_REQUESTS
}

/// A connection that could be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder<K> {
    pub key: K,
    /// Memory that it holds, in bytes.
    pub bytes: u64,
    /// How long its client has kept the host waiting for the rest of a request; how long it has been idle if nothing
    /// of a request has arrived.
    pub waited: Duration,
    pub is_idle: bool,
}

/// What has to become free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortage {
    pub bytes: u64,
    pub connections: usize,
}

/// Returns the connections to close, those with the largest product of memory and time first, until enough is free.
/// If not enough can become free, none is closed.
///
/// A client that stops, or sends next to nothing, holds its memory for long, while a request of any size that arrives at
/// the speed of a link holds it for a moment.
pub fn choose_dropped<K: Copy + Ord>(
    holders: impl Iterator<Item = Holder<K>>,
    shortage: Shortage,
) -> Vec<K> {
    let mut ranked: Vec<(Reverse<u128>, K, u64)> = holders
        .filter(|holder| holder.waited >= MIN_WAIT)
        .map(|holder| {
            let cost = u128::from(holder.bytes) * holder.waited.as_millis();
            let cost = if holder.is_idle {
                cost / IDLE_DIVISOR
            } else {
                cost
            };
            (Reverse(cost), holder.key, holder.bytes)
        })
        .collect();
    ranked.sort_unstable();
    let mut left = shortage;
    let mut chosen = Vec::new();
    for (_, key, bytes) in ranked {
        if left == Shortage::default() {
            break;
        }
        left.bytes = left.bytes.saturating_sub(bytes);
        left.connections = left.connections.saturating_sub(1);
        chosen.push(key);
    }
    match left == Shortage::default() {
        true => chosen,
        false => Vec::new(),
    }
}
