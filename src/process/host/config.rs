//! How a host gets new configurations: from the store, or in a large cluster from another host of its
//! data centre.

use std::net::SocketAddr;
use std::sync::Arc;

use super::hello::HELLO_TIMEOUT;
use super::host::{Host, HostAction, PeerPurpose};
use super::message::{PeerCall, PeerReply};
use crate::base::Millis;
use crate::connection::CallError;
use crate::process::shard::{Now, Shard, ShardEvent};
use crate::version::QueueTable;

/// How long a host of a large cluster waits after its start for its first configuration from another
/// one before it reads the store, in milliseconds.
const FIRST_CONFIG_TIME: Millis = Millis(1_500);
/// The same while a host that can deliver it lives, in milliseconds: the store may still be sending it to
/// that one.
const FIRST_SOURCE_TIME: Millis = Millis(4_000);
/// How long a host tries to read a newer configuration from the store before it asks a peer for it,
/// in milliseconds.
const CONFIG_STORE_TIME: Millis = Millis(300);
/// Pause before it asks again, in milliseconds.
const CONFIG_RETRY_TIME: Millis = Millis(700);
/// A host that gets configurations from another one reads the store if that one has not delivered a newer
/// configuration after this time, in milliseconds, and it or the store behind it has not answered.
const SOURCE_TIME: Millis = Millis(1_400);
/// The same if both answer, in milliseconds: the store may still be sending the configuration.
const FED_SOURCE_TIME: Millis = Millis(2_500);
/// The store answers a source if its last known answer is not older than this, in milliseconds: both the
/// source's calls to the store and the hellos that tell of them are up to 1.2 s apart.
const FED_AGE: Millis = Millis(2_500);
/// A transfer that takes longer than this no longer keeps a host from others, in milliseconds: its sender
/// may be what is slow.
const SLOW_TRANSFER_TIME: Millis = Millis(3_000);

/// A configuration that this host does not have yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewerConfig {
    version: u64,
    /// A peer that has it.
    holder: SocketAddr,
    /// Since when this host has waited for a newer one.
    noted: Millis,
    /// When to ask the holder for it.
    ask_at: Millis,
    /// Calls that were not answered.
    failures: u32,
}

impl Host {
    /// Gets a newer configuration that a peer has. A host that reads the store does so at once, and
    /// asks the peer only if the store does not answer soon. Others ask their source once it has it.
    pub(super) fn note_config(&mut self, now: Now, version: u64, holder: SocketAddr) {
        let is_first = self.awaits_first_config(now.steady);
        if version <= self.config.version || is_first && !self.is_neighbour(holder) {
            return;
        }
        let is_from_source = self.config_source == Some(holder);
        if let Some(newer) = &mut self.newer_config {
            if is_from_source {
                newer.ask_at = newer.ask_at.min(now.steady);
            }
            // The known holder may be dead.
            if newer.failures > 0 && version >= newer.version {
                newer.holder = holder;
            }
            if version <= newer.version {
                return;
            }
        }
        let has_source = self.config_source.is_some() || is_first;
        let first = match has_source {
            true => now.steady,
            false => {
                self.streams.read_config_soon(now.steady);
                now.steady + CONFIG_STORE_TIME
            }
        };
        let known = self.newer_config;
        self.newer_config = Some(NewerConfig {
            version,
            holder,
            noted: known.map_or(now.steady, |newer| newer.noted),
            ask_at: known.map_or(first, |newer| newer.ask_at),
            failures: known.map_or(0, |newer| newer.failures),
        });
    }

    /// Whether a host is in the same data centre.
    fn is_neighbour(&self, address: SocketAddr) -> bool {
        let own = &self.settings.record.data_centre;
        let peer = self.peers.at(address);
        peer.is_some_and(|peer| peer.record.data_centre == *own)
    }

    /// Whether a peer is to deliver a configuration and has had little time for it.
    pub(super) fn is_getting_config(&self, now: Millis) -> bool {
        let asked = self.config_asked;
        asked.is_some_and(|at| now.since(at) <= SLOW_TRANSFER_TIME)
    }

    /// Whether this host leaves the reading of the configuration to another one, which has not failed
    /// to deliver a newer one.
    pub(super) fn leaves_config_to_source(&self, now: Millis) -> bool {
        let Some(source) = self.config_source else {
            return false;
        };
        let Some(newer) = self.newer_config else {
            return true;
        };
        if self.is_getting_config(now) {
            return true;
        }
        let age = self.peers.at(source).and_then(|peer| peer.store_age(now));
        let is_fed = newer.failures == 0 && age.is_some_and(|age| age <= FED_AGE);
        let limit = match is_fed {
            true => FED_SOURCE_TIME,
            false => SOURCE_TIME,
        };
        now.since(newer.noted) <= limit
    }

