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

/// The queue that a host has found for a request of a client.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum QueueRef {
    /// By name alone, as hosts of earlier versions of the program tell it.
    Named(Name),
    Matched {
        /// Version of the configuration in which it was found.
        version: u64,
        queue: Arc<Queue>,
    },
}

impl QueueRef {
    pub fn name(&self) -> &Name {
        match self {
            QueueRef::Named(name) => name,
            QueueRef::Matched { queue, .. } => &queue.name,
        }
    }
}

impl From<&str> for QueueRef {
    fn from(name: &str) -> Self {
        QueueRef::Named(name.into())
    }
}

impl Queue {
    /// A queue of which only the name is known: no service runs its tasks until a configuration names it.
    pub fn unknown(name: Name) -> Queue {
        Queue {
            name,
            host: "".into(),
            prefix: "".into(),
            service: "".into(),
            priority: u8::MAX,
            objective: 0,
            stretch: 1.0,
            attempts: u16::MAX,
            has_advice: false,
        }
    }

    /// Whether clients send requests for both queues to the same authority and path.
    pub fn shares_address(&self, other: &Queue) -> bool {
        !self.host.is_empty()
            && self.host.eq_ignore_ascii_case(&other.host)
            && self.prefix == other.prefix
    }
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

/// One version of the configuration with its queues by name and by address.
#[derive(Debug, Clone, Default)]
pub struct QueueIndex {
    table: Arc<QueueTable>,
    names: HashMap<Name, usize>,
    /// By authority, in lower case, and path.
    addresses: HashMap<(String, Name), usize>,
}

impl QueueIndex {
    pub fn version(&self) -> u64 {
        self.table.version
    }

    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.table.queues.get(*self.names.get(name)?)
    }

    /// The queue with the address of another one, which may be of another version.
    pub fn queue_at(&self, other: &Queue) -> Option<&Queue> {
        self.table.queues.get(*self.addresses.get(&address(other))?)
    }

    /// Whether the configuration names a service.
    pub fn has_service(&self, name: &str) -> bool {
        let table = &self.table;
        table.services.iter().any(|service| &*service.name == name)
            || table.queues.iter().any(|queue| &*queue.service == name)
    }
}

impl From<Arc<QueueTable>> for QueueIndex {
    /// If several queues have one name, the first one counts; of those with one address the last one, as in
    /// `QueueTable::find`.
    fn from(table: Arc<QueueTable>) -> Self {
        let mut names = HashMap::with_capacity(table.queues.len());
        let mut addresses = HashMap::with_capacity(table.queues.len());
        for (position, queue) in table.queues.iter().enumerate() {
            names.entry(queue.name.clone()).or_insert(position);
            addresses.insert(address(queue), position);
        }
        QueueIndex {
            table,
            names,
            addresses,
        }
    }
}

fn address(queue: &Queue) -> (String, Name) {
    (queue.host.to_ascii_lowercase(), queue.prefix.clone())
}
