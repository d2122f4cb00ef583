//! Compares readers that start in the middle of a stream with readers of the whole stream.

mod records;

use jayfork::base::{Millis, Offset, Size, TaskId, Token};
use jayfork::version::{Ledger, LedgerTiming, Outcome, Phase, Record, TaskSpec};
use proptest::prelude::*;
use records::*;
use yare::parameterized;

/// Guards against readers that remove a finished task at different positions of the log. Only some
/// of them would then accept a repeated submission.
#[test]
fn all_readers_remove_a_finished_task_at_the_same_position() {
    let mut stream = Stream::new();
    stream.append("a", vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    stream.append("a", vec![]);
    stream.time += HALF_HOUR + 1;
    stream.append("a", vec![]);
    let restated = stream.ledger.restate(&id(0)).expect("a live task");
    stream.time += 60_000;
    stream.append("a", vec![ended(0, 0, Outcome::Succeeded)]);
    let end = stream.time;
    stream.time += 600_000;
    stream.append("b", vec![Record::Restated(Box::new(restated))]);
    let mut late = Ledger::new(LedgerTiming::default());
    // This reader meets the end before the restatement, so it replays the end later than its log
    // time.
    late.reset_to(Offset(1));
    for (offset, (time, batch)) in stream.log.iter().enumerate().skip(1) {
        late.apply(Offset(offset as u64), *time, Millis(0), batch);
    }
    let mut known = Vec::new();
    for step in 0..8 {
        stream.time = end + 3_600_000 - 4 + step;
        let offset = Offset(stream.log.len() as u64);
        stream.append("a", vec![]);
        late.apply(offset, stream.time, Millis(0), &batch("a", vec![]));
        known.push((stream.state(0), state(&late, 0)));
    }
    let both = |state: &str| (state.to_owned(), state.to_owned());
    let mut expected = vec![both("succeeded 0"); 4];
    expected.extend(vec![both("unknown"); 4]);
    assert_eq!(known, expected);
}

/// Appends `tail` after a claim of task 0; returns the stream and a ledger that missed the claim.
///
/// Restatements in `tail` are replaced by one of the state before `tail`.
fn late_reader(tail: Vec<(&str, Vec<Record>)>) -> (Stream, Ledger) {
    let mut stream = Stream::new();
    stream.append("a", vec![accepted(0, START), claimed(0, 0, "w1", 3)]);
    stream.append("a", vec![]);
    let mut late = Ledger::new(LedgerTiming::default());
    late.reset_to(Offset(1));
    late.apply(Offset(1), START, Millis(0), &batch("a", vec![]));
    stream.time += HALF_HOUR + 1;
    stream.append("a", vec![]);
    let restated = Record::Restated(Box::new(stream.ledger.restate(&id(0)).expect("live")));
    for (host, mut records) in tail {
        for record in &mut records {
            if matches!(record, Record::Restated(_)) {
                *record = restated.clone();
            }
        }
        stream.append(host, records);
    }
    for (offset, (time, batch)) in stream.log.iter().enumerate().skip(2) {
        late.apply(Offset(offset as u64), *time, Millis(0), batch);
    }
    (stream, late)
}

/// Placeholder that `late_reader` replaces by a restatement of task 0.
fn restated() -> Record {
    let mut stream = Stream::new();
    stream.append("a", records_until("pending"));
    Record::Restated(Box::new(stream.ledger.restate(&id(0)).expect("live")))
}

/// Guards against a late reader that, when it reads a restatement, skips an earlier record or loss
/// of the task, or applies one twice. It would start a task that runs elsewhere (I2).
#[parameterized(
    no_other_record = { vec![("a", vec![restated()])], "claimed 0 w1 t3" },
    end_before = {
        vec![("a", vec![ended(0, 0, Outcome::Lost)]), ("b", vec![restated()])], "pending 1"
    },
    end_before_in_same_batch = {
        vec![("a", vec![ended(0, 0, Outcome::Lost), restated()])], "pending 1"
    },
    end_after_in_same_batch = {
        vec![("a", vec![restated(), ended(0, 0, Outcome::Lost)])], "pending 1"
    },
    loss_before = {
        vec![("a", vec![suspected("w1", "a")]), ("a", vec![lost("w1", 3)]), ("b", vec![restated()])],
        "pending 1"
    },
    loss_before_in_same_batch = {
        vec![("a", vec![suspected("w1", "a")]), ("a", vec![lost("w1", 3), restated()])],
        "pending 1"
    },
    two_losses_in_one_batch = {
        vec![
            ("a", vec![suspected("w1", "a"), suspected("w2", "a")]),
            ("a", vec![lost("w1", 3), lost("w2", 3)]),
            ("b", vec![restated()]),
        ],
        "pending 1"
    },
    two_restatements = { vec![("a", vec![restated()]), ("b", vec![restated()])], "claimed 0 w1 t3" },
    end_between_two_restatements = {
        vec![
            ("a", vec![restated()]),
            ("a", vec![ended(0, 0, Outcome::Succeeded)]),
            ("b", vec![restated()]),
        ],
        "succeeded 0"
    },
)]
fn a_late_reader_replays_the_records_around_a_restatement(
    tail: Vec<(&str, Vec<Record>)>,
    expected: &str,
) {
    let (stream, late) = late_reader(tail);
    assert_eq!(stream.state(0), expected);
    assert_eq!(state(&late, 0), expected);
}

