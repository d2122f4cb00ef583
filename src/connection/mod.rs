//! State that lives as long as a connection: leases, clients, peers and wire types.

mod api;
mod error;
mod http;
mod instance;
mod log;
mod peer;
mod pool;
pub mod wire;
mod worker;

pub use api::{ApiCall, ApiHandler, ApiLimits, ApiMethod, ApiResponse, ApiServer, ContentKind};
pub use error::{Error, Result};
pub use http::HttpClient;
pub use instance::{HttpInstances, InstanceCall, InstanceClient, InstanceOutcome};
pub use log::{HttpLog, LogClient, StreamReader};
pub use peer::{PeerCall, PeerHandler, PeerLinks};
pub use pool::{Job, Pool};
pub use worker::{Command, HttpWorkers, StartError, WorkerClient};
