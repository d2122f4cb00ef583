//! Workers and instances that crash, restart, fail starts or leave.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jayfork::base::Size;
use serde_json::json;
use support::{Cluster, ClusterSpec, Event, Records, WAIT_LIMIT, wait_for, wait_until};

/// Capacity of each worker, as `WORKERS` sets it.
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
/// Time limit for a job.
const JOB_LIMIT: Duration = Duration::from_secs(60);
/// Time limit for the loss of a worker, which is declared lost 45 s and a few heartbeats after its
/// last answer.
const WORKER_LOSS_LIMIT: Duration = Duration::from_secs(100);

/// Asserts the invariants that hold in every test, and the capacity of the workers (I1).
fn check_records(cluster: &Cluster) -> Records {
    let records = cluster.platform.records();
    cluster.check_invariants(&records);
    if let Err(violation) = records.check_capacity(CAPACITY) {
        panic!("{violation}");
    }
    records
}

/// Waits for the end of a job; returns the states of its tasks.
fn final_states(cluster: &Cluster, job: &str, limit: Duration) -> Vec<String> {
    let state = cluster.wait_until_done(0, job, limit);
    state.tasks.iter().map(|t| t.state.to_string()).collect()
}

/// Waits for the start of a task; returns its record.
fn wait_for_start(cluster: &Cluster, id: &str) -> support::Record {
    wait_for(&format!("start of {id}"), WAIT_LIMIT, || {
        let records = cluster.platform.records();
        records
            .with_event(Event::Started)
            .find(|start| start.id == id)
            .cloned()
    })
}

/// Waits for the start of a task; returns the index of its worker.
fn index_of_worker_running(cluster: &Cluster, id: &str) -> usize {
    let start = wait_for_start(cluster, id);
    let backend = &cluster.platform.backends[0];
    let index = (0..backend.hosts.len()).find(|index| backend.name(*index) == start.host);
    index.expect("a known worker")
}

/// A worker crashes and doesn't return. Guards against a second run of its at-most-once tasks (I6),
/// and against a retry of its other tasks before their first attempt has surely ended (I2).
#[test]
fn tasks_of_a_crashed_worker_end_as_their_class_requires() {
    let cluster = Cluster::start("crashed", &ONE_DATA_CENTRE);
    let backend = &cluster.platform.backends[0];
    assert_eq!(cluster.submit(0, "merge", "once", 9, 8_000).status, 202);
    let crashed = index_of_worker_running(&cluster, "vltava/once/0");
    assert_eq!(cluster.submit(0, "archive", "again", 9, 8_000).status, 202);
    backend.set_host(crashed, json!({ "crash": true }));
    let records_at_crash = cluster.platform.records();
    let name = backend.name(crashed);
    let had_started_there = |id: &str| {
        let mut starts = records_at_crash.with_event(Event::Started);
        starts.any(|start| start.id == id && start.host == name)
    };
    // The loss of a worker also ends the attempts that were claimed on it but had not started.
    let mut claimed = BTreeSet::new();
    let once = wait_for("end of the job", WORKER_LOSS_LIMIT, || {
        let state = cluster.job(0, "once")?;
        let claims = state.tasks.iter();
        let claims = claims.filter(|task| task.worker.as_deref() == Some(name));
        claimed.extend(claims.map(|task| task.index));
        let is_unfinished = |state: &str| matches!(state, "pending" | "claimed");
        (!state.tasks.iter().any(|task| is_unfinished(&task.state))).then_some(state)
    });
    for task in &once.tasks {
        let id = format!("vltava/once/{}", task.index);
        let is_claimed = claimed.contains(&task.index);
        let is_expected = match &*task.state {
            "unknown" => had_started_there(&id) || is_claimed,
            state => state == "succeeded" && !had_started_there(&id),
        };
        assert!(is_expected, "{id}: {task:?}");
    }
    assert!(once.tasks.iter().any(|task| &*task.state == "unknown"));
    assert!(
        final_states(&cluster, "again", WORKER_LOSS_LIMIT)
            .iter()
            .all(|s| s == "succeeded")
    );
    check_records(&cluster);
}

