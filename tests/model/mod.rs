//! A model of three entry hosts, the log and a worker that runs one attempt.

mod calls;
mod parts;

use jayfork::base::{Millis, Offset, Token};
use jayfork::connection::LeaseAction;
use jayfork::connection::wire::LeaseRefusal;
use proptest::prelude::*;

pub use parts::*;

pub struct Model {
    pub hosts: Vec<Host>,
    pub worker: Worker,
    pub worker_rate: u64,
    pub worker_isolated: bool,
    pub log: Vec<LoggedRecord>,
    pub log_state: LogState,
    pub links: [[bool; HOSTS]; HOSTS],
    pub network: Vec<(u64, Receiver, Message)>,
    pub tick: u64,
    pub calls: u64,
    /// Tick from which hosts start the attempt.
    pub start_tick: u64,
    /// Whether hosts pass records of the log on to each other.
    pub peer_reads: bool,
}

impl Model {
    pub fn new(rates: [u64; HOSTS], worker_rate: u64, start_tick: u64) -> Self {
        let hosts = (0..HOSTS).map(|i| Host::new(i, rates[i], 1, Millis(1_000_000)));
        Model {
            hosts: hosts.collect(),
            worker: Worker {
                incarnation: 1,
                ..Worker::default()
            },
            worker_rate,
            worker_isolated: false,
            log: Vec::new(),
            log_state: LogState::default(),
            links: [[true; HOSTS]; HOSTS],
            network: Vec::new(),
            tick: 0,
            calls: 0,
            start_tick,
            peer_reads: true,
        }
    }

    pub fn clock(&self) -> u64 {
        1_000_000 + self.tick * TICK * self.worker_rate / 100
    }

