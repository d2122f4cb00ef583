//! HTTP server whose connections can be closed at any point of an exchange.
//!
//! `tiny_http` keeps the socket to itself, so it can close a connection neither instead of an
//! answer nor in the middle of one. It also leaves connections of a burst unserved until another
//! one ends: 9 of 16 connections that waited for a stopped process got no answer after SIGCONT.

mod connections;
mod gate;
mod listener;
mod request;
mod response;

pub use connections::Connections;
pub use gate::Gate;
pub use listener::{Listener, Service};
pub use request::Request;
pub use response::{Reply, Response};
