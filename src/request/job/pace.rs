//! How far filling tasks are slowed down beside serving tasks.

use crate::base::Millis;

/// Share of the tail bound above which filling tasks are slowed down, in percent. The figures lag
/// by half a second, so the reaction starts before the bound is reached.
const HIGH: u64 = 85;
/// Share of the tail bound below which they are sped up again, in percent.
const LOW: u64 = 60;
/// Shortest time between two changes in milliseconds: a new pace shows in the figures after the
/// worker's averaging time of half a second and the report's age.
const SETTLE: Millis = Millis(700);
/// Step by which the pace rises, in percent.
const RISE: u8 = 20;
const FULL: u8 = 100;

/// Pace of the filling tasks of one worker: multiplicative decrease, additive increase.
#[derive(Debug, Clone)]
pub struct Pacer {
    percent: u8,
    changed: Millis,
}

/// A new pace for all filling tasks of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceDecision {
    pub percent: u8,
}

impl Default for Pacer {
    fn default() -> Self {
        Pacer {
            percent: FULL,
            changed: Millis(0),
        }
    }
}

impl Pacer {
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Takes the worst tail of the serving tasks as a share of its bound in percent; `None` if no
    /// serving task is there.
    pub fn observe(&mut self, now: Millis, worst: Option<u64>) -> Option<PaceDecision> {
        let worst = worst.unwrap_or(0);
        if now.since(self.changed) < SETTLE && worst < 100 {
            return None;
        }
        let percent = match worst {
            worst if worst >= 130 => 0,
            worst if worst >= HIGH => self.percent / 2,
            worst if worst < LOW => (self.percent + RISE).min(FULL),
            _ => self.percent,
        };
        if percent == self.percent {
            return None;
        }
        self.percent = percent;
        self.changed = now;
        Some(PaceDecision { percent })
    }
}
