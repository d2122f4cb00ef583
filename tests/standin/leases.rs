//! The control lease, which workers and instances grant in the same way.

use jayfork::base::Token;
use jayfork::connection::wire::{LeaseRefusal, LeaseReply};
use serde_json::{Value, json};
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, grant, lease, lease_request, release, run, start, start_request};
use crate::support::{Event, Standin, TestDir, wait_for};

const WORKERS: &str = "workers";
const INSTANCES: &str = "instances";

/// Sends a task or a request with `token`; returns the HTTP status.
fn send_work(host: &Standin, token: Token) -> u16 {
    if host.hosts[0].service.is_none() {
        return start(host.address(0), &start_request(token, "c/j/0", 0)).status;
    }
    run(host.address(0), token, "r0", b"body").unwrap().status
}

/// Tries to renew the lease; returns the HTTP status.
fn renewal_status(host: &Standin, token: Token) -> u16 {
    lease(host.address(0), &lease_request("any", Some(token))).status
}

/// What happens after `e1` was granted the first lease.
#[derive(Debug, Clone, Copy)]
enum Step {
    NoChange,
    Release,
    GrantAgain,
    Takeover,
    Restart,
    Crash,
}

// Guards against a token that still works after a later grant, a release or a crash, and against a
// valid token that is refused.
#[parameterized(
    worker_newest = { WORKERS, Step::NoChange, true },
    worker_released = { WORKERS, Step::Release, false },
    worker_granted_again = { WORKERS, Step::GrantAgain, false },
    worker_taken_over = { WORKERS, Step::Takeover, false },
    worker_restarted = { WORKERS, Step::Restart, false },
    worker_crashed = { WORKERS, Step::Crash, false },
    instance_newest = { INSTANCES, Step::NoChange, true },
    instance_released = { INSTANCES, Step::Release, false },
    instance_granted_again = { INSTANCES, Step::GrantAgain, false },
    instance_taken_over = { INSTANCES, Step::Takeover, false },
    instance_restarted = { INSTANCES, Step::Restart, false },
    instance_crashed = { INSTANCES, Step::Crash, false },
)]
fn only_the_newest_token_is_valid(kind: &str, step: Step, valid: bool) {
    let dir = TestDir::new("lease-fence");
    let host = Standin::start(&dir, kind, &[]);
    let address = host.address(0);
    let token = grant(address, "e1");
    match step {
        Step::NoChange => {}
        Step::Release => assert_eq!(release(address, token).status, 200),
        Step::GrantAgain => assert!(grant(address, "e1") > token),
        Step::Takeover => {
            assert_eq!(release(address, token).status, 200);
            assert!(grant(address, "e2") > token);
        }
        Step::Restart => {
            host.set(json!({"restart": true}));
            assert!(grant(address, "e2") > token);
        }
        Step::Crash => {
            host.set(json!({"crash": true}));
            host.set(json!({"crash": false}));
            assert!(grant(address, "e2") > token);
        }
    }
    let expected = if valid { 200 } else { 409 };
    assert_eq!(send_work(&host, token), expected);
    assert_eq!(renewal_status(&host, token), expected);
    assert_eq!(release(address, token).status, expected);
    let started = host.records().iter().any(|r| r.event == Event::Started);
    assert_eq!(started, valid);
}

// Guards against two holders at the same time, and against a refusal that doesn't say how long to
// wait.
#[parameterized(worker = { WORKERS }, instance = { INSTANCES })]
fn held_lease_is_refused_to_others(kind: &str) {
    let dir = TestDir::new("lease-held");
    let host = Standin::start(&dir, kind, &[]);
    let mut request = lease_request("e1", None);
    request.ttl = 20_000;
    let granted: LeaseReply<Value> = lease(host.address(0), &request).ok();
    let reply = lease(host.address(0), &lease_request("e2", None));
    assert_eq!(reply.status, 409);
    let LeaseRefusal::Held { holder, remaining } = reply.json() else {
        panic!("{}", reply.text());
    };
    assert_eq!(&*holder, "e1");
    assert!((1..=20_000).contains(&remaining), "{remaining}");
    assert_eq!(renewal_status(&host, granted.token), 200);
}

// Guards against a lease that is granted to another holder before it expires, or never.
#[parameterized(worker = { WORKERS }, instance = { INSTANCES })]
fn expired_lease_is_granted_to_the_next_holder(kind: &str) {
    let dir = TestDir::new("lease-expiry");
    let host = Standin::start(&dir, kind, &[]);
    let mut request = lease_request("e1", None);
    request.ttl = 300;
    let first: LeaseReply<Value> = lease(host.address(0), &request).ok();
    let second: LeaseReply<Value> = wait_for("takeover", WAIT_LIMIT, || {
        let reply = lease(host.address(0), &lease_request("e2", None));
        (reply.status == 200).then(|| reply.ok())
    });
    assert!(second.token > first.token);
    assert_eq!(second.incarnation, first.incarnation);
    assert_eq!(send_work(&host, first.token), 409);
    let granted: Vec<u64> = host
        .records()
        .into_iter()
        .filter(|record| record.event == Event::Granted)
        .map(|record| record.time)
        .collect();
    assert!(granted[1] - granted[0] >= 300, "{granted:?}");
}

// Guards against a restart that keeps the incarnation: the holder could not tell that the report is
// empty because of the restart.
#[parameterized(
    worker_restart = { WORKERS, &[json!({"restart": true})] },
    worker_crash = { WORKERS, &[json!({"crash": true}), json!({"crash": false})] },
    instance_restart = { INSTANCES, &[json!({"restart": true})] },
    instance_crash = { INSTANCES, &[json!({"crash": true}), json!({"crash": false})] },
)]
fn restart_changes_the_incarnation(kind: &str, patches: &[Value]) {
    let dir = TestDir::new("lease-incarnation");
    let host = Standin::start(&dir, kind, &[]);
    let request = lease_request("e1", None);
    let first: LeaseReply<Value> = lease(host.address(0), &request).ok();
    for patch in patches {
        host.set(patch.clone());
    }
    let second: LeaseReply<Value> = lease(host.address(0), &request).ok();
    assert_ne!(second.incarnation, first.incarnation);
}

// Guards against a leaving host whose lease answers don't say so.
#[parameterized(worker = { WORKERS }, instance = { INSTANCES })]
fn lease_answer_says_that_the_host_is_leaving(kind: &str) {
    let dir = TestDir::new("lease-leaving");
    let host = Standin::start(&dir, kind, &["--count", "2"]);
    host.set_host(0, json!({"leaving": true}));
    let leaving = |index: usize| -> bool {
        let reply: LeaseReply<Value> = lease(host.address(index), &lease_request("e1", None)).ok();
        reply.leaving
    };
    assert_eq!([leaving(0), leaving(1)], [true, false]);
    assert!(host.records().iter().any(|r| r.event == Event::Leaving));
}
