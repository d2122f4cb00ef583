//! The batches that a relay has got in a session, and their replies until the owner has them.

use std::collections::BTreeMap;

use super::RelayedAnswer;
use crate::connection::{WorkerAnswer, WorkerReport};

/// Most replies that are kept in a session; the owner has no more batches open.
const MAX_REPLIES: usize = 16;
/// Most memory of the kept replies of a session, in bytes.
const MAX_BYTES: usize = 1 << 20;
/// Most batches that are known by their number in a session. In the lifetime of a batch, the owner sends
/// no more of them.
const MAX_BATCHES: usize = 64;

#[derive(Debug)]
enum BatchState {
    /// The owner's call waits for its reply.
    Open,
    /// What the reply contained, and its size in bytes.
    Replied(Vec<RelayedAnswer>, usize),
    /// The reply is no longer kept.
    Forgotten,
    /// The owner has been told that the orders have not been and will not be carried out.
    Renounced,
}

/// What a relay knows of a batch that the owner asks about.
#[derive(Debug, PartialEq)]
pub(super) enum Outcome {
    /// The reply is still to come.
    Open,
    Replied(Vec<RelayedAnswer>),
    /// It never came, and will be refused if it comes.
    NotTaken,
    Unknown,
}

/// The batches of a session by number.
#[derive(Debug, Default)]
pub(super) struct BatchReplies {
    /// All batches below this number count as taken; the owner has their replies.
    floor: u64,
    batches: BTreeMap<u64, BatchState>,
}

impl BatchReplies {
    /// Returns whether a batch is new, so that its orders may be carried out. `oldest_open` is the first
    /// batch whose reply the owner still waits for.
    pub fn take(&mut self, number: u64, oldest_open: u64) -> bool {
        self.acknowledge(oldest_open);
        if number < self.floor || self.batches.contains_key(&number) {
            return false;
        }
        self.insert(number, BatchState::Open);
        true
    }

    /// Forgets the batches before the first that the owner waits for.
    fn acknowledge(&mut self, oldest_open: u64) {
        if oldest_open > self.floor {
            self.floor = oldest_open;
            self.batches = self.batches.split_off(&oldest_open);
        }
    }

    fn insert(&mut self, number: u64, state: BatchState) {
        self.batches.insert(number, state);
        if self.batches.len() > MAX_BATCHES {
            if let Some((first, _)) = self.batches.pop_first() {
                self.floor = first.saturating_add(1);
            }
        }
    }

    /// Keeps the reply to a batch, as far as there is room, and forgets older ones.
    pub fn keep(&mut self, number: u64, answers: &[RelayedAnswer]) {
        let Some(state) = self.batches.get_mut(&number) else {
            return;
        };
        let size = answers.iter().map(size_of_answer).sum();
        *state = match size <= MAX_BYTES {
            true => BatchState::Replied(answers.to_vec(), size),
            false => BatchState::Forgotten,
        };
        while !self.has_room() {
            let replied = self.batches.values_mut();
            let mut replied = replied.filter(|state| matches!(state, BatchState::Replied(..)));
            let Some(oldest) = replied.next() else {
                return;
            };
            *oldest = BatchState::Forgotten;
        }
    }

    fn has_room(&self) -> bool {
        let sizes = self.batches.values().filter_map(|state| match state {
            BatchState::Replied(_, size) => Some(*size),
            _ => None,
        });
        let (count, bytes) = sizes.fold((0, 0), |(count, bytes), size| (count + 1, bytes + size));
        count <= MAX_REPLIES && bytes <= MAX_BYTES
    }

    /// The outcome of a batch. After `NotTaken` the batch is refused if it comes.
    pub fn outcome(&mut self, number: u64) -> Outcome {
        if number < self.floor {
            return Outcome::Unknown;
        }
        match self.batches.get(&number) {
            Some(BatchState::Open) => Outcome::Open,
            Some(BatchState::Replied(answers, _)) => Outcome::Replied(answers.clone()),
            Some(BatchState::Forgotten) => Outcome::Unknown,
            Some(BatchState::Renounced) => Outcome::NotTaken,
            None => {
                self.insert(number, BatchState::Renounced);
                Outcome::NotTaken
            }
        }
    }
}

/// Memory of an answer in bytes.
fn size_of_answer(answer: &RelayedAnswer) -> usize {
    let report = match &answer.answer {
        Ok(WorkerAnswer::Report(report)) => size_of_report(report),
        _ => 0,
    };
    size_of::<RelayedAnswer>() + report
}

fn size_of_report(report: &WorkerReport) -> usize {
    let running = report.running.iter().map(|run| &run.checkpoint);
    let ended = report.ended.iter().map(|end| &end.checkpoint);
    let checkpoints: usize = running.chain(ended).flatten().map(|text| text.len()).sum();
    checkpoints + size_of_val(&report.running[..]) + size_of_val(&report.ended[..])
}
