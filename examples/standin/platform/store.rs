//! The store of streams, shared by the threads of the process.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::Notify;

use super::stream::Stream;

#[derive(Debug)]
pub struct Store {
    streams: Mutex<HashMap<(String, u64), Stream>>,
    keep: Duration,
    /// Notified after each append.
    pub changed: Notify,
}

impl Store {
    /// Creates an empty store; `keep` is the age at which records expire.
    pub fn new(keep: Duration) -> Self {
        Store {
            streams: Mutex::default(),
            keep,
            changed: Notify::new(),
        }
    }

    /// Runs `access` on a partition, which is created if it does not exist.
    pub fn with<T>(&self, topic: &str, part: u64, access: impl FnOnce(&mut Stream) -> T) -> T {
        let mut streams = self.lock();
        let stream = streams.entry((topic.to_owned(), part)).or_default();
        stream.expire(self.keep);
        access(stream)
    }

    /// Writes the value of a key on behalf of the operator or of a worker.
    pub fn put(&self, topic: &str, key: &str, value: impl AsRef<[u8]>) {
        let value = value.as_ref();
        let mut body = BytesMut::new();
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value);
        let body: Bytes = body.freeze();
        self.with(topic, 0, |stream| stream.append(&body, None, true));
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(String, u64), Stream>> {
        self.streams.lock().expect("no thread panics with the lock")
    }
}
