//! Evacuation of data centres: no start there after the bound, and work goes on elsewhere.

use jayfork::base::Size;
use jayfork::process::shard::Reply;
use jayfork::request::job::JobSpec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use super::evacuation_model::{BOUND, Operator};
use super::random::{env_number, faults};
use super::world::{FaultRates, World, chain, long_running};

/// Workers, in three data centres in turn.
const WORKERS: usize = 6;
const DATA_CENTRES: [&str; 3] = ["east", "west", "south"];

fn world(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS, 8_000);
    world.operator = Operator::of_three();
    world.claim();
    world.run(600);
    world
}

fn has_ended(world: &mut World, id: u64) -> bool {
    matches!(
        world.state(id),
        Some(Reply::State {
            outcome: Some(_),
            ..
        })
    )
}

/// Guards against a task that starts in a data centre after its evacuation is known, and against jobs that wait for
/// it although others have room.
#[test]
fn jobs_go_on_outside_an_evacuated_data_centre() {
    let mut world = world(1);
    world.evacuate("west");
    world.run(BOUND);
    for id in 1..=20 {
        world.submit(id, &chain(&[3, 2], 2_000));
        world.run(100);
    }
    world.run(10_000);
    world.assert_no_violations();
    let open: Vec<u64> = (1..=20).filter(|id| !has_ended(&mut world, *id)).collect();
    assert!(open.is_empty(), "{open:?}");
}

/// Guards against a data centre that gets no work after it is given back.
#[test]
fn a_data_centre_that_is_given_back_gets_starts() {
    let mut world = world(2);
    DATA_CENTRES.iter().for_each(|name| world.evacuate(name));
    world.run(2_000);
    world.submit(1, &chain(&[3], 2_000));
    world.run(5_000);
    assert_eq!(world.running(1), 0);
    assert!(!has_ended(&mut world, 1));
    world.give_back("south");
    world.run(5_000);
    assert!(has_ended(&mut world, 1));
    world.assert_no_violations();
}

/// Guards against long-running tasks that stay in an evacuated data centre, or are all away at once.
#[parameterized(
    without_a_limit = { None },
    with_a_limit_of_absences = { Some(1) },
)]
fn long_running_tasks_move_a_few_at_a_time(absent: Option<u16>) {
    const TASKS: u16 = 12;
    let mut world = world(3);
    let mut spec = long_running(TASKS, 1_000);
    spec.steps[0].absent = absent;
    world.submit(1, &spec);
    world.run(3_000);
    let there = world.running_in(1, "east");
    assert!(there > 0);
    world.evacuate("east");
    let mut least = usize::from(TASKS);
    for _ in 0..400 {
        world.run(50);
        least = least.min(world.running(1));
    }
    world.assert_no_violations();
    assert_eq!(world.running_in(1, "east"), 0);
    assert_eq!(world.running(1), usize::from(TASKS));
    let away = usize::from(TASKS) - least;
    assert!(
        away <= absent.map_or(2, usize::from),
        "{away} tasks were away at once"
    );
}

/// Guards against tasks that are stopped although no other worker has room for them, or while tasks wait for it.
#[test]
fn tasks_without_room_elsewhere_stay() {
    let mut world = world(4);
    world.submit(1, &long_running(WORKERS as u16, 8_000));
    world.run(3_000);
    assert_eq!(world.running(1), WORKERS);
    world.evacuate("east");
    world.run(10_000);
    world.assert_no_violations();
    assert_eq!(world.running_in(1, "east"), WORKERS / 3);
}

/// Guards against a new owner that starts tasks before it knows which data centres are evacuated.
#[parameterized(
    killed = { true },
    superseded = { false },
)]
fn a_new_owner_starts_nothing_in_an_evacuated_data_centre(kills: bool) {
    let mut world = world(5);
    world.evacuate("west");
    world.run(BOUND + 1_000);
    world.operator.first_read = 1_000;
    for id in 1..=30 {
        world.submit(id, &chain(&[4], 1_000));
        if id % 10 == 0 {
            if kills {
                let owner = world.owner().expect("an owner");
                world.kill(owner);
            }
            world.claim();
        }
        world.run(150);
    }
    world.run(10_000);
    world.assert_no_violations();
}

/// Guards against jobs that find room counted which is evacuated, so that they are accepted and end late.
#[test]
fn the_room_of_an_evacuated_data_centre_does_not_count() {
    let accepted = |is_evacuated: bool| {
        let mut world = world(6);
        world.runtimes = 500..501;
        if is_evacuated {
            world.evacuate("east");
            world.evacuate("west");
        }
        world.run(BOUND);
        let tickets: Vec<u64> = (1..=300)
            .map(|id| {
                let ticket = world.submit(id, &wide());
                world.run(40);
                ticket
            })
            .collect();
        world.run(1_000);
        world.assert_no_violations();
        let is_accepted = |ticket: &&u64| world.replies.get(*ticket) == Some(&Reply::Accepted);
        tickets.iter().filter(is_accepted).count()
    };
    let (all, third) = (accepted(false), accepted(true));
    assert!(third * 2 < all, "{third} of {all}");
}

