//! Records of a shard in its keyed stream. Only the newest record of each key counts.

use std::net::SocketAddr;

use bincode::error::DecodeError;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::queues::Queue;
use crate::base::Name;
use crate::request::job::{
    JobId, JobProgress, JobSpec, LearnedImage, Outcome, TaskCrashes, TaskDetail, TaskKey,
};

/// Upper bound of the memory of a decoded record, in bytes. The store takes up to 2 MiB at once, and a
/// byte becomes a number of 8 bytes at most.
const MAX_DECODED: usize = 16 << 20;

/// Why a record could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("key {0:?} names no known kind of record")]
    Key(String),
    #[error("value of key {key:?} can't be decoded: {reason}")]
    Value { key: String, reason: String },
}

pub type Result<T> = std::result::Result<T, Error>;

/// Number of low bits of an epoch that are random, so that two claims with the same ordinal differ.
pub(crate) const EPOCH_BITS: u32 = 16;

/// Owner of the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub host: Name,
    /// Incarnation of the host's process: a number that it takes at each start.
    pub boot: u64,
    pub epoch: u64,
}

/// A worker that has reported to the owner. It gets no order to start a task before it is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    pub address: SocketAddr,
    pub service: Name,
    /// Whether the worker has announced that it leaves.
    pub is_leaving: bool,
}

/// What a later owner must know of the lease of a worker that it cannot reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Whether it may be longer than owners grant.
    pub is_long: bool,
}

/// How long owners have waited for a worker that does not answer, since one of them may have granted it a
/// lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitRecord {
    /// Time since the claim of the first owner that it has not reported to, in milliseconds, or since the last
    /// lease with as much as an isolated owner would have granted leases longer. The gaps between owners
    /// are not counted.
    pub waited: u64,
    /// Epoch of the last of them. Of an owner after it that does not know this record, a later one cannot
    /// tell whether it has granted a lease.
    pub epoch: u64,
}

impl WaitRecord {
    /// Whether no owner can have claimed the shard between the one that wrote it and that of `epoch`.
    pub fn is_known_to(&self, epoch: u64) -> bool {
        is_next(self.epoch, epoch)
    }
}

/// The resignation of an owner: it grants no lease from before the record is stored until it is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResignationRecord {
    pub epoch: u64,
}

impl ResignationRecord {
    /// Whether no owner can have claimed the shard between the one that wrote it and that of `epoch`.
    pub fn is_known_to(&self, epoch: u64) -> bool {
        is_next(self.epoch, epoch)
    }
}

/// Whether no owner can have claimed the shard between those of these epochs. Two claims may have the same
/// ordinal.
fn is_next(earlier: u64, epoch: u64) -> bool {
    epoch >> EPOCH_BITS <= (earlier >> EPOCH_BITS) + 1
}

/// A run whose start the worker has confirmed, and that was lost with it soon after.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub task: TaskKey,
    pub run: u64,
    /// Start of the worker's incarnation that got the run, in Unix milliseconds; 0 if it has certainly
    /// ended.
    pub incarnation: u64,
    /// When it was lost, in Unix milliseconds.
    pub lost: u64,
    pub start: StartEvidence,
}

/// What is known of the start of a run that was lost with its worker. Earlier versions wrote whether the worker
/// had not reported since the start was over; the first two variants are encoded like that flag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartEvidence {
    /// A report has shown the run after its start.
    Over,
    /// The worker fell silent during the start.
    Interrupted,
    /// The worker fell silent later, or at an unknown time, and no report has shown the run after its start.
    Unknown,
}

/// Runs that were lost with a worker and whose tasks may have started again. If one of them has succeeded or failed, its
/// end must not be acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupersededRecord {
    /// Start of the worker's incarnation that got the runs, in Unix milliseconds; `None` without such runs.
    pub incarnation: Option<u64>,
    /// Runs with lower numbers may have been lost too: an owner has not heard the worker. 0 for none.
    pub before: u64,
    /// The tasks with the numbers of their runs.
    pub runs: Vec<(TaskKey, u64)>,
}

