//! Queues, and the services that run their tasks, as configured by the operator.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::base::Name;

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueTable {
    pub version: u64,
    pub queues: Vec<Queue>,
    pub services: Vec<Service>,
    /// Largest body of a client's request, in bytes.
    pub max_body: u64,
}

/// A queue that clients submit to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    pub name: Name,
    /// Authority (host name and optional port) that clients send their requests to.
    pub host: Name,
    /// Path before the job's id.
    pub prefix: Name,
    /// Service whose workers run the tasks.
    pub service: Name,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Constant part of a job's objective for its completion time, in ms.
    pub objective: u64,
    /// Variable part of the objective: factor on the declared run time of the critical path.
    pub stretch: f64,
    /// Failed runs of a task after which its job fails.
    pub attempts: u16,
    /// Whether an external policy service decides which workers may run a step.
    pub has_advice: bool,
}

/// A pool of workers that run the same kind of task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    /// Whether its machines are powered off and kept in reserve.
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
}

/// One version of the configuration with its queues by name. The placement looks up a queue for each
/// waiting step, and there may be thousands of both.
#[derive(Debug, Clone, Default)]
pub struct QueueIndex {
    table: Arc<QueueTable>,
    positions: HashMap<Name, usize>,
}

impl QueueIndex {
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.table.queues.get(*self.positions.get(name)?)
    }

    /// Whether the configuration names a service.
    pub fn has_service(&self, name: &str) -> bool {
        let table = &self.table;
        table.services.iter().any(|service| &*service.name == name)
            || table.queues.iter().any(|queue| &*queue.service == name)
    }
}

impl From<Arc<QueueTable>> for QueueIndex {
    /// If several queues have one name, the first one counts.
    fn from(table: Arc<QueueTable>) -> Self {
        let mut positions = HashMap::with_capacity(table.queues.len());
        for (position, queue) in table.queues.iter().enumerate() {
            positions.entry(queue.name.clone()).or_insert(position);
        }
        QueueIndex { table, positions }
    }
}
