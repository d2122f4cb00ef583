//! Tests the journal when appends are refused or late, or their answers are lost.

mod records;

use jayfork::base::{Millis, TaskId};
use jayfork::version::{AppendOutcome, Batch, Journal, Ledger, LedgerTiming, Outcome, Record};
use proptest::prelude::*;
use records::*;
use yare::parameterized;

const INTERVAL: Millis = Millis(100);

fn journal() -> Journal {
    Journal::new(name("a"), 1, INTERVAL)
}

/// Tasks of the batch's records, and whether each record is a claim.
fn ids(batch: &Batch) -> Vec<(TaskId, bool)> {
    let id = |record: &Record| match record {
        Record::Claimed { task, .. } => (task.clone(), true),
        Record::Ended { task, .. } => (task.clone(), false),
        other => panic!("unexpected {other:?}"),
    };
    batch.records.iter().map(id).collect()
}

fn end(index: u32) -> Record {
    ended(index, 0, Outcome::Succeeded)
}

fn claim(index: u32) -> Record {
    claimed(index, 0, "w1", 3)
}

/// Guards against one append per record, concurrent appends, and appends in quick succession.
#[test]
fn records_are_grouped() {
    let mut journal = journal();
    assert!(journal.poll(Millis(0)).is_none());
    journal.push(end(0));
    journal.push(end(1));
    let first = journal.poll(Millis(0)).expect("two records");
    assert_eq!(first.records, [end(0), end(1)]);
    journal.push(end(2));
    assert!(
        journal.poll(Millis(150)).is_none(),
        "an append is in flight"
    );
    journal.appended(Millis(10), first.sequence, AppendOutcome::Done);
    assert!(journal.poll(Millis(99)).is_none(), "within the interval");
    let second = journal.poll(Millis(100)).expect("one record");
    assert_eq!(second.records, [end(2)]);
    assert!(second.sequence > first.sequence);
}

/// Guards against a lost record, a repeated claim and a wrong order after an append with each
/// possible outcome.
#[parameterized(
    done = { AppendOutcome::Done, false, &[] },
    refused = { AppendOutcome::Refused, false, &[0, 2] },
    lost_answer = { AppendOutcome::Unknown, false, &[0, 2] },
    lost_answer_after_read_back = { AppendOutcome::Unknown, true, &[] },
    done_after_read_back = { AppendOutcome::Done, true, &[] },
)]
fn records_after_one_append(outcome: AppendOutcome, is_read: bool, repeated: &[u32]) {
    let mut journal = journal();
    journal.push(end(0));
    journal.push(claim(1));
    journal.push(end(2));
    let batch = journal.poll(Millis(0)).expect("three records");
    if is_read {
        journal.confirm(&batch);
    }
    journal.appended(Millis(20), batch.sequence, outcome);
    journal.push(end(3));
    let next = journal.poll(Millis(10_000)).expect("the new record");
    let mut expected: Vec<Record> = repeated.iter().map(|index| end(*index)).collect();
    expected.push(end(3));
    assert_eq!(next.records, expected);
}

/// Guards against records that are appended again although they were read back after the answer to
/// their append was lost.
#[parameterized(
    queued = { false },
    sent_again = { true },
)]
fn records_read_back_are_not_repeated(is_sent_again: bool) {
    let mut journal = journal();
    journal.push(end(0));
    let first = journal.poll(Millis(0)).expect("one record");
    journal.appended(Millis(20), first.sequence, AppendOutcome::Unknown);
    if is_sent_again {
        let second = journal.poll(Millis(10_000)).expect("the same record");
        journal.confirm(&first);
        journal.appended(Millis(10_020), second.sequence, AppendOutcome::Unknown);
    } else {
        journal.confirm(&first);
    }
    assert_eq!(journal.backlog(), 0);
    assert!(journal.poll(Millis(60_000)).is_none());
}

/// Guards against a lost record because the batch of another host, process or append is taken for
/// the one read back.
#[parameterized(
    other_host = { |batch: &mut Batch| batch.host = "b".into() },
    other_incarnation = { |batch: &mut Batch| batch.incarnation = 2 },
    other_sequence = { |batch: &mut Batch| batch.sequence += 7 },
)]
fn foreign_batches_confirm_nothing(change: fn(&mut Batch)) {
    let mut journal = journal();
    journal.push(end(0));
    let mut batch = journal.poll(Millis(0)).expect("one record");
    let sequence = batch.sequence;
    change(&mut batch);
    journal.confirm(&batch);
    journal.appended(Millis(20), sequence, AppendOutcome::Unknown);
    journal.confirm(&batch);
    assert_eq!(journal.backlog(), 1);
}

