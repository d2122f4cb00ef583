use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use jayfork::connection::wire::{HostState, JobState, Status};
use serde_json::{Value, json};

use super::{
    Client, Platform, Process, Records, Reply, Settings, Signal, TestDir, eventually, free_port,
    jayforkd, until,
};

/// Time for a change that takes a few protocol intervals, on a loaded machine.
pub const SOON: Duration = Duration::from_secs(30);

/// Service of all instances.
const SERVICE: &str = "issue-assembly";

/// What `Cluster::start` starts.
#[derive(Debug, Clone, Default)]
pub struct Shape<'a> {
    /// Data centre and number of entry hosts; hosts are named `<data centre>-<n>` from 1.
    pub entries: &'a [(&'a str, usize)],
    /// Arguments of `standin workers` and `standin instances`, each in one process.
    pub workers: &'a [&'a [&'a str]],
    pub instances: &'a [&'a [&'a str]],
    pub log: &'a [&'a str],
    pub list: &'a [&'a str],
    /// Values of `[timing]` in addition to the shortened ones.
    pub timing: &'a [(&'a str, &'a str)],
}

/// Stand-ins of the platform with entry hosts that serve a contract.
#[derive(Debug)]
pub struct Cluster {
    // Fields drop in this order: first the programs, then the platform, then the folder.
    pub hosts: Vec<Entry>,
    pub platform: Platform,
    pub dir: TestDir,
    data_centres: Vec<String>,
}

/// One entry host.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub data_centre: String,
    /// Address of its API.
    pub api: String,
    settings: PathBuf,
    process: Process,
    starts: usize,
}

impl Cluster {
    /// Starts everything and waits until the hosts serve, hold all leases and follow the contract.
    pub fn start(test: &str, shape: &Shape) -> Self {
        let cluster = Cluster::start_without_contract(test, shape);
        cluster.until_held();
        // The tests of contracts judge the answer.
        cluster.publish(0, 0, &cluster.contract(0));
        cluster.until_version(1);
        cluster
    }

    /// As `start`, but without a contract and without waiting for leases.
    pub fn start_without_contract(test: &str, shape: &Shape) -> Self {
        let dir = TestDir::new(test);
        let mut platform = Platform::start(&dir, shape.log, shape.list);
        for args in shape.workers {
            platform.add_workers(&dir, args);
        }
        for args in shape.instances {
            platform.add_instances(&dir, args);
        }
        let mut cluster = Cluster {
            hosts: Vec::new(),
            platform,
            dir,
            data_centres: shape.entries.iter().map(|e| e.0.to_owned()).collect(),
        };
        cluster.spawn_hosts(shape);
        for host in 0..cluster.hosts.len() {
            cluster.until_serving(host);
        }
        cluster
    }

    fn spawn_hosts(&mut self, shape: &Shape) {
        let address = || format!("127.0.0.1:{}", free_port());
        let mut plan: Vec<(String, String, String, String)> = Vec::new();
        for (data_centre, count) in shape.entries {
            for number in 1..=*count {
                let name = format!("{data_centre}-{number}");
                plan.push((name, (*data_centre).to_owned(), address(), address()));
            }
        }
        for (name, data_centre, api, peer) in &plan {
            let mut settings = Settings::new()
                .set("host", "name", name)
                .set("host", "data_centre", data_centre)
                .set("host", "region", format!("region-{data_centre}"))
                .set("listen", "api", api)
                .set("listen", "peer", peer)
                .set("platform", "log", self.url(&self.platform.log.service))
                .set("platform", "hosts", self.url(&self.platform.list.service))
                .set("platform", "retention", "2 h")
                .set("log", "level", "jayfork=debug,info");
            for (other, centre, _, address) in &plan {
                let peer = format!("{centre}, region-{centre}, {address}");
                settings = settings.set("peers", other, peer);
            }
            for (key, value) in SHORT.iter().chain(shape.timing) {
                settings = settings.set("timing", key, value);
            }
            let path = settings.write(&self.dir, &format!("{name}.ini"));
            let process = jayforkd(&self.dir, &format!("{name}-1"), arguments(&path));
            self.hosts.push(Entry {
                name: name.clone(),
                data_centre: data_centre.clone(),
                api: api.clone(),
                settings: path,
                process,
                starts: 1,
            });
        }
    }

