//! Append-only record of what the stand-in ran.

use std::collections::HashMap;

use jayfork::base::{Attempt, Millis, Name, Size, Token};
use serde::Serialize;

/// One entry of `GET /control/records`.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    /// Milliseconds since the Unix epoch.
    pub time: Millis,
    pub host: Name,
    pub event: EventKind,
    /// Id of a task or request, or the holder in events of a lease; empty in events of the host.
    pub id: Name,
    pub attempt: Option<Attempt>,
    pub token: Option<Token>,
    pub size: Option<Size>,
    /// State of the task, or kind of the refusal or violation.
    pub state: Option<Name>,
    pub class: Option<Name>,
    /// Checkpoint from which a start resumes or which an end saved.
    pub checkpoint: Option<Name>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    Granted,
    Released,
    Started,
    Throttled,
    Ended,
    Refused,
    Violation,
    Leaving,
    Crashed,
    Restarted,
}

impl Record {
    pub fn new(time: Millis, host: &Name, event: EventKind, id: &str) -> Self {
        Record {
            time,
            host: host.clone(),
            event,
            id: id.into(),
            attempt: None,
            token: None,
            size: None,
            state: None,
            class: None,
            checkpoint: None,
        }
    }

    pub fn with_state(mut self, state: &str) -> Self {
        self.state = Some(state.into());
        self
    }

    pub fn with_token(mut self, token: Token) -> Self {
        self.token = Some(token);
        self
    }
}

/// Collects records, and adds a violation when an id runs twice at the same time in this process.
#[derive(Debug, Default)]
pub struct Recorder {
    records: Vec<Record>,
    /// Number of current runs of each running id.
    running: HashMap<Name, u32>,
}

impl Recorder {
    pub fn push(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Records a start, and a violation if the id is already running.
    pub fn record_start(&mut self, record: Record) {
        let running = self.running.entry(record.id.clone()).or_default();
        *running += 1;
        let duplicate = (*running > 1).then(|| violation(&record, "duplicate_run"));
        self.records.push(record);
        self.records.extend(duplicate);
    }

    pub fn record_end(&mut self, record: Record) {
        if let Some(running) = self.running.get_mut(&record.id) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&record.id);
            }
        }
        self.records.push(record);
    }

    /// Records a refusal, and a violation if one is given.
    pub fn record_refusal(&mut self, record: Record, violation_kind: Option<&str>) {
        let violation = violation_kind.map(|kind| violation(&record, kind));
        self.records.push(record);
        self.records.extend(violation);
    }

    /// Returns the records from index `from` on.
    pub fn since(&self, from: usize) -> &[Record] {
        self.records.get(from..).unwrap_or_default()
    }
}

fn violation(record: &Record, kind: &str) -> Record {
    Record {
        event: EventKind::Violation,
        ..record.clone()
    }
    .with_state(kind)
}
