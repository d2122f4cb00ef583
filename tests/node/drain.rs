//! Planned stops of entry hosts while callers send requests of an at-most-once class.

use std::collections::{BTreeMap, HashMap};

use jayfork::base::{Millis, Name, top_ranked};
use jayfork::connection::ApiMethod;
use jayfork::connection::wire::{DepartureFrame, DepartureReply, PeerReply, PeerRequest};
use jayfork::process::node::{Action, Event};
use yare::parameterized;

use super::faults::DepartureFault;
use super::world::{Delivery, NodeId, World};
use super::{assert_no_violations, settled_world};

const REQUESTS: &str = "/v1/requests/vltava/check";
/// Time in ms between two rounds of requests.
const ROUND: u64 = 17;

fn drain(world: &mut World, node: NodeId) {
    let incarnation = world.hosts[node].incarnation;
    let event = Box::new(Event::Drain);
    world.push(world.now, Delivery::Event(node, incarnation, event));
}

fn submit(world: &mut World, node: NodeId, id: &str) -> u64 {
    world.call_with_id(node, ApiMethod::Post, REQUESTS, "page", Some(id.into()))
}

/// Status and body of an answer.
fn answer(world: &World, ticket: u64) -> Option<(u16, String)> {
    let response = world.response(ticket)?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    Some((response.status, body))
}

/// Sends new ids to a host; returns how many it refuses because it may lack recent ids.
fn count_refused_for_lost_ids(world: &mut World, node: NodeId) -> usize {
    let ids = 0..60;
    let tickets: Vec<u64> = ids
        .map(|index| submit(world, node, &format!("new-{index}")))
        .collect();
    world.run_for(8_000);
    let answers = tickets.iter().map(|ticket| answer(world, *ticket));
    let bodies = answers.map(|answer| answer.expect("answered").1);
    bodies
        .filter(|body| body.contains("recent_ids_lost"))
        .count()
}

/// Guards against requests with an unknown outcome although the stop of their home was planned:
/// requests that are under way when it exits, and new ids that its peers refuse because they do not
/// know which ids it ran.
#[test]
fn a_planned_stop_leaves_no_at_most_once_request_unknown() {
    let mut world = settled_world();
    drain(&mut world, 0);
    let mut tickets = Vec::new();
    for round in 0..500 {
        let node = 1 + round % 2;
        tickets.push(world.call_api(node, ApiMethod::Post, REQUESTS, "page"));
        world.run_for(ROUND);
    }
    world.run_for(10_000);
    assert!(world.hosts[0].node.is_none(), "the host has not stopped");
    for (round, ticket) in tickets.into_iter().enumerate() {
        let response = world.response(ticket).expect("answered");
        assert_eq!(response.status, 200, "request {round}: {:?}", response.body);
    }
    assert_no_violations(&world);
}

