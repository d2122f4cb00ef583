//! Urgent requests in flight: admission, dispatch to instances and peers, and retries.
//!
//! Each id has one home, the first live entry host in the id's rendezvous order. Other hosts
//! relay it there. The home runs it on an instance of its own or forwards it to a peer, and
//! keeps one attempt at a time.

mod answers;
mod ask;
mod changing;
mod handover;
mod instances;
mod peers;
mod queue;
mod recent;
mod relay;
mod run;
mod types;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::base::{Millis, Name, Ran};
use crate::connection::wire::ServiceLoad;

use super::admission::AdmissionQueue;
use super::budget::RetryBudget;

use changing::Changing;
use handover::Handover;
use instances::Instances;
use peers::Peers;
use recent::Recent;
use relay::Relay;
use run::Run;
use types::Refusal;

pub use types::{
    DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward, UrgentLimits, UrgentRequest,
};

/// Which table holds an id's caller or dispatch. A host can relay an id to its home and at the
/// same time run it for that home.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Owner {
    Run(Name),
    Relay(Name),
}

/// Urgent requests of one entry host.
///
/// Lets each instance run at most its number of slots, and each id at most once at a time in the
/// data centre. Every submitted ticket gets exactly one answer unless it is cancelled.
#[derive(Debug)]
pub struct UrgentRouter {
    host: Name,
    limits: UrgentLimits,
    handover: Handover,
    peers: Peers,
    instances: Instances,
    queues: BTreeMap<Name, AdmissionQueue<Name>>,
    budget: RetryBudget,
    runs: HashMap<Name, Run>,
    relays: HashMap<Name, Relay>,
    /// Keys of `runs` in phase `Held` or `Blocked`.
    waiting: BTreeSet<Name>,
    tickets: HashMap<Ticket, Owner>,
    dispatches: HashMap<DispatchId, Owner>,
    run_timers: BTreeSet<(Millis, Name)>,
    relay_timers: BTreeSet<(Millis, Name)>,
    recent: Recent,
    changing: Changing,
    next_dispatch: u64,
    last_event: Option<Millis>,
}

impl UrgentRouter {
    /// `incarnation` is larger than that of any earlier process of this host.
    pub fn new(host: Name, incarnation: u64, limits: UrgentLimits) -> Self {
        UrgentRouter {
            handover: Handover::new(host.clone(), incarnation, limits.silence),
            host,
            peers: Peers::default(),
            instances: Instances::default(),
            queues: BTreeMap::new(),
            budget: RetryBudget::new(limits.retries, limits.saved_retries),
            runs: HashMap::new(),
            relays: HashMap::new(),
            waiting: BTreeSet::new(),
            tickets: HashMap::new(),
            dispatches: HashMap::new(),
            run_timers: BTreeSet::new(),
            relay_timers: BTreeSet::new(),
            recent: Recent::default(),
            changing: Changing::default(),
            next_dispatch: 0,
            last_event: None,
            limits,
        }
    }

    /// Sets the live entry hosts of the data centre.
    ///
    /// Ids of a host that is dropped are held until `await_reports` has named the instances that it
    /// held and each of them is settled. Open messages to it count as broken.
    pub fn set_hosts(&mut self, now: Millis, hosts: &[Name], out: &mut Vec<UrgentAction>) {
        self.observe(now);
        let Some(gone) = self.handover.set_hosts(now, hosts) else {
            return;
        };
        for key in sorted(self.runs.keys()) {
            self.review_run(now, &key, &gone, out);
        }
        for key in sorted(self.relays.keys()) {
            self.review_relay(now, &key, &gone, out);
        }
    }

    /// Sets the load of the peers, as told in their heartbeats.
    pub fn set_peers(&mut self, now: Millis, peers: Vec<(Name, ServiceLoad)>) {
        self.observe(now);
        self.peers.update(peers);
    }

    /// Sets the instances whose lease is usable now, with their latest reports.
    pub fn set_instances(
        &mut self,
        now: Millis,
        owned: Vec<OwnedInstance>,
        out: &mut Vec<UrgentAction>,
    ) {
        self.observe(now);
        for (key, instance, reported) in self.instances.update(now, &owned) {
            self.handover.block(&key, &instance, reported);
        }
        for info in &owned {
            self.read_report(now, &info.name, info.report_requested, &info.running, out);
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.drain_queue(now, &service, out);
        }
    }

    /// `host` is lost, and neither this host nor a live peer holds `instances`.
    ///
    /// Ids that the lost host may run are held until every instance that was ever listed is
    /// settled. Call this on every change for each of `lost_hosts` with all such instances of the
    /// data centre, since a host that is only out of contact may acquire one later. A host that
    /// starts names itself, since it may have run ids before the restart.
    pub fn await_reports(&mut self, now: Millis, host: &Name, instances: Vec<Name>) {
        self.observe(now);
        self.handover.await_reports(now, host, instances);
    }

    /// No process ran under this host's name before, so that no memory of ids was lost.
    pub fn set_first_incarnation(&mut self) {
        self.handover.set_first_incarnation();
    }

    /// Hosts that `await_reports` is to be called for.
    pub fn lost_hosts(&self) -> Vec<Name> {
        self.handover.lost_hosts()
    }

