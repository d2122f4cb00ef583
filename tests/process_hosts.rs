//! Entry hosts that are killed, frozen, restarted or drained while they have work.

mod support;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jayfork::base::Size;
use serde_json::{Value, json};
use support::{
    Client, Cluster, ClusterSpec, Event, Records, Signal, WAIT_LIMIT, wait_for, wait_until,
};

/// Capacity of each worker: three small tasks, besides the reserve for urgent tasks.
const CAPACITY: Size = Size::new(2000, 8192, 0);
const WORKERS: &[&str] = &[
    "--data-centre",
    "karlin",
    "--count",
    "3",
    "--processors",
    "2000",
    "--memory",
    "8192",
];
const INSTANCES: &[&str] = &[
    "--data-centre",
    "karlin",
    "--service",
    "issue-assembly",
    "--count",
    "6",
    "--service-ms",
    "100",
];

const ONE_DATA_CENTRE: ClusterSpec = ClusterSpec {
    entry_hosts: &[("karlin", 3)],
    worker_args: &[WORKERS],
    instance_args: &[INSTANCES],
    log_args: &[],
    host_list_args: &[],
    timing: &[],
};

/// Time limit for jobs of a few seconds and a takeover; long enough for a loaded machine.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// Asserts the invariants that hold in every test, and the capacity of the workers (I1).
fn check_records(cluster: &Cluster) -> Records {
    let records = cluster.platform.records();
    cluster.check_invariants(&records);
    if let Err(violation) = records.check_capacity(CAPACITY) {
        panic!("{violation}");
    }
    records
}

/// Waits for the end of a job; asserts that its tasks succeeded in their first and only attempt.
fn assert_succeeded(cluster: &Cluster, host: usize, job: &str) {
    let state = cluster.wait_until_done(host, job, JOB_LIMIT);
    for task in &state.tasks {
        assert_eq!((&*task.state, task.attempt.0), ("succeeded", 0), "{task:?}");
    }
    let starts = cluster
        .platform
        .records()
        .count_starts(&format!("vltava/{job}/"));
    assert_eq!(starts, state.tasks.len(), "{job}");
}

/// Waits until a host holds a worker that runs a task and has a claim for another one that has not
/// started. Returns the index of that host, and for every unstarted task on its workers the task's
/// id with the worker's name.
fn wait_until_claimed_ahead(cluster: &Cluster, job: &str) -> (usize, BTreeMap<String, String>) {
    wait_for("claim of a task that has not started", WAIT_LIMIT, || {
        let state = cluster.job(0, job)?;
        let records = cluster.platform.records();
        let unstarted: BTreeMap<String, String> = state
            .tasks
            .iter()
            .filter_map(|task| Some((format!("vltava/{job}/{}", task.index), task.worker.clone()?)))
            .filter(|(id, _)| records.count_starts(id) == 0)
            .map(|(id, worker)| (id, worker.to_string()))
            .collect();
        let busy = |worker: &str| {
            records
                .with_event(Event::Started)
                .any(|start| start.host == worker)
        };
        let worker = unstarted.values().find(|worker| busy(worker))?;
        let holder = cluster.holder(0, worker)?;
        let held = |worker: &str| cluster.holder(0, worker) == Some(holder);
        let unstarted = unstarted.iter().filter(|(_, worker)| held(worker));
        let unstarted: BTreeMap<_, _> = unstarted.map(|(a, b)| (a.clone(), b.clone())).collect();
        (!unstarted.is_empty()).then_some((holder, unstarted))
    })
}

/// A host is killed while its workers run tasks and have unstarted claims. Guards against tasks
/// that start twice, and against claims that the host's successor loses.
#[test]
fn tasks_and_claims_of_a_killed_host_are_taken_over() {
    let mut cluster = Cluster::start("killed", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 20, 3000).status, 202);
    let (holder, unstarted) = wait_until_claimed_ahead(&cluster, "run");
    cluster.kill(holder);
    let other = (holder + 1) % 3;
    assert_succeeded(&cluster, other, "run");
    let records = check_records(&cluster);
    for start in records.with_event(Event::Started) {
        if let Some(worker) = unstarted.get(&start.id) {
            assert_eq!(start.host, *worker, "{} moved to another worker", start.id);
        }
    }
}

/// A host is frozen until others have taken over its leases, and then continues. Guards against
/// commands that it still sends to its former workers, and against work that runs twice.
#[test]
fn a_host_frozen_until_its_leases_expire_runs_nothing_twice() {
    let mut cluster = Cluster::start("frozen", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 20, 3000).status, 202);
    let (frozen, _) = wait_until_claimed_ahead(&cluster, "run");
    let other = (frozen + 1) % 3;
    cluster.signal(frozen, Signal::Stop);
    let name = cluster.hosts[frozen].name.clone();
    wait_until("takeover of all backend servers", WAIT_LIMIT, || {
        let status = cluster.status(other);
        let workers = status.workers.iter().map(|worker| &worker.holder);
        let instances = status.instances.iter().map(|instance| &instance.holder);
        workers
            .chain(instances)
            .all(|holder| holder.as_ref().is_some_and(|holder| **holder != *name))
    });
    cluster.signal(frozen, Signal::Continue);
    for round in 0..20 {
        let id = format!("after-{round}");
        assert_answered_by_any_host(&cluster, frozen, &id);
    }
    assert_succeeded(&cluster, other, "run");
    let records = check_records(&cluster);
    assert_eq!(records.count_starts("vltava:after-"), 20);
}