/// A queue that jobs belong to. Configurations may give it another name or path, or drop it; its jobs stay in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRecord {
    /// As the newest configuration that has it describes it.
    pub queue: Queue,
    /// Version of that configuration, or of an earlier one with the same description.
    pub version: u64,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Id of the queue: its name when an owner first recorded it. In records of earlier versions of the program,
    /// which have no record of the queue, its name when the job was accepted.
    pub queue: Name,
    /// Time of acceptance in Unix milliseconds.
    pub accepted: u64,
    pub spec: JobSpec,
}

/// State of a job; its specification is in `JobRecord`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStateRecord {
    Open(JobProgress),
    Ended {
        /// As in `JobRecord`.
        queue: Name,
        outcome: Outcome,
        /// Time of the end in Unix milliseconds.
        at: u64,
    },
}

/// A part of the details of a job's tasks that its state has no room for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetailsRecord {
    /// When it was written, in Unix milliseconds. A task may stand in parts of different times; the newest one counts.
    pub written: u64,
    pub details: Vec<TaskDetail>,
}

/// One record of the shard; `None` deletes the key.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardRecord {
    Owner(OwnerRecord),
    Worker(Name, Option<WorkerRecord>),
    /// It has a record of its own, since hosts of earlier versions skip unknown keys but could not decode
    /// another form of the worker's record.
    Lease(Name, Option<LeaseRecord>),
    /// By the queue's id. Hosts of earlier versions take the id for the queue's name.
    Queue(Name, Option<QueueRecord>),
    Job(JobId, Option<JobRecord>),
    State(JobId, Option<JobStateRecord>),
    /// With the number of the part.
    Details(JobId, u32, Option<DetailsRecord>),
    /// Whether the job is known not to have started: true until its first start is permitted. Jobs
    /// without this record may have started.
    Deferred(JobId, bool),
    /// What the owner has learned of the interference between images.
    Contention(Vec<LearnedImage>),
    /// Runs of a job's tasks that have crashed their workers. They have a record of their own, since
    /// hosts of earlier versions skip unknown keys but could not decode another form of the state.
    Crashes(JobId, Option<Vec<TaskCrashes>>),
    /// How long a worker was waited for, until it may get a lease again.
    Wait(Name, Option<WaitRecord>),
    /// The runs that a worker has confirmed and may have crashed it, until it is known whether its process
    /// has ended.
    Suspects(Name, Option<Vec<SuspectRecord>>),
    /// That an owner grants no more leases.
    Resignation(Option<ResignationRecord>),
    /// Tasks that may still run on a worker that is leaving, which gets no starts until the record is
    /// deleted.
    Remaining(Name, Option<Vec<TaskKey>>),
    /// Lost runs of a worker whose tasks may have started again, until the worker reports without them.
    Superseded(Name, Option<SupersededRecord>),
}

const OWNER: &str = "owner";
const CONTENTION: &str = "contention";
const RESIGNATION: &str = "resignation";

impl ShardRecord {
    pub fn key(&self) -> String {
        match self {
            ShardRecord::Owner(_) => OWNER.to_owned(),
            ShardRecord::Worker(id, _) => format!("w/{id}"),
            ShardRecord::Lease(id, _) => format!("l/{id}"),
            ShardRecord::Queue(id, _) => format!("q/{id}"),
            ShardRecord::Job(id, _) => format!("j/{id}"),
            ShardRecord::State(id, _) => format!("s/{id}"),
            ShardRecord::Details(id, part, _) => format!("t/{id}/{part}"),
            ShardRecord::Deferred(id, _) => format!("n/{id}"),
            ShardRecord::Contention(_) => CONTENTION.to_owned(),
            ShardRecord::Crashes(id, _) => format!("c/{id}"),
            ShardRecord::Suspects(id, _) => format!("u/{id}"),
            ShardRecord::Wait(id, _) => format!("v/{id}"),
            ShardRecord::Remaining(id, _) => format!("r/{id}"),
            ShardRecord::Superseded(id, _) => format!("x/{id}"),
            ShardRecord::Resignation(_) => RESIGNATION.to_owned(),
        }
    }

