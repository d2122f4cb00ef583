//! Messages between the owner and a relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name};
use crate::connection::{CallError, Order, StartOrder, WorkerAnswer, WorkerCall};
use crate::request::job::{JobId, TaskKey};

/// Identifies the orders that an owner sends through one relay. A new session begins once a call to
/// the relay has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionId {
    pub epoch: u64,
    pub number: u64,
}

/// Places a batch in its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchNumber {
    /// Rises with each batch of a session. Batches may arrive in another order.
    pub number: u64,
    /// First batch of the session whose reply the owner has not got.
    pub oldest_open: u64,
    /// Whether the batch begins its session. Such a batch has no orders.
    pub begins: bool,
}

/// Orders for workers. Tasks of one job share its payload.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderBatch {
    pub session: SessionId,
    /// Time on the receiver's steady clock after which it must not carry out the orders, in
    /// milliseconds.
    pub not_after: u64,
    payloads: Vec<Arc<str>>,
    orders: Vec<WireOrder>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireOrder {
    number: u64,
    worker: Name,
    address: SocketAddr,
    /// Milliseconds.
    timeout: u64,
    kind: WireKind,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum WireKind {
    Start {
        task: TaskKey,
        run: u64,
        /// Index into the payloads of the batch.
        payload: u32,
        lease_end: u64,
        checkpoint: Option<Arc<str>>,
        permit: Option<Arc<str>>,
    },
    Stop {
        task: TaskKey,
        run: u64,
    },
    Renew {
        lease_end: Option<u64>,
        acknowledged: u64,
        wait: u64,
    },
    Throttle {
        task: TaskKey,
        run: u64,
        percent: u8,
    },
}

/// The outcome of one order of a session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedAnswer {
    pub order: u64,
    pub answer: std::result::Result<WorkerAnswer, CallError>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("order {0} names a payload that the batch does not contain")]
    NoPayload(u64),
}

pub type Result<T> = std::result::Result<T, Error>;

impl OrderBatch {
    /// Collects orders with their numbers.
    pub fn new<'a>(
        session: SessionId,
        not_after: u64,
        calls: impl IntoIterator<Item = (u64, &'a WorkerCall)>,
    ) -> Self {
        let mut payloads = Payloads::default();
        let orders = calls
            .into_iter()
            .map(|(number, call)| WireOrder {
                number,
                worker: call.worker.clone(),
                address: call.address,
                timeout: call.timeout.0,
                kind: payloads.encode(&call.order),
            })
            .collect();
        OrderBatch {
            session,
            not_after,
            payloads: payloads.all,
            orders,
        }
    }

    /// Number of orders.
    pub(in crate::process::host) fn len(&self) -> usize {
        self.orders.len()
    }
}

/// The payloads of a batch, each once.
#[derive(Default)]
struct Payloads {
    all: Vec<Arc<str>>,
    by_job: HashMap<JobId, u32>,
}

impl Payloads {
    fn index(&mut self, job: JobId, payload: &Arc<str>) -> u32 {
        *self.by_job.entry(job).or_insert_with(|| {
            self.all.push(payload.clone());
            self.all.len() as u32 - 1
        })
    }

    fn encode(&mut self, order: &Order) -> WireKind {
        match order {
            Order::Start(start) => WireKind::Start {
                task: start.task,
                run: start.run,
                payload: self.index(start.task.step.job, &start.payload),
                lease_end: start.lease_end,
                checkpoint: start.checkpoint.clone(),
                permit: start.permit.clone(),
            },
            Order::Stop { task, run } => WireKind::Stop {
                task: *task,
                run: *run,
            },
            Order::Renew {
                lease_end,
                acknowledged,
                wait,
            } => WireKind::Renew {
                lease_end: *lease_end,
                acknowledged: *acknowledged,
                wait: wait.0,
            },
            Order::Throttle { task, run, percent } => WireKind::Throttle {
                task: *task,
                run: *run,
                percent: *percent,
            },
        }
    }
}

/// The orders of a batch with their numbers.
impl TryFrom<OrderBatch> for Vec<(u64, WorkerCall)> {
    type Error = Error;

    fn try_from(batch: OrderBatch) -> Result<Self> {
        let OrderBatch {
            session,
            payloads,
            orders,
            ..
        } = batch;
        let decode = |order: WireOrder| {
            let call = WorkerCall {
                worker: order.worker,
                address: order.address,
                epoch: session.epoch,
                timeout: Millis(order.timeout),
                order: order
                    .kind
                    .decode(&payloads)
                    .ok_or(Error::NoPayload(order.number))?,
            };
            Ok((order.number, call))
        };
        orders.into_iter().map(decode).collect()
    }
}

impl WireKind {
    /// `None` if the payload is missing.
    fn decode(self, payloads: &[Arc<str>]) -> Option<Order> {
        Some(match self {
            WireKind::Start {
                task,
                run,
                payload,
                lease_end,
                checkpoint,
                permit,
            } => Order::Start(StartOrder {
                task,
                run,
                payload: payloads.get(payload as usize)?.clone(),
                lease_end,
                checkpoint,
                permit,
            }),
            WireKind::Stop { task, run } => Order::Stop { task, run },
            WireKind::Renew {
                lease_end,
                acknowledged,
                wait,
            } => Order::Renew {
                lease_end,
                acknowledged,
                wait: Millis(wait),
            },
            WireKind::Throttle { task, run, percent } => Order::Throttle { task, run, percent },
        })
    }
}
