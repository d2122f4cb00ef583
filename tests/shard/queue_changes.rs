//! New versions of the configuration that give queues other names or paths, or drop them, while jobs are open.

use std::sync::Arc;

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, JobSpec, Outcome};
use jayfork::version::{JobRecord, JobStateRecord, Queue, QueueTable, ShardRecord};
use yare::parameterized;

use super::queue_tables::{queue, table};
use super::world::{World, chain, long_running};

/// Two steps of four tasks each.
fn two_steps() -> JobSpec {
    chain(&[4, 4], 1_000)
}

/// Three workers and an owner with one queue, and a job whose first step has started.
fn world_with_job(spec: &JobSpec) -> (World, Arc<QueueTable>) {
    let first = table(1, vec![queue("proofs", "/p/")]);
    let mut world = World::new(3, 3, 8_000);
    world.table = Some(first.clone());
    world.runtimes = 500..501;
    world.claim();
    world.run(1_000);
    world.submit_through(&first, "/p/", 1, spec);
    world.run(300);
    assert_eq!(world.running(1), 4);
    (world, first)
}

fn has_state(reply: Option<Reply>, expected: Option<Outcome>) -> bool {
    matches!(reply, Some(Reply::State { outcome, .. }) if outcome == expected)
}

fn change_owner(world: &mut World) {
    let owner = world.owner().expect("an owner");
    world.kill(owner);
    world.claim();
}

/// Versions after the first one, 500 ms apart.
fn versions(case: &str) -> Vec<Arc<QueueTable>> {
    let (old, new) = (queue("proofs", "/p/"), queue("layout", "/p/"));
    let queues = match case {
        "new name" => vec![vec![new]],
        "two new names" => vec![vec![new], vec![queue("pages", "/p/")]],
        "back under a new name" => vec![vec![queue("other", "/o/")], vec![new]],
        "gone for a version" => vec![vec![], vec![old]],
        "name of a new queue" => vec![vec![new, queue("proofs", "/o/")]],
        other => panic!("unknown case {other}"),
    };
    let numbered = queues.into_iter().zip(2..);
    numbered
        .map(|(queues, version)| table(version, queues))
        .collect()
}

