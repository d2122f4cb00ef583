//! Messages between entry hosts, encoded with `bincode`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::base::{Name, Offset, Ran, TaskId, Token};
use crate::request::MessageEpoch;

use super::request::JobSubmission;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    Hello(Hello),
    Contracts(ContractsRequest),
    Forward(Forward),
    Job(JobCall),
    Tail(TailRequest),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    Hello(Hello),
    Contracts(ContractsReply),
    /// Answers `Forward` and `Job`.
    Answer(Answer),
    Tail(TailReply),
    /// The peer is starting or draining and took no action.
    Unavailable,
}

/// Heartbeat between entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub host: Name,
    pub data_centre: Name,
    /// Changes whenever the process restarts.
    pub incarnation: u64,
    /// Leases that the sender holds.
    pub held: Vec<HeldLease>,
    /// Next offset of the data centre's task stream that the sender will read.
    pub log_offset: Offset,
    /// Time since the sender last read the log, in ms.
    pub log_age: u64,
    /// Offset of the newest contract record that the sender applied, plus one.
    pub contracts_offset: Offset,
    pub draining: bool,
    /// Backends that the sender knows to be leaving.
    pub leaving: Vec<Name>,
    pub loads: Vec<ServiceLoad>,
    /// Instances that are slow in comparison with others of their service.
    pub slow: Vec<Name>,
    /// Some pending tasks that the sender judged unable to run, with the reason.
    pub misfits: Vec<(TaskId, Name)>,
    /// Instances whose reports the sender needs.
    pub awaited: Vec<Name>,
    /// Reports of instances that the receiver awaits and the sender holds.
    pub reports: Vec<RunningReport>,
}

/// Requests that were running on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningReport {
    pub instance: Name,
    /// Time since the report was asked for, in ms.
    pub age: u64,
    pub running: Vec<Name>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    pub resource: Name,
    pub token: Token,
}

/// Free slots that the sender owns for a service, and how fast they turn over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub service: Name,
    pub slots: u32,
    pub free: u32,
    pub queued: u32,
    /// Mean service time, in ms.
    pub mean: f64,
}

/// Asks for contracts whose record has an offset of at least `since`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractsRequest {
    pub since: Offset,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractsReply {
    /// The sender's `contracts_offset` when it answered.
    pub offset: Offset,
    pub contracts: Vec<RelayedContract>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedContract {
    pub offset: Offset,
    pub version: u64,
    /// The contract as JSON, as on the log.
    pub contract: String,
}

/// An urgent request passed to the entry host that is its home or owns a free slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    pub request: Name,
    pub customer: Name,
    pub class: Name,
    /// Time left until the caller's deadline, in ms.
    pub deadline: u64,
    /// Number of times that the request was forwarded.
    pub hops: u8,
    /// Sender of the message.
    pub host: Name,
    /// Asks only for a running attempt to wait for; starts nothing and carries no body.
    pub attach: bool,
    pub epoch: MessageEpoch,
    pub body: Bytes,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    pub ran: Option<Ran>,
    pub body: Bytes,
}

/// A call about a job, passed to an entry host of the job's home data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    Submit(JobSubmission),
    State { customer: Name, job: Name },
    Cancel { customer: Name, job: Name },
    List { customer: Name },
}

/// Asks for the raw records of the data centre's task stream from `from` on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    pub from: Offset,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailReply {
    /// The first offset that the sender can relay.
    pub first: Offset,
    /// Offset that the sender will read next.
    pub next: Offset,
    /// Time since the sender read the log to its end, in ms.
    pub age: u64,
    pub records: Vec<RelayedRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRecord {
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms since the Unix epoch.
    pub time: u64,
    pub data: Bytes,
}
