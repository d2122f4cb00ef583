//! The one way into the core.

use std::sync::mpsc::Sender;

use crate::connection::wire::{PeerReply, PeerRequest};
use crate::connection::{ApiCall, ApiHandler, PeerHandler, Result};
use crate::process::node::Event;

/// Sends events to the core's thread; clones share the channel.
#[derive(Debug, Clone)]
pub struct Sink {
    sender: Sender<Event>,
}

impl Sink {
    pub fn new(sender: Sender<Event>) -> Self {
        Sink { sender }
    }

    /// Returns false once the core has ended.
    pub fn send(&self, event: Event) -> bool {
        self.sender.send(event).is_ok()
    }
}

impl PeerHandler for Sink {
    fn request_received(&self, ticket: u64, request: PeerRequest) {
        self.send(Event::PeerCalled { ticket, request });
    }

    fn call_finished(&self, call: u64, result: Result<PeerReply>, bytes: usize) {
        self.send(Event::PeerAnswered {
            call,
            result,
            bytes,
        });
    }
}

impl ApiHandler for Sink {
    fn called(&self, ticket: u64, call: ApiCall) {
        self.send(Event::ApiCalled { ticket, call });
    }

    fn closed(&self, ticket: u64) {
        self.send(Event::ApiClosed { ticket });
    }
}
