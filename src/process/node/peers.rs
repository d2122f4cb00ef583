//! Heartbeats, relays and forwarded calls between entry hosts.

use std::net::SocketAddr;

use super::action::Action;
use super::node::Node;
use crate::base::{Millis, Name, Offset, TaskId};
use crate::connection::Error;
use crate::connection::wire::{
    Answer, ContractsRequest, Hello, HostKind, PeerReply, PeerRequest, RunningReport, TailReply,
    TailRequest,
};
use crate::process::settings::Peer;
use crate::process::telemetry;
use crate::request::{DispatchId, UrgentAnswer};

/// Time limit of heartbeats and relays.
const CONTROL_TIMEOUT: Millis = Millis(1_000);
/// Reasons of tasks that can't run that one heartbeat carries.
const MAX_MISFITS: usize = 16;
/// A host that has not read the log for this long asks a peer for records.
const TAIL_AGE: Millis = Millis(1_500);

/// Age of the last direct read of the log after which a host gives its workers to hosts that read
/// it, since it cannot record how their tasks end. `Membership` judges peers by the same age.
const HANDS_OVER: Millis = Millis(10_000);

/// Why this host called a peer.
#[derive(Debug)]
pub(super) enum PeerPurpose {
    Hello {
        host: Name,
        asked: Millis,
    },
    Contracts(Name),
    Tail {
        host: Name,
        asked: Millis,
    },
    /// An urgent request of the router.
    Forward {
        dispatch: DispatchId,
        attach: bool,
    },
    /// A job call of the API caller with this ticket.
    Job {
        ticket: u64,
        host: Name,
    },
}

impl Node {
    /// Follows who is live in this data centre.
    pub(super) fn poll_members(&mut self, now: Millis, out: &mut Vec<Action>) {
        let live = self.membership.live_hosts(now);
        let mut informed = self.membership.up_to_date_hosts(now);
        if self.is_worse_informed(now) {
            informed.retain(|host| *host != self.identity.host);
        }
        self.leases.set_hosts(now, &live, &informed);
        self.follow_majority(now);
        self.follow_present(now, out);
        if live != self.live {
            for host in self.live.iter().filter(|host| !live.contains(host)) {
                tracing::info!(%host, "entry host is no longer live");
            }
            self.live = live;
            // The first `Hello` of a host arrives before the host counts as live.
            self.set_loads(now);
        }
    }

    /// Whether this host can't read the log while a peer can.
    pub(super) fn is_worse_informed(&self, now: Millis) -> bool {
        self.direct_age(now) >= HANDS_OVER && self.has_reader(now)
    }

    /// Whether a live peer of the data centre reads the log itself. If the log is down for all,
    /// nobody is better placed to hold the workers, and moving them stops starts.
    fn has_reader(&self, now: Millis) -> bool {
        let mut others = self.live.iter().filter(|host| **host != self.identity.host);
        others.any(|host| {
            let hello = self.live_hello(now, host);
            hello.is_some_and(|hello| hello.log_age < HANDS_OVER.0 / 2)
        })
    }

    /// Tells the router which hosts can be asked. A draining host stays until it exits, since it
    /// finishes what it runs and remembers its recent ids.
    fn follow_present(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_present = |peer: &&Peer| {
            peer.data_centre == self.identity.data_centre
                && self.membership.is_live(now, &peer.name)
        };
        let mut present: Vec<Name> = self
            .peers
            .values()
            .filter(is_present)
            .map(|peer| peer.name.clone())
            .collect();
        present.sort();
        if present != self.present {
            self.present = present;
            self.set_loads(now);
            self.hosts_changed(now, out);
        }
    }

