//! An entry host on the platform: it takes client requests, exchanges state with its peers, and
//! owns the shard after it has claimed it.

mod admission;
mod claim;
mod config;
mod evacuations;
mod forward;
mod handover;
mod hello;
#[allow(clippy::module_inception)]
mod host;
mod io;
mod log_writer;
mod message;
mod pause;
mod peers;
mod rank;
mod relay;
mod request_form;
mod runtime;
mod streams;
mod verdict;

pub use host::{Host, HostAction, HostEvent, HostSettings, StorePurpose};
pub use message::{HostRecord, KnownOwner, NamedRequest, PeerCall, PeerReply, Presence};
pub use relay::{BatchNumber, OrderBatch, OrderOrigin, RelayedAnswer, RelayedOrder, SessionId};
pub use runtime::{Error, Result, run};
pub use verdict::{Attempts, Verdict, judge};
