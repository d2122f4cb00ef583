//! Detects lost workers: when a worker is suspected, and when it is declared lost.

use std::collections::HashMap;

use crate::base::{Millis, Name, Offset};
use crate::connection::LeaseTable;
use crate::version::Record;

use super::membership::{Membership, RUN_TTL, is_answering};

/// A worker is suspected after it has neither answered nor had a holder for this long, in
/// milliseconds.
///
/// It is longer than a takeover, and longer than a standby of rank 1 waits before it tries to take
/// the worker.
const UNREACHABLE_TIME: Millis = Millis(10_000);
/// A worker is declared lost after its suspicion has been unanswered for this long by the clock of
/// the declaring host, in milliseconds.
///
/// A host that does not know of the suspicion may renew run leases for 20 s, and its last renewal
/// lasts 20 s. 10% covers clock rates that differ by up to 10%, and 1 s is for the worker to stop
/// its tasks.
pub const SUSPICION_TIME: Millis = Millis(2 * RUN_TTL.0 + 2 * RUN_TTL.0 / 10 + 1_000);
/// A record that has not been read back after this time is requested again, in milliseconds.
const REPEAT_TIME: Millis = Millis(5_000);
/// Another host answers `Held` on behalf of a holder that has not done so for this long, in
/// milliseconds: the holder may be unable to append.
const PROXY_ANSWER_TIME: Millis = Millis(3_000);

/// A `Suspected` record that no `Held` or `WorkerLost` record has closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenSuspicion {
    pub worker: Name,
    /// The host that wrote the record.
    pub host: Name,
    /// Offset of the record.
    pub offset: Offset,
    /// When this host read the record.
    pub read_at: Millis,
}

/// Decides which of `Suspected`, `Held` and `WorkerLost` this host appends.
#[derive(Debug)]
pub struct Suspicions {
    host: Name,
    /// Since when a claimed worker has had no known holder.
    unheld_since: HashMap<Name, Millis>,
    /// Since when a claimed worker has not been on the host list.
    absent_since: HashMap<Name, Millis>,
    /// The peers that have read a suspicion of this host, by the suspicion's worker and offset.
    readers: HashMap<(Name, Offset), HashMap<Name, Reader>>,
    /// When this host last requested a `Suspected` record, by worker.
    suspected_at: HashMap<Name, Millis>,
    /// The same for `Held`.
    answered_at: HashMap<Name, Millis>,
    /// The same for `WorkerLost`.
    declared_at: HashMap<Name, Millis>,
}

/// A peer that has read a suspicion of this host.
#[derive(Debug, Clone, Copy)]
struct Reader {
    incarnation: u64,
    /// When this host learned that the peer, in this incarnation, had read the suspicion.
    since: Millis,
    /// A time before this host sent the `Hello` that the peer's latest report answers.
    hello_sent: Millis,
}

impl Suspicions {
    pub fn new(host: Name) -> Self {
        Suspicions {
            host,
            unheld_since: HashMap::new(),
            absent_since: HashMap::new(),
            readers: HashMap::new(),
            suspected_at: HashMap::new(),
            answered_at: HashMap::new(),
            declared_at: HashMap::new(),
        }
    }

    /// Adds to `records` what this host should append; a record that is not read back is added
    /// again after 5 s. `open` has all open suspicions and `claimed` the workers to which attempts
    /// are bound, both according to this host's ledger.
    pub fn poll(
        &mut self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        open: &[OpenSuspicion],
        claimed: &[Name],
        records: &mut Vec<Record>,
    ) {
        self.track_workers(now, membership, leases, claimed);
        self.update_readers(now, membership, open);
        for suspicion in open {
            if let Some(holder) = self.holder(now, membership, leases, suspicion) {
                self.push_held(now, suspicion, holder, records);
            } else if self.is_lost(now, membership, leases, suspicion) {
                self.push_worker_lost(now, suspicion, records);
            }
        }
        for worker in claimed {
            if self.should_suspect(now, membership, leases, open, worker) {
                self.push_suspected(now, worker, records);
            }
        }
    }

    fn track_workers(
        &mut self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        claimed: &[Name],
    ) {
        let unheld = |worker: &Name| {
            leases.usable(now, worker).is_none() && membership.holder(now, worker).is_none()
        };
        self.unheld_since = track_since(
            now,
            &self.unheld_since,
            claimed.iter().filter(|w| unheld(w)),
        );
        self.absent_since = track_since(
            now,
            &self.absent_since,
            claimed.iter().filter(|w| leases.is_absent(w)),
        );
    }

    /// Updates which peers have read the suspicions of this host.
    fn update_readers(&mut self, now: Millis, membership: &Membership, open: &[OpenSuspicion]) {
        let mut before = std::mem::take(&mut self.readers);
        for suspicion in open.iter().filter(|suspicion| suspicion.host == self.host) {
            let key = (suspicion.worker.clone(), suspicion.offset);
            let known_readers = before.remove(&key).unwrap_or_default();
            let mut readers = HashMap::new();
            for (name, report) in membership.log_reports() {
                if report.offset <= suspicion.offset {
                    continue;
                }
                // A restarted peer may have sent a holder a report before it read the suspicion
                // again, so its time starts over.
                let since = known_readers
                    .get(name)
                    .filter(|reader| reader.incarnation == report.incarnation)
                    .map_or(now, |reader| reader.since);
                let reader = Reader {
                    incarnation: report.incarnation,
                    since,
                    hello_sent: report.hello_sent,
                };
                readers.insert(name.clone(), reader);
            }
            self.readers.insert(key, readers);
        }
    }

