//! Random versions of the configuration beside submissions, cancellations, ends of runs and changes of the owner.

use std::sync::Arc;

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;
use jayfork::version::{Queue, QueueTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::queue_tables::{queue, table};
use super::random::env_number;
use super::world::{STEP, World, chain, long_running};

const SERVICES: [&str; 2] = ["assembly", "printing"];
const WORKERS: usize = 4;
/// Time in which the owner stores what a new version changes, in milliseconds.
const SETTLING_TIME: u64 = 200;
/// Time in which orders arrive that were sent before a change, in milliseconds.
const TRANSIT_TIME: u64 = 60;

/// One difference between two versions. Queues are given by their position, modulo their number.
#[derive(Debug, Clone)]
enum Edit {
    Rename(usize),
    /// Two queues swap their names.
    Swap(usize, usize),
    Remove(usize),
    /// A queue that was removed returns; with another name or at another path if a flag is set.
    Return(bool, bool),
    /// The queue moves to another path and keeps its name.
    Move(usize),
    Service(usize),
    Add,
}

#[derive(Debug, Clone)]
enum Change {
    Submit(usize, Vec<u16>),
    SubmitLasting(usize),
    Cancel(usize),
    /// The owner and all hosts get a new version.
    Publish(Edit),
    /// Hosts get it before the owner, and submit a job.
    PublishEarly(Edit, usize),
    /// Hosts get it after the owner, and submit a job.
    PublishLate(Edit, usize),
    /// No owner gets the first of two versions.
    PublishUnseen(Edit, Edit),
    /// The owner is killed if the flag is set, or superseded.
    Claim(bool),
    Pause(u64),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        3 => (0usize..8).prop_map(Edit::Rename),
        2 => (0usize..8, 0usize..8).prop_map(|(one, other)| Edit::Swap(one, other)),
        2 => (0usize..8).prop_map(Edit::Remove),
        3 => any::<(bool, bool)>().prop_map(|(renamed, moved)| Edit::Return(renamed, moved)),
        2 => (0usize..8).prop_map(Edit::Move),
        1 => (0usize..8).prop_map(Edit::Service),
        1 => Just(Edit::Add),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    let steps = || prop::collection::vec(1u16..5, 1..4);
    prop_oneof![
        8 => (0usize..8, steps()).prop_map(|(at, steps)| Change::Submit(at, steps)),
        1 => (0usize..8).prop_map(Change::SubmitLasting),
        1 => (0usize..16).prop_map(Change::Cancel),
        5 => edit().prop_map(Change::Publish),
        2 => (edit(), 0usize..8).prop_map(|(edit, at)| Change::PublishEarly(edit, at)),
        2 => (edit(), 0usize..8).prop_map(|(edit, at)| Change::PublishLate(edit, at)),
        1 => (edit(), edit()).prop_map(|(one, other)| Change::PublishUnseen(one, other)),
        2 => any::<bool>().prop_map(Change::Claim),
        4 => (20u64..900).prop_map(Change::Pause),
    ]
}

/// An accepted job, and the queue that it is to be in.
struct Expected {
    id: u64,
    tasks: usize,
    lasts: bool,
    queue: Queue,
    /// Since when tasks start in the service of the queue.
    since: u64,
    is_cancelled: bool,
}

struct Model {
    world: World,
    /// The newest version, which all hosts have between two changes.
    newest: Arc<QueueTable>,
    removed: Vec<Queue>,
    jobs: Vec<Expected>,
    /// Number of the newest name or path.
    serial: u64,
    next_job: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let newest = table(
            1,
            vec![queue("first", "/first/"), queue("second", "/second/")],
        );
        let mut world = World::new(seed, WORKERS, 16_000);
        world.services = SERVICES.to_vec();
        world.table = Some(newest.clone());
        world.claim();
        world.run(600);
        Model {
            world,
            newest,
            removed: Vec::new(),
            jobs: Vec::new(),
            serial: 0,
            next_job: 0,
        }
    }

    fn new_word(&mut self) -> String {
        self.serial += 1;
        format!("q{}", self.serial)
    }

    /// The next version.
    fn edited(&mut self, edit: &Edit) -> Arc<QueueTable> {
        let mut queues = self.newest.queues.clone();
        let count = queues.len().max(1);
        match *edit {
            Edit::Rename(at) => {
                let name = self.new_word();
                if let Some(queue) = queues.get_mut(at % count) {
                    queue.name = name.into();
                }
            }
            Edit::Swap(one, other) => {
                let (one, other) = (one % count, other % count);
                if one < queues.len() && other < queues.len() {
                    let name = queues[one].name.clone();
                    queues[one].name = std::mem::replace(&mut queues[other].name, name);
                }
            }
            Edit::Remove(at) => {
                if at % count < queues.len() {
                    self.removed.push(queues.remove(at % count));
                }
            }
            Edit::Return(is_renamed, is_moved) => {
                let (name, path) = (self.new_word(), self.new_word());
                if let Some(mut queue) = self.removed.pop() {
                    if is_renamed {
                        queue.name = name.into();
                    }
                    if is_moved {
                        queue.prefix = format!("/{path}/").into();
                    }
                    queues.push(queue);
                }
            }
            Edit::Move(at) => {
                let path = self.new_word();
                if let Some(queue) = queues.get_mut(at % count) {
                    queue.prefix = format!("/{path}/").into();
                }
            }
            Edit::Service(at) => {
                if let Some(queue) = queues.get_mut(at % count) {
                    let is_first = &*queue.service == SERVICES[0];
                    queue.service = SERVICES[usize::from(is_first)].into();
                }
            }
            Edit::Add => {
                let word = self.new_word();
                queues.push(queue(&word, &format!("/{word}/")));
            }
        }
        table(self.newest.version + 1, queues)
    }

    /// Gives the owner the newest version.
    fn publish(&mut self) {
        let newest = self.newest.clone();
        self.world.publish(&newest);
        self.follow();
        self.run(SETTLING_TIME);
    }

    /// The queue of a job is the one at its path, or else the one with its name.
    fn follow(&mut self) {
        let queues = &self.newest.queues;
        for job in &mut self.jobs {
            let at_path = |queue: &&Queue| queue.prefix == job.queue.prefix;
            let of_name = |queue: &&Queue| queue.name == job.queue.name;
            let found = queues.iter().find(at_path);
            if let Some(found) = found.or_else(|| queues.iter().find(of_name)) {
                if found.service != job.queue.service {
                    job.since = self.world.now;
                }
                job.queue = found.clone();
            }
        }
    }

    /// Submits a job through a host with the version `host`, while the owner has the version `owner`.
    fn submit(&mut self, host: &QueueTable, owner: &QueueTable, at: usize, steps: Option<&[u16]>) {
        let queues = &host.queues;
        let Some(asked) = queues.get(at % queues.len().max(1)) else {
            return;
        };
        self.next_job += 1;
        let id = self.next_job;
        let spec = match steps {
            Some(steps) => chain(steps, 500),
            None => long_running(2, 200),
        };
        let path = asked.prefix.to_string();
        let ticket = self.world.submit_through(host, &path, id, &spec);
        self.run(100);
        let known = owner
            .queues
            .iter()
            .find(|queue| queue.prefix == asked.prefix);
        match self.world.replies.get(&ticket) {
            Some(Reply::Accepted) => {
                let counts = spec.steps.iter().map(|step| usize::from(step.count));
                self.jobs.push(Expected {
                    id,
                    tasks: counts.sum(),
                    lasts: steps.is_none(),
                    queue: known.unwrap_or(asked).clone(),
                    since: 0,
                    is_cancelled: false,
                });
            }
            Some(Reply::Refused { .. }) => {
                assert!(
                    known.is_none(),
                    "job {id} is refused, though its queue is there"
                );
            }
            reply => panic!("job {id}: {reply:?}"),
        }
    }

    fn change(&mut self, change: &Change) {
        let newest = self.newest.clone();
        match change {
            Change::Submit(at, steps) => self.submit(&newest, &newest, *at, Some(steps)),
            Change::SubmitLasting(at) => self.submit(&newest, &newest, *at, None),
            Change::Cancel(back) => self.cancel(*back),
            Change::Publish(edit) => {
                self.newest = self.edited(edit);
                self.publish();
            }
            Change::PublishEarly(edit, at) => {
                let next = self.edited(edit);
                self.submit(&next, &newest, *at, Some(&[2, 2]));
                self.check_skewed(&next);
                self.newest = next;
                self.publish();
            }
            Change::PublishLate(edit, at) => {
                self.newest = self.edited(edit);
                let before: Vec<(u64, String)> = self.paths();
                self.publish();
                let next = self.newest.clone();
                self.submit(&newest, &next, *at, Some(&[2, 2]));
                for (id, path) in before {
                    self.check_not_gone(&newest, id, &path);
                }
            }
            Change::PublishUnseen(one, other) => {
                self.kill();
                self.newest = self.edited(one);
                self.newest = self.edited(other);
                self.world.table = Some(self.newest.clone());
                self.follow();
                self.claim();
            }
            Change::Claim(kills) => {
                if *kills {
                    self.kill();
                }
                self.claim();
            }
            Change::Pause(millis) => self.run(*millis),
        }
        self.check_states();
    }

    fn kill(&mut self) {
        let owner = self.world.owner().expect("an owner");
        self.world.kill(owner);
    }

    fn claim(&mut self) {
        self.world.claim();
        self.run(400);
    }

    fn cancel(&mut self, back: usize) {
        let newest = self.newest.clone();
        let path = self.jobs.iter().rev().nth(back).and_then(|job| {
            let at_path = |queue: &Queue| queue.prefix == job.queue.prefix;
            let is_there = newest.queues.iter().any(at_path);
            is_there.then(|| (job.id, job.queue.prefix.to_string()))
        });
        let Some((id, path)) = path else {
            return;
        };
        let ticket = self.world.cancel_through(&newest, &path, id);
        self.run(600);
        let reply = self.world.replies.get(&ticket).copied();
        assert_eq!(reply, Some(Reply::Cancelled), "job {id}");
        assert_eq!(self.world.running(id), 0, "job {id} runs on");
        // A job that has ended before stays completed.
        let state = self.world.state_through(&newest, &path, id);
        let job = self.jobs.iter_mut().find(|job| job.id == id);
        let job = job.expect("a job");
        match state {
            Some(Reply::State {
                outcome: Some(Outcome::Cancelled),
                ..
            }) => job.is_cancelled = true,
            Some(Reply::State {
                outcome: Some(Outcome::Completed),
                ..
            }) if !job.lasts => {}
            state => panic!("cancelled job {id}: {state:?}"),
        }
    }

    /// Advances the simulation and checks that tasks start in the service of their queue.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP) {
            self.world.step();
            for (index, worker) in self.world.fleet.workers.iter().enumerate() {
                let service = self.world.service_of(index);
                for (task, run) in &worker.runs {
                    let job = self.jobs.iter().find(|job| job.id == task.step.job.0);
                    let Some(job) = job.filter(|job| run.started > job.since + TRANSIT_TIME) else {
                        continue;
                    };
                    assert_eq!(service, &*job.queue.service, "service of {task}");
                }
            }
        }
        self.world.assert_no_violations();
    }

    /// The open jobs whose queues are there, with their paths.
    fn paths(&self) -> Vec<(u64, String)> {
        let has = |job: &Expected, queue: &Queue| queue.prefix == job.queue.prefix;
        let jobs = self.jobs.iter();
        let listed = jobs.filter(|job| self.newest.queues.iter().any(|queue| has(job, queue)));
        listed
            .map(|job| (job.id, job.queue.prefix.to_string()))
            .collect()
    }

    /// Each job is known at the path of its queue, and at no other one.
    fn check_states(&mut self) {
        let newest = self.newest.clone();
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            let (id, prefix, is_cancelled) = (job.id, job.queue.prefix.clone(), job.is_cancelled);
            for queue in &newest.queues {
                let state = self.world.state_through(&newest, &queue.prefix, id);
                let is_known = match state {
                    Some(Reply::State { outcome, .. }) => {
                        assert_eq!(
                            outcome == Some(Outcome::Cancelled),
                            is_cancelled,
                            "job {id}"
                        );
                        true
                    }
                    Some(Reply::Gone) => false,
                    state => panic!("job {id}: {state:?}"),
                };
                assert_eq!(
                    is_known,
                    queue.prefix == prefix,
                    "job {id} at {}",
                    queue.prefix
                );
            }
        }
    }

    /// No host with a newer version than the owner says that there is no such job.
    fn check_skewed(&mut self, host: &QueueTable) {
        for (id, path) in self.paths() {
            if host.queues.iter().any(|queue| *queue.prefix == *path) {
                self.check_not_gone(host, id, &path);
            }
        }
    }

    fn check_not_gone(&mut self, host: &QueueTable, id: u64, path: &str) {
        if host.queues.iter().all(|queue| *queue.prefix != *path) {
            return;
        }
        let state = self.world.state_through(host, path, id);
        assert!(
            matches!(state, Some(Reply::State { .. } | Reply::Unavailable)),
            "job {id} at {path}: {state:?}"
        );
    }

    /// All jobs have ended after a while, and long-running tasks run.
    fn check_ends(&mut self) {
        self.run(40_000);
        for job in &self.jobs {
            let tasks = self.world.fleet.done.iter();
            let done = tasks.filter(|task| task.step.job.0 == job.id).count();
            let running = self.world.running(job.id);
            match (job.is_cancelled, job.lasts) {
                (true, _) => assert_eq!(running, 0, "cancelled job {} runs", job.id),
                (false, true) => assert_eq!(running, job.tasks, "job {}", job.id),
                (false, false) => assert_eq!(done, job.tasks, "job {}", job.id),
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: env_number("QUEUE_CASES", 64) as u32,
        rng_seed: RngSeed::Fixed(env_number("QUEUE_SEED", 1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against accepted jobs that are no longer known, are known in another queue, go on in another service or
    /// not at all, because of what versions do to the names, paths and services of queues.
    #[test]
    fn jobs_stay_in_their_queue_in_random_histories(
        seed in any::<u64>(),
        changes in prop::collection::vec(change(), 10..50),
    ) {
        let mut model = Model::new(seed);
        for change in &changes {
            model.change(change);
        }
        model.check_ends();
    }
}
