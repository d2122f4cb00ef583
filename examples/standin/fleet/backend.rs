//! What the control calls need of workers and instances.

use jayfork::base::Millis;
use serde_json::Value;

use crate::error::Result;
use crate::recorder::Recorder;

/// State of all backend servers of the process.
pub trait Backend: Send + 'static {
    fn recorder(&self) -> &Recorder;

    /// Sets a switch of one host; returns `false` if it is none of a host.
    fn set_host(&mut self, now: Millis, host: usize, name: &str, value: &Value) -> Result<bool>;

    /// Sets a switch of the whole process; returns `false` if it is unknown.
    fn set(&mut self, now: Millis, name: &str, value: &Value) -> Result<bool>;
}
