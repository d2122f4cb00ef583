//! Group commit of a host's records to its data centre's task stream.

use std::collections::VecDeque;

use super::record::{Batch, Record};
use crate::base::{Millis, Name};

/// Most records in one append; 400 records of about 100 bytes stay well below 64 KiB.
const MAX_BATCH: usize = 400;
/// Pause after a failed append; doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Millis = Millis(200);
const MAX_PAUSE: Millis = Millis(5_000);

/// Result of an append as far as the writer can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    Done,
    /// Known to have had no effect.
    Refused,
    /// It may have taken effect.
    Unknown,
}

/// Collects records and appends them in batches, one at a time.
///
/// All records are idempotent in the ledger's fold, so a batch with an unknown outcome is repeated
/// until an append succeeds or one of its appends is read back from the stream. Claims are not
/// repeated: a claim that took effect is read back, and one that did not is better proposed anew.
#[derive(Debug)]
pub struct Journal {
    host: Name,
    incarnation: u64,
    /// Shortest time between two appends.
    interval: Millis,
    sequence: u64,
    queue: VecDeque<Entry>,
    /// The last append until its outcome is known.
    sent: Option<Sent>,
    /// Time before which nothing is appended.
    resume: Millis,
    pause: Millis,
    failures: u32,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    /// Appends of the record that had an unknown outcome and may still take effect.
    unknown: Vec<u64>,
}

#[derive(Debug)]
struct Sent {
    sequence: u64,
    entries: Vec<Entry>,
    /// The batch was read back from the stream.
    is_read: bool,
}

impl Journal {
    pub fn new(host: Name, incarnation: u64, interval: Millis) -> Self {
        Journal {
            host,
            incarnation,
            interval,
            sequence: 0,
            queue: VecDeque::new(),
            sent: None,
            resume: Millis(0),
            pause: MIN_PAUSE,
            failures: 0,
        }
    }

    pub fn push(&mut self, record: Record) {
        let unknown = Vec::new();
        self.queue.push_back(Entry { record, unknown });
    }

    /// Removes queued records that are known not to be on the log; returns how many.
    ///
    /// A record whose append had an unknown outcome stays, because that append may take effect.
    pub fn withdraw(&mut self, matches: impl Fn(&Record) -> bool) -> usize {
        let before = self.queue.len();
        self.queue
            .retain(|entry| !entry.unknown.is_empty() || !matches(&entry.record));
        before - self.queue.len()
    }

    /// Whether any record of a matching kind may have reached the log without being confirmed.
    pub fn may_be_logged(&self, matches: impl Fn(&Record) -> bool) -> bool {
        let sent = self.sent.iter().flat_map(|sent| &sent.entries);
        let unknown = self.queue.iter().filter(|entry| !entry.unknown.is_empty());
        sent.chain(unknown).any(|entry| matches(&entry.record))
    }

    /// The next batch to append, if one is due.
    pub fn poll(&mut self, now: Millis) -> Option<Batch> {
        if self.sent.is_some() || self.queue.is_empty() || now < self.resume {
            return None;
        }
        let count = self.queue.len().min(MAX_BATCH);
        let entries: Vec<Entry> = self.queue.drain(..count).collect();
        let records = entries.iter().map(|entry| entry.record.clone()).collect();
        self.sequence += 1;
        self.resume = now + self.interval;
        self.sent = Some(Sent {
            sequence: self.sequence,
            entries,
            is_read: false,
        });
        Some(Batch {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            records,
        })
    }

    /// Takes the outcome of the append of batch `sequence`.
    pub fn appended(&mut self, now: Millis, sequence: u64, outcome: AppendOutcome) {
        let Some(sent) = self.sent.take_if(|sent| sent.sequence == sequence) else {
            return;
        };
        if outcome == AppendOutcome::Done || sent.is_read {
            self.failures = 0;
            self.pause = MIN_PAUSE;
            return;
        }
        self.failures += 1;
        self.resume = now + self.pause;
        self.pause = Millis((self.pause.0 * 2).min(MAX_PAUSE.0));
        for mut entry in sent.entries.into_iter().rev() {
            if matches!(entry.record, Record::Claimed { .. }) {
                continue;
            }
            if outcome == AppendOutcome::Unknown {
                entry.unknown.push(sequence);
            }
            self.queue.push_front(entry);
        }
    }

    /// Takes a batch that was read from the stream.
    pub fn confirm(&mut self, batch: &Batch) {
        if batch.host != self.host || batch.incarnation != self.incarnation {
            return;
        }
        if let Some(sent) = &mut self.sent {
            sent.is_read |= sent.sequence == batch.sequence;
            sent.entries
                .retain(|entry| !entry.unknown.contains(&batch.sequence));
        }
        self.queue
            .retain(|entry| !entry.unknown.contains(&batch.sequence));
    }

    /// Whether the last append succeeded, or no record is left to find out whether the log is back.
    ///
    /// Claims are proposed only while this holds, and a failed append of nothing but claims leaves
    /// no record behind: without the second condition no append would ever follow.
    pub fn is_healthy(&self) -> bool {
        self.failures == 0 || self.backlog() == 0
    }

    /// Records that are not known to be on the log.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.sent.as_ref().map_or(0, |sent| sent.entries.len())
    }
}
