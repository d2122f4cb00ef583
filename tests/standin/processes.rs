use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

use serde_json::json;
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, append, grant, start, start_request, stored_records};
use crate::support::{
    Client, Event, Platform, Settings, Signal, Standin, TestDir, free_port, wait_until,
};

// Guards against stand-ins that ignore SIGTERM or exit with an error.
#[parameterized(
    log = { "log" },
    hosts = { "hosts" },
    workers = { "workers" },
    instances = { "instances" },
)]
fn standin_exits_on_sigterm(subcommand: &str) {
    let dir = TestDir::new("process-term");
    let mut standin = Standin::start(&dir, subcommand, &[]);
    assert!(!standin.process.has_exited());
    assert!(standin.process.terminate().success());
}

// Guards against stand-ins that go on running after their test process was killed.
#[test]
fn standin_exits_when_its_test_ends() {
    let dir = TestDir::new("process-eof");
    let mut log = Standin::start(&dir, "log", &[]);
    log.process.close_stdin();
    assert!(log.process.wait().success());
}

// Guards against child processes that still run after their `Process` was dropped, even if a signal
// has stopped them.
#[parameterized(running = { false }, stopped = { true })]
fn drop_ends_the_process(stopped: bool) {
    let dir = TestDir::new("process-drop");
    let mut log = Standin::start(&dir, "log", &[]);
    let address = log.service.clone();
    if stopped {
        log.process.signal(Signal::Stop);
    }
    drop(log);
    assert!(TcpStream::connect(address).is_err());
}

// Guards against a `--port` that is ignored, and against workers on other ports than the next ones.
#[test]
fn workers_take_consecutive_ports() {
    let dir = TestDir::new("process-port");
    let first = consecutive_free_ports(3);
    let port = first.to_string();
    let workers = Standin::start(&dir, "workers", &["--count", "2", "--port", &port]);
    assert_eq!(workers.control, format!("127.0.0.1:{first}"));
    assert_eq!(workers.address(0), format!("127.0.0.1:{}", first + 1));
    assert_eq!(workers.address(1), format!("127.0.0.1:{}", first + 2));
}

/// Returns the first of `count` consecutive free ports.
fn consecutive_free_ports(count: u16) -> u16 {
    let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
    loop {
        let first = free_port();
        if (first..first + count).all(is_free) {
            // Takes the other ports of the range, so that no later call of `free_port` returns
            // them.
            while free_port() < first + count - 1 {}
            return first;
        }
    }
}

// Guards against a stopped process that answers, and against requests to it that get no answer
// after it continues.
#[test]
fn stopped_log_serves_waiting_connections_after_it_continues() {
    let dir = TestDir::new("process-stop");
    let mut log = Standin::start(&dir, "log", &["--rate", "0"]);
    log.process.signal(Signal::Stop);
    let address = log.service.clone();
    let calls: Vec<_> = (0..32)
        .map(|_| {
            let address = address.clone();
            std::thread::spawn(move || {
                let reply = Client::new().post(&address, "/streams/s/records", "x");
                reply.map(|reply| reply.status)
            })
        })
        .collect();
    let stopped = std::thread::spawn(move || {
        Client::new()
            .get(&address, "/control/stats")
            .map(|reply| reply.status)
    });
    // The request must still wait after this time; no event shows that it does.
    std::thread::sleep(Duration::from_millis(100));
    assert!(!stopped.is_finished());
    log.process.signal(Signal::Continue);
    for call in calls {
        assert_eq!(call.join().unwrap().unwrap(), 200);
    }
    assert_eq!(stopped.join().unwrap().unwrap(), 200);
    assert_eq!(stored_records(&log).next.0, 32);
}

// Guards against a platform whose host list lacks backend servers, or whose `cut_off` doesn't reach
// all stand-ins.
#[test]
fn platform_lists_and_cuts_off_every_stand_in() {
    let dir = TestDir::new("process-platform");
    let mut platform = Platform::start(&dir, &[], &[]);
    platform.add_workers(&dir, &["--count", "2", "--data-centre", "praha-karlin"]);
    platform.add_instances(&dir, &["--service", "assembly"]);
    let client = Client::new().with_header("client", "e1");
    let address = platform.host_list.service.clone();
    let list = |client: &Client| client.get(&address, "/hosts");
    let names = list(&client).unwrap().text();
    for name in ["praha-karlin-w0", "praha-karlin-w1", "dc-assembly-0"] {
        assert!(names.contains(name), "{names}");
    }
    platform.cut_off(&["e1"]);
    assert!(list(&client).is_err());
    assert!(
        client
            .get(&platform.log.service, "/streams/s/records")
            .is_err()
    );
    for entry in platform.entries() {
        assert!(client.get(&entry.address, "/lease").is_err());
    }
    assert_eq!(append(&platform.log, b"x").unwrap().status, 200);
    platform.cut_off(&[]);
    assert!(list(&client).is_ok());
    let worker = platform.backends[0].address(0);
    let token = grant(worker, "e1");
    assert_eq!(start(worker, &start_request(token, "c/j/0", 0)).status, 200);
    assert_eq!(platform.records().with_event(Event::Started).count(), 1);
    platform.mark_leaving_in_list("praha-karlin-w0");
    wait_until("the leaving worker in the host list", WAIT_LIMIT, || {
        list(&client).unwrap().text().contains("leaving")
    });
}

// Guards against settings files with keys or values other than those that were set.
#[test]
fn settings_are_written_as_ini() {
    let dir = TestDir::new("process-settings");
    let settings = Settings::new()
        .set("host", "name", "e1")
        .set("host", "port", 7000)
        .set("log", "address", "127.0.0.1:1");
    let path = settings.write(&dir, "e1.ini");
    let ini = ini::Ini::load_from_file(path).unwrap();
    assert_eq!(ini.get_from(Some("host"), "port"), Some("7000"));
    assert_eq!(ini.get_from(Some("log"), "address"), Some("127.0.0.1:1"));
}

// Guards against a switch for an unknown host that is accepted without effect.
#[test]
fn unknown_host_is_refused() {
    let dir = TestDir::new("process-unknown");
    let workers = Standin::start(&dir, "workers", &[]);
    let patch = json!({"hosts": ["nobody"], "crash": true});
    let reply = Client::new().post_json(&workers.control, "/control", &patch);
    assert_eq!(reply.unwrap().status, 400);
}
