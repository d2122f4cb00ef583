//! Work that is due by time: lease renewals, repeated stops, expired leases, due turns (occurrences
//! of repeating jobs) and outdated records.

use super::reports::STOP_ALLOWANCE;
use super::shard::{Now, Phase, Shard, ShardAction, WorkerTag};
use super::worker::{Run, RunState, Worker};
use crate::base::{Millis, Name};
use crate::connection::{Order, WorkerCall};
use crate::process::telemetry;
use crate::request::job::{Ending, JobId, TaskKey};
use crate::version::{LeaseRecord, ShardRecord, WorkerRecord};

use super::journal::{Commit, Journal};

/// Interval of the periodic work, in milliseconds.
const SWEEP_INTERVAL: Millis = Millis(100);
/// How long a worker may hold back a report while no run ends, in milliseconds. Each request for a
/// report renews the leases, so this is well below their length.
const POLL_WAIT: Millis = Millis(1_000);
/// The same on a worker with best-effort tasks, in milliseconds, since these can slow down serving
/// tasks. The reported latencies are means over half a second.
const BEST_EFFORT_WAIT: Millis = Millis(300);
/// Reports per second of workers with best-effort tasks. With more such workers than this allows,
/// each of them waits longer.
const BEST_EFFORT_REPORT_RATE: u64 = 2_000;
/// The same on a worker without runs, in milliseconds; workers allow no longer wait.
const IDLE_WAIT: Millis = Millis(2_000);
/// Timeout of a request for a report beyond its wait, in milliseconds.
const POLL_TIMEOUT: Millis = Millis(700);
/// Shortest time between two checks of all workers for due reports and stops, in milliseconds; half
/// of the time that an order is in transit.
const POLL_INTERVAL: Millis = Millis(10);
/// Timeout of a stop order, in milliseconds.
const STOP_TIMEOUT: Millis = Millis(600);
/// Time after which an unconfirmed stop order is repeated, in milliseconds.
const STOP_REPEAT: Millis = Millis(700);
/// Interval of the records of learned interference, in milliseconds.
const CONTENTION_INTERVAL: Millis = Millis(3_000);
/// An owner appends at least this often, in milliseconds: other hosts conclude from an idle journal
/// that its owner is gone.
const IDLE_APPEND: Millis = Millis(500);

impl Shard {
    /// Runs the periodic work, at most once per `SWEEP_INTERVAL`.
    pub(super) fn sweep(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if now.steady.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now.steady;
        self.retry_loads(now, out);
        if self.phase < Phase::Recovering {
            return;
        }
        self.contention.learn(now.steady);
        self.finish_recovery(now);
        self.release_unheard(now);
        self.expire_runs(now);
        self.empty_workers(now);
        self.make_room_for_best_effort(now);
        self.open_due(now);
        self.replace_expired_keys();
        self.measure_backlog(now);
        self.expire_outcomes(now);
        self.lost_runs.expire(now.steady);
        self.record_waits(now.steady);
        self.record_workers(now);
        self.record_contention(now);
        self.log_waiting(now);
        self.note_outage(now);
        if self.journal.is_failing(now.steady) {
            self.refuse_unstored(now, out);
        }
        let is_idle = now.steady.since(self.journal.last_stored()) >= IDLE_APPEND;
        if is_idle && !self.journal.has_pending() {
            let record = ShardRecord::Owner(self.owner.clone());
            self.journal.push(&record, None);
        }
    }

