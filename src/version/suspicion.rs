//! Suspicions and losses of workers.

use super::ledger::{Ledger, TaskChange};
use super::restate::Loss;
use crate::base::{Millis, Name, Offset, TaskId};

/// Log time, in ms, after which a suspicion that was neither answered nor carried out is void.
///
/// Its writer declares the worker lost after 45 s. Without a limit, a writer that died would keep
/// all other hosts from suspecting the worker.
const SUSPICION_TTL: u64 = 180_000;
/// Number of lost workers that are remembered for later restatements.
const MAX_LOSSES: usize = 1024;

/// A host's unanswered suspicion of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    pub host: Name,
    pub offset: Offset,
    /// Core time at which this process read the record.
    pub read_time: Millis,
}

/// An unanswered suspicion and the log time of its record, in ms since the Unix epoch.
#[derive(Debug)]
pub(super) struct Opened {
    time: u64,
    suspicion: Suspicion,
}

impl Ledger {
    /// All suspicions that no holder has answered, with their workers; hosts suspect on their own.
    pub fn open_suspicions(&self) -> impl Iterator<Item = (&Name, &Suspicion)> {
        self.opened
            .iter()
            .flat_map(|(worker, opened)| opened.iter().map(move |one| (worker, &one.suspicion)))
    }

    pub(super) fn suspect(&mut self, offset: Offset, now: Millis, host: &Name, worker: &Name) {
        let suspicion = Suspicion {
            host: host.clone(),
            offset,
            read_time: now,
        };
        let shown = self.suspicions.entry(worker.clone());
        shown.or_insert_with(|| suspicion.clone());
        let time = self.time;
        self.opened
            .entry(worker.clone())
            .or_default()
            .push(Opened { time, suspicion });
    }

    pub(super) fn answer(&mut self, worker: &Name) {
        self.suspicions.remove(worker);
        self.opened.remove(worker);
    }

    pub(super) fn expire_suspicions(&mut self) {
        if self.opened.is_empty() {
            return;
        }
        let oldest = self.time.saturating_sub(SUSPICION_TTL);
        let suspicions = &mut self.suspicions;
        self.opened.retain(|worker, opened| {
            opened.retain(|one| one.time >= oldest);
            match opened.first() {
                Some(first) if suspicions.get(worker) == Some(&first.suspicion) => {}
                Some(first) => {
                    suspicions.insert(worker.clone(), first.suspicion.clone());
                }
                None => {
                    suspicions.remove(worker);
                }
            }
            !opened.is_empty()
        });
    }

    /// Ends all attempts on a worker if the writer's own suspicion has no answer.
    pub(super) fn lose_worker(
        &mut self,
        offset: Offset,
        host: &Name,
        (worker, suspected): (&Name, Offset),
        changes: &mut Vec<TaskChange>,
    ) {
        let is_open = self.opened.get(worker).is_some_and(|opened| {
            let mut opened = opened.iter().map(|one| &one.suspicion);
            opened.any(|open| open.offset == suspected && open.host == *host)
        });
        if !is_open {
            return;
        }
        self.answer(worker);
        self.losses.push_back(Loss {
            position: self.position,
            offset,
            time: self.time,
            worker: worker.clone(),
        });
        if self.losses.len() > MAX_LOSSES {
            self.losses.pop_front();
        }
        let claims = self.claims.get(worker);
        let lost: Vec<TaskId> = claims.into_iter().flatten().cloned().collect();
        for id in lost {
            self.lose_claim(&id, worker, self.time, changes);
        }
    }
}
