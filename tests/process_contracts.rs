//! Concurrent amendments of a contract, and how contracts reach every host.

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

/// Returns the variant of the contract in force on a host, which its quota contains.
fn variant_in_force(cluster: &Cluster, host: usize) -> u64 {
    let reply = support::Client::new().get(cluster.api(host), "/v1/contracts/vltava");
    let body: Value = reply.expect("the host runs").ok();
    let quota = &body["contract"]["quota"]["processors"];
    quota.as_u64().expect("a number") - 4_000_000
}

/// Two operators amend the same version on different hosts at the same time. Guards against both
/// amendments being accepted, and against a wrong answer to the one that loses.
#[test]
fn one_of_two_concurrent_amendments_wins_on_every_host() {
    let cluster = Cluster::start("race", &TWO_DATA_CENTRES);
    for round in 1..=20_u32 {
        let base = u64::from(round);
        let start = Barrier::new(2);
        let replies = thread::scope(|scope| {
            let operators = [(0, 2 * round), (3 + round as usize % 2, 2 * round + 1)];
            let threads = operators.map(|(host, variant)| {
                let (cluster, start) = (&cluster, &start);
                scope.spawn(move || {
                    let contract = cluster.contract(variant);
                    start.wait();
                    (variant, cluster.publish(host, base, &contract))
                })
            });
            threads.map(|thread| thread.join().expect("an answer"))
        });
        let won: Vec<u32> = replies
            .iter()
            .filter(|(_, reply)| reply.status == 200)
            .map(|(variant, _)| *variant)
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
            assert_eq!(
                variant_in_force(&cluster, host),
                u64::from(won),
                "host {host}"
            );
        }
    }
}

/// Guards against a host that restarts with an empty memory and brings an older version of a
/// contract back into force (I9).
#[test]
fn contract_stays_in_force_while_every_host_restarts() {
    let mut cluster = Cluster::start("revert", &TWO_DATA_CENTRES);
    for version in 1..6 {
        let reply = cluster.publish(0, version, &cluster.contract(version as u32));
        let is_accepted = reply.json::<Value>()["version"] == version + 1;
        assert!(is_accepted, "{}", reply.text());
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
                "host {other} after the restart of host {host}"
            );
            assert_eq!(variant_in_force(&cluster, other), 5);
        }
    }
    let reply = cluster.publish(1, 5, &cluster.contract(9));
    assert_eq!(reply.json::<Value>()["version"], 6, "{}", reply.text());
}

/// Guards against an error answer to an accepted amendment, and against a version that takes longer
/// than seconds to be in force on every host (I9).
#[test]
fn accepted_amendments_are_in_force_on_every_host_within_seconds() {
    const AMENDMENTS: u64 = 200;
    let cluster = Cluster::start("spread", &TWO_DATA_CENTRES);
    let hosts = cluster.hosts.len();
    let mut times: Vec<Duration> = Vec::new();
    let mut wrong_answers = Vec::new();
    for base in 1..=AMENDMENTS {
        let host = base as usize % hosts;
        let reply = cluster.publish(host, base, &cluster.contract(base as u32));
        let accepted = Instant::now();
        if reply.status != 200 {
            wrong_answers.push(format!("{}: {}", cluster.hosts[host].name, reply.text()));
        }
        wait_until("new version on every host", Duration::from_secs(15), || {
            (0..hosts).all(|host| cluster.version(host) > base)
        });
        times.push(accepted.elapsed());
    }
    times.sort();
    let at = |percent: usize| times[(times.len() * percent).div_ceil(100) - 1];
    println!(
        "{AMENDMENTS} amendments in force on {hosts} hosts after: p50 {:?}, p99 {:?}, max {:?}",
        at(50),
        at(99),
        at(100)
    );
    assert!(wrong_answers.is_empty(), "{wrong_answers:#?}");
    for host in 0..hosts {
        assert_eq!(variant_in_force(&cluster, host), AMENDMENTS);
    }
}
