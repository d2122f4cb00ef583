//! The lease table of one host: acquisition, renewal, faults, handover and graceful shutdown.

use std::sync::{Arc, LazyLock};
use std::time::Instant;

use jayfork::base::{Millis, Name, Token, rank};
use jayfork::connection::wire::{HostKind, LeaseRefusal};
use jayfork::connection::{Grant, LeaseAction, LeaseTable, LeaseTiming, Resource};
use yare::parameterized;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn worker(name: &str) -> Resource {
    Resource {
        name: Name::from(name),
        address: Name::from("127.0.0.1:1"),
        kind: HostKind::Worker,
    }
}

/// Hosts a, b and c in the rendezvous order of worker `w`.
fn ranked_hosts() -> &'static [Name] {
    static HOSTS: LazyLock<Vec<Name>> = LazyLock::new(|| {
        let hosts = [name("a"), name("b"), name("c")];
        rank("w", &hosts).into_iter().cloned().collect()
    });
    &HOSTS
}

/// The lease table of the host with this rank for worker `w`. All hosts are live.
fn table(host_rank: usize) -> LeaseTable {
    let mut table = LeaseTable::new(ranked_hosts()[host_rank].clone(), LeaseTiming::default());
    table.set_hosts(Millis(0), ranked_hosts(), ranked_hosts());
    table.set_resources(Millis(0), vec![worker("w")]);
    table
}

fn poll(table: &mut LeaseTable, now: u64) -> Vec<LeaseAction> {
    poll_with_holder(table, now, None)
}

fn poll_with_holder(table: &mut LeaseTable, now: u64, holder: Option<Name>) -> Vec<LeaseAction> {
    let mut actions = Vec::new();
    table.poll(Millis(now), |_| true, |_| holder.clone(), &mut actions);
    actions
}

/// The table of the preferred host after incarnation 1 of the worker granted it token 7 at 0 ms.
fn holding_table() -> LeaseTable {
    let mut table = table(0);
    assert!(matches!(
        poll(&mut table, 0)[..],
        [LeaseAction::Acquire { .. }]
    ));
    assert_eq!(grant(&mut table, 0, 7, 1), Grant::New);
    table
}

fn grant(table: &mut LeaseTable, now: u64, token: u64, incarnation: u64) -> Grant {
    let now = Millis(now);
    table.granted(now, now, &name("w"), Token(token), incarnation, false)
}

fn usable(table: &LeaseTable, now: u64) -> bool {
    table.usable(Millis(now), "w").is_some()
}

/// Polls every 50 ms from `from` to `to`; returns the first action and its time.
fn first_action(table: &mut LeaseTable, from: u64, to: u64) -> Option<(u64, LeaseAction)> {
    (from..=to).step_by(50).find_map(|now| {
        let action = poll(table, now).into_iter().next()?;
        Some((now, action))
    })
}

/// Guards against hosts that all wait for each other, so that none acquires the lease, and against
/// hosts that all try at the same time. Each host waits 4 s longer than the one ranked before it.
#[parameterized(
    preferred = { 0, 0 },
    first_standby = { 1, 4_000 },
    second_standby = { 2, 8_000 },
)]
fn tries_without_holder(host_rank: usize, at: u64) {
    let mut table = table(host_rank);
    let (now, action) = first_action(&mut table, 0, 20_000).unwrap();
    assert!(matches!(action, LeaseAction::Acquire { .. }));
    assert_eq!(now, at);
}

/// Guards against an acquire call every second that the worker refuses with 409, because a live
/// peer holds the lease.
#[parameterized(preferred = { 0 }, standby = { 1 })]
fn does_not_try_while_a_peer_holds(host_rank: usize) {
    let mut table = table(host_rank);
    for now in (0..60_000).step_by(100) {
        assert!(poll_with_holder(&mut table, now, Some(name("other"))).is_empty());
    }
}

/// Guards against a lease that is used after it may have expired on the worker. With a TTL of 3 s
/// it is usable for 2.5 s, counted from the sending of the call.
#[parameterized(
    fresh = { 0, 0, 0, true },
    last_usable = { 0, 0, 2_499, true },
    past_usable_time = { 0, 0, 2_500, false },
    expired = { 0, 0, 3_000, false },
    late_answer_counts_from_sending = { 0, 2_400, 2_499, true },
    late_answer_is_unusable = { 0, 2_600, 2_600, false },
    frozen_then_resumed = { 0, 100, 60_000, false },
)]
fn usable_time_ends_before_expiry(sent: u64, answered: u64, now: u64, expected: bool) {
    let mut table = table(0);
    poll(&mut table, sent);
    table.granted(
        Millis(answered),
        Millis(sent),
        &name("w"),
        Token(7),
        1,
        false,
    );
    assert_eq!(usable(&table, now), expected);
}

