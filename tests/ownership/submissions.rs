//! Submissions at several hosts, the owner among them, beside owners that are killed, stopped, frozen or cut off and a
//! store that is slow, refuses, is silent or loses its answers.

use std::collections::BTreeMap;

use hyper::{HeaderMap, Method};
use jayfork::connection::FrontRequest;
use jayfork::process::host::{Attempts, HostEvent, Verdict, judge};
use jayfork::process::shard::Reply;
use jayfork::request::job::JobId;
use yare::parameterized;

use super::world::{HIGH_CAPACITY, World};

const HOSTS: usize = 4;
const CLIENTS: u64 = 40;
/// Attempts of a client as long as its answers leave the outcome open.
const MAX_ATTEMPTS: usize = 4;
/// Histories of each kind, unless SUBMISSION_SEEDS says otherwise.
const SEEDS: u64 = 60;
/// Tasks of a job, and the memory of an owner for jobs: enough for a few of them.
const TASKS: u32 = 1_000;
const JOB_MEMORY: u64 = 600_000;
/// Time for clients to get their answers and for hosts to settle, in milliseconds.
const SETTLE_TIME: u64 = 9_000;

/// What comes due in a history.
#[derive(Debug, Clone, Copy)]
enum Due {
    Submit(u64),
    /// What happens to the host that owns the shard by then.
    Kill,
    Stop,
    Freeze,
    Cut,
    StoreRefuses,
    StoreIsSilent,
    StoreLosesAnswers,
    Boot(usize),
    Thaw(usize),
    Heal,
    StoreWorks,
}

/// A client, which submits one job.
#[derive(Debug, Default)]
struct Client {
    /// Hosts that have not answered, by ticket.
    open: BTreeMap<u64, usize>,
    /// Answers so far; `None` if the host was killed before.
    statuses: Vec<Option<u16>>,
}

impl Client {
    fn is_refused(&self) -> bool {
        let is_refusal = |status: &Option<u16>| matches!(status, Some(429 | 503));
        self.open.is_empty() && self.statuses.iter().all(is_refusal)
    }
}

