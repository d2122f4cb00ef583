//! Model of the store: one keyed stream that rejects appends with an outdated fence.

use std::collections::BTreeMap;

use bytes::Bytes;
use jayfork::connection::{CallError, Fence, KeyedRecord, Page, StoreAnswer, StoreRequest};

#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<String, Bytes>,
    fence: Option<Fence>,
    end: u64,
    /// Whether all calls are refused without effect.
    pub is_down: bool,
}

impl Store {
    /// Carries out a request and returns its answer.
    pub fn serve(&mut self, request: &StoreRequest) -> Result<StoreAnswer, CallError> {
        if self.is_down {
            return Err(CallError::Refused);
        }
        match request {
            StoreRequest::Append { records, fence, .. } => Ok(self.append(records, fence.as_ref())),
            StoreRequest::Newest { .. } => Ok(StoreAnswer::Page(Page {
                records: self.all(),
                has_more: false,
                end: self.end,
            })),
            StoreRequest::Read { offset, .. } => Ok(StoreAnswer::Records {
                records: Vec::new(),
                next: *offset,
            }),
        }
    }

    fn all(&self) -> Vec<KeyedRecord> {
        let records = self.records.iter().map(|(key, value)| KeyedRecord {
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
