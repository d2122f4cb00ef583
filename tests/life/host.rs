//! An entry host with a real ledger, journal and dispatcher, and with simplified lease handling and
//! membership.

use std::collections::{BTreeMap, HashMap};

use jayfork::base::{Millis, Name, Size};
use jayfork::connection::wire::{LeaseReply, LeaseRequest, WorkerReport};
use jayfork::connection::{Grant, Lease};
use jayfork::request::{DispatchAction, DispatchView, Dispatcher, HeldWorker};
use jayfork::version::{Batch, Journal, Ledger, LedgerTiming, Record};

/// Time to live of a worker's lease.
const LEASE_TTL: Millis = Millis(3_000);
/// Time after sending a lease call for which the granted lease is used.
const USABLE_TIME: Millis = Millis(2_500);
/// Time to live of a run lease.
const RUN_TTL: Millis = Millis(20_000);

/// A lease that the host holds, and the time until which it uses it.
#[derive(Debug)]
struct Held {
    lease: Lease,
    expiry: Millis,
}

/// The lease calls to one worker: the time of the next one, and the one in flight.
#[derive(Debug, Default)]
struct LeaseCalls {
    next: Millis,
    open: Option<u64>,
}

#[derive(Debug)]
pub struct Host {
    pub name: Name,
    pub incarnation: u64,
    pub is_up: bool,
    pub is_frozen: bool,
    pub ledger: Ledger,
    pub journal: Journal,
    pub dispatcher: Dispatcher,
    held: BTreeMap<Name, Held>,
    calls: BTreeMap<Name, LeaseCalls>,
    last_read: Option<Millis>,
    /// When this host last knew of a holder of each worker.
    last_held: BTreeMap<Name, Millis>,
}

impl Host {
    pub fn new(name: &str, incarnation: u64) -> Self {
        let name: Name = name.into();
        Host {
            incarnation,
            is_up: true,
            is_frozen: false,
            ledger: Ledger::new(LedgerTiming::default()),
            journal: Journal::new(name.clone(), incarnation, Millis(100)),
            dispatcher: Dispatcher::new(name.clone()),
            held: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_read: None,
            last_held: BTreeMap::new(),
            name,
        }
    }

    pub fn is_active(&self) -> bool {
        self.is_up && !self.is_frozen
    }

    /// Reads the log to its end.
    pub fn read(&mut self, now: Millis, start: u64, log: &[(Millis, Batch)]) {
        let next = self.ledger.next().0 as usize;
        for (offset, (time, batch)) in log.iter().enumerate().skip(next) {
            self.journal.confirm(batch);
            let offset = jayfork::base::Offset(offset as u64);
            self.ledger.apply(offset, start + time.0, now, batch);
        }
        self.last_read = Some(now);
    }

    fn has_read(&self, now: Millis, max_age: u64) -> bool {
        self.last_read
            .is_some_and(|read| now.since(read) <= Millis(max_age))
    }

    pub fn usable(&self, now: Millis, worker: &Name) -> Option<Lease> {
        let held = self.held.get(worker).filter(|held| now < held.expiry);
        held.map(|held| held.lease)
    }

    /// The lease call to a worker, if one is due.
    pub fn lease_call(
        &mut self,
        now: Millis,
        worker: &Name,
        call: u64,
        has_majority: bool,
    ) -> Option<LeaseRequest> {
        let calls = self.calls.entry(worker.clone()).or_default();
        if calls.open.is_some() || now < calls.next {
            return None;
        }
        calls.open = Some(call);
        calls.next = now + Millis(1_000);
        let token = self.held.get(worker).map(|held| held.lease.token);
        let is_suspected = self.ledger.suspicions().contains_key(worker);
        let knows_log = self.has_read(now, 20_000) && !is_suspected;
        let ack = token.map(|_| self.dispatcher.take_acks(worker));
        Some(LeaseRequest {
            holder: self.name.clone(),
            ttl: LEASE_TTL.0,
            run_ttl: RUN_TTL.0,
            token,
            ack: ack.unwrap_or_default(),
            renew_tasks: token.is_some() && (knows_log || has_majority),
        })
    }