    /// The live host that holds the suspected worker, which an answer to the suspicion names.
    fn holder(
        &self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        suspicion: &OpenSuspicion,
    ) -> Option<Name> {
        if leases.usable(now, &suspicion.worker).is_some() {
            return Some(self.host.clone());
        }
        let holder = membership.holder(now, &suspicion.worker)?;
        Some(holder)
    }

    fn push_held(
        &mut self,
        now: Millis,
        suspicion: &OpenSuspicion,
        holder: Name,
        records: &mut Vec<Record>,
    ) {
        if holder != self.host && now.since(suspicion.read_at) < PROXY_ANSWER_TIME {
            return;
        }
        if is_repeat(now, &mut self.answered_at, &suspicion.worker) {
            return;
        }
        let worker = suspicion.worker.clone();
        records.push(Record::Held {
            worker,
            host: holder,
        });
    }

    /// Whether all run leases on the worker have expired and no host will start a claimed attempt
    /// on it any more.
    fn is_lost(
        &self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        suspicion: &OpenSuspicion,
    ) -> bool {
        let unanswered = |since: Millis| now.since(since) >= SUSPICION_TIME;
        if suspicion.host != self.host || !unanswered(suspicion.read_at) {
            return false;
        }
        if !membership.is_log_recent(now) {
            return false;
        }
        // The worker answers this host, so its report will show what runs there.
        if !leases.is_absent(&suspicion.worker)
            && leases.unanswered_for(now, &suspicion.worker).is_none()
        {
            return false;
        }
        let key = (suspicion.worker.clone(), suspicion.offset);
        // A holder that does not know of the suspicion may renew (see `Membership::may_renew`) if
        // it read the log before this host read the suspicion, or if a majority reports that it had
        // not read the suspicion. The second permission ends 20 s after a majority has read it, no
        // matter when `WorkerLost` reaches the log. The last start or renewal lasts 20 s.
        //
        // The readers must answer now, in the incarnation in which they read the suspicion: a
        // restarted peer may get the log from another host whose last read is some seconds old.
        // Such a read is sure to include the suspicion only if the restart comes after the wait.
        let counts =
            |reader: &&Reader| unanswered(reader.since) && is_answering(now, reader.hello_sent);
        let readers = self.readers.get(&key);
        let count = readers.map_or(0, |readers| readers.values().filter(counts).count());
        membership.is_majority(1 + count)
    }

    fn push_worker_lost(
        &mut self,
        now: Millis,
        suspicion: &OpenSuspicion,
        records: &mut Vec<Record>,
    ) {
        if is_repeat(now, &mut self.declared_at, &suspicion.worker) {
            return;
        }
        let worker = suspicion.worker.clone();
        let suspected = suspicion.offset;
        records.push(Record::WorkerLost { worker, suspected });
    }

    fn should_suspect(
        &self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        open: &[OpenSuspicion],
        worker: &Name,
    ) -> bool {
        let is_over_limit = |since: &Millis| now.since(*since) >= UNREACHABLE_TIME;
        if !self.unheld_since.get(worker).is_some_and(is_over_limit) {
            return false;
        }
        let is_unreachable = leases
            .unanswered_for(now, worker)
            .is_some_and(|time| time >= UNREACHABLE_TIME);
        if !is_unreachable && !self.absent_since.get(worker).is_some_and(is_over_limit) {
            return false;
        }
        // One open suspicion suffices, unless its writer is dead or has not declared the worker
        // lost in twice the time that this takes.
        let is_covered = open.iter().any(|suspicion| {
            suspicion.worker == *worker
                && (suspicion.host == self.host
                    || membership.is_live(now, &suspicion.host)
                        && now.since(suspicion.read_at) < Millis(2 * SUSPICION_TIME.0))
        });
        !is_covered && membership.is_log_recent(now) && membership.has_majority(now)
    }

    fn push_suspected(&mut self, now: Millis, worker: &Name, records: &mut Vec<Record>) {
        if is_repeat(now, &mut self.suspected_at, worker) {
            return;
        }
        records.push(Record::Suspected {
            worker: worker.clone(),
            host: self.host.clone(),
        });
    }
}

/// Since when each of `names` has been in the set without a gap; `before` is the previous result.
fn track_since<'a>(
    now: Millis,
    before: &HashMap<Name, Millis>,
    names: impl Iterator<Item = &'a Name>,
) -> HashMap<Name, Millis> {
    let since = |name: &Name| before.get(name).copied().unwrap_or(now);
    names.map(|name| (name.clone(), since(name))).collect()
}

/// Whether a record about `worker` was requested in the last 5 s. If not, sets the time to `now`.
fn is_repeat(now: Millis, requested_at: &mut HashMap<Name, Millis>, worker: &Name) -> bool {
    requested_at.retain(|_, at| now.since(*at) < REPEAT_TIME);
    if requested_at.contains_key(worker) {
        return true;
    }
    requested_at.insert(worker.clone(), now);
    false
}
