//! Group commit of a shard's records: one append at a time, repeated until its outcome is known.

use std::collections::BTreeSet;

use crate::base::{Millis, Name};
use crate::connection::{CallError, Fence, KeyedRecord, Partition, StoreAnswer, StoreRequest};
use crate::request::job::JobId;
use crate::version::ShardRecord;

/// Shortest time between two appends in milliseconds. Calls are priced and an append takes some
/// 10 ms in any case, so records of a few more milliseconds share one.
const GROUP_TIME: Millis = Millis(25);
/// Pause after an append that the store refused, in milliseconds.
const RETRY_TIME: Millis = Millis(120);
/// Time without a successful append after which new work is refused, in milliseconds.
const FAILING_TIME: Millis = Millis(300);
/// Bytes of one append; the store takes 2 MiB.
const MAX_BATCH: usize = 1 << 20;

/// What becomes true once a record is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    Owner,
    Worker(Name),
    Accepted(JobId),
    Ended(JobId),
    /// All ends of the worker's life up to this number are recorded.
    Noted {
        worker: Name,
        born: u64,
        number: u64,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    record: KeyedRecord,
    commit: Option<Commit>,
}

#[derive(Debug, Clone)]
struct Batch {
    records: Vec<KeyedRecord>,
    commits: Vec<Commit>,
    /// Submissions among the commits, with their records.
    entries: Vec<Entry>,
    /// Whether an earlier try of this batch may have been carried out.
    is_uncertain: bool,
    /// When the next try is due, or `None` while one is under way.
    retry_at: Option<Millis>,
}

/// Outcome of an append, for the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Appended {
    Committed(Vec<Commit>),
    Superseded,
    Failed,
}

/// Records that wait for the store.
#[derive(Debug)]
pub struct Journal {
    partition: Partition,
    producer: Name,
    epoch: u64,
    sequence: u64,
    pending: Vec<Entry>,
    /// Jobs whose progress has changed since it was last recorded.
    dirty: BTreeSet<JobId>,
    batch: Option<Batch>,
    last_sent: Millis,
    last_stored: Millis,
    failing_since: Option<Millis>,
}

impl Journal {
    pub fn new(partition: Partition, epoch: u64, now: Millis) -> Self {
        Journal {
            producer: format!("shard-{}", partition.part).into(),
            partition,
            epoch,
            sequence: 0,
            pending: Vec::new(),
            dirty: BTreeSet::new(),
            batch: None,
            last_sent: Millis(0),
            last_stored: now,
            failing_since: None,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn push(&mut self, record: &ShardRecord, commit: Option<Commit>) {
        let record = KeyedRecord {
            key: record.key(),
            value: record.value(),
        };
        self.pending.push(Entry { record, commit });
    }

    /// Records the progress of a job with the next batch.
    pub fn mark(&mut self, job: JobId) {
        self.dirty.insert(job);
    }

    pub fn unmark(&mut self, job: JobId) {
        self.dirty.remove(&job);
    }

    /// Whether appends have failed for long enough to refuse new work.
    pub fn is_failing(&self, now: Millis) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= FAILING_TIME)
    }

    /// How long appends have failed.
    pub fn failing_for(&self, now: Millis) -> Option<Millis> {
        self.failing_since.map(|since| now.since(since))
    }

    pub fn last_stored(&self) -> Millis {
        self.last_stored
    }

    /// Whether a batch could be sent if there is anything to record.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.batch.is_none() && now.since(self.last_sent) >= GROUP_TIME
    }

    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.dirty.is_empty()
    }

    /// Takes the jobs whose progress goes into the next batch.
    pub fn take_dirty(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.dirty).into_iter().collect()
    }

    /// Builds and returns the next append; `extra` commits hold once it is stored.
    pub fn build(&mut self, now: Millis, extra: Vec<Commit>) -> Option<StoreRequest> {
        if self.batch.is_some() || self.pending.is_empty() {
            return None;
        }
        let mut size = 0;
        let mut count = 0;
        for entry in &self.pending {
            size += entry.record.key.len() + entry.record.value.len() + 5;
            if count > 0 && size > MAX_BATCH {
                break;
            }
            count += 1;
        }
        // What is noted of workers depends on all records before it.
        let is_whole = count == self.pending.len();
        let entries: Vec<Entry> = self.pending.drain(..count).collect();
        let mut commits: Vec<Commit> = entries
            .iter()
            .filter_map(|entry| entry.commit.clone())
            .collect();
        if is_whole {
            commits.extend(extra);
        }
        self.batch = Some(Batch {
            records: entries.iter().map(|entry| entry.record.clone()).collect(),
            commits,
            entries,
            is_uncertain: false,
            retry_at: None,
        });
        self.send(now)
    }

    /// Repeats the append under way if its pause is over.
    pub fn retry(&mut self, now: Millis) -> Option<StoreRequest> {
        let batch = self.batch.as_ref()?;
        match batch.retry_at {
            Some(at) if at <= now => self.send(now),
            _ => None,
        }
    }

    fn send(&mut self, now: Millis) -> Option<StoreRequest> {
        self.last_sent = now;
        let batch = self.batch.as_mut()?;
        batch.retry_at = None;
        Some(StoreRequest::Append {
            to: self.partition.clone(),
            records: batch.records.clone(),
            fence: Some(Fence {
                producer: self.producer.clone(),
                epoch: self.epoch,
                sequence: self.sequence,
            }),
        })
    }

    /// Takes the answer to the append under way.
    pub fn answered(&mut self, now: Millis, answer: Result<StoreAnswer, CallError>) -> Appended {
        let Some(mut batch) = self.batch.take() else {
            return Appended::Failed;
        };
        match answer {
            Ok(StoreAnswer::Appended) => {
                self.sequence += 1;
                self.last_stored = now;
                self.failing_since = None;
                return Appended::Committed(batch.commits);
            }
            Ok(StoreAnswer::Fenced) => return Appended::Superseded,
            // This owner is the only one that uses its epoch, so the store can be ahead of it only
            // if it has carried out this batch and forgotten its answer.
            Ok(StoreAnswer::OutOfSequence { expected }) if expected == self.sequence + 1 => {
                self.sequence += 1;
                self.last_stored = now;
                return Appended::Committed(batch.commits);
            }
            Ok(_) => return Appended::Superseded,
            Err(CallError::NotSent | CallError::Refused) => {}
            Err(CallError::NoAnswer | CallError::Malformed) => batch.is_uncertain = true,
        }
        self.failing_since.get_or_insert(now);
        batch.retry_at = Some(now + RETRY_TIME);
        self.batch = Some(batch);
        Appended::Failed
    }

    /// Takes back the submissions that are certainly not stored.
    pub fn withdraw(&mut self) -> Vec<JobId> {
        if let Some(batch) = self
            .batch
            .take_if(|batch| !batch.is_uncertain && batch.retry_at.is_some())
        {
            // Its noted ends are found again when the next batch is built.
            let mut entries = batch.entries;
            entries.append(&mut self.pending);
            self.pending = entries;
        }
        let mut withdrawn = Vec::new();
        self.pending.retain(|entry| match entry.commit {
            Some(Commit::Accepted(job)) => {
                withdrawn.push(job);
                false
            }
            _ => true,
        });
        withdrawn
    }
}
