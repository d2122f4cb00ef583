//! Inputs of the core.

use crate::base::{Attempt, Millis, Name, Offset, TaskId};
use crate::connection::wire::{
    HostList, InstanceReport, LeaseReply, PeerReply, PeerRequest, ReadReply, StartState,
    WorkerReport,
};
use crate::connection::{ApiCall, Error, InstanceOutcome, StartError};
use crate::request::DispatchId;

use super::action::Stream;

type Result<T> = std::result::Result<T, Error>;

/// An input of the core: the outcome of an action, or something that the core did not ask for.
///
/// `sent` is a core time at or before which the call or read was sent.
#[derive(Debug)]
pub enum Event {
    /// The platform's host list, or why it could not be read.
    Hosts(Result<HostList>),
    /// A read of a stream; an error means that the log cannot be reached.
    Read {
        stream: Stream,
        sent: Millis,
        reply: Result<ReadReply>,
    },
    /// The outcome of `Action::Append`.
    Appended {
        stream: Stream,
        sequence: u64,
        sent: Millis,
        result: Result<Offset>,
    },
    /// The answer to a `LeaseCall::Grant` to a worker.
    WorkerLease {
        worker: Name,
        sent: Millis,
        result: Result<LeaseReply<WorkerReport>>,
    },
    /// The answer to a `LeaseCall::Grant` to an instance.
    InstanceLease {
        instance: Name,
        sent: Millis,
        result: Result<LeaseReply<InstanceReport>>,
    },
    /// The answer to a `LeaseCall::Release` to a worker or an instance.
    Released { resource: Name, result: Result<()> },
    /// The outcome of `Action::Start`.
    Started {
        worker: Name,
        task: TaskId,
        attempt: Attempt,
        result: std::result::Result<StartState, StartError>,
    },
    /// A worker accepted a command; its next report shows the effect.
    CommandDone { worker: Name },
    /// A command to a worker failed.
    CommandFailed { worker: Name, error: Error },
    /// The outcome of `Action::CallInstance`.
    InstanceAnswered {
        dispatch: DispatchId,
        outcome: InstanceOutcome,
    },
    /// The outcome of `Action::CallPeer`; `bytes` is the size of the call and its answer.
    PeerAnswered {
        call: u64,
        result: Result<PeerReply>,
        bytes: usize,
    },
    /// A peer called this host; `Action::ReplyPeer` answers it.
    PeerCalled { ticket: u64, request: PeerRequest },
    /// A caller or an operator called the API; `Action::Respond` answers it.
    ApiCalled { ticket: u64, call: ApiCall },
    /// A caller closed its connection before it was answered.
    ApiClosed { ticket: u64 },
    /// The process was asked to finish its work and stop.
    Drain,
}
