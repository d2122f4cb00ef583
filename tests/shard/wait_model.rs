//! Bounds on how long tasks wait that could run.

use std::collections::HashMap;

use jayfork::process::shard::Reply;
use jayfork::request::job::{JobId, TaskKey};

use super::hosts::Hosts;
use super::world::World;

/// Longest time for which an owner waits after its claim for the leases of a worker that it cannot reach, in
/// milliseconds: as long as an isolated owner goes on, a lease on the slowest clock, and the time in transit.
const LEASE_WAIT: u64 = 1_500 + 6_123 + 500;
/// How much longer it waits for the report of a worker with an entry in the registry whose run can succeed.
const REPORT_WAIT: u64 = 10_000;
/// Time to store what a start depends on and to order it, in milliseconds.
const START_ALLOWANCE: u64 = 1_500;
/// The same if messages are lost or late, so that calls wait for their timeouts.
const LOSS_ALLOWANCE: u64 = 5_000;
/// How long a worker has been reachable and not leaving when it counts as ready, in milliseconds.
const READY_TIME: u64 = 3_000;
/// How long a run counts as one that may have crashed its worker, in milliseconds.
const TRIAL_TIME: u64 = 3_500;
/// How long a task waits for proof after two such losses, in milliseconds, and until they are forgotten.
const PROOF_TIME: u64 = 60_000;

struct Watched {
    id: u64,
    ticket: u64,
    lasts: bool,
    tasks: Vec<TaskKey>,
}

/// The tasks of a history and since when they wait.
#[derive(Default)]
pub struct Waits {
    jobs: Vec<Watched>,
    /// When each task last ran or could not run.
    since: HashMap<TaskKey, u64>,
    /// When each worker last was no place for tasks.
    ready_since: Vec<u64>,
    /// When runs of each task were lost soon after their start.
    lost_starts: HashMap<TaskKey, Vec<u64>>,
    owner: Option<usize>,
    /// When the owner last was unable to start tasks.
    settled_at: u64,
    pub has_losses: bool,
    /// Longest wait of long-running and of other tasks, in milliseconds.
    pub longest: (u64, u64),
}

impl Waits {
    pub fn add(&mut self, world: &World, id: u64, ticket: u64, lasts: bool) {
        let keys = world.fleet.specs.keys();
        let tasks = keys.filter(|task| task.step.job == JobId(id)).copied();
        self.jobs.push(Watched {
            id,
            ticket,
            lasts,
            tasks: tasks.collect(),
        });
    }

    pub fn remove(&mut self, id: u64) {
        self.jobs.retain(|job| job.id != id);
    }

    /// Checks the waits after a step; returns a description of one above its bound.
    pub fn check(&mut self, hosts: &Hosts) -> Option<String> {
        let world = &hosts.world;
        let now = world.now;
        self.follow_owner(world);
        self.follow_workers(hosts);
        let jobs = std::mem::take(&mut self.jobs);
        let mut excess = None;
        for job in &jobs {
            let is_accepted = world.replies.get(&job.ticket) == Some(&Reply::Accepted);
            for task in &job.tasks {
                if !is_accepted || !self.may_start(world, *task) {
                    self.since.insert(*task, now);
                    continue;
                }
                let since = *self.since.entry(*task).or_insert(now);
                let waited = now - since.max(self.settled_at);
                if waited == 0 {
                    continue;
                }
                if !self.has_room(world, *task) || world.fleet.may_fail(JobId(job.id)) {
                    self.since.insert(*task, now);
                    continue;
                }
                let longest = match job.lasts {
                    true => &mut self.longest.0,
                    false => &mut self.longest.1,
                };
                *longest = waited.max(*longest);
                let bound = self.bound(job.lasts);
                if waited > bound {
                    excess.get_or_insert(format!("{task} waits above {bound} ms at {now}"));
                }
            }
        }
        self.jobs = jobs;
        excess
    }

    fn bound(&self, lasts: bool) -> u64 {
        let report_wait = if lasts { 0 } else { REPORT_WAIT };
        let allowance = match self.has_losses {
            true => LOSS_ALLOWANCE,
            false => START_ALLOWANCE,
        };
        LEASE_WAIT + report_wait + allowance
    }

    fn follow_owner(&mut self, world: &World) {
        let owner = world.owner();
        let is_working = owner.is_some_and(|owner| {
            let shard = world.owners[owner].as_ref().expect("a live owner");
            let has_resigned = shard.resigned_for(world.time().steady).is_some();
            let is_cut = world.cuts.store.contains(&owner) || world.cuts.paused.contains(&owner);
            shard.is_claimed() && !has_resigned && !is_cut && !world.store.is_down
        });
        if !is_working || owner != self.owner {
            self.settled_at = world.now;
        }
        self.owner = owner;
    }

    fn follow_workers(&mut self, hosts: &Hosts) {
        let world = &hosts.world;
        let now = world.now;
        self.ready_since.resize(world.fleet.workers.len(), now);
        let owner = world.owner().unwrap_or(usize::MAX);
        for (index, worker) in world.fleet.workers.iter().enumerate() {
            let is_listed = !world.cuts.unlisted.contains(&index);
            if hosts.is_connected(owner, index) && !worker.is_leaving && is_listed {
                continue;
            }
            if self.ready_since[index] + 5 < now {
                for (task, run) in &worker.runs {
                    if now < run.started + TRIAL_TIME {
                        self.lost_starts.entry(*task).or_default().push(now);
                    }
                }
            }
            self.ready_since[index] = now;
        }
    }

    /// Whether a task neither runs nor has succeeded, and nothing but room is missing for its start.
    fn may_start(&self, world: &World, task: TaskKey) -> bool {
        let mut workers = world.fleet.workers.iter();
        if workers.any(|worker| worker.runs.contains_key(&task)) || world.fleet.done.contains(&task)
        {
            return false;
        }
        let lost_starts = self.lost_starts.get(&task).into_iter().flatten();
        let recent = lost_starts.filter(|at| **at + PROOF_TIME > world.now);
        if recent.count() >= 2 {
            return false;
        }
        let (spec, _) = &world.fleet.specs[&task];
        let mut after = spec.steps[usize::from(task.step.step)].after.iter();
        after.all(|step| {
            let count = spec.steps[usize::from(*step)].count;
            (0..count).all(|index| {
                let mut earlier = task;
                earlier.step.step = *step;
                earlier.index = index;
                world.fleet.acknowledged.contains(&earlier)
            })
        })
    }

    /// Whether a worker is ready that has room for the task, and for another one as large.
    fn has_room(&self, world: &World, task: TaskKey) -> bool {
        let size = |task: &TaskKey| {
            let (spec, _) = &world.fleet.specs[task];
            spec.steps[usize::from(task.step.step)].size.processors
        };
        let mut workers = world.fleet.workers.iter().zip(&self.ready_since);
        workers.any(|(worker, ready_since)| {
            let used: u32 = worker.runs.keys().map(size).sum();
            let is_ready = ready_since + READY_TIME < world.now;
            is_ready && used + 2 * size(&task) <= worker.capacity.processors
        })
    }
}
