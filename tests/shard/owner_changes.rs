//! Random histories of owners that replace each other while they are cut off, paused, asked to stop or killed, of
//! workers that fall silent, and of late orders. After every step no task has run twice at once, none has started
//! after an end that is acknowledged, and none waits above its bound.

use std::cell::{Cell, RefCell};

use jayfork::request::job::JobSpec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

use super::hosts::{Due, Fate, Hosts};
use super::random::{env_number, faults};
use super::wait_model::Waits;
use super::world::{FaultRates, STEP, World, chain, long_running};

const WORKERS: usize = 4;
/// Time after the last change of a history in which all waits end, in milliseconds.
const CALM_TIME: u64 = 12_000;

/// Why an owner is replaced.
#[derive(Debug, Clone)]
enum Cause {
    Killed,
    /// It is cut off with some of the workers for a while.
    Isolated {
        workers: Vec<usize>,
        millis: u64,
    },
    Paused {
        millis: u64,
    },
    /// Another host takes it for lost.
    Suspected,
    Stopped,
}

/// One change in a history.
#[derive(Debug, Clone)]
enum Change {
    Submit {
        steps: Vec<u16>,
        processors: u32,
    },
    SubmitLongRunning {
        count: u16,
        processors: u32,
    },
    /// Cancels the `back`-th newest job.
    Cancel {
        back: u64,
    },
    /// The next owner claims the shard after `delay`, unless the host that stops chooses when.
    Replace {
        cause: Cause,
        delay: u64,
        fate: Fate,
    },
    /// A worker is cut off, if `after_end` is set as soon as a run ends there.
    Silence {
        worker: usize,
        refuses: bool,
        after_end: bool,
        millis: u64,
    },
    /// A worker announces that it leaves, and stays after all.
    Drain {
        worker: usize,
        millis: u64,
    },
    /// A worker announces that it leaves and is cut off after `delay`.
    Leave {
        worker: usize,
        refuses: bool,
        delay: u64,
        millis: u64,
    },
    Outage {
        millis: u64,
    },
}

fn cause() -> impl Strategy<Value = Cause> {
    let workers = prop::sample::subsequence((0..WORKERS).collect::<Vec<_>>(), 0..WORKERS);
    prop_oneof![
        2 => Just(Cause::Killed),
        4 => (workers, length())
            .prop_map(|(workers, millis)| Cause::Isolated { workers, millis }),
        2 => (300u64..5_000).prop_map(|millis| Cause::Paused { millis }),
        1 => Just(Cause::Suspected),
        2 => Just(Cause::Stopped),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Stays),
        1 => (0u64..100, short()).prop_map(|(after, pause)| Fate::Killed(after, pause)),
        2 => short().prop_map(Fate::Stopped),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        2 => (prop::collection::vec(1u16..5, 1..3), 500u32..2_000)
            .prop_map(|(steps, processors)| Change::Submit { steps, processors }),
        1 => (1u16..3, 1_000u32..4_000)
            .prop_map(|(count, processors)| Change::SubmitLongRunning { count, processors }),
        1 => (1u64..6).prop_map(|back| Change::Cancel { back }),
        4 => (cause(), short(), fate())
            .prop_map(|(cause, delay, fate)| Change::Replace { cause, delay, fate }),
        3 => (0..WORKERS, any::<bool>(), any::<bool>(), length()).prop_map(
            |(worker, refuses, after_end, millis)| Change::Silence { worker, refuses, after_end, millis }
        ),
        2 => (0..WORKERS, 300u64..9_000)
            .prop_map(|(worker, millis)| Change::Drain { worker, millis }),
        1 => (0..WORKERS, any::<bool>(), short(), length()).prop_map(
            |(worker, refuses, delay, millis)| Change::Leave { worker, refuses, delay, millis }
        ),
        1 => (100u64..4_000).prop_map(|millis| Change::Outage { millis }),
    ]
}

/// Time from one change to the next, in milliseconds.
fn gap() -> impl Strategy<Value = u64> {
    prop_oneof![3 => short(), 1 => 0u64..3_000, 1 => 3_000u64..9_000]
}

/// A time from one event to another that depends on it, in milliseconds.
fn short() -> impl Strategy<Value = u64> {
    prop_oneof![0u64..60, 0u64..300, 0u64..1_500]
}

