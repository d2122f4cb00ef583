//! What jayfork assumes of service instances, and the HTTP client for them.

use std::time::Duration;

use bytes::Bytes;

use super::error::{Error, Result};
use super::http::HttpClient;
use super::wire::{InstanceReport, LeaseReply, LeaseRequest, ReleaseRequest};
use crate::base::{Millis, Name, Token};

/// An urgent request on its way to an instance.
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
    /// The whole answer.
    Answer { status: u16, body: Bytes },
    /// The request has not run and will not run.
    Refused,
    /// It may have run or may still be running.
    Broken,
}

/// The instance protocol: the lease of a worker, and requests under its token.
///
/// An instance refuses requests with a stale token, refuses requests beyond its slots with 503
/// without running them, and lists the ids of running requests in its report.
pub trait InstanceClient: Send + Sync + 'static {
    fn lease(&self, address: &str, request: &LeaseRequest) -> Result<LeaseReply<InstanceReport>>;
    fn release(&self, address: &str, request: &ReleaseRequest) -> Result<()>;
    /// Runs a request; gives up after `timeout`.
    fn send(&self, address: &str, call: InstanceCall, timeout: Duration) -> InstanceOutcome;
}

/// Service instances over HTTP.
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
        match self.http.exchange(&url, &headers, call.body, timeout) {
            Ok((409 | 503, _)) | Err(Error::NotSent { .. }) => InstanceOutcome::Refused,
            Ok((status, body)) => InstanceOutcome::Answer { status, body },
            Err(_) => InstanceOutcome::Broken,
        }
    }
}
