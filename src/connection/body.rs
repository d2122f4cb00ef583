//! Receives request bodies within limits on their size, their memory and their time.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

/// Memory, in bytes, that is allocated for a body at first: a client may declare more than it sends.
const INITIAL_CAPACITY: usize = 64 << 10;

/// A part of a limited amount of memory.
pub(crate) trait MemoryShare {
    /// Takes `bytes` more. Returns false and takes nothing if there is too little left.
    fn grow(&mut self, bytes: u64) -> bool;
}

/// Limits on one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Maximum size in bytes.
    pub max_size: u64,
    /// Maximum time without progress.
    pub pause: Duration,
    /// Maximum time until the whole body has arrived, if it is limited.
    pub total: Option<Duration>,
}

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    #[error("no byte of the body arrived for {0:?}")]
    Stopped(Duration),
    #[error("the body did not arrive in time")]
    TooSlow,
    #[error("the body ended after {0} bytes: {1}")]
    Truncated(usize, hyper::Error),
    #[error("the memory for requests is used up")]
    NoMemory,
}

impl BodyError {
    /// Name of the reason, for metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            BodyError::TooLarge(_) => "too_large",
            BodyError::Stopped(_) => "stopped",
            BodyError::TooSlow => "too_slow",
            BodyError::Truncated(..) => "truncated",
            BodyError::NoMemory => "memory",
        }
    }
}

/// Receives a whole body into one buffer, whatever the chunks in which it arrives. Each allocation is taken from
/// `share` before it is made.
pub(crate) async fn receive<S: MemoryShare>(
    mut body: Incoming,
    limits: BodyLimits,
    share: &mut S,
) -> Result<Vec<u8>, BodyError> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limits.max_size) {
        return Err(BodyError::TooLarge(limits.max_size));
    }
    let most = declared.unwrap_or(limits.max_size) as usize;
    let end = limits.total.map(|total| Instant::now() + total);
    let mut bytes: Vec<u8> = Vec::new();
    while !body.is_end_stream() {
        let pause_end = Instant::now() + limits.pause;
        let until = end.map_or(pause_end, |end| end.min(pause_end));
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(BodyError::Truncated(bytes.len(), error)),
            Ok(None) => break,
            Err(_) if Some(until) == end => return Err(BodyError::TooSlow),
            Err(_) => return Err(BodyError::Stopped(limits.pause)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length as u64 > limits.max_size {
            return Err(BodyError::TooLarge(limits.max_size));
        }
        if length > bytes.capacity() {
            let usual = (bytes.capacity() * 2).max(INITIAL_CAPACITY);
            let sizes = [usual.min(most).max(length), length];
            let added = |size: &usize| (size - bytes.capacity()) as u64;
            let granted = sizes.iter().find(|size| share.grow(added(size)));
            let Some(capacity) = granted else {
                return Err(BodyError::NoMemory);
            };
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}
