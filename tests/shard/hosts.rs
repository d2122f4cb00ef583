//! Model of the hosts as far as they start and end the work of owners: claims, partitions of the network, pauses
//! and planned stops, several owners at a time.

use std::collections::{BTreeMap, HashSet};

use jayfork::process::shard::{RegistryChange, ShardEvent};
use jayfork::version::ShardRecord;

use super::world::World;

/// Time for which an owner without answers of the store goes on, in milliseconds.
const ISOLATION_TIME: u64 = 1_500;
/// Time after which a claim is given up that is not stored, in milliseconds.
const CLAIM_TIME: u64 = 2_500;
/// Times of a planned stop, in milliseconds: the host waits for its resignation to be stored, repeats the call to
/// take over, grants leases again, and ends.
const RESIGNATION_TIME: u64 = 300;
const CALL_TIMEOUT: u64 = 400;
const MAX_RESIGNATION_TIME: u64 = 1_500;
const GRACE_TIME: u64 = 4_000;
/// Time from the begin of a cut until the registry removes the entry of a worker, in milliseconds.
pub const UNLIST_TIME: u64 = 3_300;
/// Owners at a time.
const MAX_OWNERS: usize = 3;
/// Number of low bits of an epoch, which tell apart claims with the same ordinal.
const EPOCH_BITS: u32 = 16;

/// What happens to an owner soon after its claim.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    Stays,
    /// It is killed this much later, and another one claims the shard after the second time.
    Killed(u64, u64),
    /// It is asked to stop this much later.
    Stopped(u64),
}

/// What becomes due at a time of the history.
#[derive(Debug, Clone)]
pub enum Due {
    Claim(Fate),
    Kill(usize),
    Stop(usize),
    Resume(usize),
    /// Ends the partition of this owner.
    Heal(usize),
    Unlist(usize),
    /// The worker is cut off, so that connections are refused if the flag is set, for as many milliseconds.
    Silence(usize, bool, u64),
    /// The worker is reachable again.
    Return(usize),
    /// The worker is leaving, or stays after all.
    Drain(usize, bool),
    StoreUp,
}

/// An owner that is cut off with some workers.
struct Partition {
    owner: usize,
    workers: Vec<usize>,
}

/// The hosts of the owners in a simulation.
pub struct Hosts {
    pub world: World,
    rng: fastrand::Rng,
    due: BTreeMap<(u64, u64), Due>,
    serial: u64,
    partitions: Vec<Partition>,
    /// When each owner claimed the shard.
    claimed_at: Vec<u64>,
    /// Owners that have been asked to stop, and when they may next ask another host to take over.
    stops: BTreeMap<usize, u64>,
}

impl Hosts {
    pub fn new(world: World, seed: u64) -> Self {
        let mut hosts = Hosts {
            world,
            rng: fastrand::Rng::with_seed(seed),
            due: BTreeMap::new(),
            serial: 0,
            partitions: Vec::new(),
            claimed_at: Vec::new(),
            stops: BTreeMap::new(),
        };
        hosts.claim(Fate::Stays);
        hosts
    }

