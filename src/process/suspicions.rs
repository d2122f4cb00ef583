//! When a worker counts as lost.

use std::collections::HashMap;

use crate::base::{Millis, Name, Offset};
use crate::connection::LeaseTable;
use crate::version::Record;

use super::membership::{Membership, RUN_TTL, answers};

/// Time without an answer and without a holder after which a worker is suspected.
///
/// It is more than a takeover takes, and than a standby of rank 1 waits before it tries.
const SILENCE: Millis = Millis(10_000);
/// Time that a suspicion must stay unanswered, by the declaring host's clock.
///
/// A host that does not know of the suspicion may renew for 20 s, and its last renewal lasts 20 s.
/// 10% covers clocks whose rates differ by as much, and 1 s the worker's stopping of the tasks.
pub const SUSPICION_TIME: Millis = Millis(2 * RUN_TTL.0 + 2 * RUN_TTL.0 / 10 + 1_000);
/// Delay before a record that has not been read back is asked for again.
const REPEAT: Millis = Millis(5_000);
/// Time after which another host answers `Held` for a holder that cannot append.
const ON_BEHALF: Millis = Millis(3_000);

/// A `Suspected` record that is neither answered nor followed by `WorkerLost`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenSuspicion {
    pub worker: Name,
    /// The writer.
    pub host: Name,
    /// Of the record that opened the suspicion.
    pub offset: Offset,
    /// When this host read the record.
    pub read_at: Millis,
}

/// Decides which of `Suspected`, `Held` and `WorkerLost` this host appends.
#[derive(Debug)]
pub struct Suspicions {
    host: Name,
    /// Claimed workers that nobody is seen to hold.
    unheld: HashMap<Name, Millis>,
    /// Claimed workers that are not on the host list.
    absent: HashMap<Name, Millis>,
    /// Per own open suspicion, the peers that have read it.
    readers: HashMap<(Name, Offset), HashMap<Name, Reader>>,
    /// Last time that a record was asked for.
    suspected: HashMap<Name, Millis>,
    answered: HashMap<Name, Millis>,
    declared: HashMap<Name, Millis>,
}

#[derive(Debug, Clone, Copy)]
struct Reader {
    incarnation: u64,
    /// When this host first knew that the peer had read the suspicion.
    since: Millis,
    /// Before the peer's last word was asked for.
    asked: Millis,
}

impl Suspicions {
    pub fn new(host: Name) -> Self {
        Suspicions {
            host,
            unheld: HashMap::new(),
            absent: HashMap::new(),
            readers: HashMap::new(),
            suspected: HashMap::new(),
            answered: HashMap::new(),
            declared: HashMap::new(),
        }
    }

    /// Collects the records to append. `open` is all open suspicions, and `claimed` the workers to
    /// which attempts are bound, both as of this host's ledger.
    ///
    /// A record that has not been read back when this is called again is asked for again after 5 s.
    pub fn poll(
        &mut self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        open: &[OpenSuspicion],
        claimed: &[Name],
        records: &mut Vec<Record>,
    ) {
        self.observe(now, membership, leases, claimed);
        self.count_readers(now, membership, open);
        for suspicion in open {
            if let Some(holder) = self.holder(now, membership, leases, suspicion) {
                self.answer(now, suspicion, holder, records);
            } else if self.is_lost(now, membership, leases, suspicion) {
                self.declare(now, suspicion, records);
            }
        }
        for worker in claimed {
            if self.is_suspect(now, membership, leases, open, worker) {
                self.suspect(now, worker, records);
            }
        }
    }

    fn observe(&mut self, now: Millis, peers: &Membership, leases: &LeaseTable, claimed: &[Name]) {
        let unheld = |worker: &Name| {
            leases.usable(now, worker).is_none() && peers.holder(now, worker).is_none()
        };
        self.unheld = carry(now, &self.unheld, claimed.iter().filter(|w| unheld(w)));
        self.absent = carry(
            now,
            &self.absent,
            claimed.iter().filter(|w| leases.is_absent(w)),
        );
    }

    /// Takes note of the peers that have read this host's own suspicions.
    fn count_readers(&mut self, now: Millis, membership: &Membership, open: &[OpenSuspicion]) {
        let mut before = std::mem::take(&mut self.readers);
        for suspicion in open.iter().filter(|suspicion| suspicion.host == self.host) {
            let key = (suspicion.worker.clone(), suspicion.offset);
            let known = before.remove(&key).unwrap_or_default();
            let mut readers = HashMap::new();
            for (name, word) in membership.words() {
                if word.offset <= suspicion.offset {
                    continue;
                }
                // A restarted peer may have given its word to a holder before it read the
                // suspicion again, so its time starts over.
                let since = known
                    .get(name)
                    .filter(|reader| reader.incarnation == word.incarnation)
                    .map_or(now, |reader| reader.since);
                let reader = Reader {
                    incarnation: word.incarnation,
                    since,
                    asked: word.asked,
                };
                readers.insert(name.clone(), reader);
            }
            self.readers.insert(key, readers);
        }
    }

