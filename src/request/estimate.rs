//! Estimates the sizes of tasks from their reported usage.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::base::{Millis, Name, Size};

/// Number of reports of a key below which the declared size is reserved.
const MIN_REPORTS: u64 = 8;
/// Quantile of the reported usage that is reserved.
const QUANTILE: f64 = 0.95;
/// Percentage of the learned size that is reserved. The headroom of 20% is there because usage
/// above the reservation leads to throttling.
const HEADROOM_PERCENT: u32 = 120;
/// Percentage of the declared size that is always reserved.
const MIN_DECLARED_PERCENT: u32 = 50;
/// Age in ms at which a generation of reports is closed. Changed usage shows in the percentile once
/// it makes up 5% of the reports of two generations, so this bounds the delay of the estimate.
const GENERATION_TIME: Millis = Millis(300_000);
/// A generation with fewer reports stays open. Otherwise a nightly task, with few reports each
/// night, would lose its estimate from one night to the next.
const MIN_GENERATION_REPORTS: u64 = 64;
/// Bounds the memory: each key takes up to 6 KB.
const MAX_KEYS: usize = 2048;

/// Key of a learned size: tasks of one customer and class with similar declared sizes share it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SizeKey {
    customer: Name,
    class: Name,
    /// Bit lengths of the declared processors and memory.
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

/// Learns from reported usage how much the tasks of each key need.
#[derive(Debug, Default)]
pub struct SizeEstimator {
    learned: HashMap<SizeKey, LearnedSize>,
}

impl SizeEstimator {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records one usage measurement of one task.
    ///
    /// The caller passes each measurement once. For a throttled task it passes the usage measured
    /// before throttling began, because later usage would make the estimate too small.
    pub fn observe(&mut self, now: Millis, key: &SizeKey, usage: Size) {
        if let Some(learned) = self.learned.get_mut(key) {
            return learned.record(now, usage);
        }
        if self.learned.len() >= MAX_KEYS {
            self.remove_oldest();
        }
        let mut learned = LearnedSize::new(now);
        learned.record(now, usage);
        self.learned.insert(key.clone(), learned);
    }

    /// Size to reserve for a task with this declared size.
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
            .scale(HEADROOM_PERCENT)
            .max(&declared.scale(MIN_DECLARED_PERCENT));
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
        let oldest = self
            .learned
            .iter()
            .min_by_key(|(_, learned)| learned.last_report);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.learned.remove(&key);
        }
    }
}

/// Reports of one key in two generations; when a third one opens, the oldest is dropped.
#[derive(Debug)]
struct LearnedSize {
    current: Generation,
    previous: Option<Generation>,
    current_since: Millis,
    last_report: Millis,
}

impl LearnedSize {
    fn new(now: Millis) -> Self {
        LearnedSize {
            current: Generation::new(),
            previous: None,
            current_since: now,
            last_report: now,
        }
    }

    fn record(&mut self, now: Millis, usage: Size) {
        if now.since(self.current_since) >= GENERATION_TIME
            && self.current.reports() >= MIN_GENERATION_REPORTS
        {
            self.previous = Some(std::mem::replace(&mut self.current, Generation::new()));
            self.current_since = now;
        }
        self.last_report = now;
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

/// Usage reports of one period.
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

/// A histogram that rounds values up by at most 6%.
fn histogram() -> Histogram<u32> {
    Histogram::new(1).expect("one significant digit is valid")
}
