//! Planned stops: a stopping host tells its peers which recent ids of at-most-once classes it ran,
//! so that they may run new ones in its place.

use std::collections::BTreeMap;

use super::action::Action;
use super::node::Node;
use super::peers::{CONTROL_TIMEOUT, PeerPurpose};
use crate::base::{Millis, Name};
use crate::connection::Error;
use crate::connection::wire::{DepartureFrame, DepartureReply, PeerReply, PeerRequest};
use crate::request::Departure;

/// Most ids in a frame; each takes up to 200 bytes.
const MAX_IDS: usize = 4_096;
const MAX_FRAMES: usize = 64;
/// Longest key of an id in bytes: a customer name and a request id.
const MAX_KEY: usize = 64 + 1 + 128;
/// Longest time left of an id in ms: ten times the longest deadline of a class.
const MAX_LEFT: u64 = 10 * 600_000;
/// Time in ms after which this host exits although a peer has not taken all frames. By then a peer
/// without contact counts this host as lost.
const DEPARTURE_TIME: Millis = Millis(2_000);
/// Time in ms to the next call of a peer that failed or is not ready.
const RETRY: Millis = Millis(100);

/// What this host still has to tell its peers before it exits.
#[derive(Debug)]
pub(super) struct Sending {
    since: Millis,
    frames: Vec<DepartureFrame>,
    peers: BTreeMap<Name, NextFrame>,
}

/// Frame to send to a peer next, and when; `at` is `None` while a call is open.
#[derive(Debug)]
struct NextFrame {
    frame: usize,
    at: Option<Millis>,
}

/// Frames received from a stopping peer.
#[derive(Debug)]
pub(super) struct Receiving {
    incarnation: u64,
    frames: u32,
    /// Index of the next frame.
    next: u32,
    /// Whether the router was told that this process of the peer runs no more requests.
    has_departed: bool,
}

impl Node {
    /// Stops running requests and tells the peers of the data centre which ids this host ran.
    /// Returns whether the process may exit.
    pub(super) fn depart(&mut self, now: Millis, out: &mut Vec<Action>) -> bool {
        if self.sending.is_none() {
            self.sending = Some(self.make_frames(now));
        }
        let Some(sending) = &mut self.sending else {
            return true;
        };
        let mut due = Vec::new();
        for (host, next) in &mut sending.peers {
            if next.at.is_some_and(|at| at <= now) {
                next.at = None;
                due.push((host.clone(), next.frame, sending.frames[next.frame].clone()));
            }
        }
        let is_over = now.since(sending.since) >= DEPARTURE_TIME;
        let is_done = sending.peers.is_empty();
        if is_over && !is_done {
            let hosts = sending.peers.keys();
            tracing::warn!(
                ?hosts,
                "entry hosts did not take over the recent request ids"
            );
        }
        if is_over || is_done {
            return true;
        }
        for (host, frame, message) in due {
            let purpose = PeerPurpose::Departure {
                host: host.clone(),
                frame,
            };
            let message = PeerRequest::Departure(message);
            self.call_peer(host, message, CONTROL_TIMEOUT, purpose, out);
        }
        false
    }

    fn make_frames(&mut self, now: Millis) -> Sending {
        let mut departure = self.urgent.depart(now);
        if departure.ids.len() > MAX_FRAMES * MAX_IDS {
            tracing::warn!("too many recent request ids to hand them over");
            departure.ids.clear();
            departure.loss_age = Some(Millis(0));
        }
        let mut parts: Vec<&[(Name, Millis)]> = departure.ids.chunks(MAX_IDS).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        let frames = parts.iter().enumerate().map(|(index, ids)| DepartureFrame {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            frame: index as u32,
            frames: parts.len() as u32,
            loss_age: departure.loss_age.map(|age| age.0),
            is_clear: departure.is_clear,
            ids: ids
                .iter()
                .map(|(key, left)| (key.clone(), left.0))
                .collect(),
        });
        let peers = self
            .reachable
            .iter()
            .filter(|host| **host != self.identity.host);
        let first = || NextFrame {
            frame: 0,
            at: Some(now),
        };
        Sending {
            since: now,
            frames: frames.collect(),
            peers: peers.map(|host| (host.clone(), first())).collect(),
        }
    }

