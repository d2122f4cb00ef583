//! `jayfork configuration check`: what it finds, and its exit codes.

mod fake;

use std::fs;

use serde_json::{Value, json};
use yare::parameterized;

use fake::{jayfork, stderr, stdout, temporary_path};

fn route(name: &str, host: &str, path: &str) -> Value {
    json!({
        "name": name,
        "host": host,
        "pathPrefix": path,
        "service": "assembly",
        "targetLatencyMs": 400,
        "stretch": 2.0,
        "attempts": 4,
        "priority": 0,
    })
}

fn config(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "assembly", "maxConns": 64 }],
        "limits": { "maxBodyBytes": 262_144 },
    })
}

/// A route with one field changed.
fn with(field: &str, value: Value) -> Value {
    let mut route = route("proofs", "a.example", "/proofs/");
    route[field] = value;
    route
}

/// Runs the check on texts; returns the exit code, the report and the messages.
fn check(text: &str, against: Option<&str>) -> (i32, Value, String) {
    let write = |text: &str| {
        let path = temporary_path("json");
        fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let file = write(text);
    let mut arguments = vec!["--json", "configuration", "check", &file];
    let against = against.map(write);
    if let Some(against) = &against {
        arguments.extend(["--against", against]);
    }
    let output = jayfork(&[], &arguments, b"");
    let report = serde_json::from_str(&stdout(&output)).unwrap_or(Value::Null);
    (output.status.code().unwrap(), report, stderr(&output))
}

/// Guards against a faultless configuration that is refused.
#[test]
fn a_valid_configuration_passes() {
    let routes = [
        route("proofs", "a.example", "/proofs/"),
        route("merges", "a.example", "/proofs/merges/"),
    ];
    let (code, report, _) = check(&config(1, &routes).to_string(), None);
    assert_eq!(code, 0);
    assert_eq!(
        report,
        json!({ "version": 1, "errors": [], "warnings": [], "differences": null })
    );
}

/// Guards against a fault that is found only once the configuration is in force.
#[parameterized(
    host_with_port = { with("host", json!("a.example:80")), "never matches" },
    no_host = { with("host", json!("")), "never matches" },
    path_without_slash = { with("pathPrefix", json!("proofs/")), "does not begin with a slash" },
    path_with_query = { with("pathPrefix", json!("/proofs?x=")), "no path has" },
    unknown_service = { with("service", json!("asembly")), "asembly is not configured" },
    negative_stretch = { with("stretch", json!(-1.0)), "is no factor" },
    same_address = { route("merges", "A.example", "/other/"), "same host and path" },
    same_name = { route("other", "b.example", "/"), "has this name" },
)]
fn entries_that_can_not_be_served_are_errors(route_to_check: Value, reason: &str) {
    let routes = [route("other", "a.example", "/other/"), route_to_check];
    let (code, report, message) = check(&config(1, &routes).to_string(), None);
    assert_eq!(code, 2, "{report}");
    assert!(message.contains("errors"), "{message}");
    let errors = report["errors"].as_array().unwrap();
    let is_named = |error: &Value| error["reason"].as_str().unwrap().contains(reason);
    assert!(errors.iter().any(is_named), "{errors:?}");
}

/// Guards against limits that contradict each other, and services that are off or not in use.
#[parameterized(
    spare_service = { "/services/0/spare", json!(true), 2, "its machines are off" },
    tiny_bodies = { "/limits/maxBodyBytes", json!(1_000), 2, "hold no job" },
    bodies_over_records = { "/limits/maxBodyBytes", json!(1_048_576), 0, "records of 262144 only" },
)]
fn contradictions_are_found(pointer: &str, value: Value, expected: i32, reason: &str) {
    let mut config = config(1, &[route("proofs", "a.example", "/proofs/")]);
    match config.pointer_mut(pointer) {
        Some(field) => *field = value,
        None => config["services"][0]["spare"] = value,
    }
    let (code, report, _) = check(&config.to_string(), None);
    assert_eq!(code, expected, "{report}");
    assert!(report.to_string().contains(reason), "{report}");
}

/// Guards against a file that hosts cannot read and the check accepts, and against an unclear message.
#[parameterized(
    no_json = { "{", "EOF" },
    no_version = { r#"{"routes":[]}"#, "version" },
    route_without_service = { r#"{"version":1,"routes":[{"name":"a","host":"h","pathPrefix":"/"}]}"#, "service" },
    priority_too_large = { r#"{"version":1,"routes":[{"name":"a","host":"h","pathPrefix":"/","service":"s","priority":300}]}"#, "300" },
)]
fn a_file_that_hosts_cannot_read_is_refused(text: &str, reason: &str) {
    let (code, _, message) = check(text, None);
    assert_eq!(code, 2);
    assert!(message.contains(reason), "{message}");
}

/// Guards against a change that the operator does not see before it is in force.
#[test]
fn differences_are_listed() {
    let current = config(
        7,
        &[
            route("proofs", "a.example", "/proofs/"),
            route("merges", "a.example", "/merges/"),
        ],
    );
    let next = config(
        8,
        &[
            with("attempts", json!(2)),
            route("index", "a.example", "/index/"),
        ],
    );
    let (code, report, _) = check(&next.to_string(), Some(&current.to_string()));
    assert_eq!(code, 0);
    let change = |entry: &str, change: &str| json!({ "entry": entry, "change": change, "field": null, "before": null, "now": null });
    let expected = json!([
        change("queue index", "added"),
        change("queue merges", "removed"),
        { "entry": "queue proofs", "change": "changed", "field": "attempts", "before": "4", "now": "2" },
    ]);
    assert_eq!(report["differences"], expected);
    let (_, report, _) = check(&current.to_string(), Some(&next.to_string()));
    assert_eq!(report["differences"][0]["field"], "version");
    let (_, report, _) = check(&next.to_string(), Some(&next.to_string()));
    assert_eq!(report["differences"].as_array().map(Vec::len), Some(1));
}

/// Guards against a text that leaves out what the report has.
#[test]
fn findings_are_shown_as_text() {
    let path = temporary_path("json");
    fs::write(&path, config(3, &[with("host", json!("a:1"))]).to_string()).unwrap();
    let path = path.display().to_string();
    let output = jayfork(&[], &["configuration", "check", &path], b"");
    assert_eq!(output.status.code(), Some(2));
    let text = stdout(&output);
    assert!(
        text.starts_with("error: queue proofs: never matches"),
        "{text}"
    );
    assert!(
        text.ends_with("version 3: 1 errors, 0 warnings\n"),
        "{text}"
    );
}
