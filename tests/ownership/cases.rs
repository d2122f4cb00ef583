//! Who owns the shard, in clusters of a few hosts.

use jayfork::process::host::{
    HostAction, HostEvent, HostRecord, KnownOwner, PeerCall, PeerReply, Presence,
};
use yare::parameterized;

use super::world::{HIGH_CAPACITY, LOW_CAPACITY, STEP, World, address};

/// Three high-capacity hosts, then six low-capacity ones, two of them closest to the store.
fn mixed_hosts() -> Vec<(u32, u64)> {
    let high_capacity = [(HIGH_CAPACITY, 2), (HIGH_CAPACITY, 14), (HIGH_CAPACITY, 14)];
    let low_capacity = [1, 1, 2, 14, 14, 14].map(|store_delay| (LOW_CAPACITY, store_delay));
    high_capacity.into_iter().chain(low_capacity).collect()
}

/// Guards against a low-capacity host that claims the shard at a cold start, because only a few
/// other hosts have answered by then. Its processor would not keep up.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
    fourth = { 4 },
    fifth = { 5 },
    sixth = { 6 },
)]
fn a_cold_start_ends_with_one_high_capacity_owner(seed: u64) {
    let mut world = World::start(seed, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert!(owners[0] < 3, "{owners:?}");
    let claim_count = world.claim_count;
    world.run(20_000);
    assert_eq!((world.owners(), world.claim_count), (owners, claim_count));
}

/// Guards against a shard that has no owner while only low-capacity hosts are left, and against one
/// that stays with a low-capacity host after a high-capacity one has returned.
#[test]
fn low_capacity_hosts_own_the_shard_until_a_high_capacity_one_returns() {
    let mut world = World::start(1, &mixed_hosts());
    world.run(3_000);
    for index in 0..3 {
        world.hosts[index] = None;
    }
    world.run(4_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert!(owners[0] >= 3);
    world.boot(1, HIGH_CAPACITY);
    world.run(4_000);
    assert_eq!(world.owners(), [1]);
}

/// Guards against a shard that stays without an owner after the owner's process was killed.
#[parameterized(
    even = { &[(100, 2); 6] },
    high_capacity_first = { &[
        (HIGH_CAPACITY, 2),
        (HIGH_CAPACITY, 14),
        (LOW_CAPACITY, 1),
        (LOW_CAPACITY, 2),
    ] },
)]
fn a_killed_owner_is_replaced(hosts: &[(u32, u64)]) {
    let mut world = World::start(2, hosts);
    world.run(4_000);
    let first = world.owners();
    assert_eq!(first.len(), 1, "{first:?}");
    world.hosts[first[0]] = None;
    world.run(2_500);
    let second = world.owners();
    assert_eq!(second.len(), 1, "{second:?}");
    assert_ne!(first, second);
}

