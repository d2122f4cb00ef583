//! Versioned state that the log orders: contracts and tasks.

mod contract;
mod contracts;
mod journal;
mod ledger;
mod record;
mod retain;

pub use contract::{Class, Contract, Error as ContractError, MAX_BODY, Urgency};
pub use contracts::{
    Applied, ContractKind, ContractRecord, ContractTable, Error as ContractRecordError, Versioned,
};
pub use journal::{Append, Journal};
pub use ledger::{Change, Ledger, LedgerTiming, Requeue, Suspicion, Task};
pub use record::{Batch, Outcome, Phase, Record, Restated, TaskResult, TaskSpec};
pub use retain::Retain;
