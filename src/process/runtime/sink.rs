//! Passes events to the core.

use std::sync::mpsc::Sender;

use crate::connection::wire::{PeerReply, PeerRequest};
use crate::connection::{ApiCall, ApiHandler, PeerHandler, Result};
use crate::process::node::Event;

/// Sends events to the core's thread. All clones use the same channel.
#[derive(Debug, Clone)]
pub struct EventSink {
    sender: Sender<Event>,
}

impl EventSink {
    pub fn new(sender: Sender<Event>) -> Self {
        EventSink { sender }
    }

    /// Sends an event; returns false if the core has stopped.
    pub fn send(&self, event: Event) -> bool {
        self.sender.send(event).is_ok()
    }
}

impl PeerHandler for EventSink {
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

impl ApiHandler for EventSink {
    fn request_received(&self, ticket: u64, call: ApiCall) {
        self.send(Event::ApiCalled { ticket, call });
    }

    fn caller_disconnected(&self, ticket: u64) {
        self.send(Event::ApiClosed { ticket });
    }
}
