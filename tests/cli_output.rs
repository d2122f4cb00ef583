//! Command-line client: what it sends and what it writes.

mod fake;

use std::fs;

use serde_json::Value;
use yare::parameterized;

use fake::Reply::{self, Answer, Truncate};
use fake::{
    AMEND, CLOSED_ADDRESS, CONTRACT, JOB, OVERLOADED, PUBLISHED, Received, SEND, SUBMIT, Server,
    expect, jayfork, run, split, stdout, temporary_path,
};

/// Guards against a request whose body or id is not sent, and against an answer that is not written
/// unchanged.
#[test]
fn sends_a_request() {
    let (output, received) = run(&[Answer(200, "\u{0}proof\r\n")], SEND, "page\n");
    expect(&output, 0, "");
    assert_eq!(output.stdout, "\u{0}proof\r\n".as_bytes());
    assert_eq!(received[0].line, "POST /v1/requests/c/k HTTP/1.1");
    assert!(received[0].headers.contains("request-id: r1\r\n"));
    assert_eq!(received[0].body, b"page\n");
}

/// Guards against two requests that get the same id if none is given.
#[test]
fn request_ids_differ() {
    let server = Server::start(&[Answer(200, ""), Answer(200, "")]);
    let id = |received: &Received| -> String {
        let line = received
            .headers
            .lines()
            .find(|line| line.starts_with("request-id:"));
        line.unwrap().to_owned()
    };
    for _ in 0..2 {
        jayfork(
            &[server.address.to_string()],
            &["request", "send", "c", "k"],
            b"",
        );
    }
    let received = server.received();
    assert_ne!(id(&received[0]), id(&received[1]));
}

/// Guards against an output file that is overwritten although there is no complete answer.
#[parameterized(
    truncated = { Truncate, 5, "old" },
    refused = { Answer(429, OVERLOADED), 3, "old" },
    complete = { Answer(200, "new"), 0, "new" },
)]
fn output_file_gets_complete_answers_only(reply: Reply, code: i32, content: &str) {
    let path = temporary_path("out");
    fs::write(&path, "old").unwrap();
    let arguments = format!("{SEND} --output {}", path.display());
    let (output, _) = run(&[reply], &arguments, "");
    expect(&output, code, "");
    assert!(output.stdout.is_empty());
    assert_eq!(fs::read_to_string(&path).unwrap(), content);
}

/// Guards against an incomplete answer that is written to standard output.
#[test]
fn truncated_answer_writes_nothing() {
    let (output, _) = run(&[Truncate], SEND, "");
    expect(&output, 5, "unknown outcome");
    assert!(output.stdout.is_empty());
}

/// Guards against a contract that is sent to the wrong route or is not sent unchanged.
#[parameterized(
    publish = { "contract publish -", "PUT /v1/contracts/vltava-proofs?base=0 HTTP/1.1" },
    amend = { AMEND, "PUT /v1/contracts/vltava-proofs?base=3 HTTP/1.1" },
)]
fn publishes(arguments: &str, line: &str) {
    let (output, received) = run(&[Answer(200, PUBLISHED)], arguments, CONTRACT);
    expect(&output, 0, "");
    assert_eq!(stdout(&output), "vltava-proofs version 4 is in force\n");
    assert_eq!(received[0].line, line);
    assert_eq!(received[0].body, CONTRACT.as_bytes());
}

/// Guards against output of `contract show` that `contract amend` does not accept.
#[test]
fn shown_contract_can_be_amended() {
    let answer =
        format!(r#"{{"customer":"vltava-proofs","version":3,"offset":17,"contract":{CONTRACT}}}"#);
    let answer: &'static str = answer.leak();
    let (output, received) = run(&[Answer(200, answer)], "contract show vltava-proofs", "");
    expect(&output, 0, "version 3; amend it with --base 3");
    assert_eq!(received[0].line, "GET /v1/contracts/vltava-proofs HTTP/1.1");
    let (output, _) = run(&[Answer(200, PUBLISHED)], AMEND, &stdout(&output));
    expect(&output, 0, "");
}

const STATUS: &str = r#"{"host":"k1","data_centre":"praha-karlin","region":"praha","incarnation":7,"version":"0.1.0",
  "entries":[{"name":"k1","data_centre":"praha-karlin","state":"live","log_lag":40},
             {"name":"k2","data_centre":"praha-karlin","state":"dead","log_lag":null}],
  "workers":[{"name":"w1","rack":"r1","state":"leaving","holder":"k1","capacity":{"processors":16000,"memory":61440,"accelerators":0},"committed":{"processors":500,"memory":512,"accelerators":0},"tasks":1}],
  "instances":[{"name":"i1","service":"issue-assembly","state":"live","holder":null,"slots":8,"used":2}],
  "tasks":{"pending":3,"claimed":2,"succeeded":10,"failed":1,"cancelled":0,"unknown":0},
  "contracts":{"offset":18,"age":120,"customers":2}}"#;
const HISTORY: &str = r#"{"customer":"c","versions":[{"customer":"c","version":1,"offset":4,"contract":
  {"customer":"c","data_centres":["x"],"quota":{"processors":5},"classes":[{"name":"k","urgency":"background"}]}}]}"#;
