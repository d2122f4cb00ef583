//! Keyed streams of the store that a host follows: the configuration, the other hosts and, as the
//! owner of the shard, the registry of workers.

use std::collections::HashSet;

use super::claim::MAX_EPOCH;
use super::host::{Host, HostAction, StorePurpose};
use super::message::HostRecord;
use crate::base::{Millis, Name};
use crate::connection::{CallError, KeyedRecord, Partition, StoreAnswer, StoreCall, StoreRequest};
use crate::platform::{
    CONFIG_KEY, CONFIG_STREAM, REGISTRY_STREAM, decode_config, decode_registry_entry,
    decode_worker_id,
};
use crate::process::shard::{Now, RegistryChange, ShardEvent};
use crate::version::{ShardRecord, decode_bounded};

pub(super) const HOSTS_STREAM: &str = "keyed.jayfork-hosts";
const SHARD_STREAM: &str = "keyed.jayfork-shard";
/// Key of the newest owner's record in the stream of hosts.
pub(super) const OWNER_KEY: &str = "owner";
/// The key of a host's record is this prefix followed by the host's name.
const HOST_PREFIX: &str = "host/";

/// Interval of reads of the configuration, in milliseconds. Hosts also pass it on in hellos, so a
/// new version reaches all of them well within 2.5 s, the shortest time that the platform allows.
const CONFIG_READ_INTERVAL: Millis = Millis(900);
/// Pause before the first read of the configuration, in milliseconds. Meanwhile the host learns how
/// large the cluster is.
const FIRST_CONFIG_PAUSE: Millis = Millis(120);
/// Interval of reads of the hosts' records, in milliseconds. New hosts also send hellos.
const HOSTS_READ_INTERVAL: Millis = Millis(3_000);
/// The same while this host searches for an owner of the shard.
const SEARCH_READ_INTERVAL: Millis = Millis(600);
/// The same on a host that reads nothing else. Only hosts that the store has answered lately may own
/// the shard.
const ONLY_READ_INTERVAL: Millis = Millis(1_200);
/// Interval of reads of the worker registry, in milliseconds. A worker must get no more tasks 2.5 s
/// after it leaves.
const REGISTRY_READ_INTERVAL: Millis = Millis(400);
/// Pause after a failed call to the store, in milliseconds.
const RETRY_TIME: Millis = Millis(300);
/// Timeout of a call to the store, in milliseconds.
const STORE_TIMEOUT: Millis = Millis(700);

/// Reads a keyed stream: at first the newest record of each key, page by page, then the records
/// that follow.
#[derive(Debug)]
struct KeyedReader {
    stream: &'static str,
    /// Offset of the next read; `None` until all pages of newest records are read.
    next: Option<u64>,
    /// Last key of the pages read so far.
    page_key: Option<String>,
    /// End of the stream as given with the first page.
    page_end: Option<u64>,
    /// When the next read is due.
    due: Millis,
    /// When the newest read was sent.
    asked: Millis,
    is_reading: bool,
    interval: Millis,
    /// Whether older records of a key are of no use.
    only_newest: bool,
    /// Reads that failed since the last answer.
    failures: u32,
}

/// Result of a read.
enum ReadResult {
    /// Records that follow the position of the reader.
    Records(Vec<KeyedRecord>),
    /// A page of the newest records; `is_last` marks the last page.
    Listing {
        records: Vec<KeyedRecord>,
        /// Keys whose record can't be read.
        unreadable: Vec<String>,
        is_last: bool,
    },
    Nothing,
}

impl KeyedReader {
    fn new(stream: &'static str, interval: Millis, now: Millis) -> Self {
        KeyedReader {
            stream,
            next: None,
            page_key: None,
            page_end: None,
            due: now,
            asked: now,
            is_reading: false,
            interval,
            only_newest: stream == CONFIG_STREAM,
            failures: 0,
        }
    }

