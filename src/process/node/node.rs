//! The node: the state of an entry host's scheduler, and the dispatch of events to its parts.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use super::action::Action;
use super::contracts::Proposal;
use super::departure::{Receiving, Sending};
use super::event::Event;
use super::jobs::Submission;
use super::peers::PeerPurpose;
use super::tasks::TaskLog;
use crate::base::{Millis, Name, Offset, Size, TaskId};
use crate::connection::wire::{Hello, HostEntry, HostKind, RelayedRecord};
use crate::connection::{LeaseTable, LeaseTiming};
use crate::process::settings::{Limits, Peer, Settings, Timing};
use crate::process::{EntryHost, ErrorBudgets, Membership, Suspicions};
use crate::request::{DispatchId, Dispatcher, InstanceLatencies, UrgentLimits, UrgentRouter};
use crate::version::{ContractTable, Journal, Ledger, LedgerTiming, RestatementSchedule};

/// Time after the stop request for which new urgent requests are still served, so that load
/// balancers see `/ready` change first. Later ones are refused, since the drain would never end
/// under steady load.
const DRAIN_NOTICE: Millis = Millis(2_000);

/// Identity of this entry host and of its process.
#[derive(Debug, Clone)]
pub struct Identity {
    pub host: Name,
    pub data_centre: Name,
    pub region: Name,
    /// Different for each process that runs under the host's name.
    pub incarnation: u64,
    /// Wall-clock time at core time zero, in ms since the Unix epoch.
    pub clock_origin: u64,
}

/// The part of the settings that a node needs.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    pub identity: Identity,
    /// All entry hosts of all data centres, this one included.
    pub peers: Vec<Peer>,
    pub timing: Timing,
    pub limits: Limits,
    /// Time for which the log keeps a record.
    pub retention: Millis,
}