struct History {
    world: World,
    rng: fastrand::Rng,
    due: BTreeMap<(u64, u64), Due>,
    clients: BTreeMap<u64, Client>,
    serial: u64,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::start(seed, &[(HIGH_CAPACITY, 2); HOSTS]);
        let route = r#"{"name":"r","host":"example","pathPrefix":"/q/","service":"s"}"#;
        world.publish_routes(2, route);
        world.ends_calls = true;
        world.job_memory = JOB_MEMORY;
        (0..HOSTS).for_each(|host| world.kill(host));
        world.boot_all();
        world.run(8_000);
        assert_eq!(world.owners().len(), 1);
        world.store_delays.fill([2, 30, 118][rng.usize(0..3)]);
        world.run(1_000);
        History {
            world,
            rng,
            due: BTreeMap::new(),
            clients: BTreeMap::new(),
            serial: 0,
        }
    }

    fn plan(&mut self, after: u64, due: Due) {
        self.serial += 1;
        self.due.insert((self.world.now + after, self.serial), due);
    }

    /// Plans an event at a random time.
    fn plan_later(&mut self, due: Due) {
        let after = self.rng.u64(300..4_000);
        self.plan(after, due);
    }

    fn carry_out(&mut self, due: Due) {
        let owner = self.world.owners().first().copied();
        match (due, owner) {
            (Due::Submit(id), _) => self.submit(id),
            (Due::Kill, Some(owner)) => self.kill(owner),
            (Due::Stop, Some(owner)) => {
                self.world.event(owner, HostEvent::Terminate);
                self.plan(6_000, Due::Boot(owner));
            }
            (Due::Freeze, Some(owner)) => {
                self.world.frozen_hosts.push(owner);
                self.plan_later(Due::Thaw(owner));
            }
            (Due::Cut, Some(owner)) => {
                self.world.cut_hosts.push(owner);
                self.plan_later(Due::Heal);
            }
            (Due::Kill | Due::Stop | Due::Freeze | Due::Cut, None) => {}
            (Due::StoreRefuses, _) => {
                self.world.refused_hosts = (0..HOSTS).collect();
                self.plan_later(Due::StoreWorks);
            }
            (Due::StoreIsSilent, _) => {
                self.world.silent_hosts = (0..HOSTS).collect();
                self.plan_later(Due::StoreWorks);
            }
            (Due::StoreLosesAnswers, _) => {
                self.world.unanswered_hosts = (0..HOSTS).collect();
                self.plan_later(Due::StoreWorks);
            }
            (Due::Boot(host), _) => {
                self.lose_host(host);
                self.world.boot(host, HIGH_CAPACITY);
            }
            (Due::Thaw(host), _) => self.world.frozen_hosts.retain(|other| *other != host),
            (Due::Heal, _) => self.world.cut_hosts.clear(),
            (Due::StoreWorks, _) => {
                self.world.refused_hosts.clear();
                self.world.silent_hosts.clear();
                self.world.unanswered_hosts.clear();
            }
        }
    }

    fn kill(&mut self, host: usize) {
        self.lose_host(host);
        self.plan_later(Due::Boot(host));
    }

    fn lose_host(&mut self, host: usize) {
        self.world.kill(host);
        self.world.frozen_hosts.retain(|other| *other != host);
        for client in self.clients.values_mut() {
            let open = client.open.len();
            client.open.retain(|_, at| *at != host);
            let lost = open - client.open.len();
            client.statuses.extend(vec![None; lost]);
        }
    }

    /// Sends the job of a client to one host, or to two at once.
    fn submit(&mut self, id: u64) {
        let count = if self.rng.u32(0..6) == 0 { 2 } else { 1 };
        for _ in 0..count {
            let is_live = |host: &usize| self.world.hosts[*host].is_some();
            let live: Vec<usize> = (0..HOSTS).filter(is_live).collect();
            let Some(host) = live.get(self.rng.usize(0..HOSTS) % live.len().max(1)) else {
                return;
            };
            self.serial += 1;
            let ticket = 1_000_000 + self.serial;
            let client = self.clients.entry(id).or_default();
            client.open.insert(ticket, *host);
            let body = format!(
                r#"{{"spec":"text","steps":[{{"count":{TASKS},"cpu":100,"memMb":10,"estRuntimeMs":100}}]}}"#
            );
            let request = FrontRequest {
                method: Method::POST,
                host: "example".to_owned(),
                path: format!("/q/{id:016x}"),
                headers: HeaderMap::new(),
                body: body.into(),
            };
            self.world.event(*host, HostEvent::Client(ticket, request));
        }
    }

    /// Notes the answers; clients whose outcome is open try again.
    fn take_answers(&mut self) {
        let mut again = Vec::new();
        for (id, client) in &mut self.clients {
            client.open.retain(|ticket, _| {
                let answer = self.world.answers.remove(ticket);
                if let Some((_, reply)) = &answer {
                    client.statuses.push(Some(reply.status));
                }
                answer.is_none()
            });
            let is_unknown = matches!(client.statuses.last(), Some(None | Some(504)));
            if client.open.is_empty() && is_unknown && client.statuses.len() < MAX_ATTEMPTS {
                again.push(*id);
            }
        }
        for id in again {
            self.submit(id);
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.world.now + millis;
        while self.world.now < end {
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.world.now {
                    break;
                }
                let due = entry.remove();
                self.carry_out(due);
            }
            self.world.run(20);
            self.take_answers();
        }
    }

    /// Checks that no job is stored whose client got refusals only, and that each accepted one is. Returns the numbers
    /// of refused clients and of accepted jobs.
    fn check(&mut self, seed: u64) -> (usize, usize) {
        let stored = self.world.stored_jobs();
        let (mut refused, mut accepted) = (0, 0);
        for (id, client) in &self.clients {
            let is_stored = stored.contains(&JobId(*id));
            let is_accepted = client.statuses.contains(&Some(200));
            refused += usize::from(client.is_refused());
            accepted += usize::from(is_accepted);
            assert!(
                !(client.is_refused() && is_stored),
                "seed {seed}: job {id} is stored, all answers were refusals: {client:?}"
            );
            assert!(
                !is_accepted || is_stored,
                "seed {seed}: accepted job {id} is unknown: {client:?}"
            );
        }
        (refused, accepted)
    }
}

