//! Random changes of the owner, among them hosts that are told how long workers have been without a lease, while each
//! owner reaches other workers.

use jayfork::process::shard::Handover;

use super::world::{World, chain, long_running};

/// Number of histories.
const CASES: u64 = 60;
const WORKERS: usize = 4;
/// Long-running jobs; each fills more than half of a worker.
const JOBS: u64 = 3;

struct History {
    world: World,
    rng: fastrand::Rng,
    owner: usize,
    /// Ordinal of the newest epoch.
    ordinal: u64,
    /// Owners that have told their state.
    told: usize,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, WORKERS, 8_000);
        let owner = world.claim();
        world.run(500);
        for id in 1..=JOBS {
            world.submit(id, &long_running(1, 5_000));
        }
        world.run(1_500);
        let rng = fastrand::Rng::with_seed(seed);
        History {
            world,
            rng,
            owner,
            ordinal: 1,
            told: 0,
        }
    }

    fn run_up_to(&mut self, most: u64) {
        let time = self.rng.u64(0..=most);
        self.world.run(time);
    }

    /// Cuts an owner off from some workers, and others from all owners.
    fn cut_workers(&mut self, owner: usize) {
        for worker in 0..WORKERS {
            self.world.fleet.workers[worker].is_unreachable = self.rng.u8(0..10) == 0;
            self.world.cuts.workers.remove(&(owner, worker));
            if self.rng.u8(0..4) == 0 {
                self.world.cuts.workers.insert((owner, worker));
            }
        }
    }

    /// Lets the next owner claim with an epoch of the newest ordinal.
    fn claim(&mut self, handover: Option<Handover>, low_bits: u64) {
        let next = self.world.owners.len();
        self.cut_workers(next);
        let epoch = (self.ordinal << 16) | low_bits;
        self.owner = self.world.claim_after(handover, epoch);
    }

    /// Lets the store turn the owner away, which stops granting leases.
    fn suspend(&mut self) -> Option<Handover> {
        self.world.cuts.store.insert(self.owner);
        self.run_up_to(700);
        let time = self.world.time();
        let shard = self.world.owners[self.owner].as_mut()?;
        let handover = shard.suspend_leases(time)?;
        self.told += 1;
        if self.rng.bool() {
            self.cut_workers(self.owner);
        }
        self.run_up_to(400);
        Some(handover)
    }

    fn change_owner(&mut self) {
        let earlier = self.owner;
        self.ordinal += 1;
        let handover = match self.rng.u8(0..5) {
            0 => None,
            _ => self.suspend(),
        };
        match (handover, self.rng.u8(0..4)) {
            (None, _) => {
                self.world.kill(earlier);
                self.run_up_to(1_500);
                self.claim(None, 0);
            }
            (Some(handover), 0) => {
                self.claim(Some(handover), 0);
                self.run_up_to(300);
            }
            // Another owner comes between, which may have been told the same.
            (Some(handover), 1 | 2) => {
                let told = self.rng.bool().then(|| handover.clone());
                self.claim(told, 0);
                self.run_up_to(100);
                if self.rng.bool() {
                    self.world.cuts.store.insert(self.owner);
                }
                self.run_up_to(400);
                self.world.kill(self.owner);
                self.claim(Some(handover), 1);
            }
            // The host declines.
            (Some(_), _) => {
                let time = self.world.time();
                if let Some(shard) = &mut self.world.owners[earlier] {
                    shard.resume_leases(time);
                }
                self.world.cuts.store.remove(&earlier);
                return;
            }
        }
        self.world.kill(earlier);
    }
}

/// Guards against two runs of a task at once, and tasks that no longer run, at any order of such changes.
#[test]
fn tasks_run_once_whatever_the_owners_have_told() {
    let mut told = 0;
    for seed in 0..CASES {
        let mut history = History::new(seed);
        for step in 0..6 {
            let id = JOBS + 1 + step;
            history.world.submit(id, &chain(&[2], 1_000));
            history.change_owner();
            history.run_up_to(4_000);
            history.cut_workers(history.owner);
            history.run_up_to(4_000);
            let violations = &history.world.fleet.violations;
            assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        }
        history.world.cuts.workers.clear();
        for worker in &mut history.world.fleet.workers {
            worker.is_unreachable = false;
        }
        history.world.run(20_000);
        let violations = &history.world.fleet.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        for id in 1..=JOBS {
            assert_eq!(history.world.running(id), 1, "seed {seed}, job {id}");
        }
        told += history.told;
    }
    assert!(told as u64 > CASES, "{told}");
}
