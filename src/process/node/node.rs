//! Composes the cores and routes events to them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use super::action::Action;
use super::contracts::Proposal;
use super::event::Event;
use super::jobs::Submission;
use super::peers::PeerPurpose;
use super::tasks::Tail;
use crate::base::{Millis, Name, Offset, Size, TaskId};
use crate::connection::wire::{Hello, HostEntry, HostKind, RelayedRecord};
use crate::connection::{LeaseTable, LeaseTiming};
use crate::process::settings::{Limits, Peer, Settings, Timing};
use crate::process::{EntryHost, ErrorBudgets, Membership, Suspicions};
use crate::request::{DispatchId, Dispatcher, InstanceLatencies, UrgentLimits, UrgentRouter};
use crate::version::{ContractTable, Journal, Ledger, LedgerTiming, RestatementSchedule};

/// Time after the request to stop for which new callers are still served, so that a load balancer
/// sees `/ready` change first. Afterwards they are refused, or a steady load would prevent the end.
const DRAIN_NOTICE: Millis = Millis(2_000);

/// Who this host is.
#[derive(Debug, Clone)]
pub struct Identity {
    pub host: Name,
    pub data_centre: Name,
    pub region: Name,
    /// Changes with every start of the process.
    pub incarnation: u64,
    /// Wall-clock time at core time zero, in ms since the Unix epoch.
    pub clock_origin: u64,
}

/// What a node needs of the settings.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    pub identity: Identity,
    /// All entry hosts, this one included.
    pub peers: Vec<Peer>,
    pub timing: Timing,
    pub limits: Limits,
    /// Time that the log keeps a record.
    pub retention: Millis,
}

impl NodeSettings {
    /// Takes over checked settings; `incarnation` and `clock_origin` come from the process's start.
    pub fn new(settings: &Settings, incarnation: u64, clock_origin: u64) -> Self {
        NodeSettings {
            identity: Identity {
                host: settings.host.name.clone(),
                data_centre: settings.host.data_centre.clone(),
                region: settings.host.region.clone(),
                incarnation: settings.host.incarnation.unwrap_or(incarnation),
                clock_origin,
            },
            peers: settings.peers.clone(),
            timing: settings.timing.clone(),
            limits: settings.limits.clone(),
            retention: settings.platform.retention,
        }
    }
}

/// An entry host's scheduler.
pub struct Node {
    pub(super) identity: Identity,
    pub(super) peers: HashMap<Name, Peer>,
    pub(super) timing: Timing,
    pub(super) limits: Limits,
    /// Time that the log keeps a record.
    pub(super) retention: Millis,
    pub(super) membership: Membership,
    pub(super) suspicions: Suspicions,
    pub(super) leases: LeaseTable,
    pub(super) contracts: ContractTable,
    pub(super) ledger: Ledger,
    pub(super) journal: Journal,
    pub(super) dispatcher: Dispatcher,
    pub(super) urgent: UrgentRouter,
    pub(super) burn: ErrorBudgets,
    pub(super) latencies: InstanceLatencies,
    /// Instance and start of each request under way.
    pub(super) sends: HashMap<DispatchId, (Name, Millis)>,
    /// Workers and instances of this data centre, from the host list.
    pub(super) backends: HashMap<Name, HostEntry>,
    /// Latest reports of the instances whose lease is held.
    pub(super) instances: HashMap<Name, super::urgent::InstanceView>,
    /// Live entry hosts of this data centre as of the last poll, draining ones included.
    pub(super) present: Vec<Name>,
    /// Live entry hosts of this data centre that are not draining.
    pub(super) live: Vec<Name>,
    /// Last heartbeat of each peer.
    pub(super) hellos: HashMap<Name, Hello>,
    /// Whether the instances that may run ids from before this process's start were named.
    pub(super) is_settled: bool,
    /// Open calls to peers.
    pub(super) calls: HashMap<u64, PeerPurpose>,
    pub(super) next_call: u64,
    pub(super) proposals: HashMap<Name, Proposal>,
    /// Proposals that wait for their append, first one first; at most one append is under way.
    pub(super) publishing: VecDeque<Name>,
    pub(super) contract_append: Option<u64>,
    pub(super) sequence: u64,
    pub(super) submissions: Vec<Submission>,
    pub(super) callers: HashMap<u64, super::urgent::Caller>,
    pub(super) next_ticket: u64,
    pub(super) tail: Tail,
    /// Raw records for peers that cannot read the log.
    pub(super) relayed: VecDeque<RelayedRecord>,
    /// Services with an instance on each worker's host.
    pub(super) services: HashMap<Name, Vec<Name>>,
    /// Services that are slow on each worker's host.
    pub(super) slow: HashMap<Name, Vec<Name>>,
    /// Quota of each customer in this data centre.
    pub(super) quotas: HashMap<Name, Size>,
    pub(super) contracts_read: Option<Millis>,
    /// Contracts by the time at which their records have to be appended again.
    pub(super) retained_contracts: RestatementSchedule<Name>,
    /// Tasks by the time at which they have to be stated again.
    pub(super) retained_tasks: RestatementSchedule<TaskId>,
    /// Whether a majority of the data centre's entry hosts answered at the last poll.
    pub(super) had_majority: bool,
    /// Since when no majority answers.
    pub(super) alone: Option<Millis>,
    pub(super) draining: bool,
    pub(super) exited: bool,
}

