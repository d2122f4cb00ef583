//! The parties of the model and their messages.

use jayfork::base::{Millis, Name, Offset};
use jayfork::connection::wire::{Hello, HostKind, LeaseRefusal};
use jayfork::connection::{LeaseAction, LeaseTable, LeaseTiming, Resource};
use jayfork::process::{EntryHost, Membership, Suspicions};
use jayfork::version::Record;

pub const HOSTS: usize = 3;
pub const TICK: u64 = 250;
/// Ticks after which a caller gives up on an answer.
pub const TIMEOUT: u64 = 4;
/// Age in ms of its own read up to which a host passes records on, and above which it asks for them.
pub const MAX_READ_AGE: u64 = 1_500;

#[derive(Debug, Clone)]
pub enum Step {
    Advance(u64),
    Freeze(usize, u64),
    Restart(usize),
    /// Whether the host can read the log, and whether it can append, with a delay in ticks.
    Log(usize, bool, bool, u64),
    Peers(usize, usize, bool),
    /// Whether requests of the host reach the worker, and the delay in ticks.
    Worker(usize, bool, u64),
    IsolateWorker(bool),
    WorkerRestart,
}

/// LogState of the records about the one attempt, which is claimed on worker `w` from the start.
#[derive(Debug, Clone, Default)]
pub struct LogState {
    pub next: u64,
    /// Writer and offset of each open suspicion, with the time at which it was read.
    pub suspicions: Vec<(Name, u64, Millis)>,
    pub lost: bool,
}

/// A record on the log; `suspected` is the offset that a `WorkerLost` follows up.
#[derive(Debug, Clone)]
pub struct LoggedRecord {
    pub host: Name,
    pub record: Record,
    pub suspected: u64,
}

impl LogState {
    pub fn apply(&mut self, now: Millis, logged: &LoggedRecord) {
        match &logged.record {
            Record::Suspected { host, .. } => {
                if !self.suspicions.iter().any(|open| open.0 == *host) {
                    self.suspicions.push((host.clone(), self.next, now));
                }
            }
            Record::Held { .. } => self.suspicions.clear(),
            Record::WorkerLost { .. } => {
                let valid = |o: &(Name, u64, Millis)| o.0 == logged.host && o.1 == logged.suspected;
                if self.suspicions.iter().any(valid) {
                    self.suspicions.clear();
                    self.lost = true;
                }
            }
            record => panic!("{record:?}"),
        }
        self.next += 1;
    }
}

pub struct Host {
    pub peers: Membership,
    pub leases: LeaseTable,
    pub suspicions: Suspicions,
    pub read_state: LogState,
    /// The worker's clock in its last answer to this host.
    pub seen: u64,
    pub process: u64,
    pub rate: u64,
    pub frozen: u64,
    pub reads: bool,
    pub appends: bool,
    pub append_delay: u64,
    pub reaches: bool,
    pub delay: u64,
    /// Calls in flight and their age in ticks: the log, peers by index, the worker.
    pub reading: Option<u64>,
    pub greeting: [Option<u64>; HOSTS],
    pub calling: Option<(u64, LeaseCall)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseCall(pub u64);

#[derive(Debug, Clone)]
pub enum Message {
    Append(LoggedRecord),
    Read {
        host: usize,
        process: u64,
        from: u64,
        sent: Millis,
    },
    ReadAnswer {
        process: u64,
        sent: Millis,
        from: u64,
        records: Vec<LoggedRecord>,
    },
    PeerRead {
        host: usize,
        process: u64,
        from: u64,
        asked: Millis,
    },
    PeerReadAnswer {
        process: u64,
        asked: Millis,
        from: u64,
        records: Vec<LoggedRecord>,
        age: u64,
    },
    Hello {
        from: usize,
        process: u64,
        asked: Millis,
        hello: Hello,
    },
    HelloAnswer {
        from: usize,
        process: u64,
        asked: Millis,
        hello: Hello,
    },
    Lease {
        host: usize,
        process: u64,
        call: LeaseCall,
        sent: Millis,
        action: LeaseAction,
        seen: u64,
    },
    LeaseAnswer {
        process: u64,
        call: LeaseCall,
        sent: Millis,
        result: LeaseResult,
        clock: u64,
    },
    Start {
        token: u64,
        seen: u64,
    },
}

#[derive(Debug, Clone)]
pub enum LeaseResult {
    Granted(u64, u64),
    Refused(LeaseRefusal),
    Released,
}

/// Where a message goes: the log, the worker, or a host, which reads it when it is not frozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receiver {
    Log,
    Worker,
    Host(usize),
}

#[derive(Debug, Default)]
pub struct Worker {
    pub incarnation: u64,
    pub token: u64,
    pub released: bool,
    pub holder: Option<usize>,
    pub until: u64,
    /// Run lease of the attempt while it runs, by the worker's clock.
    pub running: Option<u64>,
    pub started: bool,
}

pub fn host_name(index: usize) -> Name {
    name(["a", "b", "c"][index])
}

impl Host {
    pub fn new(index: usize, rate: u64, process: u64, now: Millis) -> Self {
        let entries = (0..HOSTS).map(|i| entry(&host_name(i), "cluj-a")).collect();
        let mut leases = LeaseTable::new(host_name(index), LeaseTiming::default());
        leases.set_resources(now, vec![worker()]);
        Host {
            peers: Membership::new(host_name(index), name("cluj-a"), entries),
            leases,
            suspicions: Suspicions::new(host_name(index)),
            read_state: LogState::default(),
            seen: 0,
            process,
            rate,
            frozen: 0,
            reads: true,
            appends: true,
            append_delay: 0,
            reaches: true,
            delay: 0,
            reading: None,
            greeting: [None; HOSTS],
            calling: None,
        }
    }

    pub fn now(&self, tick: u64) -> Millis {
        Millis(1_000_000 + tick * TICK * self.rate / 100)
    }

    pub fn hello(&self, index: usize, now: Millis) -> Hello {
        Hello {
            incarnation: self.process,
            held: self.leases.held(now),
            ..hello(
                &host_name(index),
                self.read_state.next,
                self.peers.log_age(now),
            )
        }
    }

    pub fn suspected(&self) -> bool {
        !self.read_state.suspicions.is_empty()
    }
}

pub fn name(text: &str) -> Name {
    Name::from(text)
}

pub fn entry(host: &str, data_centre: &str) -> EntryHost {
    EntryHost {
        name: name(host),
        data_centre: name(data_centre),
        address: name("127.0.0.1:1"),
    }
}

pub fn hello(host: &str, offset: u64, log_age: u64) -> Hello {
    Hello {
        host: name(host),
        data_centre: name("cluj-a"),
        incarnation: 1,
        held: Vec::new(),
        log_offset: Offset(offset),
        log_age,
        contracts_offset: Offset(0),
        draining: false,
        leaving: Vec::new(),
        loads: Vec::new(),
        slow: Vec::new(),
        misfits: Vec::new(),
        awaited: Vec::new(),
        reports: Vec::new(),
    }
}

pub fn worker() -> Resource {
    Resource {
        name: name("w"),
        address: name("127.0.0.1:1"),
        kind: HostKind::Worker,
    }
}
