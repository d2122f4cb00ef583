//! When clients come back that are refused in an outage of the store.

use jayfork::base::Millis;
use jayfork::request::job::{JobId, Outage, Outages, RefusedJob, comeback};
use yare::parameterized;

/// Tries of a client after its first one.
const RETRIES: u32 = 4;
/// Time between two clients, in milliseconds.
const ARRIVAL: u64 = 50;

fn pause(lasted: u64, usual: u64, tries: u32, worth: Option<u64>) -> u32 {
    let outage = Outage {
        lasted: Millis(lasted),
        usual: Millis(usual),
    };
    let worth = worth.map(Millis);
    comeback(outage, RefusedJob { tries, worth })
}

/// Guards against pauses that use up the tries of a client before the store is back, and against ones that are longer than
/// the result is worth.
#[parameterized(
    begin_of_an_outage = { 300, 4_000, 0, None, 2 },
    near_its_usual_end = { 3_500, 4_000, 0, None, 1 },
    second_try = { 2_000, 4_000, 1, None, 1 },
    third_try = { 3_000, 4_000, 2, None, 2 },
    fourth_try = { 5_000, 4_000, 3, None, 3 },
    long_outage = { 20_000, 4_000, 0, None, 5 },
    very_long_outage = { 600_000, 4_000, 0, None, 8 },
    usually_long = { 300, 30_000, 0, None, 8 },
    little_worth_left = { 300, 12_000, 0, Some(1_500), 2 },
    no_worth_left = { 300, 12_000, 3, Some(0), 1 },
)]
fn a_pause_follows_from_the_outage(
    lasted: u64,
    usual: u64,
    tries: u32,
    worth: Option<u64>,
    expected: u32,
) {
    assert_eq!(pause(lasted, usual, tries, worth), expected);
}

/// Clients that come during an outage, and what became of them: lost ones, and the mean time from the end of the outage
/// to the try that is served, in milliseconds.
fn play(outage: u64, retry_after: impl Fn(&mut Outages, Millis, JobId) -> u32) -> (u64, u64) {
    let mut outages = Outages::default();
    let (mut lost, mut served, mut late) = (0, 0, 0);
    let clients = outage / ARRIVAL;
    let mut tries: Vec<(u64, u64, u32)> = (0..clients).map(|id| (id * ARRIVAL, id, 0)).collect();
    while let Some(next) = tries.iter().copied().min() {
        tries.retain(|other| *other != next);
        let (at, id, count) = next;
        match at >= outage {
            true => {
                served += 1;
                late += at - outage;
            }
            false if count == RETRIES => lost += 1,
            false => {
                let pause = retry_after(&mut outages, Millis(at), JobId(id));
                tries.push((at + u64::from(pause) * 1_000, id, count + 1));
            }
        }
    }
    (lost, late / u64::max(served, 1))
}

/// Load: twenty clients a second during an outage, each with four more tries. Guards against outages that end after the
/// last try of those who came first.
#[parameterized(
    two_seconds = { 2_000 },
    five_seconds = { 5_000 },
    eight_seconds = { 8_000 },
)]
fn clients_bear_an_outage(outage: u64) {
    let (lost, late) = play(outage, |outages, now, job| {
        outages.refuse(now, job, now, None)
    });
    let (fixed_lost, _) = play(outage, |_, _, _| 1);
    assert_eq!(lost, 0);
    assert!(fixed_lost > 0 || outage <= 4_000, "{fixed_lost}");
    assert!(late <= 2_500, "{late}");
}

/// Guards against an owner that takes no notice of how long outages last, and of one that has ended.
#[test]
fn the_usual_length_is_learned() {
    let mut outages = Outages::default();
    let first = outages.refuse(Millis(0), JobId(1), Millis(300), None);
    for length in [20_000, 20_000, 20_000] {
        assert_eq!(outages.note(Millis(0), Some(Millis(length))), None);
        assert_eq!(outages.note(Millis(0), None), Some(Millis(length)));
        assert_eq!(outages.note(Millis(0), None), None);
    }
    let later = outages.refuse(Millis(0), JobId(2), Millis(300), None);
    assert!(later > first, "{later} after {first}");
    // Slow answers are no outage.
    outages.note(Millis(0), Some(Millis(400)));
    assert_eq!(outages.note(Millis(0), None), None);
}

/// Guards against the memory of refused jobs that grows without a bound, and against tries of long ago that count.
#[test]
fn refused_jobs_are_forgotten() {
    let mut outages = Outages::default();
    for id in 0..10_000 {
        outages.refuse(Millis(0), JobId(id), Millis(300), None);
    }
    assert!(outages.refused() <= 4_096);
    outages.note(Millis(31_000), None);
    assert_eq!(outages.refused(), 0);
}
