//! Lifecycle of a task under failures, checked against what the workers record of their own runs:
//! no worker runs over its capacity (I1), no task runs in two places (I2), evicted tasks resume
//! once (I3), what is reported as not run did not run (I5), and at-most-once tasks run at most once
//! (I6).

mod life;

use jayfork::base::{Millis, TaskId};
use jayfork::connection::Command;
use jayfork::connection::wire::TaskState;
use jayfork::version::{Phase, Record};
use life::world::{Call, CallKind, World, task_id};
use proptest::prelude::*;
use yare::parameterized;

/// A stage that task 0 has just reached.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Accepted,
    ClaimAppended,
    ClaimRead,
    StartSent,
    StartReceived,
    Running,
    CheckpointRequested,
    CheckpointTaken,
    CheckpointRecorded,
    Ended,
    EndRecorded,
    Acknowledged,
}

/// What happens at that stage.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Killed,
    Frozen,
    StartAnswerLost,
    AppendAnswerLost,
}

fn is_logged(world: &World, is_wanted: impl Fn(&Record) -> bool) -> bool {
    let records = world.log.iter().flat_map(|(_, batch)| &batch.records);
    records.into_iter().any(is_wanted)
}

/// Whether an active host has read a claim of task 0.
fn is_claim_read(world: &World) -> bool {
    let is_claimed = |host: &life::host::Host| {
        let task = host.ledger.task(&task_id(0));
        host.is_active() && task.is_some_and(|task| matches!(task.phase, Phase::Claimed { .. }))
    };
    world.hosts.iter().any(is_claimed)
}

/// Whether the holder of the worker that runs task 0 knows that it runs.
fn is_known_running(world: &World) -> bool {
    let Some((worker, _)) = world.running(0) else {
        return false;
    };
    let name = &world.workers[worker].name;
    let holder = world.holder(worker).map(|holder| &world.hosts[holder]);
    let tracked = holder.and_then(|host| host.dispatcher.worker(name));
    tracked.is_some_and(|tracked| {
        let tracked_attempt = tracked.attempts.get(&task_id(0));
        tracked_attempt.is_some_and(|tracked_attempt| {
            tracked_attempt.state == jayfork::request::AttemptState::Running
        })
    })
}

fn has_reached(world: &World, stage: Stage) -> bool {
    let task = task_id(0);
    let any = |state| world.workers.iter().any(|worker| worker.has(&task, state));
    match stage {
        Stage::Accepted => is_logged(world, |record| matches!(record, Record::Accepted(_))),
        Stage::ClaimAppended => is_logged(world, |record| matches!(record, Record::Claimed { .. })),
        Stage::ClaimRead => is_claim_read(world),
        Stage::StartSent => world.is_in_flight(|call| matches!(call, Call::Start(_))),
        Stage::StartReceived => world.running(0).is_some() && !is_known_running(world),
        Stage::Running => is_known_running(world),
        Stage::CheckpointRequested => world.is_in_flight(|call| matches!(call, Call::Command(..))),
        Stage::CheckpointTaken => any(TaskState::Checkpointed),
        Stage::CheckpointRecorded => is_logged(world, |record| {
            matches!(record, Record::Checkpointed { .. })
        }),
        Stage::Ended => any(TaskState::Succeeded),
        Stage::EndRecorded => is_logged(world, |record| matches!(record, Record::Ended { .. })),
        Stage::Acknowledged => {
            let is_ended = is_logged(world, |record| matches!(record, Record::Ended { .. }));
            is_ended
                && world
                    .workers
                    .iter()
                    .any(|worker| worker.has_acknowledged(&task))
        }
    }
}

