//! Planned changes of the owner while workers are lost: what the owner before knew of their leases counts for
//! the next one.

use jayfork::process::shard::Handover;
use jayfork::version::{ResignationRecord, ShardRecord};
use yare::parameterized;

use super::world::{STEP, World, long_running};

/// Time within which a long-running task has to run again after its last run, in milliseconds.
const RESTART_LIMIT: u64 = 9_000;
/// Time from the end of an owner that is killed until the claim of the next one, in milliseconds.
const CLAIM_DELAY: u64 = 200;
/// Time for which an owner that is cut off goes on, in milliseconds.
const ISOLATION_TIME: u64 = 1_500;

/// Time for which the store turns an owner away before the owner hands over, in milliseconds.
const TURNED_AWAY_TIME: u64 = 600;

/// How the owner changes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    Planned,
    Killed,
    /// The store turns the owner away, and it hands over without a record.
    TurnedAway,
}

impl World {
    fn change_owner(&mut self, change: Change) {
        match change {
            Change::Planned => self.hand_over(),
            Change::Killed => {
                self.kill(0);
                self.run(CLAIM_DELAY);
                self.claim();
            }
            Change::TurnedAway => {
                self.cuts.store.insert(0);
                self.run(TURNED_AWAY_TIME);
                let handover = self.suspend(0);
                self.claim_after(Some(handover), 2 << 16);
                self.kill(0);
            }
        }
    }

    /// Lets an owner stop granting leases and returns what it tells the next one.
    pub fn suspend(&mut self, owner: usize) -> Handover {
        let time = self.time();
        let shard = self.owners[owner].as_mut().expect("a live owner");
        shard.suspend_leases(time).expect("may stop")
    }

    /// Lets the owner resign and the next one claim the shard, as at a planned stop.
    fn hand_over(&mut self) {
        let owner = self.owner().expect("an owner");
        self.begin_to_resign(owner);
        if self.is_resigning(owner) {
            self.await_resignation(owner);
        }
        self.claim();
        self.kill(owner);
    }

    fn begin_to_resign(&mut self, owner: usize) {
        let time = self.time();
        let shard = self.owners[owner].as_mut().expect("a live owner");
        shard.resign(time);
    }

    fn is_resigning(&self, owner: usize) -> bool {
        let shard = self.owners[owner].as_ref().expect("a live owner");
        shard.resigned_for(self.time().steady).is_some()
    }

    /// Lets an owner resign until that is stored.
    fn resign(&mut self, owner: usize) {
        self.begin_to_resign(owner);
        self.await_resignation(owner);
    }

    fn await_resignation(&mut self, owner: usize) {
        for _ in 0..200 {
            let shard = self.owners[owner].as_ref().expect("a live owner");
            if shard.has_resigned() {
                return;
            }
            self.run(STEP);
        }
        panic!("the resignation is not stored");
    }
}

/// A simulation with a long-running task on each of its three workers. Returns the worker of job 1 too. A
/// fourth job waits for room.
fn world_with_full_workers(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3, 8_000);
    world.claim();
    world.run(500);
    for id in 1..=3 {
        world.submit(id, &long_running(1, 8_000));
    }
    world.run(2_000);
    let holder = world.holder(1);
    (world, holder)
}

/// Guards against a long-running task that has no run for more than 9 s because the next owner waits for a lost
/// worker from its own claim on, whatever time has passed: the worker has ended without a trace or has left.
#[parameterized(
    at_once = { 0, Change::Planned, false },
    before_a_call_fails = { 800, Change::Planned, false },
    after_a_call_has_failed = { 2_000, Change::Planned, false },
    before_the_lease_ends = { 5_000, Change::Planned, false },
    at_once_by_a_leaving_worker = { 0, Change::Planned, true },
    later_by_a_leaving_worker = { 2_000, Change::Planned, true },
    unplanned = { 5_000, Change::Killed, false },
    turned_away_soon = { 100, Change::TurnedAway, false },
    turned_away_before_a_call_fails = { 800, Change::TurnedAway, false },
    turned_away_after_a_call_has_failed = { 1_400, Change::TurnedAway, false },
    turned_away_before_the_lease_ends = { 5_000, Change::TurnedAway, false },
    turned_away_by_a_leaving_worker = { 1_400, Change::TurnedAway, true },
)]
fn a_change_of_the_owner_does_not_prolong_the_wait(delay: u64, change: Change, leaves: bool) {
    for seed in 0..10 {
        let (mut world, holder) = world_with_full_workers(seed);
        if leaves {
            world.drain(holder);
            world.run(1_000);
        }
        world.cancel(2);
        match leaves {
            true => world.leave(holder),
            false => {
                world.fleet.restart(world.now, holder);
                world.fleet.workers[holder].is_unreachable = true;
            }
        }
        let lost = world.now;
        world.run(delay);
        world.change_owner(change);
        world.run(lost + RESTART_LIMIT - world.now);
        assert_eq!(world.running(1), 1, "seed {seed}");
        world.assert_no_violations();
    }
}

