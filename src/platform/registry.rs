//! Entries that workers write about themselves to the registry.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{Error, Result};
use crate::base::{Name, Size};

/// Stream in which workers register, with one key per worker.
pub const REGISTRY_STREAM: &str = "keyed.servers";

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
        _ => return Err(field_error("state", body.state)),
    };
    let address = body.address.parse();
    let address = address.map_err(|_| field_error("address", body.address))?;
    Ok(RegistryEntry {
        service: body.service.into(),
        address,
        data_centre: body.zone.into(),
        state,
        capacity: Size::new(body.capacity.cpu, body.capacity.mem_mb, body.capacity.gpu),
        labels: body.labels.into_iter().map(Name::from).collect(),
        start_time: body.born,
        drain_time: body.remaining_ms,
    })
}

fn field_error(field: &'static str, value: String) -> Error {
    Error::Field { field, value }
}