/// How long a fault lasts, in milliseconds.
fn length() -> impl Strategy<Value = u64> {
    prop_oneof![200u64..3_000, 3_000u64..9_000, 9_000u64..12_000]
}

fn rates() -> impl Strategy<Value = FaultRates> {
    prop_oneof![Just(FaultRates::default()), faults()]
}

/// A simulation of hosts with a history under way.
struct History {
    hosts: Hosts,
    waits: Waits,
    /// Workers to cut off at the end of a run, with the length of the cut and whether it refuses connections.
    armed: Vec<(usize, bool, u64)>,
    jobs: u64,
    steps: u64,
    /// Steps with two and with three owners at a time.
    overlaps: (u64, u64),
}

impl History {
    fn new(seed: u64, rates: FaultRates) -> Self {
        let world = World::new(seed, WORKERS, 8_000);
        let mut history = History {
            hosts: Hosts::new(world, seed),
            waits: Waits::default(),
            armed: Vec::new(),
            jobs: 0,
            steps: 0,
            overlaps: (0, 0),
        };
        history.hosts.world.faults = rates;
        history.hosts.world.orders.renewal_delay = rates.order_delay / 10.0;
        history.hosts.world.fleet.lapses.excuse = true;
        history.waits.has_losses = rates.answer_loss + rates.order_delay + rates.store_loss > 0.0;
        history
    }

    fn submit(&mut self, spec: &JobSpec) {
        let owner = self.hosts.world.owner();
        if owner.is_none_or(|owner| self.hosts.world.cuts.paused.contains(&owner)) {
            return;
        }
        self.jobs += 1;
        let (id, lasts) = (self.jobs, spec.steps[0].lasts);
        let ticket = self.hosts.world.submit(id, spec);
        self.waits.add(&self.hosts.world, id, ticket, lasts);
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Submit { steps, processors } => self.submit(&chain(steps, *processors)),
            Change::SubmitLongRunning { count, processors } => {
                self.submit(&long_running(*count, *processors));
            }
            Change::Cancel { back } => {
                let owner = self.hosts.world.owner();
                let is_paused =
                    owner.is_some_and(|owner| self.hosts.world.cuts.paused.contains(&owner));
                if *back <= self.jobs && !is_paused {
                    let id = self.jobs + 1 - back;
                    self.hosts.world.cancel(id);
                    self.waits.remove(id);
                }
            }
            Change::Replace { cause, delay, fate } => self.replace(cause, *delay, *fate),
            Change::Silence {
                worker,
                refuses,
                after_end,
                millis,
            } => match after_end {
                true => self.armed.push((*worker, *refuses, *millis)),
                false => self.hosts.silence(*worker, *refuses, *millis),
            },
            Change::Drain { worker, millis } => {
                self.hosts.plan(0, Due::Drain(*worker, true));
                self.hosts.plan(*millis, Due::Drain(*worker, false));
            }
            Change::Leave {
                worker,
                refuses,
                delay,
                millis,
            } => {
                let hosts = &mut self.hosts;
                hosts.plan(0, Due::Drain(*worker, true));
                hosts.plan(*delay, Due::Silence(*worker, *refuses, *millis));
                hosts.plan(delay + millis, Due::Drain(*worker, false));
            }
            Change::Outage { millis } => {
                self.hosts.world.store.is_down = true;
                self.hosts.plan(*millis, Due::StoreUp);
            }
        }
    }

    fn replace(&mut self, cause: &Cause, delay: u64, fate: Fate) {
        let Some(owner) = self.hosts.world.owner() else {
            self.hosts.plan(delay, Due::Claim(fate));
            return;
        };
        match cause {
            Cause::Killed => self.hosts.world.kill(owner),
            Cause::Isolated { workers, millis } => {
                self.hosts.isolate(owner, workers.clone(), *millis);
            }
            Cause::Paused { millis } => self.hosts.pause(owner, *millis),
            Cause::Suspected => {}
            Cause::Stopped => {
                self.hosts.stop(owner);
                return;
            }
        }
        self.hosts.plan(delay, Due::Claim(fate));
    }

    /// Advances the simulation and checks it after every step.
    fn run(&mut self, millis: u64) -> Result<(), String> {
        for _ in 0..millis.div_ceil(STEP) {
            let runs = self.run_counts();
            self.hosts.step();
            self.steps += 1;
            match self.hosts.world.owners.iter().flatten().count() {
                2 => self.overlaps.0 += 1,
                3 => self.overlaps.1 += 1,
                _ => {}
            }
            self.cut_off_after_ends(runs);
            if let Some(violation) = self.hosts.world.fleet.violations.first() {
                return Err(violation.clone());
            }
            if let Some(excess) = self.waits.check(&self.hosts) {
                return Err(excess);
            }
        }
        Ok(())
    }

    fn run_counts(&self) -> [usize; WORKERS] {
        std::array::from_fn(|worker| self.hosts.world.fleet.workers[worker].runs.len())
    }

    fn cut_off_after_ends(&mut self, before: [usize; WORKERS]) {
        let after = self.run_counts();
        let has_end = |worker: usize| after[worker] < before[worker];
        let (cut, armed) = std::mem::take(&mut self.armed)
            .into_iter()
            .partition(|(worker, ..)| has_end(*worker));
        self.armed = armed;
        for (worker, refuses, millis) in cut {
            self.hosts.silence(worker, refuses, millis);
        }
    }

    /// Runs the changes, each after its gap, and then until all faults and waits are over.
    fn run_changes(&mut self, changes: &[(u64, Change)]) -> Result<(), String> {
        self.run(600)?;
        for _ in 0..4 {
            self.submit(&long_running(1, 3_000));
        }
        self.submit(&chain(&[4, 2], 1_000));
        self.run(1_000)?;
        for (gap, change) in changes {
            self.run(*gap)?;
            self.apply(change);
        }
        self.run(CALM_TIME)
    }
}