    pub fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Advance(ticks) => (0..ticks).try_for_each(|_| self.advance_tick())?,
            Step::Freeze(host, ticks) => self.hosts[host].frozen = ticks,
            Step::Restart(index) => {
                let old = &self.hosts[index];
                let now = old.now(self.tick);
                let mut host = Host::new(index, old.rate, old.process + 1, now);
                (host.reads, host.appends) = (old.reads, old.appends);
                (host.reaches, host.delay) = (old.reaches, old.delay);
                self.hosts[index] = host;
            }
            Step::Log(host, reads, appends, delay) => {
                let host = &mut self.hosts[host];
                (host.reads, host.appends, host.append_delay) = (reads, appends, delay);
            }
            Step::Peers(a, b, connected) => {
                self.links[a][b] = connected;
                self.links[b][a] = connected;
            }
            Step::Worker(host, reaches, delay) => {
                let host = &mut self.hosts[host];
                (host.reaches, host.delay) = (reaches, delay);
            }
            Step::IsolateWorker(worker_isolated) => self.worker_isolated = worker_isolated,
            Step::WorkerRestart => {
                let (incarnation, token) = (self.worker.incarnation + 1, self.worker.token + 1);
                self.worker = Worker {
                    incarnation,
                    token,
                    released: true,
                    ..Worker::default()
                };
            }
        }
        Ok(())
    }

    pub fn advance_tick(&mut self) -> Result<(), TestCaseError> {
        self.tick += 1;
        if self
            .worker
            .running
            .is_some_and(|until| self.clock() >= until)
        {
            self.worker.running = None;
        }
        let (tick, hosts) = (self.tick, &self.hosts);
        let (due, later): (Vec<_>, Vec<_>) = self.network.drain(..).partition(|(at, to, _)| {
            *at <= tick && !matches!(to, Receiver::Host(host) if hosts[*host].frozen > 0)
        });
        self.network = later;
        for (_, to, message) in due {
            self.deliver(to, message);
        }
        for host in 0..HOSTS {
            if self.hosts[host].frozen > 0 {
                self.hosts[host].frozen -= 1;
            } else {
                self.run(host);
            }
        }
        let runs = self.worker.running.is_some();
        prop_assert!(
            !(self.log_state.lost && runs),
            "the attempt runs after WorkerLost"
        );
        Ok(())
    }

    pub fn send(&mut self, delay: u64, to: Receiver, message: Message) {
        self.network.push((self.tick + 1 + delay, to, message));
    }

    pub fn deliver(&mut self, to: Receiver, message: Message) {
        let index = if let Receiver::Host(host) = to {
            host
        } else {
            0
        };
        let now = self.hosts[index].now(self.tick);
        match message {
            Message::Append(logged) => {
                self.log_state.apply(Millis(0), &logged);
                self.log.push(logged);
            }
            Message::Read {
                host,
                process,
                from,
                sent,
            } => {
                let records = self.log.get(from as usize..).unwrap_or_default().to_vec();
                let answer = Message::ReadAnswer {
                    process,
                    sent,
                    from,
                    records,
                };
                self.send(0, Receiver::Host(host), answer);
            }
            Message::ReadAnswer {
                process,
                sent,
                from,
                records,
            } => {
                let host = &mut self.hosts[index];
                if host.process != process {
                    return;
                }
                host.reading = None;
                if host.read_state.next != from {
                    return;
                }
                records
                    .iter()
                    .for_each(|logged| host.read_state.apply(now, logged));
                host.peers.log_read(now, sent, Offset(host.read_state.next));
            }
            Message::PeerRead {
                host,
                process,
                from,
                asked,
            } => self.answer_peer_read(index, host, process, from, asked),
            Message::PeerReadAnswer {
                process,
                asked,
                from,
                records,
                age,
            } => {
                let host = &mut self.hosts[index];
                if host.process != process || host.read_state.next != from {
                    return;
                }
                for logged in &records {
                    host.read_state.apply(now, logged);
                }
                let sent = Millis(asked.0 - age - age / 10);
                host.peers.log_read(now, sent, Offset(host.read_state.next));
            }
            Message::Hello {
                from,
                process,
                asked,
                hello,
            } => {
                let host = &mut self.hosts[index];
                host.peers.hello_received(now, None, &hello);
                let hello = host.hello(index, now);
                let answer = Message::HelloAnswer {
                    from: index,
                    process,
                    asked,
                    hello,
                };
                if self.links[index][from] {
                    self.send(0, Receiver::Host(from), answer);
                }
            }
            Message::HelloAnswer {
                from,
                process,
                asked,
                hello,
            } => {
                let host = &mut self.hosts[index];
                if host.process == process {
                    host.greeting[from] = None;
                    host.peers.hello_received(now, Some(asked), &hello);
                }
            }
            Message::Lease {
                host,
                process,
                call,
                sent,
                action,
                seen,
            } => {
                let result = self.lease(host, action, seen);
                let clock = self.clock();
                let answer = Message::LeaseAnswer {
                    process,
                    call,
                    sent,
                    result,
                    clock,
                };
                if !self.worker_isolated && self.hosts[host].reaches {
                    self.send(0, Receiver::Host(host), answer);
                }
            }
            Message::LeaseAnswer {
                process,
                call,
                sent,
                result,
                clock,
            } => {
                let host = &mut self.hosts[index];
                let current = host.calling.is_some_and(|(_, c)| c == call);
                if host.process != process || !current {
                    return;
                }
                host.calling = None;
                host.seen = clock;
                let w = name("w");
                match result {
                    LeaseResult::Granted(token, incarnation) => {
                        host.leases
                            .granted(now, sent, &w, Token(token), incarnation, false);
                    }
                    LeaseResult::Refused(refusal) => host.leases.refused(now, &w, refusal),
                    LeaseResult::Released => host.leases.released(now, &w),
                }
            }
            Message::Start { token, seen } => self.start(token, seen),
        }
    }

    /// A command counts from the worker's clock that it echoes, not from its arrival: it may have
    /// been under way for any time.
    pub fn lapse(&self, seen: u64) -> u64 {
        seen + 20_000
    }

    pub fn start(&mut self, token: u64, seen: u64) {
        let until = self.lapse(seen);
        let worker = &self.worker;
        if token == worker.token && !worker.released && !worker.started && self.clock() < until {
            self.worker.running = Some(until);
            self.worker.started = true;
        }
    }

    pub fn lease(&mut self, host: usize, action: LeaseAction, seen: u64) -> LeaseResult {
        let (now, until) = (self.clock(), self.lapse(seen));
        let worker = &mut self.worker;
        let refused = LeaseResult::Refused(LeaseRefusal::StaleToken);
        match action {
            LeaseAction::Acquire { .. } => match worker.holder {
                Some(holder) if holder != host && now < worker.until => {
                    let (holder, remaining) = (host_name(holder), worker.until - now);
                    return LeaseResult::Refused(LeaseRefusal::Held { holder, remaining });
                }
                _ => {
                    worker.token += 1;
                    worker.released = false;
                    worker.holder = Some(host);
                }
            },
            LeaseAction::Renew {
                token, renew_tasks, ..
            } => {
                if token.0 != worker.token || worker.released {
                    return refused;
                }
                if let Some(running) = worker.running.as_mut().filter(|_| renew_tasks) {
                    *running = until.max(*running);
                }
            }
            LeaseAction::Release { token, .. } => {
                if token.0 != worker.token {
                    return refused;
                }
                (worker.released, worker.until) = (true, 0);
                return LeaseResult::Released;
            }
        }
        worker.until = now + 3_000;
        LeaseResult::Granted(worker.token, worker.incarnation)
    }

    pub fn run(&mut self, index: usize) {
        let tick = self.tick;
        let now = self.hosts[index].now(tick);
        self.read(index, now);
        self.greet(index, now);
        let host = &mut self.hosts[index];
        let (live, informed) = (host.peers.live_hosts(now), host.peers.up_to_date_hosts(now));
        host.leases.set_hosts(now, &live, &informed);
        if let Some((age, _)) = &mut host.calling {
            *age += 1;
            if *age > TIMEOUT {
                host.calling = None;
                host.leases.failed(now, &name("w"));
            }
        }
        let may = host.peers.may_renew(now, host.suspected());
        let mut actions = Vec::new();
        host.leases
            .poll(now, |_| may, |w| host.peers.holder(now, w), &mut actions);
        let lease = host.leases.usable(now, "w");
        let seen = host.seen;
        // The claim names incarnation 1, and a start is permitted like a renewal.
        let start = lease.filter(|lease| lease.incarnation == 1 && may && !host.read_state.lost);
        for action in actions {
            self.calls += 1;
            let call = LeaseCall(self.calls);
            let host = &mut self.hosts[index];
            host.calling = Some((0, call));
            let (process, reaches, delay) = (host.process, host.reaches, host.delay);
            if reaches && !self.worker_isolated {
                let host = index;
                let message = Message::Lease {
                    host,
                    process,
                    call,
                    sent: now,
                    action,
                    seen,
                };
                self.send(delay, Receiver::Worker, message);
            }
        }
        let reaches = self.hosts[index].reaches && !self.worker_isolated;
        if let Some(lease) = start.filter(|_| reaches && tick >= self.start_tick) {
            let message = Message::Start {
                token: lease.token.0,
                seen,
            };
            self.send(self.hosts[index].delay, Receiver::Worker, message);
        }
        self.suspect(index, now);
    }
}
