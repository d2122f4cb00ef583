//! Tests how a ledger applies the records of a task stream, valid and invalid ones.

mod records;

use jayfork::base::{Offset, Size};
use jayfork::version::{Outcome, Phase, Record, TaskResult};
use records::*;
use yare::parameterized;

/// Guards against a record that takes effect in a phase in which it is not valid.
///
/// A late or repeated record could then start a task a second time, resume it twice, or repeat an
/// at-most-once task (I2, I3, I6).
#[parameterized(
    accepted_unknown = { "unknown", accepted(0, START), "pending 0" },
    accepted_pending = { "pending", accepted(0, START), "pending 0" },
    accepted_claimed = { "claimed", accepted(0, START), "claimed 0 w1 t3" },
    accepted_done = { "done", accepted(0, START), "succeeded 0" },
    accepted_stale = { "unknown", accepted(0, START - HALF_HOUR - 1), "unknown" },
    claimed_unknown = { "unknown", claimed(0, 0, "w1", 3), "unknown" },
    claimed_pending = { "pending", claimed(0, 0, "w2", 1), "claimed 0 w2 t1" },
    claimed_later_attempt = { "pending", claimed(0, 1, "w1", 3), "pending 0" },
    claimed_twice = { "claimed", claimed(0, 0, "w2", 9), "claimed 0 w1 t3" },
    claimed_before_the_end = { "claimed", claimed(0, 1, "w2", 9), "claimed 0 w1 t3" },
    claimed_done = { "done", claimed(0, 1, "w1", 3), "succeeded 0" },
    adopted_unknown = { "unknown", adopted(0, "w1", 4), "unknown" },
    adopted_pending = { "pending", adopted(0, "w1", 4), "pending 0" },
    adopted_newer = { "claimed", adopted(0, "w1", 4), "claimed 0 w1 t4" },
    adopted_same_token = { "claimed", adopted(0, "w1", 3), "claimed 0 w1 t3" },
    adopted_older_token = { "claimed", adopted(0, "w1", 2), "claimed 0 w1 t3" },
    adopted_other_worker = { "claimed", adopted(0, "w2", 4), "claimed 0 w1 t3" },
    adopted_earlier_attempt = { "second", adopted(0, "w1", 4), "claimed 1 w1 t3 failed x1" },
    adopted_done = { "done", adopted(0, "w1", 4), "succeeded 0" },
    released_unknown = { "unknown", released(0, 0, 3), "unknown" },
    released_pending = { "pending", released(0, 0, 3), "pending 0" },
    released_claimed = { "claimed", released(0, 0, 3), "pending 1" },
    released_by_earlier_holder = { "claimed", released(0, 0, 2), "claimed 0 w1 t3" },
    released_cancelling = { "cancelling", released(0, 0, 3), "cancelled 0 cancelled" },
    released_earlier_attempt = { "second", released(0, 0, 3), "claimed 1 w1 t3 failed x1" },
    released_done = { "done", released(0, 0, 3), "succeeded 0" },
    checkpointed_unknown = { "unknown", checkpointed(0, 0), "unknown" },
    checkpointed_pending = { "pending", checkpointed(0, 0), "pending 0" },
    checkpointed_claimed = { "claimed", checkpointed(0, 0), "pending 1 saved" },
    checkpointed_cancelling = { "cancelling", checkpointed(0, 0), "cancelled 0 cancelled" },
    checkpointed_earlier_attempt = { "second", checkpointed(0, 0), "claimed 1 w1 t3 failed x1" },
    checkpointed_done = { "done", checkpointed(0, 0), "succeeded 0" },
    succeeded_unknown = { "unknown", ended(0, 0, Outcome::Succeeded), "unknown" },
    succeeded_pending = { "pending", ended(0, 0, Outcome::Succeeded), "pending 0" },
    succeeded_claimed = { "claimed", ended(0, 0, Outcome::Succeeded), "succeeded 0" },
    succeeded_cancelling = { "cancelling", ended(0, 0, Outcome::Succeeded), "succeeded 0 cancelled" },
    succeeded_earlier_attempt = { "second", ended(0, 0, Outcome::Succeeded), "claimed 1 w1 t3 failed x1" },
    failed_claimed = { "claimed", ended(0, 0, Outcome::Failed), "pending 1 failed x1" },
    failed_last_attempt = { "second", ended(0, 1, Outcome::Failed), "failed 1 failed x2" },
    failed_cancelling = { "cancelling", ended(0, 0, Outcome::Failed), "failed 0 failed x1 cancelled" },
    failed_done = { "done", ended(0, 0, Outcome::Failed), "succeeded 0" },
    lost_claimed = { "claimed", ended(0, 0, Outcome::Lost), "pending 1" },
    lost_cancelling = { "cancelling", ended(0, 0, Outcome::Lost), "cancelled 0 cancelled" },
    lost_done = { "done", ended(0, 0, Outcome::Lost), "succeeded 0" },
    cancelled_cancelling = { "cancelling", ended(0, 0, Outcome::Cancelled), "cancelled 0 cancelled" },
    cancel_unknown = { "unknown", cancel(0), "unknown" },
    cancel_pending = { "pending", cancel(0), "cancelled 0" },
    cancel_claimed = { "claimed", cancel(0), "claimed 0 w1 t3 cancelled" },
    cancel_cancelling = { "cancelling", cancel(0), "claimed 0 w1 t3 cancelled" },
    cancel_done = { "done", cancel(0), "succeeded 0" },
    held_claimed = { "claimed", held("w1"), "claimed 0 w1 t3" },
    suspected_claimed = { "claimed", suspected("w1", "a"), "claimed 0 w1 t3" },
    lost_without_suspicion = { "claimed", lost("w1", 0), "claimed 0 w1 t3" },
)]
fn a_record_takes_effect_only_in_its_phase(state: &str, record: Record, expected: &str) {
    let mut stream = Stream::new();
    stream.append("a", records_until(state));
    stream.append("a", vec![record.clone()]);
    assert_eq!(stream.state(0), expected);
    let again = stream.append("a", vec![record]);
    assert_eq!(
        stream.state(0),
        expected,
        "the repeated record had an effect"
    );
    assert_eq!(again, [], "the repeated record reported a change");
}