/// Guards against renewals that come too late to keep the lease.
#[test]
fn renews_every_second() {
    let mut table = holding_table();
    for second in 1..10 {
        assert!(poll(&mut table, second * 1_000 - 1).is_empty());
        let actions = poll(&mut table, second * 1_000);
        assert!(matches!(
            &actions[..],
            [LeaseAction::Renew {
                token: Token(7),
                renew_tasks: true,
                ..
            }]
        ));
        assert_eq!(grant(&mut table, second * 1_000, 7, 1), Grant::Renewed);
    }
}

/// Guards against a second call to a resource that has not answered the first, caused by a new
/// resource list, a new host list or a drain.
#[test]
fn one_call_in_flight() {
    let mut table = holding_table();
    assert_eq!(poll(&mut table, 1_000).len(), 1);
    table.set_resources(Millis(1_100), vec![worker("w")]);
    table.set_hosts(Millis(1_200), &ranked_hosts()[..1], &ranked_hosts()[..1]);
    table.drain(Millis(1_300));
    assert_eq!(first_action(&mut table, 1_300, 60_000), None);
    table.failed(Millis(60_000), &name("w"));
    assert!(poll(&mut table, 70_000).is_empty());
    assert!(table.is_drained());
}

/// Guards against answers that are counted twice or that arrive after their call was given up.
#[test]
fn answer_without_call_is_ignored() {
    let mut table = holding_table();
    assert_eq!(grant(&mut table, 10, 8, 1), Grant::Ignored);
    assert_eq!(table.usable(Millis(10), "w").unwrap().token, Token(7));
    poll(&mut table, 1_000);
    table.failed(Millis(2_000), &name("w"));
    assert_eq!(grant(&mut table, 2_100, 7, 1), Grant::Ignored);
    assert!(!usable(&table, 2_500));
}

enum Fault {
    StaleToken,
    Held,
    NoAnswer,
    Restarted,
}

/// Guards against a holder that uses its lease after a renewal was refused, when another host may
/// hold the lease. A renewal without an answer leaves the lease usable until its time is over.
#[parameterized(
    stale_token = { Fault::StaleToken, false },
    held_by_another = { Fault::Held, false },
    restarted = { Fault::Restarted, false },
    no_answer = { Fault::NoAnswer, true },
)]
fn renewal_fault(fault: Fault, still_usable: bool) {
    let mut table = holding_table();
    poll(&mut table, 1_000);
    let held = LeaseRefusal::Held {
        holder: name("b"),
        remaining: 500,
    };
    match fault {
        Fault::StaleToken => table.refused(Millis(1_010), &name("w"), LeaseRefusal::StaleToken),
        Fault::Held => table.refused(Millis(1_010), &name("w"), held),
        Fault::NoAnswer => table.failed(Millis(1_010), &name("w")),
        Fault::Restarted => assert_eq!(grant(&mut table, 1_010, 7, 2), Grant::Ignored),
    }
    assert_eq!(usable(&table, 1_010), still_usable);
    assert!(!usable(&table, 2_500));
}

/// Guards against a restart of the worker that goes unnoticed, or is reported more than once.
#[test]
fn restart_is_reported_once() {
    let mut table = holding_table();
    poll(&mut table, 1_000);
    table.refused(Millis(1_010), &name("w"), LeaseRefusal::StaleToken);
    assert!(matches!(
        poll(&mut table, 1_010)[..],
        [LeaseAction::Acquire { .. }]
    ));
    assert_eq!(grant(&mut table, 1_020, 8, 2), Grant::Restarted);
    poll(&mut table, 2_020);
    assert_eq!(grant(&mut table, 2_020, 8, 2), Grant::Renewed);
}

/// Guards against a takeover that takes longer than 4 s: 3 s until the lease expires and 1 s until
/// the next attempt.
#[parameterized(far = { 2_700, 1_000 }, near = { 300, 301 })]
fn tries_again_when_held(remaining: u64, after: u64) {
    let mut table = table(0);
    poll(&mut table, 0);
    table.refused(
        Millis(0),
        &name("w"),
        LeaseRefusal::Held {
            holder: name("b"),
            remaining,
        },
    );
    assert!(poll(&mut table, after - 1).is_empty());
    assert_eq!(poll(&mut table, after).len(), 1);
}

/// Guards against a thread pool whose threads all wait for hosts that do not answer: the delay
/// between attempts doubles up to 8 s.
#[test]
fn backs_off_without_answers() {
    let mut table = table(0);
    let mut now = 0;
    for wait in [1_000, 2_000, 4_000, 8_000, 8_000] {
        assert_eq!(poll(&mut table, now).len(), 1);
        table.failed(Millis(now), &name("w"));
        assert!(poll(&mut table, now + wait - 1).is_empty());
        now += wait;
    }
    assert_eq!(table.unanswered_for(Millis(now), "w"), Some(Millis(now)));
    poll(&mut table, now);
    table.refused(
        Millis(now),
        &name("w"),
        LeaseRefusal::Held {
            holder: name("b"),
            remaining: 2_000,
        },
    );
    assert_eq!(table.unanswered_for(Millis(now), "w"), None);
}

