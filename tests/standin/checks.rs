//! The checks of the records must detect the violations that they are meant for.

use jayfork::base::Size;
use yare::parameterized;

use crate::support::{Event, InvariantViolation, Record, Records};

/// Builder for the records of one process.
#[derive(Default)]
struct ProcessRecords {
    records: Vec<Record>,
}

impl ProcessRecords {
    fn add(mut self, time: u64, host: &str, event: Event, id: &str, attempt: u32) -> Self {
        self.records.push(Record {
            time,
            host: host.to_owned(),
            event,
            id: id.to_owned(),
            attempt: Some(attempt),
            token: None,
            size: Some(Size::new(1000, 1024, 0)),
            state: None,
            class: Some("merge".to_owned()),
            checkpoint: None,
        });
        self
    }

    fn start(self, time: u64, host: &str, id: &str, attempt: u32) -> Self {
        self.add(time, host, Event::Started, id, attempt)
    }

    fn end(self, time: u64, host: &str, id: &str, attempt: u32) -> Self {
        self.add(time, host, Event::Ended, id, attempt)
    }

    /// Sets the checkpoint of the last record, and the state of an end that saved it.
    fn checkpoint(mut self, checkpoint: &str) -> Self {
        let last = self.records.last_mut().unwrap();
        last.checkpoint = Some(checkpoint.to_owned());
        last.state = Some("checkpointed".to_owned());
        self
    }
}

fn records(processes: impl IntoIterator<Item = ProcessRecords>) -> Records {
    Records::new(processes.into_iter().map(|p| p.records).collect())
}

/// Starts a list of records; the short name keeps the cases readable.
fn new() -> ProcessRecords {
    ProcessRecords::default()
}

