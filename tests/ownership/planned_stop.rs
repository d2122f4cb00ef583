//! An owner that is asked to stop.

use jayfork::process::host::HostEvent;

use super::world::{HIGH_CAPACITY, World};

const WORKER: &str = "i-0";

/// A small cluster with one worker, and its owner.
pub fn cluster() -> (World, usize) {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2); 3]);
    let entry = r#"{"service":"s","address":"10.0.1.1:1","zone":"centre-0","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"seq":1,"capacity":{"cpu":8000,"memMb":8000},"labels":["a","r"]}"#;
    world.register(WORKER, entry);
    world.answering_workers.insert(WORKER.into());
    world.run(6_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    (world, owners[0])
}

/// Renewals of leases that a host has sent, by time.
pub fn renewals(world: &World, host: usize) -> Vec<u64> {
    let orders = world.sent_orders.iter();
    let renewals = orders.filter(|order| order.host == host && order.renews);
    renewals.map(|order| order.at).collect()
}

/// Guards against two owners that both grant leases around a planned stop, and against workers that get none
/// after it.
#[test]
fn a_stopping_owner_grants_no_leases_once_the_next_one_does() {
    let (mut world, first) = cluster();
    let stopped = world.now;
    world.event(first, HostEvent::Terminate);
    world.run(3_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert_ne!(owners[0], first);
    let next = renewals(&world, owners[0]);
    let begin = *next.first().expect("a renewal by the next owner");
    assert!(begin < stopped + 1_000, "{}", begin - stopped);
    assert!(renewals(&world, first).iter().all(|at| *at < begin));
    let keys = world.journal_keys();
    assert!(!keys.contains(&"resignation".to_owned()), "{keys:?}");
}

/// Guards against leases that expire while a stopping owner finds no host that takes over.
#[test]
fn a_stopping_owner_without_a_successor_grants_leases_again() {
    let (mut world, first) = cluster();
    for index in (0..3).filter(|index| *index != first) {
        world.hosts[index] = None;
    }
    let stopped = world.now;
    world.event(first, HostEvent::Terminate);
    world.run(5_000);
    let later = renewals(&world, first);
    assert!(later.iter().any(|at| *at > stopped + 3_000), "{later:?}");
}
