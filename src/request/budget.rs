//! Budget that bounds retries by a share of successes.

/// Tokens are kept in tenths, so that the usual 10% is exact.
const TOKEN: u64 = 10;

/// Token bucket that successes fill and retries drain.
///
/// Over any history, retries are at most `initial` plus a tenth of the successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u64,
    cap: u64,
}

impl RetryBudget {
    /// `initial` retries are allowed before the first success; at most `cap` are saved up.
    pub fn new(initial: u32, cap: u32) -> Self {
        RetryBudget {
            tenths: u64::from(initial) * TOKEN,
            cap: u64::from(cap.max(initial)) * TOKEN,
        }
    }

    /// Counts a success; ten of them pay for one retry.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(self.cap);
    }

    /// Takes one retry; false if the budget does not allow it.
    pub fn withdraw(&mut self) -> bool {
        if self.tenths < TOKEN {
            return false;
        }
        self.tenths -= TOKEN;
        true
    }

    /// Whole retries that are available now.
    pub fn available(&self) -> u64 {
        self.tenths / TOKEN
    }
}
