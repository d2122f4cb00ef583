//! HTTP server whose connections can be closed at any point of an exchange.
//!
//! `tiny_http` doesn't expose the socket, so a fault could not close a connection before an answer
//! or in the middle of one. It also leaves some connections of a burst unserved until another
//! connection ends: of 16 that waited for a stopped process, 9 got no answer after SIGCONT.

mod connections;
mod faults;
mod listener;
mod request;
mod response;

pub use connections::Connections;
pub use faults::NetworkFaults;
pub use listener::{Listener, Service};
pub use request::Request;
pub use response::{Reply, Response};