/// A record to append.
#[derive(Debug, Clone)]
enum Op {
    Accept(u32),
    Claim {
        index: u32,
        worker: u32,
        token: u64,
        /// Whether the lagging writer appends it.
        lagging: bool,
    },
    Adopt {
        index: u32,
        token: u64,
    },
    Release {
        index: u32,
        token: u64,
    },
    Checkpoint(u32),
    End(u32, u8),
    Cancel(u32),
    Suspect(u32),
    Held(u32),
    Lose(u32),
    Restate {
        index: u32,
        lagging: bool,
    },
}

#[derive(Debug, Clone)]
enum Step {
    Append(u8, Vec<Op>),
    /// Appends one of the last ten batches again.
    Repeat(usize),
    Wait(u64),
    /// The lagging writer reads to the end of the log.
    CatchUp,
}

const TASKS: u32 = 6;

fn op() -> impl Strategy<Value = Op> {
    let (index, worker, token) = (0..TASKS, 0..3u32, 1..4u64);
    prop_oneof![
        3 => index.clone().prop_map(Op::Accept),
        4 => (index.clone(), worker.clone(), token.clone(), any::<bool>()).prop_map(
            |(index, worker, token, lagging)| Op::Claim { index, worker, token, lagging }),
        1 => (index.clone(), token.clone()).prop_map(|(index, token)| Op::Adopt { index, token }),
        2 => (index.clone(), token).prop_map(|(index, token)| Op::Release { index, token }),
        1 => index.clone().prop_map(Op::Checkpoint),
        2 => (index.clone(), 0..4u8).prop_map(|(index, outcome)| Op::End(index, outcome)),
        1 => index.clone().prop_map(Op::Cancel),
        2 => worker.clone().prop_map(Op::Suspect),
        1 => worker.clone().prop_map(Op::Held),
        2 => worker.prop_map(Op::Lose),
        2 => (index, any::<bool>()).prop_map(|(index, lagging)| Op::Restate { index, lagging }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2u8, prop::collection::vec(op(), 1..4)).prop_map(|(h, ops)| Step::Append(h, ops)),
        2 => (0..10usize).prop_map(Step::Repeat),
        3 => prop_oneof![Just(1_000), Just(60_000), Just(700_000)].prop_map(Step::Wait),
        1 => Just(Step::CatchUp),
    ]
}

/// A log with a writer that has read all of it and one that lags behind.
struct Writers {
    stream: Stream,
    lagging: Ledger,
}

