//! Carries out the actions of nodes and delivers their messages.

use jayfork::base::{Millis, Offset};
use jayfork::connection::wire::{LeaseReply, PeerReply};
use jayfork::connection::{Error, InstanceOutcome};
use jayfork::process::node::{Action, Event, LeaseCall};

use super::world::{DELAY, Delivery, EPOCH, NodeId, TIMEOUT, World, broken};

impl World {
    pub fn perform(&mut self, node: NodeId, actions: Vec<Action>) {
        let life = self.hosts[node].life;
        for action in actions {
            match action {
                Action::Append {
                    stream,
                    sequence,
                    data,
                } => {
                    let sent = self.now;
                    let append = Delivery::Append {
                        node,
                        life,
                        stream,
                        sequence,
                        sent,
                        data,
                    };
                    self.push(self.now + DELAY, append);
                }
                Action::Respond { ticket, response } => {
                    self.responses.insert(ticket, (self.now, response));
                }
                Action::CallPeer {
                    call,
                    address,
                    request,
                    ..
                } => {
                    let to = address.port() as usize - 1;
                    let request = Box::new(request);
                    let call = Delivery::PeerCall {
                        from: node,
                        life,
                        to,
                        call,
                        request,
                    };
                    self.push(self.now + DELAY, call);
                }
                Action::ReplyPeer { ticket, reply } => self.reply(node, ticket, reply),
                Action::RespondMetrics { .. } | Action::Exit => {}
                action => {
                    let action = Box::new(action);
                    self.push(self.now + DELAY, Delivery::Backend { node, life, action });
                }
            }
        }
    }

    fn reply(&mut self, node: NodeId, ticket: u64, reply: PeerReply) {
        if let Some((from, life, call)) = self.hosts[node].calls.remove(&ticket) {
            if self.links(node, from) {
                let event = Event::PeerAnswered {
                    call,
                    result: Ok(reply),
                    bytes: 0,
                };
                self.push(
                    self.now + DELAY,
                    Delivery::Event(from, life, Box::new(event)),
                );
            }
        }
    }

    fn links(&self, a: NodeId, b: NodeId) -> bool {
        let cut = &self.faults.cut_from_peers;
        !cut.contains(&a) && !cut.contains(&b)
    }

