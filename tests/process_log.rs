//! Faults of the platform's log: outage, slow or lost answers, and hosts that cannot reach it.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{Cluster, ClusterSpec, Reply, WAIT_LIMIT, wait_until};

const WORKERS: &[&str] = &[
    "--data-centre",
    "karlin",
    "--count",
    "2",
    "--processors",
    "2000",
    "--memory",
    "8192",
];
/// More instances than entry hosts, so that most hosts hold one.
const INSTANCES: &[&str] = &[
    "--data-centre",
    "karlin",
    "--service",
    "issue-assembly",
    "--count",
    "8",
];
const ONE_DATA_CENTRE: ClusterSpec = ClusterSpec {
    entry_hosts: &[("karlin", 3)],
    worker_args: &[WORKERS],
    instance_args: &[INSTANCES],
    log_args: &[],
    host_list_args: &[],
    timing: &[],
};
/// Time limit for a job.
const JOB_LIMIT: Duration = Duration::from_secs(60);

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

fn assert_not_run(reply: &Reply) {
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(reply.json::<Value>()["ran"], "not_run", "{}", reply.text());
}

/// Sends an urgent request to each host, and to the next ones as long as hosts answer "not run";
/// asserts that one of them runs it.
fn assert_urgent_requests_answered(cluster: &Cluster, round: &str) {
    for first in 0..cluster.hosts.len() {
        let id = format!("{round}-{first}");
        let mut host = first;
        wait_until("answer to an urgent request", WAIT_LIMIT, || {
            let reply = cluster.request(host, "proof", &id, b"x");
            assert!(reply.status == 200 || reply.json::<Value>()["ran"] == "not_run");
            host = (host + 1) % cluster.hosts.len();
            reply.status == 200
        });
    }
}

/// Guards against claimed tasks or urgent requests that wait for the log during its outage, and
/// against a job that runs although its submission was answered with "not run" (I5).
#[test]
fn claimed_tasks_and_urgent_requests_run_while_the_log_is_down() {
    let cluster = Cluster::start("down", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 14, 1500).status, 202);
    let claimed = support::wait_for(
        "claims of more tasks than the workers run",
        WAIT_LIMIT,
        || {
            let tasks = cluster.job(0, "run")?.tasks;
            let claimed = tasks.iter().filter(|task| task.worker.is_some()).count();
            (claimed >= 10).then_some(claimed)
        },
    );
    cluster.platform.log.set(json!({ "down": true }));
    let reply = cluster.submit(1, "merge", "refused", 3, 10);
    assert_not_run(&reply);
    let reply = cluster.publish(2, 1, &cluster.contract(1));
    assert_not_run(&reply);
    // Tasks that were claimed before the outage start without the log.
    cluster.wait_until_started("run", claimed);
    assert_urgent_requests_answered(&cluster, "down");
    cluster.platform.log.set(json!({ "down": false }));
    assert_succeeded(&cluster, 0, "run");
    assert_eq!(cluster.submit(0, "merge", "later", 3, 10).status, 202);
    assert_succeeded(&cluster, 0, "later");
    assert_eq!(cluster.version(0), 1, "a refused contract came into force");
    let records = cluster.platform.records();
    assert_eq!(records.count_starts("vltava/refused/"), 0);
    assert!(cluster.job(0, "refused").is_none());
    cluster.check_invariants(&records);
}

/// Half of the answers to appends are lost. Guards against a second append of the same record that
/// runs a task twice or makes the answer to the caller wrong.
#[test]
fn lost_append_answers_cause_no_second_run() {
    let cluster = Cluster::start("lost", &ONE_DATA_CENTRE);
    let faults = json!({ "lose_answers": { "probability": 0.5, "seed": 7 } });
    cluster.platform.log.set(faults);
    for round in 0..6_u32 {
        let host = round as usize % 3;
        let job = format!("run-{round}");
        assert_eq!(cluster.submit(host, "merge", &job, 3, 50).status, 202);
        assert_succeeded(&cluster, (host + 1) % 3, &job);
    }
    for version in 1..5 {
        let host = version as usize % 3;
        let reply = cluster.publish(host, version, &cluster.contract(version as u32));
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.json::<Value>()["version"], version + 1);
        cluster.wait_until_version(version + 1);
    }
    cluster.check_invariants(&cluster.platform.records());
}

