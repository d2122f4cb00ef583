//! Dispatcher of one host: takeovers, late answers and room on a worker.

mod records;

use std::collections::HashMap;

use jayfork::base::{Attempt, Millis, Name, Size, Token};
use jayfork::connection::wire::{StartState, TaskEntry, TaskState, WorkerReport};
use jayfork::connection::{Error, Grant, Lease, StartError};
use jayfork::request::{DispatchAction, DispatchView, Dispatcher, HeldWorker};
use jayfork::version::Record;
use records::*;
use yare::parameterized;

/// A dispatcher and the log that it reads.
struct Host {
    dispatcher: Dispatcher,
    stream: Stream,
    now: Millis,
}

fn lost_answer() -> StartError {
    StartError::Unknown(Error::Broken {
        address: "w1".into(),
        reason: "timed out".into(),
    })
}

impl Host {
    fn new(records: Vec<Record>) -> Self {
        let mut stream = Stream::new();
        stream.append("a", records);
        Host {
            dispatcher: Dispatcher::new("a".into()),
            stream,
            now: Millis(0),
        }
    }

    fn view<'a>(
        stream: &'a Stream,
        hosts: &'a [Name],
        none: &'a HashMap<Name, Vec<Name>>,
        quotas: &'a HashMap<Name, Size>,
    ) -> DispatchView<'a> {
        DispatchView {
            ledger: &stream.ledger,
            hosts,
            services: none,
            slow_services: none,
            quotas,
            can_claim: false,
        }
    }

    fn report(&mut self, token: u64, grant: Grant, tasks: Vec<TaskEntry>) -> Vec<DispatchAction> {
        let (none, quotas, worker) = (HashMap::new(), HashMap::new(), name("w1"));
        let report = WorkerReport {
            capacity: Size::new(4_000, 4_096, 0),
            measured: 0,
            tasks,
        };
        let held = HeldWorker {
            name: &worker,
            address: &worker,
            rack: &worker,
            lease: Lease {
                token: Token(token),
                incarnation: 7,
                leaving: false,
            },
            grant,
            report: &report,
        };
        let view = Host::view(&self.stream, &[], &none, &quotas);
        let mut out = Vec::new();
        self.dispatcher
            .handle_report(self.now, &view, held, &mut out);
        out
    }

    fn poll(&mut self, later: u64) -> Vec<DispatchAction> {
        self.now = self.now + Millis(later);
        let (none, quotas) = (HashMap::new(), HashMap::new());
        let view = Host::view(&self.stream, &[], &none, &quotas);
        let mut out = Vec::new();
        self.dispatcher.poll(self.now, &view, &mut out);
        out
    }

    fn started(&mut self, result: Result<StartState, StartError>) -> Vec<DispatchAction> {
        let mut out = Vec::new();
        let (task, attempt) = (id(0), Attempt(0));
        self.dispatcher
            .start_answered(self.now, "w1", &task, attempt, result, &mut out);
        out
    }
}

fn starts(actions: &[DispatchAction]) -> usize {
    let is_start = |action: &&DispatchAction| matches!(action, DispatchAction::Start { .. });
    actions.iter().filter(is_start).count()
}

fn releases(actions: &[DispatchAction]) -> usize {
    let is_release = |action: &&DispatchAction| {
        matches!(action, DispatchAction::Append(Record::Released { .. }))
    };
    actions.iter().filter(is_release).count()
}

fn entry(state: TaskState) -> TaskEntry {
    TaskEntry {
        task: id(0).to_string(),
        attempt: Attempt(0),
        state,
        size: ONE,
        usage: None,
        checkpoint: None,
    }
}

/// Guards against a start of a claim that a former holder may release (I2): the new holder has to
/// read its own adoption first.
#[test]
fn claim_of_an_earlier_lease_is_adopted_first() {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    let out = host.report(4, Grant::New, vec![]);
    assert_eq!(out, [DispatchAction::Append(adopted(0, "w1", 4))]);
    assert_eq!(host.poll(1_000), [], "adopted twice or started");
    host.stream.append("a", vec![adopted(0, "w1", 4)]);
    assert_eq!(starts(&host.poll(1_000)), 1);
}

/// Guards against a former holder that ends or starts an attempt of a later one (I2).
#[test]
fn claim_of_a_later_lease_is_left_alone() {
    let mut host = Host::new(vec![accepted(0, START)]);
    host.report(2, Grant::New, vec![]);
    let mut claim = claimed(0, 0, "w1", 3);
    if let Record::Claimed { incarnation, .. } = &mut claim {
        *incarnation = 8;
    }
    host.stream.append("b", vec![claim]);
    assert_eq!(host.poll(1_000), []);
}

/// Guards against a late answer to a start of a former lease that is taken for the answer to the
/// present start: the attempt would be released while it starts (I2, I5).
#[parameterized(
    start_failed = { StartError::StartFailed },
    no_capacity = { StartError::NoCapacity },
)]
fn late_answer_of_a_former_lease(answer: StartError) {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    assert_eq!(starts(&host.report(3, Grant::New, vec![])), 1);
    host.report(4, Grant::New, vec![]);
    host.stream.append("a", vec![adopted(0, "w1", 4)]);
    assert_eq!(starts(&host.poll(1_000)), 1);
    assert_eq!(host.started(Err(answer)), []);
    host.stream.append("a", vec![cancel(0)]);
    assert_eq!(releases(&host.poll(10_000)), 0);
    assert_eq!(releases(&host.poll(10_000)), 0);
}

