//! Urgent requests in progress: admission, dispatch to instances and peers, and retries.
//!
//! Each request id has one home: the first live entry host in the rendezvous order of the id. The
//! other hosts relay the request to the home. The home runs it on one of its own instances or
//! forwards it to a peer that does, with at most one attempt at a time.

mod answers;
mod ask;
mod departure;
mod handover;
mod instances;
mod peers;
mod queue;
mod recent;
mod relay;
mod run;
mod takeovers;
mod types;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::base::{Millis, Name, Ran};
use crate::connection::wire::ServiceLoad;

use super::admission::AdmissionQueue;
use super::budget::RetryBudget;

use handover::Handover;
use instances::Instances;
use peers::PeerLoads;
use recent::RecentIds;
use relay::Relay;
use run::Run;
use takeovers::Takeovers;
use types::Refusal;

pub use departure::Departure;
pub use types::{
    DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward, UrgentLimits, UrgentRequest,
};

/// Entry of `runs` or `relays` that a ticket or dispatch belongs to.
///
/// An id can be in both tables, when this host relays it to its home and runs it for that home.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TableKey {
    Run(Name),
    Relay(Name),
}

/// Routes the urgent requests of one entry host.
///
/// Never lets an instance run more requests than it has slots, nor an id run twice at the same time
/// in the data centre. Each submitted ticket gets exactly one answer unless it is cancelled.
#[derive(Debug)]
pub struct UrgentRouter {
    host: Name,
    limits: UrgentLimits,
    handover: Handover,
    peer_loads: PeerLoads,
    instances: Instances,
    /// By service.
    queues: BTreeMap<Name, AdmissionQueue<Name>>,
    budget: RetryBudget,
    /// By the key of the id, as given by `key`.
    runs: HashMap<Name, Run>,
    /// By the key of the id.
    relays: HashMap<Name, Relay>,
    /// Keys of `runs` in phase `AwaitingReports` or `Blocked`.
    waiting: BTreeSet<Name>,
    tickets: HashMap<Ticket, TableKey>,
    dispatches: HashMap<DispatchId, TableKey>,
    run_timers: BTreeSet<(Millis, Name)>,
    relay_timers: BTreeSet<(Millis, Name)>,
    recent_ids: RecentIds,
    takeovers: Takeovers,
    next_dispatch: u64,
    /// Whether this host has told its peers that it runs no more requests.
    departing: bool,
    /// Time of the latest call of this router.
    last_event: Option<Millis>,
}

impl UrgentRouter {
    /// `incarnation` must be larger than that of any earlier process on this host.
    pub fn new(host: Name, incarnation: u64, limits: UrgentLimits) -> Self {
        UrgentRouter {
            handover: Handover::new(host.clone(), incarnation, limits.peer_timeout),
            host,
            peer_loads: PeerLoads::default(),
            instances: Instances::default(),
            queues: BTreeMap::new(),
            budget: RetryBudget::new(limits.initial_retries, limits.saved_retries),
            runs: HashMap::new(),
            relays: HashMap::new(),
            waiting: BTreeSet::new(),
            tickets: HashMap::new(),
            dispatches: HashMap::new(),
            run_timers: BTreeSet::new(),
            relay_timers: BTreeSet::new(),
            recent_ids: RecentIds::default(),
            takeovers: Takeovers::default(),
            next_dispatch: 0,
            departing: false,
            last_event: None,
            limits,
        }
    }

    /// Sets the live entry hosts of the data centre.
    ///
    /// If a host is no longer live, requests that it may be running wait until `await_reports` has
    /// named the instances that it may hold and each of them has reported. Unanswered messages to
    /// that host count as lost.
    pub fn set_hosts(&mut self, now: Millis, hosts: &[Name], out: &mut Vec<UrgentAction>) {
        self.detect_suspension(now);
        let Some(lost) = self.handover.set_hosts(now, hosts) else {
            return;
        };
        for key in sorted(self.runs.keys()) {
            self.recheck_run(now, &key, &lost, out);
        }
        for key in sorted(self.relays.keys()) {
            self.recheck_relay(now, &key, &lost, out);
        }
    }

    /// Sets the loads of the peers, taken from their heartbeats.
    pub fn set_peers(&mut self, now: Millis, peers: Vec<(Name, ServiceLoad)>) {
        self.detect_suspension(now);
        self.peer_loads.update(peers);
    }

