//! The platform's store: keyed partitions of a log with fenced producers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::http::{Answer, Request};

/// Time until the store answers, and the time of an append.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const APPEND_TIME: Duration = Duration::from_millis(3);
/// Largest record, and most records on a page of the newest ones.
const RECORD_BYTES: usize = 262_144;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    recent: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    /// Records in their wire form: key length, key and value.
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
pub struct Store {
    partitions: Mutex<HashMap<(String, u64), Partition>>,
    is_down: AtomicBool,
}

impl Store {
    /// While the store is down, it refuses each call with 503, and nothing is done.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Writes a record as the operator or a worker does; an empty value deletes the key. Returns whether
    /// the store has accepted it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        if self.is_down() {
            return false;
        }
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions.entry((topic.to_owned(), 0)).or_default().append(record);
        true
    }

    pub fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER_TIME);
        if self.is_down() {
            return Some((503, Vec::new()));
        }
        let topic = request.text("topic").to_owned();
        let place = (topic, request.number("part").unwrap_or(0));
        match request.path.as_str() {
            "/log-append" => {
                std::thread::sleep(APPEND_TIME);
                let mut partitions = self.partitions.lock().unwrap();
                let (status, body) = partitions.entry(place).or_default().handle_append(request);
                Some((status, body.into_bytes()))
            }
            "/log-read" => {
                let mut partitions = self.partitions.lock().unwrap();
                Some((200, partitions.entry(place).or_default().read(request)))
            }
            "/log-newest" => {
                let mut partitions = self.partitions.lock().unwrap();
                Some((200, partitions.entry(place).or_default().newest(request).into_bytes()))
            }
            _ => Some((404, Vec::new())),
        }
    }
}

impl Partition {
    fn append(&mut self, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        let length = usize::from(record.first().copied().unwrap_or(0));
        if let (Some(key), Some(value)) = (record.get(1..1 + length), record.get(1 + length..)) {
            match value.is_empty() {
                true => self.newest.remove(key),
                false => self.newest.insert(key.to_vec(), (value.to_vec(), offset)),
            };
        }
        self.records.push(record);
    }

    fn handle_append(&mut self, request: &Request) -> (u16, String) {
        let Some(records) = split(&request.body) else {
            return (400, "{}".to_owned());
        };
        if records.iter().any(|record| record.len() > RECORD_BYTES) {
            return (400, "{}".to_owned());
        }
        let name = request.text("producer").to_owned();
        if let (false, Some(epoch), Some(seq)) = (name.is_empty(), request.number("epoch"), request.number("seq")) {
            let producer = self.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return (409, r#"{"reason":"fenced"}"#.to_owned());
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if let Some((_, answer)) = producer.recent.iter().find(|(known, _)| *known == seq) {
                return (200, answer.clone());
            }
            if let Some(expected) = producer.last.map(|last| last + 1).filter(|expected| *expected != seq) {
                return (409, format!(r#"{{"reason":"seq","seq":{expected}}}"#));
            }
        }
        let offset = self.records.len();
        for record in records {
            self.append(record);
        }
        let answer = format!(r#"{{"offset":{offset},"end":{}}}"#, self.records.len());
        if let (Some(producer), Some(seq)) = (self.producers.get_mut(&name), request.number("seq")) {
            producer.last = Some(seq);
            producer.recent.push_back((seq, answer.clone()));
            if producer.recent.len() > 5 {
                producer.recent.pop_front();
            }
        }
        (200, answer)
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let from = request.number("from").unwrap_or(0) as usize;
        let limit = request.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let mut body = (self.records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in self.records.iter().skip(from) {
            if body.len() > 16 && body.len() + record.len() > limit {
                break;
            }
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        body
    }

    fn newest(&self, request: &Request) -> String {
        let after = request.text("dependsOn").as_bytes().to_vec();
        let mut items = Vec::new();
        let (mut size, mut more) = (0, false);
        for (key, (value, offset)) in &self.newest {
            if !after.is_empty() && *key <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS || size > PAGE_BYTES {
                more = true;
                break;
            }
            size += value.len();
            let key = crate::json::quote(&String::from_utf8_lossy(key));
            items.push(format!(r#"{{"key":{key},"value":"{}","offset":{offset}}}"#, base64(value)));
        }
        format!(r#"{{"items":[{}],"more":{more},"end":{}}}"#, items.join(","), self.records.len())
    }
}

/// Splits the body of an append into its records.
fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
