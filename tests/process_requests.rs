//! Urgent requests to running processes: complete answers, no repeated runs, correct refusals.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Barrier;
use std::thread;

use serde_json::{Value, json};
use support::{Client, Cluster, ClusterSpec, Event, Reply};

/// Three entry hosts with one instance, so that two of them relay requests to its holder.
///
/// `handback_delay` keeps the instance's lease where it is, because hosts refuse requests while the
/// lease of an only instance moves.
const ONE_DATA_CENTRE: ClusterSpec = ClusterSpec {
    entry_hosts: &[("karlin", 3)],
    worker_args: &[],
    instance_args: &[&["--data-centre", "karlin", "--service", "issue-assembly"]],
    log_args: &[],
    host_list_args: &[],
    timing: &[("handback_delay", "600 s")],
};

/// Returns the answer of the stand-in to a request. Instances get ids with the customer as prefix.
fn expected_answer(id: &str, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("vltava:{id} {}\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer
}

fn assert_answer(reply: &Reply, id: &str, body: &[u8]) {
    assert_eq!(reply.status, 200, "{id}: {}", reply.text());
    let head: String = reply.text().chars().take(60).collect();
    assert!(
        reply.body == expected_answer(id, body),
        "{id}: wrong answer of {} bytes: {head}",
        reply.body.len()
    );
}

/// Returns random bytes: unlike a repeating pattern, they show a shifted or repeated chunk.
fn random_bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut body = vec![0; length];
    fastrand::Rng::with_seed(seed).fill(&mut body);
    body
}

/// Guards against large bodies that arrive truncated or with parts of others, directly from the
/// holder of the instance or relayed by another host.
#[test]
fn large_bodies_return_complete_through_every_host() {
    let cluster = Cluster::start("large", &ONE_DATA_CENTRE);
    let holder = cluster.holder(0, "karlin-issue-assembly-0");
    assert!(holder.is_some(), "the instance has a holder");
    // One host holds the only instance, so the other two relay requests.
    for host in 0..3 {
        let id = format!("large-{host}");
        let body = random_bytes(host as u64, 16 << 20);
        let reply = cluster.request(host, "proof", &id, &body);
        assert_answer(&reply, &id, &body);
    }
    let records = cluster.platform.records();
    assert_eq!(records.count_starts("vltava:large-"), 3);
    cluster.check_invariants(&records);
}

/// An instance truncates its answer. Guards against a host that passes it on as complete, and
/// against a retry that starts while the first attempt may still run.
#[test]
fn an_idempotent_request_with_a_truncated_answer_is_retried_once() {
    let cluster = Cluster::start("truncated", &ONE_DATA_CENTRE);
    for host in 0..3 {
        cluster.platform.backends[0].set(json!({ "truncate": 1 }));
        let id = format!("proof-{host}");
        let body = random_bytes(7, 100_000);
        let reply = cluster.request(host, "proof", &id, &body);
        assert_answer(&reply, &id, &body);
        let records = cluster.platform.records();
        assert_eq!(records.count_starts(&format!("vltava:{id}")), 2, "{id}");
        cluster.check_invariants(&records);
    }
}

/// An instance truncates its answer to an at-most-once request. Guards against a second run (I6)
/// and against an answer "not run" (I5).
#[test]
fn an_at_most_once_request_with_a_truncated_answer_has_an_unknown_outcome() {
    let cluster = Cluster::start("unknown", &ONE_DATA_CENTRE);
    for host in 0..3 {
        cluster.platform.backends[0].set(json!({ "truncate": 1 }));
        let id = format!("check-{host}");
        let reply = cluster.request(host, "check", &id, &random_bytes(8, 100_000));
        assert!(reply.status >= 500, "{}: {}", reply.status, reply.text());
        assert_eq!(reply.json::<Value>()["ran"], "unknown", "{}", reply.text());
    }
    // Later requests run, and no host retries the failed ones after it has answered their callers.
    let reply = cluster.request(0, "check", "later", b"x");
    assert_answer(&reply, "later", b"x");
    let records = cluster.platform.records();
    assert_eq!(records.count_starts("vltava:check-"), 3);
    cluster.check_invariants(&records);
}

