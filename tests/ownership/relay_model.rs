//! Random sequences of what may reach a relay: batches late, twice and out of order, questions, restarts
//! and changes of the owner.

use std::collections::{BTreeMap, BTreeSet};

use jayfork::connection::{CallError, WorkerAnswer, WorkerCall};
use jayfork::process::host::{
    BatchNumber, HostAction, HostEvent, OrderBatch, OrderOrigin, PeerCall, PeerReply, SessionId,
};

use super::relay_host::{Relay, start};

const SEEDS: u64 = 2_000;
const STEPS: usize = 60;
/// Batches whose numbers a sequence uses, in each session.
const BATCHES: u64 = 8;
const EPOCHS: u64 = 2;
const SESSIONS: u64 = 2;

/// A batch: its session and number. It has one order.
type Batch = (u64, u64, u64);

/// A relay, and what has left it.
struct Model {
    relay: Relay,
    rng: fastrand::Rng,
    messages: BTreeMap<Batch, PeerCall>,
    /// Batches that were delivered, or whose call the owner has given up.
    closed: BTreeSet<Batch>,
    /// Batches whose order was made.
    made: BTreeSet<Batch>,
    /// Batches of which the owner was told that their order was not and will not be made.
    unsent: BTreeSet<Batch>,
    /// The calls whose replies the owner reads: questions and batches, unless it has
    /// given up the call.
    tickets: BTreeMap<u64, (Batch, bool)>,
    open_orders: Vec<OrderOrigin>,
    /// Sessions that have begun, and whether they did with the process that runs now.
    begun: BTreeMap<(u64, u64), bool>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut relay = Relay::start();
        relay.run(1_000);
        Model {
            relay,
            rng: fastrand::Rng::with_seed(seed),
            messages: BTreeMap::new(),
            closed: BTreeSet::new(),
            made: BTreeSet::new(),
            unsent: BTreeSet::new(),
            tickets: BTreeMap::new(),
            open_orders: Vec::new(),
            begun: BTreeMap::new(),
        }
    }

    fn session(&mut self) -> SessionId {
        SessionId {
            epoch: (1 + self.rng.u64(0..EPOCHS)) << 16,
            number: 1 + 100 * self.rng.u64(0..SESSIONS),
        }
    }

    fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..10 => self.begin(),
            10..45 => self.send(),
            45..65 => self.ask(),
            65..80 => self.answer(),
            80..98 => self.pass(),
            _ => self.restart(),
        }
    }

    /// Begins a session. The batch may come again later, but only to the same process: the owner sends
    /// it once, and gives the session up if it is not answered.
    fn begin(&mut self) {
        let session = self.session();
        let place = (session.epoch, session.number);
        if !*self.begun.entry(place).or_insert(true) {
            return;
        }
        let number = BatchNumber {
            number: session.number,
            oldest_open: session.number,
            begins: true,
        };
        let batch = OrderBatch::new(session, self.relay.now + 1_000, []);
        let place = (session.epoch, session.number, session.number);
        self.call(place, None, PeerCall::NumberedOrders(number, batch));
    }

    /// Delivers a batch, for the first time or again.
    fn send(&mut self) {
        let Some((place, message)) = self.message() else {
            return;
        };
        // The owner asks only once it has given up the call.
        let is_read = self.closed.insert(place);
        self.call(place, is_read.then_some(false), message);
    }

    /// Asks for the reply to a batch, which may still be on its way.
    fn ask(&mut self) {
        let Some(((epoch, session, number), _)) = self.message() else {
            return;
        };
        let place = (epoch, session, number);
        self.closed.insert(place);
        let session = SessionId {
            epoch,
            number: session,
        };
        let question = PeerCall::BatchOutcome { session, number };
        self.call(place, Some(true), question);
    }

    /// A batch of a session that has begun; it is always the same.
    fn message(&mut self) -> Option<(Batch, PeerCall)> {
        let session = self.session();
        self.begun.get(&(session.epoch, session.number))?;
        let number = session.number + self.rng.u64(1..=BATCHES);
        let place = (session.epoch, session.number, number);
        let oldest_open = self.rng.u64(session.number..=number);
        let not_after = self.relay.now + self.rng.u64(0..3_000);
        let order: WorkerCall = start(1);
        let message = self.messages.entry(place).or_insert_with(|| {
            let batch = OrderBatch::new(session, not_after, [(number, &order)]);
            let number = BatchNumber {
                number,
                oldest_open,
                begins: false,
            };
            PeerCall::NumberedOrders(number, batch)
        });
        Some((place, message.clone()))
    }

    fn answer(&mut self) {
        if self.open_orders.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.open_orders.len());
        let origin = self.open_orders.swap_remove(index);
        let answer = Ok(WorkerAnswer::Accepted { clock: 1 });
        let actions = self.relay.handle(HostEvent::Worker { origin, answer });
        self.check(actions);
    }

    fn pass(&mut self) {
        let time = self.rng.u64(1..300);
        let pause = self.rng.u32(0..20) == 0;
        let steps = if pause { 1 } else { time / 20 + 1 };
        for _ in 0..steps {
            self.relay.now += if pause { time * 20 } else { 20 };
            let mut out = Vec::new();
            self.relay.host.poll(self.relay.time(), &mut out);
            self.check(out);
        }
    }

    fn restart(&mut self) {
        let now = self.relay.now;
        self.relay = Relay::start();
        self.relay.now = now;
        self.open_orders.clear();
        self.tickets.clear();
        self.begun.values_mut().for_each(|is_here| *is_here = false);
    }

    /// Delivers a call. `is_question` is `None` if the owner does not read the reply.
    fn call(&mut self, place: Batch, is_question: Option<bool>, call: PeerCall) {
        let ticket = self.rng.u64(..);
        if let Some(is_question) = is_question {
            self.tickets.insert(ticket, (place, is_question));
        }
        let actions = self.relay.handle(HostEvent::Peer(ticket, call));
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<HostAction>) {
        for action in actions {
            match action {
                HostAction::Worker { origin, .. } => {
                    let OrderOrigin::Relayed(order) = &origin else {
                        panic!("{origin:?}");
                    };
                    let place = (order.session.epoch, order.session.number, order.order);
                    assert!(self.made.insert(place), "{place:?} is made twice");
                    self.open_orders.push(origin);
                }
                HostAction::PeerReply(ticket, reply) => {
                    if let Some((place, is_question)) = self.tickets.remove(&ticket) {
                        self.check_reply(place, is_question, reply);
                    }
                }
                _ => {}
            }
        }
        let both = self.made.intersection(&self.unsent).next();
        assert!(both.is_none(), "{both:?} is told not to be sent");
    }

    fn check_reply(&mut self, place: Batch, is_question: bool, reply: PeerReply) {
        let (epoch, session, _) = place;
        match reply {
            PeerReply::NotTaken => {
                assert!(is_question);
                self.unsent.insert(place);
            }
            PeerReply::Answers { answers, .. } => {
                for answer in answers {
                    let place = (epoch, session, answer.order);
                    if answer.answer == Err(CallError::NotSent) {
                        self.unsent.insert(place);
                    } else {
                        assert!(self.made.contains(&place), "{place:?} was not made");
                    }
                }
            }
            PeerReply::NotOwner { .. } if !is_question => {
                self.unsent.insert(place);
            }
            // The owner counts the orders as unanswered.
            _ => {}
        }
    }
}

/// Guards against tasks that start twice, and against orders that count as not sent and are made.
#[test]
fn a_relay_makes_no_order_twice_and_denies_none() {
    let (mut made, mut unsent) = (0, 0);
    for seed in 0..SEEDS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        made += model.made.len();
        unsent += model.unsent.len();
    }
    assert!(
        made > 1_000 && unsent > 1_000,
        "{made} made, {unsent} not sent"
    );
}
