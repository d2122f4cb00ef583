use std::fs::File;
use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use serde_json::Value;

use super::{TestDir, spawn, wait_for};

/// Time limit for a process to start or exit; long enough for a loaded machine.
const START_EXIT_LIMIT: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Stop,
    Continue,
    Terminate,
    Hangup,
    Kill,
}

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// Kept open, because stand-ins exit at the end of stdin, even if the test process is killed.
    stdin: Option<ChildStdin>,
    lines: Mutex<Receiver<String>>,
}

impl Process {
    /// Starts `command` and writes its stderr to `<name>.log` in `dir`.
    pub fn spawn(dir: &TestDir, name: &str, command: &mut Command) -> Self {
        let log = File::create(dir.join(&format!("{name}.log"))).expect("the log is writable");
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = spawn(command.stderr(log))
            .unwrap_or_else(|error| panic!("{name}: {command:?}: {error}"));
        let stdin = child.stdin.take();
        let stdout = child.stdout.take().expect("stdout is piped");
        let (sender, lines) = mpsc::channel();
        // Reads on after the ready line, so that the pipe doesn't fill up.
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Process {
            name: name.to_owned(),
            child,
            stdin,
            lines: Mutex::new(lines),
        }
    }

    /// Waits for the next line on stdout and parses it as JSON.
    pub fn ready_line(&self) -> Value {
        let line = self
            .lines
            .lock()
            .expect("no reader panics with the lock")
            .recv_timeout(START_EXIT_LIMIT)
            .unwrap_or_else(|error| panic!("{} printed no ready line: {error}", self.name));
        serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("{}: {line:?}: {error}", self.name))
    }

    /// Closes the child's stdin, which also happens when the test process ends.
    pub fn close_stdin(&mut self) {
        self.stdin = None;
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Sends a signal to the child; does nothing if it has exited.
    pub fn signal(&mut self, signal: Signal) {
        if self.has_exited() {
            return;
        }
        // The child has not been reaped, so no other process can have its id.
        let mut kill = Command::new("sh");
        kill.args(["-c", "kill -s \"$0\" \"$1\""])
            .arg(signal.name())
            .arg(self.child.id().to_string());
        let status = spawn(&mut kill).and_then(|mut child| child.wait());
        assert!(
            status.is_ok_and(|status| status.success()),
            "{}: cannot send {signal:?}",
            self.name
        );
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        let what = format!("exit of {}", self.name);
        wait_for(&what, START_EXIT_LIMIT, || {
            self.child
                .try_wait()
                .expect("the process is a child of this one")
        })
    }

    pub fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::Terminate);
        self.wait()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
            Signal::Terminate => "TERM",
            Signal::Hangup => "HUP",
            Signal::Kill => "KILL",
        }
    }
}