/// Guards against "not run" for an attempt whose start may still arrive (I5).
#[parameterized(
    start_failed = { Ok(()), StartError::StartFailed, 1 },
    start_failed_after_lost_answer = { Err(()), StartError::StartFailed, 0 },
    no_capacity_after_lost_answer = { Err(()), StartError::NoCapacity, 0 },
)]
fn release_after_start(first: Result<(), ()>, second: StartError, expected: usize) {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    assert_eq!(starts(&host.report(3, Grant::New, vec![])), 1);
    if first.is_err() {
        host.started(Err(lost_answer()));
        assert_eq!(starts(&host.poll(1_000)), 1);
    }
    let mut released = releases(&host.started(Err(second)));
    host.stream.append("a", vec![cancel(0)]);
    released += releases(&host.poll(100));
    assert_eq!(released, expected);
}

/// Guards against a book that was made anew under the same token and has forgotten a start (I5).
#[test]
fn start_before_the_book_was_lost() {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    assert_eq!(starts(&host.report(3, Grant::New, vec![])), 1);
    host.dispatcher.remove_worker("w1");
    host.stream.append("a", vec![cancel(0)]);
    assert_eq!(releases(&host.report(3, Grant::Renewed, vec![])), 0);
}

/// Guards against a release of an attempt that the worker reported as ended before this host had
/// read its claim (I5).
#[test]
fn end_reported_before_the_claim_was_read() {
    let mut host = Host::new(vec![]);
    host.report(4, Grant::New, vec![entry(TaskState::Failed)]);
    let records = vec![accepted(0, START), claimed(0, 0, "w1", 3), cancel(0)];
    host.stream.append("b", records);
    assert_eq!(host.poll(1_000), []);
    let out = host.report(4, Grant::Renewed, vec![entry(TaskState::Failed)]);
    let end = ended(0, 0, jayfork::version::Outcome::Failed);
    assert_eq!(out, [DispatchAction::Append(end)]);
}

/// Guards against a worker that is committed beyond its capacity by claims that were made when it
/// had room (I1), and against a claim that is not started when room comes.
#[test]
fn claims_wait_for_room() {
    let tasks = [0, 3, 6, 9, 12];
    let mut records: Vec<Record> = tasks.iter().map(|n| accepted(*n, START)).collect();
    records.extend(tasks.iter().map(|n| claimed(*n, 0, "w1", 3)));
    let mut host = Host::new(records);
    // 80% of four cores.
    assert_eq!(starts(&host.report(3, Grant::New, vec![])), 3);
    assert_eq!(starts(&host.poll(5_000)), 0);
    let first = host.started(Ok(StartState::Started));
    assert_eq!(first, []);
    let end = ended(0, 0, jayfork::version::Outcome::Succeeded);
    let out = host.report(3, Grant::Renewed, vec![entry(TaskState::Succeeded)]);
    assert!(out.contains(&DispatchAction::Append(end)));
    assert_eq!(starts(&out) + starts(&host.poll(1_000)), 1);
}

/// Guards against a second attempt beside the first on one worker (I2): the log may show the first
/// as lost while the worker still runs it.
#[test]
fn second_attempt_waits_for_the_first() {
    let lost = ended(0, 0, jayfork::version::Outcome::Lost);
    let records = vec![accepted(0, START), claimed(0, 0, "w1", 3), lost];
    let mut host = Host::new(records);
    let out = host.report(3, Grant::New, vec![entry(TaskState::Running)]);
    assert!(
        matches!(out[..], [DispatchAction::Command { .. }]),
        "{out:?}"
    );
    host.stream.append("a", vec![claimed(0, 1, "w1", 3)]);
    assert_eq!(starts(&host.poll(1_000)), 0);
    let out = host.report(3, Grant::Renewed, vec![entry(TaskState::Stopped)]);
    assert_eq!(starts(&out) + starts(&host.poll(1_000)), 1);
}

/// Guards against acknowledged ends that are not on the log: the worker would forget them.
#[test]
fn end_is_acknowledged_after_it_is_read() {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    host.report(3, Grant::New, vec![entry(TaskState::Succeeded)]);
    assert_eq!(host.dispatcher.take_acks("w1"), []);
    let end = ended(0, 0, jayfork::version::Outcome::Succeeded);
    host.stream.append("a", vec![end]);
    host.report(3, Grant::Renewed, vec![entry(TaskState::Succeeded)]);
    assert_eq!(host.dispatcher.take_acks("w1").len(), 1);
}

/// Guards against tasks that can never run, or whose customer has no contract, and that keep all
/// later tasks from being looked at.
#[parameterized(
    too_large = { "vltava", Size::new(64_000, 1_024, 0) },
    no_contract = { "biometan", ONE },
)]
fn tasks_that_cannot_run_do_not_block_others(customer: &str, size: Size) {
    let mut stuck = Vec::new();
    for index in 0..2_000 {
        let mut spec = spec(index * 3, START);
        spec.task.customer = customer.into();
        spec.size = size;
        stuck.push(Record::Accepted(Box::new(spec)));
    }
    stuck.push(accepted(9_000, START + 1));
    let mut host = Host::new(stuck);
    host.report(3, Grant::New, vec![]);
    let quotas = HashMap::from([(name("vltava"), AMPLE)]);
    let (none, hosts) = (HashMap::new(), [name("a")]);
    let mut claims = Vec::new();
    for round in 0..30 {
        let mut view = Host::view(&host.stream, &hosts, &none, &quotas);
        view.can_claim = true;
        let now = Millis(100 * round);
        host.dispatcher.poll(now, &view, &mut claims);
    }
    let claimed: Vec<_> = claims
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Append(Record::Claimed { task, .. }) => Some(task.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(claimed, [id(9_000)]);
}
