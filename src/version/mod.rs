//! State that hosts rebuild from log records: contracts, tasks and the state of shards.

mod contract;
mod contracts;
mod journal;
mod ledger;
mod queues;
mod quota_check;
mod record;
mod restate;
mod retain;
mod shard_record;
mod suspicion;
mod table_check;
mod transition;

pub use contract::{Class, Contract, Error as ContractError, MAX_BODY, Urgency};
pub use contracts::{
    ContractEffect, ContractKind, ContractRecord, ContractTable, ContractVersion,
    Error as ContractRecordError,
};
pub use journal::{AppendOutcome, Journal};
pub use ledger::{Ledger, LedgerTiming, PendingPosition, RequeueReason, Task, TaskChange};
pub use queues::{Queue, QueueIndex, QueueRef, QueueTable, Service};
pub use quota_check::QuotaCheck;
pub use record::{Batch, Outcome, Phase, Record, Restated, TaskResult, TaskSpec};
pub use retain::RestatementSchedule;
pub(crate) use shard_record::EPOCH_BITS;
pub(crate) use shard_record::decode_bounded;
pub use shard_record::{
    DetailsRecord, Error as ShardRecordError, JobRecord, JobStateRecord, LeaseRecord, OwnerRecord,
    QueueRecord, ResignationRecord, ShardRecord, StartEvidence, SupersededRecord, SuspectRecord,
    WaitRecord, WorkerRecord,
};
pub use suspicion::Suspicion;
pub use table_check::{Difference, Finding, Severity};
