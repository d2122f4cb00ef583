//! Adapter between the platform's wire formats and the scheduler's own types.
//!
//! It only encodes and decodes messages: it makes no decisions and keeps no state.

mod client;
mod config;
mod evacuation;
mod registry;
mod store;
mod worker;

pub use client::{
    ClientCall, ClientRequest, decode_client, decoded_size, encode_backlog, encode_job_state,
};
pub use config::{CONFIG_KEY, CONFIG_STREAM, DEFAULT_MAX_BODY, decode_config};
pub use evacuation::{EvacuationRequest, decode_evacuation};
pub use registry::{
    REGISTRY_STREAM, RegistryEntry, WorkerState, decode_registry_entry, decode_worker_id,
};
pub use store::{decode_store_answer, encode_store_request};
pub use worker::{decode_worker_answer, encode_order};

/// Why a message of the platform could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("invalid JSON for this message: {0}")]
    Json(#[from] serde_json::Error),
    #[error("field {field} has the invalid value {value:?}")]
    Field { field: &'static str, value: String },
    #[error(transparent)]
    Job(#[from] crate::request::job::Error),
    #[error("binary answer is truncated")]
    Truncated,
}

pub type Result<T> = std::result::Result<T, Error>;

/// The beginning of a text, for messages that name it. Other programs may write very long ones.
fn excerpt(text: &str) -> &str {
    const MAX_LENGTH: usize = 100;
    let mut ends = (0..=MAX_LENGTH.min(text.len())).rev();
    let end = ends.find(|end| text.is_char_boundary(*end));
    &text[..end.unwrap_or(0)]
}