/// A worker receives a start after another host has taken it over. Guards against a worker that
/// runs the task although the sender no longer holds it.
#[test]
fn a_start_that_arrives_after_a_takeover_is_refused() {
    let cluster = Cluster::start("delayed", &ONE_DATA_CENTRE);
    let backends = &cluster.platform.backends[0];
    let worker = backends.name(0).to_owned();
    let has_stale_start = |records: &Records| {
        let mut refused = records.with_event(Event::Refused);
        refused.any(|record| record.state.as_deref() == Some("stale_token"))
    };
    // A start is held back only if the holder sends one before its lease expires, so several rounds
    // may be needed.
    for round in 0..10 {
        let holder = wait_for("holder", WAIT_LIMIT, || cluster.holder(0, &worker));
        let other = (holder + 1) % 3;
        backends.set(json!({ "holds": [cluster.hosts[holder].name] }));
        let job = format!("run-{round}");
        assert_eq!(cluster.submit(other, "merge", &job, 9, 500).status, 202);
        wait_until("takeover of a worker", WAIT_LIMIT, || {
            let by = cluster.holder(other, &worker);
            by.is_some_and(|by| by != holder)
        });
        backends.set(json!({ "holds": [] }));
        assert_succeeded(&cluster, other, &job);
        if has_stale_start(&check_records(&cluster)) {
            return;
        }
    }
    panic!("no start was held back");
}

/// A host is killed and restarts at the same address with an empty memory. Guards against tasks
/// that it starts again, and against requests that no host answers.
#[test]
fn a_host_that_restarts_with_an_empty_memory_repeats_nothing() {
    let mut cluster = Cluster::start("restarted", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 20, 3000).status, 202);
    for round in 0..2 {
        let (holder, _) = wait_until_claimed_ahead(&cluster, "run");
        cluster.kill(holder);
        cluster.restart(holder);
        cluster.wait_until_serving(holder);
        let id = format!("after-{round}");
        assert_answered_by_any_host(&cluster, holder, &id);
    }
    assert_succeeded(&cluster, 0, "run");
    check_records(&cluster);
}

/// Guards against a restarted host that refuses requests although it has the contract and knows the
/// holder of the instance.
#[test]
fn a_restarted_host_relays_as_soon_as_it_knows_a_holder() {
    let spec = ClusterSpec {
        worker_args: &[],
        instance_args: &[&["--data-centre", "karlin", "--service", "issue-assembly"]],
        timing: &[("handback_delay", "600 s")],
        ..ONE_DATA_CENTRE
    };
    let mut cluster = Cluster::start("relays", &spec);
    let instance = cluster.platform.backends[0].name(0).to_owned();
    let holder = cluster.holder(0, &instance).expect("a holder");
    let host = (holder + 1) % 3;
    for round in 0..3 {
        cluster.kill(host);
        cluster.restart(host);
        wait_until(
            "contract and holder on the restarted host",
            WAIT_LIMIT,
            || cluster.version(host) == 1 && cluster.holder(host, &instance) == Some(holder),
        );
        let id = format!("round-{round}");
        let reply = cluster.request(host, "proof", &id, b"x");
        assert_eq!(reply.status, 200, "{id}: {}", reply.text());
    }
    check_records(&cluster);
}

/// Result of sending a request to one entry host.
enum AttemptResult {
    Answered,
    /// The host refused the connection or answered that the request did not run.
    NotRun,
    Failed(String),
}

fn send_to_host(address: &str, class: &str, id: &str) -> AttemptResult {
    let client = Client::new().with_header("request-id", id);
    let path = format!("/v1/requests/vltava/{class}");
    match client.post(address, &path, id.as_bytes()) {
        Ok(reply) if reply.status == 200 => {
            let expected = format!("vltava:{id} {}\n{id}", id.len());
            match reply.text() == expected {
                true => AttemptResult::Answered,
                false => AttemptResult::Failed(format!("{id}: wrong answer: {}", reply.text())),
            }
        }
        Ok(reply) => match serde_json::from_slice::<Value>(&reply.body) {
            Ok(body) if body["ran"] == "not_run" => AttemptResult::NotRun,
            _ => AttemptResult::Failed(format!("{id}: {} {}", reply.status, reply.text())),
        },
        Err(ureq::Error::ConnectionFailed) => AttemptResult::NotRun,
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            AttemptResult::NotRun
        }
        Err(error) => AttemptResult::Failed(format!("{id}: {error:?}")),
    }
}

