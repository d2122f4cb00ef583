//! Leases under faults, in a model of three hosts, a worker and an unreliable network.

use std::collections::{HashMap, HashSet};
use std::sync::LazyLock;

use jayfork::base::{Millis, Name, Token, rank};
use jayfork::connection::wire::{HostKind, LeaseRefusal};
use jayfork::connection::{LeaseAction, LeaseTable, LeaseTiming, Resource};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn worker(name: &str) -> Resource {
    Resource {
        name: Name::from(name),
        address: Name::from("127.0.0.1:1"),
        kind: HostKind::Worker,
    }
}

/// Hosts a, b and c in the rendezvous order of worker `w`.
fn ranked_hosts() -> &'static [Name] {
    static RANKED_HOSTS: LazyLock<Vec<Name>> = LazyLock::new(|| {
        let hosts = [name("a"), name("b"), name("c")];
        rank("w", &hosts).into_iter().cloned().collect()
    });
    &RANKED_HOSTS
}

const HOSTS: usize = 3;

/// Model of a worker. It grants one lease at a time and times it by its own clock.
#[derive(Debug, Default)]
struct Worker {
    incarnation: u64,
    token: u64,
    holder: Option<Name>,
    /// End of the lease by the worker's clock in milliseconds.
    lease_end: u64,
    is_released: bool,
}

impl Worker {
    fn call(&mut self, now: u64, host: &Name, token: Option<u64>) -> Result<u64, LeaseRefusal> {
        let is_expired = now >= self.lease_end;
        match token {
            Some(token) if token != self.token || self.is_released => Err(LeaseRefusal::StaleToken),
            None if !is_expired && self.holder.as_ref() != Some(host) => Err(LeaseRefusal::Held {
                holder: self.holder.clone().unwrap(),
                remaining: self.lease_end - now,
            }),
            Some(_) => {
                self.lease_end = now + 3_000;
                Ok(self.token)
            }
            None => {
                self.token += 1;
                self.is_released = false;
                self.holder = Some(host.clone());
                self.lease_end = now + 3_000;
                Ok(self.token)
            }
        }
    }

    fn release(&mut self, token: u64) -> Result<u64, LeaseRefusal> {
        if token != self.token {
            return Err(LeaseRefusal::StaleToken);
        }
        self.lease_end = 0;
        self.is_released = true;
        Ok(token)
    }

    fn accepts(&self, token: u64) -> bool {
        token == self.token && !self.is_released
    }
}

#[derive(Debug, Clone)]
enum Step {
    /// So many ticks of 50 ms pass.
    Pass(u64),
    /// The host stops executing for so many ticks; its messages are still delivered.
    Freeze(usize, u64),
    /// The host's process restarts with empty memory under the same name.
    Restart(usize),
    /// Changes the network between host and worker: whether requests are lost, whether answers are
    /// lost, and the delay in ticks.
    Network(usize, bool, bool, u64),
    /// Sets whether a host considers a peer live.
    View(usize, usize, bool),
    WorkerRestart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS;
    let step = prop_oneof![
        6 => (1..80u64).prop_map(Step::Pass),
        1 => (host.clone(), 1..120u64).prop_map(|(h, n)| Step::Freeze(h, n)),
        1 => host.clone().prop_map(Step::Restart),
        2 => (host.clone(), any::<bool>(), any::<bool>(), 0..60u64)
            .prop_map(|(h, a, b, n)| Step::Network(h, a, b, n)),
        2 => (host.clone(), host, any::<bool>()).prop_map(|(h, p, l)| Step::View(h, p, l)),
        1 => Just(Step::WorkerRestart),
    ];
    prop::collection::vec(step, 1..40)
}

struct Host {
    name: Name,
    table: LeaseTable,
    /// Speed of the host's clock in percent of real time.
    rate: u64,
    /// Clock of the host at tick 0 in milliseconds.
    offset: u64,
    /// Ticks until a frozen host continues.
    frozen: u64,
    /// Hosts that this host considers live.
    view: HashSet<usize>,
    lose_request: bool,
    lose_answer: bool,
    delay: u64,
}

#[derive(Debug)]
enum Message {
    Request {
        host: usize,
        action: LeaseAction,
        sent: Millis,
        process: u64,
    },
    Answer {
        host: usize,
        sent: Millis,
        result: Option<Result<(u64, u64), LeaseRefusal>>,
        release: bool,
        process: u64,
    },
}

struct Model {
    hosts: Vec<Host>,
    /// Number of restarts of each host. Answers to calls of an earlier process are dropped.
    processes: Vec<u64>,
    worker: Worker,
    worker_rate: u64,
    tick: u64,
    /// Messages in flight, each with the tick of its delivery.
    network: Vec<(u64, Message)>,
    worker_restarted: bool,
    host_restarted: bool,
}

