//! The scheduler core of one entry host. It does no I/O and reads no clock: adapters pass it events
//! with the current time and carry out the actions that it returns.

mod action;
mod api;
mod backends;
mod contracts;
mod departure;
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
