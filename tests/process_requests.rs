//! Urgent requests on real processes: whole answers, one run, true refusals.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Barrier;
use std::thread;

use serde_json::{Value, json};
use support::{Client, Cluster, ClusterSpec, Event, Reply};

/// Three entry hosts with one instance, so that two of them relay.
///
/// No lease is handed back: while an only instance changes hands, requests are refused.
const ONE_DATA_CENTRE: ClusterSpec = ClusterSpec {
    entry_hosts: &[("karlin", 3)],
    worker_args: &[],
    instance_args: &[&["--data-centre", "karlin", "--service", "issue-assembly"]],
    log_args: &[],
    host_list_args: &[],
    timing: &[("handback_delay", "600 s")],
};

/// Answer of the stand-in to a request, whose id carries the customer.
fn expected(id: &str, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("vltava:{id} {}\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer
}

fn assert_answer(reply: &Reply, id: &str, body: &[u8]) {
    assert_eq!(reply.status, 200, "{id}: {}", reply.text());
    let head: String = reply.text().chars().take(60).collect();
    assert!(
        reply.body == expected(id, body),
        "{id}: another answer of {} bytes: {head}",
        reply.body.len()
    );
}

/// Bytes without a period that a shifted or repeated chunk could hide in.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    let mut body = vec![0; length];
    fastrand::Rng::with_seed(seed).fill(&mut body);
    body
}

/// Guards against truncated or mixed-up large bodies, on the direct path and through a relay.
#[test]
fn large_bodies_come_back_whole_through_every_host() {
    let cluster = Cluster::start("large", &ONE_DATA_CENTRE);
    let holder = cluster.holder(0, "karlin-issue-assembly-0");
    assert!(holder.is_some(), "the instance has a holder");
    // One host holds the only instance, so the other two relay.
    for host in 0..3 {
        let id = format!("large-{host}");
        let body = noise(host as u64, 16 << 20);
        let reply = cluster.request(host, "proof", &id, &body);
        assert_answer(&reply, &id, &body);
    }
    let records = cluster.platform.records();
    assert_eq!(records.count_starts("vltava:large-"), 3);
    cluster.check_invariants(&records);
}

/// Guards against a truncated answer that is passed on as complete, and a retry that starts while
/// the first attempt may still run.
#[test]
fn a_truncated_answer_of_an_idempotent_request_is_repeated_once() {
    let cluster = Cluster::start("truncated", &ONE_DATA_CENTRE);
    for host in 0..3 {
        cluster.platform.backends[0].set(json!({ "truncate": 1 }));
        let id = format!("proof-{host}");
        let body = noise(7, 100_000);
        let reply = cluster.request(host, "proof", &id, &body);
        assert_answer(&reply, &id, &body);
        let records = cluster.platform.records();
        assert_eq!(records.count_starts(&format!("vltava:{id}")), 2, "{id}");
        cluster.check_invariants(&records);
    }
}

/// Guards against a second run of non-idempotent work and against a false "not run".
#[test]
fn a_truncated_answer_of_an_at_most_once_request_is_an_unknown_outcome() {
    let cluster = Cluster::start("unknown", &ONE_DATA_CENTRE);
    for host in 0..3 {
        cluster.platform.backends[0].set(json!({ "truncate": 1 }));
        let id = format!("check-{host}");
        let reply = cluster.request(host, "check", &id, &noise(8, 100_000));
        assert!(reply.status >= 500, "{}: {}", reply.status, reply.text());
        assert_eq!(reply.json::<Value>()["ran"], "unknown", "{}", reply.text());
    }
    // Later requests go on, and the broken ones are not repeated behind their callers.
    let reply = cluster.request(0, "check", "later", b"x");
    assert_answer(&reply, "later", b"x");
    let records = cluster.platform.records();
    assert_eq!(records.count_starts("vltava:check-"), 3);
    cluster.check_invariants(&records);
}

/// Guards against answers that reach another caller when they come late and out of order.
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
                    body.extend(noise(caller as u64, 1000 + caller * 37));
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