/// Polls from `from` to `to` and grants every renewal; returns the time of the first release.
fn offered_at(table: &mut LeaseTable, from: u64, to: u64) -> Option<u64> {
    for now in (from..to).step_by(100) {
        for action in poll(table, now) {
            match action {
                LeaseAction::Release { .. } => return Some(now),
                LeaseAction::Renew { token, .. } => {
                    grant(table, now, token.0, 1);
                }
                LeaseAction::Acquire { .. } => panic!("acquires a lease that it holds"),
            }
        }
    }
    None
}

/// Guards against a lease that is offered to a preferred host that is live only briefly, and
/// against one that is never handed back. The preferred host must have been live for 5 s.
#[test]
fn offers_to_a_stable_preferred_host() {
    let mut table = table(1);
    table.set_hosts(Millis(0), &ranked_hosts()[1..], &ranked_hosts()[1..]);
    poll(&mut table, 0);
    grant(&mut table, 0, 7, 1);
    assert_eq!(offered_at(&mut table, 100, 10_000), None);
    table.set_hosts(Millis(10_000), ranked_hosts(), ranked_hosts());
    assert_eq!(offered_at(&mut table, 10_000, 14_000), None);
    table.set_hosts(Millis(14_000), &ranked_hosts()[1..], &ranked_hosts()[1..]);
    table.set_hosts(Millis(14_050), ranked_hosts(), ranked_hosts());
    let offered = offered_at(&mut table, 14_100, 30_000).unwrap();
    assert!((19_050..20_100).contains(&offered), "{offered}");
    assert!(!usable(&table, offered));
    table.released(Millis(offered), &name("w"));
    assert!(!usable(&table, offered));
}

/// Guards against a worker whose lease changes holders every 9 s because its preferred host cannot
/// reach it. The time between offers grows.
#[test]
fn keeps_what_the_preferred_host_does_not_take() {
    let mut table = table(1);
    let (mut now, mut offers) = (0, Vec::new());
    while now < 600_000 {
        let Some((at, action)) = first_action(&mut table, now, 600_000) else {
            break;
        };
        now = at;
        match action {
            LeaseAction::Acquire { .. } => grant(&mut table, now, now, 1),
            LeaseAction::Renew { token, .. } => grant(&mut table, now, token.0, 1),
            LeaseAction::Release { .. } => {
                offers.push(now);
                table.released(Millis(now), &name("w"));
                continue;
            }
        };
    }
    assert!((2..=8).contains(&offers.len()), "{offers:?}");
    let last = offers.len() - 1;
    assert!(offers[last] - offers[last - 1] > 100_000, "{offers:?}");
}

/// Guards against a host that keeps workers although it cannot read the log: it cannot renew the
/// run leases on them. Service instances are not affected.
#[test]
fn workers_prefer_up_to_date_hosts() {
    let mut table = LeaseTable::new(ranked_hosts()[0].clone(), LeaseTiming::default());
    table.set_hosts(Millis(0), ranked_hosts(), &ranked_hosts()[1..2]);
    let instance = Resource {
        kind: HostKind::Instance,
        ..worker("w")
    };
    table.set_resources(Millis(0), vec![worker("w")]);
    assert!(poll(&mut table, 0).is_empty());
    table.set_hosts(Millis(100), ranked_hosts(), &[]);
    assert_eq!(poll(&mut table, 1_000).len(), 1);

    let mut table = LeaseTable::new(ranked_hosts()[0].clone(), LeaseTiming::default());
    table.set_hosts(Millis(0), ranked_hosts(), &ranked_hosts()[1..2]);
    table.set_resources(Millis(0), vec![instance]);
    assert_eq!(poll(&mut table, 0).len(), 1);
}

