//! Model of three entry hosts, the log, and a worker that runs one attempt of one task.

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
    /// Speed of the worker's clock, in percent of the ticks.
    pub worker_rate: u64,
    /// Whether the worker is cut off from all hosts.
    pub worker_isolated: bool,
    pub log: Vec<LoggedRecord>,
    /// State of the attempt according to the whole log.
    pub log_state: LogState,
    /// Whether each pair of hosts is connected.
    pub links: [[bool; HOSTS]; HOSTS],
    /// Messages under way, each with the tick of its delivery.
    pub network: Vec<(u64, Receiver, Message)>,
    pub tick: u64,
    /// Number of the last lease call.
    pub last_call: u64,
    /// Tick from which hosts start the attempt.
    pub start_tick: u64,
    /// Whether hosts that cannot read the log read its records through a peer.
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
            last_call: 0,
            start_tick,
            peer_reads: true,
        }
    }

    /// Time of the worker's clock, in ms.
    pub fn worker_clock(&self) -> u64 {
        1_000_000 + self.tick * TICK * self.worker_rate / 100
    }

    /// Applies a step.
    pub fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Advance(ticks) => (0..ticks).try_for_each(|_| self.advance_tick())?,
            Step::Freeze(host, ticks) => self.hosts[host].frozen_ticks = ticks,
            Step::Restart(index) => {
                let old = &self.hosts[index];
                let now = old.now(self.tick);
                let mut host = Host::new(index, old.clock_rate, old.process + 1, now);
                (host.can_read_log, host.can_append) = (old.can_read_log, old.can_append);
                (host.reaches_worker, host.worker_delay) = (old.reaches_worker, old.worker_delay);
                self.hosts[index] = host;
            }
            Step::Log(host, reads, appends, delay) => {
                let host = &mut self.hosts[host];
                (host.can_read_log, host.can_append, host.append_delay) = (reads, appends, delay);
            }
            Step::Peers(a, b, connected) => {
                self.links[a][b] = connected;
                self.links[b][a] = connected;
            }
            Step::Worker(host, reaches, delay) => {
                let host = &mut self.hosts[host];
                (host.reaches_worker, host.worker_delay) = (reaches, delay);
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

    /// Advances by one tick, and checks that the attempt doesn't run once the worker is lost.
    pub fn advance_tick(&mut self) -> Result<(), TestCaseError> {
        self.tick += 1;
        if self
            .worker
            .running
            .is_some_and(|until| self.worker_clock() >= until)
        {
            self.worker.running = None;
        }
        let (tick, hosts) = (self.tick, &self.hosts);
        let (due, later): (Vec<_>, Vec<_>) = self.network.drain(..).partition(|(at, to, _)| {
            *at <= tick && !matches!(to, Receiver::Host(host) if hosts[*host].frozen_ticks > 0)
        });
        self.network = later;
        for (_, to, message) in due {
            self.deliver(to, message);
        }
        for host in 0..HOSTS {
            if self.hosts[host].frozen_ticks > 0 {
                self.hosts[host].frozen_ticks -= 1;
            } else {
                self.run_host(host);
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
                sent_at,
            } => {
                let records = self.log.get(from as usize..).unwrap_or_default().to_vec();
                let answer = Message::ReadAnswer {
                    process,
                    sent_at,
                    from,
                    records,
                };
                self.send(0, Receiver::Host(host), answer);
            }
            Message::ReadAnswer {
                process,
                sent_at,
                from,
                records,
            } => {
                let host = &mut self.hosts[index];
                if host.process != process {
                    return;
                }
                host.read_age = None;
                if host.read_state.next_offset != from {
                    return;
                }
                records
                    .iter()
                    .for_each(|logged| host.read_state.apply(now, logged));
                host.peers
                    .log_read(now, sent_at, Offset(host.read_state.next_offset));
            }
            Message::PeerRead {
                host,
                process,
                from,
                asked_at,
            } => self.answer_peer_read(index, host, process, from, asked_at),
            Message::PeerReadAnswer {
                process,
                asked_at,
                from,
                records,
                age,
            } => {
                let host = &mut self.hosts[index];
                if host.process != process || host.read_state.next_offset != from {
                    return;
                }
                for logged in &records {
                    host.read_state.apply(now, logged);
                }
                let sent_at = Millis(asked_at.0 - age - age / 10);
                host.peers
                    .log_read(now, sent_at, Offset(host.read_state.next_offset));
            }
            Message::Hello {
                from,
                process,
                asked_at,
                hello,
            } => {
                let host = &mut self.hosts[index];
                host.peers.hello_received(now, None, &hello);
                let hello = host.hello(index, now);
                let answer = Message::HelloAnswer {
                    from: index,
                    process,
                    asked_at,
                    hello,
                };
                if self.links[index][from] {
                    self.send(0, Receiver::Host(from), answer);
                }
            }
            Message::HelloAnswer {
                from,
                process,
                asked_at,
                hello,
            } => {
                let host = &mut self.hosts[index];
                if host.process == process {
                    host.hello_ages[from] = None;
                    host.peers.hello_received(now, Some(asked_at), &hello);
                }
            }
            Message::Lease {
                host,
                process,
                call,
                sent_at,
                action,
                echoed_clock,
            } => {
                let result = self.answer_lease(host, action, echoed_clock);
                let clock = self.worker_clock();
                let answer = Message::LeaseAnswer {
                    process,
                    call,
                    sent_at,
                    result,
                    clock,
                };
                if !self.worker_isolated && self.hosts[host].reaches_worker {
                    self.send(0, Receiver::Host(host), answer);
                }
            }
            Message::LeaseAnswer {
                process,
                call,
                sent_at,
                result,
                clock,
            } => {
                let host = &mut self.hosts[index];
                let current = host.lease_call.is_some_and(|(_, c)| c == call);
                if host.process != process || !current {
                    return;
                }
                host.lease_call = None;
                host.worker_clock = clock;
                let w = name("w");
                match result {
                    LeaseResult::Granted(token, incarnation) => {
                        host.leases
                            .granted(now, sent_at, &w, Token(token), incarnation, false);
                    }
                    LeaseResult::Refused(refusal) => host.leases.refused(now, &w, refusal),
                    LeaseResult::Released => host.leases.released(now, &w),
                }
            }
            Message::Start {
                token,
                echoed_clock,
            } => self.start_attempt(token, echoed_clock),
        }
    }

    /// When the run lease that a message grants ends. The lease counts from the worker's clock that
    /// the message echoes, not from the arrival: the message may have been under way for any time.
    pub fn run_lease_end(&self, echoed_clock: u64) -> u64 {
        echoed_clock + 20_000
    }

    /// Handles a start on the worker.
    pub fn start_attempt(&mut self, token: u64, echoed_clock: u64) {
        let until = self.run_lease_end(echoed_clock);
        let worker = &self.worker;
        if token == worker.token
            && !worker.released
            && !worker.started
            && self.worker_clock() < until
        {
            self.worker.running = Some(until);
            self.worker.started = true;
        }
    }

    /// Handles a lease call on the worker.
    pub fn answer_lease(
        &mut self,
        host: usize,
        action: LeaseAction,
        echoed_clock: u64,
    ) -> LeaseResult {
        let (now, until) = (self.worker_clock(), self.run_lease_end(echoed_clock));
        let worker = &mut self.worker;
        let refused = LeaseResult::Refused(LeaseRefusal::StaleToken);
        match action {
            LeaseAction::Acquire { .. } => match worker.holder {
                Some(holder) if holder != host && now < worker.lease_until => {
                    let (holder, remaining) = (host_name(holder), worker.lease_until - now);
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
                (worker.released, worker.lease_until) = (true, 0);
                return LeaseResult::Released;
            }
        }
        worker.lease_until = now + 3_000;
        LeaseResult::Granted(worker.token, worker.incarnation)
    }

    /// Runs one tick of a host.
    pub fn run_host(&mut self, index: usize) {
        let tick = self.tick;
        let now = self.hosts[index].now(tick);
        self.read_log(index, now);
        self.send_hellos(index, now);
        let host = &mut self.hosts[index];
        let (live, up_to_date) = (host.peers.live_hosts(now), host.peers.up_to_date_hosts(now));
        host.leases.set_hosts(now, &live, &up_to_date);
        if let Some((age, _)) = &mut host.lease_call {
            *age += 1;
            if *age > TIMEOUT {
                host.lease_call = None;
                host.leases.failed(now, &name("w"));
            }
        }
        let may_renew = host.peers.may_renew(now, host.is_suspected());
        let mut actions = Vec::new();
        host.leases.poll(
            now,
            |_| may_renew,
            |w| host.peers.holder(now, w),
            &mut actions,
        );
        let lease = host.leases.usable(now, "w");
        let echoed_clock = host.worker_clock;
        // The claim is for incarnation 1 of the worker. A start needs the same permission as a
        // renewal of the run lease.
        let start =
            lease.filter(|lease| lease.incarnation == 1 && may_renew && !host.read_state.lost);
        for action in actions {
            self.last_call += 1;
            let call = LeaseCall(self.last_call);
            let host = &mut self.hosts[index];
            host.lease_call = Some((0, call));
            let (process, reaches, delay) = (host.process, host.reaches_worker, host.worker_delay);
            if reaches && !self.worker_isolated {
                let host = index;
                let message = Message::Lease {
                    host,
                    process,
                    call,
                    sent_at: now,
                    action,
                    echoed_clock,
                };
                self.send(delay, Receiver::Worker, message);
            }
        }
        let reaches = self.hosts[index].reaches_worker && !self.worker_isolated;
        if let Some(lease) = start.filter(|_| reaches && tick >= self.start_tick) {
            let message = Message::Start {
                token: lease.token.0,
                echoed_clock,
            };
            self.send(self.hosts[index].worker_delay, Receiver::Worker, message);
        }
        self.poll_suspicions(index, now);
    }
}
