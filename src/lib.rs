//! jayfork schedules latency-critical requests and batch tasks that share hosts.
//!
//! The public items are what the two programs, the tests and the benchmarks use.

pub mod base;
pub mod connection;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;
