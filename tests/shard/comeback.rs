//! What an owner tells clients that it refuses in an outage of the store.

use jayfork::process::shard::Reply;
use yare::parameterized;

use super::world::{World, chain};

/// Guards against an owner that tells all clients of an outage to come back in a second, so that those who come first
/// use up their tries before the store is back.
#[parameterized(adaptive = { true, &[2, 2, 2, 3] }, fixed = { false, &[1, 1, 1, 1] })]
fn refused_clients_come_back_after_the_outage(adapts_retry: bool, expected: &[u32]) {
    let mut world = World::new(1, 2, 8_000);
    world.adapts_retry = adapts_retry;
    world.claim();
    world.run(600);
    world.store.is_down = true;
    // The owner notices the outage by its own appends, which it makes twice a second.
    world.run(1_500);
    let pauses: Vec<u32> = (0..expected.len())
        .map(|_| {
            let ticket = world.submit(2, &chain(&[1], 500));
            world.run(5);
            match world.replies.get(&ticket) {
                Some(Reply::Refused { retry_after }) => *retry_after,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    assert_eq!(pauses, expected);
    world.store.is_down = false;
    world.run(2_000);
    let ticket = world.submit(2, &chain(&[1], 500));
    world.run(500);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Accepted));
}
