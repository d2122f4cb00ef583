//! Many backend servers in one process: a port for each, and one port for control requests.

mod backend;
mod control;
mod fleet_lock;
mod launch;

pub use backend::FleetState;
pub use fleet_lock::LockedFleet;
pub use launch::{HostGroup, launch};
