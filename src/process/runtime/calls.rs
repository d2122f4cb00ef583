//! Calls that the core asks for, as blocking jobs of the thread pools.

use std::sync::Arc;
use std::time::Duration;

use super::clock::Clock;
use super::sink::EventSink;
use crate::base::{Millis, Name, TaskId};
use crate::connection::wire::{StartRequest, TaskCommand};
use crate::connection::{
    BlockingJob, Command, Error, InstanceCall, InstanceClient, LogClient, WorkerClient,
};
use crate::process::node::{Event, LeaseCall, Stream};
use crate::request::DispatchId;

/// Maximum time that a lease call waits for a thread. After that, the state on which the core
/// decided the call is out of date.
const MAX_LEASE_CALL_DELAY: Millis = Millis(1_000);

/// What all calls need: the clients, the clock and the way back to the core.
#[derive(Debug)]
pub struct Clients<L, W, I> {
    pub log: L,
    pub workers: W,
    pub instances: I,
    pub clock: Clock,
    pub sink: EventSink,
    /// Name of the task stream of the data centre.
    pub task_stream: Name,
}

/// Name of the contract stream.
pub const CONTRACT_STREAM: &str = "contracts";

/// A call and the clients that make it.
pub struct Call<L, W, I> {
    pub clients: Arc<Clients<L, W, I>>,
    pub kind: CallKind,
}

/// The kinds of calls; each corresponds to an `Action` of the core.
pub enum CallKind {
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
    CallInstance {
        dispatch: DispatchId,
        address: Name,
        call: InstanceCall,
        timeout: Duration,
    },
}

impl<L: LogClient, W: WorkerClient, I: InstanceClient> BlockingJob for Call<L, W, I> {
    fn run(self) {
        let event = self.clients.run(self.kind);
        self.clients.sink.send(event);
    }
}

impl<L: LogClient, W: WorkerClient, I: InstanceClient> Clients<L, W, I> {
    fn run(&self, kind: CallKind) -> Event {
        match kind {
            CallKind::Append {
                stream,
                sequence,
                data,
            } => {
                let name = match stream {
                    Stream::Contracts => CONTRACT_STREAM,
                    Stream::Tasks => &self.task_stream,
                };
                let sent = self.clock.now();
                let result = self.log.append(name, &data);
                Event::Appended {
                    stream,
                    sequence,
                    sent,
                    result,
                }
            }
            CallKind::WorkerLease {
                worker,
                address,
                call,
                issued,
            } => {
                let sent = self.clock.now();
                match call {
                    LeaseCall::Grant(request) => {
                        let result = check_delay(&address, sent, issued)
                            .and_then(|()| self.workers.lease(&address, &request));
                        Event::WorkerLease {
                            worker,
                            sent,
                            result,
                        }
                    }
                    LeaseCall::Release(request) => {
                        let result = self.workers.release(&address, &request);
                        Event::Released {
                            resource: worker,
                            result,
                        }
                    }
                }
            }
            CallKind::InstanceLease {
                instance,
                address,
                call,
                issued,
            } => {
                let sent = self.clock.now();
                match call {
                    LeaseCall::Grant(request) => {
                        let result = check_delay(&address, sent, issued)
                            .and_then(|()| self.instances.lease(&address, &request));
                        Event::InstanceLease {
                            instance,
                            sent,
                            result,
                        }
                    }
                    LeaseCall::Release(request) => {
                        let result = self.instances.release(&address, &request);
                        Event::Released {
                            resource: instance,
                            result,
                        }
                    }
                }
            }
            CallKind::Start {
                worker,
                address,
                task,
                request,
            } => {
                let attempt = request.attempt;
                let result = self
                    .workers
                    .start(&address, &request)
                    .map(|reply| reply.state);
                Event::Started {
                    worker,
                    task,
                    attempt,
                    result,
                }
            }
            CallKind::Command {
                worker,
                address,
                command,
                request,
            } => match self.workers.command(&address, command, &request) {
                Ok(_) => Event::CommandDone { worker },
                Err(error) => Event::CommandFailed { worker, error },
            },
            CallKind::CallInstance {
                dispatch,
                address,
                call,
                timeout,
            } => {
                let outcome = self.instances.send(&address, call, timeout);
                Event::InstanceAnswered { dispatch, outcome }
            }
        }
    }
}

/// Fails if the call has waited for a thread for too long since `issued`.
fn check_delay(address: &str, now: Millis, issued: Millis) -> std::result::Result<(), Error> {
    if now.since(issued) <= MAX_LEASE_CALL_DELAY {
        return Ok(());
    }
    let reason = "the call waited too long for a thread".to_owned();
    Err(Error::NotSent {
        address: address.to_owned(),
        reason,
    })
}