/// The host that is responsible for task 0 now: the holder of the worker that the task is claimed
/// for or runs on, and otherwise the host that accepted it.
fn responsible_host(world: &World) -> usize {
    let mut on = world.running(0).map(|(worker, _)| worker);
    if let Some(Phase::Claimed { worker, .. }) = world.ledger.task(&task_id(0)).map(|t| &t.phase) {
        on = world.workers.iter().position(|other| other.name == *worker);
    }
    on.and_then(|worker| world.holder(worker)).unwrap_or(0)
}

/// Evicts task 0 once it runs, and ends the run that follows the checkpoint.
#[derive(Debug, Default)]
struct EvictionScript {
    evicted: Option<Millis>,
    ended: bool,
    running_since: Option<Millis>,
}

impl EvictionScript {
    fn advance(&mut self, world: &mut World) {
        if !is_known_running(world) {
            self.running_since = None;
            return;
        }
        let running_since = *self.running_since.get_or_insert(world.now);
        if world.now.since(running_since) < Millis(500) {
            return;
        }
        let is_checkpointed = world
            .runs
            .iter()
            .any(|run| run.end == Some(TaskState::Checkpointed));
        let is_requested = self
            .evicted
            .is_some_and(|at| world.now.since(at) < Millis(3_000));
        if !is_checkpointed && !is_requested {
            self.evicted = Some(world.now);
            world.command(0, Command::Checkpoint);
        }
        if is_checkpointed && !self.ended {
            self.ended = true;
            world.end(0, TaskState::Succeeded);
        }
    }
}

/// Applies the fault; returns the responsible host at that time.
fn inject(world: &mut World, fault: Fault) -> usize {
    let host = responsible_host(world);
    let until = world.now + Millis(5_000);
    match fault {
        Fault::None => {}
        Fault::Killed => world.kill(host),
        Fault::Frozen => world.hosts[host].is_frozen = true,
        Fault::StartAnswerLost => {
            world.lossy_until.insert(CallKind::Start, until);
        }
        Fault::AppendAnswerLost => {
            world.lossy_until.insert(CallKind::Append, until);
        }
    }
    host
}

/// Runs task 0 from submission to end with one fault at one stage; returns whether the stage was
/// reached. A frozen host goes on after 10 s, and a killed one restarts after 30 s.
fn run_with_fault(kind: u32, stage: Stage, fault: Fault) -> bool {
    let mut world = World::new(3, 2, Millis(50));
    let mut script = EvictionScript::default();
    (0..80).for_each(|_| world.tick());
    world.submit(0, 0, kind);
    let mut injected: Option<(usize, Millis)> = None;
    for _ in 0..2_400 {
        world.tick();
        script.advance(&mut world);
        if injected.is_none() && has_reached(&world, stage) {
            injected = Some((inject(&mut world, fault), world.now));
        }
        if let Some((host, at)) = injected {
            if world.now.since(at) == Millis(10_000) {
                world.hosts[host].is_frozen = false;
            }
            if world.now.since(at) == Millis(30_000) {
                world.restart(host);
            }
        }
    }
    world.check_end();
    assert!(!world.ledger.is_empty(), "the task was never accepted");
    assert!(script.ended || kind == 1, "the task was not run to its end");
    if matches!(fault, Fault::None) {
        let done = world.ledger.task(&task_id(0)).map(|task| task.is_done());
        assert_eq!(done, Some(kind != 2));
    }
    injected.is_some()
}

/// Guards against a task that is lost, runs twice or is reported with a wrong result when the
/// responsible host or one of its calls fails between two stages.
#[parameterized(
    accepted = { Stage::Accepted },
    claim_appended = { Stage::ClaimAppended },
    claim_read = { Stage::ClaimRead },
    start_sent = { Stage::StartSent },
    start_received = { Stage::StartReceived },
    running = { Stage::Running },
    checkpoint_requested = { Stage::CheckpointRequested },
    checkpoint_taken = { Stage::CheckpointTaken },
    checkpoint_recorded = { Stage::CheckpointRecorded },
    ended = { Stage::Ended },
    end_recorded = { Stage::EndRecorded },
    acknowledged = { Stage::Acknowledged },
)]
fn fault_after(stage: Stage) {
    let faults = [
        Fault::None,
        Fault::Killed,
        Fault::Frozen,
        Fault::StartAnswerLost,
        Fault::AppendAnswerLost,
    ];
    for (name, kind) in [("restartable", 0), ("at most once", 1), ("watcher", 2)] {
        for fault in faults {
            println!("{name}, {fault:?} after {stage:?}");
            assert!(
                run_with_fault(kind, stage, fault),
                "{name}: {stage:?} was not reached"
            );
        }
    }
}

