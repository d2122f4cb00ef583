//! Jobs that wait in a backlog.

use jayfork::process::shard::{Reply, Request};
use jayfork::request::job::JobSpec;
use yare::parameterized;

use super::diagnostics::observed;
use super::pace::{best_effort, world_with_serving_tasks};
use super::world::{QUEUE, World, chain};

/// Guards against logs that don't tell why an accepted job has nothing running: which job, for how long, and what
/// each worker lacks for it.
#[test]
fn a_job_with_nothing_running_is_explained() {
    let (lines, _) = observed(|| {
        let mut world = world_with_serving_tasks(3_000, 0.85);
        world.submit(3, &best_effort(1, 12_000));
        world.run(8_000);
        world.assert_no_violations();
    });
    let is_wanted = |line: &&serde_json::Value| line["message"] == "job waits with nothing running";
    let line = lines.iter().find(is_wanted).expect("a line");
    assert_eq!(line["job"], "0000000000000003", "{line}");
    assert_eq!(
        (&line["steps"], &line["best_effort"]),
        (&1.into(), &1.into())
    );
    assert!(line["waited"].as_u64().expect("a time") >= 5_000, "{line}");
    let workers = line["workers"].as_str().expect("a text");
    assert!(workers.contains("excluded: 2"), "{line}");
    let usage = line["usage"].as_str().expect("a text");
    assert!(
        usage.contains("capacity: 32000, reserved: 8000, wanted: 0"),
        "{line}"
    );
}

/// Longest time that an accepted job may have nothing running while others run, in milliseconds: three times the
/// objective of the jobs here, two intervals of the check for such jobs, and the time in which room becomes free.
pub const LONGEST_WAIT: u64 = 16_000;

/// Submits a job every `interval` milliseconds for `time` and returns those that were accepted.
pub fn keep_submitting(
    world: &mut World,
    first: u64,
    spec: &JobSpec,
    interval: u64,
    time: u64,
) -> Vec<u64> {
    let mut tickets = Vec::new();
    for id in first..first + time / interval {
        tickets.push((id, world.submit(id, spec)));
        world.run(interval);
    }
    world.run(200);
    let is_accepted = |ticket: &u64| world.replies.get(ticket) == Some(&Reply::Accepted);
    let accepted = tickets.iter().filter(|(_, ticket)| is_accepted(ticket));
    accepted.map(|(id, _)| *id).collect()
}

/// Guards against jobs that are shown as running, and are left out of the number of waiting jobs, although all their
/// starts were refused.
#[test]
fn a_job_whose_starts_are_refused_is_waiting() {
    let mut world = World::new(1, 1, 8_000);
    world.claim();
    world.run(500);
    world.fleet.workers[0].is_refused = true;
    world.submit(1, &chain(&[2], 1_000));
    world.run(300);
    let waiting = |world: &mut World| {
        let ticket = world.ask(Request::Backlog {
            queue: QUEUE.into(),
        });
        world.replies.get(&ticket).copied()
    };
    assert_eq!(waiting(&mut world), Some(Reply::Backlog(1)));
    assert!(!has_started(&mut world, 1));
    world.fleet.workers[0].is_refused = false;
    world.run(2_000);
    assert_eq!(waiting(&mut world), Some(Reply::Backlog(0)));
    assert!(has_started(&mut world, 1));
}

pub fn has_started(world: &mut World, id: u64) -> bool {
    matches!(
        world.state(id),
        Some(Reply::State {
            has_started: true,
            ..
        })
    )
}

/// Guards against accepted jobs that never get a turn, because newer ones that can still meet their objective come
/// first for as long as there are any.
#[test]
fn a_late_job_gets_a_turn_while_newer_ones_come() {
    let mut world = World::new(7, 2, 8_000);
    world.runtimes = 900..1_000;
    world.claim();
    world.run(500);
    let accepted = keep_submitting(&mut world, 1, &chain(&[2], 1_000), 100, 60_000);
    let early = accepted
        .iter()
        .filter(|id| **id <= (60_000 - LONGEST_WAIT) / 100);
    let starved: Vec<u64> = early
        .copied()
        .filter(|id| !has_started(&mut world, *id))
        .collect();
    assert!(starved.is_empty(), "{starved:?}");
    world.assert_no_violations();
}

/// Guards against jobs that are accepted although others that need the same have waited in vain for longer than
/// anybody waits for the result.
#[parameterized(
    best_effort = { true },
    others = { false },
)]
fn a_job_is_refused_while_others_like_it_wait_for_too_long(fills: bool) {
    let mut world = World::new(7, 2, 8_000);
    world.runtimes = 900..1_000;
    world.claim();
    world.run(500);
    let mut spec = chain(&[4], 1_000);
    spec.steps[0].fills = fills;
    let accepted = keep_submitting(&mut world, 1, &spec, 100, 30_000);
    let refused =
        |reply: &&Reply| matches!(reply, Reply::Refused { retry_after } if *retry_after > 0);
    assert!(world.replies.values().filter(refused).count() > 50);
    // All that was accepted runs within the time for which a backlog is accepted.
    world.run(14_000);
    let waiting: Vec<u64> = accepted
        .into_iter()
        .filter(|id| !has_started(&mut world, *id))
        .collect();
    assert!(waiting.is_empty(), "{waiting:?}");
    world.submit(10_000, &spec);
    world.run(2_000);
    assert!(has_started(&mut world, 10_000));
    world.assert_no_violations();
}