    /// Whether this host has just started and leaves its first configuration to another one.
    pub(super) fn awaits_first_config(&self, now: Millis) -> bool {
        let record = &self.settings.record;
        let age = now.since(self.started);
        if self.config.version > 0 || self.peers.possible_source(now, record, None, 0).is_none() {
            return false;
        }
        let has_source = || self.peers.config_source(now, record).is_some();
        age < FIRST_CONFIG_TIME
            || age < FIRST_SOURCE_TIME && has_source()
            || self.is_getting_config(now)
    }

    /// Address of the host to get new configurations from; `None` if this host reads them itself, as
    /// the owner does.
    pub(super) fn find_config_source(&self, now: Now) -> Option<SocketAddr> {
        let is_reader = self.shard.is_some() || self.config.version == 0;
        let source = || self.peers.config_source(now.steady, &self.settings.record);
        if is_reader { None } else { source() }
    }

    /// A host that may be a better source of configurations than the current one, another one at each
    /// call.
    pub(super) fn possible_source(&mut self, now: Millis) -> Option<SocketAddr> {
        let index = self.new_id() as usize;
        let record = &self.settings.record;
        self.peers
            .possible_source(now, record, self.config_source, index)
    }

    /// Asks a peer for a newer configuration that the store has not delivered and is not sending. One
    /// transfer at a time, unless it is slow: the link may be too small for more.
    pub(super) fn ask_for_config(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let is_reading = self
            .streams
            .is_reading_config(now.steady, SLOW_TRANSFER_TIME);
        if self.is_getting_config(now.steady) || is_reading {
            return;
        }
        let Some(newer) = &mut self.newer_config else {
            return;
        };
        if now.steady < newer.ask_at {
            return;
        }
        newer.ask_at = now.steady + CONFIG_RETRY_TIME;
        let holder = self.config_source.unwrap_or(newer.holder);
        self.config_asked = Some(now.steady);
        let message = PeerCall::Hello {
            presence: self.presence(now.steady),
            wants_config: true,
        };
        let sent = now.steady;
        let purpose = PeerPurpose::Config { holder, sent };
        self.call_peer(purpose, holder, message, HELLO_TIMEOUT, out);
    }

    /// Handles the answer of a peer that was asked for its configuration. The rest of the answer is not
    /// used, since it may be old by the time that a large configuration has arrived.
    pub(super) fn handle_config_answer(
        &mut self,
        now: Now,
        holder: SocketAddr,
        sent: Millis,
        answer: Result<PeerReply, CallError>,
        out: &mut Vec<HostAction>,
    ) {
        if self.config_asked == Some(sent) {
            self.config_asked = None;
        }
        match answer {
            Ok(PeerReply::Hello { config, .. }) => {
                if let Some(config) = config {
                    self.set_config(now, config, out);
                }
            }
            _ => self.config_missed(now, holder, sent),
        }
    }

    /// Looks for another source after a peer has not answered a call that was sent at `sent`. Logs the
    /// first, second, fourth, eighth such call and so on.
    fn config_missed(&mut self, now: Now, holder: SocketAddr, sent: Millis) {
        self.peers.set_failed(now.steady, holder);
        self.config_source = self.find_config_source(now);
        let Some(newer) = &mut self.newer_config else {
            return;
        };
        newer.failures += 1;
        if newer.failures.is_power_of_two() {
            let (version, failures) = (newer.version, newer.failures);
            let took = now.steady.since(sent).0;
            tracing::warn!(%holder, version, failures, took, "no answer from the holder of a newer configuration");
        }
    }

    /// Applies a configuration if it is newer than the current one.
    pub(super) fn set_config(
        &mut self,
        now: Now,
        config: Arc<QueueTable>,
        out: &mut Vec<HostAction>,
    ) {
        if config.version <= self.config.version {
            return;
        }
        tracing::info!(
            version = config.version,
            before = self.config.version,
            queues = config.queues.len(),
            "configuration applied"
        );
        if config.max_body != self.config.max_body {
            out.push(HostAction::BodyLimit(config.max_body));
        }
        self.config = config;
        self.config_source = self.find_config_source(now);
        let newer = self
            .newer_config
            .filter(|newer| newer.version > self.config.version);
        self.newer_config = newer.map(|newer| NewerConfig {
            noted: now.steady,
            ..newer
        });
        if let Some(epoch) = self.shard.as_ref().map(Shard::epoch) {
            let event = ShardEvent::Queues(self.config.clone());
            self.shard_event(now, epoch, event, out);
        }
    }
}
