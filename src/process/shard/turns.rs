//! Counts the turns of starved steps and logs them.

use std::collections::BTreeSet;

use super::shard::Shard;
use crate::request::job::{OrderKey, StepId};

/// What happened to starved steps since the last line about them.
#[derive(Debug, Default)]
pub(super) struct StarvedTurns {
    /// Steps that became starved and have not been seen to get a turn.
    starved: BTreeSet<StepId>,
    /// Number of steps that became starved.
    new: usize,
    /// Number of steps that got a turn.
    turns: usize,
    /// Most workers that one placement pass kept free for starved steps.
    set_aside: usize,
}

impl StarvedTurns {
    /// Takes note of a key that is queued for placement.
    pub(super) fn note_queued(&mut self, key: &OrderKey) {
        if key.is_starved() && self.starved.insert(key.step) {
            self.new += 1;
        }
    }

    /// Takes note that the step of a key has a run.
    pub(super) fn note_run(&mut self, key: &OrderKey) {
        if key.comes_first() && self.starved.remove(&key.step) {
            self.turns += 1;
        }
    }

    /// Takes note of the number of workers that a placement pass has kept free.
    pub(super) fn note_set_aside(&mut self, workers: usize) {
        self.set_aside = self.set_aside.max(workers);
    }
}

impl Shard {
    /// Logs how many steps are starved, and what has changed since the last call.
    pub(super) fn log_turns(&mut self) {
        let known = &self.starved_turns.starved;
        // Steps also leave with the end of their job, or with a run that a worker still had.
        let starved = self
            .ready
            .iter()
            .filter(|key| key.is_starved() || (key.comes_first() && known.contains(&key.step)));
        let starved: BTreeSet<StepId> = starved.map(|key| key.step).collect();
        let turns = std::mem::take(&mut self.starved_turns);
        if !starved.is_empty() || turns.new > 0 || turns.turns > 0 {
            tracing::info!(
                starved = starved.len(),
                new = turns.new,
                turns = turns.turns,
                set_aside = turns.set_aside,
                "steps are starved"
            );
        }
        self.starved_turns.starved = starved;
    }
}