/// Guards against an owner that gives up the shard while the store fails for all hosts. No host
/// could claim it, so leases would expire and accepted jobs would wait.
#[parameterized(
    short = { 1_200 },
    long = { 6_000 },
)]
fn the_owner_stays_while_the_store_refuses_all(outage: u64) {
    let mut world = World::start(3, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    world.refused_hosts = (0..world.hosts.len()).collect();
    for _ in 0..outage / 100 {
        world.run(100);
        assert_eq!(world.owners(), owners);
    }
    world.refused_hosts.clear();
    world.run(2_000);
    assert_eq!(world.owners(), owners);
}

/// Guards against an owner that hands over at the end of an outage for all hosts, because another
/// host was answered first. Its own calls were still waiting for their timeouts.
#[parameterized(
    first = { 1, 4_200 },
    second = { 2, 4_200 },
    third = { 3, 4_200 },
    short = { 1, 2_300 },
    long = { 1, 7_900 },
)]
fn the_owner_stays_after_a_silent_outage_of_the_store(seed: u64, outage: u64) {
    let mut world = World::start(seed, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    let claim_count = world.claim_count;
    world.silent_hosts = (0..world.hosts.len()).collect();
    world.run(outage);
    world.silent_hosts.clear();
    world.run(4_000);
    assert_eq!((world.owners(), world.claim_count), (owners, claim_count));
}

/// Guards against an owner that keeps the shard while the store ignores only its calls.
#[test]
fn an_owner_that_the_store_ignores_hands_over() {
    let mut world = World::start(3, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    world.silent_hosts.clone_from(&owners);
    world.run(4_500);
    let successors = world.owners();
    assert_eq!(successors.len(), 1, "{successors:?}");
    assert_ne!(successors, owners);
    assert!(successors[0] < 3);
}

/// Guards against an owner that keeps the shard while the store refuses only its calls. No job
/// could be accepted in that time.
#[test]
fn an_owner_that_the_store_refuses_hands_over() {
    let mut world = World::start(3, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    world.refused_hosts.clone_from(&owners);
    world.run(2_500);
    let successors = world.owners();
    assert_eq!(successors.len(), 1, "{successors:?}");
    assert_ne!(successors, owners);
}

/// Guards against an owner that hands over the shard and claims it again as soon as the store answers it, since
/// it has not heard of the next owner yet. Each claim begins the wait for silent workers anew.
#[parameterized(
    for_700_ms = { 700 },
    for_900_ms = { 900 },
    for_1100_ms = { 1_100 },
    for_1500_ms = { 1_500 },
    for_2500_ms = { 2_500 },
)]
fn an_owner_that_has_handed_over_leaves_the_shard_to_the_next_one(outage: u64) {
    for seed in 1..=10 {
        let mut world = World::start(seed, &mixed_hosts());
        world.run(4_000);
        let owners = world.owners();
        let claim_count = world.claim_count;
        world.refused_hosts.clone_from(&owners);
        world.run(outage);
        world.refused_hosts.clear();
        world.run(4_000);
        let successors = world.owners();
        assert_eq!(successors.len(), 1, "seed {seed}: {successors:?}");
        let claims = world.claim_count - claim_count;
        assert_eq!(
            claims,
            usize::from(successors != owners),
            "seed {seed}: {successors:?}"
        );
    }
}

/// Guards against a host that has asked all others while the next owner's claim was being stored, and claims the shard
/// right after it: nobody has told it of that claim.
#[parameterized(
    near_store = { 50 },
    farther_store = { 70 },
    far_store = { 120 },
)]
fn only_one_host_claims_the_shard_after_a_hand_over(delay: u64) {
    let large = [2, delay, delay].map(|store_delay| (HIGH_CAPACITY, store_delay));
    let small = [1, 1, delay].map(|store_delay| (LOW_CAPACITY, store_delay));
    let hosts: Vec<(u32, u64)> = large.into_iter().chain(small).collect();
    for (outage, seed) in [900, 1_100, 1_500]
        .into_iter()
        .flat_map(|outage| (1..=40).map(move |seed| (outage, seed)))
    {
        let mut world = World::start(seed, &hosts);
        world.run(5_000);
        let owners = world.owners();
        let claim_count = world.claim_count;
        world.refused_hosts.clone_from(&owners);
        world.run(outage);
        world.refused_hosts.clear();
        world.run(4_000);
        let claims = world.claim_count - claim_count;
        let has_changed = world.owners() != owners;
        assert_eq!(
            claims,
            usize::from(has_changed),
            "seed {seed}, outage of {outage} ms"
        );
    }
}

