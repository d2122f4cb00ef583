//! Errors of the stand-ins.

use std::io;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("malformed HTTP request: {0}")]
    Http(&'static str),
    #[error("unknown switch {0:?}")]
    UnknownSwitch(String),
    #[error("invalid value for switch {name:?}: {source}")]
    Switch {
        name: String,
        source: serde_json::Error,
    },
    #[error("unknown host {0:?}")]
    UnknownHost(String),
}

pub type Result<T> = std::result::Result<T, Error>;
