//! Messages of the platform's append-only log.

use serde::{Deserialize, Serialize};

use crate::base::Offset;

/// Answer to `POST /streams/{stream}/records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    pub offset: Offset,
}

/// Answer to `GET /streams/{stream}/records?from=&max=&wait=`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Lowest offset that the log still has.
    pub first: Offset,
    /// Offset that the next record of the stream will get.
    pub next: Offset,
    pub records: Vec<LogRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    pub offset: Offset,
    /// Time of the append by the log's clock, in ms since the Unix epoch.
    pub time: u64,
    #[serde(with = "base64_bytes")]
    pub data: Vec<u8>,
}

mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(data))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
