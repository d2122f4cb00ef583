//! Entries in the registry that belong to no worker, or not to the one under whose id they are.

use jayfork::base::{Millis, Name};
use jayfork::connection::{EndReport, RunReport, WorkerAnswer, WorkerReport};
use jayfork::platform::RegistryEntry;
use jayfork::process::shard::{RegistryChange, Reply, ShardEvent, WorkerTag};
use jayfork::request::job::{Ending, JobId, Outcome, TaskKey};
use jayfork::version::{JobRecord, JobStateRecord, ShardRecord};
use yare::parameterized;

use super::world::{QUEUE, STEP, World, chain, long_running};

/// A simulation with one owner and three workers, the last of which does not exist, though it is
/// listed.
fn world_with_absent_worker() -> World {
    let mut world = World::new(5, 3, 8_000);
    world.fleet.workers[2].is_gone = true;
    world.runtimes = 2_000..2_001;
    claim(&mut world);
    world.run(1_000);
    world
}

fn claim(world: &mut World) {
    let owner = world.claim();
    let entry = world.entry(2);
    world.event(owner, ShardEvent::Registry(vec![entry]));
}

fn recorded_workers(world: &World) -> Vec<&str> {
    let keys = world.store.records.keys();
    keys.filter_map(|key| key.strip_prefix("w/")).collect()
}

/// Guards against an entry of another program that delays each later owner: waiting tasks did not
/// start until the worker could hold no lease any more, since it never reports.
#[test]
fn a_new_owner_does_not_wait_for_an_entry_without_a_worker() {
    let mut world = world_with_absent_worker();
    world.submit(1, &chain(&[30], 1_000));
    world.run(1_000);
    world.kill(0);
    claim(&mut world);
    world.run(4_500);
    world.assert_no_violations();
    let state = world.state(1);
    let completed = Reply::State {
        outcome: Some(Outcome::Completed),
        has_started: true,
    };
    assert_eq!(state, Some(completed));
}

/// Guards against an entry of another program that leaves a record behind in the journal.
#[test]
fn only_workers_that_have_reported_are_recorded() {
    let mut world = world_with_absent_worker();
    assert_eq!(recorded_workers(&world), ["worker-0", "worker-1"]);
    world.leave(2);
    world.run(1_000);
    assert_eq!(recorded_workers(&world), ["worker-0", "worker-1"]);
    world.leave(1);
    world.run(1_000);
    assert_eq!(recorded_workers(&world), ["worker-0"]);
}

impl World {
    /// Checks that the record of a worker is stored before it is ordered to start a task. Otherwise, a
    /// later owner may not ask it for the run.
    pub fn check_record(&mut self, worker: &str) {
        if !self.store.records.contains_key(&format!("w/{worker}")) {
            let text = format!("{worker} gets a start order before it is recorded");
            self.fleet.violations.push(text);
        }
    }
}

/// Guards against an owner that ends, or follows the other workers no more, because of a number in
/// the report of one of them.
#[parameterized(
    clock = { u64::MAX, 1, 1, 1 },
    clock_before_lease = { u64::MAX - 3_000, 1, 1, 1 },
    start_time = { 5_000, u64::MAX, 1, 1 },
    number_of_end = { 5_000, 1, u64::MAX, 1 },
    run = { 5_000, 1, 1, u64::MAX },
)]
fn a_large_number_in_a_report_ends_no_owner(clock: u64, start_time: u64, end: u64, run: u64) {
    let mut world = World::new(5, 3, 8_000);
    world.claim();
    let task: TaskKey = "5c0e7a21d94b36f8.0.0.1".parse().expect("a task");
    let report = WorkerReport {
        clock,
        start_time,
        running: vec![RunReport {
            task,
            run,
            checkpoint: None,
            percent: 255,
            measurement: Some(u64::MAX),
        }],
        ended: vec![EndReport {
            number: end,
            task,
            run,
            ending: Ending::Failed,
            checkpoint: None,
        }],
    };
    for at in [500, 1_500] {
        world.run(at);
        let tag = WorkerTag::Poll {
            worker: "worker-0".into(),
            sent: Millis(world.now),
            is_immediate: false,
        };
        let answer = Ok(WorkerAnswer::Report(report.clone()));
        world.event(0, ShardEvent::Worker(tag, answer));
    }
    world.submit(1, &chain(&[8, 8], 1_000));
    world.run(12_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.done.len(), 16);
}