/// Guards against answers that reach the wrong caller when instances send them late and out of
/// order (I4).
#[test]
fn reordered_answers_reach_the_callers_that_asked() {
    let spec = ClusterSpec {
        instance_args: &[&[
            "--data-centre",
            "karlin",
            "--service",
            "issue-assembly",
            "--count",
            "4",
            "--spread-percent",
            "90",
        ]],
        ..ONE_DATA_CENTRE
    };
    let cluster = Cluster::start("reordered", &spec);
    let patch = json!({ "reorder": 6, "delay_answers_ms": 30 });
    cluster.platform.backends[0].set(patch);
    let start = Barrier::new(64);
    thread::scope(|scope| {
        for caller in 0..64_usize {
            let (cluster, start) = (&cluster, &start);
            scope.spawn(move || {
                start.wait();
                for round in 0..3 {
                    let id = format!("caller-{caller}-{round}");
                    let mut body = id.clone().into_bytes();
                    body.extend(random_bytes(caller as u64, 1000 + caller * 37));
                    let reply = cluster.request((caller + round) % 3, "proof", &id, &body);
                    assert_answer(&reply, &id, &body);
                }
            });
        }
    });
    let records = cluster.platform.records();
    assert_eq!(records.count_starts("vltava:caller-"), 192);
    cluster.check_invariants(&records);
}

/// A caller sends one request to two hosts at the same time. Guards against a second run.
#[test]
fn one_id_sent_to_two_hosts_runs_once() {
    let spec = ClusterSpec {
        // Long enough for both callers to send their request before the first answer.
        instance_args: &[&[
            "--data-centre",
            "karlin",
            "--service",
            "issue-assembly",
            "--service-ms",
            "2000",
        ]],
        ..ONE_DATA_CENTRE
    };
    let cluster = Cluster::start("duplicate", &spec);
    let ids: Vec<(&str, usize, String)> = ["proof", "check"]
        .into_iter()
        .flat_map(|class| (0..3).map(move |round| (class, round, format!("{class}-{round}"))))
        .collect();
    let start = Barrier::new(2 * ids.len());
    thread::scope(|scope| {
        for (class, round, id) in &ids {
            for host in [round % 3, (round + 1) % 3] {
                let (cluster, start) = (&cluster, &start);
                scope.spawn(move || {
                    start.wait();
                    let reply = cluster.request(host, class, id, b"the same");
                    assert_answer(&reply, id, b"the same");
                });
            }
        }
    });
    let records = cluster.platform.records();
    for (_, _, id) in &ids {
        assert_eq!(records.count_starts(&format!("vltava:{id}")), 1, "{id}");
    }
    cluster.check_invariants(&records);
}

/// A request that hosts refuse, with the expected status, error code and invalid field.
struct BadInput {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    id: Option<&'static str>,
    body: Vec<u8>,
    status: u16,
    error: &'static str,
    field: Option<&'static str>,
}

fn bad_request(
    name: &'static str,
    path: &'static str,
    status: u16,
    error: &'static str,
    field: &'static str,
) -> BadInput {
    BadInput {
        name,
        method: "POST",
        path,
        id: Some("bad"),
        body: b"body".to_vec(),
        status,
        error,
        field: Some(field),
    }
}

fn bad_job(
    name: &'static str,
    change: Value,
    status: u16,
    error: &'static str,
    field: Option<&'static str>,
) -> BadInput {
    let mut body = json!({
        "customer": "vltava", "class": "archive", "job": "bad", "tasks": 1, "run": 1,
        "size": { "processors": 100, "memory": 100, "accelerators": 0 },
    });
    for (key, value) in change.as_object().expect("an object") {
        body[key] = value.clone();
    }
    BadInput {
        method: "POST",
        path: "/v1/jobs",
        id: None,
        body: body.to_string().into_bytes(),
        ..bad_request(name, "", status, error, "")
    }
    .with_field(field)
}

impl BadInput {
    fn with_field(mut self, field: Option<&'static str>) -> Self {
        self.field = field;
        self
    }
}