/// Guards against an id that runs twice, and against untrue answers: each id is sent to one host or
/// to two at once, and again 1 s and 5 s later, while a host stops. Peers that get nothing from it refuse
/// new ids, the others do not.
#[parameterized(
    delivered = { DepartureFault::None, false },
    lost_to_one = { DepartureFault::Lost(&[1]), true },
    lost_to_all = { DepartureFault::Lost(&[1, 2]), true },
    unanswered = { DepartureFault::Unanswered(&[1, 2]), false },
    late_before_the_exit = { DepartureFault::Late(1, 1_500), false },
    late_after_the_loss = { DepartureFault::Late(1, 5_000), true },
    repeated_before_the_loss = { DepartureFault::Repeated(1_000), false },
    repeated_after_the_loss = { DepartureFault::Repeated(5_000), false },
)]
fn an_id_runs_once_around_a_planned_stop(fault: DepartureFault, refuses: bool) {
    let mut world = settled_world();
    world.faults.departure = fault;
    let mut tickets: BTreeMap<String, Vec<(NodeId, u64)>> = BTreeMap::new();
    let mut send = |world: &mut World, node: NodeId, round: usize| {
        let id = format!("id-{round}");
        let ticket = submit(world, node, &id);
        tickets.entry(id).or_default().push((node, ticket));
    };
    for round in 0..700 {
        if round == 100 {
            drain(&mut world, 0);
        }
        send(&mut world, round % 3, round);
        if round % 2 == 0 {
            send(&mut world, 1 + round / 3 % 2, round);
        }
        for delay in [60, 300].into_iter().filter(|delay| *delay <= round) {
            send(&mut world, 1 + round % 2, round - delay);
        }
        world.run_for(ROUND);
    }
    world.run_for(20_000);
    assert!(world.hosts[0].node.is_none(), "the host has not stopped");
    let mut starts: HashMap<Name, usize> = HashMap::new();
    for id in world.instances.values().flat_map(|fake| &fake.starts) {
        *starts.entry(id.clone()).or_default() += 1;
    }
    let mut refused = 0;
    for (id, tickets) in &tickets {
        let ran = starts.get(&*format!("vltava:{id}")).copied().unwrap_or(0);
        assert!(ran <= 1, "{id} ran {ran} times");
        let mut answers = Vec::new();
        for (node, ticket) in tickets {
            match answer(&world, *ticket) {
                Some(answer) => answers.push(answer),
                // A caller of the stopped host cannot connect.
                None => assert_eq!(*node, 0, "no answer for {id}"),
            }
        }
        let has_run = answers.iter().any(|(status, _)| *status == 200);
        let is_not_run = answers.iter().all(|(_, body)| body.contains("not_run"));
        assert!(!has_run || ran == 1, "{id}: {answers:?}");
        assert!(!is_not_run || ran == 0, "{id}: {answers:?}");
        let is_refused = |body: &str| body.contains("recent_ids_lost");
        refused += answers.iter().filter(|(_, body)| is_refused(body)).count();
        if !refuses && !answers.is_empty() {
            assert!(has_run, "{id}: {answers:?}");
        }
    }
    assert_eq!(refused > 0, refuses, "{refused} refused");
    assert_no_violations(&world);
}

/// Guards against a stopping host that still runs requests after it has told its peers which ids it
/// ran: no peer hears of that, so they go on relaying to it.
#[test]
fn a_departing_host_runs_nothing() {
    let mut world = settled_world();
    world.faults.departure = DepartureFault::Lost(&[1, 2]);
    drain(&mut world, 0);
    world.run_for(500);
    let hosts: [Name; 3] = ["a-1".into(), "a-2".into(), "a-3".into()];
    let ids: Vec<String> = (0..60).map(|index| format!("id-{index}")).collect();
    for id in &ids {
        submit(&mut world, 1, id);
    }
    world.run_for(1_000);
    assert!(world.hosts[0].node.is_some(), "the host has stopped early");
    let starts: Vec<&Name> = world
        .instances
        .values()
        .flat_map(|fake| &fake.starts)
        .collect();
    for id in ids {
        let key: Name = format!("vltava:{id}").into();
        let is_home = top_ranked(&key, &hosts).is_some_and(|home| **home == *"a-1");
        assert_ne!(starts.contains(&&key), is_home, "{id}");
    }
}

/// Guards against a confirmation that lets a host exit while messages are on their way to it, which
/// its exit would interrupt.
#[test]
fn a_peer_confirms_once_its_messages_are_answered() {
    let mut world = settled_world();
    world.freeze(0);
    for index in 0..20 {
        submit(&mut world, 1, &format!("id-{index}"));
    }
    world.run_for(100);
    assert_eq!(pass(&mut world, 1, frame()), next(Some(0)));
    world.resume(0);
    world.run_for(1_000);
    assert_eq!(pass(&mut world, 1, frame()), next(None));
}

/// The only frame of the first process of host `a-1`.
fn frame() -> DepartureFrame {
    DepartureFrame {
        host: "a-1".into(),
        incarnation: 1,
        frame: 0,
        frames: 1,
        loss_age: None,
        is_clear: true,
        ids: vec![("vltava:known".into(), 60_000)],
    }
}

