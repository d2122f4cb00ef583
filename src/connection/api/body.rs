use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::budget::{Budget, BudgetShare};
use super::response::ApiResponse;
use crate::base::Ran;

/// Maximum memory, in bytes, allocated for a body before any of it arrives: a caller may declare
/// more than it sends.
const MAX_INITIAL_CAPACITY: u64 = 64 << 10;

/// Receives request bodies within limits.
#[derive(Debug)]
pub struct BodyReceiver {
    /// Maximum size of a body in bytes.
    pub max_size: u64,
    /// Maximum time without progress.
    pub timeout: Duration,
    pub budget: Arc<Budget>,
}

/// A body and its share of the budget, which is returned when the last reference is dropped.
struct BudgetedBody {
    bytes: Vec<u8>,
    _share: BudgetShare,
}

impl AsRef<[u8]> for BudgetedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyReceiver {
    /// Receives a whole body.
    ///
    /// # Errors
    ///
    /// Returns the refusal to be sent to the caller.
    pub async fn receive(&self, mut body: Incoming) -> Result<Bytes, ApiResponse> {
        let declared = body.size_hint().exact();
        if declared.is_some_and(|length| length > self.max_size) {
            return Err(self.too_large());
        }
        let capacity = declared.unwrap_or(0).min(MAX_INITIAL_CAPACITY) as usize;
        let mut bytes = Vec::with_capacity(capacity);
        let mut share = self.budget.share();
        while !body.is_end_stream() {
            let frame = match timeout(self.timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(truncated(bytes.len(), &error)),
                Ok(None) => break,
                Err(_) => return Err(self.too_slow()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if (bytes.len() + data.len()) as u64 > self.max_size {
                return Err(self.too_large());
            }
            if !share.grow(data.len() as u64) {
                return Err(too_busy("the memory for request bodies is used up"));
            }
            bytes.extend_from_slice(&data);
        }
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let _share = share;
        Ok(Bytes::from_owner(BudgetedBody { bytes, _share }))
    }

    fn too_large(&self) -> ApiResponse {
        let reason = format!("the body is larger than {} bytes", self.max_size);
        refusal(413, "too_large", Some("body"), reason)
    }

    fn too_slow(&self) -> ApiResponse {
        let reason = format!("no byte of the body arrived for {:?}", self.timeout);
        refusal(408, "slow_body", Some("body"), reason)
    }
}

fn truncated(length: usize, error: &hyper::Error) -> ApiResponse {
    tracing::debug!(%error, length, "a request body was truncated");
    let reason = format!("the body ended after {length} bytes");
    refusal(400, "truncated_body", Some("body"), reason)
}

pub fn too_busy(reason: &str) -> ApiResponse {
    refusal(503, "too_busy", None, reason)
}

pub fn draining() -> ApiResponse {
    refusal(503, "draining", None, "this host is stopping")
}

fn refusal(status: u16, error: &str, field: Option<&str>, reason: impl ToString) -> ApiResponse {
    ApiResponse::error(status, error, field, reason, Some(Ran::NotRun))
}
