//! Throttles best-effort tasks that run beside serving tasks, by what reports show of their
//! contention.

use super::shard::{Now, Shard, ShardAction, WorkerTag};
use super::worker::{RunState, Worker};
use crate::base::{Millis, Name};
use crate::connection::{Order, WorkerCall};
use crate::request::job::{OVER_BOUND_SHARE, TaskKey, next_speed_limit};

/// Timeout of a throttle order, in milliseconds.
const THROTTLE_TIMEOUT: Millis = Millis(800);
/// Shortest time between two reports of a worker that are learned from, in milliseconds; the
/// reported quantities are means over half a second.
const LEARN_INTERVAL: Millis = Millis(250);
/// Best-effort tasks beside a serving task that stays over its bound for this long are throttled to
/// 0, in milliseconds; well below the shortest time that counts as interference, 4 s.
const HALT_TIME: Millis = Millis(1_500);
/// Speed limits are multiples of this, in percent, so that small changes cause no orders.
const THROTTLE_STEP: u8 = 10;

impl Shard {
    /// Learns from a worker's newest report and orders the speed limits of its best-effort tasks.
    pub(super) fn throttle(&mut self, now: Now, worker_id: &Name, out: &mut Vec<ShardAction>) {
        let epoch = self.owner.epoch;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let serving = worker.serving_tasks();
        let best_effort = worker.best_effort_tasks();
        let is_due = now.steady.since(worker.last_learned) >= LEARN_INTERVAL;
        if is_due {
            for task in &serving {
                self.contention.observe(now.steady, task, &best_effort);
            }
        }
        let is_over =
            !best_effort.is_empty() && serving.iter().any(|task| task.tail >= OVER_BOUND_SHARE);
        let shares = self
            .contention
            .speed_limits(now.steady, &serving, &best_effort);
        let limits: Vec<(Option<Name>, u8)> = best_effort
            .iter()
            .zip(shares)
            .map(|(other, share)| (other.image.clone(), rounded_percent(share)))
            .collect();
        if is_due {
            worker.last_learned = now.steady;
        }
        worker.headroom = self.contention.headroom(now.steady, &serving, &best_effort);
        worker.over_since = match is_over {
            true => worker.over_since.or(Some(now.steady)),
            false => None,
        };
        let must_halt = worker
            .over_since
            .is_some_and(|since| now.steady.since(since) >= HALT_TIME);
        let mut orders: Vec<(TaskKey, u64, u8)> = Vec::new();
        for (task, run) in &mut worker.runs {
            if !run.fills || !matches!(run.state, RunState::Active { .. }) {
                continue;
            }
            let limit = match must_halt {
                true => 0,
                false => limits
                    .iter()
                    .find(|(image, _)| *image == run.image)
                    .map_or(100, |(_, limit)| *limit),
            };
            run.halted_since = match limit {
                0 => run.halted_since.or(Some(now.steady)),
                _ => None,
            };
            let limit = next_speed_limit(run.speed_limit, limit);
            if run.speed_limit != limit {
                run.speed_limit = limit;
                orders.push((*task, run.run, limit));
            }
        }
        for (task, run, percent) in orders {
            out.push(throttle_order(worker, epoch, task, run, percent));
        }
    }
}

/// A share of full speed in percent, rounded down to a multiple of `THROTTLE_STEP`.
fn rounded_percent(share: f64) -> u8 {
    let steps = (share * 100.0 / f64::from(THROTTLE_STEP)).floor() as u8;
    steps * THROTTLE_STEP
}

fn throttle_order(
    worker: &Worker,
    epoch: u64,
    task: TaskKey,
    run: u64,
    percent: u8,
) -> ShardAction {
    let tag = WorkerTag::Throttle {
        worker: worker.id.clone(),
        task,
        percent,
    };
    let call = WorkerCall {
        worker: worker.id.clone(),
        address: worker.address,
        epoch,
        order: Order::Throttle { task, run, percent },
        timeout: THROTTLE_TIMEOUT,
    };
    ShardAction::Worker(tag, call)
}
