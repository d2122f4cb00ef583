//! Dispatcher of one host: adopted claims, late answers and capacity of a worker.

mod records;

use std::collections::HashMap;

use jayfork::base::{Attempt, Millis, Name, Size, Token};
use jayfork::connection::wire::{StartState, TaskEntry, TaskState, WorkerReport};
use jayfork::connection::{Error, Grant, Lease, StartError};
use jayfork::request::{DispatchAction, DispatchView, Dispatcher, HeldWorker};
use jayfork::version::Record;
use records::*;
use yare::parameterized;

/// A dispatcher, the log that it reads and the host's clock.
struct Host {
    dispatcher: Dispatcher,
    stream: Stream,
    now: Millis,
}

/// The result of a start whose answer was lost.
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

    /// Handles a report of worker `w1` under the lease with this token.
    fn handle_report(
        &mut self,
        token: u64,
        grant: Grant,
        tasks: Vec<TaskEntry>,
    ) -> Vec<DispatchAction> {
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

    /// Polls the dispatcher after `elapsed` ms.
    fn poll(&mut self, elapsed: u64) -> Vec<DispatchAction> {
        self.now = self.now + Millis(elapsed);
        let (none, quotas) = (HashMap::new(), HashMap::new());
        let view = Host::view(&self.stream, &[], &none, &quotas);
        let mut out = Vec::new();
        self.dispatcher.poll(self.now, &view, &mut out);
        out
    }

    /// Answers the start of task 0 on worker `w1`.
    fn start_answered(&mut self, result: Result<StartState, StartError>) -> Vec<DispatchAction> {
        let mut out = Vec::new();
        let (task, attempt) = (id(0), Attempt(0));
        self.dispatcher
            .start_answered(self.now, "w1", &task, attempt, result, &mut out);
        out
    }
}

fn count_starts(actions: &[DispatchAction]) -> usize {
    let is_start = |action: &&DispatchAction| matches!(action, DispatchAction::Start { .. });
    actions.iter().filter(is_start).count()
}

fn count_releases(actions: &[DispatchAction]) -> usize {
    let is_release = |action: &&DispatchAction| {
        matches!(action, DispatchAction::Append(Record::Released { .. }))
    };
    actions.iter().filter(is_release).count()
}

/// Entry of task 0 in a worker's report.
fn report_entry(state: TaskState) -> TaskEntry {
    TaskEntry {
        task: id(0).to_string(),
        attempt: Attempt(0),
        state,
        size: TASK_SIZE,
        usage: None,
        checkpoint: None,
    }
}

/// Guards against a task that runs twice (I2): the holder of an earlier lease may still release the
/// claim, so the new holder must read back its own adoption before the start.
#[test]
fn claim_of_an_earlier_lease_is_adopted_first() {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    let out = host.handle_report(4, Grant::New, vec![]);
    assert_eq!(out, [DispatchAction::Append(adopted(0, "w1", 4))]);
    assert_eq!(host.poll(1_000), [], "adopted twice or started");
    host.stream.append("a", vec![adopted(0, "w1", 4)]);
    assert_eq!(count_starts(&host.poll(1_000)), 1);
}

/// Guards against a host that starts or ends an attempt of a later lease holder, because it has not
/// yet learned that its own lease is lost (I2).
#[test]
fn claim_of_a_later_lease_is_not_touched() {
    let mut host = Host::new(vec![accepted(0, START)]);
    host.handle_report(2, Grant::New, vec![]);
    let mut claim = claimed(0, 0, "w1", 3);
    if let Record::Claimed { incarnation, .. } = &mut claim {
        *incarnation = 8;
    }
    host.stream.append("b", vec![claim]);
    assert_eq!(host.poll(1_000), []);
}

/// Guards against a release of an attempt that may be starting (I2, I5): the late failure of a
/// start under an earlier lease must not count as the answer to the current start.
#[parameterized(
    start_failed = { StartError::StartFailed },
    no_capacity = { StartError::NoCapacity },
)]
fn late_answer_of_an_earlier_lease(answer: StartError) {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    assert_eq!(count_starts(&host.handle_report(3, Grant::New, vec![])), 1);
    host.handle_report(4, Grant::New, vec![]);
    host.stream.append("a", vec![adopted(0, "w1", 4)]);
    assert_eq!(count_starts(&host.poll(1_000)), 1);
    assert_eq!(host.start_answered(Err(answer)), []);
    host.stream.append("a", vec![cancel(0)]);
    assert_eq!(count_releases(&host.poll(10_000)), 0);
    assert_eq!(count_releases(&host.poll(10_000)), 0);
}

/// Guards against a release, which says "not run", of an attempt that may still run (I5): after a
/// lost answer, an earlier start may reach the worker after the one that failed.
#[parameterized(
    start_failed = { Ok(()), StartError::StartFailed, 1 },
    start_failed_after_lost_answer = { Err(()), StartError::StartFailed, 0 },
    no_capacity_after_lost_answer = { Err(()), StartError::NoCapacity, 0 },
)]
fn release_after_start(first: Result<(), ()>, second: StartError, expected: usize) {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    assert_eq!(count_starts(&host.handle_report(3, Grant::New, vec![])), 1);
    if first.is_err() {
        host.start_answered(Err(lost_answer()));
        assert_eq!(count_starts(&host.poll(1_000)), 1);
    }
    let mut released = count_releases(&host.start_answered(Err(second)));
    host.stream.append("a", vec![cancel(0)]);
    released += count_releases(&host.poll(100));
    assert_eq!(released, expected);
}

