//! How a task runs, as the payload of its job says, and its progress.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Payload of the load's jobs. A job with another payload runs for an instant.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// Run time at full speed in milliseconds; `None` if the task doesn't end by itself.
    pub run_ms: Option<u64>,
    /// The tail latency or the millicores that the worker reports.
    pub measurement: u64,
}

/// A run in progress.
#[derive(Debug)]
pub struct Run {
    payload: Payload,
    /// Time of work that had been done at `since`.
    done: Duration,
    since: Instant,
    /// Speed in percent.
    speed: u32,
    /// Whether a stop has been ordered.
    pub is_stopping: bool,
}

impl Run {
    pub fn start(spec: &str) -> Self {
        let payload = serde_json::from_str(spec).unwrap_or(Payload {
            run_ms: Some(0),
            measurement: 0,
        });
        Run {
            payload,
            done: Duration::ZERO,
            since: Instant::now(),
            speed: 100,
            is_stopping: false,
        }
    }

    pub fn measurement(&self) -> u64 {
        self.payload.measurement
    }

    pub fn set_speed(&mut self, percent: u32) {
        self.done = self.work_done();
        self.since = Instant::now();
        self.speed = percent.min(100);
    }

    /// Time until the run ends at its present speed; `None` if it does not.
    pub fn remaining(&self) -> Option<Duration> {
        let total = Duration::from_millis(self.payload.run_ms?);
        let work = total.saturating_sub(self.work_done());
        (self.speed > 0).then(|| work * 100 / self.speed)
    }

    /// Progress in percent; 100 for a task that doesn't end by itself.
    pub fn percent(&self) -> u64 {
        match self.payload.run_ms {
            Some(total) => (self.work_done().as_millis() as u64 * 100 / total.max(1)).min(99),
            None => 100,
        }
    }

    fn work_done(&self) -> Duration {
        self.done + self.since.elapsed() * self.speed / 100
    }
}
