//! Model of the store: one keyed stream that rejects appends with an outdated fence.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use jayfork::connection::{CallError, Fence, KeyedRecord, Page, StoreAnswer, StoreRequest};

/// Most records in a page.
const PAGE: usize = 50;
/// Largest record that it takes, in bytes. A call with a larger one has no effect, and gets an answer that owners don't
/// know.
const MAX_RECORD: usize = 262_144;

#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, Bytes>,
    fence: Option<Fence>,
    end: u64,
    /// Whether all calls are refused without effect.
    pub is_down: bool,
    /// How much longer than usual an answer takes, in milliseconds.
    pub delay: u64,
}

impl Store {
    /// Carries out a request and returns its answer.
    pub fn serve(&mut self, request: &StoreRequest) -> Result<StoreAnswer, CallError> {
        if self.is_down {
            return Err(CallError::Refused);
        }
        match request {
            StoreRequest::Append { records, .. } if records.iter().any(is_too_large) => {
                Err(CallError::Malformed)
            }
            StoreRequest::Append { records, fence, .. } => Ok(self.append(records, fence.as_ref())),
            StoreRequest::Newest { after, .. } => {
                let mut records = self.after(after.as_deref().unwrap_or(""));
                let has_more = records.len() > PAGE;
                records.truncate(PAGE);
                Ok(StoreAnswer::Page(Page {
                    records,
                    unreadable: Vec::new(),
                    has_more,
                    end: self.end,
                }))
            }
            StoreRequest::Read { offset, .. } => Ok(StoreAnswer::Records {
                records: Vec::new(),
                next: *offset,
                end: *offset,
            }),
        }
    }

    /// The records whose keys follow `key`.
    fn after(&self, key: &str) -> Vec<KeyedRecord> {
        let range = (Bound::Excluded(key.to_owned()), Bound::Unbounded);
        let records = self.records.range(range).map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        });
        records.collect()
    }

    fn append(&mut self, records: &[KeyedRecord], fence: Option<&Fence>) -> StoreAnswer {
        if let (Some(new), Some(old)) = (fence, &self.fence) {
            if new.epoch < old.epoch {
                return StoreAnswer::Fenced;
            }
            if new.epoch == old.epoch && new.sequence == old.sequence {
                return StoreAnswer::Appended;
            }
            if new.epoch == old.epoch && new.sequence != old.sequence + 1 {
                let expected = old.sequence + 1;
                return StoreAnswer::OutOfSequence { expected };
            }
        }
        self.fence = fence.cloned();
        for record in records {
            self.end += 1;
            match record.value.is_empty() {
                true => self.records.remove(&record.key),
                false => self
                    .records
                    .insert(record.key.clone(), record.value.clone()),
            };
        }
        StoreAnswer::Appended
    }
}

fn is_too_large(record: &KeyedRecord) -> bool {
    1 + record.key.len() + record.value.len() > MAX_RECORD
}
