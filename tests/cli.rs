//! Command-line client: bad input, exit codes, and when it tries the next server.

mod fake;

use std::fs;
use std::process::Command;

use serde_json::Value;
use yare::parameterized;

use fake::Reply::{self, Answer, Close, Hang, Truncate};
use fake::{
    AMEND, CLOSED_ADDRESS, CONTRACT, JOB, OVERLOADED, PUBLISHED, SEND, SUBMIT, Server, expect,
    jayfork, run, split, stderr, stdout, temporary_path,
};

/// Guards against an invalid command line that causes a call to the server, or that exits with a
/// code other than 2.
#[parameterized(
    no_command = { "", "Usage:" },
    unknown_command = { "contracts", "unrecognized subcommand 'contracts'" },
    no_subcommand = { "job", "Usage:" },
    unknown_option = { "status --colour", "unexpected argument '--colour'" },
    server_host_name = { "--server localhost:7300 status", "invalid value 'localhost:7300'" },
    server_without_port = { "--server 127.0.0.1 status", "invalid value '127.0.0.1'" },
    timeout_zero = { "--timeout 0 status", "0 is not in 1..=300" },
    publish_without_file = { "contract publish", "<FILE>" },
    amend_without_base = { "contract amend -", "--base <VERSION>" },
    amend_base_zero = { "contract amend - --base 0", "0 is not in 1.." },
    amend_base_negative = { "contract amend - --base=-1", "invalid value '-1'" },
    customer_with_slash = { "contract show a/b", "allowed are 1 to 63 letters" },
    job_with_query = { "job status a b?c", "allowed are 1 to 63 letters" },
    submit_without_size = { "job submit c k j", "--processors <MILLICORES>" },
    submit_negative_size = { "job submit c k j --processors=-1 --memory 1", "invalid value '-1'" },
    submit_text_size = { "job submit c k j --processors 1 --memory 1GiB", "invalid value '1GiB'" },
    request_bad_id = { "request send c k --id a:b", "allowed are 1 to 63 letters" },
    request_absent_body = { "request send c k --body /absent/file", "/absent/file: No such file" },
    request_unwritable_output = { "request send c k --output /absent/file", "/absent/file: No such file" },
    absent_contract = { "contract publish /absent/file", "/absent/file: No such file" },
    absent_settings = { "settings check /absent/file", "/absent/file: No such file" },
    unknown_shell = { "completion tcsh", "invalid value 'tcsh'" },
)]
fn bad_arguments(arguments: &str, message: &str) {
    let (output, received) = run(&[], arguments, "");
    expect(&output, 2, message);
    assert!(received.is_empty(), "{received:?}");
}

/// Guards against a command that hangs, or fails without a clear message, if no server is given.
#[parameterized(
    none = { "", "give --server IP:port or set JAYFORK_SERVERS" },
    only_commas = { " , ,", "give --server IP:port or set JAYFORK_SERVERS" },
    not_an_address = { "127.0.0.1:1, k1:7300", r#"JAYFORK_SERVERS: "k1:7300" is not IP:port"# },
)]
fn bad_environment(servers: &str, message: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_jayfork"))
        .arg("status")
        .env("JAYFORK_SERVERS", servers)
        .output()
        .unwrap();
    expect(&output, 2, message);
}

