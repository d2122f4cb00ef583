//! HTTP interface of the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, BytesMut};
use serde_json::json;
use tokio::time::{sleep, sleep_until, timeout};

use super::http::{Reply, Request, Service};
use super::store::Store;
use super::stream::{Appended, Fence, Stream};

/// Prefix of the topics whose records have keys.
const KEYED_PREFIX: &str = "keyed.";
/// Topics to which only the operator and the workers write.
const FOREIGN_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];
/// Most records and bytes on one page of newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Longest wait of a read in milliseconds.
const MAX_WAIT: u64 = 30_000;
/// Longest time that an append waits for those before it.
const MAX_BACKLOG: Duration = Duration::from_secs(2);

#[derive(Clone)]
pub struct StoreService {
    store: Arc<Store>,
    append_time: Duration,
    answer_time: Duration,
}

impl StoreService {
    /// `append_ms` is the time that each append of a partition takes, `answer_ms` that of any call.
    pub fn new(store: Arc<Store>, append_ms: u64, answer_ms: u64) -> Self {
        StoreService {
            store,
            append_time: Duration::from_millis(append_ms),
            answer_time: Duration::from_millis(answer_ms),
        }
    }

    async fn append(&self, request: &Request) -> Reply {
        let (topic, part) = partition(request);
        if FOREIGN_TOPICS.contains(&topic) {
            return Reply::status(403);
        }
        let is_keyed = topic.starts_with(KEYED_PREFIX);
        let (appended, done) = self.store.with(topic, part, |stream| {
            let now = Instant::now();
            let start = stream.busy_until.map_or(now, |busy| busy.max(now));
            if start > now + MAX_BACKLOG {
                return (None, now);
            }
            let done = start + self.append_time;
            stream.busy_until = Some(done);
            if request.number("at").is_some_and(|at| at != stream.end) {
                return (Some(Err(stream.end)), done);
            }
            let appended = stream.append(&request.body, fence(request), is_keyed);
            (Some(Ok(appended)), done)
        });
        self.store.changed.notify_waiters();
        sleep_until(done.into()).await;
        match appended {
            None => Reply::status(503),
            Some(Err(end)) => Reply::json(412, &json!({ "end": end })),
            Some(Ok(appended)) => encode_append(appended),
        }
    }

    async fn read(&self, request: &Request) -> Reply {
        let wait = request.number("waitMs").unwrap_or(0).min(MAX_WAIT);
        let from = request.number("from").unwrap_or(0);
        let waiting = async {
            loop {
                let changed = self.store.changed.notified();
                let (topic, part) = partition(request);
                if self.store.with(topic, part, |stream| stream.end > from) {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(Duration::from_millis(wait), waiting).await;
        let max = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let (topic, part) = partition(request);
        self.store
            .with(topic, part, |stream| encode_read(stream, from, max))
    }

    fn newest(&self, request: &Request) -> Reply {
        let after = request.text("dependsOn");
        let (topic, part) = partition(request);
        self.store
            .with(topic, part, |stream| encode_page(stream, after))
    }
}

impl Service for StoreService {
    fn answer(&self, request: Request) -> impl Future<Output = Reply> + 'static {
        let service = self.clone();
        async move {
            sleep(service.answer_time).await;
            match request.path.as_str() {
                "/log-append" => service.append(&request).await,
                "/log-read" => service.read(&request).await,
                "/log-newest" => service.newest(&request),
                _ => Reply::status(404),
            }
        }
    }
}

fn partition(request: &Request) -> (&str, u64) {
    (request.text("topic"), request.number("part").unwrap_or(0))
}

fn fence(request: &Request) -> Option<Fence> {
    Some(Fence {
        producer: request.query.get("producer")?.clone(),
        epoch: request.number("epoch")?,
        sequence: request.number("seq")?,
    })
}

fn encode_append(appended: Appended) -> Reply {
    match appended {
        Appended::Done(offset, end) => Reply::json(200, &json!({ "offset": offset, "end": end })),
        Appended::Fenced => Reply::json(409, &json!({ "reason": "fenced" })),
        Appended::OutOfSequence(expected) => {
            Reply::json(409, &json!({ "reason": "seq", "seq": expected }))
        }
        Appended::Malformed => Reply::status(400),
    }
}

fn encode_read(stream: &Stream, from: u64, max: usize) -> Reply {
    if from < stream.first {
        return Reply::json(410, &json!({ "first": stream.first }));
    }
    let mut body = BytesMut::new();
    body.put_u64(stream.end);
    body.put_u64(stream.first);
    for record in stream.read(from, max) {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    Reply::new(200, body.freeze())
}

fn encode_page(stream: &Stream, after: &str) -> Reply {
    let mut size = 0;
    let mut items = Vec::new();
    let mut has_more = false;
    for (key, (offset, value)) in stream.newest(after) {
        size += key.len() + value.len();
        if items.len() == PAGE_RECORDS || (size > PAGE_BYTES && !items.is_empty()) {
            has_more = true;
            break;
        }
        let value = STANDARD.encode(value);
        items.push(json!({ "key": key, "value": value, "offset": offset }));
    }
    Reply::json(
        200,
        &json!({ "items": items, "more": has_more, "end": stream.end }),
    )
}
