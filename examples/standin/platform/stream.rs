//! One partition of the store: records, the newest one of each key, and the producers' epochs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Number of appends of a producer whose repetition gets the first answer again.
const KEPT_ANSWERS: usize = 5;

#[derive(Debug, Default)]
pub struct Stream {
    pub first: u64,
    pub end: u64,
    records: VecDeque<(Instant, Bytes)>,
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: HashMap<String, Producer>,
    /// When the appends received so far have been carried out.
    pub busy_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    /// Sequence number of the last append; `None` if the epoch has none yet.
    last: Option<u64>,
    /// Sequence numbers of the last appends and the offsets of their first records.
    answers: VecDeque<(u64, u64, u64)>,
}

/// Identifies an append of a producer.
#[derive(Debug)]
pub struct Fence {
    pub producer: String,
    pub epoch: u64,
    pub sequence: u64,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Appended {
    /// Offset of the first record, and the end after the last one.
    Done(u64, u64),
    Fenced,
    /// The sequence number that has to follow.
    OutOfSequence(u64),
    Malformed,
}

impl Stream {
    /// Appends all records of a body or none.
    pub fn append(&mut self, body: &Bytes, fence: Option<Fence>, is_keyed: bool) -> Appended {
        let Some(records) = split(body) else {
            return Appended::Malformed;
        };
        let Some(fence) = fence else {
            return self.push(records, is_keyed);
        };
        let producer = self.producers.entry(fence.producer.clone()).or_default();
        if fence.epoch < producer.epoch {
            return Appended::Fenced;
        }
        if fence.epoch > producer.epoch {
            *producer = Producer {
                epoch: fence.epoch,
                ..Producer::default()
            };
        }
        if records.is_empty() {
            return Appended::Done(self.end, self.end);
        }
        let repeated = producer
            .answers
            .iter()
            .find(|kept| kept.0 == fence.sequence);
        if let Some(&(_, offset, end)) = repeated {
            return Appended::Done(offset, end);
        }
        let expected = producer.last.map_or(fence.sequence, |last| last + 1);
        if fence.sequence != expected {
            return Appended::OutOfSequence(expected);
        }
        let appended = self.push(records, is_keyed);
        if let Appended::Done(offset, end) = appended {
            let producer = self.producers.entry(fence.producer).or_default();
            producer.last = Some(fence.sequence);
            producer.answers.push_back((fence.sequence, offset, end));
            if producer.answers.len() > KEPT_ANSWERS {
                producer.answers.pop_front();
            }
        }
        appended
    }

    fn push(&mut self, records: Vec<Bytes>, is_keyed: bool) -> Appended {
        let offset = self.end;
        let now = Instant::now();
        if is_keyed && records.iter().any(|record| split_key(record).is_none()) {
            return Appended::Malformed;
        }
        for record in records {
            if let Some((key, value)) = split_key(&record).filter(|_| is_keyed) {
                match value.is_empty() {
                    true => self.newest.remove(&key),
                    false => self.newest.insert(key, (self.end, value)),
                };
            }
            self.records.push_back((now, record));
            self.end += 1;
        }
        Appended::Done(offset, self.end)
    }

    /// Drops the records older than `age`, except the newest one of each key.
    pub fn expire(&mut self, age: Duration) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > age)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// The records from an offset on, at least one if there is any, and at most `max` bytes.
    pub fn read(&self, from: u64, max: usize) -> Vec<&Bytes> {
        let skipped = from.saturating_sub(self.first) as usize;
        let mut size = 0;
        let records = self.records.iter().skip(skipped).map(|(_, record)| record);
        records
            .take_while(|record| {
                let fits = size == 0 || size + record.len() + 4 <= max;
                size += record.len() + 4;
                fits
            })
            .collect()
    }

    /// The newest records of the keys after `after`.
    pub fn newest<'a>(
        &'a self,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a (u64, Bytes))> {
        let range = self
            .newest
            .range::<str, _>((std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded));
        range.filter(move |(key, _)| !key.is_empty())
    }
}

/// Splits a body into records, each of which follows its length.
fn split(body: &Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    let mut rest = body.clone();
    while !rest.is_empty() {
        let length = u32::from_be_bytes(*rest.first_chunk()?) as usize;
        if rest.len() < 4 + length {
            return None;
        }
        let _ = rest.split_to(4);
        records.push(rest.split_to(length));
    }
    Some(records)
}

/// Splits a keyed record into its key and value.
fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..1 + length)?;
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(1 + length..)))
}
