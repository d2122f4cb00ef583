//! Budget that limits retries to a share of the successful requests.

/// The balance is an integer number of tenths of a retry, since each success allows a tenth of a
/// retry.
const TENTHS_PER_RETRY: u64 = 10;

/// Token bucket that successful requests fill and retries drain.
///
/// There are never more retries than `initial` plus a tenth of the successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries allowed now, in tenths.
    tenths: u64,
    /// Largest balance, in tenths.
    max_tenths: u64,
}

impl RetryBudget {
    /// Allows `initial` retries before the first success. Successes save up at most `max_saved`
    /// retries, or `initial` if that is more.
    pub fn new(initial: u32, max_saved: u32) -> Self {
        RetryBudget {
            tenths: u64::from(initial) * TENTHS_PER_RETRY,
            max_tenths: u64::from(max_saved.max(initial)) * TENTHS_PER_RETRY,
        }
    }

    /// Counts a success; ten successes allow one retry.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(self.max_tenths);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tenths < TENTHS_PER_RETRY {
            return false;
        }
        self.tenths -= TENTHS_PER_RETRY;
        true
    }

    /// Number of retries allowed now.
    pub fn available(&self) -> u64 {
        self.tenths / TENTHS_PER_RETRY
    }
}
