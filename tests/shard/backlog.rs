//! Jobs that wait in a backlog.

use super::diagnostics::observed;
use super::pace::{best_effort, world_with_serving_tasks};

/// Guards against logs that don't tell why an accepted job has nothing running: which job, for how long, and what
/// each worker lacks for it.
#[test]
fn a_job_with_nothing_running_is_explained() {
    let (lines, _) = observed(|| {
        let mut world = world_with_serving_tasks(3_000, 0.85);
        world.submit(3, &best_effort(1, 12_000));
        world.run(8_000);
        world.assert_no_violations();
    });
    let is_wanted = |line: &&serde_json::Value| line["message"] == "job waits with nothing running";
    let line = lines.iter().find(is_wanted).expect("a line");
    assert_eq!(line["job"], "0000000000000003", "{line}");
    assert_eq!(
        (&line["steps"], &line["best_effort"]),
        (&1.into(), &1.into())
    );
    assert!(line["waited"].as_u64().expect("a time") >= 5_000, "{line}");
    let workers = line["workers"].as_str().expect("a text");
    assert!(workers.contains("excluded: 2"), "{line}");
    let usage = line["usage"].as_str().expect("a text");
    assert!(
        usage.contains("capacity: 32000, reserved: 8000, wanted: 0"),
        "{line}"
    );
}
