//! Entry hosts that die, freeze, restart and drain while work goes on.

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

/// Room for three small tasks on each worker, beside the reserve for urgent tasks.
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

/// Time for jobs of a few seconds and a takeover, on a loaded machine.
const JOB_LIMIT: Duration = Duration::from_secs(60);

fn check(cluster: &Cluster) -> Records {
    let records = cluster.platform.records();
    cluster.check_invariants(&records);
    if let Err(violation) = records.check_capacity(CAPACITY) {
        panic!("{violation}");
    }
    records
}

/// Asserts that all tasks of a job succeeded in their first attempt.
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

/// Waits until a job runs on a worker that also has a claim which is not started; returns the
/// worker's holder and the ids of the claims on its workers that are not started.
fn wait_until_claimed_ahead(cluster: &Cluster, job: &str) -> (usize, BTreeMap<String, String>) {
    wait_for("claim ahead of its start", WAIT_LIMIT, || {
        let state = cluster.job(0, job)?;
        let records = cluster.platform.records();
        let waiting: BTreeMap<String, String> = state
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
        let worker = waiting.values().find(|worker| busy(worker))?;
        let holder = cluster.holder(0, worker)?;
        let held = |worker: &str| cluster.holder(0, worker) == Some(holder);
        let waiting = waiting.iter().filter(|(_, worker)| held(worker));
        let waiting: BTreeMap<_, _> = waiting.map(|(a, b)| (a.clone(), b.clone())).collect();
        (!waiting.is_empty()).then_some((holder, waiting))
    })
}

/// Guards against second starts and lost claims after the death of the host that made them.
#[test]
fn tasks_and_claims_of_a_killed_host_are_taken_over() {
    let mut cluster = Cluster::start("killed", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 20, 3000).status, 202);
    let (holder, waiting) = wait_until_claimed_ahead(&cluster, "run");
    cluster.kill(holder);
    let other = (holder + 1) % 3;
    assert_succeeded(&cluster, other, "run");
    let records = check(&cluster);
    for start in records.with_event(Event::Started) {
        if let Some(worker) = waiting.get(&start.id) {
            assert_eq!(start.host, *worker, "{} moved to another worker", start.id);
        }
    }
}

/// Guards against commands of a host that froze past its lease, and against work that it repeats.
#[test]
fn a_host_that_was_frozen_past_its_leases_runs_nothing_twice() {
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
        send_anywhere(&cluster, frozen, &id);
    }
    assert_succeeded(&cluster, other, "run");
    let records = check(&cluster);
    assert_eq!(records.count_starts("vltava:after-"), 20);
}

/// Guards against a start that arrives after another host took the worker over.
#[test]
fn a_start_that_is_delayed_past_the_lease_is_refused() {
    let cluster = Cluster::start("delayed", &ONE_DATA_CENTRE);
    let backends = &cluster.platform.backends[0];
    let worker = backends.name(0).to_owned();
    let is_stale = |records: &Records| {
        let mut refused = records.with_event(Event::Refused);
        refused.any(|record| record.state.as_deref() == Some("stale_token"))
    };
    // The start is held back only if the host claims and sends it before its lease runs out.
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
        if is_stale(&check(&cluster)) {
            return;
        }
    }
    panic!("no start was held back");
}

/// Guards against a host that, back at its address with an empty memory, repeats what it ran or
/// refuses work although it knows who can do it.
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
        send_anywhere(&cluster, holder, &id);
    }
    assert_succeeded(&cluster, 0, "run");
    check(&cluster);
}

/// Guards against a host that refuses requests although it knows who holds the instance.
#[test]
fn a_host_relays_as_soon_as_it_knows_a_holder() {
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
    check(&cluster);
}

/// What a caller does with one entry host.
enum Try {
    Answered,
    /// The host refused the connection, or answered that nothing ran.
    Next,
    Lost(String),
}

fn try_host(address: &str, class: &str, id: &str) -> Try {
    let client = Client::new().with_header("request-id", id);
    let path = format!("/v1/requests/vltava/{class}");
    match client.post(address, &path, id.as_bytes()) {
        Ok(reply) if reply.status == 200 => {
            let expected = format!("vltava:{id} {}\n{id}", id.len());
            match reply.text() == expected {
                true => Try::Answered,
                false => Try::Lost(format!("{id}: another answer: {}", reply.text())),
            }
        }
        Ok(reply) => match serde_json::from_slice::<Value>(&reply.body) {
            Ok(body) if body["ran"] == "not_run" => Try::Next,
            _ => Try::Lost(format!("{id}: {} {}", reply.status, reply.text())),
        },
        Err(ureq::Error::ConnectionFailed) => Try::Next,
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Try::Next
        }
        Err(error) => Try::Lost(format!("{id}: {error:?}")),
    }
}

