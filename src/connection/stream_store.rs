//! Calls to the platform's stream store, independent of the encoding on the wire.

use bytes::Bytes;

use crate::base::{Millis, Name};

/// A call to the stream store.
#[derive(Debug, Clone)]
pub struct StoreCall {
    pub request: StoreRequest,
    pub timeout: Millis,
}

/// A partition of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Partition {
    pub stream: Name,
    pub part: u32,
}

#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Appends keyed records; a record with an empty value deletes its key.
    Append {
        partition: Partition,
        records: Vec<KeyedRecord>,
        fence: Option<Fence>,
    },
    /// Reads records from an offset on, without waiting for new ones.
    Read { partition: Partition, offset: u64 },
    /// Reads the newest record of each key page by page; `after` is the last key of the page
    /// before.
    Newest {
        partition: Partition,
        after: Option<String>,
    },
}

/// Lets the store ignore repeated appends and refuse those of an earlier owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    pub producer: Name,
    pub epoch: u64,
    pub sequence: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    pub key: String,
    pub value: Bytes,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    Appended,
    /// Refused: an owner with a higher epoch has appended.
    Fenced,
    /// Refused: the sequence number does not follow the last one.
    OutOfSequence {
        expected: u64,
    },
    Records {
        records: Vec<KeyedRecord>,
        /// Offset from which to continue.
        next: u64,
        /// End of the partition; larger than `next` if it has more records.
        end: u64,
    },
    /// The store no longer retains the record at the requested offset.
    Expired,
    Page(Page),
}

/// A page of the newest records by key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page {
    pub records: Vec<KeyedRecord>,
    /// Keys of the records on this page whose value can't be read.
    pub unreadable: Vec<String>,
    /// Whether more keys follow the last one of this page.
    pub has_more: bool,
    /// Offset after the newest record of the partition.
    pub end: u64,
}

impl Page {
    /// The last key of this page, also if its value can't be read. Pages are in the order of the keys.
    pub fn last_key(&self) -> Option<&String> {
        let last = self.records.last().map(|record| &record.key);
        last.max(self.unreadable.last())
    }
}