/// Guards against a release of an attempt whose start was forgotten (I5): the dispatcher dropped
/// the worker and tracks it again under the same token.
#[test]
fn start_before_the_worker_was_removed() {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    assert_eq!(count_starts(&host.handle_report(3, Grant::New, vec![])), 1);
    host.dispatcher.remove_worker("w1");
    host.stream.append("a", vec![cancel(0)]);
    assert_eq!(
        count_releases(&host.handle_report(3, Grant::Renewed, vec![])),
        0
    );
}

/// Guards against a release or a start of an attempt that has already run (I5): the worker reported
/// its end before this host read its claim.
#[test]
fn end_reported_before_the_claim_was_read() {
    let mut host = Host::new(vec![]);
    host.handle_report(4, Grant::New, vec![report_entry(TaskState::Failed)]);
    let records = vec![accepted(0, START), claimed(0, 0, "w1", 3), cancel(0)];
    host.stream.append("b", records);
    assert_eq!(host.poll(1_000), []);
    let out = host.handle_report(4, Grant::Renewed, vec![report_entry(TaskState::Failed)]);
    let end = ended(0, 0, jayfork::version::Outcome::Failed);
    assert_eq!(out, [DispatchAction::Append(end)]);
}

/// Guards against more starts than the worker has capacity for, when its claims together exceed it
/// (I1), and against a claim that isn't started once a task has ended.
#[test]
fn claims_wait_for_capacity() {
    let tasks = [0, 3, 6, 9, 12];
    let mut records: Vec<Record> = tasks.iter().map(|n| accepted(*n, START)).collect();
    records.extend(tasks.iter().map(|n| claimed(*n, 0, "w1", 3)));
    let mut host = Host::new(records);
    // Batch tasks may reserve 80% of the four cores, which is enough for three tasks.
    assert_eq!(count_starts(&host.handle_report(3, Grant::New, vec![])), 3);
    assert_eq!(count_starts(&host.poll(5_000)), 0);
    let first = host.start_answered(Ok(StartState::Started));
    assert_eq!(first, []);
    let end = ended(0, 0, jayfork::version::Outcome::Succeeded);
    let out = host.handle_report(3, Grant::Renewed, vec![report_entry(TaskState::Succeeded)]);
    assert!(out.contains(&DispatchAction::Append(end)));
    assert_eq!(count_starts(&out) + count_starts(&host.poll(1_000)), 1);
}

/// Guards against two attempts of a task that run on one worker at once (I2): the log shows the
/// first as lost while the worker still runs it.
#[test]
fn second_attempt_waits_for_the_first() {
    let lost = ended(0, 0, jayfork::version::Outcome::Lost);
    let records = vec![accepted(0, START), claimed(0, 0, "w1", 3), lost];
    let mut host = Host::new(records);
    let out = host.handle_report(3, Grant::New, vec![report_entry(TaskState::Running)]);
    assert!(
        matches!(out[..], [DispatchAction::Command { .. }]),
        "{out:?}"
    );
    host.stream.append("a", vec![claimed(0, 1, "w1", 3)]);
    assert_eq!(count_starts(&host.poll(1_000)), 0);
    let out = host.handle_report(3, Grant::Renewed, vec![report_entry(TaskState::Stopped)]);
    assert_eq!(count_starts(&out) + count_starts(&host.poll(1_000)), 1);
}

/// Guards against an end that is lost: the worker forgets an acknowledged end, so the end must be
/// read from the log first.
#[test]
fn end_is_acknowledged_after_it_is_read() {
    let mut host = Host::new(vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    host.handle_report(3, Grant::New, vec![report_entry(TaskState::Succeeded)]);
    assert_eq!(host.dispatcher.take_acks("w1"), []);
    let end = ended(0, 0, jayfork::version::Outcome::Succeeded);
    host.stream.append("a", vec![end]);
    host.handle_report(3, Grant::Renewed, vec![report_entry(TaskState::Succeeded)]);
    assert_eq!(host.dispatcher.take_acks("w1").len(), 1);
}

/// Guards against a blocked queue: tasks that are too large for every worker, or whose customer has
/// no contract, must not keep the tasks behind them from being claimed.
#[parameterized(
    too_large = { "vltava", Size::new(64_000, 1_024, 0) },
    no_contract = { "biometan", TASK_SIZE },
)]
fn tasks_that_cannot_run_do_not_block_others(customer: &str, size: Size) {
    let mut records = Vec::new();
    for index in 0..2_000 {
        let mut spec = spec(index * 3, START);
        spec.task.customer = customer.into();
        spec.size = size;
        records.push(Record::Accepted(Box::new(spec)));
    }
    records.push(accepted(9_000, START + 1));
    let mut host = Host::new(records);
    host.handle_report(3, Grant::New, vec![]);
    let quotas = HashMap::from([(name("vltava"), AMPLE_QUOTA)]);
    let (none, hosts) = (HashMap::new(), [name("a")]);
    let mut actions = Vec::new();
    for round in 0..30 {
        let mut view = Host::view(&host.stream, &hosts, &none, &quotas);
        view.can_claim = true;
        let now = Millis(100 * round);
        host.dispatcher.poll(now, &view, &mut actions);
    }
    let claimed: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Append(Record::Claimed { task, .. }) => Some(task.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(claimed, [id(9_000)]);
}
