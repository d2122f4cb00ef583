//! Time limits of answers that arrive in parts.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::orders::CallError;

/// Longest time between two parts of an answer. Links deliver a part every few milliseconds, so the rest
/// of the answer is not to be expected after this.
const MAX_PART_TIME: Duration = Duration::from_millis(700);
/// Longest time for all parts together; for connections that carry next to nothing.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Limits the time between the parts of an answer instead of the time of the whole. An answer that is
/// larger than a slow link carries in a fixed time would never arrive, and its repetition fill the link.
pub(crate) struct TransferLimit {
    part_time: Duration,
    end: Instant,
}

impl Default for TransferLimit {
    fn default() -> Self {
        TransferLimit::new(MAX_PART_TIME)
    }
}

impl TransferLimit {
    /// `time_limit` is the time limit for the begin of the answer; a part may not take longer.
    pub fn new(time_limit: Duration) -> Self {
        TransferLimit {
            part_time: time_limit.min(MAX_PART_TIME),
            end: Instant::now() + MAX_TRANSFER_TIME,
        }
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// `NoAnswer` if it does not arrive in time.
    pub async fn next<T>(&mut self, part: impl Future<Output = T>) -> Result<T, CallError> {
        let deadline = self.end.min(Instant::now() + self.part_time);
        let part = timeout_at(deadline, part).await;
        part.map_err(|_| CallError::NoAnswer)
    }
}
