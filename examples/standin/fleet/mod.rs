//! Many backend servers in one process, each with its own port, and one port for control calls.

mod backend;
mod control;
mod fleet_lock;
mod launch;

pub use backend::Backend;
pub use fleet_lock::Fleet;
pub use launch::{HostGroup, launch};