/// Guards against an at-most-once task that starts again after an attempt that may have run (I6).
#[parameterized(
    attempt_lost = { vec![ended(1, 0, Outcome::Lost)], "unknown 0" },
    attempt_failed = { vec![ended(1, 0, Outcome::Failed)], "failed 0 failed x1" },
    attempt_released = { vec![released(1, 0, 3)], "pending 1" },
    attempt_checkpointed = { vec![checkpointed(1, 0)], "pending 1 saved" },
    lost_after_checkpoint = {
        vec![checkpointed(1, 0), claimed(1, 1, "w1", 3), ended(1, 1, Outcome::Lost)],
        "unknown 1 saved"
    },
    lost_when_cancelled = { vec![cancel(1), ended(1, 0, Outcome::Lost)], "unknown 0 cancelled" },
    worker_lost = { vec![suspected("w1", "a"), lost("w1", 0)], "unknown 0" },
)]
fn at_most_once_tasks_are_not_repeated(records: Vec<Record>, expected: &str) {
    let mut stream = Stream::new();
    let mut all = vec![accepted(1, START), claimed(1, 0, "w1", 3)];
    all.extend(records);
    stream.append("a", all);
    assert_eq!(stream.state(1), expected);
}

/// Guards against a worker that is declared lost although the holder of its lease has answered: its
/// tasks would start elsewhere while they still run there (I2).
///
/// Also guards against a suspicion of a dead host that keeps the worker from ever being declared
/// lost.
#[parameterized(
    unanswered = { &[(0, "a", suspected("w1", "a")), (45, "a", lost("w1", 1))], "pending 1" },
    answered = {
        &[(0, "a", suspected("w1", "a")), (9, "b", held("w1")), (45, "a", lost("w1", 1))],
        "claimed 0 w1 t3"
    },
    other_worker_answered = {
        &[(0, "a", suspected("w1", "a")), (9, "b", held("w2")), (45, "a", lost("w1", 1))],
        "pending 1"
    },
    suspected_again_after_answer = {
        &[(0, "a", suspected("w1", "a")), (9, "b", held("w1")),
          (20, "a", suspected("w1", "a")), (45, "a", lost("w1", 1))],
        "claimed 0 w1 t3"
    },
    suspicion_of_another_host = {
        &[(0, "a", suspected("w1", "a")), (45, "b", lost("w1", 1))], "claimed 0 w1 t3"
    },
    repeated_suspicion = {
        &[(0, "a", suspected("w1", "a")), (1, "a", suspected("w1", "a")), (45, "a", lost("w1", 1))],
        "pending 1"
    },
    suspicion_expired = {
        &[(0, "a", suspected("w1", "a")), (181, "a", lost("w1", 1))], "claimed 0 w1 t3"
    },
    second_host_after_the_first_died = {
        &[(0, "a", suspected("w1", "a")), (181, "b", suspected("w1", "b")),
          (226, "b", lost("w1", 2))],
        "pending 1"
    },
    wrong_offset = { &[(0, "a", suspected("w1", "a")), (45, "a", lost("w1", 0))], "claimed 0 w1 t3" },
)]
fn only_an_unanswered_suspicion_loses_a_worker(records: &[(u64, &str, Record)], expected: &str) {
    let mut stream = Stream::new();
    stream.append("a", records_until("claimed"));
    for (seconds, host, record) in records {
        stream.time = START + seconds * 1_000;
        stream.append(host, vec![record.clone()]);
    }
    assert_eq!(stream.state(0), expected);
}

