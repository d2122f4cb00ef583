//! The queues that jobs belong to. A queue keeps its jobs when a new configuration gives it another name or path.

use std::collections::{BTreeMap, BTreeSet};

use crate::base::Name;
use crate::version::{Queue, QueueIndex, QueueRecord, QueueRef, ShardRecord};

/// Longest id of a queue, in bytes. Keys of the store have up to 255 bytes, and the key of the record consists of the id
/// and a prefix.
const MAX_ID: usize = 200;

/// The queues of the newest configuration, and those that jobs belong to.
///
/// A new configuration describes a known queue where it has one with the same address, as clients know no names.
/// Otherwise it is the one with the same name, which has moved. If there is neither, the queue is gone: its jobs go on as the
/// last configuration described it.
#[derive(Debug)]
pub(super) struct Queues {
    index: QueueIndex,
    /// By id. Several may be one queue since a configuration.
    known: BTreeMap<Name, QueueRecord>,
    /// Stands for a queue without a record.
    missing: Queue,
}

impl From<QueueIndex> for Queues {
    fn from(index: QueueIndex) -> Self {
        Queues {
            index,
            known: BTreeMap::new(),
            missing: Queue::unknown("".into()),
        }
    }
}

impl Queues {
    /// The queue that a job belongs to.
    pub fn get(&self, id: &str) -> &Queue {
        match self.known.get(id) {
            Some(known) => &known.queue,
            None => &self.missing,
        }
    }

    pub fn has_service(&self, name: &str) -> bool {
        self.index.has_service(name)
    }

    /// The queue for a new job. `None` if there is none: the host that sent the request has an earlier configuration, and this
    /// one has dropped the queue.
    pub fn find(&self, asked: &QueueRef) -> Option<QueueRecord> {
        let version = self.index.version();
        let (queue, version) = match asked {
            QueueRef::Named(name) => (self.index.queue(name)?, version),
            QueueRef::Matched {
                version: matched,
                queue,
            } => match self.index.queue_at(queue) {
                Some(current) => (current, version),
                None if *matched > version => (&**queue, *matched),
                None => return None,
            },
        };
        let queue = queue.clone();
        Some(QueueRecord { queue, version })
    }

    /// Ids of the queue that a request is for. It has several if it was several queues in earlier configurations, and
    /// none if no job belongs to it.
    pub fn ids(&self, asked: &QueueRef) -> BTreeSet<&Name> {
        let current = match asked {
            QueueRef::Named(name) => self.index.queue(name),
            QueueRef::Matched { version, queue } => {
                let is_older = *version < self.index.version();
                let moved = || self.index.queue(&queue.name).filter(|_| is_older);
                self.index.queue_at(queue).or_else(moved)
            }
        };
        let is_asked = |id: &Name, known: &Queue| match (current, asked) {
            (Some(current), _) => known.shares_address(current),
            (None, QueueRef::Matched { queue, .. }) => known.shares_address(queue),
            (None, QueueRef::Named(name)) => id == name || known.name == *name,
        };
        let known = self.known.iter();
        let found = known.filter(|(id, known)| is_asked(id, &known.queue));
        found.map(|(id, _)| id).collect()
    }

    /// Whether a request and the queue with this id are of the same configuration as the one that is known here, so
    /// that a job of this queue certainly does not belong to another one.
    pub fn is_certain(&self, asked: &QueueRef, id: &str) -> bool {
        let version = self.index.version();
        let is_matched_here = match asked {
            QueueRef::Named(_) => true,
            QueueRef::Matched {
                version: matched, ..
            } => *matched == version,
        };
        let known = self.known.get(id);
        is_matched_here && known.is_none_or(|known| known.version <= version)
    }

    /// The id of a queue for a new job, and its record if that changes.
    pub fn assign(&mut self, found: QueueRecord) -> (Name, Option<ShardRecord>) {
        let mut known = self.known.iter();
        let same = known.find(|(_, known)| known.queue.shares_address(&found.queue));
        let id = match same {
            // Only a host with a newer configuration describes a known queue in another way.
            Some((id, known)) if known.queue == found.queue || found.version <= known.version => {
                return (id.clone(), None);
            }
            Some((id, _)) => id.clone(),
            None => self.new_id(&found.queue.name),
        };
        let record = ShardRecord::Queue(id.clone(), Some(found.clone()));
        self.known.insert(id.clone(), found);
        (id, Some(record))
    }

    /// The name of a queue, or one like it if another queue has this id.
    fn new_id(&self, name: &str) -> Name {
        let mut end = name.len().min(MAX_ID);
        while !name.is_char_boundary(end) {
            end -= 1;
        }
        let name = &name[..end];
        let mut ids = (1..).map(|number| match number {
            1 => Name::from(name),
            number => format!("{name}#{number}").into(),
        });
        let free = ids.find(|id| !self.known.contains_key(id));
        free.unwrap_or_else(|| unreachable!("the numbers of ids don't end"))
    }

    /// Adds the recorded queues, and those of jobs from earlier versions of the program, which recorded only names.
    /// Returns the records that change.
    pub fn restore(
        &mut self,
        recorded: Vec<(Name, QueueRecord)>,
        used: &BTreeSet<Name>,
    ) -> Vec<ShardRecord> {
        self.known.extend(recorded);
        for id in used {
            self.known.entry(id.clone()).or_insert_with(|| QueueRecord {
                queue: Queue::unknown(id.clone()),
                version: 0,
            });
        }
        self.follow(used)
    }

    /// Applies a new configuration and returns the records that change. `used` has the ids that jobs refer to.
    pub fn apply(&mut self, index: QueueIndex, used: &BTreeSet<Name>) -> Vec<ShardRecord> {
        self.index = index;
        self.follow(used)
    }

    fn follow(&mut self, used: &BTreeSet<Name>) -> Vec<ShardRecord> {
        let mut changes = Vec::new();
        self.known.retain(|id, _| {
            let is_used = used.contains(id);
            if !is_used {
                changes.push(ShardRecord::Queue(id.clone(), None));
            }
            is_used
        });
        let version = self.index.version();
        for (id, known) in &mut self.known {
            // An earlier owner has had a newer configuration.
            if known.version > version {
                continue;
            }
            let former = &known.queue;
            let named = || self.index.queue(&former.name);
            let Some(current) = self.index.queue_at(former).or_else(named) else {
                let (queue, host, prefix) = (&former.name, &former.host, &former.prefix);
                tracing::warn!(%id, %queue, %host, %prefix, version, "the configuration has no such queue; its jobs go on");
                continue;
            };
            if current == former {
                continue;
            }
            let (name, former_name) = (&current.name, &former.name);
            let (host, prefix, service) = (&current.host, &current.prefix, &current.service);
            tracing::info!(%id, queue = %name, before = %former_name, %host, %prefix, %service, version, "queue changed");
            *known = QueueRecord {
                queue: current.clone(),
                version,
            };
            changes.push(ShardRecord::Queue(id.clone(), Some(known.clone())));
        }
        changes
    }
}
