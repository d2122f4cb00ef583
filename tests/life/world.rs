//! Hosts, workers and the log in simulated time, with messages that can be lost or delayed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use jayfork::base::{Attempt, Millis, Name, Size, TaskId};
use jayfork::connection::wire::{
    LeaseReply, LeaseRequest, StartRequest, StartState, TaskCommand, TaskState, WorkerReport,
};
use jayfork::connection::{Command, Error, StartError};
use jayfork::request::DispatchAction;
use jayfork::version::{AppendOutcome, Batch, Ledger, LedgerTiming, Record, TaskSpec};

use super::host::Host;
use super::worker::{Run, Worker};

/// Time of the log at simulated time zero, in ms since the Unix epoch.
pub const LOG_START: u64 = 1_700_000_000_000;
/// Time after which a call without an answer fails.
const TIMEOUT: Millis = Millis(2_000);

/// A call of a host to a worker or to the log.
#[derive(Debug, Clone)]
pub enum Call {
    /// A lease call and the time of sending.
    Lease(LeaseRequest, Millis),
    Start(StartRequest),
    Command(Command, TaskCommand),
    Append(Batch),
}

/// The end of a call, as the host sees it.
#[derive(Debug)]
enum Answer {
    /// Worker, time of sending, and reply: the outer `None` means that no answer came, the inner
    /// one that the lease was refused.
    Lease(Name, Millis, Option<Option<LeaseReply<WorkerReport>>>),
    Start(Name, TaskId, Attempt, Result<StartState, StartError>),
    Appended(u64, AppendOutcome),
    /// The host does not wait for the outcome of a command.
    Ignored,
}

#[derive(Debug)]
enum Message {
    Call {
        host: usize,
        incarnation: u64,
        worker: usize,
        id: u64,
        call: Call,
    },
    Answer {
        host: usize,
        incarnation: u64,
        id: u64,
        answer: Answer,
    },
}

/// A kind of call that faults can apply to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    Start,
    Append,
}

#[derive(Debug)]
pub struct World {
    pub now: Millis,
    /// Time between two ticks, and the delay of a message.
    step: Millis,
    pub hosts: Vec<Host>,
    pub workers: Vec<Worker>,
    /// Time and content of each batch on the log.
    pub log: Vec<(Millis, Batch)>,
    pub log_up: bool,
    /// Pairs of a host and a worker that cannot reach each other.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Time until which the answers to calls of a kind are lost.
    pub lossy_until: BTreeMap<CallKind, Millis>,
    /// Additional delay of the next call of a kind.
    pub extra_delay: BTreeMap<CallKind, Millis>,
    /// Messages in flight, with the time of their arrival.
    messages: Vec<(Millis, Message)>,
    /// Calls that have not ended yet.
    open_calls: BTreeSet<u64>,
    /// Number of the last call.
    last_call: u64,
    /// All attempts that ran on any worker.
    pub runs: Vec<Run>,
    pub quotas: HashMap<Name, Size>,
    /// A ledger for the checks that has always applied the whole log.
    pub ledger: Ledger,
    /// Attempts that the log shows as not run.
    pub not_run: BTreeSet<(TaskId, Attempt)>,
    /// Attempts that the log shows as checkpointed.
    pub checkpointed: BTreeSet<(TaskId, Attempt)>,
    last_incarnation: u64,
}

impl World {
    pub fn new(hosts: usize, workers: usize, step: Millis) -> Self {
        let host = |n: usize| Host::new(&format!("h{n}"), n as u64);
        let worker = |n: usize| Worker::new(&format!("w{n}"), Size::new(4_000, 4_096, 0));
        World {
            now: Millis(0),
            step,
            hosts: (0..hosts).map(host).collect(),
            workers: (0..workers).map(worker).collect(),
            log: Vec::new(),
            log_up: true,
            cut_links: BTreeSet::new(),
            lossy_until: BTreeMap::new(),
            extra_delay: BTreeMap::new(),
            messages: Vec::new(),
            open_calls: BTreeSet::new(),
            last_call: 0,
            runs: Vec::new(),
            quotas: [("vltava".into(), Size::new(9_000, 50_000, 0))].into(),
            ledger: Ledger::new(LedgerTiming::default()),
            not_run: BTreeSet::new(),
            checkpointed: BTreeSet::new(),
            last_incarnation: hosts as u64,
        }
    }

    /// Submits a task to a host. `kind` is 0 for a restartable task, 1 for an at-most-once task and
    /// 2 for a watcher.
    pub fn submit(&mut self, host: usize, index: u32, kind: u32) {
        let spec = TaskSpec {
            task: task_id(index),
            class: "merges".into(),
            size: Size::new(1_000, 1_024, 0),
            run: 60_000,
            priority: 5,
            max_attempts: 100,
            at_most_once: kind == 1,
            watcher: kind == 2,
            accepted: LOG_START + self.now.0,
        };
        if self.hosts[host].is_up {
            self.hosts[host]
                .journal
                .push(Record::Accepted(Box::new(spec)));
        }
    }