/// Guards against a client that ignores the servers in `JAYFORK_SERVERS`.
#[test]
fn servers_from_environment() {
    let server = Server::start(&[Answer(200, r#"{"contracts":[]}"#)]);
    let output = Command::new(env!("CARGO_BIN_EXE_jayfork"))
        .args(["contract", "list"])
        .env(
            "JAYFORK_SERVERS",
            format!("{CLOSED_ADDRESS}, {}", server.address),
        )
        .output()
        .unwrap();
    expect(&output, 0, "");
    assert_eq!(server.received().len(), 1);
}

/// Guards against an invalid contract that is sent to a server, and against a message that does not
/// say what is wrong.
#[parameterized(
    empty = { "", "EOF" },
    not_json = { "customer: vltava", "expected value at line 1 column 1" },
    no_customer = { r#"{"data_centres":[],"quota":{},"classes":[]}"#, "customer is missing" },
    no_classes = { r#"{"customer":"a","data_centres":["x"],"quota":{}}"#, "classes is missing" },
    unknown_field = { r#"{"customer":"a","data_centres":["x"],"quota":{"processors":1},"quotas":{},"classes":[{"name":"k","urgency":"background"}]}"#, "quotas is unknown" },
    no_deadline = { r#"{"customer":"a","data_centres":["x"],"quota":{"processors":1},"classes":[{"name":"k","urgency":"urgent","service":"s"}]}"#, "classes[0].deadline is missing" },
    objective_above_one = { r#"{"customer":"a","data_centres":["x"],"quota":{"processors":1},"classes":[{"name":"k","urgency":"background","objective":1.5}]}"#, "classes[0].objective is 1.5; allowed is at least 0.5 and below 1" },
    no_data_centre = { r#"{"customer":"a","data_centres":[],"quota":{"processors":1},"classes":[{"name":"k","urgency":"background"}]}"#, "data_centres is 0; allowed is 1 to 64 entries" },
    bad_urgency = { r#"{"customer":"a","data_centres":["x"],"quota":{},"classes":[{"name":"k","urgency":"now"}]}"#, "unknown variant `now`" },
    negative_quota = { r#"{"customer":"a","data_centres":["x"],"quota":{"memory":-1},"classes":[]}"#, "-1" },
    customer_with_slash = { r#"{"customer":"a/b","data_centres":["x"],"quota":{},"classes":[]}"#, "customer is \"a/b\"; allowed is 1 to 64 of the characters" },
    customer_empty = { r#"{"customer":"","data_centres":["x"],"quota":{},"classes":[]}"#, "customer is \"\"; allowed is 1 to 64 of the characters" },
)]
fn bad_contracts(text: &str, message: &str) {
    for arguments in [
        "contract check -",
        "contract publish -",
        "contract amend - --base 3",
    ] {
        let (output, received) = run(&[Answer(200, "{}")], arguments, text);
        expect(&output, 2, message);
        assert!(received.is_empty(), "{arguments}");
    }
}

/// Guards against a check that stops at the first invalid file, or that succeeds because one of the
/// files is valid.
#[test]
fn checks_every_contract_file() {
    let (valid, invalid, malformed) = (
        temporary_path("json"),
        temporary_path("json"),
        temporary_path("json"),
    );
    fs::write(&valid, CONTRACT).unwrap();
    fs::write(&invalid, "{}").unwrap();
    fs::write(&malformed, "[").unwrap();
    let paths = [&invalid, &valid, &malformed].map(|path| path.to_str().unwrap());
    let output = jayfork(&[], &[&["contract", "check"], &paths[..]].concat(), b"");
    expect(&output, 2, "2 of 3 contract files are not valid");
    assert!(stderr(&output).contains(paths[0]) && stderr(&output).contains(paths[2]));
    assert!(stdout(&output).contains("valid contract of vltava-proofs"));
    let output = jayfork(&[], &["contract", "check", paths[1]], b"");
    expect(&output, 0, "");
}

/// Guards against an error answer that leads to the wrong exit code, on which a script would act.
#[parameterized(
    amend_lost = { AMEND, 409, r#"{"error":"lost_race","customer":"vltava-proofs","base":3,"version":5}"#, 4, "lost the race: version 5 of vltava-proofs is in force, the base was 3; nothing was changed" },
    publish_lost = { "contract publish -", 409, r#"{"error":"lost_race","customer":"vltava-proofs","base":0,"version":1}"#, 4, "version 1 of vltava-proofs" },
    amend_bad_field = { AMEND, 400, r#"{"error":"invalid_contract","field":"classes[0].deadline","reason":"must be above 0","ran":null}"#, 2, "classes[0].deadline: must be above 0 (invalid_contract)" },
    amend_not_published = { AMEND, 503, r#"{"error":"not_published","field":null,"reason":"the log is down","ran":null}"#, 3, "refused: the log is down (not_published)" },
    amend_unknown = { AMEND, 504, r#"{"error":"unknown_outcome","field":null,"reason":"the append was not read back","ran":null}"#, 5, "jayfork contract history vltava-proofs shows whether it was accepted" },
    amend_foreign_503 = { AMEND, 503, "<html>", 5, "unknown outcome" },
    amend_other_conflict = { AMEND, 409, r#"{"error":"frozen","field":null,"reason":"no changes now","ran":null}"#, 3, "no changes now (frozen)" },
    show_unknown = { "contract show c", 404, r#"{"error":"unknown_customer","field":"customer","reason":"c has no contract","ran":null}"#, 3, "customer: c has no contract (unknown_customer)" },
    submit_too_large = { SUBMIT, 422, r#"{"error":"too_large","field":"size","reason":"larger than every worker","ran":"not_run"}"#, 2, "size: larger than every worker (too_large); not run" },
    submit_over_quota = { SUBMIT, 429, r#"{"error":"quota","field":null,"reason":"over quota","ran":"not_run"}"#, 3, "over quota (quota); not run" },
    submit_log_down = { SUBMIT, 503, r#"{"error":"log_down","field":null,"reason":"the log is down","ran":"not_run"}"#, 3, "not run" },
    submit_conflict = { SUBMIT, 409, r#"{"error":"job_conflict","field":"job","reason":"other size","ran":"not_run"}"#, 3, "job: other size" },
    submit_unknown = { SUBMIT, 504, r#"{"error":"unknown_outcome","field":null,"reason":"not read back","ran":"unknown"}"#, 5, "submit it again with the same job id" },
    send_refused = { SEND, 429, r#"{"error":"overloaded","field":null,"reason":"deadline cannot be met","ran":"not_run"}"#, 3, "deadline cannot be met (overloaded); not run" },
    send_draining = { SEND, 503, r#"{"error":"draining","field":null,"reason":"shutting down","ran":"not_run"}"#, 3, "not run" },
    send_without_ran = { SEND, 503, r#"{"error":"broken","field":null,"reason":"broken","ran":null}"#, 5, "unknown outcome" },
    send_may_have_run = { SEND, 503, r#"{"error":"broken","field":null,"reason":"instance lost","ran":"unknown"}"#, 5, "instance lost" },
    send_client_error_may_have_run = { SEND, 409, r#"{"error":"broken","field":null,"reason":"instance lost","ran":"unknown"}"#, 5, "the request id was r1; --id r1 attaches to it" },
    send_too_long = { SEND, 413, r#"{"error":"body_too_large","field":"body","reason":"above 16 MiB","ran":"not_run"}"#, 2, "body: above 16 MiB" },
    send_gateway = { SEND, 502, "", 5, "HTTP status 502" },
    send_internal_not_run = { SEND, 500, r#"{"error":"internal","field":null,"reason":"x","ran":"not_run"}"#, 3, "not run" },
    redirect = { "status", 302, "", 5, "HTTP status 302" },
    status_internal = { "status", 500, "oops", 5, "HTTP status 500" },
    status_not_json = { "status", 200, "oops", 5, "cannot read the answer" },
    status_other_json = { "status", 200, "{}", 5, "missing field `host`" },
    cancel_unknown_job = { "job cancel c j", 404, r#"{"error":"unknown_job","field":"job","reason":"no such job","ran":null}"#, 3, "no such job" },
)]
fn error_answers(arguments: &str, status: u16, body: &'static str, code: i32, message: &str) {
    let (output, received) = run(&[Answer(status, body)], arguments, CONTRACT);
    expect(&output, code, message);
    assert_eq!(received.len(), 1);
    assert!(output.stdout.is_empty(), "{output:?}");
}

/// Guards against errors that are not written as JSON with `--json`, or that lack a field.
#[test]
fn errors_as_json() {
    let body = r#"{"error":"lost_race","customer":"vltava-proofs","base":3,"version":5}"#;
    let (output, _) = run(
        &[Answer(409, body)],
        "--json contract amend - --base 3",
        CONTRACT,
    );
    let error: Value = serde_json::from_str(&stderr(&output)).unwrap();
    assert_eq!(error["error"], "lost_race");
    assert_eq!(error["version"], 5);
    assert_eq!(error["exit"], 4);
    let body = r#"{"error":"quota","field":"size","reason":"over quota","ran":"not_run"}"#;
    let (output, _) = run(&[Answer(429, body)], &format!("{SUBMIT} --json"), "");
    let error: Value = serde_json::from_str(&stderr(&output)).unwrap();
    assert_eq!(error["error"], "quota");
    assert_eq!(error["field"], "size");
    assert_eq!(error["reason"], "over quota");
    assert_eq!(error["ran"], "not_run");
    let output = jayfork(&[CLOSED_ADDRESS.to_owned()], &["--json", "status"], b"");
    let error: Value = serde_json::from_str(&stderr(&output)).unwrap();
    assert_eq!(
        (&error["error"], &error["ran"]),
        (&"unreachable".into(), &"not_run".into())
    );
}

const LOG_DOWN: &str =
    r#"{"error":"log_down","field":null,"reason":"the log is down","ran":"not_run"}"#;
const LOST: &str = r#"{"error":"lost_race","customer":"vltava-proofs","base":3,"version":4}"#;
const LIST: &str = r#"{"contracts":[]}"#;
const NOT_FOUND: &str =
    r#"{"error":"unknown_job","field":null,"reason":"no such job","ran":"not_run"}"#;

/// Guards against a call to the next server that may repeat work, and against a command that fails
/// although the next server could be tried safely.
#[parameterized(
    request_lost = { SEND, Close, Answer(200, "x"), 5, false },
    request_truncated = { SEND, Truncate, Answer(200, "x"), 5, false },
    request_not_run = { SEND, Answer(503, LOG_DOWN), Answer(200, "x"), 0, true },
    request_overloaded = { SEND, Answer(429, OVERLOADED), Answer(200, "x"), 3, false },
    request_without_ran = { SEND, Answer(503, ""), Answer(200, "x"), 5, false },
    amend_lost_answer = { AMEND, Close, Answer(200, PUBLISHED), 5, false },
    amend_log_down = { AMEND, Answer(503, LOG_DOWN), Answer(200, PUBLISHED), 0, true },
    amend_unknown = { AMEND, Answer(504, LOG_DOWN), Answer(409, LOST), 5, false },
    amend_lost_race = { AMEND, Answer(409, LOST), Answer(200, PUBLISHED), 4, false },
    submit_lost_answer = { SUBMIT, Close, Answer(202, JOB), 0, true },
    submit_unknown = { SUBMIT, Answer(504, ""), Answer(202, JOB), 0, true },
    submit_bad_input = { SUBMIT, Answer(422, LOG_DOWN), Answer(202, JOB), 2, false },
    submit_lost_then_refused = { SUBMIT, Close, Answer(429, OVERLOADED), 5, true },
    submit_lost_then_log_down = { SUBMIT, Close, Answer(503, LOG_DOWN), 5, true },
    submit_log_down_twice = { SUBMIT, Answer(503, LOG_DOWN), Answer(503, LOG_DOWN), 3, true },
    submit_log_down_then_lost = { SUBMIT, Answer(503, LOG_DOWN), Close, 5, true },
    cancel_lost_answer = { "job cancel c j", Close, Answer(200, JOB), 0, true },
    cancel_lost_then_unknown = { "job cancel c j", Close, Answer(404, NOT_FOUND), 5, true },
    read_lost = { "contract list", Close, Answer(200, LIST), 0, true },
    read_truncated = { "contract list", Truncate, Answer(200, LIST), 0, true },
    read_lost_then_refused = { "job status c j", Close, Answer(404, NOT_FOUND), 3, true },
    read_unknown = { "job status c j", Answer(404, NOT_FOUND), Answer(200, JOB), 3, false },
)]
fn tries_the_next_server_only_if_safe(
    arguments: &str,
    first: Reply,
    second: Reply,
    code: i32,
    tries_second: bool,
) {
    let (one, two) = (Server::start(&[first]), Server::start(&[second]));
    let servers = [
        CLOSED_ADDRESS.to_owned(),
        one.address.to_string(),
        two.address.to_string(),
    ];
    let output = jayfork(&servers, &split(arguments), CONTRACT.as_bytes());
    expect(&output, code, "");
    assert_eq!(one.received().len(), 1);
    assert_eq!(
        two.received().len(),
        usize::from(tries_second),
        "{}",
        stderr(&output)
    );
    if tries_second {
        assert_eq!(one.received()[0].line, two.received()[0].line);
        assert_eq!(one.received()[0].body, two.received()[0].body);
    }
}

/// Guards against an unreachable server that is reported as an unknown outcome.
#[parameterized(
    request = { SEND },
    submit = { SUBMIT },
    amend = { AMEND },
    read = { "status" },
    burn = { "report burn" },
    jobs = { "job list c" },
)]
fn unreachable(arguments: &str) {
    let output = jayfork(
        &[CLOSED_ADDRESS.to_owned()],
        &split(arguments),
        CONTRACT.as_bytes(),
    );
    expect(&output, 5, "no server is reachable: 127.0.0.1:1: ");
}

/// Guards against a command that waits forever for a server that does not answer.
#[test]
fn times_out() {
    let (output, received) = run(&[Hang], "--timeout 1 request send c k --id r1", "");
    expect(&output, 5, "timeout");
    assert_eq!(received.len(), 1);
}
