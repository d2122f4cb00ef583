//! Requests, tasks and jobs: admission, placement, interference, quotas and dispatch.
//!
//! An entry host with `--on-platform` uses only `job`; one without it uses the other modules except
//! `quota`, which no process uses.

mod admission;
mod budget;
mod dispatch;
mod dispatch_claim;
mod dispatch_report;
mod dispatch_start;
mod estimate;
mod interference;
pub mod job;
mod latency;
mod pairs;
mod placement;
mod quarantine;
mod quota;
mod tracked_worker;
mod urgent;

pub use admission::{AdmissionQueue, QueuePosition};
pub use budget::RetryBudget;
pub use dispatch::{DispatchAction, DispatchView, Dispatcher, HeldWorker};
pub use estimate::{SizeEstimator, SizeKey};
pub use interference::{InterferencePolicy, Mitigation, RunningTask, TaskKind};
pub use latency::InstanceLatencies;
pub use pairs::{ClassKey, PairPenalties};
pub use placement::{BlockedReason, Demand, NoFit, Placer, WorkerView};
pub use quarantine::Quarantine;
pub use quota::{Loan, LoanId, LoanRequest, LoanTiming, Quotas};
pub use tracked_worker::{AttemptState, TrackedAttempt, TrackedWorker};
pub use urgent::{
    Departure, DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction,
    UrgentAnswer, UrgentForward, UrgentLimits, UrgentRequest, UrgentRouter,
};
