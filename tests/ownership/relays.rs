//! Orders to workers that the owner of a large cluster sends through other hosts.

use std::collections::BTreeSet;

use jayfork::base::Name;
use jayfork::connection::CallError;
use yare::parameterized;

use super::world::{DATA_CENTRES, HIGH_CAPACITY, LEASE, LOW_CAPACITY, Loss, Lost, World};

const HOSTS: usize = 60;
const HIGH_CAPACITY_HOSTS: usize = 18;
/// Registered workers, spread over the data centres.
const WORKERS: usize = 60;
/// Most hosts that send the orders to the workers of one data centre.
const MAX_RELAYS: usize = 2;

/// A cluster with workers that answer, some seconds after its start.
fn cluster(hosts: usize, high_capacity: usize) -> World {
    let processors = (0..hosts).map(|index| match index < high_capacity {
        true => (HIGH_CAPACITY, 2),
        false => (LOW_CAPACITY, 2),
    });
    let processors: Vec<(u32, u64)> = processors.collect();
    let mut world = World::start(1, &processors);
    for index in 0..WORKERS {
        let centre = index % DATA_CENTRES;
        let entry = format!(
            r#"{{"service":"s","address":"10.0.1.1:{}","zone":"centre-{centre}","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"seq":1,"capacity":{{"cpu":8000,"memMb":8000}},"labels":["a","r"]}}"#,
            index + 1
        );
        world.register(&worker(index), &entry);
        world.answering_workers.insert(worker(index).into());
    }
    world.run(9_000);
    world.sent_orders.clear();
    world
}

fn worker(index: usize) -> String {
    format!("i-{index}")
}

fn owner(world: &World) -> usize {
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    owners[0]
}

/// Hosts that have sent orders to workers of a data centre.
fn senders(world: &World, centre: usize) -> BTreeSet<usize> {
    let workers: BTreeSet<Name> = (0..WORKERS)
        .filter(|index| index % DATA_CENTRES == centre)
        .map(|index| worker(index).into())
        .collect();
    let orders = world.sent_orders.iter();
    let orders = orders.filter(|order| workers.contains(&order.worker));
    orders.map(|order| order.host).collect()
}

/// Longest time between two renewals of one worker's leases since `from`, in milliseconds.
fn longest_gap(world: &World, from: u64) -> u64 {
    let mut longest = 0;
    for index in 0..WORKERS {
        let name: Name = worker(index).into();
        let mut last = from;
        for order in world
            .sent_orders
            .iter()
            .filter(|order| order.worker == name && order.renews)
        {
            longest = longest.max(order.at - last);
            last = order.at;
        }
        longest = longest.max(world.now - last);
    }
    longest
}

/// Guards against an owner that makes all calls to workers itself: with a thousand workers they used
/// up its processor.
#[test]
fn orders_go_through_large_hosts_of_the_data_centre() {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let owner = owner(&world);
    let begin = world.now;
    world.run(4_000);
    for centre in 0..DATA_CENTRES {
        let senders = senders(&world, centre);
        assert!(!senders.is_empty());
        assert!(senders.len() <= MAX_RELAYS, "{senders:?}");
        assert!(!senders.contains(&owner), "{owner} in {senders:?}");
        for sender in senders {
            assert!(sender < HIGH_CAPACITY_HOSTS, "{sender}");
            assert_eq!(sender % DATA_CENTRES, centre);
        }
    }
    assert!(longest_gap(&world, begin) < LEASE / 2);
}

/// Guards against a detour where one host can make all calls, and where no large host is left.
#[parameterized(
    few_hosts = { 12, 12 },
    one_large_host = { 60, 1 },
)]
fn orders_go_directly_without_relays(hosts: usize, high_capacity: usize) {
    let mut world = cluster(hosts, high_capacity);
    let owner = owner(&world);
    world.run(4_000);
    let senders: BTreeSet<usize> = world.sent_orders.iter().map(|order| order.host).collect();
    assert_eq!(senders, BTreeSet::from([owner]));
}

/// What happens to a relay.
#[derive(Clone, Copy)]
enum Fault {
    Killed,
    Frozen,
    CutOff,
}

/// Guards against leases that expire because the host that renews them is lost.
#[parameterized(
    killed = { Fault::Killed },
    frozen = { Fault::Frozen },
    cut_off = { Fault::CutOff },
)]
fn workers_of_a_lost_relay_get_orders_through_another(fault: Fault) {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let owner = owner(&world);
    world.run(2_000);
    let begin = world.now;
    let relays = senders(&world, 1);
    let relay = *relays.first().expect("a relay");
    match fault {
        Fault::Killed => world.hosts[relay] = None,
        Fault::Frozen => world.frozen_hosts.push(relay),
        Fault::CutOff => world.cut_hosts.push(relay),
    }
    world.sent_orders.clear();
    world.run(2_000);
    world.sent_orders.retain(|order| order.host != relay);
    assert!(
        longest_gap(&world, begin) <= 2_000,
        "{}",
        longest_gap(&world, begin)
    );
    world.sent_orders.clear();
    let begin = world.now;
    world.run(3_000);
    world.frozen_hosts.clear();
    world.cut_hosts.clear();
    world.run(3_000);
    assert!(
        longest_gap(&world, begin) < LEASE / 2,
        "{}",
        longest_gap(&world, begin)
    );
    assert_eq!(world.owners(), [owner]);
}