    /// `instance` has a live holder or is gone; `running` is from a report asked for at `reported`.
    ///
    /// Later reports are needed as long as `awaited_instances` lists the instance.
    pub fn instance_reported(
        &mut self,
        now: Millis,
        instance: &Name,
        reported: Millis,
        running: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        self.observe(now);
        if self.handover.instance_reported(instance) {
            for key in running {
                if !self.instances.has_sent(instance, key) {
                    self.handover.block(key, instance, reported);
                }
            }
        }
        self.read_report(now, instance, reported, running, out);
        for key in self.waiting.clone() {
            self.advance(now, &key, out);
        }
    }

    /// Instances whose reports are needed to tell when ids on them have ended.
    pub fn awaited_instances(&self) -> Vec<Name> {
        self.handover.awaited_instances()
    }

    pub fn submit(&mut self, now: Millis, request: UrgentRequest, out: &mut Vec<UrgentAction>) {
        self.observe(now);
        let key = key(&request);
        if !request.idempotent && self.recent.contains(now, &key) {
            return refuse(request.ticket, Refusal::Repeated, Ran::Unknown, out);
        }
        if let Some(home) = request.forwarded_by.as_ref().filter(|_| request.hops >= 2) {
            if !self.handover.receive(home, request.epoch) {
                return refuse(request.ticket, Refusal::Misdirected, Ran::NotRun, out);
            }
        }
        if request.attach {
            return self.attach(now, &key, request, out);
        }
        if let Some(run) = self.runs.get(&key) {
            let home = request.forwarded_by.as_ref().filter(|_| request.hops >= 2);
            let waits = |home: &Name| !run.can_join(home, self.handover.outranks(&key, home));
            if home.is_some_and(waits) {
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
            // An id that was ceded to the home may be run for it: `receive` has refused messages
            // from before it asked.
            2 if from_home => self.start_run(now, &key, request, out),
            _ => refuse(request.ticket, Refusal::Misdirected, Ran::NotRun, out),
        }
    }

    pub fn instance_answered(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        result: InstanceResult,
        out: &mut Vec<UrgentAction>,
    ) {
        self.observe(now);
        if let Some(Owner::Run(key)) = self.dispatches.remove(&dispatch) {
            self.run_answered(now, &key, result, out);
        }
    }

    /// `None` if the connection was lost or the answer was truncated.
    pub fn peer_answered(
        &mut self,
        now: Millis,
        dispatch: DispatchId,
        answer: Option<UrgentAnswer>,
        out: &mut Vec<UrgentAction>,
    ) {
        self.observe(now);
        match self.dispatches.remove(&dispatch) {
            Some(Owner::Run(key)) => self.run_peer_answered(now, &key, answer, out),
            Some(Owner::Relay(key)) => self.relay_answered(now, &key, answer, out),
            None => {}
        }
    }

    /// Drops requests that are too late and repeats delayed messages; call every 10 to 100 ms.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<UrgentAction>) {
        self.observe(now);
        self.handover.poll(now);
        self.recent.poll(now);
        for key in pop_due(&mut self.run_timers, now) {
            self.run_due(now, &key, out);
        }
        for key in pop_due(&mut self.relay_timers, now) {
            self.route_relay(now, &key, out);
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.drain_queue(now, &service, out);
        }
    }

    /// The caller no longer waits. A running attempt goes on.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket, out: &mut Vec<UrgentAction>) {
        self.observe(now);
        match self.tickets.remove(&ticket) {
            Some(Owner::Run(key)) => self.cancel_run(now, &key, ticket, out),
            Some(Owner::Relay(key)) => {
                if let Some(relay) = self.relays.get_mut(&key) {
                    relay.waiters.retain(|waiter| *waiter != ticket);
                }
            }
            None => {}
        }
    }

    /// What this host tells its peers about each service.
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

    /// Ids that a caller waits for or that are running for this host.
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
            mean: queue.map_or(self.limits.mean.0 as f64, AdmissionQueue::mean),
        }
    }

    /// Reacts to a stop of this process: leases may have lapsed and ids may have moved.
    fn observe(&mut self, now: Millis) {
        let last = self.last_event.replace(now).unwrap_or(now);
        if now.since(last) > self.limits.silence {
            self.instances.suspend();
            self.handover.forget_contact(now);
        }
    }

    fn read_report(
        &mut self,
        now: Millis,
        instance: &Name,
        reported: Millis,
        running: &[Name],
        out: &mut Vec<UrgentAction>,
    ) {
        for key in self.handover.ended(instance, reported, running) {
            self.instances.finish(instance, &key);
            if self.waiting.contains(&key) {
                self.advance(now, &key, out);
            }
        }
    }

    fn new_dispatch(&mut self, owner: Owner) -> DispatchId {
        self.next_dispatch += 1;
        let dispatch = DispatchId(self.next_dispatch);
        self.dispatches.insert(dispatch, owner);
        dispatch
    }
}

/// Request ids are unique only per customer.
fn key(request: &UrgentRequest) -> Name {
    format!("{}:{}", request.customer, request.id).into()
}

/// How long an id of an at-most-once class is remembered.
fn memory(request: &UrgentRequest) -> Millis {
    Millis(request.class_deadline.0.saturating_mul(10))
}

fn refuse(ticket: Ticket, refusal: Refusal, ran: Ran, out: &mut Vec<UrgentAction>) {
    let answer = UrgentAnswer::refusal(refusal, ran);
    out.push(UrgentAction::Answer { ticket, answer });
}

/// The order of a hash map differs between runs; actions must not depend on it.
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