impl Node {
    pub fn new(settings: NodeSettings) -> Self {
        let NodeSettings {
            identity,
            peers,
            timing,
            limits,
            retention,
        } = settings;
        let host = identity.host.clone();
        let entries = peers.iter().map(EntryHost::from).collect();
        let dedupe = Millis(timing.finished_ttl.0.min(retention.0 / 2));
        Node {
            membership: Membership::new(host.clone(), identity.data_centre.clone(), entries),
            suspicions: Suspicions::new(host.clone()),
            leases: LeaseTable::new(host.clone(), lease_timing(&timing)),
            contracts: ContractTable::new(),
            ledger: Ledger::new(LedgerTiming { dedupe, retention }),
            journal: Journal::new(host.clone(), identity.incarnation, timing.append_interval),
            dispatcher: Dispatcher::new(host.clone()),
            urgent: UrgentRouter::new(host.clone(), identity.incarnation, urgent_limits(&limits)),
            burn: ErrorBudgets::new(host.clone()),
            latencies: InstanceLatencies::new(),
            sends: HashMap::new(),
            peers: peers
                .into_iter()
                .map(|peer| (peer.name.clone(), peer))
                .collect(),
            backends: HashMap::new(),
            instances: HashMap::new(),
            present: Vec::new(),
            live: Vec::new(),
            hellos: HashMap::new(),
            is_settled: false,
            calls: HashMap::new(),
            next_call: 0,
            proposals: HashMap::new(),
            publishing: VecDeque::new(),
            contract_append: None,
            sequence: 0,
            submissions: Vec::new(),
            callers: HashMap::new(),
            next_ticket: 0,
            tail: Tail::default(),
            relayed: VecDeque::new(),
            services: HashMap::new(),
            slow: HashMap::new(),
            quotas: HashMap::new(),
            contracts_read: None,
            retained_contracts: RestatementSchedule::new(host.clone(), retention),
            retained_tasks: RestatementSchedule::new(host.clone(), retention),
            had_majority: false,
            alone: None,
            draining: false,
            exited: false,
            identity,
            timing,
            limits,
            retention,
        }
    }

