//! State that lives as long as a connection: leases, clients, peers and wire types.

mod api;
mod error;
mod http;
mod instance;
mod lease;
mod lease_action;
mod lease_entry;
mod lease_handover;
mod lease_timing;
mod log;
mod peer;
mod pool;
pub mod wire;
mod worker;

pub use api::{ApiCall, ApiHandler, ApiLimits, ApiMethod, ApiResponse, ApiServer, ContentKind};
pub use error::{Error, Result};
pub use http::HttpClient;
pub use instance::{HttpInstances, InstanceCall, InstanceClient, InstanceOutcome};
pub use lease::LeaseTable;
pub use lease_action::{Grant, Lease, LeaseAction, Resource};
pub use lease_timing::LeaseTiming;
pub use log::{HttpLog, LogClient, StreamReader};
pub use peer::{PeerCall, PeerHandler, PeerLinks};
pub use pool::{Job, Pool};
pub use worker::{Command, HttpWorkers, StartError, WorkerClient};
