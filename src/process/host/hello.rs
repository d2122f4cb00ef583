//! Hellos: how hosts tell each other their state.

use std::net::SocketAddr;

use super::host::{Host, HostAction, PeerPurpose};
use super::message::{PeerCall, Presence};
use crate::base::Millis;
use crate::process::shard::Now;

/// Interval of hellos to the owner, in milliseconds.
const OWNER_HELLO_TIME: Millis = Millis(400);
/// The same for low-capacity hosts of a large cluster, in milliseconds. Few of them are asked to
/// own the shard, and the owner's processor has to serve all their hellos.
const RARE_OWNER_HELLO_TIME: Millis = Millis(1_000);
/// Interval of hellos to the other hosts, one after another, in milliseconds.
const PEER_HELLO_TIME: Millis = Millis(900);
/// The same until the host has a configuration, in milliseconds.
const FIRST_HELLO_TIME: Millis = Millis(300);
/// Timeout of a hello, in milliseconds.
pub(super) const HELLO_TIMEOUT: Millis = Millis(600);

impl Host {
    pub(super) fn send_due_hellos(&mut self, now: Now, out: &mut Vec<HostAction>) {
        if now.steady >= self.owner_hello {
            let interval = match self.hears_owner_rarely() {
                true => RARE_OWNER_HELLO_TIME,
                false => OWNER_HELLO_TIME,
            };
            self.owner_hello = now.steady + interval;
            if let Some(address) = self.owner_address() {
                self.send_hello(now, address, true, out);
            }
        }
        if now.steady >= self.peer_hello {
            self.peer_hello = match self.config.version {
                0 => now.steady + FIRST_HELLO_TIME,
                _ => now.steady + PEER_HELLO_TIME,
            };
            self.peers.forget_silent(now.steady);
            self.config_source = self.find_config_source(now);
            let sources = [self.config_source, self.possible_source(now.steady)];
            for source in sources.into_iter().flatten() {
                self.send_hello(now, source, false, out);
            }
            if let Some(address) = self.peers.next_hello().or_else(|| self.next_seed()) {
                self.send_hello(now, address, false, out);
            }
        }
    }

    /// One of the seeds, another one at each call; `None` if this host is the only one.
    fn next_seed(&mut self) -> Option<SocketAddr> {
        let id = self.new_id() as usize;
        let own = self.settings.record.control;
        let seeds = self.settings.seeds.iter().filter(|seed| **seed != own);
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        seeds.get(id.checked_rem(seeds.len())?).copied()
    }

    /// Whether this host sends hellos to the owner at a longer interval, because the cluster is
    /// large and other hosts come first to own the shard.
    pub(super) fn hears_owner_rarely(&self) -> bool {
        !self.peers.is_small_cluster() && self.is_low_capacity()
    }

    pub(super) fn send_hello(
        &mut self,
        now: Now,
        to: SocketAddr,
        is_owner: bool,
        out: &mut Vec<HostAction>,
    ) {
        let message = PeerCall::Hello {
            presence: self.presence(now.steady),
            wants_config: false,
        };
        self.call_peer(
            PeerPurpose::Hello {
                to,
                is_owner,
                sent: now.steady,
            },
            to,
            message,
            HELLO_TIMEOUT,
            out,
        );
    }

    /// Processes the state of a peer and what it knows of the owner. `call_sent` is when the hello
    /// that it answers was sent; without one, the message was on its way for an unknown time.
    pub(super) fn presence_received(
        &mut self,
        now: Now,
        presence: Presence,
        call_sent: Option<Millis>,
        out: &mut Vec<HostAction>,
    ) {
        if !presence.has_valid_names() {
            if let Some(count) = self.invalid_hellos.add(1) {
                tracing::warn!(address = %presence.host.control, count, "ignored a hello with too long names");
            }
            return;
        }
        let name = presence.host.name.clone();
        self.peers.add(now.steady, presence.host.clone());
        self.note_config(now, presence.config, presence.host.control);
        if let Some(reported) = &presence.owner {
            self.update_owner(now, reported, call_sent, out);
        }
        let is_owner = presence
            .owner
            .as_ref()
            .is_some_and(|reported| reported.host == name && reported.age == 0);
        if let Some(owner) = self.owner.as_ref().filter(|owner| owner.host == name) {
            let is_restarted = owner.boot != presence.host.boot;
            // A state that was sent after this host learned of the owner is newer than its claim. Another one may be
            // from before it and have arrived late.
            let is_newer = call_sent.is_some_and(|sent| sent > owner.learned);
            let may_be_newer =
                call_sent.is_none() && now.steady.since(owner.learned) >= HELLO_TIMEOUT;
            let has_ended = !is_owner && (is_restarted || is_newer || may_be_newer);
            // The owner's process was restarted, or it gave up the shard.
            if has_ended && self.shard.is_none() {
                tracing::info!(host = %name, epoch = owner.epoch, "host no longer owns the shard");
                // Others that still name it are behind.
                if is_newer || is_restarted {
                    self.claim.ended_epoch = self.claim.ended_epoch.max(owner.epoch);
                }
                self.owner = None;
            }
        }
        self.peers.set_presence(now.steady, presence);
    }
}