/// Guards against an answer "not run" about a task whose record may still reach the log (I5).
#[parameterized(
    never_sent = { &[], 1 },
    refused = { &[AppendOutcome::Refused], 1 },
    refused_twice = { &[AppendOutcome::Refused, AppendOutcome::Refused], 1 },
    lost_answer = { &[AppendOutcome::Unknown], 0 },
    lost_answer_then_refused = { &[AppendOutcome::Unknown, AppendOutcome::Refused], 0 },
    done = { &[AppendOutcome::Done], 0 },
)]
fn only_records_that_cannot_reach_the_log_are_withdrawn(
    outcomes: &[AppendOutcome],
    expected: usize,
) {
    let mut journal = journal();
    journal.push(end(0));
    let mut now = Millis(0);
    for outcome in outcomes {
        now = now + Millis(10_000);
        let batch = journal.poll(now).expect("one record");
        assert_eq!(
            journal.withdraw(|_| true),
            0,
            "withdrawn while the append is in flight"
        );
        journal.appended(now, batch.sequence, *outcome);
    }
    let may_be_on_log = outcomes.contains(&AppendOutcome::Unknown);
    assert_eq!(journal.may_be_logged(|_| true), may_be_on_log);
    assert_eq!(journal.withdraw(|_| true), expected);
    let is_queued = journal.poll(now + Millis(10_000)).is_some();
    assert_eq!(is_queued, may_be_on_log);
}

/// Guards against more load on a log that refuses appends, and against a long delay that stays
/// after the outage has ended.
#[test]
fn the_retry_delay_doubles_and_ends() {
    let mut journal = journal();
    journal.push(end(0));
    let mut now = Millis(0);
    let mut batch = journal.poll(now).expect("due");
    let mut delays = Vec::new();
    for _ in 0..7 {
        journal.appended(now, batch.sequence, AppendOutcome::Refused);
        assert!(!journal.is_healthy());
        let refused = now;
        batch = loop {
            now = now + Millis(50);
            if let Some(batch) = journal.poll(now) {
                break batch;
            }
        };
        delays.push(now.since(refused).0);
    }
    assert_eq!(delays, [200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
    journal.appended(now, batch.sequence, AppendOutcome::Done);
    assert!(journal.is_healthy());
    journal.push(end(1));
    assert!(journal.poll(now + INTERVAL).is_some());
}

/// Guards against a host that never claims again after an append of only claims has failed.
#[parameterized(
    refused = { AppendOutcome::Refused },
    lost_answer = { AppendOutcome::Unknown },
)]
fn failed_claims_leave_the_journal_usable(outcome: AppendOutcome) {
    let mut journal = journal();
    journal.push(claim(0));
    let batch = journal.poll(Millis(0)).expect("one record");
    journal.appended(Millis(20), batch.sequence, outcome);
    assert!(journal.is_healthy());
    journal.push(claim(1));
    assert!(
        journal.poll(Millis(199)).is_none(),
        "within the retry delay"
    );
    assert!(journal.poll(Millis(220)).is_some());
}

/// What happens to an append and its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Done,
    Refused,
    /// The append has no effect, and the answer is lost.
    Dropped,
    /// The append takes effect, and the answer is lost.
    AnswerLost,
    /// The answer is lost, and the append takes effect after this many further appends.
    Late(u8),
}

#[derive(Debug, Clone)]
enum Step {
    /// Pushes a claim if true, else the end of a run.
    Push(bool),
    Append(Fate),
    /// The host reads at most this many batches.
    Read(usize),
    /// In ms.
    Wait(u64),
    /// The record with this number.
    Withdraw(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        Just(Fate::Done),
        Just(Fate::Refused),
        Just(Fate::Dropped),
        Just(Fate::AnswerLost),
        (0..4u8).prop_map(Fate::Late),
    ];
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Push),
        4 => fate.prop_map(Step::Append),
        2 => (0..3usize).prop_map(Step::Read),
        2 => prop_oneof![Just(50), Just(6_000)].prop_map(Step::Wait),
        1 => (0..20u32).prop_map(Step::Withdraw),
    ]
}

/// A host's journal, the log, and what has happened to the host's records.
struct Model {
    journal: Journal,
    now: Millis,
    pushed: u32,
    log: Vec<Batch>,
    /// Late appends, with the number of appends until they take effect.
    late: Vec<(u8, Batch)>,
    /// Number of batches that the host has read.
    read: usize,
    /// Tasks whose record was withdrawn from the journal.
    withdrawn: Vec<TaskId>,
    /// Task of each claim that was appended.
    claims: Vec<TaskId>,
}

