//! Detection of instances that other tasks on their worker slow down.

use jayfork::base::{Millis, Name};
use jayfork::request::InstanceLatencies;
use yare::parameterized;

fn observe(
    latencies: &mut InstanceLatencies,
    now: u64,
    instance: &str,
    service_time: u64,
    samples: u32,
) {
    let (service, instance): (Name, Name) = ("proofs".into(), instance.into());
    for _ in 0..samples {
        latencies.observe(Millis(now), &service, &instance, Millis(service_time));
    }
}

/// Guards against evictions because of noise, of too few samples or of outdated ones.
#[parameterized(
    twice_as_slow = { 100, 20, 1_000, true },
    within_noise_factor = { 70, 20, 1_000, false },
    few_samples = { 100, 9, 1_000, false },
    old_measurement = { 100, 20, 12_000, false },
)]
fn slow_instance(service_time: u64, samples: u32, now: u64, expected: bool) {
    let mut latencies = InstanceLatencies::new();
    for instance in ["i1", "i2", "i3"] {
        observe(&mut latencies, 0, instance, 40, 20);
    }
    observe(&mut latencies, 0, "i4", service_time, samples);
    let slow = latencies.slow_instances(Millis(now));
    assert_eq!(slow.contains(&Name::from("i4")), expected, "{slow:?}");
    assert!(!slow.contains(&Name::from("i1")));
}

/// Guards against evictions when the load of the service slows all its instances alike.
#[test]
fn a_slow_service_has_no_slow_instance() {
    let mut latencies = InstanceLatencies::new();
    for instance in ["i1", "i2", "i3"] {
        observe(&mut latencies, 0, instance, 40, 20);
        observe(&mut latencies, 500, instance, 400, 40);
    }
    assert!(latencies.slow_instances(Millis(1_000)).is_empty());
}
