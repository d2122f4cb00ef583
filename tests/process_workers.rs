//! Workers and instances that crash, restart, fail their starts or leave.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jayfork::base::Size;
use serde_json::json;
use support::{Cluster, ClusterSpec, Event, Records, WAIT_LIMIT, wait_for, wait_until};

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
];
const ONE_DATA_CENTRE: ClusterSpec = ClusterSpec {
    entry_hosts: &[("karlin", 2)],
    worker_args: &[WORKERS],
    instance_args: &[],
    log_args: &[],
    host_list_args: &[],
    timing: &[],
};
const JOB_LIMIT: Duration = Duration::from_secs(60);
/// A worker that does not answer is declared lost after 45 s and a few heartbeats.
const WORKER_LOSS_LIMIT: Duration = Duration::from_secs(100);

fn check(cluster: &Cluster) -> Records {
    let records = cluster.platform.records();
    cluster.check_invariants(&records);
    if let Err(violation) = records.check_capacity(CAPACITY) {
        panic!("{violation}");
    }
    records
}

fn states(cluster: &Cluster, job: &str, limit: Duration) -> Vec<String> {
    let state = cluster.wait_until_done(0, job, limit);
    state.tasks.iter().map(|t| t.state.to_string()).collect()
}

fn start_of(cluster: &Cluster, id: &str) -> support::Record {
    wait_for(&format!("start of {id}"), WAIT_LIMIT, || {
        let records = cluster.platform.records();
        records
            .with_event(Event::Started)
            .find(|start| start.id == id)
            .cloned()
    })
}

fn worker_of(cluster: &Cluster, id: &str) -> usize {
    let start = start_of(cluster, id);
    let backend = &cluster.platform.backends[0];
    let index = (0..backend.hosts.len()).find(|index| backend.name(*index) == start.host);
    index.expect("a known worker")
}

/// Guards against a second run of at-most-once work, and of other work before its first attempt is
/// known to have ended, when a worker crashes for good.
#[test]
fn tasks_of_a_crashed_worker_end_as_their_class_demands() {
    let cluster = Cluster::start("crashed", &ONE_DATA_CENTRE);
    let backend = &cluster.platform.backends[0];
    assert_eq!(cluster.submit(0, "merge", "once", 9, 8_000).status, 202);
    let crashed = worker_of(&cluster, "vltava/once/0");
    assert_eq!(cluster.submit(0, "archive", "again", 9, 8_000).status, 202);
    backend.set_host(crashed, json!({ "crash": true }));
    let before = cluster.platform.records();
    let name = backend.name(crashed);
    let is_hit = |id: &str| {
        let mut starts = before.with_event(Event::Started);
        starts.any(|start| start.id == id && start.host == name)
    };
    // The loss of a worker also ends attempts that are claimed on it but not started.
    let mut claimed = BTreeSet::new();
    let once = wait_for("end of the job", WORKER_LOSS_LIMIT, || {
        let state = cluster.job(0, "once")?;
        let claims = state.tasks.iter();
        let claims = claims.filter(|task| task.worker.as_deref() == Some(name));
        claimed.extend(claims.map(|task| task.index));
        let is_open = |state: &str| matches!(state, "pending" | "claimed");
        (!state.tasks.iter().any(|task| is_open(&task.state))).then_some(state)
    });
    for task in &once.tasks {
        let id = format!("vltava/once/{}", task.index);
        let is_claimed = claimed.contains(&task.index);
        let is_expected = match &*task.state {
            "unknown" => is_hit(&id) || is_claimed,
            state => state == "succeeded" && !is_hit(&id),
        };
        assert!(is_expected, "{id}: {task:?}");
    }
    assert!(once.tasks.iter().any(|task| &*task.state == "unknown"));
    assert!(
        states(&cluster, "again", WORKER_LOSS_LIMIT)
            .iter()
            .all(|s| s == "succeeded")
    );
    check(&cluster);
}

/// Guards against claims that are started in a later incarnation of their worker, and against
/// tasks that wait for a worker which has forgotten them.
#[test]
fn a_new_incarnation_ends_the_attempts_of_the_old_one() {
    let cluster = Cluster::start("incarnation", &ONE_DATA_CENTRE);
    let backend = &cluster.platform.backends[0];
    assert_eq!(cluster.submit(0, "merge", "once", 3, 4_000).status, 202);
    assert_eq!(cluster.submit(0, "archive", "again", 3, 4_000).status, 202);
    // Each restart follows the start, which may have to wait for room, at once.
    for task in ["vltava/once/0", "vltava/again/0"] {
        let worker = worker_of(&cluster, task);
        backend.set_host(worker, json!({ "restart": true }));
    }
    let once = states(&cluster, "once", JOB_LIMIT);
    assert_eq!(once[0], "unknown", "{once:?}");
    assert!(
        states(&cluster, "again", JOB_LIMIT)
            .iter()
            .all(|s| s == "succeeded")
    );
    assert!(check(&cluster).count_starts("vltava/again/0") >= 2);
}

