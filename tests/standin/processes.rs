use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

use serde_json::json;
use yare::parameterized;

use crate::calls::{WAIT_LIMIT, append, grant, start, start_request, stored};
use crate::support::{
    Client, Event, Platform, Settings, Signal, Standin, TestDir, free_port, wait_until,
};

// Guards against stand-ins that outlive their test.
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

// Guards against stand-ins that stay when their test process was killed.
#[test]
fn standin_exits_when_its_test_ends() {
    let dir = TestDir::new("process-eof");
    let mut log = Standin::start(&dir, "log", &[]);
    log.process.close_stdin();
    assert!(log.process.wait().success());
}

// Guards against children that outlive the value that started them, stopped ones included.
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

// Guards against a fixed port that is ignored, and against hosts on unexpected ports.
#[test]
fn workers_take_consecutive_ports() {
    let dir = TestDir::new("process-port");
    let first = eventually_free_ports(3);
    let port = first.to_string();
    let workers = Standin::start(&dir, "workers", &["--count", "2", "--port", &port]);
    assert_eq!(workers.control, format!("127.0.0.1:{first}"));
    assert_eq!(workers.address(0), format!("127.0.0.1:{}", first + 1));
    assert_eq!(workers.address(1), format!("127.0.0.1:{}", first + 2));
}

fn eventually_free_ports(count: u16) -> u16 {
    let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
    loop {
        let first = free_port();
        if (first..first + count).all(is_free) {
            // Later callers must not get the others of the range.
            while free_port() < first + count - 1 {}
            return first;
        }
    }
}

// Guards against a stopped process that answers, or that loses calls made meanwhile.
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
    // Nothing can be polled here: the call must still be waiting after this time.
    std::thread::sleep(Duration::from_millis(100));
    assert!(!stopped.is_finished());
    log.process.signal(Signal::Continue);
    for call in calls {
        assert_eq!(call.join().unwrap().unwrap(), 200);
    }
    assert_eq!(stopped.join().unwrap().unwrap(), 200);
    assert_eq!(stored(&log).next.0, 32);
}

// Guards against a platform whose list misses hosts or whose cuts miss a part of it.
#[test]
fn platform_lists_and_cuts_every_part() {
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
    wait_until("leaving", WAIT_LIMIT, || {
        list(&client).unwrap().text().contains("leaving")
    });
}

// Guards against settings that a program cannot read back.
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

// Guards against a switch of one host that needs the name of an unknown one.
#[test]
fn unknown_host_is_refused() {
    let dir = TestDir::new("process-unknown");
    let workers = Standin::start(&dir, "workers", &[]);
    let patch = json!({"hosts": ["nobody"], "crash": true});
    let reply = Client::new().post_json(&workers.control, "/control", &patch);
    assert_eq!(reply.unwrap().status, 400);
}
