//! Requests of clients that a host passes on to the owner, while hosts have different configurations or versions of the
//! program.

use hyper::{HeaderMap, Method};
use jayfork::connection::FrontRequest;
use jayfork::process::host::HostEvent;
use yare::parameterized;

use super::world::{HIGH_CAPACITY, World};

const JOB: &str = "5c0e7a21d94b36f8";

fn route(name: &str) -> String {
    format!(r#"{{"name":"{name}","host":"example","pathPrefix":"/q/","service":"s"}}"#)
}

/// Three hosts with a queue; returns one that does not own the shard, too.
fn world_with_queue() -> (World, usize) {
    let mut world = World::start(
        1,
        &[(HIGH_CAPACITY, 2), (HIGH_CAPACITY, 2), (HIGH_CAPACITY, 2)],
    );
    world.publish_routes(2, &route("r"));
    world.run(8_000);
    assert_eq!(world.config_versions(), [2]);
    let owners = world.owners();
    let other = (0..3).find(|host| !owners.contains(host));
    (world, other.expect("a host"))
}

/// Sends a request to a host.
fn ask(world: &mut World, host: usize, ticket: u64, method: Method, path: &str, body: &str) {
    let request = FrontRequest {
        method,
        host: "example".to_owned(),
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: body.to_owned().into(),
    };
    world.event(host, HostEvent::Client(ticket, request));
}

/// The status of an answer, and when it was given.
fn status(world: &World, ticket: u64) -> Option<(u64, u16)> {
    let (at, reply) = world.answers.get(&ticket)?;
    Some((*at, reply.status))
}

/// Guards against requests that an owner of an earlier version of the program never answers, since it cannot read
/// them.
#[test]
fn an_owner_of_an_earlier_version_gets_requests_that_name_their_queue() {
    let (mut world, host) = world_with_queue();
    world.named_hosts = world.owners();
    for (ticket, limit) in [(1, 200), (2, 30)] {
        let start = world.now;
        ask(&mut world, host, ticket, Method::GET, "/q/", "");
        world.run(1_000);
        let (at, status) = status(&world, ticket).expect("an answer");
        assert_eq!(status, 200);
        assert!(at - start <= limit, "{}", at - start);
    }
}

/// Guards against a lost connection after which a host goes on with the earlier form for good.
#[test]
fn an_owner_that_has_read_a_request_keeps_the_current_form() {
    let (mut world, host) = world_with_queue();
    ask(&mut world, host, 1, Method::GET, "/q/", "");
    world.run(500);
    assert!(status(&world, 1).is_some());
    world.named_hosts = world.owners();
    ask(&mut world, host, 2, Method::GET, "/q/", "");
    world.run(500);
    assert_eq!(status(&world, 2), None);
    world.named_hosts.clear();
    world.run(500);
    assert_eq!(status(&world, 2).map(|(_, status)| status), Some(200));
}

/// Guards against an accepted job that is answered 410 by some host while the hosts learn one after the other that its
/// queue has another name.
#[parameterized(first_owner = { false }, next_owner = { true })]
fn a_job_is_known_to_all_hosts_while_its_queue_gets_another_name(kills_owner: bool) {
    let (mut world, host) = world_with_queue();
    let path = format!("/q/{JOB}");
    let body = r#"{"spec":"text","steps":[{"count":1,"cpu":100,"memMb":10,"estRuntimeMs":100}]}"#;
    ask(&mut world, host, 1, Method::POST, &path, body);
    world.run(500);
    assert_eq!(status(&world, 1).map(|(_, status)| status), Some(200));
    world.publish_routes(3, &route("renamed"));
    if kills_owner {
        let owner = world.owners()[0];
        world.hosts[owner] = None;
    }
    let mut tickets = Vec::new();
    for round in 0..200 {
        for host in 0..3 {
            let ticket = 10 + round * 3 + host as u64;
            if world.hosts[host].is_some() {
                ask(&mut world, host, ticket, Method::GET, &path, "");
                tickets.push(ticket);
            }
        }
        world.run(40);
    }
    world.run(4_000);
    assert_eq!(world.config_versions(), [3]);
    let statuses: Vec<u16> = tickets
        .iter()
        .map(|ticket| status(&world, *ticket).expect("an answer").1)
        .collect();
    assert!(!statuses.contains(&410), "{statuses:?}");
    assert_eq!(statuses.last(), Some(&200));
}