    /// Handles the answer of a peer to a frame of this host.
    pub(super) fn on_departure_answer(
        &mut self,
        now: Millis,
        host: &Name,
        sent: usize,
        result: Result<PeerReply, Error>,
    ) {
        let Some(sending) = &mut self.sending else {
            return;
        };
        let wanted = match result {
            Ok(PeerReply::Departure(DepartureReply { next: None })) => {
                sending.peers.remove(host);
                return;
            }
            Ok(PeerReply::Departure(DepartureReply { next: Some(next) })) => next as usize,
            other => {
                tracing::debug!(%host, ?other, "the peer did not take the recent request ids");
                sent
            }
        };
        if let Some(next) = sending.peers.get_mut(host) {
            next.frame = wanted.min(sending.frames.len() - 1);
            let has_advanced = next.frame > sent;
            next.at = Some(if has_advanced { now } else { now + RETRY });
        }
    }

    /// Handles a frame of a stopping peer.
    pub(super) fn on_departure(
        &mut self,
        now: Millis,
        frame: DepartureFrame,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        if !self.is_acceptable(&frame) {
            tracing::warn!(host = %frame.host, "refused a message of a stopping peer");
            return PeerReply::Unavailable;
        }
        let host = frame.host.clone();
        let first = || Receiving {
            incarnation: frame.incarnation,
            frames: frame.frames,
            next: 0,
            has_departed: false,
        };
        let known = self.departures.entry(host.clone()).or_insert_with(first);
        if known.incarnation < frame.incarnation {
            *known = first();
        }
        if known.incarnation != frame.incarnation || known.frames != frame.frames {
            return PeerReply::Unavailable;
        }
        if known.next == frame.frame {
            known.next += 1;
            let ids = frame.ids.into_iter();
            let ids: Vec<(Name, Millis)> = ids.map(|(key, left)| (key, Millis(left))).collect();
            self.urgent.remember(now, &ids);
        }
        if known.next < known.frames {
            let next = Some(known.next);
            return PeerReply::Departure(DepartureReply { next });
        }
        // A frame of an earlier process may arrive after the next one has started.
        let present = self.hellos.get(&host).map(|hello| hello.incarnation);
        let is_present = present.is_none_or(|present| present <= known.incarnation);
        if is_present && !known.has_departed {
            known.has_departed = true;
            let departure = Departure {
                ids: Vec::new(),
                loss_age: frame.loss_age.map(Millis),
                is_clear: frame.is_clear,
            };
            tracing::info!(%host, "took over the recent request ids of a stopping entry host");
            let mut actions = Vec::new();
            self.urgent
                .host_departed(now, &host, &departure, &mut actions);
            self.run_router_actions(now, actions, out);
        }
        let last = frame.frames - 1;
        let next = self.urgent.has_open_message(&host).then_some(last);
        PeerReply::Departure(DepartureReply { next })
    }

    /// Whether a frame comes from another host of the data centre and is within the limits.
    fn is_acceptable(&self, frame: &DepartureFrame) -> bool {
        let is_peer = self.peers.get(&frame.host).is_some_and(|peer| {
            peer.name != self.identity.host && peer.data_centre == self.identity.data_centre
        });
        let is_id = |(key, left): &(Name, u64)| {
            key.len() <= MAX_KEY && key.contains(':') && *left <= MAX_LEFT
        };
        is_peer
            && frame.frame < frame.frames
            && frame.frames as usize <= MAX_FRAMES
            && frame.ids.len() <= MAX_IDS
            && frame.ids.iter().all(is_id)
    }

    /// Whether the present process of a peer runs no more requests.
    pub(super) fn has_departed(&self, host: &Name) -> bool {
        let Some(known) = self.departures.get(host).filter(|known| known.has_departed) else {
            return false;
        };
        let present = self.hellos.get(host).map(|hello| hello.incarnation);
        present.is_none_or(|present| present == known.incarnation)
    }

    /// Live peer that holds the lease on a backend, unless it has departed: its last heartbeat may
    /// list leases that it has given back since.
    pub(super) fn peer_holder(&self, now: Millis, backend: &Name) -> Option<Name> {
        let holder = self.membership.holder(now, backend);
        holder.filter(|holder| !self.has_departed(holder))
    }
}
