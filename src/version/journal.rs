//! Appends a host's records to its data centre's task stream, many per append (group commit).

use std::collections::VecDeque;

use super::record::{Batch, Record};
use crate::base::{Millis, Name};

/// Largest number of records in one append. 400 records of about 100 bytes stay well below 64 KiB.
const MAX_BATCH: usize = 400;
/// Delay of the next append after a failed one, in ms. It doubles with each further failure up to
/// `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Millis = Millis(200);
const MAX_RETRY_DELAY: Millis = Millis(5_000);

/// Outcome of an append as known to its writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    Done,
    /// The append has had no effect and will have none.
    Refused,
    /// The append may have taken effect or may still do so.
    Unknown,
}

/// Collects records and appends them in batches, one at a time.
///
/// A record that is applied twice has the same effect as once, so the records of a failed append
/// are appended again until that succeeds or an earlier append is read back from the stream. Claims
/// are not repeated: one that took effect is read back, and one that did not is made anew.
#[derive(Debug)]
pub struct Journal {
    host: Name,
    incarnation: u64,
    /// Shortest time between two appends.
    interval: Millis,
    /// Number of the last batch.
    sequence: u64,
    queue: VecDeque<Entry>,
    /// The append whose outcome is not known yet.
    in_flight: Option<InFlight>,
    /// Earliest time of the next append.
    next_append: Millis,
    retry_delay: Millis,
    /// Failed appends since the last successful one.
    failures: u32,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    /// Numbers of the batches that contain this record and whose append had an unknown outcome.
    unknown_appends: Vec<u64>,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    entries: Vec<Entry>,
    /// Whether the batch was read back from the stream.
    is_confirmed: bool,
}

impl Journal {
    pub fn new(host: Name, incarnation: u64, interval: Millis) -> Self {
        Journal {
            host,
            incarnation,
            interval,
            sequence: 0,
            queue: VecDeque::new(),
            in_flight: None,
            next_append: Millis(0),
            retry_delay: MIN_RETRY_DELAY,
            failures: 0,
        }
    }

    pub fn push(&mut self, record: Record) {
        let unknown_appends = Vec::new();
        self.queue.push_back(Entry {
            record,
            unknown_appends,
        });
    }

    /// Removes matching queued records that can't reach the log; returns their number.
    ///
    /// A record stays if one of its appends had an unknown outcome, because that append may still
    /// take effect.
    pub fn withdraw(&mut self, matches: impl Fn(&Record) -> bool) -> usize {
        let before = self.queue.len();
        self.queue
            .retain(|entry| !entry.unknown_appends.is_empty() || !matches(&entry.record));
        before - self.queue.len()
    }

    /// Whether a matching record may be on the log or may still get there, without being confirmed.
    pub fn may_be_logged(&self, matches: impl Fn(&Record) -> bool) -> bool {
        let in_flight = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.entries);
        let unknown = self
            .queue
            .iter()
            .filter(|entry| !entry.unknown_appends.is_empty());
        in_flight.chain(unknown).any(|entry| matches(&entry.record))
    }

    /// Returns the next batch to append, if one is due.
    pub fn poll(&mut self, now: Millis) -> Option<Batch> {
        if self.in_flight.is_some() || self.queue.is_empty() || now < self.next_append {
            return None;
        }
        let count = self.queue.len().min(MAX_BATCH);
        let entries: Vec<Entry> = self.queue.drain(..count).collect();
        let records = entries.iter().map(|entry| entry.record.clone()).collect();
        self.sequence += 1;
        self.next_append = now + self.interval;
        self.in_flight = Some(InFlight {
            sequence: self.sequence,
            entries,
            is_confirmed: false,
        });
        Some(Batch {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            records,
        })
    }

    /// Handles the outcome of the append of batch `sequence`.
    pub fn appended(&mut self, now: Millis, sequence: u64, outcome: AppendOutcome) {
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.sequence == sequence)
        else {
            return;
        };
        if outcome == AppendOutcome::Done || in_flight.is_confirmed {
            self.failures = 0;
            self.retry_delay = MIN_RETRY_DELAY;
            return;
        }
        self.failures += 1;
        self.next_append = now + self.retry_delay;
        self.retry_delay = Millis((self.retry_delay.0 * 2).min(MAX_RETRY_DELAY.0));
        for mut entry in in_flight.entries.into_iter().rev() {
            if matches!(entry.record, Record::Claimed { .. }) {
                continue;
            }
            if outcome == AppendOutcome::Unknown {
                entry.unknown_appends.push(sequence);
            }
            self.queue.push_front(entry);
        }
    }

    /// Drops records that need no further append, because `batch` was read from the stream.
    pub fn confirm(&mut self, batch: &Batch) {
        if batch.host != self.host || batch.incarnation != self.incarnation {
            return;
        }
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.is_confirmed |= in_flight.sequence == batch.sequence;
            in_flight
                .entries
                .retain(|entry| !entry.unknown_appends.contains(&batch.sequence));
        }
        self.queue
            .retain(|entry| !entry.unknown_appends.contains(&batch.sequence));
    }

    /// Whether the last append succeeded, or no record is waiting.
    ///
    /// Claims are proposed only while this holds. A failed append of only claims leaves no record
    /// to repeat, so without the second condition no append would ever follow.
    pub fn is_healthy(&self) -> bool {
        self.failures == 0 || self.backlog() == 0
    }

    /// Number of records that are not known to be on the log.
    pub fn backlog(&self) -> usize {
        self.queue.len()
            + self
                .in_flight
                .as_ref()
                .map_or(0, |in_flight| in_flight.entries.len())
    }
}