    /// Counts the runs of a silent worker as lost once their leases have certainly expired, it has left, or it
    /// has confirmed a stop that is over. A task that can succeed may have done so before the stop or the end of
    /// the lease, so only long-running ones need no report from a worker that is alive. The lease has to be over
    /// at a time when no other owner can have renewed it.
    fn expire_runs(&mut self, now: Now) {
        let owned_at = self.journal.owned_at();
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let is_stopped = |run: &Run| match run.state {
            RunState::Stopping {
                confirmed: Some(at),
                ..
            } => run.lasts && at + stop_time < now.steady,
            _ => false,
        };
        let mut needs_proof = false;
        let mut expired: Vec<(Name, TaskKey, Ending)> = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.unanswered > 0) {
            let is_over = worker.has_expired(owned_at) || worker.has_left;
            needs_proof |= !is_over && !worker.runs.is_empty() && worker.has_expired(now.steady);
            let may_succeed = worker.may_report_success(now.steady);
            for (task, run) in &worker.runs {
                let ending = match is_stopped(run) {
                    true => Ending::Stopped,
                    false if is_over && (run.lasts || !may_succeed) => Ending::Lapsed,
                    false => continue,
                };
                expired.push((worker.id.clone(), *task, ending));
            }
        }
        for (worker, task, ending) in expired {
            telemetry::count_lost_run(match ending {
                Ending::Stopped => "stopped",
                _ => "lease_over",
            });
            self.note_lost(&worker, task);
            self.lose_run(now, &worker, task, ending);
        }
        if needs_proof && !self.journal.has_pending() && self.journal.may_append(now.steady) {
            let record = ShardRecord::Owner(self.owner.clone());
            self.journal.push(&record, None);
        }
    }

    /// Opens the turns that have come due.
    fn open_due(&mut self, now: Now) {
        while let Some((due, id)) = self.upcoming_turns.first().copied() {
            if due > now.wall {
                return;
            }
            self.upcoming_turns.pop_first();
            self.open_turns(now, id);
        }
    }

    /// Drops the outcomes that have been kept for `status_keep`.
    fn expire_outcomes(&mut self, now: Now) {
        let keep = self.settings.status_keep.0;
        let old: Vec<JobId> = self
            .ended
            .iter()
            .filter(|(_, ended)| ended.at.saturating_add(keep) < now.wall)
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.ended.remove(&id);
            self.journal.push(&ShardRecord::State(id, None), None);
        }
    }

    /// Records what has been learned of the interference between images. Without it, a new owner
    /// would halt and move many best-effort tasks until it has learned the same.
    fn record_contention(&mut self, now: Now) {
        let is_due = now.steady.since(self.last_learned) >= CONTENTION_INTERVAL;
        if !is_due || self.journal.failing_for(now.steady).is_some() {
            return;
        }
        self.last_learned = now.steady;
        let learned = self.contention.learned();
        if !learned.is_empty() {
            self.journal.push(&ShardRecord::Contention(learned), None);
        }
    }

    /// Records new and changed workers, and drops those that are gone.
    fn record_workers(&mut self, now: Now) {
        let mut removed: Vec<Name> = Vec::new();
        let granted = self.settings.granted_lease();
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        for worker in self.workers.iter_mut() {
            let is_idle = worker.runs.is_empty()
                && worker.unheard.is_none()
                && worker.acknowledged == worker.acknowledgeable();
            // If the worker comes back, the commit of this record would hide that it is deleted again.
            let is_done = is_idle && !worker.is_recording && !worker.awaits_proof(now.steady);
            if !worker.is_listed && is_done && self.phase == Phase::Active {
                removed.push(worker.id.clone());
            } else {
                worker.record(&mut self.journal);
                worker.record_lease(now.steady, granted, &mut self.journal);
                worker.record_suspects(&mut self.journal);
                worker.record_remaining(now.steady, stop_time, &mut self.journal);
            }
        }
        for id in removed {
            if let Some(worker) = self.workers.remove(&id) {
                if worker.recorded_lease != LeaseRecord::default() {
                    let record = ShardRecord::Lease(id.clone(), None);
                    self.journal.push(&record, None);
                }
                if worker.recorded_wait.is_some() {
                    let record = ShardRecord::Wait(id.clone(), None);
                    self.journal.push(&record, None);
                }
                if worker.recorded_runs.is_some() {
                    let record = ShardRecord::Remaining(id.clone(), None);
                    self.journal.push(&record, None);
                }
                if !worker.recorded_suspects.is_empty() {
                    let record = ShardRecord::Suspects(id.clone(), None);
                    self.journal.push(&record, None);
                }
                if worker.is_recorded || worker.is_recording {
                    self.journal.push(&ShardRecord::Worker(id, None), None);
                }
            }
        }
    }

    /// Sends the requests for reports and the stop orders that are due. Requests for reports renew
    /// the leases.
    pub(super) fn poll_workers(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if now.steady.since(self.last_poll) < POLL_INTERVAL {
            return;
        }
        self.last_poll = now.steady;
        let epoch = self.owner.epoch;
        let lease = self.settings.granted_lease();
        let lease = self.resignation.is_none().then_some(lease);
        let stop_time = self.settings.stop_time + STOP_ALLOWANCE;
        let spacing = Millis(self.workers.len() as u64 * 1_000 / BEST_EFFORT_REPORT_RATE);
        let best_effort_wait = BEST_EFFORT_WAIT.max(spacing).min(POLL_WAIT);
        for worker in self.workers.iter_mut() {
            if worker.long_poll.is_none() && worker.next_poll <= now.steady {
                let wait = match lease {
                    Some(_) => poll_wait(worker, best_effort_wait),
                    None => Millis(0),
                };
                worker.long_poll = Some(now.steady);
                request_report(worker, now.steady, epoch, lease, wait, false, out);
            } else if worker.immediate_poll.is_none()
                && worker.needs_immediate_poll(now.steady, stop_time)
            {
                worker.immediate_poll = Some(now.steady);
                request_report(worker, now.steady, epoch, lease, Millis(0), true, out);
            }
        }
        self.send_stops(now, out);
    }

    /// Sends the stop orders that are due.
    pub(super) fn send_stops(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        let epoch = self.owner.epoch;
        for worker in self.workers.iter_mut().filter(|worker| worker.has_stops) {
            worker.has_stops = false;
            for (task, run) in &mut worker.runs {
                let RunState::Stopping { sent, confirmed } = &mut run.state else {
                    continue;
                };
                worker.has_stops = true;
                let is_due = sent.is_none_or(|at| now.steady.since(at) >= STOP_REPEAT);
                if !is_due || confirmed.is_some() {
                    continue;
                }
                *sent = Some(now.steady);
                let tag = WorkerTag::Stop {
                    worker: worker.id.clone(),
                    task: *task,
                    run: run.run,
                };
                let call = WorkerCall {
                    worker: worker.id.clone(),
                    address: worker.address,
                    epoch,
                    order: Order::Stop {
                        task: *task,
                        run: run.run,
                    },
                    timeout: STOP_TIMEOUT,
                };
                out.push(ShardAction::Worker(tag, call));
            }
        }
    }
}