/// Guards against a long-running task that waits for the end of a lease although its run was certainly stopped: a
/// leaving worker has confirmed the stop and ends before it reports that the run is over.
#[test]
fn a_confirmed_stop_is_enough_once_the_worker_is_silent() {
    for delay in 0..20 {
        let (mut world, holder) = world_with_full_workers(delay);
        world.drain(holder);
        world.run(500);
        world.cancel(2);
        while world.running(1) > 0 {
            world.run(STEP);
        }
        // The answer to the stop order is back by then, and the run is over later.
        world.run(100 + delay * STEP);
        world.leave(holder);
        world.run(2_000);
        assert_eq!(world.running(1), 1, "delay {delay}");
        world.run(8_000);
        world.assert_no_violations();
    }
}

/// Cuts off the worker of job 1, replaces the owner by one with this epoch, and makes room for the task elsewhere.
fn lose_the_holder_with_its_owner(world: &mut World, holder: usize, epoch: u64) {
    world.fleet.workers[holder].is_unreachable = true;
    let owner = world.owner().expect("an owner");
    world.kill(owner);
    world.claim_with_epoch(epoch);
    world.run(300);
    world.cancel(2);
    world.run(15_000);
    world.assert_no_violations();
}

/// Guards against two runs of a task at once because the next owner counts time from before the last lease that
/// a silent worker got: it has answered its owner again, or the owner has granted leases after a resignation
/// that came to nothing.
#[parameterized(
    answered_again = { false },
    resignation_withdrawn = { true },
)]
fn a_lease_that_was_granted_since_is_waited_for(is_withdrawn: bool) {
    for delay in 0..120 {
        let (mut world, holder) = world_with_full_workers(delay);
        if is_withdrawn {
            world.resign(0);
            world.run(1_000);
            let shard = world.owners[0].as_mut().expect("a live owner");
            shard.withdraw_resignation();
        } else {
            world.fleet.workers[holder].is_unreachable = true;
            world.run(4_000);
            world.fleet.workers[holder].is_unreachable = false;
        }
        world.run(delay * STEP);
        lose_the_holder_with_its_owner(&mut world, holder, 2 << 16);
        assert_eq!(world.running(1), 1, "delay {delay}");
    }
}

/// Guards against two runs of a task at once because an owner trusts a resignation although another owner came
/// after it, with an epoch of the same ordinal, and granted leases.
#[test]
fn a_resignation_counts_only_until_the_next_owner_grants_leases() {
    for delay in 0..120 {
        let (mut world, holder) = world_with_full_workers(delay);
        world.resign(0);
        world.claim_with_epoch(2 << 16);
        world.kill(0);
        world.run(delay * STEP);
        lose_the_holder_with_its_owner(&mut world, holder, (2 << 16) | 1);
        assert_eq!(world.running(1), 1, "delay {delay}");
    }
}

/// The second owner, which claims the shard after the first one has told how long workers have been without a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Second {
    ClaimsByItself,
    IsTold,
    /// The store turns it away soon after its claim.
    IsToldAndTurnedAway,
}

/// Guards against two runs of a task at once because an owner trusts what an earlier one has told it, although
/// another owner has reached the worker and granted it a lease since.
#[parameterized(
    by_itself = { Second::ClaimsByItself },
    told = { Second::IsTold },
    told_and_turned_away = { Second::IsToldAndTurnedAway },
)]
fn what_an_owner_tells_counts_only_for_the_next_one(second: Second) {
    for delay in 0..120 {
        let (mut world, holder) = world_with_full_workers(delay);
        world.cuts.store.insert(0);
        world.cuts.workers.insert((0, holder));
        world.run(4_000);
        let handover = world.suspend(0);
        let told = (second != Second::ClaimsByItself).then(|| handover.clone());
        world.claim_after(told, 2 << 16);
        world.kill(0);
        world.run(delay * STEP);
        if second == Second::IsToldAndTurnedAway {
            world.cuts.store.insert(1);
            world.run(400);
        }
        world.fleet.workers[holder].is_unreachable = true;
        world.kill(1);
        world.claim_after(Some(handover), (2 << 16) | 1);
        world.run(300);
        world.cancel(2);
        world.run(15_000);
        world.assert_no_violations();
        assert_eq!(world.running(1), 1, "delay {delay}");
    }
}