    pub fn cancel(&mut self, host: usize, index: u32) {
        let task = task_id(index);
        if self.hosts[host].is_up {
            self.hosts[host]
                .journal
                .push(Record::CancelRequested { task });
        }
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
    }

    pub fn restart(&mut self, host: usize) {
        if !self.hosts[host].is_up {
            self.last_incarnation += 1;
            self.hosts[host] = Host::new(&format!("h{host}"), self.last_incarnation);
        }
    }

    /// Sends a command for a running task from the host that holds its worker.
    pub fn command(&mut self, index: u32, command: Command) {
        let Some((worker, key)) = self.running(index) else {
            return;
        };
        let Some(host) = self.holder(worker) else {
            return;
        };
        let request = TaskCommand {
            token: self.workers[worker].token,
            task: key.0.to_string(),
            attempt: key.1,
        };
        self.call(host, worker, Call::Command(command, request));
    }

    /// Ends the running attempt of a task.
    pub fn end(&mut self, index: u32, state: TaskState) {
        if let Some((worker, key)) = self.running(index) {
            self.workers[worker].end(&key, state, &mut self.runs);
        }
    }

    /// The worker and the attempt with which a task runs.
    pub fn running(&self, index: u32) -> Option<(usize, (TaskId, Attempt))> {
        let all = self.workers.iter().enumerate();
        let mut all =
            all.flat_map(|(n, worker)| worker.running().into_iter().map(move |key| (n, key)));
        all.find(|(_, (task, _))| *task == task_id(index))
    }

    /// The active host that holds a worker's newest token.
    pub fn holder(&self, worker: usize) -> Option<usize> {
        let Worker { name, token, .. } = &self.workers[worker];
        let holds = |host: &Host| {
            host.is_active()
                && host
                    .usable(self.now, name)
                    .is_some_and(|lease| lease.token == *token)
        };
        self.hosts.iter().position(holds)
    }

    pub fn is_in_flight(&self, is_wanted: impl Fn(&Call) -> bool) -> bool {
        let mut calls = self.messages.iter();
        calls.any(|(_, message)| matches!(message, Message::Call { call, .. } if is_wanted(call)))
    }

    /// Sends a call and schedules its failure after `TIMEOUT`, which counts unless an answer comes
    /// first; returns the number of the call.
    fn call(&mut self, host: usize, worker: usize, call: Call) -> u64 {
        self.last_call += 1;
        let (id, incarnation) = (self.last_call, self.hosts[host].incarnation);
        let (kind, fallback) = match &call {
            Call::Lease(_, sent) => (
                None,
                Answer::Lease(self.workers[worker].name.clone(), *sent, None),
            ),
            Call::Start(request) => {
                let task = request.task.parse().expect("a task id");
                let name = self.workers[worker].name.clone();
                let answer = Answer::Start(name, task, request.attempt, Err(connection_lost()));
                (Some(CallKind::Start), answer)
            }
            Call::Command(..) => (None, Answer::Ignored),
            Call::Append(batch) => (
                Some(CallKind::Append),
                Answer::Appended(batch.sequence, AppendOutcome::Unknown),
            ),
        };
        self.open_calls.insert(id);
        let delay = kind
            .and_then(|kind| self.extra_delay.remove(&kind))
            .unwrap_or_default();
        let answer = Message::Answer {
            host,
            incarnation,
            id,
            answer: fallback,
        };
        self.messages.push((self.now + TIMEOUT, answer));
        let message = Message::Call {
            host,
            incarnation,
            worker,
            id,
            call,
        };
        self.messages.push((self.now + self.step + delay, message));
        id
    }

    /// Lets a worker or the log handle a call, and sends the answer.
    fn serve(&mut self, (host, incarnation, id): (usize, u64, u64), worker: usize, call: Call) {
        let is_append = matches!(call, Call::Append(_));
        if !is_append && (self.cut_links.contains(&(host, worker)) || !self.workers[worker].is_up) {
            return;
        }
        let now = self.now;
        let server = &mut self.workers[worker];
        let (kind, answer) = match call {
            Call::Lease(request, sent) => {
                let reply = server.lease(now, &request).map(|token| LeaseReply {
                    token,
                    incarnation: server.incarnation,
                    leaving: false,
                    report: server.report(),
                });
                (None, Answer::Lease(server.name.clone(), sent, Some(reply)))
            }
            Call::Start(request) => {
                let result = server.start(now, &request, &mut self.runs);
                let task = request.task.parse().expect("a task id");
                let answer = Answer::Start(server.name.clone(), task, request.attempt, result);
                (Some(CallKind::Start), answer)
            }
            Call::Command(command, request) => {
                let key = (request.task.parse().expect("a task id"), request.attempt);
                server.command(request.token, command, &key, &mut self.runs);
                (None, Answer::Ignored)
            }
            Call::Append(batch) => {
                let sequence = batch.sequence;
                let outcome = if self.log_up {
                    self.append(batch);
                    AppendOutcome::Done
                } else {
                    AppendOutcome::Refused
                };
                (Some(CallKind::Append), Answer::Appended(sequence, outcome))
            }
        };
        let until = kind.and_then(|kind| self.lossy_until.get(&kind).copied());
        if until.is_none_or(|until| now >= until) {
            let message = Message::Answer {
                host,
                incarnation,
                id,
                answer,
            };
            self.messages.push((now + self.step, message));
        }
    }

