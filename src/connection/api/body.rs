use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::budget::{Budget, Share};
use super::response::ApiResponse;
use crate::base::Ran;

/// Memory set aside for a body before any of it has arrived; a caller may declare more than it
/// sends.
const MIN_CAPACITY: u64 = 64 << 10;

/// Bounds of request bodies.
#[derive(Debug)]
pub struct Bodies {
    /// Largest body in bytes.
    pub limit: u64,
    /// Longest time without progress.
    pub idle: Duration,
    pub budget: Arc<Budget>,
}

/// A body and its share of the budget, which is given back when the last reference is dropped.
struct Held {
    bytes: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Bodies {
    /// Receives a whole body; the error is the refusal for the caller.
    pub async fn receive(&self, mut body: Incoming) -> Result<Bytes, ApiResponse> {
        let declared = body.size_hint().exact();
        if declared.is_some_and(|length| length > self.limit) {
            return Err(self.too_large());
        }
        let capacity = declared.unwrap_or(0).min(MIN_CAPACITY) as usize;
        let mut bytes = Vec::with_capacity(capacity);
        let mut share = self.budget.share();
        while !body.is_end_stream() {
            let frame = match timeout(self.idle, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(truncated(bytes.len(), &error)),
                Ok(None) => break,
                Err(_) => return Err(self.too_slow()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if (bytes.len() + data.len()) as u64 > self.limit {
                return Err(self.too_large());
            }
            if !share.grow(data.len() as u64) {
                return Err(too_busy("the bodies of other requests fill the memory"));
            }
            bytes.extend_from_slice(&data);
        }
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let _share = share;
        Ok(Bytes::from_owner(Held { bytes, _share }))
    }

    fn too_large(&self) -> ApiResponse {
        let reason = format!("the body is larger than {} bytes", self.limit);
        refuse(413, "too_large", Some("body"), reason)
    }

    fn too_slow(&self) -> ApiResponse {
        let reason = format!("no byte of the body came for {:?}", self.idle);
        refuse(408, "slow_body", Some("body"), reason)
    }
}

fn truncated(length: usize, error: &hyper::Error) -> ApiResponse {
    tracing::debug!(%error, length, "a body was truncated");
    let reason = format!("the body ended after {length} bytes");
    refuse(400, "truncated_body", Some("body"), reason)
}

pub fn too_busy(reason: &str) -> ApiResponse {
    refuse(503, "too_busy", None, reason)
}

pub fn draining() -> ApiResponse {
    refuse(503, "draining", None, "this host is stopping")
}

fn refuse(status: u16, error: &str, field: Option<&str>, reason: impl ToString) -> ApiResponse {
    ApiResponse::error(status, error, field, reason, Some(Ran::NotRun))
}