    fn poll(&mut self, now: Millis) -> Option<StoreCall> {
        if self.is_reading || self.due > now {
            return None;
        }
        self.is_reading = true;
        self.asked = now;
        let partition = Partition {
            stream: self.stream.into(),
            part: 0,
        };
        let request = match self.next {
            Some(offset) => StoreRequest::Read { partition, offset },
            None => StoreRequest::Newest {
                partition,
                after: self.page_key.clone(),
            },
        };
        Some(StoreCall {
            request,
            timeout: STORE_TIMEOUT,
        })
    }

    fn answered(
        &mut self,
        now: Millis,
        answer: Result<StoreAnswer, CallError>,
        took: Millis,
    ) -> ReadResult {
        self.is_reading = false;
        self.due = now + self.interval;
        self.log_failures(&answer, took);
        match answer {
            Ok(StoreAnswer::Records { records, next, end }) => {
                self.next = Some(next);
                if next < end {
                    self.due = now;
                    // The newest record of each key is one read away, the records up to it may be many.
                    self.next = self.next.filter(|_| !self.only_newest);
                }
                ReadResult::Records(records)
            }
            Ok(StoreAnswer::Page(page)) => {
                let end = *self.page_end.get_or_insert(page.end);
                let last_key = page.last_key().cloned();
                // A page whose keys can't be read leads nowhere. What follows it is not listed, so the
                // listing ends without a last page.
                let is_stuck = page.has_more && last_key <= self.page_key;
                if is_stuck {
                    tracing::error!(stream = self.stream, after = ?self.page_key, "cannot read the keys of a page; reading on at the end");
                }
                if page.has_more && !is_stuck {
                    self.page_key = last_key;
                    self.due = now;
                } else {
                    self.next = Some(end);
                    self.page_key = None;
                    self.page_end = None;
                }
                ReadResult::Listing {
                    records: page.records,
                    unreadable: page.unreadable,
                    is_last: !page.has_more,
                }
            }
            Ok(StoreAnswer::Expired) => {
                tracing::info!(
                    stream = self.stream,
                    "records have expired; reading the newest record of each key"
                );
                self.next = None;
                self.due = now;
                ReadResult::Nothing
            }
            Ok(_) | Err(_) => {
                self.due = now + RETRY_TIME;
                ReadResult::Nothing
            }
        }
    }

