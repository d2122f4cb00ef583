//! Interface of workers and instances to the control requests.

use jayfork::base::Millis;
use serde_json::Value;

use crate::error::Result;
use crate::recorder::Recorder;

/// State of all backend servers of the process.
pub trait FleetState: Send + 'static {
    fn recorder(&self) -> &Recorder;

    /// Sets a switch of one host; returns `false` if hosts have no such switch.
    fn set_host(&mut self, now: Millis, host: usize, name: &str, value: &Value) -> Result<bool>;

    /// Sets a switch of the whole process; returns `false` if there is no such switch.
    fn set(&mut self, now: Millis, name: &str, value: &Value) -> Result<bool>;
}
