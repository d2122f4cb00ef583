use bytes::Bytes;
use hyper::Method;
use hyper::http::request::Parts;

use crate::base::Name;

/// A request that was received in full.
#[derive(Debug, Clone)]
pub struct ApiCall {
    pub method: ApiMethod,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Value of the `request-id` header.
    pub request_id: Option<Name>,
    pub body: Bytes,
}

impl ApiCall {
    pub(super) fn new(head: &Parts, body: Bytes) -> Self {
        // An id that is not UTF-8 is passed on, so that the core refuses it. If it were dropped,
        // the core would choose another id.
        let request_id = head
            .headers
            .get("request-id")
            .map(|id| Name::from(String::from_utf8_lossy(id.as_bytes())));
        ApiCall {
            method: ApiMethod::from(&head.method),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            request_id,
            body,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiMethod {
    Get,
    Post,
    Put,
    Delete,
    Other,
}

impl From<&Method> for ApiMethod {
    fn from(method: &Method) -> Self {
        match *method {
            Method::GET => ApiMethod::Get,
            Method::POST => ApiMethod::Post,
            Method::PUT => ApiMethod::Put,
            Method::DELETE => ApiMethod::Delete,
            _ => ApiMethod::Other,
        }
    }
}
