//! The adapter: what is decoded and encoded, and that it does nothing else.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use http::HeaderMap;
use hyper::Method;
use jayfork::base::Millis;
use jayfork::base::Size;
use jayfork::connection::{
    CallError, Fence, FrontRequest, HttpReply, KeyedRecord, Order, Partition, Refusal, StartOrder,
    StoreAnswer, StoreRequest, WorkerAnswer, WorkerCall,
};
use jayfork::platform::{
    ClientCall, WorkerState, decode_client, decode_config, decode_registry_entry,
    decode_store_answer, decode_worker_answer, encode_order, encode_store_request,
};
use jayfork::request::job::Ending;
use yare::parameterized;

const ID: &str = "5c0e7a21d94b36f8";
const TASK: &str = "5c0e7a21d94b36f8.0.1.17";

fn request(method: Method, body: &str) -> FrontRequest {
    let mut headers = HeaderMap::new();
    headers.insert("X-Request-Timeout-Ms", "2500".parse().expect("a value"));
    FrontRequest {
        method,
        host: "nony24.example".into(),
        path: format!("/lohu930/{ID}"),
        headers,
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

/// Guards against a field of a step that is lost or mixed up.
#[test]
fn a_job_is_decoded_whole() {
    let body = r#"{"spec":"text","times":2,"firstRunMs":1000,"intervalMs":500,"later":1,"steps":[
        {"count":4,"cpu":500,"memMb":256,"gpu":1,"estRuntimeMs":900,"affinity":"r1-3"},
        {"count":2,"cpu":2000,"dependsOn":[0],"checkpointing":true,"gang":true,"sameRack":true,
         "requiredLabel":"b","antiAffinity":1,"speculative":true,"longRunning":true,"image":"x",
         "targetMs":18,"fills":true,"mayMiss":0}]}"#;
    let decoded = decode_client(&request(Method::POST, body), ID).expect("a job");
    assert_eq!(decoded.wait, Some(2_500));
    let ClientCall::Submit(id, spec) = decoded.call else {
        panic!("not a submission");
    };
    assert_eq!(id.to_string(), ID);
    assert_eq!((spec.turns, spec.first_run, spec.interval), (2, 1_000, 500));
    let [first, second] = &spec.steps[..] else {
        panic!("not two steps");
    };
    assert_eq!(first.size, Size::new(500, 256, 1));
    assert_eq!(first.rack.as_deref(), Some("r1-3"));
    assert_eq!((first.absent, first.spread, first.tail_bound), (None, 0, 0));
    assert!(second.gang && second.same_rack && second.copies && second.lasts);
    assert!(second.fills && second.saves);
    assert_eq!(second.label.as_deref(), Some("b"));
    assert_eq!(
        (second.absent, second.spread, second.tail_bound),
        (Some(0), 1, 18)
    );
    // Filling tasks set aside no processors.
    assert_eq!(second.reserved().processors, 0);
}