    /// Gives up the instances when this host loses contact with the majority of its data centre.
    ///
    /// Otherwise the others would queue the ids whose home was this host until their deadline.
    /// If the others are dead, this host takes the instances back after they had their chance.
    fn follow_majority(&mut self, now: Millis) {
        let hears = self.membership.has_majority(now);
        let had = std::mem::replace(&mut self.had_majority, hears);
        self.alone = if hears {
            None
        } else {
            self.alone.or(Some(now))
        };
        // Two hosts can't tell a dead peer from a cut link, and neither has a majority alone.
        if had && !hears && self.membership.local_host_count() > 2 {
            tracing::warn!("no majority of the data centre's entry hosts answers");
            self.leases.relinquish(now, HostKind::Instance);
        }
    }

    /// Greets the peers that are due.
    pub(super) fn poll_hellos(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.membership.due_hellos(now);
        if due.is_empty() {
            return;
        }
        let hello = self.hello(now);
        for host in due {
            let purpose = PeerPurpose::Hello {
                host: host.clone(),
                asked: now,
            };
            let message = PeerRequest::Hello(hello.clone());
            self.call_peer(host, message, CONTROL_TIMEOUT, purpose, out);
        }
        self.ask_for_tail(now, out);
    }

    /// Age of the last read of the log without a peer.
    fn direct_age(&self, now: Millis) -> Millis {
        let direct = self.tail.direct;
        direct.map_or(Millis(u64::MAX), |read| now.since(read))
    }

    fn hello(&self, now: Millis) -> Hello {
        Hello {
            host: self.identity.host.clone(),
            data_centre: self.identity.data_centre.clone(),
            incarnation: self.identity.incarnation,
            held: self.leases.held(now),
            log_offset: self.log_offset(),
            // A host that reads through a peer cannot append, so its workers go to others.
            log_age: self.membership.log_age(now).max(self.direct_age(now).0),
            contracts_offset: self.contracts.offset(),
            draining: self.draining,
            leaving: self.leases.leaving(),
            loads: self.urgent.loads(now),
            slow: self.latencies.slow_instances(now),
            misfits: self.dispatcher.blocked_tasks(MAX_MISFITS),
            awaited: self.urgent.awaited_instances(),
            reports: Vec::new(),
        }
    }

    /// Reports of the awaited instances that this host holds.
    fn reports(&self, now: Millis, awaited: &[Name]) -> Vec<RunningReport> {
        let report = |instance: &Name| {
            self.leases.usable(now, instance)?;
            let view = self.instances.get(instance)?;
            Some(RunningReport {
                instance: instance.clone(),
                age: now.since(view.sent).0,
                running: view.report.running.clone(),
            })
        };
        awaited.iter().filter_map(report).collect()
    }

    fn heard(&mut self, now: Millis, asked: Option<Millis>, hello: Hello, out: &mut Vec<Action>) {
        let is_local = hello.data_centre == self.identity.data_centre;
        if is_local {
            for name in &hello.leaving {
                self.leases.mark_leaving(now, name);
            }
        }
        self.membership.hello_received(now, asked, &hello);
        if is_local {
            if let Some(asked) = asked {
                self.settle_held(now, asked, &hello, out);
            }
        }
        self.hellos.insert(hello.host.clone(), hello.clone());
        if is_local {
            self.set_loads(now);
        }
        if hello.contracts_offset > self.contracts.offset() {
            let request = ContractsRequest {
                since: self.contracts.offset(),
            };
            let is_open = self.is_open(
                |purpose| matches!(purpose, PeerPurpose::Contracts(host) if *host == hello.host),
            );
            if !is_open {
                let purpose = PeerPurpose::Contracts(hello.host.clone());
                let message = PeerRequest::Contracts(request);
                self.call_peer(hello.host, message, CONTROL_TIMEOUT, purpose, out);
            }
        }
    }

