//! What hosts say to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::base::Name;
use crate::process::shard::{Reply, Request};
use crate::version::QueueTable;

/// A host as it registers itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    pub name: Name,
    /// Chosen at each start of its process.
    pub boot: u64,
    /// Where it takes calls of peers.
    pub control: SocketAddr,
    pub data_centre: Name,
    pub region: Name,
    /// Thousandths of a core.
    pub processor: u32,
}

/// What a host knows of the shard's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerSeen {
    pub host: Name,
    pub boot: u64,
    pub epoch: u64,
    /// Milliseconds since the owner itself was heard; 0 from the owner.
    pub age: u64,
}

/// What a host tells in each exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    pub host: HostRecord,
    pub config: u64,
    pub owner: Option<OwnerSeen>,
    /// Milliseconds since the store last answered this host; `None` if it never has.
    pub store_age: Option<u64>,
    /// Shortest time of an answer of the store in milliseconds.
    pub store_time: u64,
    pub is_stopping: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerCall {
    Hello {
        presence: Presence,
        /// The newest configuration, if the peer is known to have an older one.
        config: Option<QueueTable>,
    },
    Request(Request),
    /// Asks the peer to claim the shard after the owner with this epoch.
    TakeOver {
        epoch: u64,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    Hello {
        presence: Box<Presence>,
        config: Option<QueueTable>,
        hosts: Vec<HostRecord>,
    },
    Shard(Reply),
    NotOwner {
        owner: Option<OwnerSeen>,
    },
    /// The host gave the shard up while the request was under way.
    Unknown,
    /// Whether the peer takes over.
    TakeOver(bool),
}