/// Guards against an owner that ends when it loads a record with a time far ahead.
#[test]
fn records_with_times_far_ahead_end_no_owner() {
    let mut world = World::new(5, 3, 8_000);
    let queue: Name = QUEUE.into();
    let job = JobRecord {
        queue: queue.clone(),
        accepted: u64::MAX,
        spec: chain(&[2], 1_000),
    };
    let ended = JobStateRecord::Ended {
        queue,
        outcome: Outcome::Completed,
        at: u64::MAX,
    };
    let records = [
        ShardRecord::Job(JobId(7), Some(job)),
        ShardRecord::State(JobId(8), Some(ended)),
    ];
    for record in records {
        world.store.records.insert(record.key(), record.value());
    }
    world.submit(7, &chain(&[2], 1_000));
    world.claim();
    world.run(3_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.done.len(), 2);
    let state = world.state(8);
    assert!(matches!(state, Some(Reply::State { .. })), "{state:?}");
}

/// Changes an entry as another program may write it.
fn altered(world: &World, worker: usize, alter: impl FnOnce(&mut RegistryEntry)) -> ShardEvent {
    let RegistryChange::Set(id, mut entry) = world.entry(worker) else {
        panic!("no entry");
    };
    alter(&mut entry);
    ShardEvent::Registry(vec![RegistryChange::Set(id, entry)])
}

/// Guards against runs that end or start twice because another program writes an entry under the id of
/// their worker, until the worker writes its own again.
#[parameterized(
    nothing_listens = { "10.0.0.99:80", "assembly" },
    another_worker_listens = { "10.0.0.2:80", "assembly" },
    unknown_service = { "10.0.0.1:80", "other" },
)]
fn an_odd_entry_of_a_worker_ends_no_run(address: &str, service: &str) {
    for (cut_off, takes_over) in [(false, false), (true, false), (false, true)] {
        let mut world = World::new(5, 3, 8_000);
        let mut owner = world.claim();
        world.run(500);
        world.submit(1, &long_running(6, 4_000));
        world.run(1_000);
        assert_eq!((world.running(1), world.fleet.starts), (6, 6));
        // The entry may come just when the owner cannot reach the worker.
        world.fleet.workers[0].is_unreachable = cut_off;
        world.run(1_000);
        if takes_over {
            world.kill(owner);
            owner = world.claim();
        }
        for _ in 0..2 {
            let address = address.parse().expect("an address");
            let event = altered(&world, 0, |entry| {
                entry.address = address;
                entry.service = service.into();
            });
            world.event(owner, event);
            world.run(500);
        }
        world.fleet.workers[0].is_unreachable = false;
        let entry = world.entry(0);
        world.event(owner, ShardEvent::Registry(vec![entry]));
        world.run(8_000);
        world.assert_no_violations();
        assert_eq!(
            (world.running(1), world.fleet.starts),
            (6, 6),
            "{cut_off} {takes_over}"
        );
    }
}

/// Guards against a worker that is never asked for a report, because the first entry under its id was
/// that of another program.
#[test]
fn a_worker_is_found_after_an_odd_entry() {
    let mut world = World::new(5, 1, 8_000);
    let owner = world.claim();
    let wrong = "10.0.0.99:80".parse().expect("an address");
    let event = altered(&world, 0, |entry| entry.address = wrong);
    world.event(owner, event);
    world.run(2_000);
    let entry = world.entry(0);
    world.event(owner, ShardEvent::Registry(vec![entry]));
    world.submit(1, &chain(&[3], 1_000));
    world.run(3_000);
    assert_eq!(world.fleet.done.len(), 3);
}