/// Guards against a second run of a request that a caller sent to two hosts.
#[test]
fn one_id_sent_to_two_hosts_at_once_runs_once() {
    let spec = ClusterSpec {
        // Long enough that both callers are there before the first answer.
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

struct Input {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    id: Option<&'static str>,
    body: Vec<u8>,
    status: u16,
    error: &'static str,
    field: Option<&'static str>,
}

fn request(
    name: &'static str,
    path: &'static str,
    status: u16,
    error: &'static str,
    field: &'static str,
) -> Input {
    Input {
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

fn job(
    name: &'static str,
    change: Value,
    status: u16,
    error: &'static str,
    field: Option<&'static str>,
) -> Input {
    let mut body = json!({
        "customer": "vltava", "class": "archive", "job": "bad", "tasks": 1, "run": 1,
        "size": { "processors": 100, "memory": 100, "accelerators": 0 },
    });
    for (key, value) in change.as_object().expect("an object") {
        body[key] = value.clone();
    }
    Input {
        method: "POST",
        path: "/v1/jobs",
        id: None,
        body: body.to_string().into_bytes(),
        ..request(name, "", status, error, "")
    }
    .with_field(field)
}

impl Input {
    fn with_field(mut self, field: Option<&'static str>) -> Self {
        self.field = field;
        self
    }
}

fn bad_inputs() -> Vec<Input> {
    let requests = "/v1/requests/vltava/proof";
    let no_size = json!({ "processors": 0, "memory": 0, "accelerators": 0 });
    vec![
        request(
            "unknown customer",
            "/v1/requests/nobody/proof",
            404,
            "unknown_customer",
            "customer",
        ),
        request(
            "unknown class",
            "/v1/requests/vltava/nothing",
            404,
            "unknown_class",
            "class",
        ),
        request(
            "batch class as request",
            "/v1/requests/vltava/merge",
            400,
            "not_urgent",
            "class",
        ),
        Input {
            body: vec![0; 1025],
            ..request(
                "larger than the contract allows",
                "/v1/requests/vltava/note",
                413,
                "too_large",
                "body",
            )
        },
        Input {
            body: vec![0; (16 << 20) + 1],
            ..request(
                "larger than any request",
                requests,
                413,
                "too_large",
                "body",
            )
        },
        Input {
            id: Some("two words"),
            ..request("bad id", requests, 400, "bad_request_id", "request-id")
        },
        Input {
            id: Some(""),
            ..request("empty id", requests, 400, "bad_request_id", "request-id")
        },
        request("unknown path", "/v1/nowhere", 404, "unknown_path", "path"),
        Input {
            method: "DELETE",
            ..request("wrong method", requests, 404, "unknown_path", "path")
        },
        Input {
            body: b"{".to_vec(),
            ..job("no JSON", json!({}), 400, "bad_job", None)
        },
        job(
            "misspelt key",
            json!({ "colour": "red" }),
            400,
            "bad_job",
            None,
        ),
        job(
            "no tasks",
            json!({ "tasks": 0 }),
            400,
            "bad_job",
            Some("tasks"),
        ),
        job(
            "no size",
            json!({ "size": no_size }),
            400,
            "bad_job",
            Some("size"),
        ),
        job(
            "bad job name",
            json!({ "job": "a/b" }),
            400,
            "bad_job",
            Some("job"),
        ),
        job(
            "unknown customer of a job",
            json!({ "customer": "nobody" }),
            404,
            "unknown_customer",
            Some("customer"),
        ),
        job(
            "unknown class of a job",
            json!({ "class": "nothing" }),
            404,
            "unknown_class",
            Some("class"),
        ),
        job(
            "service class as job",
            json!({ "class": "proof" }),
            400,
            "not_batch",
            Some("class"),
        ),
    ]
}

/// Guards against work that runs after a refusal, and refusals that do not name the fault.
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
        assert_truncated_body(cluster.api(host));
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

/// Sends half of a request body and ends the connection's sending side.
fn assert_truncated_body(address: &str) {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    let head = "POST /v1/requests/vltava/proof HTTP/1.1\r\nhost: x\r\nrequest-id: cut\r\n\
                content-length: 2000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the host reads");
    stream.write_all(&[b'x'; 1000]).expect("the host reads");
    stream.shutdown(Shutdown::Write).expect("the host is there");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let answer = String::from_utf8(answer).expect("a text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
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
