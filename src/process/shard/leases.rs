//! What later owners must know of the leases of workers that they cannot reach.

use super::journal::{Commit, Journal};
use super::recovery::{ISOLATION_TIME, TRANSIT_TIME};
use super::shard::{Now, Shard};
use super::worker::Worker;
use crate::base::{Millis, Name};
use crate::connection::{CallError, WorkerAnswer};
use crate::version::{LeaseRecord, ShardRecord, WaitRecord};

/// How often it is recorded how long a worker has been waited for, in milliseconds.
const WAIT_INTERVAL: Millis = Millis(500);

/// How long after its last lease a worker that does not answer counts as silent, in milliseconds. Most
/// workers that miss a single report answer the next one by then.
const MIN_SILENCE: Millis = Millis(2_000);

/// How long after the end of its lease a worker that is alive by its entry in the registry is waited for, in
/// milliseconds, before its runs that may have succeeded count as lost.
const REPORT_WAIT: Millis = Millis(10_000);

/// The wait for a worker that does not answer, as it is recorded.
#[derive(Debug, Clone, Copy)]
pub struct RecordedWait {
    record: WaitRecord,
    /// Whether its deletion is being stored.
    is_ending: bool,
}

impl Shard {
    /// Restores the records of how long workers were waited for.
    pub(super) fn restore_waits(&mut self, waits: Vec<(Name, WaitRecord)>, has_resigned: bool) {
        if has_resigned {
            // The owner before has granted no lease since its resignation.
            for worker in self.workers.iter_mut() {
                worker.waited_before = ISOLATION_TIME;
            }
        }
        for (id, record) in waits {
            let Some(worker) = self.workers.get_mut(&id) else {
                self.journal.push(&ShardRecord::Wait(id, None), None);
                continue;
            };
            if record.is_known_to(self.owner.epoch) {
                worker.waited_before = worker.waited_before.max(Millis(record.waited));
            }
            worker.recorded_wait = Some(RecordedWait {
                record,
                is_ending: false,
            });
        }
    }

    /// Whether every lease that this owner or earlier ones granted to a worker has expired.
    pub(super) fn has_waited(&self, now: Millis, worker: &Worker) -> bool {
        if worker.first_report.is_some() {
            return worker.unanswered > 0 && worker.has_expired(now);
        }
        let waited = worker.waited_before + now.since(self.claimed_at);
        waited >= self.lease_wait(worker)
    }

    /// Records how long the workers that do not answer have been without a new lease. Such a worker gets no
    /// lease before the record is deleted, so that the time also counts for later owners.
    pub(super) fn record_waits(&mut self, now: Millis) {
        let longest = wait_for(self.settings.lease).0;
        let epoch = self.owner.epoch;
        let resignation = self.resignation.as_ref();
        let has_resigned = resignation.is_some_and(|resignation| !resignation.is_told);
        for worker in self.workers.iter_mut() {
            let min_silence = match has_resigned {
                true => Millis(0),
                false => MIN_SILENCE,
            };
            let Some(waited) = worker.waited(now, self.claimed_at, min_silence) else {
                continue;
            };
            let waited = waited.0.min(longest);
            let recorded = worker.recorded_wait.map(|wait| wait.record);
            let is_current = recorded.is_some_and(|record| {
                let is_due = waited >= record.waited + WAIT_INTERVAL.0 || has_resigned;
                let is_last = waited == longest && record.waited < longest;
                record.epoch == epoch && !is_due && !is_last
            });
            if is_current {
                continue;
            }
            let record = WaitRecord { waited, epoch };
            worker.recorded_wait = Some(RecordedWait {
                record,
                is_ending: false,
            });
            let record = ShardRecord::Wait(worker.id.clone(), Some(record));
            self.journal.push(&record, None);
        }
    }

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
        wait_for(lease)
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
    /// How long this worker, which does not answer, has been waited for: since the claim of the first owner
    /// that did not hear it, or `ISOLATION_TIME` more than since the last lease that this owner granted. `None`
    /// if that was less than `min_silence` ago.
    fn waited(&self, now: Millis, claimed_at: Millis, min_silence: Millis) -> Option<Millis> {
        let is_ending = self.recorded_wait.is_some_and(|wait| wait.is_ending);
        if self.unanswered == 0 || is_ending {
            return None;
        }
        if self.first_report.is_none() {
            let waited = self.waited_before + now.since(claimed_at);
            return self.is_recovered.then_some(waited);
        }
        let silence = now.since(self.last_grant.filter(|_| self.is_recorded)?);
        (silence >= min_silence).then_some(ISOLATION_TIME + silence)
    }

    /// Deletes the record of how long it was waited for, before it gets a lease.
    pub(super) fn end_wait(&mut self, journal: &mut Journal) {
        let Some(wait) = self.recorded_wait.as_mut().filter(|wait| !wait.is_ending) else {
            return;
        };
        wait.is_ending = true;
        let commit = Commit::WaitEnded(self.id.clone());
        journal.push(&ShardRecord::Wait(self.id.clone(), None), Some(commit));
    }

    /// Notes that an order with this lease end is being sent.
    pub(super) fn note_grant(&mut self, now: Millis, until: u64) {
        tracing::debug!(worker = %self.id, until, "sending a lease end");
        self.lease_until = self.lease_until.max(until);
        self.last_grant = Some(now);
    }

    /// Whether a run that can succeed may have done so although the lease has expired: the worker is alive
    /// by its entry in the registry, so that its next report will tell.
    pub(super) fn may_report_success(&self, now: Millis) -> bool {
        self.is_listed && !self.has_left && !self.has_expired_for(now, REPORT_WAIT)
    }

    /// Whether it may get a lease: later owners do not count on that no owner has granted it one.
    pub(super) fn may_lease(&self) -> bool {
        self.recorded_wait.is_none()
    }

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

/// How long after the claim every lease of this length that earlier owners granted has expired.
fn wait_for(lease: Millis) -> Millis {
    // True time that it lasts on the slowest allowed clock, at 98 % of true time.
    let lease = Millis(lease.0 * 100 / 98);
    ISOLATION_TIME + lease + TRANSIT_TIME
}
