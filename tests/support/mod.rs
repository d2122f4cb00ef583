//! Starts the platform's stand-ins and jayfork's programs, and checks the stand-ins' records.

// Each test binary uses only some of these items.
#![allow(dead_code, unused_imports)]

mod cluster;
mod dir;
mod http;
mod platform;
mod poll;
mod process;
mod programs;
mod records;
mod settings;
mod standin;

pub use cluster::{Cluster, ClusterSpec, WAIT_LIMIT};
pub use dir::TestDir;
pub use http::{Client, Reply};
pub use platform::Platform;
pub use poll::{wait_for, wait_until};
pub use process::{Process, Signal};
pub use programs::{free_port, jayfork, jayforkd, spawn, wait_until_ready};
pub use records::{Event, InvariantViolation, Record, Records};
pub use settings::Settings;
pub use standin::Standin;
