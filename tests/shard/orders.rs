//! The orders that the owners send: their way over a link, and the starts without an answer.

use std::collections::HashMap;

use jayfork::base::Name;
use jayfork::connection::Order;

/// Size of an order, besides its payload, and of the packets around it, in bytes.
const ORDER_BYTES: u64 = 220;

#[derive(Default)]
pub struct Orders {
    /// What the link carries, in bytes per millisecond; 0 if it is wide.
    pub link_rate: u64,
    /// Share of the renewals that are carried out seconds late and get no answer.
    pub renewal_delay: f64,
    /// When the link has sent all orders.
    sent_at: u64,
    /// Longest time that an order has waited for the link, in milliseconds.
    pub longest_wait: u64,
    /// Start orders without an answer, by worker.
    pending_starts: HashMap<Name, usize>,
    /// Most start orders that were without an answer at once, in all and on one worker.
    pub max_pending_starts: (usize, usize),
}

impl Orders {
    /// Puts an order on the link; returns after which time the worker serves it. A worker holds back a
    /// report, so that renewals don't fill the link by themselves.
    pub fn send(&mut self, now: u64, order: &Order) -> u64 {
        if self.link_rate == 0 {
            return 0;
        }
        let (payload, held) = match order {
            Order::Start(start) => (start.payload.len() as u64, 0),
            Order::Renew { wait, .. } => (0, wait.0),
            _ => (0, 0),
        };
        let bytes = ORDER_BYTES + payload;
        self.sent_at = self.sent_at.max(now) + bytes.div_ceil(self.link_rate);
        let wait = self.sent_at - now;
        self.longest_wait = self.longest_wait.max(wait);
        wait + held
    }

    pub fn count_start(&mut self, worker: &Name) {
        let count = self.pending_starts.entry(worker.clone()).or_default();
        *count += 1;
        let of_worker = *count;
        let all = self.pending_starts.values().sum();
        let (max_all, max_worker) = self.max_pending_starts;
        self.max_pending_starts = (max_all.max(all), max_worker.max(of_worker));
    }

    pub fn count_start_answer(&mut self, worker: &Name) {
        if let Some(count) = self.pending_starts.get_mut(worker) {
            *count -= 1;
        }
    }
}