    /// Carries a message to its target.
    pub fn carry(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Append {
                node,
                life,
                stream,
                sequence,
                sent,
                data,
            } => {
                let name = self.stream_name(node, stream);
                let mut after = DELAY;
                let result = if !self.reaches_log(node) {
                    Err(Error::Status {
                        address: "log".into(),
                        status: 503,
                        body: Vec::new(),
                    })
                } else {
                    let records = self.streams.entry(name).or_default();
                    records.push((EPOCH + self.now, data));
                    let offset = Offset(records.len() as u64 - 1);
                    if self.faults.lose_answers {
                        after = TIMEOUT;
                        Err(broken())
                    } else {
                        Ok(offset)
                    }
                };
                let sent = Millis(sent);
                let event = Event::Appended {
                    stream,
                    sequence,
                    sent,
                    result,
                };
                self.push(
                    self.now + after,
                    Delivery::Event(node, life, Box::new(event)),
                );
            }
            Delivery::Backend { node, life, action } => {
                let (after, event) = self.backend(*action);
                self.push(
                    self.now + after,
                    Delivery::Event(node, life, Box::new(event)),
                );
            }
            Delivery::PeerCall {
                from,
                life,
                to,
                call,
                request,
            } => {
                // An unanswered call fails later; the answer removes its purpose first.
                let event = Event::PeerAnswered {
                    call,
                    result: Err(broken()),
                    bytes: 0,
                };
                self.push(
                    self.now + TIMEOUT,
                    Delivery::Event(from, life, Box::new(event)),
                );
                if !self.links(from, to) || self.hosts[to].node.is_none() {
                    return;
                }
                self.ticket += 1;
                let ticket = self.ticket;
                self.hosts[to].calls.insert(ticket, (from, life, call));
                let event = Event::PeerCalled {
                    ticket,
                    request: *request,
                };
                let target = self.hosts[to].life;
                self.deliver(Delivery::Event(to, target, Box::new(event)));
            }
            _ => {}
        }
    }

    /// Runs a call on a worker or an instance; returns the delay of the answer.
    fn backend(&mut self, action: Action) -> (u64, Event) {
        let now = self.now;
        let sent = Millis(now - DELAY);
        match action {
            Action::WorkerLease { worker, call, .. } => {
                let fake = self.workers.get_mut(&worker).expect("a known worker");
                match call {
                    _ if fake.is_down => {
                        let result = Err(broken());
                        (
                            TIMEOUT,
                            Event::WorkerLease {
                                worker,
                                sent,
                                result,
                            },
                        )
                    }
                    LeaseCall::Grant(request) => {
                        let token = fake.renew(now, &request);
                        let result = token.map_err(Error::Refused).map(|token| LeaseReply {
                            token,
                            incarnation: fake.incarnation,
                            leaving: false,
                            report: fake.report(),
                        });
                        (
                            DELAY,
                            Event::WorkerLease {
                                worker,
                                sent,
                                result,
                            },
                        )
                    }
                    LeaseCall::Release(request) => {
                        let result = fake.lease.release(now, request.token);
                        let result = result.map_err(Error::Refused);
                        (
                            DELAY,
                            Event::Released {
                                resource: worker,
                                result,
                            },
                        )
                    }
                }
            }
            Action::InstanceLease { instance, call, .. } => {
                let fake = self.instances.get_mut(&instance).expect("a known instance");
                fake.settle(now);
                match call {
                    LeaseCall::Grant(request) => {
                        let token = fake.lease.grant(now, &request);
                        let result = token.map_err(Error::Refused).map(|token| LeaseReply {
                            token,
                            incarnation: 1,
                            leaving: false,
                            report: fake.report(),
                        });
                        (
                            DELAY,
                            Event::InstanceLease {
                                instance,
                                sent,
                                result,
                            },
                        )
                    }
                    LeaseCall::Release(request) => {
                        let result = fake.lease.release(now, request.token);
                        let result = result.map_err(Error::Refused);
                        (
                            DELAY,
                            Event::Released {
                                resource: instance,
                                result,
                            },
                        )
                    }
                }
            }
            Action::Start {
                worker,
                task,
                request,
                ..
            } => {
                let attempt = request.attempt;
                let fake = self.workers.get_mut(&worker).expect("a known worker");
                if fake.is_down {
                    let result = Err(jayfork::connection::StartError::Unknown(broken()));
                    return (
                        TIMEOUT,
                        Event::Started {
                            worker,
                            task,
                            attempt,
                            result,
                        },
                    );
                }
                let result = fake.start(now, &request);
                (
                    DELAY,
                    Event::Started {
                        worker,
                        task,
                        attempt,
                        result,
                    },
                )
            }
            Action::Command {
                worker,
                command,
                request,
                ..
            } => {
                let fake = self.workers.get_mut(&worker).expect("a known worker");
                fake.command(now, command, &request);
                (DELAY, Event::CommandDone { worker })
            }
            Action::CallInstance {
                dispatch,
                address,
                call,
                ..
            } => {
                let fake = self.instances.get_mut(&address).expect("a known instance");
                match fake.send(now, call.token, &call.request) {
                    Some(ends) => {
                        let outcome = InstanceOutcome::Answer {
                            status: 200,
                            body: call.body,
                        };
                        (
                            ends - now + DELAY,
                            Event::InstanceAnswered { dispatch, outcome },
                        )
                    }
                    None => {
                        let outcome = InstanceOutcome::Refused;
                        (DELAY, Event::InstanceAnswered { dispatch, outcome })
                    }
                }
            }
            other => unreachable!("not a call to a backend: {other:?}"),
        }
    }
}