/// Guards against the same because the owner that tells its state grants a lease afterwards.
#[test]
fn an_owner_grants_no_leases_once_it_has_told_the_next_one() {
    for delay in 0..60 {
        let (mut world, holder) = world_with_full_workers(delay);
        world.cuts.store.insert(0);
        world.cuts.workers.insert((0, holder));
        world.run(1_500);
        let handover = world.suspend(0);
        world.cuts.workers.remove(&(0, holder));
        world.run(delay * 4 * STEP);
        world.fleet.workers[holder].is_unreachable = true;
        world.claim_after(Some(handover), 2 << 16);
        world.kill(0);
        world.run(300);
        world.cancel(2);
        world.run(15_000);
        world.assert_no_violations();
        assert_eq!(world.running(1), 1, "delay {delay}");
    }
}

/// Guards against the same because an owner before the one that tells its state is isolated and still grants leases.
#[parameterized(
    before_the_records_are_read = { 0 },
    once_they_are_read = { 100 },
    later = { 1_400 },
)]
fn an_owner_tells_nothing_soon_after_its_claim(delay: u64) {
    let (mut world, _) = world_with_full_workers(7);
    world.claim();
    world.run(delay);
    let time = world.time();
    let shard = world.owners[1].as_mut().expect("a live owner");
    assert_eq!(shard.suspend_leases(time), None);
    assert_eq!(shard.suspended_for(time.steady), None);
}

/// Guards against a worker that nobody renews, or that starts nothing, after a host has declined the shard.
#[test]
fn an_owner_grants_leases_again_once_the_shard_is_declined() {
    let (mut world, _) = world_with_full_workers(7);
    let starts = world.fleet.starts;
    world.suspend(0);
    world.run(300);
    let time = world.time();
    let shard = world.owners[0].as_mut().expect("a live owner");
    assert_eq!(shard.suspend_leases(time), None);
    shard.resume_leases(time);
    assert_eq!(shard.suspend_leases(time), None);
    world.run(10_000);
    assert_eq!(world.fleet.starts, starts);
    world.submit(4, &long_running(1, 8_000));
    world.cancel(1);
    world.run(1_000);
    assert_eq!(world.running(4), 1);
    world.assert_no_violations();
}

/// Guards against two runs of a task at once because an owner resigns soon after its claim, while the one before
/// it, which is only cut off, still grants leases.
#[parameterized(
    before_the_records_are_read = { 0 },
    once_they_are_read = { 100 },
    later = { 600 },
)]
fn a_resignation_soon_after_a_claim_does_not_shorten_the_wait(delay: u64) {
    for seed in 0..20 {
        let (mut world, holder) = world_with_full_workers(seed);
        world.isolate(holder, &[1, 2]);
        let isolated = world.now;
        world.claim();
        world.run(delay);
        world.begin_to_resign(1);
        world.run(60);
        world.claim();
        world.kill(1);
        world.run(isolated + ISOLATION_TIME - world.now);
        world.kill(0);
        world.cancel(2);
        world.run(15_000);
        assert_eq!(world.running(1), 1, "seed {seed}");
        world.assert_no_violations();
    }
}

/// Guards against runs that lapse around a planned change of the owner because nobody renews their leases.
#[test]
fn runs_outlast_handovers_in_a_row() {
    let (mut world, _) = world_with_full_workers(7);
    let starts = world.fleet.starts;
    for pause in [0, 20, 100, 300, 1_000, 3_000] {
        world.hand_over();
        world.run(pause);
    }
    world.run(10_000);
    assert_eq!(world.fleet.starts, starts);
    assert_eq!(world.running(1), 1);
    world.assert_no_violations();
}

/// Guards against a resignation that a later owner reads differently than it was recorded.
#[test]
fn a_recorded_resignation_is_read_back() {
    let resignation = ResignationRecord { epoch: 7 << 16 };
    for value in [Some(resignation), None] {
        let record = ShardRecord::Resignation(value);
        let decoded = ShardRecord::decode(&record.key(), &record.value());
        assert_eq!(decoded, Ok(record));
    }
}
