//! Which data centres the operator wants evacuated, by the stream that the operator writes to.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::host::{Host, HostAction};
use crate::base::{Millis, Name};
use crate::connection::{CallError, KeyedRecord, StoreAnswer};
use crate::platform::{EvacuationRequest, decode_evacuation};
use crate::process::shard::{Now, Shard, ShardEvent};

/// What has been read of the operator's requests.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    data_centres: Arc<BTreeSet<Name>>,
    /// Those in the pages of the listing that is in progress.
    listed: BTreeSet<Name>,
    /// When the first page of that listing was requested.
    listing_since: Option<Millis>,
    /// All requests are known that the store had acknowledged by this time.
    known_until: Option<Millis>,
    /// Epoch of the own shard that knows the current requests.
    told_epoch: Option<u64>,
}

impl Evacuations {
    /// Applies an answer to a read of the operator's stream that was requested at `asked`; `is_listing_start` marks
    /// the first page of a listing.
    pub fn apply(
        &mut self,
        asked: Millis,
        is_listing_start: bool,
        answer: &Result<StoreAnswer, CallError>,
    ) {
        match answer {
            Ok(StoreAnswer::Records { records, next, end }) => {
                for record in records {
                    self.apply_record(record);
                }
                if next >= end {
                    self.known_until = Some(asked);
                }
            }
            Ok(StoreAnswer::Page(page)) => {
                if is_listing_start {
                    self.listed.clear();
                    self.listing_since = Some(asked);
                }
                for record in &page.records {
                    if let Some(request) = self.apply_record(record).filter(|it| it.is_requested) {
                        self.listed.insert(request.data_centre);
                    }
                }
                // A record that can't be read ends no evacuation.
                for key in &page.unreadable {
                    if let Some(Ok(request)) = decode_evacuation(key, b"") {
                        self.keep(request.data_centre);
                    }
                }
                if !page.has_more {
                    self.end_listing();
                }
            }
            _ => {}
        }
    }

    /// Keeps a data centre through a listing in the state that it was in before.
    fn keep(&mut self, name: Name) {
        tracing::warn!(data_centre = %name, "cannot read the operator's request about a data centre");
        if self.data_centres.contains(&name) {
            self.listed.insert(name);
        }
    }

    /// Applies a record if it is a request about a data centre.
    fn apply_record(&mut self, record: &KeyedRecord) -> Option<EvacuationRequest> {
        let request = match decode_evacuation(&record.key, &record.value)? {
            Ok(request) => request,
            Err(error) => {
                tracing::warn!(key = record.key, %error, "ignoring a request to evacuate a data centre");
                if let Some(Ok(request)) = decode_evacuation(&record.key, b"") {
                    self.keep(request.data_centre);
                }
                return None;
            }
        };
        let name = &request.data_centre;
        if self.data_centres.contains(name) != request.is_requested {
            let is_requested = request.is_requested;
            tracing::info!(data_centre = %name, is_requested, "operator's request about a data centre");
            let data_centres = Arc::make_mut(&mut self.data_centres);
            match is_requested {
                true => data_centres.insert(name.clone()),
                false => data_centres.remove(name),
            };
            self.told_epoch = None;
        }
        Some(request)
    }

    /// Drops the requests that a complete listing does not contain.
    fn end_listing(&mut self) {
        self.known_until = self.listing_since.take();
        let listed = std::mem::take(&mut self.listed);
        for name in self.data_centres.difference(&listed) {
            tracing::info!(data_centre = %name, is_requested = false, "operator's request about a data centre");
        }
        if *self.data_centres != listed {
            self.data_centres = listed.into();
            self.told_epoch = None;
        }
    }

    /// Whether all requests are known that may already forbid a start.
    fn is_fresh(&self, now: Millis, bound: Millis) -> bool {
        // Half of the bound is left for the start orders that follow.
        let limit = Millis(bound.0 / 2);
        self.known_until.is_some_and(|at| now.since(at) <= limit)
    }
}

impl Host {
    /// Tells the own shard which data centres are to be evacuated, once that is known. An owner that cannot read
    /// the operator's stream goes on with what it knows once the store has had as long as the bound to answer: it is
    /// turned away then, and will be replaced, or nobody can write requests either.
    pub(super) fn tell_evacuations(&mut self, now: Now, out: &mut Vec<HostAction>) {
        let Some(epoch) = self.shard.as_ref().map(Shard::epoch) else {
            return;
        };
        if self.evacuations.told_epoch == Some(epoch) {
            return;
        }
        if let Some(bound) = self.settings.shard.evacuation_bound {
            let is_fresh = self.evacuations.is_fresh(now.steady, bound);
            let waited = now.steady.since(self.claim.claimed_at);
            if !is_fresh && waited < bound {
                return;
            }
            if !is_fresh {
                let known_until = self
                    .evacuations
                    .known_until
                    .map(|at| now.steady.since(at).0);
                tracing::warn!(
                    epoch,
                    age = known_until,
                    "requests to evacuate data centres can't be read; placing by what is known"
                );
            }
        }
        self.evacuations.told_epoch = Some(epoch);
        let event = ShardEvent::Evacuations(self.evacuations.data_centres.clone());
        self.shard_event(now, epoch, event, out);
    }
}