impl Writers {
    fn ledger(&self, lagging: bool) -> &Ledger {
        if lagging {
            &self.lagging
        } else {
            &self.stream.ledger
        }
    }

    fn attempt(&self, index: u32) -> u32 {
        match self.stream.ledger.task(&id(index)).map(|task| &task.phase) {
            Some(Phase::Pending { next }) => next.0,
            Some(Phase::Claimed { attempt, .. } | Phase::Done { attempt, .. }) => attempt.0,
            None => 0,
        }
    }

    fn record(&self, host: &str, op: &Op) -> Option<Record> {
        let worker = |n: u32| format!("w{n}");
        let record = match *op {
            Op::Accept(index) => {
                // A host accepts a task only if it has read the log recently and the task isn't there.
                let is_recent = self.lagging.time() + HALF_HOUR / 2 >= self.stream.time;
                if self.ledger(is_recent).task(&id(index)).is_some() {
                    return None;
                }
                accepted(index, self.stream.time)
            }
            Op::Claim {
                index,
                worker: on,
                token,
                lagging,
            } => {
                let mut record = claimed(index, self.attempt(index), &worker(on), token);
                if let Record::Claimed { quota, .. } = &mut record {
                    let spec = spec(index, 0);
                    let limit = Size::new(3_000, 3_072, 0);
                    *quota = self.ledger(lagging).quota_check(&spec, limit);
                }
                record
            }
            Op::Adopt { index, token } => match &self.stream.ledger.task(&id(index))?.phase {
                Phase::Claimed {
                    attempt, worker, ..
                } => Record::Adopted {
                    task: id(index),
                    attempt: *attempt,
                    worker: worker.clone(),
                    token: Token(token),
                },
                _ => return None,
            },
            Op::Release { index, token } => released(index, self.attempt(index), token),
            Op::Checkpoint(index) => checkpointed(index, self.attempt(index)),
            Op::End(index, outcome) => {
                let outcomes = [Outcome::Succeeded, Outcome::Failed, Outcome::Lost];
                let outcome = outcomes.get(usize::from(outcome)).copied();
                let outcome = outcome.unwrap_or(Outcome::Cancelled);
                ended(index, self.attempt(index), outcome)
            }
            Op::Cancel(index) => cancel(index),
            Op::Suspect(on) => suspected(&worker(on), host),
            Op::Held(on) => held(&worker(on)),
            Op::Lose(on) => {
                let open = self.stream.ledger.suspicions().get(worker(on).as_str())?;
                lost(&worker(on), open.offset.0)
            }
            Op::Restate { index, lagging } => {
                Record::Restated(Box::new(self.ledger(lagging).restate(&id(index))?))
            }
        };
        Some(record)
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Append(host, ops) => {
                let host = ["a", "b"][usize::from(*host)];
                let records = ops.iter().filter_map(|op| self.record(host, op)).collect();
                self.stream.append(host, records);
            }
            Step::Repeat(back) => {
                let index = self.stream.log.len().checked_sub(back + 1);
                if let Some((_, batch)) = index.map(|index| self.stream.log[index].clone()) {
                    self.stream.push(batch);
                }
            }
            Step::Wait(time) => self.stream.time += time,
            Step::CatchUp => {
                let next = self.lagging.next().0 as usize;
                for (offset, (time, batch)) in self.stream.log.iter().enumerate().skip(next) {
                    self.lagging
                        .apply(Offset(offset as u64), *time, Millis(0), batch);
                }
            }
        }
    }
}

