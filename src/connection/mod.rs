//! State that lives as long as a connection: leases, clients, peers and wire types.

pub mod wire;

mod lease;
mod lease_action;
mod lease_entry;
mod lease_timing;

pub use lease::LeaseTable;
pub use lease_action::{Grant, Lease, LeaseAction, Resource};
pub use lease_timing::LeaseTiming;
