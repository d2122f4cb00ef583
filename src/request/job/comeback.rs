//! When a client is to come back whose job cannot be stored now.
//!
//! Clients give up after a few tries. If all tries fall into the outage, the job is lost to its caller although the
//! store is back a moment later; if the client comes back late, its job starts late.

use std::collections::{HashMap, VecDeque};

use super::spec::JobId;
use crate::base::Millis;

/// Length of an outage before any has been seen, in milliseconds.
const FIRST_LENGTH: Millis = Millis(4_000);
/// An outage that ends sooner is part of how a store answers under load, in milliseconds.
const MIN_LENGTH: Millis = Millis(500);
/// Weight of the newest outage in the usual length.
const NEWEST_WEIGHT: f64 = 0.5;
/// Shortest and longest pause, in seconds. Clients give up after a few tries, so that longer ones gain nothing.
const MIN_PAUSE: u64 = 1;
const MAX_PAUSE: u64 = 8;
/// How long the tries of a client belong together, in milliseconds.
const MEMORY_TIME: Millis = Millis(30_000);
/// Most jobs whose tries are known; the oldest is forgotten for another one.
const MAX_JOBS: usize = 4_096;

/// How long the store has been away, and how long it usually is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    pub lasted: Millis,
    pub usual: Millis,
}

/// A job that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedJob {
    /// How often it has been refused before.
    pub tries: u32,
    /// Time after which nobody waits for its result any more, if it ends by itself.
    pub worth: Option<Millis>,
}

/// Seconds after which the client is to come back.
///
/// The first pause is half of what is left of a usual outage, so that the client also finds a store that is back sooner.
/// Each further one is a second longer at least: with four tries, a client bears an outage of eight seconds.
pub fn comeback(outage: Outage, job: RefusedJob) -> u32 {
    let left = match outage.usual > outage.lasted {
        true => outage.usual.since(outage.lasted),
        // It goes on for half as long again.
        false => Millis(outage.lasted.0 / 2),
    };
    let pause = (left.0 / 2).max(u64::from(job.tries) * 1_000);
    let worth = job.worth.unwrap_or(Millis(u64::MAX));
    let pause = pause.min(worth.0);
    pause.div_ceil(1_000).clamp(MIN_PAUSE, MAX_PAUSE) as u32
}

/// The outages of the store that an owner has seen, and the jobs that it has refused in them.
#[derive(Debug)]
pub struct Outages {
    usual: Millis,
    /// How long the outage that has not ended has lasted.
    lasted: Option<Millis>,
    /// Number of refusals of each job and when it came first.
    refused: HashMap<JobId, (u32, Millis)>,
    /// The same jobs in the order in which they came first.
    order: VecDeque<(Millis, JobId)>,
}

impl Default for Outages {
    fn default() -> Self {
        Outages {
            usual: FIRST_LENGTH,
            lasted: None,
            refused: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl Outages {
    /// Notes how long the store has been away; `None` if it answers. Returns the length of an outage that has ended.
    pub fn note(&mut self, now: Millis, lasted: Option<Millis>) -> Option<Millis> {
        while let Some((at, job)) = self.order.front().copied() {
            if now.since(at) <= MEMORY_TIME {
                break;
            }
            self.order.pop_front();
            self.refused.remove(&job);
        }
        let before = std::mem::replace(&mut self.lasted, lasted);
        let ended = before.filter(|length| lasted.is_none() && *length >= MIN_LENGTH)?;
        let usual = self.usual.0 as f64;
        self.usual = Millis((usual + NEWEST_WEIGHT * (ended.0 as f64 - usual)) as u64);
        Some(ended)
    }

    /// Counts a refusal of a job and returns the seconds after which its client is to come back. `lasting` is the
    /// time from the first try for which somebody waits for the result.
    pub fn refuse(
        &mut self,
        now: Millis,
        job: JobId,
        lasted: Millis,
        lasting: Option<Millis>,
    ) -> u32 {
        let known = self.refused.entry(job).or_insert_with(|| {
            self.order.push_back((now, job));
            (0, now)
        });
        let (tries, first) = *known;
        known.0 += 1;
        if self.order.len() > MAX_JOBS {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.refused.remove(&oldest);
            }
        }
        let outage = Outage {
            lasted,
            usual: self.usual,
        };
        let worth = lasting.map(|time| time.since(now.since(first)));
        comeback(outage, RefusedJob { tries, worth })
    }

    /// Number of jobs that have been refused lately.
    pub fn refused(&self) -> usize {
        self.refused.len()
    }
}