/// Sends a request to a host, then to the next ones as long as that is safe.
fn try_anywhere(hosts: &[String], first: usize, class: &str, id: &str) -> Result<(), String> {
    let deadline = Instant::now() + WAIT_LIMIT;
    for host in first.. {
        match try_host(&hosts[host % hosts.len()], class, id) {
            Try::Answered => return Ok(()),
            Try::Lost(reason) => return Err(reason),
            Try::Next if Instant::now() > deadline => break,
            Try::Next => thread::sleep(Duration::from_millis(5)),
        }
    }
    Err(format!("{id}: no host took it within {WAIT_LIMIT:?}"))
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    cluster.hosts.iter().map(|host| host.api.clone()).collect()
}

fn send_anywhere(cluster: &Cluster, first: usize, id: &str) {
    if let Err(reason) = try_anywhere(&addresses(cluster), first, "proof", id) {
        panic!("{reason}");
    }
}

/// Steady callers, each with one request at a time.
struct Load {
    class: &'static str,
    stop: AtomicBool,
    answered: AtomicUsize,
    lost: Mutex<Vec<String>>,
}

impl Load {
    const CALLERS: usize = 12;

    fn new(class: &'static str) -> Self {
        Load {
            class,
            stop: AtomicBool::new(false),
            answered: AtomicUsize::new(0),
            lost: Mutex::new(Vec::new()),
        }
    }

    fn call(&self, hosts: &[String], caller: usize) {
        for round in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("caller-{caller}-{round}");
            match try_anywhere(hosts, caller + round, self.class, &id) {
                Ok(()) => self.answered.fetch_add(1, Ordering::Relaxed),
                Err(reason) => {
                    self.lost.lock().expect("no panic").push(reason);
                    0
                }
            };
        }
    }

    /// Waits for `count` more answers.
    fn wait_until_answered(&self, count: usize) {
        let goal = self.answered.load(Ordering::Relaxed) + count;
        wait_until(&format!("{count} more answers"), WAIT_LIMIT, || {
            self.answered.load(Ordering::Relaxed) >= goal || !self.lost().is_empty()
        });
    }

    fn lost(&self) -> Vec<String> {
        self.lost.lock().expect("no panic").clone()
    }
}

/// Runs `change` under load of a class; asserts that no request is lost. Returns how many requests
/// were answered and how many ran.
fn under_load(
    cluster: &mut Cluster,
    class: &'static str,
    change: impl FnOnce(&mut Cluster, &Load),
) -> (usize, usize) {
    let load = Load::new(class);
    let hosts = addresses(cluster);
    thread::scope(|scope| {
        for caller in 0..Load::CALLERS {
            let (load, hosts) = (&load, &hosts);
            scope.spawn(move || load.call(hosts, caller));
        }
        let stop = StopOnDrop(&load.stop);
        load.wait_until_answered(30);
        change(cluster, &load);
        load.wait_until_answered(30);
        drop(stop);
    });
    let lost = load.lost();
    let answered = load.answered.load(Ordering::Relaxed);
    println!("answered {answered}, lost {}", lost.len());
    assert!(lost.is_empty(), "of {answered} requests: {lost:#?}");
    let records = check(cluster);
    (answered, records.count_starts("vltava:caller-"))
}

/// Ends the callers also when an assertion fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn drain(cluster: &mut Cluster, class: &'static str) {
    let (answered, ran) = under_load(cluster, class, |cluster, _| {
        cluster.signal(0, Signal::Terminate);
        assert_eq!(cluster.wait(0).code(), Some(0));
    });
    assert_eq!(ran, answered, "requests were cut and ran again");
}

/// Guards against requests that a planned stop cuts, and against a failing or endless stop.
#[test]
fn a_drain_under_load_cuts_no_request() {
    let mut cluster = Cluster::start("drained", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 12, 2000).status, 202);
    drain(&mut cluster, "proof");
    assert_succeeded(&cluster, 1, "run");
}

/// Guards against at-most-once requests that a planned stop cuts or leaves with unknown outcome.
#[test]
fn a_drain_leaves_no_at_most_once_request_unknown() {
    let mut cluster = Cluster::start("drained-once", &ONE_DATA_CENTRE);
    drain(&mut cluster, "check");
}

/// Guards against requests that are lost while every host in turn restarts.
#[test]
fn a_rolling_restart_under_load_loses_no_request() {
    let mut cluster = Cluster::start("rolling", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 40, 2000).status, 202);
    under_load(&mut cluster, "proof", |cluster, load| {
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
