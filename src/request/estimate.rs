//! Learned task sizes.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::base::{Millis, Name, Size};

/// Reports of a key below which its declared size is used.
const MIN_REPORTS: u64 = 8;
const QUANTILE: f64 = 0.95;
/// Added to the learned size, because use above the reservation leads to a throttle.
const MARGIN_PERCENT: u32 = 120;
/// Share of the declared size that is always reserved.
const FLOOR_PERCENT: u32 = 50;
/// Age at which a generation of reports is closed. A change of shape needs 5% of the reports of
/// two generations to show in the percentile, so this bounds the time until the estimate follows.
const GENERATION: Millis = Millis(300_000);
/// A generation with fewer reports stays open, so nightly work is not learned anew each night.
const MIN_GENERATION: u64 = 64;
/// Bounds the memory: a key takes up to 6 KB.
const MAX_KEYS: usize = 2048;

/// What shares a learned size: tasks of one customer and class with similar declared sizes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SizeKey {
    customer: Name,
    class: Name,
    /// Binary logarithms of the declared processors and memory.
    bucket: (u8, u8),
}

impl SizeKey {
    pub fn new(customer: Name, class: Name, declared: Size) -> Self {
        SizeKey {
            customer,
            class,
            bucket: (bit_length(declared.processors), bit_length(declared.memory)),
        }
    }
}

fn bit_length(n: u32) -> u8 {
    (u32::BITS - n.leading_zeros()) as u8
}

/// Learns from reported use what tasks of a kind need.
#[derive(Debug, Default)]
pub struct SizeEstimator {
    learned: HashMap<SizeKey, Learned>,
}

impl SizeEstimator {
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one measurement of one task.
    ///
    /// The caller passes each measurement once. For a throttled task it passes the use measured
    /// before the throttle: the use of a throttled task would teach a size that is too small.
    pub fn observe(&mut self, now: Millis, key: &SizeKey, usage: Size) {
        if let Some(learned) = self.learned.get_mut(key) {
            return learned.record(now, usage);
        }
        if self.learned.len() >= MAX_KEYS {
            self.remove_oldest();
        }
        let mut learned = Learned::new(now);
        learned.record(now, usage);
        self.learned.insert(key.clone(), learned);
    }

    /// Size to reserve for a task declared as `declared`.
    ///
    /// Accelerators are whole devices that a task cannot exceed, so they stay as declared.
    pub fn estimate(&self, key: &SizeKey, declared: Size) -> Size {
        let Some(learned) = self.learned.get(key) else {
            return declared;
        };
        if learned.reports() < MIN_REPORTS {
            return declared;
        }
        let size = learned
            .percentile()
            .scale(MARGIN_PERCENT)
            .max(&declared.scale(FLOOR_PERCENT));
        Size {
            accelerators: declared.accelerators,
            ..size
        }
    }

    /// Number of keys with a learned size.
    pub fn len(&self) -> usize {
        self.learned.len()
    }

    pub fn is_empty(&self) -> bool {
        self.learned.is_empty()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.learned.iter().min_by_key(|(_, l)| l.last);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.learned.remove(&key);
        }
    }
}

/// Reports of one key in two generations, so that old reports lose their weight.
#[derive(Debug)]
struct Learned {
    current: Generation,
    previous: Option<Generation>,
    opened: Millis,
    last: Millis,
}

impl Learned {
    fn new(now: Millis) -> Self {
        Learned {
            current: Generation::new(),
            previous: None,
            opened: now,
            last: now,
        }
    }

    fn record(&mut self, now: Millis, usage: Size) {
        if now.since(self.opened) >= GENERATION && self.current.reports() >= MIN_GENERATION {
            self.previous = Some(std::mem::replace(&mut self.current, Generation::new()));
            self.opened = now;
        }
        self.last = now;
        self.current.record(usage);
    }

    fn reports(&self) -> u64 {
        self.current.reports() + self.previous.as_ref().map_or(0, Generation::reports)
    }

    fn percentile(&self) -> Size {
        let Some(previous) = &self.previous else {
            return self.current.percentile();
        };
        let mut merged = self.current.clone();
        merged.add(previous);
        merged.percentile()
    }
}

#[derive(Debug, Clone)]
struct Generation {
    processors: Histogram<u32>,
    memory: Histogram<u32>,
}

impl Generation {
    fn new() -> Self {
        Generation {
            processors: histogram(),
            memory: histogram(),
        }
    }

    fn record(&mut self, usage: Size) {
        // Cannot fail: both histograms resize automatically.
        let _ = self.processors.record(usage.processors.into());
        let _ = self.memory.record(usage.memory.into());
    }

    fn add(&mut self, other: &Generation) {
        // Cannot fail: both histograms resize automatically.
        let _ = self.processors.add(&other.processors);
        let _ = self.memory.add(&other.memory);
    }

    fn reports(&self) -> u64 {
        self.processors.len()
    }

    fn percentile(&self) -> Size {
        let value = |h: &Histogram<u32>| h.value_at_quantile(QUANTILE).min(u32::MAX.into()) as u32;
        Size::new(value(&self.processors), value(&self.memory), 0)
    }
}

/// Resolves values to 6%, rounding up.
fn histogram() -> Histogram<u32> {
    Histogram::new(1).expect("one significant digit is valid")
}