    /// Asks an informed peer for records of the task stream if this host cannot read the log.
    fn ask_for_tail(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_open = self.is_open(|purpose| matches!(purpose, PeerPurpose::Tail { .. }));
        if self.reads_log(now, TAIL_AGE) || is_open {
            return;
        }
        let informed = self.membership.up_to_date_hosts(now);
        let Some(host) = informed
            .into_iter()
            .find(|host| *host != self.identity.host)
        else {
            return;
        };
        let message = PeerRequest::Tail(TailRequest {
            from: self.log_offset(),
        });
        let purpose = PeerPurpose::Tail {
            host: host.clone(),
            asked: now,
        };
        self.call_peer(host, message, CONTROL_TIMEOUT, purpose, out);
    }

    fn tail(&self, now: Millis, from: Offset) -> PeerReply {
        let age = self.membership.log_age(now);
        if age > TAIL_AGE.0 {
            return PeerReply::Unavailable;
        }
        let first = self
            .relayed
            .front()
            .map_or(self.log_offset(), |record| record.offset);
        let records = self.relayed.iter().filter(|record| record.offset >= from);
        PeerReply::Tail(TailReply {
            first,
            next: self.log_offset(),
            age,
            records: records.cloned().collect(),
        })
    }

    fn tail_answered(
        &mut self,
        now: Millis,
        asked: Millis,
        reply: TailReply,
        out: &mut Vec<Action>,
    ) {
        // Records that the peer no longer keeps would leave a gap.
        if reply.first > self.ledger.next() {
            return;
        }
        for record in reply.records {
            self.apply(now, record, out);
        }
        self.ledger.skip_to(reply.next);
        let sent = before(asked, reply.age);
        self.tail.read = self.tail.read.max(Some(sent));
        self.membership.log_read(now, sent, reply.next);
    }

    pub(super) fn call_peer(
        &mut self,
        host: Name,
        request: PeerRequest,
        timeout: Millis,
        purpose: PeerPurpose,
        out: &mut Vec<Action>,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert(call, purpose);
        let address: Option<SocketAddr> = self.peer_address(&host);
        let Some(address) = address else {
            tracing::error!(%host, "no address is known for the peer");
            let error = Error::NotSent {
                address: host.to_string(),
                reason: "not in the settings".to_owned(),
            };
            return self.peer_answered(Millis(0), call, Err(error), 0, out);
        };
        let timeout = std::time::Duration::from_millis(timeout.0);
        out.push(Action::CallPeer {
            call,
            address,
            request,
            timeout,
        });
    }

    pub(super) fn peer_answered(
        &mut self,
        now: Millis,
        call: u64,
        result: Result<PeerReply, Error>,
        bytes: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        self.count_bytes(&purpose, bytes);
        match (purpose, result) {
            (PeerPurpose::Hello { asked, .. }, Ok(PeerReply::Hello(hello))) => {
                self.heard(now, Some(asked), hello, out);
            }
            (PeerPurpose::Contracts(_), Ok(PeerReply::Contracts(reply))) => {
                self.contracts_relayed(now, reply);
            }
            (PeerPurpose::Tail { asked, .. }, Ok(PeerReply::Tail(reply))) => {
                self.tail_answered(now, asked, reply, out);
            }
            (PeerPurpose::Forward { dispatch, attach }, result) => {
                let answer = forward_answer(attach, result);
                self.forward_answered(now, dispatch, answer, out);
            }
            (PeerPurpose::Job { ticket, .. }, result) => self.job_answered(ticket, result, out),
            (purpose, result) => {
                tracing::debug!(?purpose, ?result, "a peer did not answer as expected");
            }
        }
    }

    fn forward_answered(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.urgent
            .peer_answered(now, dispatch, answer, &mut actions);
        self.route(now, actions, out);
    }

