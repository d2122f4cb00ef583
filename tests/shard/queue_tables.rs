//! Versions of the configuration with other names, addresses and services of queues, and requests by address.

use std::sync::Arc;

use jayfork::process::shard::{Reply, Request, ShardEvent};
use jayfork::request::job::{JobId, JobSpec};
use jayfork::version::{Queue, QueueRef, QueueTable};

use super::world::{SERVICE, World};

/// A queue with the given name at a path.
pub fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "Example".into(),
        prefix: prefix.into(),
        service: SERVICE.into(),
        priority: 0,
        objective: 400,
        stretch: 1.5,
        attempts: 3,
        has_advice: false,
    }
}

pub fn table(version: u64, queues: Vec<Queue>) -> Arc<QueueTable> {
    Arc::new(QueueTable {
        version,
        queues,
        services: Vec::new(),
        max_body: 1 << 20,
    })
}

/// The queue that a host with this configuration finds for a path; its clients may spell the authority in another
/// way.
pub fn find(table: &QueueTable, path: &str) -> QueueRef {
    let (queue, rest) = table.find("example", path).expect("a queue");
    assert!(rest.is_empty(), "{path:?} is the path of a queue");
    QueueRef::Matched {
        version: table.version,
        queue: Arc::new(queue.clone()),
    }
}

impl World {
    /// Gives the owner a new version; later owners start with it.
    pub fn publish(&mut self, table: &Arc<QueueTable>) {
        self.table = Some(table.clone());
        if let Some(owner) = self.owner() {
            self.event(owner, ShardEvent::Queues(table.clone()));
        }
    }

    /// Submits a job through a host with this configuration.
    pub fn submit_through(
        &mut self,
        table: &QueueTable,
        path: &str,
        id: u64,
        spec: &JobSpec,
    ) -> u64 {
        self.submit_as(find(table, path), id, spec)
    }

    /// The state of a job for a client that asks a host with this configuration.
    pub fn state_through(&mut self, table: &QueueTable, path: &str, id: u64) -> Option<Reply> {
        let ticket = self.ask(Request::State {
            job: JobId(id),
            queue: find(table, path),
        });
        self.replies.get(&ticket).copied()
    }

    /// Cancels a job through a host with this configuration; returns the ticket.
    pub fn cancel_through(&mut self, table: &QueueTable, path: &str, id: u64) -> u64 {
        self.ask(Request::Cancel {
            job: JobId(id),
            queue: find(table, path),
        })
    }

    /// Length of the backlog for a client that asks a host with this configuration.
    pub fn backlog_through(&mut self, table: &QueueTable, path: &str) -> Option<Reply> {
        let ticket = self.ask(Request::Backlog {
            queue: find(table, path),
        });
        self.replies.get(&ticket).copied()
    }
}
