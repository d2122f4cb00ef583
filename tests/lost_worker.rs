//! Lost workers under faults: no attempt may run after `WorkerLost`, and a task survives any single
//! fault.

mod model;

use jayfork::version::Record;
use proptest::prelude::*;
use yare::parameterized;

use model::{HOSTS, LoggedRecord, Message, Model, Receiver, Step, host_name};

fn random_steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS;
    let delay = prop_oneof![4 => Just(0u64), 1 => 1..160u64];
    let step = prop_oneof![
        6 => (1..120u64).prop_map(Step::Advance),
        2 => (40..240u64).prop_map(Step::Advance),
        2 => (host.clone(), 1..160u64).prop_map(|(h, n)| Step::Freeze(h, n)),
        1 => host.clone().prop_map(Step::Restart),
        4 => (host.clone(), any::<bool>(), prop::bool::weighted(0.7), delay.clone())
            .prop_map(|(h, r, a, d)| Step::Log(h, r, a, d)),
        4 => (host.clone(), host.clone(), any::<bool>()).prop_map(|(a, b, c)| Step::Peers(a, b, c)),
        4 => (host, any::<bool>(), delay).prop_map(|(h, c, d)| Step::Worker(h, c, d)),
        2 => prop::bool::weighted(0.4).prop_map(Step::IsolateWorker),
        1 => Just(Step::WorkerRestart),
    ];
    prop::collection::vec(step, 4..40)
}

/// Rates of the hosts' clocks and of the worker's clock, in percent of real time.
fn clock_rates() -> impl Strategy<Value = ([u64; HOSTS], u64)> {
    (prop::array::uniform3(100..=110u64), 100..=110u64)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("MODEL_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
    ))]

    /// Guards against an attempt that runs after its worker was declared lost. Hosts freeze and
    /// restart, connections between any two processes fail, requests and appends arrive late, and
    /// clock rates differ by up to 10%.
    #[test]
    fn nothing_runs_after_worker_lost(
        (rates, worker_rate) in clock_rates(),
        start in prop_oneof![Just(0u64), 0..2_000u64],
        peer_reads in any::<bool>(),
        steps in random_steps(),
    ) {
        let mut model = Model::new(rates, worker_rate, start);
        model.peer_reads = peer_reads;
        model.step(&Step::Advance(20))?;
        for step in &steps {
            model.step(step)?;
        }
        model.step(&Step::IsolateWorker(true))?;
        model.step(&Step::Advance(300))?;
        model.step(&Step::IsolateWorker(false))?;
        model.step(&Step::Advance(200))?;
    }
}

/// Guards against a model that never reaches `WorkerLost`, and against attempts that stay bound to
/// a dead worker.
#[test]
fn a_dead_worker_is_declared_lost_within_70_seconds() {
    let mut model = Model::new([100, 105, 110], 100, 0);
    model.step(&Step::Advance(40)).unwrap();
    assert!(model.worker.running.is_some());
    model.step(&Step::IsolateWorker(true)).unwrap();
    model.step(&Step::Advance(4 * 70)).unwrap();
    assert!(model.log_state.lost);
}

/// Guards against a task that is stopped because of a single fault.
#[parameterized(
    holder_without_log = { &[Step::Log(0, false, false, 0)] },
    all_without_log = { &[
        Step::Log(0, false, false, 0),
        Step::Log(1, false, false, 0),
        Step::Log(2, false, false, 0),
    ] },
    appends_fail = { &[
        Step::Log(0, true, false, 0),
        Step::Log(1, true, false, 0),
        Step::Log(2, true, false, 0),
    ] },
    first_host_isolated = { &[Step::Peers(0, 1, false), Step::Peers(0, 2, false)] },
    second_host_isolated = { &[Step::Peers(0, 1, false), Step::Peers(1, 2, false)] },
    third_host_isolated = { &[Step::Peers(0, 2, false), Step::Peers(1, 2, false)] },
    first_host_frozen = { &[Step::Freeze(0, 1_000)] },
    second_host_frozen = { &[Step::Freeze(1, 1_000)] },
    third_host_frozen = { &[Step::Freeze(2, 1_000)] },
    worker_reached_by_the_first_host_only = { &[
        Step::Worker(1, false, 0),
        Step::Worker(2, false, 0),
    ] },
)]
fn a_task_survives_a_single_fault(faults: &[Step]) {
    let mut model = Model::new([100, 105, 110], 105, 0);
    model.step(&Step::Advance(40)).unwrap();
    for fault in faults {
        model.step(fault).unwrap();
    }
    model.step(&Step::Advance(1_000)).unwrap();
    assert!(model.worker.running.is_some(), "the task was stopped");
    assert!(!model.log_state.lost);
}