impl Model {
    fn new(rates: [u64; HOSTS], worker_rate: u64) -> Self {
        let hosts = (0..HOSTS).map(|i| {
            let name = ranked_hosts()[i].clone();
            let mut host = Host {
                table: LeaseTable::new(name.clone(), LeaseTiming::default()),
                name,
                rate: rates[i],
                offset: i as u64 * 1_234_567,
                frozen: 0,
                view: (0..HOSTS).collect(),
                lose_request: false,
                lose_answer: false,
                delay: 0,
            };
            host.table.set_resources(host.now(0), vec![worker("w")]);
            host
        });
        Model {
            hosts: hosts.collect(),
            processes: vec![0; HOSTS],
            worker: Worker {
                incarnation: 1,
                ..Worker::default()
            },
            worker_rate,
            tick: 0,
            network: Vec::new(),
            worker_restarted: false,
            host_restarted: false,
        }
    }

    fn worker_now(&self) -> u64 {
        1_000_000 + self.tick * 50 * self.worker_rate / 100
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Pass(ticks) => (0..ticks).try_for_each(|_| self.advance())?,
            Step::Freeze(host, ticks) => self.hosts[host].frozen = ticks,
            Step::Restart(host) => {
                let now = self.hosts[host].now(self.tick);
                let name = self.hosts[host].name.clone();
                let mut table = LeaseTable::new(name, LeaseTiming::default());
                table.set_resources(now, vec![worker("w")]);
                self.hosts[host].table = table;
                self.hosts[host].frozen = 0;
                self.processes[host] += 1;
                self.host_restarted = true;
            }
            Step::Network(host, lose_request, lose_answer, delay) => {
                let host = &mut self.hosts[host];
                (host.lose_request, host.lose_answer, host.delay) =
                    (lose_request, lose_answer, delay);
            }
            Step::View(host, peer, true) => {
                self.hosts[host].view.insert(peer);
            }
            Step::View(host, peer, false) if host != peer => {
                self.hosts[host].view.remove(&peer);
            }
            Step::View(..) => {}
            Step::WorkerRestart => {
                // The protocol requires that the tokens of a worker grow across its restarts.
                let token = self.worker.token + 1;
                let incarnation = self.worker.incarnation + 1;
                self.worker = Worker {
                    incarnation,
                    token,
                    is_released: true,
                    ..Worker::default()
                };
                self.worker_restarted = true;
            }
        }
        Ok(())
    }

    fn advance(&mut self) -> Result<(), TestCaseError> {
        self.tick += 1;
        self.deliver();
        for host in 0..HOSTS {
            self.run_host(host);
        }
        self.check()
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let (due, later): (Vec<_>, Vec<_>) =
            self.network
                .drain(..)
                .partition(|(at, message)| match message {
                    // A frozen host reads its answers when it continues.
                    Message::Answer { host, .. } => *at <= tick && self.hosts[*host].frozen == 0,
                    Message::Request { .. } => *at <= tick,
                });
        self.network = later;
        for (_, message) in due {
            match message {
                Message::Request {
                    host,
                    action,
                    sent,
                    process,
                } => {
                    self.serve(host, action, sent, process);
                }
                Message::Answer {
                    host,
                    sent,
                    result,
                    release,
                    process,
                } => {
                    if process == self.processes[host] {
                        self.answer(host, sent, result, release);
                    }
                }
            }
        }
    }

    fn serve(&mut self, host: usize, action: LeaseAction, sent: Millis, process: u64) {
        let now = self.worker_now();
        let name = self.hosts[host].name.clone();
        let (result, release) = match action {
            LeaseAction::Acquire { .. } => (self.worker.call(now, &name, None), false),
            LeaseAction::Renew { token, .. } => {
                (self.worker.call(now, &name, Some(token.0)), false)
            }
            LeaseAction::Release { token, .. } => (self.worker.release(token.0), true),
        };
        let result = result.map(|token| (token, self.worker.incarnation));
        let lost = self.hosts[host].lose_answer;
        let at = self.tick + if lost { 20 } else { self.hosts[host].delay / 2 };
        let result = (!lost).then_some(result);
        self.network.push((
            at,
            Message::Answer {
                host,
                sent,
                result,
                release,
                process,
            },
        ));
    }

    fn answer(
        &mut self,
        host: usize,
        sent: Millis,
        result: Option<Result<(u64, u64), LeaseRefusal>>,
        release: bool,
    ) {
        let now = self.hosts[host].now(self.tick);
        let table = &mut self.hosts[host].table;
        let w = name("w");
        match result {
            None => table.failed(now, &w),
            Some(Err(refusal)) => table.refused(now, &w, refusal),
            Some(Ok(_)) if release => table.released(now, &w),
            Some(Ok((token, incarnation))) => {
                table.granted(now, sent, &w, Token(token), incarnation, false);
            }
        }
    }

    fn run_host(&mut self, index: usize) {
        let tick = self.tick;
        let held: HashMap<usize, bool> = (0..HOSTS).map(|i| (i, self.holds_lease(i))).collect();
        let host = &mut self.hosts[index];
        if host.frozen > 0 {
            host.frozen -= 1;
            return;
        }
        let now = host.now(tick);
        let live: Vec<Name> = host
            .view
            .iter()
            .map(|&i| ranked_hosts()[i].clone())
            .collect();
        host.table.set_hosts(now, &live, &live);
        let other_holder = host
            .view
            .iter()
            .find(|&&i| i != index && held[&i])
            .map(|&i| ranked_hosts()[i].clone());
        let mut actions = Vec::new();
        host.table
            .poll(now, |_| true, |_| other_holder.clone(), &mut actions);
        assert!(actions.len() <= 1, "one call in flight per resource");
        let (delay, lost) = (host.delay, host.lose_request);
        let process = self.processes[index];
        for action in actions {
            let release = matches!(action, LeaseAction::Release { .. });
            let message = if lost {
                // The call times out after 1 s (20 ticks).
                (
                    tick + 20,
                    Message::Answer {
                        host: index,
                        sent: now,
                        result: None,
                        release,
                        process,
                    },
                )
            } else {
                (
                    tick + delay,
                    Message::Request {
                        host: index,
                        action,
                        sent: now,
                        process,
                    },
                )
            };
            self.network.push(message);
        }
    }

    fn holds_lease(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        host.frozen == 0 && host.table.usable(host.now(self.tick), "w").is_some()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let running = self.hosts.iter().filter(|host| host.frozen == 0);
        let tokens: Vec<u64> = running
            .filter_map(|host| host.table.usable(host.now(self.tick), "w"))
            .map(|lease| lease.token.0)
            .collect();
        let accepted = tokens
            .iter()
            .filter(|&&token| self.worker.accepts(token))
            .count();
        prop_assert!(accepted <= 1, "the worker accepts two holders: {tokens:?}");
        // A restarted worker has lost a lease that its holder still considers valid. Until the next
        // renewal it refuses the holder's token.
        if !self.worker_restarted {
            prop_assert!(tokens.len() <= 1, "two holders: {tokens:?}");
            let is_valid = self.worker_now() < self.worker.lease_end;
            prop_assert!(tokens.is_empty() || is_valid, "usable after expiry");
            // A delayed call of an earlier process of a host replaces the token of the current one.
            let is_fenced = accepted < tokens.len();
            prop_assert!(
                !is_fenced || self.host_restarted,
                "usable but fenced: {tokens:?}"
            );
        }
        Ok(())
    }
}

