use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::SystemTime;

use jayfork::connection::wire::HostEntry;
use serde_json::{Value, json};

use super::{Client, Process, Record, TestDir};

/// A running stand-in process.
#[derive(Debug)]
pub struct Standin {
    pub process: Process,
    /// Address of the control requests.
    pub control: String,
    /// Address of the service of `log` and `hosts`; empty for other stand-ins.
    pub service: String,
    /// Backend servers of `workers` and `instances`.
    pub hosts: Vec<HostEntry>,
    client: Client,
}

impl Standin {
    /// Starts `standin <subcommand> <args>` on free ports and waits until it serves.
    pub fn start(dir: &TestDir, subcommand: &str, args: &[&str]) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let mut command = Command::new(executable());
        command.arg(subcommand).arg("--until-eof").args(args);
        let process = Process::spawn(dir, &format!("{subcommand}-{number}"), &mut command);
        let ready = process.ready_line();
        let control = ready["control"].as_str().expect("an address").to_owned();
        let service = ready["address"].as_str().unwrap_or_default().to_owned();
        let hosts = match ready.get("hosts") {
            Some(hosts) => serde_json::from_value(hosts.clone()).expect("host entries"),
            None => Vec::new(),
        };
        Standin {
            process,
            control,
            service,
            hosts,
            client: Client::new(),
        }
    }

    pub fn address(&self, host: usize) -> &str {
        &self.hosts[host].address
    }

    pub fn name(&self, host: usize) -> &str {
        &self.hosts[host].name
    }

    /// Sets switches of all backend servers, or of those that `hosts` in the patch names.
    pub fn set(&self, patch: Value) {
        let reply = self.client.post_json(&self.control, "/control", &patch);
        let reply = reply.expect("the stand-in runs");
        assert_eq!(reply.status, 200, "{patch}: {}", reply.text());
    }

    /// Sets switches of one backend server.
    pub fn set_host(&self, host: usize, mut patch: Value) {
        patch["hosts"] = json!([self.name(host)]);
        self.set(patch);
    }

    /// Replaces the list of a `hosts` stand-in.
    pub fn put_hosts(&self, hosts: &[HostEntry]) {
        let body = json!({ "hosts": hosts }).to_string();
        let reply = self
            .client
            .call("PUT", &self.control, "/control/hosts", body);
        assert_eq!(reply.expect("the stand-in runs").status, 200);
    }

    /// Returns the records of all events, in their order.
    pub fn records(&self) -> Vec<Record> {
        self.get_control("/control/records").ok()
    }

    /// Returns the number of requests that a backend server holds back.
    pub fn waiting(&self, host: usize) -> u64 {
        let waiting: Value = self.get_control("/control/waiting").ok();
        waiting[self.name(host)].as_u64().expect("a count")
    }

    pub fn stats(&self) -> Value {
        self.get_control("/control/stats").ok()
    }

    fn get_control(&self, path: &str) -> super::Reply {
        self.client
            .get(&self.control, path)
            .expect("the stand-in runs")
    }
}

/// Returns the path of the `standin` executable, in the directory of the programs under test.
///
/// Panics if it is older than its sources, because `cargo test --test <name>` doesn't rebuild
/// examples.
fn executable() -> &'static Path {
    static EXECUTABLE: LazyLock<PathBuf> = LazyLock::new(|| {
        let directory = Path::new(env!("CARGO_BIN_EXE_jayforkd")).parent();
        let path = directory
            .expect("a target directory")
            .join("examples/standin");
        let built = modification_time(&path);
        let project = Path::new(env!("CARGO_MANIFEST_DIR"));
        let sources = ["examples/standin", "src/connection/wire", "src/base.rs"];
        let newest = sources
            .iter()
            .filter_map(|source| newest_modification(&project.join(source)));
        assert!(
            built.is_some() && built >= newest.max(),
            "{} is missing or older than its sources: run cargo build --example standin",
            path.display()
        );
        path
    });
    &EXECUTABLE
}

fn newest_modification(path: &Path) -> Option<SystemTime> {
    match fs::read_dir(path) {
        Ok(entries) => entries
            .flatten()
            .filter_map(|e| newest_modification(&e.path()))
            .max(),
        Err(_) => modification_time(path),
    }
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).ok()?.modified().ok()
}
