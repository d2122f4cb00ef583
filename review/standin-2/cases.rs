//! The cases: what is submitted, the disruption, and the check of the rule.

use std::time::Duration;

use crate::record::{Event, What};
use crate::system::{Setup, System, publish_config};
use crate::workers::Kind;

pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

pub struct Case {
    pub setup: Setup,
    pub run: fn(&System, bool) -> Verdict,
}

fn kind(cpu: u64, label: &str) -> Kind {
    Kind { cpu, label: label.to_owned() }
}

pub fn find(name: &str) -> Option<Case> {
    let setup = |minions, cpu, attempts| Setup { hosts: 3, minions, kind: kind(cpu, "a"), attempts };
    match name {
        "gang" => Some(Case { setup: setup(10, 4_000, 3), run: gang }),
        "route" => Some(Case { setup: setup(10, 4_000, 3), run: route }),
        "waiting" => Some(Case { setup: setup(10, 4_000, 3), run: waiting }),
        "kind" => Some(Case { setup: setup(10, 6_000, 3), run: kind_changes }),
        _ => None,
    }
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn events(system: &System) -> Vec<Event> {
    system.record.events.lock().unwrap().clone()
}

/// A gang that saves its progress loses a member with its minion and starts again.
fn gang(system: &System, has_trouble: bool) -> Verdict {
    const JOB: &str = "3a0e7a21d94b36f1";
    let steps = r#"[{"count":4,"cpu":3000,"memMb":1024,"estRuntimeMs":12000,"gang":true,"checkpointing":true}]"#;
    if !system.submit(JOB, r#"{"ms":12000,"cpu":3000,"gang":4,"saves":true}"#, steps) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if !system.wait(Duration::from_secs(10), |system| system.running(JOB) == 4) {
        return Verdict::NotRun("the job's tasks did not start".to_owned());
    }
    sleep(5_000);
    let mut calm_from = system.record.now();
    if has_trouble {
        let member = format!("{JOB}.0.0.2");
        let Some(minion) = system.fleet.minions.iter().find(|minion| minion.runs_task(&member)) else {
            return Verdict::NotRun("no minion runs the member".to_owned());
        };
        system.record.line(&format!("minion {} crashes", minion.id));
        minion.crash();
        sleep(1_000);
        system.fleet.start(minion, kind(4_000, "a"));
        // A machine is in touch and the surroundings are calm `contactMs` after a disruption.
        calm_from = system.record.now() + 4_000;
    }
    let mut shown = String::new();
    for _ in 0..40 {
        sleep(1_000);
        shown = system.state(JOB);
        if shown == "completed" || shown == "failed" {
            break;
        }
    }
    let events = events(system);
    // Only runs that also began in calm count.
    let began = |run: u64| {
        let starts = events.iter().filter(|event| event.run == run && matches!(event.what, What::Started { .. }));
        starts.map(|event| event.at).min().unwrap_or(0)
    };
    let alone = events.iter().filter(|event| event.what == What::Ended { how: "alone" });
    let counted = alone.filter(|event| event.at >= calm_from && began(event.run) >= calm_from).count();
    let mut values: Vec<&str> = Vec::new();
    let last = events.iter().map(|event| event.run).max().unwrap_or(0);
    for event in events.iter().filter(|event| event.run == last) {
        if let What::Started { checkpoint, .. } = &event.what {
            values.push(checkpoint.as_deref().unwrap_or("none"));
        }
    }
    let text = format!("{counted} runs that began in calm ended alone; the job is shown as {shown}; checkpoints of the last run: {values:?}");
    match counted {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A minion crashes while the store is down and comes back under its id with less capacity; tasks wait all the while.
fn kind_changes(system: &System, has_trouble: bool) -> Verdict {
    for index in 0..12 {
        let id = format!("7b0e7a21d94b36{index:02x}");
        let steps = r#"[{"count":60,"cpu":1000,"memMb":256,"estRuntimeMs":1500}]"#;
        system.submit(&id, r#"{"ms":1500,"cpu":1000}"#, steps);
    }
    sleep(1_000);
    if has_trouble {
        let minion = &system.fleet.minions[0];
        system.record.line("the store is down");
        system.store.set_down(true);
        sleep(300);
        system.record.line(&format!("minion {} crashes", minion.id));
        minion.crash();
        sleep(1_000);
        system.fleet.start(minion, kind(4_000, "a"));
        sleep(3_200);
        system.store.set_down(false);
        system.record.line("the store is back");
    }
    sleep(2_000);
    let events = events(system);
    let over: Vec<String> = events
        .iter()
        .filter_map(|event| match &event.what {
            What::Started { used, cpu, .. } if used > cpu => {
                Some(format!("{} on {} at {}: {used} of {cpu}", event.task, event.minion, event.at))
            }
            _ => None,
        })
        .collect();
    let starts = events.iter().filter(|event| matches!(event.what, What::Started { .. })).count();
    let text = format!("{} of {starts} starts brought a minion over its capacity; the first: {:?}", over.len(), over.first());
    match over.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}

/// The only minion with room refuses all starts, as an unhealthy one does, while two jobs wait.
fn waiting(system: &System, has_trouble: bool) -> Verdict {
    const BLOCKER: &str = "1a0e7a21d94b36b0";
    let steps = r#"[{"count":9,"cpu":4000,"memMb":6400,"estRuntimeMs":500,"longRunning":true,"image":"index-1"}]"#;
    if !system.submit(BLOCKER, r#"{"lasts":true,"cpu":4000}"#, steps) {
        return Verdict::NotRun("the first job was not accepted".to_owned());
    }
    if !system.wait(Duration::from_secs(10), |system| system.running(BLOCKER) == 9) {
        return Verdict::NotRun("the first job's tasks did not start".to_owned());
    }
    sleep(2_000);
    let free = system.fleet.minions.iter().find(|minion| minion.is_idle());
    let Some(free) = free else {
        return Verdict::NotRun("no minion is free".to_owned());
    };
    if has_trouble {
        system.record.line(&format!("minion {} answers 503 to all starts", free.id));
        free.set_refusing(true);
    }
    let jobs = ["4c0e7a21d94b36d1", "4c0e7a21d94b36d2"];
    for job in jobs {
        if !system.submit(job, r#"{"ms":1000,"cpu":1000}"#, r#"[{"count":1,"cpu":1000,"memMb":256,"estRuntimeMs":1000}]"#) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
    }
    sleep(5_500);
    let begun = |job: &&&str| {
        let is_start = |event: &Event| event.task.starts_with(**job) && matches!(event.what, What::Started { .. });
        events(system).iter().any(is_start)
    };
    let before = jobs.iter().filter(|job| !begun(job)).count() as u64;
    let shown = match system.send("GET", "", "", 3) {
        Some((200, body)) => crate::json::Json::parse(&body).and_then(|json| json.num("waiting")),
        _ => None,
    };
    let after = jobs.iter().filter(|job| !begun(job)).count() as u64;
    free.set_refusing(false);
    let Some(shown) = shown else {
        return Verdict::NotRun("the queue gave no number".to_owned());
    };
    let truth = before.min(after);
    let text = format!("`waiting` is {shown}, and {truth} jobs that were accepted over 5 s before had not begun");
    match shown * 2 < truth {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// A version of the configuration takes a route away and adds one with the same host, path and service under
/// another name, while a job of it runs.
fn route(system: &System, has_trouble: bool) -> Verdict {
    const JOB: &str = "0d0e7a21d94b36a6";
    let steps = r#"[{"count":4,"cpu":1000,"memMb":256,"estRuntimeMs":4000},{"count":4,"cpu":1000,"memMb":256,"estRuntimeMs":4000,"dependsOn":[0]}]"#;
    if !system.submit(JOB, r#"{"ms":4000,"cpu":1000}"#, steps) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if !system.wait(Duration::from_secs(10), |system| system.running(JOB) == 4) {
        return Verdict::NotRun("the job's tasks did not start".to_owned());
    }
    sleep(1_000);
    if has_trouble {
        system.record.line("the configuration changes");
        publish_config(&system.store, 9, "r-73d3zji", 3);
    }
    sleep(20_000);
    let shown = system.state(JOB);
    let events = events(system);
    let done = events.iter().filter(|event| event.what == What::Ended { how: "done" }).count();
    let text = format!("the job is shown as {shown}; {done} of its 8 tasks have run");
    match shown.as_str() {
        "410" => Verdict::Broken(text),
        _ => Verdict::Held(text),
    }
}
