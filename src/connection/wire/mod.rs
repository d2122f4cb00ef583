//! Wire types of every protocol that jayfork speaks, apart from the types of the core.

mod hosts;
mod lease;
mod log;
mod peer;
mod request;
mod worker;

pub use hosts::{HostEntry, HostKind, HostList, HostState};
pub use lease::{Ack, LeaseRefusal, LeaseReply, LeaseRequest, ReleaseRequest};
pub use log::{AppendReply, LogRecord, ReadReply};
pub use peer::{
    Answer, ContractsReply, ContractsRequest, Forward, Held, Hello, JobCall, PeerReply,
    PeerRequest, RelayedContract, RelayedRecord, ServiceLoad, TailReply, TailRequest,
};
pub use request::{ErrorBody, JobState, JobSubmission, TaskSummary};
pub use worker::{
    InstanceReport, StartReply, StartRequest, StartState, TaskCommand, TaskEntry, TaskReply,
    TaskState, WorkerReport,
};