/// Plays a history with disruptions at random times while clients come; returns the numbers of refused clients and of
/// accepted jobs.
fn play(seed: u64, troubles: &[Due]) -> (usize, usize) {
    let mut history = History::new(seed);
    let gap = history.rng.u64(10..60);
    for id in 1..=CLIENTS {
        history.plan(id * gap, Due::Submit(id));
    }
    for trouble in troubles {
        let after = history.rng.u64(0..CLIENTS * gap + 1_500);
        history.plan(after, *trouble);
    }
    history.run(CLIENTS * gap + SETTLE_TIME);
    for due in [Due::Heal, Due::StoreWorks] {
        history.carry_out(due);
    }
    history.run(SETTLE_TIME);
    history.check(seed)
}

/// Guards against a job that runs although all answers to its client were refusals (429 or 503), whatever has happened
/// to the owner and to the store meanwhile.
#[parameterized(
    killed = { &[Due::Kill] },
    killed_twice = { &[Due::Kill, Due::Kill] },
    stopped = { &[Due::Stop] },
    stopped_and_killed = { &[Due::Stop, Due::Kill] },
    frozen = { &[Due::Freeze, Due::Kill] },
    cut = { &[Due::Cut, Due::Kill] },
    store_refuses = { &[Due::StoreRefuses, Due::Kill] },
    store_is_silent = { &[Due::StoreIsSilent, Due::Kill] },
    store_loses_answers = { &[Due::StoreLosesAnswers, Due::Kill, Due::Freeze] },
    all = { &[Due::Kill, Due::Freeze, Due::Cut, Due::StoreLosesAnswers, Due::StoreRefuses, Due::Kill] },
)]
fn no_job_is_stored_that_was_refused(troubles: &[Due]) {
    let seeds = std::env::var("SUBMISSION_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let mut total = (0, 0);
    for seed in 1..=seeds {
        let (refused, accepted) = play(seed, troubles);
        total = (total.0 + refused, total.1 + accepted);
    }
    assert!(total.0 > 0 && total.1 > 0, "{total:?}");
}

/// Guards against a refusal that is taken for true although an earlier attempt may have been carried out, and against an
/// outcome that is withheld although it is certain.
#[parameterized(
    refused = { Reply::Refused { retry_after: 2 }, Verdict::Unknown },
    unavailable = { Reply::Unavailable, Verdict::AskAgain },
    accepted = { Reply::Accepted, Verdict::Holds },
    cancelled = { Reply::Cancelled, Verdict::Holds },
    gone = { Reply::Gone, Verdict::Holds },
    state = { Reply::State { outcome: None, has_started: false }, Verdict::Holds },
    backlog = { Reply::Backlog(3), Verdict::Holds },
)]
fn a_reply_is_judged_by_the_earlier_attempts(reply: Reply, after_an_uncertain_one: Verdict) {
    let of = |attempts: &[Attempts]| {
        attempts
            .iter()
            .fold(Attempts::default(), |all, one| all.and(*one))
    };
    let (undone, unsure) = (Attempts::NotDone, Attempts::Uncertain);
    for earlier in [vec![], vec![undone], vec![undone, undone]] {
        assert_eq!(judge(of(&earlier), reply), Verdict::Holds, "{earlier:?}");
    }
    for earlier in [vec![unsure], vec![undone, unsure], vec![unsure, undone]] {
        assert_eq!(
            judge(of(&earlier), reply),
            after_an_uncertain_one,
            "{earlier:?}"
        );
    }
}