const JOBS: &str = r#"{"data_centre":"x","jobs":[{"customer":"c","job":"j","class":"k","tasks":
  {"pending":1,"claimed":0,"succeeded":0,"failed":0,"cancelled":0,"unknown":2}}]}"#;
const TASKS: &str = r#"{"customer":"c","job":"j","class":"k","tasks":[{"index":0,"attempt":1,"state":"claimed","worker":"w1","reason":null}]}"#;
const SUMMARIES: &str = r#"{"contracts":[{"customer":"c","version":2,"offset":9,"data_centres":["x","y"],"classes":["k"]}]}"#;

/// Guards against a field of an answer that is not shown, and against colour when standard output
/// is not a terminal.
#[parameterized(
    status_host = { "status", STATUS, "GET /v1/status HTTP/1.1", "k1 in praha-karlin (praha)" },
    status_tasks = { "status", STATUS, "GET /v1/status HTTP/1.1", "3 pending, 2 claimed, 10 succeeded, 1 failed" },
    status_entry = { "status", STATUS, "GET /v1/status HTTP/1.1", "k2          praha-karlin  dead   -" },
    status_worker = { "status", STATUS, "GET /v1/status HTTP/1.1", "w1      r1    leaving  k1      500 mcores 512 MiB 0 acc  16000 mcores 61440 MiB 0 acc  1" },
    status_instance = { "status", STATUS, "GET /v1/status HTTP/1.1", "i1        issue-assembly  live   -       2     8" },
    status_contracts = { "status", STATUS, "GET /v1/status HTTP/1.1", "2 customers, offset 18, confirmed 120 ms ago" },
    contract_list = { "contract list", SUMMARIES, "GET /v1/contracts HTTP/1.1", "c         2        9       x y           k" },
    contract_history = { "contract history c", HISTORY, "GET /v1/contracts/c/history HTTP/1.1", "1        4       5 mcores 0 MiB 0 acc  k" },
    job_status = { "job status c j", TASKS, "GET /v1/jobs/c/j HTTP/1.1", "c/j/0  claimed  1        w1      -" },
    job_cancel = { "job cancel c j", TASKS, "DELETE /v1/jobs/c/j HTTP/1.1", "c/j/0  claimed" },
    job_list = { "job list c", JOBS, "GET /v1/jobs?customer=c HTTP/1.1", "j    k      1        0        0          0       0          2" },
    job_submit = { SUBMIT, JOB, "POST /v1/jobs HTTP/1.1", "c/j accepted, tasks: 1" },
)]
fn shows_text(arguments: &str, body: &'static str, line: &str, text: &str) {
    let (output, received) = run(&[Answer(200, body)], arguments, "");
    expect(&output, 0, "");
    assert_eq!(received[0].line, line);
    assert!(
        stdout(&output).contains(text),
        "{text:?} in\n{}",
        stdout(&output)
    );
    assert!(!stdout(&output).contains('\x1b'));
}

/// Guards against `--json` output that lacks fields of the answer.
#[parameterized(
    status = { "status --json", STATUS },
    contracts = { "--json contract list", SUMMARIES },
    job = { "job status c j --json", TASKS },
)]
fn shows_json(arguments: &str, body: &'static str) {
    let (output, _) = run(&[Answer(200, body)], arguments, "");
    let shown: Value = serde_json::from_str(&stdout(&output)).unwrap();
    let expected: Value = serde_json::from_str(body).unwrap();
    assert_eq!(shown, expected);
}

/// Guards against a submission in units other than those of the daemon.
#[test]
fn submits_in_wire_units() {
    let arguments = "job submit c k j --tasks 3 --processors 500 --memory 512 --run 60";
    let (_, received) = run(&[Answer(202, JOB)], arguments, "");
    let body: Value = serde_json::from_slice(&received[0].body).unwrap();
    assert_eq!(body["tasks"], 3);
    assert_eq!(body["size"]["processors"], 500);
    assert_eq!(body["size"]["memory"], 512);
    assert_eq!(body["run"], 60_000);
}

/// JSON of a report with one class.
fn burn_report(host: &str, total: u64, bad: u64) -> &'static str {
    let windows: Vec<String> = [300_000, 3_600_000, 21_600_000]
        .iter()
        .map(|span| format!(r#"{{"span":{span},"total":{total},"bad":{bad},"rate":null}}"#))
        .collect();
    let report = format!(
        r#"{{"hosts":["{host}"],"step":21600000,"dropped":0,"classes":[{{"customer":"c","class":"k",
        "objective":0.99,"budget_left":1.0,"windows":[{}],"history":[{{"total":{total},"bad":{bad}}}]}}]}}"#,
        windows.join(",")
    );
    report.leak()
}

