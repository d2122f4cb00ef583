//! How a host gets new configurations: from the store, or in a large cluster from another host of its
//! data centre.

use std::net::SocketAddr;
use std::sync::Arc;

use super::host::{Host, HostAction};
use crate::base::Millis;
use crate::process::shard::{Now, Shard, ShardEvent};
use crate::version::QueueTable;

/// How long a host of a large cluster waits after its start for its first configuration from another
/// one before it reads the store, in milliseconds.
const FIRST_CONFIG_TIME: Millis = Millis(1_500);
/// How long a host tries to read a newer configuration from the store before it asks a peer for it,
/// in milliseconds.
const CONFIG_STORE_TIME: Millis = Millis(300);
/// Pause before it asks again, in milliseconds.
const CONFIG_RETRY_TIME: Millis = Millis(700);
/// A host that gets configurations from another one reads the store after it has asked in vain this
/// many times.
const MAX_CONFIG_ASKS: u32 = 2;

/// A configuration that this host does not have yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewerConfig {
    version: u64,
    /// A peer that has it.
    holder: SocketAddr,
    /// When to ask the holder for it.
    ask_at: Millis,
    /// How often the holder was asked.
    asks: u32,
}

impl Host {
    /// Gets a newer configuration that a peer has. A host that reads the store does so at once, and
    /// asks the peer only if the store does not answer soon.
    pub(super) fn note_config(&mut self, now: Now, version: u64, holder: SocketAddr) {
        let known = self.newer_config.map_or(0, |newer| newer.version);
        if version <= known.max(self.config.version) {
            return;
        }
        let first = match self.config_source {
            Some(_) => now.steady,
            None => {
                self.streams.read_config_soon(now.steady);
                now.steady + CONFIG_STORE_TIME
            }
        };
        self.newer_config = Some(NewerConfig {
            version,
            holder: self.config_source.unwrap_or(holder),
            ask_at: self.newer_config.map_or(first, |newer| newer.ask_at),
            asks: self.newer_config.map_or(0, |newer| newer.asks),
        });
    }

    /// Whether this host leaves the reading of the configuration to another one, which has not failed
    /// to deliver a newer one.
    pub(super) fn leaves_config_to_source(&self) -> bool {
        let has_failed = self
            .newer_config
            .is_some_and(|newer| newer.asks > MAX_CONFIG_ASKS);
        self.config_source.is_some() && !has_failed
    }

    /// Whether this host has just started and leaves its first configuration to another one.
    pub(super) fn awaits_first_config(&self, now: Millis) -> bool {
        let is_new = self.config.version == 0 && now.since(self.started) < FIRST_CONFIG_TIME;
        let record = &self.settings.record;
        is_new && self.peers.possible_source(record, 0).is_some()
    }

    /// Address of the host to get new configurations from; `None` if this host reads them itself, as
    /// the owner does.
    pub(super) fn find_config_source(&self, now: Now) -> Option<SocketAddr> {
        let is_reader = self.shard.is_some() || self.config.version == 0;
        let source = || self.peers.config_source(now.steady, &self.settings.record);
        if is_reader { None } else { source() }
    }

    pub(super) fn possible_source(&mut self) -> Option<SocketAddr> {
        let index = self.new_id() as usize;
        self.peers.possible_source(&self.settings.record, index)
    }

    /// Asks a peer for a newer configuration that the store has not delivered.
    pub(super) fn ask_for_config(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(newer) = &mut self.newer_config else {
            return;
        };
        if now.steady < newer.ask_at {
            return;
        }
        newer.ask_at = now.steady + CONFIG_RETRY_TIME;
        let holder = newer.holder;
        newer.asks += 1;
        self.send_hello_for(now, holder, false, true, out);
    }

    /// Logs that a host which has a newer configuration did not answer a call that was sent at `sent`, if
    /// it was the first, second, fourth, eighth or so on.
    pub(super) fn config_missed(&self, now: Now, holder: SocketAddr, sent: Millis) {
        let newer = self.newer_config.filter(|newer| newer.holder == holder);
        let newer = newer.filter(|newer| newer.asks.is_power_of_two());
        if let Some(newer) = newer {
            let (version, asks) = (newer.version, newer.asks);
            let took = now.steady.since(sent).0;
            tracing::warn!(%holder, version, asks, took, "no answer from the holder of a newer configuration");
        }
    }

    /// Applies a configuration if it is newer than the current one.
    pub(super) fn set_config(&mut self, now: Now, config: QueueTable, out: &mut Vec<HostAction>) {
        if config.version <= self.config.version {
            return;
        }
        tracing::info!(
            version = config.version,
            before = self.config.version,
            queues = config.queues.len(),
            "configuration applied"
        );
        self.config = Arc::new(config);
        self.config_source = self.find_config_source(now);
        self.newer_config = self
            .newer_config
            .filter(|newer| newer.version > self.config.version);
        if let Some(epoch) = self.shard.as_ref().map(Shard::epoch) {
            let event = ShardEvent::Queues(self.config.clone());
            self.shard_event(now, epoch, event, out);
        }
    }
}
