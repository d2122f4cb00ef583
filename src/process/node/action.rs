//! What the core wants done.

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

/// The streams of the log that a host uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stream {
    Contracts,
    /// The task stream of the host's own data centre.
    Tasks,
}

/// A lease call to a worker or an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    Grant(LeaseRequest),
    Release(ReleaseRequest),
}

/// An output of the core, carried out by an adapter.
#[derive(Debug)]
pub enum Action {
    Append {
        stream: Stream,
        sequence: u64,
        data: Vec<u8>,
    },
    WorkerLease {
        worker: Name,
        address: Name,
        call: LeaseCall,
        issued: Millis,
    },
    InstanceLease {
        instance: Name,
        address: Name,
        call: LeaseCall,
        issued: Millis,
    },
    Start {
        worker: Name,
        address: Name,
        task: TaskId,
        request: StartRequest,
    },
    Command {
        worker: Name,
        address: Name,
        command: Command,
        request: TaskCommand,
    },
    /// Passes an urgent request to an instance.
    CallInstance {
        dispatch: DispatchId,
        address: Name,
        call: InstanceCall,
        timeout: Duration,
    },
    CallPeer {
        call: u64,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    },
    ReplyPeer {
        ticket: u64,
        reply: PeerReply,
    },
    Respond {
        ticket: u64,
        response: ApiResponse,
    },
    /// Renders the metrics and answers with them.
    RespondMetrics {
        ticket: u64,
    },
    /// Everything in progress has ended; the process may exit.
    Exit,
}

impl Action {
    /// An answer whose body passes through unchanged.
    pub(super) fn raw(ticket: u64, status: u16, body: Bytes) -> Self {
        let kind = crate::connection::ContentKind::Raw;
        Action::Respond {
            ticket,
            response: ApiResponse { status, kind, body },
        }
    }
}
