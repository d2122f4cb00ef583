//! An entry host: a real ledger, journal and dispatcher, with stand-ins for the lease table and
//! for membership.

use std::collections::{BTreeMap, HashMap};

use jayfork::base::{Millis, Name, Size};
use jayfork::connection::wire::{LeaseReply, LeaseRequest, WorkerReport};
use jayfork::connection::{Grant, Lease};
use jayfork::request::{DispatchAction, DispatchView, Dispatcher, HeldWorker};
use jayfork::version::{Batch, Journal, Ledger, LedgerTiming, Record};

const TTL: Millis = Millis(3_000);
const USABLE: Millis = Millis(2_500);
const RUN_TTL: Millis = Millis(20_000);

#[derive(Debug)]
struct Held {
    lease: Lease,
    until: Millis,
}

/// Times of one worker's lease calls.
#[derive(Debug, Default)]
struct Calls {
    next: Millis,
    open: Option<u64>,
}

#[derive(Debug)]
pub struct Host {
    pub name: Name,
    pub life: u64,
    pub is_up: bool,
    pub is_frozen: bool,
    pub ledger: Ledger,
    pub journal: Journal,
    pub dispatcher: Dispatcher,
    held: BTreeMap<Name, Held>,
    calls: BTreeMap<Name, Calls>,
    read: Option<Millis>,
    /// When this host last saw a holder of each worker.
    seen: BTreeMap<Name, Millis>,
}

impl Host {
    pub fn new(name: &str, life: u64) -> Self {
        let name: Name = name.into();
        Host {
            life,
            is_up: true,
            is_frozen: false,
            ledger: Ledger::new(LedgerTiming::default()),
            journal: Journal::new(name.clone(), life, Millis(100)),
            dispatcher: Dispatcher::new(name.clone()),
            held: BTreeMap::new(),
            calls: BTreeMap::new(),
            read: None,
            seen: BTreeMap::new(),
            name,
        }
    }

    pub fn is_active(&self) -> bool {
        self.is_up && !self.is_frozen
    }

    pub fn read(&mut self, now: Millis, start: u64, log: &[(Millis, Batch)]) {
        let next = self.ledger.next().0 as usize;
        for (offset, (time, batch)) in log.iter().enumerate().skip(next) {
            self.journal.confirm(batch);
            let offset = jayfork::base::Offset(offset as u64);
            self.ledger.apply(offset, start + time.0, now, batch);
        }
        self.read = Some(now);
    }

    fn has_read(&self, now: Millis, within: u64) -> bool {
        self.read
            .is_some_and(|read| now.since(read) <= Millis(within))
    }

    pub fn usable(&self, now: Millis, worker: &Name) -> Option<Lease> {
        let held = self.held.get(worker).filter(|held| now < held.until);
        held.map(|held| held.lease)
    }

    /// The lease call that is due for a worker.
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
        let knows = self.has_read(now, 20_000) && !is_suspected;
        let ack = token.map(|_| self.dispatcher.take_acks(worker));
        Some(LeaseRequest {
            holder: self.name.clone(),
            ttl: TTL.0,
            run_ttl: RUN_TTL.0,
            token,
            ack: ack.unwrap_or_default(),
            renew_tasks: token.is_some() && (knows || has_majority),
        })
    }

    /// Takes the answer to a lease call; `None` if it was refused.
    pub fn leased(
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
        if now >= sent + USABLE {
            return;
        }
        let lease = Lease {
            token: reply.token,
            incarnation: reply.incarnation,
            leaving: reply.leaving,
        };
        let until = sent + USABLE;
        let grant = match self.held.insert(worker.clone(), Held { lease, until }) {
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
        let (none, hosts) = (HashMap::new(), []);
        let view = view(&self.ledger, &hosts, &none, quotas, false);
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
        let none = HashMap::new();
        let view = view(&self.ledger, hosts, &none, quotas, can_claim);
        self.dispatcher.poll(now, &view, out);
    }

    /// Appends what sections 3.2 and 3.6 of the design say about suspicions.
    ///
    /// `holders` lists the workers that a host heard by this one holds.
    pub fn suspect(&mut self, now: Millis, holders: &[Name], has_majority: bool) {
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
            let seen = *self.seen.entry(worker.clone()).or_insert(now);
            if holders.contains(&worker) {
                self.seen.insert(worker, now);
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
    none: &'a HashMap<Name, Vec<Name>>,
    quotas: &'a HashMap<Name, Size>,
    can_claim: bool,
) -> DispatchView<'a> {
    DispatchView {
        ledger,
        hosts,
        services: none,
        slow_services: none,
        quotas,
        can_claim,
    }
}
