//! Decodes the configuration of queues and services that the operator writes.

use serde::Deserialize;
use serde_json::Value;

use super::Result;
use crate::version::{Queue, QueueTable, Service};

/// Stream to which the operator writes.
pub const CONFIG_STREAM: &str = "keyed.op";
/// Key of the newest configuration in that stream.
pub const CONFIG_KEY: &str = "config";

/// Largest request body in bytes, unless the configuration sets another.
pub const DEFAULT_MAX_BODY: u64 = 256 << 10;

#[derive(Deserialize)]
struct ConfigBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: LimitsBody,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteBody {
    name: String,
    host: String,
    path_prefix: String,
    service: String,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default = "default_attempts")]
    attempts: u16,
    #[serde(default = "default_stretch")]
    stretch: f64,
    /// Present if an external policy service decides which workers may run the queue's steps.
    advice: Option<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceBody {
    name: String,
    #[serde(default)]
    max_conns: u32,
    #[serde(default)]
    spare: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct LimitsBody {
    max_body_bytes: Option<u64>,
}

fn default_attempts() -> u16 {
    1
}

fn default_stretch() -> f64 {
    1.0
}

/// Decodes a configuration.
///
/// # Errors
///
/// `value` is not a valid configuration.
pub fn decode_config(value: &[u8]) -> Result<QueueTable> {
    let body: ConfigBody = serde_json::from_slice(value)?;
    Ok(QueueTable {
        version: body.version,
        queues: body.routes.into_iter().map(Queue::from).collect(),
        services: body.services.into_iter().map(Service::from).collect(),
        max_body: body.limits.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY),
    })
}

impl From<RouteBody> for Queue {
    fn from(body: RouteBody) -> Self {
        Queue {
            name: body.name.into(),
            host: body.host.into(),
            prefix: body.path_prefix.into(),
            service: body.service.into(),
            priority: body.priority,
            objective: body.target_latency_ms as u64,
            stretch: body.stretch,
            attempts: body.attempts.max(1),
            has_advice: body.advice.is_some_and(|advice| !advice.is_null()),
        }
    }
}

impl From<ServiceBody> for Service {
    fn from(body: ServiceBody) -> Self {
        Service {
            name: body.name.into(),
            is_spare: body.spare,
            connections: body.max_conns,
        }
    }
}
