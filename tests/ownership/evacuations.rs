//! What owners know of the operator's requests to evacuate data centres, whatever happens to the store and the owner.

use hyper::{HeaderMap, Method};
use jayfork::base::Millis;
use jayfork::connection::FrontRequest;
use jayfork::process::host::HostEvent;
use yare::parameterized;

use super::world::World;

/// Longest time from a request to the last start, in milliseconds.
const BOUND: u64 = 5_000;
const HOSTS: usize = 3;
/// Data centres of the workers, two in each.
const PLACES: [&str; 2] = ["place-0", "place-1"];

/// Three hosts and four workers of a queue in two data centres.
fn start() -> World {
    let mut world = World::start(1, &[]);
    world.evacuation_bound = Some(Millis(BOUND));
    world.hosts = (0..HOSTS).map(|_| None).collect();
    let route = r#"{"name":"r","host":"example","pathPrefix":"/q/","service":"s","attempts":3}"#;
    world.publish_routes(2, route);
    for index in 0..2 * PLACES.len() {
        let place = PLACES[index % PLACES.len()];
        let entry = format!(
            r#"{{"service":"s","address":"10.9.0.{}:80","zone":"{place}","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"seq":1,"capacity":{{"cpu":100000,"memMb":100000}},"labels":["a","r1"],"born":1}}"#,
            index + 1
        );
        world.register(&worker(index), &entry);
        world.answering_workers.insert(worker(index).into());
    }
    world.boot_all();
    world.run(6_000);
    world
}

fn worker(index: usize) -> String {
    format!("worker-{index}")
}

fn request(place: &str) -> String {
    format!("evacuate/{place}")
}

/// Submits jobs at each host that runs, one every 100 ms, for as long.
fn submit_for(world: &mut World, millis: u64) {
    let body = r#"{"spec":"text","steps":[{"count":2,"cpu":100,"memMb":10,"estRuntimeMs":100}]}"#;
    for _ in 0..millis / 100 {
        let job = world.now;
        for host in 0..HOSTS {
            let request = FrontRequest {
                method: Method::POST,
                host: "example".to_owned(),
                path: format!("/q/{:016x}", job * 10 + host as u64),
                headers: HeaderMap::new(),
                body: body.into(),
            };
            if world.hosts[host].is_some() {
                world.event(host, HostEvent::Client(job * 10 + host as u64, request));
            }
        }
        world.run(100);
    }
}

/// Starts in each of the places since a time.
fn starts_since(world: &World, since: u64) -> [usize; 2] {
    let count = |place: usize| {
        let orders = world.sent_orders.iter();
        let starts = orders.filter(|order| order.starts && order.at >= since);
        let is_there = |name: &str| (0..2).any(|row| worker(place + row * PLACES.len()) == name);
        starts.filter(|order| is_there(&order.worker)).count()
    };
    [count(0), count(1)]
}

fn assert_only_elsewhere(world: &World, since: u64) {
    let [evacuated, other] = starts_since(world, since);
    assert_eq!(evacuated, 0);
    assert!(other > 0);
}

/// Guards against starts in an evacuated data centre, and against one that gets none once it is given back.
#[test]
fn an_owner_follows_the_requests_of_the_operator() {
    let mut world = start();
    submit_for(&mut world, 1_000);
    let [first, second] = starts_since(&world, 0);
    assert!(first > 0 && second > 0);
    world.write_operator(&request(PLACES[0]), "{}");
    let requested = world.now;
    submit_for(&mut world, BOUND + 2_000);
    assert_only_elsewhere(&world, requested + 2_000);
    world.write_operator(&request(PLACES[0]), "");
    submit_for(&mut world, 3_000);
    assert!(starts_since(&world, requested + BOUND)[0] > 0);
}

/// What happens while a data centre is evacuated.
#[derive(Debug, Clone, Copy)]
enum Event {
    OwnerLost,
    AllHostsRestart,
    /// The history of the operator's stream is dropped.
    HistoryDropped,
    /// The store does not answer for 4 s, also the next owner.
    StoreSilent,
    /// The store turns away the owner.
    OwnerTurnedAway,
    /// Another data centre, and one that no worker is in, are evacuated and given back.
    OthersToo,
    /// The request is written again.
    Repeated,
    /// The stream gets records that nobody can read.
    Garbage,
}

/// Guards against a request that is forgotten, or not yet known to a new owner.
#[parameterized(
    owner_lost = { Event::OwnerLost },
    all_hosts_restart = { Event::AllHostsRestart },
    history_dropped = { Event::HistoryDropped },
    store_silent = { Event::StoreSilent },
    owner_turned_away = { Event::OwnerTurnedAway },
    others_too = { Event::OthersToo },
    repeated = { Event::Repeated },
    garbage = { Event::Garbage },
)]
fn an_evacuation_lasts(event: Event) {
    let mut world = start();
    world.write_operator(&request(PLACES[0]), "{}");
    let since = world.now + 2_000;
    submit_for(&mut world, 3_000);
    let owner = world.owners()[0];
    match event {
        Event::OwnerLost => world.hosts[owner] = None,
        Event::AllHostsRestart => world.boot_all(),
        Event::HistoryDropped => {
            world.write_operator("config-of-another", "1");
            world.expire_operator();
        }
        Event::StoreSilent => {
            world.silent_hosts = (0..HOSTS).collect();
            submit_for(&mut world, 4_000);
            world.silent_hosts.clear();
            world.hosts[owner] = None;
        }
        Event::OwnerTurnedAway => world.refused_hosts = vec![owner],
        Event::OthersToo => {
            world.write_operator(&request("nowhere"), "{}");
            world.write_operator(&request(PLACES[1]), "{}");
            submit_for(&mut world, 2_000);
            world.write_operator(&request(PLACES[1]), "");
            world.write_operator(&request("nowhere"), "");
        }
        Event::Repeated => world.write_operator(&request(PLACES[0]), "{}"),
        Event::Garbage => {
            world.write_operator(&request(PLACES[0]), "no JSON");
            world.write_operator(&request(""), "{}");
            world.write_operator(&request("a\u{7}b"), "{}");
            world.write_operator(&request(&"x".repeat(300)), "{}");
            world.write_operator(&request(PLACES[1]), "no JSON");
            world.expire_operator();
        }
    }
    let after = world.now;
    submit_for(&mut world, 8_000);
    assert_only_elsewhere(&world, since);
    assert_only_elsewhere(&world, after + 2_000);
}

/// Guards against a new owner that places nothing because it waits for requests that it cannot read any more.
#[test]
fn an_owner_that_cannot_read_the_requests_goes_on() {
    let mut world = start();
    world.ignores_operator_reads = true;
    world.run(BOUND / 2);
    let lost_at = world.now;
    let owner = world.owners()[0];
    world.hosts[owner] = None;
    submit_for(&mut world, BOUND);
    let claimed = world.owners();
    assert_eq!(claimed.len(), 1, "{claimed:?}");
    assert_eq!(starts_since(&world, lost_at), [0, 0]);
    submit_for(&mut world, 5_000);
    let [first, second] = starts_since(&world, lost_at);
    assert!(first > 0 && second > 0);
}
