//! Records of a shard in its keyed stream; the newest of each key holds.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::base::Name;
use crate::request::job::{JobId, JobProgress, JobSpec, Outcome};

/// Why a record could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("key {0:?} is of no known kind")]
    Key(String),
    #[error("value of key {key:?}: {reason}")]
    Value { key: String, reason: String },
}

pub type Result<T> = std::result::Result<T, Error>;

/// Who owns the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub host: Name,
    /// Chosen at each start of the host's process.
    pub boot: u64,
    pub epoch: u64,
}

/// A worker that the owner has given or is about to give orders to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    pub address: SocketAddr,
    pub service: Name,
    /// Whether it has announced that it leaves. A later owner then need not wait for it once nothing
    /// listens at its address.
    pub is_leaving: bool,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    pub queue: Name,
    /// Unix milliseconds.
    pub accepted: u64,
    pub spec: JobSpec,
}

/// What is known of a job beside its specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStateRecord {
    Open(JobProgress),
    Ended {
        queue: Name,
        outcome: Outcome,
        /// Unix milliseconds.
        at: u64,
    },
}

/// One record of the shard; `None` drops the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardRecord {
    Owner(OwnerRecord),
    Worker(Name, Option<WorkerRecord>),
    Job(JobId, Option<JobRecord>),
    State(JobId, Option<JobStateRecord>),
}

const OWNER: &str = "owner";

impl ShardRecord {
    pub fn key(&self) -> String {
        match self {
            ShardRecord::Owner(_) => OWNER.to_owned(),
            ShardRecord::Worker(id, _) => format!("w/{id}"),
            ShardRecord::Job(id, _) => format!("j/{id}"),
            ShardRecord::State(id, _) => format!("s/{id}"),
        }
    }

    /// Encoded value; empty if the key is dropped.
    pub fn value(&self) -> Bytes {
        match self {
            ShardRecord::Owner(owner) => encode(owner),
            ShardRecord::Worker(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::Job(_, value) => value.as_ref().map(encode).unwrap_or_default(),
            ShardRecord::State(_, value) => value.as_ref().map(encode).unwrap_or_default(),
        }
    }

    /// # Errors
    ///
    /// `Key` for a kind that a later version may know, `Value` for bytes that do not decode.
    pub fn decode(key: &str, value: &[u8]) -> Result<ShardRecord> {
        let unknown = || Error::Key(key.to_owned());
        if key == OWNER {
            return Ok(ShardRecord::Owner(decode_value(key, value)?));
        }
        let (kind, id) = key.split_once('/').ok_or_else(unknown)?;
        match kind {
            "w" => Ok(ShardRecord::Worker(id.into(), optional(key, value)?)),
            "j" => Ok(ShardRecord::Job(
                id.parse().map_err(|_| unknown())?,
                optional(key, value)?,
            )),
            "s" => Ok(ShardRecord::State(
                id.parse().map_err(|_| unknown())?,
                optional(key, value)?,
            )),
            _ => Err(unknown()),
        }
    }
}

fn optional<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<Option<T>> {
    match value {
        [] => Ok(None),
        value => decode_value(key, value).map(Some),
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    // Encoding into memory fails only for types without a known length, and none are used here.
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_else(|error| unreachable!("a record does not encode: {error}"))
}

fn decode_value<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(value, bincode::config::standard())
        .map(|(decoded, _)| decoded)
        .map_err(|error| Error::Value {
            key: key.to_owned(),
            reason: error.to_string(),
        })
}