/// Guards against a live owner that is replaced because it is too busy to answer hellos. Its work went
/// on, and the new owner had to recover all of it under the same load.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
)]
fn a_busy_owner_that_appends_keeps_the_shard(seed: u64) {
    let mut world = World::start(seed, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    let claim_count = world.claim_count;
    world.cut_hosts.clone_from(&owners);
    world.run(2_400);
    world.cut_hosts.clear();
    world.run(4_000);
    assert_eq!((world.owners(), world.claim_count), (owners, claim_count));
}

/// Guards against a shard whose owner reaches the store but no other host, so that no request of a
/// client gets to it.
#[test]
fn an_owner_that_is_cut_off_from_the_hosts_is_replaced() {
    let mut world = World::start(3, &mixed_hosts());
    world.run(4_000);
    let owners = world.owners();
    world.cut_hosts.clone_from(&owners);
    world.run(5_000);
    let successors = world.owners();
    assert_eq!(successors.len(), 1, "{successors:?}");
    assert_ne!(successors, owners);
}

/// State of a peer that last heard from the owner, a third host, `age` milliseconds ago.
fn peer_presence(age: u64) -> Presence {
    let record = |name: &str, index| HostRecord {
        name: name.into(),
        boot: 1,
        control: address(index),
        data_centre: "east".into(),
        region: "east".into(),
        processor: HIGH_CAPACITY,
    };
    Presence {
        host: record("peer", 1),
        config: 1,
        owner: Some(KnownOwner {
            host: "owner".into(),
            boot: 1,
            epoch: 1 << 16,
            age,
        }),
        store_age: None,
        store_time: 4,
        is_stopping: false,
    }
}

/// Age of the owner that the first host reports in its reply to a hello of `caller`.
fn reported_age(world: &mut World, caller: Presence) -> Option<u64> {
    let time = world.time();
    let mut out = Vec::new();
    let call = PeerCall::Hello {
        presence: caller,
        wants_config: false,
    };
    let host = world.hosts[0].as_mut().expect("a host");
    host.handle(time, HostEvent::Peer(1, call), &mut out);
    out.into_iter().find_map(|action| match action {
        HostAction::PeerReply(1, PeerReply::Hello { presence, .. }) => {
            presence.owner.map(|owner| owner.age)
        }
        _ => None,
    })
}

/// Guards against an owner that is gone but counts as alive, because slow hosts report it to each
/// other. They passed on its age without the time that the report was on its way, so the age did
/// not grow and no host claimed the shard for 8 s.
#[test]
fn the_reported_age_of_an_owner_includes_the_time_in_transit() {
    const DELAY: u64 = 300;
    const AGE: u64 = 400;
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2)]);
    let caller = Presence {
        owner: None,
        ..peer_presence(0)
    };
    assert_eq!(reported_age(&mut world, caller.clone()), None);
    let mut calls: Vec<u64> = Vec::new();
    while calls.is_empty() {
        world.now += STEP;
        let time = world.time();
        let mut out = Vec::new();
        let host = world.hosts[0].as_mut().expect("a host");
        host.poll(time, &mut out);
        calls.extend(out.iter().filter_map(|action| match action {
            HostAction::PeerCall {
                call, address: to, ..
            } if *to == address(1) => Some(*call),
            _ => None,
        }));
    }
    world.now += DELAY;
    for call in calls {
        let reply = PeerReply::Hello {
            presence: Box::new(peer_presence(AGE)),
            config: None,
            hosts: Vec::new(),
        };
        world.event(0, HostEvent::PeerAnswer(call, Ok(reply)));
    }
    assert_eq!(reported_age(&mut world, caller), Some(AGE + DELAY));
}

/// Guards against the same fault through hellos that answer none, whose time in transit is unknown.
#[test]
fn an_unrequested_report_of_another_owner_is_ignored() {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2)]);
    assert_eq!(reported_age(&mut world, peer_presence(400)), None);
}

/// Guards against an address from before a restart that replaces the present one, because a third host
/// still names it: the host's messages went to an address that it had left.
#[test]
fn an_old_record_does_not_replace_that_of_a_live_host() {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2)]);
    reported_age(&mut world, peer_presence(0));
    let old = HostRecord {
        boot: 7,
        control: address(2),
        ..peer_presence(0).host
    };
    let mut called = Vec::new();
    for _ in 0..600 {
        world.now += STEP;
        let time = world.time();
        let mut out = Vec::new();
        let host = world.hosts[0].as_mut().expect("a host");
        host.poll(time, &mut out);
        for action in out {
            let HostAction::PeerCall { call, address, .. } = action else {
                continue;
            };
            called.push(address);
            let reply = PeerReply::Hello {
                presence: Box::new(peer_presence(0)),
                config: None,
                hosts: vec![old.clone()],
            };
            world.event(0, HostEvent::PeerAnswer(call, Ok(reply)));
        }
    }
    assert!(called.contains(&address(1)), "{called:?}");
    assert!(!called.contains(&address(2)), "{called:?}");
}

