//! What an owner that cannot store a record tells the host that is to claim the shard after it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::journal::Commit;
use super::recovery::ISOLATION_TIME;
use super::resignation::Resignation;
use super::shard::{Now, Phase, Shard, ShardAction, ShardSettings};
use super::worker::Worker;
use crate::base::{Millis, Name};
use crate::connection::Partition;
use crate::version::{OwnerRecord, QueueTable, ShardRecord};

/// Minimum time between two begins of a suspension, in milliseconds. Leases would expire otherwise if each one
/// ended without a new owner.
const SUSPENSION_PAUSE: Millis = Millis(3_000);
/// A worker is told to the next owner if its last lease is at least this old, in milliseconds; workers with runs
/// get a new one that often.
const MIN_SILENCE: Millis = Millis(1_000);

/// The state in which an owner hands over the shard: it grants no more leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Epoch of the owner.
    pub epoch: u64,
    pub waits: Vec<WorkerWait>,
}

/// How long a worker has been without a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerWait {
    pub worker: Name,
    /// In milliseconds, counted as in the record of a wait.
    pub waited: u64,
    /// Whether the last lease may be longer than owners grant.
    pub is_long: bool,
}

impl Shard {
    /// Claims the shard. The epoch of `owner` must be higher than every earlier one.
    pub fn claim(
        settings: ShardSettings,
        partition: Partition,
        owner: OwnerRecord,
        queues: Arc<QueueTable>,
        now: Now,
        out: &mut Vec<ShardAction>,
    ) -> Shard {
        Shard::claim_after(None, settings, partition, owner, queues, now, out)
    }

    /// Stops granting leases and returns what the next owner is to be told. `None` if that was done a moment ago,
    /// if a resignation is recorded, and soon after the claim: an earlier owner that is isolated may still grant
    /// leases.
    pub fn suspend_leases(&mut self, now: Now) -> Option<Handover> {
        let age = now.steady.since(self.claimed_at);
        let is_early = self.phase < Phase::Recovering || age < ISOLATION_TIME;
        let is_recent = self
            .suspended_at
            .is_some_and(|at| now.steady.since(at) < SUSPENSION_PAUSE);
        if is_early || is_recent || self.resignation.is_some() {
            return None;
        }
        self.suspended_at = Some(now.steady);
        self.resignation = Some(Resignation::told(now.steady));
        let workers = self.workers.iter();
        let waits = workers.filter_map(|worker| worker.wait_to_tell(now.steady, self.claimed_at));
        let handover = Handover {
            epoch: self.owner.epoch,
            waits: waits.collect(),
        };
        tracing::info!(
            epoch = handover.epoch,
            workers = handover.waits.len(),
            "granting no more leases unless the next host declines the shard"
        );
        Some(handover)
    }

    /// Grants leases again. The caller is certain that no host acts on what `suspend_leases` has returned.
    pub fn resume_leases(&mut self, now: Now) {
        let resignation = self.resignation.take_if(|resignation| resignation.is_told);
        if resignation.is_none() {
            return;
        }
        tracing::warn!(epoch = self.owner.epoch, "granting leases again");
        self.poll_all_workers(now.steady);
    }

    /// How long this owner has granted no leases because it has told another host so.
    pub fn suspended_for(&self, now: Millis) -> Option<Millis> {
        let resignation = self.resignation.as_ref();
        let told = resignation.filter(|resignation| resignation.is_told)?;
        Some(now.since(told.since))
    }

    /// The first record of this owner. One that was told the state of the owner before it must not replace that
    /// owner's record, which shows whether a third one has claimed the shard between the two.
    pub(super) fn claim_record(&self) -> ShardRecord {
        match self.handover {
            Some(_) => ShardRecord::Resignation(None),
            None => ShardRecord::Owner(self.owner.clone()),
        }
    }

    /// Applies what the owner before has told if it is the one that claimed the shard last. This owner grants no
    /// leases before its own record is stored, so that the same does not count for a later one.
    pub(super) fn apply_handover(&mut self, now: Now, last_owner: Option<u64>) {
        let Some(handover) = self.handover.take() else {
            return;
        };
        self.resignation = Some(Resignation::ending(now.steady));
        let record = ShardRecord::Owner(self.owner.clone());
        self.journal.push(&record, Some(Commit::ResignationEnded));
        if last_owner != Some(handover.epoch) {
            tracing::info!(
                epoch = handover.epoch,
                ?last_owner,
                "another owner has come between"
            );
            return;
        }
        for worker in self.workers.iter_mut() {
            worker.waited_before = worker.waited_before.max(ISOLATION_TIME);
        }
        for wait in handover.waits {
            if let Some(worker) = self.workers.get_mut(&wait.worker) {
                worker.waited_before = worker.waited_before.max(Millis(wait.waited));
                worker.has_long_lease |= wait.is_long;
            }
        }
    }

    /// Asks all workers for a report, which renews their leases.
    pub(super) fn poll_all_workers(&mut self, now: Millis) {
        self.needs_placement = true;
        for worker in self.workers.iter_mut() {
            worker.next_poll = now;
        }
    }
}

impl Worker {
    /// What the next owner is told of it: `None` if its last lease is recent, so that the wait from the claim
    /// on is hardly longer.
    fn wait_to_tell(&self, now: Millis, claimed_at: Millis) -> Option<WorkerWait> {
        let waited = match self.last_grant {
            // The owner before this one may have granted leases for `ISOLATION_TIME` after the claim to a worker
            // that has restarted.
            Some(at) => (ISOLATION_TIME + now.since(at)).min(now.since(claimed_at)),
            None => self.waited_before + now.since(claimed_at),
        };
        let is_silent = self.unanswered > 0 || !self.runs.is_empty();
        let is_told = is_silent && waited >= ISOLATION_TIME + MIN_SILENCE;
        (is_told || self.has_long_lease).then(|| WorkerWait {
            worker: self.id.clone(),
            waited: waited.0,
            is_long: self.has_long_lease,
        })
    }
}