    /// Takes one event; `poll` has to follow before the next wait.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Hosts(list) => self.hosts_read(now, list, out),
            Event::Read {
                stream,
                sent,
                reply,
            } => self.stream_read(now, stream, sent, reply, out),
            Event::Appended {
                stream,
                sequence,
                sent,
                result,
            } => {
                self.appended(now, stream, sequence, sent, result, out);
            }
            Event::WorkerLease {
                worker,
                sent,
                result,
            } => {
                self.worker_answered(now, &worker, sent, result, out);
            }
            Event::InstanceLease {
                instance,
                sent,
                result,
            } => {
                self.instance_leased(now, &instance, sent, result, out);
            }
            Event::Released { resource, result } => self.released(now, &resource, result),
            Event::Started {
                worker,
                task,
                attempt,
                result,
            } => {
                self.started(now, &worker, &task, attempt, result, out);
            }
            Event::CommandDone { worker } => self.dispatcher.command_answered(now, &worker),
            Event::CommandFailed { worker, error } => {
                tracing::warn!(%worker, %error, "a command to a worker had no effect");
            }
            Event::InstanceAnswered { dispatch, outcome } => {
                self.instance_answered(now, dispatch, outcome, out);
            }
            Event::PeerAnswered {
                call,
                result,
                bytes,
            } => {
                self.peer_answered(now, call, result, bytes, out);
            }
            Event::PeerCalled { ticket, request } => self.peer_called(now, ticket, request, out),
            Event::ApiCalled { ticket, call } => self.api_called(now, ticket, call, out),
            Event::ApiClosed { ticket } => self.api_closed(now, ticket, out),
            Event::Drain => self.drain(now),
        }
    }

    /// Does what is due; call after each batch of events and at least every 50 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.poll_members(now, out);
        self.poll_leases(now, out);
        self.poll_tasks(now, out);
        self.poll_contracts(now, out);
        self.poll_urgent(now, out);
        self.poll_jobs(now, out);
        self.poll_hellos(now, out);
        self.poll_exit(now, out);
    }

    /// Wall-clock time in ms since the Unix epoch.
    pub(super) fn wall(&self, now: Millis) -> u64 {
        self.identity.clock_origin + now.0
    }

    pub(super) fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.peers.get(host).map(|peer| peer.address)
    }

    /// Workers or instances of this data centre.
    pub(super) fn backends_of(&self, kind: HostKind) -> impl Iterator<Item = &HostEntry> {
        self.backends
            .values()
            .filter(move |entry| entry.kind == kind)
    }

    fn drain(&mut self, now: Millis) {
        if !self.draining {
            tracing::info!("draining: finishing the requests in progress");
            self.draining = true;
            self.tail.drained = Some(now);
        }
    }

    /// Whether callers are refused because this host is stopping.
    pub(super) fn refuses_callers(&self, now: Millis) -> bool {
        let drained = self.tail.drained;
        self.exited || drained.is_some_and(|drained| now.since(drained) >= DRAIN_NOTICE)
    }

    /// Whether the task stream was read within `age`.
    pub(super) fn reads_log(&self, now: Millis, age: Millis) -> bool {
        self.tail.read.is_some_and(|read| now.since(read) <= age)
    }

    /// Whether this host itself read the task stream within `age` and its last append succeeded.
    pub(super) fn reaches_log(&self, now: Millis, age: Millis) -> bool {
        let direct = self.tail.direct;
        direct.is_some_and(|read| now.since(read) <= age) && self.journal.is_healthy()
    }

    /// Offset of the task stream that this host will read next.
    pub(super) fn log_offset(&self) -> Offset {
        self.ledger.next()
    }

    /// First gives work in progress its end, then the leases back, then ends the process.
    fn poll_exit(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.draining || self.exited {
            return;
        }
        let is_busy = !self.callers.is_empty()
            || self.urgent.in_progress() > 0
            || !self.submissions.is_empty()
            || !self.proposals.is_empty()
            || self.dispatcher.open_starts() > 0;
        if is_busy {
            return;
        }
        self.leases.drain(now);
        let is_flushed = self.journal.backlog() == 0 || !self.journal.is_healthy();
        if self.leases.is_drained() && is_flushed {
            self.exited = true;
            out.push(Action::Exit);
        }
    }
}

fn lease_timing(timing: &Timing) -> LeaseTiming {
    LeaseTiming {
        ttl: timing.lease_ttl,
        renew_interval: timing.lease_renewal,
        stable_time: timing.handback_delay,
        standby_delay: timing.lease_ttl + timing.lease_retry,
        ..LeaseTiming::default()
    }
}

fn urgent_limits(limits: &Limits) -> UrgentLimits {
    UrgentLimits {
        max_queued: limits.queue as usize,
        ..UrgentLimits::default()
    }
}

impl From<&Peer> for EntryHost {
    fn from(peer: &Peer) -> Self {
        EntryHost {
            name: peer.name.clone(),
            data_centre: peer.data_centre.clone(),
            address: peer.address.to_string().into(),
        }
    }
}