    pub(super) fn peer_called(
        &mut self,
        now: Millis,
        ticket: u64,
        request: PeerRequest,
        out: &mut Vec<Action>,
    ) {
        let reply = match request {
            PeerRequest::Hello(hello) => {
                let awaited = hello.awaited.clone();
                self.heard(now, None, hello, out);
                let mut reply = self.hello(now);
                reply.reports = self.reports(now, &awaited);
                PeerReply::Hello(reply)
            }
            PeerRequest::Contracts(request) => {
                PeerReply::Contracts(self.relay_contracts(request.since))
            }
            PeerRequest::Tail(request) => self.tail(now, request.from),
            PeerRequest::Forward(_) if self.exited => PeerReply::Unavailable,
            PeerRequest::Forward(forward) => return self.forwarded(now, ticket, forward, out),
            PeerRequest::Job(call) => return self.job_called(now, ticket, call, out),
        };
        out.push(Action::ReplyPeer { ticket, reply });
    }

    /// Settles instances of lost hosts that the sender of a heartbeat now holds.
    fn settle_held(&mut self, now: Millis, asked: Millis, hello: &Hello, out: &mut Vec<Action>) {
        for report in &hello.reports {
            let sent = before(asked, report.age);
            let mut actions = Vec::new();
            self.urgent.instance_reported(
                now,
                &report.instance,
                sent,
                &report.running,
                &mut actions,
            );
            self.route(now, actions, out);
        }
    }

    /// Why a pending task can't run, as judged here or by a live peer.
    pub(super) fn misfit(&self, now: Millis, id: &TaskId) -> Option<Name> {
        let own = self.dispatcher.blocked_reason(id).cloned();
        own.or_else(|| {
            let hellos = self
                .live
                .iter()
                .filter_map(|host| self.live_hello(now, host));
            let mut misfits = hellos.flat_map(|hello| &hello.misfits);
            misfits
                .find(|(task, _)| task == id)
                .map(|(_, reason)| reason.clone())
        })
    }

    /// Last heartbeat of a peer that is live.
    pub(super) fn live_hello(&self, now: Millis, host: &str) -> Option<&Hello> {
        self.hellos
            .get(host)
            .filter(|_| self.membership.is_live(now, host))
    }

    /// Live hosts of a data centre that are not draining.
    pub(super) fn live_in(&self, now: Millis, data_centre: &Name) -> Vec<Name> {
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.data_centre == *data_centre);
        let live = peers.filter(|peer| {
            self.live_hello(now, &peer.name)
                .is_some_and(|hello| !hello.draining)
        });
        live.map(|peer| peer.name.clone()).collect()
    }

    fn is_open(&self, matches: impl Fn(&PeerPurpose) -> bool) -> bool {
        self.calls.values().any(matches)
    }

    fn count_bytes(&self, purpose: &PeerPurpose, bytes: usize) {
        let (label, host) = match purpose {
            PeerPurpose::Hello { host, .. } => ("hello", host),
            PeerPurpose::Contracts(host) => ("contracts", host),
            PeerPurpose::Tail { host, .. } => ("tail", host),
            PeerPurpose::Job { host, .. } => ("job", host),
            // Urgent requests stay within the data centre.
            PeerPurpose::Forward { .. } => return,
        };
        let is_remote = self
            .peers
            .get(host)
            .is_some_and(|peer| peer.region != self.identity.region);
        if is_remote {
            telemetry::region_bytes(label, bytes as u64);
        }
    }
}

/// A time by this host's clock before an event that a peer told as an age in ms.
///
/// The peer's answer may be as old as the question, and its clock may run 10% slower.
fn before(asked: Millis, age: u64) -> Millis {
    asked - Millis(age + age / 10)
}

/// What the router may conclude from the end of a forward; `None` leaves the outcome unknown.
fn forward_answer(attach: bool, result: Result<PeerReply, Error>) -> Option<UrgentAnswer> {
    let is_without_effect = match result {
        Ok(PeerReply::Answer(answer)) => {
            let Answer { status, ran, body } = answer;
            return Some(UrgentAnswer { status, ran, body });
        }
        Ok(reply) => matches!(reply, PeerReply::Unavailable),
        Err(error) => error.is_without_effect(),
    };
    // A peer that can't be asked may be running the id.
    (is_without_effect && !attach).then(UrgentAnswer::unavailable)
}
