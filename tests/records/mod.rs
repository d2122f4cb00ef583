//! Builders of log records, and a log with one ledger that reads it.

#![allow(dead_code)]

use jayfork::base::{Attempt, Millis, Name, Offset, Size, TaskId, Token};
use jayfork::version::{
    Batch, Ledger, LedgerTiming, Outcome, Phase, QuotaCheck, Record, TaskChange, TaskSpec,
};

/// Log time of the first batch, in ms since the Unix epoch.
pub const START: u64 = 1_700_000_000_000;
/// Half of the default `LedgerTiming::dedupe`, in ms.
pub const HALF_HOUR: u64 = 1_800_000;
/// A quota that no test exceeds.
pub const AMPLE_QUOTA: Size = Size::new(1_000_000, 1_000_000, 0);
/// Declared size of every task.
pub const TASK_SIZE: Size = Size::new(1_000, 1_024, 0);

pub fn name(text: &str) -> Name {
    text.into()
}

pub fn id(index: u32) -> TaskId {
    TaskId::new("vltava", "merge", index)
}

/// Task `index`. Tasks 0, 3, … are restartable, 1, 4, … at-most-once, and 2, 5, … watchers.
pub fn spec(index: u32, accepted: u64) -> TaskSpec {
    TaskSpec {
        task: id(index),
        class: name("merges"),
        size: TASK_SIZE,
        run: 1_000,
        priority: 5,
        max_attempts: 2,
        at_most_once: index % 3 == 1,
        watcher: index % 3 == 2,
        accepted,
    }
}

pub fn accepted(index: u32, time: u64) -> Record {
    Record::Accepted(Box::new(spec(index, time)))
}

pub fn check(quota: Size, as_of: Offset, as_of_time: u64) -> QuotaCheck {
    QuotaCheck {
        quota,
        claimed: Size::ZERO,
        size: TASK_SIZE,
        as_of,
        as_of_time,
    }
}

pub fn claimed(index: u32, attempt: u32, worker: &str, token: u64) -> Record {
    Record::Claimed {
        task: id(index),
        attempt: Attempt(attempt),
        worker: name(worker),
        incarnation: 7,
        token: Token(token),
        quota: check(AMPLE_QUOTA, Offset(0), START),
    }
}

pub fn adopted(attempt: u32, worker: &str, token: u64) -> Record {
    Record::Adopted {
        task: id(0),
        attempt: Attempt(attempt),
        worker: name(worker),
        token: Token(token),
    }
}

pub fn released(index: u32, attempt: u32, token: u64) -> Record {
    Record::Released {
        task: id(index),
        attempt: Attempt(attempt),
        token: Token(token),
    }
}

pub fn checkpointed(index: u32, attempt: u32) -> Record {
    Record::Checkpointed {
        task: id(index),
        attempt: Attempt(attempt),
        checkpoint: name("saved"),
    }
}

pub fn ended(index: u32, attempt: u32, outcome: Outcome) -> Record {
    Record::Ended {
        task: id(index),
        attempt: Attempt(attempt),
        outcome,
    }
}

pub fn cancel(index: u32) -> Record {
    Record::CancelRequested { task: id(index) }
}

pub fn suspected(worker: &str, host: &str) -> Record {
    Record::Suspected {
        worker: name(worker),
        host: name(host),
    }
}

pub fn held(worker: &str) -> Record {
    Record::Held {
        worker: name(worker),
        host: name("b"),
    }
}

pub fn lost(worker: &str, suspected: u64) -> Record {
    Record::WorkerLost {
        worker: name(worker),
        suspected: Offset(suspected),
    }
}

pub fn batch(host: &str, records: Vec<Record>) -> Batch {
    Batch {
        host: name(host),
        incarnation: 1,
        sequence: 1,
        records,
    }
}

/// A log, and a ledger that has read all of it.
pub struct Stream {
    pub ledger: Ledger,
    /// Batches with their log times.
    pub log: Vec<(u64, Batch)>,
    /// Log time of the next batch, in ms since the Unix epoch.
    pub time: u64,
}

impl Stream {
    pub fn new() -> Self {
        Stream {
            ledger: Ledger::new(LedgerTiming::default()),
            log: Vec::new(),
            time: START,
        }
    }

    pub fn append(&mut self, host: &str, records: Vec<Record>) -> Vec<TaskChange> {
        self.push(batch(host, records))
    }

    pub fn push(&mut self, batch: Batch) -> Vec<TaskChange> {
        let offset = Offset(self.log.len() as u64);
        let changes = self.ledger.apply(offset, self.time, Millis(0), &batch);
        self.log.push((self.time, batch));
        changes
    }

    pub fn state(&self, index: u32) -> String {
        state(&self.ledger, index)
    }
}

/// Summary of a task's state: phase, attempt, worker, token, failures, checkpoint, cancellation.
pub fn state(ledger: &Ledger, index: u32) -> String {
    let Some(task) = ledger.task(&id(index)) else {
        return "unknown".into();
    };
    let mut text = match &task.phase {
        Phase::Pending { next } => format!("pending {}", next.0),
        Phase::Claimed {
            attempt,
            worker,
            token,
            ..
        } => format!("claimed {} {worker} t{}", attempt.0, token.0),
        Phase::Done { attempt, result } => format!("{result:?} {}", attempt.0).to_lowercase(),
    };
    if task.failures > 0 {
        text += &format!(" failed x{}", task.failures);
    }
    if task.checkpoint.is_some() {
        text += " saved";
    }
    if task.cancelled {
        text += " cancelled";
    }
    text
}

/// Records that bring task 0, a restartable task, into the named state.
///
/// In `cancelling` the task is claimed and its cancellation requested; in `second` it is claimed for
/// a second attempt.
pub fn records_until(state: &str) -> Vec<Record> {
    let mut records = vec![accepted(0, START)];
    match state {
        "unknown" => return Vec::new(),
        "pending" => {}
        "claimed" => records.push(claimed(0, 0, "w1", 3)),
        "cancelling" => records.extend([claimed(0, 0, "w1", 3), cancel(0)]),
        "second" => records.extend([
            claimed(0, 0, "w1", 3),
            ended(0, 0, Outcome::Failed),
            claimed(0, 1, "w1", 3),
        ]),
        "done" => records.extend([claimed(0, 0, "w1", 3), ended(0, 0, Outcome::Succeeded)]),
        other => panic!("unknown state {other}"),
    }
    records
}
