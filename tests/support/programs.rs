use std::ffi::OsStr;
use std::net::{Ipv4Addr, TcpListener};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::{Client, Process, TestDir, wait_until};

/// Time limit for `jayforkd` to start; long enough for a loaded machine.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Held while a port is checked, and while a process starts: until it runs its program, it has copies of all sockets.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Starts a process, but not while a port is checked.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Starts `jayforkd` with `args`; doesn't wait until it is ready.
pub fn jayforkd(
    dir: &TestDir,
    name: &str,
    args: impl IntoIterator<Item = impl AsRef<OsStr>>,
) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayforkd"));
    Process::spawn(dir, name, command.args(args))
}

/// Waits until a `jayforkd` answers `GET /ready` with 200.
pub fn wait_until_ready(address: &str) {
    let client = Client::new();
    wait_until(&format!("readiness of {address}"), READY_LIMIT, || {
        let reply = client.get(address, "/ready");
        reply.is_ok_and(|reply| reply.status == 200)
    });
}

/// Runs `jayfork` with `args` until it exits.
pub fn jayfork(args: impl IntoIterator<Item = impl AsRef<OsStr>>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayfork"));
    command.args(args).stdin(Stdio::null());
    let child = spawn(command.stdout(Stdio::piped()).stderr(Stdio::piped()));
    let output = child.and_then(Child::wait_with_output);
    output.expect("jayfork can be run")
}

/// Returns a port that is free and that no other call in this process returns.
///
/// The ports are below the range from which Linux picks the local ports of connections, so that no
/// connection takes one before its process binds it. Test processes start at different ports.
pub fn free_port() -> u16 {
    const FIRST: u16 = 10_000;
    const COUNT: u16 = 20_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 200) as u16 * 100;
    for _ in 0..COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start + step % COUNT) % COUNT;
        let _guard = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
    panic!("no free port in the {COUNT} ports from {FIRST} on");
}