    fn url(&self, address: &str) -> String {
        format!("http://{address}")
    }

    /// The contract of customer `vltava`; `mark` makes versions differ.
    pub fn contract(&self, mark: u32) -> Value {
        json!({
            "customer": "vltava",
            "data_centres": self.data_centres,
            "quota": { "processors": 4_000_000 + mark, "memory": 16_000_000, "accelerators": 0 },
            "classes": [
                { "name": "proof", "urgency": "urgent", "service": SERVICE, "deadline": 15_000 },
                { "name": "check", "urgency": "urgent", "service": SERVICE, "deadline": 15_000,
                  "at_most_once": true },
                { "name": "note", "urgency": "urgent", "service": SERVICE, "deadline": 15_000,
                  "max_body": 1024 },
                { "name": "merge", "urgency": "deferrable", "at_most_once": true },
                { "name": "archive", "urgency": "background", "max_attempts": 20 },
                { "name": "odour", "urgency": "watcher" },
            ],
        })
    }

    /// Proposes a contract of `vltava` on a host.
    pub fn publish(&self, host: usize, base: u64, contract: &Value) -> Reply {
        let path = format!("/v1/contracts/vltava?base={base}");
        let reply = Client::new().call("PUT", self.api(host), &path, contract.to_string());
        reply.unwrap_or_else(|error| panic!("publish through {}: {error}", self.api(host)))
    }

    /// Version of `vltava`'s contract in force on a host; 0 without a contract.
    pub fn version(&self, host: usize) -> u64 {
        let reply = Client::new().get(self.api(host), "/v1/contracts/vltava");
        reply.map_or(0, |reply| match reply.status {
            200 => reply.json::<Value>()["version"].as_u64().unwrap_or(0),
            _ => 0,
        })
    }

    pub fn until_version(&self, version: u64) {
        until(&format!("version {version} everywhere"), SOON, || {
            (0..self.hosts.len()).all(|host| self.version(host) >= version)
        });
    }

    pub fn until_serving(&mut self, host: usize) {
        let entry = &mut self.hosts[host];
        let client = Client::new();
        until(&format!("service of {}", entry.name), SOON, || {
            assert!(!entry.process.has_exited(), "{} has exited", entry.name);
            let reply = client.get(&entry.api, "/ready");
            reply.is_ok_and(|reply| reply.status == 200 && reply.body == b"serving\n")
        });
    }

    /// Waits until every live backend server has a holder that its data centre's hosts know.
    pub fn until_held(&self) {
        until("holder of every backend server", SOON, || {
            (0..self.hosts.len()).all(|host| {
                let status = self.status(host);
                let workers = status.workers.iter().map(|w| (w.state, &w.holder));
                let instances = status.instances.iter().map(|i| (i.state, &i.holder));
                let entries = self.platform.entries();
                let listed = entries
                    .iter()
                    .filter(|entry| *entry.data_centre == *self.hosts[host].data_centre);
                let all: Vec<_> = workers.chain(instances).collect();
                all.len() == listed.count()
                    && all
                        .iter()
                        .all(|(state, holder)| *state == HostState::Leaving || holder.is_some())
            })
        });
    }

    pub fn status(&self, host: usize) -> Status {
        let reply = Client::new().get(self.api(host), "/v1/status");
        reply.expect("the host runs").ok()
    }

    /// Host that holds a worker or instance, as `host` knows it; `None` if `host` does not serve.
    pub fn holder(&self, host: usize, backend: &str) -> Option<usize> {
        let reply = Client::new().get(self.api(host), "/v1/status").ok()?;
        let status: Status = reply.ok();
        let worker = status.workers.iter().find(|w| *w.name == *backend);
        let instance = status.instances.iter().find(|i| *i.name == *backend);
        let holder = worker
            .and_then(|w| w.holder.clone())
            .or_else(|| instance.and_then(|i| i.holder.clone()))?;
        self.hosts.iter().position(|entry| *entry.name == *holder)
    }

    pub fn api(&self, host: usize) -> &str {
        &self.hosts[host].api
    }

    /// Sends an urgent request; panics if the connection fails.
    pub fn request(&self, host: usize, class: &str, id: &str, body: &[u8]) -> Reply {
        let path = format!("/v1/requests/vltava/{class}");
        let client = Client::new().with_header("request-id", id);
        let reply = client.post(self.api(host), &path, body);
        reply.unwrap_or_else(|error| panic!("request {id} through {}: {error}", self.api(host)))
    }