/// Guards against a job that can never be placed in order, or an id that another job may have.
#[parameterized(
    no_steps = { ID, r#"{"spec":"","steps":[]}"# },
    no_tasks = { ID, r#"{"spec":"","steps":[{"count":0}]}"# },
    a_later_step = { ID, r#"{"spec":"","steps":[{"count":1,"dependsOn":[1]},{"count":1}]}"# },
    itself = { ID, r#"{"spec":"","steps":[{"count":1,"dependsOn":[0]}]}"# },
    too_many_tasks = { ID, r#"{"spec":"","steps":[{"count":20000},{"count":1}]}"# },
    not_json = { ID, "{" },
    a_short_id = { "5c0e", r#"{"spec":"","steps":[{"count":1}]}"# },
    an_id_in_capitals = { "5C0E7A21D94B36F8", r#"{"spec":"","steps":[{"count":1}]}"# },
    an_id_with_more = { "5c0e7a21d94b36f8/x", r#"{"spec":"","steps":[{"count":1}]}"# },
)]
fn a_bad_job_is_refused(id: &str, body: &str) {
    assert!(decode_client(&request(Method::POST, body), id).is_err());
}

/// Guards against a path that is taken for another call.
#[test]
fn calls_follow_method_and_path() {
    let call = |method, rest| decode_client(&request(method, ""), rest).map(|call| call.call);
    assert_eq!(call(Method::GET, "").expect("a call"), ClientCall::Backlog);
    assert!(matches!(call(Method::GET, ID), Ok(ClientCall::State(_))));
    assert!(matches!(
        call(Method::DELETE, ID),
        Ok(ClientCall::Cancel(_))
    ));
    assert_eq!(call(Method::PUT, ID).expect("a call"), ClientCall::Unknown);
    assert_eq!(call(Method::POST, "").expect("a call"), ClientCall::Unknown);
}

const ENTRY: &str = r#"{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
    "state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},
    "labels":["a","r1-3"],"clockMs":4,"seq":4,"born":17}"#;

#[test]
fn a_registry_entry_is_decoded() {
    let entry = decode_registry_entry(ENTRY.as_bytes()).expect("an entry");
    assert_eq!(entry.state, WorkerState::Ready);
    assert_eq!(entry.capacity, Size::new(16_000, 32_768, 0));
    assert_eq!(entry.born, Some(17));
}

/// Guards against tasks that are sent to what another writer put into the registry.
#[parameterized(
    another_state = { r#""ready""#, r#""asleep""# },
    another_type = { r#""slots":8"#, r#""slots":"8""# },
    no_address = { r#""address":"10.0.0.9:80","#, "" },
    a_name_for_an_address = { "10.0.0.9:80", "worker:80" },
    no_capacity = { r#""capacity":{"cpu":16000,"memMb":32768,"gpu":0},"#, "" },
    cut_short = { r#""born":17}"#, "" },
)]
fn a_foreign_entry_names_no_worker(from: &str, to: &str) {
    assert!(ENTRY.contains(from));
    assert!(decode_registry_entry(ENTRY.replace(from, to).as_bytes()).is_err());
}

fn call(order: Order) -> WorkerCall {
    WorkerCall {
        worker: "i-7f".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        epoch: 7,
        order,
        timeout: Millis(100),
    }
}

fn renew() -> WorkerCall {
    call(Order::Renew {
        lease_end: None,
        acknowledged: 57,
        wait: Millis(1_000),
    })
}

fn reply(status: u16, body: &str) -> HttpReply {
    let body = Bytes::copy_from_slice(body.as_bytes());
    HttpReply { status, body }
}

#[test]
fn orders_carry_the_epoch_and_name_the_worker() {
    let start = call(Order::Start(StartOrder {
        task: TASK.parse().expect("a task"),
        run: 2,
        payload: "text".into(),
        lease_end: 486_000,
        checkpoint: None,
        permit: Some("c81e".into()),
    }));
    let sent = encode_order(&start);
    assert_eq!((sent.method, sent.path.as_str()), ("POST", "/run-start"));
    assert_eq!(sent.headers, [("X-Expected-Instance", "i-7f".to_owned())]);
    let body: serde_json::Value = serde_json::from_slice(&sent.body).expect("JSON");
    let expected = serde_json::json!({"task": TASK, "run": 2, "spec": "text", "untilMs": 486_000,
        "fencingToken": 7, "ticket": "c81e"});
    assert_eq!(body, expected);
    let sent = encode_order(&renew());
    let body: serde_json::Value = serde_json::from_slice(&sent.body).expect("JSON");
    let expected = serde_json::json!({"fencingToken": 7, "lastSeen": 57, "waitMs": 1_000});
    assert_eq!(body, expected);
}

/// Guards against rows with and without the figure of the load.
#[test]
fn a_report_is_decoded() {
    let body = format!(
        r#"{{"clockMs":9,"born":3,"running":[["{TASK}",2,"0b",41],["{TASK}",2,"",100,18.4]],
        "ended":[[58,"{TASK}",1,"done",""]]}}"#
    );
    let answer = decode_worker_answer(&renew(), &reply(200, &body));
    let Ok(WorkerAnswer::Report(report)) = answer else {
        panic!("not a report: {answer:?}");
    };
    assert_eq!((report.clock, report.start_time), (9, 3));
    assert_eq!(report.running[0].checkpoint.as_deref(), Some("0b"));
    assert_eq!(
        (report.running[0].percent, report.running[0].measurement),
        (41, None)
    );
    assert_eq!(report.running[1].measurement, Some(18));
    assert_eq!(
        (report.ended[0].number, report.ended[0].ending),
        (58, Ending::Done)
    );
}

/// Guards against a refusal that is taken for a start, and a start that is taken for a refusal.
#[parameterized(
    fenced = { 409, r#"{"clockMs":1,"reason":"fence"}"#, Some(Refusal::Fenced) },
    old = { 409, r#"{"clockMs":1,"reason":"old"}"#, Some(Refusal::OldRun) },
    late = { 409, r#"{"clockMs":1,"reason":"late"}"#, Some(Refusal::LeaseExpired) },
    no_room = { 409, r#"{"clockMs":1,"reason":"room"}"#, Some(Refusal::NoCapacity) },
    no_permit = { 409, r#"{"clockMs":1,"reason":"ticket"}"#, Some(Refusal::NoPermit) },
    not_understood = { 400, "", Some(Refusal::Malformed) },
)]
fn a_refusal_keeps_its_reason(status: u16, body: &str, expected: Option<Refusal>) {
    let answer = decode_worker_answer(&renew(), &reply(status, body));
    let reason = match answer {
        Ok(WorkerAnswer::Refused { reason, .. }) => Some(reason),
        _ => None,
    };
    assert_eq!(reason, expected);
}

/// Guards against an answer of a gateway that is taken for one of the worker: the order may have
/// been carried out.
#[parameterized(
    gateway_timeout = { 504, "" },
    internal = { 500, "" },
    cut_short = { 200, r#"{"clockMs":1,"runn"# },
    no_clock = { 200, "{}" },
)]
fn an_unreadable_answer_leaves_the_outcome_open(status: u16, body: &str) {
    let answer = decode_worker_answer(&renew(), &reply(status, body));
    assert_eq!(answer, Err(CallError::Malformed));
}

fn append() -> StoreRequest {
    StoreRequest::Append {
        to: Partition {
            stream: "keyed.x".into(),
            part: 3,
        },
        records: vec![KeyedRecord {
            key: "ab".into(),
            value: Bytes::from_static(b"c"),
        }],
        fence: Some(Fence {
            producer: "w".into(),
            epoch: 7,
            sequence: 12,
        }),
    }
}

#[test]
fn appends_are_framed_and_fenced() {
    let sent = encode_store_request(&append());
    let expected = "/log-append?topic=keyed.x&part=3&producer=w&epoch=7&seq=12";
    assert_eq!((sent.method, sent.path.as_str()), ("POST", expected));
    assert_eq!(&sent.body[..], b"\x00\x00\x00\x04\x02abc");
}

/// Guards against a refused append that counts as stored, or a stored one as refused.
#[parameterized(
    stored = { 200, r#"{"offset":1,"end":2}"#, Ok(StoreAnswer::Appended) },
    fenced = { 409, r#"{"reason":"fenced"}"#, Ok(StoreAnswer::Fenced) },
    out_of_sequence = {
        409, r#"{"reason":"seq","seq":4}"#, Ok(StoreAnswer::OutOfSequence { expected: 4 })
    },
    busy = { 503, "", Err(CallError::Refused) },
    too_many_calls = { 429, "", Err(CallError::Refused) },
    full = { 507, "", Err(CallError::Refused) },
    unreadable = { 409, "{", Err(CallError::Malformed) },
)]
fn an_append_has_one_outcome(status: u16, body: &str, expected: Result<StoreAnswer, CallError>) {
    assert_eq!(
        decode_store_answer(&append(), &reply(status, body)),
        expected
    );
}

fn read() -> StoreRequest {
    StoreRequest::Read {
        from: Partition {
            stream: "keyed.x".into(),
            part: 0,
        },
        offset: 840,
    }
}

#[test]
fn records_are_read_with_their_place() {
    let mut body = vec![0; 16];
    body.extend_from_slice(b"\x00\x00\x00\x04\x02abc\x00\x00\x00\x03\x02ab");
    let answer = HttpReply {
        status: 200,
        body: body.into(),
    };
    let Ok(StoreAnswer::Records { records, next }) = decode_store_answer(&read(), &answer) else {
        panic!("no records");
    };
    assert_eq!(next, 842);
    assert_eq!(
        (records[0].key.as_str(), &records[0].value[..]),
        ("ab", &b"c"[..])
    );
    assert!(records[1].value.is_empty());
    assert_eq!(
        decode_store_answer(&read(), &reply(410, "{}")),
        Ok(StoreAnswer::Expired)
    );
}

/// Guards against half a record that is taken for a whole one.
#[parameterized(
    no_head = { 12 },
    half_a_length = { 18 },
    half_a_record = { 22 },
)]
fn a_short_read_is_refused(length: usize) {
    let mut body = vec![0; 16];
    body.extend_from_slice(b"\x00\x00\x00\x04\x02abc");
    body.truncate(length);
    let answer = HttpReply {
        status: 200,
        body: body.into(),
    };
    assert_eq!(
        decode_store_answer(&read(), &answer),
        Err(CallError::Malformed)
    );
}

#[test]
fn a_configuration_is_decoded() {
    let body = r#"{"version":7,"routes":[{"name":"r","host":"nony24.example","pathPrefix":"/lohu/",
        "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":2,"service":"s",
        "attempts":4,"stretch":1.5,"advice":{"decideMs":1}},{"name":"q","host":"nony24.example",
        "pathPrefix":"/lohu/more/","service":"s"}],"services":[{"name":"s","spare":true}]}"#;
    let table = decode_config(body.as_bytes()).expect("a configuration");
    assert_eq!(table.version, 7);
    let (queue, rest) = table.find("NONY24.example", "/lohu/x").expect("a queue");
    assert_eq!((&*queue.name, rest, queue.priority), ("r", "x", 2));
    assert!(queue.has_advice && table.services[0].is_spare);
    // The longest prefix wins.
    let (queue, rest) = table
        .find("nony24.example", "/lohu/more/x")
        .expect("a queue");
    assert_eq!((&*queue.name, rest), ("q", "x"));
    assert!(table.find("other.example", "/lohu/x").is_none());
    assert!(decode_config(b"{\"routes\":[]}").is_err());
}

fn sources(folder: &Path, found: &mut Vec<(String, String)>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            let text = fs::read_to_string(&path).expect("a source file");
            found.push((path.display().to_string(), text));
        }
    }
}

/// Guards against names of the platform's wire that spread, and against decisions, timers and
/// retries in the adapter.
#[test]
fn the_adapter_only_translates() {
    let mut files = Vec::new();
    sources(Path::new("src"), &mut files);
    let wire = [
        "fencingToken",
        "lastSeen",
        "untilMs",
        "log-append",
        "run-start",
        "memMb",
        "pathPrefix",
    ];
    let active = [
        "Instant", "sleep", "timeout(", "spawn", "retry", "Mutex", "RefCell", "rand",
    ];
    let mut lines = 0;
    for (path, text) in &files {
        let is_adapter = path.starts_with("src/platform/");
        if is_adapter {
            lines += text.lines().count();
        }
        let words: &[&str] = if is_adapter { &active } else { &wire };
        for word in words {
            assert!(!text.contains(word), "{path} has {word}");
        }
    }
    assert!((1..1_500).contains(&lines), "the adapter has {lines} lines");
}
