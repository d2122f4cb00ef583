//! Leases: fault tables for one host.

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
fn order() -> &'static [Name] {
    static ORDER: LazyLock<Vec<Name>> = LazyLock::new(|| {
        let hosts = [name("a"), name("b"), name("c")];
        rank("w", &hosts).into_iter().cloned().collect()
    });
    &ORDER
}

/// The table of the host at `place` in the order of `w`; the other hosts are live.
fn table(place: usize) -> LeaseTable {
    let mut table = LeaseTable::new(order()[place].clone(), LeaseTiming::default());
    table.set_hosts(Millis(0), order(), order());
    table.set_resources(Millis(0), vec![worker("w")]);
    table
}

fn poll(table: &mut LeaseTable, now: u64) -> Vec<LeaseAction> {
    poll_seeing(table, now, None)
}

fn poll_seeing(table: &mut LeaseTable, now: u64, holder: Option<Name>) -> Vec<LeaseAction> {
    let mut actions = Vec::new();
    table.poll(Millis(now), |_| true, |_| holder.clone(), &mut actions);
    actions
}

/// A table of the preferred host that was granted token 7 in incarnation 1 at 0 ms.
fn holding() -> LeaseTable {
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

/// Polls every 50 ms from `from` until an action comes; its time is at most `to`.
fn first_action(table: &mut LeaseTable, from: u64, to: u64) -> Option<(u64, LeaseAction)> {
    (from..=to).step_by(50).find_map(|now| {
        let action = poll(table, now).into_iter().next()?;
        Some((now, action))
    })
}

/// Guards against two hosts that both wait for the other, and against a rush of all on one worker.
#[parameterized(
    preferred = { 0, 0 },
    first_standby = { 1, 4_000 },
    second_standby = { 2, 8_000 },
)]
fn tries_without_holder(place: usize, at: u64) {
    let mut table = table(place);
    let (now, action) = first_action(&mut table, 0, 20_000).unwrap();
    assert!(matches!(action, LeaseAction::Acquire { .. }));
    assert_eq!(now, at);
}

/// Guards against calls that a holder in good health answers with 409 every second.
#[parameterized(preferred = { 0 }, standby = { 1 })]
fn does_not_try_while_a_peer_holds(place: usize) {
    let mut table = table(place);
    for now in (0..60_000).step_by(100) {
        assert!(poll_seeing(&mut table, now, Some(name("other"))).is_empty());
    }
}

/// Guards against a lease that is used after the worker may have let it lapse.
#[parameterized(
    fresh = { 0, 0, 0, true },
    last_usable = { 0, 0, 2_499, true },
    margin = { 0, 0, 2_500, false },
    lapsed = { 0, 0, 3_000, false },
    late_answer_counts_from_sending = { 0, 2_400, 2_499, true },
    late_answer_is_unusable = { 0, 2_600, 2_600, false },
    frozen_then_resumed = { 0, 100, 60_000, false },
)]
fn safety_margin(sent: u64, answered: u64, now: u64, expected: bool) {
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
    let mut table = holding();
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

/// Guards against a second call to a resource that has not answered the first.
#[test]
fn one_call_in_flight() {
    let mut table = holding();
    assert_eq!(poll(&mut table, 1_000).len(), 1);
    table.set_resources(Millis(1_100), vec![worker("w")]);
    table.set_hosts(Millis(1_200), &order()[..1], &order()[..1]);
    table.drain(Millis(1_300));
    assert_eq!(first_action(&mut table, 1_300, 60_000), None);
    table.failed(Millis(60_000), &name("w"));
    assert!(poll(&mut table, 70_000).is_empty());
    assert!(table.is_drained());
}

/// Guards against answers that count twice, or after the call was given up.
#[test]
fn answer_without_call_is_ignored() {
    let mut table = holding();
    assert_eq!(grant(&mut table, 10, 8, 1), Grant::Ignored);
    assert_eq!(table.usable(Millis(10), "w").unwrap().token, Token(7));
    poll(&mut table, 1_000);
    table.failed(Millis(2_000), &name("w"));
    assert_eq!(grant(&mut table, 2_100, 7, 1), Grant::Ignored);
    assert!(!usable(&table, 2_500));
}

enum Fault {
    Stale,
    Held,
    Silent,
    Restarted,
}

/// Guards against a holder that goes on with a lease that another host may have been granted.
#[parameterized(
    stale_token = { Fault::Stale, false },
    held_by_another = { Fault::Held, false },
    restarted = { Fault::Restarted, false },
    no_answer = { Fault::Silent, true },
)]
fn renewal_fault(fault: Fault, still_usable: bool) {
    let mut table = holding();
    poll(&mut table, 1_000);
    let held = LeaseRefusal::Held {
        holder: name("b"),
        remaining: 500,
    };
    match fault {
        Fault::Stale => table.refused(Millis(1_010), &name("w"), LeaseRefusal::StaleToken),
        Fault::Held => table.refused(Millis(1_010), &name("w"), held),
        Fault::Silent => table.failed(Millis(1_010), &name("w")),
        Fault::Restarted => assert_eq!(grant(&mut table, 1_010, 7, 2), Grant::Ignored),
    }
    assert_eq!(usable(&table, 1_010), still_usable);
    assert!(!usable(&table, 2_500));
}

