use bytes::Bytes;

use crate::base::Ran;
use crate::connection::wire::ErrorBody;

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiResponse {
    pub status: u16,
    pub kind: ContentKind,
    pub body: Bytes,
}

impl ApiResponse {
    /// JSON answer; status 500 with an empty body if `body` cannot be encoded.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => ApiResponse {
                status,
                kind: ContentKind::Json,
                body: body.into(),
            },
            Err(error) => {
                tracing::error!(%error, "cannot encode the answer to a caller");
                ApiResponse {
                    status: 500,
                    kind: ContentKind::Json,
                    body: Bytes::new(),
                }
            }
        }
    }

    /// Error answer with an `ErrorBody`.
    pub fn error(
        status: u16,
        error: &str,
        field: Option<&str>,
        reason: impl ToString,
        ran: Option<Ran>,
    ) -> Self {
        let body = ErrorBody {
            error: error.into(),
            field: field.map(str::to_owned),
            reason: reason.to_string(),
            ran,
        };
        ApiResponse::json(status, &body)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentKind {
    Json,
    Text,
    /// Answer of a service, passed through unchanged.
    Raw,
}

impl ContentKind {
    /// Value of the `content-type` header.
    pub(super) fn header(self) -> &'static str {
        match self {
            ContentKind::Json => "application/json",
            ContentKind::Text => "text/plain; version=0.0.4",
            ContentKind::Raw => "application/octet-stream",
        }
    }
}
