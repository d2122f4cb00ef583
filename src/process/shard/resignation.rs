//! A planned change of the owner: the owner records that it grants no more leases, so that the next one need
//! not wait for those that an isolated owner may still grant.

use super::journal::Commit;
use super::recovery::ISOLATION_TIME;
use super::shard::{Now, Phase, Shard};
use crate::base::Millis;
use crate::version::{ResignationRecord, ShardRecord};

/// From the begin of a resignation, this owner grants no leases until the deletion of its record is stored.
#[derive(Debug)]
pub(super) struct Resignation {
    pub since: Millis,
    is_stored: bool,
    /// Whether its deletion is being stored.
    is_ending: bool,
    /// Whether another host was told of it instead, so that there is no record.
    pub is_told: bool,
}

impl Resignation {
    pub fn begin(now: Millis) -> Self {
        Resignation {
            since: now,
            is_stored: false,
            is_ending: false,
            is_told: false,
        }
    }

    pub fn told(now: Millis) -> Self {
        Resignation {
            is_told: true,
            ..Resignation::begin(now)
        }
    }

    /// That of an earlier owner, which ends once a record is stored.
    pub fn ending(now: Millis) -> Self {
        Resignation {
            is_stored: true,
            is_ending: true,
            ..Resignation::begin(now)
        }
    }
}

impl Shard {
    /// Stops granting leases and records this for the next owner, with how long silent workers have been
    /// without one. Does nothing if this owner has begun to resign before, and soon after its claim: an earlier
    /// owner that is isolated may still grant leases, or its resignation is not read yet.
    pub fn resign(&mut self, now: Now) {
        let age = now.steady.since(self.claimed_at);
        let is_early = self.phase < Phase::Recovering || age < ISOLATION_TIME;
        if is_early || self.has_begun_to_resign {
            return;
        }
        self.has_begun_to_resign = true;
        self.resignation = Some(Resignation::begin(now.steady));
        self.record_waits(now.steady);
        let record = ResignationRecord {
            epoch: self.owner.epoch,
        };
        tracing::info!(epoch = record.epoch, "granting no more leases");
        let record = ShardRecord::Resignation(Some(record));
        self.journal.push(&record, Some(Commit::Resigned));
    }

    /// Grants leases again once the deletion of the record is stored.
    pub fn withdraw_resignation(&mut self) {
        let resignation = self.resignation.as_mut();
        let Some(resignation) = resignation.filter(|resignation| !resignation.is_ending) else {
            return;
        };
        resignation.is_ending = true;
        tracing::warn!(
            epoch = self.owner.epoch,
            "no other host has taken over; resignation withdrawn"
        );
        let record = ShardRecord::Resignation(None);
        self.journal.push(&record, Some(Commit::ResignationEnded));
    }

    /// Deletes the record of an earlier owner's resignation. Until that is stored this owner grants no leases
    /// either, so that the record counts for no later one. Returns whether no owner has granted any since.
    pub(super) fn end_resignation(&mut self, now: Now, record: Option<ResignationRecord>) -> bool {
        let Some(record) = record else {
            return false;
        };
        self.resignation = Some(Resignation::ending(now.steady));
        let deletion = ShardRecord::Resignation(None);
        self.journal.push(&deletion, Some(Commit::ResignationEnded));
        record.is_known_to(self.owner.epoch)
    }

    pub(super) fn apply_resignation_end(&mut self, now: Now) {
        // This owner may have begun to resign itself meanwhile.
        if self
            .resignation
            .as_ref()
            .is_some_and(|resignation| resignation.is_ending)
        {
            self.resignation = None;
            self.poll_all_workers(now.steady);
        }
    }

    /// Whether the resignation is stored.
    pub fn has_resigned(&self) -> bool {
        let resignation = self.resignation.as_ref();
        resignation.is_some_and(|resignation| resignation.is_stored && !resignation.is_ending)
    }

    /// How long this owner has granted no leases.
    pub fn resigned_for(&self, now: Millis) -> Option<Millis> {
        let resignation = self.resignation.as_ref()?;
        Some(now.since(resignation.since))
    }

    pub(super) fn apply_resignation(&mut self) {
        if let Some(resignation) = &mut self.resignation {
            resignation.is_stored = true;
        }
    }
}
