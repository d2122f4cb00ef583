//! Time limits of calls and of answers that arrive in parts.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::orders::CallError;

/// Longest time between two parts of an answer. Links deliver a part every few milliseconds, so the rest
/// of the answer is not to be expected after this.
const MAX_PART_TIME: Duration = Duration::from_millis(700);
/// Longest time for all parts together; for connections that carry next to nothing.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// How long a call may take.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimit {
    /// Time until the answer begins, and the upper bound of the time between its parts.
    part: Duration,
    total: Duration,
}

impl TimeLimit {
    /// Limits the time of the whole call.
    pub fn whole(limit: Duration) -> Self {
        TimeLimit {
            part: limit,
            total: limit,
        }
    }

    /// Limits the time until the answer begins and, 700 ms at most, until each further part. For answers
    /// that grow with the system: one that is larger than a slow link carries in a fixed time would never
    /// arrive, and its repetition fill the link.
    pub fn parts(limit: Duration) -> Self {
        TimeLimit {
            part: limit,
            total: limit + MAX_TRANSFER_TIME,
        }
    }
}

/// The times at which a call that has begun is given up.
pub(crate) struct Deadline {
    part: Duration,
    end: Instant,
}

impl Deadline {
    pub fn start(limit: TimeLimit) -> Self {
        Deadline {
            part: limit.part,
            end: Instant::now() + limit.total,
        }
    }

    /// Waits until the answer begins, or for its next part.
    ///
    /// # Errors
    ///
    /// `NoAnswer` if that takes too long.
    pub async fn wait<T>(&mut self, part: impl Future<Output = T>) -> Result<T, CallError> {
        let deadline = self.end.min(Instant::now() + self.part);
        let part = timeout_at(deadline, part).await;
        // From here on, parts follow each other closely.
        self.part = self.part.min(MAX_PART_TIME);
        part.map_err(|_| CallError::NoAnswer)
    }
}
