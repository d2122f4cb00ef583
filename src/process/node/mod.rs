//! The scheduler of one entry host as a core without I/O or clock.

mod action;
mod api;
mod backends;
mod contracts;
mod event;
mod jobs;
#[allow(clippy::module_inception)]
mod node;
mod peers;
mod status;
mod tasks;
mod urgent;

pub use action::{Action, CallResult, LeaseCall, Stream};
pub use event::Event;
pub use node::{Identity, Node, NodeSettings};
