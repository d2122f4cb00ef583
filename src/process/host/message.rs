//! Messages between entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::relay::{BatchNumber, OrderBatch, RelayedAnswer, SessionId};
use crate::base::Name;
use crate::process::shard::{Handover, Reply, Request};
use crate::request::job::{JobId, JobSpec};
use crate::version::{QueueRef, QueueTable};

/// The record under which a host registers itself in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    pub name: Name,
    /// Distinguishes the process from earlier ones of the same host; drawn at each start.
    pub boot: u64,
    /// Address for calls from peers.
    pub control: SocketAddr,
    pub data_centre: Name,
    pub region: Name,
    /// Processor capacity in thousandths of a core.
    pub processor: u32,
}

/// What a host knows of the shard's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOwner {
    pub host: Name,
    pub boot: u64,
    pub epoch: u64,
    /// Milliseconds since the last message from the owner; 0 if the sender is the owner.
    pub age: u64,
}

/// The state of a host, sent in each hello and in its reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    pub host: HostRecord,
    /// Version of the configuration; 0 without one.
    pub config: u64,
    pub owner: Option<KnownOwner>,
    /// Milliseconds since the store last answered this host; `None` if it never has.
    pub store_age: Option<u64>,
    /// Response time of the store in milliseconds, as a slowly rising minimum.
    pub store_time: u64,
    pub is_stopping: bool,
}

/// Longest name of a host, a data centre or a region, in bytes; that of a name in the Internet.
const MAX_NAME: usize = 253;

impl Presence {
    /// Whether no name is longer than names are. Hosts keep them, and tell them to others.
    pub fn has_valid_names(&self) -> bool {
        let host = &self.host;
        let owner = self.owner.as_ref().map(|owner| &owner.host);
        let names = [&host.name, &host.data_centre, &host.region];
        let mut names = names.into_iter().chain(owner);
        names.all(|name| name.len() <= MAX_NAME)
    }
}

/// A client's request in the form of earlier versions of the program, which name its queue.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum NamedRequest {
    Submit {
        job: JobId,
        queue: Name,
        spec: Arc<JobSpec>,
    },
    State {
        job: JobId,
        queue: Name,
    },
    Cancel {
        job: JobId,
        queue: Name,
    },
    Backlog {
        queue: Name,
    },
}

impl From<NamedRequest> for Request {
    fn from(request: NamedRequest) -> Self {
        match request {
            NamedRequest::Submit { job, queue, spec } => Request::Submit {
                job,
                queue: QueueRef::Named(queue),
                spec,
            },
            NamedRequest::State { job, queue } => Request::State {
                job,
                queue: QueueRef::Named(queue),
            },
            NamedRequest::Cancel { job, queue } => Request::Cancel {
                job,
                queue: QueueRef::Named(queue),
            },
            NamedRequest::Backlog { queue } => Request::Backlog {
                queue: QueueRef::Named(queue),
            },
        }
    }
}

impl From<Request> for NamedRequest {
    fn from(request: Request) -> Self {
        match request {
            Request::Submit { job, queue, spec } => NamedRequest::Submit {
                job,
                queue: queue.name().clone(),
                spec,
            },
            Request::State { job, queue } => NamedRequest::State {
                job,
                queue: queue.name().clone(),
            },
            Request::Cancel { job, queue } => NamedRequest::Cancel {
                job,
                queue: queue.name().clone(),
            },
            Request::Backlog { queue } => NamedRequest::Backlog {
                queue: queue.name().clone(),
            },
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerCall {
    Hello {
        presence: Presence,
        /// Whether the answer is to contain the receiver's configuration if it is newer.
        wants_config: bool,
    },
    Request(NamedRequest),
    /// The owner with this epoch asks the receiver to claim the shard.
    TakeOver {
        epoch: u64,
    },
    /// The owner asks the receiver to send these orders to workers, and to reply once some are answered.
    Orders(OrderBatch),
    /// The same with a number, by which the owner may ask for the reply. Hosts of earlier versions do not
    /// know this call and the next one.
    NumberedOrders(BatchNumber, OrderBatch),
    /// The owner asks for the reply to a batch again.
    BatchOutcome {
        session: SessionId,
        number: u64,
    },
    /// As `TakeOver`, from an owner that grants no leases from then on unless the receiver declines. Hosts of
    /// earlier versions do not know this call.
    HandOver(Handover),
    /// As `Request`, with the address of the queue. Hosts of earlier versions do not know this call.
    QueueRequest(Request),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    Hello {
        presence: Box<Presence>,
        config: Option<Arc<QueueTable>>,
        /// Some of the other hosts, and the owner.
        hosts: Vec<HostRecord>,
    },
    Shard(Reply),
    NotOwner {
        owner: Option<KnownOwner>,
    },
    /// The host gave up the shard before it answered, so the request may have been carried out; or it
    /// does not know what became of a batch of orders.
    Unknown,
    /// Whether the host takes over the shard.
    TakeOver(bool),
    /// Answers of workers to orders of the session, also of earlier calls.
    Answers {
        /// The sender's steady clock in milliseconds.
        clock: u64,
        answers: Vec<RelayedAnswer>,
    },
    /// The host has not got the batch that it was asked about, and will refuse it.
    NotTaken,
}