/// Guards against two runs of a task at once after a change of the owner: a worker leaves the registry while a
/// record of it is being stored and comes back, and gets starts although its record is deleted.
#[test]
fn a_worker_that_comes_back_is_recorded_again() {
    let mut world = World::new(5, 2, 8_000);
    let owner = world.claim();
    world.run(1_000);
    world.store.is_down = true;
    world.drain(1);
    world.run(300);
    world.unlist(1);
    world.run(300);
    world.fleet.workers[1].is_leaving = false;
    world.fleet.workers[1].is_unreachable = true;
    world.refresh(1);
    world.run(300);
    world.store.is_down = false;
    world.run(1_000);
    world.fleet.workers[1].is_unreachable = false;
    world.run(1_000);
    for id in 1..=2 {
        world.submit(id, &long_running(1, 8_000));
    }
    world.run(1_000);
    let of_worker = if world.holder(1) == 1 { 1 } else { 2 };
    world.fleet.workers[1].is_unreachable = true;
    world.kill(owner);
    world.claim();
    world.run(500);
    world.cancel(3 - of_worker);
    world.run(2_000);
    world.assert_no_violations();
    assert_eq!(world.running(of_worker), 1);
    assert_eq!(recorded_workers(&world), ["worker-0", "worker-1"]);
}

/// Guards against two runs of a task at once because the owner takes the report of a worker for one from a new
/// address: it has asked for it at the old one, in the millisecond in which another program changes the entry.
#[test]
fn an_odd_entry_at_the_time_of_a_request_ends_no_run() {
    for delay in 0..200 {
        let mut world = World::new(5, 2, 8_000);
        let owner = world.claim();
        world.run(500);
        world.submit(1, &long_running(1, 4_000));
        world.run(1_000);
        let holder = world.holder(1);
        world.fleet.workers[holder].is_unreachable = true;
        world.run(1_000);
        world.fleet.workers[holder].is_unreachable = false;
        world.run(delay * STEP);
        let address = format!("10.0.0.{}:80", 2 - holder);
        let address = address.parse().expect("an address");
        let event = altered(&world, holder, |entry| entry.address = address);
        world.event(owner, event);
        world.run(500);
        world.refresh(holder);
        world.run(2_000);
        world.assert_no_violations();
        assert_eq!((world.running(1), world.fleet.starts), (1, 1), "{delay}");
    }
}

/// Guards against runs of a worker that count as lost, without a stop order, at its next call without an answer:
/// another worker had its address for a while, and it has reported from there since.
#[test]
fn a_worker_that_reports_has_not_left() {
    for seed in 0..50 {
        let mut world = World::new(seed, 2, 8_000);
        world.claim();
        world.run(1_000);
        for renamed in [1, 0] {
            world.fleet.restart(world.now, 0);
            world.fleet.workers[0].renamed = renamed;
            world.fleet.workers[0].down_until = 0;
            world.run(2_000);
        }
        world.submit(1, &long_running(2, 2_000));
        world.submit(2, &long_running(2, 2_000));
        world.run(1_000 + seed * STEP);
        assert_eq!((world.holder(1), world.holder(2)), (0, 0));
        world.faults.answer_loss = 1.0;
        world.cancel(2);
        world.run(50);
        world.faults.answer_loss = 0.0;
        world.run(5_000);
        world.assert_no_violations();
        assert_eq!((world.running(1), world.fleet.starts), (2, 4));
    }
}

/// Guards against runs that count as lost, without a stop order, because an answer of another worker that had the
/// address arrives after newer reports of the worker that has it now.
#[test]
fn an_answer_that_newer_reports_have_overtaken_ends_no_run() {
    let mut world = World::new(5, 2, 8_000);
    let owner = world.claim();
    world.run(1_000);
    let sent = world.time().steady;
    world.run(100);
    world.submit(1, &long_running(1, 4_000));
    world.run(2_000);
    let tag = WorkerTag::Poll {
        worker: world.worker_name(world.holder(1)),
        sent,
        is_immediate: true,
    };
    let answer = Ok(WorkerAnswer::WrongWorker);
    world.event(owner, ShardEvent::Worker(tag, answer));
    world.run(5_000);
    world.assert_no_violations();
    assert_eq!((world.running(1), world.fleet.starts), (1, 1));
}