    /// The encoded value; empty if the record deletes its key.
    pub fn value(&self) -> Bytes {
        match self {
            ShardRecord::Owner(owner) => encode(owner),
            ShardRecord::Worker(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Lease(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Queue(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Job(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::State(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Details(_, _, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Deferred(_, true) => Bytes::from_static(&[1]),
            ShardRecord::Deferred(_, false) => Bytes::new(),
            ShardRecord::Contention(learned) => encode(learned),
            ShardRecord::Crashes(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Suspects(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Wait(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Remaining(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Superseded(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Resignation(value) => value.as_ref().map(encode).unwrap_or_default(),
        }
    }

    /// Decodes a record from its key and value.
    ///
    /// # Errors
    ///
    /// `Key` for an unknown kind, which a later version may have written; `Value` for bytes that
    /// can't be decoded.
    pub fn decode(key: &str, value: &[u8]) -> Result<ShardRecord> {
        let unknown = || Error::Key(key.to_owned());
        if key == OWNER {
            return Ok(ShardRecord::Owner(decode_value(key, value)?));
        }
        if key == CONTENTION {
            return Ok(ShardRecord::Contention(decode_value(key, value)?));
        }
        if key == RESIGNATION {
            return Ok(ShardRecord::Resignation(decode_optional(key, value)?));
        }
        let (kind, id) = key.split_once('/').ok_or_else(unknown)?;
        match kind {
            "w" => Ok(ShardRecord::Worker(id.into(), decode_optional(key, value)?)),
            "l" => Ok(ShardRecord::Lease(id.into(), decode_optional(key, value)?)),
            "q" => Ok(ShardRecord::Queue(id.into(), decode_optional(key, value)?)),
            "j" => Ok(ShardRecord::Job(
                id.parse().map_err(|_| unknown())?,
                decode_optional(key, value)?,
            )),
            "s" => Ok(ShardRecord::State(
                id.parse().map_err(|_| unknown())?,
                decode_optional(key, value)?,
            )),
            "t" => {
                let (job, part) = id.split_once('/').ok_or_else(unknown)?;
                Ok(ShardRecord::Details(
                    job.parse().map_err(|_| unknown())?,
                    part.parse().map_err(|_| unknown())?,
                    decode_optional(key, value)?,
                ))
            }
            "n" => Ok(ShardRecord::Deferred(
                id.parse().map_err(|_| unknown())?,
                !value.is_empty(),
            )),
            "c" => Ok(ShardRecord::Crashes(
                id.parse().map_err(|_| unknown())?,
                decode_optional(key, value)?,
            )),
            "u" => Ok(ShardRecord::Suspects(
                id.into(),
                decode_optional(key, value)?,
            )),
            "v" => Ok(ShardRecord::Wait(id.into(), decode_optional(key, value)?)),
            "r" => Ok(ShardRecord::Remaining(
                id.into(),
                decode_optional(key, value)?,
            )),
            "x" => Ok(ShardRecord::Superseded(
                id.into(),
                decode_optional(key, value)?,
            )),
            _ => Err(unknown()),
        }
    }
}

/// Decodes the value of a key; an empty value means that the key is deleted.
fn decode_optional<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<Option<T>> {
    match value {
        [] => Ok(None),
        value => decode_value(key, value).map(Some),
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    // Encoding into memory fails only for sequences of unknown length, which records don't contain.
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_else(|error| unreachable!("cannot encode a record: {error}"))
}

fn decode_value<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    decode_bounded(value).map_err(|error| Error::Value {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}

/// Decodes bytes of a stream. Without the limit, a length that they contain would be allocated before
/// it is compared with the bytes that follow.
pub(crate) fn decode_bounded<T: DeserializeOwned>(
    bytes: &[u8],
) -> std::result::Result<T, DecodeError> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED>();
    bincode::serde::decode_from_slice(bytes, config).map(|(decoded, _)| decoded)
}
