//! Calls to the platform's streams, in the project's own terms.

use bytes::Bytes;

use crate::base::{Millis, Name};

/// A call to the store of streams.
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
    /// Appends keyed records; an empty value drops its key.
    Append {
        to: Partition,
        records: Vec<KeyedRecord>,
        fence: Option<Fence>,
    },
    /// Reads records from an offset on, without waiting.
    Read { from: Partition, offset: u64 },
    /// Reads the newest record of each key, in pages.
    Newest {
        of: Partition,
        after: Option<String>,
    },
}

/// Makes repeated appends idempotent and refuses those of an earlier owner.
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
    /// An owner with a higher epoch has appended.
    Fenced,
    /// The sequence number does not follow the last one.
    OutOfSequence {
        expected: u64,
    },
    Records {
        records: Vec<KeyedRecord>,
        /// Offset from which to continue.
        next: u64,
    },
    /// The records from the offset on have expired.
    Expired,
    Page(Page),
}

/// A page of newest records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page {
    pub records: Vec<KeyedRecord>,
    /// Whether to continue after the last key of this page.
    pub has_more: bool,
    /// Offset after the newest record of the partition.
    pub end: u64,
}