/// Guards against a suspicion that stays listed after its writer died. It would keep other hosts
/// from suspecting the worker.
#[test]
fn an_expired_suspicion_is_not_listed() {
    let mut stream = Stream::new();
    stream.append("a", vec![suspected("w1", "a")]);
    assert_eq!(stream.ledger.suspicions().len(), 1);
    stream.time += 100_000;
    stream.append("b", vec![suspected("w1", "b")]);
    assert_eq!(&*stream.ledger.suspicions()["w1"].host, "a");
    stream.time += 90_000;
    stream.append("b", vec![]);
    assert_eq!(&*stream.ledger.suspicions()["w1"].host, "b");
    stream.time += 100_000;
    stream.append("b", vec![]);
    assert!(stream.ledger.suspicions().is_empty());
}

/// Guards against a customer that exceeds its quota because several hosts claim tasks at the same
/// time. Each pair is the number of claims that the writer of a claim has read and the number that
/// it counted.
#[parameterized(
    racing = { &[(0, 0), (0, 0), (0, 0)], 2 },
    all_counted_by_writer = { &[(0, 0), (1, 1), (2, 2)], 2 },
    some_counted_by_writer = { &[(0, 0), (0, 0), (1, 1)], 2 },
    late_claim_with_old_count = { &[(0, 0), (1, 1), (0, 0)], 2 },
)]
fn concurrent_claims_stay_within_the_quota(claims: &[(u64, u32)], expected: usize) {
    let mut stream = Stream::new();
    let count = claims.len() as u32;
    stream.append("a", (0..count).map(|n| accepted(n * 3, START)).collect());
    for (n, (read, counted)) in claims.iter().enumerate() {
        let mut record = claimed(n as u32 * 3, 0, "w1", 3);
        if let Record::Claimed { quota, .. } = &mut record {
            quota.quota = Size::new(2_000, 2_048, 0);
            quota.as_of = Offset(1 + read);
            quota.claimed = Size::new(counted * 1_000, counted * 1_024, 0);
        }
        stream.append("a", vec![record]);
    }
    assert_eq!(stream.ledger.claimed_on("w1").count(), expected);
    let used = stream.ledger.claimed_size("vltava");
    assert!(used.fits(&Size::new(2_000, 2_048, 0)), "{used:?}");
}

/// Guards against a claim that takes effect long after its writer checked the quota.
#[test]
fn a_claim_with_an_old_quota_check_is_void() {
    let mut stream = Stream::new();
    stream.append("a", vec![accepted(0, START)]);
    stream.time += HALF_HOUR / 2 + 1;
    stream.append("a", vec![claimed(0, 0, "w1", 3)]);
    assert_eq!(stream.state(0), "pending 0");
}

/// Guards against a finished task that becomes live again: a late restatement or acceptance arrives
/// after the ledger has removed the task.
#[test]
fn late_records_of_a_removed_task_are_ignored() {
    let mut stream = Stream::new();
    stream.append("a", records_until("claimed"));
    let restated = Record::Restated(Box::new(stream.ledger.restate(&id(0)).expect("live")));
    stream.append("a", vec![ended(0, 0, Outcome::Succeeded)]);
    stream.time += 2 * HALF_HOUR + 1;
    stream.append("a", vec![restated, accepted(0, START)]);
    assert_eq!(stream.state(0), "unknown");
}

/// Guards against a host that keeps old claims after it could not read the log for longer than the
/// retention. It would start an attempt that has ended elsewhere (I2).
#[test]
fn missed_records_drop_all_tasks() {
    let mut stream = Stream::new();
    stream.append("a", records_until("claimed"));
    stream.ledger.reset_to(Offset(10));
    assert_eq!(stream.state(0), "unknown");
    assert_eq!(stream.ledger.claimed_on("w1").count(), 0);
    assert_eq!(stream.ledger.next(), Offset(10));
}

/// Guards against a reader that drops all tasks because of one malformed batch, which all readers
/// skip.
#[test]
fn a_malformed_batch_keeps_all_tasks() {
    let mut stream = Stream::new();
    stream.append("a", records_until("claimed"));
    stream.ledger.skip_to(Offset(2));
    assert_eq!(stream.state(0), "claimed 0 w1 t3");
}

/// Guards against a finished task that starts again, or whose result is lost, when its caller
/// submits it a second time.
#[test]
fn a_repeated_submission_finds_the_result() {
    let mut stream = Stream::new();
    stream.append("a", records_until("done"));
    stream.time += HALF_HOUR;
    stream.append("b", vec![accepted(0, stream.time)]);
    let task = stream.ledger.task(&id(0)).expect("still known");
    assert!(matches!(
        task.phase,
        Phase::Done {
            result: TaskResult::Succeeded,
            ..
        }
    ));
}
