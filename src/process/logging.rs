//! Log lines on standard error, and the spans that add ids to them.

use std::io;

use tracing::{Span, Subscriber};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

use crate::base::{Attempt, TaskId};

use super::settings::{Log, LogFormat};

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("log level {level:?}: {source}")]
    Level {
        level: String,
        source: tracing_subscriber::filter::ParseError,
    },
    #[error("a log subscriber is already installed")]
    Installed(#[from] tracing_subscriber::util::TryInitError),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Installs a subscriber for the whole process that writes to standard error.
///
/// # Errors
///
/// `Level` if the filter does not parse, `Installed` on a second call.
pub fn init(log: &Log) -> Result<()> {
    subscriber(log, io::stderr)?.try_init()?;
    Ok(())
}

/// Builds a subscriber that writes to `writer`.
///
/// # Errors
///
/// `Level` if the filter does not parse.
pub fn subscriber<W>(log: &Log, writer: W) -> Result<Box<dyn Subscriber + Send + Sync>>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(&log.level).map_err(|source| Error::Level {
        level: log.level.clone(),
        source,
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    Ok(match log.format {
        LogFormat::Human => Box::new(builder.finish()),
        LogFormat::Json => Box::new(builder.json().flatten_event(true).finish()),
    })
}

/// Span of one urgent request; its lines carry the request's id.
pub fn request_span(request: &str, customer: &str, class: &str) -> Span {
    tracing::info_span!("request", request, customer, class)
}

/// Span of one attempt of a task; its lines carry the task's id.
pub fn task_span(task: &TaskId, attempt: Attempt) -> Span {
    tracing::info_span!("task", %task, attempt = attempt.0)
}

/// Span of one version of a contract; its lines carry the customer and the version.
pub fn contract_span(customer: &str, version: u64) -> Span {
    tracing::info_span!("contract", customer, version)
}
