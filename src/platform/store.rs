//! Encodes calls to the platform's log and decodes its answers.

use std::borrow::Cow;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::{Error, Result, excerpt};
use crate::connection::{
    CallError, HttpReply, HttpRequest, KeyedRecord, Page, Partition, StoreAnswer, StoreRequest,
};

/// Largest amount of data that one read returns, in KiB.
const READ_KIB: u32 = 1_024;

pub fn encode_store_request(request: &StoreRequest) -> HttpRequest {
    match request {
        StoreRequest::Append {
            partition,
            records,
            fence,
        } => {
            let mut path = format!("/log-append?{}", partition_query(partition));
            if let Some(fence) = fence {
                let (producer, epoch, seq) = (&fence.producer, fence.epoch, fence.sequence);
                path += &format!("&producer={producer}&epoch={epoch}&seq={seq}");
            }
            http_request("POST", path, encode_records(records))
        }
        StoreRequest::Read { partition, offset } => {
            let place = partition_query(partition);
            let path = format!("/log-read?{place}&from={offset}&maxKb={READ_KIB}&waitMs=0");
            http_request("GET", path, Bytes::new())
        }
        StoreRequest::Newest { partition, after } => {
            let mut path = format!("/log-newest?{}", partition_query(partition));
            if let Some(key) = after {
                // The platform calls the parameter for the last key that was read `dependsOn`.
                path += &format!("&dependsOn={}", escape(key));
            }
            http_request("GET", path, Bytes::new())
        }
    }
}

/// Query parameters that select a partition.
fn partition_query(partition: &Partition) -> String {
    format!("topic={}&part={}", partition.stream, partition.part)
}

fn http_request(method: &'static str, path: String, body: Bytes) -> HttpRequest {
    HttpRequest {
        method,
        path,
        headers: Vec::new(),
        body,
    }
}

/// Encodes records for an append. Each consists of its length (4 bytes), the length of its key
/// (1 byte), the key and the value.
fn encode_records(records: &[KeyedRecord]) -> Bytes {
    let mut body = BytesMut::new();
    for record in records {
        let key = record.key.as_bytes();
        body.put_u32((1 + key.len() + record.value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key);
        body.put_slice(&record.value);
    }
    body.freeze()
}

/// Percent-encodes a key for use in a query.
fn escape(key: &str) -> String {
    let mut escaped = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                escaped.push(byte as char)
            }
            byte => escaped += &format!("%{byte:02X}"),
        }
    }
    escaped
}

#[derive(Deserialize)]
struct RefusalBody {
    reason: String,
    /// Sequence number that the log expects next.
    #[serde(alias = "expected")]
    seq: Option<u64>,
}

#[derive(Deserialize)]
struct NewestBody<'a> {
    /// Decoded one by one, since other programs write to some streams.
    #[serde(default, borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct ItemBody<'a> {
    #[serde(borrow)]
    key: &'a RawValue,
    /// `None` if it is missing, but not if it is null.
    #[serde(default, borrow, deserialize_with = "deserialize_present")]
    value: Option<&'a RawValue>,
}

fn deserialize_present<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Option<&'de RawValue>, D::Error> {
    Deserialize::deserialize(deserializer).map(Some)
}

/// Decodes the answer to `request`.
///
/// # Errors
///
/// `Refused` if the call had no effect; `Malformed` if the answer can't be decoded, so that the
/// effect is unknown.
pub fn decode_store_answer(
    request: &StoreRequest,
    reply: &HttpReply,
) -> std::result::Result<StoreAnswer, CallError> {
    let decoded = match (request, reply.status) {
        (_, 429 | 503 | 507) => return Err(CallError::Refused),
        (StoreRequest::Append { .. }, 200) => Ok(StoreAnswer::Appended),
        (StoreRequest::Append { .. }, 409) => decode_refusal(&reply.body),
        (StoreRequest::Read { offset, .. }, 200) => decode_read(*offset, &reply.body),
        (StoreRequest::Read { .. }, 410) => Ok(StoreAnswer::Expired),
        (StoreRequest::Newest { .. }, 200) => decode_newest(&reply.body),
        // Nothing has been written to the stream yet.
        (StoreRequest::Newest { .. }, 404) => Ok(StoreAnswer::Page(Page::default())),
        (StoreRequest::Read { offset, .. }, 404) => Ok(StoreAnswer::Records {
            records: Vec::new(),
            next: *offset,
            end: *offset,
        }),
        (_, status) => Err(Error::Field {
            field: "status",
            value: status.to_string(),
        }),
    };
    decoded.map_err(|error| {
        let body = String::from_utf8_lossy(&reply.body[..reply.body.len().min(200)]).into_owned();
        tracing::warn!(%error, status = reply.status, body, "cannot decode the answer of the log");
        CallError::Malformed
    })
}

