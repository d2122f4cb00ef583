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

/// Topic of the workers' entries.
const REGISTRY: &str = "keyed.servers";

/// Answers `GET /runs` with a summary of all runs, writes the body of `POST /config` and the requests of
/// `POST /evacuate` and `POST /give-back` to the store. The other calls change the entry of a worker and its link to the hosts.
#[derive(Clone)]
pub struct OperatorService {
    store: Arc<Store>,
    recorder: Arc<RunRecorder>,
    links: Arc<Links>,
}

/// Names a data centre.
#[derive(Deserialize)]
struct PlaceBody {
    zone: String,
}

/// Names the worker on which the task started last.
#[derive(Deserialize)]
struct TaskBody {
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

    /// Applies a change to the worker on which a task started last.
    fn change_worker(&self, body: &[u8], change: impl FnOnce(&Self, String)) -> Reply {
        let Ok(order) = serde_json::from_slice::<TaskBody>(body) else {
            return Reply::status(400);
        };
        let Some(worker) = self.recorder.worker_of(&order.task) else {
            return Reply::status(404);
        };
        change(self, worker);
        Reply::status(200)
    }

    /// Writes or deletes the request to evacuate a data centre.
    fn change_request(&self, body: &[u8], value: &'static str) -> Reply {
        let Ok(place) = serde_json::from_slice::<PlaceBody>(body) else {
            return Reply::status(400);
        };
        let key = format!("evacuate/{}", place.zone);
        self.store.put("keyed.op", &key, value);
        Reply::status(200)
    }

    /// Says in the entry of a worker that it is leaving.
    fn drain(&self, worker: &str) {
        let entry = self.store.with(REGISTRY, 0, |stream| {
            let mut entries = stream.newest("");
            let (_, (_, value)) = entries.find(|(id, _)| *id == worker)?;
            serde_json::from_slice::<Value>(value).ok()
        });
        if let Some(mut entry) = entry {
            entry["state"] = json!("draining");
            entry["remainingMs"] = json!(2_500);
            self.store.put(REGISTRY, worker, entry.to_string());
        }
    }

    /// Removes the entry of a worker, which refuses connections and works on.
    fn close(&self, worker: String) {
        self.store.put(REGISTRY, &worker, "");
        self.links.close(worker);
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
            (&Method::POST, "/evacuate") => self.change_request(&request.body, "{}"),
            (&Method::POST, "/give-back") => self.change_request(&request.body, ""),
            (&Method::POST, "/cut") => {
                self.change_worker(&request.body, |service, worker| service.links.cut(worker))
            }
            (&Method::POST, "/drain") => {
                self.change_worker(&request.body, |service, worker| service.drain(&worker))
            }
            (&Method::POST, "/close") => self.change_worker(&request.body, Self::close),
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
