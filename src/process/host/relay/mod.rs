//! Orders to workers that the owner of the shard sends through other hosts, so that one processor
//! does not have to make all calls.
//!
//! The owner decides and keeps all state. A relay only makes the calls, under the owner's epoch and
//! leases, and returns the answers. To the shard it is a slower network: an order that the relay may
//! have received counts as one without an answer, which the worker may still carry out.
//!
//! A batch is sent once. If its reply is lost, the owner asks for it by the number of the batch. The
//! relay keeps replies until the owner has them, and renounces a batch that it has not got when it is
//! asked. A relay that does not know the session, for example after a restart, knows nothing of its
//! batches: their orders count as unanswered.

mod answers;
mod batch;
mod links;
mod replies;
mod sessions;

use crate::process::shard::WorkerTag;

pub use batch::{BatchNumber, OrderBatch, RelayedAnswer, SessionId};
pub(super) use links::{OrderLinks, SentBatch};
pub(super) use sessions::RelaySessions;

/// An order that this host sends to a worker for the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedOrder {
    pub session: SessionId,
    /// Number of the order in the session.
    pub order: u64,
}

/// Who waits for the worker's answer to an order.
#[derive(Debug, Clone)]
pub enum OrderOrigin {
    /// The own shard with this epoch.
    Shard { epoch: u64, tag: WorkerTag },
    /// The owner of the shard, for which this host makes the call.
    Relayed(RelayedOrder),
}
