//! Encodes calls to the platform's log and decodes its answers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;

use super::{Error, Result};
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
struct NewestBody {
    #[serde(default)]
    items: Vec<ItemBody>,
    #[serde(default)]
    more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct ItemBody {
    key: String,
    #[serde(default)]
    value: String,
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

fn decode_newest(body: &[u8]) -> Result<StoreAnswer> {
    let body: NewestBody = serde_json::from_slice(body)?;
    let mut records = Vec::with_capacity(body.items.len());
    for item in body.items {
        let value = STANDARD.decode(&item.value).map_err(|_| Error::Field {
            field: "value",
            value: item.key.clone(),
        })?;
        records.push(KeyedRecord {
            key: item.key,
            value: value.into(),
        });
    }
    Ok(StoreAnswer::Page(Page {
        records,
        has_more: body.more,
        end: body.end,
    }))
}

/// Decodes an answer to a read: the end and the first retained offset, 8 bytes each, and then the
/// records.
fn decode_read(from: u64, body: &Bytes) -> Result<StoreAnswer> {
    const HEADER_LENGTH: usize = 16;
    let mut rest = body.get(HEADER_LENGTH..).ok_or(Error::Truncated)?;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let length = rest.get(..4).ok_or(Error::Truncated)?;
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let record = rest.get(4..4 + length).ok_or(Error::Truncated)?;
        records.push(decode_record(record)?);
        rest = &rest[4 + length..];
    }
    let next = from + records.len() as u64;
    Ok(StoreAnswer::Records { records, next })
}

fn decode_record(record: &[u8]) -> Result<KeyedRecord> {
    let (&key_length, rest) = record.split_first().ok_or(Error::Truncated)?;
    let key_length = usize::from(key_length);
    let key = rest.get(..key_length).ok_or(Error::Truncated)?;
    Ok(KeyedRecord {
        key: String::from_utf8_lossy(key).into_owned(),
        value: Bytes::copy_from_slice(&rest[key_length..]),
    })
}