    /// Counts consecutive failed reads. Logs the second, fourth, eighth and so on, and the answer that
    /// ends them.
    fn log_failures(&mut self, answer: &Result<StoreAnswer, CallError>, took: Millis) {
        let (stream, took) = (self.stream, took.0);
        match answer {
            Ok(_) => {
                let failures = std::mem::take(&mut self.failures);
                if failures > 1 {
                    tracing::info!(stream, failures, took, "stream can be read again");
                }
            }
            Err(error) => {
                self.failures += 1;
                let failures = self.failures;
                if failures > 1 && failures.is_power_of_two() {
                    tracing::warn!(stream, failures, took, %error, "cannot read a stream");
                }
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Streams {
    config: KeyedReader,
    hosts: KeyedReader,
    registry: Option<KeyedReader>,
    /// Whether another host delivers the configuration.
    is_config_paused: bool,
    /// Workers on the pages of the listing that is in progress.
    listed_workers: HashSet<Name>,
    /// When to append this host's record; `None` once that is done.
    register_at: Option<Millis>,
    is_registering: bool,
}

impl Streams {
    pub fn new(now: Millis) -> Self {
        Streams {
            config: KeyedReader::new(
                CONFIG_STREAM,
                CONFIG_READ_INTERVAL,
                now + FIRST_CONFIG_PAUSE,
            ),
            hosts: KeyedReader::new(HOSTS_STREAM, HOSTS_READ_INTERVAL, now),
            registry: None,
            is_config_paused: false,
            listed_workers: HashSet::new(),
            register_at: Some(now),
            is_registering: false,
        }
    }

    /// Pauses the reading of the configuration. After a pause it goes on at the next record, so that a
    /// configuration that this host has got otherwise is read again at most once.
    fn pause_config(&mut self, now: Millis, is_paused: bool) {
        if std::mem::replace(&mut self.is_config_paused, is_paused) && !is_paused {
            self.config.due = now;
        }
    }

    /// Whether the store is to answer a read of the configuration, or is sending the answer, and was asked
    /// no longer than `limit` ago.
    pub fn is_reading_config(&self, now: Millis, limit: Millis) -> bool {
        self.config.is_reading && now.since(self.config.asked) <= limit
    }

    /// Brings the next read of the configuration forward to `now`.
    pub fn read_config_soon(&mut self, now: Millis) {
        self.config.due = self.config.due.min(now);
    }

    /// Starts to read the worker registry from its beginning.
    pub fn follow_registry(&mut self, now: Millis) {
        self.listed_workers.clear();
        self.registry = Some(KeyedReader::new(
            REGISTRY_STREAM,
            REGISTRY_READ_INTERVAL,
            now,
        ));
    }

    pub fn leave_registry(&mut self) {
        self.registry = None;
    }
}

impl Host {
    pub(super) fn poll_streams(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let steady = now.steady;
        self.streams.hosts.interval = match self.claim.is_searching() {
            true => SEARCH_READ_INTERVAL,
            false if self.leaves_config_to_source(steady) => ONLY_READ_INTERVAL,
            false => HOSTS_READ_INTERVAL,
        };
        let pauses_config =
            self.leaves_config_to_source(steady) || self.awaits_first_config(steady);
        self.streams.pause_config(steady, pauses_config);
        if self.streams.config.is_reading {
            // While a large configuration arrives, others must see that the store answers this host.
            let hosts = &mut self.streams.hosts;
            hosts.due = hosts.due.min(hosts.asked + ONLY_READ_INTERVAL);
        }
        if !pauses_config {
            if let Some(call) = self.streams.config.poll(steady) {
                out.push(HostAction::Store(StorePurpose::Config, call));
            }
        }
        if let Some(call) = self.streams.hosts.poll(steady) {
            out.push(HostAction::Store(StorePurpose::Hosts, call));
        }
        let epoch = self.shard.as_ref().map(|shard| shard.epoch());
        if let (Some(epoch), Some(reader)) = (epoch, &mut self.streams.registry) {
            if let Some(call) = reader.poll(steady) {
                out.push(HostAction::Store(StorePurpose::Registry { epoch }, call));
            }
        }
        self.register(now, out);
    }

    /// Appends this host's record to the stream of hosts until it is stored.
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
                tracing::error!(%error, "cannot encode the record of this host");
                return;
            }
        };
        let request = StoreRequest::Append {
            partition: Partition {
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
            timeout: STORE_TIMEOUT,
        };
        out.push(HostAction::Store(StorePurpose::Register, call));
    }

    pub(super) fn handle_store_answer(
        &mut self,
        now: Now,
        purpose: StorePurpose,
        answer: Result<StoreAnswer, CallError>,
        took: Millis,
        out: &mut Vec<HostAction>,
    ) {
        if answer.is_ok() {
            self.store_heard = Some(now.steady);
            // The minimum rises slowly, so that a single fast answer does not hide a slow link
            // forever.
            let decayed = self.store_time.0 + self.store_time.0 / 8 + 1;
            self.store_time = took.min(Millis(decayed));
        } else {
            let sent = now.steady.since(took);
            self.store_failed = self.store_failed.max(Some(sent));
        }
        match purpose {
            StorePurpose::Shard { epoch, tag } => {
                self.shard_event(now, epoch, ShardEvent::Store(tag, answer), out);
            }
            StorePurpose::Config => {
                let reader = &self.streams.config;
                let is_listing_start = reader.next.is_none() && reader.page_key.is_none();
                self.evacuations
                    .apply(reader.asked, is_listing_start, &answer);
                let records = match self.streams.config.answered(now.steady, answer, took) {
                    ReadResult::Records(records) | ReadResult::Listing { records, .. } => records,
                    ReadResult::Nothing => return,
                };
                for record in records {
                    self.apply_config(now, &record, out);
                }
            }
            StorePurpose::Hosts => {
                let records = match self.streams.hosts.answered(now.steady, answer, took) {
                    ReadResult::Records(records) | ReadResult::Listing { records, .. } => records,
                    ReadResult::Nothing => return,
                };
                for record in records {
                    self.apply_host(now, &record);
                }
            }
            StorePurpose::Registry { epoch } => self.apply_registry(now, epoch, answer, took, out),
            StorePurpose::Register => {
                self.streams.is_registering = false;
                self.streams.register_at = match answer {
                    Ok(StoreAnswer::Appended) => None,
                    _ => Some(now.steady + RETRY_TIME),
                };
            }
            StorePurpose::Journal => self.journal_read(now, answer),
            StorePurpose::Announce => {
                if let Err(error) = answer {
                    tracing::debug!(%error, "cannot append the owner's record to the stream of hosts");
                }
            }
        }
    }

    fn apply_config(&mut self, now: Now, record: &KeyedRecord, out: &mut Vec<HostAction>) {
        if record.key != CONFIG_KEY || record.value.is_empty() {
            return;
        }
        match decode_config(&record.value) {
            Ok(config) => self.set_config(now, config.into(), out),
            Err(error) => tracing::error!(%error, "cannot decode the configuration"),
        }
    }

    fn apply_host(&mut self, now: Now, record: &KeyedRecord) {
        if record.key == OWNER_KEY {
            match ShardRecord::decode(&record.key, &record.value) {
                Ok(ShardRecord::Owner(owner)) if owner.epoch <= MAX_EPOCH => {
                    self.claim.max_epoch = self.claim.max_epoch.max(owner.epoch);
                }
                other => tracing::warn!(?other, "skipping an owner's record"),
            }
            return;
        }
        match decode_bounded::<HostRecord>(&record.value) {
            Ok(host) => self.peers.add(now.steady, host),
            Err(error) => {
                tracing::warn!(key = record.key, %error, "cannot decode the record of a host")
            }
        }
    }

    fn apply_registry(
        &mut self,
        now: Now,
        epoch: u64,
        answer: Result<StoreAnswer, CallError>,
        took: Millis,
        out: &mut Vec<HostAction>,
    ) {
        let Some(reader) = &mut self.streams.registry else {
            return;
        };
        if reader.page_key.is_none() {
            self.streams.listed_workers.clear();
        }
        let changes = match reader.answered(now.steady, answer, took) {
            ReadResult::Records(records) => records.iter().filter_map(decode_change).collect(),
            ReadResult::Listing {
                records,
                unreadable,
                is_last,
            } => {
                // An entry of another program under the id of a worker does not mean that it has left.
                let present = records.iter().filter(|record| !record.value.is_empty());
                let present = present.map(|record| &record.key).chain(&unreadable);
                let present = present.map(|key| key.as_str().into());
                self.streams.listed_workers.extend(present);
                let mut changes: Vec<RegistryChange> =
                    records.iter().filter_map(decode_change).collect();
                if is_last {
                    let listed_workers = std::mem::take(&mut self.streams.listed_workers);
                    changes.extend(self.unlisted_workers(&listed_workers));
                }
                changes
            }
            ReadResult::Nothing => return,
        };
        self.registry_changed(now, epoch, changes, out);
    }

    /// Removals of the workers that the shard knows but a complete listing does not contain.
    fn unlisted_workers(&self, listed_workers: &HashSet<Name>) -> Vec<RegistryChange> {
        let known = self.shard.iter().flat_map(|shard| shard.listed_workers());
        known
            .filter(|id| !listed_workers.contains(*id))
            .map(|id| RegistryChange::Removed(id.clone()))
            .collect()
    }
}

fn decode_change(record: &KeyedRecord) -> Option<RegistryChange> {
    let id = match decode_worker_id(&record.key) {
        Ok(id) => id,
        Err(error) => {
            tracing::debug!(%error, "registry entry belongs to no worker");
            return None;
        }
    };
    if record.value.is_empty() {
        return Some(RegistryChange::Removed(id));
    }
    match decode_registry_entry(&record.value) {
        Ok(entry) => Some(RegistryChange::Set(id, entry)),
        Err(error) => {
            tracing::debug!(worker = %id, %error, "registry entry does not describe a usable worker");
            None
        }
    }
}

pub(super) fn shard_partition() -> Partition {
    Partition {
        stream: SHARD_STREAM.into(),
        part: 0,
    }
}
