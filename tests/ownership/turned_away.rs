//! An owner that the store turns away, which tells the next one how long workers have been without a lease.

use jayfork::process::host::{Host, HostEvent};
use yare::parameterized;

use super::planned_stop::{cluster, renewals};
use super::world::{Loss, Lost, STEP, World};

/// Time within which the shard has one owner that grants leases, in milliseconds.
const HANDOVER_LIMIT: u64 = 6_000;

/// Whether a host is the owner and grants no leases, since it has told another host so.
fn is_suspended(world: &World, host: usize) -> bool {
    let shard = world.hosts[host].as_ref().and_then(Host::shard);
    shard.is_some_and(|shard| shard.suspended_for(world.time().steady).is_some())
}

/// Guards against two owners that both grant leases, and against a shard without an owner, whatever becomes of
/// the request to take over.
#[parameterized(
    answered = { None, false },
    request_lost = { Some(Lost::TakeOver), false },
    reply_lost = { Some(Lost::TakeOverReply), false },
    hosts_of_an_earlier_version = { None, true },
)]
fn an_owner_that_has_told_its_waits_grants_no_leases(of: Option<Lost>, is_old: bool) {
    let (mut world, first) = cluster();
    world.loss = of.map(|of| Loss { of, interval: 1 });
    if is_old {
        world.old_hosts = (0..3).filter(|host| *host != first).collect();
    }
    world.refused_hosts = vec![first];
    let begin = world.now;
    world.run(HANDOVER_LIMIT);
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    assert_ne!(owners[0], first);
    let next = renewals(&world, owners[0]);
    let taken_over = *next.first().expect("a renewal by the next owner");
    let last = renewals(&world, first).into_iter().max();
    let last = last.expect("a renewal by the first owner");
    assert!(
        last < taken_over,
        "{}, {}",
        last - begin,
        taken_over - begin
    );
    // The first one may hand over after 0.5 s and has told its waits with the first request.
    assert!(last < begin + 1_200, "{}", last - begin);
}

/// Guards against leases that expire because the store turns the owner away and no host takes the shard over.
#[test]
fn an_owner_whose_request_is_declined_grants_leases_again() {
    let (mut world, first) = cluster();
    world.refused_hosts = vec![first];
    let deadline = world.now + HANDOVER_LIMIT;
    while !is_suspended(&world, first) && world.now < deadline {
        world.run(STEP);
    }
    assert!(is_suspended(&world, first));
    let others = (0..3).filter(|host| *host != first);
    for host in others {
        world.event(host, HostEvent::Terminate);
    }
    let stopped = world.now;
    world.run(2_500);
    assert!(!is_suspended(&world, first));
    let later = renewals(&world, first);
    assert!(later.iter().any(|at| *at > stopped), "{later:?}");
}
