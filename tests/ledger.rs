//! Fault table of the fold of a task stream.

mod records;

use jayfork::base::{Offset, Size};
use jayfork::version::{Outcome, Phase, Record, TaskResult};
use records::*;
use yare::parameterized;

/// Guards against a record that takes effect in a phase in which it is not valid (I2, I3, I6).
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
    claimed_next_too_early = { "claimed", claimed(0, 1, "w2", 9), "claimed 0 w1 t3" },
    claimed_done = { "done", claimed(0, 1, "w1", 3), "succeeded 0" },
    adopted_unknown = { "unknown", adopted(0, "w1", 4), "unknown" },
    adopted_pending = { "pending", adopted(0, "w1", 4), "pending 0" },
    adopted_newer = { "claimed", adopted(0, "w1", 4), "claimed 0 w1 t4" },
    adopted_same_token = { "claimed", adopted(0, "w1", 3), "claimed 0 w1 t3" },
    adopted_older_token = { "claimed", adopted(0, "w1", 2), "claimed 0 w1 t3" },
    adopted_other_worker = { "claimed", adopted(0, "w2", 4), "claimed 0 w1 t3" },
    adopted_former_attempt = { "second", adopted(0, "w1", 4), "claimed 1 w1 t3 failed x1" },
    adopted_done = { "done", adopted(0, "w1", 4), "succeeded 0" },
    released_unknown = { "unknown", released(0, 0, 3), "unknown" },
    released_pending = { "pending", released(0, 0, 3), "pending 0" },
    released_claimed = { "claimed", released(0, 0, 3), "pending 1" },
    released_by_former_holder = { "claimed", released(0, 0, 2), "claimed 0 w1 t3" },
    released_marked = { "marked", released(0, 0, 3), "cancelled 0 cancelled" },
    released_former_attempt = { "second", released(0, 0, 3), "claimed 1 w1 t3 failed x1" },
    released_done = { "done", released(0, 0, 3), "succeeded 0" },
    checkpointed_unknown = { "unknown", checkpointed(0, 0), "unknown" },
    checkpointed_pending = { "pending", checkpointed(0, 0), "pending 0" },
    checkpointed_claimed = { "claimed", checkpointed(0, 0), "pending 1 saved" },
    checkpointed_marked = { "marked", checkpointed(0, 0), "cancelled 0 cancelled" },
    checkpointed_former_attempt = { "second", checkpointed(0, 0), "claimed 1 w1 t3 failed x1" },
    checkpointed_done = { "done", checkpointed(0, 0), "succeeded 0" },
    succeeded_unknown = { "unknown", ended(0, 0, Outcome::Succeeded), "unknown" },
    succeeded_pending = { "pending", ended(0, 0, Outcome::Succeeded), "pending 0" },
    succeeded_claimed = { "claimed", ended(0, 0, Outcome::Succeeded), "succeeded 0" },
    succeeded_marked = { "marked", ended(0, 0, Outcome::Succeeded), "succeeded 0 cancelled" },
    succeeded_former = { "second", ended(0, 0, Outcome::Succeeded), "claimed 1 w1 t3 failed x1" },
    failed_claimed = { "claimed", ended(0, 0, Outcome::Failed), "pending 1 failed x1" },
    failed_second = { "second", ended(0, 1, Outcome::Failed), "failed 1 failed x2" },
    failed_marked = { "marked", ended(0, 0, Outcome::Failed), "failed 0 failed x1 cancelled" },
    failed_done = { "done", ended(0, 0, Outcome::Failed), "succeeded 0" },
    lost_claimed = { "claimed", ended(0, 0, Outcome::Lost), "pending 1" },
    lost_marked = { "marked", ended(0, 0, Outcome::Lost), "cancelled 0 cancelled" },
    lost_done = { "done", ended(0, 0, Outcome::Lost), "succeeded 0" },
    cancelled_marked = { "marked", ended(0, 0, Outcome::Cancelled), "cancelled 0 cancelled" },
    cancel_unknown = { "unknown", cancel(0), "unknown" },
    cancel_pending = { "pending", cancel(0), "cancelled 0" },
    cancel_claimed = { "claimed", cancel(0), "claimed 0 w1 t3 cancelled" },
    cancel_marked = { "marked", cancel(0), "claimed 0 w1 t3 cancelled" },
    cancel_done = { "done", cancel(0), "succeeded 0" },
    held_claimed = { "claimed", held("w1"), "claimed 0 w1 t3" },
    suspected_claimed = { "claimed", suspected("w1", "a"), "claimed 0 w1 t3" },
    lost_without_suspicion = { "claimed", lost("w1", 0), "claimed 0 w1 t3" },
)]
fn record_in_phase(phase: &str, record: Record, expected: &str) {
    let mut stream = Stream::new();
    stream.append("a", lead_in(phase));
    stream.append("a", vec![record.clone()]);
    assert_eq!(stream.state(0), expected);
    let again = stream.append("a", vec![record]);
    assert_eq!(stream.state(0), expected, "the repeated record had effect");
    assert_eq!(again, [], "the repeated record reported a change");
}

