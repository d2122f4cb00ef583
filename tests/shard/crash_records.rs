//! Records of crashes and suspicions.

use jayfork::request::job::{JobId, StepId, TaskCrashes, TaskKey};
use jayfork::version::{JobStateRecord, ShardRecord, StartEvidence, SuspectRecord};
use yare::parameterized;

/// Guards against records of an earlier version that can no longer be read because crashes are recorded
/// too.
#[test]
fn records_without_crashes_are_still_read() {
    // Turn 3 comes next; in turn 2, task 1 of step 0 is done and task 0 has failed as run 65537.
    let value = [0, 3, 1, 2, 1, 1, 2, 1, 0, 1, 252, 1, 0, 1, 0, 0];
    let decoded = ShardRecord::decode("s/0000000000000007", &value);
    let Ok(ShardRecord::State(JobId(7), Some(JobStateRecord::Open(progress)))) = decoded else {
        panic!("{decoded:?}");
    };
    assert_eq!(progress.next_turn, 3);
    let step = &progress.turns[0].steps[0];
    assert!(step.is_done(1) && !step.is_done(0));
    assert_eq!(step.failures, [(0, vec![65_537])]);
}

/// Guards against crashes that a later owner reads differently than they were recorded.
#[test]
fn recorded_crashes_are_read_back() {
    let crashes = TaskCrashes {
        turn: 2,
        step: 1,
        index: 300,
        runs: vec![65_537, 131_074],
    };
    for value in [Some(vec![crashes]), None] {
        let record = ShardRecord::Crashes(JobId(7), value);
        let decoded = ShardRecord::decode(&record.key(), &record.value());
        assert_eq!(decoded, Ok(record));
    }
}

/// A suspicion with this evidence.
fn suspicion(start: StartEvidence) -> SuspectRecord {
    let step = StepId {
        job: JobId(7),
        turn: 2,
        step: 1,
    };
    SuspectRecord {
        task: TaskKey { step, index: 300 },
        run: 65_537,
        incarnation: 1_796_000_000_000,
        lost: 1_796_000_006_000,
        start,
    }
}

/// Guards against suspicions that a later owner reads differently than they were recorded.
#[parameterized(
    over = { Some(StartEvidence::Over) },
    interrupted = { Some(StartEvidence::Interrupted) },
    unknown = { Some(StartEvidence::Unknown) },
    none = { None },
)]
fn recorded_suspicions_are_read_back(start: Option<StartEvidence>) {
    let value = start.map(|start| vec![suspicion(start)]);
    let record = ShardRecord::Suspects("worker-1".into(), value);
    let decoded = ShardRecord::decode(&record.key(), &record.value());
    assert_eq!(decoded, Ok(record));
}

/// Guards against suspicions of an earlier version that can no longer be read: it recorded a flag in place of the
/// evidence.
#[parameterized(
    over = { 0, StartEvidence::Over },
    interrupted = { 1, StartEvidence::Interrupted },
)]
fn suspicions_of_an_earlier_version_are_still_read(flag: u8, start: StartEvidence) {
    let mut value = vec![1, 7, 2, 1, 251, 44, 1, 252, 1, 0, 1, 0];
    value.extend([253, 0, 40, 241, 41, 162, 1, 0, 0]);
    value.extend([253, 112, 63, 241, 41, 162, 1, 0, 0, flag]);
    let decoded = ShardRecord::decode("u/worker-1", &value);
    let record = ShardRecord::Suspects("worker-1".into(), Some(vec![suspicion(start)]));
    assert_eq!(decoded, Ok(record));
}
