//! What was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use crate::workers::Kind;

#[derive(Debug, Clone, PartialEq)]
pub enum What {
    Started { checkpoint: Option<String>, used: u64, kind: String, cpu: u64 },
    Ended { how: &'static str },
}

#[derive(Debug, Clone)]
pub struct Event {
    /// Milliseconds since the start of the script.
    pub at: u64,
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub what: What,
}

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    pub events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn open(path: &str) -> Record {
        Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
            events: Mutex::default(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now() as f64 / 1_000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{now:8.3} {text}");
    }

    pub fn started(&self, task: &str, run: u64, minion: &str, checkpoint: Option<&str>, used: u64, kind: &Kind) {
        let saved = checkpoint.map(|text| format!(", checkpoint {text}")).unwrap_or_default();
        self.line(&format!(
            "start of {task} run {run} on {minion}: cpu in use {used} of {}{saved}",
            kind.cpu
        ));
        let what = What::Started {
            checkpoint: checkpoint.map(str::to_owned),
            used,
            kind: kind.label.clone(),
            cpu: kind.cpu,
        };
        self.add(task, run, minion, what);
    }

    pub fn ended(&self, task: &str, run: u64, how: &'static str, minion: &str) {
        self.line(&format!("end of {task} run {run} on {minion}: {how}"));
        self.add(task, run, minion, What::Ended { how });
    }

    /// Notes that an end was acknowledged by `lastSeen`.
    pub fn noted(&self, task: &str, run: u64, how: &str) {
        self.line(&format!("end of {task} run {run} ({how}) is taken note of"));
    }

    fn add(&self, task: &str, run: u64, minion: &str, what: What) {
        self.events.lock().unwrap().push(Event {
            at: self.now(),
            task: task.to_owned(),
            run,
            minion: minion.to_owned(),
            what,
        });
    }
}