/// Sends a request to one host after another, as long as each one refuses it without running it.
fn send_to_any_host(hosts: &[String], first: usize, class: &str, id: &str) -> Result<(), String> {
    let deadline = Instant::now() + WAIT_LIMIT;
    for host in first.. {
        match send_to_host(&hosts[host % hosts.len()], class, id) {
            AttemptResult::Answered => return Ok(()),
            AttemptResult::Failed(reason) => return Err(reason),
            AttemptResult::NotRun if Instant::now() > deadline => break,
            AttemptResult::NotRun => thread::sleep(Duration::from_millis(5)),
        }
    }
    Err(format!(
        "{id}: no host ran the request within {WAIT_LIMIT:?}"
    ))
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    cluster.hosts.iter().map(|host| host.api.clone()).collect()
}

fn assert_answered_by_any_host(cluster: &Cluster, first: usize, id: &str) {
    if let Err(reason) = send_to_any_host(&addresses(cluster), first, "proof", id) {
        panic!("{reason}");
    }
}

/// Callers that send requests until they are stopped, each one request at a time.
struct Load {
    class: &'static str,
    stop: AtomicBool,
    answered: AtomicUsize,
    failures: Mutex<Vec<String>>,
}

impl Load {
    const CALLER_COUNT: usize = 12;

    fn new(class: &'static str) -> Self {
        Load {
            class,
            stop: AtomicBool::new(false),
            answered: AtomicUsize::new(0),
            failures: Mutex::new(Vec::new()),
        }
    }

    fn run_caller(&self, hosts: &[String], caller: usize) {
        for round in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("caller-{caller}-{round}");
            match send_to_any_host(hosts, caller + round, self.class, &id) {
                Ok(()) => self.answered.fetch_add(1, Ordering::Relaxed),
                Err(reason) => {
                    self.failures.lock().expect("no panic").push(reason);
                    0
                }
            };
        }
    }

    /// Waits for `count` more answers, or for the first failure.
    fn wait_until_answered(&self, count: usize) {
        let target = self.answered.load(Ordering::Relaxed) + count;
        wait_until(&format!("{count} more answers"), WAIT_LIMIT, || {
            self.answered.load(Ordering::Relaxed) >= target || !self.failures().is_empty()
        });
    }

    fn failures(&self) -> Vec<String> {
        self.failures.lock().expect("no panic").clone()
    }
}

/// Runs `change` while callers send requests of a class; asserts that none of them fails. Returns
/// how many requests were answered and how many runs started.
fn run_under_load(
    cluster: &mut Cluster,
    class: &'static str,
    change: impl FnOnce(&mut Cluster, &Load),
) -> (usize, usize) {
    let load = Load::new(class);
    let hosts = addresses(cluster);
    thread::scope(|scope| {
        for caller in 0..Load::CALLER_COUNT {
            let (load, hosts) = (&load, &hosts);
            scope.spawn(move || load.run_caller(hosts, caller));
        }
        let stop = StopOnDrop(&load.stop);
        load.wait_until_answered(30);
        change(cluster, &load);
        load.wait_until_answered(30);
        drop(stop);
    });
    let failures = load.failures();
    let answered = load.answered.load(Ordering::Relaxed);
    println!("answered {answered}, failed {}", failures.len());
    assert!(failures.is_empty(), "of {answered} requests: {failures:#?}");
    let records = check_records(cluster);
    (answered, records.count_starts("vltava:caller-"))
}

/// Stops the callers, even if an assertion fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Drains a host under load; asserts that it exits and that every request ran exactly once.
fn assert_drain_interrupts_no_request(cluster: &mut Cluster, class: &'static str) {
    let (answered, ran) = run_under_load(cluster, class, |cluster, _| {
        cluster.signal(0, Signal::Terminate);
        assert_eq!(cluster.wait(0).code(), Some(0));
    });
    assert_eq!(ran, answered, "requests were interrupted and ran again");
}

/// Guards against requests that a planned stop of a host interrupts (I8), and against a host that
/// doesn't exit or exits with an error.
#[test]
fn a_drain_under_load_interrupts_no_request() {
    let mut cluster = Cluster::start("drained", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 12, 2000).status, 202);
    assert_drain_interrupts_no_request(&mut cluster, "proof");
    assert_succeeded(&cluster, 1, "run");
}

/// Guards against at-most-once requests that a planned stop interrupts or answers with an unknown
/// outcome.
#[test]
fn a_drain_leaves_no_at_most_once_request_unknown() {
    let mut cluster = Cluster::start("drained-once", &ONE_DATA_CENTRE);
    assert_drain_interrupts_no_request(&mut cluster, "check");
}

/// Every host restarts, one after the other. Guards against requests that fail meanwhile.
#[test]
fn a_rolling_restart_under_load_loses_no_request() {
    let mut cluster = Cluster::start("rolling", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 40, 2000).status, 202);
    run_under_load(&mut cluster, "proof", |cluster, load| {
        for host in 0..3 {
            cluster.signal(host, Signal::Terminate);
            assert_eq!(cluster.wait(host).code(), Some(0));
            cluster.restart(host);
            cluster.wait_until_serving(host);
            cluster.wait_until_held();
            load.wait_until_answered(30);
        }
    });
    assert_succeeded(&cluster, 0, "run");
}
