use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;

use super::response::ApiResponse;
use crate::base::Ran;
use crate::connection::body::{BodyError, BodyLimits, receive};
use crate::connection::budget::{Budget, BudgetShare};

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
    pub async fn receive(&self, body: Incoming) -> Result<Bytes, ApiResponse> {
        let limits = BodyLimits {
            max_size: self.max_size,
            pause: self.timeout,
            // Uploads over slow links may take any time.
            total: None,
        };
        let mut share = self.budget.share();
        let bytes = receive(body, limits, &mut share)
            .await
            .map_err(refuse_body)?;
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let _share = share;
        Ok(Bytes::from_owner(BudgetedBody { bytes, _share }))
    }
}

fn refuse_body(error: BodyError) -> ApiResponse {
    let field = Some("body");
    let (status, name, field) = match &error {
        BodyError::TooLarge(_) => (413, "too_large", field),
        BodyError::Stopped(_) | BodyError::TooSlow => (408, "slow_body", field),
        BodyError::Truncated(length, cause) => {
            tracing::debug!(error = %cause, length, "a request body was truncated");
            let reason = format!("the body ended after {length} bytes");
            return refusal(400, "truncated_body", field, reason);
        }
        BodyError::NoMemory => (503, "too_busy", None),
    };
    refusal(status, name, field, error)
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
