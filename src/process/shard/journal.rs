//! Group commit of a shard's records. One append is pending at a time, and it is repeated until its
//! outcome is known.

use std::collections::BTreeSet;

use crate::base::{Millis, Name};
use crate::connection::{
    CallError, Fence, KeyedRecord, Partition, StoreAnswer, StoreCall, StoreRequest,
};
use crate::request::job::JobId;
use crate::version::ShardRecord;

/// Shortest time between two appends, in milliseconds. Each call to the store costs money and an
/// append takes about 10 ms anyway, so the records of a few more milliseconds share one append.
const APPEND_INTERVAL: Millis = Millis(25);
/// Pause before a failed append is repeated, in milliseconds.
const RETRY_PAUSE: Millis = Millis(120);
/// New work is refused once appends have failed for this long, in milliseconds.
const FAILING_TIME: Millis = Millis(300);
/// Most bytes in one append; the store accepts up to 2 MiB.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Timeout of a call to the store, in milliseconds. The store usually answers within a few
/// milliseconds, and within a few hundred when it is slow.
const STORE_TIMEOUT: Millis = Millis(1_500);

/// What takes effect once a record is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The claim of this owner.
    Owner,
    Worker(Name),
    /// The deletion of the record of how long the worker was waited for.
    WaitEnded(Name),
    /// The record that this owner grants no more leases.
    Resigned,
    /// The deletion of that record.
    ResignationEnded,
    /// The deletion of the record of the runs that the worker, which was leaving, may still have.
    Reopened(Name),
    Accepted(JobId),
    /// The record that the job has not started.
    Deferred(JobId),
    /// The deletion of that record.
    MayStart(JobId),
    Ended(JobId),
    /// The lost runs up to this change.
    LostRuns(u64),
    /// The effects of all ends of runs up to `number` in this incarnation of the worker are
    /// recorded.
    Acknowledged {
        worker: Name,
        incarnation: u64,
        number: u64,
    },
}

/// A record and what takes effect once it is stored.
#[derive(Debug, Clone)]
struct Entry {
    record: KeyedRecord,
    commit: Option<Commit>,
}

/// The records of the pending append.
#[derive(Debug, Clone)]
struct Batch {
    records: Vec<KeyedRecord>,
    commits: Vec<Commit>,
    /// The same records, each with its own commit, so that they can be withdrawn.
    entries: Vec<Entry>,
    /// When it was first sent.
    sent: Millis,
    /// Whether the store may have stored the batch although no answer has confirmed it.
    may_be_stored: bool,
    /// When the append is repeated, or `None` while its answer is awaited.
    retry_at: Option<Millis>,
}

/// Outcome of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Appended {
    Committed(Vec<Commit>),
    /// Another owner has claimed the journal.
    Superseded,
    Failed,
}

/// The records of a shard that are not stored yet.
#[derive(Debug)]
pub struct Journal {
    partition: Partition,
    producer: Name,
    epoch: u64,
    /// Number of appends of this owner that the store has carried out.
    sequence: u64,
    pending: Vec<Entry>,
    /// Jobs whose progress has changed since it was last recorded.
    dirty: BTreeSet<JobId>,
    batch: Option<Batch>,
    last_sent: Millis,
    last_stored: Millis,
    /// When the newest append was sent that the store has carried out.
    owned_at: Millis,
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
            owned_at: Millis(0),
            failing_since: None,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Adds a record to the next batch; `commit` takes effect once it is stored.
    pub fn push(&mut self, record: &ShardRecord, commit: Option<Commit>) {
        let record = KeyedRecord {
            key: record.key(),
            value: record.value(),
        };
        self.pending.push(Entry { record, commit });
    }

    /// Marks a job whose progress is to be recorded with the next batch.
    pub fn mark_dirty(&mut self, job: JobId) {
        self.dirty.insert(job);
    }

    pub fn clear_dirty(&mut self, job: JobId) {
        self.dirty.remove(&job);
    }