impl Host {
    fn now(&self, tick: u64) -> Millis {
        Millis(self.offset + tick * 50 * self.rate / 100)
    }
}

fn clock_rates() -> impl Strategy<Value = ([u64; HOSTS], u64)> {
    (prop::array::uniform3(100..=110u64), 100..=110u64)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against two hosts that use one worker at the same time. The faults are frozen and
    /// restarted processes, lost and delayed messages, wrong views of which peers are live, and
    /// clocks whose rates differ by up to 10%.
    #[test]
    fn one_holder_at_a_time((rates, worker_rate) in clock_rates(), steps in steps()) {
        let mut model = Model::new(rates, worker_rate);
        model.step(&Step::Pass(40))?;
        for step in &steps {
            model.step(step)?;
        }
    }

}

proptest! {
    // Each case simulates six minutes.
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against a worker that is not held by its preferred host after all faults are over.
    #[test]
    fn preferred_host_ends_as_holder((rates, worker_rate) in clock_rates(), steps in steps()) {
        let mut model = Model::new(rates, worker_rate);
        for step in &steps {
            model.step(step)?;
        }
        for host in 0..HOSTS {
            model.step(&Step::Network(host, false, false, 0))?;
            model.hosts[host].frozen = 0;
            for peer in 0..HOSTS {
                model.step(&Step::View(host, peer, true))?;
            }
        }
        // After at most two declined offers, the lease returns to the preferred host within 20 s,
        // once that host has been live for 5 s.
        model.step(&Step::Pass(20 * 60 * 6))?;
        prop_assert!(model.holds_lease(0));
        prop_assert!(!model.holds_lease(1) && !model.holds_lease(2));
    }
}
