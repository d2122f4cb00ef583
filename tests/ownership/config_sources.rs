//! How configurations get to the hosts of a large cluster when those that deliver them fail or are slow.

use yare::parameterized;

use super::world::{DATA_CENTRES, HIGH_CAPACITY, LOW_CAPACITY, World};

/// Time in which an accepted configuration has to be in force on all hosts, in milliseconds.
const APPLY_TIME: u64 = 4_000;

/// A cluster with this many high-capacity hosts in each data centre; every second data centre is in the
/// region of the store.
fn cluster(hosts: usize, high_capacity: usize) -> Vec<(u32, u64)> {
    let host = |index| {
        let processor = match index < high_capacity * DATA_CENTRES {
            true => HIGH_CAPACITY,
            false => LOW_CAPACITY,
        };
        (processor, if index % 2 == 0 { 14 } else { 2 })
    };
    (0..hosts).map(host).collect()
}

/// Starts a cluster and waits until its hosts know each other.
fn settled_world(hosts: &[(u32, u64)]) -> World {
    let mut world = World::start(1, hosts);
    world.run(8_000);
    world.read_configs = 0;
    world
}

/// Guards against a host that the store refuses and that asks a dead host for the configuration for good.
#[test]
fn hosts_that_the_store_refuses_ask_another_source_once_one_is_dead() {
    let mut world = settled_world(&cluster(147, 3));
    let refused = (0..147).filter(|index| index % DATA_CENTRES == 0 && ![0, 12].contains(index));
    world.refused_hosts = refused.collect();
    world.run(2_000);
    world.hosts[0] = None;
    world.publish(2);
    world.run(12_000);
    assert_eq!(world.config_versions(), [2]);
}

/// Guards against hosts that wait for a source which was killed just before a change.
#[parameterized(
    first = { 0 },
    second = { 1 },
    third = { 2 },
    fourth = { 3 },
    fifth = { 4 },
    sixth = { 5 },
)]
fn a_killed_source_does_not_delay_a_configuration_beyond_its_time(dead: usize) {
    let mut world = settled_world(&cluster(39, 2));
    world.transfer_times[12..].fill(500);
    world.hosts[dead] = None;
    world.publish(2);
    world.run(APPLY_TIME);
    assert_eq!(world.config_versions(), [2]);
}

/// Guards against a source with a slow link of its own, whose transfers kept other hosts from all other ways.
#[test]
fn a_slow_source_does_not_hold_up_a_configuration() {
    let mut world = settled_world(&cluster(147, 3));
    world.slow_senders = (0..DATA_CENTRES).collect();
    world.publish(2);
    world.run(6_000);
    assert_eq!(world.config_versions(), [2]);
}

/// Guards against data centres in which all hosts read the store because the first four have been
/// replaced and are still known.
#[parameterized(
    two = { 2 },
    four = { 4 },
)]
fn a_few_hosts_read_the_configuration_after_the_first_ones_are_gone(gone: usize) {
    let hosts = cluster(147, 3);
    let mut world = settled_world(&hosts);
    for centre in 0..DATA_CENTRES {
        let members = (0..hosts.len()).filter(|index| index % DATA_CENTRES == centre);
        let mut members: Vec<usize> = members.collect();
        members.sort_by_key(|index| {
            let processor = hosts[*index].0;
            (std::cmp::Reverse(processor), format!("host-{index}"))
        });
        for index in members.into_iter().take(gone) {
            world.hosts[index] = None;
        }
    }
    world.run(20_000);
    world.read_configs = 0;
    world.publish(2);
    world.run(6_000);
    assert_eq!(world.config_versions(), [2]);
    assert!(
        world.read_configs <= 4 * DATA_CENTRES,
        "{}",
        world.read_configs
    );
}

/// Guards against hosts that all read the store after a common restart while their sources are still
/// getting a large configuration.
#[test]
fn hosts_that_restart_together_read_a_large_configuration_a_few_times() {
    let hosts = cluster(147, 3);
    let mut world = settled_world(&hosts);
    world.hosts.iter_mut().for_each(|host| *host = None);
    world.run(1_000);
    world.read_configs = 0;
    world.transfer_times.fill(2_000);
    for (index, (processor, _)) in hosts.iter().enumerate() {
        world.boot(index, *processor);
    }
    world.run(9_000);
    assert_eq!(world.config_versions(), [1]);
    assert!(
        world.read_configs <= 4 * DATA_CENTRES,
        "{}",
        world.read_configs
    );
}

/// Guards against hosts that go through all versions of a quick succession, of which one read of the store
/// returns one.
#[parameterized(
    one_a_read = { 1, 300 },
    two_a_read = { 2, 300 },
    large = { 1, 1_000 },
)]
fn the_newest_of_many_configurations_is_soon_in_force(max_read: usize, transfer_time: u64) {
    let mut world = settled_world(&cluster(39, 2));
    world.max_read = max_read;
    world.transfer_times.fill(transfer_time);
    for version in 2..14 {
        world.publish(version);
        world.run(330);
    }
    // The last transfer of an older version may just have begun, to a source and then to its hosts.
    world.run(APPLY_TIME + 2 * transfer_time);
    assert_eq!(world.config_versions(), [13]);
}