/// Guards against a host that forgets all others while it is cut off, and then knows none of them if
/// its seeds are gone too.
#[test]
fn a_host_that_was_cut_off_for_minutes_finds_the_others_again() {
    let mut world = World::start(1, &mixed_hosts());
    world.run(4_000);
    world.cut_hosts = vec![5];
    for seed in 0..3 {
        world.hosts[seed] = None;
    }
    world.run(140_000);
    world.cut_hosts.clear();
    world.publish(2);
    world.refused_hosts = vec![5];
    world.run(3_000);
    assert_eq!(world.config_versions(), [2]);
}

/// Guards against an owner that goes on renewing leases while it is cut off from the store and from all
/// other hosts but one. The next owner cannot reach the same workers and waits only for a lease.
#[test]
fn an_owner_cut_off_with_another_host_gives_up_the_shard() {
    let mut world = World::start(2, &mixed_hosts());
    world.run(4_000);
    let first = world.owners();
    let other = (0..3).find(|host| !first.contains(host)).expect("a host");
    world.cut_hosts = vec![first[0], other];
    world.silent_hosts = vec![first[0], other];
    world.run(10_000);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{first:?} {owners:?}");
}

/// Guards against two owners when the hosts that are cut off from the others and the store are not a
/// minority, and when the store is lost to them later than the others.
#[parameterized(
    region_of_most_hosts = { &[0, 1, 2, 3, 6, 7, 8], 0 },
    with_another_host_later = { &[0, 1], 2_000 },
    region_of_most_hosts_later = { &[0, 1, 2, 3, 6, 7, 8], 2_000 },
)]
fn a_part_without_the_store_has_no_owner_for_long(part: &[usize], delay: u64) {
    for seed in 0..6 {
        let mut world = World::start(seed, &[(HIGH_CAPACITY, 4); 12]);
        world.run(4_000);
        let first = world.owners();
        assert_eq!(first.len(), 1, "seed {seed}: {first:?}");
        // The owner trades its place with the first host unless it is part of them.
        let mut part = part.to_vec();
        if !part.contains(&first[0]) {
            part[0] = first[0];
        }
        world.cut_hosts.clone_from(&part);
        world.run(delay);
        world.silent_hosts.clone_from(&part);
        // The next owner expects the last order 1.5 s after its claim at the latest.
        world.run(1_700);
        let owners = world.owners();
        assert!(
            owners.iter().all(|owner| !part.contains(owner)),
            "seed {seed}: {part:?} {owners:?}"
        );
        world.run(7_800);
        assert_eq!(world.owners().len(), 1, "seed {seed}");
    }
}

/// Guards against an owner that gives up in an outage of the store because hosts have been killed: no other
/// could claim the shard.
#[parameterized(
    with_the_outage = { 0 },
    before_the_outage = { 12_000 },
)]
fn the_owner_stays_in_an_outage_without_killed_hosts(delay: u64) {
    for seed in 0..6 {
        let mut world = World::start(seed, &[(HIGH_CAPACITY, 4); 12]);
        world.run(4_000);
        let owners = world.owners();
        assert_eq!(owners.len(), 1, "seed {seed}: {owners:?}");
        let killed = (0..12).filter(|host| !owners.contains(host)).take(4);
        for host in killed {
            world.hosts[host] = None;
        }
        world.run(delay);
        let owners = world.owners();
        world.refused_hosts = (0..12).collect();
        world.run(6_000);
        assert_eq!(world.owners(), owners, "seed {seed}");
    }
}

/// Guards against hosts that get a large configuration from a peer while the store still sends it to
/// them: both transfers share a link that is too small for one.
#[test]
fn a_host_does_not_ask_a_peer_for_a_configuration_that_the_store_is_sending() {
    let mut world = World::start(1, &mixed_hosts());
    world.run(4_000);
    world.sent_configs.fill(0);
    world.max_transfers = 0;
    world.transfer_times[1..].fill(1_500);
    world.publish(2);
    world.run(4_000);
    assert_eq!(world.config_versions(), [2]);
    assert_eq!(world.max_transfers, 1);
    assert_eq!(world.sent_configs.iter().sum::<usize>(), 0);
}
