//! Hosts, worker and log of the model, and the messages between them.

use jayfork::base::{Millis, Name, Offset};
use jayfork::connection::wire::{Hello, HostKind, LeaseRefusal};
use jayfork::connection::{LeaseAction, LeaseTable, LeaseTiming, Resource};
use jayfork::process::{EntryHost, Membership, Suspicions};
use jayfork::version::Record;

pub const HOSTS: usize = 3;
/// Length of a tick, in ms.
pub const TICK: u64 = 250;
/// Ticks after which a caller no longer waits for an answer.
pub const TIMEOUT: u64 = 4;
/// Age in ms of the last read of the log up to which a host serves its records to peers, and above
/// which it reads them through a peer.
pub const MAX_READ_AGE: u64 = 1_500;

/// A step of the model; hosts are given by index.
#[derive(Debug, Clone)]
pub enum Step {
    /// Advances by this number of ticks.
    Advance(u64),
    /// Freezes the host for this number of ticks.
    Freeze(usize, u64),
    /// Restarts the host.
    Restart(usize),
    /// Sets whether the host can read the log and whether it can append, and the delay of its
    /// appends in ticks.
    Log(usize, bool, bool, u64),
    /// Sets whether two hosts are connected.
    Peers(usize, usize, bool),
    /// Sets whether the host can reach the worker, and the delay of its requests in ticks.
    Worker(usize, bool, u64),
    /// Cuts the worker off from all hosts, or reconnects it.
    IsolateWorker(bool),
    WorkerRestart,
}

/// State of the attempt according to the records of the log up to an offset. The attempt is claimed
/// on worker `w` from the beginning.
#[derive(Debug, Clone, Default)]
pub struct LogState {
    pub next_offset: u64,
    /// Open suspicions: writer, offset, and when each was read.
    pub suspicions: Vec<(Name, u64, Millis)>,
    /// Whether a `WorkerLost` took effect.
    pub lost: bool,
}

/// A record and its writer. `suspected` is the offset of the suspicion that a `WorkerLost`
/// confirms; other records ignore it.
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
                    self.suspicions.push((host.clone(), self.next_offset, now));
                }
            }
            Record::Held { .. } => self.suspicions.clear(),
            Record::WorkerLost { .. } => {
                let valid = |open: &(Name, u64, Millis)| {
                    open.0 == logged.host && open.1 == logged.suspected
                };
                if self.suspicions.iter().any(valid) {
                    self.suspicions.clear();
                    self.lost = true;
                }
            }
            record => panic!("{record:?}"),
        }
        self.next_offset += 1;
    }
}

pub struct Host {
    pub peers: Membership,
    pub leases: LeaseTable,
    pub suspicions: Suspicions,
    pub read_state: LogState,
    /// Time of the worker's clock in its last answer to this host, in ms.
    pub worker_clock: u64,
    /// Incarnation of the host's process.
    pub process: u64,
    /// Speed of the host's clock, in percent of the ticks.
    pub clock_rate: u64,
    /// Ticks for which the host stays frozen.
    pub frozen_ticks: u64,
    pub can_read_log: bool,
    pub can_append: bool,
    pub append_delay: u64,
    pub reaches_worker: bool,
    pub worker_delay: u64,
    /// Ticks since the unanswered calls were sent: a read of the log, a hello to each peer, and a
    /// lease call with its number.
    pub read_age: Option<u64>,
    pub hello_ages: [Option<u64>; HOSTS],
    pub lease_call: Option<(u64, LeaseCall)>,
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
        sent_at: Millis,
    },
    ReadAnswer {
        process: u64,
        sent_at: Millis,
        from: u64,
        records: Vec<LoggedRecord>,
    },
    PeerRead {
        host: usize,
        process: u64,
        from: u64,
        asked_at: Millis,
    },
    PeerReadAnswer {
        process: u64,
        asked_at: Millis,
        from: u64,
        records: Vec<LoggedRecord>,
        age: u64,
    },
    Hello {
        from: usize,
        process: u64,
        asked_at: Millis,
        hello: Hello,
    },
    HelloAnswer {
        from: usize,
        process: u64,
        asked_at: Millis,
        hello: Hello,
    },
    Lease {
        host: usize,
        process: u64,
        call: LeaseCall,
        sent_at: Millis,
        action: LeaseAction,
        echoed_clock: u64,
    },
    LeaseAnswer {
        process: u64,
        call: LeaseCall,
        sent_at: Millis,
        result: LeaseResult,
        clock: u64,
    },
    Start {
        token: u64,
        echoed_clock: u64,
    },
}

#[derive(Debug, Clone)]
pub enum LeaseResult {
    Granted(u64, u64),
    Refused(LeaseRefusal),
    Released,
}

/// Receiver of a message. A frozen host receives it once it runs again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receiver {
    Log,
    Worker,
    Host(usize),
}

#[derive(Debug, Default)]
pub struct Worker {
    pub incarnation: u64,
    /// Token of the newest lease.
    pub token: u64,
    pub released: bool,
    pub holder: Option<usize>,
    /// End of the lease by the worker's clock, in ms.
    pub lease_until: u64,
    /// End of the attempt's run lease by the worker's clock, in ms; `None` if it doesn't run.
    pub running: Option<u64>,
    pub started: bool,
}

pub fn host_name(index: usize) -> Name {
    name(["a", "b", "c"][index])
}

impl Host {
    pub fn new(index: usize, clock_rate: u64, process: u64, now: Millis) -> Self {
        let entries = (0..HOSTS).map(|i| entry(&host_name(i), "cluj-a")).collect();
        let mut leases = LeaseTable::new(host_name(index), LeaseTiming::default());
        leases.set_resources(now, vec![worker()]);
        Host {
            peers: Membership::new(host_name(index), name("cluj-a"), entries),
            leases,
            suspicions: Suspicions::new(host_name(index)),
            read_state: LogState::default(),
            worker_clock: 0,
            process,
            clock_rate,
            frozen_ticks: 0,
            can_read_log: true,
            can_append: true,
            append_delay: 0,
            reaches_worker: true,
            worker_delay: 0,
            read_age: None,
            hello_ages: [None; HOSTS],
            lease_call: None,
        }
    }

    pub fn now(&self, tick: u64) -> Millis {
        Millis(1_000_000 + tick * TICK * self.clock_rate / 100)
    }

    pub fn hello(&self, index: usize, now: Millis) -> Hello {
        Hello {
            incarnation: self.process,
            held: self.leases.held(now),
            ..hello(
                &host_name(index),
                self.read_state.next_offset,
                self.peers.log_age(now),
            )
        }
    }

    pub fn is_suspected(&self) -> bool {
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