impl Model {
    fn new() -> Self {
        Model {
            journal: journal(),
            now: Millis(0),
            pushed: 0,
            log: Vec::new(),
            late: Vec::new(),
            read: 0,
            withdrawn: Vec::new(),
            claims: Vec::new(),
        }
    }

    fn append(&mut self, fate: Fate) {
        let Some(batch) = self.journal.poll(self.now) else {
            return;
        };
        let claims = ids(&batch).into_iter().filter(|(_, claim)| *claim);
        self.claims.extend(claims.map(|(id, _)| id));
        let sequence = batch.sequence;
        for (wait, _) in &mut self.late {
            *wait = wait.saturating_sub(1);
        }
        match fate {
            Fate::Done | Fate::AnswerLost => self.log.push(batch),
            Fate::Late(wait) => self.late.push((wait, batch)),
            Fate::Refused | Fate::Dropped => {}
        }
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(wait, _)| *wait == 0);
        self.late = late;
        let due: Vec<(u8, Batch)> = due;
        self.log.extend(due.into_iter().map(|(_, batch)| batch));
        let outcome = match fate {
            Fate::Done => AppendOutcome::Done,
            Fate::Refused => AppendOutcome::Refused,
            _ => AppendOutcome::Unknown,
        };
        self.journal.appended(self.now, sequence, outcome);
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Push(is_claim) => {
                let index = self.pushed * 3;
                self.pushed += 1;
                self.journal
                    .push(if *is_claim { claim(index) } else { end(index) });
            }
            Step::Append(fate) => self.append(*fate),
            Step::Read(count) => {
                let until = (self.read + count).min(self.log.len());
                for batch in &self.log[self.read..until] {
                    self.journal.confirm(batch);
                }
                self.read = until;
            }
            Step::Wait(time) => self.now = self.now + Millis(*time),
            Step::Withdraw(index) => {
                let wanted = id(*index * 3);
                let is_wanted = |record: &Record| match record {
                    Record::Claimed { task, .. } | Record::Ended { task, .. } => *task == wanted,
                    _ => false,
                };
                if self.journal.withdraw(is_wanted) > 0 {
                    self.withdrawn.push(wanted);
                }
            }
        }
    }

    fn is_on_log(&self, id: &TaskId) -> bool {
        let all = self
            .log
            .iter()
            .chain(self.late.iter().map(|(_, batch)| batch));
        all.flat_map(ids).any(|(other, _)| other == *id)
    }
}

/// The environment variable `PROPTEST_CASES` replaces the number of cases.
fn config(default: u32) -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(default),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Guards against lost records, claims that are appended twice, and withdrawn records on the
    /// log, under random sequences of failed and late appends.
    #[test]
    fn no_record_is_lost(steps in prop::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        let mut kinds = Vec::new();
        for step in &steps {
            if let Step::Push(is_claim) = step {
                kinds.push(*is_claim);
            }
            model.run(step);
        }
        for _ in 0..20 {
            model.run(&Step::Wait(6_000));
            model.run(&Step::Append(Fate::Done));
            model.run(&Step::Read(100));
        }
        prop_assert_eq!(model.journal.backlog(), 0);
        for (index, is_claim) in kinds.iter().enumerate() {
            let id = id(index as u32 * 3);
            let is_withdrawn = model.withdrawn.contains(&id);
            prop_assert!(!is_withdrawn || !model.is_on_log(&id), "{} was withdrawn and appended", id);
            prop_assert!(*is_claim || is_withdrawn || model.is_on_log(&id), "{} was lost", id);
            let appends = model.claims.iter().filter(|other| **other == id).count();
            prop_assert!(appends <= 1, "claim of {} was appended {} times", id, appends);
        }
    }
}

/// Guards against records that take effect twice because they were appended again after the answer
/// was lost.
#[test]
fn a_repeated_batch_takes_effect_once() {
    let mut journal = journal();
    let mut ledger = Ledger::new(LedgerTiming::default());
    journal.push(accepted(0, START));
    journal.push(claim(0));
    journal.push(ended(0, 0, Outcome::Failed));
    let first = journal.poll(Millis(0)).expect("records");
    journal.appended(Millis(20), first.sequence, AppendOutcome::Unknown);
    let second = journal.poll(Millis(10_000)).expect("records again");
    ledger.apply(jayfork::base::Offset(0), START, Millis(0), &first);
    ledger.apply(jayfork::base::Offset(1), START, Millis(0), &second);
    assert_eq!(state(&ledger, 0), "pending 1 failed x1");
}
