//! Contracts that operators amend at the same time, and their way to every host.

mod support;

use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::{Cluster, ClusterSpec, wait_until};

const TWO_DATA_CENTRES: ClusterSpec = ClusterSpec {
    entry_hosts: &[("karlin", 3), ("brno", 2)],
    worker_args: &[],
    instance_args: &[],
    log_args: &[],
    host_list_args: &[],
    timing: &[],
};

/// The quota that marks a version.
fn mark(cluster: &Cluster, host: usize) -> u64 {
    let reply = support::Client::new().get(cluster.api(host), "/v1/contracts/vltava");
    let body: Value = reply.expect("the host runs").ok();
    let quota = &body["contract"]["quota"]["processors"];
    quota.as_u64().expect("a number") - 4_000_000
}

/// Guards against two amendments of one version that both win, and a loser that is misinformed.
#[test]
fn one_of_two_racing_amendments_wins_everywhere() {
    let cluster = Cluster::start("race", &TWO_DATA_CENTRES);
    for round in 1..=20_u32 {
        let base = u64::from(round);
        let start = Barrier::new(2);
        let replies = thread::scope(|scope| {
            let operators = [(0, 2 * round), (3 + round as usize % 2, 2 * round + 1)];
            let threads = operators.map(|(host, mark)| {
                let (cluster, start) = (&cluster, &start);
                scope.spawn(move || {
                    let contract = cluster.contract(mark);
                    start.wait();
                    (mark, cluster.publish(host, base, &contract))
                })
            });
            threads.map(|thread| thread.join().expect("an answer"))
        });
        let won: Vec<u32> = replies
            .iter()
            .filter(|(_, reply)| reply.status == 200)
            .map(|(mark, _)| *mark)
            .collect();
        let [won] = won[..] else {
            panic!("round {round}: winners {won:?} of {replies:?}");
        };
        for (_, reply) in &replies {
            let body: Value = reply.json();
            assert_eq!(body["version"], base + 1, "round {round}: {body}");
            let lost = reply.status == 409 && body["error"] == "lost_race" && body["base"] == base;
            assert!(reply.status == 200 || lost, "round {round}: {body}");
        }
        cluster.wait_until_version(base + 1);
        for host in 0..cluster.hosts.len() {
            assert_eq!(cluster.version(host), base + 1);
            assert_eq!(mark(&cluster, host), u64::from(won), "host {host}");
        }
    }
}

/// Guards against a contract that reverts when a host starts with an empty memory.
#[test]
fn nothing_reverts_while_every_host_restarts() {
    let mut cluster = Cluster::start("revert", &TWO_DATA_CENTRES);
    for version in 1..6 {
        let reply = cluster.publish(0, version, &cluster.contract(version as u32));
        let taken = reply.json::<Value>()["version"] == version + 1;
        assert!(taken, "{}", reply.text());
        cluster.wait_until_version(version + 1);
    }
    for host in 0..cluster.hosts.len() {
        cluster.kill(host);
        cluster.restart(host);
        cluster.wait_until_serving(host);
        for other in 0..cluster.hosts.len() {
            assert_eq!(
                cluster.version(other),
                6,
                "host {other} of {host}'s restart"
            );
            assert_eq!(mark(&cluster, other), 5);
        }
    }
    let reply = cluster.publish(1, 5, &cluster.contract(9));
    assert_eq!(reply.json::<Value>()["version"], 6, "{}", reply.text());
}

/// Guards against an accepted amendment that is reported as lost, and against slow distribution.
#[test]
fn accepted_amendments_are_in_force_everywhere_within_seconds() {
    const AMENDMENTS: u64 = 200;
    let cluster = Cluster::start("spread", &TWO_DATA_CENTRES);
    let hosts = cluster.hosts.len();
    let mut times: Vec<Duration> = Vec::new();
    let mut misinformed = Vec::new();
    for base in 1..=AMENDMENTS {
        let host = base as usize % hosts;
        let reply = cluster.publish(host, base, &cluster.contract(base as u32));
        let accepted = Instant::now();
        if reply.status != 200 {
            misinformed.push(format!("{}: {}", cluster.hosts[host].name, reply.text()));
        }
        wait_until("version everywhere", Duration::from_secs(15), || {
            (0..hosts).all(|host| cluster.version(host) > base)
        });
        times.push(accepted.elapsed());
    }
    times.sort();
    let at = |percent: usize| times[(times.len() * percent).div_ceil(100) - 1];
    println!(
        "acceptance to in force on {hosts} hosts, {AMENDMENTS} amendments: p50 {:?}, p99 {:?}, max {:?}",
        at(50),
        at(99),
        at(100)
    );
    assert!(misinformed.is_empty(), "{misinformed:#?}");
    for host in 0..hosts {
        assert_eq!(mark(&cluster, host), AMENDMENTS);
    }
}
