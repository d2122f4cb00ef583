//! An owner whose link carries less than the starts that it could order.

use jayfork::process::shard::Reply;
use jayfork::request::job::Outcome;

use super::world::{World, chain};

const WORKERS: usize = 120;
const JOBS: u64 = 4;
const TASKS: u16 = 60;
/// 2 Mbit/s, in bytes per millisecond.
const LINK_RATE: u64 = 250;
const PAYLOAD: usize = 3_400;
/// Timeout of a request for a report, which renews the leases, besides the time that the worker waits.
const RENEWAL_TIMEOUT: u64 = 700;

/// Guards against starts that fill the owner's link for seconds: renewals behind them were too late, starts
/// got no answer in time, and their tasks were stopped and started again without end.
#[test]
fn starts_on_a_slow_link_leave_room_for_renewals() {
    let mut world = World::new(7, WORKERS, 16_000);
    world.orders.link_rate = LINK_RATE;
    world.claim();
    world.run(500);
    for id in 1..=JOBS {
        let mut job = chain(&[TASKS], 1_000);
        job.payload = "x".repeat(PAYLOAD).into();
        world.submit(id, &job);
    }
    world.run(10_000);
    let wait = world.orders.longest_wait;
    assert!(wait < RENEWAL_TIMEOUT, "an order has waited for {wait} ms");
    for id in 1..=JOBS {
        let is_done = matches!(
            world.state(id),
            Some(Reply::State {
                outcome: Some(Outcome::Completed),
                ..
            })
        );
        assert!(is_done, "job {id}");
    }
    assert_eq!(world.fleet.starts, JOBS * u64::from(TASKS));
    world.assert_no_violations();
}