/// Guards against leases that expire because a relay that answers the owner does not reach the workers.
#[parameterized(
    without_answers = { CallError::NoAnswer },
    without_connections = { CallError::NotSent },
)]
fn a_relay_that_reaches_no_worker_is_passed_by(error: CallError) {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    world.run(2_000);
    let relays = senders(&world, 1);
    let relay = *relays.first().expect("a relay");
    world.cut_from_workers.insert(relay, error);
    world.sent_orders.clear();
    let begin = world.now;
    world.run(25_000);
    world.sent_orders.retain(|order| order.host != relay);
    assert!(
        longest_gap(&world, begin) < LEASE,
        "{}",
        longest_gap(&world, begin)
    );
}

/// Guards against orders that count as unanswered, and a relay that gets no more of them, because the
/// connection broke before a batch or after the relay had made the calls.
#[parameterized(
    some_replies = { Lost::Reply, 10 },
    many_replies = { Lost::Reply, 3 },
    some_batches = { Lost::Batch, 10 },
    many_batches = { Lost::Batch, 3 },
)]
fn a_broken_connection_does_not_end_the_session(of: Lost, interval: usize) {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let owner = owner(&world);
    world.run(4_000);
    let relays = |world: &World| {
        (0..DATA_CENTRES)
            .map(|centre| senders(world, centre))
            .collect()
    };
    let before: Vec<BTreeSet<usize>> = relays(&world);
    world.sent_orders.clear();
    let begin = world.now;
    world.loss = Some(Loss { of, interval });
    world.run(6_000);
    let during: Vec<BTreeSet<usize>> = relays(&world);
    // The next order to a worker after one that was not sent takes another way.
    let is_direct = during.iter().any(|senders| senders.contains(&owner));
    assert!(!is_direct || of == Lost::Batch, "{during:?}");
    assert!(
        longest_gap(&world, begin) < LEASE / 2,
        "{}",
        longest_gap(&world, begin)
    );
    world.loss = None;
    // So long the orders take it.
    world.run(11_000);
    world.sent_orders.clear();
    world.run(4_000);
    // The next session would be with another host, as long as the failed one gets no orders.
    assert_eq!(relays(&world), before);
}

/// Guards against a reply that ends the owner's process, or the work of the other relays: one that cannot
/// be read, or that says what no relay would.
#[test]
fn an_owner_survives_odd_replies() {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let of = Lost::Bytes;
    world.loss = Some(Loss { of, interval: 2 });
    world.run(30_000);
    world.loss = None;
    world.run(16_000);
    let begin = world.now;
    world.sent_orders.clear();
    world.run(6_000);
    assert_eq!(world.owners().len(), 1);
    assert!(
        longest_gap(&world, begin) < LEASE / 2,
        "{}",
        longest_gap(&world, begin)
    );
}

/// Guards against orders that are lost again and again while hosts of an earlier version, which do not
/// know these calls, run beside newer ones.
#[test]
fn hosts_that_cannot_relay_get_no_orders() {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let owner = owner(&world);
    world.old_hosts = (0..HOSTS)
        .filter(|index| index % DATA_CENTRES == 2)
        .collect();
    world.run(2_000);
    world.sent_orders.clear();
    let begin = world.now;
    world.run(6_000);
    assert_eq!(senders(&world, 2), BTreeSet::from([owner]));
    assert!(
        longest_gap(&world, begin) < LEASE / 2,
        "{}",
        longest_gap(&world, begin)
    );
}

/// Guards against an owner that makes all calls itself while hosts of an earlier version, which know no
/// numbered batches, run beside newer ones.
#[test]
fn hosts_without_numbered_batches_relay() {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let owner = owner(&world);
    world.unnumbered_hosts = (0..HOSTS)
        .filter(|index| index % DATA_CENTRES == 2)
        .collect();
    // After a call without an answer, a worker's orders take another way for 10 s.
    world.run(16_000);
    world.sent_orders.clear();
    let begin = world.now;
    world.run(4_000);
    let senders = senders(&world, 2);
    assert!(!senders.contains(&owner), "{senders:?}");
    assert!(
        longest_gap(&world, begin) < LEASE / 2,
        "{}",
        longest_gap(&world, begin)
    );
}

/// Guards against two hosts that both give orders around a change of the owner.
#[test]
fn relays_serve_the_next_owner() {
    let mut world = cluster(HOSTS, HIGH_CAPACITY_HOSTS);
    let first = owner(&world);
    world.hosts[first] = None;
    world.run(6_000);
    let second = owner(&world);
    assert_ne!(first, second);
    world.sent_orders.clear();
    let begin = world.now;
    world.run(4_000);
    for centre in 0..DATA_CENTRES {
        assert!(!senders(&world, centre).contains(&second));
    }
    assert!(longest_gap(&world, begin) < LEASE / 2);
}
