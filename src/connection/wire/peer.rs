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
    /// Hosts that do not know this message answer nothing.
    Departure(DepartureFrame),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    Hello(Hello),
    Contracts(ContractsReply),
    /// Answers `Forward` and `Job`.
    Answer(Answer),
    Tail(TailReply),
    /// The peer is starting or draining and did nothing.
    Unavailable,
    Departure(DepartureReply),
}

/// Heartbeat between entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub host: Name,
    pub data_centre: Name,
    /// Changes whenever the process restarts.
    pub incarnation: u64,
    /// Control leases that the sender holds.
    pub held: Vec<HeldLease>,
    /// Next offset of the data centre's task stream that the sender will read.
    pub log_offset: Offset,
    /// Time since the sender last read the log, in ms.
    pub log_age: u64,
    /// Offset of the newest contract record that the sender has applied, plus one.
    pub contracts_offset: Offset,
    pub draining: bool,
    /// Workers and service instances that the sender knows to be leaving.
    pub leaving: Vec<Name>,
    pub loads: Vec<ServiceLoad>,
    /// Instances that are slow compared with the other instances of their service.
    pub slow: Vec<Name>,
    /// Some of the pending tasks that the sender cannot place on any worker, each with the reason.
    pub misfits: Vec<(TaskId, Name)>,
    /// Instances whose reports the sender asks the receiver for.
    pub awaited: Vec<Name>,
    /// Reports that the sender has of the instances in the receiver's `awaited`.
    pub reports: Vec<RunningReport>,
}

/// Requests that were running on an instance when it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningReport {
    pub instance: Name,
    /// Time since the instance was asked, in ms.
    pub age: u64,
    pub running: Vec<Name>,
}

/// A control lease that the sender holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    pub resource: Name,
    pub token: Token,
}

/// Slots of a service that the sender owns, and the requests that wait for them.
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

/// An urgent request, forwarded to its home host or to an entry host that owns a free slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    pub request: Name,
    pub customer: Name,
    pub class: Name,
    /// Time left until the caller's deadline, in ms.
    pub deadline: u64,
    /// Number of times that the request has been forwarded.
    pub hops: u8,
    /// Entry host that sends the message.
    pub host: Name,
    /// Whether the message only asks if the receiver is running the request and, if so, waits for
    /// that answer. Such a message starts no attempt and carries no body.
    pub attach: bool,
    pub epoch: MessageEpoch,
    pub body: Bytes,
}

/// Answer to a forwarded request or to a call about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    pub ran: Option<Ran>,
    pub body: Bytes,
}

/// A caller's call about a job, forwarded to an entry host of the job's home data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    Submit(JobSubmission),
    State { customer: Name, job: Name },
    Cancel { customer: Name, job: Name },
    List { customer: Name },
}

/// Part of what a stopping host tells a peer about the requests that it ran. Frames are sent one
/// after the other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureFrame {
    pub host: Name,
    pub incarnation: u64,
    /// Index of this frame, from 0 on.
    pub frame: u32,
    /// Number of frames; the same in each of them.
    pub frames: u32,
    /// As in `request::Departure`, in ms.
    pub loss_age: Option<u64>,
    /// As in `request::Departure`.
    pub is_clear: bool,
    /// Keys of recent ids of at-most-once classes, each with the time left in ms.
    pub ids: Vec<(Name, u64)>,
}

/// Answer to a `DepartureFrame`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureReply {
    /// Index of the frame to send next; `None` once the receiver has all of them and sends no more
    /// requests to the stopping host.
    pub next: Option<u32>,
}

/// Asks for the raw records of the data centre's task stream from `from` on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    pub from: Offset,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailReply {
    /// Lowest offset that the sender can relay.
    pub first: Offset,
    /// Offset that the sender will read from the log next.
    pub next: Offset,
    /// Time since the sender last reached the end of the log, in ms.
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
