//! Requests whose clients wait for a short time only.

use hyper::HeaderMap;
use hyper::Method;
use jayfork::connection::{FrontReply, FrontRequest};
use jayfork::process::host::HostEvent;
use yare::parameterized;

use super::world::{HIGH_CAPACITY, World};

/// Sends a request for the backlog of a queue to a host that does not own the shard, and returns the answer and
/// after how many milliseconds it was given.
fn ask(wait: &str) -> (u64, FrontReply) {
    let mut world = World::start(1, &[(HIGH_CAPACITY, 2), (HIGH_CAPACITY, 2)]);
    world.publish_routes(
        2,
        r#"{"name":"r","host":"example","pathPrefix":"/q/","service":"s"}"#,
    );
    world.run(8_000);
    assert_eq!(world.config_versions(), [2]);
    let owners = world.owners();
    let host = (0..2).find(|host| !owners.contains(host)).expect("a host");
    let mut headers = HeaderMap::new();
    headers.insert("X-Request-Timeout-Ms", wait.parse().expect("a value"));
    let request = FrontRequest {
        method: Method::GET,
        host: "example".to_owned(),
        path: "/q/".to_owned(),
        headers,
        body: Default::default(),
    };
    let start = world.now;
    world.event(host, HostEvent::Client(7, request));
    world.run(500);
    let (at, reply) = world.answers.remove(&7).expect("an answer");
    (at - start, reply)
}

/// Guards against a request that is sent to the owner without time for its answer, so that the client is told that it
/// may have been carried out.
#[parameterized(none = { "0" }, short = { "60" })]
fn a_request_without_time_for_an_answer_is_refused_at_once(wait: &str) {
    let (after, reply) = ask(wait);
    assert_eq!((after, reply.status), (0, 503));
    assert!(reply.retry_after.is_some());
}

/// Guards against a client that gets no answer of the owner, though there is time for it.
#[parameterized(short = { "150" }, usual = { "1000" })]
fn a_request_with_time_for_an_answer_is_served(wait: &str) {
    let (after, reply) = ask(wait);
    assert_eq!(reply.status, 200);
    assert!(after <= 100, "{after}");
}
