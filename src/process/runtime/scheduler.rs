//! The actor that owns the core.

use std::time::Duration;

use stakker::{CX, after, call, stop};

use super::adapters::Adapters;
use super::clock::Clock;
use crate::process::node::{Action, Event, Node};

/// Longest time between two polls of the core.
const TICK: Duration = Duration::from_millis(50);

pub struct Scheduler {
    node: Node,
    adapters: Adapters,
    clock: Clock,
    actions: Vec<Action>,
    /// Whether a poll is queued behind the events of this round.
    is_queued: bool,
}

impl Scheduler {
    pub fn init(cx: CX![], node: Node, adapters: Adapters, clock: Clock) -> Option<Self> {
        call!([cx], tick());
        Some(Scheduler {
            node,
            adapters,
            clock,
            actions: Vec::new(),
            is_queued: false,
        })
    }

    pub fn event(&mut self, cx: CX![], event: Event) {
        self.node.handle(self.clock.now(), event, &mut self.actions);
        if !self.is_queued {
            self.is_queued = true;
            call!([cx], poll());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.poll(cx);
        after!(TICK, [cx], tick());
    }

    /// Lets the core do what is due and carries out its actions.
    fn poll(&mut self, cx: CX![]) {
        self.is_queued = false;
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
