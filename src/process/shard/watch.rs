//! What time brings: renewals, repeated stops, lapsed leases, due turns and outdated records.

use super::reports::STOP_MARGIN;
use super::shard::{Now, Phase, Shard, ShardAction, WorkerTag};
use super::worker::{RunState, Worker};
use crate::base::{Millis, Name};
use crate::connection::{Order, WorkerCall};
use crate::request::job::{Ending, JobId, TaskKey};
use crate::version::{ShardRecord, WorkerRecord};

use super::journal::Commit;

/// Time between two sweeps in milliseconds.
const SWEEP_TIME: Millis = Millis(100);
/// Longest wait of a report, in milliseconds; it renews the leases, so it is well below them.
const POLL_WAIT: Millis = Millis(1_000);
/// The same where filling tasks may disturb serving ones: the figures are means over half a second.
const FILLING_WAIT: Millis = Millis(300);
/// Longest wait of a report on a worker without runs, in milliseconds; the most that is allowed.
const IDLE_WAIT: Millis = Millis(2_000);
/// Longest time for an answer beyond the wait, in milliseconds.
const POLL_TIME: Millis = Millis(700);
/// Shortest time between two looks at all workers for what is due, in milliseconds; half of what an
/// order takes on its way.
const WATCH_TIME: Millis = Millis(10);
const STOP_TIME: Millis = Millis(600);
/// Time after which a stop without confirmation is sent again, in milliseconds.
const STOP_REPEAT: Millis = Millis(700);
/// A run without progress for longer is stopped and started elsewhere, in milliseconds.
const STALL_TIME: Millis = Millis(2_500);
/// A run that saves its progress and was halted for longer is moved, in milliseconds: it waits about
/// as long for its stop and its restart.
const MOVE_TIME: Millis = Millis(1_000);
/// How long a worker with stalled runs gets no tasks, in milliseconds.
const STALL_AVOID: Millis = Millis(3_000);
/// Longest time without an append in milliseconds: other hosts take a still journal as a sign that
/// its owner is gone.
const IDLE_APPEND: Millis = Millis(500);

impl Shard {
    pub(super) fn sweep(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if now.steady.since(self.last_sweep) < SWEEP_TIME {
            return;
        }
        self.last_sweep = now.steady;
        if self.load_at.is_some_and(|at| at <= now.steady) {
            self.load(out);
        }
        if self.phase < Phase::Settling {
            return;
        }
        self.contention.learn(now.steady);
        self.settle(now);
        self.lapse(now);
        self.evacuate(now);
        self.open_due(now);
        self.reorder_expired();
        self.expire(now);
        self.record_workers();
        if self.journal.is_failing(now.steady) {
            self.withdraw(out);
        }
        let idle = now.steady.since(self.journal.last_stored()) >= IDLE_APPEND;
        if idle && !self.journal.has_pending() {
            let record = ShardRecord::Owner(self.owner.clone());
            self.journal.push(&record, None);
        }
    }

    /// Gives up runs whose leases have certainly run out.
    fn lapse(&mut self, now: Now) {
        let is_over = |worker: &&Worker| {
            worker.misses > 0 && (worker.has_lapsed(now.steady) || worker.has_left)
        };
        let lapsed: Vec<(Name, TaskKey)> = self
            .workers
            .iter()
            .filter(is_over)
            .flat_map(|worker| worker.runs.keys().map(|task| (worker.id.clone(), *task)))
            .collect();
        for (worker, task) in lapsed {
            self.lose_run(now, &worker, task, Ending::Lapsed);
        }
    }

