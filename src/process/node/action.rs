//! Outputs of the core.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::base::{Millis, Name, TaskId};
use crate::connection::wire::{
    LeaseRequest, PeerReply, PeerRequest, ReleaseRequest, StartRequest, TaskCommand,
};
use crate::connection::{ApiResponse, Command, Error, InstanceCall};
use crate::request::DispatchId;

pub type CallResult<T> = std::result::Result<T, Error>;

/// The streams of the log that an entry host reads and appends to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stream {
    /// The contract stream, which all data centres share.
    Contracts,
    /// The task stream of the host's own data centre.
    Tasks,
}

/// A call that takes, renews or gives back the lease of a worker or an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    /// Takes or renews the lease.
    Grant(LeaseRequest),
    /// Gives the lease back.
    Release(ReleaseRequest),
}

/// An output of the core, carried out by an adapter.
///
/// `issued` is the core time at which the call was requested. The adapter drops a grant that waited
/// too long for a thread.
#[derive(Debug)]
pub enum Action {
    /// Appends a record to a stream; `Event::Appended` with the same `sequence` answers it.
    Append {
        stream: Stream,
        sequence: u64,
        data: Vec<u8>,
    },
    /// Calls a worker about its lease; `Event::WorkerLease` or `Event::Released` answers it.
    WorkerLease {
        worker: Name,
        address: Name,
        call: LeaseCall,
        issued: Millis,
    },
    /// Calls an instance about its lease; `Event::InstanceLease` or `Event::Released` answers it.
    InstanceLease {
        instance: Name,
        address: Name,
        call: LeaseCall,
        issued: Millis,
    },
    /// Starts an attempt of a task on a worker.
    Start {
        worker: Name,
        address: Name,
        task: TaskId,
        request: StartRequest,
    },
    /// Sends a command for a running task to its worker.
    Command {
        worker: Name,
        address: Name,
        command: Command,
        request: TaskCommand,
    },
    /// Sends an urgent request to an instance.
    CallInstance {
        dispatch: DispatchId,
        address: Name,
        call: InstanceCall,
        timeout: Duration,
    },
    /// Calls another entry host; `Event::PeerAnswered` with the same `call` answers it.
    CallPeer {
        call: u64,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    },
    /// Answers the peer call with this ticket.
    ReplyPeer { ticket: u64, reply: PeerReply },
    /// Answers the API call with this ticket.
    Respond { ticket: u64, response: ApiResponse },
    /// Answers the API call with this ticket with the metrics of the process.
    RespondMetrics { ticket: u64 },
    /// All work in progress has ended and the process may exit.
    Exit,
}

impl Action {
    /// An answer to an API call that passes an instance's body on unchanged.
    pub(super) fn raw(ticket: u64, status: u16, body: Bytes) -> Self {
        let kind = crate::connection::ContentKind::Raw;
        Action::Respond {
            ticket,
            response: ApiResponse { status, kind, body },
        }
    }
}