/// Guards against a best-effort task that never finds room, because smaller ones take up each bit of idle
/// processors or of headroom that becomes free.
#[parameterized(
    beside_serving_tasks = { 0.5, 3_500, 800 },
    on_idle_processors = { 0.2, 9_000, 1_000 },
)]
fn a_large_best_effort_task_gets_room_beside_smaller_ones(tail: f64, large: u32, small: u32) {
    let mut world = world_with_serving_tasks(1_000, tail);
    world.runtimes = 200..2_000;
    let smaller = best_effort(10, small);
    keep_submitting(&mut world, 10, &smaller, 250, 2_500);
    let ticket = world.submit(9, &best_effort(1, large));
    keep_submitting(&mut world, 100, &smaller, 250, LONGEST_WAIT);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Accepted));
    assert!(has_started(&mut world, 9));
    world.assert_no_violations();
}

/// Guards against logs that don't tell whether starved steps get their turns as fast as others become starved.
#[test]
fn turns_of_starved_steps_are_counted() {
    let (lines, _) = observed(|| {
        let mut world = World::new(7, 2, 8_000);
        world.runtimes = 900..1_000;
        world.claim();
        world.run(500);
        keep_submitting(&mut world, 1, &chain(&[2], 1_000), 100, 40_000);
        // The backlog ends, and so do the lines.
        world.run(40_000);
        world.assert_no_violations();
    });
    let is_wanted = |line: &&serde_json::Value| line["message"] == "steps are starved";
    let lines: Vec<_> = lines.iter().filter(is_wanted).collect();
    let sum = |name: &str| -> u64 {
        let values = lines.iter().map(|line| line[name].as_u64());
        values.map(|value| value.expect("a number")).sum()
    };
    assert!((2..80).contains(&lines.len()), "{}", lines.len());
    assert!(sum("new") > 1, "{lines:?}");
    assert_eq!(sum("new"), sum("turns"), "{lines:?}");
    assert!(sum("set_aside") > 0, "{lines:?}");
    let last = lines.last().expect("a line");
    assert_eq!(last["starved"], 0, "{last}");
    let is_bounded = |line: &&serde_json::Value| line["set_aside"].as_u64() <= Some(1);
    assert!(lines.iter().all(is_bounded), "{lines:?}");
}

/// The last line of such a message.
fn last_line<'a>(lines: &'a [serde_json::Value], message: &str) -> &'a serde_json::Value {
    let mut lines = lines.iter();
    lines
        .rfind(|line| line["message"] == message)
        .expect("a line")
}

/// Guards against logs that don't tell whether what excludes a task from workers was measured, and whether their
/// serving tasks would bear it at a lower speed.
#[parameterized(
    unknown_pair = { 0.5, false, 2 },
    known_pair = { 0.5, true, 2 },
    // The serving tasks are at their target, without room for a rise of the load.
    at_the_target = { 0.85, false, 0 },
)]
fn the_exclusion_of_a_job_is_explained(tail: f64, is_known: bool, limited: u64) {
    let (lines, _) = observed(|| {
        let mut world = world_with_serving_tasks(3_000, tail);
        if is_known {
            // Shows the interference of the image.
            world.submit(10, &best_effort(2, 1_600));
            world.run(8_000);
        }
        world.submit(3, &best_effort(1, 12_000));
        world.run(8_000);
        world.assert_no_violations();
    });
    let waits = last_line(&lines, "job waits with nothing running");
    let workers = waits["workers"].as_str().expect("a text");
    assert!(workers.contains("excluded: 2"), "{waits}");
    let line = last_line(&lines, "serving tasks exclude the waiting job");
    assert_eq!(line["job"], waits["job"], "{line}");
    assert_eq!(
        (&line["workers"], &line["excluded"]),
        (&1.into(), &2.into())
    );
    assert!(
        ["search", "map"]
            .iter()
            .any(|image| line["serving"] == *image)
    );
    assert_eq!(line["is_known"], is_known, "{line}");
    assert_eq!(line["age"].as_u64().is_some(), is_known, "{line}");
    let slope = line["slope"].as_f64().expect("a number");
    assert!((1.5..2.5).contains(&slope), "{line}");
    // Single tasks report too rarely for a known baseline.
    assert_eq!((&line["unmeasured"], &line["over"]), (&2.into(), &0.into()));
    assert_eq!(line["bearing"], 0, "{line}");
    for name in ["limited", "beside"] {
        assert_eq!(line[name], limited, "{name} in {line}");
    }
}
