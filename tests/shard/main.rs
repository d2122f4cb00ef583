//! Runs the state machine of a shard against models of the store and the workers, with lost, late
//! and repeated messages, killed and superseded owners, and outages of the store.

mod absences;
mod backlog;
mod backlog_limits;
mod blocked_jobs;
mod capacity;
mod cases;
mod crash_model;
mod crash_records;
mod crashes;
mod cuts;
mod diagnostics;
mod fleet;
mod handover;
mod hosts;
mod orders;
mod owner_changes;
mod pace;
mod random;
mod registry;
mod restarts;
mod returns;
mod silent;
mod sizes;
mod slow_link;
mod specs;
mod stalls;
mod store;
mod success_model;
mod superseded;
mod told;
mod wait_model;
mod waits;
mod wide_jobs;
mod world;