/// Guards against a restart of the worker that passes unnoticed.
#[test]
fn restart_is_told_once() {
    let mut table = holding();
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

/// Guards against a takeover later than 3 s (the lapse) + 1 s (the next try).
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

/// Guards against a pool of threads that waits for hosts that do not answer.
#[test]
fn backs_off() {
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

/// Renews once a second until `to`, and returns when the first release is asked for.
fn offered_at(table: &mut LeaseTable, from: u64, to: u64) -> Option<u64> {
    for now in (from..to).step_by(100) {
        for action in poll(table, now) {
            match action {
                LeaseAction::Release { .. } => return Some(now),
                LeaseAction::Renew { token, .. } => {
                    grant(table, now, token.0, 1);
                }
                LeaseAction::Acquire { .. } => panic!("acquires what it holds"),
            }
        }
    }
    None
}

/// Guards against a lease that moves to a host that comes and goes, and one that never moves back.
#[test]
fn offers_to_a_steady_preferred_host() {
    let mut table = table(1);
    table.set_hosts(Millis(0), &order()[1..], &order()[1..]);
    poll(&mut table, 0);
    grant(&mut table, 0, 7, 1);
    assert_eq!(offered_at(&mut table, 100, 10_000), None);
    table.set_hosts(Millis(10_000), order(), order());
    assert_eq!(offered_at(&mut table, 10_000, 14_000), None);
    table.set_hosts(Millis(14_000), &order()[1..], &order()[1..]);
    table.set_hosts(Millis(14_050), order(), order());
    let offered = offered_at(&mut table, 14_100, 30_000).unwrap();
    assert!((19_050..20_100).contains(&offered), "{offered}");
    assert!(!usable(&table, offered));
    table.released(Millis(offered), &name("w"));
    assert!(!usable(&table, offered));
}

/// Guards against a worker that changes hands every 9 s when its preferred host cannot reach it.
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

/// Guards against a host without the log that keeps workers whose run leases it cannot renew.
#[test]
fn workers_go_to_informed_hosts() {
    let mut table = LeaseTable::new(order()[0].clone(), LeaseTiming::default());
    table.set_hosts(Millis(0), order(), &order()[1..2]);
    let instance = Resource {
        kind: HostKind::Instance,
        ..worker("w")
    };
    table.set_resources(Millis(0), vec![worker("w")]);
    assert!(poll(&mut table, 0).is_empty());
    table.set_hosts(Millis(100), order(), &[]);
    assert_eq!(poll(&mut table, 1_000).len(), 1);

    let mut table = LeaseTable::new(order()[0].clone(), LeaseTiming::default());
    table.set_hosts(Millis(0), order(), &order()[1..2]);
    table.set_resources(Millis(0), vec![instance]);
    assert_eq!(poll(&mut table, 0).len(), 1);
}

/// Guards against leases that outlive a planned stop, and new ones taken during it.
#[test]
fn drains() {
    let mut table = holding();
    table.set_resources(Millis(10), vec![worker("w"), worker("v")]);
    table.set_hosts(Millis(10), &order()[..1], &order()[..1]);
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

/// Guards against a leaving worker that looks live again while its incarnation lasts.
#[test]
fn leaving_is_permanent_for_the_incarnation() {
    let mut table = holding();
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
        "a lagging notice means the former incarnation"
    );
    table.mark_leaving(Millis(32_000), "w");
    assert!(table.is_leaving("w"));
}

/// Guards against tasks stopped by one bad answer of the host list.
#[test]
fn keeps_a_held_worker_that_the_list_omits() {
    let mut table = holding();
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

/// Guards against a poll whose cost grows with the resources that are not due.
#[test]
fn poll_visits_what_is_due() {
    let mut table = LeaseTable::new(name("a"), LeaseTiming::default());
    table.set_hosts(Millis(0), &[name("a")], &[name("a")]);
    let resources = (0..600).map(|i| worker(&format!("w{i}"))).collect();
    table.set_resources(Millis(0), resources);
    let mut actions = Vec::new();
    table.poll(Millis(0), |_| true, |_| None, &mut actions);
    assert_eq!(actions.len(), 600);
    // Spreads the renewals over a second, as calls that take time do.
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
        "600 leases: {calls} renewals in 60 s, {:?} of the core's thread",
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

/// Guards against names that are copied per call.
#[test]
fn actions_share_names() {
    let mut table = table(0);
    let actions = poll(&mut table, 0);
    let [LeaseAction::Acquire { resource }] = &actions[..] else {
        panic!()
    };
    assert!(Arc::strong_count(&resource.name) > 1);
}