impl NodeSettings {
    /// Takes validated settings. `incarnation` applies unless the settings name one; `clock_origin`
    /// is the wall-clock time at core time zero, in ms since the Unix epoch.
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

/// The scheduler of an entry host.
pub struct Node {
    pub(super) identity: Identity,
    pub(super) peers: HashMap<Name, Peer>,
    pub(super) timing: Timing,
    pub(super) limits: Limits,
    /// Time for which the log keeps a record.
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
    /// Urgent requests that an instance has not answered yet: the instance and the time of sending.
    pub(super) in_flight: HashMap<DispatchId, (Name, Millis)>,
    /// Workers and instances of this data centre, from the host list.
    pub(super) backends: HashMap<Name, HostEntry>,
    /// Latest reports of the instances whose lease is held.
    pub(super) instances: HashMap<Name, super::urgent::InstanceView>,
    /// Live entry hosts of this data centre as of the last poll, draining ones included, by name.
    pub(super) reachable: Vec<Name>,
    /// Live entry hosts of this data centre as of the last poll, without draining ones.
    pub(super) live_hosts: Vec<Name>,
    /// Last heartbeat received from each peer.
    pub(super) hellos: HashMap<Name, Hello>,
    /// Whether the router was told that a predecessor of this process may have left requests
    /// running on instances.
    pub(super) restart_reported: bool,
    /// Calls to peers that are not answered yet, with their purpose.
    pub(super) peer_calls: HashMap<u64, PeerPurpose>,
    /// Number of the last call to a peer.
    pub(super) last_call: u64,
    /// Published contracts whose outcome is not known yet, by proposal name.
    pub(super) proposals: HashMap<Name, Proposal>,
    /// Proposals that wait for their append, oldest first; at most one append is in flight.
    pub(super) publish_queue: VecDeque<Name>,
    /// Sequence number of the contract append in flight.
    pub(super) contract_append: Option<u64>,
    /// Last number given to a proposal or a contract append.
    pub(super) sequence: u64,
    /// Jobs whose acceptance is not read back from the log yet.
    pub(super) submissions: Vec<Submission>,
    /// Callers and peers that wait for an urgent request, by router ticket.
    pub(super) callers: HashMap<u64, super::urgent::Caller>,
    /// Last ticket given to an urgent request.
    pub(super) last_ticket: u64,
    pub(super) task_log: TaskLog,
    /// Newest raw records of the task stream, for peers that cannot read the log.
    pub(super) recent_records: VecDeque<RelayedRecord>,
    /// Services that have an instance on the host of a worker, by worker.
    pub(super) worker_services: HashMap<Name, Vec<Name>>,
    /// Services that are slow on the host of a worker, by worker.
    pub(super) slow_services: HashMap<Name, Vec<Name>>,
    /// Share of each customer's quota that applies in this data centre.
    pub(super) quotas: HashMap<Name, Size>,
    /// When the contracts were last read from the log or received from a peer.
    pub(super) contracts_confirmed: Option<Millis>,
    /// Decides when each contract is appended again, before the log drops its record.
    pub(super) retained_contracts: RestatementSchedule<Name>,
    /// Decides when the state of each task is appended again, before the log drops its records.
    pub(super) retained_tasks: RestatementSchedule<TaskId>,
    /// Whether a majority of the data centre's entry hosts answered at the last poll.
    pub(super) had_majority: bool,
    /// Since when no majority has answered; `None` while one does.
    pub(super) minority_since: Option<Millis>,
    pub(super) draining: bool,
    /// What this host still has to tell its peers; `None` until all its work has ended.
    pub(super) sending: Option<Sending>,
    /// What stopping peers have told this host.
    pub(super) departures: HashMap<Name, Receiving>,
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
            in_flight: HashMap::new(),
            peers: peers
                .into_iter()
                .map(|peer| (peer.name.clone(), peer))
                .collect(),
            backends: HashMap::new(),
            instances: HashMap::new(),
            reachable: Vec::new(),
            live_hosts: Vec::new(),
            hellos: HashMap::new(),
            restart_reported: false,
            peer_calls: HashMap::new(),
            last_call: 0,
            proposals: HashMap::new(),
            publish_queue: VecDeque::new(),
            contract_append: None,
            sequence: 0,
            submissions: Vec::new(),
            callers: HashMap::new(),
            last_ticket: 0,
            task_log: TaskLog::default(),
            recent_records: VecDeque::new(),
            worker_services: HashMap::new(),
            slow_services: HashMap::new(),
            quotas: HashMap::new(),
            contracts_confirmed: None,
            retained_contracts: RestatementSchedule::new(host.clone(), retention),
            retained_tasks: RestatementSchedule::new(host.clone(), retention),
            had_majority: false,
            minority_since: None,
            draining: false,
            sending: None,
            departures: HashMap::new(),
            exited: false,
            identity,
            timing,
            limits,
            retention,
        }
    }

    /// Handles one event. The caller calls `poll` before it waits for more events.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Hosts(list) => self.on_host_list(now, list, out),
            Event::Read {
                stream,
                sent,
                reply,
            } => self.on_stream_read(now, stream, sent, reply, out),
            Event::Appended {
                stream,
                sequence,
                sent,
                result,
            } => {
                self.on_append_result(now, stream, sequence, sent, result, out);
            }
            Event::WorkerLease {
                worker,
                sent,
                result,
            } => {
                self.on_worker_lease(now, &worker, sent, result, out);
            }
            Event::InstanceLease {
                instance,
                sent,
                result,
            } => {
                self.on_instance_lease(now, &instance, sent, result, out);
            }
            Event::Released { resource, result } => self.on_lease_released(now, &resource, result),
            Event::Started {
                worker,
                task,
                attempt,
                result,
            } => {
                self.on_start_result(now, &worker, &task, attempt, result, out);
            }
            Event::CommandDone { worker } => self.dispatcher.command_answered(now, &worker),
            Event::CommandFailed { worker, error } => {
                tracing::warn!(%worker, %error, "command to the worker failed");
            }
            Event::InstanceAnswered { dispatch, outcome } => {
                self.on_instance_answer(now, dispatch, outcome, out);
            }
            Event::PeerAnswered {
                call,
                result,
                bytes,
            } => {
                self.on_peer_answer(now, call, result, bytes, out);
            }
            Event::PeerCalled { ticket, request } => self.on_peer_call(now, ticket, request, out),
            Event::ApiCalled { ticket, call } => self.on_api_call(now, ticket, call, out),
            Event::ApiClosed { ticket } => self.on_api_closed(now, ticket, out),
            Event::Drain => self.drain(now),
        }
    }

    /// Runs everything that is due. Called after each batch of events and at least every 50 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.poll_membership(now, out);
        self.poll_leases(now, out);
        self.poll_tasks(now, out);
        self.poll_contracts(now, out);
        self.poll_urgent(now, out);
        self.poll_jobs(now, out);
        self.poll_hellos(now, out);
        self.poll_exit(now, out);
    }

    /// Wall-clock time in ms since the Unix epoch.
    pub(super) fn wall_time(&self, now: Millis) -> u64 {
        self.identity.clock_origin + now.0
    }

    pub(super) fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.peers.get(host).map(|peer| peer.address)
    }

    /// The workers, or the instances, of this data centre.
    pub(super) fn backends_of(&self, kind: HostKind) -> impl Iterator<Item = &HostEntry> {
        self.backends
            .values()
            .filter(move |entry| entry.kind == kind)
    }

    fn drain(&mut self, now: Millis) {
        if !self.draining {
            tracing::info!("draining: finishing work in progress before exit");
            self.draining = true;
            self.task_log.drain_time = Some(now);
        }
    }

    /// Whether new urgent requests are refused because this host is stopping.
    pub(super) fn refuses_callers(&self, now: Millis) -> bool {
        let drain_time = self.task_log.drain_time;
        let is_departing = self.exited || self.sending.is_some();
        is_departing || drain_time.is_some_and(|at| now.since(at) >= DRAIN_NOTICE)
    }

    /// Whether the task stream was read within `max_age`, directly or through a peer.
    pub(super) fn has_read_log(&self, now: Millis, max_age: Millis) -> bool {
        self.task_log
            .last_read
            .is_some_and(|read| now.since(read) <= max_age)
    }

    /// Whether this host itself read the task stream within `max_age` and its last append
    /// succeeded.
    pub(super) fn has_log_access(&self, now: Millis, max_age: Millis) -> bool {
        let direct = self.task_log.direct_read;
        direct.is_some_and(|read| now.since(read) <= max_age) && self.journal.is_healthy()
    }

    /// Next offset of the task stream that this host has to read.
    pub(super) fn log_offset(&self) -> Offset {
        self.ledger.next()
    }

    /// While draining: waits until the work in progress has ended, then gives back the leases, then
    /// tells the peers which requests it ran, then lets the process exit.
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
        if self.leases.is_drained() && is_flushed && self.depart(now, out) {
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
