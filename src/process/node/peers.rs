//! Calls between entry hosts: heartbeats, relayed log records and contracts, forwarded requests and
//! job calls.

use std::net::SocketAddr;

use super::action::Action;
use super::node::Node;
use crate::base::{Millis, Name, Offset};
use crate::connection::Error;
use crate::connection::wire::{
    Answer, ContractsRequest, Hello, HostKind, PeerReply, PeerRequest, RunningReport, TailReply,
    TailRequest,
};
use crate::process::settings::Peer;
use crate::process::telemetry;
use crate::request::{DispatchId, UrgentAnswer};

/// Time limit of heartbeats and of requests for log records or contracts.
pub(super) const CONTROL_TIMEOUT: Millis = Millis(1_000);
/// Largest number of blocked tasks (pending ones that can't run) that one heartbeat lists in
/// `misfits`.
const MAX_BLOCKED_TASKS: usize = 16;
/// Age of the last log read above which this host asks a peer for records and stops relaying
/// records to others.
const MAX_LOG_AGE: Millis = Millis(1_500);

/// Age of the last direct read of the log from which on a host gives its workers to hosts that read
/// the log, since it cannot record how their tasks end. `Membership` uses the same age for peers.
const HANDOVER_AGE: Millis = Millis(10_000);

/// Why this host called a peer.
#[derive(Debug)]
pub(super) enum PeerPurpose {
    /// A heartbeat.
    Hello { host: Name, sent: Millis },
    /// A request for newer contracts.
    Contracts(Name),
    /// A request for newer records of the task stream.
    Records { host: Name, sent: Millis },
    /// An urgent request that the router forwards.
    Forward { dispatch: DispatchId, attach: bool },
    /// The frame with this index of what this host tells its peers before it exits.
    Departure { host: Name, frame: usize },
    /// A job call for the API caller with this ticket.
    Job { ticket: u64, host: Name },
}

impl Node {
    /// Updates which entry hosts of this data centre are live and which of them may hold workers.
    pub(super) fn poll_membership(&mut self, now: Millis, out: &mut Vec<Action>) {
        let live = self.membership.live_hosts(now);
        let mut up_to_date = self.membership.up_to_date_hosts(now);
        if self.should_yield_workers(now) {
            up_to_date.retain(|host| *host != self.identity.host);
        }
        self.leases.set_hosts(now, &live, &up_to_date);
        self.update_majority(now);
        self.update_reachable(now, out);
        if live != self.live_hosts {
            for host in self.live_hosts.iter().filter(|host| !live.contains(host)) {
                tracing::info!(%host, "entry host is no longer live");
            }
            self.live_hosts = live;
            // `on_hello` ignores the loads in the first `Hello` of a host: it does not count as
            // live yet at that time.
            self.refresh_loads(now);
        }
    }

    /// Whether this host cannot read the log itself while a peer can, so that the peers should hold
    /// its workers.
    pub(super) fn should_yield_workers(&self, now: Millis) -> bool {
        self.direct_read_age(now) >= HANDOVER_AGE && self.has_up_to_date_peer(now)
    }

    /// Whether a live peer of the data centre reads the log itself. If the log is down for all
    /// hosts, moving the workers would gain nothing and would interrupt starts.
    fn has_up_to_date_peer(&self, now: Millis) -> bool {
        let mut others = self
            .live_hosts
            .iter()
            .filter(|host| **host != self.identity.host);
        others.any(|host| {
            let hello = self.live_hello(now, host);
            hello.is_some_and(|hello| hello.log_age < HANDOVER_AGE.0 / 2)
        })
    }

    /// Tells the router which hosts can be reached. A draining host counts until it exits, since it
    /// finishes its requests and remembers recent request ids.
    fn update_reachable(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_reachable = |peer: &&Peer| {
            peer.data_centre == self.identity.data_centre
                && self.membership.is_live(now, &peer.name)
                && !self.has_departed(&peer.name)
        };
        let mut reachable: Vec<Name> = self
            .peers
            .values()
            .filter(is_reachable)
            .map(|peer| peer.name.clone())
            .collect();
        reachable.sort();
        if reachable != self.reachable {
            self.reachable = reachable;
            self.refresh_loads(now);
            self.refresh_hosts(now, out);
        }
    }

