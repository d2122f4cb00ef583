//! Quarantine: failing workers, probes and poison jobs.

use jayfork::base::{Millis, Name, TaskId};
use jayfork::request::Quarantine;
use proptest::prelude::*;
use yare::parameterized;

fn task(job: &str) -> TaskId {
    TaskId::new("vltava", job, 0)
}

fn worker(name: &str) -> Name {
    name.into()
}

fn seconds(n: u64) -> Millis {
    Millis(n * 1_000)
}

fn quarantined_at(now: Millis) -> Quarantine {
    let mut quarantine = Quarantine::new();
    for job in ["a", "b", "c"] {
        quarantine.failed(now, &worker("w1"), &task(job));
    }
    quarantine
}

// Guards against a worker that stays usable although every task fails on it, and against one that
// is quarantined because of a single bad job or of failures with successes between them.
#[parameterized(
    three_jobs = { &["a", "b", "c"], false },
    two_jobs = { &["a", "b"], true },
    same_job = { &["a", "a", "a", "a"], true },
    success_between = { &["a", "b", "+", "c", "d"], true },
    three_after_success = { &["a", "+", "b", "c", "d"], false },
)]
fn consecutive_failures_quarantine_a_worker(events: &[&str], allowed: bool) {
    let mut quarantine = Quarantine::new();
    for event in events {
        match *event {
            "+" => quarantine.succeeded("w1", &task("good")),
            job => quarantine.failed(seconds(1), &worker("w1"), &task(job)),
        }
    }
    assert_eq!(quarantine.allows(seconds(1), "w1"), allowed);
    assert!(quarantine.allows(seconds(1), "w2"));
}

// Guards against a back-off that does not double, or that has no upper bound.
#[test]
fn backoff_doubles_up_to_half_an_hour() {
    let mut now = seconds(1);
    let mut quarantine = quarantined_at(now);
    for expected in [30, 60, 120, 240, 480, 960, 1_800, 1_800] {
        let end = now + seconds(expected);
        assert!(!quarantine.allows(Millis(end.0 - 1), "w1"), "{expected} s");
        assert!(quarantine.allows(end, "w1"), "{expected} s");
        now = end;
        quarantine.started(now, "w1");
        quarantine.failed(now, &worker("w1"), &task("probe"));
    }
}

// Guards against several starts at the same time on a worker that may still be faulty.
#[test]
fn one_probe_at_a_time() {
    let mut quarantine = quarantined_at(seconds(1));
    let now = seconds(31);
    assert!(quarantine.allows(now, "w1"));
    assert!(quarantine.allows(now, "w1"), "a question is not a probe");
    quarantine.started(now, "w1");
    assert!(!quarantine.allows(now, "w1"));
    quarantine.started(seconds(40), "w1");
    assert!(!quarantine.allows(seconds(90), "w1"));
    assert!(quarantine.allows(seconds(91), "w1"), "the probe got lost");
}

// Guards against a worker that stays quarantined after a successful probe, and against a next
// quarantine that does not begin with the shortest back-off.
#[test]
fn successful_probe_makes_the_worker_usable() {
    let mut quarantine = quarantined_at(seconds(1));
    quarantine.started(seconds(31), "w1");
    quarantine.failed(seconds(32), &worker("w1"), &task("d"));
    quarantine.started(seconds(92), "w1");
    quarantine.succeeded("w1", &task("e"));
    assert!(quarantine.allows(seconds(93), "w1"));
    for job in ["f", "g", "h"] {
        quarantine.failed(seconds(100), &worker("w1"), &task(job));
    }
    assert!(!quarantine.allows(seconds(129), "w1"));
    assert!(quarantine.allows(seconds(130), "w1"));
}

// Guards against a quarantine that is prolonged by failures of starts that were sent before it.
#[test]
fn late_failures_do_not_prolong_the_backoff() {
    let mut quarantine = quarantined_at(seconds(1));
    for job in ["d", "e", "f"] {
        quarantine.failed(seconds(20), &worker("w1"), &task(job));
    }
    assert!(quarantine.allows(seconds(31), "w1"));
}

