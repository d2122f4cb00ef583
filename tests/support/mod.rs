//! Starts stand-ins and jayfork's programs, and judges what ran by the stand-ins' records.

// Each test binary uses a part of this module.
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

pub use cluster::{Cluster, SOON, Shape};
pub use dir::TestDir;
pub use http::{Client, Reply};
pub use platform::Platform;
pub use poll::{eventually, until};
pub use process::{Process, Signal};
pub use programs::{free_port, jayfork, jayforkd, until_ready};
pub use records::{Breach, Event, Record, Records};
pub use settings::Settings;
pub use standin::Standin;