fn bad_inputs() -> Vec<BadInput> {
    let requests = "/v1/requests/vltava/proof";
    let no_size = json!({ "processors": 0, "memory": 0, "accelerators": 0 });
    vec![
        bad_request(
            "unknown customer",
            "/v1/requests/nobody/proof",
            404,
            "unknown_customer",
            "customer",
        ),
        bad_request(
            "unknown class",
            "/v1/requests/vltava/nothing",
            404,
            "unknown_class",
            "class",
        ),
        bad_request(
            "batch class as request",
            "/v1/requests/vltava/merge",
            400,
            "not_urgent",
            "class",
        ),
        BadInput {
            body: vec![0; 1025],
            ..bad_request(
                "larger than the contract allows",
                "/v1/requests/vltava/note",
                413,
                "too_large",
                "body",
            )
        },
        BadInput {
            body: vec![0; (16 << 20) + 1],
            ..bad_request(
                "larger than any request",
                requests,
                413,
                "too_large",
                "body",
            )
        },
        BadInput {
            id: Some("two words"),
            ..bad_request("bad id", requests, 400, "bad_request_id", "request-id")
        },
        BadInput {
            id: Some(""),
            ..bad_request("empty id", requests, 400, "bad_request_id", "request-id")
        },
        bad_request("unknown path", "/v1/nowhere", 404, "unknown_path", "path"),
        BadInput {
            method: "DELETE",
            ..bad_request("wrong method", requests, 404, "unknown_path", "path")
        },
        BadInput {
            body: b"{".to_vec(),
            ..bad_job("no JSON", json!({}), 400, "bad_job", None)
        },
        bad_job(
            "misspelt key",
            json!({ "colour": "red" }),
            400,
            "bad_job",
            None,
        ),
        bad_job(
            "no tasks",
            json!({ "tasks": 0 }),
            400,
            "bad_job",
            Some("tasks"),
        ),
        bad_job(
            "no size",
            json!({ "size": no_size }),
            400,
            "bad_job",
            Some("size"),
        ),
        bad_job(
            "bad job name",
            json!({ "job": "a/b" }),
            400,
            "bad_job",
            Some("job"),
        ),
        bad_job(
            "unknown customer of a job",
            json!({ "customer": "nobody" }),
            404,
            "unknown_customer",
            Some("customer"),
        ),
        bad_job(
            "unknown class of a job",
            json!({ "class": "nothing" }),
            404,
            "unknown_class",
            Some("class"),
        ),
        bad_job(
            "service class as job",
            json!({ "class": "proof" }),
            400,
            "not_batch",
            Some("class"),
        ),
    ]
}

/// Guards against invalid input that runs although it is refused, and against refusals that don't
/// name the invalid field.
#[test]
fn bad_input_is_refused_with_its_field_and_does_not_run() {
    let spec = ClusterSpec {
        worker_args: &[&["--data-centre", "karlin"]],
        ..ONE_DATA_CENTRE
    };
    let cluster = Cluster::start("input", &spec);
    for host in 0..3 {
        for input in bad_inputs() {
            let name = input.name;
            let mut client = Client::new();
            if let Some(id) = input.id {
                client = client.with_header("request-id", id);
            }
            let reply = client.call(input.method, cluster.api(host), input.path, input.body);
            let reply = reply.unwrap_or_else(|error| panic!("{name}: {error}"));
            assert_refusal(&reply, name, input.status, input.error, input.field);
        }
        assert_truncated_body_is_refused(cluster.api(host));
    }
    let good = cluster.request(0, "proof", "good", b"x");
    assert_answer(&good, "good", b"x");
    let records = cluster.platform.records();
    let started = records
        .with_event(Event::Started)
        .map(|record| record.id.as_str());
    assert_eq!(started.collect::<Vec<_>>(), ["vltava:good"]);
}

fn assert_refusal(reply: &Reply, name: &str, status: u16, error: &str, field: Option<&str>) {
    let body: Value = reply.json();
    assert_eq!(reply.status, status, "{name}: {body}");
    assert_eq!(body["error"], error, "{name}: {body}");
    assert_eq!(body["field"].as_str(), field, "{name}: {body}");
    assert_eq!(body["ran"], "not_run", "{name}: {body}");
}

/// Sends half of a request body and closes the sending side of the connection; asserts the refusal.
fn assert_truncated_body_is_refused(address: &str) {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    let head = "POST /v1/requests/vltava/proof HTTP/1.1\r\nhost: x\r\nrequest-id: cut\r\n\
                content-length: 2000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the host reads");
    stream.write_all(&[b'x'; 1000]).expect("the host reads");
    stream.shutdown(Shutdown::Write).expect("the host is there");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let answer = String::from_utf8(answer).expect("a text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a complete head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let reply = Reply {
        status: status.expect("a status"),
        body: body.as_bytes().to_vec(),
    };
    assert_refusal(
        &reply,
        "truncated body",
        400,
        "truncated_body",
        Some("body"),
    );
}