/// What a series of histories has covered.
#[derive(Debug, Default)]
struct Coverage {
    histories: u64,
    steps: u64,
    /// Steps with two and with three owners at a time.
    overlaps: (u64, u64),
    starts: u64,
    /// Longest wait of long-running and of other tasks, without lost or late messages and with them.
    waits: (u64, u64),
    lossy_waits: (u64, u64),
}

impl Coverage {
    fn add(&mut self, history: &History) {
        self.histories += 1;
        self.steps += history.steps;
        self.overlaps.0 += history.overlaps.0;
        self.overlaps.1 += history.overlaps.1;
        self.starts += history.hosts.world.fleet.starts;
        let longest = match history.waits.has_losses {
            true => &mut self.lossy_waits,
            false => &mut self.waits,
        };
        longest.0 = longest.0.max(history.waits.longest.0);
        longest.1 = longest.1.max(history.waits.longest.1);
    }
}

/// Guards against tasks that run twice at once or start after an acknowledged end, and against waits above their
/// bounds, while several owners give orders or one replaces the other.
#[test]
fn owners_that_replace_each_other_keep_the_invariants() {
    let limit = env_number("SHARD_STEPS", 1_000_000);
    let seed = env_number("SHARD_SEED", 3);
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let changes = prop::collection::vec((gap(), change()), 3..13);
    let histories = (any::<u64>(), rates(), changes);
    let mut runner = TestRunner::new(config);
    let coverage = RefCell::new(Coverage::default());
    let failed_at = Cell::new(None);
    while coverage.borrow().steps < limit {
        let history = histories.new_tree(&mut runner).expect("a history");
        let result = runner.run_one(history, |(seed, rates, changes)| {
            let mut history = History::new(seed, rates);
            let result = history.run_changes(&changes);
            let mut coverage = coverage.borrow_mut();
            coverage.add(&history);
            result.map_err(|reason| {
                failed_at.set(failed_at.get().or(Some(coverage.steps)));
                TestCaseError::fail(reason)
            })
        });
        if let Err(TestError::Fail(reason, history)) = result {
            let failed_at = failed_at.get();
            panic!("after {failed_at:?} steps of seed {seed}: {reason}\n{history:#?}");
        }
    }
    let coverage = coverage.into_inner();
    eprintln!("{coverage:?}");
    assert!(coverage.overlaps.1 > 0, "{coverage:?}");
}
