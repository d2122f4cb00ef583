//! Answers of a node about jobs and contracts whose append failed or got no answer, or that came
//! back through a peer first.

use jayfork::base::{Millis, Offset};
use jayfork::connection::wire::{
    ContractsReply, Hello, LogRecord, PeerReply, PeerRequest, ReadReply, RelayedContract,
};
use jayfork::connection::{ApiCall, ApiMethod, ApiResponse, Error};
use jayfork::process::Settings;
use jayfork::process::node::{Action, Event, Node, NodeSettings, Stream};
use serde_json::{Value, json};

const SETTINGS: &str = "\
[host]
name = karlin-1
data_centre = karlin
region = praha
[listen]
api = 127.0.0.1:7000
peer = 127.0.0.1:7001
[platform]
log = http://127.0.0.1:7002
hosts = http://127.0.0.1:7003
retention = 2 h
[peers]
karlin-1 = karlin, praha, 127.0.0.1:7001
karlin-2 = karlin, praha, 127.0.0.1:7004
";

fn node(test: &str) -> Node {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{test}-{}.ini", std::process::id()));
    std::fs::write(&path, SETTINGS).expect("the target folder is writable");
    let settings = Settings::open(&path).expect("valid settings");
    Node::new(NodeSettings::new(&settings, 1, 0))
}

fn read_event(stream: Stream, now: u64, records: Vec<LogRecord>) -> Event {
    let next = Offset(records.len() as u64);
    Event::Read {
        stream,
        sent: Millis(now),
        reply: Ok(ReadReply {
            first: Offset(0),
            next,
            records,
        }),
    }
}

fn contract() -> Value {
    json!({
        "customer": "vltava", "data_centres": ["karlin"],
        "quota": { "processors": 1000, "memory": 1000, "accelerators": 0 },
        "classes": [{ "name": "merge", "urgency": "deferrable", "at_most_once": true }],
    })
}

/// The record that publishes the contract.
fn contract_record() -> LogRecord {
    let proposed = json!({
        "kind": "proposed", "proposal": "p", "customer": "vltava", "base": 0,
        "contract": contract(),
    });
    LogRecord {
        offset: Offset(0),
        time: 0,
        data: proposed.to_string().into_bytes(),
    }
}

/// Submits a job while every append fails with `error`; returns the answer to the submission.
fn answer_to_submission(test: &str, error: impl Fn() -> Error) -> ApiResponse {
    let mut node = node(test);
    let mut out = Vec::new();
    node.handle(
        Millis(0),
        read_event(Stream::Contracts, 0, vec![contract_record()]),
        &mut out,
    );
    node.handle(
        Millis(0),
        read_event(Stream::Tasks, 0, Vec::new()),
        &mut out,
    );
    let body = json!({
        "customer": "vltava", "class": "merge", "job": "j", "run": 1,
        "size": { "processors": 1, "memory": 1, "accelerators": 0 },
    });
    let call = ApiCall {
        method: ApiMethod::Post,
        path: "/v1/jobs".to_owned(),
        query: String::new(),
        request_id: None,
        body: body.to_string().into_bytes().into(),
    };
    node.handle(Millis(1), Event::ApiCalled { ticket: 7, call }, &mut out);
    let mut appends = 0;
    for now in (1..20_000).step_by(50).map(Millis) {
        node.poll(now, &mut out);
        for action in std::mem::take(&mut out) {
            match action {
                Action::Append {
                    stream, sequence, ..
                } => {
                    appends += 1;
                    let result = Err(error());
                    let sent = now;
                    let event = Event::Appended {
                        stream,
                        sequence,
                        sent,
                        result,
                    };
                    node.handle(now, event, &mut out);
                }
                Action::Respond {
                    ticket: 7,
                    response,
                } => {
                    assert!(appends > 0, "nothing was appended");
                    return response;
                }
                _ => {}
            }
        }
    }
    panic!("no answer");
}

/// Guards against the answer "not run" for a job whose records may be on the log, because the
/// answer to their append was lost: the job may still run.
#[test]
fn a_lost_append_answer_leaves_the_outcome_unknown() {
    let response = answer_to_submission("submission-lost", || Error::Broken {
        address: "log".to_owned(),
        reason: "closed".to_owned(),
    });
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!((response.status, &body["ran"]), (504, &json!("unknown")));
}

/// Guards against an unknown outcome for a job whose records are known not to be on the log,
/// because it refused every append.
#[test]
fn a_refused_append_is_answered_as_not_run() {
    let response = answer_to_submission("submission-refused", || Error::Status {
        address: "log".to_owned(),
        status: 503,
        body: Vec::new(),
    });
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!((response.status, &body["ran"]), (503, &json!("not_run")));
}

/// Guards against the answer that a contract lost to another version when it is the one in force:
/// the host got its own contract from a peer before it read it back from the log.
#[test]
fn a_contract_that_returns_through_a_peer_first_has_won() {
    let mut node = node("winner");
    let mut out = Vec::new();
    let call = ApiCall {
        method: ApiMethod::Put,
        path: "/v1/contracts/vltava".to_owned(),
        query: "base=0".to_owned(),
        request_id: None,
        body: contract().to_string().into_bytes().into(),
    };
    node.handle(Millis(1), Event::ApiCalled { ticket: 7, call }, &mut out);
    node.poll(Millis(2), &mut out);
    let appended = out.iter().find_map(|action| match action {
        Action::Append {
            stream: Stream::Contracts,
            data,
            ..
        } => Some(data.clone()),
        _ => None,
    });
    let data = appended.expect("the proposal is appended");
    out.clear();
    let hello = Hello {
        host: "karlin-2".into(),
        data_centre: "karlin".into(),
        incarnation: 1,
        held: Vec::new(),
        log_offset: Offset(0),
        log_age: 0,
        contracts_offset: Offset(1),
        draining: false,
        leaving: Vec::new(),
        slow: Vec::new(),
        misfits: Vec::new(),
        loads: Vec::new(),
        awaited: Vec::new(),
        reports: Vec::new(),
    };
    let request = PeerRequest::Hello(hello);
    let ticket = 1;
    node.handle(Millis(3), Event::PeerCalled { ticket, request }, &mut out);
    let contracts_call = out.iter().find_map(|action| match action {
        Action::CallPeer {
            call,
            request: PeerRequest::Contracts(_),
            ..
        } => Some(*call),
        _ => None,
    });
    let relayed = RelayedContract {
        offset: Offset(0),
        version: 1,
        contract: contract().to_string(),
    };
    let reply = ContractsReply {
        offset: Offset(1),
        contracts: vec![relayed],
    };
    let event = Event::PeerAnswered {
        call: contracts_call.expect("the host asks the peer"),
        result: Ok(PeerReply::Contracts(reply)),
        bytes: 0,
    };
    node.handle(Millis(4), event, &mut out);
    let record = LogRecord {
        offset: Offset(0),
        time: 0,
        data,
    };
    node.handle(
        Millis(5),
        read_event(Stream::Contracts, 4, vec![record]),
        &mut out,
    );
    let response = out.iter().find_map(|action| match action {
        Action::Respond {
            ticket: 7,
            response,
        } => Some(response),
        _ => None,
    });
    let response = response.expect("an answer");
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(response.status, 200, "{body}");
    assert_eq!(body["version"], 1);
}