    /// Whether appends have failed for long enough to refuse new work.
    pub fn is_failing(&self, now: Millis) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= FAILING_TIME)
    }

    /// How long appends have been failing.
    pub fn failing_for(&self, now: Millis) -> Option<Millis> {
        self.failing_since.map(|since| now.since(since))
    }

    /// The latest time at which certainly no other owner had claimed the shard.
    pub fn owned_at(&self) -> Millis {
        self.owned_at
    }

    pub fn last_stored(&self) -> Millis {
        self.last_stored
    }

    /// Whether a new batch may be sent now.
    pub fn may_append(&self, now: Millis) -> bool {
        self.batch.is_none() && now.since(self.last_sent) >= APPEND_INTERVAL
    }

    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.dirty.is_empty()
    }

    /// Removes and returns the jobs whose progress is to be recorded.
    pub fn take_dirty(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.dirty).into_iter().collect()
    }

    /// Starts a batch of pending records and returns its append, or `None` if there is none to
    /// send. The commits in `acknowledgements` take effect with it if it holds all pending records.
    pub fn start_batch(
        &mut self,
        now: Millis,
        acknowledgements: Vec<Commit>,
    ) -> Option<StoreRequest> {
        if self.batch.is_some() || self.pending.is_empty() {
            return None;
        }
        let mut size = 0;
        let mut count = 0;
        for entry in &self.pending {
            size += entry.record.key.len() + entry.record.value.len() + 5;
            if count > 0 && size > MAX_BATCH_BYTES {
                break;
            }
            count += 1;
        }
        // Ends may be acknowledged only together with all records that they led to.
        let has_all = count == self.pending.len();
        let entries: Vec<Entry> = self.pending.drain(..count).collect();
        let mut commits: Vec<Commit> = entries
            .iter()
            .filter_map(|entry| entry.commit.clone())
            .collect();
        if has_all {
            commits.extend(acknowledgements);
        }
        self.batch = Some(Batch {
            records: entries.iter().map(|entry| entry.record.clone()).collect(),
            commits,
            entries,
            sent: now,
            may_be_stored: false,
            retry_at: None,
        });
        self.send(now)
    }

    /// Repeats the pending append if the pause after its failure is over.
    pub fn resend(&mut self, now: Millis) -> Option<StoreRequest> {
        let batch = self.batch.as_ref()?;
        match batch.retry_at {
            Some(at) if at <= now => self.send(now),
            _ => None,
        }
    }

    /// The append of the current batch.
    fn send(&mut self, now: Millis) -> Option<StoreRequest> {
        self.last_sent = now;
        let batch = self.batch.as_mut()?;
        batch.retry_at = None;
        Some(StoreRequest::Append {
            partition: self.partition.clone(),
            records: batch.records.clone(),
            fence: Some(Fence {
                producer: self.producer.clone(),
                epoch: self.epoch,
                sequence: self.sequence,
            }),
        })
    }

    /// Handles the answer to the pending append.
    pub fn handle_answer(
        &mut self,
        now: Millis,
        answer: Result<StoreAnswer, CallError>,
    ) -> Appended {
        let Some(mut batch) = self.batch.take() else {
            return Appended::Failed;
        };
        match answer {
            Ok(StoreAnswer::Appended) => {
                self.sequence += 1;
                self.last_stored = now;
                self.owned_at = batch.sent;
                self.failing_since = None;
                return Appended::Committed(batch.commits);
            }
            Ok(StoreAnswer::Fenced) => return Appended::Superseded,
            // No other owner uses this epoch, so the store can be one append ahead only if it has
            // stored this batch before and does not recognize the repeated append.
            Ok(StoreAnswer::OutOfSequence { expected }) if expected == self.sequence + 1 => {
                self.sequence += 1;
                self.last_stored = now;
                self.owned_at = batch.sent;
                return Appended::Committed(batch.commits);
            }
            Ok(_) => return Appended::Superseded,
            Err(CallError::NotSent | CallError::Refused) => {}
            Err(CallError::NoAnswer | CallError::Malformed) => batch.may_be_stored = true,
        }
        self.failing_since.get_or_insert(now);
        batch.retry_at = Some(now + RETRY_PAUSE);
        self.batch = Some(batch);
        Appended::Failed
    }

    /// Removes the submissions that are certainly not stored and returns their jobs.
    pub fn withdraw(&mut self) -> Vec<JobId> {
        if let Some(batch) = self
            .batch
            .take_if(|batch| !batch.may_be_stored && batch.retry_at.is_some())
        {
            // Its acknowledgements are dropped here; the next batch collects them again.
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
            // Its job comes before it.
            Some(Commit::Deferred(job)) => !withdrawn.contains(&job),
            _ => true,
        });
        withdrawn
    }
}

pub(super) fn store_call(request: StoreRequest) -> StoreCall {
    StoreCall {
        request,
        timeout: STORE_TIMEOUT,
    }
}