    /// Submits a job of small tasks; `run` is in ms.
    pub fn submit(&self, host: usize, class: &str, job: &str, tasks: u32, run: u64) -> Reply {
        let size = json!({ "processors": 500, "memory": 512, "accelerators": 0 });
        self.submit_sized(host, class, job, tasks, run, &size)
    }

    pub fn submit_sized(
        &self,
        host: usize,
        class: &str,
        job: &str,
        tasks: u32,
        run: u64,
        size: &Value,
    ) -> Reply {
        let body = json!({
            "customer": "vltava", "class": class, "job": job, "tasks": tasks, "size": size,
            "run": run,
        });
        let reply = Client::new().post_json(self.api(host), "/v1/jobs", &body);
        reply.unwrap_or_else(|error| panic!("job {job} through {}: {error}", self.api(host)))
    }

    /// State of a job of `vltava`, if the host knows it.
    pub fn job(&self, host: usize, job: &str) -> Option<JobState> {
        let path = format!("/v1/jobs/vltava/{job}");
        let reply = Client::new().get(self.api(host), &path).ok()?;
        (reply.status == 200).then(|| reply.json())
    }

    pub fn cancel(&self, host: usize, job: &str) -> Reply {
        let path = format!("/v1/jobs/vltava/{job}");
        let reply = Client::new().call("DELETE", self.api(host), &path, Vec::new());
        reply.unwrap_or_else(|error| panic!("cancel {job}: {error}"))
    }

    /// Waits until all tasks of a job are done; returns the job.
    pub fn until_done(&self, host: usize, job: &str, limit: Duration) -> JobState {
        let mut last = None;
        let mut probe = || {
            let state = self.job(host, job)?;
            let is_open = |state: &str| matches!(state, "pending" | "claimed");
            let done = !state.tasks.iter().any(|task| is_open(&task.state));
            last = Some(state.clone());
            done.then_some(state)
        };
        let deadline = std::time::Instant::now() + limit;
        while std::time::Instant::now() < deadline {
            if let Some(state) = probe() {
                return state;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("job {job} is not done within {limit:?}: {last:?}");
    }

    /// Waits until `count` tasks of a job run on workers; returns the records.
    pub fn until_started(&self, job: &str, count: usize) -> Records {
        let prefix = format!("vltava/{job}/");
        eventually(&format!("{count} starts of {job}"), SOON, || {
            let records = self.platform.records();
            (records.starts(&prefix) >= count).then_some(records)
        })
    }

    pub fn signal(&mut self, host: usize, signal: Signal) {
        self.hosts[host].process.signal(signal);
    }

    pub fn kill(&mut self, host: usize) {
        self.hosts[host].process.kill();
    }

    pub fn wait(&mut self, host: usize) -> ExitStatus {
        self.hosts[host].process.wait()
    }

    /// Starts a host that has ended again with the same settings, without waiting for it.
    pub fn restart(&mut self, host: usize) {
        let entry = &mut self.hosts[host];
        entry.starts += 1;
        let name = format!("{}-{}", entry.name, entry.starts);
        entry.process = jayforkd(&self.dir, &name, arguments(&entry.settings));
    }

    /// Checks the invariants that hold in every run.
    pub fn check(&self, records: &Records) {
        let check = |result: Result<(), super::Breach>| {
            if let Err(breach) = result {
                panic!("{breach}");
            }
        };
        check(records.check_marks());
        check(records.check_slots(8));
        check(records.check_one_place());
        check(records.check_at_most_once(&["merge"]));
    }
}

/// Timings of a test; those that the settings do not reach keep their defaults.
const SHORT: &[(&str, &str)] = &[
    ("lease_ttl", "1500 ms"),
    ("lease_renewal", "400 ms"),
    ("lease_retry", "400 ms"),
    ("handback_delay", "2500 ms"),
    ("append_interval", "20 ms"),
    ("append_timeout", "3 s"),
    ("hosts_interval", "200 ms"),
];

fn arguments(settings: &std::path::Path) -> [std::ffi::OsString; 2] {
    ["--settings".into(), settings.into()]
}
