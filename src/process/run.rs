//! The life of a `jayforkd` process.

use super::settings::Settings;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("entry host {0}: the runtime is not part of this build")]
    NoRuntime(String),
}

pub type Result<T> = std::result::Result<T, Error>;

/// Runs an entry host until it is told to stop.
pub fn run(settings: Settings) -> Result<()> {
    Err(Error::NoRuntime(settings.host.name.to_string()))
}