    /// Gives up the instances when this host loses contact with the majority of its data centre.
    ///
    /// While this host holds instances, the other hosts cannot run the requests whose home it was,
    /// and would queue them until their deadline. If the other hosts are dead, this host takes the
    /// instances back after the time in which they could have taken them.
    fn update_majority(&mut self, now: Millis) {
        let has_majority = self.membership.has_majority(now);
        let had_majority = std::mem::replace(&mut self.had_majority, has_majority);
        self.minority_since = if has_majority {
            None
        } else {
            self.minority_since.or(Some(now))
        };
        // With two hosts, neither has a majority alone, and neither can tell a dead peer from a
        // broken connection.
        if had_majority && !has_majority && self.membership.local_host_count() > 2 {
            tracing::warn!("no majority of entry hosts answers; giving up the instances");
            self.leases.relinquish(now, HostKind::Instance);
        }
    }

    /// Sends the heartbeats that are due, and a request for log records if one is needed.
    pub(super) fn poll_hellos(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.membership.due_hellos(now);
        if due.is_empty() {
            return;
        }
        let hello = self.make_hello(now);
        for host in due {
            let purpose = PeerPurpose::Hello {
                host: host.clone(),
                sent: now,
            };
            let message = PeerRequest::Hello(hello.clone());
            self.call_peer(host, message, CONTROL_TIMEOUT, purpose, out);
        }
        self.request_records(now, out);
    }

    /// Age of the last read of the log that did not go through a peer.
    fn direct_read_age(&self, now: Millis) -> Millis {
        let direct = self.task_log.direct_read;
        direct.map_or(Millis(u64::MAX), |read| now.since(read))
    }

    fn make_hello(&self, now: Millis) -> Hello {
        Hello {
            host: self.identity.host.clone(),
            data_centre: self.identity.data_centre.clone(),
            incarnation: self.identity.incarnation,
            held: self.leases.held(now),
            log_offset: self.log_offset(),
            // Reads through a peer do not count: a host that depends on them cannot append, so
            // others should hold its workers.
            log_age: self
                .membership
                .log_age(now)
                .max(self.direct_read_age(now).0),
            contracts_offset: self.contracts.offset(),
            draining: self.draining,
            leaving: self.leases.leaving(),
            loads: self.urgent.loads(now),
            slow: self.latencies.slow_instances(now),
            misfits: self.dispatcher.blocked_tasks(MAX_BLOCKED_TASKS),
            awaited: self.urgent.awaited_instances(),
            reports: Vec::new(),
        }
    }

