//! HTTP interface of a worker.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::http::{Reply, Request, Service};
use super::links::Links;
use super::worker::{Ending, Refusal, Worker};

/// Longest wait for an end in milliseconds.
const MAX_WAIT: u64 = 2_000;
/// Time between two checks of the lease.
const LEASE_CHECK: Duration = Duration::from_millis(100);
/// Header with the id of the worker that a call is meant for.
const WORKER_HEADER: &str = "X-Expected-Instance";

/// Fields of all orders.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct OrderBody {
    task: String,
    run: u64,
    spec: String,
    until_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
    percent: u32,
}

#[derive(Clone)]
pub struct WorkerService {
    worker: Rc<RefCell<Worker>>,
    ended: Rc<Notify>,
    links: Arc<Links>,
}

impl WorkerService {
    /// Returns the interface of a worker, and watches its lease.
    pub fn spawn(worker: Worker, links: Arc<Links>) -> Self {
        let service = WorkerService {
            worker: Rc::new(RefCell::new(worker)),
            ended: Rc::default(),
            links,
        };
        let watched = service.clone();
        spawn_local(async move {
            loop {
                sleep(LEASE_CHECK).await;
                if watched.worker.borrow_mut().end_lapsed() {
                    watched.ended.notify_waiters();
                }
            }
        });
        service
    }

    async fn handle(self, request: Request) -> Reply {
        let expected = request.headers.get(WORKER_HEADER);
        if expected.is_some_and(|id| id.as_bytes() != self.worker.borrow().id.as_bytes()) {
            return Reply::status(421);
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(&request.body) else {
            return Reply::status(400);
        };
        let carried_out = match request.path.as_str() {
            "/run-start" => self.start(&order),
            "/run-stop" => self.stop(&order),
            "/pace" => self.pace(&order),
            "/hold" => match self.hold(&order) {
                Ok(()) => return self.report(order.wait_ms.min(MAX_WAIT)).await,
                Err(refusal) => Err(refusal),
            },
            _ => return Reply::status(404),
        };
        let clock = self.worker.borrow().clock();
        match carried_out {
            Ok(()) => Reply::json(200, &json!({ "clockMs": clock })),
            Err(refusal) => {
                let reason = refusal.reason();
                Reply::json(409, &json!({ "clockMs": clock, "reason": reason }))
            }
        }
    }

    fn start(&self, order: &OrderBody) -> Result<(), Refusal> {
        let mut worker = self.worker.borrow_mut();
        worker.check_token(order.fencing_token)?;
        worker.extend_lease(order.until_ms.unwrap_or(0));
        let is_new = worker.start(&order.task, order.run, &order.spec)?;
        drop(worker);
        if is_new {
            spawn_local(self.clone().work(order.task.clone(), order.run));
        }
        Ok(())
    }

    fn stop(&self, order: &OrderBody) -> Result<(), Refusal> {
        let mut worker = self.worker.borrow_mut();
        worker.check_token(order.fencing_token)?;
        if let Some(time) = worker.stop(&order.task, order.run) {
            let (service, task, run) = (self.clone(), order.task.clone(), order.run);
            spawn_local(async move {
                sleep(time).await;
                service.end(&task, run, Ending::Stopped);
            });
        }
        Ok(())
    }

    fn pace(&self, order: &OrderBody) -> Result<(), Refusal> {
        let mut worker = self.worker.borrow_mut();
        worker.check_token(order.fencing_token)?;
        let Some(run) = worker.run_mut(&order.task, order.run) else {
            return Err(Refusal::Old);
        };
        run.set_speed(order.percent);
        drop(worker);
        spawn_local(self.clone().work(order.task.clone(), order.run));
        Ok(())
    }

    fn hold(&self, order: &OrderBody) -> Result<(), Refusal> {
        let mut worker = self.worker.borrow_mut();
        worker.check_token(order.fencing_token)?;
        worker.end_lapsed();
        worker.extend_lease(order.until_ms.unwrap_or(0));
        worker.forget_ends(order.last_seen);
        Ok(())
    }

    async fn report(&self, wait: u64) -> Reply {
        let ended = self.ended.notified();
        if self.worker.borrow().ends().next().is_none() {
            let _ = timeout(Duration::from_millis(wait), ended).await;
        }
        let worker = self.worker.borrow();
        let running = worker.runs().map(|((task, run), state)| -> Value {
            json!([task, run, "", state.percent(), state.measurement()])
        });
        let ended = worker
            .ends()
            .map(|end| -> Value { json!([end.number, end.task, end.run, end.ending.word(), ""]) });
        let report = json!({
            "clockMs": worker.clock(),
            "born": worker.born,
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        });
        Reply::json(200, &report)
    }

    /// Lets a run work until it is done or its speed changes.
    async fn work(self, task: String, run: u64) {
        loop {
            let remaining = match self.worker.borrow_mut().run_mut(&task, run) {
                Some(state) if !state.is_stopping => state.remaining(),
                _ => return,
            };
            match remaining {
                None => return,
                Some(Duration::ZERO) => return self.end(&task, run, Ending::Done),
                Some(remaining) => sleep(remaining).await,
            }
        }
    }

    fn end(&self, task: &str, run: u64, ending: Ending) {
        if self.worker.borrow_mut().end(task, run, ending) {
            self.ended.notify_waiters();
        }
    }
}

impl Service for WorkerService {
    fn answer(&self, request: Request) -> impl Future<Output = Reply> + 'static {
        let service = self.clone();
        let worker = service.worker.borrow().id.clone();
        async move {
            service.links.pass(&worker).await;
            let reply = service.clone().handle(request).await;
            service.links.pass(&worker).await;
            reply
        }
    }
}

impl Ending {
    fn word(self) -> &'static str {
        match self {
            Ending::Done => "done",
            Ending::Stopped => "stopped",
            Ending::Lapsed => "lapsed",
        }
    }
}

impl Refusal {
    fn reason(self) -> &'static str {
        match self {
            Refusal::Fence => "fence",
            Refusal::Old => "old",
            Refusal::Late => "late",
        }
    }
}
