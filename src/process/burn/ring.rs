//! Outcome counts of each minute of the last 6 h.

use crate::base::Millis;
use crate::connection::wire::Outcomes;

/// One minute in ms.
pub(super) const MINUTE: u64 = 60_000;
/// Number of minutes whose counts are kept, which is the length of the longest window.
pub(super) const RING_MINUTES: u64 = 360;

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    total: u32,
    bad: u32,
}

/// Ring buffer of fixed size with one slot per minute.
#[derive(Debug)]
pub(super) struct OutcomeRing {
    slots: Box<[Slot; RING_MINUTES as usize]>,
    /// Newest minute that has a slot.
    newest: u64,
}

impl OutcomeRing {
    pub(super) fn new(now: Millis) -> Self {
        OutcomeRing {
            slots: Box::new([Slot::default(); RING_MINUTES as usize]),
            newest: minute_of(now),
        }
    }

    pub(super) fn record(&mut self, now: Millis, good: bool) {
        self.advance(minute_of(now));
        let slot = &mut self.slots[slot_index(self.newest)];
        slot.total = slot.total.saturating_add(1);
        slot.bad = slot.bad.saturating_add(u32::from(!good));
    }

    /// Sums the counts of `minutes` minutes, the last of which is `ago` minutes before the current
    /// one. The current minute counts up to now.
    pub(super) fn window(&self, now: Millis, ago: u64, minutes: u64) -> Outcomes {
        let Some(last) = minute_of(now).max(self.newest).checked_sub(ago) else {
            return Outcomes::default();
        };
        let first = (last + 1).saturating_sub(minutes);
        let oldest = (self.newest + 1).saturating_sub(RING_MINUTES);
        (first.max(oldest)..=last.min(self.newest)).fold(Outcomes::default(), |sum, minute| {
            let slot = self.slots[slot_index(minute)];
            Outcomes {
                total: sum.total + u64::from(slot.total),
                bad: sum.bad + u64::from(slot.bad),
            }
        })
    }

    /// Makes `current` the newest minute and clears the slots of all minutes since the last one.
    fn advance(&mut self, current: u64) {
        if current <= self.newest {
            return;
        }
        let passed = (current - self.newest).min(RING_MINUTES);
        for step in 0..passed {
            self.slots[slot_index(current - step)] = Slot::default();
        }
        self.newest = current;
    }
}

fn minute_of(now: Millis) -> u64 {
    now.0 / MINUTE
}

fn slot_index(minute: u64) -> usize {
    (minute % RING_MINUTES) as usize
}
