//! Tests of the protocols that the stand-ins implement and of the faults that they inject.

mod support;

#[path = "standin/calls.rs"]
mod calls;
#[path = "standin/checks.rs"]
mod checks;
#[path = "standin/hosts.rs"]
mod hosts;
#[path = "standin/instances.rs"]
mod instances;
#[path = "standin/leases.rs"]
mod leases;
#[path = "standin/log.rs"]
mod log;
#[path = "standin/model.rs"]
mod model;
#[path = "standin/platform.rs"]
mod platform;
#[path = "standin/processes.rs"]
mod processes;
#[path = "standin/workers.rs"]
mod workers;