/// A step of a random sequence of work and faults. Hosts, workers and tasks are given by index.
#[derive(Debug, Clone)]
enum Event {
    /// Lets this number of ticks pass.
    Ticks(u8),
    /// Submits a task at a host; every third task is at-most-once, every third one a watcher.
    Submit(usize, u32),
    Cancel(usize, u32),
    Evict(u32),
    /// Ends the run of a task; `true` means success.
    End(u32, bool),
    Kill(usize),
    Restart(usize),
    /// Freezes a host, or lets it go on if `false`.
    Freeze(usize, bool),
    /// Makes the log available or unavailable.
    Log(bool),
    /// Loses the answers to calls of a kind for this number of ms.
    LoseAnswers(CallKind, u64),
    /// Delays the next call of a kind by this number of ms.
    DelayCall(CallKind, u64),
    /// Cuts the connection of a host and a worker, or restores it if `false`.
    Cut(usize, usize, bool),
    StopWorker(usize),
    RestartWorker(usize),
    /// Lets the next two starts at a worker fail.
    FailStarts(usize),
}

const TASKS: u32 = 12;

fn event() -> impl Strategy<Value = Event> {
    let (host, worker, task) = (0..3usize, 0..2usize, 0..TASKS);
    let kind = prop_oneof![Just(CallKind::Start), Just(CallKind::Append)];
    prop_oneof![
        12 => (1..30u8).prop_map(Event::Ticks),
        6 => (host.clone(), task.clone()).prop_map(|(host, task)| Event::Submit(host, task)),
        2 => (host.clone(), task.clone()).prop_map(|(host, task)| Event::Cancel(host, task)),
        3 => task.clone().prop_map(Event::Evict),
        3 => (task, any::<bool>()).prop_map(|(task, good)| Event::End(task, good)),
        2 => host.clone().prop_map(Event::Kill),
        2 => host.clone().prop_map(Event::Restart),
        4 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Event::Freeze(host, on)),
        3 => any::<bool>().prop_map(Event::Log),
        2 => (kind.clone(), 500..6_000u64).prop_map(|(kind, time)| Event::LoseAnswers(kind, time)),
        3 => (kind, 500..10_000u64).prop_map(|(kind, time)| Event::DelayCall(kind, time)),
        4 => (host, worker.clone(), any::<bool>()).prop_map(|(h, w, on)| Event::Cut(h, w, on)),
        1 => worker.clone().prop_map(Event::StopWorker),
        2 => worker.clone().prop_map(Event::RestartWorker),
        1 => worker.prop_map(Event::FailStarts),
    ]
}