/// Workers restart and lose their tasks. Guards against claims that start in a later incarnation of
/// their worker, and against tasks that wait for the end of an attempt that no longer exists.
#[test]
fn a_new_incarnation_ends_the_attempts_of_the_old_one() {
    let cluster = Cluster::start("incarnation", &ONE_DATA_CENTRE);
    let backend = &cluster.platform.backends[0];
    assert_eq!(cluster.submit(0, "merge", "once", 3, 4_000).status, 202);
    assert_eq!(cluster.submit(0, "archive", "again", 3, 4_000).status, 202);
    // The restart follows the start of the task immediately; the start may wait for free capacity.
    for task in ["vltava/once/0", "vltava/again/0"] {
        let worker = index_of_worker_running(&cluster, task);
        backend.set_host(worker, json!({ "restart": true }));
    }
    let once = final_states(&cluster, "once", JOB_LIMIT);
    assert_eq!(once[0], "unknown", "{once:?}");
    assert!(
        final_states(&cluster, "again", JOB_LIMIT)
            .iter()
            .all(|s| s == "succeeded")
    );
    assert!(check_records(&cluster).count_starts("vltava/again/0") >= 2);
}

/// Guards against jobs that don't finish because their tasks keep going to a worker that fails
/// every start.
#[test]
fn a_worker_that_fails_every_start_does_not_delay_jobs() {
    let cluster = Cluster::start("failing", &ONE_DATA_CENTRE);
    cluster.platform.backends[0].set_host(0, json!({ "fail_starts": true }));
    for job in 0..8 {
        let name = format!("job-{job}");
        assert_eq!(cluster.submit(0, "archive", &name, 3, 300).status, 202);
    }
    for job in 0..8 {
        let states = final_states(&cluster, &format!("job-{job}"), JOB_LIMIT);
        assert!(states.iter().all(|s| s == "succeeded"), "{states:?}");
    }
    let records = check_records(&cluster);
    let name = cluster.platform.backends[0].name(0);
    assert!(
        records
            .with_event(Event::Started)
            .all(|start| start.host != name)
    );
}

/// Half of the answers to starts are lost. Guards against tasks that start twice or are given up.
#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let cluster = Cluster::start("lost-start", &ONE_DATA_CENTRE);
    let lose = json!({ "lose_answers": { "probability": 0.5, "seed": 3 } });
    cluster.platform.backends[0].set(lose);
    assert_eq!(cluster.submit(0, "merge", "run", 24, 300).status, 202);
    let states = final_states(&cluster, "run", JOB_LIMIT);
    assert!(states.iter().all(|s| s == "succeeded"), "{states:?}");
    assert_eq!(check_records(&cluster).count_starts("vltava/run/"), 24);
}

/// Calls `begin_leaving` with the names of a worker and an instance that have work; asserts that
/// they get no new work later than 3 s after that (I7).
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
    let mut send_request = |cluster: &Cluster| {
        round += 1;
        cluster.request(round % 2, "proof", &format!("proof-{round}"), b"x");
    };
    let names = [0, 1].map(|backend: usize| {
        wait_for("start on a backend server", WAIT_LIMIT, || {
            send_request(&cluster);
            let records = cluster.platform.backends[backend].records();
            let start = records.iter().find(|r| r.event == Event::Started)?;
            Some(start.host.clone())
        })
    });
    begin_leaving(&mut cluster, &names);
    let left = Instant::now();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let limit = wall.expect("a time after 1970").as_millis() as u64 + 3_000;
    // Requests are sent during the 3 s in which work may still arrive, and for 4 s after them.
    while left.elapsed() < Duration::from_secs(7) {
        send_request(&cluster);
    }
    let records = check_records(&cluster);
    for event in records
        .with_event(Event::Started)
        .chain(records.with_event(Event::Refused))
    {
        let is_late = names.contains(&event.host) && event.time > limit && !event.id.is_empty();
        assert!(!is_late, "work sent to a leaving host: {event:?}");
    }
    let others = records
        .with_event(Event::Started)
        .filter(|r| r.time > limit);
    assert!(others.count() > 0, "no work was started after the limit");
    if let Err(violation) = records.check_leaving(3_000) {
        panic!("{violation}");
    }
}

