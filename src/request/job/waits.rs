//! What a job has waited for, and which of its runs were in vain. Only the log uses it.

use std::fmt;

/// Why a task that is ready has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// The next placement pass, or others before it in the order of placement.
    Order,
    /// The record that the job has not started is being deleted.
    Store,
    /// Runs that an earlier owner started may not be known yet.
    Recovery,
    /// An earlier run of the task has not certainly ended.
    EarlierRun,
    /// The task is on trial and needs a worker without recent starts.
    Trial,
    /// Too many start orders have no answer.
    Starts,
    /// No worker has enough unreserved capacity.
    Room,
    /// No worker with room satisfies the label, rack or spread of the step.
    Restricted,
    /// Workers with room have too few idle processors for a best-effort task.
    Processors,
    /// A best-effort task would interfere too much with serving tasks.
    Interference,
    /// The interference is unknown, and another task of the image is trying it out.
    Unknown,
}

impl WaitCause {
    pub const ALL: [WaitCause; 11] = [
        WaitCause::Order,
        WaitCause::Store,
        WaitCause::Recovery,
        WaitCause::EarlierRun,
        WaitCause::Trial,
        WaitCause::Starts,
        WaitCause::Room,
        WaitCause::Restricted,
        WaitCause::Processors,
        WaitCause::Interference,
        WaitCause::Unknown,
    ];
}

/// Time that a job has waited, by cause, in milliseconds. A job of which several steps wait counts
/// the cause that was noted last.
#[derive(Debug, Clone, Default)]
pub struct Waits {
    /// When the newest cause was noted, in Unix milliseconds.
    current: Option<(u64, WaitCause)>,
    totals: [u64; WaitCause::ALL.len()],
    /// Runs of best-effort tasks that were stopped to be moved, or were otherwise stopped.
    pub stopped: u32,
    pub failed: u32,
    /// Runs that were lost with their worker or that it no longer lists.
    pub lost: u32,
    /// Age of the oldest of these when it was counted as lost, in milliseconds.
    pub oldest_lost: u64,
    /// Longest time from the order of a start to the successful end, in milliseconds.
    pub longest_run: u64,
    /// Time by which speed limits have delayed that run, in milliseconds.
    pub longest_paced: u64,
    /// Whether the log has a line on its long wait.
    pub is_logged: bool,
}

impl Waits {
    /// Notes that the job waits; the time since the last note counts for the cause noted then.
    pub fn note(&mut self, now: u64, cause: WaitCause) {
        self.end(now);
        self.current = Some((now, cause));
    }

    /// Notes that the job is to wait for the next placement pass, unless it waits already.
    pub fn begin(&mut self, now: u64) {
        self.current.get_or_insert((now, WaitCause::Order));
    }

    /// Notes that the job does not wait.
    pub fn end(&mut self, now: u64) {
        if let Some((since, cause)) = self.current.take() {
            self.totals[cause as usize] += now.saturating_sub(since);
        }
    }

    /// Time waited for a cause until the last note.
    pub fn total(&self, cause: WaitCause) -> u64 {
        self.totals[cause as usize]
    }
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waited = WaitCause::ALL
            .iter()
            .filter(|cause| self.total(**cause) > 0);
        for (index, cause) in waited.enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(f, "{separator}{cause:?}={}", self.total(*cause))?;
        }
        Ok(())
    }
}