/// Passes a frame to a host; returns the host's reply.
fn pass(world: &mut World, node: NodeId, frame: DepartureFrame) -> PeerReply {
    let now = Millis(world.now);
    let event = Event::PeerCalled {
        ticket: 7,
        request: PeerRequest::Departure(frame),
    };
    let mut out = Vec::new();
    let core = world.hosts[node].node.as_mut().expect("a running host");
    core.handle(now, event, &mut out);
    let position = out
        .iter()
        .position(|action| matches!(action, Action::ReplyPeer { ticket: 7, .. }));
    let Action::ReplyPeer { reply, .. } = out.remove(position.expect("a reply")) else {
        panic!("not a reply");
    };
    world.perform(node, out);
    reply
}

fn next(next: Option<u32>) -> PeerReply {
    PeerReply::Departure(DepartureReply { next })
}

/// Guards against malformed messages that take effect or end the process: the host refuses them,
/// serves on, and counts the recent ids of `a-1` as lost after `a-1` is killed.
#[parameterized(
    unknown_host = { |f| f.host = "a-9".into() },
    other_data_centre = { |f| f.host = "b-1".into() },
    no_frames = { |f| f.frames = 0 },
    index_too_high = { |f| f.frame = 1 },
    index_at_the_limit = { |f| f.frame = u32::MAX },
    too_many_frames = { |f| f.frames = 65 },
    frames_at_the_limit = { |f| f.frames = u32::MAX },
    too_many_ids = { |f| f.ids = vec![("vltava:x".into(), 1); 4_097] },
    long_key = { |f| f.ids = vec![(format!("vltava:{}", "x".repeat(200)).into(), 1)] },
    key_without_customer = { |f| f.ids = vec![("known".into(), 1)] },
    long_time_left = { |f| f.ids[0].1 = 6_000_001 },
    endless_time_left = { |f| f.ids[0].1 = u64::MAX },
)]
fn a_malformed_message_of_a_stopping_host_has_no_effect(change: fn(&mut DepartureFrame)) {
    let mut world = settled_world();
    let mut malformed = frame();
    change(&mut malformed);
    for node in [1, 2] {
        let reply = pass(&mut world, node, malformed.clone());
        assert_eq!(reply, PeerReply::Unavailable);
    }
    let ticket = submit(&mut world, 1, "known");
    world.run_for(1_000);
    assert_eq!(answer(&world, ticket).expect("answered").0, 200);
    world.kill(0);
    world.run_for(3_000);
    assert!(count_refused_for_lost_ids(&mut world, 1) > 0);
}

/// Guards against a host that takes its own name in a message for that of a peer.
#[test]
fn a_host_takes_over_nothing_from_itself() {
    let mut world = settled_world();
    let own = DepartureFrame {
        host: "a-2".into(),
        ..frame()
    };
    assert_eq!(pass(&mut world, 1, own), PeerReply::Unavailable);
    let ticket = submit(&mut world, 1, "known");
    world.run_for(1_000);
    assert_eq!(answer(&world, ticket).expect("answered").0, 200);
}

/// Guards against a departed host that counts as a home again when another host comes or goes
/// before it has exited: its loss would then look like that of a killed host.
#[test]
fn a_departed_host_stays_out_while_others_come_and_go() {
    let mut world = settled_world();
    assert_eq!(pass(&mut world, 1, frame()), next(None));
    world.freeze(2);
    world.run_for(3_000);
    world.resume(2);
    world.run_for(3_000);
    assert_eq!(pass(&mut world, 2, frame()), next(None));
    world.kill(0);
    world.run_for(3_000);
    assert_eq!(count_refused_for_lost_ids(&mut world, 1), 0);
}