    /// Latest reports of those awaited instances that this host holds.
    fn awaited_reports(&self, now: Millis, awaited: &[Name]) -> Vec<RunningReport> {
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

    /// Handles a heartbeat of a peer. If it answers a heartbeat of this host, `sent` is the time at
    /// which this host sent that one.
    fn on_hello(&mut self, now: Millis, sent: Option<Millis>, hello: Hello, out: &mut Vec<Action>) {
        let is_local = hello.data_centre == self.identity.data_centre;
        if is_local {
            for name in &hello.leaving {
                self.leases.mark_leaving(now, name);
            }
        }
        self.membership.hello_received(now, sent, &hello);
        if is_local {
            if let Some(sent) = sent {
                self.pass_reports(now, sent, &hello, out);
            }
        }
        self.hellos.insert(hello.host.clone(), hello.clone());
        if is_local {
            self.refresh_loads(now);
        }
        if hello.contracts_offset > self.contracts.offset() {
            let request = ContractsRequest {
                since: self.contracts.offset(),
            };
            let is_open = self.has_open_call(
                |purpose| matches!(purpose, PeerPurpose::Contracts(host) if *host == hello.host),
            );
            if !is_open {
                let purpose = PeerPurpose::Contracts(hello.host.clone());
                let message = PeerRequest::Contracts(request);
                self.call_peer(hello.host, message, CONTROL_TIMEOUT, purpose, out);
            }
        }
    }

    /// Asks a peer that reads the log for records of the task stream if this host cannot read it.
    fn request_records(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_open = self.has_open_call(|purpose| matches!(purpose, PeerPurpose::Records { .. }));
        if self.has_read_log(now, MAX_LOG_AGE) || is_open {
            return;
        }
        let up_to_date = self.membership.up_to_date_hosts(now);
        let Some(host) = up_to_date
            .into_iter()
            .find(|host| *host != self.identity.host)
        else {
            return;
        };
        let message = PeerRequest::Tail(TailRequest {
            from: self.log_offset(),
        });
        let purpose = PeerPurpose::Records {
            host: host.clone(),
            sent: now,
        };
        self.call_peer(host, message, CONTROL_TIMEOUT, purpose, out);
    }

    /// The newest records of the task stream for a peer, from offset `from` on.
    fn records_reply(&self, now: Millis, from: Offset) -> PeerReply {
        let age = self.membership.log_age(now);
        if age > MAX_LOG_AGE.0 {
            return PeerReply::Unavailable;
        }
        let first = self
            .recent_records
            .front()
            .map_or(self.log_offset(), |record| record.offset);
        let records = self
            .recent_records
            .iter()
            .filter(|record| record.offset >= from);
        PeerReply::Tail(TailReply {
            first,
            next: self.log_offset(),
            age,
            records: records.cloned().collect(),
        })
    }

    /// Applies records of the task stream that a peer relayed; the request was sent at `sent`.
    fn on_records_reply(
        &mut self,
        now: Millis,
        sent: Millis,
        reply: TailReply,
        out: &mut Vec<Action>,
    ) {
        // The peer no longer keeps all the records that are missing here.
        if reply.first > self.ledger.next() {
            return;
        }
        for record in reply.records {
            self.apply(now, record, out);
        }
        self.ledger.skip_to(reply.next);
        let read = lower_bound(sent, reply.age);
        self.task_log.last_read = self.task_log.last_read.max(Some(read));
        self.membership.log_read(now, read, reply.next);
    }

    pub(super) fn call_peer(
        &mut self,
        host: Name,
        request: PeerRequest,
        timeout: Millis,
        purpose: PeerPurpose,
        out: &mut Vec<Action>,
    ) {
        self.last_call += 1;
        let call = self.last_call;
        self.peer_calls.insert(call, purpose);
        let address: Option<SocketAddr> = self.peer_address(&host);
        let Some(address) = address else {
            tracing::error!(%host, "the settings have no address for the peer");
            let error = Error::NotSent {
                address: host.to_string(),
                reason: "not in the settings".to_owned(),
            };
            return self.on_peer_answer(Millis(0), call, Err(error), 0, out);
        };
        let timeout = std::time::Duration::from_millis(timeout.0);
        out.push(Action::CallPeer {
            call,
            address,
            request,
            timeout,
        });
    }

    pub(super) fn on_peer_answer(
        &mut self,
        now: Millis,
        call: u64,
        result: Result<PeerReply, Error>,
        bytes: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.peer_calls.remove(&call) else {
            return;
        };
        self.count_bytes(&purpose, bytes);
        match (purpose, result) {
            (PeerPurpose::Hello { sent, .. }, Ok(PeerReply::Hello(hello))) => {
                self.on_hello(now, Some(sent), hello, out);
            }
            (PeerPurpose::Contracts(_), Ok(PeerReply::Contracts(reply))) => {
                self.on_contracts_relayed(now, reply);
            }
            (PeerPurpose::Records { sent, .. }, Ok(PeerReply::Tail(reply))) => {
                self.on_records_reply(now, sent, reply, out);
            }
            (PeerPurpose::Forward { dispatch, attach }, result) => {
                let answer = forward_answer(attach, result);
                self.on_forward_answer(now, dispatch, answer, out);
            }
            (PeerPurpose::Departure { host, frame }, result) => {
                self.on_departure_answer(now, &host, frame, result);
            }
            (PeerPurpose::Job { ticket, .. }, result) => self.on_job_answer(ticket, result, out),
            (purpose, result) => {
                tracing::debug!(
                    ?purpose,
                    ?result,
                    "a call to a peer failed or got an unexpected answer"
                );
            }
        }
    }

    fn on_forward_answer(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.urgent
            .peer_answered(now, dispatch, answer, &mut actions);
        self.run_router_actions(now, actions, out);
    }

    pub(super) fn on_peer_call(
        &mut self,
        now: Millis,
        ticket: u64,
        request: PeerRequest,
        out: &mut Vec<Action>,
    ) {
        let reply = match request {
            PeerRequest::Hello(hello) => {
                let awaited = hello.awaited.clone();
                self.on_hello(now, None, hello, out);
                let mut reply = self.make_hello(now);
                reply.reports = self.awaited_reports(now, &awaited);
                PeerReply::Hello(reply)
            }
            PeerRequest::Contracts(request) => {
                PeerReply::Contracts(self.contracts_reply(request.since))
            }
            PeerRequest::Tail(request) => self.records_reply(now, request.from),
            PeerRequest::Forward(_) if self.exited => PeerReply::Unavailable,
            PeerRequest::Forward(forward) => return self.on_forward(now, ticket, forward, out),
            PeerRequest::Departure(frame) => self.on_departure(now, frame, out),
            PeerRequest::Job(call) => return self.on_job_call(now, ticket, call, out),
        };
        out.push(Action::ReplyPeer { ticket, reply });
    }

    /// Passes the reports of awaited instances in a heartbeat to the router. `sent` is the time at
    /// which this host sent the heartbeat that they answer.
    fn pass_reports(&mut self, now: Millis, sent: Millis, hello: &Hello, out: &mut Vec<Action>) {
        for report in &hello.reports {
            let reported = lower_bound(sent, report.age);
            let mut actions = Vec::new();
            self.urgent.instance_reported(
                now,
                &report.instance,
                reported,
                &report.running,
                &mut actions,
            );
            self.run_router_actions(now, actions, out);
        }
    }

    /// Last heartbeat of the peer if it is live.
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

    /// Whether a call to a peer whose purpose matches is not answered yet.
    fn has_open_call(&self, matches: impl Fn(&PeerPurpose) -> bool) -> bool {
        self.peer_calls.values().any(matches)
    }

    /// Counts the bytes of a call to a peer in another region.
    fn count_bytes(&self, purpose: &PeerPurpose, bytes: usize) {
        let (label, host) = match purpose {
            PeerPurpose::Hello { host, .. } => ("hello", host),
            PeerPurpose::Contracts(host) => ("contracts", host),
            PeerPurpose::Records { host, .. } => ("tail", host),
            PeerPurpose::Job { host, .. } => ("job", host),
            // These calls are made only within the data centre.
            PeerPurpose::Forward { .. } | PeerPurpose::Departure { .. } => return,
        };
        let is_remote = self
            .peers
            .get(host)
            .is_some_and(|peer| peer.region != self.identity.region);
        if is_remote {
            telemetry::count_region_bytes(label, bytes as u64);
        }
    }
}

/// A time by this host's clock that is not later than an event whose age in ms a peer sent in its
/// answer to a call.
///
/// The peer may have taken the age as early as `sent`, when the call was sent, and its clock may
/// run 10% slower than this host's.
fn lower_bound(sent: Millis, age: u64) -> Millis {
    sent - Millis(age.saturating_add(age / 10))
}

/// The answer that a forwarded request got; `None` if its outcome is unknown.
fn forward_answer(attach: bool, result: Result<PeerReply, Error>) -> Option<UrgentAnswer> {
    let is_without_effect = match result {
        Ok(PeerReply::Answer(answer)) => {
            let Answer { status, ran, body } = answer;
            return Some(UrgentAnswer { status, ran, body });
        }
        Ok(reply) => matches!(reply, PeerReply::Unavailable),
        Err(error) => error.is_without_effect(),
    };
    // An `attach` asks whether the peer is running the request. If the peer could not be asked, it
    // may be running it.
    (is_without_effect && !attach).then(UrgentAnswer::unavailable)
}
