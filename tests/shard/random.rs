//! Random histories: the invariants hold after every change, and every accepted job ends unless it
//! is long-running.

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, Outcome};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::world::{FaultRates, World, chain, long_running};

/// One change in a history.
#[derive(Debug, Clone)]
enum Change {
    Submit {
        steps: Vec<u16>,
        processors: u32,
    },
    SubmitLongRunning {
        count: u16,
    },
    /// Cancels the `back`-th newest job.
    Cancel {
        back: u64,
    },
    /// A new owner claims the shard, after the old one is killed if `kills` is set.
    Claim {
        kills: bool,
    },
    /// Starts or ends an outage of the store.
    ToggleOutage,
    /// Cuts a worker's network or restores it.
    ToggleNetwork {
        worker: usize,
    },
    Restart {
        worker: usize,
    },
    Pause {
        millis: u64,
    },
}

const WORKERS: usize = 4;

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        6 => (prop::collection::vec(1u16..6, 1..4), 500u32..3_000)
            .prop_map(|(steps, processors)| Change::Submit { steps, processors }),
        2 => (1u16..6).prop_map(|count| Change::SubmitLongRunning { count }),
        2 => (1u64..6).prop_map(|back| Change::Cancel { back }),
        1 => any::<bool>().prop_map(|kills| Change::Claim { kills }),
        1 => Just(Change::ToggleOutage),
        1 => (0..WORKERS).prop_map(|worker| Change::ToggleNetwork { worker }),
        1 => (0..WORKERS).prop_map(|worker| Change::Restart { worker }),
        6 => (20u64..900).prop_map(|millis| Change::Pause { millis }),
    ]
}

pub fn faults() -> impl Strategy<Value = FaultRates> {
    (0.0..0.15f64, 0.0..0.1f64, 0.0..0.2f64, 0.0..0.2f64).prop_map(
        |(answer_loss, order_delay, store_loss, run_failure)| FaultRates {
            answer_loss,
            order_delay,
            store_loss,
            run_failure,
        },
    )
}

/// Runs a history. Then all faults end and a last owner claims the shard; the jobs are checked a
/// minute later, and again once no long-running task takes room any more.
fn run_history(seed: u64, faults: FaultRates, changes: &[Change]) {
    let mut world = World::new(seed, WORKERS, 8_000);
    world.claim();
    world.run(600);
    world.faults = faults;
    let mut tickets = Vec::new();
    let mut cancelled = Vec::new();
    let mut id = 0;
    for change in changes {
        match change {
            Change::Submit { steps, processors } => {
                id += 1;
                tickets.push((id, world.submit(id, &chain(steps, *processors)), false));
            }
            Change::SubmitLongRunning { count } => {
                id += 1;
                tickets.push((id, world.submit(id, &long_running(*count, 1_000)), true));
            }
            Change::Cancel { back } if *back <= id => {
                let job = id + 1 - back;
                cancelled.push((job, world.cancel(job)));
            }
            Change::Cancel { .. } => {}
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
        world.run(10);
        world.assert_no_violations();
    }
    world.faults = FaultRates::default();
    world.store.is_down = false;
    world
        .fleet
        .workers
        .iter_mut()
        .for_each(|worker| worker.is_unreachable = false);
    world.claim();
    world.run(60_000);
    world.assert_no_violations();
    for (id, ticket, lasts) in &tickets {
        check_job(&mut world, *id, *ticket, *lasts, &cancelled);
    }
    for (id, ..) in tickets.iter().filter(|(.., lasts)| *lasts) {
        world.cancel(*id);
    }
    world.run(30_000);
    world.assert_no_violations();
    for (id, ticket, _) in tickets.iter().filter(|(.., lasts)| !lasts) {
        let is_accepted = world.replies.get(ticket) == Some(&Reply::Accepted);
        if is_accepted && !cancelled.iter().any(|(job, _)| job == id) {
            let state = world.state(*id);
            let has_ended =
                matches!(state, Some(Reply::State { outcome, .. }) if outcome.is_some());
            assert!(
                has_ended,
                "job {id} has not ended without long-running tasks"
            );
        }
    }
}

/// Checks that an accepted job has ended unless it is long-running or no worker has room for its tasks,
/// that a refused one never ran and that a cancelled one has no runs.
fn check_job(world: &mut World, id: u64, ticket: u64, lasts: bool, cancelled: &[(u64, u64)]) {
    let is_cancelled = cancelled.iter().any(|(job, _)| *job == id);
    match world.replies.get(&ticket).copied() {
        Some(Reply::Accepted) => {
            let Some(Reply::State { outcome, .. }) = world.state(id) else {
                panic!("accepted job {id} is unknown");
            };
            if !lasts && !is_cancelled {
                let lacks_room = world.fleet.lacks_room(JobId(id));
                assert!(outcome.is_some() || lacks_room, "job {id} has not ended");
            }
            if outcome == Some(Outcome::Failed) {
                let may_fail = world.fleet.may_fail(JobId(id));
                assert!(may_fail, "job {id} has failed without cause");
            }
        }
        Some(Reply::Refused { .. }) => {
            let ran = world.fleet.done.iter().any(|task| task.step.job.0 == id);
            assert!(!ran, "job {id} was refused and ran");
        }
        _ => {}
    }
    for (job, ticket) in cancelled.iter().filter(|(job, _)| *job == id) {
        if world.replies.get(ticket) == Some(&Reply::Cancelled) {
            assert_eq!(world.running(*job), 0, "cancelled job {job} runs on");
        }
    }
}

/// A number from an environment variable, to run more or other histories by hand.
pub fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: env_number("SHARD_CASES", 64) as u32,
        rng_seed: RngSeed::Fixed(env_number("SHARD_SEED", 1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against overcommitted workers, two runs of a task at once, steps out of order,
    /// attempts beyond the limit, jobs that fail without cause, lost jobs and cancelled jobs that run on, at any interleaving of
    /// events and faults.
    #[test]
    fn invariants_hold_in_random_histories(
        seed in any::<u64>(),
        faults in faults(),
        changes in prop::collection::vec(change(), 10..60),
    ) {
        run_history(seed, faults, &changes);
    }
}
