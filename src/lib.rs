//! jayfork schedules latency-critical requests and batch tasks that share hosts.
//!
//! Items are public for the programs `jayfork` and `jayforkd`, the tests and the benchmarks.

pub mod base;
pub mod connection;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;
