//! The protocol between jayfork and workers, and its HTTP client.

use super::error::{Error, Result};
use super::http::HttpClient;
use super::wire::{
    LeaseReply, LeaseRequest, ReleaseRequest, StartReply, StartRequest, TaskCommand, TaskReply,
    WorkerReport,
};
use crate::base::Name;

/// A command for a running attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Command {
    Throttle,
    /// Saves a checkpoint, then ends the attempt.
    Checkpoint,
    Stop,
}

impl Command {
    fn path(self) -> &'static str {
        match self {
            Command::Throttle => "throttle",
            Command::Checkpoint => "checkpoint",
            Command::Stop => "stop",
        }
    }
}

/// The worker protocol.
///
/// jayfork relies on these properties of a worker:
/// - It grants one lease at a time. The token of each grant is larger than all earlier ones, even
///   after a restart of the worker.
/// - It refuses every call whose token is not the newest.
/// - `start` is idempotent for a task and attempt within one incarnation. The worker remembers an
///   ended attempt until 10 minutes after its end was acknowledged.
/// - It stops a task when `run_ttl` has passed since the last renewal by the worker's clock, which
///   drifts by less than 10%.
/// - Its incarnation changes whenever it loses its memory, and no task survives this.
pub trait WorkerClient: Send + Sync + 'static {
    fn lease(&self, address: &str, request: &LeaseRequest) -> Result<LeaseReply<WorkerReport>>;
    fn release(&self, address: &str, request: &ReleaseRequest) -> Result<()>;
    fn start(
        &self,
        address: &str,
        request: &StartRequest,
    ) -> std::result::Result<StartReply, StartError>;
    fn command(&self, address: &str, command: Command, request: &TaskCommand) -> Result<TaskReply>;
}

/// Why a start had no effect, or why its outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    #[error("the lease token is stale")]
    StaleToken,
    #[error("the attempt has already ended")]
    Ended,
    #[error("the worker has no capacity for the task")]
    NoCapacity,
    /// The worker tried to start the task and failed; the task has not run.
    #[error("the worker failed to start the task")]
    StartFailed,
    #[error("the start had no effect: {0}")]
    NotSent(Error),
    #[error("the outcome of the start is unknown: {0}")]
    Unknown(Error),
}

/// Client for workers over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    http: HttpClient,
}

impl HttpWorkers {
    pub fn new(http: HttpClient) -> Self {
        HttpWorkers { http }
    }
}

impl WorkerClient for HttpWorkers {
    fn lease(&self, address: &str, request: &LeaseRequest) -> Result<LeaseReply<WorkerReport>> {
        self.http.post(&format!("http://{address}/lease"), request)
    }

    fn release(&self, address: &str, request: &ReleaseRequest) -> Result<()> {
        let _: serde_json::Value = self
            .http
            .post(&format!("http://{address}/release"), request)?;
        Ok(())
    }

    fn start(
        &self,
        address: &str,
        request: &StartRequest,
    ) -> std::result::Result<StartReply, StartError> {
        self.http
            .post(&format!("http://{address}/tasks"), request)
            .map_err(start_error)
    }

    fn command(&self, address: &str, command: Command, request: &TaskCommand) -> Result<TaskReply> {
        self.http.post(
            &format!("http://{address}/tasks/{}", command.path()),
            request,
        )
    }
}

fn start_error(error: Error) -> StartError {
    #[derive(serde::Deserialize)]
    struct Refusal {
        error: Name,
    }
    match error {
        Error::Refused(_) => StartError::StaleToken,
        Error::NotSent { .. } => StartError::NotSent(error),
        Error::Status { ref body, .. } => {
            let kind = serde_json::from_slice::<Refusal>(body).map(|refusal| refusal.error);
            match kind.as_deref() {
                Ok("ended") => StartError::Ended,
                Ok("no_capacity") => StartError::NoCapacity,
                Ok("start_failed") => StartError::StartFailed,
                _ => StartError::Unknown(error),
            }
        }
        _ => StartError::Unknown(error),
    }
}
