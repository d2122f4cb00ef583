//! HTTP server for callers, tested with callers that write raw bytes to a TCP connection.

#[path = "api/bodies.rs"]
mod bodies;
#[path = "api/bursts.rs"]
mod bursts;
#[path = "api/caller.rs"]
mod caller;
#[path = "api/close.rs"]
mod close;
#[path = "api/heads.rs"]
mod heads;
#[path = "api/limits.rs"]
mod limits;
#[path = "api/service.rs"]
mod service;