/// Guards against a job that is answered 410 and whose second step never starts once a version has given its
/// queue another name: the name was what told queues apart.
#[parameterized(
    new_name = { "new name", false },
    new_name_and_owner = { "new name", true },
    two_new_names = { "two new names", false },
    two_new_names_and_owner = { "two new names", true },
    back_under_a_new_name = { "back under a new name", false },
    back_under_a_new_name_and_owner = { "back under a new name", true },
    gone_for_a_version = { "gone for a version", false },
    gone_for_a_version_and_owner = { "gone for a version", true },
    name_of_a_new_queue = { "name of a new queue", false },
    name_of_a_new_queue_and_owner = { "name of a new queue", true },
)]
fn a_job_goes_on_when_its_queue_gets_another_name(case: &str, changes_owner: bool) {
    let (mut world, _) = world_with_job(&two_steps());
    let mut newest = None;
    for version in versions(case) {
        world.publish(&version);
        world.run(500);
        newest = Some(version);
    }
    if changes_owner {
        change_owner(&mut world);
    }
    let newest = newest.expect("a version");
    world.run(4_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.done.len(), 8);
    let state = world.state_through(&newest, "/p/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
}

/// Guards against a job that goes on in the service of another queue, or is shown to clients of that one, after two
/// queues have swapped their names.
#[parameterized(one_owner = { false }, another_owner = { true })]
fn jobs_stay_at_their_path_when_two_queues_swap_their_names(changes_owner: bool) {
    let other = |name: &str| Queue {
        service: "printing".into(),
        ..queue(name, "/o/")
    };
    let first = table(1, vec![queue("proofs", "/p/"), other("merges")]);
    let swapped = table(2, vec![queue("merges", "/p/"), other("proofs")]);
    let mut world = World::new(3, 4, 8_000);
    world.services = vec!["assembly", "printing"];
    world.table = Some(first.clone());
    world.runtimes = 500..501;
    world.claim();
    world.run(1_000);
    for (id, path) in [(1, "/p/"), (2, "/o/")] {
        world.submit_through(&first, path, id, &two_steps());
    }
    world.run(300);
    world.publish(&swapped);
    if changes_owner {
        world.run(200);
        change_owner(&mut world);
    }
    let step = |world: &World, worker: usize| {
        let tasks = world.fleet.workers[worker].runs.keys();
        tasks.map(|task| task.step.job.0).collect::<Vec<u64>>()
    };
    for _ in 0..800 {
        world.step();
        for worker in 0..4 {
            let expected = 1 + worker as u64 % 2;
            assert!(step(&world, worker).iter().all(|job| *job == expected));
        }
    }
    assert_eq!(world.fleet.done.len(), 16);
    for (id, path, wrong) in [(1, "/p/", "/o/"), (2, "/o/", "/p/")] {
        let state = world.state_through(&swapped, path, id);
        assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
        assert_eq!(
            world.state_through(&swapped, wrong, id),
            Some(Reply::Gone),
            "job {id} is shown at the path of another queue"
        );
    }
}

/// Guards against jobs that stay behind, or are no longer known, when their queue moves to another path under its
/// name.
#[parameterized(one_owner = { false }, another_owner = { true })]
fn a_job_goes_on_when_its_queue_moves_to_another_path(changes_owner: bool) {
    let (mut world, _) = world_with_job(&two_steps());
    let moved = table(2, vec![queue("proofs", "/other/")]);
    world.publish(&moved);
    world.run(200);
    if changes_owner {
        change_owner(&mut world);
    }
    world.run(4_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.done.len(), 8);
    let state = world.state_through(&moved, "/other/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
}

/// Guards against an owner that knows a queue only by the name and path of its first version.
#[test]
fn a_job_is_known_after_its_queue_got_another_name_and_then_another_path() {
    let (mut world, _) = world_with_job(&two_steps());
    world.publish(&table(2, vec![queue("layout", "/p/")]));
    world.run(200);
    change_owner(&mut world);
    world.run(500);
    let moved = table(3, vec![queue("layout", "/other/")]);
    world.publish(&moved);
    world.run(200);
    change_owner(&mut world);
    world.run(4_000);
    let state = world.state_through(&moved, "/other/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
}

/// Guards against the end of a job that is no longer known after the name of its queue has changed.
#[parameterized(one_owner = { false }, another_owner = { true })]
fn the_outcome_of_a_job_is_known_under_the_new_name(changes_owner: bool) {
    let (mut world, _) = world_with_job(&two_steps());
    world.run(4_000);
    let renamed = table(2, vec![queue("layout", "/p/")]);
    world.publish(&renamed);
    if changes_owner {
        change_owner(&mut world);
    }
    world.run(1_000);
    let state = world.state_through(&renamed, "/p/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
}

/// Guards against a cancellation that is answered 410, so that the job runs on, or has no effect.
#[parameterized(one_owner = { false }, another_owner = { true })]
fn a_job_can_be_cancelled_under_the_new_name(changes_owner: bool) {
    let (mut world, _) = world_with_job(&long_running(4, 1_000));
    let renamed = table(2, vec![queue("layout", "/p/")]);
    world.publish(&renamed);
    world.run(500);
    if changes_owner {
        change_owner(&mut world);
        world.run(3_000);
    }
    let ticket = world.cancel_through(&renamed, "/p/", 1);
    world.run(1_000);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Cancelled));
    assert_eq!(world.running(1), 0);
}

/// Guards against long-running tasks that do not start again after their queue has got another name.
#[test]
fn long_running_tasks_start_again_under_the_new_name() {
    let (mut world, _) = world_with_job(&long_running(4, 1_000));
    world.publish(&table(2, vec![queue("layout", "/p/")]));
    world.fleet.restart(world.now, 0);
    world.run(3_000);
    assert_eq!(world.running(1), 4);
}

/// Guards against submissions that are lost, or accepted and not carried out, while hosts and the owner have
/// different versions.
#[parameterized(host_is_behind = { 1, 2 }, owner_is_behind = { 2, 1 })]
fn jobs_submitted_while_the_name_changes_complete(host: usize, owner: usize) {
    let tables = [
        table(1, vec![queue("proofs", "/p/")]),
        table(2, vec![queue("layout", "/p/")]),
    ];
    let mut world = World::new(3, 3, 8_000);
    world.table = Some(tables[owner - 1].clone());
    world.claim();
    world.run(1_000);
    let host = &tables[host - 1];
    world.submit_through(host, "/p/", 1, &two_steps());
    world.run(100);
    let state = world.state_through(host, "/p/", 1);
    assert!(has_state(state, None), "{state:?}");
    world.publish(&tables[1]);
    world.run(5_000);
    assert_eq!(world.fleet.done.len(), 8);
    let state = world.state_through(&tables[1], "/p/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
}

/// Guards against a job for a queue that the owner doesn't know yet: it would stay in a queue of that name, though
/// the owner's configuration gives that name to another one.
#[parameterized(one_owner = { false }, another_owner = { true })]
fn a_job_for_a_queue_that_the_owner_does_not_know_yet_completes(changes_owner: bool) {
    let first = table(1, vec![queue("proofs", "/p/")]);
    let second = table(2, vec![queue("layout", "/p/"), queue("proofs", "/new/")]);
    let mut world = World::new(3, 3, 8_000);
    world.table = Some(first);
    world.claim();
    world.run(1_000);
    world.submit_through(&second, "/new/", 1, &two_steps());
    world.run(100);
    let state = world.state_through(&second, "/new/", 1);
    assert!(has_state(state, None), "{state:?}");
    if changes_owner {
        change_owner(&mut world);
        world.run(500);
    }
    world.publish(&second);
    world.run(5_000);
    let state = world.state_through(&second, "/new/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
    assert_eq!(
        world.state_through(&second, "/p/", 1),
        Some(Reply::Gone),
        "shown at the path of another queue"
    );
}

/// Guards against a job that is accepted for a queue that the configuration has dropped.
#[test]
fn a_submission_to_a_dropped_queue_is_refused() {
    let first = table(1, vec![queue("proofs", "/p/")]);
    let mut world = World::new(3, 3, 8_000);
    world.table = Some(table(2, vec![queue("merges", "/o/")]));
    world.claim();
    world.run(1_000);
    let ticket = world.submit_through(&first, "/p/", 1, &two_steps());
    world.run(3_000);
    let reply = world.replies.get(&ticket);
    assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
    assert!(world.fleet.done.is_empty());
}

/// Guards against jobs that stop half-way, or are tried again without a limit, because their queue is gone for good.
#[parameterized(
    one_owner = { false, 0.0, 8 },
    another_owner = { true, 0.0, 8 },
    failing_tasks = { false, 1.0, 0 },
    failing_tasks_and_another_owner = { true, 1.0, 0 },
)]
fn a_job_of_a_dropped_queue_goes_on_as_it_was(changes_owner: bool, failures: f64, done: usize) {
    let first = table(1, vec![queue("proofs", "/p/")]);
    let mut world = World::new(3, 3, 8_000);
    world.table = Some(first.clone());
    world.runtimes = 500..501;
    world.faults.run_failure = failures;
    world.claim();
    world.run(1_000);
    world.submit_through(&first, "/p/", 1, &two_steps());
    world.run(300);
    world.publish(&table(2, vec![queue("merges", "/o/")]));
    world.run(200);
    if changes_owner {
        change_owner(&mut world);
    }
    world.run(8_000);
    world.assert_no_violations();
    assert_eq!(world.fleet.done.len(), done);
    let max_failures = world.fleet.failed_runs.values().max().copied();
    assert!(max_failures.unwrap_or(0) <= 3, "{max_failures:?} attempts");
    let back = table(3, vec![queue("layout", "/p/")]);
    world.publish(&back);
    let expected = match done {
        0 => Outcome::Failed,
        _ => Outcome::Completed,
    };
    let state = world.state_through(&back, "/p/", 1);
    assert!(has_state(state, Some(expected)), "{state:?}");
}

/// Guards against a number of waiting jobs that leaves out those from before the new name.
#[test]
fn waiting_jobs_are_counted_under_the_new_name() {
    let (mut world, first) = world_with_job(&two_steps());
    world.submit_through(&first, "/p/", 2, &chain(&[1], 9_000));
    world.run(300);
    let renamed = table(2, vec![queue("layout", "/p/"), queue("merges", "/o/")]);
    world.publish(&renamed);
    let waiting = world.backlog_through(&renamed, "/p/");
    assert_eq!(waiting, Some(Reply::Backlog(1)));
    let others = world.backlog_through(&renamed, "/o/");
    assert_eq!(others, Some(Reply::Backlog(0)));
}

/// Guards against an owner with an earlier configuration than the last one, which would forget what the queue is
/// called by now.
#[test]
fn an_owner_with_an_earlier_configuration_does_not_undo_the_new_name() {
    let (mut world, first) = world_with_job(&two_steps());
    let moved = table(3, vec![queue("layout", "/other/")]);
    world.publish(&table(2, vec![queue("layout", "/p/")]));
    world.run(200);
    world.publish(&moved);
    world.run(200);
    world.table = Some(first.clone());
    change_owner(&mut world);
    world.run(500);
    let state = world.state_through(&first, "/p/", 1);
    assert_ne!(
        state,
        Some(Reply::Gone),
        "the host and the owner are behind"
    );
    world.publish(&moved);
    world.run(4_000);
    let state = world.state_through(&moved, "/other/", 1);
    assert!(has_state(state, Some(Outcome::Completed)), "{state:?}");
}

/// Guards against records of earlier versions of the program, which have only the queue's name, that can't be used
/// after an update and a new name.
#[test]
fn jobs_recorded_by_an_earlier_version_of_the_program_stay_in_their_queue() {
    let first = table(1, vec![queue("proofs", "/p/")]);
    let mut world = World::new(3, 3, 8_000);
    world.table = Some(first);
    let job = JobRecord {
        queue: "proofs".into(),
        accepted: world.now,
        spec: two_steps(),
    };
    let ended = JobStateRecord::Ended {
        queue: "proofs".into(),
        outcome: Outcome::Completed,
        at: world.now,
    };
    let records = [
        ShardRecord::Job(JobId(1), Some(job)),
        ShardRecord::State(JobId(2), Some(ended)),
    ];
    for record in records {
        world.store.records.insert(record.key(), record.value());
    }
    world.submit(1, &two_steps());
    world.claim();
    world.run(300);
    let renamed = table(2, vec![queue("layout", "/p/")]);
    world.table = Some(renamed.clone());
    change_owner(&mut world);
    world.run(6_000);
    world.assert_no_violations();
    for id in [1, 2] {
        let state = world.state_through(&renamed, "/p/", id);
        assert!(
            has_state(state, Some(Outcome::Completed)),
            "{id}: {state:?}"
        );
    }
}

/// Guards against records of queues that no job belongs to any more.
#[test]
fn a_queue_without_jobs_has_no_record() {
    let (mut world, _) = world_with_job(&two_steps());
    let keys = |world: &World| {
        let keys = world.store.records.keys();
        keys.filter(|key| key.starts_with("q/")).count()
    };
    assert_eq!(keys(&world), 1);
    world.run(130_000);
    world.publish(&table(2, vec![queue("layout", "/p/")]));
    world.run(500);
    assert_eq!(keys(&world), 0);
}
