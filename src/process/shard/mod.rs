//! One shard: the jobs and workers that one owner schedules, and the journal that makes its state
//! durable.

mod backlog;
mod candidates;
mod clearing;
mod crashes;
mod diagnostics;
mod evacuation;
mod exclusion;
mod handover;
mod jobs;
mod journal;
mod leases;
mod lost_runs;
mod misses;
mod queues;
mod recovery;
mod remaining;
mod reports;
mod requests;
mod resignation;
mod restarts;
mod runs;
#[allow(clippy::module_inception)]
mod shard;
mod stalls;
mod start_window;
mod starts;
mod throttle;
mod turns;
mod waiting;
mod watch;
mod worker;
mod workers;

pub use handover::{Handover, WorkerWait};
pub use journal::{Commit, Journal};
pub use recovery::ISOLATION_TIME;
pub use shard::{
    Now, RegistryChange, Reply, Request, Route, Shard, ShardAction, ShardEvent, ShardSettings,
    StoreTag, WorkerTag,
};
pub use worker::{Run, RunState, Worker};
