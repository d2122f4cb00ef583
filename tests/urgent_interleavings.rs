//! Several routers that share instances, under random interleavings of messages and faults.
//!
//! The model stands in for leases, heartbeats, instances and links; it checks the invariants
//! after every step.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use jayfork::base::{Millis, Name, Ran, Token, prefer};
use jayfork::request::{
    DispatchId, InstanceResult, MessageEpoch, OwnedInstance, Ticket, UrgentAction, UrgentAnswer,
    UrgentForward, UrgentLimits, UrgentRequest, UrgentRouter,
};
use proptest::prelude::*;

const HOSTS: usize = 3;
const INSTANCES: usize = 4;
/// One, so that requests often queue and go to peers.
const SLOTS: usize = 1;
/// Long enough to outlast the takeover of a dead host's instances.
const DEADLINE: u64 = 8_000;
const LEASE: u64 = 3_000;
const LEASE_MARGIN: u64 = 500;
const SILENCE: u64 = 2_000;
const STEP: u64 = 100;
const INITIAL_RETRIES: u32 = 2;

#[derive(Debug, Clone)]
enum Op {
    Submit {
        host: usize,
        id: usize,
    },
    Cancel(usize),
    /// Delivers a message between hosts or to an instance.
    Deliver(usize),
    /// Breaks a connection with a message or an answer on it.
    Break(usize),
    Complete(usize),
    /// The instance ends the request but its answer is truncated.
    Truncate(usize),
    /// The instance refuses a request without running it.
    Refuse(usize),
    Tick(u64),
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    /// Cuts or restores the link between two hosts.
    Link(usize, usize),
    /// Cuts or restores a host's lease calls to an instance.
    Access(usize, usize),
    Leave(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let any = 0..1_000_usize;
    prop_oneof![
        12 => (0..HOSTS, 0..24_usize).prop_map(|(host, id)| Op::Submit { host, id }),
        1 => any.clone().prop_map(Op::Cancel),
        24 => any.clone().prop_map(Op::Deliver),
        3 => any.clone().prop_map(Op::Break),
        8 => any.clone().prop_map(Op::Complete),
        1 => any.clone().prop_map(Op::Truncate),
        2 => any.clone().prop_map(Op::Refuse),
        8 => (1..12_u64).prop_map(Op::Tick),
        1 => (20..50_u64).prop_map(Op::Tick),
        1 => (0..HOSTS).prop_map(Op::Kill),
        1 => (0..HOSTS).prop_map(Op::Restart),
        1 => (0..HOSTS).prop_map(Op::Freeze),
        2 => (0..HOSTS).prop_map(Op::Thaw),
        1 => (0..HOSTS, 0..HOSTS).prop_map(|(a, b)| Op::Link(a, b)),
        1 => (0..HOSTS, 0..INSTANCES).prop_map(|(h, i)| Op::Access(h, i)),
        1 => (0..INSTANCES).prop_map(Op::Leave),
    ]
}

#[derive(Debug, Clone)]
struct Report {
    token: Token,
    reported: u64,
    running: Vec<Name>,
    leaving: bool,
}

struct Host {
    name: Name,
    router: UrgentRouter,
    incarnation: u64,
    is_alive: bool,
    is_frozen: bool,
    /// When each host was last heard.
    heard: [Option<u64>; HOSTS],
    live: Vec<usize>,
    /// Leases by instance: token and time of the last renewal.
    leases: BTreeMap<usize, (Token, u64)>,
    reports: BTreeMap<usize, Report>,
}

impl Host {
    fn runs(&self) -> bool {
        self.is_alive && !self.is_frozen
    }
}

struct Instance {
    name: Name,
    token: Token,
    holder: Option<usize>,
    lapse: u64,
    leaving: bool,
    running: Vec<Execution>,
}

struct Execution {
    key: Name,
    body: Bytes,
    exchange: Option<u64>,
}

/// One open message with its sender.
struct Exchange {
    host: usize,
    dispatch: DispatchId,
    state: Progress,
}

enum Progress {
    ToInstance {
        instance: usize,
        token: Token,
        key: Name,
        body: Bytes,
    },
    OnInstance,
    InstanceResult(InstanceResult),
    ToPeer {
        peer: usize,
        forward: UrgentForward,
    },
    AtPeer {
        peer: usize,
        ticket: Ticket,
    },
    PeerAnswer(UrgentAnswer),
    /// The sender learns of the break when this is delivered.
    Broken,
}

#[derive(Debug)]
enum Asker {
    Caller { key: Name, host: usize },
    Peer { exchange: u64 },
}

struct Model {
    now: u64,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    exchanges: BTreeMap<u64, Exchange>,
    askers: BTreeMap<Ticket, Asker>,
    cut_links: BTreeSet<(usize, usize)>,
    cut_access: BTreeSet<(usize, usize)>,
    next: u64,
    submissions: BTreeMap<Name, u32>,
    executions: BTreeMap<Name, u32>,
    /// Ids that were submitted once and refused as not run, and not submitted again.
    not_run: BTreeSet<Name>,
    total_submissions: u64,
    total_sends: u64,
    total_successes: u64,
    total_routers: u64,
}

fn host_name(host: usize) -> Name {
    format!("entry-{host}").into()
}

fn is_idempotent(id: &str) -> bool {
    id.starts_with('i')
}

fn new_router(host: usize, incarnation: u64) -> UrgentRouter {
    let limits = UrgentLimits {
        retries: INITIAL_RETRIES,
        ..UrgentLimits::default()
    };
    UrgentRouter::new(host_name(host), incarnation, limits)
}

impl Model {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|host| Host {
            name: host_name(host),
            router: new_router(host, 0),
            incarnation: 0,
            is_alive: true,
            is_frozen: false,
            heard: [None; HOSTS],
            live: vec![host],
            leases: BTreeMap::new(),
            reports: BTreeMap::new(),
        });
        let instances = (0..INSTANCES).map(|instance| Instance {
            name: format!("instance-{instance}").into(),
            token: Token(0),
            holder: None,
            lapse: 0,
            leaving: false,
            running: Vec::new(),
        });
        let mut model = Model {
            now: 0,
            hosts: hosts.collect(),
            instances: instances.collect(),
            exchanges: BTreeMap::new(),
            askers: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            cut_access: BTreeSet::new(),
            next: 0,
            submissions: BTreeMap::new(),
            executions: BTreeMap::new(),
            not_run: BTreeSet::new(),
            total_submissions: 0,
            total_sends: 0,
            total_successes: 0,
            total_routers: HOSTS as u64,
        };
        model.tick(10);
        model
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit { host, id } => self.submit(host, id),
            Op::Cancel(pick) => self.cancel(pick),
            Op::Deliver(pick) => self.deliver(pick),
            Op::Break(pick) => self.break_exchange(pick),
            Op::Complete(pick) => self.end_execution(pick, true),
            Op::Truncate(pick) => self.end_execution(pick, false),
            Op::Refuse(pick) => self.refuse(pick),
            Op::Tick(steps) => self.tick(steps),
            Op::Kill(host) => self.kill(host),
            Op::Restart(host) => self.restart(host),
            Op::Freeze(host) => self.hosts[host].is_frozen = true,
            Op::Thaw(host) => self.hosts[host].is_frozen = false,
            Op::Link(a, b) => toggle(&mut self.cut_links, (a.min(b), a.max(b))),
            Op::Access(host, instance) => toggle(&mut self.cut_access, (host, instance)),
            Op::Leave(instance) => self.instances[instance].leaving ^= true,
        }
        self.check_amplification();
    }

    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn submit(&mut self, host: usize, id: usize) {
        if !self.hosts[host].runs() {
            return;
        }
        let kind = if id % 3 == 0 { 'o' } else { 'i' };
        let id: Name = format!("{kind}{id}").into();
        let ticket = Ticket(self.next());
        let key: Name = format!("vltava:{id}").into();
        *self.submissions.entry(key.clone()).or_default() += 1;
        self.not_run.remove(&key);
        self.total_submissions += 1;
        self.askers.insert(ticket, Asker::Caller { key, host });
        let request = self.request(ticket, &id, DEADLINE, Bytes::from(id.to_string()));
        self.with_router(host, |router, now, out| router.submit(now, request, out));
    }

    fn request(&self, ticket: Ticket, id: &Name, left: u64, body: Bytes) -> UrgentRequest {
        UrgentRequest {
            ticket,
            id: id.clone(),
            customer: "vltava".into(),
            class: "proof".into(),
            service: "assembly".into(),
            idempotent: is_idempotent(id),
            deadline: Millis(self.now + left),
            class_deadline: Millis(DEADLINE),
            hops: 0,
            forwarded_by: None,
            attach: false,
            epoch: MessageEpoch::default(),
            body,
        }
    }

    fn cancel(&mut self, pick: usize) {
        let callers = self
            .askers
            .iter()
            .filter_map(|(ticket, asker)| match asker {
                Asker::Caller { host, .. } if self.hosts[*host].runs() => Some((*ticket, *host)),
                _ => None,
            });
        let callers: Vec<(Ticket, usize)> = callers.collect();
        if callers.is_empty() {
            return;
        }
        let (ticket, host) = callers[pick % callers.len()];
        self.askers.remove(&ticket);
        self.with_router(host, |router, now, out| router.cancel(now, ticket, out));
    }

    /// Lets a router handle an event, then carries out its actions.
    fn with_router(
        &mut self,
        host: usize,
        event: impl FnOnce(&mut UrgentRouter, Millis, &mut Vec<UrgentAction>),
    ) {
        let mut out = Vec::new();
        event(&mut self.hosts[host].router, Millis(self.now), &mut out);
        for action in out {
            self.carry_out(host, action);
        }
    }

    fn carry_out(&mut self, host: usize, action: UrgentAction) {
        let (dispatch, state) = match action {
            UrgentAction::Answer { ticket, answer } => return self.answer(ticket, answer),
            UrgentAction::Send {
                dispatch,
                instance,
                token,
                key,
                body,
                ..
            } => {
                self.total_sends += 1;
                let instance = self.instances.iter().position(|i| i.name == instance);
                let state = Progress::ToInstance {
                    instance: instance.unwrap(),
                    token,
                    key,
                    body,
                };
                (dispatch, state)
            }
            UrgentAction::Forward {
                dispatch,
                host: peer,
                forward,
            } => {
                assert!(forward.hops <= 2, "a request is forwarded at most twice");
                let peer = self.hosts.iter().position(|h| h.name == peer).unwrap();
                assert_ne!(peer, host, "a host does not forward to itself");
                (dispatch, Progress::ToPeer { peer, forward })
            }
        };
        let exchange = self.next();
        let open = Exchange {
            host,
            dispatch,
            state,
        };
        self.exchanges.insert(exchange, open);
    }

    /// Checks I4 and I5.
    fn answer(&mut self, ticket: Ticket, answer: UrgentAnswer) {
        let Some(asker) = self.askers.remove(&ticket) else {
            panic!("{ticket:?} was answered twice or cancelled: {answer:?}");
        };
        match asker {
            Asker::Peer { exchange } => {
                if let Some(exchange) = self.exchanges.get_mut(&exchange) {
                    exchange.state = Progress::PeerAnswer(answer);
                }
            }
            Asker::Caller { key, .. } => self.check_answer(key, answer),
        }
    }

    fn check_answer(&mut self, key: Name, answer: UrgentAnswer) {
        if answer.ran.is_none() {
            let whole = format!("answer to {key}, whole");
            assert_eq!(
                answer.body,
                whole.as_bytes(),
                "I4: the answer of another request"
            );
        }
        if answer.ran == Some(Ran::NotRun) && self.submissions[&key] == 1 {
            assert!(
                !self.executions.contains_key(&key),
                "I5: {key} ran, {answer:?}"
            );
            self.not_run.insert(key);
        }
    }

    /// Exchanges whose next step is due at a host or an instance that can take it.
    fn deliverable(&self) -> Vec<u64> {
        let can_move = |exchange: &Exchange| match &exchange.state {
            Progress::ToInstance { .. } => self.hosts[exchange.host].runs(),
            Progress::ToPeer { peer, .. } => self.hosts[*peer].runs(),
            Progress::InstanceResult(_) | Progress::PeerAnswer(_) | Progress::Broken => {
                self.hosts[exchange.host].runs()
            }
            Progress::OnInstance | Progress::AtPeer { .. } => false,
        };
        let due = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| can_move(exchange));
        due.map(|(id, _)| *id).collect()
    }

    fn deliver(&mut self, pick: usize) {
        let due = self.deliverable();
        if due.is_empty() {
            return;
        }
        let id = due[pick % due.len()];
        let exchange = self.exchanges.remove(&id).unwrap();
        let (host, dispatch) = (exchange.host, exchange.dispatch);
        match exchange.state {
            Progress::ToInstance {
                instance,
                token,
                key,
                body,
            } => {
                let state = self.start(id, instance, token, key, body);
                let open = Exchange {
                    host,
                    dispatch,
                    state,
                };
                self.exchanges.insert(id, open);
            }
            Progress::ToPeer { peer, forward } => {
                let ticket = Ticket(self.next());
                let open = Exchange {
                    host,
                    dispatch,
                    state: Progress::AtPeer { peer, ticket },
                };
                self.exchanges.insert(id, open);
                self.askers.insert(ticket, Asker::Peer { exchange: id });
                self.submit_forward(host, peer, ticket, forward);
            }
            Progress::InstanceResult(result) => self.with_router(host, |router, now, out| {
                router.instance_answered(now, dispatch, result, out);
            }),
            Progress::PeerAnswer(answer) => self.with_router(host, |router, now, out| {
                router.peer_answered(now, dispatch, Some(answer), out);
            }),
            Progress::Broken => self.with_router(host, |router, now, out| {
                router.peer_answered(now, dispatch, None, out);
            }),
            Progress::OnInstance | Progress::AtPeer { .. } => unreachable!(),
        }
    }

    fn submit_forward(&mut self, from: usize, to: usize, ticket: Ticket, forward: UrgentForward) {
        let request = self.request(ticket, &forward.id, forward.deadline.0, forward.body);
        let request = UrgentRequest {
            hops: forward.hops,
            forwarded_by: Some(self.hosts[from].name.clone()),
            attach: forward.attach,
            epoch: forward.epoch,
            ..request
        };
        self.with_router(to, |router, now, out| router.submit(now, request, out));
    }

    /// A message reaches an instance. Checks I1, I2, I5 and I6.
    fn start(
        &mut self,
        exchange: u64,
        instance: usize,
        token: Token,
        key: Name,
        body: Bytes,
    ) -> Progress {
        if self.instances[instance].token != token || self.instances[instance].leaving {
            return Progress::InstanceResult(InstanceResult::Refused);
        }
        let mut running = self.instances.iter().flat_map(|i| &i.running);
        assert!(
            running.all(|e| e.key != key),
            "I2: {key} runs twice at once"
        );
        let running = &mut self.instances[instance].running;
        assert!(
            running.len() < SLOTS,
            "I1: instance {instance} has no free slot"
        );
        assert!(
            !self.not_run.contains(&key),
            "I5: {key} runs after \"not run\""
        );
        let count = self.executions.entry(key.clone()).or_default();
        *count += 1;
        let is_repeatable = key.starts_with("vltava:i");
        assert!(is_repeatable || *count == 1, "I6: {key} ran twice");
        running.push(Execution {
            key,
            body,
            exchange: Some(exchange),
        });
        Progress::OnInstance
    }

    fn end_execution(&mut self, pick: usize, is_whole: bool) {
        let running = self.instances.iter().enumerate();
        let running =
            running.flat_map(|(i, instance)| (0..instance.running.len()).map(move |e| (i, e)));
        let running: Vec<(usize, usize)> = running.collect();
        if running.is_empty() {
            return;
        }
        let (instance, index) = running[pick % running.len()];
        let execution = self.instances[instance].running.remove(index);
        let Some(exchange) = execution.exchange else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        assert!(
            execution
                .key
                .ends_with(std::str::from_utf8(&execution.body).unwrap())
        );
        let body = format!("answer to {}, whole", execution.key).into();
        exchange.state = Progress::InstanceResult(if is_whole {
            self.total_successes += 1;
            InstanceResult::Answer { status: 200, body }
        } else {
            InstanceResult::Broken
        });
    }

    fn refuse(&mut self, pick: usize) {
        let messages = self.exchanges.values_mut();
        let mut messages: Vec<&mut Exchange> = messages
            .filter(|e| matches!(e.state, Progress::ToInstance { .. }))
            .collect();
        let count = messages.len();
        if count > 0 {
            messages[pick % count].state = Progress::InstanceResult(InstanceResult::Refused);
        }
    }

    fn break_exchange(&mut self, pick: usize) {
        let open: Vec<u64> = self.exchanges.keys().copied().collect();
        if !open.is_empty() {
            self.break_one(open[pick % open.len()]);
        }
    }

    fn break_one(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let mut abandoned = None;
        exchange.state = match &exchange.state {
            Progress::ToInstance { .. } | Progress::OnInstance | Progress::InstanceResult(_) => {
                Progress::InstanceResult(InstanceResult::Broken)
            }
            Progress::AtPeer { peer, ticket } => {
                abandoned = Some((*peer, *ticket));
                Progress::Broken
            }
            Progress::ToPeer { .. } | Progress::PeerAnswer(_) | Progress::Broken => {
                Progress::Broken
            }
        };
        for instance in &mut self.instances {
            for execution in &mut instance.running {
                execution.exchange = execution.exchange.filter(|exchange| *exchange != id);
            }
        }
        // The peer notices the broken connection and stops waiting on behalf of the sender.
        let Some((peer, ticket)) = abandoned else {
            return;
        };
        if self.hosts[peer].runs() && self.askers.remove(&ticket).is_some() {
            self.with_router(peer, |router, now, out| router.cancel(now, ticket, out));
        }
    }

    fn kill(&mut self, host: usize) {
        if !self.hosts[host].is_alive {
            return;
        }
        self.hosts[host].is_alive = false;
        self.hosts[host].is_frozen = false;
        let own: Vec<u64> = self.exchanges_of(|exchange| exchange.host == host);
        for id in own {
            if let Some(Progress::AtPeer { .. }) = self.exchanges.get(&id).map(|e| &e.state) {
                self.break_one(id);
            }
            self.exchanges.remove(&id);
        }
        let to_it = self.exchanges_of(|exchange| match exchange.state {
            Progress::ToPeer { peer, .. } | Progress::AtPeer { peer, .. } => peer == host,
            _ => false,
        });
        for id in to_it {
            self.break_one(id);
        }
        self.askers.retain(|_, asker| match asker {
            Asker::Caller { host: at, .. } => *at != host,
            Asker::Peer { .. } => true,
        });
        for instance in &mut self.instances {
            for execution in &mut instance.running {
                let is_open = |id: &u64| self.exchanges.contains_key(id);
                execution.exchange = execution.exchange.filter(is_open);
            }
        }
    }

    fn exchanges_of(&self, matches: impl Fn(&Exchange) -> bool) -> Vec<u64> {
        let found = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| matches(exchange));
        found.map(|(id, _)| *id).collect()
    }

    fn restart(&mut self, host: usize) {
        if self.hosts[host].is_alive {
            return;
        }
        let all: Vec<Name> = self.instances.iter().map(|i| i.name.clone()).collect();
        let it = &mut self.hosts[host];
        it.incarnation += 1;
        it.router = new_router(host, it.incarnation);
        it.is_alive = true;
        it.heard = [None; HOSTS];
        it.live = vec![host];
        it.leases.clear();
        it.reports.clear();
        self.total_routers += 1;
        let name = it.name.clone();
        let now = Millis(self.now);
        it.router.await_reports(now, &name, all);
    }

    fn tick(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now += STEP;
            self.exchange_heartbeats();
            self.renew_leases();
            for host in 0..HOSTS {
                if self.hosts[host].runs() {
                    self.update_host(host);
                }
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        for a in 0..HOSTS {
            for b in 0..HOSTS {
                let is_cut = self.cut_links.contains(&(a.min(b), a.max(b)));
                if a != b && !is_cut && self.hosts[a].runs() && self.hosts[b].runs() {
                    self.hosts[a].heard[b] = Some(self.now);
                }
            }
        }
    }

    fn renew_leases(&mut self) {
        for host in 0..HOSTS {
            for index in 0..INSTANCES {
                if self.hosts[host].runs() && !self.cut_access.contains(&(host, index)) {
                    self.renew_lease(host, index);
                }
            }
        }
    }

    fn renew_lease(&mut self, host: usize, index: usize) {
        let candidates: Vec<Name> = self.hosts[host]
            .live
            .iter()
            .map(|h| host_name(*h))
            .collect();
        let it = &mut self.hosts[host];
        let instance = &mut self.instances[index];
        let own = it.leases.get(&index).map(|(token, _)| *token);
        if own.is_some_and(|token| token != instance.token) {
            it.leases.remove(&index);
            it.reports.remove(&index);
            return;
        }
        if own.is_none() {
            let is_free = instance.lapse <= self.now || instance.holder == Some(host);
            if !is_free || prefer(&instance.name, &candidates) != Some(&it.name) {
                return;
            }
            instance.token = Token(instance.token.0 + 1);
            instance.holder = Some(host);
        }
        instance.lapse = self.now + LEASE;
        it.leases.insert(index, (instance.token, self.now));
    }

    fn update_host(&mut self, host: usize) {
        let now = self.now;
        let it = &self.hosts[host];
        let is_heard =
            |other: &usize| *other == host || it.heard[*other].is_some_and(|at| now - at < SILENCE);
        let live: Vec<usize> = (0..HOSTS).filter(is_heard).collect();
        let names: Vec<Name> = live.iter().map(|h| host_name(*h)).collect();
        self.hosts[host].live = live;
        self.with_router(host, |router, now, out| router.set_hosts(now, &names, out));
        let unheld = self.unheld_instances(host);
        for lost in self.hosts[host].router.lost_hosts() {
            let router = &mut self.hosts[host].router;
            router.await_reports(Millis(now), &lost, unheld.clone());
        }
        self.update_instances(host);
        self.settle_instances(host);
        self.update_peers(host);
        self.with_router(host, |router, now, out| router.poll(now, out));
    }

    /// Instances that neither this host nor a live peer is known to hold.
    fn unheld_instances(&self, host: usize) -> Vec<Name> {
        let is_held = |index: usize| {
            let instance = &self.instances[index];
            instance.holder.is_some_and(|holder| {
                let leases = &self.hosts[holder].leases;
                self.hosts[host].live.contains(&holder) && leases.contains_key(&index)
            })
        };
        let unheld = (0..INSTANCES).filter(|index| !is_held(*index));
        unheld
            .map(|index| self.instances[index].name.clone())
            .collect()
    }

    /// Passes the reports of the step before, then takes new ones.
    fn update_instances(&mut self, host: usize) {
        let now = self.now;
        let mut owned = Vec::new();
        let it = &self.hosts[host];
        for (index, (token, renewed)) in &it.leases {
            let Some(report) = it.reports.get(index).filter(|r| r.token == *token) else {
                continue;
            };
            if now >= renewed + LEASE - LEASE_MARGIN {
                continue;
            }
            owned.push(OwnedInstance {
                name: self.instances[*index].name.clone(),
                service: "assembly".into(),
                address: "127.0.0.1:1".into(),
                token: *token,
                slots: SLOTS as u32,
                connections: 64,
                running: report.running.clone(),
                report_requested: Millis(report.reported),
                leaving: report.leaving,
            });
        }
        let renewed = it.leases.iter().filter(|(_, (_, at))| *at == now);
        let reports = renewed.map(|(index, (token, _))| {
            let instance = &self.instances[*index];
            let report = Report {
                token: *token,
                reported: now,
                running: instance.running.iter().map(|e| e.key.clone()).collect(),
                leaving: instance.leaving,
            };
            (*index, report)
        });
        let reports: Vec<(usize, Report)> = reports.collect();
        self.hosts[host].reports.extend(reports);
        self.with_router(host, |router, now, out| {
            router.set_instances(now, owned, out)
        });
    }

    /// Reads what the new holders of awaited instances report.
    fn settle_instances(&mut self, host: usize) {
        for name in self.hosts[host].router.awaited_instances() {
            let index = self.instances.iter().position(|i| i.name == name).unwrap();
            let instance = &self.instances[index];
            let Some(holder) = instance.holder else {
                continue;
            };
            if !self.hosts[host].live.contains(&holder) || instance.lapse <= self.now {
                continue;
            }
            let Some(report) = self.hosts[holder].reports.get(&index).cloned() else {
                continue;
            };
            if report.token != instance.token || !self.hosts[holder].runs() {
                continue;
            }
            let reported = Millis(report.reported);
            self.with_router(host, |router, now, out| {
                router.instance_reported(now, &name, reported, &report.running, out);
            });
        }
    }

    fn update_peers(&mut self, host: usize) {
        let peers = self.hosts[host].live.iter().filter(|peer| **peer != host);
        let loads = peers.flat_map(|peer| {
            let peer = &self.hosts[*peer];
            let loads = peer.router.loads(Millis(self.now)).into_iter();
            loads.map(|load| (peer.name.clone(), load))
        });
        let loads = loads.collect();
        let now = Millis(self.now);
        self.hosts[host].router.set_peers(now, loads);
    }

    /// Retries must stay within a tenth of the successes and the initial balances.
    fn check_amplification(&self) {
        let initial = self.total_routers * u64::from(INITIAL_RETRIES);
        let bound = self.total_submissions + self.total_successes / 10 + initial;
        assert!(
            self.total_sends <= bound,
            "{} sends, at most {bound}",
            self.total_sends
        );
    }

    /// Ends all faults and executions; every caller must get its answer.
    fn finish(&mut self) {
        self.cut_links.clear();
        self.cut_access.clear();
        for host in 0..HOSTS {
            self.hosts[host].is_frozen = false;
            self.restart(host);
        }
        for instance in &mut self.instances {
            instance.leaving = false;
        }
        for _ in 0..300 {
            while !self.deliverable().is_empty() {
                self.deliver(0);
                self.check_amplification();
            }
            self.end_execution(0, true);
            self.tick(1);
        }
        let callers = self
            .askers
            .values()
            .filter(|a| matches!(a, Asker::Caller { .. }));
        assert_eq!(
            callers.count(),
            0,
            "I4: callers without an answer: {:?}",
            self.askers
        );
        for host in &self.hosts {
            assert_eq!(host.router.in_progress(), 0, "{} keeps requests", host.name);
        }
    }
}

fn toggle<T: Ord>(set: &mut BTreeSet<T>, item: T) {
    if !set.remove(&item) {
        set.insert(item);
    }
}

proptest! {
    /// Guards I1, I2, I4, I5, I6 and the bound on retries.
    #[test]
    fn invariants_hold_under_faults(ops in proptest::collection::vec(op(), 1..250)) {
        let mut model = Model::new();
        for op in &ops {
            model.apply(op);
        }
        model.finish();
    }
}