/// Guards against a start order that was on its way when the worker was declared lost and takes
/// effect later.
#[test]
fn a_start_that_arrives_after_worker_lost_is_refused() {
    let mut model = Model::new([100; HOSTS], 100, 200);
    model.step(&Step::Advance(199)).unwrap();
    for host in 0..HOSTS {
        model.step(&Step::Worker(host, true, 280)).unwrap();
    }
    model.step(&Step::Advance(4)).unwrap();
    let is_start = |message: &(u64, Receiver, Message)| matches!(message.2, Message::Start { .. });
    assert!(model.network.iter().any(is_start));
    model.step(&Step::IsolateWorker(true)).unwrap();
    model.step(&Step::Advance(270)).unwrap();
    assert!(model.log_state.lost && model.network.iter().any(is_start));
    model.step(&Step::Advance(100)).unwrap();
}

/// Guards against a late `WorkerLost` that takes effect although its suspicion was answered,
/// because a new suspicion of the worker is open.
#[test]
fn a_late_worker_lost_does_not_apply_to_a_later_suspicion() {
    let mut model = Model::new([100; HOSTS], 100, 0);
    let pass_until = |model: &mut Model, done: &dyn Fn(&Model) -> bool| {
        let mut ticks = 0;
        while !done(model) {
            model.step(&Step::Advance(1)).unwrap();
            ticks += 1;
            assert!(ticks < 400);
        }
    };
    let set_appends = |model: &mut Model, appends, delay| {
        for host in 0..HOSTS {
            model.step(&Step::Log(host, true, appends, delay)).unwrap();
        }
    };
    model.start_tick = u64::MAX;
    model.step(&Step::Advance(40)).unwrap();
    model.step(&Step::IsolateWorker(true)).unwrap();
    pass_until(&mut model, &|model| !model.log_state.suspicions.is_empty());
    set_appends(&mut model, true, 130);
    pass_until(&mut model, &|model| {
        !model.network.is_empty() && model.network.iter().any(is_worker_lost)
    });
    set_appends(&mut model, false, 0);
    model.step(&Step::IsolateWorker(false)).unwrap();
    pass_until(&mut model, &|model| {
        model
            .hosts
            .iter()
            .any(|host| host.leases.usable(host.now(model.tick), "w").is_some())
    });
    set_appends(&mut model, true, 0);
    model.start_tick = 0;
    pass_until(&mut model, &|model| model.worker.running.is_some());
    assert!(model.log_state.suspicions.is_empty());
    // Only the host that wrote the late `WorkerLost` can append, so it also opens the second
    // suspicion.
    let late_record = model
        .network
        .iter()
        .find(|message| is_worker_lost(message))
        .unwrap();
    let Message::Append(LoggedRecord { host: writer, .. }) = late_record.2.clone() else {
        unreachable!()
    };
    for host in (0..HOSTS).filter(|&host| host_name(host) != writer) {
        model.step(&Step::Log(host, true, false, 0)).unwrap();
    }
    model.step(&Step::IsolateWorker(true)).unwrap();
    pass_until(&mut model, &|model| !model.log_state.suspicions.is_empty());
    assert!(model.worker.running.is_some() && model.network.iter().any(is_worker_lost));
    model.step(&Step::Advance(130)).unwrap();
    assert!(!model.log_state.lost);
}

fn is_worker_lost(message: &(u64, Receiver, Message)) -> bool {
    let Message::Append(logged) = &message.2 else {
        return false;
    };
    matches!(logged.record, Record::WorkerLost { .. })
}
