//! Carries out the actions of nodes and passes their messages to the fakes and to other nodes.

use jayfork::base::{Millis, Offset};
use jayfork::connection::wire::{LeaseReply, PeerReply, PeerRequest};
use jayfork::connection::{Error, InstanceOutcome};
use jayfork::process::node::{Action, Event, LeaseCall};

use super::faults::DepartureFault;
use super::world::{DELAY, Delivery, EPOCH, NodeId, TIMEOUT, World, connection_lost};

impl World {
    /// Turns the actions of a node into messages that arrive later.
    pub fn perform(&mut self, node: NodeId, actions: Vec<Action>) {
        let incarnation = self.hosts[node].incarnation;
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
                        incarnation,
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
                    timeout,
                } => {
                    let to = address.port() as usize - 1;
                    let fault = match request {
                        PeerRequest::Departure(_) => self.faults.departure,
                        _ => DepartureFault::None,
                    };
                    let (delays, is_answered) = fault.delays(to);
                    if !is_answered {
                        self.fail_call(node, incarnation, call, TIMEOUT);
                    }
                    for delay in delays {
                        let call = Delivery::PeerCall {
                            from: node,
                            incarnation,
                            to,
                            // No call has the number 0.
                            call: if is_answered { call } else { 0 },
                            request: Box::new(request.clone()),
                            timeout: timeout.as_millis() as u64,
                        };
                        self.push(self.now + DELAY + delay, call);
                    }
                }
                Action::ReplyPeer { ticket, reply } => self.deliver_reply(node, ticket, reply),
                Action::Exit => self.kill(node),
                Action::RespondMetrics { .. } => {}
                action => {
                    let action = Box::new(action);
                    self.push(
                        self.now + DELAY,
                        Delivery::Backend {
                            node,
                            incarnation,
                            action,
                        },
                    );
                }
            }
        }
    }

    fn deliver_reply(&mut self, node: NodeId, ticket: u64, mut reply: PeerReply) {
        if let Some((_, change)) = self.faults.odd_replies.filter(|(odd, _)| *odd == node) {
            change(&mut reply);
        }
        if let Some((from, incarnation, call)) = self.hosts[node].calls.remove(&ticket) {
            if self.is_connected(node, from) {
                let event = Event::PeerAnswered {
                    call,
                    result: Ok(reply),
                    bytes: 0,
                };
                self.push(
                    self.now + DELAY,
                    Delivery::Event(from, incarnation, Box::new(event)),
                );
            } else {
                self.fail_call(from, incarnation, call, TIMEOUT);
            }
        }
    }

    /// Fails a call to a peer after `delay` ms. The node ignores this event if the call was answered
    /// before.
    pub fn fail_call(&mut self, from: NodeId, incarnation: u64, call: u64, delay: u64) {
        let event = Event::PeerAnswered {
            call,
            result: Err(connection_lost()),
            bytes: 0,
        };
        self.push(
            self.now + delay,
            Delivery::Event(from, incarnation, Box::new(event)),
        );
    }

    fn is_connected(&self, a: NodeId, b: NodeId) -> bool {
        let cut = &self.faults.cut_from_peers;
        !cut.contains(&a) && !cut.contains(&b)
    }

    /// Passes a message to the log, a fake backend or another node, and schedules the answer.
    pub fn transmit(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Append {
                node,
                incarnation,
                stream,
                sequence,
                sent,
                data,
            } => {
                let name = self.stream_name(node, stream);
                let mut delay = DELAY;
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
                        delay = TIMEOUT;
                        Err(connection_lost())
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
                    self.now + delay,
                    Delivery::Event(node, incarnation, Box::new(event)),
                );
            }
            Delivery::Backend {
                node,
                incarnation,
                action,
            } => {
                let (delay, event) = self.call_backend(*action);
                self.push(
                    self.now + delay,
                    Delivery::Event(node, incarnation, Box::new(event)),
                );
            }
            Delivery::PeerCall {
                from,
                incarnation,
                to,
                call,
                request,
                timeout,
            } => {
                if !self.is_connected(from, to) || self.hosts[to].node.is_none() {
                    return self.fail_call(from, incarnation, call, TIMEOUT);
                }
                self.fail_call(from, incarnation, call, timeout);
                self.ticket += 1;
                let ticket = self.ticket;
                self.hosts[to]
                    .calls
                    .insert(ticket, (from, incarnation, call));
                let event = Event::PeerCalled {
                    ticket,
                    request: *request,
                };
                let target = self.hosts[to].incarnation;
                self.deliver(Delivery::Event(to, target, Box::new(event)));
            }
            _ => {}
        }
    }

    /// Runs a call on a fake worker or instance; returns the answer and its delay.
    fn call_backend(&mut self, action: Action) -> (u64, Event) {
        let now = self.now;
        let sent = Millis(now - DELAY);
        match action {
            Action::WorkerLease { worker, call, .. } => {
                let fake = self.workers.get_mut(&worker).expect("a known worker");
                match call {
                    _ if fake.is_down => {
                        let result = Err(connection_lost());
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
                fake.end_finished(now);
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
                    let result = Err(jayfork::connection::StartError::Unknown(connection_lost()));
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