/// The part of a task's state on which all readers must agree.
fn task_view(ledger: &Ledger, index: u32) -> Option<(TaskSpec, String, u64)> {
    let task = ledger.task(&id(index))?;
    let change_time = if task.is_done() { task.change_time } else { 0 };
    Some(((*task.spec).clone(), state(ledger, index), change_time))
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
    #![proptest_config(config(2_000))]

    /// Guards against hosts that disagree on a task because one of them started after the beginning
    /// of the stream had expired. They could run the task in two places, resume it twice, or repeat
    /// an at-most-once task (I2, I3, I6).
    #[test]
    fn late_reader_agrees(
        before_cut in prop::collection::vec(step(), 1..40),
        before_restatement in prop::collection::vec(step(), 1..60),
        after_restatement in prop::collection::vec(step(), 0..30),
    ) {
        let mut writers = Writers {
            stream: Stream::new(),
            lagging: Ledger::new(LedgerTiming::default()),
        };
        before_cut.iter().for_each(|step| writers.run(step));
        let cut = writers.stream.log.len().max(1);
        writers.stream.append("a", vec![]);
        if writers.stream.log.len() == 1 {
            writers.stream.append("a", vec![]);
        }
        let end_of_ambiguity = writers.stream.time + HALF_HOUR;
        before_restatement.iter().for_each(|step| writers.run(step));
        writers.stream.time = writers.stream.time.max(end_of_ambiguity);
        writers.stream.append("a", vec![]);
        // Within the retention every live task is restated once.
        let restated = (0..TASKS).filter_map(|index| writers.stream.ledger.restate(&id(index)));
        let restated = restated.map(|task| Record::Restated(Box::new(task))).collect();
        writers.stream.append("b", restated);
        after_restatement.iter().for_each(|step| writers.run(step));

        let full = &writers.stream.ledger;
        let mut late = Ledger::new(LedgerTiming::default());
        late.reset_to(Offset(cut as u64));
        for (offset, (time, batch)) in writers.stream.log.iter().enumerate().skip(cut) {
            late.apply(Offset(offset as u64), *time, Millis(0), batch);
        }
        for index in 0..TASKS {
            let is_live = full.task(&id(index)).is_some_and(|task| !task.is_done());
            if is_live || late.task(&id(index)).is_some() {
                prop_assert_eq!(task_view(&late, index), task_view(full, index), "task {}", index);
            }
        }
        prop_assert_eq!(late.claimed_size("vltava"), full.claimed_size("vltava"));
        for worker in ["w0", "w1", "w2"] {
            let on = |ledger: &Ledger| -> Vec<TaskId> {
                ledger.claimed_on(worker).map(|(id, _)| id.clone()).collect()
            };
            prop_assert_eq!(on(&late), on(full));
        }
    }

    /// Guards against a batch that takes effect twice. A host that got no answer to an append sends
    /// the records again, in the same order and after records of other hosts.
    #[test]
    fn a_repeated_batch_has_no_effect(
        steps in prop::collection::vec(step(), 1..60),
        back in 0..5usize,
    ) {
        let mut writers = Writers {
            stream: Stream::new(),
            lagging: Ledger::new(LedgerTiming::default()),
        };
        steps.iter().for_each(|step| writers.run(step));
        let count = writers.stream.log.len();
        let Some((_, mut batch)) = count.checked_sub(back + 1).map(|n| writers.stream.log[n].clone())
        else {
            return Ok(());
        };
        // Claims are never repeated; suspicions and their answers may take effect again.
        batch.records.retain(|record| matches!(record,
            Record::Accepted(_) | Record::Adopted { .. } | Record::Released { .. }
            | Record::Checkpointed { .. } | Record::Ended { .. } | Record::CancelRequested { .. }));
        let before: Vec<_> = (0..TASKS).map(|index| writers.stream.state(index)).collect();
        writers.stream.push(batch.clone());
        let after_one: Vec<_> = (0..TASKS).map(|index| writers.stream.state(index)).collect();
        let again = writers.stream.push(batch);
        let after_two: Vec<_> = (0..TASKS).map(|index| writers.stream.state(index)).collect();
        prop_assert_eq!(&after_one, &after_two);
        prop_assert_eq!(again, vec![]);
        let is_done = |state: &String| !state.starts_with("pending") && !state.starts_with("claimed");
        for (before, after) in before.iter().zip(&after_two) {
            let is_removed = after == "unknown";
            prop_assert!(!is_done(before) || before == "unknown" || is_removed || before == after);
        }
    }
}