// Guards against a job that can never run and quarantines one healthy worker after another.
#[test]
fn poison_job_does_not_count_against_workers() {
    let mut quarantine = Quarantine::new();
    let poison = task("poison");
    for name in ["w1", "w2", "w3"] {
        assert!(!quarantine.is_poison(&poison));
        quarantine.failed(seconds(1), &worker(name), &poison);
    }
    assert!(quarantine.is_poison(&poison));
    for name in ["w1", "w2", "w3", "w4"] {
        quarantine.failed(seconds(2), &worker(name), &task("a"));
        quarantine.failed(seconds(2), &worker(name), &task("b"));
        assert!(
            quarantine.allows(seconds(3), name),
            "{name}, failures before the job counted as poison"
        );
        quarantine.failed(seconds(2), &worker(name), &poison);
        assert!(
            quarantine.allows(seconds(3), name),
            "{name}, failure after the job counted as poison"
        );
    }
}

// Guards against a job that still counts as poison after it succeeded: its failures would not count
// against a faulty worker.
#[test]
fn success_clears_a_poison_job() {
    let mut quarantine = Quarantine::new();
    let job = task("a");
    for name in ["w1", "w2", "w3"] {
        quarantine.failed(seconds(1), &worker(name), &job);
    }
    quarantine.succeeded("w4", &job);
    assert!(!quarantine.is_poison(&job));
    for job in ["a", "b", "c"] {
        quarantine.failed(seconds(2), &worker("w5"), &task(job));
    }
    assert!(!quarantine.allows(seconds(3), "w5"));
}

// Guards against a longer back-off for a healthy worker because its probe was a poison job.
#[test]
fn poison_probe_is_repeated_immediately() {
    let mut quarantine = quarantined_at(seconds(1));
    let poison = task("poison");
    for name in ["w2", "w3", "w4"] {
        quarantine.failed(seconds(2), &worker(name), &poison);
    }
    quarantine.started(seconds(31), "w1");
    quarantine.failed(seconds(32), &worker("w1"), &poison);
    assert!(quarantine.allows(seconds(32), "w1"));
    quarantine.started(seconds(32), "w1");
    assert!(!quarantine.allows(seconds(33), "w1"));
}

// Guards against a good job that counts as poison because its tasks were probes on faulty workers.
#[test]
fn failed_probe_says_nothing_about_the_job() {
    let mut quarantine = Quarantine::new();
    let probe = task("probe");
    for name in ["w1", "w2", "w3"] {
        for job in ["a", "b", "c"] {
            let job = format!("{name}-{job}");
            quarantine.failed(seconds(1), &worker(name), &task(&job));
        }
        quarantine.started(seconds(31), name);
        quarantine.failed(seconds(31), &worker(name), &probe);
    }
    assert!(!quarantine.is_poison(&probe));
}

// Guards against a restarted worker that stays in quarantine for the failures of its earlier
// incarnation.
#[test]
fn forgotten_worker_is_usable() {
    let mut quarantine = quarantined_at(seconds(1));
    quarantine.forget("w1");
    assert!(quarantine.allows(seconds(1), "w1"));
}

proptest! {
    // Guards against any sequence of events that quarantines a worker for more than half an hour,
    // or that quarantines a worker without a failure.
    #[test]
    fn quarantine_is_bounded(events in prop::collection::vec((0..4u8, 0..3u8, 0..6u8, 0..60u64), 0..200)) {
        let mut quarantine = Quarantine::new();
        let mut now = seconds(1);
        let mut failed = [false; 3];
        for (kind, index, job, pause) in events {
            now = now + seconds(pause);
            let name = worker(&format!("w{index}"));
            let task = task(&format!("j{job}"));
            match kind {
                0 => quarantine.succeeded(&name, &task),
                1 => quarantine.started(now, &name),
                _ => {
                    failed[usize::from(index)] = true;
                    quarantine.failed(now, &name, &task);
                }
            }
            for (index, failed) in failed.iter().enumerate() {
                let name = format!("w{index}");
                prop_assert!(*failed || quarantine.allows(now, &name));
                prop_assert!(quarantine.allows(now + seconds(1_800), &name));
            }
        }
    }
}
