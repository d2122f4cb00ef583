//! What a host follows in the store: the configuration, the other hosts and, as the owner of the
//! shard, the registry of workers.

use std::collections::HashSet;

use super::host::{Host, HostAction, StoreUse};
use super::message::HostRecord;
use crate::base::{Millis, Name};
use crate::connection::{CallError, KeyedRecord, Partition, StoreAnswer, StoreCall, StoreRequest};
use crate::platform::{
    CONFIG_KEY, CONFIG_STREAM, REGISTRY_STREAM, decode_config, decode_registry_entry,
};
use crate::process::shard::{Now, RegistryChange, ShardEvent};
use crate::version::ShardRecord;

pub(super) const HOSTS_STREAM: &str = "keyed.jayfork-hosts";
pub(super) const SHARD_STREAM: &str = "keyed.jayfork-shard";
/// Key of the newest owner in the stream of hosts; host names come after "host/".
pub(super) const OWNER_KEY: &str = "owner";
const HOST_PREFIX: &str = "host/";

/// Time between two reads of the configuration in milliseconds; with the exchanges between hosts,
/// a version is everywhere well within the platform's shortest bound of 2.5 s.
const CONFIG_TIME: Millis = Millis(900);
/// Time between two reads of the hosts in milliseconds; new hosts make themselves known, too.
const HOSTS_TIME: Millis = Millis(3_000);
/// The same while there is no owner.
const SEARCH_TIME: Millis = Millis(600);
/// Time between two reads of the registry in milliseconds; a worker that leaves must get no task
/// 2.5 s later.
const REGISTRY_TIME: Millis = Millis(400);
/// Pause after a read that failed, in milliseconds.
const RETRY_TIME: Millis = Millis(300);
/// Longest time for a read, in milliseconds.
const READ_TIME: Millis = Millis(700);

/// Position of a reader in a keyed stream: the newest records first, then what follows.
#[derive(Debug)]
struct Reader {
    stream: &'static str,
    /// Offset to read from; `None` until the newest records are read.
    next: Option<u64>,
    /// Last key of the pages read so far, and the end at the first page.
    page_key: Option<String>,
    page_end: Option<u64>,
    due: Millis,
    is_reading: bool,
    interval: Millis,
}

/// What a read has brought.
enum Progress {
    Records(Vec<KeyedRecord>),
    /// Part of the newest records; `is_last` ends the listing.
    Listing {
        records: Vec<KeyedRecord>,
        is_last: bool,
    },
    Nothing,
}

impl Reader {
    fn new(stream: &'static str, interval: Millis, now: Millis) -> Self {
        Reader {
            stream,
            next: None,
            page_key: None,
            page_end: None,
            due: now,
            is_reading: false,
            interval,
        }
    }

    fn poll(&mut self, now: Millis) -> Option<StoreCall> {
        if self.is_reading || self.due > now {
            return None;
        }
        self.is_reading = true;
        let partition = Partition {
            stream: self.stream.into(),
            part: 0,
        };
        let request = match self.next {
            Some(offset) => StoreRequest::Read {
                from: partition,
                offset,
            },
            None => StoreRequest::Newest {
                of: partition,
                after: self.page_key.clone(),
            },
        };
        Some(StoreCall {
            request,
            timeout: READ_TIME,
        })
    }