/// Guards against work for backend servers that are leaving only according to the host list, which
/// shows changes with a delay.
#[test]
fn hosts_leaving_in_the_host_list_get_no_new_work() {
    let lag = Duration::from_secs(2);
    let lag_ms = lag.as_millis().to_string();
    assert_no_work_after_leaving("leaving-list", &["--lag-ms", &lag_ms], |cluster, names| {
        for name in names {
            cluster.platform.mark_leaving_in_list(name);
        }
        // Entry hosts cannot know of it before the list shows it.
        let client = support::Client::new();
        wait_until("leaving hosts in the host list", WAIT_LIMIT, || {
            let list = client.get(&cluster.platform.host_list.service, "/hosts");
            list.is_ok_and(|list| list.text().matches("leaving").count() == 2)
        });
    });
}

/// Guards against work for backend servers that are leaving only according to their lease answers.
#[test]
fn hosts_leaving_in_their_lease_answers_get_no_new_work() {
    assert_no_work_after_leaving("leaving-lease", &[], |cluster, names| {
        for (backend, name) in cluster.platform.backends.iter().zip(names) {
            backend.set(json!({ "hosts": [name], "leaving": true }));
        }
    });
}

/// Jobs are cancelled while their tasks start and end. Guards against task states that contradict
/// the records of the workers.
#[test]
fn states_after_many_cancellations_match_the_records() {
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
                (reported, ran) => {
                    panic!("{id}: reported as {reported}, but the worker recorded {ran:?}")
                }
            }
        }
    }
    println!("succeeded, stopped, not run: {counts:?}");
    assert!(counts[2] > 0);
    check_records(&cluster);
}

/// Returns the reason that a host reports for the waiting task of the job `large`.
fn task_reason(cluster: &Cluster, host: usize) -> Option<String> {
    let job = cluster.job(host, "large")?;
    job.tasks[0].reason.as_ref().map(ToString::to_string)
}

/// Starts a cluster and submits the job `large`, whose task exceeds the capacity of every worker.
fn submit_oversized(test: &str) -> Cluster {
    let spec = ClusterSpec {
        worker_args: &[&["--data-centre", "karlin", "--processors", "2000"]],
        // The worker's lease stays on one host, so that only this host tries to place the job.
        timing: &[("handback_delay", "600 s")],
        ..ONE_DATA_CENTRE
    };
    let cluster = Cluster::start(test, &spec);
    let size = json!({ "processors": 3000, "memory": 512, "accelerators": 0 });
    let reply = cluster.submit_sized(0, "archive", "large", 1, 100, &size);
    assert_eq!(reply.status, 202, "{}", reply.text());
    cluster
}

/// Guards against a job that waits forever without a reported reason.
#[test]
fn a_job_larger_than_every_worker_gets_a_reason() {
    let cluster = submit_oversized("oversized");
    let reported = wait_for("reason for a job that cannot run", WAIT_LIMIT, || {
        (0..2).find_map(|host| task_reason(&cluster, host))
    });
    assert!(reported.contains("3.0 cores"), "{reported}");
    assert_eq!(cluster.platform.records().count_starts("vltava/large/"), 0);
}

/// Guards against a reason that only some of the hosts report.
#[test]
fn every_host_reports_why_a_job_cannot_run() {
    let cluster = submit_oversized("oversized-all");
    wait_until("reason on every host", WAIT_LIMIT, || {
        (0..2).all(|host| task_reason(&cluster, host).is_some())
    });
}

/// Guards against a watcher that isn't started again after it ended.
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
    check_records(&cluster);
}