    /// The host to name in an answer to the suspicion.
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

    fn answer(
        &mut self,
        now: Millis,
        suspicion: &OpenSuspicion,
        holder: Name,
        records: &mut Vec<Record>,
    ) {
        if holder != self.host && now.since(suspicion.read_at) < ON_BEHALF {
            return;
        }
        if is_repeat(now, &mut self.answered, &suspicion.worker) {
            return;
        }
        let worker = suspicion.worker.clone();
        records.push(Record::Held {
            worker,
            host: holder,
        });
    }

    /// Whether all run leases on the worker have lapsed and no host will start a claim on it.
    ///
    /// See `Membership::may_renew`. A holder that may renew without knowing of the suspicion read
    /// the log before this host did, or has the word of a majority that had not read it. The
    /// second ends 20 s after a majority has read the suspicion, whenever `WorkerLost` reaches the
    /// log. The last start or renewal lasts 20 s.
    ///
    /// The majority must answer now. A peer that restarted may take the log from another one whose
    /// last read is some seconds old; such a read reaches the suspicion only if the restart was
    /// after the wait.
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
        if !membership.reads_log(now) {
            return false;
        }
        // The worker answers this host, so its report will tell.
        if !leases.is_absent(&suspicion.worker) && leases.silence(now, &suspicion.worker).is_none()
        {
            return false;
        }
        let key = (suspicion.worker.clone(), suspicion.offset);
        let counts = |reader: &&Reader| unanswered(reader.since) && answers(now, reader.asked);
        let readers = self.readers.get(&key);
        let count = readers.map_or(0, |readers| readers.values().filter(counts).count());
        membership.is_majority(1 + count)
    }

    fn declare(&mut self, now: Millis, suspicion: &OpenSuspicion, records: &mut Vec<Record>) {
        if is_repeat(now, &mut self.declared, &suspicion.worker) {
            return;
        }
        let worker = suspicion.worker.clone();
        let suspected = suspicion.offset;
        records.push(Record::WorkerLost { worker, suspected });
    }

    fn is_suspect(
        &self,
        now: Millis,
        membership: &Membership,
        leases: &LeaseTable,
        open: &[OpenSuspicion],
        worker: &Name,
    ) -> bool {
        let long = |since: &Millis| now.since(*since) >= SILENCE;
        if !self.unheld.get(worker).is_some_and(long) {
            return false;
        }
        let silent = leases
            .silence(now, worker)
            .is_some_and(|silence| silence >= SILENCE);
        if !silent && !self.absent.get(worker).is_some_and(long) {
            return false;
        }
        // One suspicion is enough, unless its writer cannot follow it up.
        let covered = open.iter().any(|suspicion| {
            suspicion.worker == *worker
                && (suspicion.host == self.host
                    || membership.is_live(now, &suspicion.host)
                        && now.since(suspicion.read_at) < Millis(2 * SUSPICION_TIME.0))
        });
        !covered && membership.reads_log(now) && membership.has_majority(now)
    }

    fn suspect(&mut self, now: Millis, worker: &Name, records: &mut Vec<Record>) {
        if is_repeat(now, &mut self.suspected, worker) {
            return;
        }
        records.push(Record::Suspected {
            worker: worker.clone(),
            host: self.host.clone(),
        });
    }
}

/// Times since when each of `names` has been in the set without interruption.
fn carry<'a>(
    now: Millis,
    before: &HashMap<Name, Millis>,
    names: impl Iterator<Item = &'a Name>,
) -> HashMap<Name, Millis> {
    let since = |name: &Name| before.get(name).copied().unwrap_or(now);
    names.map(|name| (name.clone(), since(name))).collect()
}

/// Whether a record about `worker` was asked for within the last 5 s; takes note of this one if not.
fn is_repeat(now: Millis, asked: &mut HashMap<Name, Millis>, worker: &Name) -> bool {
    asked.retain(|_, at| now.since(*at) < REPEAT);
    if asked.contains_key(worker) {
        return true;
    }
    asked.insert(worker.clone(), now);
    false
}