    pub fn plan(&mut self, after: u64, due: Due) {
        self.serial += 1;
        self.due.insert((self.world.now + after, self.serial), due);
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.world.now {
                break;
            }
            let due = entry.remove();
            self.carry_out(due);
        }
        for owner in 0..self.world.owners.len() {
            self.give_up(owner);
        }
        let is_claim_due = self.due.values().any(|due| matches!(due, Due::Claim(_)));
        if self.world.owner().is_none() && !is_claim_due {
            let after = self.rng.u64(200..1_500);
            self.plan(after, Due::Claim(Fate::Stays));
        }
        let stopping: Vec<usize> = self.stops.keys().copied().collect();
        for owner in stopping {
            self.hand_over(owner);
        }
        self.world.step();
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::Claim(fate) => self.claim(fate),
            Due::Kill(owner) => self.world.kill(owner),
            Due::Stop(owner) => self.stop(owner),
            Due::Resume(owner) => {
                self.world.cuts.paused.remove(&owner);
                self.announce_all(owner);
            }
            Due::Heal(owner) => {
                self.partitions.retain(|partition| partition.owner != owner);
                self.world.cuts.store.remove(&owner);
                self.cut_links();
                self.announce_all(owner);
            }
            Due::Unlist(worker) => {
                if self.is_silent(worker) {
                    self.world.cuts.unlisted.insert(worker);
                    self.announce(worker);
                }
            }
            Due::Silence(worker, refuses, millis) => self.silence(worker, refuses, millis),
            Due::Return(worker) => {
                self.world.fleet.workers[worker].is_unreachable = false;
                self.world.fleet.workers[worker].is_refused = false;
                self.world.cuts.unlisted.remove(&worker);
                self.announce(worker);
            }
            Due::Drain(worker, is_leaving) => {
                self.world.fleet.workers[worker].is_leaving = is_leaving;
                self.announce(worker);
            }
            Due::StoreUp => self.world.store.is_down = false,
        }
    }

    /// Lets a host claim the shard. It knows the owner in the store, or only the one before.
    fn claim(&mut self, fate: Fate) {
        let live = (0..self.world.owners.len()).filter(|owner| self.world.owners[*owner].is_some());
        let live: Vec<usize> = live.collect();
        if live.len() >= MAX_OWNERS {
            self.world.kill(live[0]);
        }
        let is_outdated = self.rng.u32(0..8) == 0;
        let ordinal = (self.stored_epoch() >> EPOCH_BITS) + u64::from(!is_outdated);
        let ordinal = ordinal.max(1);
        let epoch = (ordinal << EPOCH_BITS) | (self.world.owners.len() as u64 + 1);
        let owner = self.world.claim_with_epoch(epoch);
        self.claimed_at.push(self.world.now);
        self.cut_links();
        match fate {
            Fate::Stays => {}
            Fate::Killed(after, pause) => {
                self.plan(after, Due::Kill(owner));
                self.plan(after + pause, Due::Claim(Fate::Stays));
            }
            Fate::Stopped(after) => self.plan(after, Due::Stop(owner)),
        }
    }

    /// The epoch of the newest owner in the store.
    fn stored_epoch(&self) -> u64 {
        let records = &self.world.store.records;
        let record = records.get_key_value("owner");
        let record = record.and_then(|(key, value)| ShardRecord::decode(key, value).ok());
        match record {
            Some(ShardRecord::Owner(owner)) => owner.epoch,
            _ => 0,
        }
    }

    /// Ends an owner that the store has not answered for too long, as a host does that may be replaced.
    fn give_up(&mut self, owner: usize) {
        let Some(shard) = &self.world.owners[owner] else {
            return;
        };
        if self.world.cuts.paused.contains(&owner) {
            return;
        }
        let now = self.world.now;
        let claimed_at = self.claimed_at[owner];
        let answered = self.world.cuts.answered.get(&owner);
        let is_unheard = now > answered.copied().unwrap_or(claimed_at) + ISOLATION_TIME;
        let is_newest = self.world.owner() == Some(owner);
        let may_be_replaced = self.world.cuts.store.contains(&owner) || !is_newest;
        let is_late = !shard.is_claimed() && now > claimed_at + CLAIM_TIME;
        if is_unheard && may_be_replaced || is_late {
            self.world.kill(owner);
        }
    }

    pub fn stop(&mut self, owner: usize) {
        if self.world.owners[owner].is_some() {
            self.stops.insert(owner, 0);
            self.plan(GRACE_TIME, Due::Kill(owner));
        }
    }

    /// Does what a host does that is to stop: it resigns and asks another one to take over. The call or its answer
    /// may be lost.
    fn hand_over(&mut self, owner: usize) {
        let time = self.world.time();
        let Some(shard) = &mut self.world.owners[owner] else {
            self.stops.remove(&owner);
            return;
        };
        if self.world.cuts.paused.contains(&owner) || self.stops[&owner] > time.wall {
            return;
        }
        if self.world.cuts.store.contains(&owner) {
            shard.withdraw_resignation();
            return;
        }
        shard.resign(time);
        let resigned_for = shard.resigned_for(time.steady).map(|time| time.0);
        if resigned_for.is_some_and(|time| time > MAX_RESIGNATION_TIME) {
            shard.withdraw_resignation();
        }
        if resigned_for.is_some_and(|time| time < RESIGNATION_TIME) && !shard.has_resigned() {
            return;
        }
        self.stops.insert(owner, time.wall + CALL_TIMEOUT);
        let delay = self.rng.u64(1..150);
        let answered_at = delay + self.rng.u64(1..50);
        match self.rng.u32(0..6) {
            0 => {}
            1 => self.plan(delay, Due::Claim(Fate::Stays)),
            _ => {
                self.plan(delay, Due::Claim(Fate::Stays));
                self.plan(answered_at, Due::Kill(owner));
            }
        }
    }

    /// Cuts off an owner with some workers from the store, the other workers and all other owners.
    pub fn isolate(&mut self, owner: usize, workers: Vec<usize>, millis: u64) {
        self.world.cuts.store.insert(owner);
        for worker in &workers {
            self.plan(UNLIST_TIME, Due::Unlist(*worker));
            self.plan(millis + 1, Due::Return(*worker));
        }
        self.partitions.push(Partition { owner, workers });
        self.cut_links();
        self.plan(millis, Due::Heal(owner));
    }

    /// Cuts the links across the partitions.
    fn cut_links(&mut self) {
        let workers = 0..self.world.fleet.workers.len();
        let owners = 0..self.world.owners.len();
        let mut cuts = HashSet::new();
        for partition in &self.partitions {
            let outside = workers.clone().filter(|w| !partition.workers.contains(w));
            cuts.extend(outside.map(|worker| (partition.owner, worker)));
            for owner in owners.clone().filter(|owner| *owner != partition.owner) {
                cuts.extend(partition.workers.iter().map(|worker| (owner, *worker)));
            }
        }
        self.world.cuts.workers = cuts;
    }

    pub fn pause(&mut self, owner: usize, millis: u64) {
        self.world.cuts.paused.insert(owner);
        self.plan(millis, Due::Resume(owner));
    }

    /// Cuts off a worker.
    pub fn silence(&mut self, worker: usize, refuses: bool, millis: u64) {
        let target = &mut self.world.fleet.workers[worker];
        target.is_unreachable = !refuses;
        target.is_refused = refuses;
        self.plan(UNLIST_TIME, Due::Unlist(worker));
        self.plan(millis, Due::Return(worker));
    }

    fn is_silent(&self, worker: usize) -> bool {
        let target = &self.world.fleet.workers[worker];
        let mut partitions = self.partitions.iter();
        let is_cut = partitions.any(|partition| partition.workers.contains(&worker));
        target.is_unreachable || target.is_refused || is_cut
    }

    /// Whether the owner and the worker reach each other.
    pub fn is_connected(&self, owner: usize, worker: usize) -> bool {
        let target = &self.world.fleet.workers[worker];
        let is_cut = self.world.cuts.workers.contains(&(owner, worker));
        !target.is_unreachable && !target.is_refused && !is_cut
    }

    /// Passes the registry's entry of a worker, or its removal, to the owners that read the registry.
    fn announce(&mut self, worker: usize) {
        for owner in 0..self.world.owners.len() {
            self.announce_to(owner, worker);
        }
    }

    fn announce_all(&mut self, owner: usize) {
        for worker in 0..self.world.fleet.workers.len() {
            self.announce_to(owner, worker);
        }
    }

    fn announce_to(&mut self, owner: usize, worker: usize) {
        let cuts = &self.world.cuts;
        if cuts.store.contains(&owner) || cuts.paused.contains(&owner) {
            return;
        }
        let change = match cuts.unlisted.contains(&worker) {
            true => RegistryChange::Removed(self.world.worker_name(worker)),
            false => self.world.entry(worker),
        };
        self.world.event(owner, ShardEvent::Registry(vec![change]));
    }
}