/// Guards against leases that are kept, or newly acquired, during a graceful shutdown.
#[test]
fn drain_releases_all_leases() {
    let mut table = holding_table();
    table.set_resources(Millis(10), vec![worker("w"), worker("v")]);
    table.set_hosts(Millis(10), &ranked_hosts()[..1], &ranked_hosts()[..1]);
    let acquired = poll(&mut table, 20);
    assert_eq!(
        acquired,
        [LeaseAction::Acquire {
            resource: worker("v")
        }]
    );
    table.drain(Millis(30));
    assert!(!usable(&table, 30) && table.held(Millis(30)).is_empty());
    let release = |resource, token| LeaseAction::Release {
        resource,
        token: Token(token),
    };
    assert_eq!(poll(&mut table, 30), [release(worker("w"), 7)]);
    let grant = table.granted(Millis(40), Millis(20), &name("v"), Token(3), 1, false);
    assert_eq!(grant, Grant::Ignored);
    assert_eq!(poll(&mut table, 40), [release(worker("v"), 3)]);
    table.released(Millis(50), &name("w"));
    assert!(!table.is_drained());
    table.failed(Millis(50), &name("v"));
    assert_eq!(poll(&mut table, 250), [release(worker("v"), 3)]);
    table.refused(Millis(260), &name("v"), LeaseRefusal::StaleToken);
    assert!(table.is_drained());
    assert_eq!(first_action(&mut table, 300, 60_000), None);
}

/// Guards against a leaving worker that gets new work although it has not restarted, and against a
/// delayed report about the previous incarnation.
#[test]
fn leaving_is_permanent_for_the_incarnation() {
    let mut table = holding_table();
    assert!(!table.is_leaving("w"));
    table.mark_leaving(Millis(10), "w");
    assert!(table.usable(Millis(10), "w").unwrap().leaving);
    poll(&mut table, 1_000);
    grant(&mut table, 1_000, 7, 1);
    assert!(table.is_leaving("w"));

    poll(&mut table, 2_000);
    table.refused(Millis(2_000), &name("w"), LeaseRefusal::StaleToken);
    poll(&mut table, 2_000);
    assert_eq!(grant(&mut table, 2_000, 8, 2), Grant::Restarted);
    table.mark_leaving(Millis(10_000), "w");
    assert!(
        !table.is_leaving("w"),
        "a delayed report refers to the previous incarnation"
    );
    table.mark_leaving(Millis(32_000), "w");
    assert!(table.is_leaving("w"));
}

/// Guards against tasks that are stopped because one host list omits their worker.
#[test]
fn keeps_a_held_worker_that_the_list_omits() {
    let mut table = holding_table();
    table.set_resources(Millis(500), Vec::new());
    assert!(table.usable(Millis(500), "w").unwrap().leaving);
    assert!(matches!(
        poll(&mut table, 1_000)[..],
        [LeaseAction::Renew { .. }]
    ));
    table.refused(Millis(1_000), &name("w"), LeaseRefusal::StaleToken);
    assert!(poll(&mut table, 1_000).is_empty());
    assert!(table.is_absent("w"));
}

/// Guards against a poll whose cost grows with the number of resources that are not due.
#[test]
fn poll_visits_only_due_resources() {
    let mut table = LeaseTable::new(name("a"), LeaseTiming::default());
    table.set_hosts(Millis(0), &[name("a")], &[name("a")]);
    let resources = (0..600).map(|i| worker(&format!("w{i}"))).collect();
    table.set_resources(Millis(0), resources);
    let mut actions = Vec::new();
    table.poll(Millis(0), |_| true, |_| None, &mut actions);
    assert_eq!(actions.len(), 600);
    // Spreads the renewals over one second, as calls of different duration do.
    for (i, action) in actions.drain(..).enumerate() {
        let LeaseAction::Acquire { resource } = action else {
            panic!()
        };
        let sent = Millis(i as u64 * 1_000 / 600);
        table.granted(sent, sent, &resource.name, Token(1), 1, false);
    }
    let (mut busy, mut calls) = (std::time::Duration::ZERO, 0);
    for now in (1_000..61_000).step_by(10) {
        let now = Millis(now);
        let start = Instant::now();
        table.poll(now, |_| true, |_| None, &mut actions);
        for action in actions.drain(..) {
            let LeaseAction::Renew {
                resource, token, ..
            } = action
            else {
                panic!()
            };
            table.granted(now, now, &resource.name, token, 1, false);
            calls += 1;
        }
        busy += start.elapsed();
    }
    println!(
        "600 leases: {calls} renewals in 60 s, {:?} spent in the lease table",
        busy
    );
    assert!((600 * 55..=600 * 61).contains(&calls), "{calls}");
    assert_eq!(table.held(Millis(60_999)).len(), 600);

    let start = Instant::now();
    let mut idle = 0;
    for _ in 0..100_000 {
        table.poll(Millis(61_000), |_| true, |_| None, &mut actions);
        idle += actions.len();
        actions.clear();
    }
    println!(
        "poll with at most one call due: {:?}",
        start.elapsed() / 100_000
    );
    assert!(idle <= 600);
}

/// Guards against names that are copied for every call.
#[test]
fn actions_share_names() {
    let mut table = table(0);
    let actions = poll(&mut table, 0);
    let [LeaseAction::Acquire { resource }] = &actions[..] else {
        panic!()
    };
    assert!(Arc::strong_count(&resource.name) > 1);
}