fn run(world: &mut World, event: &Event) {
    match *event {
        Event::Ticks(count) => (0..count).for_each(|_| world.tick()),
        Event::Submit(host, task) => world.submit(host, task, task % 3),
        Event::Cancel(host, task) => world.cancel(host, task),
        Event::Evict(task) => world.command(task, Command::Checkpoint),
        Event::End(task, true) => world.end(task, TaskState::Succeeded),
        Event::End(task, false) => world.end(task, TaskState::Failed),
        Event::Kill(host) => world.kill(host),
        Event::Restart(host) => world.restart(host),
        Event::Freeze(host, is_frozen) => world.hosts[host].is_frozen = is_frozen,
        Event::Log(is_up) => world.log_up = is_up,
        Event::LoseAnswers(kind, time) => {
            world.lossy_until.insert(kind, world.now + Millis(time));
        }
        Event::DelayCall(kind, time) => {
            world.extra_delay.insert(kind, Millis(time));
        }
        Event::Cut(host, worker, true) => {
            world.cut_links.insert((host, worker));
        }
        Event::Cut(host, worker, false) => {
            world.cut_links.remove(&(host, worker));
        }
        Event::StopWorker(worker) => {
            let runs = &mut world.runs;
            world.workers[worker].stop(runs);
        }
        Event::RestartWorker(worker) => world.workers[worker].restart(),
        Event::FailStarts(worker) => world.workers[worker].failing_starts = 2,
    }
    world.tick();
}

/// Ends the faults and then every run, so that all tasks but the watchers are done.
fn finish(world: &mut World) {
    world.end_faults();
    for round in 0..1_000 {
        world.tick();
        let running: Vec<TaskId> = world
            .workers
            .iter()
            .flat_map(|worker| worker.running())
            .map(|(task, _)| task)
            .collect();
        for task in running
            .iter()
            .filter(|task| task.index % 3 != 2 && round % 8 == 0)
        {
            world.end(task.index, TaskState::Succeeded);
        }
    }
    world.check_end();
}

/// `PROPTEST_CASES` replaces the number of cases.
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
    #![proptest_config(config(400))]

    /// Guards against tasks that are lost, run twice or are reported with a wrong result under any
    /// order of faults.
    #[test]
    fn any_order_of_faults(events in prop::collection::vec(event(), 1..80)) {
        let mut world = World::new(3, 2, Millis(250));
        (0..16).for_each(|_| world.tick());
        events.iter().for_each(|event| run(&mut world, event));
        finish(&mut world);
    }
}

/// Guards against the return of faults that `any_order_of_faults` found earlier.
#[parameterized(
    // A worker reported the end of a run before its new holder had read the claim, and the task was
    // cancelled.
    end_before_claim = { &[
        Event::Submit(1, 6), Event::Kill(2), Event::Log(false), Event::Cut(0, 0, true),
        Event::Cancel(0, 6), Event::Ticks(8), Event::Restart(0), Event::End(6, false),
        Event::Ticks(6), Event::Log(true), Event::Freeze(1, true), Event::Ticks(5),
        Event::Log(false), Event::Restart(2), Event::Cut(0, 0, false), Event::Log(true),
        Event::Ticks(1),
    ] },
    // The same, with both other hosts frozen while the log is down.
    end_before_claim_outage = { &[
        Event::Submit(0, 0), Event::Ticks(4), Event::Submit(0, 0), Event::Submit(0, 6),
        Event::Kill(2), Event::Ticks(5), Event::Freeze(1, true), Event::Cancel(0, 6),
        Event::Log(false), Event::Ticks(40), Event::Freeze(0, true), Event::Ticks(98),
        Event::Restart(2), Event::Ticks(8),
    ] },
    // After a failed append that contained only claims, the journal stayed unhealthy.
    refused_claim = { &[
        Event::Kill(1), Event::Log(false), Event::Ticks(2), Event::Submit(0, 0),
        Event::Log(true), Event::Log(false), Event::Evict(0),
    ] },
    // A task waited behind watchers on one worker while the worker of another host was idle.
    claimed_ahead = { &[
        Event::Submit(0, 5), Event::Submit(0, 2), Event::Cut(1, 0, true), Event::Submit(0, 8),
        Event::Submit(0, 0), Event::Kill(0), Event::Ticks(10),
    ] },
)]
fn orders_that_failed_before(events: &[Event]) {
    let mut world = World::new(3, 2, Millis(250));
    (0..16).for_each(|_| world.tick());
    events.iter().for_each(|event| run(&mut world, event));
    finish(&mut world);
}