    fn answered(&mut self, now: Millis, answer: Result<StoreAnswer, CallError>) -> Progress {
        self.is_reading = false;
        self.due = now + self.interval;
        match answer {
            Ok(StoreAnswer::Records { records, next }) => {
                self.next = Some(next);
                Progress::Records(records)
            }
            Ok(StoreAnswer::Page(page)) => {
                let end = *self.page_end.get_or_insert(page.end);
                if page.has_more {
                    self.page_key = page.records.last().map(|record| record.key.clone());
                    self.due = now;
                } else {
                    self.next = Some(end);
                    self.page_key = None;
                    self.page_end = None;
                }
                Progress::Listing {
                    records: page.records,
                    is_last: !page.has_more,
                }
            }
            Ok(StoreAnswer::Expired) => {
                tracing::info!(
                    stream = self.stream,
                    "records have expired; reads the newest"
                );
                self.next = None;
                self.due = now;
                Progress::Nothing
            }
            Ok(_) | Err(_) => {
                self.due = now + RETRY_TIME;
                Progress::Nothing
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Streams {
    config: Reader,
    hosts: Reader,
    registry: Option<Reader>,
    /// Workers of the listing under way, and those of the last one.
    listed: HashSet<Name>,
    register_at: Option<Millis>,
    is_registering: bool,
}

impl Streams {
    pub fn new(now: Millis) -> Self {
        Streams {
            config: Reader::new(CONFIG_STREAM, CONFIG_TIME, now),
            hosts: Reader::new(HOSTS_STREAM, HOSTS_TIME, now),
            registry: None,
            listed: HashSet::new(),
            register_at: Some(now),
            is_registering: false,
        }
    }

    pub fn follow_registry(&mut self, now: Millis) {
        self.listed.clear();
        self.registry = Some(Reader::new(REGISTRY_STREAM, REGISTRY_TIME, now));
    }

    pub fn leave_registry(&mut self) {
        self.registry = None;
    }
}

impl Host {
    pub(super) fn poll_streams(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let steady = now.steady;
        self.streams.hosts.interval = match self.claim.is_searching() {
            true => SEARCH_TIME,
            false => HOSTS_TIME,
        };
        if let Some(call) = self.streams.config.poll(steady) {
            out.push(HostAction::Store(StoreUse::Config, call));
        }
        if let Some(call) = self.streams.hosts.poll(steady) {
            out.push(HostAction::Store(StoreUse::Hosts, call));
        }
        let epoch = self.shard.as_ref().map(|shard| shard.epoch());
        if let (Some(epoch), Some(reader)) = (epoch, &mut self.streams.registry) {
            if let Some(call) = reader.poll(steady) {
                out.push(HostAction::Store(StoreUse::Registry { epoch }, call));
            }
        }
        self.register(now, out);
    }

    fn register(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let is_due = self.streams.register_at.is_some_and(|at| at <= now.steady);
        if !is_due || self.streams.is_registering {
            return;
        }
        self.streams.is_registering = true;
        let record = &self.settings.record;
        let value = bincode::serde::encode_to_vec(record, bincode::config::standard());
        let value = match value {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(%error, "the record of this host does not encode");
                return;
            }
        };
        let request = StoreRequest::Append {
            to: Partition {
                stream: HOSTS_STREAM.into(),
                part: 0,
            },
            records: vec![KeyedRecord {
                key: format!("{HOST_PREFIX}{}", record.name),
                value: value.into(),
            }],
            fence: None,
        };
        let call = StoreCall {
            request,
            timeout: READ_TIME,
        };
        out.push(HostAction::Store(StoreUse::Register, call));
    }

    pub(super) fn store_answer(
        &mut self,
        now: Now,
        purpose: StoreUse,
        answer: Result<StoreAnswer, CallError>,
        took: Millis,
        out: &mut Vec<HostAction>,
    ) {
        if answer.is_ok() {
            self.store_heard = Some(now.steady);
            // Rises slowly, so that one fast answer does not hide a slow link for good.
            let decayed = self.store_time.0 + self.store_time.0 / 8 + 1;
            self.store_time = took.min(Millis(decayed));
        }
        match purpose {
            StoreUse::Shard { epoch, tag } => {
                self.shard_event(now, epoch, ShardEvent::Store(tag, answer), out);
            }
            StoreUse::Config => {
                let records = match self.streams.config.answered(now.steady, answer) {
                    Progress::Records(records) | Progress::Listing { records, .. } => records,
                    Progress::Nothing => return,
                };
                for record in records {
                    self.config_record(now, &record, out);
                }
            }
            StoreUse::Hosts => {
                let records = match self.streams.hosts.answered(now.steady, answer) {
                    Progress::Records(records) | Progress::Listing { records, .. } => records,
                    Progress::Nothing => return,
                };
                for record in records {
                    self.host_record(&record);
                }
            }
            StoreUse::Registry { epoch } => self.registry_read(now, epoch, answer, out),
            StoreUse::Register => {
                self.streams.is_registering = false;
                self.streams.register_at = match answer {
                    Ok(StoreAnswer::Appended) => None,
                    _ => Some(now.steady + RETRY_TIME),
                };
            }
            StoreUse::Journal => self.journal_read(now, answer),
            StoreUse::Announce => {
                if let Err(error) = answer {
                    tracing::debug!(%error, "the owner is not announced in the stream of hosts");
                }
            }
        }
    }

    fn config_record(&mut self, now: Now, record: &KeyedRecord, out: &mut Vec<HostAction>) {
        if record.key != CONFIG_KEY || record.value.is_empty() {
            return;
        }
        match decode_config(&record.value) {
            Ok(config) => self.set_config(now, config, out),
            Err(error) => tracing::error!(%error, "the configuration was not read"),
        }
    }

    fn host_record(&mut self, record: &KeyedRecord) {
        if record.key == OWNER_KEY {
            match ShardRecord::decode(&record.key, &record.value) {
                Ok(ShardRecord::Owner(owner)) => {
                    self.claim.floor = self.claim.floor.max(owner.epoch);
                }
                other => tracing::warn!(?other, "the record of the owner was not read"),
            }
            return;
        }
        let config = bincode::config::standard();
        match bincode::serde::decode_from_slice::<HostRecord, _>(&record.value, config) {
            Ok((host, _)) => self.learn(host),
            Err(error) => tracing::warn!(key = record.key, %error, "a host's record was not read"),
        }
    }

    fn registry_read(
        &mut self,
        now: Now,
        epoch: u64,
        answer: Result<StoreAnswer, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        let Some(reader) = &mut self.streams.registry else {
            return;
        };
        let changes = match reader.answered(now.steady, answer) {
            Progress::Records(records) => records.iter().filter_map(registry_change).collect(),
            Progress::Listing { records, is_last } => {
                let mut changes: Vec<RegistryChange> =
                    records.iter().filter_map(registry_change).collect();
                for change in &changes {
                    if let RegistryChange::Set(id, _) = change {
                        self.streams.listed.insert(id.clone());
                    }
                }
                if is_last {
                    let listed = std::mem::take(&mut self.streams.listed);
                    changes.extend(self.unlisted(&listed));
                }
                changes
            }
            Progress::Nothing => return,
        };
        self.registry_changed(now, epoch, changes, out);
    }

    /// Workers of the shard that a whole listing does not name.
    fn unlisted(&self, listed: &HashSet<Name>) -> Vec<RegistryChange> {
        let known = self.shard.iter().flat_map(|shard| shard.listed_workers());
        known
            .filter(|id| !listed.contains(*id))
            .map(|id| RegistryChange::Removed(id.clone()))
            .collect()
    }
}

fn registry_change(record: &KeyedRecord) -> Option<RegistryChange> {
    let id: Name = record.key.as_str().into();
    if record.value.is_empty() {
        return Some(RegistryChange::Removed(id));
    }
    match decode_registry_entry(&record.value) {
        Ok(entry) => Some(RegistryChange::Set(id, entry)),
        Err(error) => {
            tracing::debug!(worker = %id, %error, "a registry entry names no usable worker");
            None
        }
    }
}
