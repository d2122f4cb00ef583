//! Settings of `jayforkd`, which it reads from an INI file when it starts.

mod address;
mod entry;
mod error;
mod limits;
mod numbers;
mod peers;
mod reader;
#[allow(clippy::module_inception)]
mod settings;
mod timing;
mod value;

pub use entry::EntrySettings;
pub use error::{Error, Fault, Result};
pub use limits::Limits;
pub use peers::Peer;
pub(crate) use reader::parse_name;
pub use settings::{Host, Listen, Log, LogFormat, Platform, Settings};
pub use timing::Timing;
