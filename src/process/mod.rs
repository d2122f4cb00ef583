//! State that lives as long as the process.

mod membership;
mod suspicions;

pub use membership::{EntryHost, Membership, RUN_TTL, Word};
pub use suspicions::{OpenSuspicion, Suspicions, UNANSWERED};