impl Worker {
    /// Records it if its record is missing or outdated. One that has not reported has got no orders to
    /// start anything and may not exist, so a later owner need not wait for it.
    pub(super) fn record(&mut self, journal: &mut Journal) {
        let is_outdated = match self.is_recorded {
            true => self.recorded_leaving != self.is_draining,
            false => self.first_report.is_some(),
        };
        if !self.is_listed || self.is_recording || !is_outdated {
            return;
        }
        self.is_recording = true;
        self.recorded_leaving = self.is_draining;
        let record = WorkerRecord {
            address: self.reported_address.unwrap_or(self.address),
            service: self.service.clone(),
            is_leaving: self.is_draining,
        };
        journal.push(
            &ShardRecord::Worker(self.id.clone(), Some(record)),
            Some(Commit::Worker(self.id.clone())),
        );
    }

    /// Whether a report is needed at once. A confirmed stop must have ended its run by now, or a run on
    /// trial its exclusion, but the pending report may have been requested too early to show it.
    fn needs_immediate_poll(&self, now: Millis, stop_time: Millis) -> bool {
        let Some(waiting) = self.long_poll else {
            return false;
        };
        if !self.trials.is_empty() && self.may_end_exclusion(now, waiting) {
            return true;
        }
        self.has_stops
            && self.runs.values().any(|run| match run.state {
                RunState::Stopping {
                    confirmed: Some(at),
                    ..
                } => at + stop_time >= waiting && now > at + stop_time,
                _ => false,
            })
    }
}

/// How long the worker may wait for a run to end before it reports; `best_effort_wait` applies if it
/// has best-effort tasks.
fn poll_wait(worker: &Worker, best_effort_wait: Millis) -> Millis {
    // Ends that are not acknowledged yet make the worker answer at once in any case. After a miss, no
    // lease is renewed until the worker has answered.
    if worker.last_report.is_none()
        || worker.unanswered > 0
        || !worker.may_lease()
        || worker.processed > worker.acknowledged
    {
        return Millis(0);
    }
    let has_best_effort = worker.runs.values().any(|run| run.fills);
    match worker.runs.is_empty() {
        true => IDLE_WAIT,
        false if has_best_effort => best_effort_wait,
        false => POLL_WAIT,
    }
}

/// Requests a report and renews the leases by `lease`; `None` if the owner grants none.
fn request_report(
    worker: &mut Worker,
    now: Millis,
    epoch: u64,
    lease: Option<Millis>,
    wait: Millis,
    is_immediate: bool,
    out: &mut Vec<ShardAction>,
) {
    // An unreachable worker gets no renewals: one that may still arrive would extend the leases
    // again and again, so that its runs could never be counted as expired.
    let until = lease
        .and_then(|lease| worker.lease_end(now, lease))
        .filter(|_| worker.unanswered == 0);
    if let Some(until) = until {
        worker.note_grant(now, until);
    }
    let tag = WorkerTag::Poll {
        worker: worker.id.clone(),
        sent: now,
        is_immediate,
    };
    let call = WorkerCall {
        worker: worker.id.clone(),
        address: worker.address,
        epoch,
        order: Order::Renew {
            lease_end: until,
            // The worker may have restarted, which restarts the numbering of its ends.
            acknowledged: if worker.unanswered == 0 {
                worker.acknowledged
            } else {
                0
            },
            wait,
        },
        timeout: wait + POLL_TIMEOUT,
    };
    out.push(ShardAction::Worker(tag, call));
}