    /// Delivers the messages that are due. Answers to a frozen host wait until it goes on.
    fn deliver(&mut self) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, message)| {
                let is_deferred =
                    matches!(message, Message::Answer { host, .. } if self.hosts[*host].is_frozen);
                *at <= self.now && !is_deferred
            });
        self.messages = rest;
        for (_, message) in due {
            match message {
                Message::Call {
                    host,
                    incarnation,
                    worker,
                    id,
                    call,
                } => {
                    self.serve((host, incarnation, id), worker, call);
                }
                Message::Answer {
                    host,
                    incarnation,
                    id,
                    answer,
                } => {
                    let is_open = self.open_calls.remove(&id);
                    if is_open
                        && self.hosts[host].is_up
                        && self.hosts[host].incarnation == incarnation
                    {
                        self.on_answer(host, id, answer);
                    }
                }
            }
        }
    }

    fn on_answer(&mut self, host: usize, id: u64, answer: Answer) {
        let mut out = Vec::new();
        let (now, target) = (self.now, &mut self.hosts[host]);
        match answer {
            Answer::Lease(worker, sent, reply) => {
                target.on_lease_reply(now, (&worker, id, sent), reply, &self.quotas, &mut out);
            }
            Answer::Start(worker, task, attempt, result) => {
                target
                    .dispatcher
                    .start_answered(now, &worker, &task, attempt, result, &mut out);
            }
            Answer::Appended(sequence, outcome) => target.journal.appended(now, sequence, outcome),
            Answer::Ignored => {}
        }
        self.perform(host, out);
    }

    /// Carries out the actions of a host's dispatcher.
    fn perform(&mut self, host: usize, actions: Vec<DispatchAction>) {
        let index = |workers: &[Worker], name: &Name| workers.iter().position(|w| w.name == *name);
        for action in actions {
            match action {
                DispatchAction::Append(record) => self.hosts[host].journal.push(record),
                DispatchAction::Start {
                    worker, request, ..
                } => {
                    let worker = index(&self.workers, &worker).expect("a worker");
                    self.call(host, worker, Call::Start(request));
                }
                DispatchAction::Command {
                    worker,
                    command,
                    request,
                    ..
                } => {
                    let worker = index(&self.workers, &worker).expect("a worker");
                    self.call(host, worker, Call::Command(command, request));
                }
            }
        }
    }

    /// Advances the time by one step, runs everything that is due and checks the invariants.
    pub fn tick(&mut self) {
        self.now = self.now + self.step;
        self.deliver();
        for worker in &mut self.workers {
            worker.tick(self.now, &mut self.runs);
        }
        let active: Vec<usize> = (0..self.hosts.len())
            .filter(|n| self.hosts[*n].is_active())
            .collect();
        let names: Vec<Name> = active.iter().map(|n| self.hosts[*n].name.clone()).collect();
        let has_majority = active.len() * 2 > self.hosts.len();
        let workers: Vec<Name> = self
            .workers
            .iter()
            .map(|worker| worker.name.clone())
            .collect();
        for host in active.iter().copied() {
            if self.log_up {
                self.hosts[host].read(self.now, LOG_START, &self.log);
            }
            for (n, worker) in workers.iter().enumerate() {
                let id = self.last_call + 1;
                let request = self.hosts[host].lease_call(self.now, worker, id, has_majority);
                if let Some(request) = request {
                    self.call(host, n, Call::Lease(request, self.now));
                }
            }
            let mut out = Vec::new();
            self.hosts[host].poll(self.now, &names, &self.quotas, &mut out);
            self.perform(host, out);
            let is_held = |worker: &&Name| {
                active
                    .iter()
                    .any(|n| self.hosts[*n].usable(self.now, worker).is_some())
            };
            let held: Vec<Name> = workers.iter().filter(is_held).cloned().collect();
            self.hosts[host].queue_suspicions(self.now, &held, has_majority);
            if let Some(batch) = self.hosts[host].journal.poll(self.now) {
                self.call(host, 0, Call::Append(batch));
            }
        }
        self.check();
    }

    /// Ends all faults and restarts stopped hosts and workers.
    pub fn end_faults(&mut self) {
        self.log_up = true;
        self.cut_links.clear();
        self.lossy_until.clear();
        self.extra_delay.clear();
        for host in 0..self.hosts.len() {
            self.restart(host);
            self.hosts[host].is_frozen = false;
        }
        for worker in &mut self.workers {
            worker.restart();
            worker.failing_starts = 0;
        }
    }
}

pub fn task_id(index: u32) -> TaskId {
    TaskId::new("vltava", "merge", index)
}

fn connection_lost() -> StartError {
    StartError::Unknown(Error::Broken {
        address: "worker".into(),
        reason: "no answer".into(),
    })
}
