//! All workers of a shard, indexed by id and by slot.

use std::collections::HashMap;

use super::worker::Worker;
use crate::base::Name;

/// Workers stored in numbered slots, so that the placement needs no lookup by id. A slot number is
/// valid until its worker is removed.
#[derive(Debug, Default)]
pub(super) struct Workers {
    slots: Vec<Option<Worker>>,
    /// Slot of each worker.
    slot_of: HashMap<Name, usize>,
    vacant: Vec<usize>,
}

impl Workers {
    pub fn len(&self) -> usize {
        self.slot_of.len()
    }

    pub fn get(&self, id: &Name) -> Option<&Worker> {
        self.at(*self.slot_of.get(id)?)
    }

    pub fn get_mut(&mut self, id: &Name) -> Option<&mut Worker> {
        self.at_mut(*self.slot_of.get(id)?)
    }

    /// The worker in a slot.
    pub fn at(&self, slot: usize) -> Option<&Worker> {
        self.slots.get(slot)?.as_ref()
    }

    pub fn at_mut(&mut self, slot: usize) -> Option<&mut Worker> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Returns the worker with this id, after adding the result of `create` if there is none.
    pub fn get_or_insert(&mut self, id: &Name, create: impl FnOnce() -> Worker) -> &mut Worker {
        let slot = match self.slot_of.get(id) {
            Some(slot) => *slot,
            None => {
                let slot = self.vacant.pop().unwrap_or(self.slots.len());
                if slot == self.slots.len() {
                    self.slots.push(None);
                }
                self.slot_of.insert(id.clone(), slot);
                slot
            }
        };
        self.slots[slot].get_or_insert_with(create)
    }

    pub fn remove(&mut self, id: &Name) -> Option<Worker> {
        let slot = self.slot_of.remove(id)?;
        self.vacant.push(slot);
        self.slots.get_mut(slot)?.take()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.slots.iter().flatten()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.slots.iter_mut().flatten()
    }

    /// All workers with their slots.
    pub fn slots(&self) -> impl Iterator<Item = (usize, &Worker)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, worker)| Some((slot, worker.as_ref()?)))
    }
}
