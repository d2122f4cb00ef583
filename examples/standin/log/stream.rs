//! One stream of the log.

use std::collections::VecDeque;

use jayfork::base::{Millis, Offset};
use jayfork::connection::wire::{LogRecord, ReadReply};

/// Limits on the records that a stream keeps; 0 is unlimited.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// Maximum age of a record, in milliseconds.
    pub age: u64,
    /// Maximum number of records.
    pub records: u64,
}

#[derive(Debug, Default)]
pub struct Stream {
    /// Offset of the next record.
    next: u64,
    records: VecDeque<LogRecord>,
}

impl Stream {
    pub fn append(&mut self, now: Millis, data: &[u8]) -> Offset {
        let offset = Offset(self.next);
        self.next += 1;
        self.records.push_back(LogRecord {
            offset,
            time: now.0,
            data: data.to_vec(),
        });
        offset
    }

    /// Removes the records beyond the limits.
    pub fn expire(&mut self, now: Millis, retention: Retention) {
        let excess = match retention.records {
            0 => 0,
            limit => self.records.len().saturating_sub(limit as usize),
        };
        self.records.drain(..excess);
        if retention.age == 0 {
            return;
        }
        while let Some(oldest) = self.records.front()
            && oldest.time + retention.age <= now.0
        {
            self.records.pop_front();
        }
    }

    pub fn read(&self, from: u64, max: usize) -> ReadReply {
        let first = self.next - self.records.len() as u64;
        let skipped = from.saturating_sub(first) as usize;
        ReadReply {
            first: Offset(first),
            next: Offset(self.next),
            records: self
                .records
                .iter()
                .skip(skipped)
                .take(max)
                .cloned()
                .collect(),
        }
    }

    /// Returns whether a record at or after offset `from` is kept.
    pub fn has_record_from(&self, from: u64) -> bool {
        from < self.next && !self.records.is_empty()
    }
}
