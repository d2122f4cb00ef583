//! Messages of peers with numbers that no host sends. The node must not panic, and serves on.

use bytes::Bytes;
use jayfork::base::{Offset, TaskId, Token};
use jayfork::connection::ApiMethod;
use jayfork::connection::wire::{
    ContractsReply, ContractsRequest, Forward, HeldLease, Hello, JobCall, JobSubmission, PeerReply,
    PeerRequest, RelayedContract, RelayedRecord, RunningReport, ServiceLoad, TailReply,
    TailRequest,
};
use jayfork::process::node::Event;
use jayfork::request::MessageEpoch;
use yare::parameterized;

use super::world::{Delivery, World};
use super::{assert_all_answer, assert_no_violations, settled_world};

const MAX: u64 = u64::MAX;

fn hello(host: &str, data_centre: &str) -> Hello {
    Hello {
        host: host.into(),
        data_centre: data_centre.into(),
        incarnation: MAX,
        held: vec![
            HeldLease {
                resource: "a-i0".into(),
                token: Token(MAX),
            };
            3
        ],
        log_offset: Offset(MAX),
        log_age: MAX - 1,
        contracts_offset: Offset(MAX),
        draining: false,
        leaving: vec!["a-i9".into(), "".into()],
        loads: vec![load(f64::NAN), load(f64::INFINITY), load(-1.0)],
        slow: vec!["".into()],
        misfits: vec![(TaskId::new("", "", u32::MAX), "".into())],
        awaited: vec!["a-i0".into(), "a-i9".into()],
        reports: vec![
            RunningReport {
                instance: "a-i1".into(),
                age: MAX,
                running: vec!["".into(), "vltava:x".into()],
            };
            2
        ],
    }
}

fn load(mean: f64) -> ServiceLoad {
    ServiceLoad {
        service: "service".into(),
        slots: u32::MAX,
        free: u32::MAX,
        queued: u32::MAX,
        mean,
    }
}

fn forward(hops: u8, attach: bool) -> PeerRequest {
    PeerRequest::Forward(Forward {
        request: "odd".into(),
        customer: "vltava".into(),
        class: "check".into(),
        deadline: MAX,
        hops,
        host: "a-9".into(),
        attach,
        epoch: MessageEpoch {
            incarnation: MAX,
            number: MAX,
        },
        body: Bytes::new(),
    })
}

/// Sends a request to a host; then every host must answer urgent requests.
fn assert_serves_after(request: PeerRequest) {
    let mut world = settled_world();
    let incarnation = world.hosts[1].incarnation;
    let event = Box::new(Event::PeerCalled { ticket: 7, request });
    world.push(world.now, Delivery::Event(1, incarnation, event));
    world.run_for(10_000);
    assert_serves(&mut world);
}

fn assert_serves(world: &mut World) {
    let nodes: Vec<usize> = (0..world.hosts.len()).collect();
    assert_all_answer(world, &nodes, 1_000);
    let job = super::job_with_home_a("after");
    let ticket = super::submit_job(world, 1, "index", &job, 100);
    world.run_for(5_000);
    assert_eq!(world.response(ticket).expect("answered").status, 202);
    assert_no_violations(world);
}

/// Guards against a request of a peer that ends the process or keeps it from serving.
#[parameterized(
    hello_of_a_peer = { PeerRequest::Hello(hello("a-1", "a")) },
    hello_of_a_remote_peer = { PeerRequest::Hello(hello("b-1", "b")) },
    hello_of_itself = { PeerRequest::Hello(hello("a-2", "a")) },
    hello_of_no_peer = { PeerRequest::Hello(hello("", "")) },
    contracts = { PeerRequest::Contracts(ContractsRequest { since: Offset(MAX) }) },
    tail = { PeerRequest::Tail(TailRequest { from: Offset(MAX) }) },
    forward_of_a_caller = { forward(0, false) },
    forward_to_the_home = { forward(1, false) },
    forward_to_run = { forward(2, false) },
    forward_often = { forward(u8::MAX, false) },
    question = { forward(2, true) },
    question_of_a_caller = { forward(0, true) },
    job_state = { PeerRequest::Job(JobCall::State { customer: "".into(), job: "/".into() }) },
    job_cancel = { PeerRequest::Job(JobCall::Cancel { customer: "".into(), job: "/".into() }) },
    job_list = { PeerRequest::Job(JobCall::List { customer: "".into() }) },
    job_submission = { PeerRequest::Job(JobCall::Submit(submission())) },
)]
fn an_odd_request_of_a_peer_ends_nothing(request: PeerRequest) {
    assert_serves_after(request);
}

fn submission() -> JobSubmission {
    let body = format!(
        r#"{{"customer":"vltava","class":"merge","job":"odd","run":{MAX},"tasks":{most},
            "size":{{"processors":{most},"memory":{most},"accelerators":{most}}}}}"#,
        most = u32::MAX,
    );
    serde_json::from_str(&body).expect("a submission")
}

fn odd_hello(reply: &mut PeerReply) {
    if let PeerReply::Hello(known) = reply {
        let odd = hello(&known.host, &known.data_centre);
        // Another process, no lease of which counts.
        *known = Hello {
            held: Vec::new(),
            ..odd
        };
    }
}

fn contracts_in_place_of_a_hello(reply: &mut PeerReply) {
    let contract = RelayedContract {
        offset: Offset(MAX),
        version: MAX,
        contract: "{".into(),
    };
    *reply = PeerReply::Contracts(ContractsReply {
        offset: Offset(MAX),
        contracts: vec![contract; 2],
    });
}

fn records(first: u64, next: u64) -> PeerReply {
    let record = RelayedRecord {
        offset: Offset(first),
        time: MAX,
        data: Bytes::from_static(b"\xff"),
    };
    PeerReply::Tail(TailReply {
        first: Offset(first),
        next: Offset(next),
        age: MAX,
        records: vec![record; 2],
    })
}

/// Guards against an answer of a peer that ends the process or keeps it from serving: the answers
/// of one host to all calls are odd for 10 s.
#[parameterized(
    hello = { odd_hello },
    contracts = { contracts_in_place_of_a_hello },
    records_from_the_start = { |reply| *reply = records(0, 0) },
    records_backwards = { |reply| *reply = records(MAX, 0) },
    unavailable = { |reply| *reply = PeerReply::Unavailable },
)]
fn an_odd_answer_of_a_peer_ends_nothing(change: fn(&mut PeerReply)) {
    let mut world = settled_world();
    world.faults.odd_replies = Some((0, change));
    world.run_for(10_000);
    world.faults.odd_replies = None;
    world.run_for(10_000);
    assert_serves(&mut world);
}

/// Guards against a relayed age that overflows: a host that is cut off from the log reads it through
/// a peer whose answers carry the largest age.
#[test]
fn the_largest_age_of_relayed_records_ends_nothing() {
    let mut world = settled_world();
    world.faults.cut_from_log = vec![1];
    world.faults.odd_replies = Some((0, |reply| {
        if let PeerReply::Tail(tail) = reply {
            tail.age = MAX;
        }
    }));
    world.run_for(20_000);
    world.faults.cut_from_log.clear();
    world.faults.odd_replies = None;
    world.run_for(10_000);
    let ticket = world.call_api(1, ApiMethod::Get, "/ready", "");
    world.run_for(100);
    assert_eq!(world.response(ticket).expect("answered").status, 200);
    assert_serves(&mut world);
}