// Guards against a check that accepts too many tasks on a worker, or refuses tasks that fit.
#[parameterized(
    none = { records([]), true },
    at_the_limit = { records([new().start(1, "w", "a", 0).start(2, "w", "b", 0)]), true },
    beyond = {
        records([new().start(1, "w", "a", 0).start(2, "w", "b", 0).start(3, "w", "c", 0)]), false
    },
    freed = {
        records([new()
            .start(1, "w", "a", 0).start(2, "w", "b", 0).end(3, "w", "a", 0).start(3, "w", "c", 0)]),
        true
    },
    other_attempt_ended = {
        records([new()
            .start(1, "w", "a", 1).start(2, "w", "b", 0).end(3, "w", "a", 0).start(3, "w", "c", 0)]),
        false
    },
    other_host = {
        records([new().start(1, "w", "a", 0).start(2, "w", "b", 0).start(3, "v", "c", 0)]), true
    },
)]
fn worker_capacity(records: Records, passes: bool) {
    let result = records.check_capacity(Size::new(2000, 4096, 0));
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

// Guards against a check that compares only one of the resources.
#[parameterized(
    memory = { Size::new(2000, 1024, 0), false },
    processors = { Size::new(1000, 2048, 0), false },
    both_fit = { Size::new(2000, 2048, 0), true },
)]
fn every_resource_of_a_worker(capacity: Size, passes: bool) {
    let records = records([new().start(1, "w", "a", 0).start(2, "w", "b", 0)]);
    let result = records.check_capacity(capacity);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

// Guards against a check that misses runs of one task that overlap, on one host or on several, or
// that rejects runs that follow each other.
#[parameterized(
    one_after_another = {
        records([new().start(1, "w", "a", 0).end(2, "w", "a", 0).start(2, "v", "a", 1)]), true
    },
    same_host = { records([new().start(1, "w", "a", 0).start(2, "w", "a", 1)]), false },
    same_process = { records([new().start(1, "w", "a", 0).start(2, "v", "a", 1)]), false },
    two_processes = {
        records([new().start(1, "w", "a", 0).end(9, "w", "a", 0), new().start(8, "v", "a", 1)]),
        false
    },
    two_processes_in_turn = {
        records([new().start(1, "w", "a", 0).end(9, "w", "a", 0), new().start(9, "v", "a", 1)]),
        true
    },
    second_process_first = {
        records([new().start(5, "w", "a", 1), new().start(1, "v", "a", 0).end(6, "v", "a", 0)]),
        false
    },
    inside_a_long_run = {
        records([
            new().start(1, "w", "a", 0).end(100, "w", "a", 0),
            new().start(40, "v", "a", 1).end(41, "v", "a", 1),
        ]),
        false
    },
    other_tasks = { records([new().start(1, "w", "a", 0).start(1, "w", "b", 0)]), true },
)]
fn no_concurrent_runs(records: Records, passes: bool) {
    let result = records.check_no_concurrent_runs();
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

// Guards against a check that accepts a second start without a checkpoint, or a checkpoint that is
// resumed twice or was never saved.
#[parameterized(
    once = { records([new().start(1, "w", "a", 0)]), true },
    again = { records([new().start(1, "w", "a", 0).end(2, "w", "a", 0).start(3, "w", "a", 1)]), false },
    again_elsewhere = {
        records([new().start(1, "w", "a", 0).end(2, "w", "a", 0), new().start(3, "v", "a", 1)]),
        false
    },
    resumed = {
        records([new()
            .start(1, "w", "a", 0).end(2, "w", "a", 0).checkpoint("k")
            .start(3, "w", "a", 1).checkpoint("k")]),
        true
    },
    resumed_twice = {
        records([new()
            .start(1, "w", "a", 0).end(2, "w", "a", 0).checkpoint("k")
            .start(3, "w", "a", 1).checkpoint("k").end(4, "w", "a", 1)
            .start(5, "w", "a", 2).checkpoint("k")]),
        false
    },
    resumed_from_nothing = {
        records([new().start(1, "w", "a", 0).end(2, "w", "a", 0).start(3, "w", "a", 1).checkpoint("k")]),
        false
    },
)]
fn tasks_at_most_once(records: Records, passes: bool) {
    let result = records.check_at_most_once(&["merge"]);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

// Guards against a check that accepts late work for a leaving host, or rejects work within the
// grace period or after a restart.
#[parameterized(
    before = { records([new().start(1, "w", "a", 0).add(2, "w", Event::Leaving, "", 0)]), true },
    within_grace = {
        records([new().add(1, "w", Event::Leaving, "", 0).start(3001, "w", "a", 0)]), true
    },
    late = { records([new().add(1, "w", Event::Leaving, "", 0).start(3002, "w", "a", 0)]), false },
    refused_late = {
        records([new().add(1, "w", Event::Leaving, "", 0).add(3002, "w", Event::Refused, "a", 0)]),
        false
    },
    restarted = {
        records([new()
            .add(1, "w", Event::Leaving, "", 0).add(2, "w", Event::Restarted, "", 0)
            .start(9000, "w", "a", 0)]),
        true
    },
    other_host = {
        records([new().add(1, "w", Event::Leaving, "", 0).start(9000, "v", "a", 0)]), true
    },
)]
fn no_late_work_for_leaving_hosts(records: Records, passes: bool) {
    let result = records.check_leaving(3000);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

// Guards against violations that the stand-ins record and the check ignores.
#[test]
fn recorded_violations_are_reported() {
    let records = records([new().add(1, "w", Event::Violation, "a", 0)]);
    assert!(matches!(
        records.check_no_violations(),
        Err(InvariantViolation::RecordedViolation { .. })
    ));
}

impl ProcessRecords {
    /// Removes the sizes, because the records of requests have none.
    fn without_size(mut self) -> Self {
        self.records
            .iter_mut()
            .for_each(|record| record.size = None);
        self
    }
}

// Guards against a check that accepts more requests on an instance than it has slots.
#[parameterized(
    at_the_limit = { new().start(1, "i", "a", 0).start(1, "i", "b", 0), true },
    beyond = { new().start(1, "i", "a", 0).start(1, "i", "b", 0).start(1, "i", "c", 0), false },
    freed = {
        new().start(1, "i", "a", 0).start(1, "i", "b", 0).end(2, "i", "a", 0).start(2, "i", "c", 0),
        true
    },
    other_host = { new().start(1, "i", "a", 0).start(1, "i", "b", 0).start(1, "j", "c", 0), true },
)]
fn instance_slots(process: ProcessRecords, passes: bool) {
    let result = records([process.without_size()]).check_slots(2);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

// Guards against a check that accepts a second start of a request.
#[parameterized(
    once = { new().start(1, "i", "a", 0).start(1, "i", "b", 0), true },
    again = { new().start(1, "i", "a", 0).end(2, "i", "a", 0).start(3, "j", "a", 0), false },
    others_again = { new().start(1, "i", "c", 0).end(2, "i", "c", 0).start(3, "j", "c", 0), true },
)]
fn requests_at_most_once(process: ProcessRecords, passes: bool) {
    let result = records([process.without_size()]).check_requests_at_most_once(&["a", "b"]);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}
