//! Workers that a host suspects to be lost, and workers that are declared lost.

use super::ledger::{Ledger, TaskChange};
use super::restate::WorkerLoss;
use crate::base::{Millis, Name, Offset, TaskId};

/// Log time, in ms, after which a suspicion expires that led neither to an answer nor to a loss.
///
/// Its writer declares the worker lost after 45 s. If suspicions didn't expire, one of a dead host
/// would keep all other hosts from suspecting the worker.
const SUSPICION_TTL: u64 = 180_000;
/// Number of lost workers that are kept for tasks that are restated later.
const MAX_LOSSES: usize = 1024;

/// A host's suspicion that a worker is lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    pub host: Name,
    pub offset: Offset,
    /// Time at which this process read the record.
    pub read_time: Millis,
}

/// A suspicion that no holder of the worker's lease has answered.
#[derive(Debug)]
pub(super) struct UnansweredSuspicion {
    /// Log time of the record, in ms since the Unix epoch.
    time: u64,
    suspicion: Suspicion,
}

impl Ledger {
    /// All unanswered suspicions with their workers. Several hosts may suspect the same worker.
    pub fn open_suspicions(&self) -> impl Iterator<Item = (&Name, &Suspicion)> {
        self.unanswered.iter().flat_map(|(worker, unanswered)| {
            unanswered.iter().map(move |item| (worker, &item.suspicion))
        })
    }

    pub(super) fn apply_suspected(
        &mut self,
        offset: Offset,
        now: Millis,
        host: &Name,
        worker: &Name,
    ) {
        let suspicion = Suspicion {
            host: host.clone(),
            offset,
            read_time: now,
        };
        let oldest = self.suspicions.entry(worker.clone());
        oldest.or_insert_with(|| suspicion.clone());
        let time = self.time;
        self.unanswered
            .entry(worker.clone())
            .or_default()
            .push(UnansweredSuspicion { time, suspicion });
    }

    /// Drops all suspicions of `worker`: a holder of its lease has answered, or it is lost.
    pub(super) fn close_suspicions(&mut self, worker: &Name) {
        self.suspicions.remove(worker);
        self.unanswered.remove(worker);
    }

    pub(super) fn expire_suspicions(&mut self) {
        if self.unanswered.is_empty() {
            return;
        }
        let oldest = self.time.saturating_sub(SUSPICION_TTL);
        let suspicions = &mut self.suspicions;
        self.unanswered.retain(|worker, unanswered| {
            unanswered.retain(|item| item.time >= oldest);
            match unanswered.first() {
                Some(first) if suspicions.get(worker) == Some(&first.suspicion) => {}
                Some(first) => {
                    suspicions.insert(worker.clone(), first.suspicion.clone());
                }
                None => {
                    suspicions.remove(worker);
                }
            }
            !unanswered.is_empty()
        });
    }

    /// Ends all attempts on a worker as lost, if the writer's own suspicion is still unanswered.
    pub(super) fn apply_worker_lost(
        &mut self,
        offset: Offset,
        host: &Name,
        (worker, suspected): (&Name, Offset),
        changes: &mut Vec<TaskChange>,
    ) {
        let is_open = self.unanswered.get(worker).is_some_and(|unanswered| {
            let mut unanswered = unanswered.iter().map(|item| &item.suspicion);
            unanswered.any(|open| open.offset == suspected && open.host == *host)
        });
        if !is_open {
            return;
        }
        self.close_suspicions(worker);
        self.losses.push_back(WorkerLoss {
            position: self.position,
            offset,
            time: self.time,
            worker: worker.clone(),
        });
        if self.losses.len() > MAX_LOSSES {
            self.losses.pop_front();
        }
        let claims = self.worker_claims.get(worker);
        let lost: Vec<TaskId> = claims.into_iter().flatten().cloned().collect();
        for id in lost {
            self.mark_claim_lost(&id, worker, self.time, changes);
        }
    }
}
