//! What reaches the core.

use crate::base::{Attempt, Millis, Name, Offset, TaskId};
use crate::connection::wire::{
    HostList, InstanceReport, LeaseReply, PeerReply, PeerRequest, ReadReply, StartState,
    WorkerReport,
};
use crate::connection::{ApiCall, Error, InstanceOutcome, StartError};
use crate::request::DispatchId;

use super::action::Stream;

type Result<T> = std::result::Result<T, Error>;

/// An input of the core; each answers an action, or arrives on its own.
#[derive(Debug)]
pub enum Event {
    /// The platform's host list.
    Hosts(Result<HostList>),
    /// A read of a stream; a failure tells that the log is out of reach.
    Read {
        stream: Stream,
        sent: Millis,
        reply: Result<ReadReply>,
    },
    Appended {
        stream: Stream,
        sequence: u64,
        sent: Millis,
        result: Result<Offset>,
    },
    WorkerLease {
        worker: Name,
        sent: Millis,
        result: Result<LeaseReply<WorkerReport>>,
    },
    InstanceLease {
        instance: Name,
        sent: Millis,
        result: Result<LeaseReply<InstanceReport>>,
    },
    Released {
        resource: Name,
        result: Result<()>,
    },
    Started {
        worker: Name,
        task: TaskId,
        attempt: Attempt,
        result: std::result::Result<StartState, StartError>,
    },
    /// A command took effect; the next report shows it.
    CommandDone {
        worker: Name,
    },
    CommandFailed {
        worker: Name,
        error: Error,
    },
    InstanceAnswered {
        dispatch: DispatchId,
        outcome: InstanceOutcome,
    },
    /// A call of this host to a peer has ended.
    PeerAnswered {
        call: u64,
        result: Result<PeerReply>,
        bytes: usize,
    },
    /// A peer calls this host.
    PeerCalled {
        ticket: u64,
        request: PeerRequest,
    },
    /// A caller or an operator calls this host.
    ApiCalled {
        ticket: u64,
        call: ApiCall,
    },
    /// A caller has closed its connection before its answer.
    ApiClosed {
        ticket: u64,
    },
    /// The process was asked to stop.
    Drain,
}
