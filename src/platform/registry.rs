//! What workers say of themselves in the registry.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{Error, Result};
use crate::base::{Name, Size};

/// Stream in which workers register, one key a worker.
pub const REGISTRY_STREAM: &str = "keyed.servers";

/// One registered worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryEntry {
    pub service: Name,
    pub address: SocketAddr,
    pub data_centre: Name,
    pub state: WorkerState,
    pub capacity: Size,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// Start of this life in Unix milliseconds, where it is given.
    pub born: Option<u64>,
    /// Shortest time in milliseconds until a draining worker leaves.
    pub remaining: Option<u64>,
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

/// Decodes an entry. Other writers put entries there that name no usable worker, so each field has
/// to be present and of its type.
///
/// # Errors
///
/// Anything that a worker does not write.
pub fn decode_registry_entry(value: &[u8]) -> Result<RegistryEntry> {
    let body: EntryBody = serde_json::from_slice(value)?;
    let state = match body.state.as_str() {
        "ready" => WorkerState::Ready,
        "draining" => WorkerState::Draining,
        _ => return Err(field("state", body.state)),
    };
    let address = body.address.parse();
    let address = address.map_err(|_| field("address", body.address))?;
    Ok(RegistryEntry {
        service: body.service.into(),
        address,
        data_centre: body.zone.into(),
        state,
        capacity: Size::new(body.capacity.cpu, body.capacity.mem_mb, body.capacity.gpu),
        labels: body.labels.into_iter().map(Name::from).collect(),
        born: body.born,
        remaining: body.remaining_ms,
    })
}

fn field(field: &'static str, value: String) -> Error {
    Error::Field { field, value }
}
