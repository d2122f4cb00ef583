//! One HTTP/1.1 response.

use std::io::Write;

use http::StatusCode;
use serde::Serialize;
use serde_json::json;

use crate::error::Result;

#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub body: Vec<u8>,
}

/// What the listener sends in answer to a request.
#[derive(Debug)]
pub enum Reply {
    Answer(Response),
    /// Sends the full content-length but only half of the body, then closes the connection.
    Truncated(Response),
    /// Closes the connection without an answer.
    Close,
}

impl Response {
    pub fn ok(value: &impl Serialize) -> Self {
        Response::json(StatusCode::OK, value)
    }

    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("wire types have string keys");
        Response { status, body }
    }

    /// Returns a response with the body `{"error": kind}`.
    pub fn error(status: StatusCode, kind: &str) -> Self {
        Response::json(status, &json!({ "error": kind }))
    }

    pub fn not_found() -> Self {
        Response::error(StatusCode::NOT_FOUND, "not_found")
    }

    pub fn bytes(body: Vec<u8>) -> Self {
        Response {
            status: StatusCode::OK,
            body,
        }
    }

    /// Writes the head and the first `sent` bytes of the body in one call, so that Nagle's
    /// algorithm never delays the body.
    pub fn write(&self, sent: usize, writer: &mut impl Write) -> Result<()> {
        let mut message = format!(
            "HTTP/1.1 {} {}\r\ncontent-length: {}\r\n\r\n",
            self.status.as_u16(),
            self.status.canonical_reason().unwrap_or_default(),
            self.body.len()
        )
        .into_bytes();
        message.extend_from_slice(&self.body[..sent]);
        writer.write_all(&message)?;
        Ok(())
    }
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        Reply::Answer(response)
    }
}
