//! The operator: its configuration in the store, and what the workers saw.

use std::sync::Arc;

use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};

use super::http::{Reply, Request, Service};
use super::links::Links;
use super::recorder::RunRecorder;
use super::store::Store;
use super::{QUEUE_HOST, QUEUES, SERVICE};

/// Answers `GET /runs` with a summary of all runs, writes the body of `POST /config` to the store. `POST
/// /cut` cuts the link of a worker, and `POST /restore` restores all links.
#[derive(Clone)]
pub struct OperatorService {
    store: Arc<Store>,
    recorder: Arc<RunRecorder>,
    links: Arc<Links>,
}

/// Cuts the link of the worker on which the task started last.
#[derive(Deserialize)]
struct CutBody {
    task: String,
}

impl OperatorService {
    pub fn new(store: Arc<Store>, recorder: Arc<RunRecorder>, links: Arc<Links>) -> Self {
        OperatorService {
            store,
            recorder,
            links,
        }
    }

    fn cut(&self, body: &[u8]) -> Reply {
        let Ok(cut) = serde_json::from_slice::<CutBody>(body) else {
            return Reply::status(400);
        };
        let Some(worker) = self.recorder.worker_of(&cut.task) else {
            return Reply::status(404);
        };
        self.links.cut(worker);
        Reply::status(200)
    }
}

impl Service for OperatorService {
    fn answer(&self, request: Request) -> impl Future<Output = Reply> + 'static {
        let reply = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/runs") => Reply::json(200, &self.recorder.summary()),
            (&Method::POST, "/config") => {
                self.store.put("keyed.op", "config", &request.body);
                Reply::status(200)
            }
            (&Method::POST, "/cut") => self.cut(&request.body),
            (&Method::POST, "/restore") => {
                self.links.restore();
                Reply::status(200)
            }
            _ => Reply::status(404),
        };
        std::future::ready(reply)
    }
}

/// Writes the first configuration.
pub fn publish_config(store: &Store) {
    let routes = QUEUES.map(|(prefix, priority, objective)| -> Value {
        json!({
            "name": prefix.trim_matches('/'),
            "host": QUEUE_HOST,
            "pathPrefix": prefix,
            "kind": "non_idempotent",
            "timeoutMs": 3_000,
            "targetLatencyMs": objective,
            "priority": priority,
            "service": SERVICE,
            "attempts": 4,
            "stretch": 2.0,
        })
    });
    let config = json!({
        "version": 1,
        "routes": routes,
        "services": [{ "name": SERVICE, "maxConns": 64, "enforcesCapacity": false, "spare": false }],
        "limits": { "maxBodyBytes": 262_144 },
    });
    store.put("keyed.op", "config", config.to_string());
}