/// Guards against a hand-over that counts as complete although a frame is missing, belongs to
/// another number of frames, or comes from an earlier process.
#[test]
fn only_the_frames_of_one_process_in_order_are_a_hand_over() {
    let mut world = settled_world();
    let part = |incarnation, frame, frames| DepartureFrame {
        incarnation,
        frame,
        frames,
        ..self::frame()
    };
    for node in [1, 2] {
        assert_eq!(pass(&mut world, node, part(1, 2, 3)), next(Some(0)));
        assert_eq!(pass(&mut world, node, part(1, 0, 3)), next(Some(1)));
        assert_eq!(pass(&mut world, node, part(1, 0, 3)), next(Some(1)));
        assert_eq!(pass(&mut world, node, part(1, 2, 3)), next(Some(1)));
        assert_eq!(
            pass(&mut world, node, part(1, 0, 1)),
            PeerReply::Unavailable
        );
        assert_eq!(
            pass(&mut world, node, part(0, 1, 3)),
            PeerReply::Unavailable
        );
    }
    world.kill(0);
    world.run_for(3_000);
    assert!(count_refused_for_lost_ids(&mut world, 1) > 0);
}

/// Guards against a hand-over of an earlier process that arrives late and takes the place of the
/// present one.
#[test]
fn a_hand_over_of_an_earlier_process_does_not_end_the_present_one() {
    let mut world = settled_world();
    world.kill(0);
    world.start(0);
    world.run_for(3_000);
    assert_eq!(pass(&mut world, 1, frame()), next(None));
    assert_eq!(pass(&mut world, 2, frame()), next(None));
    let ticket = submit(&mut world, 1, "known");
    world.run_for(8_000);
    let (status, body) = answer(&world, ticket).expect("answered");
    assert_eq!(status, 409, "{body}");
    world.kill(0);
    world.run_for(3_000);
    assert!(count_refused_for_lost_ids(&mut world, 1) > 0);
}

/// Guards against new ids that are run although the stopping host lacked recent ids itself: it had
/// been restarted shortly before.
#[test]
fn a_host_that_lost_its_recent_ids_does_not_hand_over_as_if_it_knew_them() {
    let mut world = settled_world();
    let submitted = submit_job_and_wait(&mut world);
    assert_eq!(submitted, 202);
    world.kill(0);
    world.start(0);
    world.run_for(10_000);
    drain(&mut world, 0);
    world.run_for(5_000);
    assert!(world.hosts[0].node.is_none(), "the host has not stopped");
    assert!(count_refused_for_lost_ids(&mut world, 1) > 0);
}

/// Puts a record on the log, from which a restarted host knows that it had a predecessor.
fn submit_job_and_wait(world: &mut World) -> u16 {
    let job = super::job_with_home_a("job");
    let ticket = super::submit_job(world, 0, "index", &job, 1_000);
    world.run_for(5_000);
    answer(world, ticket).expect("answered").0
}

/// Guards against ids that are dropped when they take several frames.
#[test]
fn all_frames_of_a_long_hand_over_arrive() {
    let mut world = settled_world();
    let ids = |part: usize| (0..4_096).map(move |index| format!("vltava:long-{part}-{index}"));
    for part in 0..2 {
        // Host `a-1` takes these ids over from `a-3`, of which a third frame is missing.
        let received = DepartureFrame {
            host: "a-3".into(),
            frame: part as u32,
            frames: 3,
            ids: ids(part).map(|key| (key.into(), 100_000)).collect(),
            ..frame()
        };
        assert_eq!(pass(&mut world, 0, received), next(Some(part as u32 + 1)));
    }
    drain(&mut world, 0);
    world.run_for(4_000);
    assert!(world.hosts[0].node.is_none(), "the host has not stopped");
    for id in ["long-0-0", "long-0-4095", "long-1-0", "long-1-4095"] {
        let ticket = submit(&mut world, 1, id);
        world.run_for(1_000);
        let (status, body) = answer(&world, ticket).expect("answered");
        assert_eq!(status, 409, "{id}: {body}");
    }
}
