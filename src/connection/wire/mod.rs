//! Message types of all protocols that jayfork uses. They contain types of the core, such as
//! `Contract`, which are defined there.

mod burn;
mod contract;
mod hosts;
mod job;
mod lease;
mod log;
mod peer;
mod request;
mod status;
mod worker;

pub use burn::{BurnReport, BurnWindow, ClassBurn, Outcomes};
pub use contract::{
    ContractAnswer, ContractHistory, ContractList, ContractSummary, PublishRefusal, Published,
};
pub use hosts::{HostEntry, HostKind, HostList, HostState};
pub use job::{JobList, JobSummary};
pub use lease::{Ack, LeaseRefusal, LeaseReply, LeaseRequest, ReleaseRequest};
pub use log::{AppendReply, LogRecord, ReadReply};
pub use peer::{
    Answer, ContractsReply, ContractsRequest, DepartureFrame, DepartureReply, Forward, HeldLease,
    Hello, JobCall, PeerReply, PeerRequest, RelayedContract, RelayedRecord, RunningReport,
    ServiceLoad, TailReply, TailRequest,
};
pub use request::{ErrorBody, JobState, JobSubmission, TaskSummary};
pub use status::{
    ContractsStatus, EntryState, EntryStatus, InstanceStatus, Status, TaskCounts, WorkerStatus,
};
pub use worker::{
    InstanceReport, StartReply, StartRequest, StartState, TaskCommand, TaskEntry, TaskReply,
    TaskState, WorkerReport,
};
