//! Client of the platform's append-only log, and a reader that follows one of its streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::error::{Error, Result};
use super::http::HttpClient;
use super::wire::{AppendReply, ReadReply};
use crate::base::{Name, Offset};

/// Maximum number of records per read.
const MAX_RECORDS: u32 = 512;
/// Time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(400);
/// Pauses after consecutive failed reads double from `MIN_PAUSE` up to this time.
const MAX_PAUSE: Duration = Duration::from_secs(2);
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Access to the log.
pub trait LogClient: Send + Sync + 'static {
    /// Appends one record. If the call fails after it was sent, the outcome is unknown.
    fn append(&self, stream: &str, data: &[u8]) -> Result<Offset>;
    /// Reads records from `from` on. If there is none, waits up to `wait` for one.
    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<ReadReply>;
}

/// Client of the log over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    http: HttpClient,
    /// Base URL without a trailing slash.
    url: String,
}

impl HttpLog {
    pub fn new(http: HttpClient, url: &str) -> Self {
        HttpLog {
            http,
            url: url.trim_end_matches('/').to_owned(),
        }
    }
}

impl LogClient for HttpLog {
    fn append(&self, stream: &str, data: &[u8]) -> Result<Offset> {
        let url = format!("{}/streams/{stream}/records", self.url);
        let reply: AppendReply = self.http.post_bytes(&url, data)?;
        Ok(reply.offset)
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<ReadReply> {
        let url = format!(
            "{}/streams/{stream}/records?from={}&max={MAX_RECORDS}&wait={}",
            self.url,
            from.0,
            wait.as_millis()
        );
        self.http.get(&url, Some(wait + Duration::from_secs(2)))
    }
}

/// Handle to a thread that follows a stream. The thread ends after the handle is dropped.
#[derive(Debug)]
pub struct StreamReader {
    stop: Arc<AtomicBool>,
}

impl StreamReader {
    /// Starts a thread that reads `stream` from the first retained record on. It passes each result
    /// to `deliver` with a time before the read was sent, and ends when `deliver` returns false.
    pub fn spawn<L, F>(log: L, stream: Name, mut deliver: F) -> Result<Self>
    where
        L: LogClient,
        F: FnMut(Instant, Result<ReadReply>) -> bool + Send + 'static,
    {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        thread::Builder::new()
            .name(format!("read-{stream}"))
            .spawn(move || {
                let mut next = Offset(0);
                let mut pause = MIN_PAUSE;
                while !is_stopped.load(Ordering::Relaxed) {
                    let sent = Instant::now();
                    let reply = log.read(&stream, next, READ_WAIT);
                    match &reply {
                        Ok(read) => {
                            next = next_offset(next, read);
                            pause = MIN_PAUSE;
                        }
                        Err(_) => {
                            thread::sleep(pause);
                            pause = (pause * 2).min(MAX_PAUSE);
                        }
                    }
                    if !deliver(sent, reply) {
                        return;
                    }
                }
            })
            .map_err(|error| Error::Thread(error.to_string()))?;
        Ok(StreamReader { stop })
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Offset of the next read; skips records that the log no longer retains.
fn next_offset(next: Offset, read: &ReadReply) -> Offset {
    let after = read
        .records
        .last()
        .map_or(next, |record| record.offset.next());
    after.max(read.first)
}
