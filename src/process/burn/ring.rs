//! Outcome counts of the last 6 h, by minute.

use crate::base::Millis;
use crate::connection::wire::Outcomes;

pub(super) const MINUTE: u64 = 60_000;
/// Minutes kept: the longest window.
pub(super) const MINUTES: u64 = 360;

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    total: u32,
    bad: u32,
}

/// Ring of one slot per minute; its size never changes.
#[derive(Debug)]
pub(super) struct Ring {
    slots: Box<[Slot; MINUTES as usize]>,
    /// Newest minute that a slot holds.
    newest: u64,
}

impl Ring {
    pub(super) fn new(now: Millis) -> Self {
        Ring {
            slots: Box::new([Slot::default(); MINUTES as usize]),
            newest: minute(now),
        }
    }

    pub(super) fn record(&mut self, now: Millis, good: bool) {
        self.advance(minute(now));
        let slot = &mut self.slots[index(self.newest)];
        slot.total = slot.total.saturating_add(1);
        slot.bad = slot.bad.saturating_add(u32::from(!good));
    }

    /// Counts of `minutes` whole minutes, the last of which is `ago` minutes before the current
    /// one; the current minute itself is counted so far.
    pub(super) fn window(&self, now: Millis, ago: u64, minutes: u64) -> Outcomes {
        let Some(last) = minute(now).max(self.newest).checked_sub(ago) else {
            return Outcomes::default();
        };
        let first = (last + 1).saturating_sub(minutes);
        let kept = (self.newest + 1).saturating_sub(MINUTES);
        (first.max(kept)..=last.min(self.newest)).fold(Outcomes::default(), |sum, minute| {
            let slot = self.slots[index(minute)];
            Outcomes {
                total: sum.total + u64::from(slot.total),
                bad: sum.bad + u64::from(slot.bad),
            }
        })
    }

    /// Clears the slots of the minutes that passed since the newest one.
    fn advance(&mut self, current: u64) {
        if current <= self.newest {
            return;
        }
        let passed = (current - self.newest).min(MINUTES);
        for step in 0..passed {
            self.slots[index(current - step)] = Slot::default();
        }
        self.newest = current;
    }
}

fn minute(now: Millis) -> u64 {
    now.0 / MINUTE
}

fn index(minute: u64) -> usize {
    (minute % MINUTES) as usize
}