fn decode_refusal(body: &[u8]) -> Result<StoreAnswer> {
    let body: RefusalBody = serde_json::from_slice(body)?;
    match (body.reason.as_str(), body.seq) {
        ("fenced", _) => Ok(StoreAnswer::Fenced),
        ("seq", Some(expected)) => Ok(StoreAnswer::OutOfSequence { expected }),
        _ => Err(Error::Field {
            field: "reason",
            value: body.reason,
        }),
    }
}

/// Decodes a page of the newest records. One that can't be decoded does not hide the others.
fn decode_newest(body: &[u8]) -> Result<StoreAnswer> {
    let text = String::from_utf8_lossy(body);
    let body: NewestBody<'_> = serde_json::from_str(&text)?;
    let mut page = Page {
        records: Vec::with_capacity(body.items.len()),
        unreadable: Vec::new(),
        has_more: body.more,
        end: body.end,
    };
    let mut skipped = Skipped::default();
    for item in body.items {
        match decode_item(item) {
            Ok((key, Ok(value))) => page.records.push(KeyedRecord { key, value }),
            Ok((key, Err(error))) => {
                skipped.add(|| format!("{key}: {error}"));
                page.unreadable.push(key);
            }
            Err(error) => skipped.add(|| error.to_string()),
        }
    }
    skipped.log();
    Ok(StoreAnswer::Page(page))
}

/// Decodes an item into its key and its value; the latter may be an error.
fn decode_item(item: &RawValue) -> Result<(String, Result<Bytes>)> {
    let item: ItemBody<'_> = serde_json::from_str(item.get())?;
    let key = serde_json::from_str(item.key.get())?;
    let value = item.value.map_or(Ok(Bytes::new()), decode_value);
    Ok((key, value))
}

fn decode_value(value: &RawValue) -> Result<Bytes> {
    let text: Cow<'_, str> = serde_json::from_str(value.get())?;
    let value = STANDARD.decode(&*text);
    value.map(Bytes::from).map_err(|_| Error::Field {
        field: "value",
        value: excerpt(&text).to_owned(),
    })
}

/// Decodes an answer to a read: the end and the first retained offset, 8 bytes each, and then the
/// records. One that can't be decoded is skipped, but counts for the next offset.
fn decode_read(from: u64, body: &Bytes) -> Result<StoreAnswer> {
    const HEADER_LENGTH: usize = 16;
    let (end, _) = body.split_first_chunk().ok_or(Error::Truncated)?;
    let end = u64::from_be_bytes(*end);
    let mut rest = body.get(HEADER_LENGTH..).ok_or(Error::Truncated)?;
    let mut records = Vec::new();
    let mut next = from;
    let mut skipped = Skipped::default();
    while !rest.is_empty() {
        let length = rest.get(..4).ok_or(Error::Truncated)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let record = rest.get(4..4 + length).ok_or(Error::Truncated)?;
        match decode_record(record) {
            Some(record) => records.push(record),
            None => skipped.add(|| format!("offset {next}: no key of the given length")),
        }
        next += 1;
        rest = &rest[4 + length..];
    }
    skipped.log();
    Ok(StoreAnswer::Records { records, next, end })
}

/// `None` if the record is shorter than its key.
fn decode_record(record: &[u8]) -> Option<KeyedRecord> {
    let (&key_length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(key_length))?;
    Some(KeyedRecord {
        key: String::from_utf8_lossy(key).into_owned(),
        value: Bytes::copy_from_slice(value),
    })
}

/// The records of one answer that can't be decoded. They are logged together.
#[derive(Default)]
struct Skipped {
    count: usize,
    /// What is known of the first one.
    first: String,
}

impl Skipped {
    fn add(&mut self, describe: impl FnOnce() -> String) {
        self.count += 1;
        if self.count == 1 {
            self.first = describe();
        }
    }

    fn log(&self) {
        if self.count > 0 {
            let (count, first) = (self.count, excerpt(&self.first));
            tracing::warn!(count, first, "skipping records that cannot be decoded");
        }
    }
}