/// A job that takes two thirds of a worker for half a second.
fn wide() -> JobSpec {
    let mut spec = chain(&[4], 1_000);
    spec.steps[0].size = Size::new(2_600, 100, 0);
    spec
}

/// One change in a history.
#[derive(Debug, Clone)]
enum Change {
    Submit { steps: Vec<u16>, processors: u32 },
    SubmitLongRunning { count: u16, absent: Option<u16> },
    Evacuate(usize),
    GiveBack(usize),
    Claim { kills: bool },
    ToggleOutage,
    ToggleNetwork { worker: usize },
    Restart { worker: usize },
    Pause { millis: u64 },
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (prop::collection::vec(1u16..6, 1..4), 500u32..3_000)
            .prop_map(|(steps, processors)| Change::Submit { steps, processors }),
        2 => (1u16..8, prop::option::of(0u16..3))
            .prop_map(|(count, absent)| Change::SubmitLongRunning { count, absent }),
        4 => (0..DATA_CENTRES.len()).prop_map(Change::Evacuate),
        2 => (0..DATA_CENTRES.len()).prop_map(Change::GiveBack),
        1 => any::<bool>().prop_map(|kills| Change::Claim { kills }),
        1 => Just(Change::ToggleOutage),
        1 => (0..WORKERS).prop_map(|worker| Change::ToggleNetwork { worker }),
        1 => (0..WORKERS).prop_map(|worker| Change::Restart { worker }),
        8 => (200u64..4_000).prop_map(|millis| Change::Pause { millis }),
    ]
}

/// Time for which owners know the outcome of a job, in milliseconds.
const STATUS_KEEP: u64 = 120_000;

/// Runs a history. Then all faults and evacuations end, and accepted jobs end too.
fn run_history(seed: u64, faults: FaultRates, changes: &[Change]) {
    let mut world = world(seed);
    world.faults = faults;
    let mut jobs: Vec<(u64, u64, bool)> = Vec::new();
    let mut submitted_at: Vec<u64> = Vec::new();
    for change in changes {
        let id = jobs.len() as u64 + 1;
        match change {
            Change::Submit { steps, processors } => {
                jobs.push((id, world.submit(id, &chain(steps, *processors)), false));
            }
            Change::SubmitLongRunning { count, absent } => {
                let mut spec = long_running(*count, 1_000);
                spec.steps[0].absent = *absent;
                jobs.push((id, world.submit(id, &spec), true));
            }
            Change::Evacuate(index) => world.evacuate(DATA_CENTRES[*index]),
            Change::GiveBack(index) => world.give_back(DATA_CENTRES[*index]),
            Change::Claim { kills } => {
                if let Some(owner) = world.owner().filter(|_| *kills) {
                    world.kill(owner);
                }
                world.claim();
            }
            Change::ToggleOutage => world.store.is_down = !world.store.is_down,
            Change::ToggleNetwork { worker } => {
                let is_unreachable = &mut world.fleet.workers[*worker].is_unreachable;
                *is_unreachable = !*is_unreachable;
            }
            Change::Restart { worker } => world.fleet.restart(world.now, *worker),
            Change::Pause { millis } => world.run(*millis),
        }
        submitted_at.resize(jobs.len(), world.now);
        world.run(10);
        world.assert_no_violations();
    }
    world.faults = FaultRates::default();
    world.store.is_down = false;
    let workers = world.fleet.workers.iter_mut();
    workers.for_each(|worker| worker.is_unreachable = false);
    DATA_CENTRES.iter().for_each(|name| world.give_back(name));
    world.claim();
    world.run(30_000);
    for (id, ..) in jobs.iter().filter(|(.., lasts)| *lasts) {
        world.cancel(*id);
    }
    world.run(40_000);
    world.assert_no_violations();
    for ((id, ticket, lasts), at) in jobs.into_iter().zip(submitted_at) {
        let is_accepted = world.replies.get(&ticket) == Some(&Reply::Accepted);
        let is_forgotten = world.now >= at + STATUS_KEEP && world.state(id) == Some(Reply::Gone);
        assert!(
            !is_accepted || lasts || is_forgotten || has_ended(&mut world, id),
            "job {id} has not ended"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: env_number("SHARD_CASES", 64) as u32,
        rng_seed: RngSeed::Fixed(env_number("SHARD_SEED", 1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against starts in evacuated data centres after the bound, at any interleaving of requests, changes of
    /// the owner, outages, lost and late orders and restarts, and against jobs that are stuck afterwards.
    #[test]
    fn no_task_starts_in_an_evacuated_data_centre_in_random_histories(
        seed in any::<u64>(),
        faults in faults(),
        changes in prop::collection::vec(change(), 10..60),
    ) {
        run_history(seed, faults, &changes);
    }
}
