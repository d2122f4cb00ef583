//! What later owners must know of the leases of workers that they cannot reach.

use super::journal::Journal;
use super::recovery::{ISOLATION_TIME, TRANSIT_TIME};
use super::shard::{Now, Shard};
use super::worker::Worker;
use crate::base::{Millis, Name};
use crate::connection::{CallError, WorkerAnswer};
use crate::version::{LeaseRecord, ShardRecord};

impl Shard {
    /// Restores the records of workers' leases.
    pub(super) fn restore_leases(&mut self, leases: Vec<(Name, LeaseRecord)>) {
        for (id, lease) in leases {
            match self.workers.get_mut(&id) {
                Some(worker) => {
                    worker.has_long_lease = lease.is_long;
                    worker.recorded_lease = lease;
                }
                None => self.journal.push(&ShardRecord::Lease(id, None), None),
            }
        }
    }

    /// How long after the claim every lease that earlier owners granted to a worker has expired.
    pub(super) fn lease_wait(&self, worker: &Worker) -> Millis {
        let lease = match worker.has_long_lease {
            true => self.settings.lease,
            false => self.settings.granted_lease(),
        };
        // True time that it lasts on the slowest allowed clock, at 98 % of true time.
        let lease = Millis(lease.0 * 100 / 98);
        ISOLATION_TIME + lease + TRANSIT_TIME
    }

    /// Applies the clock in the answer to a start order that carried `lease_end`.
    pub(super) fn apply_start_clock(
        &mut self,
        now: Now,
        worker_id: &Name,
        lease_end: u64,
        answer: &Result<WorkerAnswer, CallError>,
    ) {
        let clock = match answer {
            Ok(WorkerAnswer::Accepted { clock }) => *clock,
            Ok(WorkerAnswer::Refused {
                clock: Some(clock), ..
            }) => *clock,
            _ => return,
        };
        if let Some(worker) = self.workers.get_mut(worker_id) {
            let granted = self.settings.granted_lease();
            worker.answer_start(now.steady, clock, lease_end, granted, self.settings.lease);
            worker.record_lease(now.steady, granted, &mut self.journal);
        }
    }
}

impl Worker {
    /// Records its lease if the record is outdated.
    pub(super) fn record_lease(&mut self, now: Millis, granted: Millis, journal: &mut Journal) {
        if self.has_long_lease && self.outlasts_leases(now, granted) {
            self.has_long_lease = false;
        }
        let record = LeaseRecord {
            is_long: self.has_long_lease,
        };
        if record == self.recorded_lease {
            return;
        }
        self.recorded_lease = record;
        let value = (record != LeaseRecord::default()).then_some(record);
        journal.push(&ShardRecord::Lease(self.id.clone(), value), None);
    }
}