/// Guards against jobs that a worker which fails every start keeps from finishing.
#[test]
fn a_worker_that_fails_every_start_does_not_hold_jobs_up() {
    let cluster = Cluster::start("failing", &ONE_DATA_CENTRE);
    cluster.platform.backends[0].set_host(0, json!({ "fail_starts": true }));
    for job in 0..8 {
        let name = format!("job-{job}");
        assert_eq!(cluster.submit(0, "archive", &name, 3, 300).status, 202);
    }
    for job in 0..8 {
        let states = states(&cluster, &format!("job-{job}"), JOB_LIMIT);
        assert!(states.iter().all(|s| s == "succeeded"), "{states:?}");
    }
    let records = check(&cluster);
    let name = cluster.platform.backends[0].name(0);
    assert!(
        records
            .with_event(Event::Started)
            .all(|start| start.host != name)
    );
}

/// Guards against a second start, or a task that is given up, after a start whose answer was lost.
#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let cluster = Cluster::start("lost-start", &ONE_DATA_CENTRE);
    let lose = json!({ "lose_answers": { "probability": 0.5, "seed": 3 } });
    cluster.platform.backends[0].set(lose);
    assert_eq!(cluster.submit(0, "merge", "run", 24, 300).status, 202);
    let states = states(&cluster, "run", JOB_LIMIT);
    assert!(states.iter().all(|s| s == "succeeded"), "{states:?}");
    assert_eq!(check(&cluster).count_starts("vltava/run/"), 24);
}

/// Lets `leave` make a worker and an instance leave that have work; asserts that they get no work
/// later than 3 s after that.
fn assert_no_work_after_leaving(
    test: &str,
    host_list_args: &[&str],
    begin_leaving: impl FnOnce(&mut Cluster, &[String; 2]),
) {
    let spec = ClusterSpec {
        instance_args: &[INSTANCES],
        host_list_args,
        ..ONE_DATA_CENTRE
    };
    let mut cluster = Cluster::start(test, &spec);
    assert_eq!(cluster.submit(0, "archive", "run", 400, 200).status, 202);
    let mut round = 0;
    let mut send = |cluster: &Cluster| {
        round += 1;
        cluster.request(round % 2, "proof", &format!("proof-{round}"), b"x");
    };
    let names = [0, 1].map(|backend: usize| {
        wait_for("work on a host before it leaves", WAIT_LIMIT, || {
            send(&cluster);
            let records = cluster.platform.backends[backend].records();
            let start = records.iter().find(|r| r.event == Event::Started)?;
            Some(start.host.clone())
        })
    });
    begin_leaving(&mut cluster, &names);
    let left = Instant::now();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let limit = wall.expect("a time after 1970").as_millis() as u64 + 3_000;
    // Load goes on for the 3 s in which work may still arrive, and for longer than that again.
    while left.elapsed() < Duration::from_secs(7) {
        send(&cluster);
    }
    let records = check(&cluster);
    for event in records
        .with_event(Event::Started)
        .chain(records.with_event(Event::Refused))
    {
        let is_late = names.contains(&event.host) && event.time > limit && !event.id.is_empty();
        assert!(!is_late, "work for a leaving host: {event:?}");
    }
    let others = records
        .with_event(Event::Started)
        .filter(|r| r.time > limit);
    assert!(others.count() > 0, "no load after the limit");
    if let Err(violation) = records.check_leaving(3_000) {
        panic!("{violation}");
    }
}

/// Guards against work for hosts whose leaving only the lagging host list tells.
#[test]
fn hosts_that_leave_by_the_list_get_no_new_work() {
    let lag = Duration::from_secs(2);
    let lag_ms = lag.as_millis().to_string();
    assert_no_work_after_leaving("leaving-list", &["--lag-ms", &lag_ms], |cluster, names| {
        for name in names {
            cluster.platform.mark_leaving_in_list(name);
        }
        // The first sign is the list that an entry host can read.
        let client = support::Client::new();
        wait_until("leaving hosts in the list", WAIT_LIMIT, || {
            let list = client.get(&cluster.platform.host_list.service, "/hosts");
            list.is_ok_and(|list| list.text().matches("leaving").count() == 2)
        });
    });
}

