//! Checks claims against their customer's quota.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::ledger::Ledger;
use super::record::TaskSpec;
use crate::base::{Name, Offset, Size};

/// Quota of a customer and its use, as known to the writer of a claim.
///
/// A claim is valid if `quota` covers the sum of `claimed`, the customer's claims on the log from
/// `as_of` up to this one, and `size`. This depends only on a short part of the log, so a reader
/// that did not see all tasks of the customer gets the same result. Releases since `as_of` are not
/// counted; a claim that fits only because of them is void and is made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCheck {
    /// The customer's quota in this data centre.
    pub quota: Size,
    /// Sum of the declared sizes of the customer's claimed tasks, by the records below `as_of`.
    pub claimed: Size,
    /// Declared size of the task.
    pub size: Size,
    pub as_of: Offset,
    /// Log time of the last record below `as_of`, in ms since the Unix epoch.
    pub as_of_time: u64,
}

/// Sum of the claims of one customer in the batch at `offset`.
#[derive(Debug)]
pub(super) struct ClaimSum {
    offset: Offset,
    /// Log time of the batch, in ms since the Unix epoch.
    time: u64,
    size: Size,
}

impl Ledger {
    /// The check that is written with a claim of the task.
    pub fn quota_check(&self, spec: &TaskSpec, quota: Size) -> QuotaCheck {
        QuotaCheck {
            quota,
            claimed: self.claimed_size(&spec.task.customer),
            size: spec.size,
            as_of: self.next,
            as_of_time: self.time,
        }
    }

    /// Whether a claim fits its quota. If so, it is counted against the quota.
    pub(super) fn reserve_quota(
        &mut self,
        offset: Offset,
        customer: &Name,
        check: &QuotaCheck,
    ) -> bool {
        // Older claims are void. The limit is half of the time after a gap for which readers
        // ignore acceptances, so every reader has seen the claims that the check refers to.
        let oldest = self.time.saturating_sub(self.timing.dedupe.0 / 4);
        if check.as_of_time < oldest || check.as_of > offset {
            return false;
        }
        if !self.recent_claims.contains_key(customer) {
            self.recent_claims.insert(customer.clone(), VecDeque::new());
        }
        let Some(recent) = self.recent_claims.get_mut(customer) else {
            return false;
        };
        while recent.front().is_some_and(|sum| sum.time < oldest) {
            recent.pop_front();
        }
        let newer = recent
            .iter()
            .rev()
            .take_while(|sum| sum.offset >= check.as_of);
        let claimed = newer.fold(check.claimed, |total, sum| total.saturating_add(&sum.size));
        if !claimed.saturating_add(&check.size).fits(&check.quota) {
            return false;
        }
        match recent.back_mut() {
            Some(sum) if sum.offset == offset => sum.size = sum.size.saturating_add(&check.size),
            _ => recent.push_back(ClaimSum {
                offset,
                time: self.time,
                size: check.size,
            }),
        }
        true
    }
}
