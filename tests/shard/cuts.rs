//! Cut links between single owners and the store or single workers, and owners that are paused.

use std::collections::{HashMap, HashSet};

use super::world::World;

/// Messages on cut links are lost in both directions.
#[derive(Default)]
pub struct Cuts {
    /// Owners without the store.
    pub store: HashSet<usize>,
    /// Owners and the workers that they cannot reach.
    pub workers: HashSet<(usize, usize)>,
    /// Owners that stand still. Messages to them wait.
    pub paused: HashSet<usize>,
    /// Workers whose entries have been removed from the registry although their processes run.
    pub unlisted: HashSet<usize>,
    /// When the store last carried out a call of each owner and its answer was not lost.
    pub answered: HashMap<usize, u64>,
}

impl World {
    /// Cuts off the first owner and one worker from the store, the other workers and the next owners.
    pub fn isolate(&mut self, worker: usize, next_owners: &[usize]) {
        self.cuts.store.insert(0);
        let others = (0..self.fleet.workers.len()).filter(|other| *other != worker);
        self.cuts.workers.extend(others.map(|other| (0, other)));
        let next_owners = next_owners.iter().map(|owner| (*owner, worker));
        self.cuts.workers.extend(next_owners);
    }
}
