//! Starts the store, the minions and the entry hosts of a small deployment, and talks to the hosts as clients do.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::workers::{Fleet, Kind};

pub const HOST: &str = "nony24.example";
const SERVICE: &str = "huvo11a";
/// The configuration at the start.
const FIRST_VERSION: u64 = 7;
const FIRST_ROUTE: &str = "r-3hwrr6x";
/// How long a client waits for an answer.
const WAIT: Duration = Duration::from_millis(3_000);

pub struct EntryHost {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct System {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub hosts: Vec<EntryHost>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

/// What a case needs: its minions and its queue.
pub struct Setup {
    pub hosts: usize,
    pub minions: usize,
    pub kind: Kind,
    /// Runs of a task that may fail.
    pub attempts: u64,
}

impl System {
    /// Starts everything and waits until a host serves; `None` if none does within 20 s.
    pub fn open(setup: &Setup, record: Arc<Record>) -> Option<System> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store = Arc::new(Store::default());
        let store_address = free_address();
        let listener = TcpListener::bind(store_address).ok()?;
        let serving = store.clone();
        std::thread::spawn(move || http::serve(listener, || true, move |request| serving.answer(&request)));
        publish_config(&store, FIRST_VERSION, FIRST_ROUTE, setup.attempts);
        let fleet = Fleet::open(setup.minions, SERVICE, &setup.kind, store.clone(), record.clone());
        let ports: Vec<SocketAddr> = (0..setup.hosts * 4).map(|_| free_address()).collect();
        let seeds: Vec<String> = ports.chunks(4).map(|ports| ports[2].to_string()).collect();
        let mut system = System { store, fleet, hosts: Vec::new(), record, folder };
        for (index, ports) in ports.chunks(4).enumerate() {
            let name = format!("edge-dc-0-{}", index + 1);
            let settings = settings(&name, ports, &seeds, store_address);
            let path = system.folder.join(format!("{name}.ini"));
            fs::write(&path, settings).ok()?;
            let host = EntryHost {
                name,
                front: ports[0],
                ready: ports[1],
                settings: path,
                child: Mutex::default(),
            };
            system.start(&host).ok()?;
            system.hosts.push(host);
        }
        let end = Instant::now() + Duration::from_secs(20);
        while !system.hosts.iter().all(|host| is_ready(host.ready)) {
            if Instant::now() >= end {
                system.record.line("the entry hosts are not ready after 20 s");
                return None;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // The owner asks all minions for a report before it serves in full.
        std::thread::sleep(Duration::from_millis(1_500));
        system.record.line("all entry hosts are ready");
        Some(system)
    }

    /// Starts the process of an entry host with the command of deploy/system.toml.
    pub fn start(&self, host: &EntryHost) -> std::io::Result<()> {
        let output = fs::File::options().create(true).append(true).open(host.settings.with_extension("log"))?;
        let mut command = Command::new("target/release/jayforkd");
        // The process ends with this one, however this one ends.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["--on-platform", "--settings"])
            .arg(&host.settings)
            .env("JAYFORK_SETTINGS", &host.settings)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        self.record.line(&format!("entry host {} starts", host.name));
        *host.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends a client's request to the entry hosts in turn until one answers with something else than 502, 503
    /// or 504; returns the status and the body.
    pub fn send(&self, method: &str, id: &str, body: &str, tries: usize) -> Option<(u16, String)> {
        let mut last = None;
        for attempt in 0..tries {
            let host = &self.hosts[attempt % self.hosts.len()];
            let path = format!("/lohu930/{id}");
            let answer = http::call(host.front, method, &path, HOST, body, WAIT);
            let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
            self.record.line(&format!("{method} {path} at {}: {shown}", host.name));
            match answer {
                Some((502..=504, _)) | None => std::thread::sleep(Duration::from_millis(300)),
                Some(answer) => return Some(answer),
            }
            last = answer;
        }
        last
    }

    /// Hands a job in; returns whether it was accepted.
    pub fn submit(&self, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!(r#"{{"spec":{},"steps":{steps}}}"#, crate::json::quote(spec));
        self.record.line(&format!("job {id}: {body}"));
        self.send("POST", id, &body, 20).is_some_and(|(status, _)| (200..300).contains(&status))
    }

    /// The state of a job as a host shows it, or the status of the answer.
    pub fn state(&self, id: &str) -> String {
        match self.send("GET", id, "", 6) {
            Some((200, body)) => Json::parse(&body).and_then(|json| Some(json.text("state")?.to_owned())).unwrap_or(body),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until `holds`, for `limit` at most; returns whether it held.
    pub fn wait(&self, limit: Duration, mut holds: impl FnMut(&System) -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if holds(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        holds(self)
    }

    /// Number of tasks of a job that run.
    pub fn running(&self, id: &str) -> usize {
        let lives = self.fleet.minions.iter().map(|minion| {
            let life = minion.life.lock().unwrap();
            life.iter().flat_map(|life| &life.runs).filter(|run| run.task.starts_with(id)).count()
        });
        lives.sum()
    }

    pub fn close(&self) {
        for host in &self.hosts {
            host.kill();
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.close();
    }
}

/// Writes a version of the configuration with one route.
pub fn publish_config(store: &Store, version: u64, route: &str, attempts: u64) {
    let config = format!(
        r#"{{"version":{version},"routes":[{{"name":"{route}","host":"{HOST}","pathPrefix":"/lohu930/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":2500,"priority":0,"service":"{SERVICE}","attempts":{attempts},"stretch":2.2}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"spare":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    );
    store.put("keyed.op", "config", &config);
}

fn is_ready(address: SocketAddr) -> bool {
    let answer = http::call(address, "GET", "/readiness", "localhost", "", Duration::from_millis(500));
    answer.is_some_and(|(status, _)| status == 200)
}

/// An address on which nothing listens, another one at each call. Its port is not one that the system gives to
/// connections, so that it stays free while nothing listens there.
pub fn free_address() -> SocketAddr {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 18_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let index = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST + index % COUNT) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The template of the deploy file, filled in with the settings of a small site.
fn settings(name: &str, ports: &[SocketAddr], seeds: &[String], store: SocketAddr) -> String {
    let template = fs::read_to_string("deploy/entry.ini").expect("the script runs in the repository's root");
    let mut text = template.replace("{{ip}}:{{portRange.0}}", &ports[3].to_string());
    let fields = [
        ("nodeName", name.to_owned()),
        ("zone", "dc-0".to_owned()),
        ("region", "region-0".to_owned()),
        ("limits.cpuShare", "0.1".to_owned()),
        ("listen.front", ports[0].to_string()),
        ("listen.ready", ports[1].to_string()),
        ("listen.control", ports[2].to_string()),
        ("seeds", seeds.join(",")),
        ("platform.address", store.to_string()),
        ("bounds.holdMaxMs", "6000".to_owned()),
        ("bounds.stopMs", "400".to_owned()),
        ("bounds.status_s", "120".to_owned()),
        // The small sites have no bound on evacuations.
        ("bounds.evacMs", String::new()),
        ("limits.memoryMb", "260".to_owned()),
        ("limits.maxFds", "4100".to_owned()),
    ];
    for (field, value) in fields {
        text = text.replace(&format!("{{{{{field}}}}}"), &value);
    }
    assert!(!text.contains("{{"), "the template has a field that the script does not know: {text}");
    text
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Has the kernel kill the process when the thread that started it ends.
fn end_with_parent() -> std::io::Result<()> {
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    const KILL: u64 = 9;
    match unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

impl EntryHost {
    /// Kills the host's process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
