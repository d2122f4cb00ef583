//! The newest configuration: queues and the services that run their tasks.

use serde::{Deserialize, Serialize};

use crate::base::Name;

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueTable {
    pub version: u64,
    pub queues: Vec<Queue>,
    pub services: Vec<Service>,
    /// Longest body of a client's request in bytes.
    pub max_body: u64,
}

/// A queue that clients submit to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    pub name: Name,
    /// Authority that clients address.
    pub host: Name,
    /// Path up to the job's id.
    pub prefix: Name,
    /// Service whose workers run the tasks.
    pub service: Name,
    /// 0 comes first.
    pub priority: u8,
    /// Milliseconds that are added to the stretched chain of a job for its objective.
    pub objective: u64,
    /// Factor on the longest chain of a job for its objective.
    pub stretch: f64,
    /// Runs of a task that may fail before its job fails.
    pub attempts: u16,
    /// Whether a policy outside decides which workers may run a step.
    pub has_advice: bool,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    /// Whether its machines are off and held in reserve.
    pub is_spare: bool,
    /// Connections that one worker accepts.
    pub connections: u32,
}

impl QueueTable {
    /// The queue with the longest prefix of `path` under `host`, and the rest of the path.
    pub fn find<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a Queue, &'b str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)))
            .max_by_key(|(queue, _)| queue.prefix.len())
    }

    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }
}
