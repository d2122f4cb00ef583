//! Communication with other processes: servers, clients, message types, and the leases on backend
//! servers.
//!
//! An entry host with `--on-platform` uses `async_http_client`, `front`, `mesh`, `orders`,
//! `stream_store` and `traffic`; one without it uses the other modules. Both use `error` and `body`.

mod api;
mod async_http_client;
mod body;
mod budget;
mod error;
mod front;
mod http;
mod inbound;
mod instance;
mod lease;
mod lease_action;
mod lease_entry;
mod lease_handover;
mod lease_timing;
mod listen;
mod log;
mod mesh;
mod message;
mod orders;
mod peer;
mod pool;
mod socket;
mod stream_store;
mod traffic;
mod transfer;
pub mod wire;
mod worker;
mod write_gate;

pub use api::{ApiCall, ApiHandler, ApiLimits, ApiMethod, ApiResponse, ApiServer, ContentKind};
pub use async_http_client::{AsyncHttpClient, HttpReply, HttpRequest};
pub use error::{Error, Result};
pub use front::{FrontLimits, FrontReply, FrontRequest, FrontServer};
pub use http::HttpClient;
pub use inbound::{
    Holder, Inbound, InboundLimits, Lane, REFUSED_REQUESTS, Shortage, choose_dropped, choose_lane,
    ends_with_answer,
};
pub use instance::{HttpInstances, InstanceCall, InstanceClient, InstanceOutcome};
pub use lease::LeaseTable;
pub use lease_action::{Grant, Lease, LeaseAction, Resource};
pub use lease_timing::LeaseTiming;
pub use listen::queue_length;
pub use log::{HttpLog, LogClient, StreamReader};
pub use mesh::{Mesh, MeshHandler};
pub use orders::{
    CallError, EndReport, Order, Refusal, RunReport, StartOrder, WorkerAnswer, WorkerCall,
    WorkerReport,
};
pub use peer::{PeerCall, PeerHandler, PeerLinks};
pub use pool::{BlockingJob, ThreadPool};
pub use stream_store::{Fence, KeyedRecord, Page, Partition, StoreAnswer, StoreCall, StoreRequest};
pub use traffic::{LINK_BYTES, LINK_CONNECTIONS};
pub use transfer::TimeLimit;
pub use worker::{Command, HttpWorkers, StartError, WorkerClient};