/// Guards against work for hosts whose leaving only their own lease answers tell.
#[test]
fn hosts_that_leave_by_their_lease_get_no_new_work() {
    assert_no_work_after_leaving("leaving-lease", &[], |cluster, names| {
        for (backend, name) in cluster.platform.backends.iter().zip(names) {
            backend.set(json!({ "hosts": [name], "leaving": true }));
        }
    });
}

/// Guards against answers about a cancellation that disagree with what ran.
#[test]
fn a_wave_of_cancellations_agrees_with_what_ran() {
    let cluster = Cluster::start("cancelled", &ONE_DATA_CENTRE);
    for job in 0..20 {
        let name = format!("job-{job}");
        assert_eq!(cluster.submit(0, "merge", &name, 10, 400).status, 202);
    }
    wait_until("first starts", WAIT_LIMIT, || {
        cluster.platform.records().count_starts("vltava/job-") >= 6
    });
    for job in 0..20 {
        let reply = cluster.cancel(job % 2, &format!("job-{job}"));
        assert_eq!(reply.status, 202, "{}", reply.text());
    }
    let mut counts = [0; 3];
    for job in 0..20 {
        let name = format!("job-{job}");
        let state = cluster.wait_until_done(0, &name, JOB_LIMIT);
        let records = cluster.platform.records();
        for task in &state.tasks {
            let id = format!("vltava/{name}/{}", task.index);
            let ended = records.with_event(Event::Ended).find(|end| end.id == id);
            let ended = ended.and_then(|end| end.state.as_deref());
            match (&*task.state, ended) {
                ("succeeded", Some("succeeded")) => counts[0] += 1,
                ("cancelled", Some("stopped")) => counts[1] += 1,
                ("cancelled", None) if records.count_starts(&id) == 0 => counts[2] += 1,
                (told, ran) => panic!("{id}: told {told}, ended as {ran:?}"),
            }
        }
    }
    println!("succeeded, stopped, not run: {counts:?}");
    assert!(counts[2] > 0);
    check(&cluster);
}

/// Reason that a host tells for a job which is larger than every worker.
fn reason(cluster: &Cluster, host: usize) -> Option<String> {
    let job = cluster.job(host, "large")?;
    job.tasks[0].reason.as_ref().map(ToString::to_string)
}

fn submit_oversized(test: &str) -> Cluster {
    let spec = ClusterSpec {
        worker_args: &[&["--data-centre", "karlin", "--processors", "2000"]],
        // Only one host ever judges the job.
        timing: &[("handback_delay", "600 s")],
        ..ONE_DATA_CENTRE
    };
    let cluster = Cluster::start(test, &spec);
    let size = json!({ "processors": 3000, "memory": 512, "accelerators": 0 });
    let reply = cluster.submit_sized(0, "archive", "large", 1, 100, &size);
    assert_eq!(reply.status, 202, "{}", reply.text());
    cluster
}

/// Guards against a job that waits for ever without telling why.
#[test]
fn a_job_larger_than_every_worker_gets_a_reason() {
    let cluster = submit_oversized("oversized");
    let told = wait_for("reason of a job that cannot run", WAIT_LIMIT, || {
        (0..2).find_map(|host| reason(&cluster, host))
    });
    assert!(told.contains("3.0 cores"), "{told}");
    assert_eq!(cluster.platform.records().count_starts("vltava/large/"), 0);
}

/// Guards against a reason that depends on the host that is asked.
#[test]
fn every_host_tells_why_a_job_cannot_run() {
    let cluster = submit_oversized("oversized-all");
    wait_until("reason on every host", WAIT_LIMIT, || {
        (0..2).all(|host| reason(&cluster, host).is_some())
    });
}

/// Guards against a watcher that stays down.
#[test]
fn a_watcher_that_ends_is_started_again() {
    let cluster = Cluster::start("watcher", &ONE_DATA_CENTRE);
    let classes = json!({ "odour": { "run_ms": 500 } });
    cluster.platform.backends[0].set(json!({ "classes": classes }));
    assert_eq!(cluster.submit(0, "odour", "records", 1, 0).status, 202);
    wait_until("third start of the watcher", WAIT_LIMIT, || {
        cluster.platform.records().count_starts("vltava/records/0") >= 3
    });
    let state = cluster.job(0, "records").expect("the job is known");
    assert!(matches!(&*state.tasks[0].state, "pending" | "claimed"));
    check(&cluster);
}