    /// Sets the instances whose lease this host can use now, with their latest reports.
    pub fn set_instances(
        &mut self,
        now: Millis,
        owned: Vec<OwnedInstance>,
        out: &mut Vec<UrgentAction>,
    ) {
        self.detect_suspension(now);
        for (key, instance, report_requested) in self.instances.update(now, &owned) {
            self.handover.block(&key, &instance, report_requested);
        }
        for info in &owned {
            self.process_report(now, &info.name, info.report_requested, &info.running, out);
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.drain_queue(now, &service, out);
        }
    }

    /// Records that `host` is lost and may be running requests on `instances`, which neither this
    /// host nor a live peer holds.
    ///
    /// Requests that the lost host may be running wait until each instance named in these calls has
    /// reported. Repeat the call for each of `lost_hosts`, with all such instances of the data
    /// centre, whenever the instances change: a host that is only out of contact may acquire an
    /// instance later. A host that starts calls this for itself, since it may have run requests
    /// before the restart.
    pub fn await_reports(&mut self, now: Millis, host: &Name, instances: Vec<Name>) {
        self.detect_suspension(now);
        self.handover.await_reports(now, host, instances);
    }

    /// Records that no earlier process ran under this host's name, so that no recent ids were lost
    /// with it.
    pub fn set_first_incarnation(&mut self) {
        self.handover.set_first_incarnation();
    }

    /// Lost hosts, for each of which `await_reports` must be called.
    pub fn lost_hosts(&self) -> Vec<Name> {
        self.handover.lost_hosts()
    }

    /// Records a report of `instance`, which a live host holds or which no longer exists. The
    /// report was requested at `report_requested`; `running` lists the keys of the requests on the
    /// instance.
    ///
    /// Further reports are needed as long as `awaited_instances` lists the instance.
    pub fn instance_reported(
        &mut self,
        now: Millis,
        instance: &Name,
        report_requested: Millis,
        running: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        self.detect_suspension(now);
        if self.handover.instance_reported(instance) {
            for key in running {
                if !self.instances.has_sent(instance, key) {
                    self.handover.block(key, instance, report_requested);
                }
            }
        }
        self.process_report(now, instance, report_requested, running, out);
        for key in self.waiting.clone() {
            self.advance(now, &key, out);
        }
    }

    /// Instances whose reports are needed to learn which ids run on them and when those have ended.
    pub fn awaited_instances(&self) -> Vec<Name> {
        self.handover.awaited_instances()
    }

    /// Accepts a request or an `attach` message from a caller or a peer.
    pub fn submit(&mut self, now: Millis, request: UrgentRequest, out: &mut Vec<UrgentAction>) {
        self.detect_suspension(now);
        let key = key(&request);
        if !request.idempotent && self.recent_ids.contains(now, &key) {
            return refuse(request.ticket, Refusal::Repeated, Ran::Unknown, out);
        }
        if let Some(home) = request.forwarded_by.as_ref().filter(|_| request.hops >= 2) {
            if !self.handover.accept_epoch(home, request.epoch) {
                return refuse(request.ticket, Refusal::Misdirected, Ran::NotRun, out);
            }
        }
        if request.attach {
            return self.answer_attach(now, &key, request, out);
        }
        if self.departing {
            return refuse(request.ticket, Refusal::Misdirected, Ran::NotRun, out);
        }
        if let Some(run) = self.runs.get(&key) {
            let home = request.forwarded_by.as_ref().filter(|_| request.hops >= 2);
            let cannot_join = |home: &Name| !run.can_join(home, self.handover.outranks(&key, home));
            if home.is_some_and(cannot_join) {
                return refuse(request.ticket, Refusal::Misdirected, Ran::NotRun, out);
            }
            return self.join_run(&key, request, out);
        }
        let home = self.handover.home(now, &key);
        let is_home = *home == self.host;
        let from_home = request.forwarded_by.as_ref() == Some(home);
        match request.hops {
            0 | 1 if is_home => self.start_run(now, &key, request, out),
            0 => self.start_relay(now, &key, request, out),
            // The home may also forward an id that this host left to it in answer to a question:
            // `accept_epoch` has refused messages that were sent before that question.
            2 if from_home => self.start_run(now, &key, request, out),
            _ => refuse(request.ticket, Refusal::Misdirected, Ran::NotRun, out),
        }
    }

    /// Records the outcome of a `Send` action.
    pub fn instance_answered(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        result: InstanceResult,
        out: &mut Vec<UrgentAction>,
    ) {
        self.detect_suspension(now);
        if let Some(TableKey::Run(key)) = self.dispatches.remove(&dispatch) {
            self.run_answered(now, &key, result, out);
        }
    }

