//! Memory for the requests of clients that have arrived as a whole.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// A request of up to this size, in bytes, is small: a job of a hundred steps.
const SMALL_REQUEST: u64 = 64 << 10;
/// Part of the memory that only small requests may take.
const SMALL_DIVISOR: u64 = 4;
/// Unit in which memory is granted, in bytes.
const UNIT: u64 = 1 << 10;
/// Longest time for which a request waits for the memory of others. They are answered within some 50 ms in calm, and
/// clients wait for some seconds.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Which part of the memory a request takes its share from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    Small,
    Large,
}

/// Returns the lane of a request with `bytes` of memory, of `memory` for all; `None` if it can never be served.
///
/// Small requests don't wait behind large ones, so that a few clients with the largest jobs don't delay everybody.
pub fn choose_lane(bytes: u64, memory: u64) -> Option<Lane> {
    let small = memory / SMALL_DIVISOR;
    match bytes {
        _ if bytes <= SMALL_REQUEST.min(small) => Some(Lane::Small),
        _ if bytes <= memory - small => Some(Lane::Large),
        _ => None,
    }
}

/// The memory for all requests of a listener that have arrived; clones refer to the same.
#[derive(Clone)]
pub(crate) struct RequestLanes {
    memory: u64,
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

/// Why a request got no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LaneError {
    #[error("the request needs more memory than there is for all")]
    TooLarge,
    #[error("other requests have taken the memory")]
    Busy,
}

impl RequestLanes {
    pub fn new(memory: u64) -> RequestLanes {
        let small = memory / SMALL_DIVISOR;
        let lane = |bytes: u64| Arc::new(Semaphore::new((bytes / UNIT) as usize));
        RequestLanes {
            memory,
            small: lane(small),
            large: lane(memory - small),
        }
    }

    /// Waits for `bytes` of memory, in the order of arrival. They are returned when the permit is dropped.
    pub async fn enter(&self, bytes: u64) -> Result<OwnedSemaphorePermit, LaneError> {
        let lane = choose_lane(bytes, self.memory).ok_or(LaneError::TooLarge)?;
        let lane = match lane {
            Lane::Small => self.small.clone(),
            Lane::Large => self.large.clone(),
        };
        let granted = timeout(MAX_WAIT, lane.acquire_many_owned((bytes / UNIT) as u32)).await;
        // The semaphore is never closed.
        granted
            .ok()
            .and_then(|permit| permit.ok())
            .ok_or(LaneError::Busy)
    }
}