    /// Moves lasting tasks off workers that are leaving, as far as others have room.
    fn evacuate(&mut self, now: Now) {
        let leaving: Vec<(Name, TaskKey)> =
            self.workers
                .iter()
                .filter(|worker| worker.is_listed && !worker.is_ready)
                .flat_map(|worker| {
                    let lasting = worker.runs.iter().filter(|(_, run)| {
                        run.lasts && matches!(run.state, RunState::Active { .. })
                    });
                    lasting.map(|(task, _)| (worker.id.clone(), *task))
                })
                .collect();
        if leaving.is_empty() {
            return;
        }
        let candidates = self.candidates(now);
        for (worker_id, task) in leaving {
            if !self.has_room_elsewhere(now, task, &candidates) {
                continue;
            }
            tracing::info!(%task, worker = %worker_id, "moves a lasting task off a leaving worker");
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.stop_run(task);
            }
        }
    }

    fn open_due(&mut self, now: Now) {
        while let Some((due, id)) = self.timed.first().copied() {
            if due > now.wall {
                return;
            }
            self.timed.pop_first();
            self.open_turns(now, id);
        }
    }

    /// Drops the outcomes that nobody asks for any more.
    fn expire(&mut self, now: Now) {
        let keep = self.settings.status_keep.0;
        let old: Vec<JobId> = self
            .ended
            .iter()
            .filter(|(_, ended)| ended.at + keep < now.wall)
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.ended.remove(&id);
            self.journal.push(&ShardRecord::State(id, None), None);
        }
    }

    /// Records the workers that are used, and forgets those that are gone.
    fn record_workers(&mut self) {
        let mut gone: Vec<Name> = Vec::new();
        for worker in self.workers.iter_mut() {
            let is_idle = worker.runs.is_empty() && worker.noted == worker.processed;
            if !worker.is_listed && is_idle && self.phase == Phase::Active {
                gone.push(worker.id.clone());
            } else if worker.is_listed && !worker.is_recording && worker.needs_record() {
                worker.is_recording = true;
                worker.recorded_leaving = worker.is_draining;
                let record = WorkerRecord {
                    address: worker.address,
                    service: worker.service.clone(),
                    is_leaving: worker.is_draining,
                };
                self.journal.push(
                    &ShardRecord::Worker(worker.id.clone(), Some(record)),
                    Some(Commit::Worker(worker.id.clone())),
                );
            }
        }
        for id in gone {
            self.workers.remove(&id);
            self.journal.push(&ShardRecord::Worker(id, None), None);
        }
    }

    /// Sends the reports, stops and renewals that are due.
    pub(super) fn poll_workers(&mut self, now: Now, out: &mut Vec<ShardAction>) {
        if now.steady.since(self.last_watch) < WATCH_TIME {
            return;
        }
        self.last_watch = now.steady;
        let epoch = self.owner.epoch;
        let lease = self.settings.lease;
        let stop_time = self.settings.stop_time + STOP_MARGIN;
        for worker in self.workers.iter_mut() {
            if worker.waiting_poll.is_none() && worker.poll_at <= now.steady {
                let wait = poll_wait(worker);
                worker.waiting_poll = Some(now.steady);
                poll(worker, now.steady, epoch, lease, wait, false, out);
            } else if worker.quick_poll.is_none() && worker.wants_look(now.steady, stop_time) {
                worker.quick_poll = Some(now.steady);
                poll(worker, now.steady, epoch, lease, Millis(0), true, out);
            }
        }
        self.send_stops(now, out);
    }

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
                    timeout: STOP_TIME,
                };
                out.push(ShardAction::Worker(tag, call));
            }
        }
    }
}

impl Worker {
    fn needs_record(&self) -> bool {
        !self.is_recorded || self.recorded_leaving != self.is_draining
    }

    /// Whether a confirmed stop waits for a report that was asked for after it.
    fn wants_look(&self, now: Millis, stop_time: Millis) -> bool {
        let Some(waiting) = self.waiting_poll.filter(|_| self.has_stops) else {
            return false;
        };
        self.runs.values().any(|run| match run.state {
            RunState::Stopping {
                confirmed: Some(at),
                ..
            } => at + stop_time >= waiting && now > at + stop_time,
            _ => false,
        })
    }
}

fn poll_wait(worker: &Worker) -> Millis {
    // Ends that wait for their record would bring every answer at once.
    if worker.last_report.is_none() || worker.processed > worker.noted {
        return Millis(0);
    }
    let has_filling = worker.runs.values().any(|run| run.fills);
    match worker.runs.is_empty() {
        true => IDLE_WAIT,
        false if has_filling => FILLING_WAIT,
        false => POLL_WAIT,
    }
}

fn poll(
    worker: &mut Worker,
    now: Millis,
    epoch: u64,
    lease: Millis,
    wait: Millis,
    is_quick: bool,
    out: &mut Vec<ShardAction>,
) {
    // A renewal that may arrive late would keep the runs of a silent worker from ever lapsing.
    let until = worker.lease_end(now, lease).filter(|_| worker.misses == 0);
    if let Some(until) = until {
        worker.until = worker.until.max(until);
    }
    let tag = WorkerTag::Poll {
        worker: worker.id.clone(),
        sent: now,
        is_quick,
    };
    let call = WorkerCall {
        worker: worker.id.clone(),
        address: worker.address,
        epoch,
        order: Order::Renew {
            lease_end: until,
            // The worker may have started anew, and then its ends have other numbers.
            acknowledged: if worker.misses == 0 { worker.noted } else { 0 },
            wait,
        },
        timeout: wait + POLL_TIME,
    };
    out.push(ShardAction::Worker(tag, call));
}

/// Stops runs that make no progress, as the newest report of their worker shows them.
pub(super) fn stop_stalled(worker: &mut Worker, now: Millis) {
    let mut stops: Vec<TaskKey> = Vec::new();
    let mut stalled = 0;
    for (task, run) in &worker.runs {
        let is_active = matches!(run.state, RunState::Active { .. });
        let halted = run.halted.map(|since| now.since(since));
        if is_active && run.saves && halted.is_some_and(|time| time >= MOVE_TIME) {
            tracing::info!(%task, run = run.run, worker = %worker.id, percent = run.percent, "moves a halted run");
            stops.push(*task);
            continue;
        }
        let is_at_work = run.lasts && run.percent >= 100;
        if !is_active || is_at_work || run.pace == 0 || now.since(run.progressed) < STALL_TIME {
            continue;
        }
        let percent = run.percent;
        tracing::warn!(%task, run = run.run, worker = %worker.id, percent, "run makes no progress");
        stops.push(*task);
        stalled += 1;
    }
    for task in stops {
        worker.stop_run(task);
    }
    if stalled > 0 {
        worker.suspect_until = worker.suspect_until.max(now + STALL_AVOID);
    }
}
