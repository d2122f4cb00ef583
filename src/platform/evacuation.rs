//! Decodes the operator's requests to evacuate data centres.

use serde::de::IgnoredAny;

use super::registry::decode_name;
use super::{Error, Result, excerpt};
use crate::base::Name;

/// Begin of the keys of such requests in the operator's stream; the data centre follows.
const KEY_PREFIX: &str = "evacuate/";

/// What a record of the operator says about a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRequest {
    pub data_centre: Name,
    /// Whether the data centre is to get no more work; `false` gives it back.
    pub is_requested: bool,
}

/// Decodes a record of the operator's stream; `None` if it is about something else.
///
/// # Errors
///
/// The key names no data centre, or the value was not written by the operator.
pub fn decode_evacuation(key: &str, value: &[u8]) -> Option<Result<EvacuationRequest>> {
    let name = key.strip_prefix(KEY_PREFIX)?;
    Some(decode_request(name, value))
}

fn decode_request(name: &str, value: &[u8]) -> Result<EvacuationRequest> {
    if name.is_empty() || name.chars().any(char::is_control) {
        return Err(Error::Field {
            field: "key",
            value: excerpt(name).to_owned(),
        });
    }
    let data_centre = decode_name("key", name)?;
    // Deleting the record ends the request. What else the value holds has no meaning.
    if !value.is_empty() {
        serde_json::from_slice::<IgnoredAny>(value)?;
    }
    Ok(EvacuationRequest {
        data_centre,
        is_requested: !value.is_empty(),
    })
}
