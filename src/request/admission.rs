//! Earliest-deadline-first queue that refuses requests which cannot meet their deadline.

use std::collections::BTreeMap;

use crate::base::Millis;

/// Weight of a new sample in the moving averages of the service time and its deviation.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Smallest mean service time, in ms. A service can answer within the clock's resolution, and a
/// mean of zero would admit every request.
const MIN_MEAN: f64 = 0.1;

/// Position of an item in the queue: by deadline, then by order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    deadline: Millis,
    sequence: u64,
}

/// Queue of the requests of one service, earliest deadline first.
///
/// Insertions and removals take logarithmic time in the length of the queue.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queue: BTreeMap<QueuePosition, T>,
    last_sequence: u64,
    /// Largest number of queued items.
    max_len: usize,
    /// Mean service time, in ms.
    mean: f64,
    /// Mean absolute deviation of the service time, in ms.
    deviation: f64,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue of at most `max_len` items; `mean` is the mean service time to assume until
    /// samples arrive.
    pub fn new(max_len: usize, mean: Millis) -> Self {
        let mean = (mean.0 as f64).max(MIN_MEAN);
        AdmissionQueue {
            queue: BTreeMap::new(),
            last_sequence: 0,
            max_len,
            mean,
            deviation: mean / 2.0,
        }
    }

    /// Expected time in ms until a new item starts; infinite if there are no slots.
    ///
    /// `slots` counts all slots of the service on this host, `free` those not in use.
    pub fn expected_wait(&self, slots: u32, free: u32) -> f64 {
        if slots == 0 {
            return f64::INFINITY;
        }
        let ahead = self.queue.len() as f64 - f64::from(free);
        (ahead + 1.0).max(0.0) * self.mean / f64::from(slots)
    }

    /// Queues `item`, or returns it as the error if it is not expected to be answered by its
    /// deadline or if the queue is full.
    pub fn offer(
        &mut self,
        now: Millis,
        deadline: Millis,
        slots: u32,
        free: u32,
        item: T,
    ) -> Result<QueuePosition, T> {
        self.insert(now, deadline, self.expected_wait(slots, free), item)
    }

    /// Queues `item` if the service time fits before its deadline, without counting the expected
    /// wait. Otherwise, or if the queue is full, returns it as the error.
    ///
    /// This suits a retry, since its deadline is earlier than most others in the queue.
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
        let time_left = deadline.since(now).0 as f64;
        if self.queue.len() >= self.max_len || wait + self.reserved_time() > time_left {
            return Err(item);
        }
        self.last_sequence += 1;
        let queue_position = QueuePosition {
            deadline,
            sequence: self.last_sequence,
        };
        self.queue.insert(queue_position, item);
        Ok(queue_position)
    }

    /// Removes and returns the item with the earliest deadline.
    ///
    /// Call `expire` first, so that the item can still be answered in time.
    pub fn take(&mut self) -> Option<T> {
        self.queue.pop_first().map(|(_, item)| item)
    }

    /// Moves the items that can no longer be answered by their deadline to `expired`.
    pub fn expire(&mut self, now: Millis, expired: &mut Vec<T>) {
        let expected_end = now.0 as f64 + self.reserved_time();
        while let Some(first) = self.queue.first_entry() {
            if first.key().deadline.0 as f64 >= expected_end {
                return;
            }
            expired.push(first.remove());
        }
    }

    pub fn remove(&mut self, queue_position: QueuePosition) -> Option<T> {
        self.queue.remove(&queue_position)
    }

    /// Updates the averages with the service time of an answered request.
    pub fn record_service_time(&mut self, service_time: Millis) {
        let sample = service_time.0 as f64;
        let error = (sample - self.mean).abs();
        self.mean += SAMPLE_WEIGHT * (sample - self.mean);
        self.mean = self.mean.max(MIN_MEAN);
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

    /// Time in ms to reserve before the deadline for the service itself.
    ///
    /// If only the mean were reserved, half of the requests started at the last moment would miss
    /// their deadline, each in a slot that another request could use in time. Adding twice the mean
    /// deviation covers about 95% of the service times.
    fn reserved_time(&self) -> f64 {
        self.mean + 2.0 * self.deviation
    }
}
