//! One entry host on the platform: takes requests of clients, knows its peers, and owns the shard
//! when it has claimed it.

mod claim;
mod forward;
#[allow(clippy::module_inception)]
mod host;
mod io;
mod log_writer;
mod message;
mod runtime;
mod streams;

pub use host::{Host, HostAction, HostEvent, HostSettings, StoreUse};
pub use message::{HostRecord, OwnerSeen, PeerCall, PeerReply, Presence};
pub use runtime::{Error, Result, run};