    /// Records the outcome of a `Forward` action; `answer` is `None` if the connection was lost or
    /// the answer truncated.
    pub fn peer_answered(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<UrgentAction>,
    ) {
        self.detect_suspension(now);
        match self.dispatches.remove(&dispatch) {
            Some(TableKey::Run(key)) => self.run_peer_answered(now, &key, answer, out),
            Some(TableKey::Relay(key)) => self.relay_answered(now, &key, answer, out),
            None => {}
        }
    }

    /// Refuses queued requests that can no longer meet their deadline and sends delayed messages.
    /// Call this every 10 to 100 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<UrgentAction>) {
        self.detect_suspension(now);
        self.handover.expire_overrides(now);
        self.recent_ids.expire(now);
        for key in pop_due(&mut self.run_timers, now) {
            self.run_timer_expired(now, &key, out);
        }
        for key in pop_due(&mut self.relay_timers, now) {
            self.send_relay(now, &key, out);
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.drain_queue(now, &service, out);
        }
    }

    /// Removes a caller that no longer waits. An attempt that is running continues.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<UrgentAction>) {
        self.detect_suspension(now);
        match self.tickets.remove(&ticket) {
            Some(TableKey::Run(key)) => self.cancel_run(now, &key, ticket, out),
            Some(TableKey::Relay(key)) => {
                if let Some(relay) = self.relays.get_mut(&key) {
                    relay.waiters.retain(|waiter| *waiter != ticket);
                }
            }
            None => {}
        }
    }

    /// Load of each service on this host, for the heartbeats to the peers.
    pub fn loads(&self, now: Millis) -> Vec<ServiceLoad> {
        let services: BTreeSet<&Name> = self
            .instances
            .services()
            .chain(self.queues.keys())
            .collect();
        services
            .into_iter()
            .map(|service| self.load(now, service))
            .collect()
    }

    /// Number of ids that a caller waits for or that are running.
    pub fn in_progress(&self) -> usize {
        let runs = self.runs.values().filter(|run| run.is_in_progress());
        runs.count() + self.relays.len()
    }

    fn load(&self, now: Millis, service: &Name) -> ServiceLoad {
        let (slots, free) = self.instances.slots(now, service);
        let queue = self.queues.get(service);
        ServiceLoad {
            service: service.clone(),
            slots,
            free,
            queued: queue.map_or(0, |queue| queue.len() as u32),
            mean: queue.map_or(self.limits.assumed_mean.0 as f64, AdmissionQueue::mean),
        }
    }

    /// Detects whether this process was suspended. If so, its leases may have expired and peers may
    /// have become the home of its ids.
    fn detect_suspension(&mut self, now: Millis) {
        let last = self.last_event.replace(now).unwrap_or(now);
        if now.since(last) > self.limits.peer_timeout {
            self.instances.suspend();
            self.handover.reset_contact_times(now);
        }
    }

    /// Continues the runs whose earlier attempt has ended according to a report.
    fn process_report(
        &mut self,
        now: Millis,
        instance: &Name,
        report_requested: Millis,
        running: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        for key in self
            .handover
            .take_ended(instance, report_requested, running)
        {
            self.instances.finish_attempt(instance, &key);
            if self.waiting.contains(&key) {
                self.advance(now, &key, out);
            }
        }
    }

    fn new_dispatch(&mut self, table_key: TableKey) -> DispatchId {
        self.next_dispatch += 1;
        let dispatch = DispatchId(self.next_dispatch);
        self.dispatches.insert(dispatch, table_key);
        dispatch
    }
}

/// Key of a request in the tables. Ids alone are unique only per customer.
fn key(request: &UrgentRequest) -> Name {
    format!("{}:{}", request.customer, request.id).into()
}

/// Time for which an id of an at-most-once class is remembered.
fn remember_time(request: &UrgentRequest) -> Millis {
    Millis(request.class_deadline.0.saturating_mul(10))
}

fn refuse(ticket: Ticket, refusal: Refusal, ran: Ran, out: &mut Vec<UrgentAction>) {
    let answer = UrgentAnswer::refusal(refusal, ran);
    out.push(UrgentAction::Answer { ticket, answer });
}

/// Sorts the keys of a hash map, whose order is random, so that the actions do not depend on it.
fn sorted<'a>(keys: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut keys: Vec<Name> = keys.cloned().collect();
    keys.sort_unstable();
    keys
}

fn pop_due(timers: &mut BTreeSet<(Millis, Name)>, now: Millis) -> Vec<Name> {
    let mut due = Vec::new();
    while timers.first().is_some_and(|(at, _)| *at <= now) {
        due.extend(timers.pop_first().map(|(_, key)| key));
    }
    due
}
