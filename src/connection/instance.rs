//! The protocol between jayfork and service instances, and its HTTP client.

use std::time::Duration;

use bytes::Bytes;

use super::error::{Error, Result};
use super::http::HttpClient;
use super::wire::{InstanceReport, LeaseReply, LeaseRequest, ReleaseRequest};
use crate::base::{Millis, Name, Token};

/// An urgent request for an instance to run.
#[derive(Debug, Clone)]
pub struct InstanceCall {
    pub request: Name,
    pub token: Token,
    /// Time left until the caller's deadline.
    pub deadline: Millis,
    pub body: Bytes,
}

/// Outcome of a request on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceOutcome {
    /// The complete answer of the instance.
    Answer { status: u16, body: Bytes },
    /// The request has not run and will not run.
    Refused,
    /// The request may have run or may still be running.
    Broken,
}

/// The protocol of service instances: lease calls as for workers, and requests that carry the token
/// of the lease.
///
/// An instance refuses requests with a stale token. It refuses requests beyond its number of slots
/// with status 503 and does not run them. Its report lists the ids of the running requests.
pub trait InstanceClient: Send + Sync + 'static {
    fn lease(&self, address: &str, request: &LeaseRequest) -> Result<LeaseReply<InstanceReport>>;
    fn release(&self, address: &str, request: &ReleaseRequest) -> Result<()>;
    /// Runs a request and waits for its answer, at most for `timeout`.
    fn send(&self, address: &str, call: InstanceCall, timeout: Duration) -> InstanceOutcome;
}

/// Client for service instances over HTTP.
#[derive(Debug, Clone)]
pub struct HttpInstances {
    http: HttpClient,
}

impl HttpInstances {
    pub fn new(http: HttpClient) -> Self {
        HttpInstances { http }
    }
}

impl InstanceClient for HttpInstances {
    fn lease(&self, address: &str, request: &LeaseRequest) -> Result<LeaseReply<InstanceReport>> {
        self.http.post(&format!("http://{address}/lease"), request)
    }

    fn release(&self, address: &str, request: &ReleaseRequest) -> Result<()> {
        let _: serde_json::Value = self
            .http
            .post(&format!("http://{address}/release"), request)?;
        Ok(())
    }

    fn send(&self, address: &str, call: InstanceCall, timeout: Duration) -> InstanceOutcome {
        let url = format!("http://{address}/requests/{}", call.request);
        let token = call.token.0.to_string();
        let deadline = call.deadline.0.to_string();
        let headers = [
            ("lease-token", token.as_str()),
            ("deadline-ms", deadline.as_str()),
        ];
        match self.http.post_raw(&url, &headers, call.body, timeout) {
            Ok((409 | 503, _)) | Err(Error::NotSent { .. }) => InstanceOutcome::Refused,
            Ok((status, body)) => InstanceOutcome::Answer { status, body },
            Err(_) => InstanceOutcome::Broken,
        }
    }
}
