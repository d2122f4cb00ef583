//! Entries that workers write about themselves to the registry.

use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;

use super::{Error, Result, excerpt};
use crate::base::{Name, Size};

/// Stream in which workers register, with one key per worker.
pub const REGISTRY_STREAM: &str = "keyed.servers";

/// Longest id of a worker, and longest name in its entry, in bytes. Keys of the store have up to 255
/// bytes, and the key of the worker's own record consists of its id and a prefix.
const MAX_NAME: usize = 250;
/// Most labels of a worker.
const MAX_LABELS: usize = 100;

/// One registered worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryEntry {
    pub service: Name,
    pub address: SocketAddr,
    pub data_centre: Name,
    pub state: WorkerState,
    pub capacity: Size,
    /// The worker's kind and its rack.
    pub labels: Vec<Name>,
    /// Time at which the worker started, in Unix milliseconds; `None` if the entry doesn't give it.
    pub start_time: Option<u64>,
    /// Shortest time in milliseconds until a draining worker stops; `None` if not given.
    pub drain_time: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EntryBody {
    service: String,
    address: String,
    zone: String,
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "slots")]
    _slots: u32,
    state: String,
    #[serde(rename = "coldRemainingMs")]
    _cold_remaining_ms: u64,
    #[serde(rename = "seq")]
    _seq: u64,
    capacity: CapacityBody,
    labels: Vec<String>,
    born: Option<u64>,
    remaining_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CapacityBody {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Decodes the id of a worker from the key of its entry.
///
/// # Errors
///
/// No worker has this id, since it can't be sent in a header or be part of a key.
pub fn decode_worker_id(key: &str) -> Result<Name> {
    let is_sendable = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    match is_sendable && key.len() <= MAX_NAME {
        true => Ok(key.into()),
        false => Err(field_error("key", key)),
    }
}

/// Decodes a worker's entry.
///
/// Other programs also write to the registry. To ignore their entries, every field that workers
/// write must be present and of the right type, even if its value is not used.
///
/// # Errors
///
/// The entry was not written by a worker, or is malformed.
pub fn decode_registry_entry(value: &[u8]) -> Result<RegistryEntry> {
    let body: EntryBody = serde_json::from_slice(value)?;
    let state = match body.state.as_str() {
        "ready" => WorkerState::Ready,
        "draining" => WorkerState::Draining,
        _ => return Err(field_error("state", &body.state)),
    };
    if body.labels.len() > MAX_LABELS {
        return Err(field_error("labels", &body.labels.len().to_string()));
    }
    let labels = body.labels.iter().map(|label| decode_name("labels", label));
    Ok(RegistryEntry {
        service: decode_name("service", &body.service)?,
        address: decode_address(&body.address)?,
        data_centre: decode_name("zone", &body.zone)?,
        state,
        capacity: Size::new(body.capacity.cpu, body.capacity.mem_mb, body.capacity.gpu),
        labels: labels.collect::<Result<Vec<Name>>>()?,
        start_time: body.born,
        drain_time: body.remaining_ms,
    })
}

pub(super) fn decode_name(field: &'static str, name: &str) -> Result<Name> {
    match name.len() <= MAX_NAME {
        true => Ok(name.into()),
        false => Err(field_error(field, name)),
    }
}

/// Decodes an address on which a single process can listen.
fn decode_address(text: &str) -> Result<SocketAddr> {
    let address: Option<SocketAddr> = text.parse().ok();
    let usable = address.filter(|address| {
        let ip = address.ip().to_canonical();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
    });
    usable.ok_or_else(|| field_error("address", text))
}

fn field_error(field: &'static str, value: &str) -> Error {
    let value = excerpt(value).to_owned();
    Error::Field { field, value }
}
