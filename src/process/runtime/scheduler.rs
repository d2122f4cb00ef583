//! Actor that owns the core, passes events to it and carries out its actions.

use std::time::Duration;

use stakker::{CX, after, call, stop};

use super::adapters::Adapters;
use super::clock::Clock;
use crate::process::node::{Action, Event, Node};

/// Maximum time between two polls of the core.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub struct NodeActor {
    node: Node,
    adapters: Adapters,
    clock: Clock,
    actions: Vec<Action>,
    /// Whether a poll is queued after the events that are already in the queue.
    is_poll_queued: bool,
}

impl NodeActor {
    pub fn init(cx: CX![], node: Node, adapters: Adapters, clock: Clock) -> Option<Self> {
        call!([cx], tick());
        Some(NodeActor {
            node,
            adapters,
            clock,
            actions: Vec::new(),
            is_poll_queued: false,
        })
    }

    pub fn event(&mut self, cx: CX![], event: Event) {
        self.node.handle(self.clock.now(), event, &mut self.actions);
        if !self.is_poll_queued {
            self.is_poll_queued = true;
            call!([cx], poll());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.poll(cx);
        after!(POLL_INTERVAL, [cx], tick());
    }

    /// Polls the core and carries out its actions.
    fn poll(&mut self, cx: CX![]) {
        self.is_poll_queued = false;
        self.node.poll(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Exit => self.adapters.close(),
                action => self.adapters.perform(action),
            }
        }
        if self.adapters.is_closed() {
            stop!(cx);
        }
    }
}
