//! Blocking calls of the core, as jobs of the thread pools.

use std::sync::Arc;
use std::time::Duration;

use super::clock::Clock;
use super::sink::Sink;
use crate::base::{Millis, Name, TaskId};
use crate::connection::wire::{StartRequest, TaskCommand};
use crate::connection::{
    BlockingJob, Command, Error, InstanceCall, InstanceClient, LogClient, WorkerClient,
};
use crate::process::node::{Event, LeaseCall, Stream};
use crate::request::DispatchId;

/// A lease call that waited longer than this for a thread rests on outdated knowledge.
const MAX_DELAY: Millis = Millis(1_000);

/// What all calls share.
#[derive(Debug)]
pub struct Clients<L, W, I> {
    pub log: L,
    pub workers: W,
    pub instances: I,
    pub clock: Clock,
    pub sink: Sink,
    /// Name of the task stream.
    pub tasks: Name,
}

/// Name of the contract stream.
pub const CONTRACTS: &str = "contracts";

/// A call with its clients.
pub struct Call<L, W, I> {
    pub clients: Arc<Clients<L, W, I>>,
    pub kind: CallKind,
}

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
    Send {
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
                    Stream::Contracts => CONTRACTS,
                    Stream::Tasks => &self.tasks,
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
                        let result = in_time(&address, sent, issued)
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
                        let result = in_time(&address, sent, issued)
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
            CallKind::Send {
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

fn in_time(address: &str, now: Millis, issued: Millis) -> std::result::Result<(), Error> {
    if now.since(issued) <= MAX_DELAY {
        return Ok(());
    }
    let reason = "the call waited too long for a thread".to_owned();
    Err(Error::NotSent {
        address: address.to_owned(),
        reason,
    })
}