/// Guards against outcomes of at-most-once tasks that permit a second run (I6).
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
fn at_most_once(records: Vec<Record>, expected: &str) {
    let mut stream = Stream::new();
    let mut all = vec![accepted(1, START), claimed(1, 0, "w1", 3)];
    all.extend(records);
    stream.append("a", all);
    assert_eq!(stream.state(1), expected);
}

/// Guards against a worker that is declared lost although a holder answered (I2), and against a
/// suspicion of a dead host that keeps the worker from ever being declared lost.
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
fn lost_worker(records: &[(u64, &str, Record)], expected: &str) {
    let mut stream = Stream::new();
    stream.append("a", lead_in("claimed"));
    for (seconds, host, record) in records {
        stream.time = START + seconds * 1_000;
        stream.append(host, vec![record.clone()]);
    }
    assert_eq!(stream.state(0), expected);
}

/// Guards against a suspicion that stays listed after its writer died, which would keep other
/// hosts from raising their own.
#[test]
fn expired_suspicion_is_not_listed() {
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

/// Guards against a customer above its quota when hosts claim at the same time.
#[parameterized(
    racing = { &[(0, 0), (0, 0), (0, 0)], 2 },
    counted_by_writer = { &[(0, 0), (1, 1), (2, 2)], 2 },
    writer_saw_a_part = { &[(0, 0), (0, 0), (1, 1)], 2 },
    late_claim_of_an_old_view = { &[(0, 0), (1, 1), (0, 0)], 2 },
)]
fn quota(claims: &[(u64, u32)], expected: usize) {
    let mut stream = Stream::new();
    let count = claims.len() as u32;
    stream.append("a", (0..count).map(|n| accepted(n * 3, START)).collect());
    for (n, (read, known)) in claims.iter().enumerate() {
        let mut record = claimed(n as u32 * 3, 0, "w1", 3);
        if let Record::Claimed { quota, .. } = &mut record {
            quota.quota = Size::new(2_000, 2_048, 0);
            quota.as_of = Offset(1 + read);
            quota.claimed = Size::new(known * 1_000, known * 1_024, 0);
        }
        stream.append("a", vec![record]);
    }
    assert_eq!(stream.ledger.claimed_on("w1").count(), expected);
    let used = stream.ledger.claimed_size("vltava");
    assert!(used.fits(&Size::new(2_000, 2_048, 0)), "{used:?}");
}

/// Guards against a claim that takes effect long after its writer looked at the quota.
#[test]
fn claim_of_an_old_view_is_void() {
    let mut stream = Stream::new();
    stream.append("a", vec![accepted(0, START)]);
    stream.time += HALF_HOUR / 2 + 1;
    stream.append("a", vec![claimed(0, 0, "w1", 3)]);
    assert_eq!(stream.state(0), "pending 0");
}

/// Guards against a task that comes back to life after it was forgotten.
#[test]
fn stale_restatement_is_ignored() {
    let mut stream = Stream::new();
    stream.append("a", lead_in("claimed"));
    let restated = Record::Restated(Box::new(stream.ledger.restate(&id(0)).expect("live")));
    stream.append("a", vec![ended(0, 0, Outcome::Succeeded)]);
    stream.time += 2 * HALF_HOUR + 1;
    stream.append("a", vec![restated, accepted(0, START)]);
    assert_eq!(stream.state(0), "unknown");
}

/// Guards against a host that was cut off for longer than the retention and keeps old claims: it
/// would start an attempt that has ended elsewhere (I2).
#[test]
fn missed_records_drop_the_tasks() {
    let mut stream = Stream::new();
    stream.append("a", lead_in("claimed"));
    stream.ledger.reset_to(Offset(10));
    assert_eq!(stream.state(0), "unknown");
    assert_eq!(stream.ledger.claimed_on("w1").count(), 0);
    assert_eq!(stream.ledger.next(), Offset(10));
}

/// Guards against a malformed batch, which all readers skip, being taken for missed records.
#[test]
fn malformed_batch_keeps_the_tasks() {
    let mut stream = Stream::new();
    stream.append("a", lead_in("claimed"));
    stream.ledger.skip_to(Offset(2));
    assert_eq!(stream.state(0), "claimed 0 w1 t3");
}

/// Guards against a wrong result for a caller that sends a job again.
#[test]
fn repeated_submission_finds_the_result() {
    let mut stream = Stream::new();
    stream.append("a", lead_in("done"));
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
