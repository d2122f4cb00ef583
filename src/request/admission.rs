//! Deadline queue with early refusal.

use std::collections::BTreeMap;

use crate::base::Millis;

/// Weight of a new sample in the averages of the service time.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Services can answer in less than the clock's resolution; a mean of zero would admit everything.
const SHORTEST_MEAN: f64 = 0.1;

/// Position of a queued item; earlier deadlines come first, ties in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    deadline: Millis,
    sequence: u64,
}

/// Earliest-deadline-first queue of one service.
///
/// Every operation is logarithmic in the length of the queue.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queue: BTreeMap<QueuePosition, T>,
    sequence: u64,
    limit: usize,
    /// Mean service time, in ms.
    mean: f64,
    /// Mean absolute deviation of the service time, in ms.
    deviation: f64,
}

impl<T> AdmissionQueue<T> {
    /// `limit` bounds the queue; `mean` is the assumed service time until samples arrive.
    pub fn new(limit: usize, mean: Millis) -> Self {
        let mean = (mean.0 as f64).max(SHORTEST_MEAN);
        AdmissionQueue {
            queue: BTreeMap::new(),
            sequence: 0,
            limit,
            mean,
            deviation: mean / 2.0,
        }
    }

    /// Expected time in ms until a new item would start; infinite without slots.
    pub fn wait(&self, slots: u32, free: u32) -> f64 {
        if slots == 0 {
            return f64::INFINITY;
        }
        let ahead = self.queue.len() as f64 - f64::from(free);
        (ahead + 1.0).max(0.0) * self.mean / f64::from(slots)
    }

    /// Queues `item`, or returns it if it could not be answered by its deadline.
    pub fn offer(
        &mut self,
        now: Millis,
        deadline: Millis,
        slots: u32,
        free: u32,
        item: T,
    ) -> Result<QueuePosition, T> {
        self.insert(now, deadline, self.wait(slots, free), item)
    }

    /// Queues an item that was taken before. Its deadline puts it ahead of most others, so that
    /// only the service time has to fit.
    pub fn requeue(&mut self, now: Millis, deadline: Millis, item: T) -> Result<QueuePosition, T> {
        self.insert(now, deadline, 0.0, item)
    }

    fn insert(
        &mut self,
        now: Millis,
        deadline: Millis,
        wait: f64,
        item: T,
    ) -> Result<QueuePosition, T> {
        let left = deadline.since(now).0 as f64;
        if self.queue.len() >= self.limit || wait + self.allowance() > left {
            return Err(item);
        }
        self.sequence += 1;
        let place = QueuePosition {
            deadline,
            sequence: self.sequence,
        };
        self.queue.insert(place, item);
        Ok(place)
    }

    /// Removes the item with the earliest deadline. Call `expire` first.
    pub fn take(&mut self) -> Option<T> {
        self.queue.pop_first().map(|(_, item)| item)
    }

    /// Moves items whose deadline can no longer be met to `dropped`.
    pub fn expire(&mut self, now: Millis, dropped: &mut Vec<T>) {
        let start_by = now.0 as f64 + self.allowance();
        while let Some(first) = self.queue.first_entry() {
            if first.key().deadline.0 as f64 >= start_by {
                return;
            }
            dropped.push(first.remove());
        }
    }

    pub fn remove(&mut self, place: QueuePosition) -> Option<T> {
        self.queue.remove(&place)
    }

    /// Learns from a completed request.
    pub fn observe(&mut self, service: Millis) {
        let sample = service.0 as f64;
        let error = (sample - self.mean).abs();
        self.mean += SAMPLE_WEIGHT * (sample - self.mean);
        self.mean = self.mean.max(SHORTEST_MEAN);
        self.deviation += SAMPLE_WEIGHT * (error - self.deviation);
    }

    /// Mean service time, in ms.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Time in ms to reserve for the service itself.
    ///
    /// The mean alone would start requests of which half miss their deadline, and each of them
    /// takes the slot from one that would meet it. Two deviations cover about 95% of them.
    fn allowance(&self) -> f64 {
        self.mean + 2.0 * self.deviation
    }
}