/// Guards against a report that lacks the counts of some hosts and does not say so.
#[test]
fn burn_sums_all_servers() {
    let one = Server::start(&[Answer(200, burn_report("k1", 100, 2)); 2]);
    let two = Server::start(&[Answer(200, burn_report("k2", 300, 0)); 2]);
    let servers = [&one, &two].map(|server| server.address.to_string());
    let output = jayfork(&servers, &["report", "burn"], b"");
    expect(&output, 0, "");
    let row: Vec<String> = stdout(&output)
        .lines()
        .nth(1)
        .unwrap()
        .split_whitespace()
        .map(str::to_owned)
        .collect();
    assert_eq!(
        row,
        ["c", "k", "99%", "50.0%", "0.50", "0.50", "0.50", "400", "2"]
    );

    let partial = [servers[0].clone(), CLOSED_ADDRESS.to_owned()];
    let output = jayfork(&partial, &["report", "burn", "--json"], b"");
    expect(
        &output,
        0,
        "the report is partial: no server is reachable: 127.0.0.1:1",
    );
    let report: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(report["hosts"], serde_json::json!(["k1"]));
    assert_eq!(report["classes"][0]["budget_left"], -1.0);
}

/// Guards against an HTML report that is not written to the file.
#[test]
fn burn_writes_html() {
    let path = temporary_path("html");
    let arguments = format!("report burn --html {}", path.display());
    let (output, _) = run(&[Answer(200, burn_report("k1", 100, 2))], &arguments, "");
    expect(&output, 0, "");
    let page = fs::read_to_string(&path).unwrap();
    assert!(page.contains("<svg ") && page.contains("-100.0%"));
}

/// Guards against control sequences in names or reasons that are written to a terminal.
#[test]
fn control_characters_are_replaced() {
    let body = r#"{"contracts":[{"customer":"\u001b[2Jc","version":1,"offset":0,"data_centres":[],"classes":[]}]}"#;
    let (output, _) = run(&[Answer(200, body)], "contract list", "");
    assert!(!stdout(&output).contains('\x1b'));
    assert!(stdout(&output).contains("?[2Jc"));
    let body = r#"{"error":"quota","field":null,"reason":"\u001b[2Jc","ran":"not_run"}"#;
    let (output, _) = run(&[Answer(429, body)], "contract list", "");
    expect(&output, 3, "?[2Jc");
    assert!(output.stderr.iter().all(|byte| *byte != 0x1b));
}

/// Guards against help texts without exit codes or examples.
#[parameterized(
    top = { "--help", "5  no server reachable, or the outcome is unknown" },
    top_example = { "--help", "jayfork contract amend proofs.json --base 3" },
    amend = { "contract amend --help", "Example:" },
    submit = { "job submit --help", "Example:" },
    send = { "request send --help", "Example:" },
    burn = { "report burn --help", "Example:" },
    settings = { "settings check --help", "Example:" },
    version = { "--version", "jayfork 0.1.0" },
)]
fn help(arguments: &str, text: &str) {
    let output = jayfork(&[], &split(arguments), b"");
    expect(&output, 0, "");
    assert!(stdout(&output).contains(text), "{}", stdout(&output));
}

/// Guards against an empty completion script.
#[parameterized(
    bash = { "bash" }, zsh = { "zsh" }, fish = { "fish" }, elvish = { "elvish" }, powershell = { "powershell" },
)]
fn completion(shell: &str) {
    let output = jayfork(&[], &["completion", shell], b"");
    expect(&output, 0, "");
    assert!(stdout(&output).contains("amend"));
}

/// Guards against a settings check that accepts a file that the daemon rejects.
#[test]
fn checks_settings() {
    let path = temporary_path("ini");
    fs::write(&path, "[host]\nname = k1\n").unwrap();
    let output = jayfork(&[], &["settings", "check", path.to_str().unwrap()], b"");
    expect(&output, 2, r#"missing key "region" in [host]"#);
}

const METRICS: &str = "# TYPE jayfork_evacuated gauge\n\
    jayfork_evacuated{data_centre=\"tn-a\"} 1\njayfork_evacuated{data_centre=\"tn-b\"} 0\n\
    jayfork_evacuating_runs{data_centre=\"tn-a\"} 341\njayfork_evacuating_runs{data_centre=\"tn-b\"} 0\n\
    jayfork_tasks_awaiting_evacuated 7\n";

/// Guards against evacuations that have ended, or of a host that doesn't know them, in place of the current ones.
#[test]
fn shows_the_evacuations_that_the_owner_knows() {
    let other = Server::start(&[Answer(200, "jayfork_evacuated{data_centre=\"tn-a\"} 0\n")]);
    let owner = Server::start(&[Answer(200, METRICS)]);
    let servers = [other.address.to_string(), owner.address.to_string()];
    let output = jayfork(&servers, &["evacuations", "--json"], b"");
    expect(&output, 0, "");
    let shown: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(
        shown,
        serde_json::json!({ "runs": { "tn-a": 341 }, "awaiting": 7 })
    );
}

/// Guards against a table without the numbers, and against an empty one.
#[parameterized(
    one = { METRICS, "tn-a         341" },
    none = { "", "no data centre is evacuated" },
)]
fn evacuations_are_shown_as_text(metrics: &'static str, text: &str) {
    let (output, _) = run(&[Answer(200, metrics)], "evacuations", "");
    expect(&output, 0, "");
    assert!(stdout(&output).contains(text), "{}", stdout(&output));
}
