//! The checks of the records must see every breach that they are made for.

use jayfork::base::Size;
use yare::parameterized;

use crate::support::{Event, InvariantViolation, Record, Records};

/// Builds one process's records; times are given explicitly.
#[derive(Default)]
struct Process {
    records: Vec<Record>,
}

impl Process {
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

    /// Gives the last record a checkpoint, and the state of an end that saved it.
    fn checkpoint(mut self, checkpoint: &str) -> Self {
        let last = self.records.last_mut().unwrap();
        last.checkpoint = Some(checkpoint.to_owned());
        last.state = Some("checkpointed".to_owned());
        self
    }
}

fn records(processes: impl IntoIterator<Item = Process>) -> Records {
    Records::new(processes.into_iter().map(|p| p.records).collect())
}

fn new() -> Process {
    Process::default()
}

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
fn capacity(records: Records, passes: bool) {
    let result = records.check_capacity(Size::new(2000, 4096, 0));
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

#[parameterized(
    memory = { Size::new(2000, 1024, 0), false },
    processors = { Size::new(1000, 2048, 0), false },
    both_fit = { Size::new(2000, 2048, 0), true },
)]
fn capacity_dimension(capacity: Size, passes: bool) {
    let records = records([new().start(1, "w", "a", 0).start(2, "w", "b", 0)]);
    let result = records.check_capacity(capacity);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

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
fn one_place(records: Records, passes: bool) {
    let result = records.check_no_concurrent_runs();
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

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
fn at_most_once(records: Records, passes: bool) {
    let result = records.check_at_most_once(&["merge"]);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

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
fn leaving(records: Records, passes: bool) {
    let result = records.check_leaving(3000);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

#[test]
fn marks_are_reported() {
    let records = records([new().add(1, "w", Event::Violation, "a", 0)]);
    assert!(matches!(
        records.check_no_violations(),
        Err(InvariantViolation::RecordedViolation { .. })
    ));
}

impl Process {
    /// Records of requests carry no size.
    fn without_size(mut self) -> Self {
        self.records
            .iter_mut()
            .for_each(|record| record.size = None);
        self
    }
}

#[parameterized(
    at_the_limit = { new().start(1, "i", "a", 0).start(1, "i", "b", 0), true },
    beyond = { new().start(1, "i", "a", 0).start(1, "i", "b", 0).start(1, "i", "c", 0), false },
    freed = {
        new().start(1, "i", "a", 0).start(1, "i", "b", 0).end(2, "i", "a", 0).start(2, "i", "c", 0),
        true
    },
    other_host = { new().start(1, "i", "a", 0).start(1, "i", "b", 0).start(1, "j", "c", 0), true },
)]
fn slots(process: Process, passes: bool) {
    let result = records([process.without_size()]).check_slots(2);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}

#[parameterized(
    once = { new().start(1, "i", "a", 0).start(1, "i", "b", 0), true },
    again = { new().start(1, "i", "a", 0).end(2, "i", "a", 0).start(3, "j", "a", 0), false },
    others_again = { new().start(1, "i", "c", 0).end(2, "i", "c", 0).start(3, "j", "c", 0), true },
)]
fn requests_once(process: Process, passes: bool) {
    let result = records([process.without_size()]).check_requests_at_most_once(&["a", "b"]);
    assert_eq!(result.is_ok(), passes, "{result:?}");
}