    /// Handles the end of a lease call. The outer `None` means that it got no answer, the inner one
    /// that the lease was refused.
    pub fn on_lease_reply(
        &mut self,
        now: Millis,
        (worker, call, sent): (&Name, u64, Millis),
        reply: Option<Option<LeaseReply<WorkerReport>>>,
        quotas: &HashMap<Name, Size>,
        out: &mut Vec<DispatchAction>,
    ) {
        let calls = self.calls.entry(worker.clone()).or_default();
        if calls.open != Some(call) {
            return;
        }
        calls.open = None;
        let Some(answer) = reply else {
            return;
        };
        let Some(reply) = answer else {
            self.held.remove(worker);
            self.dispatcher.remove_worker(worker);
            return;
        };
        if now >= sent + USABLE_TIME {
            return;
        }
        let lease = Lease {
            token: reply.token,
            incarnation: reply.incarnation,
            leaving: reply.leaving,
        };
        let expiry = sent + USABLE_TIME;
        let grant = match self.held.insert(worker.clone(), Held { lease, expiry }) {
            Some(held) if held.lease.token == lease.token => Grant::Renewed,
            _ => Grant::New,
        };
        let held = HeldWorker {
            name: worker,
            address: worker,
            rack: worker,
            lease,
            grant,
            report: &reply.report,
        };
        let (no_services, hosts) = (HashMap::new(), []);
        let view = view(&self.ledger, &hosts, &no_services, quotas, false);
        self.dispatcher.handle_report(now, &view, held, out);
    }

    pub fn poll(
        &mut self,
        now: Millis,
        hosts: &[Name],
        quotas: &HashMap<Name, Size>,
        out: &mut Vec<DispatchAction>,
    ) {
        let workers: Vec<Name> = self.held.keys().cloned().collect();
        for worker in workers {
            let usable = self.usable(now, &worker).is_some();
            self.dispatcher.set_usable(now, &worker, usable);
        }
        let can_claim = self.has_read(now, 2_000) && self.journal.is_healthy();
        let no_services = HashMap::new();
        let view = view(&self.ledger, hosts, &no_services, quotas, can_claim);
        self.dispatcher.poll(now, &view, out);
    }

    /// Queues the records about suspicions of workers, by the rules of `Suspicions`.
    ///
    /// `holders` are the workers that some active host holds.
    pub fn queue_suspicions(&mut self, now: Millis, holders: &[Name], has_majority: bool) {
        if !self.has_read(now, 2_000) || !self.journal.is_healthy() {
            return;
        }
        let open = self.ledger.suspicions().clone();
        let host = self.name.clone();
        for worker in open.keys() {
            if self.usable(now, worker).is_some() {
                let (worker, host) = (worker.clone(), host.clone());
                self.push_once(Record::Held { worker, host });
            }
        }
        let claimed: Vec<Name> = self.ledger.claimed_workers().cloned().collect();
        for worker in claimed {
            let seen = *self.last_held.entry(worker.clone()).or_insert(now);
            if holders.contains(&worker) {
                self.last_held.insert(worker, now);
                continue;
            }
            if !has_majority || now.since(seen) < Millis(5_000) {
                continue;
            }
            match open.get(&worker) {
                None => {
                    let host = host.clone();
                    self.push_once(Record::Suspected { worker, host });
                }
                Some(own) if own.host == host && now.since(own.read_time) >= Millis(45_000) => {
                    let suspected = own.offset;
                    self.push_once(Record::WorkerLost { worker, suspected });
                }
                Some(_) => {}
            }
        }
    }

    fn push_once(&mut self, record: Record) {
        self.journal.withdraw(|queued| *queued == record);
        if !self.journal.may_be_logged(|sent| *sent == record) {
            self.journal.push(record);
        }
    }
}

fn view<'a>(
    ledger: &'a Ledger,
    hosts: &'a [Name],
    no_services: &'a HashMap<Name, Vec<Name>>,
    quotas: &'a HashMap<Name, Size>,
    can_claim: bool,
) -> DispatchView<'a> {
    DispatchView {
        ledger,
        hosts,
        services: no_services,
        slow_services: no_services,
        quotas,
        can_claim,
    }
}