/// Guards against jobs that are lost or refused when the log delays every call by 0.7 s.
#[test]
fn a_slow_log_delays_jobs_but_loses_none() {
    let cluster = Cluster::start("slow", &ONE_DATA_CENTRE);
    cluster.platform.log.set(json!({ "delay_ms": 700 }));
    let jobs = [(0, "first"), (1, "second")];
    for (host, job) in jobs {
        let reply = cluster.submit(host, "merge", job, 4, 100);
        assert_eq!(reply.status, 202, "{}", reply.text());
    }
    assert_urgent_requests_answered(&cluster, "slow");
    for (host, job) in jobs {
        assert_succeeded(&cluster, host, job);
    }
    cluster.check_invariants(&cluster.platform.records());
}

/// One host cannot reach the log. Guards against its tasks being stopped or run twice, and against
/// its refusal of a job that other hosts can accept.
#[test]
fn a_host_cut_off_from_the_log_keeps_its_work() {
    let cluster = Cluster::start("cut", &ONE_DATA_CENTRE);
    assert_eq!(cluster.submit(0, "merge", "run", 12, 3000).status, 202);
    cluster.wait_until_started("run", 2);
    let name = &cluster.hosts[0].name;
    cluster.platform.log.set(json!({ "cuts": [name] }));
    assert_urgent_requests_answered(&cluster, "cut");
    // Until the host has detected that it is cut off, it cannot say whether the job was accepted.
    wait_until(
        "acceptance of a job through the cut-off host",
        WAIT_LIMIT,
        || {
            let reply = cluster.submit(0, "merge", "through", 2, 50);
            assert!(reply.status == 202 || reply.json::<Value>()["ran"] == "unknown");
            reply.status == 202
        },
    );
    assert_succeeded(&cluster, 1, "run");
    assert_succeeded(&cluster, 1, "through");
    cluster.platform.log.set(json!({ "cuts": [] }));
    assert_eq!(cluster.submit(0, "merge", "later", 2, 50).status, 202);
    assert_succeeded(&cluster, 0, "later");
    cluster.check_invariants(&cluster.platform.records());
}

/// A data centre cannot reach the log and the host list. Guards against hosts that stop answering
/// requests, and against hosts that keep an old contract although other data centres have a newer.
#[test]
fn a_data_centre_cut_off_from_the_platform_serves_and_updates_contracts() {
    let spec = ClusterSpec {
        entry_hosts: &[("karlin", 2), ("brno", 2)],
        worker_args: &[WORKERS, &["--data-centre", "brno"]],
        instance_args: &[
            INSTANCES,
            &[
                "--data-centre",
                "brno",
                "--service",
                "issue-assembly",
                "--count",
                "8",
            ],
        ],
        ..ONE_DATA_CENTRE
    };
    let cluster = Cluster::start("island", &spec);
    let cut = json!({ "cuts": ["brno-1", "brno-2"] });
    cluster.platform.log.set(cut.clone());
    cluster.platform.host_list.set(cut);
    // Wait for reads that began before the cut: they could still return the next contract.
    wait_until(
        "end of the reads that began before the cut",
        WAIT_LIMIT,
        || {
            let age = |host| cluster.status(host).contracts.age;
            [2, 3]
                .map(age)
                .iter()
                .all(|age| age.is_some_and(|age| age > 1500))
        },
    );
    let reply = cluster.publish(0, 1, &cluster.contract(2));
    assert_eq!(reply.status, 200, "{}", reply.text());
    for host in [2, 3] {
        wait_until("new contract from a peer", WAIT_LIMIT, || {
            cluster.version(host) == 2
        });
        let id = format!("island-{host}");
        wait_until("answer to an urgent request", WAIT_LIMIT, || {
            let reply = cluster.request(host, "proof", &id, b"x");
            assert!(reply.status == 200 || reply.json::<Value>()["ran"] == "not_run");
            reply.status == 200
        });
        // The log closes the connection without an answer, so the host may not know whether the
        // contract was stored.
        let reply = cluster.publish(host, 2, &cluster.contract(3));
        let ran = &reply.json::<Value>()["ran"];
        assert!(ran == "not_run" || ran == "unknown", "{}", reply.text());
    }
    assert_eq!(cluster.version(0), 2, "a refused contract came into force");
    let restored = json!({ "cuts": [] });
    cluster.platform.log.set(restored.clone());
    cluster.platform.host_list.set(restored);
    wait_until("acceptance of a contract after the cut", WAIT_LIMIT, || {
        let reply = cluster.publish(2, 2, &cluster.contract(4));
        let version = cluster.version(2);
        assert!(reply.status == 200 || version == 2, "{}", reply.text());
        reply.status == 200
    });
    cluster.wait_until_version(3);
    assert_eq!(cluster.submit(3, "merge", "later", 4, 50).status, 202);
    assert_succeeded(&cluster, 3, "later");
    cluster.check_invariants(&cluster.platform.records());
}
